/* Writes of transfers whose answer is lost: the key-value store executes the transaction, and the
 * controller, which sends it again, meets the conflict that its own first attempt has caused. Only
 * the store cache can show what was executed, and it may lag behind. */
#include "cell_pair.h"
#include "core/extensions.h"

#include <string.h>

/* Submits a job that is due to be offered, and loses the answer to the next write of the home. The
 * home has room for the job by now, but has not planned since. */
static void lose_answer_of_offer(cell_pair *pair) {
    cell_add_machines(&pair->home, 2);
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_set_watch_stuck(&pair->home, true);
    pair->home.lose_next_answer = true;
    cell_pair_run_for(pair, 3);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
}

/* Lets time pass while both cells plan, and asserts that the home places nothing. */
static void run_and_check_home_places_nothing(cell_pair *pair, uint32_t claim, int seconds) {
    for (int i = 0; i < seconds; i++) {
        cell_pair_run_for(pair, 1);
        cell_plan(&pair->home, CELL_PAIR_JOB_ID);
        cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, claim));
        assert_int_equal(cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID), 0);
    }
}

/* The home took the conflict for a first offer that was not written, and ran the job while its
 * record offered it to the guest. */
static void a_job_is_not_placed_at_home_after_an_offer_without_an_answer(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    lose_answer_of_offer(pair);
    run_and_check_home_places_nothing(pair, 1, 20);
    cell_set_watch_stuck(&pair->home, false);
    run_and_check_home_places_nothing(pair, 1, 3);
    const char *local = cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.offered, 1);
    assert_int_equal(stats.unknown_outcomes, 1);
}

/* The same, but a new term begins before the store cache shows the record. */
static void a_new_term_does_not_release_a_job_after_an_offer_without_an_answer(void **state) {
    cell_pair *pair = *state;
    lose_answer_of_offer(pair);
    cell_set_watch_stuck(&pair->home, false);
    cell_restart_controller(&pair->home, false);
    run_and_check_home_places_nothing(pair, 1, 10);
}

/* A job whose first offer was withdrawn is offered again. The home took the conflict for an offer
 * that was not written, and ran the job once the first claim could not run any more. */
static void a_job_is_not_placed_at_home_after_a_second_offer_without_an_answer(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    cell_add_machines(&pair->home, 2);
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    pair->fail_guest_commits = true; /* no answer to the first offer, so that it is withdrawn */
    do {
        cell_pair_run_for(pair, 0.5);
        rr_transfers_get_stats(pair->home.transfers, &stats);
    } while (stats.withdrawn == 0);
    pair->fail_guest_commits = false;
    cell_set_watch_stuck(&pair->home, true);
    pair->home.lose_next_answer = true;
    cell_pair_run_for(pair, 3);
    assert_false(pair->home.lose_next_answer);
    pair->link_down = true; /* no further offer is made, so that a job released here is placed */
    run_and_check_home_places_nothing(pair, 2, 120);
    pair->link_down = false;
    cell_set_watch_stuck(&pair->home, false);
    run_and_check_home_places_nothing(pair, 2, 3);
    const char *local = cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 2);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
}

/* The store cache shows the deletion of the transfer's record while the write that deletes it is
 * still pending. The home ignored the deletion and took the conflict for a final record that was
 * not written: it tried again in every pass, and the guest never got its acknowledgement. */
static void a_transfer_ends_after_a_final_record_without_an_answer(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    rr_transfers_stats stats;
    const char *local = cell_pair_transfer_job(pair);
    cell_pair_finish_at_guest(pair, local);
    cell_pair_run_for(pair, 0.5); /* the guest records the answer */
    pair->home.lose_next_answer = true;
    cell_pair_run_for(pair, 10);
    assert_false(pair->home.lose_next_answer);
    assert_true(cell_find_job(&pair->home, CELL_PAIR_JOB_ID, &job) && job.done);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.outgoing, 0);
    assert_int_equal(stats.finished, 1);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
}

/* Counts a cell's writes; the watcher of its on_write(). */
static void count_write(void *watcher, const rr_transfer_write *write) {
    (void)write;
    (*(unsigned *)watcher)++;
}

/* The guest took the conflict for an acceptance that was not written: it forgot the claim and
 * accepted the repeated offer again and again. */
