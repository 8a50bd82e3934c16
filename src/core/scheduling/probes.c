/* Probes machines, and records the outcomes of probes and commands. */
#include "core/scheduling/probes.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/planning.h"
#include "core/scheduling/command_batches.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

#include <string.h>

#define PROBES_IN_FLIGHT_MAX 24
/* Probes per round in a partitioned zone: a sample is enough to tell a partition from failed
 * machines. */
#define PROBES_PER_PARTITIONED_ZONE 2
#define PROBE_PERIOD_S 0.9       /* minimum time between two probes of one machine */
#define PROBE_ROUND_PERIOD_S 0.3 /* time between two searches for machines to probe */
/* A heartbeat older than this many heartbeat intervals is late. */
#define LATE_HEARTBEAT_INTERVALS 1.3
#define SUSPECT_UNANSWERED_MIN 2 /* unanswered commands in a row that make a machine suspect */
#define SUSPECT_INTERVALS 2      /* heartbeat intervals for which a machine stays suspect */

/* Delay before the next command to a machine that did not execute the last ones. */
#define NOT_EXECUTED_RETRY_S 0.5 /* the machine answered */
#define UNANSWERED_RETRY_S 1.0   /* the machine did not answer */
/* Commands go through a peer for this long after the direct path failed. */
#define PEER_PATH_S 10.0

/* ---- selecting and sending probes ---- */

/* GCompareFunc: sorts machines by the time of their last probe, the oldest first. */
static gint compare_last_probe(gconstpointer left_machine, gconstpointer right_machine) {
    const rr_machine *left = *(rr_machine *const *)left_machine;
    const rr_machine *right = *(rr_machine *const *)right_machine;
    return left->probed_at < right->probed_at ? -1 : left->probed_at > right->probed_at;
}

/* Whether a task of this controller's teams is placed on the machine. */
static bool has_own_placement(const rr_core *core, const rr_machine *machine) {
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_job *job = g_array_index(machine->placements, rr_placement, i).job;
        if (job->team >= 0 && rr_owns_team(core, job->team)) {
            return true;
        }
    }
    return false;
}

/* Whether this controller is responsible for probing the machine. The autoscaler probes all
 * machines, other controllers those with tasks of their teams. A controller whose own commands went
 * unanswered continues to probe, since only an answer to itself ends the suspicion. */
static bool is_responsible_for_probe(const rr_core *core, const rr_machine *machine,
                                     bool is_autoscaler) {
    return is_autoscaler || rr_machine_commands_unanswered(machine) ||
           has_own_placement(core, machine);
}

static bool heartbeat_is_late(const rr_core *core, const rr_machine *machine, double now) {
    return rr_heartbeat_age(machine, now) >
               LATE_HEARTBEAT_INTERVALS * core->config->heartbeat_interval_s &&
           (machine->heartbeat_seen || machine->placements->len);
}

/* Whether this or another controller has lately found its commands to the machine unanswered. */
static bool is_suspect(const rr_machine *machine, double now) {
    return machine->unanswered_commands >= SUSPECT_UNANSWERED_MIN || now < machine->suspect_until;
}

/* Whether the machine may be known only from delayed copies of heartbeats, so that a live exchange
 * has to verify that it exists. */
static bool is_unverified(const rr_machine *machine) {
    return machine->heartbeat_seen && !machine->verified && !machine->gone;
}

static bool needs_probe(const rr_core *core, const rr_machine *machine, double now,
                        bool is_autoscaler) {
    if (machine->scaling_in || !machine->address[0] || machine->command_inflight ||
        now - machine->probed_at <= PROBE_PERIOD_S) {
        return false;
    }
    if (!machine->recorded) {
        return is_autoscaler && is_unverified(machine);
    }
    return (heartbeat_is_late(core, machine, now) || is_suspect(machine, now)) &&
           is_responsible_for_probe(core, machine, is_autoscaler);
}

/* Returns the machines (rr_machine*) that need a probe, those probed longest ago first. The caller
 * owns the array. */
static GPtrArray *list_machines_to_probe(const struct rr_planner *planner) {
    const rr_core *core = planner->core;
    bool is_autoscaler = rr_core_is_autoscaler(core, planner->now);
    GPtrArray *machines = g_ptr_array_new();
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (needs_probe(core, machine, planner->now, is_autoscaler)) {
            g_ptr_array_add(machines, machine);
        }
    }
    g_ptr_array_sort(machines, compare_last_probe);
    return machines;
}

/* Adds a probe to the plan: an empty command batch that is complete at once. */
static void add_probe(struct rr_planner *planner, rr_machine *machine) {
    rr_plan_get_command_batch(planner, machine)->may_time_out = true;
    machine->plan_commands = NULL;
    machine->probed_at = planner->now;
    machine->command_inflight = true;
    planner->core->counters.probes_in_flight++;
}

/* Probes carry the present fencing token, so that a worker that still accepts commands of a deposed
 * controller learns of the new term. */
