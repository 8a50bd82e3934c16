/* Transfers in partitions, restarts and changes of owners: a job never runs in two cells. */
#include "cell_pair.h"
#include "core/extensions.h"

#include <string.h>

/* The guest's copy ends with its grant; the home waits until nothing of it can be left there. */
static void after_a_lasting_partition_the_home_runs_the_job_once_the_guest_cannot(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    pair->cut = true;
    double cut_at = pair->home.node.now;
    cell_fleet(&pair->home, 2);
    while (cell_placed(&pair->home, CELL_PAIR_JOB) == 0) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->home, CELL_PAIR_JOB);
        double passed = pair->home.node.now - cut_at;
        assert_true(cell_job(&pair->guest, local, &job));
        assert_true(job.cancelled || passed <= 10.5);
        assert_true(!job.cancelled || passed >= 5);
        assert_true(passed < 120);
    }
    /* The last grant was given up to 2.5 s before the cut; a lease and the rest follow. */
    assert_true(pair->home.node.now - cut_at >= 87);
}

static void a_partition_shorter_than_the_grant_changes_nothing(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    pair->cut = true;
    cell_pair_play(pair, 6);
    pair->cut = false;
    cell_pair_play(pair, 30);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_placed(&pair->guest, local), 2);
}

/* Until it has asked for a grant of its own. */
static void a_new_owner_at_the_guest_keeps_running_tasks(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    cell_restart(&pair->guest, true);
    for (int i = 0; i < 20; i++) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->guest, local);
        assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
        assert_int_equal(cell_placed(&pair->guest, local), 2);
    }
}

static void a_new_owner_without_a_grant_ends_the_copy_within_a_lease(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    pair->cut = true;
    cell_restart(&pair->guest, true);
    cell_pair_play(pair, 9);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    cell_pair_play(pair, 2);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
}

static void a_restarted_home_waits_for_grants_it_does_not_know(void **state) {
    cell_pair *pair = *state;
    cell_pair_spill(pair);
    pair->cut = true;
    cell_restart(&pair->home, true);
    cell_fleet(&pair->home, 2);
    double started_at = pair->home.node.now;
    while (cell_placed(&pair->home, CELL_PAIR_JOB) == 0) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->home, CELL_PAIR_JOB);
        assert_true(pair->home.node.now - started_at < 150);
    }
    assert_true(pair->home.node.now - started_at >= 90);
}

/* It does not know when the last grant was given. */
static void a_new_owner_of_a_withdrawn_job_waits_too(void **state) {
    cell_pair *pair = *state;
    cell_pair_spill(pair);
    pair->cut = true;
    cell_pair_play(pair, 25); /* longer than two leases: withdrawn */
    cell_fleet(&pair->home, 2);
    cell_restart(&pair->home, false);
    double started_at = pair->home.node.now;
    while (cell_placed(&pair->home, CELL_PAIR_JOB) == 0) {
        cell_plan(&pair->home, CELL_PAIR_JOB);
        cell_pair_play(pair, 1);
        assert_true(pair->home.node.now - started_at < 150);
    }
    assert_true(pair->home.node.now - started_at >= 90);
}

static void a_lapsed_copy_is_stopped_though_the_store_refuses_writes(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    cell_plan(&pair->guest, local);
    pair->cut = pair->refuse_commit = true;
    cell_pair_play(pair, 12);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_plan_with(&pair->guest, local, "running"), 2);
}

/* The next term's owner does not know that the job has ended elsewhere. */
static void a_release_ends_with_its_term(void **state) {
    cell_pair *pair = *state;
    rr_cells_room plenty = {100, 10, 1000};
    cell_pair_wait_at_home(pair,
                           &(struct test_job){.job_id = CELL_PAIR_JOB, .task_count = 9, .cpus = 4});
    rr_transfers_set_neighbour_room(pair->home.transfers, 0, &plenty, pair->home.node.now);
    for (int i = 0; i < 3; i++) {
        cell_pair_step(pair); /* offered, refused, released */
    }
    cell_restart(&pair->home, false);
    cell_fleet(&pair->home, 2);
    cell_plan(&pair->home, CELL_PAIR_JOB);
    assert_int_equal(cell_placed(&pair->home, CELL_PAIR_JOB), 0);
}

