/* Scale-out, scale-in, machine lists and the catalogue: nothing is rented twice, and no machine or
 * task is lost. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "machine_fixture.h"

#include <string.h>

/* The intent is recorded before the cloud is called. A new autoscaler repeats it under the same
 * name, so that the cloud answers as before and rents nothing more. */
static void new_autoscaler_repeats_rental_under_its_name(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, other;
    rr_autoscaler_step step;
    char first[RR_ID_SIZE];
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "hire/"), 1);
    g_strlcpy(first, step.rental, sizeof first);
    rr_autoscaler_step_clear(&step); /* the controller ends without an answer */
    test_controller_leave(node);
    test_controller_init(&other, fixture->store, "n0");
    other.now = node->now;
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 8);
    core_fixture second_fixture = {fixture->store, other};
    assert_true(step_until(&second_fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_string_equal(step.rental, first);
    GPtrArray *ids = g_ptr_array_new();
    g_ptr_array_add(ids, "vm-9");
    rr_core_scale_out_result(second_fixture.controller.core, second_fixture.controller.now, &step,
                             200, ids);
    rr_autoscaler_step_clear(&step);
    for (int i = 0; i < 4; i++) {
        step_until(&second_fixture, RR_AUTOSCALER_NONE, NULL, &step);
        rr_autoscaler_step_clear(&step);
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-9"));
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "hire/"), 0);
    g_ptr_array_free(ids, TRUE);
    test_controller_clear(&second_fixture.controller);
}

/* No two requests share a name, and a zone without capacity is avoided for a while. */
static void refused_rental_is_repeated_under_new_name_in_other_zone(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_autoscaler_step step;
    char first[RR_ID_SIZE];
    GPtrArray *none = g_ptr_array_new();
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    g_strlcpy(first, step.rental, sizeof first);
    rr_core_scale_out_result(node->core, node->now, &step, 503, none);
    rr_autoscaler_step_clear(&step);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_string_not_equal(step.rental, first);
    assert_string_equal(step.zone, "b");
    rr_autoscaler_step_clear(&step);
    g_ptr_array_free(none, TRUE);
}

/* Machines that were up before the first term, or before anything was rented, are the operators'
 * own and stay, even if a list gives them no age. Others are adopted as rented and released when
 * idle. */
static void operator_machines_stay_and_idle_rented_ones_are_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    list_machine(machines, "vm-1", "a", RR_LISTED_RUNNING, 500);
    list_machine(machines, "vm-4", "a", RR_LISTED_RUNNING, 0);
    assert_true(step_until(fixture, RR_AUTOSCALER_NONE, machines, &step));
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-4"));
    fake_store_put_machine(fixture->store, "vm-3", "b", false,
                           false); /* now something was rented */
    fake_store_sync(fixture->store, node->core, node->now);
    node->now += 30;
    list_machine(machines, "vm-2", "a", RR_LISTED_RUNNING, 10);
    list_machine(machines, "vm-3", "a", RR_LISTED_RUNNING, 10);
    assert_true(step_until(fixture, RR_AUTOSCALER_NONE, machines, &step));
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    assert_true(fake_store_has_machine(fixture->store, "vm-2"));
    bool released = false;
    for (uint64_t i = 0; i < 60 && !released; i++) {
        node->now += 2;
        test_controller_heartbeat(node, "vm-1", "a", false, 1, i + 1, 1, NULL);
        test_controller_heartbeat(node, "vm-2", "a", false, 1, i + 1, 1, NULL);
        test_controller_heartbeat(node, "vm-4", "a", false, 1, i + 1, 1, NULL);
        released = step_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step);
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

/* A machine that was never listed may be missing from a list that lags. One that was listed and is
 * missing for more than twice the lag has gone. */
static void machine_missing_from_lagging_list_is_kept(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_autoscaler_step step;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *one = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    list_machine(one, "vm-1", "a", RR_LISTED_RUNNING, 3);
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    /* The first step begins the term. */
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(node->core, node->now, node->now, &step);
    rr_autoscaler_step_clear(&step);
    node->now += 3;
    rr_core_machines_listed(node->core, node->now, node->now, node->now, none);
    step_until(fixture, RR_AUTOSCALER_NONE, none, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    rr_core_machines_listed(node->core, node->now, node->now, node->now, one);
    rr_core_machines_listed(node->core, node->now + 9, node->now + 9, node->now + 9, none);
    node->now += 9;
    step_until(fixture, RR_AUTOSCALER_NONE, one, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    node->now += 5;
    rr_core_machines_listed(node->core, node->now, node->now, node->now, none);
    step_until(fixture, RR_AUTOSCALER_NONE, none, &step);
    rr_autoscaler_step_clear(&step);
    assert_false(fake_store_has_machine(fixture->store, "vm-1"));
    g_array_free(none, TRUE);
    g_array_free(one, TRUE);
}

/* A machine is listed as failed, loses its record and is released before the owner of its task has
 * planned repeated_step: the machine stays known while the ledger refers to it, and the task is
 * placed elsewhere. */
static void failed_machine_released_before_its_owner_plans(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-000001"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-000001", 0) != 0);
    list_machine(machines, "vm-1", "a", RR_LISTED_FAILED, 100);
    bool released = false;
    for (int i = 0; i < 10 && !released; i++) {
        node->now += 5;
        released = step_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step);
        if (released) {
            assert_false(fake_store_has_machine(fixture->store, "vm-1"));
            rr_core_scale_in_result(node->core, node->now, step.machines);
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(released);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-2", "a", false, 1, 1, 1, NULL);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        test_controller_plan(node, &plan);
        rr_plan_clear(&plan);
    }
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-000001", 0) != 0);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-000001", 0) == 0);
    g_array_free(machines, TRUE);
}

