/* What a team owner does next. One plan makes at most one transaction; here it is begun, put
 * together and cleared. It costs what changed since the last one: only machines that something
 * happened to are reconciled, and one change reserves or ends many tasks of a job. */
#include "core/scheduling/plan.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/rebalancing.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/transaction.h"
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"

#include <string.h>

#define GATHER_S 40.0 /* completions wait this long at most for others of their job */
#define TXN_BYTES ((size_t)48 * 1024) /* of the store's 64 KiB for a transaction */
#define RECOUNT_S 60.0
#define SHRINK_S 60.0

void rr_plan_init(rr_plan *plan) {
    memset(plan, 0, sizeof *plan);
    rr_transaction_init(&plan->transaction);
    plan->command_batches = g_ptr_array_new_with_free_func((GDestroyNotify)rr_command_batch_free);
}

void rr_plan_clear(rr_plan *plan) {
    rr_transaction_clear(&plan->transaction);
    g_ptr_array_free(plan->command_batches, TRUE);
}

void rr_command_batch_free(rr_command_batch *batch) {
    g_array_free(batch->commands, TRUE);
    g_free(batch);
}

static void edit_free(gpointer data) {
    struct rr_plan_edit *edit = data;
    edit->record->edit = NULL;
    edit->job->terminated_count = edit->job->completing_count = 0;
    edit->job->ending = false;
    g_array_free(edit->placements, TRUE);
    g_array_free(edit->done, TRUE);
    g_free(edit);
}

/* ---- the transaction under construction ---- */

/* Whether a record with this many placements keeps to the store's size of a value. */
bool rr_ledger_record_fits(const rr_core *core, guint items) {
    return (double)rr_ledger_record_bytes(items) <= rr_value_kb_max(core->config) * 1024;
}

static bool has_room(const struct rr_planner *planner, int ops, size_t bytes) {
    return planner->change_count + ops <= planner->change_limit &&
           planner->bytes + bytes <= TXN_BYTES;
}

static bool transaction_room(struct rr_planner *planner, int ops, size_t bytes) {
    planner->full = planner->full || !has_room(planner, ops, bytes);
    return has_room(planner, ops, bytes);
}

static void take_all_terminated(struct rr_planner *planner, struct rr_plan_edit *edit);

guint rr_plan_terminated_count(const struct rr_planner *planner, const rr_ledger_record *record) {
    guint over = 0;
    for (guint i = record->first_terminated; i > 0; over++) {
        i = g_array_index(planner->terminated, struct rr_terminated_placement, i - 1).next;
    }
    return over;
}

/* A record of before the key-value store's limits were lowered may be larger than they allow now:
 * it can't be written again until enough of its placements are over, which one change then takes
 * out. Until the lower limits are seen to hold it may, as long as it does not grow. */
bool rr_plan_writable(const struct rr_planner *planner, const rr_ledger_record *record) {
    if (!planner->core->stored.next_limits_in_force ||
        rr_ledger_record_fits(planner->core, record->placements->len)) {
        return true;
    }
    return rr_ledger_record_fits(
        planner->core, record->placements->len -
                           MIN(rr_plan_terminated_count(planner, record), record->placements->len));
}

/* Every placement of the job is known to be over. */
static bool all_terminated(const struct rr_planner *planner, const rr_job *job) {
    for (guint i = 0; job->records && i < job->records->len; i++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && rr_plan_terminated_count(planner, record) < record->placements->len) {
            return false;
        }
    }
    return true;
}

/* A gang's placements leave the ledger together: none before all are over, so that no task of it is
 * placed anew beside an old one, and what was seen of the first loss stays to be seen. Once it is
 * done or cancelled each goes by itself. */
static bool gang_goes(const struct rr_planner *planner, const rr_job *job) {
    return job->submission.kind != RR_JOB_GANG || job->cancelled || job->done ||
           job->terminated_count > 0 || all_terminated(planner, job);
}

