/* Gangs: all tasks run at the same time or none does, through every phase and every loss. */
#include "fakes.h"

#include "core/model.h"

#include <string.h>

#define MACHINES 6

static int setup(void **state) {
    fx_world_setup(state);
    fx_world *w = *state;
    for (int i = 1; i <= MACHINES; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_machine(w->store, id, i <= 3 ? "a" : "b", false, true);
    }
    fx_sync(w->store, w->n.core, w->n.now);
    return 0;
}

static const struct fx_job gang = {.job_id = "req-1",
                                   .gang = true,
                                   .one_zone = true,
                                   .pieces = 3,
                                   .cpus = 10,
                                   .checkpoint_interval_s = 20,
                                   .save_s = 3,
                                   .rank = "high"};

static uint64_t last_sequence = 1; /* of all reports */

/* What a machine shows of the gang: its tasks there in this standing; NULL: none. */
static void show(fx_node *n, int m, const char *ref, const char *standing, uint64_t worker_epoch,
                 double recall) {
    char id[16], *text[5] = {NULL};
    int k = 0;
    g_snprintf(id, sizeof id, "vm-%d", m);
    for (uint32_t t = 0; standing && t < 8 && k < 4; t++) {
        uint64_t at = fx_booked(n->store, id, ref, t);
        if (at) {
            text[k++] = g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", ref, t, at, standing);
        }
    }
    n->spot_notice_s = recall;
    fx_report(n, id, m <= 3 ? "a" : "b", false, worker_epoch, ++last_sequence,
              rr_core_fencing_token(n->core), text[0], text[1], text[2], text[3], NULL);
    n->spot_notice_s = -1;
    for (int i = 0; i < k; i++) {
        g_free(text[i]);
    }
}

static void show_all(fx_node *n, const char *ref, const char *standing) {
    for (int m = 1; m <= MACHINES; m++) {
        show(n, m, ref, standing, 1, -1);
    }
}

/* One plan, answered: how many orders of this verb went out for the job, and the least grace. */
static unsigned plan(fx_node *n, enum rr_command_kind verb, const char *ref, double *leave) {
    rr_plan p;
    unsigned found = 0;
    double least = 1e9;
    fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_command_batch *d = g_ptr_array_index(p.command_batches, i);
        for (guint k = 0; k < d->commands->len; k++) {
            const rr_command *o = &g_array_index(d->commands, rr_command, k);
            if (o->kind == verb && strcmp(o->job_id, ref) == 0) {
                found++;
                least = o->grace_s < least ? o->grace_s : least;
            }
        }
        rr_core_command_result(n->core, n->now, d, RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&p);
    if (leave) {
        *leave = least;
    }
    return found;
}

static enum rr_gang_phase phase(const fx_node *n, const char *ref) {
    return rr_gang_phase(n->core, g_hash_table_lookup(n->core->jobs, ref), n->now);
}

/* Submits the gang, books and starts it. */
static void start(fx_world *w, const struct fx_job *j) {
    fx_node *n = &w->n;
    show_all(n, j->job_id, NULL);
    fx_submit(w->store, j, n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, j->job_id, NULL);
    assert_int_equal(plan(n, RR_COMMAND_START, j->job_id, NULL), j->pieces);
}

static int machine_of(const fx_world *w, uint32_t task, uint64_t *attempt) {
    for (int m = 1; m <= MACHINES; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        *attempt = fx_booked(w->store, id, "req-1", task);
        if (*attempt) {
            return m;
        }
    }
    return 0;
}

/* The attempt of all these tasks, by which they find each other: they have the same. */
static uint64_t shared_attempt(const fx_world *w, uint32_t tasks) {
    uint64_t attempt, other;
    machine_of(w, 0, &attempt);
    for (uint32_t t = 1; t < tasks; t++) {
        machine_of(w, t, &other);
        assert_true(other == attempt);
    }
    return attempt;
}

