/* Two troubles at once: each test names two facts that must not be combined, brings them together
 * in both orders where there are two, and shows which guard parts them. docs/meetings.md lists the
 * meetings and the tests, here and elsewhere, that bring them about. */
#include "fakes.h"

#include <stdlib.h>
#include <string.h>

static int setup(void **state) {
    fx_world_setup(state);
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, true);
    fx_machine(w->store, "vm-2", "b", false, true);
    fx_sync(w->store, w->n.core, w->n.now);
    return 0;
}

static const char *zone_of(const char *id) {
    return strcmp(id, "vm-2") == 0 ? "b" : "a";
}

static void hear(fx_node *n, const char *id, uint64_t sequence, const char *piece) {
    fx_report(n, id, zone_of(id), false, 1, sequence, rr_core_fencing_token(n->core), piece, NULL);
}

/* One plan; commands are answered or stay in doubt. Changes committed: 1. */
static int plan_with(fx_node *n, enum rr_command_outcome outcome) {
    rr_plan p;
    int committed = fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, i), outcome,
                               outcome == RR_COMMAND_ANSWERED);
    }
    rr_plan_clear(&p);
    return committed;
}

static const char *place_of(const fx_store *s, const char *ref, uint64_t *attempt) {
    *attempt = fx_booked(s, "vm-1", ref, 0);
    if (*attempt) {
        return "vm-1";
    }
    *attempt = fx_booked(s, "vm-2", ref, 0);
    return *attempt ? "vm-2" : NULL;
}

static char *shown(const char *ref, uint64_t attempt, const char *standing) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " %s", ref, attempt, standing);
}

/* Books the job and starts it: where and under which attempt. */
static const char *run_job(fx_world *w, const struct fx_job *j, uint64_t *attempt) {
    fx_node *n = &w->n;
    hear(n, "vm-1", 1, NULL);
    hear(n, "vm-2", 1, NULL);
    fx_submit(w->store, j, n->now);
    fx_sync(w->store, n->core, n->now);
    assert_int_equal(plan_with(n, RR_COMMAND_ANSWERED), 1);
    plan_with(n, RR_COMMAND_ANSWERED);
    return place_of(w->store, j->job_id, attempt);
}

/* A report of one running task, as the door hands it to rr_core_reply_to_heartbeat(): how it is
 * answered, and how many stops the answer carries. */
