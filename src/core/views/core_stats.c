/* Statistics: counts over the cached state, and the counters kept since the start. */
#include "core/core_internal.h"
#include "core/stats.h"

#include <string.h>

static void count_machines(const rr_core *core, rr_core_stats *out) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        out->machines += machine->recorded;
        out->booting += machine->recorded && !machine->heartbeat_seen;
        out->tasks_placed += machine->placements->len;
        out->ended_attempts += machine->ended_task_count;
        out->ended_attempts_max = MAX(out->ended_attempts_max, machine->ended_task_count);
        out->total_price += machine->recorded ? rr_machine_price(core, machine) : 0;
    }
}

static void count_jobs(const rr_core *core, rr_core_stats *out) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        out->jobs_open++;
        if (!job->cancelled && !job->done) {
            out->tasks_waiting += job->submission.task_count - job->done_count - job->placed_count;
        }
    }
    out->retained_jobs = g_hash_table_size(core->stored.jobs);
}

void rr_core_get_stats(const rr_core *core, rr_core_stats *out) {
    memset(out, 0, sizeof *out);
    count_machines(core, out);
    count_jobs(core, out);
    out->tasks_moved = core->counters.tasks_moved;
    out->machines_rented = core->counters.machines_rented;
    out->machines_terminated = core->counters.machines_terminated;
    out->leases_lost = core->counters.leases_lost;
    out->spot_notices = core->counters.spot_notices;
    out->unplaced_tasks_stopped = core->counters.unplaced_tasks_stopped;
    out->machines_examined = core->counters.machines_examined;
}
