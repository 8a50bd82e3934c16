/* The key-value store's next, lower limits come into force while it holds records of the old size.
 * Every write keeps to the new limits, and larger records are still read and processed. */
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "core_fixture.h"

#include <errno.h>
#include <string.h>

/* The next limits. */
#define NEXT_VALUE_KB 2.0
#define NEXT_TRANSACTION_CHANGES 4

#define MACHINE_COUNT 20
#define TASK_COUNT 60 /* more than a record of NEXT_VALUE_KB holds */

/* core_fixture with the next limits in the settings. Torn down with core_fixture_teardown(). */
static int setup_with_next_limits(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fixture->controller.config.next_value_kb = NEXT_VALUE_KB;
    fixture->controller.config.next_transaction_changes_max = NEXT_TRANSACTION_CHANGES;
    return 0;
}

/* Makes the store enforce its next limits from here on. */
static void enforce_next_limits(fake_store *store) {
    store->value_bytes_max = (size_t)(NEXT_VALUE_KB * 1024);
    store->change_count_max = NEXT_TRANSACTION_CHANGES;
}

/* Plans once, commits the transaction and answers every command. If the store refuses the
 * transaction as invalid, the core puts the next limits in force, as src/app makes it do. Returns
 * the result of the commit, or 0 if there was no transaction. */
static int plan_and_commit(test_controller *controller) {
    rr_plan plan;
    int rc = 0;
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    if (plan.has_transaction) {
        rc = fake_store_commit(controller->store, &plan.transaction);
        if (rc == -EINVAL) {
            rr_core_activate_next_limits(controller->core, false);
        }
    }
    fake_store_sync(controller->store, controller->core, controller->now);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_record_command_result(controller->core, controller->now,
                                      g_ptr_array_index(plan.command_batches, i),
                                      RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return rc;
}

/* Asserts that each of the job's ledger records keeps to the store's limit. */
static void assert_records_within_limit(const fake_store *store, const char *job_id) {
    for (int chunk = 0; chunk < 8; chunk++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", job_id, chunk);
        assert_true(fake_store_value_size(store, key) <= store->value_bytes_max);
    }
}

/* Machines vm-1 to vm-<last> send a heartbeat without tasks. A higher worker epoch than before
 * means that their workers have lost their leases. */
static void send_empty_heartbeats(test_controller *controller, int last, uint64_t worker_epoch,
                                  uint64_t sequence) {
    for (int machine = 1; machine <= last; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(controller, id, "a", false, worker_epoch, sequence,
                                  rr_core_fencing_token(controller->core), NULL);
    }
}

/* Plans `plan_count` times, `interval_s` seconds apart. Asserts that the store refuses no
 * transaction as invalid. */
static void plan_within_limits(test_controller *controller, int plan_count, double interval_s) {
    for (int i = 0; i < plan_count; i++) {
        controller->now += interval_s;
        assert_int_not_equal(plan_and_commit(controller), -EINVAL);
    }
}

/* Submits the job and brings the core's store cache up to date. */
static void submit_job(test_controller *controller, const struct test_job *job) {
    fake_store_submit(controller->store, job, controller->now);
    fake_store_sync(controller->store, controller->core, controller->now);
}

/* An array of more tasks than one record within the next limits holds. */
static const struct test_job large_array = {.job_id = "req-1", .task_count = TASK_COUNT, .cpus = 1};

/* Returns the number of machines on which the ledger places the task. */
static unsigned count_placements(const fake_store *store, const char *job_id, uint32_t task) {
    unsigned placements = 0;
    for (int machine = 1; machine <= MACHINE_COUNT; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        placements += fake_store_find_attempt(store, id, job_id, task) != 0;
    }
    return placements;
}

/* A reported_task_state_fn: every task has been stopped. */
static const char *report_stopped(int machine, const char *job_id, uint32_t task, int position,
                                  uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)position;
    (void)sequence;
    return "ended:halted";
}

/* All machines report the tasks of large_array that the ledger has placed on them as stopped. */
static void send_heartbeats_with_stopped_tasks(test_controller *controller, uint64_t sequence) {
    static const char *const job_ids[] = {"req-1"};
    struct reporting_machines reporting = {.first = 1,
                                           .last = MACHINE_COUNT,
                                           .last_in_zone_a = MACHINE_COUNT,
                                           .job_ids = job_ids,
                                           .job_count = 1,
                                           .tasks_per_job = TASK_COUNT,
                                           .heartbeat_tasks_max = HEARTBEAT_TASKS_MAX,
                                           .worker_epoch = 1,
                                           .sequence = sequence,
                                           .state = report_stopped};
    test_controller_send_heartbeats(controller, &reporting);
}

