/* What a silence, a notice or a failure means. Silence alone proves nothing about a task: these
 * judgements only decide where new work goes and which machine is asked back from the cloud. */
#include "core/health/failure_detector.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

#define ERR_WINDOW_S 150.0
#define SICK_S 60.0 /* since its last failure; jobs may wait 90 s in all */

double rr_heartbeat_age(const rr_machine *machine, double now) {
    return machine->heartbeat_seen ? now - machine->heartbeat_at : now - machine->known_at;
}

/* A worker that gets no answers reports every 5 s or so, to one controller after the other. */
#define REPORTS_ON_S 6.5

bool rr_machine_heartbeat_overdue(const rr_core *core, const rr_machine *machine, double now) {
    return rr_heartbeat_age(machine, now) >
           fmax(1.3 * core->config->heartbeat_interval_s, REPORTS_ON_S);
}

bool rr_machine_heartbeat_recent(const rr_core *core, const rr_machine *machine, double now) {
    return machine->heartbeat_seen &&
           now - machine->heartbeat_at <=
               core->config->tuning.silent_reports * core->config->heartbeat_interval_s;
}

#define MUTE_REPORTS 2.5

/* Its reports reach no controller, though it answers commands: those renew no lease, so that
 * whatever starts there is lost within one. Only said while every controller of the term has been
 * heard for as long: otherwise it may well report to one that we don't hear. */
bool rr_machine_heartbeats_lost(const rr_core *core, const rr_machine *machine, double now) {
    double limit = MUTE_REPORTS * core->config->heartbeat_interval_s;
    return machine->heartbeat_seen && now - machine->reported_at > limit &&
           rr_peers_connected_for(core, now, limit);
}

/* DESIGN's risk: a cut zone keeps stale reports, so only a fresh one makes room count. */
bool rr_machine_schedulable(const rr_core *core, const rr_machine *machine, double now) {
    return machine->recorded && !machine->scaling_in && machine->address[0] && machine->verified &&
           rr_machine_heartbeat_recent(core, machine, now) &&
           machine->heartbeat.spot_notice_s < 0 && now >= machine->full_until &&
           !rr_machine_quarantined(machine, now) && !machine->to_release &&
           !rr_machine_commands_unanswered(machine) &&
           !rr_machine_heartbeats_lost(core, machine, now);
}

/* Its reports may go on arriving while answers and commands no longer reach it: it looks fresh,
 * takes reservations and then loses its lease. Two commands in a row without an answer, and it
 * takes no new work until one is answered. */
bool rr_machine_commands_unanswered(const rr_machine *machine) {
    return machine->unanswered >= 2;
}

/* A job that fails on many machines is at fault itself and says nothing about this one. */
static guint credible_errors(const rr_machine *machine) {
    guint count = 0;
    for (guint i = 0; i < machine->failed_jobs->len; i++) {
        const rr_job *job = g_array_index(machine->failed_jobs, rr_job *, i);
        count += !job->failed_machines || job->failed_machines->len <= 2;
    }
    return count;
}

/* What failed there a while ago says little of the next task: one is tried again then. A machine
 * that could not be given back stayed out for good, though its fault was long over. */
bool rr_machine_quarantined(const rr_machine *machine, double now) {
    return machine->last_failure_at > 0 && now - machine->last_failure_at < SICK_S &&
           credible_errors(machine) >= 2;
}

bool rr_machine_failed_recently(const rr_machine *machine, double now) {
    return machine->last_failure_at > 0 && now - machine->last_failure_at < 60 &&
           credible_errors(machine) > 0;
}

static bool array_has(GArray *left, const void *item) {
    guint size = g_array_get_element_size(left);
    for (guint i = 0; i < left->len; i++) {
        if (memcmp(left->data + (size_t)i * size, item, size) == 0) {
            return true;
        }
    }
    return false;
}

