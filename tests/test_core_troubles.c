/* Troubles beyond silence: machines that hear nothing, late copies of reports, controllers left
 * alone or back at once, and the order in which records reach a mirror. */
#include "fakes.h"

#include <string.h>

static int setup(void **state) {
    fx_world_setup(state);
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_machine(w->store, "vm-2", "b", false, false);
    fx_sync(w->store, w->n.core, w->n.now);
    return 0;
}

static const char *zone_of(const char *id) {
    return strcmp(id, "vm-1") == 0 ? "a" : "b";
}

static void hear(fx_node *n, const char *id, uint64_t sequence) {
    fx_report(n, id, zone_of(id), false, 1, sequence, rr_core_fencing_token(n->core), NULL);
}

static const char *place_of(const fx_world *w, const char *ref) {
    return fx_booked(w->store, "vm-1", ref, 0)   ? "vm-1"
           : fx_booked(w->store, "vm-2", ref, 0) ? "vm-2"
                                                 : NULL;
}

/* One plan; every command to `deaf` goes unanswered, the others are answered. */
static void plan_with_deaf(fx_node *n, const char *deaf) {
    rr_plan p;
    fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_command_batch *d = g_ptr_array_index(p.command_batches, i);
        bool lost = deaf && strcmp(d->machine, deaf) == 0;
        rr_core_command_result(n->core, n->now, d,
                               lost ? RR_COMMAND_OUTCOME_UNKNOWN : RR_COMMAND_ANSWERED, !lost);
    }
    rr_plan_clear(&p);
}

/* One step of the provisioner, carried out as far as the store goes. True: it asks for a release of
 * id.
 */
static bool step(fx_world *w, const char *id) {
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    bool asked = false;
    for (int i = 1; i <= 2; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "vm-%d", i);
        fx_listed(machines, name, i == 1 ? "a" : "b", RR_LISTED_RUNNING, 500);
    }
    fx_provisioner_step(n, machines, &s);
    if (s.kind == RR_AUTOSCALER_SCALE_IN) {
        for (guint i = 0; i < s.machines->len; i++) {
            asked = asked || strcmp(s.machines->pdata[i], id) == 0;
        }
        if (asked) {
            rr_core_scale_in_result(n->core, n->now, s.machines);
        }
    }
    rr_autoscaler_step_clear(&s);
    g_array_free(machines, TRUE);
    return asked;
}

/* Its reports arrive, but commands do not: it looked fresh, took bookings and lost its lease. Two
 * commands without an answer and it takes no new work; soon after it is asked back, and its task
 * starts elsewhere on that proof. */
static void one_way_machine(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j1 = {.job_id = "req-1", .service = true},
                  j2 = {.job_id = "req-2", .service = true};
    hear(n, "vm-1", 1);
    hear(n, "vm-2", 1);
    fx_submit(w->store, &j1, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with_deaf(n, NULL);
    const char *deaf = place_of(w, "req-1"), *other = strcmp(deaf, "vm-1") == 0 ? "vm-2" : "vm-1";
    bool released = false;
    for (uint64_t i = 2; i < 40 && !released; i++) {
        n->now += 1;
        hear(n, deaf, i);
        hear(n, other, i);
        plan_with_deaf(n, deaf);
        if (i == 10) {
            fx_submit(w->store, &j2, n->now);
            fx_sync(w->store, n->core, n->now);
            plan_with_deaf(n, deaf);
            assert_string_equal(place_of(w, "req-2"), other);
        }
        assert_string_equal(place_of(w, "req-1"), deaf); /* no proof yet */
        released = step(w, deaf);
        assert_false(step(w, other));
    }
    assert_true(released);
    for (int i = 0; i < 6; i++) {
        n->now += 0.5;
        step(w, deaf);
        plan_with_deaf(n, NULL);
    }
    assert_string_equal(place_of(w, "req-1"), other);
}

/* Where only our own path was bad, one answer clears it. */
static void an_answer_clears_the_suspicion(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    hear(n, "vm-1", 1);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .service = true}, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with_deaf(n, NULL);
    for (uint64_t i = 2; i < 8; i++) {
        n->now += 1;
        hear(n, "vm-1", i);
        plan_with_deaf(n, "vm-1");
    }
    rr_core_list_suspects(n->core, n->now, names);
    assert_int_equal(names->len, 1);
    assert_string_equal(names->pdata[0], "vm-1");
    n->now += 2;
    hear(n, "vm-1", 9);
    fx_plan(n, &p); /* the start once more, or a probe: answered */
    assert_non_null(fx_do(&p, "vm-1"));
    rr_core_command_result(n->core, n->now, fx_do(&p, "vm-1"), RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&p);
    g_ptr_array_set_size(names, 0);
    rr_core_list_suspects(n->core, n->now, names);
    assert_int_equal(names->len, 0);
    g_ptr_array_free(names, TRUE);
}

