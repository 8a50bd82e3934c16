/* What a team owner does next. One plan makes at most one transaction; here it is begun, put
 * together and cleared. It costs what changed since the last one: only machines that something
 * happened to are reconciled, and one change books or ends many tasks of a job. */
#include "core/plan.h"

#include <string.h>

#define GATHER_S 40.0 /* completions wait this long at most for others of their job */
#define TXN_BYTES ((size_t)48 * 1024) /* of the store's 64 KiB for a transaction */
#define RECOUNT_S 60.0
#define SHRINK_S 60.0

void rr_plan_init(rr_plan *p) {
    memset(p, 0, sizeof *p);
    rr_transaction_init(&p->transaction);
    p->command_batches = g_ptr_array_new_with_free_func((GDestroyNotify)rr_command_batch_free);
}

void rr_plan_clear(rr_plan *p) {
    rr_transaction_clear(&p->transaction);
    g_ptr_array_free(p->command_batches, TRUE);
}

void rr_command_batch_free(rr_command_batch *d) {
    g_array_free(d->commands, TRUE);
    g_free(d);
}

static void edit_free(gpointer p) {
    struct rr_plan_edit *e = p;
    e->record->edit = NULL;
    e->job->terminated_count = e->job->completing_count = 0;
    e->job->ending = false;
    g_array_free(e->placements, TRUE);
    g_array_free(e->done, TRUE);
    g_free(e);
}

/* ---- the transaction under construction ---- */

/* Whether a record with this many placements keeps to the store's size of a value. */
bool rr_ledger_record_fits(const rr_core *c, guint items) {
    return (double)rr_ledger_record_bytes(items) <= rr_value_kb_max(c->config) * 1024;
}

static bool has_room(const struct rr_planner *p, int ops, size_t bytes) {
    return p->change_count + ops <= p->change_limit && p->bytes + bytes <= TXN_BYTES;
}

static bool transaction_room(struct rr_planner *p, int ops, size_t bytes) {
    p->full = p->full || !has_room(p, ops, bytes);
    return has_room(p, ops, bytes);
}

static void take_all_terminated(struct rr_planner *p, struct rr_plan_edit *e);

guint rr_plan_terminated_count(const struct rr_planner *p, const rr_ledger_record *r) {
    guint over = 0;
    for (guint n = r->first_terminated; n > 0; over++) {
        n = g_array_index(p->terminated, struct rr_terminated_placement, n - 1).next;
    }
    return over;
}

/* A record of before the state service's limits were lowered may be larger than they allow now: it
 * can't be written again until enough of its placements are over, which one change then takes out.
 * Until the lower limits are seen to hold it may, as long as it does not grow. */
bool rr_plan_writable(const struct rr_planner *p, const rr_ledger_record *r) {
    if (!p->core->lowered || rr_ledger_record_fits(p->core, r->placements->len)) {
        return true;
    }
    return rr_ledger_record_fits(
        p->core, r->placements->len - MIN(rr_plan_terminated_count(p, r), r->placements->len));
}

/* Every placement of the job is known to be over. */
static bool all_terminated(const struct rr_planner *p, const rr_job *j) {
    for (guint n = 0; j->records && n < j->records->len; n++) {
        const rr_ledger_record *r = g_ptr_array_index(j->records, n);
        if (r && rr_plan_terminated_count(p, r) < r->placements->len) {
            return false;
        }
    }
    return true;
}

/* A gang's placements leave the ledger together: none before all are over, so that no task of it is
 * placed anew beside an old one, and what was seen of the first loss stays to be seen. Once it is
 * done or cancelled each goes by itself. */
static bool gang_goes(const struct rr_planner *p, const rr_job *j) {
    return j->submission.kind != RR_JOB_GANG || j->cancelled || j->done ||
           j->terminated_count > 0 || all_terminated(p, j);
}

