/* Gangs run together or not at all, through every phase and every loss. */
#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"
#include "core_fixture.h"
#include "gang_fixture.h"

#include "core/scheduling/gang_phase.h"

#include <string.h>

/* The tasks of a gang find each other by their attempt. */
static void a_gang_is_reserved_in_one_zone_under_one_attempt(void **state) {
    core_fixture *fixture = *state;
    uint64_t first, attempt;
    gang_start(fixture, &gang_job);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
    int zone = gang_machine_of(fixture, 0, &first) <= GANG_MACHINES_IN_A;
    for (uint32_t task = 1; task < 3; task++) {
        assert_int_equal(gang_machine_of(fixture, task, &attempt) <= GANG_MACHINES_IN_A, zone);
        assert_true(attempt == first);
    }
}

enum gang_event {
    NO_EVENT,
    TASK_LOST,
    TASK_COMPLETED,
    LATER_EPOCH,
    MACHINE_GONE,
    SPOT_NOTICE,
    TASK_ABSENT,
    CANCELLED,
    EVENTS
};

/* The state in which machines show tasks in each phase. */
static const char *const shown_in[] = {NULL, NULL, "waiting", "running"};

/* Lets one thing happen to the gang, or to this machine of it. */
static void let_happen(core_fixture *fixture, enum gang_event event, int machine,
                       enum rr_gang_phase before) {
    test_controller *node = &fixture->controller;
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", machine);
    switch (event) {
    case NO_EVENT:
    case EVENTS:
        break;
    case TASK_LOST:
        gang_show(node, machine, "req-1", "ended:peers", 1, -1);
        break;
    case TASK_COMPLETED:
        gang_show(node, machine, "req-1", "ended:done", 1, -1);
        break;
    case LATER_EPOCH:
        gang_show(node, machine, "req-1", NULL, 2, -1);
        break;
    case MACHINE_GONE:
        fake_store_delete_machine(fixture->store, id);
        fake_store_sync(fixture->store, node->core, node->now);
        break;
    case SPOT_NOTICE:
        gang_show(node, machine, "req-1", shown_in[before], 1, 20);
        break;
    case TASK_ABSENT:
        node->now += node->config.gang_wait_s * 0.6;
        gang_show_all(node, "req-1", shown_in[before]);
        gang_show(node, machine, "req-1", NULL, 1, -1);
        break;
    case CANCELLED:
        test_controller_cancel(node, "req-1");
        break;
    }
}

/* The phase that follows. A spot notice changes nothing while no machine shows a task. */
static enum rr_gang_phase phase_after(enum gang_event event, enum rr_gang_phase before) {
    static const enum rr_gang_phase after_reserved[EVENTS] = {
        RR_GANG_RESERVED, RR_GANG_STOPPING, RR_GANG_ENDING,   RR_GANG_STOPPING,
        RR_GANG_STOPPING, RR_GANG_RESERVED, RR_GANG_STOPPING, RR_GANG_ENDING};
    static const enum rr_gang_phase after_shown[EVENTS] = {
        RR_GANG_QUEUED,   RR_GANG_STOPPING, RR_GANG_ENDING,   RR_GANG_STOPPING,
        RR_GANG_STOPPING, RR_GANG_STOPPING, RR_GANG_STOPPING, RR_GANG_ENDING};
    if (event == NO_EVENT) {
        return before;
    }
    return before == RR_GANG_RESERVED ? after_reserved[event] : after_shown[event];
}

/* How many tasks are told to stop: all that are shown, without the lost one. */
static unsigned stops_after(enum gang_event event, enum rr_gang_phase before) {
    if (before == RR_GANG_RESERVED || event == NO_EVENT) {
        return 0;
    }
    return event == SPOT_NOTICE || event == CANCELLED ? 3 : 2;
}

/* Each row brings a gang into a phase, lets one thing happen to one of its machines, and says which
 * phase it is in then and whether its tasks are stopped, with time to save or without. */