/* A copy of a report, late by more than a lease, reaches a controller that has just restarted and
 * can't tell: one report from before its term makes no room. A second, newer one does, and so does
 * one with the present token. */
static void late_copy_to_a_restarted_reader(void **state) {
    fx_world *w = *state;
    fx_node again;
    fx_node_init(&again, w->store, "n0");
    fx_reread(w->store, again.core, again.now);
    fx_join(&again, 8);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .zone = "a"}, again.now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-2", .zone = "b"}, again.now);
    fx_sync(w->store, again.core, again.now);
    fx_report(&again, "vm-1", "a", false, 1, 40, 1, NULL);
    plan_with_deaf(&again, NULL);
    assert_null(place_of(w, "req-1"));
    again.now += 3;
    fx_report(&again, "vm-1", "a", false, 1, 41, 1, NULL);
    hear(&again, "vm-2", 7);
    plan_with_deaf(&again, NULL);
    assert_string_equal(place_of(w, "req-1"), "vm-1");
    assert_string_equal(place_of(w, "req-2"), "vm-2");
    fx_node_clear(&again);
}

/* A machine that this controller has seen come into the records takes work with its first report:
 * it once waited for a second one, eleven seconds on average. So does one whose signs of life come
 * in lines from a peer. */
static void a_new_machine_is_used_at_once(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, again;
    fx_machine(w->store, "vm-3", "a", false, false);
    fx_sync(w->store, n->core, n->now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_sync(w->store, n->core, n->now);
    fx_report(n, "vm-3", "a", false, 1, 1, 0, NULL);
    plan_with_deaf(n, NULL);
    assert_true(fx_booked(w->store, "vm-3", "req-1", 0) != 0);
    fx_node_init(&again, w->store, "n0");
    fx_reread(w->store, again.core, again.now);
    fx_join(&again, 8);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-2", .zone = "b"}, again.now);
    fx_sync(w->store, again.core, again.now);
    fx_report(&again, "vm-2", "b", false, 1, 40, 1, NULL);
    plan_with_deaf(&again, NULL);
    assert_null(place_of(w, "req-2"));
    again.now += 3;
    rr_heartbeat_digest line = {.machine = "vm-2", .worker_epoch = 1, .sequence = 41, .hash = 5};
    assert_true(rr_core_take_heartbeat_digest(again.core, again.now, &line, 0));
    plan_with_deaf(&again, NULL);
    assert_string_equal(place_of(w, "req-2"), "vm-2");
    fx_node_clear(&again);
}

/* A copy about a machine that has gone creates nothing, and one about a machine that nobody has
 * recorded is no reason to record it until it answers. */
static void late_copy_about_a_machine_that_has_gone(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_core_stats st;
    hear(n, "vm-1", 5);
    hear(n, "vm-2", 5);
    fx_machine_gone(w->store, "vm-1");
    fx_sync(w->store, n->core, n->now);
    rr_heartbeat r = {.worker_epoch = 1,
                      .sequence = 6,
                      .fencing_token = rr_core_fencing_token(n->core),
                      .spot_notice_s = -1};
    g_strlcpy(r.machine, "vm-1", sizeof r.machine);
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_int_equal(rr_core_take_heartbeat(n->core, n->now, &r, -1), RR_HEARTBEAT_IGNORED);
    rr_core_get_stats(n->core, &st);
    assert_int_equal(st.machines, 1);
    fx_report(n, "vm-7", "a", false, 1, 3, 0, NULL);
    for (int i = 0; i < 8; i++) {
        n->now += 0.5;
        step(w, "");
    }
    assert_false(fx_recorded(w->store, "vm-7"));
    rr_core_verify_machine(
        n->core, n->now,
        &(rr_heartbeat_digest){.machine = "vm-7", .worker_epoch = 1, .sequence = 4});
    for (int i = 0; i < 4; i++) {
        step(w, "");
    }
    assert_true(fx_recorded(w->store, "vm-7"));
}

/* A machine back under its name with its counts begun anew: its reports look old and are dropped,
 * so that it stayed silent and alive for ever. It is asked back; until then its task stays booked.
 */
static void a_machine_back_at_once(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    hear(n, "vm-1", 500);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .service = true}, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with_deaf(n, NULL);
    assert_string_equal(place_of(w, "req-1"), "vm-1");
    bool released = false;
    for (uint64_t i = 1; i < 30 && !released; i++) {
        n->now += 1;
        hear(n, "vm-1", i);
        hear(n, "vm-2", 500 + i);
        rr_plan p;
        fx_plan(n, &p);
        for (guint k = 0; k < p.command_batches->len; k++) {
            rr_command_batch *d = g_ptr_array_index(p.command_batches, k);
            rr_heartbeat_digest h = {.worker_epoch = 1,
                                     .sequence = strcmp(d->machine, "vm-1") == 0 ? i : 500 + i};
            g_strlcpy(h.machine, d->machine, sizeof h.machine);
            rr_core_verify_machine(n->core, n->now, &h);
            rr_core_command_result(n->core, n->now, d, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&p);
        assert_string_equal(place_of(w, "req-1"), "vm-1");
        released = step(w, "vm-1");
    }
    assert_true(released);
}

/* A controller has lost the state service and the others, but not its workers: by its own clock it
 * stops answering them. To the others they are silent; they ask, with the present token, and hold
 * nobody for dead who answers. */
static void a_controller_alone_with_its_workers(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, alone;
    fx_machine(w->store, "vm-1", "a", false, true);
    fx_machine(w->store, "vm-2", "b", false, true);
    fx_node_init(&alone, w->store, "n1");
    fx_sync(w->store, alone.core, alone.now);
    fx_join(&alone, 9);
    fx_term(n);
    fx_sync(w->store, alone.core, alone.now);
    hear(n, "vm-1", 1);
    hear(n, "vm-2", 1);
    /* Cut off from here on: no renewal, no change of the mirror. */
    rr_core_set_session(alone.core, 9, alone.now + 10);
    rr_heartbeat r = {.worker_epoch = 1,
                      .sequence = 2,
                      .fencing_token = rr_core_fencing_token(alone.core),
                      .spot_notice_s = -1};
    struct rr_heartbeat_reply ans;
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    double answers = rr_heartbeat_reply_s(&alone.config);
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers - 0.1, &r, &ans);
    assert_int_equal(ans.status, 200);
    g_array_free(ans.commands, TRUE);
    assert_false(rr_core_ready(alone.core, alone.now + answers - 0.1));
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers + 0.1, &r, &ans);
    assert_int_not_equal(ans.status, 200);
    /* A renewal, held up or late, says nothing of cancellations: only the mirror does. */
    rr_core_set_session(alone.core, 9, alone.now + 1e6);
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers + 0.1, &r, &ans);
    assert_int_not_equal(ans.status, 200);
    /* The worker answered last ends by its lease, in time for a cancellation made just after the
     * last moment that this mirror knows. */
    assert_true(answers + 1.001 * alone.config.lease_s < alone.config.cancel_s - 0.9);
    assert_true(answers > 0.9 * (alone.config.cancel_s - alone.config.lease_s));
    rr_heartbeat_clear(&r);
    /* Its session ends; the others make a term without it. */
    fx_leave(&alone);
    fx_term(n);
    unsigned probes = 0;
    for (int i = 0; i < 40; i++) {
        rr_plan p;
        n->now += 1;
        fx_plan(n, &p);
        for (guint k = 0; k < p.command_batches->len; k++) {
            rr_command_batch *d = g_ptr_array_index(p.command_batches, k);
            probes++;
            assert_int_equal(d->commands->len, 0);
            assert_true(d->fencing_token == rr_core_fencing_token(n->core));
            hear(n, d->machine, 10 + (uint64_t)i);
            rr_core_command_result(n->core, n->now, d, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&p);
        assert_false(step(w, "vm-1"));
        assert_false(step(w, "vm-2"));
    }
    assert_true(probes >= 4);
    fx_node_clear(&alone);
}

