/* Where gangs are placed, what they preempt and what preempts them. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"
#include "core_fixture.h"
#include "gang_fixture.h"

#include "core/scheduling/gang_phase.h"

#include <string.h>

/* A gang without room for all of its tasks holds none: another one that fits is placed. */
static void a_gang_is_placed_whole_or_not_at_all(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job large = gang_job, small = gang_job, other = gang_job;
    large.task_count = 4; /* ten CPUs of sixteen each: three machines a zone */
    small.job_id = "req-2";
    small.task_count = 2;
    other.job_id = "req-3";
    other.one_zone = false;
    other.task_count = 4;
    gang_show_all(node, "req-1", NULL);
    fake_store_submit(fixture->store, &large, node->now);
    submit_gang_job(fixture, &small);
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 2);
    submit_gang_job(fixture, &other);
    node->now += 0.1;
    gang_plan(node, RR_COMMAND_START, "req-3", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3"), 4); /* over both zones */
    node->config.teams[0].cpus_max = 90;
    struct test_job over = gang_job;
    over.job_id = "req-4";
    over.one_zone = false;
    over.cpus = 11;
    over.task_count = 3;
    submit_gang_job(fixture, &over);
    for (int i = 0; i < 4; i++) {
        node->now += 1;
        gang_plan(node, RR_COMMAND_START, "req-4", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 0);
}

/* The team's limit leaves room for two of three tasks, and the machines for all: none is placed
 * until the limit is lifted. */
static void a_team_limit_counts_the_whole_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job waiting = gang_job;
    gang_start(fixture, &gang_job); /* thirty CPUs in one zone */
    node->config.teams[0].cpus_max = 60;
    waiting.job_id = "req-4";
    waiting.cpus = 11;
    submit_gang_job(fixture, &waiting);
    for (int i = 0; i < 4; i++) {
        node->now += 1;
        gang_show_all(node, "req-1", "running");
        gang_plan(node, RR_COMMAND_START, "req-4", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 0);
    node->config.teams[0].cpus_max = 0;
    node->now += 1;
    gang_show_all(node, "req-1", "running");
    gang_plan(node, RR_COMMAND_START, "req-4", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 3);
}

/* A gang goes to the zone where some of its tasks find the image, and not to the one with more free
 * resources: the next gang of its kind then finds the image on more machines. */
static void a_gang_goes_to_the_zone_with_its_image(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    const char *const one[] = {"req-5"};
    uint64_t attempt;
    gang_show_all(node, "req-1", NULL);
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-5", .zone = "a", .cpus = 1});
    gang_plan(node, RR_COMMAND_START, "req-5", NULL);
    gang_show_jobs(node, one, 1, 1, gang_task_runs);
    submit_gang_job(fixture, &gang_job);
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    for (uint32_t task = 0; task < 3; task++) {
        assert_in_range(gang_machine_of(fixture, task, &attempt), 1, 3);
    }
}

/* The fleet is full of work of low priority. A gang whose class has an objective for its wait
 * preempts as much of it as it needs, in one zone, and is reserved in the same plan; one that needs
 * more than a zone has preempts nothing. */
static void an_urgent_gang_preempts_only_if_all_of_it_fits(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job urgent = gang_job, large = gang_job;
    const char *const arrays[] = {"req-5"};
    gang_show_all(node, "req-1", NULL);
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-5",
                                                .priority = "low",
                                                .cpus = 8,
                                                .task_count = 12,
                                                .checkpoint_interval_s = 30});
    gang_plan(node, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-5"), 12);
    gang_show_jobs(node, arrays, 1, 12, gang_task_runs);
    large.job_id = "req-2";
    large.job_class = "live";
    large.task_count = 4; /* of ten CPUs: three machines a zone */
    submit_gang_job(fixture, &large);
    node->now += 1;
    gang_plan(node, RR_COMMAND_START, "req-2", NULL);
    node->now += 1;
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-5", NULL), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 0);
    urgent.job_class = "live";
    urgent.task_count = 2;
    submit_gang_job(fixture, &urgent);
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    uint64_t attempt;
    assert_int_equal(gang_machine_of(fixture, 0, &attempt) <= 3,
                     gang_machine_of(fixture, 1, &attempt) <= 3);
    gang_show_jobs(node, arrays, 1, 12, gang_task_runs);
    node->now += 1;
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-5", NULL),
                     4); /* two machines' worth, no more */
    assert_int_equal(gang_plan(node, RR_COMMAND_START, "req-1", NULL), 0);
}

