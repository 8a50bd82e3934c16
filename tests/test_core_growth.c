/* The cost of work with many machines and jobs: it must depend on what changes and not on the size
 * of the fleet. The tests count machines visited, records changed and commands sent instead of
 * time, so that a walk over all machines for each event fails them on any computer. */
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

#define FLEET_SIZE 4500 /* machines; more than any deployment has */

/* Returns the number of machines that plans have visited since the core was created. */
static unsigned count_machines_examined(const test_controller *controller) {
    rr_core_stats stats;
    rr_core_get_stats(controller->core, &stats);
    return stats.machines_examined;
}

/* Adds FLEET_SIZE machines of zone a, each of which has sent a heartbeat, and plans until nothing
 * is left to do. */
static void add_settled_fleet(test_controller *controller) {
    test_controller_add_machines(controller, 1, FLEET_SIZE, "a");
    plan_until_settled(controller);
}

/* Plans once and returns the number of machines that the plan visited. */
static unsigned plan_and_count_visits(test_controller *controller) {
    rr_plan plan;
    unsigned visits_before = count_machines_examined(controller);
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    return count_machines_examined(controller) - visits_before;
}

/* After one heartbeat with a change, in a fleet of thousands, a plan visits that machine and not
 * the rest of the fleet. */
static void plan_visits_only_changed_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    add_settled_fleet(controller);
    test_controller_heartbeat(controller, "vm-77", "a", false, 1, 2,
                              rr_core_fencing_token(controller->core), "req-000001 0 3 running",
                              NULL);
    assert_true(plan_and_count_visits(controller) <= 4);
}

/* After heartbeats without changes, the most frequent event, a plan visits no machine, changes no
 * record and sends no command. */
static void unchanged_heartbeats_cause_no_work(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    add_settled_fleet(controller);
    unsigned visits_before = count_machines_examined(controller);
    for (uint64_t sequence = 2; sequence < 6; sequence++) {
        send_heartbeats_without_tasks(controller, 1, FLEET_SIZE, "a", 1, sequence);
        test_controller_plan(controller, &plan);
        assert_false(plan.has_transaction);
        assert_int_equal(plan.command_batches->len, 0);
        rr_plan_clear(&plan);
    }
    assert_int_equal(count_machines_examined(controller), visits_before);
}

/* The first plan of a term visits each machine once, and the next plan visits none. */
static void first_plan_of_term_visits_each_machine_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    add_settled_fleet(controller);
    test_controller_join(controller, 9);
    unsigned first_plan_visits = plan_and_count_visits(controller);
    assert_true(first_plan_visits >= FLEET_SIZE);
    assert_true(first_plan_visits <= FLEET_SIZE + 4);
    assert_true(plan_and_count_visits(controller) <= 4);
}

/* Returns the bytes that are allocated on the heap, including memory-mapped blocks. */
static size_t get_allocated_bytes(void) {
    struct mallinfo2 usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

/* The sizing in docs/operations.md relies on these bounds. They are not checked under a sanitizer,
 * whose allocator does not report its usage. */
static void memory_per_machine_and_job_is_bounded(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    const int job_count = 500;
    size_t bytes_before = get_allocated_bytes();
    test_controller_add_machines(controller, 1, FLEET_SIZE, "a");
    size_t machine_bytes = (get_allocated_bytes() - bytes_before) / FLEET_SIZE;
    plan_until_settled(controller);
    bytes_before = get_allocated_bytes();
    submit_jobs(controller, 1, job_count,
                &(struct test_job){.task_count = 4, .cpus = 4, .service = true});
    plan_until_settled(controller);
    size_t job_bytes = (get_allocated_bytes() - bytes_before) / job_count;
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 4);
    printf("%zu bytes a machine, %zu a job of four replicas\n", machine_bytes, job_bytes);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    assert_in_range(machine_bytes, 500, 4096);
    assert_in_range(job_bytes, 500, 4096);
#else
    (void)machine_bytes;
    (void)job_bytes;
#endif
}

/* On however many machines an array runs, placing it takes one change, recording tasks that end
 * together takes one, and ending the job takes two. */
static void array_takes_few_changes(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    rr_job_view view;
    test_controller_add_machines(controller, 1, FLEET_SIZE, "a");
    submit_jobs(controller, 1, 1, &(struct test_job){.task_count = 60, .cpus = 4, .gpus = 1});
    test_controller_plan(controller, &plan);
    assert_int_equal(count_plan_changes(&plan), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 60);
    rr_plan_clear(&plan);
    send_heartbeats_with_job(controller, FLEET_SIZE, "req-000001", 30, "ended:done", 2);
    test_controller_plan(controller, &plan);
    assert_int_equal(count_plan_changes(&plan), 1);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 30);
    send_heartbeats_with_job(controller, FLEET_SIZE, "req-000001", 60, "ended:done", 3);
    test_controller_plan(controller, &plan);
    assert_int_equal(count_plan_changes(&plan), 2);
    rr_plan_clear(&plan);
    rr_core_get_job_view(controller->core, "req-000001", controller->now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
}