static void booked_together(void **state) {
    fx_world *w = *state;
    uint64_t first, at;
    start(w, &gang);
    assert_int_equal(fx_placed(w->store, "req-1"), 3);
    int zone = machine_of(w, 0, &first) <= 3;
    for (uint32_t t = 1; t < 3; t++) {
        assert_int_equal(machine_of(w, t, &at) <= 3, zone);
        assert_true(at == first); /* they find each other by it */
    }
}

enum event { NOTHING, ENDED_PEERS, ENDED_DONE, TENURE, GONE, NOTICE, ABSENT, CANCEL, EVENTS };

/* What the machines show of a gang in each phase. */
static const char *const shown_in[] = {NULL, NULL, "waiting", "running"};

/* Lets one thing happen to the gang, or to its machine m. */
static void let_happen(fx_world *w, enum event event, int m, enum rr_gang_phase before) {
    fx_node *n = &w->n;
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", m);
    switch (event) {
    case NOTHING:
    case EVENTS:
        break;
    case ENDED_PEERS:
        show(n, m, "req-1", "ended:peers", 1, -1);
        break;
    case ENDED_DONE:
        show(n, m, "req-1", "ended:done", 1, -1);
        break;
    case TENURE:
        show(n, m, "req-1", NULL, 2, -1);
        break;
    case GONE:
        fx_machine_gone(w->store, id);
        fx_sync(w->store, n->core, n->now);
        break;
    case NOTICE:
        show(n, m, "req-1", shown_in[before], 1, 20);
        break;
    case ABSENT:
        n->now += n->config.gang_wait_s * 0.6;
        show_all(n, "req-1", shown_in[before]);
        show(n, m, "req-1", NULL, 1, -1);
        break;
    case CANCEL:
        fx_cancel(n, "req-1");
        break;
    }
}

/* The phase that follows. A notice or a cancellation that no machine shows a task for changes
 * nothing yet: booked tasks are not started then. */
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
        fx_world *w;
        uint64_t at;
        double leave;
        setup((void **)&w);
        fx_node *n = &w->n;
        start(w, &gang);
        assert_int_equal(phase(n, "req-1"), RR_GANG_RESERVED);
        if (before != RR_GANG_RESERVED) {
            show_all(n, "req-1", shown_in[before]);
        }
        assert_int_equal(phase(n, "req-1"), before);
        int m = machine_of(w, 1, &at);
        n->now += 2;
        show_all(n, "req-1", shown_in[before]);
        let_happen(w, event, m, before);
        assert_int_equal(phase(n, "req-1"), phase_after(event, before));
        unsigned stops = plan(n, RR_COMMAND_STOP, "req-1", &leave);
        assert_int_equal(stops, stops_after(event, before));
        if (stops > 0) {
            assert_true(event == NOTICE ? leave >= 3 : leave == 0);
        }
        fx_world_teardown((void **)&w);
    }
}

/* One of a running gang is lost with its machine's lease; the others are told at once and exit. Not
 * before all are proven over is anything placed anew, then all of them, under a new attempt. */
static void lost_and_brought_back(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    uint64_t first, at;
    start(w, &gang);
    show_all(n, "req-1", "running");
    plan(n, RR_COMMAND_START, "req-1", NULL);
    int m = machine_of(w, 1, &first);
    n->now += 1;
    show(n, m, "req-1", NULL, 2, -1);
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-1", NULL), 2);
    for (int i = 0; i < 6; i++) { /* one of the others goes on, or can't be heard */
        n->now += 1;
        int slow = machine_of(w, 2, &at);
        for (int k = 1; k <= MACHINES; k++) {
            if (k != slow) {
                show(n, k, "req-1", k == m ? NULL : "ended:peers", k == m ? 2 : 1, -1);
            }
        }
        plan(n, RR_COMMAND_STOP, "req-1", NULL);
        assert_int_equal(fx_placed(w->store, "req-1"), 3);
        assert_true(machine_of(w, 2, &at) == slow && at == first);
    }
    n->now += 1;
    for (int k = 1; k <= MACHINES; k++) {
        show(n, k, "req-1", k == m ? NULL : "ended:peers", k == m ? 2 : 1, -1);
    }
    for (int i = 0; i < 3; i++) {
        plan(n, RR_COMMAND_REAP, "req-1", NULL);
        n->now += 0.5;
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 3);
    assert_true(shared_attempt(w, 3) > first);
}

