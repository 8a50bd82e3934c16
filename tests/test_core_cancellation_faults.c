/* Fault combinations: each test names two facts that must not be combined, brings them together in
 * both orders where there are two, and checks the guard between them. Here, cancellations that meet
 * partitions, late transactions and changes of leader. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* Status of the reply to a heartbeat with one running task, and in *stops how many stop commands it
 * carries. */
static int reply_status_at(const test_controller *node, double when, const char *job_id,
                           uint64_t attempt, unsigned *stops) {
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 3,
                              .fencing_token = rr_core_fencing_token(node->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.attempt = attempt, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply reply;
    g_strlcpy(task.job_id, job_id, sizeof task.job_id);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(node->core, when, &heartbeat, &reply);
    *stops = reply.commands ? reply.commands->len : 0;
    if (reply.commands) {
        g_array_free(reply.commands, TRUE);
    }
    rr_heartbeat_clear(&heartbeat);
    return reply.status;
}

/* The leader alone loses the key-value store, another controller confirms a cancellation, and the
 * worker goes on sending heartbeats to the leader. A cancellation confirmed at T must not meet a
 * lease that a reply, given without knowing of it, renews beyond T + cancel_s. The guard is a
 * comparison of times, tried on either side; nothing but the store cache moves its moment: no
 * renewal, and no commit of the leader's own. */
static void isolated_leader_renews_no_lease_past_a_cancellation(void **state) {
    core_fixture *fixture = *state;
    test_controller *leader = &fixture->controller, other;
    struct test_job job = {.job_id = "req-1", .service = true};
    uint64_t attempt;
    unsigned stops;
    const char *machine = run_job(fixture, &job, &attempt);
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(leader);
    double last = leader->now; /* the leader's store cache stops here */
    other.now = last + 0.001;
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_cancel(&other, job.job_id); /* confirmed at other.now at the earliest */
    double reply_s = rr_heartbeat_reply_s(&leader->config), tick = 0.001;
    rr_core_set_session(leader->core, 7,
                        last + 1e6); /* a renewal proves no knowledge of cancellations */
    assert_int_equal(reply_status_at(leader, last + reply_s - tick, job.job_id, attempt, &stops),
                     200);
    assert_int_equal(stops, 0);
    assert_int_not_equal(
        reply_status_at(leader, last + reply_s + tick, job.job_id, attempt, &stops), 200);
    /* Its own commit shows its own changes alone. */
    leader->now = last + 2;
    rr_transaction own;
    rr_encoder encoder;
    rr_transaction_init(&own);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 0);
    rr_transaction_put(&own, RR_KEY_ROOT "hire/none", &encoder, 0);
    rr_core_apply(leader->core, &own, fixture->store->revision + 1, leader->now);
    rr_transaction_clear(&own);
    assert_int_not_equal(
        reply_status_at(leader, last + reply_s + tick, job.job_id, attempt, &stops), 200);
    /* The lease renewed last counts at the latest from the reply. The clocks of the worker and of
     * the leader may both run slow. */
    double drift = 1.0005, gone = (reply_s + leader->config.lease_s * drift) * drift;
    assert_true(gone < leader->config.cancel_s);
    /* The controller that confirmed it stops the task with every reply. */
    assert_int_equal(
        reply_status_at(&other, other.now + reply_s - tick, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 1);
    /* After the outage the leader replies to nobody until its store cache is current, and then it
     * stops the task. */
    leader->now = last + 90;
    assert_int_not_equal(reply_status_at(leader, leader->now, job.job_id, attempt, &stops), 200);
    fake_store_sync(fixture->store, leader->core, leader->now);
    assert_int_equal(reply_status_at(leader, leader->now, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 1);
    assert_non_null(machine);
    test_controller_clear(&other);
}

/* A hint from the controller that confirmed a cancellation stops the task with the leader's next
 * reply, while its store cache stands still. It is no record: the job's state, its reservations and
 * its room stay as they were, and the hint expires. */
static void cancel_hint_stops_task_and_changes_no_state(void **state) {
    core_fixture *fixture = *state;
    test_controller *leader = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .service = true};
    rr_job_view before, after;
    uint64_t attempt;
    unsigned stops;
    run_job(fixture, &job, &attempt);
    double now = leader->now;
    assert_int_equal(reply_status_at(leader, now, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 0);
    rr_core_job_view(leader->core, job.job_id, now, &before);
    rr_core_add_cancel_hint(leader->core, job.job_id, now);
    rr_core_add_cancel_hint(leader->core, "req-999999",
                            now); /* of a job that is not known here yet */
    assert_int_equal(reply_status_at(leader, now, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 1);
    assert_int_equal(reply_status_at(leader, now, "req-999999", attempt, &stops), 200);
    assert_int_equal(stops, 1);
    assert_int_equal(reply_status_at(leader, now, "req-2", attempt, &stops), 200);
    assert_int_equal(stops, 0);
    rr_core_job_view(leader->core, job.job_id, now, &after);
    assert_memory_equal(&before, &after, sizeof before);
    assert_int_equal(fake_store_placed_count(fixture->store, job.job_id), 1);
    double expired_at = now + leader->config.cancel_s + 0.001;
    rr_core_set_session(leader->core, 7, expired_at + 100);
    rr_core_set_cache_current(leader->core, expired_at);
    assert_int_equal(reply_status_at(leader, expired_at, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 0);
}

/* A reservation without an answer is applied late: after its own repeat, after the task's end,
 * after a cancellation, and when its record is gone. It stands in the ledger once at most. */
static void late_reservation_is_void_after_newer_changes(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job done = {.job_id = "req-1"}, cancelled = {.job_id = "req-2"};
    rr_plan late;
    uint64_t attempt;
    send_heartbeat(node, "vm-1", 1, NULL);
    send_heartbeat(node, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, &done, node->now);
    fake_store_submit(fixture->store, &cancelled, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_plan_init(&late);
    rr_core_plan(node->core, node->now, node->now, &late);
    assert_true(late.has_transaction);
    assert_int_equal(fake_store_commit(fixture->store, &late.transaction),
                     0); /* the repeat is applied first */
    assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    fake_store_sync(fixture->store, node->core, node->now);
    const char *machine = placed_on(fixture->store, done.job_id, &attempt);
    char *ended = task_text(done.job_id, attempt, "ended:done");
    plan_with_outcome(node, RR_COMMAND_ANSWERED);
    test_controller_cancel(node, cancelled.job_id);
    node->now += 1;
    send_heartbeat(node, "vm-1", 2, strcmp(machine, "vm-1") == 0 ? ended : NULL);
    send_heartbeat(node, "vm-2", 2, strcmp(machine, "vm-2") == 0 ? ended : NULL);
    for (int i = 0; i < 6; i++) {
        node->now += 1;
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
        assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    }
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
    assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    rr_plan_clear(&late);
    g_free(ended);
}

/* The end of a job's last task meets its cancellation: one of the two changes holds, whichever is
 * applied first, and the job's state shows that one alone. */
static void either_end_or_cancellation_of_job_holds(void **state) {
    (void)state;
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        core_fixture *fixture;
        two_own_machines_setup((void **)&fixture);
        test_controller *node = &fixture->controller;
        struct test_job job = {.job_id = "req-1"};
        uint64_t attempt, version;
        rr_plan end;
        rr_encoder encoder;
        rr_transaction cancel;
        rr_job_view view;
        const char *machine = run_job(fixture, &job, &attempt);
        char *ended = task_text(job.job_id, attempt, "ended:done");
        node->now += 1;
        send_heartbeat(node, machine, 3, ended);
        rr_plan_init(&end);
        rr_core_plan(node->core, node->now, node->now, &end);
        assert_true(end.has_transaction);
        rr_encoder_init(&encoder);
        assert_true(rr_core_cancel_record(node->core, job.job_id, &encoder, &version));
        rr_transaction_init(&cancel);
        rr_transaction_guard(&cancel, RR_KEY_ROOT "job/req-1", version);
        rr_transaction_put(&cancel, RR_KEY_ROOT "job/req-1", &encoder, 0);
        assert_int_equal(
            fake_store_commit(fixture->store, cancel_first ? &cancel : &end.transaction), 0);
        assert_int_not_equal(
            fake_store_commit(fixture->store, cancel_first ? &end.transaction : &cancel), 0);
        fake_store_sync(fixture->store, node->core, node->now);
        for (int i = 0; i < 4; i++) {
            rr_core_job_view(node->core, job.job_id, node->now, &view);
            assert_true(view.done == !cancel_first);
            assert_true(view.cancelled == (bool)cancel_first);
            node->now += 1;
            plan_with_outcome(node, RR_COMMAND_ANSWERED);
        }
        rr_transaction_clear(&cancel);
        rr_plan_clear(&end);
        g_free(ended);
        core_fixture_teardown((void **)&fixture);
    }
}

/* A team is at its limit, its job is cancelled while the machine hangs, and the leader changes.
 * Room under the limit comes only with proof that the task is over. A heartbeat with the old token
 * is none even if it lacks the task, because the old leader's start may come after it. */
static void team_limit_holds_across_change_of_leader(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job first_job = {.job_id = "req-1", .gpus = 2},
                    second_job = {.job_id = "req-2", .gpus = 2};
    uint64_t attempt, second_attempt;
    node->config.teams[0].gpus_max = 2;
    const char *machine = run_job(fixture, &first_job, &attempt),
               *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    uint64_t old = rr_core_fencing_token(node->core);
    fake_store_submit(fixture->store, &second_job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_cancel(node, first_job.job_id);
    test_controller_join(node, 8); /* a new session: what was reserved before is another's */
    assert_true(rr_core_fencing_token(node->core) > old);
    for (uint64_t i = 0; i < 12; i++) {
        node->now += 2;
        send_heartbeat(node, other, 10 + i, NULL);
        plan_with_outcome(node, RR_COMMAND_OUTCOME_UNKNOWN);
        assert_null(placed_on(fixture->store, second_job.job_id, &second_attempt));
    }
    test_controller_heartbeat(node, machine, machine_zone(machine), false, 1, 40, old,
                              NULL); /* delayed since before the change */
    plan_with_outcome(node, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_true(fake_store_attempt(fixture->store, machine, first_job.job_id, 0) == attempt);
    assert_null(placed_on(fixture->store, second_job.job_id, &second_attempt));
    node->now += 3;
    send_heartbeat(node, machine, 41,
                   NULL); /* with the present token: what it lacks never starts */
    send_heartbeat(node, other, 41, NULL);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
    }
    assert_non_null(placed_on(fixture->store, second_job.job_id, &second_attempt));
    assert_true(fake_store_attempt(fixture->store, machine, first_job.job_id, 0) == 0);
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_own_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(isolated_leader_renews_no_lease_past_a_cancellation),
        TEST(cancel_hint_stops_task_and_changes_no_state),
        TEST(late_reservation_is_void_after_newer_changes),
        cmocka_unit_test(either_end_or_cancellation_of_job_holds),
        TEST(team_limit_holds_across_change_of_leader),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
