/* The key-value store's next, lower limits come into force while records of the present size are
 * stored: every write keeps to them, and larger records are still read and processed. */
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "core_fixture.h"

#include <errno.h>
#include <string.h>

#define NEXT_KB 2.0
#define NEXT_CHANGES 4

#define MACHINES 20
#define TASKS 60 /* more than a record of NEXT_KB holds */

static int setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fixture->controller.config.next_value_kb = NEXT_KB;
    fixture->controller.config.next_transaction_changes_max = NEXT_CHANGES;
    return 0;
}

/* From here on the store enforces its next limits. */
static void enforce_next_limits(fake_store *store) {
    store->value_max = (size_t)(NEXT_KB * 1024);
    store->ops_max = NEXT_CHANGES;
}

/* Plans once and answers every command. A transaction that the store refuses as invalid lowers the
 * limits, as the shell does. Returns the result of the commit, 0 without one. */
static int plan(test_controller *node) {
    rr_plan plan;
    int rc = 0;
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    if (plan.has_transaction) {
        rc = fake_store_commit(node->store, &plan.transaction);
        if (rc == -EINVAL) {
            rr_core_next_limits_in_force(node->core, false);
        }
    }
    fake_store_sync(node->store, node->core, node->now);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_command_result(node->core, node->now, g_ptr_array_index(plan.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return rc;
}

static void assert_records_within_limit(const fake_store *store, const char *job_id) {
    for (int chunk = 0; chunk < 8; chunk++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", job_id, chunk);
        assert_true(fake_store_value_size(store, key) <= store->value_max);
    }
}

/* vm-1 to vm-<last> report no tasks. A higher worker epoch: their workers lost their leases. */
static void heartbeat_without_tasks(test_controller *node, int last, uint64_t worker_epoch,
                                    uint64_t sequence) {
    for (int machine = 1; machine <= last; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, "a", false, worker_epoch, sequence,
                                  rr_core_fencing_token(node->core), NULL);
    }
}

/* Plans so many times; the store refuses none of the transactions as invalid. */
static void plan_within_limits(test_controller *node, int plans, double interval_s) {
    for (int i = 0; i < plans; i++) {
        node->now += interval_s;
        assert_int_not_equal(plan(node), -EINVAL);
    }
}

static void submit(test_controller *node, const struct test_job *job) {
    fake_store_submit(node->store, job, node->now);
    fake_store_sync(node->store, node->core, node->now);
}

/* An array of more tasks than a record within the next limits holds. */
static const struct test_job large_array = {.job_id = "req-1", .task_count = TASKS, .cpus = 1};

/* Number of machines on which the ledger has a placement of the task. */
static unsigned count_places(const fake_store *store, const char *job_id, uint32_t task) {
    unsigned places = 0;
    for (int machine = 1; machine <= MACHINES; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        places += fake_store_attempt(store, id, job_id, task) != 0;
    }
    return places;
}

/* Once the next limits are in force every write keeps to them: placing, ending and cancelling an
 * array that would fill a record of the old size, beside machine pages of the old size. Its tasks
 * all run at once, in overflow records, as soon as every controller reads these: an array must not
 * be confined to the tasks of one smaller record. */
static void every_write_keeps_to_the_next_limits(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    test_controller_join_old_version(node);
    test_controller_add_machines(node, 1, MACHINES, "a"); /* in pages of the old size */
    enforce_next_limits(fixture->store);
    submit(node, &large_array);
    plan_within_limits(node, 12, 0.5);
    unsigned placed = fake_store_placed_count(fixture->store, "req-1");
    assert_true(placed >= 30 && placed < TASKS); /* the other tasks have no room in the record */
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/"), 1);
    test_controller_leave_old_version(node);
    heartbeat_without_tasks(node, MACHINES, 1, 8);
    plan_within_limits(node, 4, 0.5);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASKS);
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/") > 1);
    assert_records_within_limit(fixture->store, "req-1");
    test_controller_cancel(node, "req-1");
    heartbeat_without_tasks(node, MACHINES, 1, 9);
    plan_within_limits(node, 4, 0.5);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

static int shown_done; /* tasks of lower numbers are shown as done */

static const char *done_or_running(int machine, const char *job_id, uint32_t task, int shown,
                                   uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)shown;
    (void)sequence;
    return (int)task < shown_done ? "ended:done" : "running";
}