/* One done means all are: the job ends with one change, and is called done by nobody before. */
static void done_together(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_job_view v;
    uint64_t at;
    start(w, &gang);
    show_all(n, "req-1", "running");
    plan(n, RR_COMMAND_START, "req-1", NULL);
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_string_equal(v.state, "running");
    n->now += 30;
    show_all(n, "req-1", "running");
    int m = machine_of(w, 0, &at);
    uint64_t before = w->store->epoch;
    show(n, m, "req-1", "ended:done", 1, -1);
    plan(n, RR_COMMAND_REAP, "req-1", NULL);
    n->now += 0.5;
    show_all(n, "req-1", "ended:done");
    plan(n, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_true(v.done && v.done_count == 3);
    assert_int_equal(w->store->epoch, before + 1);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
}

/* Done on one machine while another can't be heard: the user is told in time, and what is left goes
 * when it is proven over. */
static void done_with_one_unheard(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_job_view v;
    uint64_t at;
    start(w, &gang);
    show_all(n, "req-1", "running");
    n->now += 30;
    show_all(n, "req-1", "running");
    show(n, machine_of(w, 0, &at), "req-1", "ended:done", 1, -1);
    for (int i = 0; i < 4; i++) {
        plan(n, RR_COMMAND_REAP, "req-1", NULL);
        n->now += 0.5;
    }
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_true(v.done);
    assert_int_equal(fx_placed(w->store, "req-1"), 2);
    show_all(n, "req-1", "ended:done");
    plan(n, RR_COMMAND_REAP, "req-1", NULL);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
}

/* Told to save, the gang is left to it: no second stop without grace follows the first exit. */
static void a_notice_saves_all(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    uint64_t at;
    double leave;
    start(w, &gang);
    show_all(n, "req-1", "running");
    plan(n, RR_COMMAND_START, "req-1", NULL);
    int m = machine_of(w, 0, &at);
    show(n, m, "req-1", "running", 1, 20);
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-1", &leave), 3);
    assert_true(leave >= 3 && leave <= 3 + n->config.gang_peer_s);
    n->now += 1.6;
    show_all(n, "req-1", "flushing");
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-1", NULL), 0);
    n->now += 1.6;
    show(n, m, "req-1", "ended:halted", 1, 18);
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-1", NULL), 0);
}

/* The limit counts the whole gang, and a gang without room holds none: another that fits goes. */
static void no_half_of_one(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job large = gang, small = gang, other = gang;
    large.pieces = 4; /* ten CPUs of sixteen each: three machines a zone */
    small.job_id = "req-2";
    small.pieces = 2;
    other.job_id = "req-3";
    other.one_zone = false;
    other.pieces = 4;
    show_all(n, "req-1", NULL);
    fx_submit(w->store, &large, n->now);
    fx_submit(w->store, &small, n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
    assert_int_equal(fx_placed(w->store, "req-2"), 2);
    fx_submit(w->store, &other, n->now);
    fx_sync(w->store, n->core, n->now);
    n->now += 0.1;
    plan(n, RR_COMMAND_START, "req-3", NULL);
    assert_int_equal(fx_placed(w->store, "req-3"), 4); /* over both zones */
    n->config.teams[0].cpus_max = 90;
    struct fx_job over = gang;
    over.job_id = "req-4";
    over.one_zone = false;
    over.cpus = 11;
    over.pieces = 3;
    fx_submit(w->store, &over, n->now);
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 4; i++) {
        n->now += 1;
        plan(n, RR_COMMAND_START, "req-4", NULL);
    }
    assert_int_equal(fx_placed(w->store, "req-4"), 0);
}

/* A start stays in doubt while the gang is given up: its copy may come late, so that the place is
 * kept until the exited attempt blocks it; only then does the next attempt begin. */
static void a_start_in_doubt(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    uint64_t first, at;
    rr_plan p;
    show_all(n, "req-1", NULL);
    fx_submit(w->store, &gang, n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-1", NULL);
    int m = machine_of(w, 0, &first);
    char id[16];
    g_snprintf(id, sizeof id, "vm-%d", m);
    fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_command_batch *d = g_ptr_array_index(p.command_batches, i);
        bool lost = strcmp(d->machine, id) == 0;
        rr_core_command_result(n->core, n->now, d,
                               lost ? RR_COMMAND_OUTCOME_UNKNOWN : RR_COMMAND_ANSWERED, !lost);
    }
    rr_plan_clear(&p);
    for (int k = 1; k <= MACHINES; k++) {
        show(n, k, "req-1", k == m ? NULL : "ended:incomplete", 1, -1);
    }
    n->now += 1.6;
    for (int k = 1; k <= MACHINES; k++) {
        show(n, k, "req-1", k == m ? NULL : "ended:incomplete", 1, -1);
    }
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, id, RR_COMMAND_START, "req-1", 0));
    assert_non_null(fx_order(&p, id, RR_COMMAND_STOP, "req-1", 0));
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&p);
    assert_true(machine_of(w, 0, &at) == m && at == first);
    n->now += 1;
    show_all(n, "req-1", "ended:halted");
    for (int i = 0; i < 3; i++) {
        plan(n, RR_COMMAND_REAP, "req-1", NULL);
        n->now += 0.5;
    }
    machine_of(w, 0, &at);
    assert_true(at > first);
}