/* Two incarnations of one name, at each point of an election. */
static void back_at_once_in_an_election(void **state) {
    for (int late = 0; late < 3; late++) {
        fx_world *w;
        fx_node again, peer;
        rr_transaction old, mine;
        fx_world_setup((void **)&w);
        fx_node *n = &w->n;
        fx_node_init(&peer, w->store, "n1");
        fx_sync(w->store, peer.core, peer.now);
        rr_encoder o;
        rr_encoder_init(&o);
        rr_core_encode_session(&n->config, &o, 9);
        fx_put(w->store, RR_KEY_ROOT "node/n1", &o);
        rr_core_set_session(peer.core, 9, 1e6);
        /* The old incarnation has seen the new node and prepares the next term, then dies. */
        fx_sync(w->store, n->core, n->now);
        rr_transaction_init(&old);
        assert_true(rr_core_next_term(n->core, n->now, n->now, &old));
        if (late == 0) { /* applied before the new incarnation registers */
            assert_int_equal(fx_commit(w->store, &old), 0);
        }
        fx_node_init(&again, w->store, "n0");
        rr_encoder_init(&o);
        rr_core_encode_session(&n->config, &o, 77);
        fx_put(w->store, RR_KEY_ROOT "node/n0", &o);
        rr_core_set_session(again.core, 77, 1e6);
        fx_sync(w->store, again.core, again.now);
        if (late == 1) { /* applied while the new incarnation's own is under way */
            rr_transaction_init(&mine);
            assert_true(rr_core_next_term(again.core, again.now, again.now, &mine));
            assert_int_equal(fx_commit(w->store, &old), 0);
            assert_true(fx_commit(w->store, &mine) != 0);
            rr_transaction_clear(&mine);
        }
        fx_term(&again);
        uint64_t token = rr_core_fencing_token(again.core);
        if (late == 2) { /* applied after it */
            assert_true(fx_commit(w->store, &old) != 0);
        }
        fx_sync(w->store, again.core, again.now);
        assert_true(rr_core_fencing_token(again.core) == token);
        assert_true(rr_core_lease_valid(again.core, again.now));
        fx_sync(w->store, peer.core, peer.now);
        assert_true(rr_core_lease_valid(peer.core, peer.now));
        /* The old one's lease may live on: its mirror tells it that it is deposed. */
        fx_sync(w->store, n->core, n->now);
        assert_false(rr_core_lease_valid(n->core, n->now));
        rr_transaction_clear(&old);
        fx_node_clear(&peer);
        fx_node_clear(&again);
        fx_world_teardown((void **)&w);
    }
    (void)state;
}