struct rr_plan_edit *rr_plan_edit_record(struct rr_planner *planner, rr_job *job, uint32_t chunk) {
    rr_ledger_record *record = rr_job_ledger_record(job, chunk);
    if (record->edit) {
        return record->edit;
    }
    size_t bytes = rr_ledger_record_bytes(record->placements->len + 1) + 120;
    if (!rr_plan_writable(planner, record) ||
        (rr_plan_terminated_count(planner, record) > 0 && !gang_goes(planner, job))) {
        return NULL;
    }
    if (!transaction_room(planner, 1, bytes)) {
        return NULL;
    }
    struct rr_plan_edit *edit = g_new0(struct rr_plan_edit, 1);
    edit->job = job;
    edit->record = record;
    edit->placements = g_array_copy(record->placements);
    edit->done = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    edit->zone = -1;
    record->edit = edit;
    planner->change_count++;
    planner->bytes += bytes;
    g_ptr_array_add(planner->edits, edit);
    take_all_terminated(planner, edit);
    return edit;
}

rr_placement_record *rr_plan_edit_find(const struct rr_plan_edit *edit, uint64_t attempt,
                                       uint32_t task) {
    for (guint i = 0; i < edit->placements->len; i++) {
        rr_placement_record *item = &g_array_index(edit->placements, rr_placement_record, i);
        if (item->attempt == attempt && item->task == task) {
            return item;
        }
    }
    return NULL;
}

static bool done_in(const struct rr_plan_edit *edit, uint32_t task) {
    for (guint i = 0; i < edit->done->len; i++) {
        if (g_array_index(edit->done, uint32_t, i) == task) {
            return true;
        }
    }
    return false;
}

void rr_plan_guard(struct rr_planner *planner, rr_job *job) {
    if (!job->guarded) {
        job->guarded = true;
        g_ptr_array_add(planner->guards, job);
    }
}

/* A machine whose scratch is to be cleared after the plan. */
void rr_plan_use_machine(struct rr_planner *planner, rr_machine *machine) {
    if (!machine->reserved_jobs) {
        machine->reserved_jobs = g_array_new(FALSE, FALSE, sizeof(rr_job *));
        g_ptr_array_add(planner->machines, machine);
    }
}

/* A task whose placement is over may be placed anew in the same change. */
static void requeue(struct rr_planner *planner, rr_job *job, uint32_t task) {
    struct rr_plan_requeued requeued = {job, task};
    if (job->placed && task < job->submission.task_count && job->placed[task] == 1 &&
        !job->cancelled && !rr_job_task_done(job, task)) {
        job->placed[task] = 0;
        job->placed_count--;
        job->next_task_hint = MIN(job->next_task_hint, task);
        g_array_append_val(planner->requeued, requeued);
    }
}

/* The store cache counts placements as the store has them. */
static void restore_requeued(struct rr_planner *planner) {
    for (guint i = 0; i < planner->requeued->len; i++) {
        const struct rr_plan_requeued *requeued =
            &g_array_index(planner->requeued, struct rr_plan_requeued, i);
        requeued->job->placed[requeued->task] = 1;
        requeued->job->placed_count++;
    }
}

#define FINAL_BYTES 200 /* of a job's final record, with its key */

/* One task of a gang is done, and so are all: its tasks are of one chunk. */
static void gang_done(struct rr_plan_edit *home, rr_job *job) {
    job->completing_count = job->submission.task_count;
    for (uint32_t task = 0; task < job->submission.task_count; task++) {
        g_array_append_val(home->done, task);
    }
}

/* Records a completion where it belongs, in the record of the task's chunk. False: the transaction
 * has no room for it. */
static bool record_done(struct rr_planner *planner, struct rr_plan_edit *edit,
                        const struct rr_terminated_placement *terminated) {
    rr_job *job = terminated->job;
    bool gang = job->submission.kind == RR_JOB_GANG;
    uint32_t chunk = terminated->task / job->tasks_per_record;
    struct rr_plan_edit *home =
        edit->record->chunk == chunk ? edit : rr_plan_edit_record(planner, job, chunk);
    if (!home) {
        return false;
    }
    if ((gang && job->completing_count > 0) || done_in(home, terminated->task)) {
        return true;
    }
    /* The last one ends the job: a change more. */
    bool last = gang || job->done_count + job->completing_count + 1 >= job->submission.task_count;
    if (last && !has_room(planner, 1, FINAL_BYTES)) {
        return false;
    }
    planner->change_count += last;
    home->zone = terminated->machine->zone;
    if (gang) {
        gang_done(home, job);
    } else {
        job->completing_count++;
        g_array_append_val(home->done, terminated->task);
    }
    return true;
}