/* All machines show the job's tasks: those below `done` as done, the others as running. */
static void show_tasks(test_controller *node, const char *job_id, int tasks, int done,
                       uint64_t worker_epoch, uint64_t sequence) {
    struct shown_machines show = {.first = 1,
                                  .last = MACHINES,
                                  .last_in_a = MACHINES,
                                  .job_ids = &job_id,
                                  .jobs = 1,
                                  .tasks = (uint32_t)tasks,
                                  .task_max = SHOWN_TASKS_MAX,
                                  .worker_epoch = worker_epoch,
                                  .sequence = sequence,
                                  .state = done_or_running};
    shown_done = done;
    test_controller_show_machines(node, &show);
}

/* The task has one placement, under an attempt after this one. */
static void assert_placed_once(const fake_store *store, uint32_t task, uint64_t after) {
    assert_int_equal(count_places(store, "req-1", task), 1);
    for (int machine = 1; machine <= MACHINES; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        uint64_t attempt = fake_store_attempt(store, id, "req-1", task);
        assert_true(attempt == 0 || attempt > after);
    }
}

/* Plans within the limits; no task of the array ever has two placements. */
static void plan_large_array(test_controller *node, int plans) {
    for (int i = 0; i < plans; i++) {
        plan_within_limits(node, 1, 0.5);
        assert_true(fake_store_placed_count(node->store, "req-1") <= TASKS);
    }
}

/* Places the whole array under the next limits, which takes overflow records. */
static void place_large_array(core_fixture *fixture) {
    test_controller *node = &fixture->controller;
    test_controller_add_machines(node, 1, MACHINES, "a");
    enforce_next_limits(fixture->store);
    submit(node, &large_array);
    plan_large_array(node, 4);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASKS);
}

/* All machines lose their leases, and every task is placed again. Returns an attempt from before.
 */
static uint64_t lose_and_place_again(core_fixture *fixture) {
    uint64_t first = fake_store_attempt(fixture->store, "vm-1", "req-1", 0);
    heartbeat_without_tasks(&fixture->controller, MACHINES, 2, 1); /* every lease was lost */
    plan_large_array(&fixture->controller, 12);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASKS);
    assert_records_within_limit(fixture->store, "req-1");
    return first;
}

/* Tasks lost from overflow records run again under new attempts, none beside its old placement. */
static void lost_tasks_in_overflow_records_run_again(void **state) {
    core_fixture *fixture = *state;
    place_large_array(fixture);
    uint64_t first = lose_and_place_again(fixture);
    for (uint32_t task = 0; task < TASKS; task++) {
        assert_placed_once(fixture->store, task, first);
    }
}

/* A new owner reads overflow records, and tasks in them end as others do: their completions stand
 * in the record of their chunk. */
static void a_new_owner_completes_overflow_records(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, next;
    rr_job_view view;
    place_large_array(fixture);
    lose_and_place_again(fixture);
    test_controller_init(&next, fixture->store, "n1");
    next.config.next_value_kb = NEXT_KB;
    next.config.next_transaction_changes_max = NEXT_CHANGES;
    next.now = node->now;
    fake_store_reload(fixture->store, next.core, next.now);
    test_controller_leave(node);
    test_controller_join(&next, 9);
    show_tasks(&next, "req-1", TASKS, 50, 2, 2);
    plan_large_array(&next, 6);
    rr_core_job_view(next.core, "req-1", next.now, &view);
    assert_int_equal(view.done_count, 50);
    assert_false(view.done);
    show_tasks(&next, "req-1", TASKS, TASKS, 2, 3);
    plan_large_array(&next, 6);
    rr_core_job_view(next.core, "req-1", next.now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    test_controller_clear(&next);
}

/* Writes a ledger record as any version does: `count` tasks from `first` on, each on the machine of
 * its number modulo MACHINES, under attempts from `attempt` on. */
static void put_record(core_fixture *fixture, const char *job_id, int chunk, int first, int count,
                       uint64_t attempt) {
    char key[64];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 2);
    rr_encode_key_text(&encoder, "bits", "0000000000000000");
    rr_encode_text(&encoder, "tasks");
    rr_encode_array(&encoder, (size_t)count);
    for (int task = first; task < first + count; task++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", task % MACHINES + 1);
        rr_encode_array(&encoder, 5);
        rr_encode_u64(&encoder, (uint64_t)task);
        rr_encode_text(&encoder, id);
        rr_encode_u64(&encoder, attempt + (uint64_t)task);
        rr_encode_u64(&encoder, 1);
        rr_encode_u64(&encoder, 0);
    }
    g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", job_id, chunk);
    fake_store_put(fixture->store, key, &encoder);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

#define OLD_ATTEMPT (((uint64_t)5000 << 32) + 500)

/* Writes the array's ledger record as an old version does, in one record larger than the limit. */
static void put_old_record(core_fixture *fixture) {
    put_record(fixture, "req-1", 0, 0, TASKS, OLD_ATTEMPT);
}

/* A lost task whose record is too large to be written waits, and nothing else does. Its failure
 * must not be taken for a lack of room, which would make other jobs of its size wait, too. */
static void a_task_of_an_unwritable_record_blocks_nothing_else(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    test_controller_add_machines(node, 1, MACHINES, "a");
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-1", .task_count = TASKS, .cpus = 1, .deadline_s = 10},
        node->now);
    put_old_record(fixture);
    enforce_next_limits(fixture->store);
    rr_core_next_limits_in_force(node->core, false);
    show_tasks(node, "req-1", TASKS, 0, 1, 2);
    test_controller_heartbeat(node, "vm-1", "a", false, 2, 1, rr_core_fencing_token(node->core),
                              NULL);
    node->now += 1;
    assert_int_not_equal(plan(node), -EINVAL);
    for (int i = 0; i < 10; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-2%02d", i);
        submit(node, &(struct test_job){.job_id = job_id, .cpus = 1, .deadline_s = 100});
        node->now += 2; /* long enough for the plan to try the blocked task again, too */
        show_tasks(node, "req-1", TASKS, 0, 1, (uint64_t)i + 3);
        assert_int_not_equal(plan(node), -EINVAL);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 1);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), TASKS);
}