static int answer_at(const fx_node *n, double at, const char *ref, uint64_t attempt,
                     unsigned *stops) {
    rr_heartbeat r = {.worker_epoch = 1,
                      .sequence = 3,
                      .fencing_token = rr_core_fencing_token(n->core),
                      .spot_notice_s = -1};
    rr_task_status p = {.attempt = attempt, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply ans;
    g_strlcpy(p.job_id, ref, sizeof p.job_id);
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(r.tasks, p);
    rr_core_reply_to_heartbeat(n->core, at, &r, &ans);
    *stops = ans.commands ? ans.commands->len : 0;
    if (ans.commands) {
        g_array_free(ans.commands, TRUE);
    }
    rr_heartbeat_clear(&r);
    return ans.status;
}

/* The gap: the state service refuses the leader alone, another controller confirms a cancellation,
 * then it is out for everybody, for longer than cancel_s, while the worker goes on reporting to the
 * leader. Facts not to be combined: a cancellation confirmed at T, and a lease that an answer given
 * without knowing of it renews beyond T + cancel_s. The guard is a comparison of times, tried one
 * tick on either side, with the cancellation at each step: before the mirror's last moment, at it,
 * and after. Nothing but the mirror moves that moment: no renewal, and no commit of its own. */
static void the_gap(void **state) {
    fx_world *w = *state;
    fx_node *leader = &w->n, other;
    struct fx_job j = {.job_id = "req-1", .service = true};
    uint64_t at;
    unsigned stops;
    const char *m = run_job(w, &j, &at);
    fx_node_init(&other, w->store, "n1");
    fx_sync(w->store, other.core, other.now);
    fx_join(&other, 9);
    fx_term(leader);
    double last = leader->now; /* what the leader knows from here on it knows by itself */
    other.now = last + 0.001;
    fx_sync(w->store, other.core, other.now);
    fx_cancel(&other, j.job_id); /* confirmed, at `other.now` at the earliest */
    double answers = rr_heartbeat_reply_s(&leader->config), tick = 0.001;
    rr_core_set_session(leader->core, 7, last + 1e6); /* a renewal says nothing of cancellations */
    assert_int_equal(answer_at(leader, last + answers - tick, j.job_id, at, &stops), 200);
    assert_int_equal(stops, 0);
    assert_int_not_equal(answer_at(leader, last + answers + tick, j.job_id, at, &stops), 200);
    /* Its own commit tells it of its own changes alone. */
    leader->now = last + 2;
    rr_transaction own;
    rr_encoder o;
    rr_transaction_init(&own);
    rr_encoder_init(&o);
    rr_encode_map(&o, 0);
    rr_transaction_put(&own, RR_KEY_ROOT "hire/none", &o, 0);
    rr_core_apply(leader->core, &own, w->store->epoch + 1, leader->now);
    rr_transaction_clear(&own);
    assert_int_not_equal(answer_at(leader, last + answers + tick, j.job_id, at, &stops), 200);
    /* The worker answered last: its lease counts from the sending of its report, at the latest from
     * the answer, on a clock that may run slow, and the leader's may, too. */
    double drift = 1.0005, gone = (answers + leader->config.lease_s * drift) * drift;
    assert_true(gone < leader->config.cancel_s);
    /* Who confirmed it stops it with every answer, entitled to plan or not. */
    assert_int_equal(answer_at(&other, other.now + answers - tick, j.job_id, at, &stops), 200);
    assert_int_equal(stops, 1);
    /* After the outage all sessions live, with mirrors of before: the leader answers nobody and
     * starts nothing that would outlast it until its mirror is current, and then it stops the task.
     */
    leader->now = last + 90;
    assert_int_not_equal(answer_at(leader, leader->now, j.job_id, at, &stops), 200);
    fx_sync(w->store, leader->core, leader->now);
    assert_int_equal(answer_at(leader, leader->now, j.job_id, at, &stops), 200);
    assert_int_equal(stops, 1);
    assert_non_null(m);
    fx_node_clear(&other);
}

/* The confirming controller's word comes over a link while the leader's mirror stands still: the
 * leader's answers stop the task at once. The word is no record: the job's state, its bookings and
 * its room are as before, and it lapses; whoever was told nothing stops nothing. */
static void a_confirmed_cancellation_is_told(void **state) {
    fx_world *w = *state;
    fx_node *leader = &w->n;
    struct fx_job j = {.job_id = "req-1", .service = true};
    rr_job_view before, after;
    uint64_t at;
    unsigned stops;
    run_job(w, &j, &at);
    double now = leader->now;
    assert_int_equal(answer_at(leader, now, j.job_id, at, &stops), 200);
    assert_int_equal(stops, 0);
    rr_core_job_view(leader->core, j.job_id, now, &before);
    rr_core_add_cancel_hint(leader->core, j.job_id, now);
    rr_core_add_cancel_hint(leader->core, "req-999999",
                            now); /* of a job that is not known here yet */
    assert_int_equal(answer_at(leader, now, j.job_id, at, &stops), 200);
    assert_int_equal(stops, 1);
    assert_int_equal(answer_at(leader, now, "req-999999", at, &stops), 200);
    assert_int_equal(stops, 1);
    assert_int_equal(answer_at(leader, now, "req-2", at, &stops), 200);
    assert_int_equal(stops, 0);
    rr_core_job_view(leader->core, j.job_id, now, &after);
    assert_memory_equal(&before, &after, sizeof before);
    assert_int_equal(fx_placed(w->store, j.job_id), 1);
    double lapsed = now + leader->config.cancel_s + 0.001;
    rr_core_set_session(leader->core, 7, lapsed + 100);
    rr_core_set_cache_current(leader->core, lapsed);
    assert_int_equal(answer_at(leader, lapsed, j.job_id, at, &stops), 200);
    assert_int_equal(stops, 0);
}

/* A booking without an answer is carried out late, after newer changes of the same controller:
 * after its own repeat, after the task's end, after a cancellation, and when its record is gone. It
 * stands in the ledger once at most. */
static void a_late_booking(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job done = {.job_id = "req-1"}, called_off = {.job_id = "req-2"};
    rr_plan late;
    uint64_t at;
    hear(n, "vm-1", 1, NULL);
    hear(n, "vm-2", 1, NULL);
    fx_submit(w->store, &done, n->now);
    fx_submit(w->store, &called_off, n->now);
    fx_sync(w->store, n->core, n->now);
    rr_plan_init(&late);
    rr_core_plan(n->core, n->now, n->now, &late);
    assert_true(late.has_transaction);
    assert_int_equal(fx_commit(w->store, &late.transaction), 0); /* the repeat came first */
    assert_int_not_equal(fx_commit(w->store, &late.transaction), 0);
    fx_sync(w->store, n->core, n->now);
    const char *m = place_of(w->store, done.job_id, &at);
    char *ended = shown(done.job_id, at, "ended:done");
    plan_with(n, RR_COMMAND_ANSWERED);
    fx_cancel(n, called_off.job_id);
    n->now += 1;
    hear(n, "vm-1", 2, strcmp(m, "vm-1") == 0 ? ended : NULL);
    hear(n, "vm-2", 2, strcmp(m, "vm-2") == 0 ? ended : NULL);
    for (int i = 0; i < 6; i++) {
        n->now += 1;
        plan_with(n, RR_COMMAND_ANSWERED);
        assert_int_not_equal(fx_commit(w->store, &late.transaction), 0);
    }
    assert_int_equal(fx_count(w->store, RR_KEY_ROOT "run/"), 0);
    assert_int_not_equal(fx_commit(w->store, &late.transaction), 0);
    rr_plan_clear(&late);
    g_free(ended);
}

/* The end of a job's last task meets its cancellation: one of the two changes holds, whichever
 * comes first, and the job is called by that one alone from then on. */
static void the_end_meets_a_cancellation(void **state) {
    (void)state;
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        fx_world *w;
        setup((void **)&w);
        fx_node *n = &w->n;
        struct fx_job j = {.job_id = "req-1"};
        uint64_t at, mark;
        rr_plan end;
        rr_encoder o;
        rr_transaction cancel;
        rr_job_view v;
        const char *m = run_job(w, &j, &at);
        char *ended = shown(j.job_id, at, "ended:done");
        n->now += 1;
        hear(n, m, 3, ended);
        rr_plan_init(&end);
        rr_core_plan(n->core, n->now, n->now, &end);
        assert_true(end.has_transaction);
        rr_encoder_init(&o);
        assert_true(rr_core_cancel_record(n->core, j.job_id, &o, &mark));
        rr_transaction_init(&cancel);
        rr_transaction_guard(&cancel, RR_KEY_ROOT "job/req-1", mark);
        rr_transaction_put(&cancel, RR_KEY_ROOT "job/req-1", &o, 0);
        assert_int_equal(fx_commit(w->store, cancel_first ? &cancel : &end.transaction), 0);
        assert_int_not_equal(fx_commit(w->store, cancel_first ? &end.transaction : &cancel), 0);
        fx_sync(w->store, n->core, n->now);
        for (int i = 0; i < 4; i++) {
            rr_core_job_view(n->core, j.job_id, n->now, &v);
            assert_true(v.done == !cancel_first);
            assert_true(v.cancelled == (bool)cancel_first);
            n->now += 1;
            plan_with(n, RR_COMMAND_ANSWERED);
        }
        rr_transaction_clear(&cancel);
        rr_plan_clear(&end);
        g_free(ended);
        fx_world_teardown((void **)&w);
    }
}