/* Takes a placement out of its record, with its completion if there is one to record. */
static void take_terminated(struct rr_planner *planner, struct rr_plan_edit *edit,
                            const struct rr_terminated_placement *terminated) {
    rr_job *job = terminated->job;
    if (terminated->done && !job->cancelled && !rr_job_task_done(job, terminated->task) &&
        !record_done(planner, edit, terminated)) {
        return;
    }
    rr_placement_record *item = rr_plan_edit_find(edit, terminated->attempt, terminated->task);
    if (item) {
        g_array_remove_index(edit->placements,
                             (guint)(item - (rr_placement_record *)(void *)edit->placements->data));
    }
}

/* A record that changes anyway loses all that is known to be over in it. */
static void take_all_terminated(struct rr_planner *planner, struct rr_plan_edit *edit) {
    for (guint i = edit->record->first_terminated; i > 0;) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i - 1);
        take_terminated(planner, edit, terminated);
        i = terminated->next;
    }
}

void rr_plan_terminated(struct rr_planner *planner, rr_machine *machine, rr_placement *placement,
                        bool done, const char *why) {
    rr_job *job = placement->job;
    if (placement->terminated_at <= 0 && !done) {
        rr_log_at(planner->core, RR_LOG_DEBUG, "over %s/%u on %s: %s", job->submission.job_id,
                  placement->task, machine->name, why);
    }
    rr_ledger_record *record = rr_job_ledger_record(job, placement->chunk);
    struct rr_terminated_placement terminated = {.machine = machine,
                                                 .job = job,
                                                 .task = placement->task,
                                                 .chunk = placement->chunk,
                                                 .attempt = placement->attempt,
                                                 .done = done,
                                                 .preempted = placement->preempt != RR_PREEMPT_NONE,
                                                 .next = record->first_terminated};
    placement->terminated_at =
        placement->terminated_at > 0 ? placement->terminated_at : planner->now;
    terminated.may_wait =
        planner->now - placement->terminated_at < GATHER_S * planner->core->planning.write_pressure;
    if (done && !rr_job_task_done(job, placement->task)) {
        job->terminated_count = job->submission.kind == RR_JOB_GANG ? job->submission.task_count
                                                                    : job->terminated_count + 1;
    }
    g_array_append_val(planner->terminated, terminated);
    record->first_terminated = planner->terminated->len;
}

static bool finishes(const rr_job *job) {
    return !job->cancelled && job->done_count + job->terminated_count >= job->submission.task_count;
}

#define TOGETHER_S 1.0 /* a gang's tasks complete together; their reports come within this */

/* The end of a gang waits for the reports of its other tasks, a little, and is one change then. */
static bool waits_for_gang(const struct rr_planner *planner,
                           const struct rr_terminated_placement *terminated) {
    const rr_job *job = terminated->job;
    const rr_placement *placement =
        rr_placement_find(terminated->machine, terminated->attempt, job, terminated->task);
    return job->submission.kind == RR_JOB_GANG && terminated->done && placement &&
           planner->now - placement->terminated_at < TOGETHER_S && !all_terminated(planner, job);
}

static bool lost(const struct rr_terminated_placement *terminated) {
    return !terminated->done && !terminated->job->cancelled;
}

/* Completions are gathered while changes are short; one change then ends several. A job's last ones
 * never wait, since its user does. What is to run again waits for its turn among all that waits for
 * a place, and is taken out in the change that reserves it anew: when a zone of four hundred
 * machines had lost its leases, records of arrays were cleared first, a change each, and services
 * came back after them, 35 s later. */
static void record_terminated(struct rr_planner *planner) {
    for (guint i = 0; i < planner->terminated->len; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        if (lost(terminated) && gang_goes(planner, terminated->job)) {
            requeue(planner, terminated->job, terminated->task);
        }
        if (!waits_for_gang(planner, terminated) &&
            (terminated->preempted ||
             (!lost(terminated) && (!terminated->may_wait || finishes(terminated->job))))) {
            rr_plan_edit_record(planner, terminated->job, terminated->chunk);
        }
    }
}