struct rr_plan_edit *rr_plan_edit_record(struct rr_planner *p, rr_job *j, uint32_t chunk) {
    rr_ledger_record *r = rr_job_ledger_record(j, chunk);
    if (r->edit) {
        return r->edit;
    }
    size_t bytes = rr_ledger_record_bytes(r->placements->len + 1) + 120;
    if (!rr_plan_writable(p, r) || (rr_plan_terminated_count(p, r) > 0 && !gang_goes(p, j))) {
        return NULL;
    }
    if (!transaction_room(p, 1, bytes)) {
        return NULL;
    }
    struct rr_plan_edit *e = g_new0(struct rr_plan_edit, 1);
    e->job = j;
    e->record = r;
    e->placements = g_array_copy(r->placements);
    e->done = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    e->zone = -1;
    r->edit = e;
    p->change_count++;
    p->bytes += bytes;
    g_ptr_array_add(p->edits, e);
    take_all_terminated(p, e);
    return e;
}

rr_placement_record *rr_plan_edit_find(const struct rr_plan_edit *e, uint64_t attempt,
                                       uint32_t task) {
    for (guint i = 0; i < e->placements->len; i++) {
        rr_placement_record *it = &g_array_index(e->placements, rr_placement_record, i);
        if (it->attempt == attempt && it->task == task) {
            return it;
        }
    }
    return NULL;
}

static bool done_in(const struct rr_plan_edit *e, uint32_t task) {
    for (guint i = 0; i < e->done->len; i++) {
        if (g_array_index(e->done, uint32_t, i) == task) {
            return true;
        }
    }
    return false;
}

void rr_plan_guard(struct rr_planner *p, rr_job *j) {
    if (!j->guarded) {
        j->guarded = true;
        g_ptr_array_add(p->guards, j);
    }
}

/* A machine whose scratch is to be cleared after the plan. */
void rr_plan_use_machine(struct rr_planner *p, rr_machine *m) {
    if (!m->reserved_jobs) {
        m->reserved_jobs = g_array_new(FALSE, FALSE, sizeof(rr_job *));
        g_ptr_array_add(p->machines, m);
    }
}

/* A task whose placement is over may be placed anew in the same change. */
static void requeue(struct rr_planner *p, rr_job *j, uint32_t task) {
    struct rr_plan_requeued r = {j, task};
    if (j->placed && task < j->submission.task_count && j->placed[task] == 1 && !j->cancelled &&
        !rr_job_task_done(j, task)) {
        j->placed[task] = 0;
        j->placed_count--;
        j->next_task_hint = MIN(j->next_task_hint, task);
        g_array_append_val(p->requeued, r);
    }
}

/* The mirror counts placements as the store has them. */
static void restore_requeued(struct rr_planner *p) {
    for (guint i = 0; i < p->requeued->len; i++) {
        const struct rr_plan_requeued *r = &g_array_index(p->requeued, struct rr_plan_requeued, i);
        r->job->placed[r->task] = 1;
        r->job->placed_count++;
    }
}

#define FINAL_BYTES 200 /* of a job's final record, with its key */

/* One task of a gang is done, and so are all: its tasks are of one chunk. */
static void gang_done(struct rr_plan_edit *home, rr_job *j) {
    j->completing_count = j->submission.task_count;
    for (uint32_t t = 0; t < j->submission.task_count; t++) {
        g_array_append_val(home->done, t);
    }
}

/* Records a completion where it belongs, in the record of the task's chunk. False: the transaction
 * has no room for it. */
static bool record_done(struct rr_planner *p, struct rr_plan_edit *e,
                        const struct rr_terminated_placement *o) {
    rr_job *j = o->job;
    bool gang = j->submission.kind == RR_JOB_GANG;
    uint32_t chunk = o->task / j->tasks_per_record;
    struct rr_plan_edit *home = e->record->chunk == chunk ? e : rr_plan_edit_record(p, j, chunk);
    if (!home) {
        return false;
    }
    if ((gang && j->completing_count > 0) || done_in(home, o->task)) {
        return true;
    }
    /* The last one ends the job: a change more. */
    bool last = gang || j->done_count + j->completing_count + 1 >= j->submission.task_count;
    if (last && !has_room(p, 1, FINAL_BYTES)) {
        return false;
    }
    p->change_count += last;
    home->zone = o->machine->zone;
    if (gang) {
        gang_done(home, j);
    } else {
        j->completing_count++;
        g_array_append_val(home->done, o->task);
    }
    return true;
}

