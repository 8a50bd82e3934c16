/* The rules of reservations, starts, stops and completions under every failure. */
#include "core_fixture.h"
#include "reservation_fixture.h"

#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <string.h>

/* A start that went unanswered may arrive minutes late. Absence from a heartbeat then proves
 * nothing: the task is started and stopped under the same token, so that an exited attempt blocks
 * the late start, and that attempt is not reaped before the next term. */
static void an_unanswered_start_is_blocked_until_the_next_term(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000001", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = reserve_one(fixture, &job, &attempt);
    test_controller_plan(node, &plan);
    rr_command_batch *batch = plan_find_batch(&plan, machine);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0));
    rr_core_command_result(node->core, node->now, batch, RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&plan);
    test_controller_cancel(node, job.job_id);
    node->now += 3;
    heartbeat_with(node, machine, 1, 2, NULL);
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
    char *ended = task_shown(job.job_id, attempt, "ended:halted");
    node->now += 1;
    heartbeat_with(node, machine, 1, 3, ended);
    assert_int_equal(plan_and_commit(node), 1);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == 0);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    /* The next term voids the late copy: now it is reaped. */
    test_controller_join(node, 8);
    node->now += 1;
    heartbeat_with(node, machine, 1, 4, ended);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(ended);
}

/* A completion is recorded in one transaction with the end of its reservation, and only then is the
 * worker told to forget the task: a controller that crashes in between finds it in the heartbeat
 * again. */
static void a_completion_is_recorded_before_the_reap(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000002"};
    uint64_t attempt;
    rr_plan plan;
    rr_job_view view;
    const char *machine = reserve_one(fixture, &job, &attempt);
    char *ended = task_shown(job.job_id, attempt, "ended:done");
    heartbeat_with(node, machine, 1, 2, ended);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan); /* the controller dies here: nothing is lost */
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_false(view.done);
    assert_int_equal(plan_and_commit(node), 1);
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_true(view.done);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == 0);
    /* The reap waits for another command to go with, but not for ever. */
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    node->now += node->config.heartbeat_interval_s;
    heartbeat_with(node, machine, 1, 3, ended);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(ended);
}

/* The reap of a completed task goes in one batch with the start of the task that takes its
 * place. */
static void a_reap_goes_with_the_next_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000002"}, next = {.job_id = "req-000003"};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = reserve_one(fixture, &job, &attempt);
    const char *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    char *ended = task_shown(job.job_id, attempt, "ended:done");
    heartbeat_with(node, machine, 1, 2, ended);
    heartbeat_with(node, other, 1, 2, NULL);
    assert_int_equal(plan_and_commit(node), 1);
    next.zone = zone_of(machine);
    submit_job(fixture, &next);
    assert_int_equal(plan_and_commit(node), 1);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, next.job_id, 0));
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    assert_int_equal(plan.command_batches->len, 1);
    rr_plan_clear(&plan);
    g_free(ended);
}

static void a_job_is_not_done_before_its_last_task(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000003", .task_count = 2, .cpus = 1};
    uint64_t attempt;
    rr_job_view view;
    const char *machine = reserve_one(fixture, &job, &attempt);
    char *ended = task_shown(job.job_id, attempt, "ended:done");
    heartbeat_with(node, machine, 1, 2, ended);
    plan_and_commit(node);
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_false(view.done);
    assert_int_equal(view.done_count, 1);
    g_free(ended);
}

/* A machine without heartbeats keeps its tasks in the ledger. They are placed again once its record
 * is deleted. */
static void a_silent_machine_keeps_its_placements(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000006", .service = true};
    uint64_t attempt;
    const char *machine = reserve_one(fixture, &job, &attempt),
               *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    node->now += 600;
    heartbeat_with(node, other, 1, 2, NULL);
    plan_and_commit(node);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    assert_true(fake_store_attempt(fixture->store, other, job.job_id, 0) == 0);
    fake_store_delete_machine(fixture->store, machine);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_and_commit(node); /* the reservation goes */
    plan_and_commit(node);
    assert_true(fake_store_attempt(fixture->store, other, job.job_id, 0) > attempt);
}

/* A worker whose lease expired has forgotten its tasks. */
static void a_later_worker_epoch_ends_the_reservation(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000007", .service = true};
    uint64_t attempt;
    const char *machine = reserve_one(fixture, &job, &attempt);
    node->now += 40;
    heartbeat_with(node, machine, 2, 9, NULL);
    plan_and_commit(node);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) != attempt);
}

