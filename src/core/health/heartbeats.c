/* Workers' reports: what they show, and the answers to them. */
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/state/cancel_hints.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/heartbeats.h"

#include <string.h>

#define FULL_S                                                                                     \
    2.0 /* what fills it is on its way into the ledger, or a stray that is being stopped */

static bool newer(const rr_machine *machine, const rr_heartbeat *heartbeat) {
    if (!machine->heartbeat_seen) {
        return true;
    }
    if (heartbeat->worker_epoch != machine->heartbeat.worker_epoch) {
        return heartbeat->worker_epoch > machine->heartbeat.worker_epoch;
    }
    return heartbeat->sequence > machine->heartbeat.sequence;
}

/* A machine fetches an image before it runs a task, and keeps those used last. */
static void note_images(rr_core *core, rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    for (guint i = 0; i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *task = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        bool fetched = task->state == RR_TASK_RUNNING || task->state == RR_TASK_WAITING;
        if (!job || job->image < 0 || !fetched || rr_machine_has_image(machine, job->image)) {
            continue;
        }
        g_array_append_val(machine->images, job->image);
        /* Without the images' sizes at hand after their jobs, the oldest goes after a bounded
         * number; a wrong guess costs one fetch. */
        if (machine->images->len > (type && type->cache_gb > 0 ? 12 : 1)) {
            g_array_remove_index(machine->images, 0);
        }
    }
}

static bool was_shown_failed(const rr_machine *machine, const rr_task_status *task) {
    for (guint i = 0; machine->heartbeat_seen && i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *other = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        if (other->attempt == task->attempt && other->task == task->task &&
            other->state == RR_TASK_ENDED && strcmp(other->job_id, task->job_id) == 0) {
            return true;
        }
    }
    return false;
}

static bool was_running(const rr_machine *machine, const rr_task_status *task) {
    for (guint i = 0; machine->heartbeat_seen && i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *other = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        if (other->attempt == task->attempt && other->task == task->task &&
            strcmp(other->job_id, task->job_id) == 0) {
            return other->state != RR_TASK_FETCHING;
        }
    }
    return false;
}

/* For whoever follows a day: when each task runs, and how long after its job came to be known. */
static void log_starts(rr_core *core, const rr_machine *machine, const rr_heartbeat *heartbeat,
                       double now) {
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        if (job && task->state == RR_TASK_RUNNING && job->team >= 0 &&
            rr_owns_team(core, job->team) && !was_running(machine, task)) {
            rr_log_at(core, RR_LOG_DEBUG,
                      "runs %s/%u (%s) on %s %.1f s after it was known, image %s", task->job_id,
                      task->task, job->submission.job_class, machine->name, now - job->first_seen,
                      rr_machine_has_image(machine, job->image) ? "was there" : "was fetched");
        }
    }
}

static void note_failures(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                          double now) {
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        if (task->state != RR_TASK_ENDED || was_shown_failed(machine, task)) {
            continue;
        }
        rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        if (task->exit_reason == RR_EXIT_ERROR && job) {
            rr_record_task_failure(core, machine, job, now);
        } else if (task->exit_reason == RR_EXIT_FULL) {
            machine->full_until = now + FULL_S;
        } else if (task->exit_reason == RR_EXIT_NO_SUCH && job) {
            job->backoff_until = now + 2;
        } else if (task->exit_reason == RR_EXIT_DONE && job && job->failed_machines) {
            g_array_set_size(job->failed_machines, 0);
        }
    }
}

/* Whether a report says anything that the one before did not. */
static bool same_content(const rr_machine *machine, const rr_heartbeat *heartbeat, uint64_t hash) {
    return machine->heartbeat_seen && machine->heartbeat.worker_epoch == heartbeat->worker_epoch &&
           machine->heartbeat_hash == hash &&
           strcmp(machine->heartbeat.address, heartbeat->address) == 0;
}

#define SECOND_S 0.3 /* copies of one moment come together */

/* A copy of a report may come late, by seconds or by more than a lease, also to a process that has
 * never heard the machine and so can't tell. One report vouches for nothing then: the present
 * term's token does (this process's own first term is newer than anything sent before it), or a
 * second one that is newer. A machine that was recorded while this process watched has never been
 * up before: nothing of it can be from an earlier time. */
static void verify(const rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                   double now) {
    machine->verified = machine->verified || machine->recorded_while_watching ||
                        (core->membership.term.token > 0 &&
                         heartbeat->fencing_token == core->membership.term.token) ||
                        (machine->heartbeat_seen && now - machine->heartbeat_at > SECOND_S);
}

