/* Workers' reports: what they show, and the answers to them. */
#include "core/model.h"

#include <string.h>

#define FULL_S                                                                                     \
    2.0 /* what fills it is on its way into the ledger, or a stray that is being stopped */

static bool newer(const rr_machine *m, const rr_heartbeat *r) {
    if (!m->heartbeat_seen) {
        return true;
    }
    if (r->worker_epoch != m->heartbeat.worker_epoch) {
        return r->worker_epoch > m->heartbeat.worker_epoch;
    }
    return r->sequence > m->heartbeat.sequence;
}

/* A machine fetches an image before it runs a task, and keeps those used last. */
static void note_images(rr_core *c, rr_machine *m) {
    const rr_machine_type *b = rr_machine_type_at(c, m->machine_type);
    for (guint i = 0; i < m->heartbeat.tasks->len; i++) {
        const rr_task_status *p = &g_array_index(m->heartbeat.tasks, rr_task_status, i);
        const rr_job *j = g_hash_table_lookup(c->jobs, p->job_id);
        bool fetched = p->state == RR_TASK_RUNNING || p->state == RR_TASK_WAITING;
        if (!j || j->image < 0 || !fetched || rr_machine_has_image(m, j->image)) {
            continue;
        }
        g_array_append_val(m->images, j->image);
        /* Without the images' sizes at hand after their jobs, the oldest goes after a bounded
         * number; a wrong guess costs one fetch. */
        if (m->images->len > (b && b->cache_gb > 0 ? 12 : 1)) {
            g_array_remove_index(m->images, 0);
        }
    }
}

static bool was_shown_failed(const rr_machine *m, const rr_task_status *p) {
    for (guint i = 0; m->heartbeat_seen && i < m->heartbeat.tasks->len; i++) {
        const rr_task_status *q = &g_array_index(m->heartbeat.tasks, rr_task_status, i);
        if (q->attempt == p->attempt && q->task == p->task && q->state == RR_TASK_ENDED &&
            strcmp(q->job_id, p->job_id) == 0) {
            return true;
        }
    }
    return false;
}

static bool was_running(const rr_machine *m, const rr_task_status *p) {
    for (guint i = 0; m->heartbeat_seen && i < m->heartbeat.tasks->len; i++) {
        const rr_task_status *q = &g_array_index(m->heartbeat.tasks, rr_task_status, i);
        if (q->attempt == p->attempt && q->task == p->task && strcmp(q->job_id, p->job_id) == 0) {
            return q->state != RR_TASK_FETCHING;
        }
    }
    return false;
}

/* For whoever follows a day: when each task runs, and how long after its job came to be known. */
static void log_starts(rr_core *c, const rr_machine *m, const rr_heartbeat *r, double now) {
    for (guint i = 0; i < r->tasks->len; i++) {
        const rr_task_status *p = &g_array_index(r->tasks, rr_task_status, i);
        const rr_job *j = g_hash_table_lookup(c->jobs, p->job_id);
        if (j && p->state == RR_TASK_RUNNING && j->team >= 0 && rr_owns_team(c, j->team) &&
            !was_running(m, p)) {
            rr_log_at(c, RR_LOG_DEBUG, "runs %s/%u (%s) on %s %.1f s after it was known, image %s",
                      p->job_id, p->task, j->submission.job_class, m->name, now - j->first_seen,
                      rr_machine_has_image(m, j->image) ? "was there" : "was fetched");
        }
    }
}

static void note_failures(rr_core *c, rr_machine *m, const rr_heartbeat *r, double now) {
    for (guint i = 0; i < r->tasks->len; i++) {
        const rr_task_status *p = &g_array_index(r->tasks, rr_task_status, i);
        if (p->state != RR_TASK_ENDED || was_shown_failed(m, p)) {
            continue;
        }
        rr_job *j = g_hash_table_lookup(c->jobs, p->job_id);
        if (p->exit_reason == RR_EXIT_ERROR && j) {
            rr_record_task_failure(c, m, j, now);
        } else if (p->exit_reason == RR_EXIT_FULL) {
            m->full_until = now + FULL_S;
        } else if (p->exit_reason == RR_EXIT_NO_SUCH && j) {
            j->backoff_until = now + 2;
        } else if (p->exit_reason == RR_EXIT_DONE && j && j->failed_machines) {
            g_array_set_size(j->failed_machines, 0);
        }
    }
}

/* Whether a report says anything that the one before did not. */
static bool same_content(const rr_machine *m, const rr_heartbeat *r, uint64_t hash) {
    return m->heartbeat_seen && m->heartbeat.worker_epoch == r->worker_epoch &&
           m->heartbeat_hash == hash && strcmp(m->heartbeat.address, r->address) == 0;
}

#define SECOND_S 0.3 /* copies of one moment come together */

/* A copy of a report may come late, by seconds or by more than a lease, also to a process that has
 * never heard the machine and so can't tell. One report vouches for nothing then: the present
 * term's token does (this process's own first term is newer than anything sent before it), or a
 * second one that is newer. A machine that was recorded while this process watched has never been
 * up before: nothing of it can be from an earlier time. */
