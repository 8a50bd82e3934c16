/* Late copies of start commands that were carried out and answered: none may start a task again,
 * whatever has become of the task since. */
#include "core/leadership.h"
#include "core/stats.h"
#include "core_fixture.h"
#include "worker_model.h"

#include <string.h>

#define JOB "req-1"
#define SHORT_TASKS 64 /* as many as a worker has room for */

/* A controller with a fleet of workers. */
struct late_copies_fixture {
    core_fixture *core;
    worker_fleet fleet;
};

static int setup_workers(void **state, int worker_count) {
    struct late_copies_fixture *fixture = g_new0(struct late_copies_fixture, 1);
    core_fixture_setup((void **)&fixture->core);
    worker_fleet_init(&fixture->fleet, &fixture->core->controller, worker_count);
    *state = fixture;
    return 0;
}

static int late_copies_setup(void **state) {
    return setup_workers(state, 2);
}

static int one_worker_setup(void **state) {
    return setup_workers(state, 1);
}

static int late_copies_teardown(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet_clear(&fixture->fleet);
    core_fixture_teardown((void **)&fixture->core);
    g_free(fixture);
    return 0;
}

static void submit(struct late_copies_fixture *fixture, const struct test_job *job) {
    fake_store_submit(fixture->core->store, job, fixture->core->controller.now);
}

/* Submits the job and returns the worker on which its task 0 runs. */
static worker_model *submit_and_run(struct late_copies_fixture *fixture,
                                    const struct test_job *job) {
    submit(fixture, job);
    worker_fleet_run(&fixture->fleet, 4);
    worker_model *worker = worker_fleet_find(&fixture->fleet, job->job_id, 0);
    assert_non_null(worker);
    return worker;
}

static void failed_task_is_not_started_again_by_copy_of_answered_start(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    worker_model *first = submit_and_run(fixture, &(struct test_job){.job_id = JOB});
    worker_end_task(first, JOB, 0, RR_EXIT_ERROR);
    worker_fleet_run(fleet, 10);
    assert_ptr_not_equal(worker_fleet_find(fleet, JOB, 0), first);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, JOB, 0), 1);
}

static void cancelled_task_is_not_started_again_by_copy_of_answered_start(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    submit_and_run(fixture, &(struct test_job){.job_id = JOB, .service = true});
    test_controller_cancel(&fixture->core->controller, JOB);
    worker_fleet_run(fleet, 20);
    assert_int_equal(fake_store_placed_count(fixture->core->store, JOB), 0);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, JOB, 0), 0);
}

static void moved_task_is_not_started_again_by_copy_of_answered_start(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    worker_model *first =
        submit_and_run(fixture, &(struct test_job){.job_id = JOB, .service = true});
    first->spot_notice_s = 60;
    worker_fleet_run(fleet, 10);
    worker_model *second = worker_fleet_find(fleet, JOB, 0);
    assert_non_null(second);
    assert_ptr_not_equal(second, first);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, JOB, 0), 1);
}

static void refused_task_is_not_started_by_copy_of_answered_start(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    fleet->workers[0].refuses_starts = true;
    worker_model *worker = submit_and_run(fixture, &(struct test_job){.job_id = JOB});
    assert_ptr_equal(worker, &fleet->workers[1]);
    worker_fleet_run(fleet, 10);
    fleet->workers[0].refuses_starts = false;
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, JOB, 0), 1);
}

static void completed_task_is_not_started_again_by_copy_of_answered_start(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    worker_model *worker = submit_and_run(fixture, &(struct test_job){.job_id = JOB});
    worker_end_task(worker, JOB, 0, RR_EXIT_DONE);
    worker_fleet_run(fleet, 20);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, JOB, 0), 0);
}

/* Waits until the controller keeps no more of any job than its outcome. */
static void run_until_jobs_evicted(worker_fleet *fleet, const test_controller *controller) {
    rr_core_stats stats;
    for (int i = 0; i < 40; i++) {
        worker_fleet_advance(fleet, 30);
        worker_fleet_run(fleet, 1);
        rr_core_get_stats(controller->core, &stats);
        if (stats.retained_jobs == 0) {
            return;
        }
    }
    fail_msg("%u jobs are still kept", stats.retained_jobs);
}

/* The attempts are reserved in the term before the one in which they are started; at least one of
 * the teams is not the autoscaler's. */
