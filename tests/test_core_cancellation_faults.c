/* Fault combinations: each test brings together two events that must not take effect together, in
 * both orders where there are two, and checks the guard between them. This file covers
 * cancellations that meet partitions, late transactions and changes of leader. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* Replies to a heartbeat with one running task. Returns the status of the reply and sets
 * *stop_count to the number of stop commands that it carries. */
static int reply_to_running_task(const test_controller *controller, double now, const char *job_id,
                                 uint64_t attempt, unsigned *stop_count) {
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 3,
                              .fencing_token = rr_core_fencing_token(controller->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.attempt = attempt, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply reply;
    g_strlcpy(task.job_id, job_id, sizeof task.job_id);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(controller->core, now, &heartbeat, &reply);
    *stop_count = reply.commands ? reply.commands->len : 0;
    if (reply.commands) {
        g_array_free(reply.commands, TRUE);
    }
    rr_heartbeat_clear(&heartbeat);
    return reply.status;
}

/* Only the leader loses the key-value store; another controller confirms a cancellation, and the
 * worker keeps sending heartbeats to the leader. After a cancellation confirmed at T, no reply
 * given without knowledge of it may renew a lease beyond T + cancel_s. The guard compares times, so
 * the test replies just before and just after its deadline. Only progress of the store cache moves
 * that deadline: neither a session renewal nor a commit of the leader's own does. */
static void isolated_leader_renews_no_lease_past_cancellation(void **state) {
    core_fixture *fixture = *state;
    test_controller *leader = &fixture->controller, peer;
    struct test_job job = {.job_id = "req-1", .service = true};
    uint64_t attempt;
    unsigned stop_count;
    const char *machine = submit_and_start(fixture, &job, &attempt);
    test_controller_init(&peer, fixture->store, "n1");
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_join(&peer, 9);
    test_controller_begin_next_term(leader);
    double cache_stalled_at = leader->now; /* the leader's store cache gets no later change */
    peer.now = cache_stalled_at + 0.001;
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_cancel(&peer, job.job_id); /* confirmed at peer.now at the earliest */
    double reply_s = rr_heartbeat_reply_window_s(&leader->config), margin_s = 0.001;
    /* A renewed session does not prove that the leader knows of cancellations. */
    rr_core_set_session(leader->core, 7, cache_stalled_at + 1e6);
    assert_int_equal(reply_to_running_task(leader, cache_stalled_at + reply_s - margin_s,
                                           job.job_id, attempt, &stop_count),
                     200);
    assert_int_equal(stop_count, 0);
    assert_int_not_equal(reply_to_running_task(leader, cache_stalled_at + reply_s + margin_s,
                                               job.job_id, attempt, &stop_count),
                         200);
    /* The leader's own commit proves knowledge of its own changes only. */
    leader->now = cache_stalled_at + 2;
    rr_transaction own_transaction;
    rr_encoder encoder;
    rr_transaction_init(&own_transaction);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 0);
    rr_transaction_put(&own_transaction, RR_KEY_ROOT "hire/none", &encoder, 0);
    rr_core_cache_apply_transaction(leader->core, &own_transaction, fixture->store->revision + 1,
                                    leader->now);
    rr_transaction_clear(&own_transaction);
    assert_int_not_equal(reply_to_running_task(leader, cache_stalled_at + reply_s + margin_s,
                                               job.job_id, attempt, &stop_count),
                         200);
    /* Latest end of the lease that was renewed last, which counts from the reply at the latest. The
     * clocks of the worker and of the leader may both run slow. */
    double clock_drift = 1.0005,
           lease_end_s = (reply_s + leader->config.lease_s * clock_drift) * clock_drift;
    assert_true(lease_end_s < leader->config.cancel_s);
    /* The controller that confirmed the cancellation stops the task with every reply. */
    assert_int_equal(reply_to_running_task(&peer, peer.now + reply_s - margin_s, job.job_id,
                                           attempt, &stop_count),
                     200);
    assert_int_equal(stop_count, 1);
    /* After the outage the leader refuses heartbeats until its store cache is current, and then it
     * stops the task. */
    leader->now = cache_stalled_at + 90;
    assert_int_not_equal(
        reply_to_running_task(leader, leader->now, job.job_id, attempt, &stop_count), 200);
    fake_store_sync(fixture->store, leader->core, leader->now);
    assert_int_equal(reply_to_running_task(leader, leader->now, job.job_id, attempt, &stop_count),
                     200);
    assert_int_equal(stop_count, 1);
    assert_non_null(machine);
    test_controller_clear(&peer);
}

