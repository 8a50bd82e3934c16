/* Replies to workers' heartbeats. */
#include "core/core_internal.h"
#include "core/heartbeats.h"
#include "core/membership/membership.h"
#include "core/state/cancel_hints.h"
#include "core/state/jobs.h"

#include <string.h>

/* NULL: there is no other. Successive heartbeats get different ones. */
static const char *choose_other_controller(const rr_core *core, const rr_heartbeat *heartbeat) {
    guint count = core->membership.term.members->len;
    guint first = count ? (guint)(heartbeat->sequence % count) : 0;
    for (guint i = 0; i < count; i++) {
        const rr_session *session =
            &g_array_index(core->membership.term.members, rr_session, (first + i) % count);
        if (strcmp(session->name, core->config->node_name) != 0) {
            return session->name;
        }
    }
    return NULL;
}

/* A controller that has lost the key-value store renews its workers' leases for longer than it
 * plans, so that a partition does not end their tasks. The fencing token keeps a deposed controller
 * from changing anything; the time runs from the moment up to which the store cache knows every
 * cancellation, so that the tasks of jobs cancelled later still end in time. A token lower than the
 * worker has seen would be ignored by it, and the worker would stay here until its lease expires.
 */
static bool may_reply(const rr_core *core, double now, const rr_heartbeat *heartbeat) {
    return rr_is_member(core) &&
           now < core->stored.current_at + rr_heartbeat_reply_s(core->config) &&
           heartbeat->fencing_token <= core->membership.term.token;
}

static bool is_unwanted(const rr_core *core, const rr_task_status *task, double now) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
    return (job && job->cancelled && !job->done) ||
           rr_job_outcome(core, task->job_id, NULL, NULL) ||
           rr_has_cancel_hint(core, task->job_id, now);
}

/* Any controller stops the tasks of cancelled jobs, because their owner may not reach the machine.
 */
static void add_stop_commands(const rr_core *core, double now, const rr_heartbeat *heartbeat,
                              GArray *commands) {
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        if (task->state == RR_TASK_ENDED || !is_unwanted(core, task, now)) {
            continue;
        }
        rr_command command = {
            .kind = RR_COMMAND_STOP, .task = task->task, .attempt = task->attempt, .grace_s = 0};
        g_strlcpy(command.job_id, task->job_id, sizeof command.job_id);
        g_array_append_val(commands, command);
    }
}

void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out) {
    memset(out, 0, sizeof *out);
    if (!may_reply(core, now, heartbeat)) {
        out->peer = choose_other_controller(core, heartbeat);
        out->status =
            out->peer ? RR_HEARTBEAT_REPLY_OTHER_CONTROLLER : RR_HEARTBEAT_REPLY_UNAVAILABLE;
        return;
    }
    out->status = RR_HEARTBEAT_REPLY_OK;
    out->fencing_token = core->membership.term.token;
    out->commands = g_array_new(FALSE, TRUE, sizeof(rr_command));
    add_stop_commands(core, now, heartbeat, out->commands);
}