static void evicted_job_is_not_started_again_by_copy_of_next_owners_start(void **state) {
    static const char *const job_ids[] = {"req-1", "req-2"}, *const teams[] = {"red", "blue"};
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    test_controller *first_owner = &fixture->core->controller, other;
    rr_plan plan;
    for (int i = 0; i < 2; i++) {
        submit(fixture, &(struct test_job){.job_id = job_ids[i], .team = teams[i]});
    }
    fake_store_sync(fixture->core->store, first_owner->core, first_owner->now);
    assert_int_equal(test_controller_plan(first_owner, &plan), 1);
    rr_plan_clear(&plan);
    test_controller_init(&other, fixture->core->store, "n1");
    other.now = first_owner->now;
    test_controller_join(&other, 9);
    worker_fleet_add_controller(fleet, &other);
    worker_fleet_run(fleet, 4);
    for (int i = 0; i < 2; i++) {
        worker_model *worker = worker_fleet_find(fleet, job_ids[i], 0);
        assert_non_null(worker);
        worker_end_task(worker, job_ids[i], 0, RR_EXIT_DONE);
    }
    run_until_jobs_evicted(fleet, first_owner);
    run_until_jobs_evicted(fleet, &other);
    /* New work on every machine, with which ended attempts could be reaped. */
    submit(fixture, &(struct test_job){.job_id = "req-3", .service = true, .task_count = 2});
    worker_fleet_run(fleet, 20);
    assert_int_equal(fake_store_placed_count(fixture->core->store, "req-3"), 2);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, job_ids[0], 0), 0);
    assert_int_equal(worker_fleet_count(fleet, job_ids[1], 0), 0);
    test_controller_join(first_owner, 8);
    worker_fleet_run(fleet, 20);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_count_ended(&fleet->workers[0]), 0);
    assert_int_equal(worker_count_ended(&fleet->workers[1]), 0);
    assert_int_equal(worker_fleet_count(fleet, job_ids[0], 0), 0);
    assert_int_equal(worker_fleet_count(fleet, job_ids[1], 0), 0);
    test_controller_clear(&other);
}

static void ended_attempts_are_reaped_in_next_term(void **state) {
    struct late_copies_fixture *fixture = *state;
    worker_fleet *fleet = &fixture->fleet;
    worker_model *worker = submit_and_run(fixture, &(struct test_job){.job_id = JOB});
    worker_end_task(worker, JOB, 0, RR_EXIT_DONE);
    worker_fleet_run(fleet, 20);
    assert_int_equal(worker_count_ended(worker), 1);
    test_controller_join(&fixture->core->controller, 8);
    worker_fleet_run(fleet, 20);
    assert_int_equal(worker_count_ended(worker), 0);
    worker_fleet_deliver_copies(fleet);
    assert_int_equal(worker_fleet_count(fleet, JOB, 0), 0);
}

/* Runs so many arrays of SHORT_TASKS tasks on the only worker, one after the other. Returns the
 * most ended attempts that it reported. */
static int run_short_arrays(worker_fleet *fleet, int array_count) {
    test_controller *controller = fleet->controllers[0];
    worker_model *worker = &fleet->workers[0];
    int most_ended = 0;
    for (int i = 0; i < array_count; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-%d", 100 + i);
        fake_store_submit(
            controller->store,
            &(struct test_job){.job_id = job_id, .task_count = SHORT_TASKS, .cpus = 1, .mem_gb = 1},
            controller->now);
        worker_fleet_run(fleet, 2);
        worker_end_all_tasks(worker, RR_EXIT_DONE);
        test_controller_begin_next_term(controller);
        most_ended = MAX(most_ended, worker_count_ended(worker));
    }
    return most_ended;
}

static void new_term_bounds_ended_attempts_kept_by_a_worker(void **state) {
    struct late_copies_fixture *fixture = *state;
    test_controller *controller = &fixture->core->controller;
    worker_fleet *fleet = &fixture->fleet;
    uint64_t first_token = rr_core_fencing_token(controller->core);
    double started_at = controller->now;
    int most_ended = run_short_arrays(fleet, 100);
    uint64_t terms = rr_core_fencing_token(controller->core) - first_token;
    assert_true(most_ended > 64);
    assert_true(most_ended <= 256 + SHORT_TASKS);
    assert_true(terms >= 2);
    assert_true((double)terms <= (controller->now - started_at) / 15);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, late_copies_setup, late_copies_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(failed_task_is_not_started_again_by_copy_of_answered_start),
        TEST(cancelled_task_is_not_started_again_by_copy_of_answered_start),
        TEST(moved_task_is_not_started_again_by_copy_of_answered_start),
        TEST(refused_task_is_not_started_by_copy_of_answered_start),
        TEST(completed_task_is_not_started_again_by_copy_of_answered_start),
        TEST(evicted_job_is_not_started_again_by_copy_of_next_owners_start),
        TEST(ended_attempts_are_reaped_in_next_term),
        cmocka_unit_test_setup_teardown(new_term_bounds_ended_attempts_kept_by_a_worker,
                                        one_worker_setup, late_copies_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