/* Takes a placement out of its record, with its completion if there is one to record. */
static void take_terminated(struct rr_planner *p, struct rr_plan_edit *e,
                            const struct rr_terminated_placement *o) {
    rr_job *j = o->job;
    if (o->done && !j->cancelled && !rr_job_task_done(j, o->task) && !record_done(p, e, o)) {
        return;
    }
    rr_placement_record *it = rr_plan_edit_find(e, o->attempt, o->task);
    if (it) {
        g_array_remove_index(e->placements,
                             (guint)(it - (rr_placement_record *)(void *)e->placements->data));
    }
}

/* A record that changes anyway loses all that is known to be over in it. */
static void take_all_terminated(struct rr_planner *p, struct rr_plan_edit *e) {
    for (guint n = e->record->first_terminated; n > 0;) {
        const struct rr_terminated_placement *o =
            &g_array_index(p->terminated, struct rr_terminated_placement, n - 1);
        take_terminated(p, e, o);
        n = o->next;
    }
}

void rr_plan_terminated(struct rr_planner *p, rr_machine *m, rr_placement *pl, bool done,
                        const char *why) {
    rr_job *j = pl->job;
    if (pl->terminated_at <= 0 && !done) {
        rr_log_at(p->core, RR_LOG_DEBUG, "over %s/%u on %s: %s", j->submission.job_id, pl->task,
                  m->name, why);
    }
    rr_ledger_record *r = rr_job_ledger_record(j, pl->chunk);
    struct rr_terminated_placement o = {.machine = m,
                                        .job = j,
                                        .task = pl->task,
                                        .chunk = pl->chunk,
                                        .attempt = pl->attempt,
                                        .done = done,
                                        .preempted = pl->preempt != RR_PREEMPT_NONE,
                                        .next = r->first_terminated};
    pl->terminated_at = pl->terminated_at > 0 ? pl->terminated_at : p->now;
    o.may_wait = p->now - pl->terminated_at < GATHER_S * p->core->pressure;
    if (done && !rr_job_task_done(j, pl->task)) {
        j->terminated_count =
            j->submission.kind == RR_JOB_GANG ? j->submission.task_count : j->terminated_count + 1;
    }
    g_array_append_val(p->terminated, o);
    r->first_terminated = p->terminated->len;
}

static bool finishes(const rr_job *j) {
    return !j->cancelled && j->done_count + j->terminated_count >= j->submission.task_count;
}

#define TOGETHER_S 1.0 /* a gang's tasks complete together; their reports come within this */

/* The end of a gang waits for the reports of its other tasks, a little, and is one change then. */
static bool waits_for_gang(const struct rr_planner *p, const struct rr_terminated_placement *o) {
    const rr_job *j = o->job;
    const rr_placement *pl = rr_placement_find(o->machine, o->attempt, j, o->task);
    return j->submission.kind == RR_JOB_GANG && o->done && pl &&
           p->now - pl->terminated_at < TOGETHER_S && !all_terminated(p, j);
}

static bool lost(const struct rr_terminated_placement *o) {
    return !o->done && !o->job->cancelled;
}

/* Completions are gathered while changes are short; one change then ends several. A job's last ones
 * never wait, since its user does. What is to run again waits for its turn among all that waits for
 * a place, and is taken out in the change that books it anew: when a zone of four hundred machines
 * had lost its leases, records of arrays were cleared first, a change each, and services came back
 * after them, 35 s later. */
static void record_terminated(struct rr_planner *p) {
    for (guint i = 0; i < p->terminated->len; i++) {
        const struct rr_terminated_placement *o =
            &g_array_index(p->terminated, struct rr_terminated_placement, i);
        if (lost(o) && gang_goes(p, o->job)) {
            requeue(p, o->job, o->task);
        }
        if (!waits_for_gang(p, o) &&
            (o->preempted || (!lost(o) && (!o->may_wait || finishes(o->job))))) {
            rr_plan_edit_record(p, o->job, o->chunk);
        }
    }
}

