/* Fault combinations: each test brings together two events that must not take effect together, in
 * both orders where there are two, and checks the guard between them. This file covers faults of
 * machines and of the load. docs/fault-combinations.md lists all combinations. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* A heartbeat is delayed until the next leader has acted. It is older than what the machine has
 * sent since, so it proves nothing and restores no earlier state. */
static void delayed_heartbeat_changes_nothing_under_next_leader(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .service = true};
    uint64_t attempt;
    const char *machine = submit_and_start(fixture, &job, &attempt);
    char *running = format_heartbeat_task(job.job_id, attempt, "running");
    test_controller_join(controller, 8);
    controller->now += 1;
    send_heartbeat(controller, machine, 20, running);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    /* One heartbeat from before the task's start, with the token of that time, and a late copy of
     * one with the present token. */
    test_controller_heartbeat(controller, machine, fixture_machine_zone(machine), false, 1, 2,
                              rr_core_fencing_token(controller->core) - 1, NULL);
    test_controller_heartbeat(controller, machine, fixture_machine_zone(machine), false, 1, 19,
                              rr_core_fencing_token(controller->core), NULL);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_job_view view;
    rr_core_get_job_view(controller->core, job.job_id, controller->now, &view);
    assert_string_equal(view.state, "running");
    g_free(running);
}

/* A machine's heartbeats reach no controller, yet it answers commands. The answers renew no lease,
 * so a task started there is lost within one lease. The machine takes no new work, unless a peer
 * that may receive its heartbeats is itself not connected to this controller. */
static void machine_with_lost_heartbeats_takes_no_work(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, peer;
    uint64_t attempt;
    bool peer_connected = true;
    test_controller_init(&peer, fixture->store, "n1");
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_join(&peer, 9);
    test_controller_begin_next_term(controller);
    for (int run = 0; run < 2; run++, peer_connected = false) {
        const char *job_id = run == 0 ? "req-1" : "req-2";
        uint64_t sequence = 100 + 100 * (uint64_t)run;
        send_heartbeat(controller, "vm-1", sequence, NULL);
        for (int i = 0; i < 14; i++) {
            controller->now += 1;
            if (peer_connected) {
                rr_core_record_peer_contact(controller->core, controller->now, 0);
            }
            plan_with_outcome(controller, RR_COMMAND_ANSWERED);
            rr_heartbeat heartbeat = {.worker_epoch = 1,
                                      .sequence = ++sequence,
                                      .fencing_token = rr_core_fencing_token(controller->core),
                                      .spot_notice_s = -1,
                                      .machine = "vm-1",
                                      .address = "127.0.0.1:1001",
                                      .machine_type = "m1",
                                      .zone = "a"};
            heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
            bool own_heartbeats =
                rr_core_apply_command_reply(controller->core, controller->now, &heartbeat, -1);
            assert_true(own_heartbeats == (i + 1 < 1.5 * controller->config.heartbeat_interval_s));
            rr_heartbeat_clear(&heartbeat);
        }
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .team = "blue", .zone = "a"},
                          controller->now);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-9", .zone = "a"},
                          controller->now);
        fake_store_sync(fixture->store, controller->core, controller->now);
        fake_store_sync(fixture->store, peer.core, controller->now);
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        bool placed = find_task_machine(fixture->store, job_id, &attempt) ||
                      find_task_machine(fixture->store, "req-9", &attempt);
        assert_true(placed == !peer_connected);
    }
    test_controller_clear(&peer);
}

/* One zone has more free resources, but spread over machines that are too small for a task; the
 * other zone has fewer, all on one machine. A job bound to one zone is placed in the zone where all
 * of its tasks fit. */
