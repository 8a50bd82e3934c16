/* Troubles beyond silence: machines that hear nothing, late copies of reports, controllers left
 * alone or back at once, and the order in which records reach a store cache. */
#include "core_fixture.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <string.h>

static int setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, false);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
    return 0;
}

static const char *zone_of(const char *id) {
    return strcmp(id, "vm-1") == 0 ? "a" : "b";
}

static void hear(test_controller *node, const char *id, uint64_t sequence) {
    test_controller_heartbeat(node, id, zone_of(id), false, 1, sequence,
                              rr_core_fencing_token(node->core), NULL);
}

static const char *place_of(const core_fixture *fixture, const char *job_id) {
    return fake_store_attempt(fixture->store, "vm-1", job_id, 0)   ? "vm-1"
           : fake_store_attempt(fixture->store, "vm-2", job_id, 0) ? "vm-2"
                                                                   : NULL;
}

/* One plan; every command to `deaf` goes unanswered, the others are answered. */
static void plan_with_deaf(test_controller *node, const char *deaf) {
    rr_plan plan;
    test_controller_plan(node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        bool lost = deaf && strcmp(batch->machine, deaf) == 0;
        rr_core_command_result(node->core, node->now, batch,
                               lost ? RR_COMMAND_OUTCOME_UNKNOWN : RR_COMMAND_ANSWERED, !lost);
    }
    rr_plan_clear(&plan);
}

/* One step of the autoscaler, carried out as far as the store goes. True: it asks for a release of
 * id.
 */
static bool step(core_fixture *fixture, const char *id) {
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    bool asked = false;
    for (int i = 1; i <= 2; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "vm-%d", i);
        list_machine(machines, name, i == 1 ? "a" : "b", RR_LISTED_RUNNING, 500);
    }
    test_controller_autoscaler_step(node, machines, &step);
    if (step.kind == RR_AUTOSCALER_SCALE_IN) {
        for (guint i = 0; i < step.machines->len; i++) {
            asked = asked || strcmp(step.machines->pdata[i], id) == 0;
        }
        if (asked) {
            rr_core_scale_in_result(node->core, node->now, step.machines);
        }
    }
    rr_autoscaler_step_clear(&step);
    g_array_free(machines, TRUE);
    return asked;
}

/* Its reports arrive, but commands do not: it looked fresh, took reservations and lost its lease.
 * Two commands without an answer and it takes no new work; soon after it is asked back, and its
 * task starts elsewhere on that proof. */
static void one_way_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job first_job = {.job_id = "req-1", .service = true},
                    second_job = {.job_id = "req-2", .service = true};
    hear(node, "vm-1", 1);
    hear(node, "vm-2", 1);
    fake_store_submit(fixture->store, &first_job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_deaf(node, NULL);
    const char *deaf = place_of(fixture, "req-1"),
               *other = strcmp(deaf, "vm-1") == 0 ? "vm-2" : "vm-1";
    bool released = false;
    for (uint64_t i = 2; i < 40 && !released; i++) {
        node->now += 1;
        hear(node, deaf, i);
        hear(node, other, i);
        plan_with_deaf(node, deaf);
        if (i == 10) {
            fake_store_submit(fixture->store, &second_job, node->now);
            fake_store_sync(fixture->store, node->core, node->now);
            plan_with_deaf(node, deaf);
            assert_string_equal(place_of(fixture, "req-2"), other);
        }
        assert_string_equal(place_of(fixture, "req-1"), deaf); /* no proof yet */
        released = step(fixture, deaf);
        assert_false(step(fixture, other));
    }
    assert_true(released);
    for (int i = 0; i < 6; i++) {
        node->now += 0.5;
        step(fixture, deaf);
        plan_with_deaf(node, NULL);
    }
    assert_string_equal(place_of(fixture, "req-1"), other);
}

/* Where only our own path was bad, one answer clears it. */
static void an_answer_clears_the_suspicion(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    hear(node, "vm-1", 1);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_deaf(node, NULL);
    for (uint64_t i = 2; i < 8; i++) {
        node->now += 1;
        hear(node, "vm-1", i);
        plan_with_deaf(node, "vm-1");
    }
    rr_core_list_suspects(node->core, node->now, names);
    assert_int_equal(names->len, 1);
    assert_string_equal(names->pdata[0], "vm-1");
    node->now += 2;
    hear(node, "vm-1", 9);
    test_controller_plan(node, &plan); /* the start once more, or a probe: answered */
    assert_non_null(plan_find_batch(&plan, "vm-1"));
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, "vm-1"),
                           RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&plan);
    g_ptr_array_set_size(names, 0);
    rr_core_list_suspects(node->core, node->now, names);
    assert_int_equal(names->len, 0);
    g_ptr_array_free(names, TRUE);
}

