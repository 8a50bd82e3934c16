/* Placement of gangs: zones, team limits, preemption by and of gangs, and versions without them. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"
#include "core_fixture.h"
#include "gang_fixture.h"

#include "core/scheduling/gang_phase.h"

#include <string.h>

/* A gang whose tasks do not all fit reserves nothing, so that another gang that fits is placed. A
 * gang that is not bound to one zone may be placed over both. */
static void gang_is_placed_whole_or_not_at_all(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job large = gang_job, small = gang_job, two_zone = gang_job;
    large.task_count = 4; /* a zone has room for three: three machines of 16 CPUs, 10 a task */
    small.job_id = "req-2";
    small.task_count = 2;
    two_zone.job_id = "req-3";
    two_zone.one_zone = false;
    two_zone.task_count = 4;
    gang_send_heartbeats(controller, "req-1", NULL);
    fake_store_submit(fixture->store, &large, controller->now);
    submit_gang_job(fixture, &small);
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 2);
    submit_gang_job(fixture, &two_zone);
    controller->now += 0.1;
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-3", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3"), 4); /* over both zones */
    /* 60 CPUs are in use, 33 more exceed the limit, and no machine has 11 free either. */
    controller->config.teams[0].cpus_max = 90;
    struct test_job over_limit = gang_job;
    over_limit.job_id = "req-4";
    over_limit.one_zone = false;
    over_limit.cpus = 11;
    over_limit.task_count = 3;
    submit_gang_job(fixture, &over_limit);
    for (int i = 0; i < 4; i++) {
        controller->now += 1;
        gang_plan_and_answer(controller, RR_COMMAND_START, "req-4", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 0);
}

/* The machines have room for all three tasks of a gang, but its team's limit only for two: none is
 * placed until the limit is lifted. */
static void team_limit_counts_whole_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job waiting = gang_job;
    gang_submit_and_start(fixture, &gang_job); /* thirty CPUs in one zone */
    controller->config.teams[0].cpus_max = 60;
    waiting.job_id = "req-4";
    waiting.cpus = 11;
    submit_gang_job(fixture, &waiting);
    for (int i = 0; i < 4; i++) {
        controller->now += 1;
        gang_send_heartbeats(controller, "req-1", "running");
        gang_plan_and_answer(controller, RR_COMMAND_START, "req-4", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 0);
    controller->config.teams[0].cpus_max = 0;
    controller->now += 1;
    gang_send_heartbeats(controller, "req-1", "running");
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-4", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 3);
}

/* A gang goes to the zone where a machine has its image in the cache, not to the one with more free
 * resources: the next gang with that image then finds it on more machines. */
static void gang_goes_to_zone_with_its_image(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    const char *const image_job[] = {"req-5"};
    uint64_t attempt;
    gang_send_heartbeats(controller, "req-1", NULL);
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-5", .zone = "a", .cpus = 1});
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-5", NULL);
    gang_report_jobs(controller, image_job, 1, 1, gang_report_task_running);
    submit_gang_job(fixture, &gang_job);
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    for (uint32_t task = 0; task < 3; task++) {
        assert_in_range(gang_find_machine(fixture, task, &attempt), 1, 3);
    }
}

/* The fleet is full of tasks of low priority. A gang whose class has an objective for its wait
 * preempts as many of them as it needs, in one zone, and is reserved in the same plan. A gang that
 * is too large for any single zone preempts nothing. */
static void gang_with_wait_objective_preempts_only_if_it_fits_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job urgent = gang_job, large = gang_job;
    const char *const low_jobs[] = {"req-5"};
    gang_send_heartbeats(controller, "req-1", NULL);
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-5",
                                                .priority = "low",
                                                .cpus = 8,
                                                .task_count = 12,
                                                .checkpoint_interval_s = 30});
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-5"), 12);
    gang_report_jobs(controller, low_jobs, 1, 12, gang_report_task_running);
    large.job_id = "req-2";
    large.job_class = "live";
    large.task_count = 4; /* a zone has room for three */
    submit_gang_job(fixture, &large);
    controller->now += 1;
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-2", NULL);
    controller->now += 1;
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-5", NULL), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 0);
    urgent.job_class = "live";
    urgent.task_count = 2;
    submit_gang_job(fixture, &urgent);
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    uint64_t attempt;
    assert_int_equal(gang_find_machine(fixture, 0, &attempt) <= 3,
                     gang_find_machine(fixture, 1, &attempt) <= 3);
    gang_report_jobs(controller, low_jobs, 1, 12, gang_report_task_running);
    controller->now += 1;
    /* Exactly the tasks on two machines are stopped. */
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-5", NULL), 4);
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL), 0);
}

