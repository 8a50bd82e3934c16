/* The rules that must hold under every failure, each test tied to one way of breaking them. */
#include "fakes.h"

#include <string.h>

/* The fixture, with a machine in each zone. */
static int setup(void **state) {
    fx_world_setup(state);
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_machine(w->store, "vm-2", "b", false, false);
    fx_sync(w->store, w->n.core, w->n.now);
    return 0;
}

/* Both machines report empty; the job is booked on one of them, whose id comes back. */
static const char *book_one(fx_world *w, const struct fx_job *j, uint64_t *attempt) {
    rr_plan p;
    fx_report(&w->n, "vm-1", "a", false, 1, 1, rr_core_fencing_token(w->n.core), NULL);
    fx_report(&w->n, "vm-2", "b", false, 1, 1, rr_core_fencing_token(w->n.core), NULL);
    fx_submit(w->store, j, w->n.now);
    fx_sync(w->store, w->n.core, w->n.now);
    assert_int_equal(fx_plan(&w->n, &p), 1);
    /* Nothing is started before the booking is recorded. */
    assert_int_equal(p.command_batches->len, 0);
    rr_plan_clear(&p);
    *attempt = fx_booked(w->store, "vm-1", j->job_id, 0);
    if (*attempt) {
        return "vm-1";
    }
    *attempt = fx_booked(w->store, "vm-2", j->job_id, 0);
    assert_true(*attempt != 0);
    return "vm-2";
}

static const char *zone_of(const char *id) {
    return strcmp(id, "vm-1") == 0 ? "a" : "b";
}

static char *shown(const char *ref, uint64_t attempt, const char *standing) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " %s", ref, attempt, standing);
}

/* A start went unanswered: its copy may come minutes late. Absence from a report then proves
 * nothing; the task is started and stopped under the same token, so that an exited attempt blocks
 * the late copy, and that attempt is not reaped before the next term. */
static void late_start_after_reassignment(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000001", .service = true};
    uint64_t at;
    rr_plan p;
    const char *m = book_one(w, &j, &at);
    fx_plan(n, &p);
    rr_command_batch *d = fx_do(&p, m);
    assert_non_null(fx_order(&p, m, RR_COMMAND_START, j.job_id, 0));
    rr_core_command_result(n->core, n->now, d, RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&p);
    fx_cancel(n, j.job_id);
    n->now += 3;
    fx_report(n, m, zone_of(m), false, 1, 2, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == at);
    const rr_command *start = fx_order(&p, m, RR_COMMAND_START, j.job_id, 0);
    const rr_command *stop = fx_order(&p, m, RR_COMMAND_STOP, j.job_id, 0);
    assert_non_null(start);
    assert_non_null(stop);
    assert_true(start < stop);
    rr_core_command_result(n->core, n->now, fx_do(&p, m), RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&p);
    /* Exited now: the booking may go, the attempt must stay as a block. */
    char *ended = shown(j.job_id, at, "ended:halted");
    n->now += 1;
    fx_report(n, m, zone_of(m), false, 1, 3, rr_core_fencing_token(n->core), ended, NULL);
    assert_int_equal(fx_plan(n, &p), 1);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == 0);
    fx_plan(n, &p);
    assert_null(fx_order(&p, m, RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p);
    /* The next term voids the late copy: now it is reaped. */
    fx_join(n, 8);
    n->now += 1;
    fx_report(n, m, zone_of(m), false, 1, 4, rr_core_fencing_token(n->core), ended, NULL);
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, m, RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p);
    g_free(ended);
}

/* A task's completion is recorded, in one transaction with the end of its booking, before the
 * worker is told to forget it: a crash in between finds it in the report again. */
