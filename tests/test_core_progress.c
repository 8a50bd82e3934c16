/* No job waits for ever behind others: huge jobs among small ones, teams beside one that floods,
 * and services before arrays. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "fleet_scenario.h"

#define LARGE_JOB 1                /* its number; those of the small jobs follow */
#define LARGE_JOB_TASKS_SHOWN 402u /* its first so many tasks are shown */
#define TASKS_SHOWN_MAX 4          /* in a heartbeat */

/* Adds the tasks that the machine has of a job, as done, to the `shown` ones of its heartbeat.
 * Returns the new count. */
static int add_done_tasks(const test_controller *node, const char *id, int job, char **show,
                          int shown) {
    char job_id[JOB_ID_SIZE];
    job_id_of(job, job_id);
    uint32_t tasks = job == LARGE_JOB ? LARGE_JOB_TASKS_SHOWN : 1;
    if (job == LARGE_JOB && fake_store_placed_count(node->store, job_id) == 0) {
        return shown;
    }
    for (uint32_t task = 0; task < tasks && shown < TASKS_SHOWN_MAX; task++) {
        uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
        if (attempt) {
            show[shown++] =
                g_strdup_printf("%s %u %" G_GUINT64_FORMAT " ended:done", job_id, task, attempt);
        }
    }
    return shown;
}

/* The two machines report what they run as done. */
static void complete_running_tasks(test_controller *node, int next, uint64_t sequence) {
    for (int machine = 1; machine <= 2; machine++) {
        char id[8], *show[TASKS_SHOWN_MAX] = {NULL};
        int shown = 0;
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (int job = LARGE_JOB; job < next && shown < TASKS_SHOWN_MAX; job++) {
            shown = add_done_tasks(node, id, job, show, shown);
        }
        test_controller_heartbeat(node, id, "a", false, 1, sequence,
                                  rr_core_fencing_token(node->core), show[0], show[1], show[2],
                                  show[3], NULL);
        for (int i = 0; i < shown; i++) {
            g_free(show[i]);
        }
    }
}

/* Among a stream of small jobs with nearer deadlines, more than fit, a huge job makes progress, and
 * at least half of the small ones complete. */
static void a_huge_job_among_small_ones(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    unsigned small = 0;
    test_controller_add_machines(node, 1, 2, "a"); /* room for eight tasks */
    submit_many(node, 1, 1, &(struct test_job){.task_count = 3000, .cpus = 4, .deadline_s = 5000});
    int next = 2;
    for (uint64_t turn = 2; turn < 100; turn++) {
        rr_plan plan;
        node->now += 1;
        submit_many(node, next, 9, &(struct test_job){.cpus = 4, .deadline_s = 60});
        next += 9;
        for (int i = 0; i < 3; i++) {
            node->now += 0.4;
            test_controller_plan(node, &plan);
            rr_plan_clear(&plan);
        }
        complete_running_tasks(node, next, turn);
        test_controller_plan(node, &plan);
        rr_plan_clear(&plan);
        rr_job_view view;
        rr_core_job_view(node->core, "req-000001", node->now, &view);
        if (view.done_count > 0 && turn > 40) {
            break;
        }
    }
    rr_job_view view;
    rr_core_job_view(node->core, "req-000001", node->now, &view);
    assert_true(view.done_count > 0);
    for (int job = 2; job < next; job++) {
        char job_id[JOB_ID_SIZE];
        job_id_of(job, job_id);
        rr_core_job_view(node->core, job_id, node->now, &view);
        small += view.done;
    }
    assert_true(small * 2 >= (unsigned)(next - 2));
}

/* A team that submits more than fits takes no more than its limit, and another one gets what it is
 * guaranteed. */
static void a_flooding_team(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    node->config.teams[0].cpus_max = 48;
    node->config.teams[1].cpus = 16;
    test_controller_add_machines(node, 1, 4, "a");
    submit_many(node, 1, 300, &(struct test_job){.team = "red", .cpus = 4, .deadline_s = 10});
    plan_until_settled(node);
    submit_many(node, 500, 4, &(struct test_job){.team = "blue", .cpus = 4});
    node->now += 3;
    plan_until_settled(node);
    for (int job = 500; job < 504; job++) {
        char job_id[JOB_ID_SIZE];
        job_id_of(job, job_id);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 1);
    }
}

/* Counts the job's placements on vm-1 to vm-<last> with attempts up to `limit`. *highest receives
 * the highest attempt there, if it is higher. */
static unsigned count_old_placements(test_controller *node, const char *job_id, uint32_t task_count,
                                     int last, uint64_t limit, uint64_t *highest) {
    unsigned lost = 0;
    for (int machine = 1; machine <= last; machine++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (uint32_t task = 0; task < task_count; task++) {
            uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
            lost += attempt > 0 && attempt <= limit;
            *highest = MAX(*highest, attempt);
        }
    }
    return lost;
}

/* After half of the fleet loses its leases while writes are short, every service is placed again
 * with one change, in its zone, before any array's record is written. Services that miss most
 * replicas come first. Clearing records of arrays first would delay the services. */
static void services_come_back_first(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    const int half = 40, services = 12;
    char job_id[JOB_ID_SIZE];
    test_controller_add_machines(node, 1, half, "a");
    test_controller_add_machines(node, half + 1, half, "b");
    submit_many(node, 1, 10,
                &(struct test_job){
                    .task_count = 10, .cpus = 1, .priority = "low", .checkpoint_interval_s = 30});
    submit_many(
        node, 101, services,
        &(struct test_job){
            .task_count = 2, .cpus = 1, .service = true, .spread = true, .priority = "prod"});
    submit_many(
        node, 201, 1,
        &(struct test_job){
            .task_count = 8, .cpus = 1, .service = true, .spread = true, .priority = "prod"});
    plan_until_settled(node);
    uint64_t lost_attempt = 0, highest = 0;
    for (int i = 101; i < 101 + services; i++) {
        job_id_of(i, job_id);
        count_old_placements(node, job_id, 2, half, 0, &lost_attempt);
    }
    count_old_placements(node, "req-000201", 8, half, 0, &lost_attempt);
    assert_int_equal(count_old_placements(node, "req-000201", 8, half, lost_attempt, &highest), 4);
    node->now += 5;
    heartbeat_without_tasks(node, 1, half, "a", 2, 2);
    heartbeat_without_tasks(node, half + 1, 2 * half, "b", 1, 2);
    unsigned changes = 0;
    for (int i = 0; i < 5; i++) {
        rr_plan plan;
        node->now += 0.3;
        rr_core_set_write_pressure(node->core, 0, 3);
        test_controller_plan(node, &plan);
        changes += plan_changes(&plan);
        rr_plan_clear(&plan);
        if (i == 1) { /* the first plan finds out that writes are short */
            assert_int_equal(
                count_old_placements(node, "req-000201", 8, half, lost_attempt, &highest), 0);
        }
    }
    assert_true(changes <= 15);
    for (int i = 101; i < 101 + services; i++) {
        job_id_of(i, job_id);
        assert_int_equal(count_old_placements(node, job_id, 2, half, lost_attempt, &highest), 0);
        assert_int_equal(fake_store_placed_count(node->store, job_id), 2);
    }
    assert_int_equal(fake_store_placed_count(node->store, "req-000201"), 8);
}

#define T(test) cmocka_unit_test_setup_teardown(test, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        T(a_huge_job_among_small_ones),
        T(a_flooding_team),
        T(services_come_back_first),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
