/* With many times the machines and jobs, work must follow what happens and not the fleet. Counts,
 * not times: machines looked at, records changed, commands sent. A walk over all machines for each
 * event fails these on any machine. Then that no one's work waits for ever behind another's. */
#include "core_fixture.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define FLEET 4500

static unsigned visits(const test_controller *node) {
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    return stats.visits;
}

static guint changes_of(const rr_plan *plan) {
    return plan->has_transaction ? plan->transaction.changes->len : 0;
}

/* Plans until nothing changes; every command is answered. Returns the changes made. */
static unsigned settle(test_controller *node) {
    unsigned changes = 0;
    for (int i = 0; i < 400; i++) {
        rr_plan plan;
        node->now += 0.01;
        test_controller_plan(node, &plan);
        guint now = changes_of(&plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_core_command_result(node->core, node->now,
                                   g_ptr_array_index(plan.command_batches, k), RR_COMMAND_ANSWERED,
                                   true);
        }
        bool idle = now == 0 && plan.command_batches->len == 0;
        rr_plan_clear(&plan);
        changes += now;
        if (idle) {
            return changes;
        }
    }
    return changes;
}

static void submit_many(test_controller *node, int first, int many, const struct test_job *like) {
    for (int i = first; i < first + many; i++) {
        char job_id[32];
        struct test_job job = *like;
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        job.job_id = job_id;
        fake_store_submit(node->store, &job, node->now);
    }
    fake_store_sync(node->store, node->core, node->now);
}

/* What a machine would report of one job's tasks: all of them in one standing. */
static void report_job(test_controller *node, const char *job_id, uint32_t task_count,
                       const char *state, uint64_t sequence) {
    for (int machine = 1; machine <= FLEET; machine++) {
        char id[32], *show[8] = {NULL};
        int k = 0;
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (uint32_t task = 0; task < task_count && k < 4; task++) {
            uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
            if (attempt) {
                show[k++] =
                    g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", job_id, task, attempt, state);
            }
        }
        if (k > 0) {
            test_controller_heartbeat(node, id, "a", false, 1, sequence,
                                      rr_core_fencing_token(node->core), show[0], show[1], show[2],
                                      show[3], NULL);
        }
        for (int i = 0; i < k; i++) {
            g_free(show[i]);
        }
    }
}

/* Empty reports of vm-`from` to vm-`to`. */
static void report_all(test_controller *node, int from, int until, const char *zone,
                       uint64_t worker_epoch, uint64_t sequence) {
    char id[32];
    for (int machine = from; machine <= until; machine++) {
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, zone, false, worker_epoch, sequence,
                                  rr_core_fencing_token(node->core), NULL);
    }
}

/* A fleet that has reported and of which nothing is left to plan. */
static void settled_fleet(test_controller *node) {
    test_controller_add_machines(node, 1, FLEET, "a");
    settle(node);
}

/* Machines that one plan looks at. */
static unsigned visits_of_a_plan(test_controller *node) {
    rr_plan plan;
    unsigned before = visits(node);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    return visits(node) - before;
}

/* One report that says something new, in a fleet of thousands: its machine is looked at. */
static void a_plan_costs_what_changed(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    settled_fleet(node);
    test_controller_heartbeat(node, "vm-77", "a", false, 1, 2, rr_core_fencing_token(node->core),
                              "req-000001 0 3 running", NULL);
    assert_true(visits_of_a_plan(node) <= 4);
}

/* The most frequent event of all, a report that says what the one before said, is followed by no
 * look at any machine, no change and no command. */
static void a_sign_of_life_costs_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    settled_fleet(node);
    unsigned before = visits(node);
    for (uint64_t sequence = 2; sequence < 6; sequence++) {
        report_all(node, 1, FLEET, "a", 1, sequence);
        test_controller_plan(node, &plan);
        assert_false(plan.has_transaction);
        assert_int_equal(plan.command_batches->len, 0);
        rr_plan_clear(&plan);
    }
    assert_int_equal(visits(node), before);
}

/* A new term looks at each machine once, and the plan after it at none. */
static void a_term_looks_at_each_machine_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    settled_fleet(node);
    test_controller_join(node, 9);
    unsigned first = visits_of_a_plan(node);
    assert_true(first >= FLEET);
    assert_true(first <= FLEET + 4);
    assert_true(visits_of_a_plan(node) <= 4);
}