static void record_news(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                        double now) {
    if (!machine->heartbeat_seen) {
        rr_log_at(core, RR_LOG_DEBUG, "machine %s is up in %s after %.0f s", machine->name,
                  heartbeat->zone, now - machine->known_at);
    }
    if (machine->heartbeat_seen && heartbeat->worker_epoch > machine->heartbeat.worker_epoch) {
        rr_log_at(core, RR_LOG_DEBUG, "machine %s lost its lease: worker epoch %" G_GUINT64_FORMAT,
                  machine->name, heartbeat->worker_epoch);
        core->counters.leases_lost++;
    }
    if (heartbeat->spot_notice_s >= 0 &&
        (!machine->heartbeat_seen || machine->heartbeat.spot_notice_s < 0)) {
        rr_log_at(core, RR_LOG_DEBUG, "machine %s goes in %.0f s (notice)", machine->name,
                  heartbeat->spot_notice_s);
        core->counters.spot_notices++;
    }
}

enum rr_heartbeat_news rr_core_take_heartbeat(rr_core *core, double now, rr_heartbeat *heartbeat,
                                              int via) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, heartbeat->machine);
    if (!machine && g_hash_table_contains(core->stored.gone_machines, heartbeat->machine)) {
        rr_heartbeat_clear(
            heartbeat); /* a late copy about a machine that has gone creates nothing */
        return RR_HEARTBEAT_IGNORED;
    }
    if (!machine) {
        machine = rr_machine_get(core, heartbeat->machine, now);
    }
    if (!newer(machine, heartbeat)) {
        rr_heartbeat_clear(heartbeat);
        return RR_HEARTBEAT_IGNORED;
    }
    if (machine->machine_type < 0) {
        machine->machine_type =
            rr_name_index_add(&core->stored.machine_type_names, heartbeat->machine_type);
        machine->zone = rr_name_index_add(&core->stored.zones, heartbeat->zone);
        machine->spot = heartbeat->spot;
    }
    verify(core, machine, heartbeat, now);
    if (rr_machine_heartbeat_overdue(core, machine, now)) {
        machine->unanswered = machine->failed_suspect_probes = 0; /* the silence explains it */
    }
    uint64_t hash = rr_heartbeat_hash(heartbeat);
    bool changed = !same_content(machine, heartbeat, hash);
    if (changed) {
        record_news(core, machine, heartbeat, now);
        g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
        note_failures(core, machine, heartbeat, now);
        if (core->log_level >= RR_LOG_DEBUG) {
            log_starts(core, machine, heartbeat, now);
        }
    }
    rr_heartbeat_clear(&machine->heartbeat);
    machine->heartbeat = *heartbeat;
    machine->heartbeat_hash = hash;
    heartbeat->tasks = NULL;
    machine->heartbeat_seen = true;
    machine->heartbeat_at = machine->reported_at = now;
    machine->probe_fails = 0;
    machine->stale_answers = 0;
    machine->heard_via = via;
    if (via < 0) {
        rr_contact_record(&core->observed.direct_contact, now);
    }
    if (changed) {
        note_images(core, machine);
        rr_mark_dirty(core, machine);
    }
    return changed ? RR_HEARTBEAT_CHANGED : RR_HEARTBEAT_UNCHANGED;
}

/* A machine that is back under its name at once, with its counts begun anew, looks older than what
 * is known of it: its reports are dropped, and yet it answers. It is another one; what was on the
 * first is gone, but a command on its way to that one could still reach this one. So it is asked
 * back. */
void rr_core_verify_machine(rr_core *core, double now, const rr_heartbeat_digest *digest) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, digest->machine);
    if (!machine) {
        return;
    }
    machine->verified = true;
    bool older =
        machine->heartbeat_seen && (digest->worker_epoch < machine->heartbeat.worker_epoch ||
                                    (digest->worker_epoch == machine->heartbeat.worker_epoch &&
                                     digest->sequence < machine->heartbeat.sequence));
    if (!older) {
        machine->stale_answers = 0;
    } else if (machine->stale_answers++ == 0) {
        machine->stale_at = now;
    }
}

#define ITSELF_REPORTS 1.5

/* It shows the machine as a report does, but says nothing of whether its own reports arrive. */
bool rr_core_take_command_reply(rr_core *core, double now, rr_heartbeat *heartbeat, int via) {
    rr_heartbeat_digest digest = {.worker_epoch = heartbeat->worker_epoch,
                                  .sequence = heartbeat->sequence};
    g_strlcpy(digest.machine, heartbeat->machine, sizeof digest.machine);
    const rr_machine *known = g_hash_table_lookup(core->stored.machines, heartbeat->machine);
    double reported = known && known->heartbeat_seen ? known->reported_at : now;
    rr_core_take_heartbeat(core, now, heartbeat, via);
    rr_core_verify_machine(core, now, &digest);
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, digest.machine);
    if (machine) {
        machine->reported_at = reported;
    }
    return now - reported < ITSELF_REPORTS * core->config->heartbeat_interval_s;
}

