/* Conditions under which a cell offers a job to another cell, and under which it is accepted. */
#include "cell_pair.h"
#include "cells/spill.h"

#include <math.h>
#include <string.h>

/* The guest's two machines have too little room for nine tasks of four CPUs. */
static void no_offer_without_announced_room(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(
        pair, &(struct test_job){.job_id = CELL_PAIR_JOB_ID, .task_count = 9, .cpus = 4});
    cell_pair_run_for(pair, 20);
    assert_int_equal(pair->offers_delivered, 0);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

/* The guest has announced more room than it has when the offer arrives. The refused job may then be
 * placed at home. */
static void a_refused_offer_frees_the_job_at_home(void **state) {
    cell_pair *pair = *state;
    cell_add_machines(&pair->home, 1);
    rr_cells_room plenty = {100, 10, 1000};
    cell_pair_submit_overdue_job(
        pair, &(struct test_job){.job_id = CELL_PAIR_JOB_ID, .task_count = 9, .cpus = 4});
    rr_transfers_set_neighbour_room(pair->home.transfers, 0, &plenty, pair->home.controller.now);
    cell_pair_step(pair); /* the home records the offer */
    cell_pair_step(pair);
    cell_pair_step(pair);
    assert_int_equal(pair->offers_delivered, 1);
    cell_plan(&pair->home, CELL_PAIR_JOB_ID);
    assert_int_equal(cell_count_placed_tasks(&pair->home, CELL_PAIR_JOB_ID), 4);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* The guest accepts the job but does not start it within give_back_s, 60 s here. */
static void a_job_that_does_not_start_is_given_back(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_pair_run_for(pair, 3);
    const char *local = cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1);
    assert_true(cell_find_job(&pair->guest, local, &job));
    cell_pair_run_for(pair, 65); /* the guest never plans */
    assert_true(cell_find_job(&pair->guest, local, &job) && job.cancelled);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    rr_transfers_stats stats;
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.withdrawn, 1);
}

/* A guest does not offer another cell's job, though the job waits and a neighbour has room. */
static void a_transferred_job_is_not_offered_again(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    rr_cells_room plenty = {100, 10, 1000};
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_pair_run_for(pair, 3);
    for (int i = 0; i < 40; i++) {
        cell_pair_run_for(pair, 1);
        rr_transfers_set_neighbour_room(pair->guest.transfers, 0, &plenty,
                                        pair->guest.controller.now);
    }
    rr_transfers_get_stats(pair->guest.transfers, &stats);
    assert_int_equal(stats.offered, 0);
    assert_int_equal(stats.incoming, 1);
}

/* A cell announces no room while a job of its own has waited longer than end_wait_s, even if it has
 * free machines, which that job can't use. */
static void a_cell_whose_own_jobs_wait_accepts_none(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_submit_job(&pair->guest, &(struct test_job){.job_id = "req-2", .cpus = 1, .zone = "far"});
    cell_pair_advance(pair, 11); /* longer than end_wait_s */
    pair->link_down = true;
    cell_pair_step(pair); /* the guest learns how long its own jobs have waited */
    pair->link_down = false;
    cell_pair_run_for(pair, 10);
    assert_int_equal(pair->offers_delivered, 0);
}

/* A job is not offered if it is bound to a zone where the neighbour has no machines, or if its team
 * is not among the neighbour's. */
static void offers_respect_zones_and_teams(void **state) {
    cell_pair *pair = *state;
    cell_add_machines(&pair->guest, 2);
    g_ptr_array_add(pair->home.settings.neighbours[0].teams, g_strdup("blue"));
    cell_submit_job(&pair->home, &(struct test_job){.job_id = "req-1", .cpus = 1, .zone = "a"});
    cell_submit_job(&pair->home, &(struct test_job){.job_id = "req-2", .cpus = 1});
    cell_pair_advance(pair, 31);
    cell_pair_run_for(pair, 10);
    assert_int_equal(pair->offers_delivered, 0);
    cell_submit_job(&pair->home, &(struct test_job){.job_id = "req-3", .cpus = 1, .team = "blue"});
    cell_pair_advance(pair, 31);
    cell_pair_run_for(pair, 3);
    assert_int_equal(pair->offers_delivered, 1);
}