void rr_record_task_failure(rr_core *core, rr_machine *machine, rr_job *job, double now) {
    if (machine->last_failure_at > 0 && now - machine->last_failure_at > ERR_WINDOW_S) {
        g_array_set_size(machine->failed_jobs, 0);
    }
    machine->last_failure_at = now;
    if (!array_has(machine->failed_jobs, &job) && machine->failed_jobs->len < 16) {
        g_array_append_val(machine->failed_jobs, job);
    }
    if (!job->failed_machines) {
        job->failed_machines = g_array_new(FALSE, FALSE, sizeof(int));
    }
    if (!array_has(job->failed_machines, &machine->id) && job->failed_machines->len < 16) {
        g_array_append_val(job->failed_machines, machine->id);
    }
    /* The first two failures may be the machines'; then the job waits longer each time. */
    guint count = job->failed_machines->len;
    double pause = count <= 2 ? 0 : count >= 7 ? 60 : (double)(1u << (count - 1));
    job->backoff_until = now + pause;
    rr_log_at(core, RR_LOG_DEBUG,
              "task of %s failed on %s (job on %u machines, machine with %u jobs)",
              job->submission.job_id, machine->name, count, machine->failed_jobs->len);
}

/* A machine counts as dead or hung if it is silent while its zone is heard and our own probes of it
 * fail too. All controllers probe, and what one hears it passes on, so a machine that any of them
 * reaches is not silent. A silent zone is a cut. */
static bool was_up(const rr_machine *machine) {
    /* Work in the ledger shows it, even if this process never heard the machine: an autoscaler that
     * restarts into a cut must not take the few it hears for the whole zone. */
    return machine->recorded && (machine->heartbeat_seen || machine->placements->len > 0);
}

/* When a cut begins its machines have been heard at different times, so that the first of them are
 * silent for as long as a dead one while most still count as fresh. But a machine silent for
 * dead_reports was cut off more than RECENT of an interval ago, and then nobody in its zone has
 * been heard for that long: in a healthy one two thirds have. */
#define RECENT 0.65
#define RECENT_SHARE 0.3

static bool heartbeat_within(const rr_core *core, const rr_machine *machine, double now) {
    return machine->heartbeat_seen &&
           now - machine->heartbeat_at <= RECENT * core->config->heartbeat_interval_s;
}

/* One walk for all zones. */
static void count_zones(rr_core *core, double now) {
    g_array_set_size(core->observed.zone_heartbeats, 0);
    g_array_set_size(core->observed.zone_heartbeats, core->stored.zones.names->len);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->zone >= 0 && was_up(machine)) {
            rr_zone_heartbeats *counts =
                &g_array_index(core->observed.zone_heartbeats, rr_zone_heartbeats, machine->zone);
            counts->machines++;
            counts->heard += rr_machine_heartbeat_recent(core, machine, now);
            counts->recent += heartbeat_within(core, machine, now);
        }
    }
}

static bool mostly_overdue(const rr_core *core, int zone, const rr_machine *but, double now) {
    if (zone < 0 || (guint)zone >= core->observed.zone_heartbeats->len) {
        return false;
    }
    rr_zone_heartbeats counts =
        g_array_index(core->observed.zone_heartbeats, rr_zone_heartbeats, zone);
    if (but && was_up(but)) {
        counts.machines--;
        counts.heard -= rr_machine_heartbeat_recent(core, but, now) && counts.heard > 0;
    }
    return counts.heard * 2 < counts.machines;
}

/* May only hold a verdict back: in a small zone it happens by chance, too. */
static bool partition_begins(const rr_core *core, int zone, const rr_machine *but, double now) {
    if (zone < 0 || (guint)zone >= core->observed.zone_heartbeats->len) {
        return false;
    }
    rr_zone_heartbeats counts =
        g_array_index(core->observed.zone_heartbeats, rr_zone_heartbeats, zone);
    bool recent = heartbeat_within(core, but, now) && counts.recent > 0;
    return counts.recent - recent < RECENT_SHARE * (counts.machines - (counts.machines > 0));
}

bool rr_zone_partitioned(const rr_core *core, int zone) {
    return mostly_overdue(core, zone, NULL, 0);
}

#define PAUSE_S                                                                                    \
    4.0 /* silence of a peer, or of our own looks, that begins anew what is counted from */