/* Once the next limits are in force, every write keeps to them: placing, ending and cancelling an
 * array that would fill a record of the old size, beside machine pages of the old size. An array
 * must not be confined to the tasks that fit into one smaller record, so all of its tasks run at
 * once, in overflow records, as soon as every controller reads these. */
static void writes_keep_to_next_limits(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    test_controller_join_old_version(controller);
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a"); /* in pages of the old size */
    enforce_next_limits(fixture->store);
    submit_job(controller, &large_array);
    plan_within_limits(controller, 12, 0.5);
    unsigned placed = fake_store_placed_count(fixture->store, "req-1");
    /* The other tasks have no room in the record. */
    assert_true(placed >= 30 && placed < TASK_COUNT);
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/"), 1);
    test_controller_delete_old_version_session(controller);
    send_empty_heartbeats(controller, MACHINE_COUNT, 1, 8);
    plan_within_limits(controller, 4, 0.5);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASK_COUNT);
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/") > 1);
    assert_records_within_limit(fixture->store, "req-1");
    test_controller_cancel(controller, "req-1");
    send_heartbeats_with_stopped_tasks(controller, 9);
    plan_within_limits(controller, 4, 0.5);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

static int done_task_count; /* choose_done_or_running() takes tasks below this number for done */

/* A reported_task_state_fn: tasks below done_task_count are done, the others run. */
static const char *choose_done_or_running(int machine, const char *job_id, uint32_t task, int shown,
                                          uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)shown;
    (void)sequence;
    return (int)task < done_task_count ? "ended:done" : "running";
}

/* All machines report the job's tasks that the ledger places on them: those below `done_count` as
 * done, the others as running. */
static void report_tasks(test_controller *controller, const char *job_id, int task_count,
                         int done_count, uint64_t worker_epoch, uint64_t sequence) {
    struct reporting_machines reporting = {.first = 1,
                                           .last = MACHINE_COUNT,
                                           .last_in_zone_a = MACHINE_COUNT,
                                           .job_ids = &job_id,
                                           .job_count = 1,
                                           .tasks_per_job = (uint32_t)task_count,
                                           .heartbeat_tasks_max = HEARTBEAT_TASKS_MAX,
                                           .worker_epoch = worker_epoch,
                                           .sequence = sequence,
                                           .state = choose_done_or_running};
    done_task_count = done_count;
    test_controller_send_heartbeats(controller, &reporting);
}

/* Asserts that the task has one placement, under an attempt after `previous_attempt`. */
static void assert_placed_once(const fake_store *store, uint32_t task, uint64_t previous_attempt) {
    assert_int_equal(count_placements(store, "req-1", task), 1);
    for (int machine = 1; machine <= MACHINE_COUNT; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        uint64_t attempt = fake_store_find_attempt(store, id, "req-1", task);
        assert_true(attempt == 0 || attempt > previous_attempt);
    }
}

/* Plans `plan_count` times within the limits. Asserts that the array never has more placements than
 * tasks, which it would have if a task had two. */
static void plan_large_array(test_controller *controller, int plan_count) {
    for (int i = 0; i < plan_count; i++) {
        plan_within_limits(controller, 1, 0.5);
        assert_true(fake_store_placed_count(controller->store, "req-1") <= TASK_COUNT);
    }
}

/* Places the whole array under the next limits, for which it needs overflow records. */
static void place_large_array(core_fixture *fixture) {
    test_controller *controller = &fixture->controller;
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a");
    enforce_next_limits(fixture->store);
    submit_job(controller, &large_array);
    plan_large_array(controller, 4);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASK_COUNT);
}

/* All machines lose their leases, and every task is placed again. Returns the attempt that task 0
 * had on vm-1 before. */
static uint64_t lose_leases_and_place_again(core_fixture *fixture) {
    uint64_t previous_attempt = fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0);
    send_empty_heartbeats(&fixture->controller, MACHINE_COUNT, 2, 1); /* every lease was lost */
    plan_large_array(&fixture->controller, 12);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASK_COUNT);
    assert_records_within_limit(fixture->store, "req-1");
    return previous_attempt;
}

/* Tasks lost from overflow records are placed again under new attempts, and none keeps its old
 * placement beside the new one. */
