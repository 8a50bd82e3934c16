/* Jobs of a home without controllers, by its key-value store: held ones go on, open ones are
 * claimed.
 */
#include "cell_pair.h"
#include "core/state/transaction.h"

#include <string.h>

struct absent_home {
    cell_pair *pair;
    rr_absent_cell *absent; /* the guest's reader of it */
};

/* One job is at the guest and one at home when the home loses its controllers. */
static struct absent_home lose_home(cell_pair *pair) {
    cell_pair_spill(pair);
    cell_submit(&pair->home, &(struct test_job){.job_id = "req-2", .cpus = 4});
    cell_pair_home_dies(pair);
    return (struct absent_home){pair, rr_absent_create(&pair->guest.node.config, "g")};
}

/* The guest goes on and reads the home's key-value store every two seconds. */
static void read_home_for(const struct absent_home *home, double seconds) {
    for (int i = 0; i < (int)(seconds / 2); i++) {
        cell_pair_play(home->pair, 2);
        cell_plan(&home->pair->guest, cell_pair_local(home->pair, CELL_PAIR_JOB, 1));
        cell_pair_read_home(home->pair, home->absent, NULL);
    }
}

/* The answer is written into the home's store. */
static void a_held_job_goes_on_by_its_record(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct absent_home home = lose_home(pair);
    char local[RR_ID_SIZE];
    g_strlcpy(local, cell_pair_local(pair, CELL_PAIR_JOB, 1), sizeof local);
    read_home_for(&home, 60);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_placed(&pair->guest, local), 2);
    cell_pair_end_at_guest(pair, local);
    read_home_for(&home, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 0);
    cell_restart(&pair->home, true);
    assert_true(cell_job(&pair->home, CELL_PAIR_JOB, &job) && job.done);
    rr_absent_destroy(home.absent);
}

/* After teardown_s without controllers, and not before. */
static void an_open_job_is_claimed_once_its_tasks_have_ended(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct absent_home home = lose_home(pair);
    char local[RR_ID_SIZE];
    rr_cells_make_local_id("h", "req-2", 1, local, sizeof local);
    read_home_for(&home, 78);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    read_home_for(&home, 14);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 2);
    assert_true(cell_job(&pair->guest, local, &job));
    assert_int_equal(cell_placed(&pair->guest, local), 1);
    rr_absent_destroy(home.absent);
}

/* The write of one claim, not committed; the caller frees the array. */
static GPtrArray *plan_claim(const struct absent_home *home) {
    GPtrArray *writes = g_ptr_array_new();
    read_home_for(home, 82);
    cell_pair_advance(home->pair, 2);
    cell_pair_read_home(home->pair, home->absent, writes);
    assert_int_equal(writes->len, 1);
    return writes;
}

static void a_claim_fails_once_the_home_has_a_new_term(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    struct absent_home home = lose_home(pair);
    GPtrArray *writes = plan_claim(&home);
    cell_restart(&pair->home, true);
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 0);
    cell_pair_read_home(pair, home.absent, NULL); /* it sees a session, and does nothing more */
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(home.absent);
}

/* The home places none of it. */
static void a_returned_home_finds_a_claimed_job_transferred(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    rr_core_job job;
    char local[RR_ID_SIZE];
    struct absent_home home = lose_home(pair);
    GPtrArray *writes = plan_claim(&home);
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 1);
    cell_pair_advance(pair, 2);
    cell_pair_read_home(pair, home.absent, NULL);
    cell_restart(&pair->home, true);
    pair->cut = pair->home_dead = false;
    cell_fleet(&pair->home, 2);
    rr_cells_make_local_id("h", "req-2", 1, local, sizeof local);
    for (int i = 0; i < 30; i++) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->home, "req-2");
        cell_plan(&pair->guest, local);
        assert_int_equal(cell_placed(&pair->home, "req-2"), 0);
    }
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_placed(&pair->guest, local), 1);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(home.absent);
}

static void of_two_cells_that_claim_one_succeeds(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    struct absent_home home = lose_home(pair);
    GPtrArray *writes = plan_claim(&home);
    rr_absent_cell *other = rr_absent_create(&pair->guest.node.config, "other");
    rr_transfer_write theirs = {.ends_claim = false};
    rr_transaction_init(&theirs.transaction);
    cell_pair_read_home(pair, other, writes);
    assert_true(rr_absent_claim_job(other, "req-2", "red", &theirs.transaction));
    assert_int_equal(fake_store_commit(pair->home.store, &theirs.transaction), 0);
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 0);
    read_home_for(&home, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    rr_transfer_write_clear(&theirs);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(other);
    rr_absent_destroy(home.absent);
}

/* Through a controller that was there for a moment. */
static void a_job_cancelled_meanwhile_is_not_claimed(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    struct absent_home home = lose_home(pair);
    GPtrArray *writes = plan_claim(&home);
    test_controller_cancel(&pair->home.node, "req-2");
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 0);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(home.absent);
}

/* Only the link is cut. */
static void a_home_with_controllers_grants_nothing_by_its_record(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    cell_pair_spill(pair);
    pair->cut = true;
    struct absent_home home = {pair, rr_absent_create(&pair->guest.node.config, "g")};
    read_home_for(&home, 12);
    assert_true(cell_job(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1), &job) &&
                job.cancelled);
    rr_absent_destroy(home.absent);
}

/* As in any partition. */
static void a_copy_ends_when_the_homes_store_cannot_be_read(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct absent_home home = lose_home(pair);
    cell_pair_play(pair, 12);
    assert_true(cell_job(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1), &job) &&
                job.cancelled);
    rr_absent_destroy(home.absent);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(a_held_job_goes_on_by_its_record),
        CELL_PAIR_TEST(an_open_job_is_claimed_once_its_tasks_have_ended),
        CELL_PAIR_TEST(a_claim_fails_once_the_home_has_a_new_term),
        CELL_PAIR_TEST(a_returned_home_finds_a_claimed_job_transferred),
        CELL_PAIR_TEST(of_two_cells_that_claim_one_succeeds),
        CELL_PAIR_TEST(a_job_cancelled_meanwhile_is_not_claimed),
        CELL_PAIR_TEST(a_home_with_controllers_grants_nothing_by_its_record),
        CELL_PAIR_TEST(a_copy_ends_when_the_homes_store_cannot_be_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