/* A team at its limit, its job cancelled while the machine hangs, and the leader changes: room
 * under the limit comes with the proof that the task is over and with nothing else. A report that
 * knows only the old token is none, even if it lacks the task: the old leader's start may come
 * after it. */
static void the_limit_across_a_change(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j1 = {.job_id = "req-1", .gpus = 2}, j2 = {.job_id = "req-2", .gpus = 2};
    uint64_t at, at2;
    n->config.teams[0].gpus_max = 2;
    const char *m = run_job(w, &j1, &at), *other = strcmp(m, "vm-1") == 0 ? "vm-2" : "vm-1";
    uint64_t old = rr_core_fencing_token(n->core);
    fx_submit(w->store, &j2, n->now);
    fx_sync(w->store, n->core, n->now);
    fx_cancel(n, j1.job_id);
    fx_join(n, 8); /* the leader's next life: everything booked before is another's */
    assert_true(rr_core_fencing_token(n->core) > old);
    for (uint64_t i = 0; i < 12; i++) {
        n->now += 2;
        hear(n, other, 10 + i, NULL);
        plan_with(n, RR_COMMAND_OUTCOME_UNKNOWN);
        assert_null(place_of(w->store, j2.job_id, &at2));
    }
    fx_report(n, m, zone_of(m), false, 1, 40, old, NULL); /* held back since before the change */
    plan_with(n, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_true(fx_booked(w->store, m, j1.job_id, 0) == at);
    assert_null(place_of(w->store, j2.job_id, &at2));
    n->now += 3;
    hear(n, m, 41, NULL); /* knows the present token: what it lacks never comes */
    hear(n, other, 41, NULL);
    for (int i = 0; i < 3; i++) {
        n->now += 1;
        plan_with(n, RR_COMMAND_ANSWERED);
    }
    assert_non_null(place_of(w->store, j2.job_id, &at2));
    assert_true(fx_booked(w->store, m, j1.job_id, 0) == 0);
}

/* A report is held back until the next leader has acted, and arrives then: older than what the
 * machine has answered since, it proves nothing and brings nothing back. */
static void a_report_held_for_the_next_leader(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-1", .service = true};
    uint64_t at;
    const char *m = run_job(w, &j, &at);
    char *runs = shown(j.job_id, at, "running");
    fx_join(n, 8);
    n->now += 1;
    hear(n, m, 20, runs);
    plan_with(n, RR_COMMAND_ANSWERED);
    /* Sent before the task had started, with the token of then; and a copy from after a lease. */
    fx_report(n, m, zone_of(m), false, 1, 2, rr_core_fencing_token(n->core) - 1, NULL);
    fx_report(n, m, zone_of(m), false, 1, 19, rr_core_fencing_token(n->core), NULL);
    plan_with(n, RR_COMMAND_ANSWERED);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == at);
    rr_job_view v;
    rr_core_job_view(n->core, j.job_id, n->now, &v);
    assert_string_equal(v.state, "running");
    g_free(runs);
}