/* A heartbeat that is older than the newest one known is dropped. */
static void a_delayed_heartbeat_proves_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000008", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = reserve_one(fixture, &job, &attempt);
    char *running = task_shown(job.job_id, attempt, "running");
    heartbeat_with(node, machine, 1, 20, running);
    test_controller_cancel(node, job.job_id);
    heartbeat_with(node, machine, 1, 5, NULL);
    test_controller_plan(node, &plan);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_STOP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(running);
}

/* A job is cancelled while the start of its task is in flight: no new start is sent, and the
 * reservation stands until the answer. */
static void a_cancelled_task_stops_after_its_start_is_answered(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000009", .service = true};
    uint64_t attempt;
    rr_plan plan, next_plan;
    const char *machine = reserve_one(fixture, &job, &attempt);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0));
    test_controller_cancel(node, job.job_id);
    node->now += 2;
    heartbeat_with(node, machine, 1, 2, NULL);
    test_controller_plan(node, &next_plan);
    assert_null(plan_find_batch(&next_plan, machine));
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_plan_clear(&next_plan);
    char *running = task_shown(job.job_id, attempt, "running");
    heartbeat_with(node, machine, 1, 3, running);
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, machine),
                           RR_COMMAND_ANSWERED, true);
    test_controller_plan(node, &next_plan);
    const rr_command *stop = plan_find_command(&next_plan, machine, RR_COMMAND_STOP, job.job_id, 0);
    assert_non_null(stop);
    assert_true(stop->grace_s == 0);
    rr_plan_clear(&plan);
    rr_plan_clear(&next_plan);
    g_free(running);
}

/* Any controller that receives a heartbeat adds the stops of cancelled jobs to its reply. */
static void every_heartbeat_reply_stops_cancelled_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000010", .service = true};
    uint64_t attempt;
    reserve_one(fixture, &job, &attempt);
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

/* A worker drops a reply with a lower token, and would stay with this controller until its lease
 * expires. A controller whose own lease has expired may not reply at all. */
static void no_reply_is_sent_that_the_worker_would_drop(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
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

/* A job that has waited for long is placed before all others. Guards against placing its tasks a
 * second time in the job's usual turn. */
static void an_overdue_job_is_placed_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000018", .task_count = 4, .cpus = 1};
    fake_store_submit(fixture->store, &job, node->now);
    node->now += 100;
    fake_store_sync(fixture->store, node->core, node->now);
    heartbeat_with(node, "vm-1", 1, 1, NULL);
    heartbeat_with(node, "vm-2", 1, 1, NULL);
    plan_and_commit(node);
    assert_int_equal(fake_store_placed_count(fixture->store, job.job_id), 4);
}

/* A repeated submission is known, whatever it says; unknown teams and impossible sizes are
 * refused. */
static void submission_checks(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
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
    submit_job(fixture, &job);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_KNOWN);
    test_submission(
        &submission,
        &(struct test_job){.job_id = "req-000016", .service = true, .task_count = 3, .gpus = 1});
    node->config.teams[0].gpus_max = 2;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    submission.kind = RR_JOB_ARRAY;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
}

/* A delayed heartbeat may arrive after its machine's record was deleted. Guards against such
 * machines accumulating in a long run. */
static void an_unknown_machine_is_forgotten(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_core_stats stats;
    rr_plan plan;
    rr_job_view view;
    struct test_job job = {.job_id = "req-000017"};
    submit_job(fixture, &job);
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

#define TEST(name) cmocka_unit_test_setup_teardown(name, reservation_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(an_unanswered_start_is_blocked_until_the_next_term),
                                       TEST(a_completion_is_recorded_before_the_reap),
                                       TEST(a_reap_goes_with_the_next_start),
                                       TEST(a_job_is_not_done_before_its_last_task),
                                       TEST(a_silent_machine_keeps_its_placements),
                                       TEST(a_later_worker_epoch_ends_the_reservation),
                                       TEST(a_delayed_heartbeat_proves_nothing),
                                       TEST(a_cancelled_task_stops_after_its_start_is_answered),
                                       TEST(every_heartbeat_reply_stops_cancelled_tasks),
                                       TEST(no_reply_is_sent_that_the_worker_would_drop),
                                       TEST(an_overdue_job_is_placed_once),
                                       TEST(submission_checks),
                                       TEST(an_unknown_machine_is_forgotten)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