/* A replica preempts one task of a gang of lower priority: the same plan stops all tasks of the
 * gang, with time to save. */
static void gang_is_preempted_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job fleet_wide = gang_job;
    uint64_t attempt;
    double grace_s;
    fleet_wide.cpus = 16;
    fleet_wide.one_zone = false;
    fleet_wide.task_count = GANG_MACHINE_COUNT;
    fleet_wide.priority = "standard";
    gang_submit_and_start(fixture, &fleet_wide);
    gang_send_heartbeats(controller, "req-1", "running");
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-2",
                                                .priority = "prod",
                                                .job_class = "live",
                                                .service = true,
                                                .cpus = 8});
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    gang_send_heartbeats(controller, "req-1", "running");
    controller->now += 1;
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", &grace_s),
                     GANG_MACHINE_COUNT);
    assert_true(grace_s >= 3);
    assert_int_equal(gang_get_phase(controller, "req-1"), RR_GANG_STOPPING);
    gang_find_machine(fixture, 0, &attempt);
    controller->now += 4;
    gang_send_heartbeats(controller, "req-1", "ended:halted");
    for (int i = 0; i < 4; i++) {
        gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
        controller->now += 0.5;
    }
    /* Only five of the gang's six tasks fit now: it waits and reserves nothing. */
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* A gang within its team's guarantee preempts tasks that another team runs beyond its own
 * guarantee; a gang beyond its team's guarantee preempts nothing. */
static void gang_within_guarantee_preempts_for_all_its_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job within_guarantee = gang_job, beyond_guarantee = gang_job;
    const char *const other_team_jobs[] = {"req-5"};
    controller->config.teams[1].cpus = 20; /* blue */
    gang_send_heartbeats(controller, "req-1", NULL);
    submit_gang_job(fixture, &(struct test_job){.job_id = "req-5",
                                                .priority = "prod",
                                                .cpus = 16,
                                                .task_count = GANG_MACHINE_COUNT,
                                                .service = true});
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-5"), GANG_MACHINE_COUNT);
    gang_report_jobs(controller, other_team_jobs, 1, 12, gang_report_task_running);
    within_guarantee.team = beyond_guarantee.team = "blue";
    within_guarantee.priority = beyond_guarantee.priority = "low";
    within_guarantee.task_count = 2;
    beyond_guarantee.job_id = "req-2";
    fake_store_submit(fixture->store, &beyond_guarantee, controller->now); /* thirty CPUs */
    fake_store_sync(fixture->store, controller->core, controller->now);
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 0);
    submit_gang_job(fixture, &within_guarantee);
    controller->now += 0.1;
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    gang_report_jobs(controller, other_team_jobs, 1, 12, gang_report_task_running);
    controller->now += 1;
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-5", NULL), 2);
}

#define SMALL_JOBS 40
#define GANG_START_LIMIT_S 240 /* by which waiting gangs have to be placed */

/* The state of a task in a heartbeat: each machine's first one is done in every twelfth. */
static const char *first_task_done_in_every_twelfth_heartbeat(int machine, const char *job_id,
                                                              uint32_t task, int shown,
                                                              uint64_t sequence) {
    (void)job_id;
    (void)task;
    return shown == 0 && (sequence + (uint64_t)machine) % 12 == 0 ? "ended:done" : "running";
}

/* Returns how many tasks of these jobs are done. */
static uint32_t count_done_tasks(const test_controller *controller, const char *const *job_ids,
                                 int count) {
    uint32_t done = 0;
    for (int i = 0; i < count; i++) {
        rr_job_view view;
        rr_core_get_job_view(controller->core, job_ids[i], controller->now, &view);
        done += view.done_count;
    }
    return done;
}

/* The fleet is full of small tasks, one of which ends now and then, and many more wait. Two gangs,
 * each of which needs a whole zone, are placed within four minutes, never in part, and small tasks
 * still complete meanwhile. */
static void gangs_are_placed_among_stream_of_small_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job first = gang_job, second = gang_job;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    unsigned gang_placed[2] = {0, 0};
    first.priority = second.priority = "low";
    first.cpus = second.cpus = 16;
    second.job_id = "req-2";
    gang_send_heartbeats(controller, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = small[i],
                                             .priority = "low",
                                             .cpus = 8,
                                             .task_count = 12,
                                             .deadline_s = 20},
                          controller->now);
    }
    fake_store_submit(fixture->store, &first, controller->now);
    submit_gang_job(fixture, &second);
    double submitted_at = controller->now;
    while (gang_placed[0] + gang_placed[1] < 2 &&
           controller->now - submitted_at < GANG_START_LIMIT_S) {
        gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
        unsigned tasks_placed[2] = {fake_store_placed_count(fixture->store, "req-1"),
                                    fake_store_placed_count(fixture->store, "req-2")};
        assert_true(tasks_placed[0] % 3 == 0 && tasks_placed[1] % 3 == 0);
        gang_placed[0] = tasks_placed[0] == 3;
        gang_placed[1] = tasks_placed[1] == 3;
        controller->now += 1;
        gang_report_jobs(controller, small, SMALL_JOBS, 12,
                         first_task_done_in_every_twelfth_heartbeat);
    }
    assert_int_equal(gang_placed[0] + gang_placed[1], 2);
    /* At least half of the small tasks that could have ended have done so. */
    assert_true(count_done_tasks(controller, small, SMALL_JOBS) >
                (controller->now - submitted_at) / 12 * GANG_MACHINE_COUNT / 2);
}

