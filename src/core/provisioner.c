/* The provisioner: rents for waiting work and headroom, returns what is idle, dead or sick, keeps
 * the machine records in step with the cloud. One step at a time; the shell carries it out and
 * reports.
 */
#include "core/provisioner.h"

#include <math.h>
#include <string.h>

#define CATALOG_S 60.0
#define RENTAL_RETRY_S 5.0
#define REFUSED_S 15.0
#define DEAF_S 4.0        /* probes of a machine that still reports fail for this long */
#define RETURN_WAIT_S 0.8 /* a booking made just before a return was announced shows by then */

void rr_autoscaler_step_init(rr_autoscaler_step *s) {
    memset(s, 0, sizeof *s);
    rr_transaction_init(&s->transaction);
    s->machines = g_ptr_array_new_with_free_func(g_free);
}

void rr_autoscaler_step_clear(rr_autoscaler_step *s) {
    rr_transaction_clear(&s->transaction);
    g_ptr_array_free(s->machines, TRUE);
}

/* ---- what the cloud said ---- */

void rr_core_catalog_read(rr_core *c, double now, const GArray *builds) {
    c->catalog_at = now;
    g_array_set_size(c->fresh_builds, 0);
    for (guint i = 0; i < builds->len; i++) {
        const rr_machine_type *b = &g_array_index(builds, rr_machine_type, i);
        rr_machine_type copy = *b;
        copy.zones = g_ptr_array_new_with_free_func(g_free);
        for (guint k = 0; k < b->zones->len; k++) {
            g_ptr_array_add(copy.zones, g_strdup(g_ptr_array_index(b->zones, k)));
        }
        g_array_append_val(c->fresh_builds, copy);
    }
}

bool rr_recently_gone(const rr_core *c, const char *name, double now) {
    const double *at = g_hash_table_lookup(c->gone, name);
    /* Lists lag up to twice their usual lag and a dead machine stays listed for half a minute. */
    return at && now - *at < 3 * c->config->list_lag_s + 40;
}

static void see_listed(rr_core *c, const rr_listed_machine *s, double asked_at, double now,
                       double wall) {
    rr_machine *m = g_hash_table_lookup(c->machines, s->id);
    if (!m || !m->recorded) {
        if (s->state == RR_LISTED_FAILED) {
            g_hash_table_add(c->stray_failed, g_strdup(s->id));
            return;
        }
        if (rr_recently_gone(c, s->id, now)) {
            return;
        }
        m = rr_machine_get(c, s->id, now);
        m->to_record = true;
        m->created_at = wall - s->age_s;
        /* There before the service's first term, or before it first rented anything: the operators'
         * own machines. (A list may give them no age when all start together.) */
        m->operator_owned =
            !m->rented && (m->created_at < c->term.first_term_at - 5 || !c->ever_rented);
    }
    if (m->machine_type < 0) {
        m->machine_type = rr_name_index_add(&c->machine_types, s->machine_type);
        m->zone = rr_name_index_add(&c->zones, s->zone);
        m->spot = s->spot;
    }
    if (!m->address[0]) {
        g_strlcpy(m->address, s->address, sizeof m->address);
    }
    if (!m->listed) {
        m->listed = true;
        m->listed_at = asked_at;
    }
    m->list_failed = s->state == RR_LISTED_FAILED;
}

/* Missing from a list taken more than twice the lag after it was first listed (three times, if it
 * never was): gone. A machine listed once stays listed until it is gone. */
static bool missing_is_gone(const rr_core *c, const rr_machine *m, double asked_at) {
    double lag = c->config->list_lag_s;
    return m->listed ? asked_at > m->listed_at + 2 * lag + 1
                     : asked_at > fmax(m->known_at, c->provisioner_since) + 3 * lag + 10;
}

void rr_core_machines_listed(rr_core *c, double asked_at, double now, double wall,
                             const GArray *machines) {
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    c->list_at = now;
    c->list_read = true;
    g_hash_table_remove_all(c->stray_failed);
    for (guint i = 0; i < machines->len; i++) {
        const rr_listed_machine *s = &g_array_index(machines, rr_listed_machine, i);
        g_hash_table_add(seen, (gpointer)s->id);
        see_listed(c, s, asked_at, now, wall);
    }
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (g_hash_table_contains(seen, m->name)) {
            continue;
        }
        m->to_record = m->to_record && m->rented;
        if (m->recorded && missing_is_gone(c, m, asked_at)) {
            m->list_failed = true;
        }
    }
    g_hash_table_destroy(seen);
}

