/* Two troubles at once: each test names two facts that must not be combined, brings them together
 * in both orders where there are two, and shows which guard parts them. docs/meetings.md lists the
 * meetings and the tests, here and elsewhere, that bring them about. */
#include "core_fixture.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <stdlib.h>
#include <string.h>

static int setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, true);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
    return 0;
}

static const char *zone_of(const char *id) {
    return strcmp(id, "vm-2") == 0 ? "b" : "a";
}

static void hear(test_controller *node, const char *id, uint64_t sequence, const char *task_name) {
    test_controller_heartbeat(node, id, zone_of(id), false, 1, sequence,
                              rr_core_fencing_token(node->core), task_name, NULL);
}

/* One plan; commands are answered or stay in doubt. Changes committed: 1. */
static int plan_with(test_controller *node, enum rr_command_outcome outcome) {
    rr_plan plan;
    int committed = test_controller_plan(node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_command_result(node->core, node->now, g_ptr_array_index(plan.command_batches, i),
                               outcome, outcome == RR_COMMAND_ANSWERED);
    }
    rr_plan_clear(&plan);
    return committed;
}

static const char *place_of(const fake_store *store, const char *job_id, uint64_t *attempt) {
    *attempt = fake_store_attempt(store, "vm-1", job_id, 0);
    if (*attempt) {
        return "vm-1";
    }
    *attempt = fake_store_attempt(store, "vm-2", job_id, 0);
    return *attempt ? "vm-2" : NULL;
}

static char *shown(const char *job_id, uint64_t attempt, const char *state) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " %s", job_id, attempt, state);
}