/* Lost places for whose tasks there was no room: their records are cleared as changes allow. */
static void record_lost(struct rr_planner *planner) {
    for (guint i = 0; i < planner->terminated->len && !planner->full; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        if (lost(terminated) && !terminated->may_wait) {
            rr_plan_edit_record(planner, terminated->job, terminated->chunk);
        }
    }
}

#define STRANGER_S 120.0
#define GONE_KEEP_S                                                                                \
    600.0 /* a copy of a report later than this makes a unknown machine for a while */

static gboolean gone_old(gpointer key, gpointer value, gpointer now) {
    (void)key;
    return *(double *)now - *(double *)value > GONE_KEEP_S;
}

/* Machines known only from reports that came late, after their records were gone, and names of
 * machines that went with work of which nothing is left in the ledger. */
static void forget_unknown_machines(rr_core *core, double now) {
    g_hash_table_foreach_remove(core->stored.gone_machines, gone_old, &now);
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (!machine->recorded && !machine->to_record && !machine->command_inflight &&
            machine->placements->len == 0 &&
            (machine->gone || rr_heartbeat_age(machine, now) > STRANGER_S)) {
            rr_machine_forget(core, machine);
        }
    }
}

/* ---- putting it together ---- */

static void put_final(struct rr_planner *planner, const rr_job *job) {
    rr_job_final_record(job, &planner->plan->transaction);
    rr_log_at(planner->core, RR_LOG_DEBUG,
              "job %s is done, %u tasks, %.0f s after it came, due after %.0f, guess %.0f",
              job->submission.job_id, job->submission.task_count, planner->wall - job->accepted_at,
              job->submission.deadline_s, job->submission.runtime_estimate_s);
}

static void put_edit(struct rr_planner *planner, const struct rr_plan_edit *edit) {
    rr_transaction *transaction = &planner->plan->transaction;
    rr_job *job = edit->job;
    char key[RR_ID_SIZE + 64];
    rr_ledger_record_key(job->submission.job_id, edit->record->chunk, key, sizeof key);
    bool ends = job->completing_count > 0 &&
                job->done_count + job->completing_count >= job->submission.task_count;
    bool over = ends || job->cancelled || job->done;
    if ((over || job->submission.kind == RR_JOB_GANG) && edit->placements->len == 0 &&
        edit->record->version == 0) {
        return; /* nothing to delete; or a gang that found no room after all */
    }
    rr_transaction_guard(transaction, key, edit->record->version);
    if (over && edit->placements->len == 0) {
        rr_transaction_delete(transaction, key);
    } else {
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_ledger_record_encode(
            planner->core, &encoder, job, edit->record->chunk, edit->placements, edit->done,
            job->submission.one_zone ? (edit->zone >= 0 ? edit->zone : job->zone) : -1);
        rr_transaction_put(transaction, key, &encoder, 0);
    }
    if (edit->done->len > 0) {
        rr_plan_guard(planner, job);
        if (ends && !job->ending) {
            job->ending = true;
            put_final(planner, job);
        }
    }
}

/* Records of final jobs go when changes are plentiful. */
static void put_garbage(struct rr_planner *planner) {
    rr_core *core = planner->core;
    for (guint i = core->stored.orphan_record_keys->len;
         i > 0 && core->planning.write_pressure < 0.5 &&
         planner->change_count < planner->change_limit;
         i--) {
        const char *key = g_ptr_array_index(core->stored.orphan_record_keys, i - 1);
        rr_job *job;
        const rr_ledger_record *record = rr_garbage_record(core, i - 1, &job);
        if (!record || !record->version) {
            g_ptr_array_remove_index_fast(core->stored.orphan_record_keys, i - 1);
        } else if (!job->open && !record->edit && job->team >= 0 && rr_owns_team(core, job->team)) {
            rr_transaction_guard(&planner->plan->transaction, key, record->version);
            rr_transaction_delete(&planner->plan->transaction, key);
            planner->change_count++;
        }
    }
}