/* A machine that reaches no controller answers commands all the same. They renew no lease: what is
 * started there is lost within one. So it takes no new work once its own reports have stopped,
 * unless a controller that may hear them can't be heard itself; the first report ends it. */
static void a_mute_machine_takes_no_work(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, other;
    uint64_t at;
    bool peer_heard = true;
    fx_node_init(&other, w->store, "n1");
    fx_sync(w->store, other.core, other.now);
    fx_join(&other, 9);
    fx_term(n);
    for (int round = 0; round < 2; round++, peer_heard = false) {
        const char *ref = round == 0 ? "req-1" : "req-2";
        uint64_t sequence = 100 + 100 * (uint64_t)round;
        hear(n, "vm-1", sequence, NULL);
        for (int i = 0; i < 14; i++) {
            n->now += 1;
            if (peer_heard) {
                rr_core_peer_contacted(n->core, n->now, 0);
            }
            plan_with(n, RR_COMMAND_ANSWERED);
            rr_heartbeat r = {.worker_epoch = 1,
                              .sequence = ++sequence,
                              .fencing_token = rr_core_fencing_token(n->core),
                              .spot_notice_s = -1,
                              .machine = "vm-1",
                              .address = "127.0.0.1:1001",
                              .machine_type = "m1",
                              .zone = "a"};
            r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
            bool shared = rr_core_take_command_reply(n->core, n->now, &r, -1);
            assert_true(shared == (i + 1 < 1.5 * n->config.heartbeat_interval_s));
            rr_heartbeat_clear(&r);
        }
        fx_submit(w->store, &(struct fx_job){.job_id = ref, .team = "blue", .zone = "a"}, n->now);
        fx_submit(w->store, &(struct fx_job){.job_id = "req-9", .zone = "a"}, n->now);
        fx_sync(w->store, n->core, n->now);
        fx_sync(w->store, other.core, n->now);
        plan_with(n, RR_COMMAND_ANSWERED);
        bool placed = place_of(w->store, ref, &at) || place_of(w->store, "req-9", &at);
        assert_true(placed == !peer_heard);
    }
    fx_node_clear(&other);
}