/* Reserves the job and starts it: where and under which attempt. */
static const char *run_job(core_fixture *fixture, const struct test_job *job, uint64_t *attempt) {
    test_controller *node = &fixture->n;
    hear(node, "vm-1", 1, NULL);
    hear(node, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_int_equal(plan_with(node, RR_COMMAND_ANSWERED), 1);
    plan_with(node, RR_COMMAND_ANSWERED);
    return place_of(fixture->store, job->job_id, attempt);
}

/* A report of one running task, as the HTTP server hands it to rr_core_reply_to_heartbeat(): how it
 * is answered, and how many stops the answer carries. */
static int answer_at(const test_controller *node, double when, const char *job_id, uint64_t attempt,
                     unsigned *stops) {
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 3,
                              .fencing_token = rr_core_fencing_token(node->core),
                              .spot_notice_s = -1};
    rr_task_status task = {.attempt = attempt, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply ans;
    g_strlcpy(task.job_id, job_id, sizeof task.job_id);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(heartbeat.tasks, task);
    rr_core_reply_to_heartbeat(node->core, when, &heartbeat, &ans);
    *stops = ans.commands ? ans.commands->len : 0;
    if (ans.commands) {
        g_array_free(ans.commands, TRUE);
    }
    rr_heartbeat_clear(&heartbeat);
    return ans.status;
}

/* The gap: the key-value store refuses the leader alone, another controller confirms a
 * cancellation, then it is out for everybody, for longer than cancel_s, while the worker goes on
 * reporting to the leader. Facts not to be combined: a cancellation confirmed at T, and a lease
 * that an answer given without knowing of it renews beyond T + cancel_s. The guard is a comparison
 * of times, tried one tick on either side, with the cancellation at each step: before the store
 * cache's last moment, at it, and after. Nothing but the store cache moves that moment: no renewal,
 * and no commit of its own. */
static void the_gap(void **state) {
    core_fixture *fixture = *state;
    test_controller *leader = &fixture->n, other;
    struct test_job job = {.job_id = "req-1", .service = true};
    uint64_t attempt;
    unsigned stops;
    const char *machine = run_job(fixture, &job, &attempt);
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(leader);
    double last = leader->now; /* what the leader knows from here on it knows by itself */
    other.now = last + 0.001;
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_cancel(&other, job.job_id); /* confirmed, at `other.now` at the earliest */
    double answers = rr_heartbeat_reply_s(&leader->config), tick = 0.001;
    rr_core_set_session(leader->core, 7, last + 1e6); /* a renewal says nothing of cancellations */
    assert_int_equal(answer_at(leader, last + answers - tick, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 0);
    assert_int_not_equal(answer_at(leader, last + answers + tick, job.job_id, attempt, &stops),
                         200);
    /* Its own commit tells it of its own changes alone. */
    leader->now = last + 2;
    rr_transaction own;
    rr_encoder encoder;
    rr_transaction_init(&own);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 0);
    rr_transaction_put(&own, RR_KEY_ROOT "hire/none", &encoder, 0);
    rr_core_apply(leader->core, &own, fixture->store->epoch + 1, leader->now);
    rr_transaction_clear(&own);
    assert_int_not_equal(answer_at(leader, last + answers + tick, job.job_id, attempt, &stops),
                         200);
    /* The worker answered last: its lease counts from the sending of its report, at the latest from
     * the answer, on a clock that may run slow, and the leader's may, too. */
    double drift = 1.0005, gone = (answers + leader->config.lease_s * drift) * drift;
    assert_true(gone < leader->config.cancel_s);
    /* Who confirmed it stops it with every answer, holding a valid lease to plan or not. */
    assert_int_equal(answer_at(&other, other.now + answers - tick, job.job_id, attempt, &stops),
                     200);
    assert_int_equal(stops, 1);
    /* After the outage all sessions live, with store caches of before: the leader answers nobody
     * and starts nothing that would outlast it until its store cache is current, and then it stops
     * the task.
     */
    leader->now = last + 90;
    assert_int_not_equal(answer_at(leader, leader->now, job.job_id, attempt, &stops), 200);
    fake_store_sync(fixture->store, leader->core, leader->now);
    assert_int_equal(answer_at(leader, leader->now, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 1);
    assert_non_null(machine);
    test_controller_clear(&other);
}

/* The confirming controller's word comes over a link while the leader's store cache stands still:
 * the leader's answers stop the task at once. The word is no record: the job's state, its
 * reservations and its room are as before, and it lapses; whoever was told nothing stops nothing.
 */
static void a_confirmed_cancellation_is_told(void **state) {
    core_fixture *fixture = *state;
    test_controller *leader = &fixture->n;
    struct test_job job = {.job_id = "req-1", .service = true};
    rr_job_view before, after;
    uint64_t attempt;
    unsigned stops;
    run_job(fixture, &job, &attempt);
    double now = leader->now;
    assert_int_equal(answer_at(leader, now, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 0);
    rr_core_job_view(leader->core, job.job_id, now, &before);
    rr_core_add_cancel_hint(leader->core, job.job_id, now);
    rr_core_add_cancel_hint(leader->core, "req-999999",
                            now); /* of a job that is not known here yet */
    assert_int_equal(answer_at(leader, now, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 1);
    assert_int_equal(answer_at(leader, now, "req-999999", attempt, &stops), 200);
    assert_int_equal(stops, 1);
    assert_int_equal(answer_at(leader, now, "req-2", attempt, &stops), 200);
    assert_int_equal(stops, 0);
    rr_core_job_view(leader->core, job.job_id, now, &after);
    assert_memory_equal(&before, &after, sizeof before);
    assert_int_equal(fake_store_placed_count(fixture->store, job.job_id), 1);
    double lapsed = now + leader->config.cancel_s + 0.001;
    rr_core_set_session(leader->core, 7, lapsed + 100);
    rr_core_set_cache_current(leader->core, lapsed);
    assert_int_equal(answer_at(leader, lapsed, job.job_id, attempt, &stops), 200);
    assert_int_equal(stops, 0);
}

/* A reservation without an answer is carried out late, after newer changes of the same controller:
 * after its own repeat, after the task's end, after a cancellation, and when its record is gone. It
 * stands in the ledger once at most. */
static void a_late_booking(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job done = {.job_id = "req-1"}, called_off = {.job_id = "req-2"};
    rr_plan late;
    uint64_t attempt;
    hear(node, "vm-1", 1, NULL);
    hear(node, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, &done, node->now);
    fake_store_submit(fixture->store, &called_off, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_plan_init(&late);
    rr_core_plan(node->core, node->now, node->now, &late);
    assert_true(late.has_transaction);
    assert_int_equal(fake_store_commit(fixture->store, &late.transaction),
                     0); /* the repeat came first */
    assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    fake_store_sync(fixture->store, node->core, node->now);
    const char *machine = place_of(fixture->store, done.job_id, &attempt);
    char *ended = shown(done.job_id, attempt, "ended:done");
    plan_with(node, RR_COMMAND_ANSWERED);
    test_controller_cancel(node, called_off.job_id);
    node->now += 1;
    hear(node, "vm-1", 2, strcmp(machine, "vm-1") == 0 ? ended : NULL);
    hear(node, "vm-2", 2, strcmp(machine, "vm-2") == 0 ? ended : NULL);
    for (int i = 0; i < 6; i++) {
        node->now += 1;
        plan_with(node, RR_COMMAND_ANSWERED);
        assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    }
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
    assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    rr_plan_clear(&late);
    g_free(ended);
}

/* The end of a job's last task meets its cancellation: one of the two changes holds, whichever
 * comes first, and the job is called by that one alone from then on. */
static void the_end_meets_a_cancellation(void **state) {
    (void)state;
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        core_fixture *fixture;
        setup((void **)&fixture);
        test_controller *node = &fixture->n;
        struct test_job job = {.job_id = "req-1"};
        uint64_t attempt, version;
        rr_plan end;
        rr_encoder encoder;
        rr_transaction cancel;
        rr_job_view view;
        const char *machine = run_job(fixture, &job, &attempt);
        char *ended = shown(job.job_id, attempt, "ended:done");
        node->now += 1;
        hear(node, machine, 3, ended);
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
            plan_with(node, RR_COMMAND_ANSWERED);
        }
        rr_transaction_clear(&cancel);
        rr_plan_clear(&end);
        g_free(ended);
        core_fixture_teardown((void **)&fixture);
    }
}

/* A team at its limit, its job cancelled while the machine hangs, and the leader changes: room
 * under the limit comes with the proof that the task is over and with nothing else. A report that
 * knows only the old token is none, even if it lacks the task: the old leader's start may come
 * after it. */
static void the_limit_across_a_change(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job first_job = {.job_id = "req-1", .gpus = 2},
                    second_job = {.job_id = "req-2", .gpus = 2};
    uint64_t attempt, at2;
    node->config.teams[0].gpus_max = 2;
    const char *machine = run_job(fixture, &first_job, &attempt),
               *other = strcmp(machine, "vm-1") == 0 ? "vm-2" : "vm-1";
    uint64_t old = rr_core_fencing_token(node->core);
    fake_store_submit(fixture->store, &second_job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_cancel(node, first_job.job_id);
    test_controller_join(node,
                         8); /* the leader's next life: everything reserved before is another's */
    assert_true(rr_core_fencing_token(node->core) > old);
    for (uint64_t i = 0; i < 12; i++) {
        node->now += 2;
        hear(node, other, 10 + i, NULL);
        plan_with(node, RR_COMMAND_OUTCOME_UNKNOWN);
        assert_null(place_of(fixture->store, second_job.job_id, &at2));
    }
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 40, old,
                              NULL); /* held back since before the change */
    plan_with(node, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_true(fake_store_attempt(fixture->store, machine, first_job.job_id, 0) == attempt);
    assert_null(place_of(fixture->store, second_job.job_id, &at2));
    node->now += 3;
    hear(node, machine, 41, NULL); /* knows the present token: what it lacks never comes */
    hear(node, other, 41, NULL);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        plan_with(node, RR_COMMAND_ANSWERED);
    }
    assert_non_null(place_of(fixture->store, second_job.job_id, &at2));
    assert_true(fake_store_attempt(fixture->store, machine, first_job.job_id, 0) == 0);
}

/* A report is held back until the next leader has acted, and arrives then: older than what the
 * machine has answered since, it proves nothing and brings nothing back. */
static void a_report_held_for_the_next_leader(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-1", .service = true};
    uint64_t attempt;
    const char *machine = run_job(fixture, &job, &attempt);
    char *runs = shown(job.job_id, attempt, "running");
    test_controller_join(node, 8);
    node->now += 1;
    hear(node, machine, 20, runs);
    plan_with(node, RR_COMMAND_ANSWERED);
    /* Sent before the task had started, with the token of then; and a copy from after a lease. */
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2,
                              rr_core_fencing_token(node->core) - 1, NULL);
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 19,
                              rr_core_fencing_token(node->core), NULL);
    plan_with(node, RR_COMMAND_ANSWERED);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_job_view view;
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_string_equal(view.state, "running");
    g_free(runs);
}

/* A machine that reaches no controller answers commands all the same. They renew no lease: what is
 * started there is lost within one. So it takes no new work once its own reports have stopped,
 * unless a controller that may hear them can't be heard itself; the first report ends it. */
static void a_mute_machine_takes_no_work(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, other;
    uint64_t attempt;
    bool peer_heard = true;
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(node);
    for (int round = 0; round < 2; round++, peer_heard = false) {
        const char *job_id = round == 0 ? "req-1" : "req-2";
        uint64_t sequence = 100 + 100 * (uint64_t)round;
        hear(node, "vm-1", sequence, NULL);
        for (int i = 0; i < 14; i++) {
            node->now += 1;
            if (peer_heard) {
                rr_core_peer_contacted(node->core, node->now, 0);
            }
            plan_with(node, RR_COMMAND_ANSWERED);
            rr_heartbeat heartbeat = {.worker_epoch = 1,
                                      .sequence = ++sequence,
                                      .fencing_token = rr_core_fencing_token(node->core),
                                      .spot_notice_s = -1,
                                      .machine = "vm-1",
                                      .address = "127.0.0.1:1001",
                                      .machine_type = "m1",
                                      .zone = "a"};
            heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
            bool shared = rr_core_take_command_reply(node->core, node->now, &heartbeat, -1);
            assert_true(shared == (i + 1 < 1.5 * node->config.heartbeat_interval_s));
            rr_heartbeat_clear(&heartbeat);
        }
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .team = "blue", .zone = "a"},
                          node->now);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-9", .zone = "a"},
                          node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        fake_store_sync(fixture->store, other.core, node->now);
        plan_with(node, RR_COMMAND_ANSWERED);
        bool placed = place_of(fixture->store, job_id, &attempt) ||
                      place_of(fixture->store, "req-9", &attempt);
        assert_true(placed == !peer_heard);
    }
    test_controller_clear(&other);
}

