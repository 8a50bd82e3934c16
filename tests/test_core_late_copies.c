/* Late copies of start commands that were carried out and answered: none may start a task again,
 * whatever has become of the task since. */
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "core_fixture.h"
#include "worker_model.h"

#include <string.h>

#define JOB "req-1"
#define SHORT_TASKS 64 /* as many as a worker has room for */

/* Stated in docs/design.md, "Ended attempts that are kept". */
#define ENDED_FOR_NEW_TERM 64
#define ENDED_MAX 256
#define TERM_DURATION_MIN_S 15
#define TERM_DURATION_MIN_BLOCKED_S 4
#define STARTS_FOR_NEW_TERM 32768

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
            &(struct test_job){
                .job_id = job_id, .task_count = SHORT_TASKS, .cpus = 0.25, .mem_gb = 0.25},
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
    assert_true(most_ended > ENDED_FOR_NEW_TERM);
    assert_true(most_ended <= ENDED_MAX + SHORT_TASKS);
    assert_true(terms >= 2);
    assert_true((double)terms <= (controller->now - started_at) / TERM_DURATION_MIN_BLOCKED_S);
}

static void restarted_controller_does_not_count_kept_failures_again(void **state) {
    static const char *const failing[] = {"req-1", "req-2"};
    struct late_copies_fixture *fixture = *state;
    test_controller *controller = &fixture->core->controller;
    worker_fleet *fleet = &fixture->fleet;
    for (int i = 0; i < 2; i++) {
        worker_model *worker = submit_and_run(fixture, &(struct test_job){.job_id = failing[i]});
        worker_end_task(worker, failing[i], 0, RR_EXIT_ERROR);
        worker_fleet_report(fleet);
        test_controller_cancel(controller, failing[i]);
        worker_fleet_run(fleet, 2);
    }
    for (int i = 0; i < 40; i++) { /* the worker's quarantine ends */
        worker_fleet_advance(fleet, 2);
        worker_fleet_run(fleet, 1);
    }
    assert_int_equal(worker_count_ended(&fleet->workers[0]), 2);
    rr_core_destroy(controller->core);
    controller->core = rr_core_create(&controller->config);
    fake_store_reload(controller->store, controller->core, controller->now);
    test_controller_join(controller, 8);
    submit_and_run(fixture, &(struct test_job){.job_id = "req-3"});
}

static void new_term_bounds_starts_whose_attempts_are_kept(void **state) {
    struct late_copies_fixture *fixture = *state;
    test_controller *controller = &fixture->core->controller;
    worker_fleet *fleet = &fixture->fleet;
    uint64_t first_token = rr_core_fencing_token(controller->core);
    worker_fleet_run(fleet, 1);
    worker_fleet_advance(fleet, TERM_DURATION_MIN_S);
    controller->core->planning.starts_in_term = STARTS_FOR_NEW_TERM - 2;
    submit_and_run(fixture, &(struct test_job){.job_id = "req-1", .service = true});
    test_controller_begin_next_term(controller);
    assert_true(rr_core_fencing_token(controller->core) == first_token);
    submit_and_run(fixture, &(struct test_job){.job_id = "req-2", .service = true});
    test_controller_begin_next_term(controller);
    assert_true(rr_core_fencing_token(controller->core) == first_token + 1);
    worker_fleet_run(fleet, 40);
    test_controller_begin_next_term(controller);
    assert_true(rr_core_fencing_token(controller->core) == first_token + 1);
}

/* ---- random events ---- */

#define RANDOM_SEEDS 40
#define RANDOM_STEPS 250
#define RANDOM_JOBS_MAX 60
#define RANDOM_WORKERS 4
/* Steps, each with a report and a plan, within which a cancelled task has to be gone. */
#define CANCEL_STEPS_MAX 12

/* A run of random events, in which copies of all starts arrive after every step. */
struct random_run {
    core_fixture *core;
    worker_fleet fleet;
    GRand *random;
    int job_count;
    int cancelled_at[RANDOM_JOBS_MAX]; /* step, -1: not cancelled */
    uint64_t last_lease_id;
};

static void format_job_id(int job, char id[16]) {
    g_snprintf(id, 16, "req-%d", job + 1);
}

/* Submits the job under the next id, for a random team. */
static void submit_next_job(struct random_run *run, struct test_job job) {
    static const char *const teams[] = {"red", "blue"};
    char id[16];
    if (run->job_count == RANDOM_JOBS_MAX) {
        return;
    }
    format_job_id(run->job_count, id);
    run->cancelled_at[run->job_count++] = -1;
    job.job_id = id;
    job.team = teams[g_rand_int_range(run->random, 0, 2)];
    job.cpus = 2;
    job.mem_gb = 2;
    fake_store_submit(run->core->store, &job, run->core->controller.now);
}