/* A new owner reaches the same phase from the ledger and the reports, whatever the phase. */
static void a_new_owner_reaches_the_same(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, next;
    uint64_t at;
    start(w, &gang);
    show_all(n, "req-1", "running");
    int m = machine_of(w, 1, &at);
    show(n, m, "req-1", "ended:peers", 1, -1);
    assert_int_equal(phase(n, "req-1"), RR_GANG_STOPPING);
    fx_node_init(&next, w->store, "n1");
    next.now = n->now;
    fx_reread(w->store, next.core, next.now);
    fx_leave(n);
    fx_join(&next, 9);
    for (int k = 1; k <= MACHINES; k++) {
        show(&next, k, "req-1", k == m ? "ended:peers" : "running", 1, -1);
    }
    assert_int_equal(phase(&next, "req-1"), RR_GANG_STOPPING);
    assert_int_equal(plan(&next, RR_COMMAND_STOP, "req-1", NULL), 2);
    fx_node_clear(&next);
}

static const char *runs(int machine, const char *ref, uint32_t task, int shown, uint64_t sequence) {
    (void)machine;
    (void)ref;
    (void)task;
    (void)shown;
    (void)sequence;
    return "running";
}

static const char *is_done(int machine, const char *ref, uint32_t task, int shown,
                           uint64_t sequence) {
    (void)machine;
    (void)ref;
    (void)task;
    (void)shown;
    (void)sequence;
    return "ended:done";
}

/* Every machine shows what the ledger has of these jobs there, of each up to so many tasks. */
static void show_jobs(fx_node *n, const char *const *refs, int jobs, uint32_t tasks,
                      fx_task_state state) {
    struct fx_show show = {.first = 1,
                           .last = MACHINES,
                           .last_in_a = 3,
                           .refs = refs,
                           .jobs = jobs,
                           .tasks = tasks,
                           .most = FX_SHOWN_MAX,
                           .worker_epoch = 1,
                           .sequence = ++last_sequence,
                           .state = state};
    fx_show_jobs(n, &show);
}