static void lost_tasks_of_overflow_records_are_placed_again(void **state) {
    core_fixture *fixture = *state;
    place_large_array(fixture);
    uint64_t previous_attempt = lose_leases_and_place_again(fixture);
    for (uint32_t task = 0; task < TASK_COUNT; task++) {
        assert_placed_once(fixture->store, task, previous_attempt);
    }
}

/* A new owner reads overflow records, and their tasks end as others do: their completions are
 * recorded in the record of their chunk. */
static void new_owner_completes_tasks_of_overflow_records(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, new_owner;
    rr_job_view view;
    place_large_array(fixture);
    lose_leases_and_place_again(fixture);
    test_controller_init(&new_owner, fixture->store, "n1");
    new_owner.config.next_value_kb = NEXT_VALUE_KB;
    new_owner.config.next_transaction_changes_max = NEXT_TRANSACTION_CHANGES;
    new_owner.now = controller->now;
    fake_store_reload(fixture->store, new_owner.core, new_owner.now);
    test_controller_delete_session(controller);
    test_controller_join(&new_owner, 9);
    report_tasks(&new_owner, "req-1", TASK_COUNT, 50, 2, 2);
    plan_large_array(&new_owner, 6);
    rr_core_get_job_view(new_owner.core, "req-1", new_owner.now, &view);
    assert_int_equal(view.done_count, 50);
    assert_false(view.done);
    report_tasks(&new_owner, "req-1", TASK_COUNT, TASK_COUNT, 2, 3);
    plan_large_array(&new_owner, 6);
    rr_core_get_job_view(new_owner.core, "req-1", new_owner.now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    test_controller_clear(&new_owner);
}

/* Writes a ledger record as any version does: `task_count` tasks from `first_task` on, task n on
 * machine vm-<n % MACHINE_COUNT + 1> under the attempt `attempt_base` + n. */
static void put_ledger_record(core_fixture *fixture, const char *job_id, int chunk, int first_task,
                              int task_count, uint64_t attempt_base) {
    char key[64];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 2);
    rr_encode_key_text(&encoder, "bits", "0000000000000000");
    rr_encode_text(&encoder, "tasks");
    rr_encode_array(&encoder, (size_t)task_count);
    for (int task = first_task; task < first_task + task_count; task++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", task % MACHINE_COUNT + 1);
        rr_encode_array(&encoder, 5);
        rr_encode_u64(&encoder, (uint64_t)task);
        rr_encode_text(&encoder, id);
        rr_encode_u64(&encoder, attempt_base + (uint64_t)task);
        rr_encode_u64(&encoder, 1);
        rr_encode_u64(&encoder, 0);
    }
    g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", job_id, chunk);
    fake_store_put(fixture->store, key, &encoder);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

/* First attempt number of records that the tests write themselves: token 5000, counter 500. */
#define OLD_ATTEMPT_BASE (((uint64_t)5000 << 32) + 500)

/* Writes the array's ledger record as an old version does: a single record that is larger than the
 * next limit. */
static void put_oversized_ledger_record(core_fixture *fixture) {
    put_ledger_record(fixture, "req-1", 0, 0, TASK_COUNT, OLD_ATTEMPT_BASE);
}

/* A lost task whose record is too large to be written waits, and nothing else does. Its failure
 * must not be taken for a lack of room, which would make other jobs of its size wait as well. */
static void task_of_unwritable_record_blocks_no_other_job(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a");
    fake_store_submit(fixture->store,
                      &(struct test_job){
                          .job_id = "req-1", .task_count = TASK_COUNT, .cpus = 1, .deadline_s = 10},
                      controller->now);
    put_oversized_ledger_record(fixture);
    enforce_next_limits(fixture->store);
    rr_core_activate_next_limits(controller->core, false);
    report_tasks(controller, "req-1", TASK_COUNT, 0, 1, 2);
    test_controller_heartbeat(controller, "vm-1", "a", false, 2, 1,
                              rr_core_fencing_token(controller->core), NULL);
    controller->now += 1;
    assert_int_not_equal(plan_and_commit(controller), -EINVAL);
    for (int i = 0; i < 10; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-2%02d", i);
        submit_job(controller, &(struct test_job){.job_id = job_id, .cpus = 1, .deadline_s = 100});
        controller->now += 2; /* long enough for the plan to retry the blocked task as well */
        report_tasks(controller, "req-1", TASK_COUNT, 0, 1, (uint64_t)i + 3);
        assert_int_not_equal(plan_and_commit(controller), -EINVAL);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 1);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASK_COUNT);
}

