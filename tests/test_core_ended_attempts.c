/* What it costs that workers keep ended attempts for a term: how many they keep, how large their
 * heartbeats get, how many terms it takes, and that no work waits for it. */
#include "core/leadership.h"
#include "core/stats.h"
#include "core_fixture.h"
#include "worker_model.h"

#include <stdio.h>

#define WORKERS 4
#define HOUR_S 3600
#define PLANS_PER_S 2
#define JOB_LIFETIME_S 5    /* from a job's submission to its cancellation */
#define FAILURE_PERIOD_S 20 /* a running task fails */
/* From a task's failure to its next start: a plan records the end and reserves a machine, and the
 * next plan starts the task there. */
#define RESTART_PLANS_MAX 2

/* Stated in docs/design.md, "Ended attempts that are kept". */
#define ENDED_MAX 256
#define TERM_DURATION_MIN_S 15
#define HEARTBEAT_MAX_BYTES 65536 /* in JSON; limit of the protocol */

struct hour {
    core_fixture *core;
    worker_fleet fleet;
    int ended_max;              /* most ended attempts on one worker */
    size_t heartbeat_max_bytes; /* size of the largest list of tasks */
    char failed_job[16];        /* waits for its next start; empty: none */
    int plans_since_failure;
    int restart_plans_max; /* most plans from a failure to the next start */
};

static void format_job_id(int second, char id[16]) {
    g_snprintf(id, 16, "req-%06d", second);
}

static void submit_and_cancel(struct hour *hour, int second) {
    test_controller *controller = &hour->core->controller;
    char id[16];
    format_job_id(second, id);
    fake_store_submit(hour->core->store,
                      &(struct test_job){.job_id = id, .service = true, .cpus = 0.5, .mem_gb = 0.5},
                      controller->now);
    if (second >= JOB_LIFETIME_S) {
        format_job_id(second - JOB_LIFETIME_S, id);
        fake_store_sync(hour->core->store, controller->core, controller->now);
        test_controller_cancel(controller, id);
    }
}

/* Lets the task of the job that was submitted last but one fail. */
static void fail_task(struct hour *hour, int second) {
    format_job_id(second - 2, hour->failed_job);
    worker_model *worker = worker_fleet_find(&hour->fleet, hour->failed_job, 0);
    assert_non_null(worker);
    worker_end_task(worker, hour->failed_job, 0, RR_EXIT_ERROR);
    hour->plans_since_failure = 0;
}

/* Counts the plan that was made if a failed task waits for its next start. */
static void follow_failed_task(struct hour *hour) {
    if (!hour->failed_job[0]) {
        return;
    }
    hour->plans_since_failure++;
    hour->restart_plans_max = MAX(hour->restart_plans_max, hour->plans_since_failure);
    if (worker_fleet_find(&hour->fleet, hour->failed_job, 0)) {
        hour->failed_job[0] = 0;
    }
}

/* Returns the size of the worker's list of tasks in the protocol's JSON form. */
static size_t measure_task_list(const worker_model *worker) {
    size_t bytes = 0;
    for (guint i = 0; i < worker->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(worker->tasks, rr_task_status, i);
        char *text = g_strdup_printf("{\"piece\":\"%s/%u\",\"try\":%" G_GUINT64_FORMAT
                                     ",\"standing\":\"ended\",\"cause\":\"halted\"},",
                                     task->job_id, task->task, task->attempt);
        bytes += strlen(text);
        g_free(text);
    }
    return bytes;
}

static void measure_workers(struct hour *hour) {
    for (int i = 0; i < hour->fleet.worker_count; i++) {
        const worker_model *worker = &hour->fleet.workers[i];
        hour->ended_max = MAX(hour->ended_max, worker_count_ended(worker));
        hour->heartbeat_max_bytes = MAX(hour->heartbeat_max_bytes, measure_task_list(worker));
    }
}

static void an_hour_of_cancellations_keeps_few_ended_attempts(void **state) {
    (void)state;
    struct hour hour = {0};
    core_fixture_setup((void **)&hour.core);
    worker_fleet_init(&hour.fleet, &hour.core->controller, WORKERS);
    uint64_t first_token = rr_core_fencing_token(hour.core->controller.core);
    for (int second = 0; second < HOUR_S; second++) {
        submit_and_cancel(&hour, second);
        if (second % FAILURE_PERIOD_S == FAILURE_PERIOD_S - 1) {
            fail_task(&hour, second);
        }
        for (int i = 0; i < PLANS_PER_S; i++) {
            worker_fleet_run(&hour.fleet, 1);
            follow_failed_task(&hour);
            measure_workers(&hour);
        }
    }
    uint64_t terms = rr_core_fencing_token(hour.core->controller.core) - first_token;
    printf("%u start batches, %" G_GUINT64_FORMAT " new terms; on one worker at the most %d ended "
           "attempts, list of tasks %zu bytes; failed tasks started again within %d plans\n",
           hour.fleet.start_batches->len, terms, hour.ended_max, hour.heartbeat_max_bytes,
           hour.restart_plans_max);
    assert_true(hour.restart_plans_max >= 1 && hour.restart_plans_max <= RESTART_PLANS_MAX);
    assert_true(terms >= 1);
    assert_true(terms <= HOUR_S / TERM_DURATION_MIN_S);
    assert_true(hour.ended_max < ENDED_MAX);
    assert_true(hour.heartbeat_max_bytes < HEARTBEAT_MAX_BYTES);
    worker_fleet_clear(&hour.fleet);
    core_fixture_teardown((void **)&hour.core);
}

/* ---- short tasks ---- */

#define SHORT_TASKS 64 /* at a time, as many as the worker has room for */
#define SHORT_TASK_PLANS 4
#define SHORT_TASK_ROUNDS 60

static void short_tasks_do_not_wait_for_ended_attempts_to_be_reaped(void **state) {
    (void)state;
    core_fixture *core;
    worker_fleet fleet;
    core_fixture_setup((void **)&core);
    worker_fleet_init(&fleet, &core->controller, 1);
    const worker_model *worker = &fleet.workers[0];
    fake_store_submit(core->store,
                      &(struct test_job){.job_id = "req-1",
                                         .task_count = SHORT_TASKS * SHORT_TASK_ROUNDS,
                                         .cpus = 0.25,
                                         .mem_gb = 0.25},
                      core->controller.now);
    for (int i = 0; i < SHORT_TASK_ROUNDS; i++) {
        worker_fleet_run(&fleet, SHORT_TASK_PLANS);
        assert_int_equal((int)worker->tasks->len - worker_count_ended(worker), SHORT_TASKS);
        worker_end_all_tasks(&fleet.workers[0], RR_EXIT_DONE);
    }
    worker_fleet_clear(&fleet);
    core_fixture_teardown((void **)&core);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_hour_of_cancellations_keeps_few_ended_attempts),
        cmocka_unit_test(short_tasks_do_not_wait_for_ended_attempts_to_be_reaped),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