/* A hint from the controller that confirmed a cancellation makes the leader stop the task with its
 * next reply, even while its store cache gets no changes. The hint is not a record: the job's
 * state, its reservations and their resources stay as they were, and the hint expires. */
static void cancel_hint_stops_task_and_changes_no_state(void **state) {
    core_fixture *fixture = *state;
    test_controller *leader = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .service = true};
    rr_job_view before, after;
    uint64_t attempt;
    unsigned stop_count;
    submit_and_start(fixture, &job, &attempt);
    double now = leader->now;
    assert_int_equal(reply_to_running_task(leader, now, job.job_id, attempt, &stop_count), 200);
    assert_int_equal(stop_count, 0);
    rr_core_get_job_view(leader->core, job.job_id, now, &before);
    rr_core_add_cancel_hint(leader->core, job.job_id, now);
    /* A hint may name a job that this controller does not know yet. */
    rr_core_add_cancel_hint(leader->core, "req-999999", now);
    assert_int_equal(reply_to_running_task(leader, now, job.job_id, attempt, &stop_count), 200);
    assert_int_equal(stop_count, 1);
    assert_int_equal(reply_to_running_task(leader, now, "req-999999", attempt, &stop_count), 200);
    assert_int_equal(stop_count, 1);
    assert_int_equal(reply_to_running_task(leader, now, "req-2", attempt, &stop_count), 200);
    assert_int_equal(stop_count, 0);
    rr_core_get_job_view(leader->core, job.job_id, now, &after);
    assert_memory_equal(&before, &after, sizeof before);
    assert_int_equal(fake_store_placed_count(fixture->store, job.job_id), 1);
    double expired_at = now + leader->config.cancel_s + 0.001;
    rr_core_set_session(leader->core, 7, expired_at + 100);
    rr_core_set_cache_current(leader->core, expired_at);
    assert_int_equal(reply_to_running_task(leader, expired_at, job.job_id, attempt, &stop_count),
                     200);
    assert_int_equal(stop_count, 0);
}

/* A transaction with reservations goes unanswered, and a copy of it arrives late: after its retry,
 * after the task's end, after a cancellation, and after the ledger record is gone. The store
 * refuses every late copy, so that a reservation is in the ledger at most once. */
static void late_reservation_is_refused_after_newer_changes(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job completed_job = {.job_id = "req-1"}, cancelled_job = {.job_id = "req-2"};
    rr_plan late_plan;
    uint64_t attempt, cancelled_attempt;
    send_heartbeat(controller, "vm-1", 1, NULL);
    send_heartbeat(controller, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, &completed_job, controller->now);
    fake_store_submit(fixture->store, &cancelled_job, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    rr_plan_init(&late_plan);
    rr_core_plan(controller->core, controller->now, controller->now, &late_plan);
    assert_true(late_plan.has_transaction);
    /* The retry is applied first. */
    assert_int_equal(fake_store_commit(fixture->store, &late_plan.transaction), 0);
    assert_int_not_equal(fake_store_commit(fixture->store, &late_plan.transaction), 0);
    fake_store_sync(fixture->store, controller->core, controller->now);
    const char *machine = find_task_machine(fixture->store, completed_job.job_id, &attempt);
    char *ended_task = format_heartbeat_task(completed_job.job_id, attempt, "ended:done");
    assert_string_equal(
        machine, find_task_machine(fixture->store, cancelled_job.job_id, &cancelled_attempt));
    char *stopped_task =
        format_heartbeat_task(cancelled_job.job_id, cancelled_attempt, "ended:halted");
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    test_controller_cancel(controller, cancelled_job.job_id);
    controller->now += 1;
    test_controller_heartbeat(controller, machine, fixture_machine_zone(machine), false, 1, 2,
                              rr_core_fencing_token(controller->core), ended_task, stopped_task,
                              NULL);
    for (int i = 0; i < 6; i++) {
        controller->now += 1;
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        assert_int_not_equal(fake_store_commit(fixture->store, &late_plan.transaction), 0);
    }
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
    assert_int_not_equal(fake_store_commit(fixture->store, &late_plan.transaction), 0);
    rr_plan_clear(&late_plan);
    g_free(stopped_task);
    g_free(ended_task);
}

/* A job's last task ends while the job is cancelled. Only the change that is applied first takes
 * effect, in either order, and the job's state shows only that one. */
static void only_first_of_completion_and_cancellation_is_applied(void **state) {
    (void)state;
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        core_fixture *fixture;
        two_operator_owned_machines_setup((void **)&fixture);
        test_controller *controller = &fixture->controller;
        struct test_job job = {.job_id = "req-1"};
        uint64_t attempt, version;
        rr_plan completion;
        rr_encoder encoder;
        rr_transaction cancellation;
        rr_job_view view;
        const char *machine = submit_and_start(fixture, &job, &attempt);
        char *ended_task = format_heartbeat_task(job.job_id, attempt, "ended:done");
        controller->now += 1;
        send_heartbeat(controller, machine, 3, ended_task);
        rr_plan_init(&completion);
        rr_core_plan(controller->core, controller->now, controller->now, &completion);
        assert_true(completion.has_transaction);
        rr_encoder_init(&encoder);
        assert_true(rr_core_encode_cancelled_job(controller->core, job.job_id, &encoder, &version));
        rr_transaction_init(&cancellation);
        rr_transaction_guard(&cancellation, RR_KEY_ROOT "job/req-1", version);
        rr_transaction_put(&cancellation, RR_KEY_ROOT "job/req-1", &encoder, 0);
        assert_int_equal(fake_store_commit(fixture->store,
                                           cancel_first ? &cancellation : &completion.transaction),
                         0);
        assert_int_not_equal(fake_store_commit(fixture->store, cancel_first
                                                                   ? &completion.transaction
                                                                   : &cancellation),
                             0);
        fake_store_sync(fixture->store, controller->core, controller->now);
        for (int i = 0; i < 4; i++) {
            rr_core_get_job_view(controller->core, job.job_id, controller->now, &view);
            assert_true(view.done == !cancel_first);
            assert_true(view.cancelled == (bool)cancel_first);
            controller->now += 1;
            plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        }
        rr_transaction_clear(&cancellation);
        rr_plan_clear(&completion);
        g_free(ended_task);
        core_fixture_teardown((void **)&fixture);
    }
}