void rr_plan_add_probes(struct rr_planner *planner) {
    rr_core *core = planner->core;
    if (planner->now - core->planning.last_probe_round_at < PROBE_ROUND_PERIOD_S) {
        return;
    }
    core->planning.last_probe_round_at = planner->now;
    rr_detect_partitions(core, planner->now);
    guint zone_probes[core->stored.zones.names->len + 1];
    memset(zone_probes, 0, sizeof zone_probes);
    GPtrArray *machines = list_machines_to_probe(planner);
    for (guint i = 0; i < machines->len && core->counters.probes_in_flight < PROBES_IN_FLIGHT_MAX;
         i++) {
        rr_machine *machine = g_ptr_array_index(machines, i);
        bool partitioned = machine->zone >= 0 && rr_zone_partitioned(core, machine->zone);
        if (!partitioned || zone_probes[machine->zone]++ < PROBES_PER_PARTITIONED_ZONE) {
            add_probe(planner, machine);
        }
    }
    g_ptr_array_free(machines, TRUE);
}

/* ---- recording outcomes ---- */

void rr_core_mark_suspect(rr_core *core, const char *machine_name, double now) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, machine_name);
    if (machine) {
        machine->suspect_until = now + SUSPECT_INTERVALS * core->config->heartbeat_interval_s;
    }
}

void rr_core_list_suspects(rr_core *core, double now, GPtrArray *machine_names) {
    double heartbeat_age_max_s = SUSPECT_INTERVALS * core->config->heartbeat_interval_s;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->unanswered_commands >= SUSPECT_UNANSWERED_MIN && machine->recorded &&
            now - machine->heartbeat_at < heartbeat_age_max_s) {
            g_ptr_array_add(machine_names, g_strdup(machine->name));
        }
    }
}

/* Counts an unanswered command or probe, and marks the machine suspect if there are several in a
 * row. */
static void record_unanswered_command(rr_core *core, rr_machine *machine, double now) {
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return; /* this process may not have read the answer yet */
    }
    machine->commands_unanswered_since =
        machine->unanswered_commands++ == 0 ? now : machine->commands_unanswered_since;
    if (machine->unanswered_commands >= SUSPECT_UNANSWERED_MIN) {
        rr_core_mark_suspect(core, machine->name, now);
    }
}

/* Counts an unanswered probe. */
static void record_failed_probe(rr_core *core, rr_machine *machine, double now) {
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return; /* this process may not have read the answer yet */
    }
    machine->failed_probes++;
    /* Only a machine that still sends heartbeats can be suspect; others are overdue. */
    if (!rr_machine_heartbeat_overdue(core, machine, now)) {
        machine->suspect_probes_failed_at =
            machine->failed_suspect_probes++ == 0 ? now : machine->suspect_probes_failed_at;
        record_unanswered_command(core, machine, now);
    }
}

/* Clears the machine's failure counts and its suspicion. */
static void record_answered_probe(rr_machine *machine) {
    machine->failed_probes = 0;
    machine->failed_suspect_probes = machine->unanswered_commands = 0;
    machine->suspect_until = 0;
}

/* Records the start commands of a batch that was sent. Drops those recorded under another fencing
 * token or worker epoch, which the worker refuses. */
static void record_sent_starts(rr_machine *machine, const rr_command_batch *batch) {
    if (machine->sent_starts_token != batch->fencing_token ||
        machine->sent_starts_epoch != batch->worker_epoch) {
        g_hash_table_remove_all(machine->sent_starts);
        machine->sent_starts_token = batch->fencing_token;
        machine->sent_starts_epoch = batch->worker_epoch;
    }
    for (guint i = 0; i < batch->commands->len; i++) {
        const rr_command *command = &g_array_index(batch->commands, rr_command, i);
        if (command->kind == RR_COMMAND_START) {
            g_hash_table_add(machine->sent_starts,
                             g_memdup2(&command->attempt, sizeof command->attempt));
        }
    }
}

/* Records that a batch of commands got no answer. */
static void record_failed_commands(rr_core *core, rr_machine *machine, double now,
                                   const rr_command_batch *batch) {
    machine->next_command_at = now + UNANSWERED_RETRY_S;
    record_unanswered_command(core, machine, now);
    if (batch->peer < 0) {
        machine->direct_path_bad_until = now + PEER_PATH_S;
    }
}

void rr_core_record_command_result(rr_core *core, double now, const rr_command_batch *batch,
                                   enum rr_command_outcome outcome, bool executed) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, batch->machine);
    bool is_probe = batch->commands->len == 0;
    bool answered = outcome == RR_COMMAND_ANSWERED;
    core->counters.probes_in_flight -= is_probe && core->counters.probes_in_flight > 0;
    if (!machine) {
        return;
    }
    machine->command_inflight = false;
    rr_machine_mark_dirty(core, machine);
    if (outcome != RR_COMMAND_NOT_SENT) {
        record_sent_starts(machine, batch);
    }
    if (is_probe && answered) {
        record_answered_probe(machine);
    } else if (is_probe) {
        record_failed_probe(core, machine, now);
    } else if (answered) {
        machine->next_command_at = executed ? 0 : now + NOT_EXECUTED_RETRY_S;
        machine->unanswered_commands = 0;
    } else {
        record_failed_commands(core, machine, now, batch);
    }
}
