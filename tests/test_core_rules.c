/* Reservations, starts, stops and completions of tasks when commands go unanswered, heartbeats are
 * late, leases expire and controllers restart. */
#include "core_fixture.h"
#include "reservation_fixture.h"

#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <string.h>

/* A start that went unanswered may reach the worker minutes late, so that a heartbeat without the
 * task does not prove it terminated. The task is started and stopped under the same fencing token:
 * the exited attempt blocks the late start, and is not reaped before the next term. */
static void unanswered_start_is_blocked_until_next_term(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000001", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    test_controller_plan(controller, &plan);
    rr_command_batch *batch = plan_find_batch(&plan, machine);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0));
    rr_core_record_command_result(controller->core, controller->now, batch,
                                  RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&plan);
    test_controller_cancel(controller, job.job_id);
    controller->now += 3;
    send_heartbeat_with_task(controller, machine, 1, 2, NULL);
    test_controller_plan(controller, &plan);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    const rr_command *start = plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0);
    const rr_command *stop = plan_find_command(&plan, machine, RR_COMMAND_STOP, job.job_id, 0);
    assert_non_null(start);
    assert_non_null(stop);
    assert_true(start < stop);
    rr_core_record_command_result(controller->core, controller->now,
                                  plan_find_batch(&plan, machine), RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&plan);
    /* The task has exited: its reservation is deleted, the worker keeps the attempt as a block. */
    char *ended = format_reported_task(job.job_id, attempt, "ended:halted");
    controller->now += 1;
    send_heartbeat_with_task(controller, machine, 1, 3, ended);
    assert_int_equal(plan_and_commit(controller), 1);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == 0);
    test_controller_plan(controller, &plan);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    /* The next term's token voids the late start, so that the attempt may be reaped. */
    test_controller_join(controller, 8);
    controller->now += 1;
    send_heartbeat_with_task(controller, machine, 1, 4, ended);
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(ended);
}

/* One transaction records a completion and deletes the reservation. The worker is told to forget
 * the task only afterwards: a controller that crashes in between finds it in the next heartbeat. */
static void completion_is_recorded_before_reap(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000002"};
    uint64_t attempt;
    rr_plan plan;
    rr_job_view view;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    char *ended = format_reported_task(job.job_id, attempt, "ended:done");
    send_heartbeat_with_task(controller, machine, 1, 2, ended);
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_true(plan.has_transaction);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan); /* as if the controller crashed here: nothing is lost */
    rr_core_get_job_view(controller->core, job.job_id, controller->now, &view);
    assert_false(view.done);
    assert_int_equal(plan_and_commit(controller), 1);
    rr_core_get_job_view(controller->core, job.job_id, controller->now, &view);
    assert_true(view.done);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == 0);
    /* The reap waits for another command to the machine, one heartbeat interval at most. */
    test_controller_plan(controller, &plan);
    assert_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    controller->now += controller->config.heartbeat_interval_s;
    send_heartbeat_with_task(controller, machine, 1, 3, ended);
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(ended);
}

/* The reap of a completed task is sent in one batch with the start of the task that replaces it. */
static void reap_is_sent_with_next_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000002"}, next = {.job_id = "req-000003"};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    const char *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    char *ended = format_reported_task(job.job_id, attempt, "ended:done");
    send_heartbeat_with_task(controller, machine, 1, 2, ended);
    send_heartbeat_with_task(controller, other, 1, 2, NULL);
    assert_int_equal(plan_and_commit(controller), 1);
    next.zone = reservation_machine_zone(machine);
    submit_job(fixture, &next);
    assert_int_equal(plan_and_commit(controller), 1);
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, next.job_id, 0));
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_REAP, job.job_id, 0));
    assert_int_equal(plan.command_batches->len, 1);
    rr_plan_clear(&plan);
    g_free(ended);
}

/* A job with one of two tasks completed is not done. */
static void job_is_not_done_before_its_last_task(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000003", .task_count = 2, .cpus = 1};
    uint64_t attempt;
    rr_job_view view;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    char *ended = format_reported_task(job.job_id, attempt, "ended:done");
    send_heartbeat_with_task(controller, machine, 1, 2, ended);
    plan_and_commit(controller);
    rr_core_get_job_view(controller->core, job.job_id, controller->now, &view);
    assert_false(view.done);
    assert_int_equal(view.done_count, 1);
    g_free(ended);
}