/* Where only part of a gang finds its image it goes there all the same, not to the zone with most
 * free room: the next of its kind then finds it on more machines. */
static void a_gang_goes_where_its_image_is(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    const char *const one[] = {"req-5"};
    uint64_t at;
    show_all(n, "req-1", NULL);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-5", .zone = "a", .cpus = 1}, n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-5", NULL);
    show_jobs(n, one, 1, 1, runs);
    fx_submit(w->store, &gang, n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-1", NULL);
    for (uint32_t t = 0; t < 3; t++) {
        assert_in_range(machine_of(w, t, &at), 1, 3);
    }
}

/* A full fleet of low work: a gang whose class has an aim on its start has as much of it stopped as
 * it needs, in one zone, and all of the gang is booked with that; one that would need more than the
 * zone has stops nothing. */
static void a_gang_makes_room_whole(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job urgent = gang, large = gang;
    const char *const arrays[] = {"req-5"};
    show_all(n, "req-1", NULL);
    fx_submit(
        w->store,
        &(struct fx_job){
            .job_id = "req-5", .rank = "low", .cpus = 8, .pieces = 12, .checkpoint_interval_s = 30},
        n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fx_placed(w->store, "req-5"), 12);
    show_jobs(n, arrays, 1, 12, runs);
    large.job_id = "req-2";
    large.job_class = "live";
    large.pieces = 4; /* of ten CPUs: three machines a zone */
    fx_submit(w->store, &large, n->now);
    fx_sync(w->store, n->core, n->now);
    n->now += 1;
    plan(n, RR_COMMAND_START, "req-2", NULL);
    n->now += 1;
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-5", NULL), 0);
    assert_int_equal(fx_placed(w->store, "req-2"), 0);
    urgent.job_class = "live";
    urgent.pieces = 2;
    fx_submit(w->store, &urgent, n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fx_placed(w->store, "req-1"), 2);
    uint64_t at;
    assert_int_equal(machine_of(w, 0, &at) <= 3, machine_of(w, 1, &at) <= 3);
    show_jobs(n, arrays, 1, 12, runs);
    n->now += 1;
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-5", NULL), 4); /* two machines' worth, no more */
    assert_int_equal(plan(n, RR_COMMAND_START, "req-1", NULL), 0);
}

/* A replica takes the room of one task of a gang of lower priority: all of the gang is told to save
 * in the same plan, and comes back whole. */
static void a_gang_is_preempted_whole(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job all = gang;
    uint64_t at;
    double leave;
    all.cpus = 16;
    all.one_zone = false;
    all.pieces = MACHINES;
    all.rank = "standard";
    start(w, &all);
    show_all(n, "req-1", "running");
    fx_submit(
        w->store,
        &(struct fx_job){
            .job_id = "req-2", .rank = "prod", .job_class = "live", .service = true, .cpus = 8},
        n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fx_placed(w->store, "req-2"), 1);
    show_all(n, "req-1", "running");
    n->now += 1;
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-1", &leave), MACHINES);
    assert_true(leave >= 3);
    assert_int_equal(phase(n, "req-1"), RR_GANG_STOPPING);
    machine_of(w, 0, &at);
    n->now += 4;
    show_all(n, "req-1", "ended:halted");
    for (int i = 0; i < 4; i++) {
        plan(n, RR_COMMAND_REAP, "req-1", NULL);
        n->now += 0.5;
    }
    /* There is room for five of six now: it waits, and holds none of it. */
    assert_int_equal(fx_placed(w->store, "req-2"), 1);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
}

/* A team's guarantee makes room for its gang, whole, of the work that another team runs beyond its
 * own; and not for more than the guarantee. */
