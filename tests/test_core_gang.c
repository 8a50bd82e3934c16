/* Phases of gangs, whose tasks run together or not at all, and the loss of any of their tasks. */
#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"
#include "core_fixture.h"
#include "gang_fixture.h"

#include "core/scheduling/gang_phase.h"

#include <string.h>

/* The tasks of a gang share one attempt number, by which they find each other. */
static void gang_is_reserved_in_one_zone_under_one_attempt(void **state) {
    core_fixture *fixture = *state;
    uint64_t first_attempt, attempt;
    gang_submit_and_start(fixture, &gang_job);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
    int in_zone_a = gang_find_machine(fixture, 0, &first_attempt) <= GANG_MACHINES_IN_ZONE_A;
    for (uint32_t task = 1; task < 3; task++) {
        assert_int_equal(gang_find_machine(fixture, task, &attempt) <= GANG_MACHINES_IN_ZONE_A,
                         in_zone_a);
        assert_true(attempt == first_attempt);
    }
}

/* What happens to a gang or to one of its machines. */
enum gang_event {
    NO_EVENT,
    TASK_LOST,       /* the machine shows its task as ended for want of its peers */
    TASK_COMPLETED,  /* the machine shows its task as done */
    LATER_EPOCH,     /* the worker's lease has expired: it has a new epoch and no task */
    MACHINE_DELETED, /* the machine's record is deleted */
    SPOT_NOTICE,     /* the machine will be reclaimed in 20 s */
    TASK_ABSENT,     /* the machine does not show its task after 0.6 of gang_wait_s */
    CANCELLED,       /* the user cancels the job */
    EVENT_COUNT
};

#define TESTED_PHASES 3 /* from RR_GANG_RESERVED to RR_GANG_RUNNING */

/* The state in which machines show the gang's tasks, indexed by rr_gang_phase. NULL: no task. */
static const char *const state_in_phase[] = {NULL, NULL, "waiting", "running"};

/* Applies the event to the gang in phase `before`, or to its machine vm-<machine>. */
static void apply_event(core_fixture *fixture, enum gang_event event, int machine,
                        enum rr_gang_phase before) {
    test_controller *controller = &fixture->controller;
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", machine);
    switch (event) {
    case NO_EVENT:
    case EVENT_COUNT:
        break;
    case TASK_LOST:
        gang_send_heartbeat(controller, machine, "req-1", "ended:peers", 1, -1);
        break;
    case TASK_COMPLETED:
        gang_send_heartbeat(controller, machine, "req-1", "ended:done", 1, -1);
        break;
    case LATER_EPOCH:
        gang_send_heartbeat(controller, machine, "req-1", NULL, 2, -1);
        break;
    case MACHINE_DELETED:
        fake_store_delete_machine(fixture->store, id);
        fake_store_sync(fixture->store, controller->core, controller->now);
        break;
    case SPOT_NOTICE:
        gang_send_heartbeat(controller, machine, "req-1", state_in_phase[before], 1, 20);
        break;
    case TASK_ABSENT:
        controller->now += controller->config.gang_wait_s * 0.6;
        gang_send_heartbeats(controller, "req-1", state_in_phase[before]);
        gang_send_heartbeat(controller, machine, "req-1", NULL, 1, -1);
        break;
    case CANCELLED:
        test_controller_cancel(controller, "req-1");
        break;
    }
}

/* Returns the phase that follows the event. A spot notice changes nothing while no machine shows a
 * task. */
