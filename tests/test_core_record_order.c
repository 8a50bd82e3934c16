/* Records that reach the store cache in an unusual order: elections with a restarted controller,
 * outdated records, reloads that are not consistent yet, and malformed records. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* A controller prepares a term and restarts. That transaction reaches the store before the new
 * process's election, while its transaction is in flight, or after it. The new process becomes the
 * member of the term in each case. */
static void restarted_controller_wins_election_over_its_old_session(void **state) {
    for (int commit_point = 0; commit_point < 3; commit_point++) {
        core_fixture *fixture;
        test_controller restarted, peer;
        rr_transaction old_transaction, new_transaction;
        core_fixture_setup((void **)&fixture);
        test_controller *controller = &fixture->controller;
        test_controller_init(&peer, fixture->store, "n1");
        fake_store_sync(fixture->store, peer.core, peer.now);
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_core_encode_session(&controller->config, &encoder, 9);
        fake_store_put(fixture->store, RR_KEY_ROOT "node/n1", &encoder);
        rr_core_set_session(peer.core, 9, 1e6);
        /* The old process prepares the next term and exits. */
        fake_store_sync(fixture->store, controller->core, controller->now);
        rr_transaction_init(&old_transaction);
        assert_true(rr_core_add_next_term_record(controller->core, controller->now, controller->now,
                                                 &old_transaction));
        if (commit_point == 0) { /* committed before the new process registers */
            assert_int_equal(fake_store_commit(fixture->store, &old_transaction), 0);
        }
        test_controller_init(&restarted, fixture->store, "n0");
        rr_encoder_init(&encoder);
        rr_core_encode_session(&controller->config, &encoder, 77);
        fake_store_put(fixture->store, RR_KEY_ROOT "node/n0", &encoder);
        rr_core_set_session(restarted.core, 77, 1e6);
        fake_store_sync(fixture->store, restarted.core, restarted.now);
        if (commit_point == 1) { /* committed while the new process's transaction is in flight */
            rr_transaction_init(&new_transaction);
            assert_true(rr_core_add_next_term_record(restarted.core, restarted.now, restarted.now,
                                                     &new_transaction));
            assert_int_equal(fake_store_commit(fixture->store, &old_transaction), 0);
            assert_true(fake_store_commit(fixture->store, &new_transaction) != 0);
            rr_transaction_clear(&new_transaction);
        }
        test_controller_begin_next_term(&restarted);
        uint64_t fencing_token = rr_core_fencing_token(restarted.core);
        if (commit_point == 2) { /* too late: the new process's term is committed */
            assert_true(fake_store_commit(fixture->store, &old_transaction) != 0);
        }
        fake_store_sync(fixture->store, restarted.core, restarted.now);
        assert_true(rr_core_fencing_token(restarted.core) == fencing_token);
        assert_true(rr_core_lease_valid(restarted.core, restarted.now));
        fake_store_sync(fixture->store, peer.core, peer.now);
        assert_true(rr_core_lease_valid(peer.core, peer.now));
        /* The old session's lease may still be valid: the store cache shows that it is deposed. */
        fake_store_sync(fixture->store, controller->core, controller->now);
        assert_false(rr_core_lease_valid(controller->core, controller->now));
        rr_transaction_clear(&old_transaction);
        test_controller_clear(&peer);
        test_controller_clear(&restarted);
        core_fixture_teardown((void **)&fixture);
    }
    (void)state;
}