/* A replica takes the room of one task of a gang of lower priority: the whole gang is told to save
 * in the same plan. */
static void a_gang_is_preempted_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job all = gang_job;
    uint64_t attempt;
    double grace_s;
    all.cpus = 16;
    all.one_zone = false;
    all.task_count = GANG_MACHINES;
    all.priority = "standard";
    gang_start(fixture, &all);
    gang_show_all(node, "req-1", "running");
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-2",
                                                .priority = "prod",
                                                .job_class = "live",
                                                .service = true,
                                                .cpus = 8});
    gang_plan(node, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    gang_show_all(node, "req-1", "running");
    node->now += 1;
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-1", &grace_s), GANG_MACHINES);
    assert_true(grace_s >= 3);
    assert_int_equal(gang_phase(node, "req-1"), RR_GANG_STOPPING);
    gang_machine_of(fixture, 0, &attempt);
    node->now += 4;
    gang_show_all(node, "req-1", "ended:halted");
    for (int i = 0; i < 4; i++) {
        gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    /* There is room for five of its six tasks now: it waits, and holds none of it. */
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* A gang within its team's guarantee preempts work that another team runs beyond its own; a gang
 * beyond the guarantee does not. */
static void a_guarantee_makes_room_for_a_whole_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job owed = gang_job, beyond = gang_job;
    const char *const others[] = {"req-5"};
    node->config.teams[1].cpus = 20; /* blue */
    gang_show_all(node, "req-1", NULL);
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-5",
                                                .priority = "prod",
                                                .cpus = 16,
                                                .task_count = GANG_MACHINES,
                                                .service = true});
    gang_plan(node, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-5"), GANG_MACHINES);
    gang_show_jobs(node, others, 1, 12, gang_task_runs);
    owed.team = beyond.team = "blue";
    owed.priority = beyond.priority = "low";
    owed.task_count = 2;
    beyond.job_id = "req-2";
    fake_store_submit(fixture->store, &beyond, node->now); /* thirty CPUs */
    fake_store_sync(fixture->store, node->core, node->now);
    gang_plan(node, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 0);
    submit_gang_job(fixture, &owed);
    node->now += 0.1;
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    gang_show_jobs(node, others, 1, 12, gang_task_runs);
    node->now += 1;
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-5", NULL), 2);
}

#define SMALL_JOBS 40

/* One task of each machine ends with every twelfth heartbeat. */
static const char *one_in_twelve_heartbeats_ends(int machine, const char *job_id, uint32_t task,
                                                 int shown, uint64_t sequence) {
    (void)job_id;
    (void)task;
    return shown == 0 && (sequence + (uint64_t)machine) % 12 == 0 ? "ended:done" : "running";
}

static uint32_t done_of(const test_controller *node, const char *const *job_ids, int count) {
    uint32_t done = 0;
    for (int i = 0; i < count; i++) {
        rr_job_view view;
        rr_core_job_view(node->core, job_ids[i], node->now, &view);
        done += view.done_count;
    }
    return done;
}

/* Now and then one of the small tasks that fill the fleet ends, and many more wait. Two gangs, each
 * of which needs a whole zone, start within four minutes, never a part of one, and the small tasks
 * go on meanwhile. */
static void gangs_start_among_a_stream_of_small_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job first = gang_job, second = gang_job;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    unsigned begun[2] = {0, 0};
    first.priority = second.priority = "low";
    first.cpus = second.cpus = 16;
    second.job_id = "req-2";
    gang_show_all(node, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = small[i],
                                             .priority = "low",
                                             .cpus = 8,
                                             .task_count = 12,
                                             .deadline_s = 20},
                          node->now);
    }
    fake_store_submit(fixture->store, &first, node->now);
    submit_gang_job(fixture, &second);
    double began = node->now;
    while (begun[0] + begun[1] < 2 && node->now - began < 240) {
        gang_plan(node, RR_COMMAND_START, "req-1", NULL);
        unsigned held[2] = {fake_store_placed_count(fixture->store, "req-1"),
                            fake_store_placed_count(fixture->store, "req-2")};
        assert_true(held[0] % 3 == 0 && held[1] % 3 == 0);
        begun[0] = held[0] == 3;
        begun[1] = held[1] == 3;
        node->now += 1;
        gang_show_jobs(node, small, SMALL_JOBS, 12, one_in_twelve_heartbeats_ends);
    }
    assert_int_equal(begun[0] + begun[1], 2);
    /* At least half of the small tasks that could have ended have done so. */
    assert_true(done_of(node, small, SMALL_JOBS) > (node->now - began) / 12 * GANG_MACHINES / 2);
}