static void submit_random_job(struct random_run *run) {
    submit_next_job(run, (struct test_job){.service = g_rand_boolean(run->random)});
}

static void cancel_random_job(struct random_run *run, int step) {
    char id[16];
    rr_job_view view;
    int job = g_rand_int_range(run->random, 0, run->job_count + 1);
    if (job == run->job_count || run->cancelled_at[job] >= 0) {
        return;
    }
    format_job_id(job, id);
    test_controller *controller = &run->core->controller;
    fake_store_sync(run->core->store, controller->core, controller->now);
    rr_core_get_job_view(controller->core, id, controller->now, &view);
    if (view.known && !view.done) {
        test_controller_cancel(controller, id);
        run->cancelled_at[job] = step;
    }
}

static void end_random_task(struct random_run *run, worker_model *worker) {
    static const enum rr_exit_reason reasons[] = {RR_EXIT_DONE, RR_EXIT_ERROR, RR_EXIT_ERROR,
                                                  RR_EXIT_OTHER};
    if (worker->tasks->len == 0) {
        return;
    }
    const rr_task_status *status =
        &g_array_index(worker->tasks, rr_task_status,
                       (guint)g_rand_int_range(run->random, 0, (gint)worker->tasks->len));
    if (status->state != RR_TASK_ENDED) {
        worker_end_task(worker, status->job_id, status->task,
                        reasons[g_rand_int_range(run->random, 0, 4)]);
    }
}

/* Replaces the controller by a process that has to learn everything again. */
static void restart_run_controller(struct random_run *run) {
    test_controller *controller = &run->core->controller;
    rr_core_destroy(controller->core);
    controller->core = rr_core_create(&controller->config);
    fake_store_reload(run->core->store, controller->core, controller->now);
    test_controller_join(controller, ++run->last_lease_id);
}

static void cause_random_event(struct random_run *run, int step) {
    worker_model *worker =
        &run->fleet.workers[g_rand_int_range(run->random, 0, run->fleet.worker_count)];
    int event = g_rand_int_range(run->random, 0, 100);
    if (event < 30) {
        submit_random_job(run);
    } else if (event < 60) {
        end_random_task(run, worker);
    } else if (event < 75) {
        cancel_random_job(run, step);
    } else if (event < 83) {
        worker->spot_notice_s = worker->spot_notice_s < 0 ? 60 : -1;
    } else if (event < 91) {
        worker->refuses_starts = !worker->refuses_starts;
    } else if (event < 95) {
        worker_lose_lease(worker);
    } else if (event < 97) {
        restart_run_controller(run);
    }
}

static void assert_no_task_runs_wrongly(const struct random_run *run, unsigned seed, int step) {
    char id[16];
    for (int job = 0; job < run->job_count; job++) {
        format_job_id(job, id);
        int count = worker_fleet_count(&run->fleet, id, 0);
        bool cancelled =
            run->cancelled_at[job] >= 0 && step - run->cancelled_at[job] > CANCEL_STEPS_MAX;
        if (count > 1 || (cancelled && count > 0)) {
            fail_msg("seed %u, step %d: %s runs on %d workers%s", seed, step, id, count,
                     cancelled ? " after its cancellation" : "");
        }
    }
}

static void run_random_seed(unsigned seed) {
    struct random_run run = {.random = g_rand_new_with_seed(seed), .last_lease_id = 100};
    core_fixture_setup((void **)&run.core);
    worker_fleet_init(&run.fleet, &run.core->controller, RANDOM_WORKERS);
    for (int step = 0; step < RANDOM_STEPS; step++) {
        cause_random_event(&run, step);
        if (g_rand_int_range(run.random, 0, 3)) {
            worker_fleet_run(&run.fleet, 1);
        }
        worker_fleet_deliver_copies(&run.fleet);
        assert_no_task_runs_wrongly(&run, seed, step);
    }
    assert_true(run.fleet.start_batches->len > 20);
    worker_fleet_clear(&run.fleet);
    core_fixture_teardown((void **)&run.core);
    g_rand_free(run.random);
}

static void copies_of_all_starts_have_no_effect_under_random_events(void **state) {
    (void)state;
    for (unsigned seed = 1; seed <= RANDOM_SEEDS; seed++) {
        run_random_seed(seed);
    }
}

/* ---- two owners, lost batches and answers ---- */

#define OWNERS_SEEDS 60
#define OWNERS_STEPS 300
#define OWNERS_TASKS_MAX 3    /* of a job */
#define OWNERS_QUIET_STEPS 80 /* at the end, without events */
#define COPY_PROBABILITY 0.3  /* of each start batch, after each step */
#define LAG_PROBABILITY 0.3   /* that a plan sees an older store cache */

