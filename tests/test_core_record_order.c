/* The order in which records reach the store cache: elections with a restarted controller, records
 * older than what is known, reloads, and malformed records. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* Two incarnations of one controller, with the old one's transaction applied at each point of an
 * election. */
static void restarted_controller_wins_election_over_its_old_session(void **state) {
    for (int late = 0; late < 3; late++) {
        core_fixture *fixture;
        test_controller restarted, peer;
        rr_transaction old, mine;
        core_fixture_setup((void **)&fixture);
        test_controller *node = &fixture->controller;
        test_controller_init(&peer, fixture->store, "n1");
        fake_store_sync(fixture->store, peer.core, peer.now);
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_core_encode_session(&node->config, &encoder, 9);
        fake_store_put(fixture->store, RR_KEY_ROOT "node/n1", &encoder);
        rr_core_set_session(peer.core, 9, 1e6);
        /* The old incarnation prepares the next term and ends. */
        fake_store_sync(fixture->store, node->core, node->now);
        rr_transaction_init(&old);
        assert_true(rr_core_next_term(node->core, node->now, node->now, &old));
        if (late == 0) { /* applied before the new incarnation registers */
            assert_int_equal(fake_store_commit(fixture->store, &old), 0);
        }
        test_controller_init(&restarted, fixture->store, "n0");
        rr_encoder_init(&encoder);
        rr_core_encode_session(&node->config, &encoder, 77);
        fake_store_put(fixture->store, RR_KEY_ROOT "node/n0", &encoder);
        rr_core_set_session(restarted.core, 77, 1e6);
        fake_store_sync(fixture->store, restarted.core, restarted.now);
        if (late == 1) { /* applied while the new incarnation's own is in flight */
            rr_transaction_init(&mine);
            assert_true(rr_core_next_term(restarted.core, restarted.now, restarted.now, &mine));
            assert_int_equal(fake_store_commit(fixture->store, &old), 0);
            assert_true(fake_store_commit(fixture->store, &mine) != 0);
            rr_transaction_clear(&mine);
        }
        test_controller_next_term(&restarted);
        uint64_t token = rr_core_fencing_token(restarted.core);
        if (late == 2) { /* applied after it */
            assert_true(fake_store_commit(fixture->store, &old) != 0);
        }
        fake_store_sync(fixture->store, restarted.core, restarted.now);
        assert_true(rr_core_fencing_token(restarted.core) == token);
        assert_true(rr_core_lease_valid(restarted.core, restarted.now));
        fake_store_sync(fixture->store, peer.core, peer.now);
        assert_true(rr_core_lease_valid(peer.core, peer.now));
        /* The old one's lease may still hold: its store cache shows that it is deposed. */
        fake_store_sync(fixture->store, node->core, node->now);
        assert_false(rr_core_lease_valid(node->core, node->now));
        rr_transaction_clear(&old);
        test_controller_clear(&peer);
        test_controller_clear(&restarted);
        core_fixture_teardown((void **)&fixture);
    }
    (void)state;
}

/* Writes the jobs in one record. */
static void put_batch(core_fixture *fixture, const char *key, const struct test_job *jobs,
                      size_t count) {
    rr_encoder encoder, job_encoder;
    rr_submission submission;
    rr_encoder_init(&encoder);
    rr_core_batch_begin(&encoder, count);
    for (size_t i = 0; i < count; i++) {
        rr_encoder_init(&job_encoder);
        test_submission(&submission, &jobs[i]);
        rr_core_job_encode(&job_encoder, &submission, fixture->controller.now, false);
        msgpack_sbuffer_write(&encoder.buffer, job_encoder.buffer.data, job_encoder.buffer.size);
        rr_encoder_clear(&job_encoder);
    }
    fake_store_put(fixture->store, key, &encoder);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

/* Jobs accepted in one record are each known, run, and are cancelled by a record of their own,
 * which holds in whatever order a reload reads them. */
static void jobs_in_one_record_are_cancelled_separately(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, restarted;
    struct test_job jobs[] = {{.job_id = "req-1", .service = true}, {.job_id = "req-2"}};
    rr_job_view view;
    rr_plan plan;
    send_heartbeat(node, "vm-1", 1, NULL);
    put_batch(fixture, RR_KEY_ROOT "batch/7-1", jobs, 2);
    plan_unanswered_by(node, NULL);
    assert_non_null(placed_on(fixture->store, "req-1", NULL));
    assert_non_null(placed_on(fixture->store, "req-2", NULL));
    /* A reservation planned before the cancellation is void after it. */
    struct test_job late_jobs[] = {{.job_id = "req-3"}, {.job_id = "req-4"}};
    put_batch(fixture, RR_KEY_ROOT "batch/7-2", late_jobs, 2);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_cancel(node, "req-3");
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    rr_plan_clear(&plan);
    test_controller_cancel(node, "req-1");
    test_controller_init(&restarted, fixture->store, "n1");
    fake_store_reload(fixture->store, restarted.core, restarted.now);
    rr_core_job_view(restarted.core, "req-1", restarted.now, &view);
    assert_true(view.known && view.cancelled);
    rr_core_job_view(restarted.core, "req-4", restarted.now, &view);
    assert_true(view.known && !view.cancelled);
    put_batch(fixture, RR_KEY_ROOT "batch/7-1", jobs, 2); /* an older copy, read later */
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.cancelled);
    test_controller_clear(&restarted);
}