static void every_event_leads_to_its_phase(void **state) {
    (void)state;
    for (int row = 0; row < 3 * EVENTS; row++) {
        enum rr_gang_phase before = (enum rr_gang_phase)(RR_GANG_RESERVED + row / EVENTS);
        enum gang_event event = (enum gang_event)(row % EVENTS);
        core_fixture *fixture;
        uint64_t attempt;
        double grace_s;
        gang_setup((void **)&fixture);
        test_controller *node = &fixture->controller;
        gang_start(fixture, &gang_job);
        assert_int_equal(gang_phase(node, "req-1"), RR_GANG_RESERVED);
        if (before != RR_GANG_RESERVED) {
            gang_show_all(node, "req-1", shown_in[before]);
        }
        assert_int_equal(gang_phase(node, "req-1"), before);
        int machine = gang_machine_of(fixture, 1, &attempt);
        node->now += 2;
        gang_show_all(node, "req-1", shown_in[before]);
        let_happen(fixture, event, machine, before);
        assert_int_equal(gang_phase(node, "req-1"), phase_after(event, before));
        unsigned stops = gang_plan(node, RR_COMMAND_STOP, "req-1", &grace_s);
        assert_int_equal(stops, stops_after(event, before));
        if (stops > 0) {
            assert_true(event == SPOT_NOTICE ? grace_s >= 3 : grace_s == 0);
        }
        core_fixture_teardown((void **)&fixture);
    }
}

/* One task of a running gang is lost with its machine's lease; the others are told at once and
 * exit. Nothing is placed before all are proven terminated, then all tasks under a new attempt. */
static void a_gang_with_a_lost_task_is_placed_again_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    uint64_t first, attempt;
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    int machine = gang_machine_of(fixture, 1, &first);
    node->now += 1;
    gang_show(node, machine, "req-1", NULL, 2, -1);
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-1", NULL), 2);
    for (int i = 0; i < 6; i++) { /* one of the others runs on, or is unreachable */
        node->now += 1;
        int slow = gang_machine_of(fixture, 2, &attempt);
        for (int k = 1; k <= GANG_MACHINES; k++) {
            if (k != slow) {
                gang_show(node, k, "req-1", k == machine ? NULL : "ended:peers",
                          k == machine ? 2 : 1, -1);
            }
        }
        gang_plan(node, RR_COMMAND_STOP, "req-1", NULL);
        assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
        assert_true(gang_machine_of(fixture, 2, &attempt) == slow && attempt == first);
    }
    node->now += 1;
    for (int k = 1; k <= GANG_MACHINES; k++) {
        gang_show(node, k, "req-1", k == machine ? NULL : "ended:peers", k == machine ? 2 : 1, -1);
    }
    for (int i = 0; i < 3; i++) {
        gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
    assert_true(gang_shared_attempt(fixture, 3) > first);
}

