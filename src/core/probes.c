/* Probes of machines that are silent or in doubt, and what the answers to commands show. */
#include "core/plan.h"

#include <string.h>

/* ---- probes ---- */

#define PROBES_MAX 24   /* at a time */
#define PROBES_IN_CUT 2 /* into a zone that is mostly silent: a sample tells a cut from deaths */
#define PROBE_EVERY_S 0.9
#define PROBE_LOOK_S 0.3

static gint by_probed(gconstpointer a, gconstpointer b) {
    const rr_machine *x = *(rr_machine *const *)a, *y = *(rr_machine *const *)b;
    return x->probed_at < y->probed_at ? -1 : x->probed_at > y->probed_at;
}

/* Whose silence is ours to look into: the provisioner's all, an owner's those with its work, and
 * those that it doubts itself: only an answer to it ends that, and one that had lost its work there
 * never sent another command and left the machine out for good. */
static bool concerns_us(const rr_core *c, const rr_machine *m, bool provisioner) {
    provisioner = provisioner || rr_machine_commands_unanswered(m);
    for (guint i = 0; !provisioner && i < m->placements->len; i++) {
        const rr_job *j = g_array_index(m->placements, rr_placement, i).job;
        if (j->team >= 0 && rr_owns_team(c, j->team)) {
            return true;
        }
    }
    return provisioner;
}

static bool wants_probe(const rr_core *c, const rr_machine *m, double now, bool provisioner) {
    if (m->scaling_in || !m->address[0] || m->command_inflight ||
        now - m->probed_at <= PROBE_EVERY_S) {
        return false;
    }
    bool late = rr_heartbeat_age(m, now) > 1.3 * c->config->heartbeat_interval_s &&
                (m->heartbeat_seen || m->placements->len);
    bool doubted = m->unanswered >= 2 || now < m->suspect_until;
    /* A report about an unknown machine may be a late copy: a live exchange has to vouch for it. */
    bool stranger = !m->recorded && m->heartbeat_seen && !m->verified && !m->gone;
    return (m->recorded ? late || doubted : stranger && provisioner) &&
           concerns_us(c, m, provisioner);
}

/* A report late by more than its usual quarter, commands without answers: ask, with a command that
 * carries the present token, so that a worker that a deposed controller holds on to learns of it.
 * Those asked longest ago come first. */
void rr_probe_overdue_machines(struct rr_planner *p) {
    rr_core *c = p->core;
    if (p->now - c->probe_at < PROBE_LOOK_S) {
        return;
    }
    c->probe_at = p->now;
    rr_detect_partitions(c, p->now);
    bool provisioner = rr_core_is_autoscaler(c, p->now);
    guint in_cut[c->zones.names->len + 1];
    memset(in_cut, 0, sizeof in_cut);
    GPtrArray *late = g_ptr_array_new();
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (wants_probe(c, m, p->now, provisioner)) {
            g_ptr_array_add(late, m);
        }
    }
    g_ptr_array_sort(late, by_probed);
    for (guint i = 0; i < late->len && c->probing < PROBES_MAX; i++) {
        rr_machine *m = g_ptr_array_index(late, i);
        if (m->plan_commands || (m->zone >= 0 && rr_zone_partitioned(c, m->zone) &&
                                 in_cut[m->zone]++ >= PROBES_IN_CUT)) {
            continue;
        }
        m->probed_at = p->now;
        m->command_inflight = true;
        rr_command_batch *d = rr_plan_command_batch(p, m);
        d->may_time_out = true;
        m->plan_commands = NULL;
        c->probing++;
    }
    g_ptr_array_free(late, TRUE);
}

/* Commands to it go unanswered: the others are told, since the provisioner may not have sent any.
 */
static void suspect(rr_core *c, rr_machine *m, double now) {
    if (rr_core_timers_late(c, now, RR_LATE_TIMER_GRACE_S)) {
        return; /* the answer may be waiting to be read */
    }
    m->unanswered_at = m->unanswered++ == 0 ? now : m->unanswered_at;
    if (m->unanswered >= 2) {
        rr_core_suspect(c, m->name, now);
    }
}

void rr_core_suspect(rr_core *c, const char *machine, double now) {
    rr_machine *m = g_hash_table_lookup(c->machines, machine);
    if (m) {
        m->suspect_until = now + 2 * c->config->heartbeat_interval_s;
    }
}

/* Machines whose commands got no answer twice or more in a row, for the peers. */
void rr_core_list_suspects(rr_core *c, double now, GPtrArray *out) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (m->unanswered >= 2 && m->recorded &&
            now - m->heartbeat_at < 2 * c->config->heartbeat_interval_s) {
            g_ptr_array_add(out, g_strdup(m->name));
        }
    }
}

static void probe_result(rr_core *c, rr_machine *m, double now, bool answered) {
    if (answered) {
        m->probe_fails = 0;
        m->failed_suspect_probes = m->unanswered = 0;
        m->suspect_until = 0;
        return;
    }
    if (rr_core_timers_late(c, now, RR_LATE_TIMER_GRACE_S)) {
        return; /* its answer may be waiting to be read */
    }
    m->probe_fails++;
    /* Only while it goes on reporting: a silent machine is another trouble. */
    if (!rr_machine_heartbeat_overdue(c, m, now)) {
        m->suspect_probes_failed_at =
            m->failed_suspect_probes++ == 0 ? now : m->suspect_probes_failed_at;
        suspect(c, m, now);
    }
}

void rr_core_command_result(rr_core *c, double now, const rr_command_batch *d,
                            enum rr_command_outcome outcome, bool executed) {
    rr_machine *m = g_hash_table_lookup(c->machines, d->machine);
    bool probe = d->commands->len == 0;
    c->probing -= probe && c->probing > 0;
    if (!m) {
        return;
    }
    m->command_inflight = false;
    rr_mark_dirty(c, m);
    if (probe) {
        probe_result(c, m, now, outcome == RR_COMMAND_ANSWERED);
        return;
    }
    m->next_command_at = outcome == RR_COMMAND_ANSWERED ? (executed ? 0 : now + 0.5) : now + 1;
    if (outcome == RR_COMMAND_ANSWERED) {
        m->unanswered = 0;
        return;
    }
    suspect(c, m, now);
    if (d->via < 0) {
        m->direct_path_bad_until = now + 10;
    }
    if (outcome != RR_COMMAND_OUTCOME_UNKNOWN) {
        return;
    }
    if (m->unanswered_starts_token != d->fencing_token ||
        m->unanswered_starts_epoch != d->worker_epoch) {
        g_hash_table_remove_all(m->unanswered_starts);
        m->unanswered_starts_token = d->fencing_token;
        m->unanswered_starts_epoch = d->worker_epoch;
    }
    for (guint i = 0; i < d->commands->len; i++) {
        const rr_command *o = &g_array_index(d->commands, rr_command, i);
        if (o->kind == RR_COMMAND_START) {
            g_hash_table_add(m->unanswered_starts, g_memdup2(&o->attempt, sizeof o->attempt));
        }
    }
}