/* Lost places for whose tasks there was no room: their records are cleared as changes allow. */
static void record_lost(struct rr_planner *p) {
    for (guint i = 0; i < p->terminated->len && !p->full; i++) {
        const struct rr_terminated_placement *o =
            &g_array_index(p->terminated, struct rr_terminated_placement, i);
        if (lost(o) && !o->may_wait) {
            rr_plan_edit_record(p, o->job, o->chunk);
        }
    }
}

#define STRANGER_S 120.0
#define GONE_KEEP_S 600.0 /* a copy of a report later than this makes a stranger for a while */

static gboolean gone_old(gpointer k, gpointer v, gpointer now) {
    (void)k;
    return *(double *)now - *(double *)v > GONE_KEEP_S;
}

/* Machines known only from reports that came late, after their records were gone, and names of
 * machines that went with work of which nothing is left in the ledger. */
static void forget_unknown_machines(rr_core *c, double now) {
    g_hash_table_foreach_remove(c->gone, gone_old, &now);
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (!m->recorded && !m->to_record && !m->command_inflight && m->placements->len == 0 &&
            (m->gone || rr_heartbeat_age(m, now) > STRANGER_S)) {
            rr_machine_forget(c, m);
        }
    }
}

/* ---- putting it together ---- */

static void put_final(struct rr_planner *p, const rr_job *j) {
    rr_job_final_record(j, &p->plan->transaction);
    rr_log_at(p->core, RR_LOG_DEBUG,
              "job %s is done, %u tasks, %.0f s after it came, due after %.0f, guess %.0f",
              j->submission.job_id, j->submission.task_count, p->wall - j->accepted_at,
              j->submission.deadline_s, j->submission.runtime_estimate_s);
}

static void put_edit(struct rr_planner *p, const struct rr_plan_edit *e) {
    rr_transaction *t = &p->plan->transaction;
    rr_job *j = e->job;
    char key[RR_ID_SIZE + 64];
    rr_ledger_record_key(j->submission.job_id, e->record->chunk, key, sizeof key);
    bool ends =
        j->completing_count > 0 && j->done_count + j->completing_count >= j->submission.task_count;
    bool over = ends || j->cancelled || j->done;
    if ((over || j->submission.kind == RR_JOB_GANG) && e->placements->len == 0 &&
        e->record->version == 0) {
        return; /* nothing to delete; or a gang that found no room after all */
    }
    rr_transaction_guard(t, key, e->record->version);
    if (over && e->placements->len == 0) {
        rr_transaction_delete(t, key);
    } else {
        rr_encoder o;
        rr_encoder_init(&o);
        rr_ledger_record_encode(p->core, &o, j, e->record->chunk, e->placements, e->done,
                                j->submission.one_zone ? (e->zone >= 0 ? e->zone : j->zone) : -1);
        rr_transaction_put(t, key, &o, 0);
    }
    if (e->done->len > 0) {
        rr_plan_guard(p, j);
        if (ends && !j->ending) {
            j->ending = true;
            put_final(p, j);
        }
    }
}

/* Records of final jobs go when changes are plentiful. */
static void put_garbage(struct rr_planner *p) {
    rr_core *c = p->core;
    for (guint i = c->garbage->len; i > 0 && c->pressure < 0.5 && p->change_count < p->change_limit;
         i--) {
        const char *key = g_ptr_array_index(c->garbage, i - 1);
        rr_job *j;
        const rr_ledger_record *r = rr_garbage_record(c, i - 1, &j);
        if (!r || !r->version) {
            g_ptr_array_remove_index_fast(c->garbage, i - 1);
        } else if (!j->open && !r->edit && j->team >= 0 && rr_owns_team(c, j->team)) {
            rr_transaction_guard(&p->plan->transaction, key, r->version);
            rr_transaction_delete(&p->plan->transaction, key);
            p->change_count++;
        }
    }
}

