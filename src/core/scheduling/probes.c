/* Probes of machines that are silent or in doubt, and what the answers to commands show. */
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/plan.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/leadership.h"
#include "core/planning.h"

#include <string.h>

/* ---- probes ---- */

#define PROBES_MAX 24   /* at a time */
#define PROBES_IN_CUT 2 /* into a zone that is mostly silent: a sample tells a cut from deaths */
#define PROBE_EVERY_S 0.9
#define PROBE_LOOK_S 0.3

static gint by_probed(gconstpointer left_item, gconstpointer right_item) {
    const rr_machine *left = *(rr_machine *const *)left_item,
                     *right = *(rr_machine *const *)right_item;
    return left->probed_at < right->probed_at ? -1 : left->probed_at > right->probed_at;
}

/* Whose silence is ours to look into: the autoscaler's all, an owner's those with its work, and
 * those that it doubts itself: only an answer to it ends that, and one that had lost its work there
 * never sent another command and left the machine out for good. */
static bool concerns_us(const rr_core *core, const rr_machine *machine, bool provisioner) {
    provisioner = provisioner || rr_machine_commands_unanswered(machine);
    for (guint i = 0; !provisioner && i < machine->placements->len; i++) {
        const rr_job *job = g_array_index(machine->placements, rr_placement, i).job;
        if (job->team >= 0 && rr_owns_team(core, job->team)) {
            return true;
        }
    }
    return provisioner;
}

static bool wants_probe(const rr_core *core, const rr_machine *machine, double now,
                        bool provisioner) {
    if (machine->scaling_in || !machine->address[0] || machine->command_inflight ||
        now - machine->probed_at <= PROBE_EVERY_S) {
        return false;
    }
    bool late = rr_heartbeat_age(machine, now) > 1.3 * core->config->heartbeat_interval_s &&
                (machine->heartbeat_seen || machine->placements->len);
    bool doubted = machine->unanswered >= 2 || now < machine->suspect_until;
    /* A report about an unknown machine may be a late copy: a live exchange has to vouch for it. */
    bool stranger =
        !machine->recorded && machine->heartbeat_seen && !machine->verified && !machine->gone;
    return (machine->recorded ? late || doubted : stranger && provisioner) &&
           concerns_us(core, machine, provisioner);
}

/* A report late by more than its usual quarter, commands without answers: ask, with a command that
 * carries the present token, so that a worker that a deposed controller holds on to learns of it.
 * Those asked longest ago come first. */
void rr_probe_overdue_machines(struct rr_planner *planner) {
    rr_core *core = planner->core;
    if (planner->now - core->planning.probe_at < PROBE_LOOK_S) {
        return;
    }
    core->planning.probe_at = planner->now;
    rr_detect_partitions(core, planner->now);
    bool provisioner = rr_core_is_autoscaler(core, planner->now);
    guint in_cut[core->stored.zones.names->len + 1];
    memset(in_cut, 0, sizeof in_cut);
    GPtrArray *late = g_ptr_array_new();
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (wants_probe(core, machine, planner->now, provisioner)) {
            g_ptr_array_add(late, machine);
        }
    }
    g_ptr_array_sort(late, by_probed);
    for (guint i = 0; i < late->len && core->counters.probes_in_flight < PROBES_MAX; i++) {
        rr_machine *machine = g_ptr_array_index(late, i);
        if (machine->plan_commands ||
            (machine->zone >= 0 && rr_zone_partitioned(core, machine->zone) &&
             in_cut[machine->zone]++ >= PROBES_IN_CUT)) {
            continue;
        }
        machine->probed_at = planner->now;
        machine->command_inflight = true;
        rr_command_batch *batch = rr_plan_command_batch(planner, machine);
        batch->may_time_out = true;
        machine->plan_commands = NULL;
        core->counters.probes_in_flight++;
    }
    g_ptr_array_free(late, TRUE);
}

/* Commands to it go unanswered: the others are told, since the autoscaler may not have sent any.
 */
static void suspect(rr_core *core, rr_machine *machine, double now) {
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return; /* the answer may be waiting to be read */
    }
    machine->unanswered_at = machine->unanswered++ == 0 ? now : machine->unanswered_at;
    if (machine->unanswered >= 2) {
        rr_core_suspect(core, machine->name, now);
    }
}

void rr_core_suspect(rr_core *core, const char *machine, double now) {
    rr_machine *suspected = g_hash_table_lookup(core->stored.machines, machine);
    if (suspected) {
        suspected->suspect_until = now + 2 * core->config->heartbeat_interval_s;
    }
}

/* Machines whose commands got no answer twice or more in a row, for the peers. */
void rr_core_list_suspects(rr_core *core, double now, GPtrArray *out) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->unanswered >= 2 && machine->recorded &&
            now - machine->heartbeat_at < 2 * core->config->heartbeat_interval_s) {
            g_ptr_array_add(out, g_strdup(machine->name));
        }
    }
}

static void probe_result(rr_core *core, rr_machine *machine, double now, bool answered) {
    if (answered) {
        machine->probe_fails = 0;
        machine->failed_suspect_probes = machine->unanswered = 0;
        machine->suspect_until = 0;
        return;
    }
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return; /* its answer may be waiting to be read */
    }
    machine->probe_fails++;
    /* Only while it goes on reporting: a silent machine is another trouble. */
    if (!rr_machine_heartbeat_overdue(core, machine, now)) {
        machine->suspect_probes_failed_at =
            machine->failed_suspect_probes++ == 0 ? now : machine->suspect_probes_failed_at;
        suspect(core, machine, now);
    }
}

void rr_core_command_result(rr_core *core, double now, const rr_command_batch *batch,
                            enum rr_command_outcome outcome, bool executed) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, batch->machine);
    bool probe = batch->commands->len == 0;
    core->counters.probes_in_flight -= probe && core->counters.probes_in_flight > 0;
    if (!machine) {
        return;
    }
    machine->command_inflight = false;
    rr_mark_dirty(core, machine);
    if (probe) {
        probe_result(core, machine, now, outcome == RR_COMMAND_ANSWERED);
        return;
    }
    machine->next_command_at =
        outcome == RR_COMMAND_ANSWERED ? (executed ? 0 : now + 0.5) : now + 1;
    if (outcome == RR_COMMAND_ANSWERED) {
        machine->unanswered = 0;
        return;
    }
    suspect(core, machine, now);
    if (batch->via < 0) {
        machine->direct_path_bad_until = now + 10;
    }
    if (outcome != RR_COMMAND_OUTCOME_UNKNOWN) {
        return;
    }
    if (machine->unanswered_starts_token != batch->fencing_token ||
        machine->unanswered_starts_epoch != batch->worker_epoch) {
        g_hash_table_remove_all(machine->unanswered_starts);
        machine->unanswered_starts_token = batch->fencing_token;
        machine->unanswered_starts_epoch = batch->worker_epoch;
    }
    for (guint i = 0; i < batch->commands->len; i++) {
        const rr_command *command = &g_array_index(batch->commands, rr_command, i);
        if (command->kind == RR_COMMAND_START) {
            g_hash_table_add(machine->unanswered_starts,
                             g_memdup2(&command->attempt, sizeof command->attempt));
        }
    }
}