/* A machine that sends no heartbeats keeps its placements in the ledger. They are placed again once
 * the machine's record is deleted. */
static void machine_without_heartbeats_keeps_its_placements(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000006", .service = true};
    uint64_t attempt;
    const char *machine = submit_and_reserve(fixture, &job, &attempt),
               *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    controller->now += 600;
    send_heartbeat_with_task(controller, other, 1, 2, NULL);
    plan_and_commit(controller);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    assert_true(fake_store_find_attempt(fixture->store, other, job.job_id, 0) == 0);
    fake_store_delete_machine(fixture->store, machine);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_and_commit(controller); /* deletes the reservation */
    plan_and_commit(controller);
    assert_true(fake_store_find_attempt(fixture->store, other, job.job_id, 0) > attempt);
}

/* A worker with a later epoch has lost its lease and forgotten its tasks. */
static void later_worker_epoch_ends_reservation(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000007", .service = true};
    uint64_t attempt;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    controller->now += 40;
    send_heartbeat_with_task(controller, machine, 2, 9, NULL);
    plan_and_commit(controller);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) != attempt);
}

/* A heartbeat older than the newest one known is ignored: a task that it lacks is not taken as
 * terminated. */
static void delayed_heartbeat_is_ignored(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000008", .service = true};
    uint64_t attempt;
    rr_plan plan;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    char *running = format_reported_task(job.job_id, attempt, "running");
    send_heartbeat_with_task(controller, machine, 1, 20, running);
    test_controller_cancel(controller, job.job_id);
    send_heartbeat_with_task(controller, machine, 1, 5, NULL);
    test_controller_plan(controller, &plan);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_STOP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(running);
}

/* A job is cancelled while the start of its task is in flight: no command is sent and the
 * reservation stays until the start is answered; then the task is stopped. */
static void cancelled_task_stops_after_its_start_is_answered(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000009", .service = true};
    uint64_t attempt;
    rr_plan plan, next_plan;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, machine, RR_COMMAND_START, job.job_id, 0));
    test_controller_cancel(controller, job.job_id);
    controller->now += 2;
    send_heartbeat_with_task(controller, machine, 1, 2, NULL);
    test_controller_plan(controller, &next_plan);
    assert_null(plan_find_batch(&next_plan, machine));
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_plan_clear(&next_plan);
    char *running = format_reported_task(job.job_id, attempt, "running");
    send_heartbeat_with_task(controller, machine, 1, 3, running);
    rr_core_record_command_result(controller->core, controller->now,
                                  plan_find_batch(&plan, machine), RR_COMMAND_ANSWERED, true);
    test_controller_plan(controller, &next_plan);
    const rr_command *stop = plan_find_command(&next_plan, machine, RR_COMMAND_STOP, job.job_id, 0);
    assert_non_null(stop);
    assert_true(stop->grace_s == 0);
    rr_plan_clear(&plan);
    rr_plan_clear(&next_plan);
    g_free(running);
}

/* Any controller that receives a heartbeat adds stops for tasks of cancelled jobs to its reply. */
static void heartbeat_reply_stops_cancelled_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000010", .service = true};
    uint64_t attempt;
    submit_and_reserve(fixture, &job, &attempt);
    test_controller_cancel(controller, job.job_id);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 3,
                              .fencing_token = rr_core_fencing_token(controller->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.attempt = attempt, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply reply;
    g_strlcpy(task.job_id, job.job_id, sizeof task.job_id);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(controller->core, controller->now, &heartbeat, &reply);
    assert_int_equal(reply.status, 200);
    assert_int_equal(reply.commands->len, 1);
    assert_int_equal(g_array_index(reply.commands, rr_command, 0).kind, RR_COMMAND_STOP);
    g_array_free(reply.commands, TRUE);
    rr_heartbeat_clear(&heartbeat);
}

/* A worker drops a reply with a lower fencing token than its own, and would keep sending to this
 * controller until the worker's lease expires. So the controller refuses the heartbeat, as does one
 * whose own lease has expired. */