/* The plan in progress may already place the job at home. */
static void no_offer_while_a_plan_is_in_progress(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    pair->home_plan_in_progress = true;
    cell_pair_run_for(pair, 10);
    assert_int_equal(pair->offers_delivered, 0);
    pair->home_plan_in_progress = false;
    cell_pair_run_for(pair, 3);
    assert_int_equal(pair->offers_delivered, 1);
}

/* A controller of an older version in either cell would place transferred jobs without a grant. */
static void no_transfer_beside_an_older_version(void **state) {
    cell_pair *pair = *state;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    test_controller_join_old_version(&pair->home.controller);
    cell_pair_run_for(pair, 10);
    assert_int_equal(pair->offers_delivered, 0);
    test_controller_delete_old_version_session(&pair->home.controller);
    test_controller_join_old_version(&pair->guest.controller);
    cell_pair_run_for(pair, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    test_controller_delete_old_version_session(&pair->guest.controller);
    cell_pair_run_for(pair, 45);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 1);
}

/* The guest's teardown_s is longer than the home's, so its workers could run the job for longer
 * than the home waits. */
static void an_offer_with_a_shorter_rest_time_is_refused(void **state) {
    cell_pair *pair = *state;
    rr_cells_room plenty = {100, 10, 1000};
    pair->guest.settings.times.teardown_s = 81;
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    rr_transfers_set_neighbour_room(pair->home.transfers, 0, &plenty, pair->home.controller.now);
    cell_pair_run_for(pair, 5);
    assert_true(pair->offers_delivered > 0);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* Offers begin above begin_wait_s (30 s) and end at end_wait_s (10 s), so that they do not flap. */
static void offering_stops_only_below_the_lower_limit(void **state) {
    (void)state;
    rr_spill spill = {false};
    rr_cells_settings settings = {.begin_wait_s = 30, .end_wait_s = 10};
    static const double waits[] = {29, 31, 29, 11, 31, 10, 11, 29};
    static const bool expected[] = {false, true, true, true, true, false, false, false};
    for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
        assert_int_equal(rr_spill_update(&spill, &settings, waits[i]), expected[i]);
    }
}

/* Pauses last 1, 2, 4 s and so on, 30 s at most; an accepted job ends them. */
static void pauses_after_refusals_double_up_to_a_limit(void **state) {
    (void)state;
    rr_spill_backoff pause = {0};
    double now = 100;
    for (int i = 0; i < 20; i++) {
        rr_spill_backoff_increase(&pause, now);
        assert_false(rr_spill_backoff_is_over(&pause, now + fmin(exp2(i), 30) - 0.01));
        assert_true(rr_spill_backoff_is_over(&pause, now + 30));
        now += 30;
    }
    rr_spill_backoff_reset(&pause);
    assert_true(rr_spill_backoff_is_over(&pause, now));
}

int main(void) {
    const struct CMUnitTest tests[] = {
        CELL_PAIR_TEST(no_offer_without_announced_room),
        CELL_PAIR_TEST(a_refused_offer_frees_the_job_at_home),
        CELL_PAIR_TEST(a_job_that_does_not_start_is_given_back),
        CELL_PAIR_TEST(a_transferred_job_is_not_offered_again),
        CELL_PAIR_TEST(a_cell_whose_own_jobs_wait_accepts_none),
        CELL_PAIR_TEST(offers_respect_zones_and_teams),
        CELL_PAIR_TEST(no_offer_while_a_plan_is_in_progress),
        CELL_PAIR_TEST(no_transfer_beside_an_older_version),
        CELL_PAIR_TEST(an_offer_with_a_shorter_rest_time_is_refused),
        cmocka_unit_test(offering_stops_only_below_the_lower_limit),
        cmocka_unit_test(pauses_after_refusals_double_up_to_a_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