static void job_bound_to_one_zone_is_placed_where_all_tasks_fit(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    uint64_t attempt;
    for (int i = 3; i < 9; i++) {
        char id[16], job_id[32];
        g_snprintf(id, sizeof id, "vm-%d", i);
        g_snprintf(job_id, sizeof job_id, "req-%d", 100 + i);
        fake_store_put_machine(fixture->store, id, "a", false, true);
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = job_id, .zone = "a", .cpus = 9, .service = true},
            controller->now);
    }
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-101", .zone = "a", .cpus = 9, .service = true},
        controller->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-102", .zone = "b", .cpus = 16, .service = true},
        controller->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-120", .zone = "b", .cpus = 8, .service = true},
        controller->now);
    fake_store_put_machine(fixture->store, "vm-9", "b", false, true);
    fake_store_sync(fixture->store, controller->core, controller->now);
    send_heartbeat(controller, "vm-1", 1, NULL);
    send_heartbeat(controller, "vm-2", 1, NULL);
    for (int i = 3; i < 10; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(controller, id, i < 9 ? "a" : "b", false, 1, 1,
                                  rr_core_fencing_token(controller->core), NULL);
    }
    for (int i = 0; i < 6; i++) {
        controller->now += 0.3;
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    }
    /* Zone a has 7 of 16 CPUs free on each of seven machines; zone b has 8 of 32 free, all on one
     * machine. */
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .one_zone = true, .cpus = 8},
                      controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    attempt = fake_store_find_attempt(fixture->store, "vm-2", "req-1", 0) +
              fake_store_find_attempt(fixture->store, "vm-9", "req-1", 0);
    assert_true(attempt != 0);
    /* Three tasks of 6 CPUs fit only into zone a. */
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-2", .one_zone = true, .cpus = 6, .task_count = 3},
        controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 3);
}

/* Commands to a machine went unanswered, and then it lost its lease and with it the tasks of this
 * owner, which is not the autoscaler. Only an answer to this owner makes the machine usable again,
 * so the owner keeps probing it. */