bool rr_machine_name_reused(const rr_machine *machine, double now) {
    return machine->stale_answers >= 3 && now - machine->stale_at > 2;
}

bool rr_core_take_heartbeat_digest(rr_core *core, double now, const rr_heartbeat_digest *digest,
                                   int via) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, digest->machine);
    if (!machine || !machine->heartbeat_seen ||
        machine->heartbeat.worker_epoch != digest->worker_epoch ||
        digest->sequence <= machine->heartbeat.sequence) {
        return false;
    }
    machine->verified = machine->verified || now - machine->heartbeat_at > SECOND_S;
    machine->heartbeat_at = machine->reported_at = now;
    machine->probe_fails = 0;
    machine->heard_via = via;
    if (machine->heartbeat_hash == digest->hash) {
        machine->heartbeat.sequence = digest->sequence; /* it says what is known here */
    }
    return true;
}

static void want(const rr_core *core, int place, uint32_t *peers) {
    if (place >= 0 && (guint)place < core->membership.term.members->len &&
        place < RR_CONTROLLERS_MAX && core->membership.peer_of_member[place] >= 0) {
        *peers |= 1u << core->membership.peer_of_member[place];
    }
}

static void want_owner(const rr_core *core, const rr_job *job, uint32_t *peers) {
    if (job && job->team >= 0 && (guint)job->team < core->membership.team_owners->len) {
        want(core, g_array_index(core->membership.team_owners, int, job->team), peers);
    }
}

uint32_t rr_core_heartbeat_subscribers(const rr_core *core, const char *machine,
                                       uint32_t *now_and_then) {
    const rr_machine *found = g_hash_table_lookup(core->stored.machines, machine);
    uint32_t peers = 0;
    *now_and_then = 0;
    want(core, core->membership.autoscaler_member, &peers);
    for (guint i = 0; found && i < found->placements->len; i++) {
        want_owner(core, g_array_index(found->placements, rr_placement, i).job, &peers);
    }
    for (guint i = 0; found && found->heartbeat_seen && i < found->heartbeat.tasks->len; i++) {
        const char *job_id = g_array_index(found->heartbeat.tasks, rr_task_status, i).job_id;
        want_owner(core, g_hash_table_lookup(core->stored.jobs, job_id), &peers);
    }
    /* Every owner looks for room everywhere. */
    for (guint i = 0; i < core->membership.team_owners->len; i++) {
        want(core, g_array_index(core->membership.team_owners, int, i), now_and_then);
    }
    return peers;
}

static const char *other_node(const rr_core *core, const rr_heartbeat *heartbeat) {
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

/* A controller that has lost the key-value store keeps its workers' leases alive for longer than it
 * plans: the token keeps a deposed one from changing anything, and the time is bounded so that a
 * worker that hears of no cancellation still ends in time. It runs from the last moment up to which
 * the store cache knows every cancellation, whatever became of the session: with a share of it, and
 * by renewals, a whole zone lost its leases in a cut that the rules let it outlast. 200 only with a
 * token that the worker will take: one lower than it has seen would be dropped, and the worker
 * would stay here until its lease runs out. Any controller adds the stops of cancelled jobs, so
 * that they end even where their owner can't reach the machine. */
void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out) {
    memset(out, 0, sizeof *out);
    if (!rr_is_member(core) ||
        now >= core->stored.current_at + rr_heartbeat_reply_s(core->config) ||
        heartbeat->fencing_token > core->membership.term.token) {
        out->peer = other_node(core, heartbeat);
        out->status = out->peer ? 421 : 503;
        return;
    }
    out->status = 200;
    out->fencing_token = core->membership.term.token;
    out->commands = g_array_new(FALSE, TRUE, sizeof(rr_command));
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        bool unwanted = (job && job->cancelled && !job->done) ||
                        rr_job_final(core, task->job_id, NULL, NULL) ||
                        rr_has_cancel_hint(core, task->job_id, now);
        if (task->state != RR_TASK_ENDED && unwanted) {
            rr_command command = {.kind = RR_COMMAND_STOP,
                                  .task = task->task,
                                  .attempt = task->attempt,
                                  .grace_s = 0};
            g_strlcpy(command.job_id, task->job_id, sizeof command.job_id);
            g_array_append_val(out->commands, command);
        }
    }
}