/* While a task's older placement in an overflow record is not proven terminated, the newer one in
 * its chunk's record does not start. */
static void a_task_waits_for_its_older_placement_in_an_overflow_record(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(node, 1, MACHINES, "a");
    fake_store_submit(fixture->store, &large_array, node->now);
    put_record(fixture, "req-1", 1, 50, 1, OLD_ATTEMPT);
    put_record(fixture, "req-1", 0, 50, 1, OLD_ATTEMPT + 100);
    node->now += 1;
    test_controller_plan(node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        for (guint k = 0; k < batch->commands->len; k++) {
            const rr_command *command = &g_array_index(batch->commands, rr_command, k);
            assert_false(command->kind == RR_COMMAND_START && command->task == 50 &&
                         command->attempt == OLD_ATTEMPT + 100 + 50);
        }
    }
    rr_plan_clear(&plan);
}

/* A task lost from an overflow record is placed again in the record of its chunk if that has room
 * by then, and the same change removes its old placement. */
static void a_lost_task_moves_back_to_the_record_of_its_chunk(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    test_controller_add_machines(node, 1, MACHINES, "a");
    enforce_next_limits(fixture->store);
    fake_store_submit(fixture->store, &large_array, node->now);
    put_record(fixture, "req-1", 0, 0, 41, OLD_ATTEMPT);
    put_record(fixture, "req-1", 1, 41, 19, OLD_ATTEMPT);
    show_tasks(node, "req-1", TASKS, 10, 1, 2);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 50);
    /* Task 50 runs on vm-11, which loses its lease. Writes are short, so that lost placements are
     * not removed by changes of their own. */
    rr_core_set_write_pressure(node->core, 1, NEXT_CHANGES);
    uint64_t lost = fake_store_attempt(fixture->store, "vm-11", "req-1", 50);
    assert_true(lost != 0);
    test_controller_heartbeat(node, "vm-11", "a", false, 2, 1, rr_core_fencing_token(node->core),
                              NULL);
    for (int i = 0; i < 6; i++) {
        plan_within_limits(node, 1, 0.5);
        assert_true(count_places(fixture->store, "req-1", 50) <= 1);
        assert_true(fake_store_placed_count(fixture->store, "req-1") <= 50);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 50);
}

/* An old record beyond the next limit stays readable. A refused write shows that the limit is in
 * force; the record is then written again once enough of its tasks have ended. Nothing of it is
 * lost, and other jobs are placed meanwhile. */
static void an_old_record_beyond_the_limit_waits_until_it_fits(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_job_view view;
    test_controller_add_machines(node, 1, MACHINES, "a");
    fake_store_submit(fixture->store, &large_array, node->now);
    put_old_record(fixture);
    assert_true(fake_store_value_size(fixture->store, RR_KEY_ROOT "run/req-1/0") >
                (size_t)(NEXT_KB * 1024));
    /* The next limits are not in force: the record may be written again while it does not grow. */
    show_tasks(node, "req-1", TASKS, 2, 1, 2);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 58);
    enforce_next_limits(fixture->store);
    show_tasks(node, "req-1", TASKS, 4, 1, 3);
    node->now += 1;
    assert_int_equal(plan(node), -EINVAL);
    plan_within_limits(node, 3, 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 58);
    submit(node, &(struct test_job){.job_id = "req-2", .cpus = 1});
    show_tasks(node, "req-1", TASKS, 30, 1, 4);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 30);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        plan(node);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    show_tasks(node, "req-1", TASKS, TASKS, 1, 5);
    plan_within_limits(node, 3, 1);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done);
}

