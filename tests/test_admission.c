/* Fair admission as a whole: keys, controllers without a valid table, settings, controllers of an
 * older version, and fair shares in the plans. test_admission_hour.c simulates overload. */
#include "admission_fixture.h"
#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The key depends on team, class, size band and machine restrictions, but not on the order in which
 * the machine types are listed. */
static void key_depends_on_team_class_band_and_restrictions(void **state) {
    (void)state;
    char types[2][RR_ID_SIZE] = {"g8", "a4"}, swapped[2][RR_ID_SIZE] = {"a4", "g8"};
    rr_submission first = make_submission("red", "x", "req-1", 7),
                  second = make_submission("red", "x", "req-2", 1);
    rr_admission_key first_key, second_key;
    first.machine_types = types;
    second.machine_types = swapped;
    first.machine_type_count = second.machine_type_count = 2;
    rr_admission_key_from_submission(&first, test_band_limits, &first_key);
    rr_admission_key_from_submission(&second, test_band_limits, &second_key);
    assert_true(first_key.id == second_key.id);
    assert_true(rr_admission_key_allows(&first_key, "g8", "z"));
    assert_false(rr_admission_key_allows(&first_key, "g", "z"));
    assert_int_equal(make_key("red", "x", 7).band, 0);
    assert_int_equal(make_key("red", "x", 8).band, 1);
    assert_int_equal(make_key("red", "x", 64).band, 2);
    assert_true(make_key("red", "x", 1).id != make_key("red", "x", 8).id);
    assert_true(make_key("red", "x", 1).id != make_key("redx", "", 1).id);
    g_strlcpy(second.zone, "a", sizeof second.zone);
    rr_admission_key_from_submission(&second, test_band_limits, &second_key);
    assert_true(first_key.id != second_key.id);
    assert_false(rr_admission_key_allows(&second_key, "a4", "z"));
}

/* Returns the verdict of a controller in this state, one of three. */
static enum rr_admission_verdict_kind check_submission(rr_admission *admission,
                                                       const rr_submission *job, bool lease_valid,
                                                       bool all_support_admission,
                                                       double cache_age_s) {
    rr_admission_context context = {lease_valid, all_support_admission, cache_age_s, 3};
    return rr_admission_check(admission, job, &context, 1000, 50).kind;
}

/* Without a valid lease, or with a stale store cache, a controller admits its part of the
 * guarantees in each interval, whether or not there is overload. If any controller does not support
 * admission, none limits. */
static void controller_without_valid_table_admits_its_part_of_guarantee(void **state) {
    (void)state;
    struct admission_fixture fixture;
    rr_submission red = make_submission("red", "x", "req-1", 1),
                  blue = make_submission("blue", "x", "req-2", 1);
    admission_fixture_init(&fixture);
    /* A third of red's guarantee over 10 s is 20 CPU seconds: two jobs of 10. */
    fixture.config.teams[0].cpus = 6;
    rr_admission *admission = fixture.admission;
    for (int stale = 0; stale < 2; stale++) {
        bool lease_valid = stale;
        double cache_age_s = stale ? 40.1 : 0;
        rr_admission_update_interval(admission, 1000 + 10 * stale, 50);
        assert_int_equal(check_submission(admission, &red, lease_valid, true, cache_age_s),
                         RR_ADMISSION_ADMIT);
        assert_int_equal(check_submission(admission, &red, lease_valid, true, cache_age_s),
                         RR_ADMISSION_ADMIT);
        assert_int_equal(check_submission(admission, &red, lease_valid, true, cache_age_s),
                         RR_ADMISSION_NO_VALID_TABLE);
        assert_int_equal(check_submission(admission, &blue, lease_valid, true, cache_age_s),
                         RR_ADMISSION_NO_VALID_TABLE);
        assert_int_equal(check_submission(admission, &blue, lease_valid, false, cache_age_s),
                         RR_ADMISSION_ADMIT);
        assert_int_equal(check_submission(admission, &blue, true, true, 39.9), RR_ADMISSION_ADMIT);
    }
    admission_fixture_clear(&fixture);
}

/* ---- settings ---- */

/* Loads a settings file with this text. error: part of the expected message; NULL: the file must be
 * accepted. */
static void check_settings(const char *text, const char *error) {
    char path[] = "/tmp/admission-XXXXXX";
    struct rr_config config;
    rr_admission_settings settings;
    GError *load_error = NULL;
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    close(fd);
    test_config_init(&config, "n0");
    config.clock_skew_max_s = 0.1;
    bool loaded = rr_admission_settings_load(path, &config, &settings, &load_error);
    unlink(path);
    rr_admission_settings_clear(&settings);
    assert_true(loaded == !load_error);
    assert_true(loaded || (load_error && load_error->domain == RR_SETTINGS_ERROR));
    const char *message = load_error ? load_error->message : "";
    if (loaded != !error || (error && !strstr(message, error))) {
        fail_msg("%s gives \"%s\", not \"%s\"", text, message, error ? error : "");
    }
    g_clear_error(&load_error);
}