static void put_batch(fx_world *w, const char *key, const struct fx_job *jobs, size_t n) {
    rr_encoder o, one;
    rr_submission s;
    rr_encoder_init(&o);
    rr_core_batch_begin(&o, n);
    for (size_t i = 0; i < n; i++) {
        rr_encoder_init(&one);
        fx_submission(&s, &jobs[i]);
        rr_core_job_encode(&one, &s, w->n.now, false);
        msgpack_sbuffer_write(&o.buffer, one.buffer.data, one.buffer.size);
        rr_encoder_clear(&one);
    }
    fx_put(w->store, key, &o);
    fx_sync(w->store, w->n.core, w->n.now);
}

/* Jobs accepted in one record: each is known, runs, and is cancelled by a record of its own, which
 * stands whatever order a reread brings them in. */
static void jobs_accepted_together(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, again;
    struct fx_job jobs[] = {{.job_id = "req-1", .service = true}, {.job_id = "req-2"}};
    rr_job_view v;
    rr_plan p;
    hear(n, "vm-1", 1);
    put_batch(w, RR_KEY_ROOT "batch/7-1", jobs, 2);
    plan_with_deaf(n, NULL);
    assert_non_null(place_of(w, "req-1"));
    assert_non_null(place_of(w, "req-2"));
    /* A booking planned before the cancellation is void after it, as with a job of its own record.
     */
    struct fx_job more[] = {{.job_id = "req-3"}, {.job_id = "req-4"}};
    put_batch(w, RR_KEY_ROOT "batch/7-2", more, 2);
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    assert_true(p.has_transaction);
    fx_cancel(n, "req-3");
    assert_true(fx_commit(w->store, &p.transaction) != 0);
    rr_plan_clear(&p);
    fx_cancel(n, "req-1");
    fx_node_init(&again, w->store, "n1");
    fx_reread(w->store, again.core, again.now);
    rr_core_job_view(again.core, "req-1", again.now, &v);
    assert_true(v.known && v.cancelled);
    rr_core_job_view(again.core, "req-4", again.now, &v);
    assert_true(v.known && !v.cancelled);
    put_batch(w, RR_KEY_ROOT "batch/7-1", jobs, 2); /* once more, later */
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_true(v.cancelled);
    fx_node_clear(&again);
}

