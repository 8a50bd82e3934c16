/* Which machines without heartbeats are released: dead and hung ones, but no machine of a
 * partitioned zone, and none because the controller itself paused or ran late. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "machine_fixture.h"

#include <string.h>

/* Records and lists vm-1 to vm-3 in zone a, each of which has sent one heartbeat. */
static void add_three_live_machines(core_fixture *fixture, GArray *listed) {
    record_fleet(fixture, 3, listed);
    send_fleet_heartbeats(&fixture->controller, 1, 3, 1);
}

/* While a whole zone is overdue, none of its machines is released. A single overdue machine is
 * released once probes of it have failed, and its record is deleted only after the release. */
static void partitioned_zone_is_kept_and_dead_machine_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    add_three_live_machines(fixture, machines);
    for (int i = 0; i < 20; i++) {
        controller->now += 2;
        plan_with_none_reachable(controller);
        assert_false(step_autoscaler_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step));
        rr_autoscaler_step_clear(&step);
    }
    /* The partition heals for vm-1 and vm-2 first. vm-3 is released only after it alone has been
     * overdue for the full time. */
    bool released = false;
    for (uint64_t i = 2; i < 60 && !released; i++) {
        controller->now += 1;
        test_controller_heartbeat(controller, "vm-1", "a", false, 1, i, 1, NULL);
        test_controller_heartbeat(controller, "vm-2", "a", false, 1, i, 1, NULL);
        plan_with_none_reachable(controller);
        test_controller_autoscaler_step(controller, machines, &step);
        if (step.kind == RR_AUTOSCALER_SCALE_IN) {
            released = true;
            assert_true(i > controller->config.tuning.dead_heartbeat_intervals *
                                controller->config.heartbeat_interval_s);
            assert_int_equal(step.machines->len, 1);
            assert_string_equal(step.machines->pdata[0], "vm-3");
            assert_true(fake_store_has_machine(fixture->store, "vm-3"));
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(released);
    g_array_free(machines, TRUE);
}

/* Heartbeats are staggered, so at the beginning of a partition the first machines have been silent
 * for as long as a dead machine while most of the zone still counts as alive. */
static void beginning_partition_releases_no_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    char id[16];
    controller->config.tuning.dead_heartbeat_intervals = 1.9;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    record_fleet(fixture, 12, machines);
    for (uint64_t tick = 1; tick < 160; tick++) {
        controller->now += 0.25;
        for (int i = 1; i <= 12 && tick < 40; i++) {
            g_snprintf(id, sizeof id, "vm-%d", i);
            if ((tick + (uint64_t)i) % 12 == 0) { /* each machine every 3 s */
                test_controller_heartbeat(controller, id, "a", false, 1, tick,
                                          rr_core_fencing_token(controller->core), NULL);
            }
        }
        if (tick < 40) {
            plan_with_one_reachable(controller, "vm-1");
        } else {
            plan_with_none_reachable(controller);
        }
        test_controller_autoscaler_step(controller, machines, &step);
        assert_int_not_equal(step.kind, RR_AUTOSCALER_SCALE_IN);
        rr_autoscaler_step_clear(&step);
    }
    g_array_free(machines, TRUE);
}

/* An autoscaler that starts while a zone is partitioned has received heartbeats from only a few of
 * the zone's machines. Machines with placements count as up, so that those few are not taken for
 * the whole zone. */
static void controller_started_during_partition_releases_no_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    rr_plan plan;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    record_fleet(fixture, 4, machines);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .task_count = 4, .cpus = 16},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    send_fleet_heartbeats(controller, 1, 4, 1);
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    test_controller restarted;
    test_controller_init(&restarted, fixture->store, "n0");
    g_strlcpy(restarted.config.zone, "b", RR_NAME_SIZE); /* outside of the partition */
    restarted.now = controller->now;
    fake_store_sync(fixture->store, restarted.core, restarted.now);
    test_controller_join(&restarted, 8);
    core_fixture restarted_fixture = {fixture->store, restarted};
    for (uint64_t i = 2; i < 40; i++) {
        restarted_fixture.controller.now += 1;
        test_controller_heartbeat(&restarted_fixture.controller, "vm-1", "a", false, 1, i, 1, NULL);
        plan_with_one_reachable(&restarted_fixture.controller, "vm-1");
        assert_false(
            step_autoscaler_until(&restarted_fixture, RR_AUTOSCALER_SCALE_IN, machines, &step));
        rr_autoscaler_step_clear(&step);
    }
    g_array_free(machines, TRUE);
    test_controller_clear(&restarted_fixture.controller);
}