static void heartbeat_with_higher_token_is_refused(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_heartbeat heartbeat = {.worker_epoch = 1, .sequence = 3, .spot_notice_s = -1};
    struct rr_heartbeat_reply reply;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    heartbeat.fencing_token = rr_core_fencing_token(controller->core) + 1;
    rr_core_reply_to_heartbeat(controller->core, controller->now, &heartbeat, &reply);
    assert_true(reply.status == 421 || reply.status == 503);
    assert_null(reply.commands);
    heartbeat.fencing_token = 0;
    rr_core_set_session(controller->core, 0, 0);
    rr_core_reply_to_heartbeat(controller->core, controller->now, &heartbeat, &reply);
    assert_true(reply.status == 421 || reply.status == 503);
    assert_false(rr_core_lease_valid(controller->core, controller->now));
    rr_heartbeat_clear(&heartbeat);
}

/* A job that has waited for long is placed before all others. Guards against placing its tasks a
 * second time when the plan comes to the job in the usual order. */
static void overdue_job_is_placed_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000018", .task_count = 4, .cpus = 1};
    fake_store_submit(fixture->store, &job, controller->now);
    controller->now += 100;
    fake_store_sync(fixture->store, controller->core, controller->now);
    send_heartbeat_with_task(controller, "vm-1", 1, 1, NULL);
    send_heartbeat_with_task(controller, "vm-2", 1, 1, NULL);
    plan_and_commit(controller);
    assert_int_equal(fake_store_placed_count(fixture->store, job.job_id), 4);
}

/* A repeated submission is known, whatever its content; submissions of unknown teams and of sizes
 * that can never run are refused. */
static void submissions_are_checked(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000015"};
    rr_submission submission;
    const char *reason = NULL;
    test_submission_init(&submission, &job);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_NEW);
    submission.cpus = 17;
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_UNSATISFIABLE);
    g_strlcpy(submission.team, "nobody", sizeof submission.team);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_UNSATISFIABLE);
    submit_job(fixture, &job);
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_KNOWN);
    test_submission_init(
        &submission,
        &(struct test_job){.job_id = "req-000016", .service = true, .task_count = 3, .gpus = 1});
    controller->config.teams[0].gpus_max = 2;
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_UNSATISFIABLE);
    submission.kind = RR_JOB_ARRAY;
    assert_int_equal(rr_core_check_submission(controller->core, &submission, &reason),
                     RR_SUBMISSION_NEW);
}

/* A delayed heartbeat may arrive after its machine's record was deleted. Guards against an
 * accumulation of such machines in a controller that runs for long. */
static void machine_without_record_is_forgotten(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_core_stats stats;
    rr_plan plan;
    rr_job_view view;
    struct test_job job = {.job_id = "req-000017"};
    submit_job(fixture, &job);
    test_controller_heartbeat(controller, "vm-77", "a", false, 1, 5, 1, "req-000017 0 3 running",
                              NULL);
    controller->now += 200;
    test_controller_plan(controller, &plan);
    /* A machine without a record gets no tasks and no commands. */
    assert_null(plan_find_batch(&plan, "vm-77"));
    rr_plan_clear(&plan);
    rr_core_get_stats(controller->core, &stats);
    assert_int_equal(stats.machines, 2);
    rr_core_get_job_view(controller->core, job.job_id, controller->now, &view);
    assert_int_equal(view.running_count, 0);
    /* Once the machine is forgotten, an older heartbeat counts as the first of a new machine. */
    rr_heartbeat heartbeat = {.worker_epoch = 1, .sequence = 1, .spot_notice_s = -1};
    g_strlcpy(heartbeat.machine, "vm-77", sizeof heartbeat.machine);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_true(rr_core_apply_heartbeat(controller->core, controller->now, &heartbeat, -1) !=
                RR_HEARTBEAT_IGNORED);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, reservation_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(unanswered_start_is_blocked_until_next_term),
                                       TEST(completion_is_recorded_before_reap),
                                       TEST(reap_is_sent_with_next_start),
                                       TEST(job_is_not_done_before_its_last_task),
                                       TEST(machine_without_heartbeats_keeps_its_placements),
                                       TEST(later_worker_epoch_ends_reservation),
                                       TEST(delayed_heartbeat_is_ignored),
                                       TEST(cancelled_task_stops_after_its_start_is_answered),
                                       TEST(heartbeat_reply_stops_cancelled_tasks),
                                       TEST(heartbeat_with_higher_token_is_refused),
                                       TEST(overdue_job_is_placed_once),
                                       TEST(submissions_are_checked),
                                       TEST(machine_without_record_is_forgotten)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
