/* Fault combinations: each test names two facts that must not be combined, brings them together in
 * both orders where there are two, and checks the guard between them. Here, faults of machines and
 * of the load. docs/fault-combinations.md lists all combinations. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* A heartbeat is delayed until the next leader has acted. Older than what the machine has sent
 * since, it proves nothing and brings nothing back. */
static void delayed_heartbeat_changes_nothing_under_next_leader(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .service = true};
    uint64_t attempt;
    const char *machine = run_job(fixture, &job, &attempt);
    char *running = task_text(job.job_id, attempt, "running");
    test_controller_join(node, 8);
    node->now += 1;
    send_heartbeat(node, machine, 20, running);
    plan_with_outcome(node, RR_COMMAND_ANSWERED);
    /* One sent before the task had started, with the token of then, and a late copy. */
    test_controller_heartbeat(node, machine, machine_zone(machine), false, 1, 2,
                              rr_core_fencing_token(node->core) - 1, NULL);
    test_controller_heartbeat(node, machine, machine_zone(machine), false, 1, 19,
                              rr_core_fencing_token(node->core), NULL);
    plan_with_outcome(node, RR_COMMAND_ANSWERED);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    rr_job_view view;
    rr_core_job_view(node->core, job.job_id, node->now, &view);
    assert_string_equal(view.state, "running");
    g_free(running);
}

/* A machine whose heartbeats reach no controller still answers commands, but these renew no lease,
 * and what starts there is lost within one. It takes no new work, unless a controller that may hear
 * it is itself not connected. */
static void machine_with_lost_heartbeats_takes_no_work(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, other;
    uint64_t attempt;
    bool peer_connected = true;
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(node);
    for (int run = 0; run < 2; run++, peer_connected = false) {
        const char *job_id = run == 0 ? "req-1" : "req-2";
        uint64_t sequence = 100 + 100 * (uint64_t)run;
        send_heartbeat(node, "vm-1", sequence, NULL);
        for (int i = 0; i < 14; i++) {
            node->now += 1;
            if (peer_connected) {
                rr_core_peer_contacted(node->core, node->now, 0);
            }
            plan_with_outcome(node, RR_COMMAND_ANSWERED);
            rr_heartbeat heartbeat = {.worker_epoch = 1,
                                      .sequence = ++sequence,
                                      .fencing_token = rr_core_fencing_token(node->core),
                                      .spot_notice_s = -1,
                                      .machine = "vm-1",
                                      .address = "127.0.0.1:1001",
                                      .machine_type = "m1",
                                      .zone = "a"};
            heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
            bool own_heartbeats = rr_core_take_command_reply(node->core, node->now, &heartbeat, -1);
            assert_true(own_heartbeats == (i + 1 < 1.5 * node->config.heartbeat_interval_s));
            rr_heartbeat_clear(&heartbeat);
        }
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .team = "blue", .zone = "a"},
                          node->now);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-9", .zone = "a"},
                          node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        fake_store_sync(fixture->store, other.core, node->now);
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
        bool placed = placed_on(fixture->store, job_id, &attempt) ||
                      placed_on(fixture->store, "req-9", &attempt);
        assert_true(placed == !peer_connected);
    }
    test_controller_clear(&other);
}

/* One zone has more free room, but scattered over machines too small for a task; the other has less
 * of it on one machine. A job bound to one zone goes where it fits as a whole. */
static void job_bound_to_one_zone_goes_where_it_fits(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    uint64_t attempt;
    for (int i = 3; i < 9; i++) {
        char id[16], job_id[32];
        g_snprintf(id, sizeof id, "vm-%d", i);
        g_snprintf(job_id, sizeof job_id, "req-%d", 100 + i);
        fake_store_put_machine(fixture->store, id, "a", false, true);
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = job_id, .zone = "a", .cpus = 9, .service = true},
            node->now);
    }
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-101", .zone = "a", .cpus = 9, .service = true},
        node->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-102", .zone = "b", .cpus = 16, .service = true},
        node->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-120", .zone = "b", .cpus = 8, .service = true},
        node->now);
    fake_store_put_machine(fixture->store, "vm-9", "b", false, true);
    fake_store_sync(fixture->store, node->core, node->now);
    send_heartbeat(node, "vm-1", 1, NULL);
    send_heartbeat(node, "vm-2", 1, NULL);
    for (int i = 3; i < 10; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(node, id, i < 9 ? "a" : "b", false, 1, 1,
                                  rr_core_fencing_token(node->core), NULL);
    }
    for (int i = 0; i < 6; i++) {
        node->now += 0.3;
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
    }
    /* Seven times 7 of 16 CPUs are free in zone a, 8 of 32 in zone b, on one machine. */
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .one_zone = true, .cpus = 8},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_outcome(node, RR_COMMAND_ANSWERED);
    attempt = fake_store_attempt(fixture->store, "vm-2", "req-1", 0) +
              fake_store_attempt(fixture->store, "vm-9", "req-1", 0);
    assert_true(attempt != 0);
    /* Three tasks of 6 fit into zone a alone. */
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-2", .one_zone = true, .cpus = 6, .task_count = 3},
        node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_outcome(node, RR_COMMAND_ANSWERED);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 3);
}