/* Overdue machines are probed, but in a partitioned zone only a sample of two, so that commands to
 * reachable machines need not wait for free senders. */
static void partitioned_zone_gets_two_probes(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
    }
    fake_store_sync(fixture->store, controller->core, controller->now);
    for (int i = 0; i < 4; i++) {
        test_controller_heartbeat(controller, ids[i], "a", false, 1, 1, 1, NULL);
    }
    assert_int_equal(plan_with_none_reachable(controller), 0);
    controller->now += 7;
    test_controller_plan(controller, &plan);
    assert_int_equal(plan.command_batches->len, 2);
    rr_plan_clear(&plan); /* not answered yet */
    controller->now += 0.2;
    assert_int_equal(plan_with_none_reachable(controller), 0);
}

/* The controller pauses for `pause_s` seconds. Then the machines send heartbeats one after the
 * other within an interval, while probes fail. Returns the number of scale-in steps. */
static unsigned count_scale_ins_after_pause(core_fixture *fixture, double pause_s) {
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    const int machine_count = 12;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned scale_in_steps = 0;
    record_fleet(fixture, machine_count, machines);
    send_fleet_heartbeats(controller, 1, machine_count, 1);
    test_controller_autoscaler_step(controller, machines, &step);
    rr_autoscaler_step_clear(&step);
    controller->now += pause_s;
    for (int tick = 0; tick < 60; tick++) {
        controller->now += controller->config.heartbeat_interval_s / 12;
        if (tick < machine_count) {
            send_fleet_heartbeats(controller, tick + 1, tick + 1, 2);
        }
        if (tick % 12 == 11) { /* all machines, once an interval */
            send_fleet_heartbeats(controller, 1, machine_count, 3 + (uint64_t)tick);
        }
        plan_with_none_reachable(controller);
        test_controller_autoscaler_step(controller, machines, &step);
        scale_in_steps += step.kind == RR_AUTOSCALER_SCALE_IN;
        rr_autoscaler_step_clear(&step);
    }
    g_array_free(machines, TRUE);
    return scale_in_steps;
}

/* After a pause every machine looks overdue, because the controller received nothing meanwhile. */
static void paused_controller_releases_no_machine(void **state) {
    core_fixture *fixture = *state;
    /* After a pause shorter than a lease the controller is still the autoscaler. */
    assert_int_equal(count_scale_ins_after_pause(fixture, 9), 0);
    assert_int_equal(count_scale_ins_after_pause(fixture, 55), 0);
}

/* For `seconds` seconds, or until a machine is released, vm-1 and vm-2 send heartbeats, vm-3 sends
 * none and probes fail. timers_late: the controller's timers fire late. Returns the number of
 * machines released. */
static unsigned count_releases_without_third_machine(core_fixture *fixture, int seconds,
                                                     uint64_t *sequence, const GArray *machines,
                                                     bool timers_late) {
    test_controller *controller = &fixture->controller;
    unsigned released_count = 0;
    rr_autoscaler_step step;
    for (int tick = 0; tick < seconds && !released_count; tick++) {
        controller->now += 1;
        if (timers_late) {
            rr_core_record_late_timers(controller->core, controller->now);
        }
        ++*sequence;
        test_controller_heartbeat(controller, "vm-1", "a", false, 1, *sequence, 1, NULL);
        test_controller_heartbeat(controller, "vm-2", "a", false, 1, *sequence, 1, NULL);
        plan_with_none_reachable(controller);
        test_controller_autoscaler_step(controller, machines, &step);
        released_count += step.kind == RR_AUTOSCALER_SCALE_IN ? step.machines->len : 0;
        rr_autoscaler_step_clear(&step);
    }
    return released_count;
}

