/* Users' cancellations of jobs that may be at another cell. */
#include "cell_pair.h"
#include "core/extensions.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

/* Asks as a controller does for a user, and records a withdrawal that has to come first. */
static enum rr_cancel_precondition ask_to_cancel(cell_pair *pair, double *wait_s) {
    test_controller *home = &pair->home.node;
    rr_outgoing_record withdrawn;
    uint64_t version;
    enum rr_cancel_precondition first = rr_transfers_check_cancellation(
        pair->home.transfers, CELL_PAIR_JOB, home->now, wait_s, &withdrawn, &version);
    if (first == RR_CANCEL_NEEDS_WITHDRAWAL) {
        rr_transaction transaction;
        rr_transaction_init(&transaction);
        rr_cells_outgoing_add_write(&transaction, CELL_PAIR_JOB, version, &withdrawn);
        assert_int_equal(fake_store_commit(home->store, &transaction), 0);
        rr_transaction_clear(&transaction);
        fake_store_sync(home->store, home->core, home->now);
    }
    return first;
}

/* The guest's own bound, cancel_s, follows. */
static void a_cancellation_waits_until_the_guests_copy_has_ended(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    double wait_s;
    const char *local = cell_pair_spill(pair);
    assert_int_equal(ask_to_cancel(pair, &wait_s), RR_CANCEL_NEEDS_WITHDRAWAL);
    pair->cut = true;
    double asked_at = pair->home.node.now;
    while (ask_to_cancel(pair, &wait_s) == RR_CANCEL_NEEDS_WAIT) {
        assert_true(wait_s > 0 && wait_s <= 15.5);
        cell_pair_play(pair, 0.5);
    }
    assert_true(pair->home.node.now - asked_at <= 16);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
    test_controller_cancel(&pair->home.node, CELL_PAIR_JOB);
    pair->cut = false;
    cell_pair_play(pair, 5);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

static void a_job_cancelled_unknown_to_the_store_cache_is_not_offered(void **state) {
    cell_pair *pair = *state;
    rr_encoder out;
    uint64_t version;
    cell_pair_wait_at_home(pair, &cell_pair_job);
    cell_pair_step(pair); /* asks for room */
    rr_encoder_init(&out);
    assert_true(rr_core_encode_cancelled_job(pair->home.node.core, CELL_PAIR_JOB, &out, &version));
    fake_store_put(pair->home.store, "rr/job/" CELL_PAIR_JOB, &out);
    cell_pair_advance(pair, 0.5);
    cell_pair_step(pair);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    cell_pair_play(pair, 5);
    assert_int_equal(pair->offers, 0);
}

static void a_cancellation_is_guarded_by_the_transfers_version(void **state) {
    cell_pair *pair = *state;
    uint64_t before = 9, after = 9;
    cell_pair_wait_at_home(pair, &cell_pair_job);
    double now = pair->home.node.now;
    assert_true(rr_transfers_may_cancel(pair->home.transfers, CELL_PAIR_JOB, now, &before));
    assert_int_equal(before, 0);
    cell_pair_play(pair, 3);
    assert_false(rr_transfers_may_cancel(pair->home.transfers, CELL_PAIR_JOB, now, &after));
    assert_int_equal(after, fake_store_version(pair->home.store, "rr/cells/out/" CELL_PAIR_JOB));
}

static void a_job_that_was_never_offered_may_be_cancelled_at_once(void **state) {
    cell_pair *pair = *state;
    double wait_s;
    cell_submit(&pair->home, &cell_pair_job);
    assert_int_equal(ask_to_cancel(pair, &wait_s), RR_CANCEL_ALLOWED);
}

/* An older version records a cancellation without asking about transfers. */
static void grants_end_for_a_job_cancelled_by_an_older_version(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    test_controller_cancel(&pair->home.node, CELL_PAIR_JOB);
    cell_pair_play(pair, 4);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(a_cancellation_waits_until_the_guests_copy_has_ended),
        CELL_PAIR_TEST(a_job_cancelled_unknown_to_the_store_cache_is_not_offered),
        CELL_PAIR_TEST(a_cancellation_is_guarded_by_the_transfers_version),
        CELL_PAIR_TEST(a_job_that_was_never_offered_may_be_cancelled_at_once),
        CELL_PAIR_TEST(grants_end_for_a_job_cancelled_by_an_older_version),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