/* What the changes are for: the store allows few, so this is where they are counted. */
static void log_plan(const struct rr_planner *planner) {
    guint done = 0, freed = 0, reserved = 0;
    for (guint i = 0; i < planner->edits->len; i++) {
        const struct rr_plan_edit *edit = g_ptr_array_index(planner->edits, i);
        guint new = 0;
        for (guint k = 0; k < edit->placements->len; k++) {
            const rr_placement_record *item =
                &g_array_index(edit->placements, rr_placement_record, k);
            new += rr_placement_find(item->machine, item->attempt, edit->job, item->task) == NULL;
        }
        reserved += new > 0;
        done += new == 0 && edit->done->len > 0;
        freed += new == 0 && edit->done->len == 0;
    }
    rr_log_at(planner->core, RR_LOG_DEBUG,
              "plan: %u changes: %u records book, %u end tasks, %u others; %u known over; "
              "pressure %.2f",
              planner->plan->transaction.changes->len, reserved, done, freed,
              planner->terminated->len, planner->core->planning.write_pressure);
}

/* A batch says nothing any more once all its jobs have records of their own. */
static bool batch_terminated(const rr_job_batch *batch) {
    for (guint i = 0; i < batch->jobs->len; i++) {
        if (((const rr_job *)g_ptr_array_index(batch->jobs, i))->own_version == 0) {
            return false;
        }
    }
    return true;
}

static void put_old_batches(struct rr_planner *planner) {
    rr_core *core = planner->core;
    GHashTableIter iter;
    gpointer key, value;
    if (core->planning.write_pressure > 0.3 || planner->now - core->planning.batches_at < 2 ||
        !rr_core_is_autoscaler(core, planner->now)) {
        return;
    }
    core->planning.batches_at = planner->now;
    g_hash_table_iter_init(&iter, core->stored.batches);
    while (planner->change_count < planner->change_limit &&
           g_hash_table_iter_next(&iter, &key, &value)) {
        if (batch_terminated(value)) {
            rr_transaction_guard(&planner->plan->transaction, key,
                                 ((rr_job_batch *)value)->version);
            rr_transaction_delete(&planner->plan->transaction, key);
            planner->change_count++;
        }
    }
}

static void build_transaction(struct rr_planner *planner) {
    rr_transaction *transaction = &planner->plan->transaction;
    char key[RR_ID_SIZE + 64];
    rr_transaction_guard(transaction, RR_KEY_ROOT "term", planner->core->membership.term.version);
    for (guint i = 0; i < planner->edits->len; i++) {
        put_edit(planner, g_ptr_array_index(planner->edits, i));
    }
    /* Every reservation guards its job, and with that its own first copy: one that was held up
     * finds the job changed by its end, should the ledger's record be gone by then. */
    for (guint i = 0; i < planner->guards->len; i++) {
        rr_job *job = g_ptr_array_index(planner->guards, i);
        rr_core_job_key(job->submission.job_id, key, sizeof key);
        rr_transaction_guard(transaction, key, job->own_version);
    }
    /* On their own: if one of them is not as the store cache has it, no other change suffers. */
    if (transaction->changes->len == 0) {
        put_garbage(planner);
        put_old_batches(planner);
    }
    planner->plan->has_transaction = transaction->changes->len > 0;
    if (planner->plan->has_transaction && planner->core->log_level >= RR_LOG_DEBUG) {
        log_plan(planner);
    }
}

static void finish_command_batches(struct rr_planner *planner) {
    for (guint i = 0; i < planner->plan->command_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(planner->plan->command_batches, i);
        rr_machine *machine = g_hash_table_lookup(planner->core->stored.machines, batch->machine);
        machine->command_inflight = true;
        machine->plan_commands = NULL;
        machine->reap_at = 0;
    }
}