/* As long as the older placement of a task, in an overflow record, is not proven terminated, the
 * newer placement in the record of its chunk does not start. */
static void task_waits_for_older_placement_in_overflow_record(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a");
    fake_store_submit(fixture->store, &large_array, controller->now);
    put_ledger_record(fixture, "req-1", 1, 50, 1, OLD_ATTEMPT_BASE);
    put_ledger_record(fixture, "req-1", 0, 50, 1, OLD_ATTEMPT_BASE + 100);
    controller->now += 1;
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        for (guint k = 0; k < batch->commands->len; k++) {
            const rr_command *command = &g_array_index(batch->commands, rr_command, k);
            assert_false(command->kind == RR_COMMAND_START && command->task == 50 &&
                         command->attempt == OLD_ATTEMPT_BASE + 100 + 50);
        }
    }
    rr_plan_clear(&plan);
}

/* A task lost from an overflow record is placed again in the record of its chunk if that has room
 * by then, and the same change removes the old placement. */
static void lost_task_moves_back_to_record_of_its_chunk(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a");
    enforce_next_limits(fixture->store);
    fake_store_submit(fixture->store, &large_array, controller->now);
    put_ledger_record(fixture, "req-1", 0, 0, 41, OLD_ATTEMPT_BASE);
    put_ledger_record(fixture, "req-1", 1, 41, 19, OLD_ATTEMPT_BASE);
    report_tasks(controller, "req-1", TASK_COUNT, 10, 1, 2);
    controller->now += 1;
    assert_int_equal(plan_and_commit(controller), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 50);
    /* Task 50 runs on vm-11, which loses its lease. Under write pressure, lost placements are not
     * removed by changes of their own. */
    rr_core_set_write_pressure(controller->core, 1, NEXT_TRANSACTION_CHANGES);
    uint64_t lost_attempt = fake_store_find_attempt(fixture->store, "vm-11", "req-1", 50);
    assert_true(lost_attempt != 0);
    test_controller_heartbeat(controller, "vm-11", "a", false, 2, 1,
                              rr_core_fencing_token(controller->core), NULL);
    for (int i = 0; i < 6; i++) {
        plan_within_limits(controller, 1, 0.5);
        assert_true(count_placements(fixture->store, "req-1", 50) <= 1);
        assert_true(fake_store_placed_count(fixture->store, "req-1") <= 50);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 50);
}

/* An old record that exceeds the next limit stays readable. A refused write shows that the limit is
 * in force; the record is then written again once enough of its tasks have ended. Nothing in it is
 * lost, and other jobs are placed meanwhile. */
static void oversized_record_is_rewritten_once_it_fits(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_job_view view;
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a");
    fake_store_submit(fixture->store, &large_array, controller->now);
    put_oversized_ledger_record(fixture);
    assert_true(fake_store_value_size(fixture->store, RR_KEY_ROOT "run/req-1/0") >
                (size_t)(NEXT_VALUE_KB * 1024));
    /* The next limits are not in force yet: the record may be written again as long as it does not
     * grow. */
    report_tasks(controller, "req-1", TASK_COUNT, 2, 1, 2);
    controller->now += 1;
    assert_int_equal(plan_and_commit(controller), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 58);
    enforce_next_limits(fixture->store);
    report_tasks(controller, "req-1", TASK_COUNT, 4, 1, 3);
    controller->now += 1;
    assert_int_equal(plan_and_commit(controller), -EINVAL);
    plan_within_limits(controller, 3, 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 58);
    submit_job(controller, &(struct test_job){.job_id = "req-2", .cpus = 1});
    report_tasks(controller, "req-1", TASK_COUNT, 30, 1, 4);
    controller->now += 1;
    assert_int_equal(plan_and_commit(controller), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 30);
    for (int i = 0; i < 3; i++) {
        controller->now += 1;
        plan_and_commit(controller);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    report_tasks(controller, "req-1", TASK_COUNT, TASK_COUNT, 1, 5);
    plan_within_limits(controller, 3, 1);
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_true(view.done);
}

/* An old machine page that exceeds the next limit is split by changes that each keep to it. At no
 * moment does a reader, whether it follows the store's changes or reloads all records, miss a
 * machine of the page. */
static void oversized_machine_page_is_split_without_losing_machines(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, follower;
    rr_core_stats stats;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    test_controller_init(&follower, fixture->store, "n1");
    test_controller_add_machines(controller, 1, 40, "a");
    fake_store_sync(fixture->store, follower.core, follower.now);
    for (int i = 1; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        append_listed_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    assert_true(fake_store_value_size(fixture->store, RR_KEY_ROOT "fleet/00000001") >
                (size_t)(NEXT_VALUE_KB * 1024));
    enforce_next_limits(fixture->store);
    for (int i = 0; i < 20; i++) {
        test_controller_autoscaler_step(controller, machines, &step);
        rr_autoscaler_step_clear(&step);
        controller->now += 0.6;
        test_controller reloaded;
        test_controller_init(&reloaded, fixture->store, "n2");
        fake_store_reload(fixture->store, reloaded.core, reloaded.now);
        fake_store_sync(fixture->store, follower.core, follower.now);
        rr_core_get_stats(reloaded.core, &stats);
        assert_int_equal(stats.machines, 40);
        rr_core_get_stats(follower.core, &stats);
        assert_int_equal(stats.machines, 40);
        rr_core_get_stats(controller->core, &stats);
        assert_int_equal(stats.machines, 40);
        assert_int_equal(stats.booting, 0); /* no machine's heartbeats are forgotten */
        test_controller_clear(&reloaded);
    }
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "fleet/") >= 2);
    for (int i = 1; i <= (int)fake_store_count(fixture->store, RR_KEY_ROOT "fleet/"); i++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", i);
        assert_true(fake_store_value_size(fixture->store, key) <= fixture->store->value_bytes_max);
    }
    g_array_free(machines, TRUE);
    test_controller_clear(&follower);
}