/* An old machine page beyond the next limit is split by changes that each fit. At no moment does a
 * reader, whether it follows the store or reloads, miss a machine of it. */
static void an_old_page_is_split_without_losing_a_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, other;
    rr_core_stats stats;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    test_controller_init(&other, fixture->store, "n1");
    test_controller_add_machines(node, 1, 40, "a");
    fake_store_sync(fixture->store, other.core, other.now);
    for (int i = 1; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    assert_true(fake_store_value_size(fixture->store, RR_KEY_ROOT "fleet/00000001") >
                (size_t)(NEXT_KB * 1024));
    enforce_next_limits(fixture->store);
    for (int i = 0; i < 20; i++) {
        test_controller_autoscaler_step(node, machines, &step);
        rr_autoscaler_step_clear(&step);
        node->now += 0.6;
        test_controller fresh;
        test_controller_init(&fresh, fixture->store, "n2");
        fake_store_reload(fixture->store, fresh.core, fresh.now);
        fake_store_sync(fixture->store, other.core, other.now);
        rr_core_get_stats(fresh.core, &stats);
        assert_int_equal(stats.machines, 40);
        rr_core_get_stats(other.core, &stats);
        assert_int_equal(stats.machines, 40);
        rr_core_get_stats(node->core, &stats);
        assert_int_equal(stats.machines, 40);
        assert_int_equal(stats.booting, 0); /* their heartbeats are not forgotten */
        test_controller_clear(&fresh);
    }
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "fleet/") >= 2);
    for (int i = 1; i <= (int)fake_store_count(fixture->store, RR_KEY_ROOT "fleet/"); i++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", i);
        assert_true(fake_store_value_size(fixture->store, key) <= fixture->store->value_max);
    }
    g_array_free(machines, TRUE);
    test_controller_clear(&other);
}

/* Without next limits in the settings, a page that addresses have grown a little beyond a full one
 * is still written: a machine that is gone must leave it, or machines would stay rented for good.
 */
static void a_page_grown_beyond_a_full_one_is_still_written(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    node->config.next_value_kb = node->config.next_transaction_changes_max = 0;
    test_controller_add_machines(node, 1, 40, "a");
    node->config.value_kb =
        (double)fake_store_value_size(fixture->store, RR_KEY_ROOT "fleet/00000001") / 1024;
    for (int i = 2; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    list_machine(machines, "vm-1", "a", RR_LISTED_FAILED, 0);
    for (int i = 0; i < 20 && fake_store_has_machine(fixture->store, "vm-1"); i++) {
        test_controller_autoscaler_step(node, machines, &step);
        rr_autoscaler_step_clear(&step);
        node->now += 0.6;
    }
    assert_false(fake_store_has_machine(fixture->store, "vm-1"));
    assert_true(fake_store_has_machine(fixture->store, "vm-2"));
    g_array_free(machines, TRUE);
}

/* A transaction goes unanswered and its repetition is refused as invalid: the first copy may still
 * be committed, so nothing is planned before a new term has voided it. */
static void nothing_is_planned_until_a_new_term_voids_a_doubtful_transaction(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan late;
    test_controller_add_machines(node, 1, 4, "a");
    submit(node, &(struct test_job){.job_id = "req-1"});
    rr_plan_init(&late);
    rr_core_plan(node->core, node->now, node->now, &late);
    assert_true(late.has_transaction);
    rr_core_next_limits_in_force(node->core, true);
    uint64_t token = rr_core_fencing_token(node->core);
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    test_controller_next_term(node);
    assert_true(rr_core_fencing_token(node->core) == token + 1);
    assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    heartbeat_without_tasks(node, 4, 1, 9);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 1);
    test_controller_next_term(node);
    assert_true(rr_core_fencing_token(node->core) == token + 1); /* one is enough */
    rr_plan_clear(&late);
}

#define T(test) cmocka_unit_test_setup_teardown(test, setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        T(every_write_keeps_to_the_next_limits),
        T(lost_tasks_in_overflow_records_run_again),
        T(a_new_owner_completes_overflow_records),
        T(a_task_of_an_unwritable_record_blocks_nothing_else),
        T(a_task_waits_for_its_older_placement_in_an_overflow_record),
        T(a_lost_task_moves_back_to_the_record_of_its_chunk),
        T(an_old_record_beyond_the_limit_waits_until_it_fits),
        T(an_old_page_is_split_without_losing_a_machine),
        T(a_page_grown_beyond_a_full_one_is_still_written),
        T(nothing_is_planned_until_a_new_term_voids_a_doubtful_transaction),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
