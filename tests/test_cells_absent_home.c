/* A home without controllers whose key-value store can still be read: the guest goes on with the
 * jobs that it holds, and claims the home's open jobs. */
#include "cell_pair.h"
#include "core/state/transaction.h"

#include <string.h>

struct absent_home {
    cell_pair *pair;
    rr_absent_cell *absent; /* the guest's view of the home's store; owned */
};

/* Stops the home's controllers while the guest runs req-1 and req-2 waits at the home. The caller
 * frees the view. */
static struct absent_home stop_home_controllers(cell_pair *pair) {
    cell_pair_transfer_job(pair);
    cell_submit_job(&pair->home, &(struct test_job){.job_id = "req-2", .cpus = 4});
    cell_pair_stop_home_controllers(pair);
    return (struct absent_home){pair, rr_absent_create(&pair->guest.controller.config, "g")};
}

/* Lets time pass while the guest plans and reads the home's store every two seconds. */
static void read_home_for(const struct absent_home *home, double seconds) {
    for (int i = 0; i < (int)(seconds / 2); i++) {
        cell_pair_run_for(home->pair, 2);
        cell_plan(&home->pair->guest, cell_pair_guest_job_id(home->pair, CELL_PAIR_JOB_ID, 1));
        cell_pair_read_home(home->pair, home->absent, NULL);
    }
}

/* The record in the home's store stands in for grants, and the guest writes the answer to that
 * store. */
static void a_held_job_goes_on_by_its_record(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct absent_home home = stop_home_controllers(pair);
    char local[RR_ID_SIZE];
    g_strlcpy(local, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1), sizeof local);
    read_home_for(&home, 60);
    assert_true(cell_find_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
    cell_pair_finish_at_guest(pair, local);
    read_home_for(&home, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 0);
    cell_restart_controller(&pair->home, true);
    assert_true(cell_find_job(&pair->home, CELL_PAIR_JOB_ID, &job) && job.done);
    rr_absent_destroy(home.absent);
}

/* The guest claims req-2 only after the home has had no controllers for teardown_s, 80 s here:
 * until then its workers may still run tasks. */
static void an_open_job_is_claimed_once_its_tasks_have_ended(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct absent_home home = stop_home_controllers(pair);
    char local[RR_ID_SIZE];
    rr_cells_make_local_id("h", "req-2", 1, local, sizeof local);
    read_home_for(&home, 78);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    read_home_for(&home, 14);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 2);
    assert_true(cell_find_job(&pair->guest, local, &job));
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 1);
    rr_absent_destroy(home.absent);
}

/* Waits until req-2 may be claimed, and returns the write of that claim without committing it. The
 * caller frees the array. */
static GPtrArray *prepare_claim(const struct absent_home *home) {
    GPtrArray *writes = g_ptr_array_new();
    read_home_for(home, 82);
    cell_pair_advance(home->pair, 2);
    cell_pair_read_home(home->pair, home->absent, writes);
    assert_int_equal(writes->len, 1);
    return writes;
}

/* A controller of the home returns between the guest's reading and its commit. */
static void a_claim_fails_once_the_home_has_a_new_term(void **state) {
    cell_pair *pair = *state;
    unsigned committed = 0;
    struct absent_home home = stop_home_controllers(pair);
    GPtrArray *writes = prepare_claim(&home);
    cell_restart_controller(&pair->home, true);
    cell_pair_commit_to_home(pair, writes, &committed);
    assert_int_equal(committed, 0);
    cell_pair_read_home(pair, home.absent, NULL); /* finds a session and writes nothing */
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(home.absent);
}