static enum rr_gang_phase phase_after(enum gang_event event, enum rr_gang_phase before) {
    static const enum rr_gang_phase after_reserved[EVENT_COUNT] = {
        [NO_EVENT] = RR_GANG_RESERVED,        [TASK_LOST] = RR_GANG_STOPPING,
        [TASK_COMPLETED] = RR_GANG_ENDING,    [LATER_EPOCH] = RR_GANG_STOPPING,
        [MACHINE_DELETED] = RR_GANG_STOPPING, [SPOT_NOTICE] = RR_GANG_RESERVED,
        [TASK_ABSENT] = RR_GANG_STOPPING,     [CANCELLED] = RR_GANG_ENDING};
    static const enum rr_gang_phase after_shown[EVENT_COUNT] = {
        [NO_EVENT] = RR_GANG_QUEUED,          [TASK_LOST] = RR_GANG_STOPPING,
        [TASK_COMPLETED] = RR_GANG_ENDING,    [LATER_EPOCH] = RR_GANG_STOPPING,
        [MACHINE_DELETED] = RR_GANG_STOPPING, [SPOT_NOTICE] = RR_GANG_STOPPING,
        [TASK_ABSENT] = RR_GANG_STOPPING,     [CANCELLED] = RR_GANG_ENDING};
    if (event == NO_EVENT) {
        return before;
    }
    return before == RR_GANG_RESERVED ? after_reserved[event] : after_shown[event];
}

/* Returns how many tasks are told to stop: all whose end the event does not prove. Those that no
 * machine shows are told to start and stop, which leaves them ended, since a copy of their start
 * may arrive. */
static unsigned stops_after(enum gang_event event, enum rr_gang_phase before) {
    static const unsigned after_reserved[EVENT_COUNT] = {
        [NO_EVENT] = 0,        [TASK_LOST] = 2,   [TASK_COMPLETED] = 2, [LATER_EPOCH] = 2,
        [MACHINE_DELETED] = 2, [SPOT_NOTICE] = 1, [TASK_ABSENT] = 3,    [CANCELLED] = 3};
    if (before == RR_GANG_RESERVED) {
        return after_reserved[event];
    }
    if (event == NO_EVENT) {
        return 0;
    }
    return event == SPOT_NOTICE || event == TASK_ABSENT || event == CANCELLED ? 3 : 2;
}

/* For each pair of a phase and an event, brings a gang into the phase, applies the event, and
 * checks the phase that follows and whether the gang's tasks are stopped, with time to save or
 * without. */
static void each_event_leads_to_expected_phase(void **state) {
    (void)state;
    for (int row = 0; row < TESTED_PHASES * EVENT_COUNT; row++) {
        enum rr_gang_phase before = (enum rr_gang_phase)(RR_GANG_RESERVED + row / EVENT_COUNT);
        enum gang_event event = (enum gang_event)(row % EVENT_COUNT);
        core_fixture *fixture;
        uint64_t attempt;
        double grace_s;
        gang_setup((void **)&fixture);
        test_controller *controller = &fixture->controller;
        gang_submit_and_start(fixture, &gang_job);
        assert_int_equal(gang_get_phase(controller, "req-1"), RR_GANG_RESERVED);
        if (before != RR_GANG_RESERVED) {
            gang_send_heartbeats(controller, "req-1", state_in_phase[before]);
        }
        assert_int_equal(gang_get_phase(controller, "req-1"), before);
        int machine = gang_find_machine(fixture, 1, &attempt);
        controller->now += 2;
        gang_send_heartbeats(controller, "req-1", state_in_phase[before]);
        apply_event(fixture, event, machine, before);
        assert_int_equal(gang_get_phase(controller, "req-1"), phase_after(event, before));
        unsigned stops = gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", &grace_s);
        assert_int_equal(stops, stops_after(event, before));
        if (stops > 0) {
            bool saves = event == SPOT_NOTICE && before != RR_GANG_RESERVED;
            assert_true(saves ? grace_s >= 3 : grace_s == 0);
        }
        core_fixture_teardown((void **)&fixture);
    }
}

/* One task of a running gang is lost when its worker's lease expires; the others are told to stop
 * at once. No task is placed again before all are proven terminated; then all are placed together
 * under a new attempt. */
