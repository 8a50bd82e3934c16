/* No job starves: a huge job among small ones, a team beside one that floods the cluster, and
 * services that are placed again before arrays. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "fleet_scenario.h"

#define LARGE_JOB 1                /* number of the large job; the small jobs' numbers follow */
#define LARGE_JOB_TASKS_SHOWN 402u /* heartbeats show the large job's tasks below this index */
#define TASKS_SHOWN_MAX 4          /* tasks in one heartbeat */

/* Appends the job's tasks that are placed on machine id, as done, to the heartbeat's `count` tasks.
 * Returns the new count. The caller frees the texts. */
static int add_done_tasks(const test_controller *controller, const char *id, int job,
                          char **tasks_shown, int count) {
    char job_id[JOB_ID_SIZE];
    format_job_id(job, job_id);
    uint32_t tasks = job == LARGE_JOB ? LARGE_JOB_TASKS_SHOWN : 1;
    if (job == LARGE_JOB && fake_store_placed_count(controller->store, job_id) == 0) {
        return count;
    }
    for (uint32_t task = 0; task < tasks && count < TASKS_SHOWN_MAX; task++) {
        uint64_t attempt = fake_store_find_attempt(controller->store, id, job_id, task);
        if (attempt) {
            tasks_shown[count++] =
                g_strdup_printf("%s %u %" G_GUINT64_FORMAT " ended:done", job_id, task, attempt);
        }
    }
    return count;
}

/* Sends heartbeats of vm-1 and vm-2 that show as done their tasks of jobs numbered below
 * `next_job`, up to TASKS_SHOWN_MAX each. */
static void complete_running_tasks(test_controller *controller, int next_job, uint64_t sequence) {
    for (int machine = 1; machine <= 2; machine++) {
        char id[8], *tasks_shown[TASKS_SHOWN_MAX] = {NULL};
        int count = 0;
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (int job = LARGE_JOB; job < next_job && count < TASKS_SHOWN_MAX; job++) {
            count = add_done_tasks(controller, id, job, tasks_shown, count);
        }
        test_controller_heartbeat(controller, id, "a", false, 1, sequence,
                                  rr_core_fencing_token(controller->core), tasks_shown[0],
                                  tasks_shown[1], tasks_shown[2], tasks_shown[3], NULL);
        for (int i = 0; i < count; i++) {
            g_free(tasks_shown[i]);
        }
    }
}

/* More small jobs with nearer deadlines arrive than fit: a huge job still makes progress, and at
 * least half of the small jobs complete. */
static void huge_job_progresses_among_small_ones(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    unsigned small_done = 0;
    test_controller_add_machines(controller, 1, 2, "a"); /* room for eight tasks */
    submit_jobs(controller, 1, 1,
                &(struct test_job){.task_count = 3000, .cpus = 4, .deadline_s = 5000});
    int next_job = 2;
    for (uint64_t turn = 2; turn < 100; turn++) {
        rr_plan plan;
        controller->now += 1;
        submit_jobs(controller, next_job, 9, &(struct test_job){.cpus = 4, .deadline_s = 60});
        next_job += 9;
        for (int i = 0; i < 3; i++) {
            controller->now += 0.4;
            test_controller_plan(controller, &plan);
            rr_plan_clear(&plan);
        }
        complete_running_tasks(controller, next_job, turn);
        test_controller_plan(controller, &plan);
        rr_plan_clear(&plan);
        rr_job_view view;
        rr_core_get_job_view(controller->core, "req-000001", controller->now, &view);
        if (view.done_count > 0 && turn > 40) {
            break;
        }
    }
    rr_job_view view;
    rr_core_get_job_view(controller->core, "req-000001", controller->now, &view);
    assert_true(view.done_count > 0);
    for (int job = 2; job < next_job; job++) {
        char job_id[JOB_ID_SIZE];
        format_job_id(job, job_id);
        rr_core_get_job_view(controller->core, job_id, controller->now, &view);
        small_done += view.done;
    }
    assert_true(small_done * 2 >= (unsigned)(next_job - 2));
}

/* A team that submits more than fits gets no more than its limit, and another team gets what it is
 * guaranteed. */