static void a_guarantee_makes_room_for_a_gang(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job owed = gang, beyond = gang;
    const char *const others[] = {"req-5"};
    n->config.teams[1].cpus = 20; /* blue */
    show_all(n, "req-1", NULL);
    fx_submit(
        w->store,
        &(struct fx_job){
            .job_id = "req-5", .rank = "prod", .cpus = 16, .pieces = MACHINES, .service = true},
        n->now);
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-5", NULL);
    assert_int_equal(fx_placed(w->store, "req-5"), MACHINES);
    show_jobs(n, others, 1, 12, runs);
    owed.team = beyond.team = "blue";
    owed.rank = beyond.rank = "low";
    owed.pieces = 2;
    beyond.job_id = "req-2";
    fx_submit(w->store, &beyond, n->now); /* thirty CPUs */
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-2", NULL);
    assert_int_equal(fx_placed(w->store, "req-2"), 0);
    fx_submit(w->store, &owed, n->now);
    fx_sync(w->store, n->core, n->now);
    n->now += 0.1;
    plan(n, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fx_placed(w->store, "req-1"), 2);
    show_jobs(n, others, 1, 12, runs);
    n->now += 1;
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-5", NULL), 2);
}

#define SMALL_JOBS 40

/* On each machine one task in twelve reports ends. */
static const char *one_ends_now_and_then(int machine, const char *ref, uint32_t task, int shown,
                                         uint64_t sequence) {
    (void)ref;
    (void)task;
    return shown == 0 && (sequence + (uint64_t)machine) % 12 == 0 ? "ended:done" : "running";
}

static uint32_t done_of(const fx_node *n, const char *const *refs, int many) {
    uint32_t done = 0;
    for (int i = 0; i < many; i++) {
        rr_job_view v;
        rr_core_job_view(n->core, refs[i], n->now, &v);
        done += v.done_count;
    }
    return done;
}

/* Now and then one of the small tasks that fill the fleet ends, and many more wait; two gangs, each
 * of which needs a whole zone, begin within four minutes, never half of one, and the small ones go
 * on all the while. */
static void gangs_among_a_stream_of_small_tasks(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job first = gang, second = gang;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    unsigned begun[2] = {0, 0};
    first.rank = second.rank = "low";
    first.cpus = second.cpus = 16;
    second.job_id = "req-2";
    show_all(n, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fx_submit(w->store,
                  &(struct fx_job){
                      .job_id = small[i], .rank = "low", .cpus = 8, .pieces = 12, .deadline_s = 20},
                  n->now);
    }
    fx_submit(w->store, &first, n->now);
    fx_submit(w->store, &second, n->now);
    fx_sync(w->store, n->core, n->now);
    double began = n->now;
    while (begun[0] + begun[1] < 2 && n->now - began < 240) {
        plan(n, RR_COMMAND_START, "req-1", NULL);
        unsigned held[2] = {fx_placed(w->store, "req-1"), fx_placed(w->store, "req-2")};
        assert_true(held[0] % 3 == 0 && held[1] % 3 == 0);
        begun[0] = held[0] == 3;
        begun[1] = held[1] == 3;
        n->now += 1;
        show_jobs(n, small, SMALL_JOBS, 12, one_ends_now_and_then);
    }
    assert_int_equal(begun[0] + begun[1], 2);
    /* One task in twelve seconds ends on each machine: half of those ended, of all that could. */
    assert_true(done_of(n, small, SMALL_JOBS) > (n->now - began) / 12 * MACHINES / 2);
}

static const char *one_in_eight_ends(int machine, const char *ref, uint32_t task, int shown,
                                     uint64_t sequence) {
    (void)machine;
    (void)ref;
    (void)shown;
    return (sequence + task) % 8 == 0 ? "ended:done" : "running";
}

/* The limit of its team is what a gang waits for: what its team's small tasks give back is kept for
 * it, too. */
