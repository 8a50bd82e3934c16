/* With many machines and jobs, the cost of work must follow what happens and not the size of the
 * fleet. The tests count machines visited, records changed and commands sent, not time, so that a
 * walk over all machines for each event fails them on any computer. */
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "fleet_scenario.h"

#include <malloc.h>
#include <stdio.h>

#define FLEET 4500 /* machines, more than any deployment has */

/* Machines that plans have visited since the start. */
static unsigned machines_visited(const test_controller *node) {
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    return stats.machines_visited;
}

/* Every machine has sent a heartbeat, and nothing is left to plan. */
static void add_settled_fleet(test_controller *node) {
    test_controller_add_machines(node, 1, FLEET, "a");
    plan_until_settled(node);
}

/* Machines that one plan visits. */
static unsigned plan_and_count_visits(test_controller *node) {
    rr_plan plan;
    unsigned before = machines_visited(node);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    return machines_visited(node) - before;
}

/* After one heartbeat with news, in a fleet of thousands, a plan visits its machine alone. */
static void a_plan_costs_what_changed(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    add_settled_fleet(node);
    test_controller_heartbeat(node, "vm-77", "a", false, 1, 2, rr_core_fencing_token(node->core),
                              "req-000001 0 3 running", NULL);
    assert_true(plan_and_count_visits(node) <= 4);
}

/* After the most frequent event, a heartbeat without news, a plan visits no machine, changes
 * nothing and commands nothing. */
static void a_heartbeat_without_news_costs_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    add_settled_fleet(node);
    unsigned before = machines_visited(node);
    for (uint64_t sequence = 2; sequence < 6; sequence++) {
        heartbeat_without_tasks(node, 1, FLEET, "a", 1, sequence);
        test_controller_plan(node, &plan);
        assert_false(plan.has_transaction);
        assert_int_equal(plan.command_batches->len, 0);
        rr_plan_clear(&plan);
    }
    assert_int_equal(machines_visited(node), before);
}

/* The first plan of a term visits each machine once, and the next one none. */
static void a_new_term_visits_each_machine_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    add_settled_fleet(node);
    test_controller_join(node, 9);
    unsigned first = plan_and_count_visits(node);
    assert_true(first >= FLEET);
    assert_true(first <= FLEET + 4);
    assert_true(plan_and_count_visits(node) <= 4);
}

static size_t allocated_bytes(void) {
    struct mallinfo2 usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

/* The sizing in docs/operations.md relies on these figures. Under a sanitizer's allocator they are
 * not known. */
static void memory_per_machine_and_job_is_bounded(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    const int jobs = 500;
    size_t before = allocated_bytes();
    test_controller_add_machines(node, 1, FLEET, "a");
    size_t machine = (allocated_bytes() - before) / FLEET;
    plan_until_settled(node);
    before = allocated_bytes();
    submit_many(node, 1, jobs, &(struct test_job){.task_count = 4, .cpus = 4, .service = true});
    plan_until_settled(node);
    size_t job = (allocated_bytes() - before) / jobs;
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 4);
    printf("%zu bytes a machine, %zu a job of four replicas\n", machine, job);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    assert_in_range(machine, 500, 4096);
    assert_in_range(job, 500, 4096);
#else
    (void)machine;
    (void)job;
#endif
}

/* However many machines an array runs on, placing it takes one change, recording tasks that end
 * together takes one, and ending the job takes two. */
static void an_array_costs_a_few_changes(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    rr_job_view view;
    test_controller_add_machines(node, 1, FLEET, "a");
    submit_many(node, 1, 1, &(struct test_job){.task_count = 60, .cpus = 4, .gpus = 1});
    test_controller_plan(node, &plan);
    assert_int_equal(plan_changes(&plan), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 60);
    rr_plan_clear(&plan);
    heartbeat_with_job(node, FLEET, "req-000001", 30, "ended:done", 2);
    test_controller_plan(node, &plan);
    assert_int_equal(plan_changes(&plan), 1);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 30);
    heartbeat_with_job(node, FLEET, "req-000001", 60, "ended:done", 3);
    test_controller_plan(node, &plan);
    assert_int_equal(plan_changes(&plan), 2);
    rr_plan_clear(&plan);
    rr_core_job_view(node->core, "req-000001", node->now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
}