/* A copy of a report, late by more than a lease, reaches a controller that has just restarted and
 * can't tell: one report from before its term makes no room. A second, newer one does, and so does
 * one with the present token. */
static void late_copy_to_a_restarted_reader(void **state) {
    core_fixture *fixture = *state;
    test_controller again;
    test_controller_init(&again, fixture->store, "n0");
    fake_store_reload(fixture->store, again.core, again.now);
    test_controller_join(&again, 8);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .zone = "a"},
                      again.now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .zone = "b"},
                      again.now);
    fake_store_sync(fixture->store, again.core, again.now);
    test_controller_heartbeat(&again, "vm-1", "a", false, 1, 40, 1, NULL);
    plan_with_deaf(&again, NULL);
    assert_null(place_of(fixture, "req-1"));
    again.now += 3;
    test_controller_heartbeat(&again, "vm-1", "a", false, 1, 41, 1, NULL);
    hear(&again, "vm-2", 7);
    plan_with_deaf(&again, NULL);
    assert_string_equal(place_of(fixture, "req-1"), "vm-1");
    assert_string_equal(place_of(fixture, "req-2"), "vm-2");
    test_controller_clear(&again);
}

/* A machine that this controller has seen come into the records takes work with its first report:
 * it once waited for a second one, eleven seconds on average. So does one whose signs of life come
 * in lines from a peer. */
static void a_new_machine_is_used_at_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, again;
    fake_store_put_machine(fixture->store, "vm-3", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-3", "a", false, 1, 1, 0, NULL);
    plan_with_deaf(node, NULL);
    assert_true(fake_store_attempt(fixture->store, "vm-3", "req-1", 0) != 0);
    test_controller_init(&again, fixture->store, "n0");
    fake_store_reload(fixture->store, again.core, again.now);
    test_controller_join(&again, 8);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .zone = "b"},
                      again.now);
    fake_store_sync(fixture->store, again.core, again.now);
    test_controller_heartbeat(&again, "vm-2", "b", false, 1, 40, 1, NULL);
    plan_with_deaf(&again, NULL);
    assert_null(place_of(fixture, "req-2"));
    again.now += 3;
    rr_heartbeat_digest line = {.machine = "vm-2", .worker_epoch = 1, .sequence = 41, .hash = 5};
    assert_true(rr_core_take_heartbeat_digest(again.core, again.now, &line, 0));
    plan_with_deaf(&again, NULL);
    assert_string_equal(place_of(fixture, "req-2"), "vm-2");
    test_controller_clear(&again);
}

/* A copy about a machine that has gone creates nothing, and one about a machine that nobody has
 * recorded is no reason to record it until it answers. */
static void late_copy_about_a_machine_that_has_gone(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_core_stats stats;
    hear(node, "vm-1", 5);
    hear(node, "vm-2", 5);
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_sync(fixture->store, node->core, node->now);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 6,
                              .fencing_token = rr_core_fencing_token(node->core),
                              .spot_notice_s = -1};
    g_strlcpy(heartbeat.machine, "vm-1", sizeof heartbeat.machine);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_int_equal(rr_core_take_heartbeat(node->core, node->now, &heartbeat, -1),
                     RR_HEARTBEAT_IGNORED);
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.machines, 1);
    test_controller_heartbeat(node, "vm-7", "a", false, 1, 3, 0, NULL);
    for (int i = 0; i < 8; i++) {
        node->now += 0.5;
        step(fixture, "");
    }
    assert_false(fake_store_has_machine(fixture->store, "vm-7"));
    rr_core_verify_machine(
        node->core, node->now,
        &(rr_heartbeat_digest){.machine = "vm-7", .worker_epoch = 1, .sequence = 4});
    for (int i = 0; i < 4; i++) {
        step(fixture, "");
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-7"));
}

/* A machine back under its name with its counts begun anew: its reports look old and are dropped,
 * so that it stayed silent and alive for ever. It is asked back; until then its task stays
 * reserved.
 */