static void planner_clear(struct rr_planner *planner) {
    for (guint i = 0; i < planner->machines->len; i++) {
        rr_machine *machine = g_ptr_array_index(planner->machines, i);
        g_array_free(machine->reserved_jobs, TRUE);
        machine->reserved_jobs = NULL;
        for (guint k = 0; k < machine->placements->len; k++) {
            g_array_index(machine->placements, rr_placement, k).leaving = false;
        }
    }
    for (guint i = 0; i < planner->guards->len; i++) {
        ((rr_job *)g_ptr_array_index(planner->guards, i))->guarded = false;
    }
    g_ptr_array_free(planner->machines, TRUE);
    g_ptr_array_free(planner->guards, TRUE);
    g_ptr_array_free(planner->edits, TRUE);
    restore_requeued(planner);
    for (guint i = 0; i < planner->terminated->len; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        terminated->job->terminated_count = 0;
        rr_job_ledger_record(terminated->job, terminated->chunk)->first_terminated = 0;
    }
    g_array_free(planner->requeued, TRUE);
    g_array_free(planner->terminated, TRUE);
    g_array_free(planner->failures, TRUE);
    g_array_free(planner->candidates, TRUE);
}

/* Whether changes were what bounded the plan, not the transaction. Between two plans some gather,
 * so that their number alone never looked short while hundreds of reservations waited for them. */
static void note_short(struct rr_planner *planner) {
    if (planner->full && planner->core->planning.changes_allowed <
                             rr_transaction_changes_max(planner->core->config)) {
        planner->core->planning.writes_short_at = planner->now;
    }
    planner->full = false;
}

#define SHORT_S 1.0

static double pressure_now(const rr_core *core, double now) {
    return core->planning.writes_short_at > 0 && now - core->planning.writes_short_at < SHORT_S
               ? 1
               : core->planning.write_pressure;
}

void rr_core_plan(rr_core *core, double now, double wall, rr_plan *out) {
    if (!rr_core_lease_valid(core, now) || !rr_core_cache_consistent(core) ||
        core->membership.new_term_wanted) {
        return;
    }
    struct rr_planner planner = {.core = core, .now = now, .wall = wall, .plan = out};
    core->planning.write_pressure = pressure_now(core, now);
    planner.edits = g_ptr_array_new_with_free_func(edit_free);
    planner.terminated = g_array_new(FALSE, FALSE, sizeof(struct rr_terminated_placement));
    planner.requeued = g_array_new(FALSE, FALSE, sizeof(struct rr_plan_requeued));
    planner.machines = g_ptr_array_new();
    planner.guards = g_ptr_array_new();
    planner.failures = g_array_new(FALSE, FALSE, sizeof(struct rr_plan_failure));
    planner.candidates = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    g_array_set_size(core->planning.team_reserved, 0);
    g_array_set_size(core->planning.team_reserved, (guint)core->config->team_count);
    /* What is over leaves part of the transaction to what waits for its start. */
    int ops = MIN(rr_transaction_changes_max(core->config), core->planning.changes_allowed);
    planner.change_limit = rr_any_job_waiting(&planner) ? ops - ops / 2 : ops;
    rr_reconcile(&planner);
    record_terminated(&planner);
    finish_command_batches(&planner);
    GPtrArray *wait =
        rr_list_waiting_jobs(&planner); /* with those whose tasks have just lost their places */
    planner.change_limit = ops;
    note_short(&planner);
    bool round = rr_rebalance_due(core, now);
    if (ops > 0 && (wait->len || round || core->planning.moves->len)) {
        rr_reset_free_resources(core);
        if (round) {
            rr_rebalance(core, now); /* leaves every sum of free room as the ledger has it */
        }
        rr_place_waiting(&planner, wait);
        rr_start_due_moves(&planner);
    }
    record_lost(&planner);
    note_short(&planner);
    build_transaction(&planner);
    guint first = out->command_batches->len;
    rr_probe_overdue_machines(&planner);
    for (guint i = first; i < out->command_batches->len; i++) {
        rr_machine *machine = g_hash_table_lookup(
            core->stored.machines,
            ((rr_command_batch *)g_ptr_array_index(out->command_batches, i))->machine);
        machine->plan_commands = NULL;
    }
    if (now - core->planning.unknown_machines_at > 1) {
        core->planning.unknown_machines_at = now;
        forget_unknown_machines(core, now);
    }
    if (now - core->planning.recount_at > RECOUNT_S) {
        core->planning.recount_at = now;
        rr_recount_team_usage(core);
    }
    g_ptr_array_free(wait, TRUE);
    planner_clear(&planner);
    if (now - core->planning.shrunk_at > SHRINK_S) {
        core->planning.shrunk_at = now;
        rr_jobs_shrink(core, wall);
    }
}