static void suspect_without_work_is_probed_until_it_answers(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, peer;
    uint64_t attempt;
    test_controller_init(&peer, fixture->store, "n1");
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_join(&peer, 9);
    test_controller_begin_next_term(controller);
    /* The controller that is not the autoscaler; each of the two owns a team. */
    test_controller *owner =
        rr_core_is_autoscaler(controller->core, controller->now) ? &peer : controller;
    for (int team = 0; team < 2; team++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-%d", team + 1);
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = job_id, .team = team ? "blue" : "red", .zone = "a"},
            owner->now);
    }
    fake_store_sync(fixture->store, owner->core, owner->now);
    send_heartbeat(owner, "vm-1", 1, NULL);
    for (uint64_t i = 0; i < 6; i++) {
        owner->now += 1.6;
        plan_with_outcome(owner, RR_COMMAND_OUTCOME_UNKNOWN);
        send_heartbeat(owner, "vm-1", 2 + i, NULL);
    }
    GPtrArray *suspects = g_ptr_array_new_with_free_func(g_free);
    rr_core_list_suspects(owner->core, owner->now, suspects);
    assert_int_equal(suspects->len, 1);
    test_controller_heartbeat(owner, "vm-1", "a", false, 2, 20, rr_core_fencing_token(owner->core),
                              NULL);
    /* The plan that finds the machine's tasks terminated comes right after a probe. */
    owner->now += 0.1;
    plan_with_outcome(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    owner->now += 0.1;
    plan_with_outcome(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_null(find_task_machine(fixture->store, "req-1", &attempt));
    assert_null(find_task_machine(fixture->store, "req-2", &attempt));
    unsigned probes = 0;
    for (uint64_t i = 0; i < 5; i++) {
        rr_plan plan;
        owner->now += 1;
        test_controller_heartbeat(owner, "vm-1", "a", false, 2, 21 + i,
                                  rr_core_fencing_token(owner->core), NULL);
        test_controller_plan(owner, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            probes += batch->commands->len == 0;
            rr_core_record_command_result(owner->core, owner->now, batch, RR_COMMAND_ANSWERED,
                                          true);
        }
        rr_plan_clear(&plan);
    }
    assert_true(probes > 0);
    g_ptr_array_set_size(suspects, 0);
    rr_core_list_suspects(owner->core, owner->now, suspects);
    assert_int_equal(suspects->len, 0);
    g_ptr_array_free(suspects, TRUE);
    test_controller_clear(&peer);
}

/* Tasks of two jobs have failed on the only machine. The machine is tried again a minute after the
 * last failure, so that no job waits for 90 s while the machine has room for it. */
static void quarantine_ends_a_minute_after_last_failure(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    uint64_t sequence = 1, attempt;
    fake_store_delete_machine(fixture->store, "vm-2");
    for (int i = 1; i <= 2; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-%d", i);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = job_id}, controller->now);
        fake_store_sync(fixture->store, controller->core, controller->now);
        send_heartbeat(controller, "vm-1", sequence++, NULL);
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        attempt = fake_store_find_attempt(fixture->store, "vm-1", job_id, 0);
        assert_true(attempt != 0);
        char *failed = format_heartbeat_task(job_id, attempt, "ended:error");
        send_heartbeat(controller, "vm-1", sequence++, failed);
        g_free(failed);
        test_controller_cancel(controller, job_id);
        for (int k = 0; k < 8; k++) {
            controller->now += 0.5;
            send_heartbeat(controller, "vm-1", sequence++, NULL);
            plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        }
    }
    double failed_at = controller->now;
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-3"}, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    double started_at = 0;
    while (controller->now < failed_at + 90 && started_at == 0) {
        controller->now += 1;
        send_heartbeat(controller, "vm-1", sequence++, NULL);
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        started_at =
            fake_store_find_attempt(fixture->store, "vm-1", "req-3", 0) ? controller->now : 0;
    }
    assert_true(started_at > failed_at + 40 && started_at < failed_at + 65);
}

/* The outcome of a start command is unknown, and a start and a stop under the same token then ended
 * its task. The ended attempt, which the worker keeps, blocks a late copy of the start. It must
 * still do so after the job has been evicted, when the autoscaler reaps ended attempts: during the
 * attempt's own term the autoscaler leaves the reaping to the owner. */
static void ended_attempt_of_evicted_job_blocks_late_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .zone = "a"};
    uint64_t sequence = 10;
    send_heartbeat(controller, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &job, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    uint64_t attempt = fake_store_find_attempt(fixture->store, "vm-1", job.job_id, 0);
    plan_with_outcome(controller, RR_COMMAND_OUTCOME_UNKNOWN); /* sends the start */
    test_controller_cancel(controller, job.job_id);
    controller->now += 2;
    send_heartbeat(controller, "vm-1", 2, NULL);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED); /* sends start and stop */
    char *ended_task = format_heartbeat_task(job.job_id, attempt, "ended:halted");
    /* An attempt of another controller in this term, of the job that is evicted here. */
    uint64_t foreign_attempt = attempt ^ ((uint64_t)1 << 24);
    char *foreign_task = format_heartbeat_task(job.job_id, foreign_attempt, "ended:halted");
    rr_core_stats stats;
    rr_plan plan;
    do {
        controller->now += 30;
        send_heartbeat(controller, "vm-1", sequence++, ended_task);
        test_controller_plan(controller, &plan);
        assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
        for (guint i = 0; i < plan.command_batches->len; i++) {
            rr_core_record_command_result(controller->core, controller->now,
                                          g_ptr_array_index(plan.command_batches, i),
                                          RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        rr_core_get_stats(controller->core, &stats);
    } while (stats.retained_jobs > 0 && sequence < 40);
    assert_int_equal(stats.retained_jobs, 0);
    send_heartbeat(controller, "vm-1", sequence++, foreign_task);
    test_controller_plan(controller, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    /* The next term voids every copy of the start, and the autoscaler reaps the attempt. */
    test_controller_join(controller, 8);
    controller->now += 5;
    send_heartbeat(controller, "vm-1", sequence++, foreign_task);
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(foreign_task);
    g_free(ended_task);
}

/* A reported_task_state_fn for ended tasks: jobs 4, 12, 20 and so on were cancelled while they ran,
 * the others are done. */
static const char *choose_ended_state(int machine, const char *job_id, uint32_t task, int shown,
                                      uint64_t sequence) {
    (void)machine;
    (void)task;
    (void)shown;
    (void)sequence;
    return atoi(job_id + strlen("req-")) % 8 == 4 ? "ended:halted" : "ended:done";
}

#define RECENT_JOBS 24 /* jobs submitted in the last six seconds */

/* All machines report their ended tasks of the RECENT_JOBS jobs up to number `last_job`. */
static void report_ended_tasks(test_controller *controller, int last_job, uint64_t sequence) {
    static char id_buffers[RECENT_JOBS][32];
    const char *job_ids[RECENT_JOBS];
    int jobs = 0;
    for (int job = last_job; job > last_job - RECENT_JOBS && job > 0; job--, jobs++) {
        g_snprintf(id_buffers[jobs], sizeof id_buffers[jobs], "req-%06d", job);
        job_ids[jobs] = id_buffers[jobs];
    }
    struct reporting_machines reporting = {.first = 10,
                                           .last = 29,
                                           .last_in_zone_a = 29,
                                           .job_ids = job_ids,
                                           .job_count = jobs,
                                           .tasks_per_job = 1,
                                           .heartbeat_tasks_max = 4,
                                           .worker_epoch = 1,
                                           .sequence = sequence,
                                           .state = choose_ended_state};
    test_controller_send_heartbeats(controller, &reporting);
}

/* Returns the number of changes that the store has committed after this revision. */
static unsigned count_changes_since(const fake_store *store, uint64_t revision) {
    unsigned changes = 0;
    for (guint i = 0; i < store->log->len; i++) {
        changes += fake_store_change_revision(store, i) > revision;
    }
    return changes;
}

/* Four one-task jobs are submitted per second for two minutes, and a quarter of them is cancelled,
 * half of these before their start and half while they run. Each job takes a bounded number of
 * changes in the store and leaves nothing in the ledger and only its final state in memory. */
static void small_jobs_cost_few_changes_and_leave_ledger_empty(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    const int jobs = 480;
    uint64_t sequence = 1, revision_before;
    char job_id[32];
    rr_core_stats stats;
    test_controller_add_machines(controller, 10, 20, "a");
    revision_before = fixture->store->revision;
    for (int i = 1; i <= jobs; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = job_id, .cpus = 1},
                          controller->now);
        fake_store_sync(fixture->store, controller->core, controller->now);
        if (i % 8 == 0) {
            test_controller_cancel(controller, job_id); /* before it starts */
        }
        controller->now += 0.25;
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
        if (i % 8 == 4) {
            test_controller_cancel(controller, job_id); /* while it runs */
        }
        if (i % 4 == 0) { /* every second */
            report_ended_tasks(controller, i, ++sequence);
        }
    }
    for (int i = 0; i < 8; i++) {
        controller->now += 0.3;
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    }
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
    /* Four changes a job at most: accepted, reserved, ended, and its ledger record deleted. A
     * cancelled job takes no more than that. */
    assert_true(count_changes_since(fixture->store, revision_before) <= 4 * (unsigned)jobs);
    for (int i = 0; i < 6; i++) {
        controller->now += 61;
        plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    }
    rr_core_get_stats(controller->core, &stats);
    assert_int_equal(stats.retained_jobs, 0);
    for (int i = 1; i <= jobs; i++) {
        rr_job_view view;
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        rr_core_get_job_view(controller->core, job_id, controller->now, &view);
        assert_true(view.known && view.done == (i % 4 != 0) && view.cancelled == (i % 4 == 0));
    }
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_operator_owned_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(delayed_heartbeat_changes_nothing_under_next_leader),
        TEST(machine_with_lost_heartbeats_takes_no_work),
        TEST(job_bound_to_one_zone_is_placed_where_all_tasks_fit),
        TEST(suspect_without_work_is_probed_until_it_answers),
        TEST(quarantine_ends_a_minute_after_last_failure),
        TEST(ended_attempt_of_evicted_job_blocks_late_start),
        TEST(small_jobs_cost_few_changes_and_leave_ledger_empty),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