/* The state of a task in a heartbeat: each is done in every eighth, in turn. */
static const char *each_task_done_in_every_eighth_heartbeat(int machine, const char *job_id,
                                                            uint32_t task, int shown,
                                                            uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)shown;
    return (sequence + task) % 8 == 0 ? "ended:done" : "running";
}

/* A gang waits for its team's limit. The share of the limit that small tasks of the team free is
 * kept for the gang. */
static void freed_team_limit_is_kept_for_waiting_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    controller->config.teams[0].cpus_max = 32;
    gang_send_heartbeats(controller, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = small[i], .priority = "low", .cpus = 8, .task_count = 12},
            controller->now);
    }
    fake_store_sync(fixture->store, controller->core, controller->now);
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-100", NULL);
    fake_store_submit(fixture->store, &gang_job, controller->now); /* thirty CPUs */
    fake_store_sync(fixture->store, controller->core, controller->now);
    double submitted_at = controller->now;
    while (fake_store_placed_count(fixture->store, "req-1") == 0 &&
           controller->now - submitted_at < GANG_START_LIMIT_S) {
        controller->now += 2;
        gang_report_jobs(controller, small, SMALL_JOBS, 12,
                         each_task_done_in_every_eighth_heartbeat);
        gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
}

/* Refused are gangs beyond their team's limit or with more tasks than one transaction reserves. */
static void unsatisfiable_gang_is_refused(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_submission submission;
    const char *reason = "";
    test_submission_init(&submission, &gang_job);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_NEW);
    controller->config.teams[0].cpus_max = 25;
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_UNSATISFIABLE);
    controller->config.teams[0].cpus_max = 30;
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_NEW);
    controller->config.teams[0].cpus_max = 0;
    submission.task_count = 5000;
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_UNSATISFIABLE);
}

/* While a controller of a version without gangs is a member, submissions of gangs stay undecided
 * and accepted gangs keep running. */
static void old_version_delays_new_gangs(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_submission submission;
    rr_job_view view;
    const char *reason = "";
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    test_submission_init(&submission, &gang_job);
    g_strlcpy(submission.job_id, "req-9", sizeof submission.job_id);
    test_controller_join_old_version(controller);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_UNDECIDED);
    /* Peers get no frames about gangs either. */
    assert_false(rr_core_all_members_support_gangs(controller->core));
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_string_equal(view.state, "running");
    test_controller_delete_old_version_session(controller);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_NEW);
}

/* Writes req-1's record as a version without gangs does on cancellation: with the job id alone, as
 * it cannot read the rest of a gang's record. */
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

/* A gang that a version without gangs has cancelled is stopped, and new gangs are accepted after
 * that version has left. */
static void cancellation_by_old_version_takes_effect(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_submission submission;
    rr_job_view view;
    const char *reason = "";
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    test_controller_join_old_version(controller);
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_string_equal(view.state, "running");
    cancel_in_old_version(fixture, "req-1");
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_true(view.cancelled);
    test_controller_delete_old_version_session(controller);
    gang_send_heartbeats(controller, "req-1", "running");
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", NULL), 3);
    test_submission_init(&submission, &gang_job);
    g_strlcpy(submission.job_id, "req-9", sizeof submission.job_id);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_NEW);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, gang_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(gang_is_placed_whole_or_not_at_all),
        TEST(team_limit_counts_whole_gang),
        TEST(gang_goes_to_zone_with_its_image),
        TEST(gang_with_wait_objective_preempts_only_if_it_fits_whole),
        TEST(gang_is_preempted_whole),
        TEST(gang_within_guarantee_preempts_for_all_its_tasks),
        TEST(gangs_are_placed_among_stream_of_small_tasks),
        TEST(freed_team_limit_is_kept_for_waiting_gang),
        TEST(unsatisfiable_gang_is_refused),
        TEST(old_version_delays_new_gangs),
        TEST(cancellation_by_old_version_takes_effect)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
