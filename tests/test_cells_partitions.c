/* Job transfers under partitions, restarts and changes of the controller that plans a team: a job
 * never runs in two cells at a time. */
#include "cell_pair.h"
#include "core/extensions.h"

#include <string.h>

/* The guest's copy ends with its grant. The home places the job only once no task of it can be left
 * at the guest. */
static void after_a_lasting_partition_the_home_runs_the_job_once_the_guest_cannot(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    pair->link_down = true;
    double cut_at = pair->home.controller.now;
    cell_add_machines(&pair->home, 2);
    while (cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID) == 0) {
        cell_pair_run_for(pair, 1);
        cell_plan(&pair->home, CELL_PAIR_JOB_ID);
        double passed = pair->home.controller.now - cut_at;
        assert_true(cell_find_job(&pair->guest, local, &job));
        assert_true(job.cancelled || passed <= 10.5);
        assert_true(!job.cancelled || passed >= 5);
        assert_true(passed < 120);
    }
    /* The home gave its last grant at most 2.5 s before the cut. It waits for the grant's lease of
     * 10 s and for teardown_s, 80 s. */
    assert_true(pair->home.controller.now - cut_at >= 87);
}

/* The copy goes on, and is granted again after the partition. */
static void a_partition_shorter_than_the_grant_changes_nothing(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    pair->link_down = true;
    cell_pair_run_for(pair, 6);
    pair->link_down = false;
    cell_pair_run_for(pair, 30);
    assert_true(cell_find_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
}

/* A new controller knows of no grant. It keeps running tasks until it gets a grant of its own. */
static void a_new_owner_at_the_guest_keeps_running_tasks(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    cell_restart_controller(&pair->guest, true);
    for (int i = 0; i < 20; i++) {
        cell_pair_run_for(pair, 1);
        cell_plan(&pair->guest, local);
        assert_true(cell_find_job(&pair->guest, local, &job) && !job.cancelled);
        assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
    }
}

/* The home can't be reached, so the new controller gets no grant and cancels the copy. */
static void a_new_owner_without_a_grant_ends_the_copy_within_a_lease(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    pair->link_down = true;
    cell_restart_controller(&pair->guest, true);
    cell_pair_run_for(pair, 9);
    assert_true(cell_find_job(&pair->guest, local, &job) && !job.cancelled);
    cell_pair_run_for(pair, 2);
    assert_true(cell_find_job(&pair->guest, local, &job) && job.cancelled);
}

/* The new process of the home does not know which grants an earlier one gave: it waits for a whole
 * lease and teardown_s before it places the job. */
static void a_restarted_home_waits_for_grants_it_does_not_know(void **state) {
    cell_pair *pair = *state;
    cell_pair_transfer_job(pair);
    pair->link_down = true;
    cell_restart_controller(&pair->home, true);
    cell_add_machines(&pair->home, 2);
    double started_at = pair->home.controller.now;
    while (cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID) == 0) {
        cell_pair_run_for(pair, 1);
        cell_plan(&pair->home, CELL_PAIR_JOB_ID);
        assert_true(pair->home.controller.now - started_at < 150);
    }
    assert_true(pair->home.controller.now - started_at >= 90);
}

/* The new controller reads the withdrawal, but does not know when the last grant was given. */
static void a_new_owner_of_a_withdrawn_job_waits_too(void **state) {
    cell_pair *pair = *state;
    cell_pair_transfer_job(pair);
    pair->link_down = true;
    cell_pair_run_for(pair, 25); /* after two leases without an answer the home withdraws the job */
    cell_add_machines(&pair->home, 2);
    cell_restart_controller(&pair->home, false);
    double started_at = pair->home.controller.now;
    while (cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID) == 0) {
        cell_plan(&pair->home, CELL_PAIR_JOB_ID);
        cell_pair_run_for(pair, 1);
        assert_true(pair->home.controller.now - started_at < 150);
    }
    assert_true(pair->home.controller.now - started_at >= 90);
}

/* The guest can't record the end of its copy, but its plan stops the copy's tasks. */
static void a_lapsed_copy_is_stopped_though_the_store_refuses_writes(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    cell_plan(&pair->guest, local);
    pair->link_down = pair->fail_guest_commits = true;
    cell_pair_run_for(pair, 12);
    assert_true(cell_find_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_plan_with_task_state(&pair->guest, local, "running"), 2);
}

