/* Selects the peers to which the heartbeats of a machine are forwarded. */
#include "core/core_internal.h"
#include "core/heartbeats.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"

/* Adds the bit of a member's peer to *peers. member: index in the term, -1: none. This controller
 * is no peer of its own and adds nothing. */
static void add_member_peer(const rr_core *core, int member, uint32_t *peers) {
    if (member >= 0 && (guint)member < core->membership.term.members->len &&
        member < RR_CONTROLLERS_MAX && core->membership.peer_by_member[member] >= 0) {
        *peers |= 1u << core->membership.peer_by_member[member];
    }
}

/* Adds the bit of the peer that owns the job's team; the job may be NULL. */
static void add_owner_peer(const rr_core *core, const rr_job *job, uint32_t *peers) {
    if (job && job->team >= 0 && (guint)job->team < core->membership.team_owners->len) {
        add_member_peer(core, g_array_index(core->membership.team_owners, int, job->team), peers);
    }
}

uint32_t rr_core_heartbeat_subscribers(const rr_core *core, const char *machine_name,
                                       uint32_t *occasional) {
    const rr_machine *machine = g_hash_table_lookup(core->stored.machines, machine_name);
    uint32_t peers = 0;
    add_member_peer(core, core->membership.autoscaler_member, &peers);
    for (guint i = 0; machine && i < machine->placements->len; i++) {
        add_owner_peer(core, g_array_index(machine->placements, rr_placement, i).job, &peers);
    }
    for (guint i = 0; machine && machine->heartbeat_seen && i < machine->heartbeat.tasks->len;
         i++) {
        const char *job_id = g_array_index(machine->heartbeat.tasks, rr_task_status, i).job_id;
        add_owner_peer(core, g_hash_table_lookup(core->stored.jobs, job_id), &peers);
    }
    *occasional = 0;
    for (guint i = 0; i < core->membership.team_owners->len; i++) {
        add_member_peer(core, g_array_index(core->membership.team_owners, int, i), occasional);
    }
    return peers;
}
