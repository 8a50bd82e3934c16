/* Gangs: all tasks run at the same time or none does, through every phase and every loss. */
#include "core_fixture.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"

#include "core/core_internal.h"
#include "core/scheduling/gang_phase.h"

#include <string.h>

#define MACHINES 6

static int setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    for (int i = 1; i <= MACHINES; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        fake_store_put_machine(fixture->store, id, i <= 3 ? "a" : "b", false, true);
    }
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
    return 0;
}

static const struct test_job gang = {.job_id = "req-1",
                                     .gang = true,
                                     .one_zone = true,
                                     .pieces = 3,
                                     .cpus = 10,
                                     .checkpoint_interval_s = 20,
                                     .save_s = 3,
                                     .rank = "high"};

static uint64_t last_sequence = 1; /* of all reports */

/* What a machine shows of the gang: its tasks there in this standing; NULL: none. */
static void show(test_controller *node, int machine, const char *job_id, const char *state,
                 uint64_t worker_epoch, double recall) {
    char id[16], *text[5] = {NULL};
    int k = 0;
    g_snprintf(id, sizeof id, "vm-%d", machine);
    for (uint32_t task = 0; state && task < 8 && k < 4; task++) {
        uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
        if (attempt) {
            text[k++] =
                g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", job_id, task, attempt, state);
        }
    }
    node->spot_notice_s = recall;
    test_controller_heartbeat(node, id, machine <= 3 ? "a" : "b", false, worker_epoch,
                              ++last_sequence, rr_core_fencing_token(node->core), text[0], text[1],
                              text[2], text[3], NULL);
    node->spot_notice_s = -1;
    for (int i = 0; i < k; i++) {
        g_free(text[i]);
    }
}

static void show_all(test_controller *node, const char *job_id, const char *state) {
    for (int machine = 1; machine <= MACHINES; machine++) {
        show(node, machine, job_id, state, 1, -1);
    }
}