static void a_machine_back_at_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    hear(node, "vm-1", 500);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_deaf(node, NULL);
    assert_string_equal(place_of(fixture, "req-1"), "vm-1");
    bool released = false;
    for (uint64_t i = 1; i < 30 && !released; i++) {
        node->now += 1;
        hear(node, "vm-1", i);
        hear(node, "vm-2", 500 + i);
        rr_plan plan;
        test_controller_plan(node, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            rr_heartbeat_digest digest = {
                .worker_epoch = 1, .sequence = strcmp(batch->machine, "vm-1") == 0 ? i : 500 + i};
            g_strlcpy(digest.machine, batch->machine, sizeof digest.machine);
            rr_core_verify_machine(node->core, node->now, &digest);
            rr_core_command_result(node->core, node->now, batch, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        assert_string_equal(place_of(fixture, "req-1"), "vm-1");
        released = step(fixture, "vm-1");
    }
    assert_true(released);
}

/* A controller has lost the key-value store and the others, but not its workers: by its own clock
 * it stops answering them. To the others they are silent; they ask, with the present token, and
 * hold nobody for dead who answers. */
static void a_controller_alone_with_its_workers(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, alone;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, true);
    test_controller_init(&alone, fixture->store, "n1");
    fake_store_sync(fixture->store, alone.core, alone.now);
    test_controller_join(&alone, 9);
    test_controller_next_term(node);
    fake_store_sync(fixture->store, alone.core, alone.now);
    hear(node, "vm-1", 1);
    hear(node, "vm-2", 1);
    /* Cut off from here on: no renewal, no change of the store cache. */
    rr_core_set_session(alone.core, 9, alone.now + 10);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 2,
                              .fencing_token = rr_core_fencing_token(alone.core),
                              .spot_notice_s = -1};
    struct rr_heartbeat_reply ans;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    double answers = rr_heartbeat_reply_s(&alone.config);
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers - 0.1, &heartbeat, &ans);
    assert_int_equal(ans.status, 200);
    g_array_free(ans.commands, TRUE);
    assert_false(rr_core_ready(alone.core, alone.now + answers - 0.1));
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers + 0.1, &heartbeat, &ans);
    assert_int_not_equal(ans.status, 200);
    /* A renewal, held up or late, says nothing of cancellations: only the store cache does. */
    rr_core_set_session(alone.core, 9, alone.now + 1e6);
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers + 0.1, &heartbeat, &ans);
    assert_int_not_equal(ans.status, 200);
    /* The worker answered last ends by its lease, in time for a cancellation made just after the
     * last moment that this store cache knows. */
    assert_true(answers + 1.001 * alone.config.lease_s < alone.config.cancel_s - 0.9);
    assert_true(answers > 0.9 * (alone.config.cancel_s - alone.config.lease_s));
    rr_heartbeat_clear(&heartbeat);
    /* Its session ends; the others make a term without it. */
    test_controller_leave(&alone);
    test_controller_next_term(node);
    unsigned probes = 0;
    for (int i = 0; i < 40; i++) {
        rr_plan plan;
        node->now += 1;
        test_controller_plan(node, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            probes++;
            assert_int_equal(batch->commands->len, 0);
            assert_true(batch->fencing_token == rr_core_fencing_token(node->core));
            hear(node, batch->machine, 10 + (uint64_t)i);
            rr_core_command_result(node->core, node->now, batch, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        assert_false(step(fixture, "vm-1"));
        assert_false(step(fixture, "vm-2"));
    }
    assert_true(probes >= 4);
    test_controller_clear(&alone);
}

/* Two incarnations of one name, at each point of an election. */
static void back_at_once_in_an_election(void **state) {
    for (int late = 0; late < 3; late++) {
        core_fixture *fixture;
        test_controller again, peer;
        rr_transaction old, mine;
        core_fixture_setup((void **)&fixture);
        test_controller *node = &fixture->n;
        test_controller_init(&peer, fixture->store, "n1");
        fake_store_sync(fixture->store, peer.core, peer.now);
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_core_encode_session(&node->config, &encoder, 9);
        fake_store_put(fixture->store, RR_KEY_ROOT "node/n1", &encoder);
        rr_core_set_session(peer.core, 9, 1e6);
        /* The old incarnation has seen the new node and prepares the next term, then dies. */
        fake_store_sync(fixture->store, node->core, node->now);
        rr_transaction_init(&old);
        assert_true(rr_core_next_term(node->core, node->now, node->now, &old));
        if (late == 0) { /* applied before the new incarnation registers */
            assert_int_equal(fake_store_commit(fixture->store, &old), 0);
        }
        test_controller_init(&again, fixture->store, "n0");
        rr_encoder_init(&encoder);
        rr_core_encode_session(&node->config, &encoder, 77);
        fake_store_put(fixture->store, RR_KEY_ROOT "node/n0", &encoder);
        rr_core_set_session(again.core, 77, 1e6);
        fake_store_sync(fixture->store, again.core, again.now);
        if (late == 1) { /* applied while the new incarnation's own is under way */
            rr_transaction_init(&mine);
            assert_true(rr_core_next_term(again.core, again.now, again.now, &mine));
            assert_int_equal(fake_store_commit(fixture->store, &old), 0);
            assert_true(fake_store_commit(fixture->store, &mine) != 0);
            rr_transaction_clear(&mine);
        }
        test_controller_next_term(&again);
        uint64_t token = rr_core_fencing_token(again.core);
        if (late == 2) { /* applied after it */
            assert_true(fake_store_commit(fixture->store, &old) != 0);
        }
        fake_store_sync(fixture->store, again.core, again.now);
        assert_true(rr_core_fencing_token(again.core) == token);
        assert_true(rr_core_lease_valid(again.core, again.now));
        fake_store_sync(fixture->store, peer.core, peer.now);
        assert_true(rr_core_lease_valid(peer.core, peer.now));
        /* The old one's lease may live on: its store cache tells it that it is deposed. */
        fake_store_sync(fixture->store, node->core, node->now);
        assert_false(rr_core_lease_valid(node->core, node->now));
        rr_transaction_clear(&old);
        test_controller_clear(&peer);
        test_controller_clear(&again);
        core_fixture_teardown((void **)&fixture);
    }
    (void)state;
}

static void put_batch(core_fixture *fixture, const char *key, const struct test_job *jobs,
                      size_t count) {
    rr_encoder encoder, one;
    rr_submission submission;
    rr_encoder_init(&encoder);
    rr_core_batch_begin(&encoder, count);
    for (size_t i = 0; i < count; i++) {
        rr_encoder_init(&one);
        test_submission(&submission, &jobs[i]);
        rr_core_job_encode(&one, &submission, fixture->n.now, false);
        msgpack_sbuffer_write(&encoder.buffer, one.buffer.data, one.buffer.size);
        rr_encoder_clear(&one);
    }
    fake_store_put(fixture->store, key, &encoder);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
}

/* Jobs accepted in one record: each is known, runs, and is cancelled by a record of its own, which
 * stands whatever order a reload brings them in. */
static void jobs_accepted_together(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, again;
    struct test_job jobs[] = {{.job_id = "req-1", .service = true}, {.job_id = "req-2"}};
    rr_job_view view;
    rr_plan plan;
    hear(node, "vm-1", 1);
    put_batch(fixture, RR_KEY_ROOT "batch/7-1", jobs, 2);
    plan_with_deaf(node, NULL);
    assert_non_null(place_of(fixture, "req-1"));
    assert_non_null(place_of(fixture, "req-2"));
    /* A reservation planned before the cancellation is void after it, as with a job of its own
     * record.
     */
    struct test_job more[] = {{.job_id = "req-3"}, {.job_id = "req-4"}};
    put_batch(fixture, RR_KEY_ROOT "batch/7-2", more, 2);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_cancel(node, "req-3");
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    rr_plan_clear(&plan);
    test_controller_cancel(node, "req-1");
    test_controller_init(&again, fixture->store, "n1");
    fake_store_reload(fixture->store, again.core, again.now);
    rr_core_job_view(again.core, "req-1", again.now, &view);
    assert_true(view.known && view.cancelled);
    rr_core_job_view(again.core, "req-4", again.now, &view);
    assert_true(view.known && !view.cancelled);
    put_batch(fixture, RR_KEY_ROOT "batch/7-1", jobs, 2); /* once more, later */
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.cancelled);
    test_controller_clear(&again);
}