static void invalid_settings_are_rejected_with_file_position(void **state) {
    (void)state;
    check_settings("", NULL);
    check_settings(
        "interval_s = 5\nbands = {4, 40}\nteam \"red\" {\n weight = 2\n least_share = 0.3\n"
        " class \"live\" { weight = 3 }\n}\nteam \"blue\" { least_share = 0.7 }\n",
        NULL);
    check_settings("\nintervals = 5\n", ":2: no such option 'intervals'");
    check_settings("\n\ninterval_s = 0\n", ":3: interval_s: must be between");
    check_settings("interval_s = often\n", ":1: ");
    check_settings("team \"red\" {\n weight = 0\n}\n", ":2: weight: must be above 0");
    check_settings("team \"red\" {\n weight = -1\n}\n", ":2: weight: must be above 0");
    check_settings("team \"grey\" {\n}\n", "\"grey\": the platform's settings have no such team");
    check_settings("team \"red\" {\n}\nteam \"red\" {\n}\n", "red");
    check_settings("team \"red\" {\n class \"nope\" { }\n}\n", "\"nope\": no objective names");
    check_settings("team \"red\" {\n least_share = 1.5\n}\n", ":2: least_share: must be between");
    check_settings("team \"red\" { least_share = 0.6 }\nteam \"blue\" { least_share = 0.5 }\n",
                   "least_share: the teams' sum");
    check_settings("bands = {8}\n", "bands: must be two");
    check_settings("bands = {64, 8}\n", "bands: must rise");
    check_settings("enter_backlog_s = 10\n", "leave_backlog_s: must be below");
    check_settings("interval_s = 0.5\n", "eight times");
    check_settings("team \"red\" {\n weight = 2\n", "a section is not closed");
}

/* ---- mixed versions, and fair shares in plans ---- */

/* Admission requires that every controller of the term supports it. A controller of an older
 * version in the term does not; its session record is still read. */
static void admission_requires_support_of_all_controllers(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    assert_false(rr_core_all_members_support_admission(controller->core));
    controller->config.admission = true;
    test_controller_delete_session(controller);
    test_controller_join(controller, 12);
    assert_true(rr_core_all_members_support_admission(controller->core));
    assert_true(rr_core_all_members_support_gangs(controller->core));
    test_controller_join_old_version(controller);
    assert_false(rr_core_all_members_support_admission(controller->core));
    test_controller_delete_old_version_session(controller);
    assert_true(rr_core_all_members_support_admission(controller->core));
}

/* Makes a plan; returns how many of the job's tasks are placed then. */
static guint plan_and_count_placed(test_controller *controller, const char *id) {
    rr_plan plan;
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    return fake_store_placed_count(controller->store, id);
}

/* While an admission table is in force, a plan places no more of a team's tasks than its fair share
 * allows. Replicas of priority prod are exempt, and without a table there is no such limit. */
static void plan_keeps_teams_within_fair_share(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    const double fair_shares[] = {0.25, 1};
    test_controller_add_machines(controller, 1, 4, "a");
    fake_store_submit(
        fixture->store,
        &(struct test_job){
            .job_id = "req-1", .team = "red", .task_count = 64, .cpus = 1, .mem_gb = 1},
        controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    rr_core_set_fair_shares(controller->core, fair_shares, 64, 16, 256);
    assert_int_equal(plan_and_count_placed(controller, "req-1"), 16);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-2", .team = "red", .service = true, .priority = "prod"},
        controller->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){
            .job_id = "req-3", .team = "blue", .task_count = 8, .cpus = 1, .mem_gb = 1},
        controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    controller->now += 3;
    assert_int_equal(plan_and_count_placed(controller, "req-2"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3"), 8);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 16);
    /* Without a table in force, red may exceed its fair share. */
    rr_core_set_fair_shares(controller->core, NULL, 0, 0, 0);
    for (int machine = 1; machine <= 4; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(controller, id, "a", false, 1, 9,
                                  rr_core_fencing_token(controller->core), NULL);
    }
    controller->now += 3;
    assert_true(plan_and_count_placed(controller, "req-1") > 16);
}

#define CORE_TEST(name)                                                                            \
    cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(key_depends_on_team_class_band_and_restrictions),
        cmocka_unit_test(controller_without_valid_table_admits_its_part_of_guarantee),
        cmocka_unit_test(invalid_settings_are_rejected_with_file_position),
        CORE_TEST(admission_requires_support_of_all_controllers),
        CORE_TEST(plan_keeps_teams_within_fair_share),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
