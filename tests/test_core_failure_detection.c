/* Failure detection beyond missing heartbeats: unanswered commands, late copies of heartbeats,
 * reused machine names, failed tasks, and controllers that are cut off from the others. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* A machine sends heartbeats but does not answer commands. After two unanswered commands it takes
 * no new work. Later it is released, which proves that its task has ended and lets the task start
 * on another machine. */
static void machine_with_unanswered_commands_is_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job first_job = {.job_id = "req-1", .service = true},
                    second_job = {.job_id = "req-2", .service = true};
    send_heartbeat(controller, "vm-1", 1, NULL);
    send_heartbeat(controller, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, &first_job, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_without_answer_from(controller, NULL);
    const char *unresponsive = find_task_machine(fixture->store, "req-1", NULL),
               *responsive = strcmp(unresponsive, "vm-1") == 0 ? "vm-2" : "vm-1";
    bool released = false;
    for (uint64_t i = 2; i < 40 && !released; i++) {
        controller->now += 1;
        send_heartbeat(controller, unresponsive, i, NULL);
        send_heartbeat(controller, responsive, i, NULL);
        plan_without_answer_from(controller, unresponsive);
        if (i == 10) {
            fake_store_submit(fixture->store, &second_job, controller->now);
            fake_store_sync(fixture->store, controller->core, controller->now);
            plan_without_answer_from(controller, unresponsive);
            assert_string_equal(find_task_machine(fixture->store, "req-2", NULL), responsive);
        }
        /* Nothing proves yet that the task has ended. */
        assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), unresponsive);
        released = autoscaler_step_releases(fixture, unresponsive);
        assert_false(autoscaler_step_releases(fixture, responsive));
    }
    assert_true(released);
    for (int i = 0; i < 6; i++) {
        controller->now += 0.5;
        autoscaler_step_releases(fixture, unresponsive);
        plan_without_answer_from(controller, NULL);
    }
    assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), responsive);
}

/* If only this controller's path to a machine was interrupted, one answer makes the machine usable
 * again. */
static void one_answer_clears_suspicion(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    GPtrArray *suspects = g_ptr_array_new_with_free_func(g_free);
    send_heartbeat(controller, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_without_answer_from(controller, NULL);
    for (uint64_t i = 2; i < 8; i++) {
        controller->now += 1;
        send_heartbeat(controller, "vm-1", i, NULL);
        plan_without_answer_from(controller, "vm-1");
    }
    rr_core_list_suspects(controller->core, controller->now, suspects);
    assert_int_equal(suspects->len, 1);
    assert_string_equal(suspects->pdata[0], "vm-1");
    controller->now += 2;
    send_heartbeat(controller, "vm-1", 9, NULL);
    test_controller_plan(controller, &plan); /* repeats the start or probes the machine */
    assert_non_null(plan_find_batch(&plan, "vm-1"));
    rr_core_record_command_result(controller->core, controller->now, plan_find_batch(&plan, "vm-1"),
                                  RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&plan);
    g_ptr_array_set_size(suspects, 0);
    rr_core_list_suspects(controller->core, controller->now, suspects);
    assert_int_equal(suspects->len, 0);
    g_ptr_array_free(suspects, TRUE);
}

/* A controller that has just started cannot recognize a copy of a heartbeat that is late by more
 * than a lease. One heartbeat with the token of an earlier term does not make a machine
 * schedulable; a second, newer one does, and so does one with the present token. */
static void heartbeat_of_earlier_term_does_not_verify_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller restarted;
    restart_controller(fixture, &restarted);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .zone = "a"},
                      restarted.now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .zone = "b"},
                      restarted.now);
    fake_store_sync(fixture->store, restarted.core, restarted.now);
    test_controller_heartbeat(&restarted, "vm-1", "a", false, 1, 40, 1, NULL);
    plan_without_answer_from(&restarted, NULL);
    assert_null(find_task_machine(fixture->store, "req-1", NULL));
    restarted.now += 3;
    test_controller_heartbeat(&restarted, "vm-1", "a", false, 1, 41, 1, NULL);
    send_heartbeat(&restarted, "vm-2", 7, NULL);
    plan_without_answer_from(&restarted, NULL);
    assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), "vm-1");
    assert_string_equal(find_task_machine(fixture->store, "req-2", NULL), "vm-2");
    test_controller_clear(&restarted);
}

/* If this controller has seen a machine being recorded, the machine cannot have sent an earlier
 * heartbeat, so its first one makes it schedulable. */
