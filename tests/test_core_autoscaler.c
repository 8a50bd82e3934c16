/* Tests of the autoscaler: renting and releasing machines, reconciling machine records with the
 * cloud's machine list, and writing the catalogue. Nothing is rented twice, and no machine or task
 * is lost. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "machine_fixture.h"

#include <string.h>

/* The autoscaler records a rental as an intent before it calls the cloud. A new autoscaler retries
 * the intent under the same name, so that the cloud repeats its earlier answer and rents nothing
 * more. */
static void new_autoscaler_retries_rental_under_same_name(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, successor;
    rr_autoscaler_step step;
    char first_rental[RR_ID_SIZE];
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "hire/"), 1);
    g_strlcpy(first_rental, step.rental, sizeof first_rental);
    /* The controller stops before it has the cloud's answer. */
    rr_autoscaler_step_clear(&step);
    test_controller_delete_session(controller);
    test_controller_init(&successor, fixture->store, "n0");
    successor.now = controller->now;
    fake_store_sync(fixture->store, successor.core, successor.now);
    test_controller_join(&successor, 8);
    core_fixture successor_fixture = {fixture->store, successor};
    assert_true(step_autoscaler_until(&successor_fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_string_equal(step.rental, first_rental);
    GPtrArray *machine_ids = g_ptr_array_new();
    g_ptr_array_add(machine_ids, "vm-9");
    rr_core_record_scale_out_result(successor_fixture.controller.core,
                                    successor_fixture.controller.now, &step, 200, machine_ids);
    rr_autoscaler_step_clear(&step);
    for (int i = 0; i < 4; i++) {
        step_autoscaler_until(&successor_fixture, RR_AUTOSCALER_NONE, NULL, &step);
        rr_autoscaler_step_clear(&step);
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-9"));
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "hire/"), 0);
    g_ptr_array_free(machine_ids, TRUE);
    test_controller_clear(&successor_fixture.controller);
}

/* A rental that the cloud refuses for lack of capacity is retried under a new name, since no two
 * requests may share one, and in another zone, since a zone without capacity is avoided for a
 * while. */
static void refused_rental_is_retried_under_new_name_in_other_zone(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    char first_rental[RR_ID_SIZE];
    GPtrArray *no_machine_ids = g_ptr_array_new();
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    g_strlcpy(first_rental, step.rental, sizeof first_rental);
    rr_core_record_scale_out_result(controller->core, controller->now, &step, 503, no_machine_ids);
    rr_autoscaler_step_clear(&step);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_string_not_equal(step.rental, first_rental);
    assert_string_equal(step.zone, "b");
    rr_autoscaler_step_clear(&step);
    g_ptr_array_free(no_machine_ids, TRUE);
}

/* Machines that were running before the first term, or before anything was rented, belong to the
 * operators and are kept, even if the machine list gives no age for them (0). Other machines
 * without a record are recorded as rented and released when idle. */
static void operator_machines_are_kept_and_idle_rented_ones_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    append_listed_machine(machines, "vm-1", "a", RR_LISTED_RUNNING, 500);
    append_listed_machine(machines, "vm-4", "a", RR_LISTED_RUNNING, 0);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_NONE, machines, &step));
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-4"));
    /* With a rented machine on record, machines that appear from here on count as rented. */
    fake_store_put_machine(fixture->store, "vm-3", "b", false, false);
    fake_store_sync(fixture->store, controller->core, controller->now);
    controller->now += 30;
    append_listed_machine(machines, "vm-2", "a", RR_LISTED_RUNNING, 10);
    append_listed_machine(machines, "vm-3", "a", RR_LISTED_RUNNING, 10);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_NONE, machines, &step));
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    assert_true(fake_store_has_machine(fixture->store, "vm-2"));
    bool released = false;
    for (uint64_t i = 0; i < 60 && !released; i++) {
        controller->now += 2;
        test_controller_heartbeat(controller, "vm-1", "a", false, 1, i + 1, 1, NULL);
        test_controller_heartbeat(controller, "vm-2", "a", false, 1, i + 1, 1, NULL);
        test_controller_heartbeat(controller, "vm-4", "a", false, 1, i + 1, 1, NULL);
        released = step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step);
        for (guint k = 0; released && k < step.machines->len; k++) {
            assert_string_not_equal(step.machines->pdata[k], "vm-1");
            assert_string_not_equal(step.machines->pdata[k], "vm-4");
        }
        released =
            released && g_ptr_array_find_with_equal_func(step.machines, "vm-2", g_str_equal, NULL);
        rr_autoscaler_step_clear(&step);
    }
    assert_true(released);
    g_array_free(machines, TRUE);
}

