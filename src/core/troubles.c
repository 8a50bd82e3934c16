/* What a silence, a notice or a failure means. Silence alone proves nothing about a task: these
 * judgements only decide where new work goes and which machine is asked back from the cloud. */
#include "core/model.h"

#include <math.h>
#include <string.h>

#define ERR_WINDOW_S 150.0
#define SICK_S 60.0 /* since its last failure; jobs may wait 90 s in all */

double rr_heartbeat_age(const rr_machine *m, double now) {
    return m->heartbeat_seen ? now - m->heartbeat_at : now - m->known_at;
}

/* A worker that gets no answers reports every 5 s or so, to one controller after the other. */
#define REPORTS_ON_S 6.5

bool rr_machine_heartbeat_overdue(const rr_core *c, const rr_machine *m, double now) {
    return rr_heartbeat_age(m, now) > fmax(1.3 * c->config->heartbeat_interval_s, REPORTS_ON_S);
}

bool rr_machine_heartbeat_recent(const rr_core *c, const rr_machine *m, double now) {
    return m->heartbeat_seen && now - m->heartbeat_at <= c->config->tuning.silent_reports *
                                                             c->config->heartbeat_interval_s;
}

#define MUTE_REPORTS 2.5

/* Its reports reach no controller, though it answers commands: those renew no lease, so that
 * whatever starts there is lost within one. Only said while every controller of the term has been
 * heard for as long: otherwise it may well report to one that we don't hear. */
bool rr_machine_heartbeats_lost(const rr_core *c, const rr_machine *m, double now) {
    double limit = MUTE_REPORTS * c->config->heartbeat_interval_s;
    return m->heartbeat_seen && now - m->reported_at > limit &&
           rr_peers_connected_for(c, now, limit);
}

/* DESIGN's risk: a cut zone keeps stale reports, so only a fresh one makes room count. */
bool rr_machine_schedulable(const rr_core *c, const rr_machine *m, double now) {
    return m->recorded && !m->scaling_in && m->address[0] && m->verified &&
           rr_machine_heartbeat_recent(c, m, now) && m->heartbeat.spot_notice_s < 0 &&
           now >= m->full_until && !rr_machine_quarantined(m, now) && !m->to_release &&
           !rr_machine_commands_unanswered(m) && !rr_machine_heartbeats_lost(c, m, now);
}

/* Its reports may go on arriving while answers and commands no longer reach it: it looks fresh,
 * takes bookings and then loses its lease. Two commands in a row without an answer, and it takes no
 * new work until one is answered. */
bool rr_machine_commands_unanswered(const rr_machine *m) {
    return m->unanswered >= 2;
}

/* A job that fails on many machines is at fault itself and says nothing about this one. */
static guint credible_errors(const rr_machine *m) {
    guint n = 0;
    for (guint i = 0; i < m->failed_jobs->len; i++) {
        const rr_job *j = g_array_index(m->failed_jobs, rr_job *, i);
        n += !j->failed_machines || j->failed_machines->len <= 2;
    }
    return n;
}

/* What failed there a while ago says little of the next task: one is tried again then. A machine
 * that could not be given back stayed out for good, though its fault was long over. */
bool rr_machine_quarantined(const rr_machine *m, double now) {
    return m->last_failure_at > 0 && now - m->last_failure_at < SICK_S && credible_errors(m) >= 2;
}

bool rr_machine_failed_recently(const rr_machine *m, double now) {
    return m->last_failure_at > 0 && now - m->last_failure_at < 60 && credible_errors(m) > 0;
}

static bool array_has(GArray *a, const void *item) {
    guint size = g_array_get_element_size(a);
    for (guint i = 0; i < a->len; i++) {
        if (memcmp(a->data + (size_t)i * size, item, size) == 0) {
            return true;
        }
    }
    return false;
}