static void done_is_recorded_before_reap(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000002"};
    uint64_t at;
    rr_plan p;
    rr_job_view v;
    const char *m = book_one(w, &j, &at);
    char *ended = shown(j.job_id, at, "ended:done");
    fx_report(n, m, zone_of(m), false, 1, 2, rr_core_fencing_token(n->core), ended, NULL);
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    assert_true(p.has_transaction);
    assert_null(fx_order(&p, m, RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p); /* the controller dies here: nothing is lost */
    rr_core_job_view(n->core, j.job_id, n->now, &v);
    assert_false(v.done);
    assert_int_equal(fx_plan(n, &p), 1);
    rr_plan_clear(&p);
    rr_core_job_view(n->core, j.job_id, n->now, &v);
    assert_true(v.done);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == 0);
    /* The reap waits for another command to go with, but not for ever. */
    fx_plan(n, &p);
    assert_null(fx_order(&p, m, RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p);
    n->now += n->config.heartbeat_interval_s;
    fx_report(n, m, zone_of(m), false, 1, 3, rr_core_fencing_token(n->core), ended, NULL);
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, m, RR_COMMAND_REAP, j.job_id, 0));
    rr_plan_clear(&p);
    g_free(ended);
}

/* The reap of what is done goes with the start of what takes its place. */
static void reap_goes_with_the_next_start(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000002"}, next = {.job_id = "req-000003"};
    uint64_t at;
    rr_plan p;
    const char *m = book_one(w, &j, &at);
    const char *other = strcmp(m, "vm-1") == 0 ? "vm-2" : "vm-1";
    char *ended = shown(j.job_id, at, "ended:done");
    fx_report(n, m, zone_of(m), false, 1, 2, rr_core_fencing_token(n->core), ended, NULL);
    fx_report(n, other, zone_of(other), false, 1, 2, rr_core_fencing_token(n->core), NULL);
    assert_int_equal(fx_plan(n, &p), 1);
    rr_plan_clear(&p);
    next.zone = zone_of(m);
    fx_submit(w->store, &next, n->now);
    fx_sync(w->store, n->core, n->now);
    assert_int_equal(fx_plan(n, &p), 1);
    rr_plan_clear(&p);
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, m, RR_COMMAND_START, next.job_id, 0));
    assert_non_null(fx_order(&p, m, RR_COMMAND_REAP, j.job_id, 0));
    assert_int_equal(p.command_batches->len, 1);
    rr_plan_clear(&p);
    g_free(ended);
}

/* A job of several tasks is not done before its last one. */
static void not_done_before_all_tasks(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000003", .pieces = 2, .cpus = 1};
    uint64_t at;
    rr_plan p;
    rr_job_view v;
    const char *m = book_one(w, &j, &at);
    char *ended = shown(j.job_id, at, "ended:done");
    fx_report(n, m, zone_of(m), false, 1, 2, rr_core_fencing_token(n->core), ended, NULL);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    rr_core_job_view(n->core, j.job_id, n->now, &v);
    assert_false(v.done);
    assert_int_equal(v.done_count, 1);
    g_free(ended);
}

/* A transaction planned under the old term changes nothing once there is a new one, however late it
 * is applied. */
static void old_owner_changes_nothing(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, b;
    struct fx_job j = {.job_id = "req-000004"};
    rr_plan p;
    fx_report(n, "vm-1", "a", false, 1, 1, rr_core_fencing_token(n->core), NULL);
    fx_submit(w->store, &j, n->now);
    fx_sync(w->store, n->core, n->now);
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    assert_true(p.has_transaction);
    fx_node_init(&b, w->store, "n1");
    fx_sync(w->store, b.core, b.now);
    fx_join(&b, 9);
    assert_true(fx_commit(w->store, &p.transaction) != 0);
    assert_true(fx_booked(w->store, "vm-1", j.job_id, 0) == 0);
    rr_plan_clear(&p);
    fx_node_clear(&b);
}

/* Commands were in flight when the term changed. The new owner takes no absence as proof until the
 * worker has shown the new token, since only that voids them. */