/* A controller whose timers fire late may have an unread heartbeat of every machine that seems
 * overdue, for seconds or for longer than a lease. Probes from that time count for nothing. */
static void controller_with_late_timers_releases_no_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    uint64_t sequence = 1;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    add_three_live_machines(fixture, machines);
    assert_int_equal(count_releases_without_third_machine(fixture,
                                                          (int)(1.5 * controller->config.lease_s),
                                                          &sequence, machines, true),
                     0);
    assert_true(rr_core_timers_late(controller->core, controller->now, 1));
    /* Once its heartbeat is read, vm-3 is kept. */
    test_controller_heartbeat(controller, "vm-3", "a", false, 1, ++sequence, 1, NULL);
    assert_int_equal(
        count_releases_without_third_machine(fixture, (int)controller->config.heartbeat_interval_s,
                                             &sequence, machines, false),
        0);
    /* vm-3 is released once it has been overdue for long enough while timers are on time. */
    assert_int_equal(count_releases_without_third_machine(
                         fixture, (int)(5 * controller->config.heartbeat_interval_s), &sequence,
                         machines, false),
                     1);
    g_array_free(machines, TRUE);
}

/* Eight of a zone's ten machines hang for good, while the zone's controller is connected or not.
 * Returns the number of machines in the first scale-in step within three leases, or 0 if there is
 * none. */
static unsigned count_releases_in_hung_zone(core_fixture *fixture, bool controller_connected) {
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    const int machine_count = 10, hung_count = 8;
    unsigned released_count = 0;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    controller->config.peer_count = 1;
    g_strlcpy(controller->config.zone, "b", RR_NAME_SIZE);
    g_strlcpy(controller->config.peers[0].name, "n1", RR_NAME_SIZE);
    g_strlcpy(controller->config.peers[0].zone, "a", RR_NAME_SIZE);
    record_fleet(fixture, machine_count, machines);
    for (int tick = 0; tick < 3 * controller->config.lease_s; tick++) {
        controller->now += 1;
        send_fleet_heartbeats(controller, 1, tick == 0 ? machine_count : machine_count - hung_count,
                              (uint64_t)tick + 1);
        if (controller_connected) {
            rr_core_record_peer_contact(controller->core, controller->now, 0);
        }
        plan_with_none_reachable(controller);
        for (int k = 0; k < 3; k++) {
            test_controller_autoscaler_step(controller, machines, &step);
            if (step.kind == RR_AUTOSCALER_SCALE_IN && released_count == 0) {
                assert_true(tick > controller->config.lease_s);
                released_count = step.machines->len;
            }
            rr_autoscaler_step_clear(&step);
        }
    }
    g_array_free(machines, TRUE);
    return released_count;
}

/* A connected controller in the zone shows that the zone is not partitioned. */
static void hung_machines_of_zone_with_connected_controller_are_released(void **state) {
    assert_int_equal(count_releases_in_hung_zone(*state, true), 8);
}

/* Without a connected controller in the zone, its silent machines may be partitioned. */
static void hung_machines_of_zone_without_connected_controller_are_kept(void **state) {
    assert_int_equal(count_releases_in_hung_zone(*state, false), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(partitioned_zone_is_kept_and_dead_machine_released),
        TEST(beginning_partition_releases_no_machine),
        TEST(controller_started_during_partition_releases_no_machine),
        TEST(partitioned_zone_gets_two_probes),
        TEST(paused_controller_releases_no_machine),
        TEST(controller_with_late_timers_releases_no_machine),
        TEST(hung_machines_of_zone_with_connected_controller_are_released),
        TEST(hung_machines_of_zone_without_connected_controller_are_kept),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
