/* Machine objects of the store cache, and searches in their placements and heartbeats. */
#include "core/state/machines.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"

#include <string.h>

rr_machine *rr_machine_get(rr_core *core, const char *name, double now) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, name);
    if (machine) {
        return machine;
    }
    machine = g_new0(rr_machine, 1);
    machine->id = core->stored.next_machine_id++;
    g_strlcpy(machine->name, name, sizeof machine->name);
    machine->machine_type = machine->zone = -1;
    machine->placements = g_array_new(FALSE, TRUE, sizeof(rr_placement));
    machine->images = g_array_new(FALSE, FALSE, sizeof(int));
    machine->failed_jobs = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    machine->sent_starts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    machine->known_at = machine->idle_since = now;
    machine->forwarding_peer = -1;
    g_hash_table_insert(core->stored.machines, machine->name, machine);
    g_ptr_array_add(core->stored.machine_list, machine);
    return machine;
}

void rr_machine_free(gpointer data) {
    rr_machine *machine = data;
    g_array_free(machine->placements, TRUE);
    rr_heartbeat_clear(&machine->heartbeat);
    g_array_free(machine->images, TRUE);
    g_array_free(machine->failed_jobs, TRUE);
    g_hash_table_destroy(machine->sent_starts);
    if (machine->reserved_jobs) {
        g_array_free(machine->reserved_jobs, TRUE);
    }
    g_free(machine);
}

/* Drops all planned moves from or to the machine. */
static void drop_moves(rr_core *core, const rr_machine *machine) {
    for (guint i = core->planning.planned_moves->len; i > 0; i--) {
        const rr_move *move = &g_array_index(core->planning.planned_moves, rr_move, i - 1);
        if (move->from == machine || move->to == machine) {
            g_array_remove_index(core->planning.planned_moves, i - 1);
        }
    }
}

void rr_machine_forget(rr_core *core, rr_machine *machine) {
    drop_moves(core, machine);
    if (machine->dirty) {
        g_ptr_array_remove_fast(core->stored.dirty_machines, machine);
    }
    g_ptr_array_remove_fast(core->stored.machine_list, machine);
    g_hash_table_remove(core->stored.machines, machine->name);
}

void rr_machine_mark_dirty(rr_core *core, rr_machine *machine) {
    if (!machine->dirty) {
        machine->dirty = true;
        g_ptr_array_add(core->stored.dirty_machines, machine);
    }
}

rr_placement *rr_placement_find(const rr_machine *machine, uint64_t attempt, const rr_job *job,
                                uint32_t task) {
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        if (placement->attempt == attempt && placement->job == job && placement->task == task) {
            return placement;
        }
    }
    return NULL;
}

const rr_task_status *rr_task_status_find(const rr_machine *machine,
                                          const rr_placement *placement) {
    for (guint i = 0; machine->heartbeat_seen && i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *task = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        if (task->attempt == placement->attempt && task->task == placement->task &&
            strcmp(task->job_id, placement->job->submission.job_id) == 0) {
            return task;
        }
    }
    return NULL;
}

bool rr_machine_has_image(const rr_machine *machine, int image) {
    for (guint i = 0; i < machine->images->len; i++) {
        if (g_array_index(machine->images, int, i) == image) {
            return true;
        }
    }
    return false;
}