char *rr_refusal_key(const char *build, const char *zone, bool spot) {
    return g_strdup_printf("%s|%s|%d", build, zone, spot);
}

/* The cloud has no more of this type, zone and kind for a while. */
static void note_refusal(rr_core *c, double now, const rr_autoscaler_step *s) {
    double *until = g_new(double, 1);
    *until = now + REFUSED_S;
    g_hash_table_replace(c->refused, rr_refusal_key(s->machine_type, s->zone, s->spot), until);
}

static void note_rented(rr_core *c, double now, const rr_autoscaler_step *s, const char *id) {
    if (rr_recently_gone(c, id, now)) {
        return;
    }
    rr_machine *m = rr_machine_get(c, id, now);
    m->rented = true;
    m->operator_owned = false;
    if (!m->recorded) {
        m->to_record = true;
        m->created_at = m->created_at > 0 ? m->created_at : c->rented_at;
        m->machine_type = rr_name_index_add(&c->machine_types, s->machine_type);
        m->zone = rr_name_index_add(&c->zones, s->zone);
        m->spot = s->spot;
    }
}

void rr_core_scale_out_result(rr_core *c, double now, const rr_autoscaler_step *s, int status,
                              const GPtrArray *ids) {
    rr_rental *h = g_hash_table_lookup(c->rentals, s->rental);
    const char *kind = s->spot ? "spot" : "ordinary";
    if (h && status == 503) {
        h->refused = true;
        note_refusal(c, now, s);
        rr_log_at(c, RR_LOG_INFO, "rental %s: no capacity for %s %s in %s", s->rental,
                  s->machine_type, kind, s->zone);
    }
    if (!h || status != 200) {
        return;
    }
    if ((int)ids->len < h->count) {
        note_refusal(c, now, s);
    }
    h->answered = true;
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        g_ptr_array_add(h->machine_ids, g_strdup(id));
        note_rented(c, now, s, id);
    }
    c->rented += ids->len;
    rr_log_at(c, RR_LOG_DEBUG, "rental %s: %u of %d %s %s in %s", s->rental, ids->len, h->count,
              s->machine_type, kind, s->zone);
}

void rr_core_scale_in_result(rr_core *c, double now, const GPtrArray *ids) {
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        rr_machine *m = g_hash_table_lookup(c->machines, id);
        g_hash_table_remove(c->stray_failed, id);
        if (m && m->recorded) {
            m->list_failed = true; /* gone with everything on it: the record may go */
            rr_log_at(c, RR_LOG_DEBUG, "machine %s is returned after %.0f s", id,
                      now - m->known_at);
        } else if (m && m->placements->len == 0) {
            /* With places it stays as a name until the ledger has none: a provisioner ended when a
             * machine was listed as failed, lost its record and was then released as a stray. */
            rr_machine_forget(c, m);
        }
    }
}

/* ---- steps ---- */

static bool step_rentals_done(rr_core *c, double now, rr_autoscaler_step *out) {
    GHashTableIter it;
    gpointer v;
    char key[RR_ID_SIZE + 32];
    g_hash_table_iter_init(&it, c->rentals);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_rental *h = v;
        bool over = h->refused;
        if (h->answered) {
            over = true;
            for (guint i = 0; i < h->machine_ids->len; i++) {
                const char *id = g_ptr_array_index(h->machine_ids, i);
                const rr_machine *m = g_hash_table_lookup(c->machines, id);
                over = over && ((m && m->recorded) || rr_recently_gone(c, id, now));
            }
        }
        if (over && (int)out->transaction.changes->len < rr_transaction_changes_max(c->config)) {
            rr_rental_key(h->name, key, sizeof key);
            rr_transaction_guard(&out->transaction, key, h->version);
            rr_transaction_delete(&out->transaction, key);
        }
    }
    return out->transaction.changes->len > 0;
}

