/* The rules that must hold under every failure, each test tied to one way of breaking them. */
#include "core_fixture.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <string.h>

/* The fixture, with a machine in each zone. */
static int setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, false);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
    return 0;
}

/* Both machines report empty; the job is reserved on one of them, whose id comes back. */
static const char *book_one(core_fixture *fixture, const struct test_job *job, uint64_t *attempt) {
    rr_plan plan;
    test_controller_heartbeat(&fixture->n, "vm-1", "a", false, 1, 1,
                              rr_core_fencing_token(fixture->n.core), NULL);
    test_controller_heartbeat(&fixture->n, "vm-2", "b", false, 1, 1,
                              rr_core_fencing_token(fixture->n.core), NULL);
    fake_store_submit(fixture->store, job, fixture->n.now);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
    assert_int_equal(test_controller_plan(&fixture->n, &plan), 1);
    /* Nothing is started before the reservation is recorded. */
    assert_int_equal(plan.command_batches->len, 0);
    rr_plan_clear(&plan);
    *attempt = fake_store_attempt(fixture->store, "vm-1", job->job_id, 0);
    if (*attempt) {
        return "vm-1";
    }
    *attempt = fake_store_attempt(fixture->store, "vm-2", job->job_id, 0);
    assert_true(*attempt != 0);
    return "vm-2";
}

static const char *zone_of(const char *id) {
    return strcmp(id, "vm-1") == 0 ? "a" : "b";
}

static char *shown(const char *job_id, uint64_t attempt, const char *state) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " %s", job_id, attempt, state);
}

/* A start went unanswered: its copy may come minutes late. Absence from a report then proves
 * nothing; the task is started and stopped under the same token, so that an exited attempt blocks
 * the late copy, and that attempt is not reaped before the next term. */
static void late_start_after_reassignment(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000001", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = book_one(fixture, &job, &attempt);
    test_controller_plan(node, &plan);
    rr_command_batch *batch_index = plan_find_batch(&plan, machine);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0));
    rr_core_command_result(node->core, node->now, batch_index, RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&plan);
    test_controller_cancel(node, job.job_id);
    node->now += 3;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2,
                              rr_core_fencing_token(node->core), NULL);
    test_controller_plan(node, &plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    const rr_command *start = plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0);
    const rr_command *stop = plan_find_command(&plan, machine, RR_COMMAND_STOP, job.job_id, 0);
    assert_non_null(start);
    assert_non_null(stop);
    assert_true(start < stop);
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, machine),
                           RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&plan);
    /* Exited now: the reservation may go, the attempt must stay as a block. */
    char *ended = shown(job.job_id, attempt, "ended:halted");
    node->now += 1;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 3,
                              rr_core_fencing_token(node->core), ended, NULL);
    assert_int_equal(test_controller_plan(node, &plan), 1);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == 0);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    /* The next term voids the late copy: now it is reaped. */
    test_controller_join(node, 8);
    node->now += 1;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 4,
                              rr_core_fencing_token(node->core), ended, NULL);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(ended);
}

/* A task's completion is recorded, in one transaction with the end of its reservation, before the
 * worker is told to forget it: a crash in between finds it in the report again. */
static void done_is_recorded_before_reap(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000002"};
    uint64_t attempt;
    rr_plan plan;
    rr_job_view view;
    const char *machine = book_one(fixture, &job, &attempt);
    char *ended = shown(job.job_id, attempt, "ended:done");
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2,
                              rr_core_fencing_token(node->core), ended, NULL);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan); /* the controller dies here: nothing is lost */
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_false(view.done);
    assert_int_equal(test_controller_plan(node, &plan), 1);
    rr_plan_clear(&plan);
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_true(view.done);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == 0);
    /* The reap waits for another command to go with, but not for ever. */
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    node->now += node->config.heartbeat_interval_s;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 3,
                              rr_core_fencing_token(node->core), ended, NULL);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(ended);
}