/* The cloud's machine list lags. A recorded machine that was never listed may still be missing from
 * it and keeps its record. One that was listed and has been missing for more than twice the lag is
 * gone and loses its record. */
static void machine_missing_from_lagging_list_is_kept(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    GArray *no_machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *one_machine = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    append_listed_machine(one_machine, "vm-1", "a", RR_LISTED_RUNNING, 3);
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_sync(fixture->store, controller->core, controller->now);
    /* The first step begins this autoscaler's term. */
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(controller->core, controller->now, controller->now, &step);
    rr_autoscaler_step_clear(&step);
    controller->now += 3;
    rr_core_apply_machine_list(controller->core, controller->now, controller->now, controller->now,
                               no_machines);
    step_autoscaler_until(fixture, RR_AUTOSCALER_NONE, no_machines, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    rr_core_apply_machine_list(controller->core, controller->now, controller->now, controller->now,
                               one_machine);
    rr_core_apply_machine_list(controller->core, controller->now + 9, controller->now + 9,
                               controller->now + 9, no_machines);
    controller->now += 9;
    step_autoscaler_until(fixture, RR_AUTOSCALER_NONE, one_machine, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    controller->now += 5;
    rr_core_apply_machine_list(controller->core, controller->now, controller->now, controller->now,
                               no_machines);
    step_autoscaler_until(fixture, RR_AUTOSCALER_NONE, no_machines, &step);
    rr_autoscaler_step_clear(&step);
    assert_false(fake_store_has_machine(fixture->store, "vm-1"));
    g_array_free(no_machines, TRUE);
    g_array_free(one_machine, TRUE);
}

/* The cloud lists a machine as failed, and the autoscaler deletes its record and releases it before
 * the owner of its task plans again. The machine stays known while the ledger refers to it, and the
 * task is placed on another machine. */
static void task_of_machine_released_before_next_plan_is_placed_again(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, 1, 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-000001"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-000001", 0) != 0);
    append_listed_machine(machines, "vm-1", "a", RR_LISTED_FAILED, 100);
    bool released = false;
    for (int i = 0; i < 10 && !released; i++) {
        controller->now += 5;
        released = step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step);
        if (released) {
            assert_false(fake_store_has_machine(fixture->store, "vm-1"));
            rr_core_record_scale_in_result(controller->core, controller->now, step.machines);
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(released);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_heartbeat(controller, "vm-2", "a", false, 1, 1, 1, NULL);
    for (int i = 0; i < 3; i++) {
        controller->now += 1;
        test_controller_plan(controller, &plan);
        rr_plan_clear(&plan);
    }
    assert_true(fake_store_find_attempt(fixture->store, "vm-2", "req-000001", 0) != 0);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-000001", 0) == 0);
    g_array_free(machines, TRUE);
}

/* Tasks on removed machines need new capacity at once, even if their owner has no writes left to
 * delete their placements from the ledger. */
static void lost_tasks_cause_scale_out_before_ledger_is_cleared(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    rr_autoscaler_step step;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, 1, 1, NULL);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-000001", .task_count = 3, .cpus = 4},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 3);
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_sync(fixture->store, controller->core, controller->now);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 3);
    rr_autoscaler_step_clear(&step);
}

/* A transaction that writes the catalogue may be lost, for example when a change of term voids it.
 * The catalogue is written again until the store cache shows it. */