/* While writes are short, completions wait to be recorded with others of their job, though their
 * resources are free at once; a job's last completion does not wait. */
static void completions_are_gathered_while_writes_are_short(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(node, 1, 1, "a");
    submit_many(node, 1, 1, &(struct test_job){.task_count = 2, .cpus = 8});
    plan_until_settled(node);
    char *one = g_strdup_printf("req-000001 0 %" G_GUINT64_FORMAT " ended:done",
                                fake_store_attempt(fixture->store, "vm-1", "req-000001", 0));
    char *two = g_strdup_printf("req-000001 1 %" G_GUINT64_FORMAT " ended:done",
                                fake_store_attempt(fixture->store, "vm-1", "req-000001", 1));
    rr_core_set_write_pressure(node->core, 1, 8);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 2, rr_core_fencing_token(node->core),
                              one, NULL);
    test_controller_plan(node, &plan);
    assert_int_equal(plan_changes(&plan), 0);
    rr_plan_clear(&plan);
    submit_many(node, 2, 1, &(struct test_job){.cpus = 8});
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-000002", 0) != 0);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 3, rr_core_fencing_token(node->core),
                              one, two, NULL);
    test_controller_plan(node, &plan);
    assert_int_equal(plan_changes(&plan), 2);
    rr_plan_clear(&plan);
    g_free(one);
    g_free(two);
}

/* Hundreds of jobs that do not fit cost a few walks over the fleet, not one each. */
static void waiting_jobs_share_a_search(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(node, 1, FLEET, "a");
    submit_many(node, 1, 500, &(struct test_job){.zone = "b"});
    unsigned before = machines_visited(node);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(machines_visited(node) - before <= 4 * FLEET);
}

/* One plan places all tasks of a spread job, since it keeps the counts by zone as it reserves. */
static void a_spread_job_is_placed_by_one_plan(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(node, 1, 200, "a");
    test_controller_add_machines(node, 201, 200, "b");
    submit_many(node, 1, 1,
                &(struct test_job){.task_count = 12, .service = true, .spread = true, .gpus = 1});
    test_controller_plan(node, &plan);
    assert_int_equal(plan_changes(&plan), 1);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 12);
    unsigned in_a = 0;
    for (uint32_t task = 0; task < 12; task++) {
        for (int machine = 1; machine <= 200; machine++) {
            char id[32];
            g_snprintf(id, sizeof id, "vm-%d", machine);
            in_a += fake_store_attempt(fixture->store, id, "req-000001", task) != 0;
        }
    }
    assert_int_equal(in_a, 6);
}

/* A thousand running machines are recorded with few changes, and the machines for thousands of
 * waiting tasks are rented in calls of up to fifty. */