static void verify(const rr_core *c, rr_machine *m, const rr_heartbeat *r, double now) {
    m->verified = m->verified || m->recorded_while_watching ||
                  (c->term.token > 0 && r->fencing_token == c->term.token) ||
                  (m->heartbeat_seen && now - m->heartbeat_at > SECOND_S);
}

static void record_news(rr_core *c, rr_machine *m, const rr_heartbeat *r, double now) {
    if (!m->heartbeat_seen) {
        rr_log_at(c, RR_LOG_DEBUG, "machine %s is up in %s after %.0f s", m->name, r->zone,
                  now - m->known_at);
    }
    if (m->heartbeat_seen && r->worker_epoch > m->heartbeat.worker_epoch) {
        rr_log_at(c, RR_LOG_DEBUG, "machine %s lost its lease: worker epoch %" G_GUINT64_FORMAT,
                  m->name, r->worker_epoch);
        c->leases_lost++;
    }
    if (r->spot_notice_s >= 0 && (!m->heartbeat_seen || m->heartbeat.spot_notice_s < 0)) {
        rr_log_at(c, RR_LOG_DEBUG, "machine %s goes in %.0f s (notice)", m->name, r->spot_notice_s);
        c->notices++;
    }
}

enum rr_heartbeat_news rr_core_take_heartbeat(rr_core *c, double now, rr_heartbeat *r, int via) {
    rr_machine *m = g_hash_table_lookup(c->machines, r->machine);
    if (!m && g_hash_table_contains(c->gone, r->machine)) {
        rr_heartbeat_clear(r); /* a late copy about a machine that has gone creates nothing */
        return RR_HEARTBEAT_IGNORED;
    }
    if (!m) {
        m = rr_machine_get(c, r->machine, now);
    }
    if (!newer(m, r)) {
        rr_heartbeat_clear(r);
        return RR_HEARTBEAT_IGNORED;
    }
    if (m->machine_type < 0) {
        m->machine_type = rr_name_index_add(&c->machine_types, r->machine_type);
        m->zone = rr_name_index_add(&c->zones, r->zone);
        m->spot = r->spot;
    }
    verify(c, m, r, now);
    if (rr_machine_heartbeat_overdue(c, m, now)) {
        m->unanswered = m->failed_suspect_probes = 0; /* the silence explains it */
    }
    uint64_t hash = rr_heartbeat_hash(r);
    bool changed = !same_content(m, r, hash);
    if (changed) {
        record_news(c, m, r, now);
        g_strlcpy(m->address, r->address, sizeof m->address);
        note_failures(c, m, r, now);
        if (c->log_level >= RR_LOG_DEBUG) {
            log_starts(c, m, r, now);
        }
    }
    rr_heartbeat_clear(&m->heartbeat);
    m->heartbeat = *r;
    m->heartbeat_hash = hash;
    r->tasks = NULL;
    m->heartbeat_seen = true;
    m->heartbeat_at = m->reported_at = now;
    m->probe_fails = 0;
    m->stale_answers = 0;
    m->heard_via = via;
    if (via < 0) {
        rr_contact_record(&c->direct, now);
    }
    if (changed) {
        note_images(c, m);
        rr_mark_dirty(c, m);
    }
    return changed ? RR_HEARTBEAT_CHANGED : RR_HEARTBEAT_UNCHANGED;
}

/* A machine that is back under its name at once, with its counts begun anew, looks older than what
 * is known of it: its reports are dropped, and yet it answers. It is another one; what was on the
 * first is gone, but a command on its way to that one could still reach this one. So it is asked
 * back. */
void rr_core_verify_machine(rr_core *c, double now, const rr_heartbeat_digest *h) {
    rr_machine *m = g_hash_table_lookup(c->machines, h->machine);
    if (!m) {
        return;
    }
    m->verified = true;
    bool older =
        m->heartbeat_seen &&
        (h->worker_epoch < m->heartbeat.worker_epoch ||
         (h->worker_epoch == m->heartbeat.worker_epoch && h->sequence < m->heartbeat.sequence));
    if (!older) {
        m->stale_answers = 0;
    } else if (m->stale_answers++ == 0) {
        m->stale_at = now;
    }
}

#define ITSELF_REPORTS 1.5

/* It shows the machine as a report does, but says nothing of whether its own reports arrive. */
bool rr_core_take_command_reply(rr_core *c, double now, rr_heartbeat *r, int via) {
    rr_heartbeat_digest h = {.worker_epoch = r->worker_epoch, .sequence = r->sequence};
    g_strlcpy(h.machine, r->machine, sizeof h.machine);
    const rr_machine *known = g_hash_table_lookup(c->machines, r->machine);
    double reported = known && known->heartbeat_seen ? known->reported_at : now;
    rr_core_take_heartbeat(c, now, r, via);
    rr_core_verify_machine(c, now, &h);
    rr_machine *m = g_hash_table_lookup(c->machines, h.machine);
    if (m) {
        m->reported_at = reported;
    }
    return now - reported < ITSELF_REPORTS * c->config->heartbeat_interval_s;
}

