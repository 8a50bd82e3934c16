/* Job transfers between two cells on scripted key-value stores and a simulated clock: which cell
 * places tasks, and how the outcome of a transferred job is recorded at its home. */
#include "cell_pair.h"
#include "core/extensions.h"

#include <string.h>

static void the_home_records_the_answer_of_a_transferred_job(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    cell_pair_finish_at_guest(pair, local);
    cell_pair_run_for(pair, 5);
    assert_true(cell_find_job(&pair->home, CELL_PAIR_JOB_ID, &job) && job.done);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* The home does not place the job even if it gets machines while the guest holds it. */
static void a_home_places_nothing_of_a_transferred_job(void **state) {
    cell_pair *pair = *state;
    cell_pair_transfer_job(pair);
    cell_add_machines(&pair->home, 2);
    for (int i = 0; i < 10; i++) {
        cell_pair_run_for(pair, 5);
        cell_plan(&pair->home, CELL_PAIR_JOB_ID);
        assert_int_equal(cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID), 0);
    }
}

/* The guest's record of the claim does not permit it to run the job; only a grant does. */
static void a_guest_places_nothing_before_a_grant(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_pair_run_for(pair, 1); /* the home learns the guest's free room, then offers */
    pair->drop_replies = true;
    for (int i = 0; i < 4; i++) {
        cell_pair_run_for(pair, 1);
        cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1));
    }
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    assert_int_equal(
        cell_count_placed_tasks(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1)),
        0);
    pair->drop_replies = false;
    cell_pair_run_for(pair, 2);
    cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1));
    assert_int_equal(
        cell_count_placed_tasks(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1)),
        2);
}

/* While a job is transferred, the home knows its neighbour and the job's id there. */
static void services_are_transferred(void **state) {
    cell_pair *pair = *state;
    char local[RR_ID_SIZE];
    size_t neighbour = 9;
    cell_pair_submit_overdue_job(
        pair, &(struct test_job){.job_id = CELL_PAIR_JOB_ID, .service = true, .cpus = 1});
    assert_false(rr_transfers_locate_job(pair->home.transfers, CELL_PAIR_JOB_ID, &neighbour, local,
                                         sizeof local));
    cell_pair_run_for(pair, 3);
    cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1));
    assert_true(rr_transfers_locate_job(pair->home.transfers, CELL_PAIR_JOB_ID, &neighbour, local,
                                        sizeof local));
    assert_int_equal(neighbour, 0);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 1);
}

static void gangs_are_transferred_and_placed_completely(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(
        pair,
        &(struct test_job){.job_id = CELL_PAIR_JOB_ID, .gang = true, .task_count = 3, .cpus = 8});
    cell_pair_run_for(pair, 3);
    cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1));
    assert_int_equal(
        cell_count_placed_tasks(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1)),
        3);
}

/* The guest's commit of the claim fails at first; the home repeats the offer. */
static void an_offer_whose_claim_is_not_recorded_is_taken_when_repeated(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    pair->fail_guest_commits = true;
    cell_pair_run_for(pair, 2);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    pair->fail_guest_commits = false;
    cell_pair_run_for(pair, 2);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 1);
}

/* The guest repeats its answer while the home's acknowledgement is lost. */
static void an_answer_is_recorded_once_when_its_reply_is_lost(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    rr_transfers_stats stats;
    const char *local = cell_pair_transfer_job(pair);
    cell_pair_finish_at_guest(pair, local);
    pair->drop_replies = true;
    cell_pair_run_for(pair, 5);
    assert_true(cell_find_job(&pair->home, CELL_PAIR_JOB_ID, &job) && job.done);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    pair->drop_replies = false;
    cell_pair_run_for(pair, 5);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.finished, 1);
}

/* Adds the job's waiting and running tasks to *user, an unsigned. */
static void sum_open_tasks(void *user, const rr_submission *submission, int team, uint32_t waits,
                           uint32_t at_work, uint32_t done) {
    (void)submission;
    (void)team;
    (void)done;
    *(unsigned *)user += waits + at_work;
}

/* The tasks of a transferred job count at the guest, where they run, and not at the home. */
static void admission_counts_a_transferred_job_once(void **state) {
    cell_pair *pair = *state;
    unsigned at_home = 0, at_guest = 0;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    rr_core_foreach_job(pair->home.controller.core, sum_open_tasks, &at_home);
    assert_int_equal(at_home, 2);
    cell_pair_run_for(pair, 3);
    at_home = 0;
    rr_core_foreach_job(pair->home.controller.core, sum_open_tasks, &at_home);
    rr_core_foreach_job(pair->guest.controller.core, sum_open_tasks, &at_guest);
    assert_int_equal(at_home, 0);
    assert_int_equal(at_guest, 2);
}

/* Keys under rr/cells/ whose value or name is unknown are counted and otherwise ignored. */
static void unreadable_records_are_counted(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    static const char *const keys[] = {"rr/cells/out/req-5", "rr/cells/in/req-5", "rr/cells/x"};
    for (int i = 0; i < 3; i++) {
        rr_encoder out;
        rr_encoder_init(&out);
        rr_encode_map(&out, 1);
        rr_encode_key_text(&out, "state", "unheard of");
        fake_store_put(pair->home.store, keys[i], &out);
    }
    fake_store_sync(pair->home.store, pair->home.controller.core, pair->home.controller.now);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.unreadable_records, 3);
    assert_int_equal(stats.outgoing + stats.incoming, 0);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(the_home_records_the_answer_of_a_transferred_job),
        CELL_PAIR_TEST(a_home_places_nothing_of_a_transferred_job),
        CELL_PAIR_TEST(a_guest_places_nothing_before_a_grant),
        CELL_PAIR_TEST(services_are_transferred),
        CELL_PAIR_TEST(gangs_are_transferred_and_placed_completely),
        CELL_PAIR_TEST(an_offer_whose_claim_is_not_recorded_is_taken_when_repeated),
        CELL_PAIR_TEST(an_answer_is_recorded_once_when_its_reply_is_lost),
        CELL_PAIR_TEST(admission_counts_a_transferred_job_once),
        CELL_PAIR_TEST(unreadable_records_are_counted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
