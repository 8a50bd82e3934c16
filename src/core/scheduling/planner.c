/* Initializes the state of a plan, and resets what the plan has marked in the store cache. */
#include "core/scheduling/planner.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

static void free_edit(gpointer data) {
    struct rr_record_edit *edit = data;
    edit->record->edit = NULL;
    g_array_free(edit->placements, TRUE);
    g_array_free(edit->completed, TRUE);
    g_free(edit);
}

void rr_planner_init(struct rr_planner *planner, rr_core *core, double now, double wall,
                     rr_plan *plan) {
    *planner = (struct rr_planner){.core = core, .now = now, .wall = wall, .plan = plan};
    planner->job_progress = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    planner->edits = g_ptr_array_new_with_free_func(free_edit);
    planner->terminated = g_array_new(FALSE, FALSE, sizeof(struct rr_terminated_placement));
    planner->requeued = g_array_new(FALSE, FALSE, sizeof(struct rr_requeued_task));
    planner->used_machines = g_ptr_array_new();
    planner->guarded_jobs = g_ptr_array_new();
    planner->failed_searches = g_array_new(FALSE, FALSE, sizeof(struct rr_failed_search));
    planner->candidates = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    g_array_set_size(core->planning.team_reserved, 0);
    g_array_set_size(core->planning.team_reserved, (guint)core->config->team_count);
}

void rr_planner_track_machine(struct rr_planner *planner, rr_machine *machine) {
    if (!machine->reserved_jobs) {
        machine->reserved_jobs = g_array_new(FALSE, FALSE, sizeof(rr_job *));
        g_ptr_array_add(planner->used_machines, machine);
    }
}

struct rr_job_progress *rr_planner_job_progress(const struct rr_planner *planner,
                                                const rr_job *job) {
    struct rr_job_progress *progress = g_hash_table_lookup(planner->job_progress, job);
    if (!progress) {
        progress = g_new0(struct rr_job_progress, 1);
        g_hash_table_insert(planner->job_progress, (gpointer)job, progress);
    }
    return progress;
}

void rr_planner_guard_job(struct rr_planner *planner, rr_job *job) {
    struct rr_job_progress *progress = rr_planner_job_progress(planner, job);
    if (!progress->guarded) {
        progress->guarded = true;
        g_ptr_array_add(planner->guarded_jobs, job);
    }
}

/* Resets the machine's per-plan state. */
static void reset_machine_plan_state(rr_machine *machine) {
    g_array_free(machine->reserved_jobs, TRUE);
    machine->reserved_jobs = NULL;
    for (guint i = 0; i < machine->placements->len; i++) {
        g_array_index(machine->placements, rr_placement, i).preempted_by_plan = false;
    }
}

/* Counts requeued tasks as placed again: the store cache counts placements as the key-value store
 * has them, and the plan's transaction is not applied yet. */
static void restore_requeued_tasks(const GArray *requeued) {
    for (guint i = 0; i < requeued->len; i++) {
        const struct rr_requeued_task *entry = &g_array_index(requeued, struct rr_requeued_task, i);
        entry->job->placements_per_task[entry->task] = 1;
        entry->job->placed_count++;
    }
}

/* Resets the lists of terminated placements in the ledger records. */
static void clear_terminated_lists(const GArray *terminated) {
    for (guint i = 0; i < terminated->len; i++) {
        const struct rr_terminated_placement *entry =
            &g_array_index(terminated, struct rr_terminated_placement, i);
        rr_job_ledger_record_get(entry->job, entry->chunk)->first_terminated = 0;
    }
}

void rr_planner_clear(struct rr_planner *planner) {
    for (guint i = 0; i < planner->used_machines->len; i++) {
        reset_machine_plan_state(g_ptr_array_index(planner->used_machines, i));
    }
    restore_requeued_tasks(planner->requeued);
    clear_terminated_lists(planner->terminated);
    g_hash_table_destroy(planner->job_progress);
    g_ptr_array_free(planner->used_machines, TRUE);
    g_ptr_array_free(planner->guarded_jobs, TRUE);
    g_ptr_array_free(planner->edits, TRUE);
    g_array_free(planner->requeued, TRUE);
    g_array_free(planner->terminated, TRUE);
    g_array_free(planner->failed_searches, TRUE);
    g_array_free(planner->candidates, TRUE);
}