static size_t held(void) {
    struct mallinfo2 usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

/* What the sizing in docs/operations.md counts with. The sanitizers' allocators tell nothing. */
static void memory_by_machine_and_placement(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const int jobs = 500;
    size_t before = held();
    test_controller_add_machines(node, 1, FLEET, "a");
    size_t machine = (held() - before) / FLEET;
    settle(node);
    before = held();
    submit_many(node, 1, jobs, &(struct test_job){.pieces = 4, .cpus = 4, .service = true});
    settle(node);
    size_t job = (held() - before) / jobs;
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

/* An array is reserved with one change, what ends together is recorded with one, and its end with
 * two, however many machines it ran on. */
static void an_array_costs_a_few_changes(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    rr_job_view view;
    test_controller_add_machines(node, 1, FLEET, "a");
    submit_many(node, 1, 1, &(struct test_job){.pieces = 60, .cpus = 4, .gpus = 1});
    test_controller_plan(node, &plan);
    assert_int_equal(changes_of(&plan), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 60);
    rr_plan_clear(&plan);
    report_job(node, "req-000001", 30, "ended:done", 2);
    test_controller_plan(node, &plan);
    assert_int_equal(changes_of(&plan), 1);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 30);
    report_job(node, "req-000001", 60, "ended:done", 3);
    test_controller_plan(node, &plan);
    assert_int_equal(changes_of(&plan), 2);
    rr_plan_clear(&plan);
    rr_core_job_view(node->core, "req-000001", node->now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/"), 0);
}

/* While changes are short completions wait for others of their job, and their room does not; a
 * job's last one waits for nothing. */
static void completions_gather_when_changes_are_short(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    test_controller_add_machines(node, 1, 1, "a");
    submit_many(node, 1, 1, &(struct test_job){.pieces = 2, .cpus = 8});
    settle(node);
    char *one = g_strdup_printf("req-000001 0 %" G_GUINT64_FORMAT " ended:done",
                                fake_store_attempt(fixture->store, "vm-1", "req-000001", 0));
    char *two = g_strdup_printf("req-000001 1 %" G_GUINT64_FORMAT " ended:done",
                                fake_store_attempt(fixture->store, "vm-1", "req-000001", 1));
    rr_core_set_pressure(node->core, 1, 8);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 2, rr_core_fencing_token(node->core),
                              one, NULL);
    test_controller_plan(node, &plan);
    assert_int_equal(changes_of(&plan), 0);
    rr_plan_clear(&plan);
    submit_many(node, 2, 1, &(struct test_job){.cpus = 8});
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-000002", 0) != 0);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 3, rr_core_fencing_token(node->core),
                              one, two, NULL);
    test_controller_plan(node, &plan);
    assert_int_equal(changes_of(&plan), 2);
    rr_plan_clear(&plan);
    g_free(one);
    g_free(two);
}

/* Hundreds of jobs that find no room cost one walk over the fleet, not one each. */
static void waiting_jobs_share_a_search(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    test_controller_add_machines(node, 1, FLEET, "a");
    submit_many(node, 1, 500, &(struct test_job){.zone = "b"});
    unsigned before = visits(node);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(visits(node) - before <= 4 * FLEET);
}

