/* The store cache: final jobs are evicted, which keeps only their outcome, and nothing is decided
 * during a full reload. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "fleet_scenario.h"

#define MACHINES 10
#define JOBS 20
#define EVICTION_PERIOD_S 61 /* just over the 60 s between calls of rr_jobs_evict_final() */

/* ---- final jobs ---- */

/* Returns the number of jobs that have not been evicted. */
static unsigned count_retained_jobs(const test_controller *controller) {
    rr_core_stats stats;
    rr_core_get_stats(controller->core, &stats);
    return stats.retained_jobs;
}

/* Runs jobs 1 to JOBS until they are final: odd numbers complete, even ones are cancelled. */
static void run_jobs(test_controller *controller) {
    test_controller_add_machines(controller, 1, MACHINES, "a");
    submit_jobs(controller, 1, JOBS, &(struct test_job){.task_count = 1, .cpus = 1});
    plan_until_settled(controller);
    for (int i = 1; i <= JOBS; i++) {
        char job_id[JOB_ID_SIZE];
        bool cancelled = i % 2 == 0;
        format_job_id(i, job_id);
        if (cancelled) {
            test_controller_cancel(controller, job_id);
        }
        send_heartbeats_with_job(controller, MACHINES, job_id, 1,
                                 cancelled ? "ended:halted" : "ended:done", (uint64_t)i + 1);
        plan_until_settled(controller);
    }
    assert_int_equal(count_retained_jobs(controller), JOBS);
}

/* Runs the jobs, and plans until all of them have been evicted. */
static void run_jobs_until_evicted(test_controller *controller) {
    run_jobs(controller);
    for (int i = 0; i < 5; i++) {
        controller->now += EVICTION_PERIOD_S;
        plan_until_settled(controller);
    }
    assert_int_equal(count_retained_jobs(controller), 0);
}

/* Checks that each job of run_jobs() is still known with its outcome. */
static void assert_outcomes_known(const test_controller *controller) {
    for (int i = 1; i <= JOBS; i++) {
        char job_id[JOB_ID_SIZE];
        rr_job_view view;
        format_job_id(i, job_id);
        rr_core_get_job_view(controller->core, job_id, controller->now, &view);
        assert_true(view.known);
        assert_true(i % 2 ? view.done && view.done_count == 1 : view.cancelled);
    }
}

/* Jobs are never forgotten, and memory must not grow by a whole job with each: a final job that
 * nothing refers to is evicted, and users can still read its outcome. */
static void outcomes_of_evicted_jobs_stay_known(void **state) {
    core_fixture *fixture = *state;
    run_jobs_until_evicted(&fixture->controller);
    assert_outcomes_known(&fixture->controller);
}

/* Writes a ledger record that places task 0 of the first job on vm-1. */
static void put_late_ledger_record(fake_store *store) {
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 2);
    rr_encode_key_text(&encoder, "bits", "0");
    rr_encode_text(&encoder, "tasks");
    rr_encode_array(&encoder, 1);
    rr_encode_array(&encoder, 5);
    rr_encode_u64(&encoder, 0);
    rr_encode_text(&encoder, "vm-1");
    for (int i = 0; i < 3; i++) {
        rr_encode_u64(&encoder, 1);
    }
    fake_store_put(store, RR_KEY_ROOT "run/req-000001/0", &encoder);
}

/* Neither a late ledger record nor a full reload restores an evicted job or its placement. */
static void evicted_jobs_are_not_restored(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_core_stats stats;
    run_jobs_until_evicted(controller);
    put_late_ledger_record(fixture->store);
    fake_store_sync(fixture->store, controller->core, controller->now);
    fake_store_reload(fixture->store, controller->core, controller->now);
    assert_int_equal(count_retained_jobs(controller), 0);
    assert_outcomes_known(controller);
    rr_core_get_stats(controller->core, &stats);
    assert_int_equal(stats.tasks_placed, 0);
}

/* The reply to a heartbeat that reports a task of a cancelled, evicted job tells the worker to stop
 * the task. */
static void task_of_evicted_job_is_stopped(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    run_jobs_until_evicted(controller);
    put_late_ledger_record(fixture->store);
    fake_store_sync(fixture->store, controller->core, controller->now);
    fake_store_reload(fixture->store, controller->core, controller->now);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 900,
                              .fencing_token = rr_core_fencing_token(controller->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.job_id = "req-000002", .attempt = 1, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply reply;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(controller->core, controller->now, &heartbeat, &reply);
    assert_int_equal(reply.status, 200);
    assert_int_equal(reply.commands->len, 1);
    g_array_free(reply.commands, TRUE);
    rr_heartbeat_clear(&heartbeat);
}

/* ---- full reload ---- */

/* A full reload fills the store cache page by page: until it ends, a machine that a ledger record
 * names may be missing. Guards against decisions in that time, above all that the machine's tasks
 * have terminated. */
static void nothing_is_decided_during_reload(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    rr_autoscaler_step step;
    rr_transaction transaction;
    test_controller_add_machines(controller, 1, 4, "a");
    submit_jobs(controller, 1, 4, &(struct test_job){.task_count = 1, .cpus = 1});
    plan_until_settled(controller);
    submit_jobs(controller, 5, 4, &(struct test_job){.task_count = 1, .cpus = 1});
    rr_core_cache_begin_reload(controller->core);
    controller->now += 3;
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_false(plan.has_transaction);
    assert_int_equal(plan.command_batches->len, 0);
    rr_plan_clear(&plan);
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(controller->core, controller->now, controller->now, &step);
    assert_int_equal(step.kind, RR_AUTOSCALER_NONE);
    rr_autoscaler_step_clear(&step);
    rr_transaction_init(&transaction);
    assert_false(rr_core_add_next_term_record(controller->core, controller->now, controller->now,
                                              &transaction));
    rr_transaction_clear(&transaction);
    assert_true(rr_core_session_seen(controller->core, 7)); /* the reload may still bring it */
    fake_store_reload(fixture->store, controller->core, controller->now);
    plan_until_settled(controller);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000005"), 1);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(outcomes_of_evicted_jobs_stay_known),
        TEST(evicted_jobs_are_not_restored),
        TEST(task_of_evicted_job_is_stopped),
        TEST(nothing_is_decided_during_reload),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
