/* Failures of whole cells, with controllers as processes, while simulated users submit, poll and
 * cancel jobs (cells_run.h).
 *
 * Arguments, all but the first optional: the controller's program; the seconds of submissions
 * (default 9); the first seed (1); the number of seeds (1); "on" or "off", where "off" starts the
 * controllers without cells, so that jobs run only at home, for comparison; a pattern of test
 * names. */
#include "cells_run.h"

#include "common/clock.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static unsigned first_seed = 1;
static unsigned seeds = 1; /* number of seeds, each with a run of its own */

/* Submits a job at one cell and cancels it at another one, which has to forward the request. A job
 * that no cell knows gets a 404. */
static void cancel_at_another_cell(void) {
    char state[32];
    double deadline = rr_steady_clock_s() + 20;
    run_submit_job(0);
    struct run_job *job = g_ptr_array_index(run.jobs, run.jobs->len - 1);
    job->wants_cancel = false;
    while (run_send_job_request(2, "POST", job->id, "/cancel", state, NULL) != 200) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.2);
    }
    run_poll_job(job, 0);
    assert_true(job->cancelled || job->done);
    job->cancelled_at = job->cancelled ? rr_steady_clock_s() : 0;
    assert_int_equal(run_send_job_request(2, "POST", "req-777", "/cancel", state, NULL), 404);
}

/* In a run without process failures, every job gets a final answer and the checker finds no
 * violation of its rules. */
static void every_job_settles_and_keeps_the_rules(void **state) {
    (void)state;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        run_submit_jobs_for(run_options.submit_duration_s);
        double settle_s = run_poll_until_settled();
        if (run_options.cells_enabled) {
            cancel_at_another_cell();
        }
        struct run_findings findings = run_check_jobs();
        run_report_findings("no failure", seed, &findings, settle_s);
        assert_int_equal(findings.done + findings.cancelled, findings.jobs);
        assert_true(!run_options.cells_enabled || findings.transferred > 0);
        assert_true(!run_options.cells_enabled || run.polls_running_elsewhere > 0);
        run_end();
    }
}

/* The controllers of a guest are killed while it holds jobs. With even seeds its store and its
 * machine fail, too. */
static void homes_take_jobs_back_from_a_dead_guest(void **state) {
    (void)state;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        run_submit_jobs_for(run_options.submit_duration_s * 2 / 3);
        run_kill_controllers(3);
        if (seed % 2 == 0) {
            fake_services_set_store_down(run.cells[3].services, true);
            fake_services_remove_machine(run.cells[3].services);
        }
        run_submit_jobs_for(run_options.submit_duration_s / 3);
        double settle_s = run_poll_until_settled();
        struct run_findings findings = run_check_jobs();
        run_report_findings("guest killed", seed, &findings, settle_s);
        run_end();
    }
}

/* The home's controllers are killed and restarted. In between, its transferred jobs end as their
 * grants expire, and users who ask other cells about its jobs get a 503, not a 404. */
static void a_home_that_returns_answers_all_its_jobs(void **state) {
    (void)state;
    if (!run_options.cells_enabled) {
        skip();
    }
    run_begin(first_seed);
    run_submit_jobs_for(run_options.submit_duration_s * 2 / 3);
    run_kill_controllers(0);
    const struct run_job *unfinished_job = NULL;
    for (guint i = 0; i < run.jobs->len && !unfinished_job; i++) {
        const struct run_job *job = g_ptr_array_index(run.jobs, i);
        unfinished_job = job->home == 0 && !job->done ? job : NULL;
    }
    char job_state[32];
    assert_non_null(unfinished_job);
    assert_int_equal(run_send_job_request(2, "GET", unfinished_job->id, "", job_state, NULL), 503);
    assert_int_equal(
        run_send_job_request(2, "POST", unfinished_job->id, "/cancel", job_state, NULL), 503);
    double deadline = rr_steady_clock_s() + 5;
    while (rr_steady_clock_s() < deadline) {
        run_poll_open_jobs();
        rr_sleep(RUN_POLL_S);
    }
    run_start_controllers(0);
    process_wait_ready(&run.cells[0].controllers[0]);
    double settle_s = run_poll_until_settled();
    struct run_findings findings = run_check_jobs();
    run_report_findings("home killed and restarted", first_seed, &findings, settle_s);
    assert_int_equal(findings.done + findings.cancelled, findings.jobs);
    run_end();
}

/* The home's controllers are killed, while its key-value store stays up. With odd seeds they never
 * return, with even seeds they return while other cells claim the home's jobs. Every job gets one
 * answer, which is the same at any cell. */