/* The free room of one zone is in pieces too small for a task; the other has less of it, but in one
 * piece. A job bound to one zone, array or service, goes where it fits; and all of it, if it can.
 */
static void room_in_pieces(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    uint64_t at;
    for (int i = 3; i < 9; i++) {
        char id[16], ref[32];
        g_snprintf(id, sizeof id, "vm-%d", i);
        g_snprintf(ref, sizeof ref, "req-%d", 100 + i);
        fx_machine(w->store, id, "a", false, true);
        fx_submit(w->store,
                  &(struct fx_job){.job_id = ref, .zone = "a", .cpus = 9, .service = true}, n->now);
    }
    fx_submit(w->store,
              &(struct fx_job){.job_id = "req-101", .zone = "a", .cpus = 9, .service = true},
              n->now);
    fx_submit(w->store,
              &(struct fx_job){.job_id = "req-102", .zone = "b", .cpus = 16, .service = true},
              n->now);
    fx_submit(w->store,
              &(struct fx_job){.job_id = "req-120", .zone = "b", .cpus = 8, .service = true},
              n->now);
    fx_machine(w->store, "vm-9", "b", false, true);
    fx_sync(w->store, n->core, n->now);
    hear(n, "vm-1", 1, NULL);
    hear(n, "vm-2", 1, NULL);
    for (int i = 3; i < 10; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_report(n, id, i < 9 ? "a" : "b", false, 1, 1, rr_core_fencing_token(n->core), NULL);
    }
    for (int i = 0; i < 6; i++) {
        n->now += 0.3;
        plan_with(n, RR_COMMAND_ANSWERED);
    }
    /* Seven times 7 of 16 CPUs are free in zone a, 8 of 32 in zone b, on one machine. */
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .one_zone = true, .cpus = 8}, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with(n, RR_COMMAND_ANSWERED);
    at = fx_booked(w->store, "vm-2", "req-1", 0) + fx_booked(w->store, "vm-9", "req-1", 0);
    assert_true(at != 0);
    /* Three tasks of 6 fit into zone a alone. */
    fx_submit(w->store,
              &(struct fx_job){.job_id = "req-2", .one_zone = true, .cpus = 6, .pieces = 3},
              n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with(n, RR_COMMAND_ANSWERED);
    assert_int_equal(fx_placed(w->store, "req-2"), 3);
}

/* Commands went unanswered; then the machine lost its lease and with it the work of this owner, who
 * is not the provisioner. Nobody's answer but one to us clears the doubt, so we go on asking: the
 * machine stayed out of use at one controller for good. */