/* Tasks on machines that are gone need room at once, even if their owner has no writes left to
 * clear them from the ledger. */
static void lost_tasks_cause_scale_out_before_ledger_is_cleared(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    rr_autoscaler_step step;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, 1, NULL);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-000001", .task_count = 3, .cpus = 4},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 3);
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_sync(fixture->store, node->core, node->now);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 3);
    rr_autoscaler_step_clear(&step);
}

/* Whatever becomes of one transaction, the catalogue is written until the store cache shows it. */
static void catalogue_is_written_until_cache_shows_it(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
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
    assert_true(step_until(fixture, RR_AUTOSCALER_CATALOG, NULL, &step));
    rr_autoscaler_step_clear(&step);
    rr_core_catalog_read(node->core, node->now, machine_types);
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(node->core, node->now, node->now, &step);
    assert_int_equal(step.kind, RR_AUTOSCALER_COMMIT);
    rr_autoscaler_step_clear(&step); /* not committed, as if voided by a change of term */
    step_until(fixture, RR_AUTOSCALER_NONE, NULL, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_version(fixture->store, RR_KEY_ROOT "build/m2") != 0);
    rr_machine_type_clear(&type);
    g_array_free(machine_types, TRUE);
}

/* Rented machines may send heartbeats before any record names them, and the autoscaler that rented
 * them may end then. No work goes there until a record exists; the next autoscaler repeats the
 * intent under its name and records each machine once. */
static void machine_heard_before_its_record_takes_no_work(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, next;
    uint64_t attempt;
    rr_autoscaler_step step;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_delete_machine(fixture->store, "vm-2");
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 40; i++) {
        test_controller_autoscaler_step(node, none, &step);
        bool rental = step.kind == RR_AUTOSCALER_SCALE_OUT;
        node->now += 0.5;
        if (rental) {
            break; /* the cloud has the request, the autoscaler ends without its answer */
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_int_equal(step.kind, RR_AUTOSCALER_SCALE_OUT);
    test_controller_init(&next, fixture->store, "n1");
    next.now = node->now;
    fake_store_reload(fixture->store, next.core, next.now);
    test_controller_leave(node);
    test_controller_join(&next, 9);
    test_controller_heartbeat(&next, "vm-7", "a", false, 1, 1, 0, NULL);
    plan_with_outcome(&next, RR_COMMAND_ANSWERED);
    assert_true(fake_store_attempt(fixture->store, "vm-7", "req-1", 0) == 0);
    bool repeated = false;
    for (int i = 0; i < 60 && !fake_store_has_machine(fixture->store, "vm-7"); i++) {
        rr_autoscaler_step repeated_step;
        test_controller_autoscaler_step(&next, none, &repeated_step);
        if (repeated_step.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *ids = g_ptr_array_new();
            g_ptr_array_add(ids, (gpointer) "vm-7");
            assert_string_equal(repeated_step.rental, step.rental);
            repeated = true;
            rr_core_scale_out_result(next.core, next.now, &repeated_step, 200, ids);
            g_ptr_array_free(ids, TRUE);
        }
        rr_autoscaler_step_clear(&repeated_step);
        next.now += 0.2;
    }
    assert_true(repeated);
    assert_true(fake_store_has_machine(fixture->store, "vm-7"));
    test_controller_heartbeat(&next, "vm-7", "a", false, 1, 2, rr_core_fencing_token(next.core),
                              NULL);
    plan_with_outcome(&next, RR_COMMAND_ANSWERED);
    attempt = fake_store_attempt(fixture->store, "vm-7", "req-1", 0);
    assert_true(attempt != 0);
    rr_autoscaler_step_clear(&step);
    g_array_free(none, TRUE);
    test_controller_clear(&next);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(new_autoscaler_repeats_rental_under_its_name),
        TEST(refused_rental_is_repeated_under_new_name_in_other_zone),
        TEST(operator_machines_stay_and_idle_rented_ones_are_released),
        TEST(machine_missing_from_lagging_list_is_kept),
        TEST(catalogue_is_written_until_cache_shows_it),
        TEST(failed_machine_released_before_its_owner_plans),
        TEST(lost_tasks_cause_scale_out_before_ledger_is_cleared),
        cmocka_unit_test_setup_teardown(machine_heard_before_its_record_takes_no_work,
                                        two_own_machines_setup, core_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