static void jobs_of_a_home_without_controllers_are_claimed(void **state) {
    (void)state;
    if (!run_options.cells_enabled) {
        skip();
    }
    run_options.claims_enabled = true;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        run_submit_jobs_for(run_options.submit_duration_s * 2 / 3);
        run_kill_controllers(0);
        double restart_at = rr_steady_clock_s() + 14, started_at = rr_steady_clock_s();
        while (run_poll_open_jobs() > 0) {
            if (seed % 2 == 0 && run.cells[0].controllers_down &&
                rr_steady_clock_s() > restart_at) {
                run_start_controllers(0);
            }
            run_assert_settle_deadline(started_at);
            rr_sleep(RUN_POLL_S);
        }
        struct run_findings findings = run_check_jobs();
        run_report_findings(seed % 2 ? "home killed" : "home killed, restarted during claims", seed,
                            &findings, rr_steady_clock_s() - started_at);
        assert_int_equal(findings.done + findings.cancelled, findings.jobs);
        run_end();
    }
    run_options.claims_enabled = false;
}

/* A poll of an unknown job gets a 404 while all neighbours answer, and a 503 while one that may
 * know the job does not. */
static void a_cell_serves_alone_while_its_neighbours_are_down(void **state) {
    (void)state;
    if (!run_options.cells_enabled) {
        skip();
    }
    char job_state[32];
    run_begin(first_seed);
    assert_int_equal(run_send_job_request(0, "GET", "req-777", "", job_state, NULL), 404);
    for (int i = 1; i < RUN_CELLS; i++) {
        run_kill_controllers(i);
    }
    run_submit_jobs_for(3);
    assert_int_equal(run_send_job_request(0, "GET", "req-777", "", job_state, NULL), 503);
    double settle_s = run_poll_until_settled();
    struct run_findings findings = run_check_jobs();
    run_report_findings("neighbours killed", first_seed, &findings, settle_s);
    assert_int_equal(findings.done + findings.cancelled, findings.jobs);
    assert_int_equal(run.refused_submissions, 0);
    run_end();
}

/* ---- answers of the key-value store that are lost ---- */

#define LOST_ANSWER_TASK_S 3.0  /* runtime of the tasks in these tests */
#define LOST_ANSWER_WAIT_S 20.0 /* until the transaction that a test waits for has been made */
#define MACHINE_TASKS 16u       /* as many tasks fill a cell's machine */
/* From the submission of the jobs that fill a machine to the start of the last one. The machine
 * then stays full until the next job has waited long enough to be offered. */
#define FILL_MAX_S 1.0

static void set_task_runtime_of_all_cells(double seconds) {
    for (int i = 0; i < RUN_CELLS; i++) {
        fake_services_set_task_runtime(run.cells[i].services, seconds);
    }
}

static struct run_job *submit_lasting_job(int home) {
    run_submit_job(home);
    assert_int_equal(run.refused_submissions, 0);
    struct run_job *job = g_ptr_array_index(run.jobs, run.jobs->len - 1);
    job->wants_cancel = false;
    return job;
}

/* Submits a job in each cell that has not rented a machine yet. Returns their number. */
static unsigned submit_jobs_to_cells_without_machine(void) {
    unsigned submitted = 0;
    for (int i = 0; i < RUN_CELLS; i++) {
        if (fake_services_count_rentals(run.cells[i].services) == 0) {
            submit_lasting_job(i);
            submitted++;
        }
    }
    return submitted;
}

/* Starts the cells, and runs jobs until each cell has a machine. One job may not be enough: if it
 * waits for longer than begin_wait_s, it may run in another cell, and its own rents no machine. */
static void begin_run_with_machines(double task_runtime_s) {
    run_begin(first_seed);
    double deadline = rr_steady_clock_s() + LOST_ANSWER_WAIT_S;
    while (submit_jobs_to_cells_without_machine() > 0) {
        assert_true(rr_steady_clock_s() < deadline);
        run_poll_until_settled();
    }
    set_task_runtime_of_all_cells(task_runtime_s);
}

static void wait_until_answer_is_lost(int cell) {
    double deadline = rr_steady_clock_s() + LOST_ANSWER_WAIT_S;
    while (!fake_services_answer_is_lost(run.cells[cell].services)) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(RUN_POLL_S);
    }
}

/* Submits as many jobs as fill the cell's machine. Returns whether all their tasks run there in
 * time; otherwise some have waited for so long that they run in another cell. */