/* The reap of what is done goes with the start of what takes its place. */
static void reap_goes_with_the_next_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000002"}, next = {.job_id = "req-000003"};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = book_one(fixture, &job, &attempt);
    const char *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    char *ended = shown(job.job_id, attempt, "ended:done");
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2,
                              rr_core_fencing_token(node->core), ended, NULL);
    test_controller_heartbeat(node, other, zone_of(other), false, 1, 2,
                              rr_core_fencing_token(node->core), NULL);
    assert_int_equal(test_controller_plan(node, &plan), 1);
    rr_plan_clear(&plan);
    next.zone = zone_of(machine);
    fake_store_submit(fixture->store, &next, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_int_equal(test_controller_plan(node, &plan), 1);
    rr_plan_clear(&plan);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, next.job_id, 0));
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    assert_int_equal(plan.command_batches->len, 1);
    rr_plan_clear(&plan);
    g_free(ended);
}

/* A job of several tasks is not done before its last one. */
static void not_done_before_all_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000003", .pieces = 2, .cpus = 1};
    uint64_t attempt;
    rr_plan plan;
    rr_job_view view;
    const char *machine = book_one(fixture, &job, &attempt);
    char *ended = shown(job.job_id, attempt, "ended:done");
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2,
                              rr_core_fencing_token(node->core), ended, NULL);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_false(view.done);
    assert_int_equal(view.done_count, 1);
    g_free(ended);
}

/* A transaction planned under the old term changes nothing once there is a new one, however late it
 * is applied. */
static void old_owner_changes_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, other;
    struct test_job job = {.job_id = "req-000004"};
    rr_plan plan;
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, rr_core_fencing_token(node->core),
                              NULL);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    assert_true(fake_store_attempt(fixture->store, "vm-1", job.job_id, 0) == 0);
    rr_plan_clear(&plan);
    test_controller_clear(&other);
}

/* Commands were in flight when the term changed. The new owner takes no absence as proof until the
 * worker has shown the new token, since only that voids them. */
static void term_change_with_commands_in_flight(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000005", .service = true};
    uint64_t attempt, old = rr_core_fencing_token(node->core);
    rr_plan plan;
    const char *machine = book_one(fixture, &job, &attempt);
    test_controller_plan(node, &plan); /* the start is on its way */
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, machine),
                           RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&plan);
    test_controller_join(node, 8); /* a new incarnation, a new term */
    assert_true(rr_core_fencing_token(node->core) > old);
    test_controller_cancel(node, job.job_id);
    node->now += 2;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2, old, NULL);
    test_controller_plan(node, &plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_plan_clear(&plan);
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 3,
                              rr_core_fencing_token(node->core), NULL);
    test_controller_plan(node, &plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == 0);
    rr_plan_clear(&plan);
}

/* A machine that only fell silent keeps its tasks in the ledger; they are placed anew once its
 * record is gone. */
static void silence_proves_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000006", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = book_one(fixture, &job, &attempt),
               *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    node->now += 600;
    test_controller_heartbeat(node, other, zone_of(other), false, 1, 2,
                              rr_core_fencing_token(node->core), NULL);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    assert_true(fake_store_attempt(fixture->store, other, job.job_id, 0) == 0);
    fake_store_delete_machine(fixture->store, machine);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan); /* the reservation goes */
    rr_plan_clear(&plan);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, other, job.job_id, 0) > attempt);
}

/* A worker whose lease ran out forgot its tasks: the reservation of the earlier worker_epoch goes.
 */
static void later_worker_epoch_ends_the_booking(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000007", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = book_one(fixture, &job, &attempt);
    node->now += 40;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 2, 9,
                              rr_core_fencing_token(node->core), NULL);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) != attempt);
}

/* A report that was held up on the way is older than what is known and proves nothing. */
static void late_report_is_dropped(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000008", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = book_one(fixture, &job, &attempt);
    char *running = shown(job.job_id, attempt, "running");
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 20,
                              rr_core_fencing_token(node->core), running, NULL);
    test_controller_cancel(node, job.job_id);
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 5,
                              rr_core_fencing_token(node->core), NULL);
    test_controller_plan(node, &plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_STOP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(running);
}