/* Under write pressure, completions wait to be recorded together with others of their job, though
 * their resources are free at once. A job's last completion does not wait. */
static void completions_are_batched_under_write_pressure(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(controller, 1, 1, "a");
    submit_jobs(controller, 1, 1, &(struct test_job){.task_count = 2, .cpus = 8});
    plan_until_settled(controller);
    char *first_task =
        g_strdup_printf("req-000001 0 %" G_GUINT64_FORMAT " ended:done",
                        fake_store_find_attempt(fixture->store, "vm-1", "req-000001", 0));
    char *second_task =
        g_strdup_printf("req-000001 1 %" G_GUINT64_FORMAT " ended:done",
                        fake_store_find_attempt(fixture->store, "vm-1", "req-000001", 1));
    rr_core_set_write_pressure(controller->core, 1, 8);
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, 2,
                              rr_core_fencing_token(controller->core), first_task, NULL);
    test_controller_plan(controller, &plan);
    assert_int_equal(count_plan_changes(&plan), 0);
    rr_plan_clear(&plan);
    submit_jobs(controller, 2, 1, &(struct test_job){.cpus = 8});
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-000002", 0) != 0);
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, 3,
                              rr_core_fencing_token(controller->core), first_task, second_task,
                              NULL);
    test_controller_plan(controller, &plan);
    assert_int_equal(count_plan_changes(&plan), 2);
    rr_plan_clear(&plan);
    g_free(first_task);
    g_free(second_task);
}

/* Hundreds of jobs that do not fit cost a few walks over the fleet in all, not one walk each. */
static void waiting_jobs_share_fleet_searches(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(controller, 1, FLEET_SIZE, "a");
    submit_jobs(controller, 1, 500, &(struct test_job){.zone = "b"});
    unsigned visits_before = count_machines_examined(controller);
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    assert_true(count_machines_examined(controller) - visits_before <= 4 * FLEET_SIZE);
}

/* One plan places all tasks of a spread job evenly over the zones, since it updates the number of
 * tasks by zone with each reservation. */
static void spread_job_is_placed_by_one_plan(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    test_controller_add_machines(controller, 1, 200, "a");
    test_controller_add_machines(controller, 201, 200, "b");
    submit_jobs(controller, 1, 1,
                &(struct test_job){.task_count = 12, .service = true, .spread = true, .gpus = 1});
    test_controller_plan(controller, &plan);
    assert_int_equal(count_plan_changes(&plan), 1);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 12);
    unsigned in_a = 0;
    for (uint32_t task = 0; task < 12; task++) {
        for (int machine = 1; machine <= 200; machine++) {
            char id[32];
            g_snprintf(id, sizeof id, "vm-%d", machine);
            in_a += fake_store_find_attempt(fixture->store, id, "req-000001", task) != 0;
        }
    }
    assert_int_equal(in_a, 6);
}

/* A thousand running machines are recorded with few changes, and the machines for thousands of
 * waiting tasks are rented in requests for up to 50 each. */