/* One completed task means that all are. No controller reports the job as done before. */
static void a_gang_completes_in_one_change(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_job_view view;
    uint64_t attempt;
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_string_equal(view.state, "running");
    node->now += 30;
    gang_show_all(node, "req-1", "running");
    int machine = gang_machine_of(fixture, 0, &attempt);
    uint64_t before = fixture->store->revision;
    gang_show(node, machine, "req-1", "ended:done", 1, -1);
    gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
    node->now += 0.5;
    gang_show_all(node, "req-1", "ended:done");
    gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done && view.done_count == 3);
    assert_int_equal(fixture->store->revision, before + 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* One machine shows a completed task while another is unreachable: the job is done, and the
 * remaining placements go when they are proven terminated. */
static void a_gang_completes_without_an_unreachable_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_job_view view;
    uint64_t attempt;
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    node->now += 30;
    gang_show_all(node, "req-1", "running");
    gang_show(node, gang_machine_of(fixture, 0, &attempt), "req-1", "ended:done", 1, -1);
    for (int i = 0; i < 4; i++) {
        gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    gang_show_all(node, "req-1", "ended:done");
    gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* No second stop without grace follows when the first task exits. */
static void a_spot_notice_lets_all_tasks_save(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    uint64_t attempt;
    double grace_s;
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    int machine = gang_machine_of(fixture, 0, &attempt);
    gang_show(node, machine, "req-1", "running", 1, 20);
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-1", &grace_s), 3);
    assert_true(grace_s >= 3 && grace_s <= 3 + node->config.gang_peer_s);
    node->now += 1.6;
    gang_show_all(node, "req-1", "flushing");
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-1", NULL), 0);
    node->now += 1.6;
    gang_show(node, machine, "req-1", "ended:halted", 1, 18);
    assert_int_equal(gang_plan(node, RR_COMMAND_STOP, "req-1", NULL), 0);
}

/* A start of a gang that stops may still arrive: the placement stays until the exited attempt
 * blocks the start, and only then does the next attempt begin. */
static void an_unanswered_start_delays_the_next_attempt(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    uint64_t first, attempt;
    rr_plan next_plan;
    gang_show_all(node, "req-1", NULL);
    submit_gang_job(fixture, &gang_job);
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    int machine = gang_machine_of(fixture, 0, &first);
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", machine);
    test_controller_plan(node, &next_plan);
    for (guint i = 0; i < next_plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(next_plan.command_batches, i);
        bool lost = strcmp(batch->machine, id) == 0;
        rr_core_command_result(node->core, node->now, batch,
                               lost ? RR_COMMAND_OUTCOME_UNKNOWN : RR_COMMAND_ANSWERED, !lost);
    }
    rr_plan_clear(&next_plan);
    for (int k = 1; k <= GANG_MACHINES; k++) {
        gang_show(node, k, "req-1", k == machine ? NULL : "ended:incomplete", 1, -1);
    }
    node->now += 1.6;
    for (int k = 1; k <= GANG_MACHINES; k++) {
        gang_show(node, k, "req-1", k == machine ? NULL : "ended:incomplete", 1, -1);
    }
    test_controller_plan(node, &next_plan);
    assert_non_null(plan_find_command(&next_plan, id, RR_COMMAND_START, "req-1", 0));
    assert_non_null(plan_find_command(&next_plan, id, RR_COMMAND_STOP, "req-1", 0));
    for (guint i = 0; i < next_plan.command_batches->len; i++) {
        rr_core_command_result(node->core, node->now,
                               g_ptr_array_index(next_plan.command_batches, i), RR_COMMAND_ANSWERED,
                               true);
    }
    rr_plan_clear(&next_plan);
    assert_true(gang_machine_of(fixture, 0, &attempt) == machine && attempt == first);
    node->now += 1;
    gang_show_all(node, "req-1", "ended:halted");
    for (int i = 0; i < 3; i++) {
        gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    gang_machine_of(fixture, 0, &attempt);
    assert_true(attempt > first);
}

/* A new owner derives the phase of a gang from the ledger and the heartbeats. */
static void a_new_owner_derives_the_same_phase(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, next;
    uint64_t attempt;
    gang_start(fixture, &gang_job);
    gang_show_all(node, "req-1", "running");
    int machine = gang_machine_of(fixture, 1, &attempt);
    gang_show(node, machine, "req-1", "ended:peers", 1, -1);
    assert_int_equal(gang_phase(node, "req-1"), RR_GANG_STOPPING);
    test_controller_init(&next, fixture->store, "n1");
    next.now = node->now;
    fake_store_reload(fixture->store, next.core, next.now);
    test_controller_leave(node);
    test_controller_join(&next, 9);
    for (int k = 1; k <= GANG_MACHINES; k++) {
        gang_show(&next, k, "req-1", k == machine ? "ended:peers" : "running", 1, -1);
    }
    assert_int_equal(gang_phase(&next, "req-1"), RR_GANG_STOPPING);
    assert_int_equal(gang_plan(&next, RR_COMMAND_STOP, "req-1", NULL), 2);
    test_controller_clear(&next);
}

/* A gang of more tasks than one record holds under the next limits is reserved in one transaction,
 * and ends with one. */
static void a_gang_over_several_records_takes_one_transaction(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job wide = gang_job;
    const char *const job_ids[] = {"req-1"};
    rr_job_view view;
    node->config.next_value_kb = 2;
    node->config.next_transaction_changes_max = 4;
    fixture->store->value_max = (size_t)2 * 1024;
    fixture->store->ops_max = 4;
    wide.cpus = wide.mem_gb = 1;
    wide.one_zone = false;
    wide.task_count = 60;
    gang_show_all(node, "req-1", NULL);
    submit_gang_job(fixture, &wide);
    uint64_t before = fixture->store->revision;
    gang_plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
    assert_int_equal(fixture->store->revision, before + 1);
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/") == 2);
    gang_shared_attempt(fixture, 60);
    gang_show_jobs(node, job_ids, 1, 60, gang_task_runs);
    assert_int_equal(gang_phase(node, "req-1"), RR_GANG_RUNNING);
    node->now += 20;
    gang_show_jobs(node, job_ids, 1, 60, gang_task_is_done);
    before = fixture->store->revision;
    gang_plan(node, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done);
    assert_int_equal(fixture->store->revision, before + 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, gang_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(a_gang_is_reserved_in_one_zone_under_one_attempt),
                                       cmocka_unit_test(every_event_leads_to_its_phase),
                                       TEST(a_gang_with_a_lost_task_is_placed_again_whole),
                                       TEST(a_gang_completes_in_one_change),
                                       TEST(a_gang_completes_without_an_unreachable_machine),
                                       TEST(a_spot_notice_lets_all_tasks_save),
                                       TEST(an_unanswered_start_delays_the_next_attempt),
                                       TEST(a_new_owner_derives_the_same_phase),
                                       TEST(a_gang_over_several_records_takes_one_transaction)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