/* Writes the jobs as one batch record, and brings the store cache up to date. */
static void put_batch(core_fixture *fixture, const char *key, const struct test_job *jobs,
                      size_t count) {
    rr_encoder encoder, job_encoder;
    rr_submission submission;
    rr_encoder_init(&encoder);
    rr_core_begin_job_batch(&encoder, count);
    for (size_t i = 0; i < count; i++) {
        rr_encoder_init(&job_encoder);
        test_submission_init(&submission, &jobs[i]);
        rr_core_encode_job(&job_encoder, &submission, fixture->controller.now, false);
        msgpack_sbuffer_write(&encoder.buffer, job_encoder.buffer.data, job_encoder.buffer.size);
        rr_encoder_clear(&job_encoder);
    }
    fake_store_put(fixture->store, key, &encoder);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

/* Jobs accepted in one batch record are known, placed and cancelled one by one. A cancellation has
 * a record of its own, which prevails in whatever order a reload reads the two. */
static void jobs_in_one_record_are_cancelled_separately(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, restarted;
    struct test_job jobs[] = {{.job_id = "req-1", .service = true}, {.job_id = "req-2"}};
    rr_job_view view;
    rr_plan plan;
    send_heartbeat(controller, "vm-1", 1, NULL);
    put_batch(fixture, RR_KEY_ROOT "batch/7-1", jobs, 2);
    plan_without_answer_from(controller, NULL);
    assert_non_null(find_task_machine(fixture->store, "req-1", NULL));
    assert_non_null(find_task_machine(fixture->store, "req-2", NULL));
    /* A reservation planned before the job's cancellation fails after it. */
    struct test_job late_jobs[] = {{.job_id = "req-3"}, {.job_id = "req-4"}};
    put_batch(fixture, RR_KEY_ROOT "batch/7-2", late_jobs, 2);
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_cancel(controller, "req-3");
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    rr_plan_clear(&plan);
    test_controller_cancel(controller, "req-1");
    test_controller_init(&restarted, fixture->store, "n1");
    fake_store_reload(fixture->store, restarted.core, restarted.now);
    rr_core_get_job_view(restarted.core, "req-1", restarted.now, &view);
    assert_true(view.known && view.cancelled);
    rr_core_get_job_view(restarted.core, "req-4", restarted.now, &view);
    assert_true(view.known && !view.cancelled);
    put_batch(fixture, RR_KEY_ROOT "batch/7-1", jobs, 2); /* an older copy, read later */
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_true(view.cancelled);
    test_controller_clear(&restarted);
}

/* A controller applies its own transactions to its store cache before the watch brings older
 * changes. An older record must not bring back a deleted placement, whose task would be started
 * again. */
static void older_record_does_not_bring_back_placement(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .service = true};
    rr_plan plan;
    char key[64] = RR_KEY_ROOT "run/req-1/0";
    send_heartbeat(controller, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &job, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_plan(controller, &plan);
    rr_transaction reservation = plan.transaction;
    rr_transaction_init(&plan.transaction);
    rr_plan_clear(&plan);
    uint64_t reserved_at = fixture->store->revision;
    test_controller_cancel(controller, "req-1");
    send_heartbeat(controller, "vm-1", 2, NULL);
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_true(plan.has_transaction);
    assert_int_equal(fake_store_commit(fixture->store, &plan.transaction), 0);
    rr_core_cache_apply_transaction(controller->core, &plan.transaction, fixture->store->revision,
                                    controller->now);
    rr_plan_clear(&plan);
    assert_true(fake_store_version(fixture->store, key) == 0);
    /* As a late watch event does. */
    rr_core_cache_apply_transaction(controller->core, &reservation, reserved_at, controller->now);
    rr_core_stats stats;
    rr_core_get_stats(controller->core, &stats);
    assert_int_equal(stats.tasks_placed, 0);
    test_controller_plan(controller, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-1", 0));
    rr_plan_clear(&plan);
    rr_transaction_clear(&reservation);
}

/* The pages of a reload are read at different revisions, so that a placement may be read before its
 * machine. Nothing is planned until the watch has reached the last of these revisions. */
static void inconsistent_cache_plans_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    send_heartbeat(controller, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    rr_core_cache_end_reload(controller->core, 1, fixture->store->revision + 5, controller->now);
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_false(plan.has_transaction);
    rr_plan_clear(&plan);
}

/* The machine of a placement is deleted while its owner is down, so that the new owner never
 * learns of it. Its task is placed on another machine. */
static void placement_on_unknown_machine_is_replaced(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, restarted;
    send_heartbeat(controller, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_without_answer_from(controller, NULL);
    assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), "vm-1");
    fake_store_delete_machine(fixture->store, "vm-1");
    restart_controller(fixture, &restarted);
    send_heartbeat(&restarted, "vm-2", 1, NULL);
    plan_without_answer_from(&restarted, NULL);
    plan_without_answer_from(&restarted, NULL);
    assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), "vm-2");
    test_controller_clear(&restarted);
}

/* Encodes a random value: a number, flag, nil or text, or, while depth is above 0, an array or map
 * of such values. */
static void encode_random_value(GRand *random, rr_encoder *encoder, int depth) {
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
            encode_random_value(random, encoder, depth - 1);
        }
        break;
    case 6:
        rr_encode_map(encoder, 1);
        rr_encode_text(encoder, texts[g_rand_int_range(random, 0, G_N_ELEMENTS(texts))]);
        encode_random_value(random, encoder, depth - 1);
        break;
    default:
        rr_encode_text(encoder, texts[g_rand_int_range(random, 0, G_N_ELEMENTS(texts))]);
    }
}

/* Random records, as of an older format, too large or malformed, are ignored and do not keep the
 * controller from planning; a well-formed record after them is still taken over. */
static void malformed_records_are_ignored(void **state) {
    static const char *const keys[] = {
        "run/req-1/0",    "run/req-1/9",    "run/x",     "run/req-2/99999",
        "fleet/00000001", "fleet/x",        "job/req-1", "job/req-2",
        "batch/1-1",      "hire/h",         "node/n2",   "build/m9",
        "machine/vm-1",   "result/req-1/0", "term2",     "other"};
    static const char *const fields[] = {"tasks",  "bits", "stones", "jobs",
                                         "tether", "zone", "final"};
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
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
            encode_random_value(random, &encoder, 3);
        }
        assert_int_equal(rr_document_parse(&document, encoder.buffer.data, encoder.buffer.size), 0);
        rr_core_cache_put(controller->core, key, document.root, 1000 + i, controller->now);
        rr_document_clear(&document);
        rr_encoder_clear(&encoder);
        if (i % 500 == 0) {
            controller->now += 0.5;
            rr_plan_init(&plan);
            rr_core_plan(controller->core, controller->now, controller->now, &plan);
            rr_plan_clear(&plan);
            autoscaler_step_releases(fixture, "");
        }
    }
    g_rand_free(random);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-777"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    rr_job_view view;
    rr_core_get_job_view(controller->core, "req-777", controller->now, &view);
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