static const char *one_task_in_eight_ends(int machine, const char *job_id, uint32_t task, int shown,
                                          uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)shown;
    return (sequence + task) % 8 == 0 ? "ended:done" : "running";
}

/* A gang waits for its team's limit: what small tasks of its team give back is kept for the
 * gang. */
static void a_team_limit_is_kept_for_a_waiting_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    node->config.teams[0].cpus_max = 32;
    gang_show_all(node, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = small[i], .priority = "low", .cpus = 8, .task_count = 12},
            node->now);
    }
    fake_store_sync(fixture->store, node->core, node->now);
    gang_plan(node, RR_COMMAND_START, "req-100", NULL);
    fake_store_submit(fixture->store, &gang_job, node->now); /* thirty CPUs */
    fake_store_sync(fixture->store, node->core, node->now);
    double began = node->now;
    while (fake_store_placed_count(fixture->store, "req-1") == 0 && node->now - began < 240) {
        node->now += 2;
        gang_show_jobs(node, small, SMALL_JOBS, 12, one_task_in_eight_ends);
        gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
}

static void a_gang_that_can_never_run_is_refused(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_submission submission;
    const char *why = "";
    test_submission(&submission, &gang_job);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
    node->config.teams[0].cpus_max = 25;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    node->config.teams[0].cpus_max = 30;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
    node->config.teams[0].cpus_max = 0;
    submission.task_count = 5000;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
}

/* While a version without gangs serves, new gangs are not decided on, and accepted ones stay. */
static void an_old_version_holds_back_new_gangs(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_submission submission;
    rr_job_view view;
    const char *why = "";
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    test_submission(&submission, &gang_job);
    g_strlcpy(submission.job_id, "req-9", sizeof submission.job_id);
    test_controller_join_old_version(node);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNDECIDED);
    assert_false(rr_core_all_gang_capable(node->core)); /* peers get no frames of gangs either */
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_string_equal(view.state, "running");
    test_controller_leave_old_version(node);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
}

/* The record of a gang's job as a version without gangs cancels it, since it can't read the job. */
static void cancel_in_old_version(core_fixture *fixture, const char *job_id) {
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 3);
    rr_encode_key_text(&encoder, "ref", job_id);
    rr_encode_key_text(&encoder, "shape", "batch");
    rr_encode_key_bool(&encoder, "cancelled", true);
    fake_store_put(fixture->store, RR_KEY_ROOT "job/req-1", &encoder);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

static void a_cancellation_by_an_old_version_holds(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_submission submission;
    rr_job_view view;
    const char *why = "";
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    test_controller_join_old_version(node);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_string_equal(view.state, "running");
    cancel_in_old_version(fixture, "req-1");
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.cancelled);
    test_controller_leave_old_version(node);
    gang_show_all(node, "req-1", "running");
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-1", NULL), 3);
    test_submission(&submission, &gang_job);
    g_strlcpy(submission.job_id, "req-9", sizeof submission.job_id);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, gang_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(a_gang_is_placed_whole_or_not_at_all),
                                       TEST(a_team_limit_counts_the_whole_gang),
                                       TEST(a_gang_goes_to_the_zone_with_its_image),
                                       TEST(an_urgent_gang_preempts_only_if_all_of_it_fits),
                                       TEST(a_gang_is_preempted_whole),
                                       TEST(a_guarantee_makes_room_for_a_whole_gang),
                                       TEST(gangs_start_among_a_stream_of_small_tasks),
                                       TEST(a_team_limit_is_kept_for_a_waiting_gang),
                                       TEST(a_gang_that_can_never_run_is_refused),
                                       TEST(an_old_version_holds_back_new_gangs),
                                       TEST(a_cancellation_by_an_old_version_holds)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