void rr_record_task_failure(rr_core *c, rr_machine *m, rr_job *j, double now) {
    if (m->last_failure_at > 0 && now - m->last_failure_at > ERR_WINDOW_S) {
        g_array_set_size(m->failed_jobs, 0);
    }
    m->last_failure_at = now;
    if (!array_has(m->failed_jobs, &j) && m->failed_jobs->len < 16) {
        g_array_append_val(m->failed_jobs, j);
    }
    if (!j->failed_machines) {
        j->failed_machines = g_array_new(FALSE, FALSE, sizeof(int));
    }
    if (!array_has(j->failed_machines, &m->id) && j->failed_machines->len < 16) {
        g_array_append_val(j->failed_machines, m->id);
    }
    /* The first two failures may be the machines'; then the job waits longer each time. */
    guint n = j->failed_machines->len;
    double pause = n <= 2 ? 0 : n >= 7 ? 60 : (double)(1u << (n - 1));
    j->backoff_until = now + pause;
    rr_log_at(c, RR_LOG_DEBUG, "task of %s failed on %s (job on %u machines, machine with %u jobs)",
              j->submission.job_id, m->name, n, m->failed_jobs->len);
}

/* A machine counts as dead or hung if it is silent while its zone is heard and our own probes of it
 * fail too. All controllers probe, and what one hears it passes on, so a machine that any of them
 * reaches is not silent. A silent zone is a cut. */
static bool was_up(const rr_machine *m) {
    /* Work in the ledger shows it, even if this process never heard the machine: a provisioner that
     * restarts into a cut must not take the few it hears for the whole zone. */
    return m->recorded && (m->heartbeat_seen || m->placements->len > 0);
}

/* When a cut begins its machines have been heard at different times, so that the first of them are
 * silent for as long as a dead one while most still count as fresh. But a machine silent for
 * dead_reports was cut off more than RECENT of an interval ago, and then nobody in its zone has
 * been heard for that long: in a healthy one two thirds have. */
#define RECENT 0.65
#define RECENT_SHARE 0.3

static bool heartbeat_within(const rr_core *c, const rr_machine *m, double now) {
    return m->heartbeat_seen && now - m->heartbeat_at <= RECENT * c->config->heartbeat_interval_s;
}

/* One walk for all zones. */
static void count_zones(rr_core *c, double now) {
    g_array_set_size(c->zone_counts, 0);
    g_array_set_size(c->zone_counts, c->zones.names->len);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (m->zone >= 0 && was_up(m)) {
            rr_zone_heartbeats *z = &g_array_index(c->zone_counts, rr_zone_heartbeats, m->zone);
            z->machines++;
            z->heard += rr_machine_heartbeat_recent(c, m, now);
            z->recent += heartbeat_within(c, m, now);
        }
    }
}

static bool mostly_overdue(const rr_core *c, int zone, const rr_machine *but, double now) {
    if (zone < 0 || (guint)zone >= c->zone_counts->len) {
        return false;
    }
    rr_zone_heartbeats z = g_array_index(c->zone_counts, rr_zone_heartbeats, zone);
    if (but && was_up(but)) {
        z.machines--;
        z.heard -= rr_machine_heartbeat_recent(c, but, now) && z.heard > 0;
    }
    return z.heard * 2 < z.machines;
}

/* May only hold a verdict back: in a small zone it happens by chance, too. */
static bool partition_begins(const rr_core *c, int zone, const rr_machine *but, double now) {
    if (zone < 0 || (guint)zone >= c->zone_counts->len) {
        return false;
    }
    rr_zone_heartbeats z = g_array_index(c->zone_counts, rr_zone_heartbeats, zone);
    bool recent = heartbeat_within(c, but, now) && z.recent > 0;
    return z.recent - recent < RECENT_SHARE * (z.machines - (z.machines > 0));
}

bool rr_zone_partitioned(const rr_core *c, int zone) {
    return mostly_overdue(c, zone, NULL, 0);
}