static bool try_to_fill_machine(int cell) {
    double deadline = rr_steady_clock_s() + FILL_MAX_S;
    for (unsigned tasks = 0; tasks < MACHINE_TASKS; tasks += 2) {
        submit_lasting_job(cell);
    }
    while (fake_services_count_running_tasks(run.cells[cell].services) < MACHINE_TASKS) {
        if (rr_steady_clock_s() >= deadline) {
            return false;
        }
        rr_sleep(RUN_POLL_S);
    }
    return true;
}

static void fill_machine(int cell) {
    double deadline = rr_steady_clock_s() + LOST_ANSWER_WAIT_S;
    while (!try_to_fill_machine(cell)) {
        assert_true(rr_steady_clock_s() < deadline);
        run_poll_until_settled();
    }
}

/* Polls until all jobs are done, and fails if one has run in two cells at a time. */
static void finish_run_with_lost_answer(const char *title) {
    double settle_s = run_poll_until_settled();
    struct run_findings findings = run_check_jobs();
    run_report_findings(title, first_seed, &findings, settle_s);
    assert_int_equal(findings.done, findings.jobs);
}

/* The answer to the transaction that offers a job is lost, and with it, for a while, every change
 * for the controller that has sent it. The controller took the conflict of its second attempt for
 * an offer that was not written, and ran the job, which its record offers to another cell. */
static void a_job_whose_offer_gets_no_answer_does_not_run_at_home(void **state) {
    (void)state;
    if (!run_options.cells_enabled) {
        skip();
    }
    begin_run_with_machines(LOST_ANSWER_TASK_S);
    run_kill_controllers(2);
    run_kill_controllers(3);
    fill_machine(0);
    fake_services_lose_answer(run.cells[0].services, "rr/cells/out/", 2 * LOST_ANSWER_TASK_S);
    const struct run_job *job = submit_lasting_job(0);
    wait_until_answer_is_lost(0);
    finish_run_with_lost_answer("offer without an answer");
    char task_name[48];
    g_snprintf(task_name, sizeof task_name, "%s/0", job->id);
    assert_true(fake_services_find_first_start(run.cells[0].services, task_name) == 0);
    run_end();
}

/* The answer to the transaction that places a job is lost, as above. The controller took the
 * conflict for a plan that was not written, and offered the job, which then ran in both cells. */
static void a_job_whose_plan_gets_no_answer_runs_in_one_cell(void **state) {
    (void)state;
    if (!run_options.cells_enabled) {
        skip();
    }
    begin_run_with_machines(2 * LOST_ANSWER_TASK_S);
    fake_services_lose_answer(run.cells[0].services, "rr/run/", LOST_ANSWER_TASK_S);
    submit_lasting_job(0);
    wait_until_answer_is_lost(0);
    finish_run_with_lost_answer("plan without an answer");
    run_end();
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(every_job_settles_and_keeps_the_rules,
                                  run_kill_remaining_processes),
        cmocka_unit_test_teardown(homes_take_jobs_back_from_a_dead_guest,
                                  run_kill_remaining_processes),
        cmocka_unit_test_teardown(a_home_that_returns_answers_all_its_jobs,
                                  run_kill_remaining_processes),
        cmocka_unit_test_teardown(jobs_of_a_home_without_controllers_are_claimed,
                                  run_kill_remaining_processes),
        cmocka_unit_test_teardown(a_cell_serves_alone_while_its_neighbours_are_down,
                                  run_kill_remaining_processes),
        cmocka_unit_test_teardown(a_job_whose_offer_gets_no_answer_does_not_run_at_home,
                                  run_kill_remaining_processes),
        cmocka_unit_test_teardown(a_job_whose_plan_gets_no_answer_runs_in_one_cell,
                                  run_kill_remaining_processes)};
    if (argc < 2) {
        fprintf(stderr, "usage: %s PROGRAM [SECONDS [FIRST_SEED [SEEDS [on|off [TEST]]]]]\n",
                argv[0]);
        return 2;
    }
    run_options.program = argv[1];
    run_options.submit_duration_s =
        argc > 2 ? g_ascii_strtod(argv[2], NULL) : run_options.submit_duration_s;
    first_seed = argc > 3 ? (unsigned)atoi(argv[3]) : first_seed;
    seeds = argc > 4 ? (unsigned)atoi(argv[4]) : seeds;
    run_options.cells_enabled = argc <= 5 || strcmp(argv[5], "off") != 0;
    if (argc > 6) {
        cmocka_set_test_filter(argv[6]);
    }
    rr_http_client_init();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