static void a_doubt_without_work_ends(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, b;
    uint64_t at;
    fx_node_init(&b, w->store, "n1");
    fx_sync(w->store, b.core, b.now);
    fx_join(&b, 9);
    fx_term(n);
    /* Whichever of the two is not the provisioner, with a team of its own. */
    fx_node *owner = rr_core_is_autoscaler(n->core, n->now) ? &b : n;
    for (int t = 0; t < 2; t++) {
        char ref[16];
        g_snprintf(ref, sizeof ref, "req-%d", t + 1);
        fx_submit(w->store,
                  &(struct fx_job){.job_id = ref, .team = t ? "blue" : "red", .zone = "a"},
                  owner->now);
    }
    fx_sync(w->store, owner->core, owner->now);
    hear(owner, "vm-1", 1, NULL);
    for (uint64_t i = 0; i < 6; i++) {
        owner->now += 1.6;
        plan_with(owner, RR_COMMAND_OUTCOME_UNKNOWN);
        hear(owner, "vm-1", 2 + i, NULL);
    }
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    rr_core_list_suspects(owner->core, owner->now, names);
    assert_int_equal(names->len, 1);
    fx_report(owner, "vm-1", "a", false, 2, 20, rr_core_fencing_token(owner->core), NULL);
    /* The plan that finds its work there over comes right after a probe. */
    owner->now += 0.1;
    plan_with(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    owner->now += 0.1;
    plan_with(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_null(place_of(w->store, "req-1", &at));
    assert_null(place_of(w->store, "req-2", &at));
    unsigned asked = 0;
    for (uint64_t i = 0; i < 5; i++) {
        rr_plan p;
        owner->now += 1;
        fx_report(owner, "vm-1", "a", false, 2, 21 + i, rr_core_fencing_token(owner->core), NULL);
        fx_plan(owner, &p);
        for (guint k = 0; k < p.command_batches->len; k++) {
            rr_command_batch *d = g_ptr_array_index(p.command_batches, k);
            asked += d->commands->len == 0;
            rr_core_command_result(owner->core, owner->now, d, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&p);
    }
    assert_true(asked > 0);
    g_ptr_array_set_size(names, 0);
    rr_core_list_suspects(owner->core, owner->now, names);
    assert_int_equal(names->len, 0);
    g_ptr_array_free(names, TRUE);
    fx_node_clear(&b);
}

/* Tasks of two jobs failed on the only machine there is. A minute after the last failure it is
 * tried again: nobody waits for 90 s while it has room. */
static void a_fault_that_is_over(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    uint64_t sequence = 1, at;
    fx_machine_gone(w->store, "vm-2");
    for (int i = 1; i <= 2; i++) {
        char ref[16];
        g_snprintf(ref, sizeof ref, "req-%d", i);
        fx_submit(w->store, &(struct fx_job){.job_id = ref}, n->now);
        fx_sync(w->store, n->core, n->now);
        hear(n, "vm-1", sequence++, NULL);
        plan_with(n, RR_COMMAND_ANSWERED);
        at = fx_booked(w->store, "vm-1", ref, 0);
        assert_true(at != 0);
        char *failed = shown(ref, at, "ended:error");
        hear(n, "vm-1", sequence++, failed);
        g_free(failed);
        fx_cancel(n, ref);
        for (int k = 0; k < 8; k++) {
            n->now += 0.5;
            hear(n, "vm-1", sequence++, NULL);
            plan_with(n, RR_COMMAND_ANSWERED);
        }
    }
    double failed_at = n->now;
    fx_submit(w->store, &(struct fx_job){.job_id = "req-3"}, n->now);
    fx_sync(w->store, n->core, n->now);
    double began = 0;
    while (n->now < failed_at + 90 && began == 0) {
        n->now += 1;
        hear(n, "vm-1", sequence++, NULL);
        plan_with(n, RR_COMMAND_ANSWERED);
        began = fx_booked(w->store, "vm-1", "req-3", 0) ? n->now : 0;
    }
    assert_true(began > failed_at + 40 && began < failed_at + 65);
}

/* A start is in doubt, and its task was ended by start and stop under one token: the exited attempt
 * blocks a late copy of the start. It must do so also after the job has shrunk to a line, which the
 * provisioner clears: in the attempt's own term the provisioner leaves it to the owner, who knows.
 */
static void a_line_that_blocks_a_late_start(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-1", .zone = "a"};
    uint64_t sequence = 10;
    hear(n, "vm-1", 1, NULL);
    fx_submit(w->store, &j, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with(n, RR_COMMAND_ANSWERED);
    uint64_t at = fx_booked(w->store, "vm-1", j.job_id, 0);
    plan_with(n, RR_COMMAND_OUTCOME_UNKNOWN); /* the start */
    fx_cancel(n, j.job_id);
    n->now += 2;
    hear(n, "vm-1", 2, NULL);
    plan_with(n, RR_COMMAND_ANSWERED); /* start and stop */
    char *ended = shown(j.job_id, at, "ended:halted");
    /* An attempt of another controller, in this term, of a job that is a line here. */
    uint64_t foreign = at ^ ((uint64_t)1 << 24);
    char *theirs = shown(j.job_id, foreign, "ended:halted");
    rr_core_stats st;
    rr_plan p;
    do {
        n->now += 30;
        hear(n, "vm-1", sequence++, ended);
        fx_plan(n, &p);
        assert_null(fx_order(&p, "vm-1", RR_COMMAND_REAP, j.job_id, 0));
        for (guint i = 0; i < p.command_batches->len; i++) {
            rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, i),
                                   RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&p);
        rr_core_get_stats(n->core, &st);
    } while (st.jobs_whole > 0 && sequence < 40);
    assert_int_equal(st.jobs_whole, 0);
    hear(n, "vm-1", sequence++, theirs);
    fx_plan(n, &p);
    assert_null(fx_order(&p, "vm-1", RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p);
    /* The next term voids every copy: now the provisioner clears it. */
    fx_join(n, 8);
    n->now += 5;
    hear(n, "vm-1", sequence++, theirs);
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, "vm-1", RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p);
    g_free(theirs);
    g_free(ended);
}

/* New machines are up within two seconds, writes lag, and the leader that rented them ends: they
 * report before any record names them. Nobody books there until one does; the next provisioner
 * repeats the intent under its name, records each once, and work goes there at once. */
static void machines_up_before_their_record(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, next;
    uint64_t at;
    rr_autoscaler_step s;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fx_machine_gone(w->store, "vm-1");
    fx_machine_gone(w->store, "vm-2");
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 40; i++) {
        fx_provisioner_step(n, none, &s);
        bool rental = s.kind == RR_AUTOSCALER_SCALE_OUT;
        n->now += 0.5;
        if (rental) {
            break; /* the cloud has the request; the leader ends before it reads the answer */
        }
        rr_autoscaler_step_clear(&s);
    }
    assert_int_equal(s.kind, RR_AUTOSCALER_SCALE_OUT);
    fx_node_init(&next, w->store, "n1");
    next.now = n->now;
    fx_reread(w->store, next.core, next.now);
    fx_leave(n);
    fx_join(&next, 9);
    fx_report(&next, "vm-7", "a", false, 1, 1, 0, NULL);
    plan_with(&next, RR_COMMAND_ANSWERED);
    assert_true(fx_booked(w->store, "vm-7", "req-1", 0) == 0);
    bool repeated = false;
    for (int i = 0; i < 60 && !fx_recorded(w->store, "vm-7"); i++) {
        rr_autoscaler_step again;
        fx_provisioner_step(&next, none, &again);
        if (again.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *ids = g_ptr_array_new();
            g_ptr_array_add(ids, (gpointer) "vm-7");
            assert_string_equal(again.rental, s.rental);
            repeated = true;
            rr_core_scale_out_result(next.core, next.now, &again, 200, ids);
            g_ptr_array_free(ids, TRUE);
        }
        rr_autoscaler_step_clear(&again);
        next.now += 0.2;
    }
    assert_true(repeated);
    assert_true(fx_recorded(w->store, "vm-7"));
    fx_report(&next, "vm-7", "a", false, 1, 2, rr_core_fencing_token(next.core), NULL);
    plan_with(&next, RR_COMMAND_ANSWERED);
    at = fx_booked(w->store, "vm-7", "req-1", 0);
    assert_true(at != 0);
    rr_autoscaler_step_clear(&s);
    g_array_free(none, TRUE);
    fx_node_clear(&next);
}

/* Jobs 4, 12, 20 .. are cancelled while they run. */
static const char *ends(int machine, const char *ref, uint32_t task, int shown, uint64_t sequence) {
    (void)machine;
    (void)task;
    (void)shown;
    (void)sequence;
    return atoi(ref + strlen("req-")) % 8 == 4 ? "ended:halted" : "ended:done";
}

#define LATE_JOBS 24 /* the jobs of the last six seconds */

/* All machines show what has ended of the jobs that came last, up to job i. */
static void show_ended(fx_node *n, int i, uint64_t sequence) {
    static char names[LATE_JOBS][32];
    const char *refs[LATE_JOBS];
    int jobs = 0;
    for (int b = i; b > i - LATE_JOBS && b > 0; b--, jobs++) {
        g_snprintf(names[jobs], sizeof names[jobs], "req-%06d", b);
        refs[jobs] = names[jobs];
    }
    struct fx_show show = {.first = 10,
                           .last = 29,
                           .last_in_a = 29,
                           .refs = refs,
                           .jobs = jobs,
                           .tasks = 1,
                           .most = 4,
                           .worker_epoch = 1,
                           .sequence = sequence,
                           .state = ends};
    fx_show_jobs(n, &show);
}

static unsigned changes_since(const fx_store *s, uint64_t epoch) {
    unsigned changes = 0;
    for (guint i = 0; i < s->log->len; i++) {
        changes += fx_log_mark(s, i) > epoch;
    }
    return changes;
}

/* One-task jobs come four a second for two minutes, a quarter of them cancelled at some moment:
 * what each costs at the store is bounded, nothing of them stays in the ledger, and in memory
 * lines. */
static void many_small_jobs(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    const int jobs = 480;
    uint64_t sequence = 1, before;
    char ref[32];
    rr_core_stats st;
    fx_fleet(n, 10, 20, "a");
    before = w->store->epoch;
    for (int i = 1; i <= jobs; i++) {
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        fx_submit(w->store, &(struct fx_job){.job_id = ref, .cpus = 1}, n->now);
        fx_sync(w->store, n->core, n->now);
        if (i % 8 == 0) {
            fx_cancel(n, ref); /* before it starts */
        }
        n->now += 0.25;
        plan_with(n, RR_COMMAND_ANSWERED);
        if (i % 8 == 4) {
            fx_cancel(n, ref); /* while it runs */
        }
        if (i % 4 == 0) { /* every second */
            show_ended(n, i, ++sequence);
        }
    }
    for (int i = 0; i < 8; i++) {
        n->now += 0.3;
        plan_with(n, RR_COMMAND_ANSWERED);
    }
    assert_int_equal(fx_count(w->store, RR_KEY_ROOT "run/"), 0);
    /* Accepted, booked, ended with its ledger record gone; a cancelled one no more than that. */
    assert_true(changes_since(w->store, before) <= 4 * (unsigned)jobs);
    for (int i = 0; i < 6; i++) {
        n->now += 61;
        plan_with(n, RR_COMMAND_ANSWERED);
    }
    rr_core_get_stats(n->core, &st);
    assert_int_equal(st.jobs_whole, 0);
    for (int i = 1; i <= jobs; i++) {
        rr_job_view v;
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        rr_core_job_view(n->core, ref, n->now, &v);
        assert_true(v.known && v.done == (i % 4 != 0) && v.cancelled == (i % 4 == 0));
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(the_gap, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_confirmed_cancellation_is_told, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_late_booking, setup, fx_world_teardown),
        cmocka_unit_test(the_end_meets_a_cancellation),
        cmocka_unit_test_setup_teardown(the_limit_across_a_change, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_report_held_for_the_next_leader, setup,
                                        fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_mute_machine_takes_no_work, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(room_in_pieces, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_doubt_without_work_ends, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_fault_that_is_over, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_line_that_blocks_a_late_start, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(machines_up_before_their_record, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(many_small_jobs, setup, fx_world_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