#define PAUSE_S                                                                                    \
    4.0 /* silence of a peer, or of our own looks, that begins anew what is counted from */

void rr_contact_record(rr_contact *k, double now) {
    k->unbroken_since = k->last_at <= 0 || now - k->last_at > PAUSE_S ? now : k->unbroken_since;
    k->last_at = now;
}

void rr_core_peer_contacted(rr_core *c, double now, int peer) {
    if (peer >= 0 && peer < RR_CONTROLLERS_MAX) {
        rr_contact_record(&c->peers[peer], now);
    }
}

static bool lasting(const rr_contact *k, double now, double seconds) {
    return k->last_at > 0 && now - k->last_at < PAUSE_S && now - k->unbroken_since >= seconds;
}

bool rr_peers_connected_for(const rr_core *c, double now, double seconds) {
    bool all = now - c->woke_at >= seconds;
    for (guint i = 0; i < c->term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        all = all && (c->peer_at[i] < 0 || lasting(&c->peers[c->peer_at[i]], now, seconds));
    }
    return all;
}

/* A controller of the zone has been heard for as long as a machine would be given to report: the
 * zone is not cut off from us. Ourselves count while workers report to us: we may have lost them.
 */
static bool zone_reached(const rr_core *c, int zone, double now) {
    const char *name = rr_name_index_at(&c->zones, zone);
    double seconds = c->config->tuning.dead_reports * c->config->heartbeat_interval_s;
    if (now - c->woke_at < seconds) {
        return false;
    }
    bool reached = strcmp(c->config->zone, name) == 0 && lasting(&c->direct, now, seconds);
    for (size_t i = 0; i < c->config->peer_count; i++) {
        reached = reached || (strcmp(c->config->peers[i].zone, name) == 0 &&
                              lasting(&c->peers[i], now, seconds));
    }
    return reached;
}

void rr_core_set_timers_late(rr_core *c, double now) {
    c->late_at = now;
}

bool rr_core_timers_late(const rr_core *c, double now, double within) {
    return c->late_at > 0 && now - c->late_at < within;
}

void rr_detect_partitions(rr_core *c, double now) {
    if (c->looked_at <= 0 || now - c->looked_at > PAUSE_S) {
        c->woke_at = now;
    }
    c->looked_at = now;
    count_zones(c, now);
    g_array_set_size(c->cut_at, c->zones.names->len);
    for (guint w = 0; w < c->cut_at->len; w++) {
        if (mostly_overdue(c, (int)w, NULL, now)) {
            g_array_index(c->cut_at, double, w) = now;
        }
    }
}

bool rr_machine_dead(const rr_core *c, const rr_machine *m, double now) {
    double limit = c->config->tuning.dead_reports * c->config->heartbeat_interval_s;
    if (!was_up(m) || m->zone < 0 || rr_heartbeat_age(m, now) < limit || m->probe_fails < 2) {
        return false;
    }
    /* Who is behind has reports in its sockets that it has not read. */
    if (rr_core_timers_late(c, now, RR_LATE_TIMER_GRACE_S)) {
        return false;
    }
    /* Most of a zone may be dead or hung, and looks like a cut; but a cut silences the zone's
     * controllers, too. Where one of them is heard, whoever has been silent for longer than a lease
     * has nothing left to lose: machines that hung for good in the greater part of a zone kept
     * their tasks booked for ever. */
    if (rr_heartbeat_age(m, now) > 1.2 * c->config->lease_s && zone_reached(c, m->zone, now)) {
        return true;
    }
    /* When a cut heals, the first machines speak again before the others: those get as long as
     * anybody to be heard. Nine healthy ones were once given up in that moment. */
    double cut = (guint)m->zone < c->cut_at->len ? g_array_index(c->cut_at, double, m->zone) : 0;
    return !mostly_overdue(c, m->zone, m, now) && !partition_begins(c, m->zone, m, now) &&
           (cut <= 0 || now - cut >= limit);
}