/* Cancelled with its start in flight: no new start, and the reservation stands until the answer. */
static void cancel_with_start_in_flight(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000009", .service = true};
    uint64_t attempt;
    rr_plan plan, quiet;
    const char *machine = book_one(fixture, &job, &attempt);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0));
    test_controller_cancel(node, job.job_id);
    node->now += 2;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2,
                              rr_core_fencing_token(node->core), NULL);
    test_controller_plan(node, &quiet);
    assert_null(plan_find_batch(&quiet, machine));
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_plan_clear(&quiet);
    char *running = shown(job.job_id, attempt, "running");
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 3,
                              rr_core_fencing_token(node->core), running, NULL);
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, machine),
                           RR_COMMAND_ANSWERED, true);
    test_controller_plan(node, &quiet);
    const rr_command *stop = plan_find_command(&quiet, machine, RR_COMMAND_STOP, job.job_id, 0);
    assert_non_null(stop);
    assert_true(stop->grace_s == 0);
    rr_plan_clear(&plan);
    rr_plan_clear(&quiet);
    g_free(running);
}

/* Any controller that is asked adds the stops of cancelled jobs to its answer. */
static void every_answer_stops_cancelled_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000010", .service = true};
    uint64_t attempt;
    book_one(fixture, &job, &attempt);
    test_controller_cancel(node, job.job_id);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 3,
                              .fencing_token = rr_core_fencing_token(node->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.attempt = attempt, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply ans;
    g_strlcpy(task.job_id, job.job_id, sizeof task.job_id);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(node->core, node->now, &heartbeat, &ans);
    assert_int_equal(ans.status, 200);
    assert_int_equal(ans.commands->len, 1);
    assert_int_equal(g_array_index(ans.commands, rr_command, 0).kind, RR_COMMAND_STOP);
    g_array_free(ans.commands, TRUE);
    rr_heartbeat_clear(&heartbeat);
}

/* A 200 with a lower token would be dropped by the worker, which would then stay here until its
 * lease runs out; and a node whose session has lapsed may not answer at all. */
static void no_answer_that_would_be_dropped(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_heartbeat heartbeat = {.worker_epoch = 1, .sequence = 3, .spot_notice_s = -1};
    struct rr_heartbeat_reply ans;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    heartbeat.fencing_token = rr_core_fencing_token(node->core) + 1;
    rr_core_reply_to_heartbeat(node->core, node->now, &heartbeat, &ans);
    assert_true(ans.status == 421 || ans.status == 503);
    assert_null(ans.commands);
    heartbeat.fencing_token = 0;
    rr_core_set_session(node->core, 0, 0);
    rr_core_reply_to_heartbeat(node->core, node->now, &heartbeat, &ans);
    assert_true(ans.status == 421 || ans.status == 503);
    assert_false(rr_core_lease_valid(node->core, node->now));
    rr_heartbeat_clear(&heartbeat);
}

/* The limit holds across a change of owner: what the old owner reserved counts, proven gone or not.
 */
static void quota_across_an_owner_change(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000011", .pieces = 3, .cpus = 1, .gpus = 1};
    uint64_t attempt;
    rr_plan plan;
    node->config.teams[0].gpus_max = 2;
    book_one(fixture, &job, &attempt);
    unsigned reserved = 0;
    for (uint32_t task = 0; task < 3; task++) {
        reserved += fake_store_attempt(fixture->store, "vm-1", job.job_id, task) != 0;
        reserved += fake_store_attempt(fixture->store, "vm-2", job.job_id, task) != 0;
    }
    assert_int_equal(reserved, 2);
    test_controller_join(node, 8);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 5, rr_core_fencing_token(node->core),
                              NULL);
    test_controller_heartbeat(node, "vm-2", "b", false, 1, 5, rr_core_fencing_token(node->core),
                              NULL);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    for (uint32_t task = 0; task < 3; task++) {
        reserved -= fake_store_attempt(fixture->store, "vm-1", job.job_id, task) != 0;
        reserved -= fake_store_attempt(fixture->store, "vm-2", job.job_id, task) != 0;
    }
    assert_int_equal(reserved, 0);
}