/* Our own changes are in the store cache before the watch brings older ones: an older record must
 * not bring back a placement that is over, or its task would be started again. */
static void an_older_record_revives_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job job = {.job_id = "req-1", .service = true};
    rr_plan plan;
    char key[64] = RR_KEY_ROOT "run/req-1/0";
    hear(node, "vm-1", 1);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan);
    rr_transaction booking = plan.transaction;
    rr_transaction_init(&plan.transaction);
    rr_plan_clear(&plan);
    uint64_t reserved = fixture->store->epoch;
    test_controller_cancel(node, "req-1");
    hear(node, "vm-1", 2);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    assert_int_equal(fake_store_commit(fixture->store, &plan.transaction), 0);
    rr_core_apply(node->core, &plan.transaction, fixture->store->epoch, node->now);
    rr_plan_clear(&plan);
    assert_true(fake_store_version(fixture->store, key) == 0);
    rr_core_apply(node->core, &booking, reserved, node->now); /* as the watch would, late */
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.tasks_placed, 0);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-1", 0));
    rr_plan_clear(&plan);
    rr_transaction_clear(&booking);
}

/* Pages of a reload are of different moments: a reservation may be read whose machine's record was
 * not yet there. Nothing is decided before the watch has joined them. */
static void an_unsettled_mirror_decides_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    hear(node, "vm-1", 1);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_core_cache_end_reload(node->core, 1, fixture->store->epoch + 5, node->now);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_false(plan.has_transaction);
    rr_plan_clear(&plan);
}