/* Our own changes are in the mirror before the watch brings older ones: an older record must not
 * bring back a placement that is over, or its task would be started again. */
static void an_older_record_revives_nothing(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-1", .service = true};
    rr_plan p;
    char key[64] = RR_KEY_ROOT "run/req-1/0";
    hear(n, "vm-1", 1);
    fx_submit(w->store, &j, n->now);
    fx_sync(w->store, n->core, n->now);
    fx_plan(n, &p);
    rr_transaction booking = p.transaction;
    rr_transaction_init(&p.transaction);
    rr_plan_clear(&p);
    uint64_t booked = w->store->epoch;
    fx_cancel(n, "req-1");
    hear(n, "vm-1", 2);
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    assert_true(p.has_transaction);
    assert_int_equal(fx_commit(w->store, &p.transaction), 0);
    rr_core_apply(n->core, &p.transaction, w->store->epoch, n->now);
    rr_plan_clear(&p);
    assert_true(fx_mark(w->store, key) == 0);
    rr_core_apply(n->core, &booking, booked, n->now); /* as the watch would, late */
    rr_core_stats st;
    rr_core_get_stats(n->core, &st);
    assert_int_equal(st.tasks_placed, 0);
    fx_plan(n, &p);
    assert_null(fx_order(&p, "vm-1", RR_COMMAND_START, "req-1", 0));
    rr_plan_clear(&p);
    rr_transaction_clear(&booking);
}

/* Pages of a reread are of different moments: a booking may be read whose machine's record was not
 * yet there. Nothing is decided before the watch has joined them. */
static void an_unsettled_mirror_decides_nothing(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    hear(n, "vm-1", 1);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_sync(w->store, n->core, n->now);
    rr_core_cache_end_reload(n->core, 1, w->store->epoch + 5, n->now);
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    assert_false(p.has_transaction);
    rr_plan_clear(&p);
}

/* The machine of a booking went while its owner was down: the new one has never heard of it. */
static void a_booking_on_a_machine_long_gone(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, again;
    hear(n, "vm-1", 1);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .service = true}, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_with_deaf(n, NULL);
    assert_string_equal(place_of(w, "req-1"), "vm-1");
    fx_machine_gone(w->store, "vm-1");
    fx_node_init(&again, w->store, "n0");
    fx_reread(w->store, again.core, again.now);
    fx_join(&again, 8);
    hear(&again, "vm-2", 1);
    plan_with_deaf(&again, NULL);
    plan_with_deaf(&again, NULL);
    assert_string_equal(place_of(w, "req-1"), "vm-2");
    fx_node_clear(&again);
}

