/* Cancellation of jobs that may be held by another cell. */
#include "cell_pair.h"
#include "core/extensions.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

/* Asks what has to happen before cell_pair_job can be cancelled, as a controller does for a user.
 * If the job has to be withdrawn first, records that. *wait_s: set with RR_CANCEL_NEEDS_WAIT. */
static enum rr_cancel_precondition prepare_cancellation(cell_pair *pair, double *wait_s) {
    test_controller *home = &pair->home.controller;
    rr_outgoing_record withdrawn;
    uint64_t version;
    enum rr_cancel_precondition precondition = rr_transfers_get_cancel_precondition(
        pair->home.transfers, CELL_PAIR_JOB_ID, home->now, wait_s, &withdrawn, &version);
    if (precondition == RR_CANCEL_NEEDS_WITHDRAWAL) {
        rr_transaction transaction;
        rr_transaction_init(&transaction);
        rr_cells_outgoing_add_write(&transaction, CELL_PAIR_JOB_ID, version, &withdrawn);
        assert_int_equal(fake_store_commit(home->store, &transaction), 0);
        rr_transaction_clear(&transaction);
        fake_store_sync(home->store, home->core, home->now);
    }
    return precondition;
}

/* The home waits until the guest's grant has ended and its copy is cancelled. The copy's tasks then
 * stop within the guest's cancel_s. */
static void a_cancellation_waits_until_the_guests_copy_has_ended(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    double wait_s;
    const char *local = cell_pair_transfer_job(pair);
    assert_int_equal(prepare_cancellation(pair, &wait_s), RR_CANCEL_NEEDS_WITHDRAWAL);
    pair->link_down = true;
    double requested_at = pair->home.controller.now;
    while (prepare_cancellation(pair, &wait_s) == RR_CANCEL_NEEDS_WAIT) {
        assert_true(wait_s > 0 && wait_s <= 15.5);
        cell_pair_run_for(pair, 0.5);
    }
    assert_true(pair->home.controller.now - requested_at <= 16);
    assert_true(cell_find_job(&pair->guest, local, &job) && job.cancelled);
    test_controller_cancel(&pair->home.controller, CELL_PAIR_JOB_ID);
    pair->link_down = false;
    cell_pair_run_for(pair, 5);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

/* The cancellation is in the store, but not yet in the store cache from which the home offers. */
static void a_job_whose_cancellation_is_not_yet_cached_is_not_offered(void **state) {
    cell_pair *pair = *state;
    rr_encoder out;
    uint64_t version;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_pair_step(pair); /* the home learns the guest's free room */
    rr_encoder_init(&out);
    assert_true(
        rr_core_encode_cancelled_job(pair->home.controller.core, CELL_PAIR_JOB_ID, &out, &version));
    fake_store_put(pair->home.store, "rr/job/" CELL_PAIR_JOB_ID, &out);
    cell_pair_advance(pair, 0.5);
    cell_pair_step(pair);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    cell_pair_run_for(pair, 5);
    assert_int_equal(pair->offers_delivered, 0);
}

/* The commit of a cancellation is guarded by the version of the transfer's record, 0 before an
 * offer. A store cache that lags behind an offer can't cause an unguarded cancellation. */
static void a_cancellation_is_guarded_by_the_transfers_version(void **state) {
    cell_pair *pair = *state;
    uint64_t before = 9, after = 9;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    double now = pair->home.controller.now;
    assert_true(rr_transfers_may_cancel(pair->home.transfers, CELL_PAIR_JOB_ID, now, &before));
    assert_int_equal(before, 0);
    cell_pair_run_for(pair, 3);
    assert_false(rr_transfers_may_cancel(pair->home.transfers, CELL_PAIR_JOB_ID, now, &after));
    assert_int_equal(after, fake_store_version(pair->home.store, "rr/cells/out/" CELL_PAIR_JOB_ID));
}

static void a_job_that_was_never_offered_may_be_cancelled_at_once(void **state) {
    cell_pair *pair = *state;
    double wait_s;
    cell_submit_job(&pair->home, &cell_pair_job);
    assert_int_equal(prepare_cancellation(pair, &wait_s), RR_CANCEL_ALLOWED);
}

/* A controller of an older version records a cancellation without withdrawing the transfer. */
static void grants_end_for_a_job_cancelled_by_an_older_version(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    test_controller_cancel(&pair->home.controller, CELL_PAIR_JOB_ID);
    cell_pair_run_for(pair, 4);
    assert_true(cell_find_job(&pair->guest, local, &job) && job.cancelled);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(a_cancellation_waits_until_the_guests_copy_has_ended),
        CELL_PAIR_TEST(a_job_whose_cancellation_is_not_yet_cached_is_not_offered),
        CELL_PAIR_TEST(a_cancellation_is_guarded_by_the_transfers_version),
        CELL_PAIR_TEST(a_job_that_was_never_offered_may_be_cancelled_at_once),
        CELL_PAIR_TEST(grants_end_for_a_job_cancelled_by_an_older_version),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