void rr_contact_record(rr_contact *contact, double now) {
    contact->unbroken_since =
        contact->last_at <= 0 || now - contact->last_at > PAUSE_S ? now : contact->unbroken_since;
    contact->last_at = now;
}

void rr_core_peer_contacted(rr_core *core, double now, int peer) {
    if (peer >= 0 && peer < RR_CONTROLLERS_MAX) {
        rr_contact_record(&core->observed.peer_contacts[peer], now);
    }
}

static bool lasting(const rr_contact *contact, double now, double seconds) {
    return contact->last_at > 0 && now - contact->last_at < PAUSE_S &&
           now - contact->unbroken_since >= seconds;
}

bool rr_peers_connected_for(const rr_core *core, double now, double seconds) {
    bool all = now - core->observed.woke_at >= seconds;
    for (guint i = 0; i < core->membership.term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        all = all && (core->membership.peer_of_member[i] < 0 ||
                      lasting(&core->observed.peer_contacts[core->membership.peer_of_member[i]],
                              now, seconds));
    }
    return all;
}

/* A controller of the zone has been heard for as long as a machine would be given to report: the
 * zone is not cut off from us. Ourselves count while workers report to us: we may have lost them.
 */
static bool zone_reached(const rr_core *core, int zone, double now) {
    const char *name = rr_name_index_at(&core->stored.zones, zone);
    double seconds = core->config->tuning.dead_reports * core->config->heartbeat_interval_s;
    if (now - core->observed.woke_at < seconds) {
        return false;
    }
    bool reached = strcmp(core->config->zone, name) == 0 &&
                   lasting(&core->observed.direct_contact, now, seconds);
    for (size_t i = 0; i < core->config->peer_count; i++) {
        reached = reached || (strcmp(core->config->peers[i].zone, name) == 0 &&
                              lasting(&core->observed.peer_contacts[i], now, seconds));
    }
    return reached;
}

void rr_core_set_timers_late(rr_core *core, double now) {
    core->observed.timers_late_at = now;
}

bool rr_core_timers_late(const rr_core *core, double now, double within) {
    return core->observed.timers_late_at > 0 && now - core->observed.timers_late_at < within;
}

void rr_detect_partitions(rr_core *core, double now) {
    if (core->observed.zones_counted_at <= 0 || now - core->observed.zones_counted_at > PAUSE_S) {
        core->observed.woke_at = now;
    }
    core->observed.zones_counted_at = now;
    count_zones(core, now);
    g_array_set_size(core->observed.partitioned_at, core->stored.zones.names->len);
    for (guint zone = 0; zone < core->observed.partitioned_at->len; zone++) {
        if (mostly_overdue(core, (int)zone, NULL, now)) {
            g_array_index(core->observed.partitioned_at, double, zone) = now;
        }
    }
}

bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now) {
    double limit = core->config->tuning.dead_reports * core->config->heartbeat_interval_s;
    if (!was_up(machine) || machine->zone < 0 || rr_heartbeat_age(machine, now) < limit ||
        machine->probe_fails < 2) {
        return false;
    }
    /* Who is behind has reports in its sockets that it has not read. */
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return false;
    }
    /* Most of a zone may be dead or hung, and looks like a cut; but a cut silences the zone's
     * controllers, too. Where one of them is heard, whoever has been silent for longer than a lease
     * has nothing left to lose: machines that hung for good in the greater part of a zone kept
     * their tasks reserved for ever. */
    if (rr_heartbeat_age(machine, now) > 1.2 * core->config->lease_s &&
        zone_reached(core, machine->zone, now)) {
        return true;
    }
    /* When a cut heals, the first machines speak again before the others: those get as long as
     * anybody to be heard. Nine healthy ones were once given up in that moment. */
    double cut = (guint)machine->zone < core->observed.partitioned_at->len
                     ? g_array_index(core->observed.partitioned_at, double, machine->zone)
                     : 0;
    return !mostly_overdue(core, machine->zone, machine, now) &&
           !partition_begins(core, machine->zone, machine, now) && (cut <= 0 || now - cut >= limit);
}