static void random_value(GRand *rnd, rr_encoder *o, int depth) {
    static const char *const texts[] = {"",     "a",     "vm-1", "req-1", "m1",
                                        "ffff", "batch", "prod", "done"};
    int kind = g_rand_int_range(rnd, 0, depth > 0 ? 7 : 5);
    int n = g_rand_int_range(rnd, 0, 7);
    switch (kind) {
    case 0:
        rr_encode_u64(o, g_rand_int(rnd) >> g_rand_int_range(rnd, 0, 31));
        break;
    case 1:
        rr_encode_number(o, g_rand_double_range(rnd, -10, 1e7));
        break;
    case 2:
        rr_encode_bool(o, n & 1);
        break;
    case 3:
        msgpack_pack_nil(&o->packer);
        break;
    case 5:
        rr_encode_array(o, (size_t)n);
        for (int i = 0; i < n; i++) {
            random_value(rnd, o, depth - 1);
        }
        break;
    case 6:
        rr_encode_map(o, 1);
        rr_encode_text(o, texts[g_rand_int_range(rnd, 0, G_N_ELEMENTS(texts))]);
        random_value(rnd, o, depth - 1);
        break;
    default:
        rr_encode_text(o, texts[g_rand_int_range(rnd, 0, G_N_ELEMENTS(texts))]);
    }
}

/* Records of an earlier form, too large or malformed are passed over: no crash, and what is well
 * formed beside them is served. */
static void malformed_records(void **state) {
    static const char *const keys[] = {
        "run/req-1/0",    "run/req-1/9",    "run/x",     "run/req-2/99999",
        "fleet/00000001", "fleet/x",        "job/req-1", "job/req-2",
        "batch/1-1",      "hire/h",         "node/n2",   "build/m9",
        "machine/vm-1",   "result/req-1/0", "term2",     "other"};
    static const char *const fields[] = {"tasks",  "bits", "stones", "jobs",
                                         "tether", "zone", "final"};
    fx_world *w = *state;
    fx_node *n = &w->n;
    GRand *rnd = g_rand_new_with_seed(11);
    rr_plan p;
    for (uint64_t i = 0; i < 20000; i++) {
        char key[64];
        rr_encoder o;
        rr_document d;
        rr_encoder_init(&o);
        g_snprintf(key, sizeof key, RR_KEY_ROOT "%s",
                   keys[g_rand_int_range(rnd, 0, G_N_ELEMENTS(keys))]);
        int many = g_rand_int_range(rnd, 0, 3);
        rr_encode_map(&o, (size_t)many);
        for (int k = 0; k < many; k++) {
            rr_encode_text(&o, fields[g_rand_int_range(rnd, 0, G_N_ELEMENTS(fields))]);
            random_value(rnd, &o, 3);
        }
        assert_int_equal(rr_document_parse(&d, o.buffer.data, o.buffer.size), 0);
        rr_core_cache_put(n->core, key, d.root, 1000 + i, n->now);
        rr_document_clear(&d);
        rr_encoder_clear(&o);
        if (i % 500 == 0) {
            n->now += 0.5;
            rr_plan_init(&p);
            rr_core_plan(n->core, n->now, n->now, &p);
            rr_plan_clear(&p);
            step(w, "");
        }
    }
    g_rand_free(rnd);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-777"}, n->now);
    fx_sync(w->store, n->core, n->now);
    rr_job_view v;
    rr_core_job_view(n->core, "req-777", n->now, &v);
    assert_true(v.known);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, fx_world_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(one_way_machine),
                                       T(an_answer_clears_the_suspicion),
                                       T(late_copy_to_a_restarted_reader),
                                       T(a_new_machine_is_used_at_once),
                                       T(late_copy_about_a_machine_that_has_gone),
                                       T(a_machine_back_at_once),
                                       T(a_controller_alone_with_its_workers),
                                       cmocka_unit_test(back_at_once_in_an_election),
                                       T(jobs_accepted_together),
                                       T(an_older_record_revives_nothing),
                                       T(an_unsettled_mirror_decides_nothing),
                                       T(a_booking_on_a_machine_long_gone),
                                       T(malformed_records)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