static void term_change_with_commands_in_flight(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000005", .service = true};
    uint64_t at, old = rr_core_fencing_token(n->core);
    rr_plan p;
    const char *m = book_one(w, &j, &at);
    fx_plan(n, &p); /* the start is on its way */
    rr_core_command_result(n->core, n->now, fx_do(&p, m), RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&p);
    fx_join(n, 8); /* a new incarnation, a new term */
    assert_true(rr_core_fencing_token(n->core) > old);
    fx_cancel(n, j.job_id);
    n->now += 2;
    fx_report(n, m, zone_of(m), false, 1, 2, old, NULL);
    fx_plan(n, &p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == at);
    rr_plan_clear(&p);
    fx_report(n, m, zone_of(m), false, 1, 3, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == 0);
    rr_plan_clear(&p);
}

/* A machine that only fell silent keeps its tasks in the ledger; they are placed anew once its
 * record is gone. */
static void silence_proves_nothing(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000006", .service = true};
    uint64_t at;
    rr_plan p;
    const char *m = book_one(w, &j, &at), *other = strcmp(m, "vm-1") == 0 ? "vm-2" : "vm-1";
    n->now += 600;
    fx_report(n, other, zone_of(other), false, 1, 2, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == at);
    assert_true(fx_booked(w->store, other, j.job_id, 0) == 0);
    fx_machine_gone(w->store, m);
    fx_sync(w->store, n->core, n->now);
    fx_plan(n, &p); /* the booking goes */
    rr_plan_clear(&p);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, other, j.job_id, 0) > at);
}

/* A worker whose lease ran out forgot its tasks: the booking of the earlier worker_epoch goes. */
static void later_worker_epoch_ends_the_booking(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000007", .service = true};
    uint64_t at;
    rr_plan p;
    const char *m = book_one(w, &j, &at);
    n->now += 40;
    fx_report(n, m, zone_of(m), false, 2, 9, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) != at);
}

/* A report that was held up on the way is older than what is known and proves nothing. */
static void late_report_is_dropped(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000008", .service = true};
    uint64_t at;
    rr_plan p;
    const char *m = book_one(w, &j, &at);
    char *running = shown(j.job_id, at, "running");
    fx_report(n, m, zone_of(m), false, 1, 20, rr_core_fencing_token(n->core), running, NULL);
    fx_cancel(n, j.job_id);
    fx_report(n, m, zone_of(m), false, 1, 5, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    assert_true(fx_booked(w->store, m, j.job_id, 0) == at);
    assert_non_null(fx_order(&p, m, RR_COMMAND_STOP, j.job_id, 0));
    rr_plan_clear(&p);
    g_free(running);
}

/* Cancelled with its start in flight: no new start, and the booking stands until the answer. */
static void cancel_with_start_in_flight(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000009", .service = true};
    uint64_t at;
    rr_plan p, q;
    const char *m = book_one(w, &j, &at);
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, m, RR_COMMAND_START, j.job_id, 0));
    fx_cancel(n, j.job_id);
    n->now += 2;
    fx_report(n, m, zone_of(m), false, 1, 2, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &q);
    assert_null(fx_do(&q, m));
    assert_true(fx_booked(w->store, m, j.job_id, 0) == at);
    rr_plan_clear(&q);
    char *running = shown(j.job_id, at, "running");
    fx_report(n, m, zone_of(m), false, 1, 3, rr_core_fencing_token(n->core), running, NULL);
    rr_core_command_result(n->core, n->now, fx_do(&p, m), RR_COMMAND_ANSWERED, true);
    fx_plan(n, &q);
    const rr_command *stop = fx_order(&q, m, RR_COMMAND_STOP, j.job_id, 0);
    assert_non_null(stop);
    assert_true(stop->grace_s == 0);
    rr_plan_clear(&p);
    rr_plan_clear(&q);
    g_free(running);
}