static void newly_recorded_machine_takes_work_with_first_heartbeat(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    fake_store_put_machine(fixture->store, "vm-3", "a", false, false);
    fake_store_sync(fixture->store, controller->core, controller->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    test_controller_heartbeat(controller, "vm-3", "a", false, 1, 1, 0, NULL);
    plan_without_answer_from(controller, NULL);
    assert_true(fake_store_find_attempt(fixture->store, "vm-3", "req-1", 0) != 0);
}

/* A newer heartbeat digest from a peer verifies a machine, as a second heartbeat does. */
static void digest_after_heartbeat_verifies_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller restarted;
    restart_controller(fixture, &restarted);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .zone = "b"},
                      restarted.now);
    fake_store_sync(fixture->store, restarted.core, restarted.now);
    test_controller_heartbeat(&restarted, "vm-2", "b", false, 1, 40, 1, NULL);
    plan_without_answer_from(&restarted, NULL);
    assert_null(find_task_machine(fixture->store, "req-2", NULL));
    restarted.now += 3;
    rr_heartbeat_digest digest = {.machine = "vm-2", .worker_epoch = 1, .sequence = 41, .hash = 5};
    assert_true(rr_core_apply_heartbeat_digest(restarted.core, restarted.now, &digest, 0));
    plan_without_answer_from(&restarted, NULL);
    assert_string_equal(find_task_machine(fixture->store, "req-2", NULL), "vm-2");
    test_controller_clear(&restarted);
}

/* A late copy of a heartbeat does not make a removed machine known again. */
static void late_heartbeat_of_removed_machine_is_ignored(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_core_stats stats;
    send_heartbeat(controller, "vm-1", 5, NULL);
    send_heartbeat(controller, "vm-2", 5, NULL);
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_sync(fixture->store, controller->core, controller->now);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 6,
                              .fencing_token = rr_core_fencing_token(controller->core),
                              .spot_notice_s = -1};
    g_strlcpy(heartbeat.machine, "vm-1", sizeof heartbeat.machine);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_int_equal(rr_core_apply_heartbeat(controller->core, controller->now, &heartbeat, -1),
                     RR_HEARTBEAT_IGNORED);
    rr_core_get_stats(controller->core, &stats);
    assert_int_equal(stats.machines, 1);
}

/* A machine that the cloud has not listed is recorded only after it has answered this
 * controller. */
