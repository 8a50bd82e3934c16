/* Collects the commands of one plan in batches per machine. */
#include "core/scheduling/command_batches.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/state/machines.h"

/* If the last heartbeat is older than this many intervals, the machine may not answer commands
 * either. */
#define LATE_HEARTBEAT_INTERVALS 1.3

void rr_command_batch_free(rr_command_batch *batch) {
    g_array_free(batch->commands, TRUE);
    g_free(batch);
}

rr_command_batch *rr_plan_get_command_batch(struct rr_planner *planner, rr_machine *machine) {
    if (machine->plan_commands) {
        return machine->plan_commands;
    }
    bool direct_path_bad = planner->now < machine->direct_path_bad_until;
    rr_command_batch *batch = g_new0(rr_command_batch, 1);
    g_strlcpy(batch->machine, machine->name, sizeof batch->machine);
    g_strlcpy(batch->address, machine->address, sizeof batch->address);
    batch->fencing_token = planner->core->membership.term.token;
    batch->worker_epoch = machine->heartbeat.worker_epoch;
    batch->commands = g_array_new(FALSE, TRUE, sizeof(rr_command));
    batch->fallback_peer = machine->forwarding_peer;
    batch->peer = machine->forwarding_peer >= 0 && direct_path_bad ? machine->forwarding_peer : -1;
    batch->may_time_out =
        machine->unanswered_commands > 0 ||
        rr_heartbeat_age(machine, planner->now) >
            LATE_HEARTBEAT_INTERVALS * planner->core->config->heartbeat_interval_s;
    machine->plan_commands = batch;
    g_ptr_array_add(planner->plan->command_batches, batch);
    return batch;
}

static void log_command(const rr_core *core, const rr_machine *machine, const rr_command *command,
                        const char *reason) {
    static const char *const kind_names[] = {
        [RR_COMMAND_START] = "start", [RR_COMMAND_STOP] = "stop", [RR_COMMAND_REAP] = "reap"};
    rr_log_at(core, RR_LOG_DEBUG,
              "%s task %s/%u attempt %" G_GUINT64_FORMAT
              " on machine %s: %s; token %" G_GUINT64_FORMAT
              ", store cache at revision %" G_GUINT64_FORMAT,
              kind_names[command->kind], command->job_id, command->task, command->attempt,
              machine->name, reason, core->membership.term.token, core->stored.revision);
}

void rr_plan_add_command(struct rr_planner *planner, rr_machine *machine, const rr_command *command,
                         const char *reason) {
    log_command(planner->core, machine, command, reason);
    planner->core->planning.starts_in_term += command->kind == RR_COMMAND_START;
    g_array_append_val(rr_plan_get_command_batch(planner, machine)->commands, *command);
}

void rr_plan_close_command_batches(struct rr_planner *planner) {
    for (guint i = 0; i < planner->plan->command_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(planner->plan->command_batches, i);
        rr_machine *machine = g_hash_table_lookup(planner->core->stored.machines, batch->machine);
        machine->command_inflight = true;
        machine->plan_commands = NULL;
        machine->reap_deferred_since = 0;
    }
}
