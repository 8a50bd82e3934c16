/* Running totals over placements, by machine, team and task. */
#include "core/state/placement_accounting.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

rr_resources rr_team_usage(const rr_core *core, int team) {
    return team >= 0 && (guint)team < core->stored.team_usage->len
               ? g_array_index(core->stored.team_usage, rr_resources, team)
               : (rr_resources){0, 0, 0};
}

static void update_team_usage(rr_core *core, const rr_job *job, int sign) {
    if (job->team < 0) {
        return; /* only the ledger has named the job so far; its record brings the team */
    }
    if ((guint)job->team >= core->stored.team_usage->len) {
        g_array_set_size(core->stored.team_usage, (guint)job->team + 1);
    }
    rr_resources *used = &g_array_index(core->stored.team_usage, rr_resources, job->team);
    *used = rr_resources_add(*used, job->request, sign);
}

/* Updates the number of the task's placements, and closes a final job that has none left. */
static void update_task_placements(rr_core *core, rr_job *job, uint32_t task, int sign) {
    if (!job->placements_per_task || task >= job->submission.task_count) {
        return;
    }
    if (sign > 0) {
        job->placed_count += job->placements_per_task[task]++ == 0;
    } else if (job->placements_per_task[task] > 0) {
        job->placed_count -= --job->placements_per_task[task] == 0;
        job->next_task_hint = MIN(task, job->next_task_hint);
        rr_job_close_if_final(core, job);
    }
}

void rr_account_placement(rr_core *core, rr_machine *machine, const rr_placement *placement,
                          int sign) {
    rr_job *job = placement->job;
    machine->used = rr_resources_add(machine->used, job->request, sign);
    update_team_usage(core, job, sign);
    rr_machine_mark_dirty(core, machine);
    update_task_placements(core, job, placement->task, sign);
}

void rr_recount_team_usage(rr_core *core) {
    g_array_set_size(core->stored.team_usage, 0);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        for (guint k = 0; k < machine->placements->len; k++) {
            update_team_usage(core, g_array_index(machine->placements, rr_placement, k).job, 1);
        }
    }
}
