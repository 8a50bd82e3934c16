/* Cells as real processes: faults of whole cells while users submit, poll and cancel (cells_run.h).
 *
 * Arguments: the program; seconds of submissions (9 if not given); the first seed (1) and their
 * number (1); "off" to start the controllers without cells, for comparison, when nothing can run
 * elsewhere; a pattern of tests. */
#include "cells_run.h"

#include "common/clock.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static unsigned first_seed = 1, seeds = 1;

/* A user may cancel at a cell that knows nothing of the job. */
static void cancel_at_another_cell(void) {
    char state[32];
    double until = rr_steady_clock_s() + 20;
    run_submit(0);
    struct run_job *job = g_ptr_array_index(run.jobs, run.jobs->len - 1);
    job->wants_cancel = false;
    while (run_ask(2, "POST", job->id, "/cancel", state, NULL) != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.2);
    }
    run_poll_at(job, 0);
    assert_true(job->cancelled || job->done);
    job->cancelled_at = job->cancelled ? rr_steady_clock_s() : 0;
    assert_int_equal(run_ask(2, "POST", "req-777", "/cancel", state, NULL), 404);
}

static void every_job_settles_and_keeps_the_rules(void **state) {
    (void)state;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        run_submit_for(run_options.submissions_s);
        double settle_s = run_poll_until_settled();
        if (run_options.cells_on) {
            cancel_at_another_cell();
        }
        struct run_findings found = run_check();
        run_report("four cells", seed, &found, settle_s);
        assert_int_equal(found.done + found.cancelled, found.jobs);
        assert_true(!run_options.cells_on || found.transferred > 0);
        assert_true(!run_options.cells_on || run.running_elsewhere > 0);
        run_end();
    }
}

/* The guest dies with all that it holds; with even seeds its store and its machine do, too. */
static void homes_take_jobs_back_from_a_dead_guest(void **state) {
    (void)state;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        run_submit_for(run_options.submissions_s * 2 / 3);
        run_kill_controllers(3);
        if (seed % 2 == 0) {
            fake_services_set_store_down(run.cells[3].services, true);
            fake_services_remove_machine(run.cells[3].services);
        }
        run_submit_for(run_options.submissions_s / 3);
        double settle_s = run_poll_until_settled();
        struct run_findings found = run_check();
        run_report("a guest dies", seed, &found, settle_s);
        run_end();
    }
}

/* Meanwhile its jobs end elsewhere by their leases, and users who ask elsewhere get a 503, not a
 * 404. */
static void a_home_that_returns_answers_all_its_jobs(void **state) {
    (void)state;
    if (!run_options.cells_on) {
        skip();
    }
    run_begin(first_seed);
    run_submit_for(run_options.submissions_s * 2 / 3);
    run_kill_controllers(0);
    const struct run_job *lost = NULL;
    for (guint i = 0; i < run.jobs->len && !lost; i++) {
        const struct run_job *job = g_ptr_array_index(run.jobs, i);
        lost = job->home == 0 && !job->done ? job : NULL;
    }
    char job_state[32];
    assert_non_null(lost);
    assert_int_equal(run_ask(2, "GET", lost->id, "", job_state, NULL), 503);
    assert_int_equal(run_ask(2, "POST", lost->id, "/cancel", job_state, NULL), 503);
    double until = rr_steady_clock_s() + 5;
    while (rr_steady_clock_s() < until) {
        run_poll_all();
        rr_sleep(RUN_POLL_S);
    }
    run_start_controllers(0);
    process_wait_ready(&run.cells[0].controllers[0]);
    double settle_s = run_poll_until_settled();
    struct run_findings found = run_check();
    run_report("a home dies and returns", first_seed, &found, settle_s);
    assert_int_equal(found.done + found.cancelled, found.jobs);
    run_end();
}

/* With odd seeds the controllers never return, with even seeds while others claim the home's jobs.
 * Its key-value store is there, and every job gets one answer, at any cell. */
static void jobs_of_a_home_without_controllers_are_claimed(void **state) {
    (void)state;
    if (!run_options.cells_on) {
        skip();
    }
    run_options.claims_on = true;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        run_submit_for(run_options.submissions_s * 2 / 3);
        run_kill_controllers(0);
        double back_at = rr_steady_clock_s() + 14, started_at = rr_steady_clock_s();
        while (run_poll_all() > 0) {
            if (seed % 2 == 0 && run.cells[0].dead && rr_steady_clock_s() > back_at) {
                run_start_controllers(0);
            }
            run_assert_in_time(started_at);
            rr_sleep(RUN_POLL_S);
        }
        struct run_findings found = run_check();
        run_report(seed % 2 ? "a home dies for good" : "a home dies, returns while claimed", seed,
                   &found, rr_steady_clock_s() - started_at);
        assert_int_equal(found.done + found.cancelled, found.jobs);
        run_end();
    }
    run_options.claims_on = false;
}

/* An unknown job gets a 503 then, as a neighbour may know it, and a 404 while all answer. */
static void a_cell_serves_alone_while_its_neighbours_are_down(void **state) {
    (void)state;
    if (!run_options.cells_on) {
        skip();
    }
    char job_state[32];
    run_begin(first_seed);
    assert_int_equal(run_ask(0, "GET", "req-777", "", job_state, NULL), 404);
    for (int i = 1; i < RUN_CELLS; i++) {
        run_kill_controllers(i);
    }
    run_submit_for(3);
    assert_int_equal(run_ask(0, "GET", "req-777", "", job_state, NULL), 503);
    double settle_s = run_poll_until_settled();
    struct run_findings found = run_check();
    run_report("neighbours down", first_seed, &found, settle_s);
    assert_int_equal(found.done + found.cancelled, found.jobs);
    assert_int_equal(run.refused, 0);
    run_end();
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(every_job_settles_and_keeps_the_rules, run_kill_leftovers),
        cmocka_unit_test_teardown(homes_take_jobs_back_from_a_dead_guest, run_kill_leftovers),
        cmocka_unit_test_teardown(a_home_that_returns_answers_all_its_jobs, run_kill_leftovers),
        cmocka_unit_test_teardown(jobs_of_a_home_without_controllers_are_claimed,
                                  run_kill_leftovers),
        cmocka_unit_test_teardown(a_cell_serves_alone_while_its_neighbours_are_down,
                                  run_kill_leftovers)};
    if (argc < 2) {
        fprintf(stderr, "usage: %s PROGRAM [SECONDS [FIRST_SEED [SEEDS [on|off [TEST]]]]]\n",
                argv[0]);
        return 2;
    }
    run_options.program = argv[1];
    run_options.submissions_s =
        argc > 2 ? g_ascii_strtod(argv[2], NULL) : run_options.submissions_s;
    first_seed = argc > 3 ? (unsigned)atoi(argv[3]) : first_seed;
    seeds = argc > 4 ? (unsigned)atoi(argv[4]) : seeds;
    run_options.cells_on = argc <= 5 || strcmp(argv[5], "off") != 0;
    if (argc > 6) {
        cmocka_set_test_filter(argv[6]);
    }
    rr_http_client_init();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