static bool same_machine_type(const rr_machine_type *a, const rr_machine_type *b) {
    bool same = a && a->cpus == b->cpus && a->gpus == b->gpus && a->mem_gb == b->mem_gb &&
                a->cache_gb == b->cache_gb && a->pull_rate == b->pull_rate &&
                a->price == b->price && a->spot_price == b->spot_price &&
                a->startup_s == b->startup_s && a->zones->len == b->zones->len;
    for (guint i = 0; same && i < a->zones->len; i++) {
        same = strcmp(a->zones->pdata[i], b->zones->pdata[i]) == 0;
    }
    return same;
}

/* What was read is written until the mirror shows it: a change of term may void a transaction. */
static bool record_machine_types(rr_core *c, rr_autoscaler_step *out) {
    for (guint i = 0; i < c->fresh_builds->len; i++) {
        const rr_machine_type *b = &g_array_index(c->fresh_builds, rr_machine_type, i);
        if ((int)out->transaction.changes->len < rr_transaction_changes_max(c->config) &&
            !same_machine_type(
                rr_machine_type_at(c, rr_name_index_find(&c->machine_types, b->name)), b)) {
            char key[RR_ID_SIZE + 32];
            rr_encoder o;
            rr_encoder_init(&o);
            rr_machine_type_encode(&o, b);
            g_snprintf(key, sizeof key, RR_KEY_ROOT "build/%s", b->name);
            rr_transaction_put(&out->transaction, key, &o, 0);
        }
    }
    return out->transaction.changes->len > 0;
}

static bool step_catalog(rr_core *c, double now, rr_autoscaler_step *out) {
    if (record_machine_types(c, out)) {
        out->kind = RR_AUTOSCALER_COMMIT;
        return true;
    }
    if (c->catalog_at == 0 || now - c->catalog_at > CATALOG_S) {
        c->catalog_at = now - CATALOG_S + 2; /* not again at once if it fails */
        out->kind = RR_AUTOSCALER_CATALOG;
        return true;
    }
    return false;
}

static bool step_release(rr_core *c, double now, rr_autoscaler_step *out) {
    GHashTableIter it;
    gpointer k;
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        /* What an owner booked there meanwhile is not thrown away; a dead machine goes as it is. */
        bool empty = m->placements->len == 0 && now - m->scaling_in_at > RETURN_WAIT_S;
        if (m->recorded && m->scaling_in && m->to_release && !m->list_failed &&
            (empty || m->declared_dead) && out->machines->len < 100) {
            g_ptr_array_add(out->machines, g_strdup(m->name));
            m->releasing = true;
        }
    }
    g_hash_table_iter_init(&it, c->stray_failed);
    while (g_hash_table_iter_next(&it, &k, NULL) && out->machines->len < 100) {
        g_ptr_array_add(out->machines, g_strdup(k));
    }
    return out->machines->len > 0;
}

static bool step_rental(rr_core *c, double now, double wall, rr_autoscaler_step *out) {
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->rentals);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_rental *h = v;
        if (h->answered || h->refused || (h->tried_at > 0 && now - h->tried_at < RENTAL_RETRY_S)) {
            continue;
        }
        h->tried_at = now;
        c->rented_at = wall;
        g_strlcpy(out->rental, h->name, sizeof out->rental);
        g_strlcpy(out->machine_type, h->machine_type, sizeof out->machine_type);
        g_strlcpy(out->zone, h->zone, sizeof out->zone);
        out->spot = h->spot;
        out->count = h->count;
        return true;
    }
    return false;
}

/* ---- troubles ---- */