bool rr_machine_name_reused(const rr_machine *m, double now) {
    return m->stale_answers >= 3 && now - m->stale_at > 2;
}

bool rr_core_take_heartbeat_digest(rr_core *c, double now, const rr_heartbeat_digest *h, int via) {
    rr_machine *m = g_hash_table_lookup(c->machines, h->machine);
    if (!m || !m->heartbeat_seen || m->heartbeat.worker_epoch != h->worker_epoch ||
        h->sequence <= m->heartbeat.sequence) {
        return false;
    }
    m->verified = m->verified || now - m->heartbeat_at > SECOND_S;
    m->heartbeat_at = m->reported_at = now;
    m->probe_fails = 0;
    m->heard_via = via;
    if (m->heartbeat_hash == h->hash) {
        m->heartbeat.sequence = h->sequence; /* it says what is known here */
    }
    return true;
}

static void want(const rr_core *c, int place, uint32_t *peers) {
    if (place >= 0 && (guint)place < c->term.members->len && place < RR_CONTROLLERS_MAX &&
        c->peer_at[place] >= 0) {
        *peers |= 1u << c->peer_at[place];
    }
}

static void want_owner(const rr_core *c, const rr_job *j, uint32_t *peers) {
    if (j && j->team >= 0 && (guint)j->team < c->owners->len) {
        want(c, g_array_index(c->owners, int, j->team), peers);
    }
}

uint32_t rr_core_heartbeat_subscribers(const rr_core *c, const char *machine,
                                       uint32_t *now_and_then) {
    const rr_machine *m = g_hash_table_lookup(c->machines, machine);
    uint32_t peers = 0;
    *now_and_then = 0;
    want(c, c->autoscaler, &peers);
    for (guint i = 0; m && i < m->placements->len; i++) {
        want_owner(c, g_array_index(m->placements, rr_placement, i).job, &peers);
    }
    for (guint i = 0; m && m->heartbeat_seen && i < m->heartbeat.tasks->len; i++) {
        const char *ref = g_array_index(m->heartbeat.tasks, rr_task_status, i).job_id;
        want_owner(c, g_hash_table_lookup(c->jobs, ref), &peers);
    }
    /* Every owner looks for room everywhere. */
    for (guint i = 0; i < c->owners->len; i++) {
        want(c, g_array_index(c->owners, int, i), now_and_then);
    }
    return peers;
}

static const char *other_node(const rr_core *c, const rr_heartbeat *r) {
    guint n = c->term.members->len;
    guint first = n ? (guint)(r->sequence % n) : 0;
    for (guint i = 0; i < n; i++) {
        const rr_session *s = &g_array_index(c->term.members, rr_session, (first + i) % n);
        if (strcmp(s->name, c->config->node_name) != 0) {
            return s->name;
        }
    }
    return NULL;
}

/* A controller that has lost the state service keeps its workers' leases alive for longer than it
 * plans: the token keeps a deposed one from changing anything, and the time is bounded so that a
 * worker that hears of no cancellation still ends in time. It runs from the last moment up to which
 * the mirror knows every cancellation, whatever became of the session: with a share of it, and by
 * renewals, a whole zone lost its leases in a cut that the rules let it outlast. 200 only with a
 * token that the worker will take: one lower than it has seen would be dropped, and the worker
 * would stay here until its lease runs out. Any controller adds the stops of cancelled jobs, so
 * that they end even where their owner can't reach the machine. */
void rr_core_reply_to_heartbeat(rr_core *c, double now, const rr_heartbeat *r,
                                struct rr_heartbeat_reply *out) {
    memset(out, 0, sizeof *out);
    if (!rr_is_member(c) || now >= c->fresh_at + rr_heartbeat_reply_s(c->config) ||
        r->fencing_token > c->term.token) {
        out->peer = other_node(c, r);
        out->status = out->peer ? 421 : 503;
        return;
    }
    out->status = 200;
    out->fencing_token = c->term.token;
    out->commands = g_array_new(FALSE, TRUE, sizeof(rr_command));
    for (guint i = 0; i < r->tasks->len; i++) {
        const rr_task_status *p = &g_array_index(r->tasks, rr_task_status, i);
        const rr_job *j = g_hash_table_lookup(c->jobs, p->job_id);
        bool unwanted = (j && j->cancelled && !j->done) || rr_job_final(c, p->job_id, NULL, NULL) ||
                        rr_has_cancel_hint(c, p->job_id, now);
        if (p->state != RR_TASK_ENDED && unwanted) {
            rr_command o = {
                .kind = RR_COMMAND_STOP, .task = p->task, .attempt = p->attempt, .grace_s = 0};
            g_strlcpy(o.job_id, p->job_id, sizeof o.job_id);
            g_array_append_val(out->commands, o);
        }
    }
}