/* Without next limits in the settings, a page that longer addresses have made slightly larger than
 * a full one is still written. Otherwise a machine that is gone could not leave its page, and
 * machines would stay rented for good. */
static void overfull_machine_page_is_still_written(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    controller->config.next_value_kb = controller->config.next_transaction_changes_max = 0;
    test_controller_add_machines(controller, 1, 40, "a");
    controller->config.value_kb =
        (double)fake_store_value_size(fixture->store, RR_KEY_ROOT "fleet/00000001") / 1024;
    for (int i = 2; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        append_listed_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    append_listed_machine(machines, "vm-1", "a", RR_LISTED_FAILED, 0);
    for (int i = 0; i < 20 && fake_store_has_machine(fixture->store, "vm-1"); i++) {
        test_controller_autoscaler_step(controller, machines, &step);
        rr_autoscaler_step_clear(&step);
        controller->now += 0.6;
    }
    assert_false(fake_store_has_machine(fixture->store, "vm-1"));
    assert_true(fake_store_has_machine(fixture->store, "vm-2"));
    g_array_free(machines, TRUE);
}

/* A transaction goes unanswered and its retry is refused as invalid. The first copy may still be
 * committed, so nothing is planned until a new term has voided it. */
static void nothing_is_planned_until_new_term_voids_unanswered_transaction(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan unanswered_plan;
    test_controller_add_machines(controller, 1, 4, "a");
    submit_job(controller, &(struct test_job){.job_id = "req-1"});
    rr_plan_init(&unanswered_plan);
    rr_core_plan(controller->core, controller->now, controller->now, &unanswered_plan);
    assert_true(unanswered_plan.has_transaction);
    rr_core_activate_next_limits(controller->core, true);
    uint64_t first_token = rr_core_fencing_token(controller->core);
    assert_int_equal(plan_and_commit(controller), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    test_controller_begin_next_term(controller);
    assert_true(rr_core_fencing_token(controller->core) == first_token + 1);
    assert_int_not_equal(fake_store_commit(fixture->store, &unanswered_plan.transaction), 0);
    send_empty_heartbeats(controller, 4, 1, 9);
    controller->now += 1;
    assert_int_equal(plan_and_commit(controller), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 1);
    test_controller_begin_next_term(controller);
    /* No second new term is made. */
    assert_true(rr_core_fencing_token(controller->core) == first_token + 1);
    rr_plan_clear(&unanswered_plan);
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, setup_with_next_limits, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(writes_keep_to_next_limits),
        TEST(lost_tasks_of_overflow_records_are_placed_again),
        TEST(new_owner_completes_tasks_of_overflow_records),
        TEST(task_of_unwritable_record_blocks_no_other_job),
        TEST(task_waits_for_older_placement_in_overflow_record),
        TEST(lost_task_moves_back_to_record_of_its_chunk),
        TEST(oversized_record_is_rewritten_once_it_fits),
        TEST(oversized_machine_page_is_split_without_losing_machines),
        TEST(overfull_machine_page_is_still_written),
        TEST(nothing_is_planned_until_new_term_voids_unanswered_transaction),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