/* A refused offer lets the home place the job again within its term. A controller of the next term
 * does not know of the refusal, so it places nothing yet. */
static void a_release_ends_with_its_term(void **state) {
    cell_pair *pair = *state;
    rr_cells_room plenty = {100, 10, 1000};
    cell_pair_submit_overdue_job(
        pair, &(struct test_job){.job_id = CELL_PAIR_JOB_ID, .task_count = 9, .cpus = 4});
    rr_transfers_set_neighbour_room(pair->home.transfers, 0, &plenty, pair->home.controller.now);
    for (int i = 0; i < 3; i++) {
        cell_pair_step(pair); /* the offer is recorded, refused and released */
    }
    cell_restart_controller(&pair->home, false);
    cell_add_machines(&pair->home, 2);
    cell_plan(&pair->home, CELL_PAIR_JOB_ID);
    assert_int_equal(cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID), 0);
}

/* The guest finishes the job in a partition, but the home has withdrawn it before the answer
 * arrives. */
static void an_answer_after_the_withdrawal_does_not_count(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    cell_pair_finish_at_guest(pair, local);
    pair->link_down = true;
    cell_pair_run_for(pair, 25);
    pair->link_down = false;
    cell_pair_run_for(pair, 5);
    assert_true(cell_find_job(&pair->home, CELL_PAIR_JOB_ID, &job) && !job.done);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
}

/* Operators have removed the guest from the home's settings. */
static void a_home_withdraws_from_a_guest_removed_from_its_settings(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    cell_pair_transfer_job(pair);
    g_strlcpy(pair->home.settings.neighbours[0].name, "other", RR_CELL_NAME_SIZE);
    cell_restart_controller(&pair->home, true);
    pair->link_down = true;
    cell_pair_run_for(pair, 1);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.withdrawn, 1);
}

/* Operators have removed the home from the guest's settings. */
static void a_guest_ends_jobs_of_a_home_removed_from_its_settings(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = cell_pair_transfer_job(pair);
    g_strlcpy(pair->guest.settings.neighbours[0].name, "other", RR_CELL_NAME_SIZE);
    cell_restart_controller(&pair->guest, true);
    cell_pair_run_for(pair, 2);
    assert_true(cell_find_job(&pair->guest, local, &job) && job.cancelled);
}

/* The network delivers an offer again after its claim has ended. */
static void a_duplicate_of_an_ended_offer_is_refused(void **state) {
    cell_pair *pair = *state;
    rr_cells_request request;
    rr_transfer_message reply;
    rr_transfer_write write;
    const char *local = cell_pair_transfer_job(pair);
    cell_pair_finish_at_guest(pair, local);
    cell_pair_run_for(pair, 5);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, "red", sizeof request.team);
    request.lease_s = 10;
    request.teardown_s = 80;
    rr_transfer_message offer = {.kind = RR_TRANSFER_OFFER, .claim = 1};
    rr_submission submission;
    test_submission_init(&submission, &cell_pair_job);
    rr_cells_add_offer(request.items, &offer, &submission, 1000);
    rr_submission_clear(&submission);
    double now = pair->guest.controller.now;
    assert_false(rr_transfers_receive_message(pair->guest.transfers, 0, &request,
                                              &g_array_index(request.items, rr_cells_item, 0), now,
                                              now, &reply, &write));
    assert_int_equal(reply.kind, RR_TRANSFER_REFUSE);
    rr_cells_request_clear(&request);
}

/* Renewals of an earlier claim, of one that was never made and of a job that does not exist. */
static void unknown_and_ended_claims_are_void(void **state) {
    cell_pair *pair = *state;
    rr_transfer_message reply;
    rr_transfer_write write;
    rr_cells_request request;
    cell_pair_transfer_job(pair);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, "red", sizeof request.team);
    rr_transfer_message renew = {.kind = RR_TRANSFER_RENEW, .claim = 0};
    rr_cells_add_item(request.items, CELL_PAIR_JOB_ID, &renew);
    renew.claim = 5;
    rr_cells_add_item(request.items, CELL_PAIR_JOB_ID, &renew);
    rr_cells_add_item(request.items, "req-99", &renew);
    double now = pair->home.controller.now;
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
        CELL_PAIR_TEST(a_duplicate_of_an_ended_offer_is_refused),
        CELL_PAIR_TEST(unknown_and_ended_claims_are_void),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