static void flooding_team_leaves_guarantee_of_other_team(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    controller->config.teams[0].cpus_max = 48;
    controller->config.teams[1].cpus = 16;
    test_controller_add_machines(controller, 1, 4, "a");
    submit_jobs(controller, 1, 300, &(struct test_job){.team = "red", .cpus = 4, .deadline_s = 10});
    plan_until_settled(controller);
    submit_jobs(controller, 500, 4, &(struct test_job){.team = "blue", .cpus = 4});
    controller->now += 3;
    plan_until_settled(controller);
    for (int job = 500; job < 504; job++) {
        char job_id[JOB_ID_SIZE];
        format_job_id(job, job_id);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 1);
    }
}

/* Returns how many placements the job has on vm-1 to vm-<last> with an attempt of at most `limit`.
 * Raises *highest to the highest attempt of the job there. */
static unsigned count_old_placements(test_controller *controller, const char *job_id,
                                     uint32_t task_count, int last, uint64_t limit,
                                     uint64_t *highest) {
    unsigned count = 0;
    for (int machine = 1; machine <= last; machine++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (uint32_t task = 0; task < task_count; task++) {
            uint64_t attempt = fake_store_find_attempt(controller->store, id, job_id, task);
            count += attempt > 0 && attempt <= limit;
            *highest = MAX(*highest, attempt);
        }
    }
    return count;
}

/* The workers of half of the fleet lose their leases while only few changes may be written. Every
 * service is then placed again with one change, in its zone, before any array's record is written;
 * services that miss most replicas come first. Guards against clearing the records of arrays first,
 * which would delay the services. */
static void services_are_placed_again_before_arrays(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    const int zone_machines = 40, services = 12;
    char job_id[JOB_ID_SIZE];
    test_controller_add_machines(controller, 1, zone_machines, "a");
    test_controller_add_machines(controller, zone_machines + 1, zone_machines, "b");
    submit_jobs(controller, 1, 10,
                &(struct test_job){
                    .task_count = 10, .cpus = 1, .priority = "low", .checkpoint_interval_s = 30});
    submit_jobs(
        controller, 101, services,
        &(struct test_job){
            .task_count = 2, .cpus = 1, .service = true, .spread = true, .priority = "prod"});
    submit_jobs(
        controller, 201, 1,
        &(struct test_job){
            .task_count = 8, .cpus = 1, .service = true, .spread = true, .priority = "prod"});
    plan_until_settled(controller);
    uint64_t lost_attempt = 0, highest = 0;
    for (int i = 101; i < 101 + services; i++) {
        format_job_id(i, job_id);
        count_old_placements(controller, job_id, 2, zone_machines, 0, &lost_attempt);
    }
    count_old_placements(controller, "req-000201", 8, zone_machines, 0, &lost_attempt);
    assert_int_equal(
        count_old_placements(controller, "req-000201", 8, zone_machines, lost_attempt, &highest),
        4);
    controller->now += 5;
    send_heartbeats_without_tasks(controller, 1, zone_machines, "a", 2, 2);
    send_heartbeats_without_tasks(controller, zone_machines + 1, 2 * zone_machines, "b", 1, 2);
    unsigned changes = 0;
    for (int i = 0; i < 5; i++) {
        rr_plan plan;
        controller->now += 0.3;
        rr_core_set_write_pressure(controller->core, 0, 3);
        test_controller_plan(controller, &plan);
        changes += count_plan_changes(&plan);
        rr_plan_clear(&plan);
        if (i == 1) { /* the first plan only detects that writes are short */
            assert_int_equal(count_old_placements(controller, "req-000201", 8, zone_machines,
                                                  lost_attempt, &highest),
                             0);
        }
    }
    assert_true(changes <= 15);
    for (int i = 101; i < 101 + services; i++) {
        format_job_id(i, job_id);
        assert_int_equal(
            count_old_placements(controller, job_id, 2, zone_machines, lost_attempt, &highest), 0);
        assert_int_equal(fake_store_placed_count(controller->store, job_id), 2);
    }
    assert_int_equal(fake_store_placed_count(controller->store, "req-000201"), 8);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(huge_job_progresses_among_small_ones),
        TEST(flooding_team_leaves_guarantee_of_other_team),
        TEST(services_are_placed_again_before_arrays),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