static void catalogue_is_rewritten_until_store_cache_shows_it(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    rr_machine_type type = {.name = "m2",
                            .cpus = 8,
                            .gpus = 1,
                            .mem_gb = 32,
                            .price = 3,
                            .spot_price = 1,
                            .startup_s = 20};
    type.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(type.zones, g_strdup("a"));
    g_array_append_val(machine_types, type);
    assert_true(step_autoscaler_until(fixture, RR_AUTOSCALER_READ_CATALOG, NULL, &step));
    rr_autoscaler_step_clear(&step);
    rr_core_apply_catalog(controller->core, controller->now, machine_types);
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(controller->core, controller->now, controller->now, &step);
    assert_int_equal(step.kind, RR_AUTOSCALER_COMMIT);
    /* The transaction is dropped, as if a change of term had voided it. */
    rr_autoscaler_step_clear(&step);
    step_autoscaler_until(fixture, RR_AUTOSCALER_NONE, NULL, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_version(fixture->store, RR_KEY_ROOT "build/m2") != 0);
    rr_machine_type_clear(&type);
    g_array_free(machine_types, TRUE);
}

/* Rented machines may send heartbeats before they are recorded, and the autoscaler that rented them
 * may stop at that moment. They take no tasks until they are recorded. The next autoscaler retries
 * the rental under its name and records each machine once. */
static void unrecorded_machine_takes_no_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, successor;
    uint64_t attempt;
    rr_autoscaler_step step;
    GArray *no_machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_delete_machine(fixture->store, "vm-2");
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    for (int i = 0; i < 40; i++) {
        test_controller_autoscaler_step(controller, no_machines, &step);
        bool is_rental = step.kind == RR_AUTOSCALER_SCALE_OUT;
        controller->now += 0.5;
        if (is_rental) {
            /* The cloud has the request; the autoscaler stops before it has the answer. */
            break;
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_int_equal(step.kind, RR_AUTOSCALER_SCALE_OUT);
    test_controller_init(&successor, fixture->store, "n1");
    successor.now = controller->now;
    fake_store_reload(fixture->store, successor.core, successor.now);
    test_controller_delete_session(controller);
    test_controller_join(&successor, 9);
    test_controller_heartbeat(&successor, "vm-7", "a", false, 1, 1, 0, NULL);
    plan_with_outcome(&successor, RR_COMMAND_ANSWERED);
    assert_true(fake_store_find_attempt(fixture->store, "vm-7", "req-1", 0) == 0);
    bool retried = false;
    for (int i = 0; i < 60 && !fake_store_has_machine(fixture->store, "vm-7"); i++) {
        rr_autoscaler_step retry_step;
        test_controller_autoscaler_step(&successor, no_machines, &retry_step);
        if (retry_step.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *machine_ids = g_ptr_array_new();
            g_ptr_array_add(machine_ids, (gpointer) "vm-7");
            assert_string_equal(retry_step.rental, step.rental);
            retried = true;
            rr_core_record_scale_out_result(successor.core, successor.now, &retry_step, 200,
                                            machine_ids);
            g_ptr_array_free(machine_ids, TRUE);
        }
        rr_autoscaler_step_clear(&retry_step);
        successor.now += 0.2;
    }
    assert_true(retried);
    assert_true(fake_store_has_machine(fixture->store, "vm-7"));
    test_controller_heartbeat(&successor, "vm-7", "a", false, 1, 2,
                              rr_core_fencing_token(successor.core), NULL);
    plan_with_outcome(&successor, RR_COMMAND_ANSWERED);
    attempt = fake_store_find_attempt(fixture->store, "vm-7", "req-1", 0);
    assert_true(attempt != 0);
    rr_autoscaler_step_clear(&step);
    g_array_free(no_machines, TRUE);
    test_controller_clear(&successor);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(new_autoscaler_retries_rental_under_same_name),
        TEST(refused_rental_is_retried_under_new_name_in_other_zone),
        TEST(operator_machines_are_kept_and_idle_rented_ones_released),
        TEST(machine_missing_from_lagging_list_is_kept),
        TEST(catalogue_is_rewritten_until_store_cache_shows_it),
        TEST(task_of_machine_released_before_next_plan_is_placed_again),
        TEST(lost_tasks_cause_scale_out_before_ledger_is_cleared),
        cmocka_unit_test_setup_teardown(unrecorded_machine_takes_no_tasks,
                                        two_operator_owned_machines_setup, core_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