/* Any controller that is asked adds the stops of cancelled jobs to its answer. */
static void every_answer_stops_cancelled_tasks(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000010", .service = true};
    uint64_t at;
    book_one(w, &j, &at);
    fx_cancel(n, j.job_id);
    rr_heartbeat r = {.worker_epoch = 1,
                      .sequence = 3,
                      .fencing_token = rr_core_fencing_token(n->core),
                      .spot_notice_s = -1};
    rr_task_status piece = {.attempt = at, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply ans;
    g_strlcpy(piece.job_id, j.job_id, sizeof piece.job_id);
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(r.tasks, piece);
    rr_core_reply_to_heartbeat(n->core, n->now, &r, &ans);
    assert_int_equal(ans.status, 200);
    assert_int_equal(ans.commands->len, 1);
    assert_int_equal(g_array_index(ans.commands, rr_command, 0).kind, RR_COMMAND_STOP);
    g_array_free(ans.commands, TRUE);
    rr_heartbeat_clear(&r);
}

/* A 200 with a lower token would be dropped by the worker, which would then stay here until its
 * lease runs out; and a node whose session has lapsed may not answer at all. */
static void no_answer_that_would_be_dropped(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_heartbeat r = {.worker_epoch = 1, .sequence = 3, .spot_notice_s = -1};
    struct rr_heartbeat_reply ans;
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    r.fencing_token = rr_core_fencing_token(n->core) + 1;
    rr_core_reply_to_heartbeat(n->core, n->now, &r, &ans);
    assert_true(ans.status == 421 || ans.status == 503);
    assert_null(ans.commands);
    r.fencing_token = 0;
    rr_core_set_session(n->core, 0, 0);
    rr_core_reply_to_heartbeat(n->core, n->now, &r, &ans);
    assert_true(ans.status == 421 || ans.status == 503);
    assert_false(rr_core_lease_valid(n->core, n->now));
    rr_heartbeat_clear(&r);
}

/* The limit holds across a change of owner: what the old owner booked counts, proven gone or not.
 */
static void quota_across_an_owner_change(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000011", .pieces = 3, .cpus = 1, .gpus = 1};
    uint64_t at;
    rr_plan p;
    n->config.teams[0].gpus_max = 2;
    book_one(w, &j, &at);
    unsigned booked = 0;
    for (uint32_t t = 0; t < 3; t++) {
        booked += fx_booked(w->store, "vm-1", j.job_id, t) != 0;
        booked += fx_booked(w->store, "vm-2", j.job_id, t) != 0;
    }
    assert_int_equal(booked, 2);
    fx_join(n, 8);
    fx_report(n, "vm-1", "a", false, 1, 5, rr_core_fencing_token(n->core), NULL);
    fx_report(n, "vm-2", "b", false, 1, 5, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    for (uint32_t t = 0; t < 3; t++) {
        booked -= fx_booked(w->store, "vm-1", j.job_id, t) != 0;
        booked -= fx_booked(w->store, "vm-2", j.job_id, t) != 0;
    }
    assert_int_equal(booked, 0);
}

/* Both owners plan from the same state, and only then is either's transaction carried out. */
static void plan_side_by_side(fx_node *const nodes[2], fx_store *s) {
    rr_plan plans[2];
    for (int i = 0; i < 2; i++) {
        fx_sync(s, nodes[i]->core, nodes[i]->now);
        fx_report(nodes[i], "vm-1", "a", false, 1, 1, rr_core_fencing_token(nodes[0]->core), NULL);
        rr_plan_init(&plans[i]);
        rr_core_plan(nodes[i]->core, nodes[i]->now, nodes[i]->now, &plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        assert_int_equal(fx_commit(s, &plans[i].transaction), 0);
        rr_plan_clear(&plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        fx_sync(s, nodes[i]->core, nodes[i]->now);
    }
}

/* Plans once, answers the commands, and notes for which of the two jobs a start was among them. */
static int count_starts(fx_node *n, const char *const refs[2], int node, int owner[2]) {
    rr_plan p;
    int started = 0;
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    for (int q = 0; q < 2; q++) {
        if (fx_order(&p, "vm-1", RR_COMMAND_START, refs[q], 0)) {
            owner[q] = node;
            started++;
        }
    }
    for (guint d = 0; d < p.command_batches->len; d++) {
        rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, d),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&p);
    return started;
}

/* Two owners may book the same room, since each writes its own jobs' records. The worker decides:
 * it refuses one start, and that booking goes. Neither waits for the other to leave. */
static void two_owners_one_room(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, b;
    struct fx_job j1 = {.job_id = "req-000012", .team = "red", .cpus = 16};
    struct fx_job j2 = {.job_id = "req-000013", .team = "blue", .cpus = 16};
    const char *refs[2] = {j1.job_id, j2.job_id};
    rr_plan p;
    fx_machine_gone(w->store, "vm-2");
    fx_node_init(&b, w->store, "n1");
    fx_sync(w->store, b.core, b.now);
    fx_join(&b, 9);
    fx_term(n);
    fx_submit(w->store, &j1, n->now);
    fx_submit(w->store, &j2, n->now);
    fx_node *const nodes[2] = {n, &b};
    uint64_t at[2];
    int owner[2] = {-1, -1}, started = 0;
    plan_side_by_side(nodes, w->store);
    for (int k = 0; k < 2; k++) {
        at[k] = fx_booked(w->store, "vm-1", refs[k], 0);
        assert_true(at[k] != 0);
        for (int i = 0; i < 2; i++) {
            started += count_starts(nodes[i], refs, i, owner);
        }
    }
    assert_int_equal(started, 2);
    char *runs = shown(refs[0], at[0], "running"), *full = shown(refs[1], at[1], "ended:full");
    for (int i = 0; i < 2; i++) {
        fx_report(nodes[i], "vm-1", "a", false, 1, 9, rr_core_fencing_token(n->core), runs, full,
                  NULL);
    }
    fx_plan(nodes[owner[1]], &p);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, "vm-1", refs[0], 0) == at[0]);
    assert_true(fx_booked(w->store, "vm-1", refs[1], 0) != at[1]);
    g_free(runs);
    g_free(full);
    fx_node_clear(&b);
}

/* Attempts of two owners in one term never share a number: a replica was once stopped as the victim
 * of a preemption because another team's batch task had the same one. */
static void attempts_differ_between_owners(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, b;
    const char *const teams[] = {"red", "blue"};
    uint64_t seen[2] = {0, 0};
    rr_plan p;
    fx_node_init(&b, w->store, "n1");
    fx_sync(w->store, b.core, b.now);
    fx_join(&b, 9);
    fx_term(n);
    fx_node *nodes[2] = {n, &b};
    for (int t = 0; t < 2; t++) {
        char ref[16];
        g_snprintf(ref, sizeof ref, "req-10000%d", t);
        fx_submit(w->store, &(struct fx_job){.job_id = ref, .team = teams[t], .cpus = 1}, n->now);
        for (int i = 0; i < 2 && !seen[t]; i++) {
            fx_sync(w->store, nodes[i]->core, nodes[i]->now);
            fx_report(nodes[i], "vm-1", "a", false, 1, 1, rr_core_fencing_token(nodes[i]->core),
                      NULL);
            fx_plan(nodes[i], &p);
            rr_plan_clear(&p);
            seen[t] = fx_booked(w->store, "vm-1", ref, 0);
        }
        assert_true(seen[t] != 0);
    }
    assert_true(seen[0] != seen[1]);
    fx_node_clear(&b);
}

/* A placement guards its job too: a cancellation committed in between voids it. */
static void cancel_voids_a_planned_start(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000014"};
    rr_plan p;
    fx_report(n, "vm-1", "a", false, 1, 1, rr_core_fencing_token(n->core), NULL);
    fx_submit(w->store, &j, n->now);
    fx_sync(w->store, n->core, n->now);
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    assert_true(p.has_transaction);
    fx_cancel(n, j.job_id);
    assert_true(fx_commit(w->store, &p.transaction) != 0);
    rr_plan_clear(&p);
}

/* A job that waited long goes first and in its turn: once each, or its tasks were booked twice. */
static void an_overdue_job_is_placed_once(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000018", .pieces = 4, .cpus = 1};
    rr_plan p;
    fx_submit(w->store, &j, n->now);
    n->now += 100;
    fx_sync(w->store, n->core, n->now);
    fx_report(n, "vm-1", "a", false, 1, 1, rr_core_fencing_token(n->core), NULL);
    fx_report(n, "vm-2", "b", false, 1, 1, rr_core_fencing_token(n->core), NULL);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_int_equal(fx_placed(w->store, j.job_id), 4);
}

/* A known job is known, whatever a repeat of it says; unknown crews and sizes are refused. */
static void admission(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    struct fx_job j = {.job_id = "req-000015"};
    rr_submission s;
    const char *why = NULL;
    fx_submission(&s, &j);
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_NEW);
    s.cpus = 17;
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_UNSATISFIABLE);
    g_strlcpy(s.team, "nobody", sizeof s.team);
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_UNSATISFIABLE);
    fx_submit(w->store, &j, n->now);
    fx_sync(w->store, n->core, n->now);
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_KNOWN);
    fx_submission(
        &s, &(struct fx_job){.job_id = "req-000016", .service = true, .pieces = 3, .gpus = 1});
    n->config.teams[0].gpus_max = 2;
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_UNSATISFIABLE);
    s.kind = RR_JOB_ARRAY;
    assert_int_equal(rr_core_check_submission(n->core, &s, &why), RR_SUBMISSION_NEW);
}