/* A random run with a second controller that joins, leaves and restarts. */
struct owners_run {
    struct random_run base;
    test_controller second;
    bool second_is_member;
};

/* Submits an array, a service or a gang. */
static void submit_job_of_random_kind(struct random_run *run) {
    int kind = g_rand_int_range(run->random, 0, 3);
    int task_count = g_rand_int_range(run->random, 1, OWNERS_TASKS_MAX + 1);
    submit_next_job(run, (struct test_job){.service = kind == 0,
                                           .gang = kind == 1,
                                           .one_zone = kind == 1,
                                           .task_count = (uint32_t)task_count});
}

/* Removes the second controller from the term if it is a member, or else adds it. */
static void change_second_membership(struct owners_run *run) {
    test_controller *first = &run->base.core->controller;
    run->second_is_member = !run->second_is_member;
    if (run->second_is_member) {
        test_controller_join(&run->second, ++run->base.last_lease_id);
    } else {
        test_controller_delete_session(&run->second);
        test_controller_begin_next_term(first);
    }
}

static void cause_event_of_owners(struct owners_run *run, int step) {
    struct random_run *base = &run->base;
    int event = g_rand_int_range(base->random, 0, 100);
    if (event < 25) {
        submit_job_of_random_kind(base);
    } else if (event < 35) {
        change_second_membership(run);
    } else {
        cause_random_event(base, step);
    }
}

static void assert_no_task_runs_twice(const struct random_run *run, unsigned seed, int step) {
    char id[16];
    for (int job = 0; job < run->job_count; job++) {
        format_job_id(job, id);
        for (uint32_t task = 0; task < OWNERS_TASKS_MAX; task++) {
            int count = worker_fleet_count(&run->fleet, id, task);
            if (count > 1) {
                fail_msg("seed %u, step %d: %s/%u runs on %d workers", seed, step, id, task, count);
            }
        }
    }
}

static void assert_no_cancelled_task_runs(const struct random_run *run, unsigned seed) {
    char id[16];
    for (int job = 0; job < run->job_count; job++) {
        format_job_id(job, id);
        for (uint32_t task = 0; task < OWNERS_TASKS_MAX && run->cancelled_at[job] >= 0; task++) {
            if (worker_fleet_count(&run->fleet, id, task) > 0) {
                fail_msg("seed %u: %s/%u runs after its cancellation", seed, id, task);
            }
        }
    }
}

static void run_step_of_owners(struct owners_run *run, unsigned seed, int step) {
    struct random_run *base = &run->base;
    for (int i = 0; i < base->fleet.controller_count; i++) {
        base->fleet.lagging[i] = g_rand_double(base->random) < LAG_PROBABILITY;
    }
    worker_fleet_run(&base->fleet, 1);
    worker_fleet_deliver_some_copies(&base->fleet, base->random, COPY_PROBABILITY);
    assert_no_task_runs_twice(base, seed, step);
}

static void run_owners_seed(unsigned seed) {
    struct owners_run run = {.base = {.random = g_rand_new_with_seed(seed), .last_lease_id = 100}};
    struct random_run *base = &run.base;
    core_fixture_setup((void **)&base->core);
    worker_fleet_init(&base->fleet, &base->core->controller, RANDOM_WORKERS);
    base->fleet.loss_random = base->random;
    test_controller_init(&run.second, base->core->store, "n1");
    run.second.now = base->core->controller.now;
    worker_fleet_add_controller(&base->fleet, &run.second);
    for (int step = 0; step < OWNERS_STEPS; step++) {
        cause_event_of_owners(&run, step);
        run_step_of_owners(&run, seed, step);
    }
    for (int step = 0; step < OWNERS_QUIET_STEPS; step++) {
        run_step_of_owners(&run, seed, OWNERS_STEPS + step);
    }
    assert_no_cancelled_task_runs(base, seed);
    assert_true(base->fleet.start_batches->len > 20);
    worker_fleet_clear(&base->fleet);
    test_controller_clear(&run.second);
    core_fixture_teardown((void **)&base->core);
    g_rand_free(base->random);
}

static void copies_have_no_effect_across_takeovers_and_lost_answers(void **state) {
    (void)state;
    for (unsigned seed = 1; seed <= OWNERS_SEEDS; seed++) {
        run_owners_seed(seed);
    }
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
        TEST(new_term_bounds_starts_whose_attempts_are_kept),
        cmocka_unit_test_setup_teardown(restarted_controller_does_not_count_kept_failures_again,
                                        one_worker_setup, late_copies_teardown),
        cmocka_unit_test(copies_of_all_starts_have_no_effect_under_random_events),
        cmocka_unit_test(copies_have_no_effect_across_takeovers_and_lost_answers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