/* Commands went unanswered; then the machine lost its lease, and with it the work of this owner,
 * which is not the autoscaler. Only an answer to this owner makes the machine usable again, so it
 * goes on probing. */
static void suspect_without_work_is_probed_until_it_answers(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, second;
    uint64_t attempt;
    test_controller_init(&second, fixture->store, "n1");
    fake_store_sync(fixture->store, second.core, second.now);
    test_controller_join(&second, 9);
    test_controller_next_term(node);
    /* The one of the two that is not the autoscaler; each owns a team. */
    test_controller *owner = rr_core_is_autoscaler(node->core, node->now) ? &second : node;
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
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    rr_core_list_suspects(owner->core, owner->now, names);
    assert_int_equal(names->len, 1);
    test_controller_heartbeat(owner, "vm-1", "a", false, 2, 20, rr_core_fencing_token(owner->core),
                              NULL);
    /* The plan that finds its work terminated comes right after a probe. */
    owner->now += 0.1;
    plan_with_outcome(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    owner->now += 0.1;
    plan_with_outcome(owner, RR_COMMAND_OUTCOME_UNKNOWN);
    assert_null(placed_on(fixture->store, "req-1", &attempt));
    assert_null(placed_on(fixture->store, "req-2", &attempt));
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
            rr_core_command_result(owner->core, owner->now, batch, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
    }
    assert_true(probes > 0);
    g_ptr_array_set_size(names, 0);
    rr_core_list_suspects(owner->core, owner->now, names);
    assert_int_equal(names->len, 0);
    g_ptr_array_free(names, TRUE);
    test_controller_clear(&second);
}

/* Tasks of two jobs failed on the only machine there is. It is tried again a minute after the last
 * failure, so that no job waits for 90 s while it has room. */
static void quarantine_ends_after_a_minute(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    uint64_t sequence = 1, attempt;
    fake_store_delete_machine(fixture->store, "vm-2");
    for (int i = 1; i <= 2; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-%d", i);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = job_id}, node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        send_heartbeat(node, "vm-1", sequence++, NULL);
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
        attempt = fake_store_attempt(fixture->store, "vm-1", job_id, 0);
        assert_true(attempt != 0);
        char *failed = task_text(job_id, attempt, "ended:error");
        send_heartbeat(node, "vm-1", sequence++, failed);
        g_free(failed);
        test_controller_cancel(node, job_id);
        for (int k = 0; k < 8; k++) {
            node->now += 0.5;
            send_heartbeat(node, "vm-1", sequence++, NULL);
            plan_with_outcome(node, RR_COMMAND_ANSWERED);
        }
    }
    double failed_at = node->now;
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-3"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    double started_at = 0;
    while (node->now < failed_at + 90 && started_at == 0) {
        node->now += 1;
        send_heartbeat(node, "vm-1", sequence++, NULL);
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
        started_at = fake_store_attempt(fixture->store, "vm-1", "req-3", 0) ? node->now : 0;
    }
    assert_true(started_at > failed_at + 40 && started_at < failed_at + 65);
}

/* The outcome of a start is unknown, and its task was ended by start and stop under one token: the
 * ended attempt blocks a late copy of the start. It must do so also after the job has been reduced
 * to its final state, when the autoscaler reaps ended attempts: in the attempt's own term it leaves
 * that to the owner. */
static void ended_attempt_of_forgotten_job_blocks_late_start(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-1", .zone = "a"};
    uint64_t sequence = 10;
    send_heartbeat(node, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_with_outcome(node, RR_COMMAND_ANSWERED);
    uint64_t attempt = fake_store_attempt(fixture->store, "vm-1", job.job_id, 0);
    plan_with_outcome(node, RR_COMMAND_OUTCOME_UNKNOWN); /* the start */
    test_controller_cancel(node, job.job_id);
    node->now += 2;
    send_heartbeat(node, "vm-1", 2, NULL);
    plan_with_outcome(node, RR_COMMAND_ANSWERED); /* start and stop */
    char *ended = task_text(job.job_id, attempt, "ended:halted");
    /* An attempt of another controller, in this term, of a job reduced here. */
    uint64_t foreign = attempt ^ ((uint64_t)1 << 24);
    char *theirs = task_text(job.job_id, foreign, "ended:halted");
    rr_core_stats stats;
    rr_plan plan;
    do {
        node->now += 30;
        send_heartbeat(node, "vm-1", sequence++, ended);
        test_controller_plan(node, &plan);
        assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
        for (guint i = 0; i < plan.command_batches->len; i++) {
            rr_core_command_result(node->core, node->now,
                                   g_ptr_array_index(plan.command_batches, i), RR_COMMAND_ANSWERED,
                                   true);
        }
        rr_plan_clear(&plan);
        rr_core_get_stats(node->core, &stats);
    } while (stats.unshrunk_jobs > 0 && sequence < 40);
    assert_int_equal(stats.unshrunk_jobs, 0);
    send_heartbeat(node, "vm-1", sequence++, theirs);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    /* The next term voids every copy, and the autoscaler reaps the attempt. */
    test_controller_join(node, 8);
    node->now += 5;
    send_heartbeat(node, "vm-1", sequence++, theirs);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, "vm-1", RR_COMMAND_REAP, job.job_id, 0));
    rr_plan_clear(&plan);
    g_free(theirs);
    g_free(ended);
}

