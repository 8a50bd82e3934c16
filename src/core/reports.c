/* Workers' reports: what they show, and the answers to them. */
#include "core/model.h"

#include <string.h>

static bool newer(const rr_machine *m, const rr_report *r) {
    if (!m->heard) {
        return true;
    }
    if (r->tenure != m->rep.tenure) {
        return r->tenure > m->rep.tenure;
    }
    return r->tally > m->rep.tally;
}

/* A machine fetches an image before it runs a task, and keeps those used last. */
static void note_casts(rr_core *c, rr_machine *m) {
    const rr_build *b = rr_build_at(c, m->build);
    for (guint i = 0; i < m->rep.pieces->len; i++) {
        const rr_piece *p = &g_array_index(m->rep.pieces, rr_piece, i);
        const rr_job *j = g_hash_table_lookup(c->jobs, p->ref);
        if (!j || j->cast < 0 || p->standing != RR_RUNNING || rr_machine_has_cast(m, j->cast)) {
            continue;
        }
        g_array_append_val(m->casts, j->cast);
        /* Without the images' sizes at hand after their jobs, the oldest goes after a bounded
         * number; a wrong guess costs one fetch. */
        if (m->casts->len > (b && b->cache_gb > 0 ? 12 : 1)) {
            g_array_remove_index(m->casts, 0);
        }
    }
}

static bool was_shown_failed(const rr_machine *m, const rr_piece *p) {
    for (guint i = 0; m->heard && i < m->rep.pieces->len; i++) {
        const rr_piece *q = &g_array_index(m->rep.pieces, rr_piece, i);
        if (q->attempt == p->attempt && q->task == p->task && q->standing == RR_ENDED &&
            strcmp(q->ref, p->ref) == 0) {
            return true;
        }
    }
    return false;
}

static bool was_running(const rr_machine *m, const rr_piece *p) {
    for (guint i = 0; m->heard && i < m->rep.pieces->len; i++) {
        const rr_piece *q = &g_array_index(m->rep.pieces, rr_piece, i);
        if (q->attempt == p->attempt && q->task == p->task && strcmp(q->ref, p->ref) == 0) {
            return q->standing != RR_FETCHING;
        }
    }
    return false;
}

/* For whoever follows a day: when each task runs, and how long after its job came to be known. */
static void log_starts(rr_core *c, const rr_machine *m, const rr_report *r, double now) {
    for (guint i = 0; i < r->pieces->len; i++) {
        const rr_piece *p = &g_array_index(r->pieces, rr_piece, i);
        const rr_job *j = g_hash_table_lookup(c->jobs, p->ref);
        if (j && p->standing == RR_RUNNING && j->team >= 0 && rr_owns_team(c, j->team) &&
            !was_running(m, p)) {
            rr_log_at(c, RR_LOG_DEBUG, "runs %s/%u (%s) on %s %.1f s after it was known, image %s",
                      p->ref, p->task, j->s.lane, m->name, now - j->first_seen,
                      rr_machine_has_cast(m, j->cast) ? "was there" : "was fetched");
        }
    }
}

static void note_failures(rr_core *c, rr_machine *m, const rr_report *r, double now) {
    for (guint i = 0; i < r->pieces->len; i++) {
        const rr_piece *p = &g_array_index(r->pieces, rr_piece, i);
        if (p->standing != RR_ENDED || was_shown_failed(m, p)) {
            continue;
        }
        rr_job *j = g_hash_table_lookup(c->jobs, p->ref);
        if (p->cause == RR_ERROR && j) {
            rr_note_error(c, m, j, now);
        } else if (p->cause == RR_FULL) {
            m->full_until = now + 2 * c->cfg->report_s;
        } else if (p->cause == RR_NO_SUCH && j) {
            j->hold_until = now + 2;
        } else if (p->cause == RR_DONE && j && j->failed_on) {
            g_array_set_size(j->failed_on, 0);
        }
    }
}

bool rr_core_report(rr_core *c, double now, rr_report *r, int via) {
    rr_machine *m = g_hash_table_lookup(c->machines, r->stone);
    if (!m) {
        m = rr_machine_get(c, r->stone, now);
    }
    if (!newer(m, r)) {
        rr_report_clear(r);
        return false;
    }
    if (m->build < 0) {
        m->build = rr_names_add(&c->builds, r->build);
        m->ward = rr_names_add(&c->wards, r->ward);
        m->loaners = r->loaners;
    }
    if (!m->heard) {
        rr_log_at(c, RR_LOG_INFO, "machine %s is up in %s after %.0f s", m->name, r->ward,
                  now - m->known_at);
    }
    if (m->heard && r->tenure > m->rep.tenure) {
        rr_log_at(c, RR_LOG_INFO, "machine %s lost its lease: tenure %" G_GUINT64_FORMAT, m->name,
                  r->tenure);
    }
    if (r->recall_s >= 0 && (!m->heard || m->rep.recall_s < 0)) {
        rr_log_at(c, RR_LOG_INFO, "machine %s goes in %.0f s (notice)", m->name, r->recall_s);
    }
    g_strlcpy(m->addr, r->addr, sizeof m->addr);
    note_failures(c, m, r, now);
    log_starts(c, m, r, now);
    rr_report_clear(&m->rep);
    m->rep = *r;
    r->pieces = NULL;
    m->heard = true;
    m->heard_at = now;
    m->probe_fails = 0;
    m->via = via;
    note_casts(c, m);
    return true;
}

static const char *other_node(const rr_core *c, const rr_report *r) {
    guint n = c->term.nodes->len;
    guint first = n ? (guint)(r->tally % n) : 0;
    for (guint i = 0; i < n; i++) {
        const rr_session *s = &g_array_index(c->term.nodes, rr_session, (first + i) % n);
        if (strcmp(s->name, c->cfg->node_name) != 0) {
            return s->name;
        }
    }
    return NULL;
}

/* A controller that has lost the state service keeps its workers' leases alive for longer than it
 * plans: the token keeps a deposed one from changing anything, and the time is bounded so that a
 * worker that hears of no cancellation still ends in time. 200 only with a token that the
 * worker will take: one lower than it has seen would be dropped, and the worker would stay here
 * until its lease runs out. Any controller adds the stops of cancelled jobs, so that they end even
 * where their owner can't reach the machine. */
void rr_core_answer(rr_core *c, double now, const rr_report *r, struct rr_answer *out) {
    memset(out, 0, sizeof *out);
    if (!rr_in_term(c) || now >= c->answer_until || r->warrant > c->term.token) {
        out->peer = other_node(c, r);
        out->status = out->peer ? 421 : 503;
        return;
    }
    out->status = 200;
    out->warrant = c->term.token;
    out->orders = g_array_new(FALSE, TRUE, sizeof(rr_order));
    for (guint i = 0; i < r->pieces->len; i++) {
        const rr_piece *p = &g_array_index(r->pieces, rr_piece, i);
        const rr_job *j = g_hash_table_lookup(c->jobs, p->ref);
        if (p->standing != RR_ENDED && j && j->cancelled && !j->done) {
            rr_order o = {.verb = RR_STOP, .task = p->task, .attempt = p->attempt, .leave_s = 0};
            g_strlcpy(o.ref, p->ref, sizeof o.ref);
            g_array_append_val(out->orders, o);
        }
    }
}