static void gang_with_lost_task_is_placed_again_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    uint64_t first_attempt, attempt;
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    int lost_machine = gang_find_machine(fixture, 1, &first_attempt);
    controller->now += 1;
    gang_send_heartbeat(controller, lost_machine, "req-1", NULL, 2, -1);
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", NULL), 2);
    for (int i = 0; i < 6; i++) { /* the machine of task 2 is unreachable */
        controller->now += 1;
        int unreported_machine = gang_find_machine(fixture, 2, &attempt);
        for (int k = 1; k <= GANG_MACHINE_COUNT; k++) {
            if (k != unreported_machine) {
                gang_send_heartbeat(controller, k, "req-1",
                                    k == lost_machine ? NULL : "ended:peers",
                                    k == lost_machine ? 2 : 1, -1);
            }
        }
        gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", NULL);
        assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
        assert_true(gang_find_machine(fixture, 2, &attempt) == unreported_machine &&
                    attempt == first_attempt);
    }
    controller->now += 1;
    for (int k = 1; k <= GANG_MACHINE_COUNT; k++) {
        gang_send_heartbeat(controller, k, "req-1", k == lost_machine ? NULL : "ended:peers",
                            k == lost_machine ? 2 : 1, -1);
    }
    for (int i = 0; i < 3; i++) {
        gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
        controller->now += 0.5;
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
    assert_true(gang_shared_attempt(fixture, 3) > first_attempt);
}

/* One completed task completes the gang, in one transaction, before which the job is not reported
 * as done. */
static void gang_completes_in_one_transaction(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_job_view view;
    uint64_t attempt;
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_string_equal(view.state, "running");
    controller->now += 30;
    gang_send_heartbeats(controller, "req-1", "running");
    int machine = gang_find_machine(fixture, 0, &attempt);
    uint64_t revision_before = fixture->store->revision;
    gang_send_heartbeat(controller, machine, "req-1", "ended:done", 1, -1);
    gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
    controller->now += 0.5;
    gang_send_heartbeats(controller, "req-1", "ended:done");
    gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_true(view.done && view.done_count == 3);
    assert_int_equal(fixture->store->revision, revision_before + 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* One machine shows a completed task while the others are unreachable: the job is done, and the
 * remaining placements are deleted once their tasks are proven terminated. */
static void gang_completes_despite_unreachable_machines(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_job_view view;
    uint64_t attempt;
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    controller->now += 30;
    gang_send_heartbeats(controller, "req-1", "running");
    gang_send_heartbeat(controller, gang_find_machine(fixture, 0, &attempt), "req-1", "ended:done",
                        1, -1);
    for (int i = 0; i < 4; i++) {
        gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
        controller->now += 0.5;
    }
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    gang_send_heartbeats(controller, "req-1", "ended:done");
    gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* After a spot notice of one machine, all tasks of the gang are stopped with time to save. The
 * first exit must not cause a second stop without grace. */
static void spot_notice_gives_all_tasks_time_to_save(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    uint64_t attempt;
    double grace_s;
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    int machine = gang_find_machine(fixture, 0, &attempt);
    gang_send_heartbeat(controller, machine, "req-1", "running", 1, 20);
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", &grace_s), 3);
    assert_true(grace_s >= 3 && grace_s <= 3 + controller->config.gang_peer_s);
    controller->now += 1.6;
    gang_send_heartbeats(controller, "req-1", "flushing");
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", NULL), 0);
    controller->now += 1.6;
    gang_send_heartbeat(controller, machine, "req-1", "ended:halted", 1, 18);
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_STOP, "req-1", NULL), 0);
}

/* A gang stops while the start of one of its tasks is unanswered and may still arrive. The
 * placement stays until the machine has recorded the attempt as exited, so that the late start has
 * no effect; only then does the next attempt begin. */
static void unanswered_start_delays_next_attempt(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    uint64_t first_attempt, attempt;
    rr_plan plan;
    gang_send_heartbeats(controller, "req-1", NULL);
    submit_gang_job(fixture, &gang_job);
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    int machine = gang_find_machine(fixture, 0, &first_attempt);
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", machine);
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        bool unanswered = strcmp(batch->machine, id) == 0;
        rr_core_record_command_result(controller->core, controller->now, batch,
                                      unanswered ? RR_COMMAND_OUTCOME_UNKNOWN : RR_COMMAND_ANSWERED,
                                      !unanswered);
    }
    rr_plan_clear(&plan);
    for (int k = 1; k <= GANG_MACHINE_COUNT; k++) {
        gang_send_heartbeat(controller, k, "req-1", k == machine ? NULL : "ended:incomplete", 1,
                            -1);
    }
    controller->now += 1.6;
    for (int k = 1; k <= GANG_MACHINE_COUNT; k++) {
        gang_send_heartbeat(controller, k, "req-1", k == machine ? NULL : "ended:incomplete", 1,
                            -1);
    }
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, id, RR_COMMAND_START, "req-1", 0));
    assert_non_null(plan_find_command(&plan, id, RR_COMMAND_STOP, "req-1", 0));
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_record_command_result(controller->core, controller->now,
                                      g_ptr_array_index(plan.command_batches, i),
                                      RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    assert_true(gang_find_machine(fixture, 0, &attempt) == machine && attempt == first_attempt);
    controller->now += 1;
    gang_send_heartbeats(controller, "req-1", "ended:halted");
    for (int i = 0; i < 3; i++) {
        gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
        controller->now += 0.5;
    }
    gang_find_machine(fixture, 0, &attempt);
    assert_true(attempt > first_attempt);
}