/* A team is at its limit, its job is cancelled while the machine hangs, and the leader changes. The
 * limit has room again only after proof that the task has ended. A heartbeat with the old token is
 * no proof even if it lacks the task, because the old leader's start command may arrive after
 * it. */
static void team_limit_holds_across_leader_change(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job first_job = {.job_id = "req-1", .gpus = 2},
                    second_job = {.job_id = "req-2", .gpus = 2};
    uint64_t attempt, second_attempt;
    controller->config.teams[0].gpus_max = 2;
    const char *machine = submit_and_start(fixture, &first_job, &attempt),
               *other_machine = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    uint64_t old_token = rr_core_fencing_token(controller->core);
    fake_store_submit(fixture->store, &second_job, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_cancel(controller, first_job.job_id);
    test_controller_join(controller,
                         8); /* a new session: earlier reservations belong to the old one */
    assert_true(rr_core_fencing_token(controller->core) > old_token);
    for (uint64_t i = 0; i < 12; i++) {
        controller->now += 2;
        send_heartbeat(controller, other_machine, 10 + i, NULL);
        plan_with_outcome(controller, RR_COMMAND_OUTCOME_UNKNOWN);
        assert_null(find_task_machine(fixture->store, second_job.job_id, &second_attempt));
    }
    /* A heartbeat from before the change of leader arrives late. */
    test_controller_heartbeat(controller, machine, fixture_machine_zone(machine), false, 1, 40,
                              old_token, NULL);
    plan_with_outcome(controller, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_true(fake_store_find_attempt(fixture->store, machine, first_job.job_id, 0) == attempt);
    assert_null(find_task_machine(fixture->store, second_job.job_id, &second_attempt));
    controller->now += 3;
    /* A heartbeat with the present token proves that a task it lacks never starts. */
    send_heartbeat(controller, machine, 41, NULL);
    send_heartbeat(controller, other_machine, 41, NULL);
    for (int i = 0; i < 3; i++) {
        controller->now += 1;
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    }
    assert_non_null(find_task_machine(fixture->store, second_job.job_id, &second_attempt));
    assert_true(fake_store_find_attempt(fixture->store, machine, first_job.job_id, 0) == 0);
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_operator_owned_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(isolated_leader_renews_no_lease_past_cancellation),
        TEST(cancel_hint_stops_task_and_changes_no_state),
        TEST(late_reservation_is_refused_after_newer_changes),
        cmocka_unit_test(only_first_of_completion_and_cancellation_is_applied),
        TEST(team_limit_holds_across_leader_change),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