static const char *trouble_of(rr_core *c, const rr_machine *m, double now, double wall) {
    const rr_machine_type *b = rr_machine_type_at(c, m->machine_type);
    double boot = b && b->startup_s > 0 ? b->startup_s : 60;
    bool empty = m->placements->len == 0;
    if (rr_machine_dead(c, m, now)) {
        return "dead or hung";
    }
    /* It goes on reporting, so that it is not silent; but no command reaches it, ours and an
     * owner's neither directly nor through whoever hears it, and its lease will run out. */
    if (m->heartbeat_seen && m->failed_suspect_probes >= 3 &&
        now - m->suspect_probes_failed_at > DEAF_S && !rr_machine_heartbeat_overdue(c, m, now)) {
        return "reports, but hears nothing";
    }
    if (rr_machine_name_reused(m, now)) {
        return "back under its name with its counts begun anew";
    }
    if (!m->heartbeat_seen && wall - m->created_at > 4 * boot + 30 && empty &&
        now - c->provisioner_since > 2 * boot) {
        return "never came up";
    }
    if (rr_machine_quarantined(m, now) && empty) {
        return "sick: tasks of several jobs failed";
    }
    return NULL;
}

/* Decides about one machine; the record's change and the release follow from give_up. */
static void judge(rr_core *c, rr_machine *m, double now, double wall) {
    if (!m->recorded) {
        return;
    }
    const char *why = trouble_of(c, m, now, wall);
    bool empty = m->placements->len == 0;
    if (m->to_release && !why && !empty && rr_machine_heartbeat_recent(c, m, now) &&
        !m->releasing) {
        m->to_release = m->declared_dead = false; /* it speaks again, or was idle, and has work */
        return;
    }
    bool idle = m->surplus && empty && !m->operator_owned &&
                now - m->idle_since > c->config->tuning.idle_return_s && wall - m->created_at > 60;
    if (m->to_release || m->scaling_in || !(why || idle)) {
        return;
    }
    m->to_release = true;
    m->declared_dead = why && !empty;
    c->given_up++;
    rr_log_at(c, RR_LOG_DEBUG, "give up %s (%u tasks): %s", m->name, m->placements->len,
              why ? why : "idle");
}
void rr_review_machines(rr_core *c, double now, double wall) {
    rr_detect_partitions(c, now);
    for (guint i = 0; i < c->machine_list->len; i++) {
        judge(c, g_ptr_array_index(c->machine_list, i), now, wall);
    }
}

static void begin_provisioning(rr_core *c, double now) {
    c->provisioner_token = c->term.token;
    c->provisioner_since = now;
    c->list_at = c->sim_at = 0;
    c->list_read = false;
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->list_failed = m->listed = m->surplus = m->declared_dead = m->releasing = false;
        m->to_release =
            m->scaling_in; /* what was to go back goes, unless it is judged to have work */
        m->declared_dead =
            m->scaling_in && m->placements->len > 0 && !rr_machine_heartbeat_recent(c, m, now);
        m->probe_fails = 0;
        m->failed_suspect_probes = 0;
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->rentals);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_rental *h = v;
        h->answered = h->refused = false;
        h->tried_at = 0;
        g_ptr_array_set_size(h->machine_ids, 0);
    }
    rr_log_at(c, RR_LOG_INFO, "provisioner of term %" G_GUINT64_FORMAT, c->term.token);
}

void rr_core_autoscaler_step(rr_core *c, double now, double wall, rr_autoscaler_step *out) {
    out->kind = RR_AUTOSCALER_NONE;
    if (!rr_core_is_autoscaler(c, now) || !rr_core_cache_consistent(c) || c->anew) {
        return;
    }
    if (c->provisioner_token != c->term.token) {
        begin_provisioning(c, now);
    }
    if (rr_autoscaler_step_records(c, now, wall, out) || step_rentals_done(c, now, out) ||
        step_catalog(c, now, out) || rr_autoscaler_step_demand(c, now, wall, out)) {
        if (out->kind == RR_AUTOSCALER_NONE) {
            out->kind = RR_AUTOSCALER_COMMIT;
        }
    } else if (step_rental(c, now, wall, out)) {
        out->kind = RR_AUTOSCALER_SCALE_OUT;
    } else if (step_release(c, now, out)) {
        out->kind = RR_AUTOSCALER_SCALE_IN;
    } else if (c->list_at == 0 || now - c->list_at > c->config->tuning.cloud_list_s) {
        c->list_at = now;
        out->kind = RR_AUTOSCALER_LIST;
    }
    if (out->kind == RR_AUTOSCALER_COMMIT) {
        rr_transaction_guard(&out->transaction, RR_KEY_ROOT "term", c->term.version);
    }
}