/* A controller's own changes are in its store cache before the watch brings older ones. An older
 * record must not bring back a placement that is over, or its task would be started restarted. */
static void older_record_does_not_bring_back_placement(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .service = true};
    rr_plan plan;
    char key[64] = RR_KEY_ROOT "run/req-1/0";
    send_heartbeat(node, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan);
    rr_transaction reservation = plan.transaction;
    rr_transaction_init(&plan.transaction);
    rr_plan_clear(&plan);
    uint64_t reserved = fixture->store->revision;
    test_controller_cancel(node, "req-1");
    send_heartbeat(node, "vm-1", 2, NULL);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    assert_int_equal(fake_store_commit(fixture->store, &plan.transaction), 0);
    rr_core_apply(node->core, &plan.transaction, fixture->store->revision, node->now);
    rr_plan_clear(&plan);
    assert_true(fake_store_version(fixture->store, key) == 0);
    rr_core_apply(node->core, &reservation, reserved, node->now); /* as the watch would, late */
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.tasks_placed, 0);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-1", 0));
    rr_plan_clear(&plan);
    rr_transaction_clear(&reservation);
}

/* The pages of a reload are of different moments, so that a placement may be read before its
 * machine. Nothing is decided until the watch has reached one consistent revision. */
static void inconsistent_cache_plans_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    send_heartbeat(node, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_core_cache_end_reload(node->core, 1, fixture->store->revision + 5, node->now);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_false(plan.has_transaction);
    rr_plan_clear(&plan);
}

/* The machine of a placement went while its owner was down, so that the new owner has never known
 * it. */
static void placement_on_unknown_machine_is_replaced(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, restarted;
    send_heartbeat(node, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_unanswered_by(node, NULL);
    assert_string_equal(placed_on(fixture->store, "req-1", NULL), "vm-1");
    fake_store_delete_machine(fixture->store, "vm-1");
    restart_controller(fixture, &restarted);
    send_heartbeat(&restarted, "vm-2", 1, NULL);
    plan_unanswered_by(&restarted, NULL);
    plan_unanswered_by(&restarted, NULL);
    assert_string_equal(placed_on(fixture->store, "req-1", NULL), "vm-2");
    test_controller_clear(&restarted);
}

static void random_value(GRand *random, rr_encoder *encoder, int depth) {
    static const char *const texts[] = {"",     "a",     "vm-1", "req-1", "m1",
                                        "ffff", "batch", "prod", "done"};
    int kind = g_rand_int_range(random, 0, depth > 0 ? 7 : 5);
    int count = g_rand_int_range(random, 0, 7);
    switch (kind) {
    case 0:
        rr_encode_u64(encoder, g_rand_int(random) >> g_rand_int_range(random, 0, 31));
        break;
    case 1:
        rr_encode_number(encoder, g_rand_double_range(random, -10, 1e7));
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
            random_value(random, encoder, depth - 1);
        }
        break;
    case 6:
        rr_encode_map(encoder, 1);
        rr_encode_text(encoder, texts[g_rand_int_range(random, 0, G_N_ELEMENTS(texts))]);
        random_value(random, encoder, depth - 1);
        break;
    default:
        rr_encode_text(encoder, texts[g_rand_int_range(random, 0, G_N_ELEMENTS(texts))]);
    }
}

/* Records of an earlier form, too large or malformed are ignored, and well-formed ones beside them
 * are served. */
static void malformed_records_are_ignored(void **state) {
    static const char *const keys[] = {
        "run/req-1/0",    "run/req-1/9",    "run/x",     "run/req-2/99999",
        "fleet/00000001", "fleet/x",        "job/req-1", "job/req-2",
        "batch/1-1",      "hire/h",         "node/n2",   "build/m9",
        "machine/vm-1",   "result/req-1/0", "term2",     "other"};
    static const char *const fields[] = {"tasks",  "bits", "stones", "jobs",
                                         "tether", "zone", "final"};
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    GRand *random = g_rand_new_with_seed(11);
    rr_plan plan;
    for (uint64_t i = 0; i < 20000; i++) {
        char key[64];
        rr_encoder encoder;
        rr_document document;
        rr_encoder_init(&encoder);
        g_snprintf(key, sizeof key, RR_KEY_ROOT "%s",
                   keys[g_rand_int_range(random, 0, G_N_ELEMENTS(keys))]);
        int count = g_rand_int_range(random, 0, 3);
        rr_encode_map(&encoder, (size_t)count);
        for (int k = 0; k < count; k++) {
            rr_encode_text(&encoder, fields[g_rand_int_range(random, 0, G_N_ELEMENTS(fields))]);
            random_value(random, &encoder, 3);
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
            step_releases(fixture, "");
        }
    }
    g_rand_free(random);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-777"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_job_view view;
    rr_core_job_view(node->core, "req-777", node->now, &view);
    assert_true(view.known);
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_rented_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(restarted_controller_wins_election_over_its_old_session),
        TEST(jobs_in_one_record_are_cancelled_separately),
        TEST(older_record_does_not_bring_back_placement),
        TEST(inconsistent_cache_plans_nothing),
        TEST(placement_on_unknown_machine_is_replaced),
        TEST(malformed_records_are_ignored),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