static void unverified_machine_is_not_recorded(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    test_controller_heartbeat(controller, "vm-7", "a", false, 1, 3, 0, NULL);
    for (int i = 0; i < 8; i++) {
        controller->now += 0.5;
        autoscaler_step_releases(fixture, "");
    }
    assert_false(fake_store_has_machine(fixture->store, "vm-7"));
    rr_core_record_machine_answer(
        controller->core, controller->now,
        &(rr_heartbeat_digest){.machine = "vm-7", .worker_epoch = 1, .sequence = 4});
    for (int i = 0; i < 4; i++) {
        autoscaler_step_releases(fixture, "");
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-7"));
}

/* A new machine comes up under the name of an earlier one, with its heartbeat sequence started
 * over. Its heartbeats look old and are ignored, yet it answers commands. It is released, and until
 * then the earlier machine's task stays reserved. */
static void machine_with_reused_name_is_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    send_heartbeat(controller, "vm-1", 500, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_without_answer_from(controller, NULL);
    assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), "vm-1");
    bool released = false;
    for (uint64_t i = 1; i < 30 && !released; i++) {
        controller->now += 1;
        send_heartbeat(controller, "vm-1", i, NULL);
        send_heartbeat(controller, "vm-2", 500 + i, NULL);
        rr_plan plan;
        test_controller_plan(controller, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            rr_heartbeat_digest digest = {
                .worker_epoch = 1, .sequence = strcmp(batch->machine, "vm-1") == 0 ? i : 500 + i};
            g_strlcpy(digest.machine, batch->machine, sizeof digest.machine);
            rr_core_record_machine_answer(controller->core, controller->now, &digest);
            rr_core_record_command_result(controller->core, controller->now, batch,
                                          RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        assert_string_equal(find_task_machine(fixture->store, "req-1", NULL), "vm-1");
        released = autoscaler_step_releases(fixture, "vm-1");
    }
    assert_true(released);
}

/* A controller loses the key-value store and its peers but not its workers, and stops replying to
 * the workers by its own clock. The other controllers receive no heartbeats, probe the machines
 * with the present token, and keep every machine that answers. */
static void machines_of_isolated_controller_are_probed_and_kept(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, isolated;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, true);
    test_controller_init(&isolated, fixture->store, "n1");
    fake_store_sync(fixture->store, isolated.core, isolated.now);
    test_controller_join(&isolated, 9);
    test_controller_begin_next_term(controller);
    fake_store_sync(fixture->store, isolated.core, isolated.now);
    send_heartbeat(controller, "vm-1", 1, NULL);
    send_heartbeat(controller, "vm-2", 1, NULL);
    /* From here on it is isolated: no session renewal and no change of its store cache. */
    rr_core_set_session(isolated.core, 9, isolated.now + 10);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 2,
                              .fencing_token = rr_core_fencing_token(isolated.core),
                              .spot_notice_s = -1};
    struct rr_heartbeat_reply reply;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    double reply_s = rr_heartbeat_reply_window_s(&isolated.config);
    rr_core_reply_to_heartbeat(isolated.core, isolated.now + reply_s - 0.1, &heartbeat, &reply);
    assert_int_equal(reply.status, 200);
    g_array_free(reply.commands, TRUE);
    assert_false(rr_core_is_ready(isolated.core, isolated.now + reply_s - 0.1));
    rr_core_reply_to_heartbeat(isolated.core, isolated.now + reply_s + 0.1, &heartbeat, &reply);
    assert_int_not_equal(reply.status, 200);
    /* A late session renewal does not prove knowledge of cancellations; the store cache does. */
    rr_core_set_session(isolated.core, 9, isolated.now + 1e6);
    rr_core_reply_to_heartbeat(isolated.core, isolated.now + reply_s + 0.1, &heartbeat, &reply);
    assert_int_not_equal(reply.status, 200);
    /* The lease that was renewed last expires within cancel_s of a cancellation made just after the
     * last moment that this store cache covers, with 0.1 % of clock drift and 0.9 s to spare. */
    assert_true(reply_s + 1.001 * isolated.config.lease_s < isolated.config.cancel_s - 0.9);
    /* Replies continue for most of the time that this leaves. */
    assert_true(reply_s > 0.9 * (isolated.config.cancel_s - isolated.config.lease_s));
    rr_heartbeat_clear(&heartbeat);
    /* Its session expires, and the others begin a term without it. */
    test_controller_delete_session(&isolated);
    test_controller_begin_next_term(controller);
    unsigned probes = 0;
    for (int i = 0; i < 40; i++) {
        rr_plan plan;
        controller->now += 1;
        test_controller_plan(controller, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            probes++;
            assert_int_equal(batch->commands->len, 0);
            assert_true(batch->fencing_token == rr_core_fencing_token(controller->core));
            send_heartbeat(controller, batch->machine, 10 + (uint64_t)i, NULL);
            rr_core_record_command_result(controller->core, controller->now, batch,
                                          RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        assert_false(autoscaler_step_releases(fixture, "vm-1"));
        assert_false(autoscaler_step_releases(fixture, "vm-2"));
    }
    assert_true(probes >= 4);
    test_controller_clear(&isolated);
}

/* Failures of two jobs on one machine are the machine's fault; failures of one job on many machines
 * are the job's fault. */
static void one_failing_job_quarantines_no_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
    }
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, controller->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2"}, controller->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-3", .cpus = 16},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    send_fleet_heartbeats(controller, 1, 4, 1);
    /* req-1 fails everywhere, req-2 on vm-1 only. */
    for (int i = 0; i < 4; i++) {
        test_controller_heartbeat(controller, ids[i], "a", false, 1, 2, 1, "req-1 0 5 ended:error",
                                  i == 0 ? "req-2 0 6 ended:error" : NULL, NULL);
    }
    controller->now += 1;
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    /* req-1 waits; req-3 is placed, because the machines other than vm-1 are not at fault. */
    assert_true(fake_store_find_attempt(fixture->store, "vm-2", "req-3", 0) ||
                fake_store_find_attempt(fixture->store, "vm-3", "req-3", 0) ||
                fake_store_find_attempt(fixture->store, "vm-4", "req-3", 0));
    for (int i = 0; i < 4; i++) {
        assert_true(fake_store_find_attempt(fixture->store, ids[i], "req-1", 0) == 0);
    }
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_rented_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(machine_with_unanswered_commands_is_released),
        TEST(one_answer_clears_suspicion),
        TEST(heartbeat_of_earlier_term_does_not_verify_machine),
        TEST(newly_recorded_machine_takes_work_with_first_heartbeat),
        TEST(digest_after_heartbeat_verifies_machine),
        TEST(late_heartbeat_of_removed_machine_is_ignored),
        TEST(unverified_machine_is_not_recorded),
        TEST(machine_with_reused_name_is_released),
        TEST(machines_of_isolated_controller_are_probed_and_kept),
        cmocka_unit_test_setup_teardown(one_failing_job_quarantines_no_machine, core_fixture_setup,
                                        core_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