/* A new owner of the team derives a gang's phase from the ledger and the heartbeats alone. */
static void new_owner_derives_same_phase(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, new_owner;
    uint64_t attempt;
    gang_submit_and_start(fixture, &gang_job);
    gang_send_heartbeats(controller, "req-1", "running");
    int machine = gang_find_machine(fixture, 1, &attempt);
    gang_send_heartbeat(controller, machine, "req-1", "ended:peers", 1, -1);
    assert_int_equal(gang_get_phase(controller, "req-1"), RR_GANG_STOPPING);
    test_controller_init(&new_owner, fixture->store, "n1");
    new_owner.now = controller->now;
    fake_store_reload(fixture->store, new_owner.core, new_owner.now);
    test_controller_delete_session(controller);
    test_controller_join(&new_owner, 9);
    for (int k = 1; k <= GANG_MACHINE_COUNT; k++) {
        gang_send_heartbeat(&new_owner, k, "req-1", k == machine ? "ended:peers" : "running", 1,
                            -1);
    }
    assert_int_equal(gang_get_phase(&new_owner, "req-1"), RR_GANG_STOPPING);
    assert_int_equal(gang_plan_and_answer(&new_owner, RR_COMMAND_STOP, "req-1", NULL), 2);
    test_controller_clear(&new_owner);
}

/* A gang with more tasks than one ledger record holds under the store's next limits is reserved in
 * one transaction and completed in one. */
static void gang_in_several_records_takes_one_transaction(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job large = gang_job;
    const char *const job_ids[] = {"req-1"};
    rr_job_view view;
    controller->config.next_value_kb = 2;
    controller->config.next_transaction_changes_max = 4;
    fixture->store->value_bytes_max = (size_t)2 * 1024;
    fixture->store->change_count_max = 4;
    large.cpus = large.mem_gb = 1;
    large.one_zone = false;
    large.task_count = 60;
    gang_send_heartbeats(controller, "req-1", NULL);
    submit_gang_job(fixture, &large);
    uint64_t revision_before = fixture->store->revision;
    gang_plan_and_answer(controller, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
    assert_int_equal(fixture->store->revision, revision_before + 1);
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/") == 2);
    gang_shared_attempt(fixture, 60);
    gang_report_jobs(controller, job_ids, 1, 60, gang_report_task_running);
    assert_int_equal(gang_get_phase(controller, "req-1"), RR_GANG_RUNNING);
    controller->now += 20;
    gang_report_jobs(controller, job_ids, 1, 60, gang_report_task_done);
    revision_before = fixture->store->revision;
    gang_plan_and_answer(controller, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_get_job_view(controller->core, "req-1", controller->now, &view);
    assert_true(view.done);
    assert_int_equal(fixture->store->revision, revision_before + 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, gang_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(gang_is_reserved_in_one_zone_under_one_attempt),
                                       cmocka_unit_test(each_event_leads_to_expected_phase),
                                       TEST(gang_with_lost_task_is_placed_again_whole),
                                       TEST(gang_completes_in_one_transaction),
                                       TEST(gang_completes_despite_unreachable_machines),
                                       TEST(spot_notice_gives_all_tasks_time_to_save),
                                       TEST(unanswered_start_delays_next_attempt),
                                       TEST(new_owner_derives_same_phase),
                                       TEST(gang_in_several_records_takes_one_transaction)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