/* A report held up by a cut may come after its machine's record went; the machine it brings back is
 * forgotten again, or a long run would gather them. */
static void strangers_are_forgotten(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_core_stats st;
    rr_plan p;
    rr_job_view v;
    struct fx_job j = {.job_id = "req-000017"};
    fx_submit(w->store, &j, n->now);
    fx_sync(w->store, n->core, n->now);
    fx_report(n, "vm-77", "a", false, 1, 5, 1, "req-000017 0 3 running", NULL);
    n->now += 200;
    fx_plan(n, &p);
    /* Not recorded, it takes no work, and no command goes there. */
    assert_null(fx_do(&p, "vm-77"));
    rr_plan_clear(&p);
    rr_core_get_stats(n->core, &st);
    assert_int_equal(st.machines, 2);
    rr_core_job_view(n->core, j.job_id, n->now, &v);
    assert_int_equal(v.running_count, 0);
    /* Once forgotten, an old report is news again: it is taken as that of a machine never heard. */
    rr_heartbeat r = {.worker_epoch = 1, .sequence = 1, .spot_notice_s = -1};
    g_strlcpy(r.machine, "vm-77", sizeof r.machine);
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_true(rr_core_take_heartbeat(n->core, n->now, &r, -1) != RR_HEARTBEAT_IGNORED);
}