/* One plan, answered: how many orders of this verb went out for the job, and the least grace. */
static unsigned plan(test_controller *node, enum rr_command_kind command_kind, const char *job_id,
                     double *leave) {
    rr_plan next_plan;
    unsigned found = 0;
    double least = 1e9;
    test_controller_plan(node, &next_plan);
    for (guint i = 0; i < next_plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(next_plan.command_batches, i);
        for (guint k = 0; k < batch->commands->len; k++) {
            const rr_command *command = &g_array_index(batch->commands, rr_command, k);
            if (command->kind == command_kind && strcmp(command->job_id, job_id) == 0) {
                found++;
                least = command->grace_s < least ? command->grace_s : least;
            }
        }
        rr_core_command_result(node->core, node->now, batch, RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&next_plan);
    if (leave) {
        *leave = least;
    }
    return found;
}

static enum rr_gang_phase phase(const test_controller *node, const char *job_id) {
    return rr_gang_phase(node->core, g_hash_table_lookup(node->core->stored.jobs, job_id),
                         node->now);
}

/* Submits the gang, reserves and starts it. */
static void start(core_fixture *fixture, const struct test_job *job) {
    test_controller *node = &fixture->n;
    show_all(node, job->job_id, NULL);
    fake_store_submit(fixture->store, job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, job->job_id, NULL);
    assert_int_equal(plan(node, RR_COMMAND_START, job->job_id, NULL), job->pieces);
}

static int machine_of(const core_fixture *fixture, uint32_t task, uint64_t *attempt) {
    for (int machine = 1; machine <= MACHINES; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        *attempt = fake_store_attempt(fixture->store, id, "req-1", task);
        if (*attempt) {
            return machine;
        }
    }
    return 0;
}

/* The attempt of all these tasks, by which they find each other: they have the same. */
static uint64_t shared_attempt(const core_fixture *fixture, uint32_t tasks) {
    uint64_t attempt, other;
    machine_of(fixture, 0, &attempt);
    for (uint32_t task = 1; task < tasks; task++) {
        machine_of(fixture, task, &other);
        assert_true(other == attempt);
    }
    return attempt;
}

static void booked_together(void **state) {
    core_fixture *fixture = *state;
    uint64_t first, attempt;
    start(fixture, &gang);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
    int zone = machine_of(fixture, 0, &first) <= 3;
    for (uint32_t task = 1; task < 3; task++) {
        assert_int_equal(machine_of(fixture, task, &attempt) <= 3, zone);
        assert_true(attempt == first); /* they find each other by it */
    }
}

enum event { NOTHING, ENDED_PEERS, ENDED_DONE, TENURE, GONE, NOTICE, ABSENT, CANCEL, EVENTS };

/* What the machines show of a gang in each phase. */
static const char *const shown_in[] = {NULL, NULL, "waiting", "running"};

/* Lets one thing happen to the gang, or to its machine m. */
static void let_happen(core_fixture *fixture, enum event event, int machine,
                       enum rr_gang_phase before) {
    test_controller *node = &fixture->n;
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", machine);
    switch (event) {
    case NOTHING:
    case EVENTS:
        break;
    case ENDED_PEERS:
        show(node, machine, "req-1", "ended:peers", 1, -1);
        break;
    case ENDED_DONE:
        show(node, machine, "req-1", "ended:done", 1, -1);
        break;
    case TENURE:
        show(node, machine, "req-1", NULL, 2, -1);
        break;
    case GONE:
        fake_store_delete_machine(fixture->store, id);
        fake_store_sync(fixture->store, node->core, node->now);
        break;
    case NOTICE:
        show(node, machine, "req-1", shown_in[before], 1, 20);
        break;
    case ABSENT:
        node->now += node->config.gang_wait_s * 0.6;
        show_all(node, "req-1", shown_in[before]);
        show(node, machine, "req-1", NULL, 1, -1);
        break;
    case CANCEL:
        test_controller_cancel(node, "req-1");
        break;
    }
}

/* The phase that follows. A notice or a cancellation that no machine shows a task for changes
 * nothing yet: reserved tasks are not started then. */
static enum rr_gang_phase phase_after(enum event event, enum rr_gang_phase before) {
    static const enum rr_gang_phase after_booked[EVENTS] = {
        RR_GANG_RESERVED, RR_GANG_STOPPING, RR_GANG_ENDING,   RR_GANG_STOPPING,
        RR_GANG_STOPPING, RR_GANG_RESERVED, RR_GANG_STOPPING, RR_GANG_ENDING};
    static const enum rr_gang_phase after_shown[EVENTS] = {
        RR_GANG_QUEUED,   RR_GANG_STOPPING, RR_GANG_ENDING,   RR_GANG_STOPPING,
        RR_GANG_STOPPING, RR_GANG_STOPPING, RR_GANG_STOPPING, RR_GANG_ENDING};
    if (event == NOTHING) {
        return before;
    }
    return before == RR_GANG_RESERVED ? after_booked[event] : after_shown[event];
}

/* Tasks that are told to stop: all that are shown, but the one that is gone. */
static unsigned stops_after(enum event event, enum rr_gang_phase before) {
    if (before == RR_GANG_RESERVED || event == NOTHING) {
        return 0;
    }
    return event == NOTICE || event == CANCEL ? 3 : 2;
}

/* Every event in every phase. Each row brings a gang into a phase, lets one thing happen to one of
 * its machines, and says which phase it is in then and whether its tasks are stopped, with time to
 * save or without. */
static void every_event_in_every_phase(void **state) {
    (void)state;
    for (int row = 0; row < 3 * EVENTS; row++) {
        enum rr_gang_phase before = (enum rr_gang_phase)(RR_GANG_RESERVED + row / EVENTS);
        enum event event = (enum event)(row % EVENTS);
        core_fixture *fixture;
        uint64_t attempt;
        double leave;
        setup((void **)&fixture);
        test_controller *node = &fixture->n;
        start(fixture, &gang);
        assert_int_equal(phase(node, "req-1"), RR_GANG_RESERVED);
        if (before != RR_GANG_RESERVED) {
            show_all(node, "req-1", shown_in[before]);
        }
        assert_int_equal(phase(node, "req-1"), before);
        int machine = machine_of(fixture, 1, &attempt);
        node->now += 2;
        show_all(node, "req-1", shown_in[before]);
        let_happen(fixture, event, machine, before);
        assert_int_equal(phase(node, "req-1"), phase_after(event, before));
        unsigned stops = plan(node, RR_COMMAND_STOP, "req-1", &leave);
        assert_int_equal(stops, stops_after(event, before));
        if (stops > 0) {
            assert_true(event == NOTICE ? leave >= 3 : leave == 0);
        }
        core_fixture_teardown((void **)&fixture);
    }
}

/* One of a running gang is lost with its machine's lease; the others are told at once and exit. Not
 * before all are proven over is anything placed anew, then all of them, under a new attempt. */
static void lost_and_brought_back(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    uint64_t first, attempt;
    start(fixture, &gang);
    show_all(node, "req-1", "running");
    plan(node, RR_COMMAND_START, "req-1", NULL);
    int machine = machine_of(fixture, 1, &first);
    node->now += 1;
    show(node, machine, "req-1", NULL, 2, -1);
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-1", NULL), 2);
    for (int i = 0; i < 6; i++) { /* one of the others goes on, or can't be heard */
        node->now += 1;
        int slow = machine_of(fixture, 2, &attempt);
        for (int k = 1; k <= MACHINES; k++) {
            if (k != slow) {
                show(node, k, "req-1", k == machine ? NULL : "ended:peers", k == machine ? 2 : 1,
                     -1);
            }
        }
        plan(node, RR_COMMAND_STOP, "req-1", NULL);
        assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
        assert_true(machine_of(fixture, 2, &attempt) == slow && attempt == first);
    }
    node->now += 1;
    for (int k = 1; k <= MACHINES; k++) {
        show(node, k, "req-1", k == machine ? NULL : "ended:peers", k == machine ? 2 : 1, -1);
    }
    for (int i = 0; i < 3; i++) {
        plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
    assert_true(shared_attempt(fixture, 3) > first);
}

/* One done means all are: the job ends with one change, and is called done by nobody before. */
static void done_together(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_job_view view;
    uint64_t attempt;
    start(fixture, &gang);
    show_all(node, "req-1", "running");
    plan(node, RR_COMMAND_START, "req-1", NULL);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_string_equal(view.state, "running");
    node->now += 30;
    show_all(node, "req-1", "running");
    int machine = machine_of(fixture, 0, &attempt);
    uint64_t before = fixture->store->epoch;
    show(node, machine, "req-1", "ended:done", 1, -1);
    plan(node, RR_COMMAND_REAP, "req-1", NULL);
    node->now += 0.5;
    show_all(node, "req-1", "ended:done");
    plan(node, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done && view.done_count == 3);
    assert_int_equal(fixture->store->epoch, before + 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* Done on one machine while another can't be heard: the user is told in time, and what is left goes
 * when it is proven over. */
static void done_with_one_unheard(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_job_view view;
    uint64_t attempt;
    start(fixture, &gang);
    show_all(node, "req-1", "running");
    node->now += 30;
    show_all(node, "req-1", "running");
    show(node, machine_of(fixture, 0, &attempt), "req-1", "ended:done", 1, -1);
    for (int i = 0; i < 4; i++) {
        plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    show_all(node, "req-1", "ended:done");
    plan(node, RR_COMMAND_REAP, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* Told to save, the gang is left to it: no second stop without grace follows the first exit. */
static void a_notice_saves_all(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    uint64_t attempt;
    double leave;
    start(fixture, &gang);
    show_all(node, "req-1", "running");
    plan(node, RR_COMMAND_START, "req-1", NULL);
    int machine = machine_of(fixture, 0, &attempt);
    show(node, machine, "req-1", "running", 1, 20);
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-1", &leave), 3);
    assert_true(leave >= 3 && leave <= 3 + node->config.gang_peer_s);
    node->now += 1.6;
    show_all(node, "req-1", "flushing");
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-1", NULL), 0);
    node->now += 1.6;
    show(node, machine, "req-1", "ended:halted", 1, 18);
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-1", NULL), 0);
}

/* The limit counts the whole gang, and a gang without room holds none: another that fits goes. */
static void no_half_of_one(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job large = gang, small = gang, other = gang;
    large.pieces = 4; /* ten CPUs of sixteen each: three machines a zone */
    small.job_id = "req-2";
    small.pieces = 2;
    other.job_id = "req-3";
    other.one_zone = false;
    other.pieces = 4;
    show_all(node, "req-1", NULL);
    fake_store_submit(fixture->store, &large, node->now);
    fake_store_submit(fixture->store, &small, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 2);
    fake_store_submit(fixture->store, &other, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    node->now += 0.1;
    plan(node, RR_COMMAND_START, "req-3", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3"), 4); /* over both zones */
    node->config.teams[0].cpus_max = 90;
    struct test_job over = gang;
    over.job_id = "req-4";
    over.one_zone = false;
    over.cpus = 11;
    over.pieces = 3;
    fake_store_submit(fixture->store, &over, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 4; i++) {
        node->now += 1;
        plan(node, RR_COMMAND_START, "req-4", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-4"), 0);
}

/* A start stays in doubt while the gang is given up: its copy may come late, so that the place is
 * kept until the exited attempt blocks it; only then does the next attempt begin. */
static void a_start_in_doubt(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    uint64_t first, attempt;
    rr_plan next_plan;
    show_all(node, "req-1", NULL);
    fake_store_submit(fixture->store, &gang, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-1", NULL);
    int machine = machine_of(fixture, 0, &first);
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
    for (int k = 1; k <= MACHINES; k++) {
        show(node, k, "req-1", k == machine ? NULL : "ended:incomplete", 1, -1);
    }
    node->now += 1.6;
    for (int k = 1; k <= MACHINES; k++) {
        show(node, k, "req-1", k == machine ? NULL : "ended:incomplete", 1, -1);
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
    assert_true(machine_of(fixture, 0, &attempt) == machine && attempt == first);
    node->now += 1;
    show_all(node, "req-1", "ended:halted");
    for (int i = 0; i < 3; i++) {
        plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    machine_of(fixture, 0, &attempt);
    assert_true(attempt > first);
}

/* A new owner reaches the same phase from the ledger and the reports, whatever the phase. */
static void a_new_owner_reaches_the_same(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, next;
    uint64_t attempt;
    start(fixture, &gang);
    show_all(node, "req-1", "running");
    int machine = machine_of(fixture, 1, &attempt);
    show(node, machine, "req-1", "ended:peers", 1, -1);
    assert_int_equal(phase(node, "req-1"), RR_GANG_STOPPING);
    test_controller_init(&next, fixture->store, "n1");
    next.now = node->now;
    fake_store_reload(fixture->store, next.core, next.now);
    test_controller_leave(node);
    test_controller_join(&next, 9);
    for (int k = 1; k <= MACHINES; k++) {
        show(&next, k, "req-1", k == machine ? "ended:peers" : "running", 1, -1);
    }
    assert_int_equal(phase(&next, "req-1"), RR_GANG_STOPPING);
    assert_int_equal(plan(&next, RR_COMMAND_STOP, "req-1", NULL), 2);
    test_controller_clear(&next);
}

static const char *runs(int machine, const char *job_id, uint32_t task, int shown,
                        uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)shown;
    (void)sequence;
    return "running";
}

static const char *is_done(int machine, const char *job_id, uint32_t task, int shown,
                           uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)shown;
    (void)sequence;
    return "ended:done";
}

/* Every machine shows what the ledger has of these jobs there, of each up to so many tasks. */
static void show_jobs(test_controller *node, const char *const *refs, int jobs, uint32_t tasks,
                      shown_task_state_fn state) {
    struct shown_machines show = {.first = 1,
                                  .last = MACHINES,
                                  .last_in_a = 3,
                                  .refs = refs,
                                  .jobs = jobs,
                                  .tasks = tasks,
                                  .most = SHOWN_TASKS_MAX,
                                  .worker_epoch = 1,
                                  .sequence = ++last_sequence,
                                  .state = state};
    test_controller_show_machines(node, &show);
}

/* Where only part of a gang finds its image it goes there all the same, not to the zone with most
 * free room: the next of its kind then finds it on more machines. */
static void a_gang_goes_where_its_image_is(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const char *const one[] = {"req-5"};
    uint64_t attempt;
    show_all(node, "req-1", NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-5", .zone = "a", .cpus = 1},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-5", NULL);
    show_jobs(node, one, 1, 1, runs);
    fake_store_submit(fixture->store, &gang, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-1", NULL);
    for (uint32_t task = 0; task < 3; task++) {
        assert_in_range(machine_of(fixture, task, &attempt), 1, 3);
    }
}

/* A full fleet of low work: a gang whose class has an aim on its start has as much of it stopped as
 * it needs, in one zone, and all of the gang is reserved with that; one that would need more than
 * the zone has stops nothing. */
static void a_gang_makes_room_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job urgent = gang, large = gang;
    const char *const arrays[] = {"req-5"};
    show_all(node, "req-1", NULL);
    fake_store_submit(
        fixture->store,
        &(struct test_job){
            .job_id = "req-5", .rank = "low", .cpus = 8, .pieces = 12, .checkpoint_interval_s = 30},
        node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-5"), 12);
    show_jobs(node, arrays, 1, 12, runs);
    large.job_id = "req-2";
    large.job_class = "live";
    large.pieces = 4; /* of ten CPUs: three machines a zone */
    fake_store_submit(fixture->store, &large, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    node->now += 1;
    plan(node, RR_COMMAND_START, "req-2", NULL);
    node->now += 1;
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-5", NULL), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 0);
    urgent.job_class = "live";
    urgent.pieces = 2;
    fake_store_submit(fixture->store, &urgent, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    uint64_t attempt;
    assert_int_equal(machine_of(fixture, 0, &attempt) <= 3, machine_of(fixture, 1, &attempt) <= 3);
    show_jobs(node, arrays, 1, 12, runs);
    node->now += 1;
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-5", NULL),
                     4); /* two machines' worth, no more */
    assert_int_equal(plan(node, RR_COMMAND_START, "req-1", NULL), 0);
}

/* A replica takes the room of one task of a gang of lower priority: all of the gang is told to save
 * in the same plan, and comes back whole. */
static void a_gang_is_preempted_whole(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job all = gang;
    uint64_t attempt;
    double leave;
    all.cpus = 16;
    all.one_zone = false;
    all.pieces = MACHINES;
    all.rank = "standard";
    start(fixture, &all);
    show_all(node, "req-1", "running");
    fake_store_submit(
        fixture->store,
        &(struct test_job){
            .job_id = "req-2", .rank = "prod", .job_class = "live", .service = true, .cpus = 8},
        node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    show_all(node, "req-1", "running");
    node->now += 1;
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-1", &leave), MACHINES);
    assert_true(leave >= 3);
    assert_int_equal(phase(node, "req-1"), RR_GANG_STOPPING);
    machine_of(fixture, 0, &attempt);
    node->now += 4;
    show_all(node, "req-1", "ended:halted");
    for (int i = 0; i < 4; i++) {
        plan(node, RR_COMMAND_REAP, "req-1", NULL);
        node->now += 0.5;
    }
    /* There is room for five of six now: it waits, and holds none of it. */
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* A team's guarantee makes room for its gang, whole, of the work that another team runs beyond its
 * own; and not for more than the guarantee. */
static void a_guarantee_makes_room_for_a_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job owed = gang, beyond = gang;
    const char *const others[] = {"req-5"};
    node->config.teams[1].cpus = 20; /* blue */
    show_all(node, "req-1", NULL);
    fake_store_submit(
        fixture->store,
        &(struct test_job){
            .job_id = "req-5", .rank = "prod", .cpus = 16, .pieces = MACHINES, .service = true},
        node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-5"), MACHINES);
    show_jobs(node, others, 1, 12, runs);
    owed.team = beyond.team = "blue";
    owed.rank = beyond.rank = "low";
    owed.pieces = 2;
    beyond.job_id = "req-2";
    fake_store_submit(fixture->store, &beyond, node->now); /* thirty CPUs */
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 0);
    fake_store_submit(fixture->store, &owed, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    node->now += 0.1;
    plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 2);
    show_jobs(node, others, 1, 12, runs);
    node->now += 1;
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-5", NULL), 2);
}

#define SMALL_JOBS 40

/* On each machine one task in twelve reports ends. */
static const char *one_ends_now_and_then(int machine, const char *job_id, uint32_t task, int shown,
                                         uint64_t sequence) {
    (void)job_id;
    (void)task;
    return shown == 0 && (sequence + (uint64_t)machine) % 12 == 0 ? "ended:done" : "running";
}

static uint32_t done_of(const test_controller *node, const char *const *refs, int many) {
    uint32_t done = 0;
    for (int i = 0; i < many; i++) {
        rr_job_view view;
        rr_core_job_view(node->core, refs[i], node->now, &view);
        done += view.done_count;
    }
    return done;
}

/* Now and then one of the small tasks that fill the fleet ends, and many more wait; two gangs, each
 * of which needs a whole zone, begin within four minutes, never half of one, and the small ones go
 * on all the while. */
static void gangs_among_a_stream_of_small_tasks(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job first = gang, second = gang;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    unsigned begun[2] = {0, 0};
    first.rank = second.rank = "low";
    first.cpus = second.cpus = 16;
    second.job_id = "req-2";
    show_all(node, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fake_store_submit(
            fixture->store,
            &(struct test_job){
                .job_id = small[i], .rank = "low", .cpus = 8, .pieces = 12, .deadline_s = 20},
            node->now);
    }
    fake_store_submit(fixture->store, &first, node->now);
    fake_store_submit(fixture->store, &second, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    double began = node->now;
    while (begun[0] + begun[1] < 2 && node->now - began < 240) {
        plan(node, RR_COMMAND_START, "req-1", NULL);
        unsigned held[2] = {fake_store_placed_count(fixture->store, "req-1"),
                            fake_store_placed_count(fixture->store, "req-2")};
        assert_true(held[0] % 3 == 0 && held[1] % 3 == 0);
        begun[0] = held[0] == 3;
        begun[1] = held[1] == 3;
        node->now += 1;
        show_jobs(node, small, SMALL_JOBS, 12, one_ends_now_and_then);
    }
    assert_int_equal(begun[0] + begun[1], 2);
    /* One task in twelve seconds ends on each machine: half of those ended, of all that could. */
    assert_true(done_of(node, small, SMALL_JOBS) > (node->now - began) / 12 * MACHINES / 2);
}

static const char *one_in_eight_ends(int machine, const char *job_id, uint32_t task, int shown,
                                     uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)shown;
    return (sequence + task) % 8 == 0 ? "ended:done" : "running";
}

/* The limit of its team is what a gang waits for: what its team's small tasks give back is kept for
 * it, too. */
static void a_limit_is_gathered_for_a_gang(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    node->config.teams[0].cpus_max = 32;
    show_all(node, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fake_store_submit(
            fixture->store,
            &(struct test_job){.job_id = small[i], .rank = "low", .cpus = 8, .pieces = 12},
            node->now);
    }
    fake_store_sync(fixture->store, node->core, node->now);
    plan(node, RR_COMMAND_START, "req-100", NULL);
    fake_store_submit(fixture->store, &gang, node->now); /* thirty CPUs */
    fake_store_sync(fixture->store, node->core, node->now);
    double began = node->now;
    while (fake_store_placed_count(fixture->store, "req-1") == 0 && node->now - began < 240) {
        node->now += 2;
        show_jobs(node, small, SMALL_JOBS, 12, one_in_eight_ends);
        plan(node, RR_COMMAND_START, "req-1", NULL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 3);
}

/* A gang of more tasks than one record holds under the limits to come is reserved in one
 * transaction all the same, and ends with one. */
static void a_gang_over_several_records(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    struct test_job wide = gang;
    const char *const wide_ref[] = {"req-1"};
    rr_job_view view;
    node->config.next_value_kb = 2;
    node->config.next_transaction_changes_max = 4;
    fixture->store->value_max = (size_t)2 * 1024;
    fixture->store->ops_max = 4;
    wide.cpus = wide.mem_gb = 1;
    wide.one_zone = false;
    wide.pieces = 60;
    show_all(node, "req-1", NULL);
    fake_store_submit(fixture->store, &wide, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    uint64_t before = fixture->store->epoch;
    plan(node, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
    assert_int_equal(fixture->store->epoch, before + 1);
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/") == 2);
    shared_attempt(fixture, 60);
    show_jobs(node, wide_ref, 1, 60, runs);
    assert_int_equal(phase(node, "req-1"), RR_GANG_RUNNING);
    node->now += 20;
    show_jobs(node, wide_ref, 1, 60, is_done);
    before = fixture->store->epoch;
    plan(node, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done);
    assert_int_equal(fixture->store->epoch, before + 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

/* What can never run is told so; while a version serves that knows no gangs, or comes back, one is
 * asked to come again, and what was accepted stays; its cancellation by such a version holds. */
static void admission(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_submission submission;
    const char *why = "";
    struct test_job job = gang;
    test_submission(&submission, &job);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
    node->config.teams[0].cpus_max = 25;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    node->config.teams[0].cpus_max = 30;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
    node->config.teams[0].cpus_max = 0;
    submission.task_count = 5000;
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNSATISFIABLE);
    submission.task_count = 3;
    start(fixture, &gang);
    show_all(node, "req-1", "running");
    g_strlcpy(submission.job_id, "req-9", sizeof submission.job_id);
    test_controller_join_old_version(node);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why),
                     RR_SUBMISSION_UNDECIDED);
    assert_false(rr_core_all_gang_capable(node->core)); /* nor is anything new told over links */
    rr_job_view view;
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_string_equal(view.state, "running");
    rr_encoder encoder; /* it could not read the job, and cancels it */
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 3);
    rr_encode_key_text(&encoder, "ref", "req-1");
    rr_encode_key_text(&encoder, "shape", "batch");
    rr_encode_key_bool(&encoder, "cancelled", true);
    fake_store_put(fixture->store, RR_KEY_ROOT "job/req-1", &encoder);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.cancelled);
    test_controller_leave_old_version(node);
    show_all(node, "req-1", "running");
    assert_int_equal(plan(node, RR_COMMAND_STOP, "req-1", NULL), 3);
    assert_int_equal(rr_core_check_submission(node->core, &submission, &why), RR_SUBMISSION_NEW);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(booked_together),
                                       cmocka_unit_test(every_event_in_every_phase),
                                       T(lost_and_brought_back),
                                       T(done_together),
                                       T(done_with_one_unheard),
                                       T(a_notice_saves_all),
                                       T(no_half_of_one),
                                       T(a_start_in_doubt),
                                       T(a_new_owner_reaches_the_same),
                                       T(a_gang_goes_where_its_image_is),
                                       T(a_gang_makes_room_whole),
                                       T(a_gang_is_preempted_whole),
                                       T(a_guarantee_makes_room_for_a_gang),
                                       T(gangs_among_a_stream_of_small_tasks),
                                       T(a_limit_is_gathered_for_a_gang),
                                       T(a_gang_over_several_records),
                                       T(admission)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