static void a_guest_accepts_once_after_an_acceptance_without_an_answer(void **state) {
    cell_pair *pair = *state;
    unsigned writes = 0;
    rr_transfers_stats stats;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_set_watch_stuck(&pair->guest, true);
    pair->guest.lose_next_answer = true;
    pair->guest.on_write = count_write;
    pair->guest.watcher = &writes;
    cell_pair_run_for(pair, 4);
    assert_int_equal(writes, 1);
    cell_set_watch_stuck(&pair->guest, false);
    cell_pair_run_for(pair, 2);
    cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1));
    const char *local = cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
    assert_int_equal(writes, 1);
    rr_transfers_get_stats(pair->guest.transfers, &stats);
    assert_int_equal(stats.accepted, 1);
}

/* The guest ignored the deletion of its record while the write that deletes it was pending, took
 * the conflict for a failed write, and tried again in every pass. */
static void a_guest_forgets_a_claim_after_a_deletion_without_an_answer(void **state) {
    cell_pair *pair = *state;
    unsigned writes = 0;
    rr_transfers_stats stats;
    const char *local = cell_pair_transfer_job(pair);
    cell_pair_finish_at_guest(pair, local);
    pair->guest.on_write = count_write;
    pair->guest.watcher = &writes;
    while (writes == 0) {
        cell_pair_run_for(pair, 0.5); /* the guest records the answer */
    }
    pair->guest.lose_next_answer = true;
    cell_pair_run_for(pair, 10);
    assert_false(pair->guest.lose_next_answer);
    assert_int_equal(writes, 2);
    rr_transfers_get_stats(pair->guest.transfers, &stats);
    assert_int_equal(stats.incoming, 0);
}

/* The home's last plan has placed the job, and the store cache does not show it. The home took the
 * conflict for a plan that was not written, and offered the job. */
static void a_job_is_not_offered_after_a_plan_without_an_answer(void **state) {
    cell_pair *pair = *state;
    struct rr_plan_outcome *outcome = &pair->home_plan_outcome;
    cell_add_machines(&pair->home, 2);
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_set_watch_stuck(&pair->home, true);
    rr_plan_outcome_begin(outcome, pair->home.controller.core);
    cell_plan(&pair->home, CELL_PAIR_JOB_ID);
    assert_int_equal(cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID), 2);
    rr_plan_outcome_end(outcome, RR_COMMIT_CONFLICT, pair->home.store->revision);
    cell_pair_run_for(pair, 10);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    cell_set_watch_stuck(&pair->home, false);
    cell_pair_run_for(pair, 10);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    assert_true(rr_plan_outcome_is_known(outcome, pair->home.controller.core));
}

/* The plan's first attempt got no answer, and the second one is beyond limits that are new. The
 * outcome is known once the cache shows a later term, as no plan of an earlier one is executed
 * then. */
static void a_plan_beyond_new_limits_is_known_with_the_next_term(void **state) {
    cell_pair *pair = *state;
    struct rr_plan_outcome *outcome = &pair->home_plan_outcome;
    const rr_core *core = pair->home.controller.core;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    rr_plan_outcome_begin(outcome, core);
    assert_false(rr_plan_outcome_is_known(outcome, core));
    rr_plan_outcome_end(outcome, RR_COMMIT_OUTCOME_UNKNOWN, 0);
    cell_pair_run_for(pair, 10);
    assert_int_equal(pair->offers_delivered, 0);
    cell_restart_controller(&pair->home, false);
    cell_pair_run_for(pair, 3);
    assert_int_equal(pair->offers_delivered, 1);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(a_job_is_not_placed_at_home_after_an_offer_without_an_answer),
        CELL_PAIR_TEST(a_new_term_does_not_release_a_job_after_an_offer_without_an_answer),
        CELL_PAIR_TEST(a_job_is_not_placed_at_home_after_a_second_offer_without_an_answer),
        CELL_PAIR_TEST(a_transfer_ends_after_a_final_record_without_an_answer),
        CELL_PAIR_TEST(a_guest_accepts_once_after_an_acceptance_without_an_answer),
        CELL_PAIR_TEST(a_guest_forgets_a_claim_after_a_deletion_without_an_answer),
        CELL_PAIR_TEST(a_job_is_not_offered_after_a_plan_without_an_answer),
        CELL_PAIR_TEST(a_plan_beyond_new_limits_is_known_with_the_next_term)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