/* Both owners plan from the same state, and only then is either's transaction carried out. */
static void plan_side_by_side(test_controller *const nodes[2], fake_store *store) {
    rr_plan plans[2];
    for (int i = 0; i < 2; i++) {
        fake_store_sync(store, nodes[i]->core, nodes[i]->now);
        test_controller_heartbeat(nodes[i], "vm-1", "a", false, 1, 1,
                                  rr_core_fencing_token(nodes[0]->core), NULL);
        rr_plan_init(&plans[i]);
        rr_core_plan(nodes[i]->core, nodes[i]->now, nodes[i]->now, &plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        assert_int_equal(fake_store_commit(store, &plans[i].transaction), 0);
        rr_plan_clear(&plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        fake_store_sync(store, nodes[i]->core, nodes[i]->now);
    }
}

/* Plans once, answers the commands, and notes for which of the two jobs a start was among them. */
static int count_starts(test_controller *count, const char *const refs[2], int node, int owner[2]) {
    rr_plan plan;
    int started = 0;
    rr_plan_init(&plan);
    rr_core_plan(count->core, count->now, count->now, &plan);
    for (int quiet = 0; quiet < 2; quiet++) {
        if (plan_find_command(&plan, "vm-1", RR_COMMAND_START, refs[quiet], 0)) {
            owner[quiet] = node;
            started++;
        }
    }
    for (guint batch_index = 0; batch_index < plan.command_batches->len; batch_index++) {
        rr_core_command_result(count->core, count->now,
                               g_ptr_array_index(plan.command_batches, batch_index),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return started;
}

/* Two owners may book the same room, since each writes its own jobs' records. The worker decides:
 * it refuses one start, and that reservation goes. Neither waits for the other to leave. */
static void two_owners_one_room(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, other;
    struct test_job first_job = {.job_id = "req-000012", .team = "red", .cpus = 16};
    struct test_job second_job = {.job_id = "req-000013", .team = "blue", .cpus = 16};
    const char *refs[2] = {first_job.job_id, second_job.job_id};
    rr_plan plan;
    fake_store_delete_machine(fixture->store, "vm-2");
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(node);
    fake_store_submit(fixture->store, &first_job, node->now);
    fake_store_submit(fixture->store, &second_job, node->now);
    test_controller *const nodes[2] = {node, &other};
    uint64_t attempts[2];
    int owner[2] = {-1, -1}, started = 0;
    plan_side_by_side(nodes, fixture->store);
    for (int k = 0; k < 2; k++) {
        attempts[k] = fake_store_attempt(fixture->store, "vm-1", refs[k], 0);
        assert_true(attempts[k] != 0);
        for (int i = 0; i < 2; i++) {
            started += count_starts(nodes[i], refs, i, owner);
        }
    }
    assert_int_equal(started, 2);
    char *runs = shown(refs[0], attempts[0], "running"),
         *full = shown(refs[1], attempts[1], "ended:full");
    for (int i = 0; i < 2; i++) {
        test_controller_heartbeat(nodes[i], "vm-1", "a", false, 1, 9,
                                  rr_core_fencing_token(node->core), runs, full, NULL);
    }
    test_controller_plan(nodes[owner[1]], &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, "vm-1", refs[0], 0) == attempts[0]);
    assert_true(fake_store_attempt(fixture->store, "vm-1", refs[1], 0) != attempts[1]);
    g_free(runs);
    g_free(full);
    test_controller_clear(&other);
}

/* Attempts of two owners in one term never share a number: a replica was once stopped as the victim
 * of a preemption because another team's batch task had the same one. */
static void attempts_differ_between_owners(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, other;
    const char *const teams[] = {"red", "blue"};
    uint64_t seen[2] = {0, 0};
    rr_plan plan;
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(node);
    test_controller *nodes[2] = {node, &other};
    for (int team = 0; team < 2; team++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-10000%d", team);
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .team = teams[team], .cpus = 1},
                          node->now);
        for (int i = 0; i < 2 && !seen[team]; i++) {
            fake_store_sync(fixture->store, nodes[i]->core, nodes[i]->now);
            test_controller_heartbeat(nodes[i], "vm-1", "a", false, 1, 1,
                                      rr_core_fencing_token(nodes[i]->core), NULL);
            test_controller_plan(nodes[i], &plan);
            rr_plan_clear(&plan);
            seen[team] = fake_store_attempt(fixture->store, "vm-1", job_id, 0);
        }
        assert_true(seen[team] != 0);
    }
    assert_true(seen[0] != seen[1]);
    test_controller_clear(&other);
}

/* A placement guards its job too: a cancellation committed in between voids it. */
static void cancel_voids_a_planned_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000014"};
    rr_plan plan;
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, rr_core_fencing_token(node->core),
                              NULL);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_cancel(node, job.job_id);
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    rr_plan_clear(&plan);
}