static void an_answer_after_the_withdrawal_does_not_count(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    cell_pair_end_at_guest(pair, local);
    pair->cut = true;
    cell_pair_play(pair, 25);
    pair->cut = false;
    cell_pair_play(pair, 5);
    assert_true(cell_job(&pair->home, CELL_PAIR_JOB, &job) && !job.done);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
}

static void a_home_withdraws_from_a_guest_removed_from_its_settings(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    cell_pair_spill(pair);
    g_strlcpy(pair->home.settings.neighbours[0].name, "other", RR_CELL_NAME_SIZE);
    cell_restart(&pair->home, true);
    pair->cut = true;
    cell_pair_play(pair, 1);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.withdrawn, 1);
}

static void a_guest_ends_jobs_of_a_home_removed_from_its_settings(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_spill(pair);
    g_strlcpy(pair->guest.settings.neighbours[0].name, "other", RR_CELL_NAME_SIZE);
    cell_restart(&pair->guest, true);
    cell_pair_play(pair, 2);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
}

/* Its claim has ended. */
static void a_late_copy_of_an_offer_is_refused(void **state) {
    cell_pair *pair = *state;
    rr_cells_request request;
    rr_transfer_message reply;
    rr_transfer_write write;
    const char *local = cell_pair_spill(pair);
    cell_pair_end_at_guest(pair, local);
    cell_pair_play(pair, 5);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, "red", sizeof request.team);
    request.lease_s = 10;
    request.teardown_s = 80;
    rr_transfer_message offer = {.kind = RR_TRANSFER_OFFER, .claim = 1};
    rr_submission submission;
    test_submission_init(&submission, &cell_pair_job);
    rr_cells_add_offer(request.items, &offer, &submission, 1000);
    rr_submission_clear(&submission);
    double now = pair->guest.node.now;
    assert_false(rr_transfers_receive_message(pair->guest.transfers, 0, &request,
                                              &g_array_index(request.items, rr_cells_item, 0), now,
                                              now, &reply, &write));
    assert_int_equal(reply.kind, RR_TRANSFER_REFUSE);
    rr_cells_request_clear(&request);
}

static void unknown_and_ended_claims_are_void(void **state) {
    cell_pair *pair = *state;
    rr_transfer_message reply;
    rr_transfer_write write;
    rr_cells_request request;
    cell_pair_spill(pair);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, "red", sizeof request.team);
    rr_transfer_message renew = {.kind = RR_TRANSFER_RENEW, .claim = 0};
    rr_cells_add_item(request.items, CELL_PAIR_JOB, &renew);
    renew.claim = 5;
    rr_cells_add_item(request.items, CELL_PAIR_JOB, &renew);
    rr_cells_add_item(request.items, "req-99", &renew);
    double now = pair->home.node.now;
    for (guint i = 0; i < 3; i++) {
        assert_false(rr_transfers_receive_message(pair->home.transfers, 0, &request,
                                                  &g_array_index(request.items, rr_cells_item, i),
                                                  now, now, &reply, &write));
        assert_int_equal(reply.kind, RR_TRANSFER_VOID);
    }
    rr_cells_request_clear(&request);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(after_a_lasting_partition_the_home_runs_the_job_once_the_guest_cannot),
        CELL_PAIR_TEST(a_partition_shorter_than_the_grant_changes_nothing),
        CELL_PAIR_TEST(a_new_owner_at_the_guest_keeps_running_tasks),
        CELL_PAIR_TEST(a_new_owner_without_a_grant_ends_the_copy_within_a_lease),
        CELL_PAIR_TEST(a_restarted_home_waits_for_grants_it_does_not_know),
        CELL_PAIR_TEST(a_new_owner_of_a_withdrawn_job_waits_too),
        CELL_PAIR_TEST(a_lapsed_copy_is_stopped_though_the_store_refuses_writes),
        CELL_PAIR_TEST(a_release_ends_with_its_term),
        CELL_PAIR_TEST(an_answer_after_the_withdrawal_does_not_count),
        CELL_PAIR_TEST(a_home_withdraws_from_a_guest_removed_from_its_settings),
        CELL_PAIR_TEST(a_guest_ends_jobs_of_a_home_removed_from_its_settings),
        CELL_PAIR_TEST(a_late_copy_of_an_offer_is_refused),
        CELL_PAIR_TEST(unknown_and_ended_claims_are_void),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