/* What the changes are for: the store allows few, so this is where they are counted. */
static void log_plan(const struct rr_planner *p) {
    guint done = 0, freed = 0, booked = 0;
    for (guint i = 0; i < p->edits->len; i++) {
        const struct rr_plan_edit *e = g_ptr_array_index(p->edits, i);
        guint new = 0;
        for (guint k = 0; k < e->placements->len; k++) {
            const rr_placement_record *it = &g_array_index(e->placements, rr_placement_record, k);
            new += rr_placement_find(it->machine, it->attempt, e->job, it->task) == NULL;
        }
        booked += new > 0;
        done += new == 0 && e->done->len > 0;
        freed += new == 0 && e->done->len == 0;
    }
    rr_log_at(p->core, RR_LOG_DEBUG,
              "plan: %u changes: %u records book, %u end tasks, %u others; %u known over; "
              "pressure %.2f",
              p->plan->transaction.changes->len, booked, done, freed, p->terminated->len,
              p->core->pressure);
}

/* A batch says nothing any more once all its jobs have records of their own. */
static bool batch_terminated(const rr_job_batch *b) {
    for (guint i = 0; i < b->jobs->len; i++) {
        if (((const rr_job *)g_ptr_array_index(b->jobs, i))->own_version == 0) {
            return false;
        }
    }
    return true;
}

static void put_old_batches(struct rr_planner *p) {
    rr_core *c = p->core;
    GHashTableIter it;
    gpointer k, v;
    if (c->pressure > 0.3 || p->now - c->batches_at < 2 || !rr_core_is_autoscaler(c, p->now)) {
        return;
    }
    c->batches_at = p->now;
    g_hash_table_iter_init(&it, c->batches);
    while (p->change_count < p->change_limit && g_hash_table_iter_next(&it, &k, &v)) {
        if (batch_terminated(v)) {
            rr_transaction_guard(&p->plan->transaction, k, ((rr_job_batch *)v)->version);
            rr_transaction_delete(&p->plan->transaction, k);
            p->change_count++;
        }
    }
}

static void build_transaction(struct rr_planner *p) {
    rr_transaction *t = &p->plan->transaction;
    char key[RR_ID_SIZE + 64];
    rr_transaction_guard(t, RR_KEY_ROOT "term", p->core->term.version);
    for (guint i = 0; i < p->edits->len; i++) {
        put_edit(p, g_ptr_array_index(p->edits, i));
    }
    /* Every booking guards its job, and with that its own first copy: one that was held up finds
     * the job changed by its end, should the ledger's record be gone by then. */
    for (guint i = 0; i < p->guards->len; i++) {
        rr_job *j = g_ptr_array_index(p->guards, i);
        rr_core_job_key(j->submission.job_id, key, sizeof key);
        rr_transaction_guard(t, key, j->own_version);
    }
    /* On their own: if one of them is not as the mirror has it, no other change suffers. */
    if (t->changes->len == 0) {
        put_garbage(p);
        put_old_batches(p);
    }
    p->plan->has_transaction = t->changes->len > 0;
    if (p->plan->has_transaction && p->core->log_level >= RR_LOG_DEBUG) {
        log_plan(p);
    }
}

static void finish_command_batches(struct rr_planner *p) {
    for (guint i = 0; i < p->plan->command_batches->len; i++) {
        const rr_command_batch *d = g_ptr_array_index(p->plan->command_batches, i);
        rr_machine *m = g_hash_table_lookup(p->core->machines, d->machine);
        m->command_inflight = true;
        m->plan_commands = NULL;
        m->reap_at = 0;
    }
}