/* The free room of one zone is in pieces too small for a task; the other has less of it, but in one
 * piece. A job bound to one zone, array or service, goes where it fits; and all of it, if it can.
 */
static void room_in_pieces(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    uint64_t attempt;
    for (int i = 3; i < 9; i++) {
        char id[16], job_id[32];
        g_snprintf(id, sizeof id, "vm-%d", i);
        g_snprintf(job_id, sizeof job_id, "req-%d", 100 + i);
        fake_store_put_machine(fixture->store, id, "a", false, true);
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = job_id, .zone = "a", .cpus = 9, .service = true},
            node->now);
    }
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-101", .zone = "a", .cpus = 9, .service = true},
        node->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-102", .zone = "b", .cpus = 16, .service = true},
        node->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-120", .zone = "b", .cpus = 8, .service = true},
        node->now);
    fake_store_put_machine(fixture->store, "vm-9", "b", false, true);
    fake_store_sync(fixture->store, node->core, node->now);
    hear(node, "vm-1", 1, NULL);
    hear(node, "vm-2", 1, NULL);
    for (int i = 3; i < 10; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(node, id, i < 9 ? "a" : "b", false, 1, 1,
                                  rr_core_fencing_token(node->core), NULL);
    }
    for (int i = 0; i < 6; i++) {
        node->now += 0.3;
        plan_with(node, RR_COMMAND_ANSWERED);
    }
    /* Seven times 7 of 16 CPUs are free in zone a, 8 of 32 in zone b, on one machine. */
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .one_zone = true, .cpus = 8},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with(node, RR_COMMAND_ANSWERED);
    attempt = fake_store_attempt(fixture->store, "vm-2", "req-1", 0) +
              fake_store_attempt(fixture->store, "vm-9", "req-1", 0);
    assert_true(attempt != 0);
    /* Three tasks of 6 fit into zone a alone. */
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-2", .one_zone = true, .cpus = 6, .pieces = 3}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with(node, RR_COMMAND_ANSWERED);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 3);
}