/* A shown_task_state_fn: jobs 4, 12, 20 and so on are cancelled while they run. */
static const char *ended_state(int machine, const char *job_id, uint32_t task, int shown,
                               uint64_t sequence) {
    (void)machine;
    (void)task;
    (void)shown;
    (void)sequence;
    return atoi(job_id + strlen("req-")) % 8 == 4 ? "ended:halted" : "ended:done";
}

#define LATE_JOBS 24 /* the jobs of the last six seconds */

/* All machines show what has ended of the jobs that came last, up to job `last`. */
static void show_ended(test_controller *node, int last, uint64_t sequence) {
    static char names[LATE_JOBS][32];
    const char *refs[LATE_JOBS];
    int jobs = 0;
    for (int job = last; job > last - LATE_JOBS && job > 0; job--, jobs++) {
        g_snprintf(names[jobs], sizeof names[jobs], "req-%06d", job);
        refs[jobs] = names[jobs];
    }
    struct shown_machines show = {.first = 10,
                                  .last = 29,
                                  .last_in_a = 29,
                                  .job_ids = refs,
                                  .jobs = jobs,
                                  .tasks = 1,
                                  .task_max = 4,
                                  .worker_epoch = 1,
                                  .sequence = sequence,
                                  .state = ended_state};
    test_controller_show_machines(node, &show);
}

static unsigned count_changes_since(const fake_store *store, uint64_t revision) {
    unsigned changes = 0;
    for (guint i = 0; i < store->log->len; i++) {
        changes += fake_store_change_revision(store, i) > revision;
    }
    return changes;
}

/* One-task jobs come four a second for two minutes, and a quarter of them is cancelled at some
 * moment. Each has a bounded number of changes at the store, and leaves nothing in the ledger and
 * its final state in memory. */
static void small_jobs_have_bounded_cost_and_leave_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    const int jobs = 480;
    uint64_t sequence = 1, before;
    char job_id[32];
    rr_core_stats stats;
    test_controller_add_machines(node, 10, 20, "a");
    before = fixture->store->revision;
    for (int i = 1; i <= jobs; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        fake_store_submit(fixture->store, &(struct test_job){.job_id = job_id, .cpus = 1},
                          node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        if (i % 8 == 0) {
            test_controller_cancel(node, job_id); /* before it starts */
        }
        node->now += 0.25;
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
        if (i % 8 == 4) {
            test_controller_cancel(node, job_id); /* while it runs */
        }
        if (i % 4 == 0) { /* every second */
            show_ended(node, i, ++sequence);
        }
    }
    for (int i = 0; i < 8; i++) {
        node->now += 0.3;
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
    }
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
    /* Accepted, reserved, ended with its ledger record gone; a cancelled one no more than that. */
    assert_true(count_changes_since(fixture->store, before) <= 4 * (unsigned)jobs);
    for (int i = 0; i < 6; i++) {
        node->now += 61;
        plan_with_outcome(node, RR_COMMAND_ANSWERED);
    }
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.unshrunk_jobs, 0);
    for (int i = 1; i <= jobs; i++) {
        rr_job_view view;
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        rr_core_job_view(node->core, job_id, node->now, &view);
        assert_true(view.known && view.done == (i % 4 != 0) && view.cancelled == (i % 4 == 0));
    }
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_own_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(delayed_heartbeat_changes_nothing_under_next_leader),
        TEST(machine_with_lost_heartbeats_takes_no_work),
        TEST(job_bound_to_one_zone_goes_where_it_fits),
        TEST(suspect_without_work_is_probed_until_it_answers),
        TEST(quarantine_ends_after_a_minute),
        TEST(ended_attempt_of_forgotten_job_blocks_late_start),
        TEST(small_jobs_have_bounded_cost_and_leave_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