static void a_limit_is_gathered_for_a_gang(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    static char names[SMALL_JOBS][16];
    const char *small[SMALL_JOBS];
    n->config.teams[0].cpus_max = 32;
    show_all(n, "req-1", NULL);
    for (int i = 0; i < SMALL_JOBS; i++) {
        g_snprintf(names[i], sizeof names[i], "req-1%02d", i);
        small[i] = names[i];
        fx_submit(w->store,
                  &(struct fx_job){.job_id = small[i], .rank = "low", .cpus = 8, .pieces = 12},
                  n->now);
    }
    fx_sync(w->store, n->core, n->now);
    plan(n, RR_COMMAND_START, "req-100", NULL);
    fx_submit(w->store, &gang, n->now); /* thirty CPUs */
    fx_sync(w->store, n->core, n->now);
    double began = n->now;
    while (fx_placed(w->store, "req-1") == 0 && n->now - began < 240) {
        n->now += 2;
        show_jobs(n, small, SMALL_JOBS, 12, one_in_eight_ends);
        plan(n, RR_COMMAND_START, "req-1", NULL);
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 3);
}

/* A gang of more tasks than one record holds under the limits to come is booked in one transaction
 * all the same, and ends with one. */
static void a_gang_over_several_records(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job wide = gang;
    const char *const wide_ref[] = {"req-1"};
    rr_job_view v;
    n->config.next_value_kb = 2;
    n->config.next_transaction_changes_max = 4;
    w->store->value_max = (size_t)2 * 1024;
    w->store->ops_max = 4;
    wide.cpus = wide.mem_gb = 1;
    wide.one_zone = false;
    wide.pieces = 60;
    show_all(n, "req-1", NULL);
    fx_submit(w->store, &wide, n->now);
    fx_sync(w->store, n->core, n->now);
    uint64_t before = w->store->epoch;
    plan(n, RR_COMMAND_START, "req-1", NULL);
    assert_int_equal(fx_placed(w->store, "req-1"), 60);
    assert_int_equal(w->store->epoch, before + 1);
    assert_true(fx_count(w->store, RR_KEY_ROOT "run/req-1/") == 2);
    shared_attempt(w, 60);
    show_jobs(n, wide_ref, 1, 60, runs);
    assert_int_equal(phase(n, "req-1"), RR_GANG_RUNNING);
    n->now += 20;
    show_jobs(n, wide_ref, 1, 60, is_done);
    before = w->store->epoch;
    plan(n, RR_COMMAND_REAP, "req-1", NULL);
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_true(v.done);
    assert_int_equal(w->store->epoch, before + 1);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
}

/* What can never run is told so; while a version serves that knows no gangs, or comes back, one is
 * asked to come again, and what was accepted stays; its cancellation by such a version holds. */
static void admission(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_submission s;
    const char *why = "";
    struct fx_job j = gang;
    fx_submission(&s, &j);
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_NEW);
    n->config.teams[0].cpus_max = 25;
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_UNSATISFIABLE);
    n->config.teams[0].cpus_max = 30;
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_NEW);
    n->config.teams[0].cpus_max = 0;
    s.task_count = 5000;
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_UNSATISFIABLE);
    s.task_count = 3;
    start(w, &gang);
    show_all(n, "req-1", "running");
    g_strlcpy(s.job_id, "req-9", sizeof s.job_id);
    fx_join_old_version(n);
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_UNDECIDED);
    assert_false(rr_core_all_gang_capable(n->core)); /* nor is anything new told over links */
    rr_job_view v;
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_string_equal(v.state, "running");
    rr_encoder o; /* it could not read the job, and cancels it */
    rr_encoder_init(&o);
    rr_encode_map(&o, 3);
    rr_encode_key_text(&o, "ref", "req-1");
    rr_encode_key_text(&o, "shape", "batch");
    rr_encode_key_bool(&o, "cancelled", true);
    fx_put(w->store, RR_KEY_ROOT "job/req-1", &o);
    fx_sync(w->store, n->core, n->now);
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_true(v.cancelled);
    fx_leave_old_version(n);
    show_all(n, "req-1", "running");
    assert_int_equal(plan(n, RR_COMMAND_STOP, "req-1", NULL), 3);
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_NEW);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, fx_world_teardown)

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