/* A restarted controller of the same name is not the one the term names. */
static void a_new_incarnation_waits_for_its_term(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, again;
    fx_node_init(&again, w->store, "n0");
    fx_sync(w->store, again.core, again.now);
    rr_core_set_session(again.core, 77, again.now + 100);
    assert_false(rr_core_lease_valid(again.core, again.now));
    fx_join(&again, 77);
    assert_true(rr_core_lease_valid(again.core, again.now));
    fx_sync(w->store, n->core, n->now);
    assert_false(rr_core_lease_valid(n->core, n->now));
    fx_node_clear(&again);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, fx_world_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(late_start_after_reassignment),
                                       T(done_is_recorded_before_reap),
                                       T(reap_goes_with_the_next_start),
                                       T(not_done_before_all_tasks),
                                       T(old_owner_changes_nothing),
                                       T(term_change_with_commands_in_flight),
                                       T(silence_proves_nothing),
                                       T(later_worker_epoch_ends_the_booking),
                                       T(late_report_is_dropped),
                                       T(cancel_with_start_in_flight),
                                       T(every_answer_stops_cancelled_tasks),
                                       T(no_answer_that_would_be_dropped),
                                       T(quota_across_an_owner_change),
                                       T(two_owners_one_room),
                                       T(attempts_differ_between_owners),
                                       T(cancel_voids_a_planned_start),
                                       T(an_overdue_job_is_placed_once),
                                       T(admission),
                                       T(strangers_are_forgotten),
                                       T(a_new_incarnation_waits_for_its_term)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