/* The machine of a reservation went while its owner was down: the new one has never heard of it. */
static void a_booking_on_a_machine_long_gone(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, again;
    hear(node, "vm-1", 1);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_deaf(node, NULL);
    assert_string_equal(place_of(fixture, "req-1"), "vm-1");
    fake_store_delete_machine(fixture->store, "vm-1");
    test_controller_init(&again, fixture->store, "n0");
    fake_store_reload(fixture->store, again.core, again.now);
    test_controller_join(&again, 8);
    hear(&again, "vm-2", 1);
    plan_with_deaf(&again, NULL);
    plan_with_deaf(&again, NULL);
    assert_string_equal(place_of(fixture, "req-1"), "vm-2");
    test_controller_clear(&again);
}

static void random_value(GRand *rnd, rr_encoder *encoder, int depth) {
    static const char *const texts[] = {"",     "a",     "vm-1", "req-1", "m1",
                                        "ffff", "batch", "prod", "done"};
    int kind = g_rand_int_range(rnd, 0, depth > 0 ? 7 : 5);
    int count = g_rand_int_range(rnd, 0, 7);
    switch (kind) {
    case 0:
        rr_encode_u64(encoder, g_rand_int(rnd) >> g_rand_int_range(rnd, 0, 31));
        break;
    case 1:
        rr_encode_number(encoder, g_rand_double_range(rnd, -10, 1e7));
        break;
    case 2:
        rr_encode_bool(encoder, count & 1);
        break;
    case 3:
        msgpack_pack_nil(&encoder->packer);
        break;
    case 5:
        rr_encode_array(encoder, (size_t)count);
        for (int i = 0; i < count; i++) {
            random_value(rnd, encoder, depth - 1);
        }
        break;
    case 6:
        rr_encode_map(encoder, 1);
        rr_encode_text(encoder, texts[g_rand_int_range(rnd, 0, G_N_ELEMENTS(texts))]);
        random_value(rnd, encoder, depth - 1);
        break;
    default:
        rr_encode_text(encoder, texts[g_rand_int_range(rnd, 0, G_N_ELEMENTS(texts))]);
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
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    GRand *rnd = g_rand_new_with_seed(11);
    rr_plan plan;
    for (uint64_t i = 0; i < 20000; i++) {
        char key[64];
        rr_encoder encoder;
        rr_document document;
        rr_encoder_init(&encoder);
        g_snprintf(key, sizeof key, RR_KEY_ROOT "%s",
                   keys[g_rand_int_range(rnd, 0, G_N_ELEMENTS(keys))]);
        int many = g_rand_int_range(rnd, 0, 3);
        rr_encode_map(&encoder, (size_t)many);
        for (int k = 0; k < many; k++) {
            rr_encode_text(&encoder, fields[g_rand_int_range(rnd, 0, G_N_ELEMENTS(fields))]);
            random_value(rnd, &encoder, 3);
        }
        assert_int_equal(rr_document_parse(&document, encoder.buffer.data, encoder.buffer.size), 0);
        rr_core_cache_put(node->core, key, document.root, 1000 + i, node->now);
        rr_document_clear(&document);
        rr_encoder_clear(&encoder);
        if (i % 500 == 0) {
            node->now += 0.5;
            rr_plan_init(&plan);
            rr_core_plan(node->core, node->now, node->now, &plan);
            rr_plan_clear(&plan);
            step(fixture, "");
        }
    }
    g_rand_free(rnd);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-777"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_job_view view;
    rr_core_job_view(node->core, "req-777", node->now, &view);
    assert_true(view.known);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, core_fixture_teardown)

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