/* A job that waited long goes first and in its turn: once each, or its tasks were reserved twice.
 */
static void an_overdue_job_is_placed_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000018", .pieces = 4, .cpus = 1};
    rr_plan plan;
    fake_store_submit(fixture->store, &job, node->now);
    node->now += 100;
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, rr_core_fencing_token(node->core),
                              NULL);
    test_controller_heartbeat(node, "vm-2", "b", false, 1, 1, rr_core_fencing_token(node->core),
                              NULL);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, job.job_id), 4);
}

/* A known job is known, whatever a repeat of it says; unknown crews and sizes are refused. */
static void admission(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-000015"};
    rr_submission submission;
    const char *why = NULL;
    test_submission(&submission, &job);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
    submission.cpus = 17;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    g_strlcpy(submission.team, "nobody", sizeof submission.team);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_KNOWN);
    test_submission(
        &submission,
        &(struct test_job){.job_id = "req-000016", .service = true, .pieces = 3, .gpus = 1});
    node->config.teams[0].gpus_max = 2;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    submission.kind = RR_JOB_ARRAY;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
}

/* A report held up by a cut may come after its machine's record went; the machine it brings back is
 * forgotten again, or a long run would gather them. */
static void strangers_are_forgotten(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_core_stats stats;
    rr_plan plan;
    rr_job_view view;
    struct test_job job = {.job_id = "req-000017"};
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-77", "a", false, 1, 5, 1, "req-000017 0 3 running", NULL);
    node->now += 200;
    test_controller_plan(node, &plan);
    /* Not recorded, it takes no work, and no command goes there. */
    assert_null(plan_find_batch(&plan, "vm-77"));
    rr_plan_clear(&plan);
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.machines, 2);
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_int_equal(view.running_count, 0);
    /* Once forgotten, an old report is news again: it is taken as that of a machine never heard. */
    rr_heartbeat heartbeat = {.worker_epoch = 1, .sequence = 1, .spot_notice_s = -1};
    g_strlcpy(heartbeat.machine, "vm-77", sizeof heartbeat.machine);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_true(rr_core_take_heartbeat(node->core, node->now, &heartbeat, -1) !=
                RR_HEARTBEAT_IGNORED);
}

/* A restarted controller of the same name is not the one the term names. */
static void a_new_incarnation_waits_for_its_term(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, again;
    test_controller_init(&again, fixture->store, "n0");
    fake_store_sync(fixture->store, again.core, again.now);
    rr_core_set_session(again.core, 77, again.now + 100);
    assert_false(rr_core_lease_valid(again.core, again.now));
    test_controller_join(&again, 77);
    assert_true(rr_core_lease_valid(again.core, again.now));
    fake_store_sync(fixture->store, node->core, node->now);
    assert_false(rr_core_lease_valid(node->core, node->now));
    test_controller_clear(&again);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(late_start_after_reassignment),
                                       T(done_is_recorded_before_reap),
                                       T(reap_goes_with_the_next_start),
                                       T(not_done_before_all_tasks),
                                       T(old_owner_changes_nothing),
                                       T(term_change_with_commands_in_flight),
                                       T(silence_proves_nothing),
                                       T(later_worker_epoch_ends_the_booking),
                                       T(late_report_is_dropped),
                                       T(cancel_with_start_in_flight),
                                       T(every_answer_stops_cancelled_tasks),
                                       T(no_answer_that_would_be_dropped),
                                       T(quota_across_an_owner_change),
                                       T(two_owners_one_room),
                                       T(attempts_differ_between_owners),
                                       T(cancel_voids_a_planned_start),
                                       T(an_overdue_job_is_placed_once),
                                       T(admission),
                                       T(strangers_are_forgotten),
                                       T(a_new_incarnation_waits_for_its_term)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