/* The tasks of a spread job go out in one plan: zone counts are kept while it reserves. */
static void a_spread_job_in_one_plan(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    test_controller_add_machines(node, 1, 200, "a");
    test_controller_add_machines(node, 201, 200, "b");
    submit_many(node, 1, 1,
                &(struct test_job){.pieces = 12, .service = true, .spread = true, .gpus = 1});
    test_controller_plan(node, &plan);
    assert_int_equal(changes_of(&plan), 1);
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

/* Over a thousand machines that are up come into the records with a few changes, and what a
 * thousand waiting tasks need is asked for at once, fifty machines a call. */
static void the_fleet_comes_in_bulk(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned changes = 0, rentals = 0, asked = 0;
    for (int i = 1; i <= 1000; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%06d", i);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 100);
    }
    submit_many(node, 1, 100, &(struct test_job){.pieces = 40, .cpus = 8, .zone = "b"});
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

#define HUGE_JOB 1          /* its number; those of the small ones follow */
#define HUGE_LOOKED_AT 402u /* of its tasks, the first so many */

/* Adds what the machine has of job r, as ended, to what it shows. */
static int show_ended(const test_controller *node, const char *id, int round, char **show,
                      int shown) {
    char job_id[32];
    g_snprintf(job_id, sizeof job_id, "req-%06d", round);
    uint32_t tasks = round == HUGE_JOB ? HUGE_LOOKED_AT : 1;
    if (round == HUGE_JOB && fake_store_placed_count(node->store, job_id) == 0) {
        return shown;
    }
    for (uint32_t task = 0; task < tasks && shown < 4; task++) {
        uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
        if (attempt) {
            show[shown++] =
                g_strdup_printf("%s %u %" G_GUINT64_FORMAT " ended:done", job_id, task, attempt);
        }
    }
    return shown;
}

/* Everything that runs on the two machines has ended. */
static void report_all_ended(test_controller *node, int next, uint64_t sequence) {
    for (int machine = 1; machine <= 2; machine++) {
        char id[8], *show[8] = {NULL};
        int shown = 0;
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (int round = HUGE_JOB; round < next && shown < 4; round++) {
            shown = show_ended(node, id, round, show, shown);
        }
        test_controller_heartbeat(node, id, "a", false, 1, sequence,
                                  rr_core_fencing_token(node->core), show[0], show[1], show[2],
                                  show[3], NULL);
        for (int i = 0; i < shown; i++) {
            g_free(show[i]);
        }
    }
}

/* One huge job among a stream of small ones with nearer deadlines, more than there is room for: it
 * begins, and they go on. */
static void a_huge_job_among_small_ones(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    unsigned small = 0;
    test_controller_add_machines(node, 1, 2, "a"); /* eight tasks at a time */
    submit_many(node, 1, 1, &(struct test_job){.pieces = 3000, .cpus = 4, .deadline_s = 5000});
    int next = 2;
    for (uint64_t turn = 2; turn < 100; turn++) {
        rr_plan plan;
        node->now += 1;
        submit_many(node, next, 9, &(struct test_job){.cpus = 4, .deadline_s = 60});
        next += 9;
        for (int i = 0; i < 3; i++) {
            node->now += 0.4;
            test_controller_plan(node, &plan);
            rr_plan_clear(&plan);
        }
        report_all_ended(node, next, turn);
        test_controller_plan(node, &plan);
        rr_plan_clear(&plan);
        rr_job_view view;
        rr_core_job_view(node->core, "req-000001", node->now, &view);
        if (view.done_count > 0 && turn > 40) {
            break;
        }
    }
    rr_job_view view;
    rr_core_job_view(node->core, "req-000001", node->now, &view);
    assert_true(view.done_count > 0);
    for (int round = 2; round < next; round++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%06d", round);
        rr_core_job_view(node->core, job_id, node->now, &view);
        small += view.done;
    }
    assert_true(small * 2 >= (unsigned)(next - 2));
}

/* A team that floods takes no more than its limit, and one with a guarantee gets it. */
static void a_flooding_team(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    node->config.teams[0].cpus_max = 48;
    node->config.teams[1].cpus = 16;
    test_controller_add_machines(node, 1, 4, "a");
    submit_many(node, 1, 300, &(struct test_job){.team = "red", .cpus = 4, .deadline_s = 10});
    settle(node);
    submit_many(node, 500, 4, &(struct test_job){.team = "blue", .cpus = 4});
    node->now += 3;
    settle(node);
    for (int round = 500; round < 504; round++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%06d", round);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 1);
    }
}

/* Placements of the job on vm-1 to vm-`half` whose attempts are not after `mark`; the highest. */
static unsigned lost_of(test_controller *node, const char *job_id, uint32_t task_count, int half,
                        uint64_t version, uint64_t *most) {
    unsigned lost = 0;
    for (int machine = 1; machine <= half; machine++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (uint32_t task = 0; task < task_count; task++) {
            uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
            lost += attempt > 0 && attempt <= version;
            *most = MAX(*most, attempt);
        }
    }
    return lost;
}

/* Half of the fleet has lost its leases, and changes are short. Every service is back with one
 * change, in its zone, before any array's record is touched; records of arrays were once cleared
 * first and services came back 35 s later. Those that miss most replicas come first. */
static void services_come_back_first(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const int half = 40, services = 12;
    char job_id[32];
    test_controller_add_machines(node, 1, half, "a");
    test_controller_add_machines(node, half + 1, half, "b");
    submit_many(
        node, 1, 10,
        &(struct test_job){.pieces = 10, .cpus = 1, .rank = "low", .checkpoint_interval_s = 30});
    submit_many(node, 101, services,
                &(struct test_job){
                    .pieces = 2, .cpus = 1, .service = true, .spread = true, .rank = "prod"});
    submit_many(node, 201, 1,
                &(struct test_job){
                    .pieces = 8, .cpus = 1, .service = true, .spread = true, .rank = "prod"});
    settle(node);
    uint64_t version = 0, most = 0;
    for (int i = 101; i < 101 + services; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        lost_of(node, job_id, 2, half, 0, &version);
    }
    lost_of(node, "req-000201", 8, half, 0, &version);
    assert_int_equal(lost_of(node, "req-000201", 8, half, version, &most), 4);
    node->now += 5;
    report_all(node, 1, half, "a", 2, 2);
    report_all(node, half + 1, 2 * half, "b", 1, 2);
    unsigned changes = 0;
    for (int i = 0; i < 5; i++) {
        rr_plan plan;
        node->now += 0.3;
        rr_core_set_pressure(node->core, 0, 3);
        test_controller_plan(node, &plan);
        changes += changes_of(&plan);
        rr_plan_clear(&plan);
        if (i == 1) { /* the first plan finds out that changes are short */
            assert_int_equal(lost_of(node, "req-000201", 8, half, version, &most), 0);
        }
    }
    assert_true(changes <= 15);
    for (int i = 101; i < 101 + services; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        assert_int_equal(lost_of(node, job_id, 2, half, version, &most), 0);
        assert_int_equal(fake_store_placed_count(node->store, job_id), 2);
    }
    assert_int_equal(fake_store_placed_count(node->store, "req-000201"), 8);
}

static unsigned whole(const test_controller *node) {
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    return stats.jobs_whole;
}

static void assert_final(const test_controller *node, int i) {
    char job_id[32];
    rr_job_view view;
    g_snprintf(job_id, sizeof job_id, "req-%06d", i);
    rr_core_job_view(node->core, job_id, node->now, &view);
    assert_true(view.known);
    assert_true(i % 2 ? view.done && view.done_count == 1 : view.cancelled);
}

/* Jobs are known for good, so that memory would grow with every one: a final one that nothing needs
 * any more shrinks to a line, and is told of as before. A late record of it, and a full read of all
 * records, wake nothing; what a worker still has of it is stopped. */
static void final_jobs_shrink_to_a_line(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const int jobs = 20;
    char job_id[32];
    test_controller_add_machines(node, 1, 10, "a");
    submit_many(node, 1, jobs, &(struct test_job){.pieces = 1, .cpus = 1});
    settle(node);
    rr_encoder late;
    rr_encoder_init(&late);
    rr_encode_map(&late, 2);
    rr_encode_key_text(&late, "bits", "0");
    rr_encode_text(&late, "tasks");
    rr_encode_array(&late, 1);
    rr_encode_array(&late, 5);
    rr_encode_u64(&late, 0);
    rr_encode_text(&late, "vm-1");
    for (int i = 0; i < 3; i++) {
        rr_encode_u64(&late, 1);
    }
    for (int i = 1; i <= jobs; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        if (i % 2 == 0) {
            test_controller_cancel(node, job_id);
        }
        report_job(node, job_id, 1, i % 2 ? "ended:done" : "ended:halted", (uint64_t)i + 1);
        settle(node);
    }
    assert_int_equal(whole(node), jobs);
    for (int i = 0; i < 5; i++) {
        node->now += 61;
        settle(node);
    }
    assert_int_equal(whole(node), 0);
    fake_store_put(fixture->store, RR_KEY_ROOT "run/req-000001/0", &late);
    fake_store_sync(fixture->store, node->core, node->now);
    fake_store_reload(fixture->store, node->core, node->now);
    assert_int_equal(whole(node), 0);
    for (int i = 1; i <= jobs; i++) {
        assert_final(node, i);
    }
    rr_core_stats stats;
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.tasks_placed, 0);
    rr_heartbeat round = {.worker_epoch = 1,
                          .sequence = 900,
                          .fencing_token = rr_core_fencing_token(node->core),
                          .spot_notice_s = -1};
    rr_task_status task = {.job_id = "req-000002", .attempt = 1, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply ans;
    round.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(round.tasks, task);
    rr_core_reply_to_heartbeat(node->core, node->now, &round, &ans);
    assert_int_equal(ans.status, 200);
    assert_int_equal(ans.commands->len, 1);
    g_array_free(ans.commands, TRUE);
    rr_heartbeat_clear(&round);
}

/* A store cache is read page by page; in between it is half a state, in which a machine may be
 * missing that a record speaks of. Nothing is decided by it, least of all that its tasks are over.
 */
static void nothing_is_decided_in_a_reread(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    rr_autoscaler_step step;
    rr_transaction transaction;
    test_controller_add_machines(node, 1, 4, "a");
    submit_many(node, 1, 4, &(struct test_job){.pieces = 1, .cpus = 1});
    settle(node);
    submit_many(node, 5, 4, &(struct test_job){.pieces = 1, .cpus = 1});
    rr_core_cache_begin_reload(node->core);
    node->now += 3;
    rr_core_plan(node->core, node->now, node->now, (rr_plan_init(&plan), &plan));
    assert_false(plan.has_transaction);
    assert_int_equal(plan.command_batches->len, 0);
    rr_plan_clear(&plan);
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(node->core, node->now, node->now, &step);
    assert_int_equal(step.kind, RR_AUTOSCALER_NONE);
    rr_autoscaler_step_clear(&step);
    rr_transaction_init(&transaction);
    assert_false(rr_core_next_term(node->core, node->now, node->now, &transaction));
    rr_transaction_clear(&transaction);
    assert_true(rr_core_session_seen(node->core, 7)); /* not yet come to it: no reason to end it */
    fake_store_reload(fixture->store, node->core, node->now);
    settle(node);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000005"), 1);
}

/* A fleet of the next size and the tasks to fill half of it: a controller starts from its full
 * store cache and takes every report anew, then half of the fleet loses its leases. Machines looked
 * at follow what was reported, and each record of the ledger that lost tasks costs one change. */
static void a_fleet_anew_and_a_zone_lost(void **state) {
    core_fixture *fixture = *state;
    test_controller again;
    const int half = FLEET / 2;
    test_controller_add_machines(&fixture->n, 1, half, "a");
    test_controller_add_machines(&fixture->n, half + 1, FLEET - half, "b");
    submit_many(&fixture->n, 1, 100,
                &(struct test_job){
                    .pieces = 8, .cpus = 4, .service = true, .spread = true, .rank = "prod"});
    submit_many(&fixture->n, 201, 40, &(struct test_job){.pieces = 60, .cpus = 4, .rank = "low"});
    settle(&fixture->n);
    unsigned records = fake_store_count(fixture->store, RR_KEY_ROOT "run/");
    test_controller_init(&again, fixture->store, "n0");
    again.now = fixture->n.now;
    fake_store_reload(fixture->store, again.core, again.now);
    test_controller_join(&again, 8);
    rr_plan plan;
    report_all(&again, 1, half, "a", 2, 2); /* nothing is left there */
    unsigned before = visits(&again);
    test_controller_plan(&again, &plan);
    unsigned changes = changes_of(&plan);
    rr_plan_clear(&plan);
    /* A walk for each job that this plan places, and what is compared for its tasks: 26 a machine.
     */
    assert_true(visits(&again) - before <= 32 * FLEET);
    report_all(&again, half + 1, FLEET, "b", 1, 2);
    changes += settle(&again);
    assert_true(2 * changes <= 3 * records);
    for (int i = 1; i <= 100; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 8);
    }
    test_controller_clear(&again);
}

/* Work for 4,500 machines and none there: no limit on intents, calls or records stops short of
 * them, and the records keep to the store's limits. */
static void a_cold_start_to_the_whole_fleet(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    int rented = 0;
    unsigned steps = 0;
    fixture->store->value_max = (size_t)(node->config.value_kb * 1024);
    fixture->store->ops_max = (guint)node->config.transaction_changes_max;
    submit_many(node, 1, FLEET / 100, &(struct test_job){.pieces = 100, .cpus = 16});
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

#define T(f) cmocka_unit_test_setup_teardown(f, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(a_plan_costs_what_changed),
                                       T(a_sign_of_life_costs_nothing),
                                       T(a_term_looks_at_each_machine_once),
                                       T(memory_by_machine_and_placement),
                                       T(an_array_costs_a_few_changes),
                                       T(completions_gather_when_changes_are_short),
                                       T(waiting_jobs_share_a_search),
                                       T(a_spread_job_in_one_plan),
                                       T(the_fleet_comes_in_bulk),
                                       T(a_huge_job_among_small_ones),
                                       T(a_flooding_team),
                                       T(services_come_back_first),
                                       T(final_jobs_shrink_to_a_line),
                                       T(nothing_is_decided_in_a_reread),
                                       T(a_fleet_anew_and_a_zone_lost),
                                       T(a_cold_start_to_the_whole_fleet)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