static void machines_are_recorded_and_rented_in_bulk(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned changes = 0, rentals = 0, asked = 0;
    for (int i = 1; i <= 1000; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%06d", i);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 100);
    }
    submit_many(node, 1, 100, &(struct test_job){.task_count = 40, .cpus = 8, .zone = "b"});
    for (int i = 0; i < 120; i++) {
        rr_autoscaler_step step;
        rr_autoscaler_step_init(&step);
        rr_core_autoscaler_step(node->core, node->now, node->now, &step);
        if (step.kind == RR_AUTOSCALER_COMMIT) {
            changes += step.transaction.changes->len;
            assert_int_equal(fake_store_commit(fixture->store, &step.transaction), 0);
            fake_store_sync(fixture->store, node->core, node->now);
        } else if (step.kind == RR_AUTOSCALER_LIST) {
            rr_core_machines_listed(node->core, node->now, node->now, node->now, machines);
        } else if (step.kind == RR_AUTOSCALER_SCALE_OUT) {
            rentals++;
            assert_true(step.count <= 50);
            asked += (unsigned)step.count;
        } else {
            node->now += 0.3;
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-000001") &&
                fake_store_has_machine(fixture->store, "vm-001000"));
    assert_true(changes <= 1000 / 20 + 40);
    assert_true(rentals >= 20 && asked >= 1000);
    g_array_free(machines, TRUE);
}

/* A controller restarts beside a fleet half full of tasks and takes every heartbeat again; half of
 * the fleet has lost its leases. The machines it visits follow what was reported, and each ledger
 * record that lost tasks costs about one change. */
static void a_restart_and_a_lost_zone_cost_what_changed(void **state) {
    core_fixture *fixture = *state;
    test_controller again;
    const int half = FLEET / 2;
    test_controller_add_machines(&fixture->controller, 1, half, "a");
    test_controller_add_machines(&fixture->controller, half + 1, FLEET - half, "b");
    submit_many(
        &fixture->controller, 1, 100,
        &(struct test_job){
            .task_count = 8, .cpus = 4, .service = true, .spread = true, .priority = "prod"});
    submit_many(&fixture->controller, 201, 40,
                &(struct test_job){.task_count = 60, .cpus = 4, .priority = "low"});
    plan_until_settled(&fixture->controller);
    unsigned records = fake_store_count(fixture->store, RR_KEY_ROOT "run/");
    test_controller_init(&again, fixture->store, "n0");
    again.now = fixture->controller.now;
    fake_store_reload(fixture->store, again.core, again.now);
    test_controller_join(&again, 8);
    rr_plan plan;
    heartbeat_without_tasks(&again, 1, half, "a", 2, 2); /* zone a lost its leases */
    unsigned before = machines_visited(&again);
    test_controller_plan(&again, &plan);
    unsigned changes = plan_changes(&plan);
    rr_plan_clear(&plan);
    /* The plan walks over the fleet once for each job that it places. */
    assert_true(machines_visited(&again) - before <= 32 * FLEET);
    heartbeat_without_tasks(&again, half + 1, FLEET, "b", 1, 2);
    changes += plan_until_settled(&again);
    assert_true(2 * changes <= 3 * records);
    for (int i = 1; i <= 100; i++) {
        char job_id[JOB_ID_SIZE];
        job_id_of(i, job_id);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 8);
    }
    test_controller_clear(&again);
}

/* From no machine to work for the whole fleet: no limit on rentals, calls or records stops short of
 * it, and the records keep to the store's limits. */
static void a_cold_start_to_the_whole_fleet(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    int rented = 0;
    unsigned steps = 0;
    fixture->store->value_max = (size_t)(node->config.value_kb * 1024);
    fixture->store->ops_max = (guint)node->config.transaction_changes_max;
    submit_many(node, 1, FLEET / 100, &(struct test_job){.task_count = 100, .cpus = 16});
    for (; rented < FLEET && steps < 4000; steps++) {
        rr_autoscaler_step step;
        test_controller_autoscaler_step(node, machines, &step);
        if (step.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
            for (int i = 0; i < step.count; i++) {
                g_ptr_array_add(ids, g_strdup_printf("vm-%06d", ++rented));
                list_machine(machines, g_ptr_array_index(ids, ids->len - 1), step.zone,
                             RR_LISTED_STARTING, 1);
            }
            rr_core_scale_out_result(node->core, node->now, &step, 200, ids);
            g_ptr_array_free(ids, TRUE);
        }
        node->now += step.kind == RR_AUTOSCALER_NONE ? 0.5 : 0.05;
        rr_autoscaler_step_clear(&step);
    }
    for (int i = 0; i < 200; i++) {
        rr_autoscaler_step step;
        test_controller_autoscaler_step(node, machines, &step);
        node->now += 0.1;
        rr_autoscaler_step_clear(&step);
    }
    assert_int_equal(rented, FLEET);
    assert_true(fake_store_has_machine(fixture->store, "vm-000001"));
    assert_true(fake_store_has_machine(fixture->store, "vm-004500"));
    g_array_free(machines, TRUE);
}

#define T(test) cmocka_unit_test_setup_teardown(test, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        T(a_plan_costs_what_changed),
        T(a_heartbeat_without_news_costs_nothing),
        T(a_new_term_visits_each_machine_once),
        T(memory_per_machine_and_job_is_bounded),
        T(an_array_costs_a_few_changes),
        T(completions_are_gathered_while_writes_are_short),
        T(waiting_jobs_share_a_search),
        T(a_spread_job_is_placed_by_one_plan),
        T(machines_are_recorded_and_rented_in_bulk),
        T(a_restart_and_a_lost_zone_cost_what_changed),
        T(a_cold_start_to_the_whole_fleet),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