/* The home must not place a job that was claimed while it had no controllers. */
static void a_returned_home_finds_a_claimed_job_transferred(void **state) {
    cell_pair *pair = *state;
    unsigned committed = 0;
    rr_core_job job;
    char local[RR_ID_SIZE];
    struct absent_home home = stop_home_controllers(pair);
    GPtrArray *writes = prepare_claim(&home);
    cell_pair_commit_to_home(pair, writes, &committed);
    assert_int_equal(committed, 1);
    cell_pair_advance(pair, 2);
    cell_pair_read_home(pair, home.absent, NULL);
    cell_restart_controller(&pair->home, true);
    pair->link_down = pair->home_controllers_down = false;
    cell_add_machines(&pair->home, 2);
    rr_cells_make_local_id("h", "req-2", 1, local, sizeof local);
    for (int i = 0; i < 30; i++) {
        cell_pair_run_for(pair, 1);
        cell_plan(&pair->home, "req-2");
        cell_plan(&pair->guest, local);
        assert_int_equal(cell_count_placed_tasks(&pair->home, "req-2"), 0);
    }
    assert_true(cell_find_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 1);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(home.absent);
}

/* Two cells prepare a claim of the same job. The other cell commits first, so the guest's commit
 * fails. */
static void only_one_of_two_claiming_cells_succeeds(void **state) {
    cell_pair *pair = *state;
    unsigned committed = 0;
    struct absent_home home = stop_home_controllers(pair);
    GPtrArray *writes = prepare_claim(&home);
    rr_absent_cell *other_cell = rr_absent_create(&pair->guest.controller.config, "other");
    rr_transfer_write other_claim = {.ends_claim = false};
    rr_transaction_init(&other_claim.transaction);
    cell_pair_read_home(pair, other_cell, writes);
    assert_true(rr_absent_claim_job(other_cell, "req-2", "red", &other_claim.transaction));
    assert_int_equal(fake_store_commit(pair->home.store, &other_claim.transaction), 0);
    cell_pair_commit_to_home(pair, writes, &committed);
    assert_int_equal(committed, 0);
    read_home_for(&home, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    rr_transfer_write_clear(&other_claim);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(other_cell);
    rr_absent_destroy(home.absent);
}

/* A controller of the home that was up for a moment recorded the cancellation after the guest had
 * read the store. */
static void a_job_cancelled_meanwhile_is_not_claimed(void **state) {
    cell_pair *pair = *state;
    unsigned committed = 0;
    struct absent_home home = stop_home_controllers(pair);
    GPtrArray *writes = prepare_claim(&home);
    test_controller_cancel(&pair->home.controller, "req-2");
    cell_pair_commit_to_home(pair, writes, &committed);
    assert_int_equal(committed, 0);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(home.absent);
}

/* Only the link is cut: while the home has a session, its record does not stand in for a grant, and
 * the guest's copy ends. */
static void record_of_home_with_session_is_not_a_grant(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    cell_pair_transfer_job(pair);
    pair->link_down = true;
    struct absent_home home = {pair, rr_absent_create(&pair->guest.controller.config, "g")};
    read_home_for(&home, 12);
    assert_true(
        cell_find_job(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1), &job) &&
        job.cancelled);
    rr_absent_destroy(home.absent);
}

/* Without the home's store the guest's copy ends with its grant, as in any partition. */
static void a_copy_ends_when_the_homes_store_cannot_be_read(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct absent_home home = stop_home_controllers(pair);
    cell_pair_run_for(pair, 12);
    assert_true(
        cell_find_job(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1), &job) &&
        job.cancelled);
    rr_absent_destroy(home.absent);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(a_held_job_goes_on_by_its_record),
        CELL_PAIR_TEST(an_open_job_is_claimed_once_its_tasks_have_ended),
        CELL_PAIR_TEST(a_claim_fails_once_the_home_has_a_new_term),
        CELL_PAIR_TEST(a_returned_home_finds_a_claimed_job_transferred),
        CELL_PAIR_TEST(only_one_of_two_claiming_cells_succeeds),
        CELL_PAIR_TEST(a_job_cancelled_meanwhile_is_not_claimed),
        CELL_PAIR_TEST(record_of_home_with_session_is_not_a_grant),
        CELL_PAIR_TEST(a_copy_ends_when_the_homes_store_cannot_be_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
