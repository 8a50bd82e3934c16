/* The store cache over time: final jobs shrink to their outcome, and a full reload is one step. */
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
#define RETENTION_INTERVAL_S 61 /* just over the interval of rr_jobs_shrink() */

/* ---- final jobs ---- */

/* Jobs that have not shrunk to their outcome. */
static unsigned count_whole_jobs(const test_controller *node) {
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    return stats.unshrunk_jobs;
}

/* Runs JOBS jobs: those of odd numbers are done, the others cancelled. */
static void run_jobs(test_controller *node) {
    test_controller_add_machines(node, 1, MACHINES, "a");
    submit_many(node, 1, JOBS, &(struct test_job){.task_count = 1, .cpus = 1});
    plan_until_settled(node);
    for (int i = 1; i <= JOBS; i++) {
        char job_id[JOB_ID_SIZE];
        bool cancelled = i % 2 == 0;
        job_id_of(i, job_id);
        if (cancelled) {
            test_controller_cancel(node, job_id);
        }
        heartbeat_with_job(node, MACHINES, job_id, 1, cancelled ? "ended:halted" : "ended:done",
                           (uint64_t)i + 1);
        plan_until_settled(node);
    }
    assert_int_equal(count_whole_jobs(node), JOBS);
}

/* Runs the jobs, and waits until all of them have shrunk. */
static void run_jobs_and_shrink(test_controller *node) {
    run_jobs(node);
    for (int i = 0; i < 5; i++) {
        node->now += RETENTION_INTERVAL_S;
        plan_until_settled(node);
    }
    assert_int_equal(count_whole_jobs(node), 0);
}

static void assert_outcomes_known(const test_controller *node) {
    for (int i = 1; i <= JOBS; i++) {
        char job_id[JOB_ID_SIZE];
        rr_job_view view;
        job_id_of(i, job_id);
        rr_core_job_view(node->core, job_id, node->now, &view);
        assert_true(view.known);
        assert_true(i % 2 ? view.done && view.done_count == 1 : view.cancelled);
    }
}

/* Jobs are known for good, so memory must not grow by a whole job with each: a final one that
 * nothing refers to shrinks to its outcome, which users read as before. */
static void final_jobs_shrink_to_their_outcome(void **state) {
    core_fixture *fixture = *state;
    run_jobs_and_shrink(&fixture->controller);
    assert_outcomes_known(&fixture->controller);
}

/* Writes a ledger record of the first job that places its task on vm-1. */
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

/* Neither a late ledger record nor a full reload makes a shrunk job whole again. */
static void shrunk_jobs_are_not_revived(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_core_stats stats;
    run_jobs_and_shrink(node);
    put_late_ledger_record(fixture->store);
    fake_store_sync(fixture->store, node->core, node->now);
    fake_store_reload(fixture->store, node->core, node->now);
    assert_int_equal(count_whole_jobs(node), 0);
    assert_outcomes_known(node);
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.tasks_placed, 0);
}

/* A worker that still runs a task of a shrunk cancelled job is told to stop it. */
static void a_task_of_a_shrunk_job_is_stopped(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    run_jobs_and_shrink(node);
    put_late_ledger_record(fixture->store);
    fake_store_sync(fixture->store, node->core, node->now);
    fake_store_reload(fixture->store, node->core, node->now);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 900,
                              .fencing_token = rr_core_fencing_token(node->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.job_id = "req-000002", .attempt = 1, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply reply;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(node->core, node->now, &heartbeat, &reply);
    assert_int_equal(reply.status, 200);
    assert_int_equal(reply.commands->len, 1);
    g_array_free(reply.commands, TRUE);
    rr_heartbeat_clear(&heartbeat);
}

/* ---- full reload ---- */

/* A full reload brings the store cache page by page: until it ends, a machine may be missing that a
 * ledger record names. Nothing is decided then, least of all that its tasks are terminated. */
static void nothing_is_decided_during_a_reload(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    rr_autoscaler_step step;
    rr_transaction transaction;
    test_controller_add_machines(node, 1, 4, "a");
    submit_many(node, 1, 4, &(struct test_job){.task_count = 1, .cpus = 1});
    plan_until_settled(node);
    submit_many(node, 5, 4, &(struct test_job){.task_count = 1, .cpus = 1});
    rr_core_cache_begin_reload(node->core);
    node->now += 3;
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_false(plan.has_transaction);
    assert_int_equal(plan.command_batches->len, 0);
    rr_plan_clear(&plan);
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(node->core, node->now, node->now, &step);
    assert_int_equal(step.kind, RR_AUTOSCALER_NONE);
    rr_autoscaler_step_clear(&step);
    rr_transaction_init(&transaction);
    assert_false(rr_core_next_term(node->core, node->now, node->now, &transaction));
    rr_transaction_clear(&transaction);
    assert_true(rr_core_session_seen(node->core, 7)); /* the reload may still bring it */
    fake_store_reload(fixture->store, node->core, node->now);
    plan_until_settled(node);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000005"), 1);
}

#define T(test) cmocka_unit_test_setup_teardown(test, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        T(final_jobs_shrink_to_their_outcome),
        T(shrunk_jobs_are_not_revived),
        T(a_task_of_a_shrunk_job_is_stopped),
        T(nothing_is_decided_during_a_reload),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