static void planner_clear(struct rr_planner *p) {
    for (guint i = 0; i < p->machines->len; i++) {
        rr_machine *m = g_ptr_array_index(p->machines, i);
        g_array_free(m->reserved_jobs, TRUE);
        m->reserved_jobs = NULL;
        for (guint k = 0; k < m->placements->len; k++) {
            g_array_index(m->placements, rr_placement, k).leaving = false;
        }
    }
    for (guint i = 0; i < p->guards->len; i++) {
        ((rr_job *)g_ptr_array_index(p->guards, i))->guarded = false;
    }
    g_ptr_array_free(p->machines, TRUE);
    g_ptr_array_free(p->guards, TRUE);
    g_ptr_array_free(p->edits, TRUE);
    restore_requeued(p);
    for (guint i = 0; i < p->terminated->len; i++) {
        const struct rr_terminated_placement *o =
            &g_array_index(p->terminated, struct rr_terminated_placement, i);
        o->job->terminated_count = 0;
        rr_job_ledger_record(o->job, o->chunk)->first_terminated = 0;
    }
    g_array_free(p->requeued, TRUE);
    g_array_free(p->terminated, TRUE);
    g_array_free(p->failures, TRUE);
    g_array_free(p->candidates, TRUE);
}

/* Whether changes were what bounded the plan, not the transaction. Between two plans some gather,
 * so that their number alone never looked short while hundreds of bookings waited for them. */
static void note_short(struct rr_planner *p) {
    if (p->full && p->core->changes < rr_transaction_changes_max(p->core->config)) {
        p->core->short_at = p->now;
    }
    p->full = false;
}

#define SHORT_S 1.0

static double pressure_now(const rr_core *c, double now) {
    return c->short_at > 0 && now - c->short_at < SHORT_S ? 1 : c->pressure;
}

void rr_core_plan(rr_core *c, double now, double wall, rr_plan *out) {
    if (!rr_core_lease_valid(c, now) || !rr_core_cache_consistent(c) || c->anew) {
        return;
    }
    struct rr_planner p = {.core = c, .now = now, .wall = wall, .plan = out};
    c->pressure = pressure_now(c, now);
    p.edits = g_ptr_array_new_with_free_func(edit_free);
    p.terminated = g_array_new(FALSE, FALSE, sizeof(struct rr_terminated_placement));
    p.requeued = g_array_new(FALSE, FALSE, sizeof(struct rr_plan_requeued));
    p.machines = g_ptr_array_new();
    p.guards = g_ptr_array_new();
    p.failures = g_array_new(FALSE, FALSE, sizeof(struct rr_plan_failure));
    p.candidates = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    g_array_set_size(c->team_booked, 0);
    g_array_set_size(c->team_booked, (guint)c->config->team_count);
    /* What is over leaves part of the transaction to what waits for its start. */
    int ops = MIN(rr_transaction_changes_max(c->config), c->changes);
    p.change_limit = rr_any_job_waiting(&p) ? ops - ops / 2 : ops;
    rr_reconcile(&p);
    record_terminated(&p);
    finish_command_batches(&p);
    GPtrArray *wait =
        rr_list_waiting_jobs(&p); /* with those whose tasks have just lost their places */
    p.change_limit = ops;
    note_short(&p);
    bool round = rr_rebalance_due(c, now);
    if (ops > 0 && (wait->len || round || c->plan_moves->len)) {
        rr_reset_free_resources(c);
        if (round) {
            rr_rebalance(c, now); /* leaves every sum of free room as the ledger has it */
        }
        rr_place_waiting(&p, wait);
        rr_start_due_moves(&p);
    }
    record_lost(&p);
    note_short(&p);
    build_transaction(&p);
    guint first = out->command_batches->len;
    rr_probe_overdue_machines(&p);
    for (guint i = first; i < out->command_batches->len; i++) {
        rr_machine *m = g_hash_table_lookup(
            c->machines, ((rr_command_batch *)g_ptr_array_index(out->command_batches, i))->machine);
        m->plan_commands = NULL;
    }
    if (now - c->strangers_at > 1) {
        c->strangers_at = now;
        forget_unknown_machines(c, now);
    }
    if (now - c->recount_at > RECOUNT_S) {
        c->recount_at = now;
        rr_recount_team_usage(c);
    }
    g_ptr_array_free(wait, TRUE);
    planner_clear(&p);
    if (now - c->shrunk_at > SHRINK_S) {
        c->shrunk_at = now;
        rr_jobs_shrink(c, wall);
    }
}