/* Commands went unanswered; then the machine lost its lease and with it the work of this owner, who
 * is not the autoscaler. Nobody's answer but one to us clears the doubt, so we go on asking: the
 * machine stayed out of use at one controller for good. */
static void a_doubt_without_work_ends(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, second;
    uint64_t attempt;
    test_controller_init(&second, fixture->store, "n1");
    fake_store_sync(fixture->store, second.core, second.now);
    test_controller_join(&second, 9);
    test_controller_next_term(node);
    /* Whichever of the two is not the autoscaler, with a team of its own. */
    test_controller *owner = rr_core_is_autoscaler(node->core, node->now) ? &second : node;
    for (int team = 0; team < 2; team++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-%d", team + 1);
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = job_id, .team = team ? "blue" : "red", .zone = "a"},
            owner->now);
    }
    fake_store_sync(fixture->store, owner->core, owner->now);
    hear(owner, "vm-1", 1, NULL);
    for (uint64_t i = 0; i < 6; i++) {
        owner->now += 1.6;
        plan_with(owner, RR_COMMAND_OUTCOME_UNKNOWN);
        hear(owner, "vm-1", 2 + i, NULL);
    }
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    rr_core_list_suspects(owner->core, owner->now, names);
    assert_int_equal(names->len, 1);
    test_controller_heartbeat(owner, "vm-1", "a", false, 2, 20, rr_core_fencing_token(owner->core),
                              NULL);
    /* The plan that finds its work there over comes right after a probe. */
    owner->now += 0.1;
    plan_with(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    owner->now += 0.1;
    plan_with(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_null(place_of(fixture->store, "req-1", &attempt));
    assert_null(place_of(fixture->store, "req-2", &attempt));
    unsigned asked = 0;
    for (uint64_t i = 0; i < 5; i++) {
        rr_plan plan;
        owner->now += 1;
        test_controller_heartbeat(owner, "vm-1", "a", false, 2, 21 + i,
                                  rr_core_fencing_token(owner->core), NULL);
        test_controller_plan(owner, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            asked += batch->commands->len == 0;
            rr_core_command_result(owner->core, owner->now, batch, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
    }
    assert_true(asked > 0);
    g_ptr_array_set_size(names, 0);
    rr_core_list_suspects(owner->core, owner->now, names);
    assert_int_equal(names->len, 0);
    g_ptr_array_free(names, TRUE);
    test_controller_clear(&second);
}

/* Tasks of two jobs failed on the only machine there is. A minute after the last failure it is
 * tried again: nobody waits for 90 s while it has room. */
static void a_fault_that_is_over(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    uint64_t sequence = 1, attempt;
    fake_store_delete_machine(fixture->store, "vm-2");
    for (int i = 1; i <= 2; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-%d", i);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = job_id}, node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        hear(node, "vm-1", sequence++, NULL);
        plan_with(node, RR_COMMAND_ANSWERED);
        attempt = fake_store_attempt(fixture->store, "vm-1", job_id, 0);
        assert_true(attempt != 0);
        char *failed = shown(job_id, attempt, "ended:error");
        hear(node, "vm-1", sequence++, failed);
        g_free(failed);
        test_controller_cancel(node, job_id);
        for (int k = 0; k < 8; k++) {
            node->now += 0.5;
            hear(node, "vm-1", sequence++, NULL);
            plan_with(node, RR_COMMAND_ANSWERED);
        }
    }
    double failed_at = node->now;
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-3"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    double began = 0;
    while (node->now < failed_at + 90 && began == 0) {
        node->now += 1;
        hear(node, "vm-1", sequence++, NULL);
        plan_with(node, RR_COMMAND_ANSWERED);
        began = fake_store_attempt(fixture->store, "vm-1", "req-3", 0) ? node->now : 0;
    }
    assert_true(began > failed_at + 40 && began < failed_at + 65);
}

/* A start is in doubt, and its task was ended by start and stop under one token: the exited attempt
 * blocks a late copy of the start. It must do so also after the job has shrunk to a line, which the
 * autoscaler clears: in the attempt's own term the autoscaler leaves it to the owner, who knows.
 */
static void a_line_that_blocks_a_late_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-1", .zone = "a"};
    uint64_t sequence = 10;
    hear(node, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with(node, RR_COMMAND_ANSWERED);
    uint64_t attempt = fake_store_attempt(fixture->store, "vm-1", job.job_id, 0);
    plan_with(node, RR_COMMAND_OUTCOME_UNKNOWN); /* the start */
    test_controller_cancel(node, job.job_id);
    node->now += 2;
    hear(node, "vm-1", 2, NULL);
    plan_with(node, RR_COMMAND_ANSWERED); /* start and stop */
    char *ended = shown(job.job_id, attempt, "ended:halted");
    /* An attempt of another controller, in this term, of a job that is a line here. */
    uint64_t foreign = attempt ^ ((uint64_t)1 << 24);
    char *theirs = shown(job.job_id, foreign, "ended:halted");
    rr_core_stats stats;
    rr_plan plan;
    do {
        node->now += 30;
        hear(node, "vm-1", sequence++, ended);
        test_controller_plan(node, &plan);
        assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
        for (guint i = 0; i < plan.command_batches->len; i++) {
            rr_core_command_result(node->core, node->now,
                                   g_ptr_array_index(plan.command_batches, i), RR_COMMAND_ANSWERED,
                                   true);
        }
        rr_plan_clear(&plan);
        rr_core_get_stats(node->core, &stats);
    } while (stats.jobs_whole > 0 && sequence < 40);
    assert_int_equal(stats.jobs_whole, 0);
    hear(node, "vm-1", sequence++, theirs);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    /* The next term voids every copy: now the autoscaler clears it. */
    test_controller_join(node, 8);
    node->now += 5;
    hear(node, "vm-1", sequence++, theirs);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(theirs);
    g_free(ended);
}

/* New machines are up within two seconds, writes lag, and the leader that rented them ends: they
 * report before any record names them. Nobody reserves there until one does; the next autoscaler
 * repeats the intent under its name, records each once, and work goes there at once. */
static void machines_up_before_their_record(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, next;
    uint64_t attempt;
    rr_autoscaler_step step;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_delete_machine(fixture->store, "vm-2");
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 40; i++) {
        test_controller_autoscaler_step(node, none, &step);
        bool rental = step.kind == RR_AUTOSCALER_SCALE_OUT;
        node->now += 0.5;
        if (rental) {
            break; /* the cloud has the request; the leader ends before it reads the answer */
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_int_equal(step.kind, RR_AUTOSCALER_SCALE_OUT);
    test_controller_init(&next, fixture->store, "n1");
    next.now = node->now;
    fake_store_reload(fixture->store, next.core, next.now);
    test_controller_leave(node);
    test_controller_join(&next, 9);
    test_controller_heartbeat(&next, "vm-7", "a", false, 1, 1, 0, NULL);
    plan_with(&next, RR_COMMAND_ANSWERED);
    assert_true(fake_store_attempt(fixture->store, "vm-7", "req-1", 0) == 0);
    bool repeated = false;
    for (int i = 0; i < 60 && !fake_store_has_machine(fixture->store, "vm-7"); i++) {
        rr_autoscaler_step again;
        test_controller_autoscaler_step(&next, none, &again);
        if (again.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *ids = g_ptr_array_new();
            g_ptr_array_add(ids, (gpointer) "vm-7");
            assert_string_equal(again.rental, step.rental);
            repeated = true;
            rr_core_scale_out_result(next.core, next.now, &again, 200, ids);
            g_ptr_array_free(ids, TRUE);
        }
        rr_autoscaler_step_clear(&again);
        next.now += 0.2;
    }
    assert_true(repeated);
    assert_true(fake_store_has_machine(fixture->store, "vm-7"));
    test_controller_heartbeat(&next, "vm-7", "a", false, 1, 2, rr_core_fencing_token(next.core),
                              NULL);
    plan_with(&next, RR_COMMAND_ANSWERED);
    attempt = fake_store_attempt(fixture->store, "vm-7", "req-1", 0);
    assert_true(attempt != 0);
    rr_autoscaler_step_clear(&step);
    g_array_free(none, TRUE);
    test_controller_clear(&next);
}

/* Jobs 4, 12, 20 .. are cancelled while they run. */
static const char *ends(int machine, const char *job_id, uint32_t task, int shown,
                        uint64_t sequence) {
    (void)machine;
    (void)task;
    (void)shown;
    (void)sequence;
    return atoi(job_id + strlen("req-")) % 8 == 4 ? "ended:halted" : "ended:done";
}

#define LATE_JOBS 24 /* the jobs of the last six seconds */

/* All machines show what has ended of the jobs that came last, up to job i. */
static void show_ended(test_controller *node, int i, uint64_t sequence) {
    static char names[LATE_JOBS][32];
    const char *refs[LATE_JOBS];
    int jobs = 0;
    for (int second = i; second > i - LATE_JOBS && second > 0; second--, jobs++) {
        g_snprintf(names[jobs], sizeof names[jobs], "req-%06d", second);
        refs[jobs] = names[jobs];
    }
    struct shown_machines show = {.first = 10,
                                  .last = 29,
                                  .last_in_a = 29,
                                  .refs = refs,
                                  .jobs = jobs,
                                  .tasks = 1,
                                  .most = 4,
                                  .worker_epoch = 1,
                                  .sequence = sequence,
                                  .state = ends};
    test_controller_show_machines(node, &show);
}

static unsigned changes_since(const fake_store *store, uint64_t revision) {
    unsigned changes = 0;
    for (guint i = 0; i < store->log->len; i++) {
        changes += fake_store_change_revision(store, i) > revision;
    }
    return changes;
}

/* One-task jobs come four a second for two minutes, a quarter of them cancelled at some moment:
 * what each costs at the store is bounded, nothing of them stays in the ledger, and in memory
 * lines. */
static void many_small_jobs(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const int jobs = 480;
    uint64_t sequence = 1, before;
    char job_id[32];
    rr_core_stats stats;
    test_controller_add_machines(node, 10, 20, "a");
    before = fixture->store->epoch;
    for (int i = 1; i <= jobs; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = job_id, .cpus = 1},
                          node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        if (i % 8 == 0) {
            test_controller_cancel(node, job_id); /* before it starts */
        }
        node->now += 0.25;
        plan_with(node, RR_COMMAND_ANSWERED);
        if (i % 8 == 4) {
            test_controller_cancel(node, job_id); /* while it runs */
        }
        if (i % 4 == 0) { /* every second */
            show_ended(node, i, ++sequence);
        }
    }
    for (int i = 0; i < 8; i++) {
        node->now += 0.3;
        plan_with(node, RR_COMMAND_ANSWERED);
    }
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
    /* Accepted, reserved, ended with its ledger record gone; a cancelled one no more than that. */
    assert_true(changes_since(fixture->store, before) <= 4 * (unsigned)jobs);
    for (int i = 0; i < 6; i++) {
        node->now += 61;
        plan_with(node, RR_COMMAND_ANSWERED);
    }
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.jobs_whole, 0);
    for (int i = 1; i <= jobs; i++) {
        rr_job_view view;
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        rr_core_job_view(node->core, job_id, node->now, &view);
        assert_true(view.known && view.done == (i % 4 != 0) && view.cancelled == (i % 4 == 0));
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(the_gap, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_confirmed_cancellation_is_told, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_late_booking, setup, core_fixture_teardown),
        cmocka_unit_test(the_end_meets_a_cancellation),
        cmocka_unit_test_setup_teardown(the_limit_across_a_change, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_report_held_for_the_next_leader, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_mute_machine_takes_no_work, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(room_in_pieces, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_doubt_without_work_ends, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_fault_that_is_over, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_line_that_blocks_a_late_start, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(machines_up_before_their_record, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(many_small_jobs, setup, core_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
