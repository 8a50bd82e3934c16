/* Composes the replies to workers' heartbeats. */
#include "core/core_internal.h"
#include "core/heartbeats.h"
#include "core/membership/membership.h"
#include "core/state/cancel_hints.h"
#include "core/state/job_outcomes.h"
#include "core/state/jobs.h"

#include <string.h>

/* Returns the name of another controller of the term, NULL: there is none. Successive heartbeats of
 * a machine get different controllers. */
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

/* Returns whether this controller may renew the worker's lease. A controller that has lost its
 * connection to the key-value store renews leases for longer than it plans, so that a partition
 * does not end the workers' tasks. This is safe: the fencing token keeps a deposed controller from
 * changing anything, and the time limit starts when the store cache last had every cancellation, so
 * that tasks of jobs cancelled later still end in time. A worker that has seen a higher token than
 * this term's would ignore the reply and stay with this controller until its lease expired, so it
 * is refused. */
static bool may_renew_lease(const rr_core *core, double now, const rr_heartbeat *heartbeat) {
    return rr_is_member(core) &&
           now < core->stored.current_as_of + rr_heartbeat_reply_window_s(core->config) &&
           heartbeat->fencing_token <= core->membership.term.token;
}

/* Logs what the decision whether to renew the lease rests on. */
static void log_refused_heartbeat(const rr_core *core, double now, const rr_heartbeat *heartbeat) {
    rr_log_at(core, RR_LOG_DEBUG,
              "heartbeat of machine %s refused: %s of term %" G_GUINT64_FORMAT
              ", worker's token %" G_GUINT64_FORMAT ", store cache %.1f s old",
              heartbeat->machine, rr_is_member(core) ? "member" : "no member",
              core->membership.term.token, heartbeat->fencing_token,
              now - core->stored.current_as_of);
}

/* Returns whether this controller knows that the task's job is cancelled, or knows only the job's
 * final outcome. */
static bool is_cancelled_or_final(const rr_core *core, const rr_task_status *task, double now) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
    return (job && job->cancelled && !job->done) ||
           rr_job_outcome(core, task->job_id, NULL, NULL) ||
           rr_has_cancel_hint(core, task->job_id, now);
}

/* Adds commands that stop the tasks of cancelled and final jobs. Every controller does so, not
 * only the owner of the job, which may be unable to reach the machine. */
static void add_stop_commands(const rr_core *core, double now, const rr_heartbeat *heartbeat,
                              GArray *commands) {
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        if (task->state == RR_TASK_ENDED || !is_cancelled_or_final(core, task, now)) {
            continue;
        }
        rr_log_at(core, RR_LOG_DEBUG,
                  "stop task %s/%u attempt %" G_GUINT64_FORMAT
                  " in the reply to machine %s: job cancelled or final; token %" G_GUINT64_FORMAT,
                  task->job_id, task->task, task->attempt, heartbeat->machine,
                  core->membership.term.token);
        rr_command command = {
            .kind = RR_COMMAND_STOP, .task = task->task, .attempt = task->attempt, .grace_s = 0};
        g_strlcpy(command.job_id, task->job_id, sizeof command.job_id);
        g_array_append_val(commands, command);
    }
}

void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out) {
    memset(out, 0, sizeof *out);
    if (!may_renew_lease(core, now, heartbeat)) {
        log_refused_heartbeat(core, now, heartbeat);
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
