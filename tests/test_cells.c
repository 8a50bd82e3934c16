/* Transfers between two cells, with the package's own code, a fake clock and scripted key-value
 * stores: what each side places, and how a job's answer gets home. */
#include "cell_pair.h"
#include "core/extensions.h"

#include <string.h>

static void a_transferred_job_gets_its_answer_at_home(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    cell_pair_end_at_guest(pair, local);
    cell_pair_play(pair, 5);
    assert_true(cell_job(&pair->home, CELL_PAIR_JOB, &job) && job.done);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* Not even when it gets machines meanwhile. */
static void a_home_places_nothing_of_a_transferred_job(void **state) {
    cell_pair *pair = *state;
    cell_pair_spill(pair);
    cell_fleet(&pair->home, 2);
    for (int i = 0; i < 10; i++) {
        cell_pair_play(pair, 5);
        cell_plan(&pair->home, CELL_PAIR_JOB);
        assert_int_equal(cell_placed(&pair->home, CELL_PAIR_JOB), 0);
    }
}

/* The record of the claim alone is no permission. */
static void a_guest_places_nothing_before_a_grant(void **state) {
    cell_pair *pair = *state;
    cell_pair_wait_at_home(pair, &cell_pair_job);
    cell_pair_play(pair, 1); /* asks for room, then offers */
    pair->lose_replies = true;
    for (int i = 0; i < 4; i++) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1));
    }
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    assert_int_equal(cell_placed(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1)), 0);
    pair->lose_replies = false;
    cell_pair_play(pair, 2);
    cell_plan(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1));
    assert_int_equal(cell_placed(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1)), 2);
}

/* While it is there, the job is known by the guest's name for it. */
static void services_are_transferred(void **state) {
    cell_pair *pair = *state;
    char local[RR_ID_SIZE];
    size_t neighbour = 9;
    cell_pair_wait_at_home(pair,
                           &(struct test_job){.job_id = CELL_PAIR_JOB, .service = true, .cpus = 1});
    assert_false(rr_transfers_locate_job(pair->home.transfers, CELL_PAIR_JOB, &neighbour, local,
                                         sizeof local));
    cell_pair_play(pair, 3);
    cell_plan(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1));
    assert_true(rr_transfers_locate_job(pair->home.transfers, CELL_PAIR_JOB, &neighbour, local,
                                        sizeof local));
    assert_int_equal(neighbour, 0);
    assert_int_equal(cell_placed(&pair->guest, local), 1);
}

static void gangs_are_transferred_and_placed_completely(void **state) {
    cell_pair *pair = *state;
    cell_pair_wait_at_home(
        pair,
        &(struct test_job){.job_id = CELL_PAIR_JOB, .gang = true, .task_count = 3, .cpus = 8});
    cell_pair_play(pair, 3);
    cell_plan(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1));
    assert_int_equal(cell_placed(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1)), 3);
}

static void an_offer_whose_claim_is_not_recorded_is_taken_when_repeated(void **state) {
    cell_pair *pair = *state;
    cell_pair_wait_at_home(pair, &cell_pair_job);
    pair->refuse_commit = true;
    cell_pair_play(pair, 2);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    pair->refuse_commit = false;
    cell_pair_play(pair, 2);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 1);
}

static void an_answer_is_recorded_once_when_its_reply_is_lost(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    rr_transfers_stats stats;
    const char *local = cell_pair_spill(pair);
    cell_pair_end_at_guest(pair, local);
    pair->lose_replies = true;
    cell_pair_play(pair, 5);
    assert_true(cell_job(&pair->home, CELL_PAIR_JOB, &job) && job.done);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    pair->lose_replies = false;
    cell_pair_play(pair, 5);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.finished, 1);
}

static void sum_waiting(void *user, const rr_submission *submission, int team, uint32_t waits,
                        uint32_t at_work, uint32_t done) {
    (void)submission;
    (void)team;
    (void)done;
    *(unsigned *)user += waits + at_work;
}

/* Where it runs. */
static void admission_counts_a_transferred_job_once(void **state) {
    cell_pair *pair = *state;
    unsigned at_home = 0, at_guest = 0;
    cell_pair_wait_at_home(pair, &cell_pair_job);
    rr_core_foreach_job(pair->home.node.core, sum_waiting, &at_home);
    assert_int_equal(at_home, 2);
    cell_pair_play(pair, 3);
    at_home = 0;
    rr_core_foreach_job(pair->home.node.core, sum_waiting, &at_home);
    rr_core_foreach_job(pair->guest.node.core, sum_waiting, &at_guest);
    assert_int_equal(at_home, 0);
    assert_int_equal(at_guest, 2);
}

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
    fake_store_sync(pair->home.store, pair->home.node.core, pair->home.node.now);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.unreadable_records, 3);
    assert_int_equal(stats.outgoing + stats.incoming, 0);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(a_transferred_job_gets_its_answer_at_home),
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