static void machines_are_recorded_and_rented_in_bulk(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned changes = 0, rental_count = 0, requested = 0;
    for (int i = 1; i <= 1000; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%06d", i);
        append_listed_machine(machines, id, "a", RR_LISTED_RUNNING, 100);
    }
    submit_jobs(controller, 1, 100, &(struct test_job){.task_count = 40, .cpus = 8, .zone = "b"});
    for (int i = 0; i < 120; i++) {
        rr_autoscaler_step step;
        rr_autoscaler_step_init(&step);
        rr_core_autoscaler_step(controller->core, controller->now, controller->now, &step);
        if (step.kind == RR_AUTOSCALER_COMMIT) {
            changes += step.transaction.changes->len;
            assert_int_equal(fake_store_commit(fixture->store, &step.transaction), 0);
            fake_store_sync(fixture->store, controller->core, controller->now);
        } else if (step.kind == RR_AUTOSCALER_LIST_MACHINES) {
            rr_core_apply_machine_list(controller->core, controller->now, controller->now,
                                       controller->now, machines);
        } else if (step.kind == RR_AUTOSCALER_SCALE_OUT) {
            rental_count++;
            assert_true(step.count <= 50);
            requested += (unsigned)step.count;
        } else {
            controller->now += 0.3;
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-000001") &&
                fake_store_has_machine(fixture->store, "vm-001000"));
    assert_true(changes <= 1000 / 20 + 40);
    assert_true(rental_count >= 20 && requested >= 1000);
    g_array_free(machines, TRUE);
}

/* A controller restarts beside a fleet that is half full of tasks and receives every heartbeat
 * again, while one zone, half of the fleet, has lost its leases. The number of machines visited
 * follows what was reported, and each ledger record that lost tasks takes about one change. */
static void cost_of_restart_and_lost_zone_follows_changes(void **state) {
    core_fixture *fixture = *state;
    test_controller restarted;
    const int half = FLEET_SIZE / 2;
    test_controller_add_machines(&fixture->controller, 1, half, "a");
    test_controller_add_machines(&fixture->controller, half + 1, FLEET_SIZE - half, "b");
    submit_jobs(
        &fixture->controller, 1, 100,
        &(struct test_job){
            .task_count = 8, .cpus = 4, .service = true, .spread = true, .priority = "prod"});
    submit_jobs(&fixture->controller, 201, 40,
                &(struct test_job){.task_count = 60, .cpus = 4, .priority = "low"});
    plan_until_settled(&fixture->controller);
    unsigned record_count = fake_store_count(fixture->store, RR_KEY_ROOT "run/");
    test_controller_init(&restarted, fixture->store, "n0");
    restarted.now = fixture->controller.now;
    fake_store_reload(fixture->store, restarted.core, restarted.now);
    test_controller_join(&restarted, 8);
    rr_plan plan;
    send_heartbeats_without_tasks(&restarted, 1, half, "a", 2, 2); /* zone a lost its leases */
    unsigned visits_before = count_machines_examined(&restarted);
    test_controller_plan(&restarted, &plan);
    unsigned changes = count_plan_changes(&plan);
    rr_plan_clear(&plan);
    /* The plan walks over the fleet once for each job that it places. */
    assert_true(count_machines_examined(&restarted) - visits_before <= 32 * FLEET_SIZE);
    send_heartbeats_without_tasks(&restarted, half + 1, FLEET_SIZE, "b", 1, 2);
    changes += plan_until_settled(&restarted);
    assert_true(2 * changes <= 3 * record_count);
    for (int i = 1; i <= 100; i++) {
        char job_id[JOB_ID_SIZE];
        format_job_id(i, job_id);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 8);
    }
    test_controller_clear(&restarted);
}

/* The autoscaler starts without machines and with work for the whole fleet. No limit on rentals,
 * requests or records stops it short of that fleet, and the records keep to the store's limits. */
static void cold_start_rents_whole_fleet(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    int rented = 0;
    unsigned steps = 0;
    fixture->store->value_bytes_max = (size_t)(controller->config.value_kb * 1024);
    fixture->store->change_count_max = (guint)controller->config.transaction_changes_max;
    submit_jobs(controller, 1, FLEET_SIZE / 100, &(struct test_job){.task_count = 100, .cpus = 16});
    for (; rented < FLEET_SIZE && steps < 4000; steps++) {
        rr_autoscaler_step step;
        test_controller_autoscaler_step(controller, machines, &step);
        if (step.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
            for (int i = 0; i < step.count; i++) {
                g_ptr_array_add(ids, g_strdup_printf("vm-%06d", ++rented));
                append_listed_machine(machines, g_ptr_array_index(ids, ids->len - 1), step.zone,
                                      RR_LISTED_STARTING, 1);
            }
            rr_core_record_scale_out_result(controller->core, controller->now, &step, 200, ids);
            g_ptr_array_free(ids, TRUE);
        }
        controller->now += step.kind == RR_AUTOSCALER_NONE ? 0.5 : 0.05;
        rr_autoscaler_step_clear(&step);
    }
    for (int i = 0; i < 200; i++) {
        rr_autoscaler_step step;
        test_controller_autoscaler_step(controller, machines, &step);
        controller->now += 0.1;
        rr_autoscaler_step_clear(&step);
    }
    assert_int_equal(rented, FLEET_SIZE);
    assert_true(fake_store_has_machine(fixture->store, "vm-000001"));
    assert_true(fake_store_has_machine(fixture->store, "vm-004500"));
    g_array_free(machines, TRUE);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(plan_visits_only_changed_machine),
        TEST(unchanged_heartbeats_cause_no_work),
        TEST(first_plan_of_term_visits_each_machine_once),
        TEST(memory_per_machine_and_job_is_bounded),
        TEST(array_takes_few_changes),
        TEST(completions_are_batched_under_write_pressure),
        TEST(waiting_jobs_share_fleet_searches),
        TEST(spread_job_is_placed_by_one_plan),
        TEST(machines_are_recorded_and_rented_in_bulk),
        TEST(cost_of_restart_and_lost_zone_follows_changes),
        TEST(cold_start_rents_whole_fleet),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
