/* The steward: rents for waiting work and headroom, returns what is idle, dead or sick, keeps the
 * machine records in step with the cloud. One step at a time; the shell carries it out and reports.
 */
#include "core/model.h"

#include <math.h>
#include <string.h>

#define CATALOG_S 60.0
#define HIRE_RETRY_S 5.0
#define REFUSED_S 15.0
#define HIRE_MAX 50       /* the cloud's limit a call */
#define HIRES_MAX 24      /* intents at a time */
#define TXN_KB 48         /* of the store's 64 for a transaction */
#define PAGES_MAX 8       /* pages changed in one step: none of the others may wait long */
#define DEAF_S 4.0        /* probes of a machine that still reports fail for this long */
#define RETURN_WAIT_S 0.8 /* a booking made just before a return was announced shows by then */

void rr_step_init(rr_step *s) {
    memset(s, 0, sizeof *s);
    rr_txn_init(&s->txn);
    s->stones = g_ptr_array_new_with_free_func(g_free);
}

void rr_step_clear(rr_step *s) {
    rr_txn_clear(&s->txn);
    g_ptr_array_free(s->stones, TRUE);
}

/* ---- what the cloud said ---- */

void rr_core_catalog(rr_core *c, double now, const GArray *builds) {
    c->catalog_at = now;
    g_array_set_size(c->fresh_builds, 0);
    for (guint i = 0; i < builds->len; i++) {
        const rr_build *b = &g_array_index(builds, rr_build, i);
        rr_build copy = *b;
        copy.wards = g_ptr_array_new_with_free_func(g_free);
        for (guint k = 0; k < b->wards->len; k++) {
            g_ptr_array_add(copy.wards, g_strdup(g_ptr_array_index(b->wards, k)));
        }
        g_array_append_val(c->fresh_builds, copy);
    }
}

static bool recently_gone(const rr_core *c, const char *name, double now) {
    const double *at = g_hash_table_lookup(c->gone, name);
    /* Lists lag up to twice their usual lag and a dead machine stays listed for half a minute. */
    return at && now - *at < 3 * c->cfg->list_lag_s + 40;
}

static void see_listed(rr_core *c, const rr_stone *s, double asked_at, double now, double wall) {
    rr_machine *m = g_hash_table_lookup(c->machines, s->id);
    if (!m || !m->recorded) {
        if (s->state == RR_STONE_FAILED) {
            g_hash_table_add(c->stray_failed, g_strdup(s->id));
            return;
        }
        if (recently_gone(c, s->id, now)) {
            return;
        }
        m = rr_machine_get(c, s->id, now);
        m->to_adopt = true;
        m->born = wall - s->age_s;
        /* There before the service's first term, or before it first rented anything: the operators'
         * own machines. (A list may give them no age when all start together.) */
        m->own = !m->hired && (m->born < c->term.born - 5 || !c->ever_hired);
    }
    if (m->build < 0) {
        m->build = rr_names_add(&c->builds, s->build);
        m->ward = rr_names_add(&c->wards, s->ward);
        m->loaners = s->loaners;
    }
    if (!m->addr[0]) {
        g_strlcpy(m->addr, s->addr, sizeof m->addr);
    }
    if (!m->listed) {
        m->listed = true;
        m->listed_at = asked_at;
    }
    m->list_failed = s->state == RR_STONE_FAILED;
}

/* Missing from a list taken more than twice the lag after it was first listed (three times, if it
 * never was): gone. A machine listed once stays listed until it is gone. */
static bool missing_is_gone(const rr_core *c, const rr_machine *m, double asked_at) {
    double lag = c->cfg->list_lag_s;
    return m->listed ? asked_at > m->listed_at + 2 * lag + 1
                     : asked_at > fmax(m->known_at, c->steward_since) + 3 * lag + 10;
}

void rr_core_listed(rr_core *c, double asked_at, double now, double wall, const GArray *stones) {
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    c->list_at = now;
    c->list_read = true;
    g_hash_table_remove_all(c->stray_failed);
    for (guint i = 0; i < stones->len; i++) {
        const rr_stone *s = &g_array_index(stones, rr_stone, i);
        g_hash_table_add(seen, (gpointer)s->id);
        see_listed(c, s, asked_at, now, wall);
    }
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (g_hash_table_contains(seen, m->name)) {
            continue;
        }
        m->to_adopt = m->to_adopt && m->hired;
        if (m->recorded && missing_is_gone(c, m, asked_at)) {
            m->list_failed = true;
        }
    }
    g_hash_table_destroy(seen);
}

static char *refusal_key(const char *build, const char *ward, bool loaners) {
    return g_strdup_printf("%s|%s|%d", build, ward, loaners);
}

void rr_core_hired(rr_core *c, double now, const rr_step *s, int status, const GPtrArray *ids) {
    rr_hire *h = g_hash_table_lookup(c->hires, s->hire);
    if (!h) {
        return;
    }
    if (status == 503) {
        double *until = g_new(double, 1);
        *until = now + REFUSED_S;
        h->refused = true;
        g_hash_table_replace(c->refused, refusal_key(s->build, s->ward, s->loaners), until);
        rr_log_at(c, RR_LOG_INFO, "hire %s: no capacity for %s %s in %s", s->hire, s->build,
                  s->loaners ? "spot" : "ordinary", s->ward);
        return;
    }
    if (status != 200) {
        return;
    }
    if ((int)ids->len < h->how_many) {
        double *until = g_new(double, 1);
        *until = now + REFUSED_S;
        g_hash_table_replace(c->refused, refusal_key(s->build, s->ward, s->loaners), until);
    }
    h->answered = true;
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        g_ptr_array_add(h->ids, g_strdup(id));
        if (recently_gone(c, id, now)) {
            continue;
        }
        rr_machine *m = rr_machine_get(c, id, now);
        m->hired = true;
        m->own = false;
        if (!m->recorded) {
            m->to_adopt = true;
            m->born = m->born > 0 ? m->born : c->hired_at;
            m->build = rr_names_add(&c->builds, s->build);
            m->ward = rr_names_add(&c->wards, s->ward);
            m->loaners = s->loaners;
        }
    }
    c->hired += ids->len;
    rr_log_at(c, RR_LOG_DEBUG, "hire %s: %u of %d %s %s in %s", s->hire, ids->len, h->how_many,
              s->build, s->loaners ? "spot" : "ordinary", s->ward);
}

void rr_core_released(rr_core *c, double now, const GPtrArray *ids) {
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        rr_machine *m = g_hash_table_lookup(c->machines, id);
        g_hash_table_remove(c->stray_failed, id);
        if (m && m->recorded) {
            m->list_failed = true; /* gone with everything on it: the record may go */
            rr_log_at(c, RR_LOG_DEBUG, "machine %s is returned after %.0f s", id,
                      now - m->known_at);
        } else if (m && m->places->len == 0) {
            /* With places it stays as a name until the ledger has none: a steward ended when a
             * machine was listed as failed, lost its record and was then released as a stray. */
            rr_machine_forget(c, m);
        }
    }
}

/* ---- bookkeeping steps ---- */

/* Pages that change in this step: id -> GPtrArray of the machines they will have. */
struct pages {
    rr_core *c;
    GHashTable *changed;
    int room; /* pages that the transaction takes yet */
};

static size_t page_bytes(const rr_core *c, const GPtrArray *list) {
    size_t n = 64;
    for (guint i = 0; i < list->len; i++) {
        n += rr_page_entry_bytes(c, g_ptr_array_index(list, i));
    }
    return n;
}

static double page_most(const rr_core *c) {
    return rr_value_kb(c->cfg) * 1024 - 128;
}

/* NULL: not in this step, or not before the page is parted. */
static GPtrArray *change_page(struct pages *p, uint32_t id) {
    GPtrArray *list = g_hash_table_lookup(p->changed, GUINT_TO_POINTER(id));
    if (list || p->room == 0) {
        return list;
    }
    list = g_ptr_array_new();
    for (guint i = 0; i < p->c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(p->c->machine_list, i);
        if (m->recorded && m->page == id) {
            g_ptr_array_add(list, m);
        }
    }
    /* Only where it will be parted. A page grows a little as addresses come to be known: where no
     * lower limit is to come it was left alone for good, and none of its machines went back. */
    if (rr_value_kb(p->c->cfg) < p->c->cfg->value_kb &&
        (double)page_bytes(p->c, list) > page_most(p->c)) {
        g_ptr_array_free(list, TRUE);
        return NULL;
    }
    g_hash_table_insert(p->changed, GUINT_TO_POINTER(id), list);
    p->room--;
    return list;
}

/* A page from before the limits were lowered, larger than they will allow. Part of its machines are
 * written to a new page first; once the mirror shows them there the old one is written without
 * them. No reader, of whatever version, sees any of them in no page, which would say that it has
 * gone; and a full read, in the order of the keys, finds them in the new one last. */
static void part_page(struct pages *p, uint32_t id) {
    GPtrArray *moved = g_ptr_array_new();
    size_t left = 64, taken = 64;
    for (guint i = 0; i < p->c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(p->c->machine_list, i);
        size_t bytes = m->recorded && m->page == id ? rr_page_entry_bytes(p->c, m) : 0;
        if (bytes > 0 && (double)(left + bytes) > 0.75 * page_most(p->c)) {
            if ((double)(taken + bytes) <= page_most(p->c)) {
                g_ptr_array_add(moved, m);
                taken += bytes;
            }
        } else {
            left += bytes;
        }
    }
    g_hash_table_insert(p->changed, GUINT_TO_POINTER(p->c->next_page++), moved);
    p->room--;
}

struct page_count {
    guint n;
    size_t bytes;
};

/* Pages too large to be written again are parted; those that still name machines which are in
 * another page by now are written anew. */
static void part_pages(struct pages *p) {
    const rr_core *c = p->c;
    GHashTable *counts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter it;
    gpointer k, v;
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        struct page_count *n = g_hash_table_lookup(counts, GUINT_TO_POINTER(m->page));
        if (m->recorded && !n) {
            n = g_new0(struct page_count, 1);
            n->bytes = 64;
            g_hash_table_insert(counts, GUINT_TO_POINTER(m->page), n);
        }
        if (m->recorded) {
            n->n++;
            n->bytes += rr_page_entry_bytes(c, m);
        }
    }
    g_hash_table_iter_init(&it, c->pages);
    while (p->room > 0 && g_hash_table_iter_next(&it, &k, &v)) {
        const struct page_count *n = g_hash_table_lookup(counts, k);
        if (n && (double)n->bytes > page_most(c)) {
            part_page(p, GPOINTER_TO_UINT(k));
        } else if (((const rr_page *)v)->entries > (n ? n->n : 0)) {
            change_page(p, GPOINTER_TO_UINT(k));
        }
    }
    g_hash_table_destroy(counts);
}

#define PART_EVERY_S 0.5

/* The page that takes one machine more: one that changes anyway, else any with room, else a new
 * one. NULL: not in this step. */
static GPtrArray *page_with_room(struct pages *p, const rr_machine *m) {
    double most = page_most(p->c);
    size_t need = rr_page_entry_bytes(p->c, m);
    GHashTableIter it;
    gpointer k, v;
    g_hash_table_iter_init(&it, p->changed);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if ((double)(page_bytes(p->c, v) + need) <= most) {
            return v;
        }
    }
    g_hash_table_iter_init(&it, p->c->pages);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (!g_hash_table_contains(p->changed, k) &&
            (double)(64 + ((rr_page *)v)->bytes + need) <= most) {
            return change_page(p, GPOINTER_TO_UINT(k));
        }
    }
    return change_page(p, p->c->next_page++);
}

static bool to_record(const rr_core *c, const rr_machine *m, double now) {
    if (m->recorded || m->gone || m->build < 0 || m->ward < 0) {
        return false;
    }
    /* One that only reports have told of: a late copy of a report creates nothing, so it has to
     * answer us first. */
    return m->to_adopt ||
           (m->heard && m->vouched && c->list_read && now - m->heard_at < 2 * c->cfg->report_s &&
            !recently_gone(c, m->name, now));
}

static void record_machine(struct pages *p, rr_machine *m, double now, double wall) {
    GPtrArray *list;
    if (m->recorded && m->list_failed) {
        if ((list = change_page(p, m->page))) {
            g_ptr_array_remove(list, m);
        }
    } else if (m->recorded && m->give_up != m->ret) {
        change_page(p, m->page); /* written with the new flag; the mirror follows */
    } else if (to_record(p->c, m, now) && (list = page_with_room(p, m))) {
        m->born = m->born > 0 ? m->born : wall;
        g_ptr_array_add(list, m);
        rr_log_at(p->c, RR_LOG_DEBUG, "record %s (%s)", m->name, m->own ? "standing" : "rented");
    }
}

/* Machines that came, are to go back or are gone, many in a change. */
static bool step_records(rr_core *c, double now, double wall, rr_step *out) {
    rr_txn *t = &out->txn;
    char key[RR_ID];
    GHashTableIter it;
    gpointer k, v;
    int most = (int)(TXN_KB / rr_value_kb(c->cfg));
    most = most < 1 ? 1 : most > rr_txn_ops(c->cfg) ? rr_txn_ops(c->cfg) : most;
    struct pages p = {c, g_hash_table_new(NULL, NULL), most < PAGES_MAX ? most : PAGES_MAX};
    if (rr_value_kb(c->cfg) < c->cfg->value_kb && now - c->parted_at > PART_EVERY_S) {
        c->parted_at = now;
        part_pages(&p);
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        record_machine(&p, g_ptr_array_index(c->machine_list, i), now, wall);
    }
    g_hash_table_iter_init(&it, p.changed);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const rr_page *page = g_hash_table_lookup(c->pages, k);
        rr_out o;
        rr_out_init(&o);
        rr_page_encode(c, &o, v);
        rr_page_key(GPOINTER_TO_UINT(k), key, sizeof key);
        rr_txn_guard(t, key, page ? page->mark : 0);
        rr_txn_put(t, key, &o, 0);
        g_ptr_array_free(v, TRUE);
    }
    g_hash_table_destroy(p.changed);
    return t->changes->len > 0;
}

/* An intent goes once all its machines are recorded or it was refused. */
static bool step_hires_done(rr_core *c, double now, rr_step *out) {
    GHashTableIter it;
    gpointer v;
    char key[RR_ID + 32];
    g_hash_table_iter_init(&it, c->hires);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_hire *h = v;
        bool over = h->refused;
        if (h->answered) {
            over = true;
            for (guint i = 0; i < h->ids->len; i++) {
                const char *id = g_ptr_array_index(h->ids, i);
                const rr_machine *m = g_hash_table_lookup(c->machines, id);
                over = over && ((m && m->recorded) || recently_gone(c, id, now));
            }
        }
        if (over && (int)out->txn.changes->len < rr_txn_ops(c->cfg)) {
            rr_hire_key(h->name, key, sizeof key);
            rr_txn_guard(&out->txn, key, h->mark);
            rr_txn_delete(&out->txn, key);
        }
    }
    return out->txn.changes->len > 0;
}

static bool same_build(const rr_build *a, const rr_build *b) {
    bool same = a && a->vcpus == b->vcpus && a->cards == b->cards && a->mem_gb == b->mem_gb &&
                a->cache_gb == b->cache_gb && a->pull_rate == b->pull_rate &&
                a->price == b->price && a->spot_price == b->spot_price &&
                a->startup_s == b->startup_s && a->wards->len == b->wards->len;
    for (guint i = 0; same && i < a->wards->len; i++) {
        same = strcmp(a->wards->pdata[i], b->wards->pdata[i]) == 0;
    }
    return same;
}

/* What was read is written until the mirror shows it: a change of term may void a transaction. */
static bool record_builds(rr_core *c, rr_step *out) {
    for (guint i = 0; i < c->fresh_builds->len; i++) {
        const rr_build *b = &g_array_index(c->fresh_builds, rr_build, i);
        if ((int)out->txn.changes->len < rr_txn_ops(c->cfg) &&
            !same_build(rr_build_at(c, rr_names_find(&c->builds, b->sku)), b)) {
            char key[RR_ID + 32];
            rr_out o;
            rr_out_init(&o);
            rr_build_encode(&o, b);
            g_snprintf(key, sizeof key, RR_ROOT "build/%s", b->sku);
            rr_txn_put(&out->txn, key, &o, 0);
        }
    }
    return out->txn.changes->len > 0;
}

static bool step_catalog(rr_core *c, double now, rr_step *out) {
    if (record_builds(c, out)) {
        out->kind = RR_STEP_TXN;
        return true;
    }
    if (c->catalog_at == 0 || now - c->catalog_at > CATALOG_S) {
        c->catalog_at = now - CATALOG_S + 2; /* not again at once if it fails */
        out->kind = RR_STEP_CATALOG;
        return true;
    }
    return false;
}

static bool step_release(rr_core *c, double now, rr_step *out) {
    GHashTableIter it;
    gpointer k;
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        /* What an owner booked there meanwhile is not thrown away; a dead machine goes as it is. */
        bool empty = m->places->len == 0 && now - m->ret_at > RETURN_WAIT_S;
        if (m->recorded && m->ret && m->give_up && !m->list_failed && (empty || m->dead) &&
            out->stones->len < 100) {
            g_ptr_array_add(out->stones, g_strdup(m->name));
            m->releasing = true;
        }
    }
    g_hash_table_iter_init(&it, c->stray_failed);
    while (g_hash_table_iter_next(&it, &k, NULL) && out->stones->len < 100) {
        g_ptr_array_add(out->stones, g_strdup(k));
    }
    return out->stones->len > 0;
}

static bool step_hire(rr_core *c, double now, double wall, rr_step *out) {
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->hires);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_hire *h = v;
        if (h->answered || h->refused || (h->tried_at > 0 && now - h->tried_at < HIRE_RETRY_S)) {
            continue;
        }
        h->tried_at = now;
        c->hired_at = wall;
        g_strlcpy(out->hire, h->name, sizeof out->hire);
        g_strlcpy(out->build, h->build, sizeof out->build);
        g_strlcpy(out->ward, h->ward, sizeof out->ward);
        out->loaners = h->loaners;
        out->how_many = h->how_many;
        return true;
    }
    return false;
}

/* ---- troubles ---- */

static const char *trouble_of(rr_core *c, const rr_machine *m, double now, double wall) {
    const rr_build *b = rr_build_at(c, m->build);
    double boot = b && b->startup_s > 0 ? b->startup_s : 60;
    bool empty = m->places->len == 0;
    if (rr_machine_dead(c, m, now)) {
        return "dead or hung";
    }
    /* It goes on reporting, so that it is not silent; but no command reaches it, ours and an
     * owner's neither directly nor through whoever hears it, and its lease will run out. */
    if (m->heard && m->deaf_probes >= 3 && now - m->deaf_at > DEAF_S &&
        !rr_machine_quiet(c, m, now)) {
        return "reports, but hears nothing";
    }
    if (rr_machine_reborn(m, now)) {
        return "back under its name with its counts begun anew";
    }
    if (!m->heard && wall - m->born > 4 * boot + 30 && empty && now - c->steward_since > 2 * boot) {
        return "never came up";
    }
    if (rr_machine_sick(m, now) && empty) {
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
    bool empty = m->places->len == 0;
    if (m->give_up && !why && !empty && rr_machine_fresh(c, m, now) && !m->releasing) {
        m->give_up = m->dead = false; /* it speaks again, or was idle, and has work */
        return;
    }
    bool idle = m->surplus && empty && !m->own &&
                now - m->idle_since > c->cfg->tune.idle_return_s && wall - m->born > 60;
    if (m->give_up || m->ret || !(why || idle)) {
        return;
    }
    m->give_up = true;
    m->dead = why && !empty;
    c->given_up++;
    rr_log_at(c, RR_LOG_DEBUG, "give up %s (%u tasks): %s", m->name, m->places->len,
              why ? why : "idle");
}

/* ---- demand ---- */

struct rent {
    int build, ward;
    bool loaners;
    int count;
    rr_res room; /* of the newest */
};

static bool is_refused(rr_core *c, const char *build, const char *ward, bool loaners, double now) {
    char *key = refusal_key(build, ward, loaners);
    const double *until = g_hash_table_lookup(c->refused, key);
    g_free(key);
    return until && now < *until;
}

/* A machine that new work can count on: usable now, or booting within patience. */
static bool counts(const rr_core *c, const rr_machine *m, double now) {
    const rr_build *b = rr_build_at(c, m->build);
    if (!m->recorded || m->ret || m->give_up || !b) {
        return false;
    }
    if (!m->heard) {
        return now - m->known_at < c->cfg->tune.boot_patience * b->startup_s + 5;
    }
    return rr_machine_usable(c, m, now) ||
           (rr_machine_fresh(c, m, now) && m->rep.recall_s < 0 && !rr_machine_sick(m, now) &&
            !rr_machine_mute(c, m, now));
}

/* One simulation: what waits is put on paper onto the machines there are, then onto machines to
 * rent. */
struct sim {
    rr_core *c;
    double now, wall;
    GArray *rents;    /* struct rent */
    GPtrArray *roomy; /* rr_machine*: with room left, cheapest and fullest first */
    guint *in_ward;   /* machines by zone, with those to rent */
};

static bool roomy(const rr_core *c, const rr_machine *m) {
    return rr_res_room(m->sim, rr_machine_cap(c, m)) > RR_EPS;
}

static const rr_core *sort_core; /* qsort has no argument; the core is one call at a time */

static gint by_cost(gconstpointer a, gconstpointer b) {
    const rr_machine *x = *(rr_machine *const *)a, *y = *(rr_machine *const *)b;
    double cx = rr_machine_price(sort_core, x) * rr_res_room(x->sim, rr_machine_cap(sort_core, x));
    double cy = rr_machine_price(sort_core, y) * rr_res_room(y->sim, rr_machine_cap(sort_core, y));
    if (fabs(cx - cy) > 1e-9) {
        return cx < cy ? -1 : 1;
    }
    return x->id - y->id;
}

/* The machines that have room on paper, as the paper's choice would take them. */
static void sort_roomy(struct sim *s) {
    rr_core *c = s->c;
    g_ptr_array_set_size(s->roomy, 0);
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        c->visits++;
        if (counts(c, m, s->now) && roomy(c, m)) {
            g_ptr_array_add(s->roomy, m);
        }
    }
    sort_core = c;
    g_ptr_array_sort(s->roomy, by_cost);
}

/* How many tasks of this size the room takes, up to n. */
static uint32_t tasks_in(rr_res need, rr_res room, uint32_t n) {
    uint32_t k = 0;
    for (; k < n && rr_res_fits(need, room); k++) {
        room = rr_res_add(room, need, -1);
    }
    return k;
}

/* Puts up to n tasks of the job on machines there are, so many on each at most; returns how many
 * found no room. */
static uint32_t fill_machines(struct sim *s, const rr_job *j, const bool *wards, uint32_t n,
                              uint32_t each) {
    rr_core *c = s->c;
    guint kept = 0;
    guint i = 0;
    for (; i < s->roomy->len && n > 0; i++) {
        rr_machine *m = g_ptr_array_index(s->roomy, i);
        c->visits++;
        if (m->ward >= 0 && wards[m->ward] && rr_job_allows(c, j, m->build, m->ward, m->loaners)) {
            uint32_t k = tasks_in(j->need, m->sim, MIN(n, each));
            m->sim = rr_res_add(m->sim, j->need, -(double)k);
            m->surplus = m->surplus && k == 0;
            n -= k;
        }
        if (roomy(c, m)) {
            s->roomy->pdata[kept++] = m;
        }
    }
    for (; i < s->roomy->len; i++) {
        s->roomy->pdata[kept++] = s->roomy->pdata[i];
    }
    g_ptr_array_set_size(s->roomy, (gint)kept);
    return n;
}

/* The cheapest place that would take the task, per task that fits; between equals the zone with
 * fewest machines. */
static struct rent *rent_for(struct sim *s, const rr_job *j, const bool *wards) {
    rr_core *c = s->c;
    struct rent best = {-1, -1, false, 0, {0, 0, 0}};
    double least = 0;
    guint fewest = 0;
    for (guint bi = 0; bi < c->build_info->len; bi++) {
        const rr_build *b = rr_build_at(c, (int)bi);
        rr_res cap = b ? (rr_res){b->vcpus, b->cards, b->mem_gb} : (rr_res){0, 0, 0};
        if (!b || !rr_res_fits(j->need, cap)) {
            continue;
        }
        double share = 1 - rr_res_room(rr_res_add(cap, j->need, -1), cap);
        for (guint wi = 0; wi < b->wards->len; wi++) {
            int w = rr_names_find(&c->wards, g_ptr_array_index(b->wards, wi));
            for (int spot = 0; spot < 2 && w >= 0 && wards[w]; spot++) {
                if (!rr_job_allows(c, j, (int)bi, w, spot) ||
                    is_refused(c, b->sku, rr_names_at(&c->wards, w), spot, s->now)) {
                    continue;
                }
                double price = (spot ? b->spot_price : b->price) * share;
                if (best.build < 0 || price < least - 1e-9 ||
                    (price < least + 1e-9 && s->in_ward[w] < fewest)) {
                    best = (struct rent){(int)bi, w, spot, 0, cap};
                    least = price;
                    fewest = s->in_ward[w];
                }
            }
        }
    }
    if (best.build < 0) {
        return NULL;
    }
    s->in_ward[best.ward]++;
    for (guint i = 0; i < s->rents->len; i++) {
        struct rent *r = &g_array_index(s->rents, struct rent, i);
        if (r->build == best.build && r->ward == best.ward && r->loaners == best.loaners) {
            r->count++;
            r->room = best.room;
            return r;
        }
    }
    best.count = 1;
    g_array_append_val(s->rents, best);
    return &g_array_index(s->rents, struct rent, s->rents->len - 1);
}

static bool into_rents(struct sim *s, const rr_job *j, const bool *wards) {
    for (guint i = 0; i < s->rents->len; i++) {
        struct rent *r = &g_array_index(s->rents, struct rent, i);
        if (wards[r->ward] && rr_job_allows(s->c, j, r->build, r->ward, r->loaners) &&
            rr_res_fits(j->need, r->room)) {
            r->room = rr_res_add(r->room, j->need, -1);
            return true;
        }
    }
    return false;
}

/* Finds room for n more tasks: on machines there are, or on machines to rent. A job spread over
 * zones rents in turn where it may still go. */
static void demand(struct sim *s, const rr_job *j, bool *wards, uint32_t n, uint32_t each,
                   bool may_rent) {
    n = fill_machines(s, j, wards, n, each);
    for (; may_rent && n > 0; n--) {
        if (into_rents(s, j, wards)) {
            continue;
        }
        struct rent *r = rent_for(s, j, wards);
        if (!r) {
            return;
        }
        r->room = rr_res_add(r->room, j->need, -1);
    }
}

/* Deadline work waits for room to come free while it can still make it on a new machine. */
static bool must_rent(const rr_core *c, const rr_job *j, double wall) {
    if (j->s.due_s < 0) {
        return true;
    }
    double boot = 0, pull = 0;
    for (guint i = 0; i < c->build_info->len; i++) {
        const rr_build *b = rr_build_at(c, (int)i);
        if (b) {
            boot = fmax(boot, b->startup_s);
            pull = fmax(pull, b->pull_rate > 0 ? j->s.pull_gb / b->pull_rate : 0);
        }
    }
    double slack = j->at + j->s.due_s - wall - 1.3 * j->s.guess_s - 1.3 * boot - pull;
    return slack < 40;
}

/* Placements on machines that are gone or given up as dead. Their owners clear the ledger as
 * changes allow: waiting for that, the steward rented for 1,200 lost tasks over a minute and a
 * half. */
static void count_lost(const rr_core *c) {
    for (guint i = 0; i < c->open->len; i++) {
        ((rr_job *)g_ptr_array_index(c->open, i))->lost = 0;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->places->len && (m->gone || (m->give_up && m->dead)); k++) {
            const rr_place *p = &g_array_index(m->places, rr_place, k);
            p->job->lost += !rr_job_task_done(p->job, p->task);
        }
    }
}

/* Room for a gang in one zone is of no use in pieces over several: the zone in which most of it
 * fits now, or else any one of those allowed. */
static void one_ward(struct sim *s, const rr_job *j, bool *wards) {
    rr_core *c = s->c;
    int best = rr_zone_most_room(c, j, wards, s->now);
    for (guint w = 0; w < c->wards.names->len; w++) {
        best = best < 0 && wards[w] ? (int)w : best;
        wards[w] = (int)w == best;
    }
}

static void demand_waiting(struct sim *s) {
    const rr_core *c = s->c;
    count_lost(c);
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        if (!j->mark || j->cancelled || j->done || j->team < 0 ||
            (size_t)j->team >= c->cfg->nteams) {
            continue;
        }
        const struct rr_team_config *t = &c->cfg->teams[j->team];
        uint32_t n = MIN(j->s.pieces - j->ndone - j->nplaced + j->lost, j->s.pieces - j->ndone);
        bool wards[c->wards.names->len + 1];
        if (n == 0) {
            continue;
        }
        rr_job_wards(c, j, wards, NULL);
        if (j->s.shape == RR_GANG && j->s.one_zone) {
            one_ward(s, j, wards);
        }
        /* No more than the team's limit lets run at a time, and than can be rented soon. */
        n = MIN(n, 5000);
        if (t->cpus_max > 0 && j->need.cpu > 0) {
            n = MIN(n, (uint32_t)(t->cpus_max / j->need.cpu + 1));
        }
        if (t->gpus_max > 0 && j->need.gpu > 0) {
            n = MIN(n, (uint32_t)(t->gpus_max / j->need.gpu + 1));
        }
        /* A service's replicas keep separate machines. */
        demand(s, j, wards, n, j->s.shape == RR_SERVICE ? 1 : n, must_rent(c, j, s->wall));
    }
}

/* Work that would make room for the class and can save within its aim is as good as free room. */
static void credit_preemptible(rr_core *c, const rr_job *j, double within_s, double now) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->places->len && counts(c, m, now); k++) {
            const rr_place *p = &g_array_index(m->places, rr_place, k);
            const rr_submission *v = &p->job->s;
            if (v->shape == RR_BATCH && v->rank < j->s.rank && j->s.rank > RR_STANDARD &&
                v->cairn_s > 0 && v->stash_s + 1 <= within_s &&
                rr_job_allows(c, j, m->build, m->ward, m->loaners)) {
                m->sim = rr_res_add(m->sim, p->job->need, 1);
            }
        }
    }
}

/* Room kept for a class with an aim on its start: what arrives while a machine boots. */
static void demand_headroom(struct sim *s) {
    rr_core *c = s->c;
    double wall = s->wall;
    rr_arrivals_trim(c, wall);
    double span = fmin(RR_ARRIVALS_S, fmax(60, wall - c->term.born));
    for (size_t i = 0; i < c->cfg->nobjectives; i++) {
        const struct rr_objective *o = &c->cfg->objectives[i];
        const rr_job *last = NULL;
        double tasks = 0, boot = 0;
        if (strcmp(o->kind, "wait") != 0) {
            continue;
        }
        for (guint k = 0; k < c->arrivals->len; k++) {
            const rr_job *j = g_array_index(c->arrivals, rr_job *, k);
            /* What came at the very start was a stock, not a rate. */
            if (strcmp(j->s.lane, o->lane) == 0) {
                last = j;
                tasks += j->at > c->term.born + 20 ? j->s.pieces : 0;
            }
        }
        for (guint b = 0; b < c->build_info->len; b++) {
            const rr_build *bb = rr_build_at(c, (int)b);
            boot = bb ? fmax(boot, bb->startup_s) : boot;
        }
        if (!last) {
            continue;
        }
        double mean = tasks / span * (1.2 * boot + 10);
        int n = (int)ceil(c->cfg->tune.headroom * (mean + sqrt(mean)));
        bool wards[c->wards.names->len + 1];
        for (guint w = 0; w < c->wards.names->len; w++) {
            wards[w] =
                !last->s.ward[0] || strcmp(last->s.ward, rr_names_at(&c->wards, (int)w)) == 0;
        }
        credit_preemptible(c, last, o->within_s, s->now);
        sort_roomy(s);
        demand(s, last, wards, (uint32_t)MAX(n, 0), (uint32_t)MAX(n, 0), true);
    }
}

/* Machines asked for and not yet recorded, of this type, zone and kind. */
static int pending_for(const rr_core *c, const struct rent *r) {
    GHashTableIter it;
    gpointer v;
    int n = 0;
    g_hash_table_iter_init(&it, c->hires);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const rr_hire *h = v;
        if (strcmp(h->build, rr_names_at(&c->builds, r->build)) == 0 &&
            strcmp(h->ward, rr_names_at(&c->wards, r->ward)) == 0 && h->loaners == r->loaners) {
            n += h->how_many;
        }
    }
    return n;
}

static void put_intent(rr_core *c, const struct rent *r, int n, rr_step *out) {
    char name[RR_ID], key[RR_ID + 32];
    rr_out o;
    /* A request's name is never used again: token, counter. */
    g_snprintf(name, sizeof name, "rr-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, c->term.token,
               ++c->counter);
    rr_hire_key(name, key, sizeof key);
    rr_out_init(&o);
    rr_put_map(&o, 4);
    rr_put_key_text(&o, "build", rr_names_at(&c->builds, r->build));
    rr_put_key_text(&o, "ward", rr_names_at(&c->wards, r->ward));
    rr_put_key_bool(&o, "loaners", r->loaners);
    rr_put_key_u64(&o, "n", (uint64_t)n);
    rr_txn_guard(&out->txn, key, 0);
    rr_txn_put(&out->txn, key, &o, 0);
}

/* Intents for what is to be rented, less what is under way. */
static void put_intents(rr_core *c, const GArray *rents, rr_step *out) {
    for (guint i = 0; i < rents->len; i++) {
        const struct rent *r = &g_array_index(rents, struct rent, i);
        int left = r->count - pending_for(c, r);
        while (left > 0 && (int)out->txn.changes->len < rr_txn_ops(c->cfg) &&
               g_hash_table_size(c->hires) + out->txn.changes->len < HIRES_MAX) {
            int n = MIN(left, HIRE_MAX);
            put_intent(c, r, n, out);
            left -= n;
        }
    }
}

static bool step_rent(rr_core *c, double now, double wall, rr_step *out) {
    if (now - c->sim_at < 1 || !c->list_read || !c->catalog_known) {
        return false;
    }
    c->sim_at = now;
    guint in_ward[c->wards.names->len + 1];
    memset(in_ward, 0, sizeof in_ward);
    struct sim s = {
        c, now, wall, g_array_new(FALSE, FALSE, sizeof(struct rent)), g_ptr_array_new(), in_ward};
    rr_sim_reset(c);
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->surplus = true;
        in_ward[m->ward >= 0 && m->recorded ? (guint)m->ward : c->wards.names->len]++;
    }
    sort_roomy(&s);
    demand_waiting(&s);
    demand_headroom(&s);
    rr_note_cuts(c, now);
    for (guint i = 0; i < c->machine_list->len; i++) {
        judge(c, g_ptr_array_index(c->machine_list, i), now, wall);
    }
    put_intents(c, s.rents, out);
    g_array_free(s.rents, TRUE);
    g_ptr_array_free(s.roomy, TRUE);
    return out->txn.changes->len > 0;
}

static void begin_stewardship(rr_core *c, double now) {
    c->steward_token = c->term.token;
    c->steward_since = now;
    c->list_at = c->sim_at = 0;
    c->list_read = false;
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->list_failed = m->listed = m->surplus = m->dead = m->releasing = false;
        m->give_up = m->ret; /* what was to go back goes, unless it is judged to have work */
        m->dead = m->ret && m->places->len > 0 && !rr_machine_fresh(c, m, now);
        m->probe_fails = 0;
        m->deaf_probes = 0;
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->hires);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_hire *h = v;
        h->answered = h->refused = false;
        h->tried_at = 0;
        g_ptr_array_set_size(h->ids, 0);
    }
    rr_log_at(c, RR_LOG_INFO, "steward of term %" G_GUINT64_FORMAT, c->term.token);
}

void rr_core_steward_step(rr_core *c, double now, double wall, rr_step *out) {
    out->kind = RR_STEP_NONE;
    if (!rr_core_is_steward(c, now) || !rr_core_settled(c) || c->anew) {
        return;
    }
    if (c->steward_token != c->term.token) {
        begin_stewardship(c, now);
    }
    if (step_records(c, now, wall, out) || step_hires_done(c, now, out) ||
        step_catalog(c, now, out) || step_rent(c, now, wall, out)) {
        if (out->kind == RR_STEP_NONE) {
            out->kind = RR_STEP_TXN;
        }
    } else if (step_hire(c, now, wall, out)) {
        out->kind = RR_STEP_HIRE;
    } else if (step_release(c, now, out)) {
        out->kind = RR_STEP_RELEASE;
    } else if (c->list_at == 0 || now - c->list_at > c->cfg->tune.cloud_list_s) {
        c->list_at = now;
        out->kind = RR_STEP_LIST;
    }
    if (out->kind == RR_STEP_TXN) {
        rr_txn_guard(&out->txn, RR_ROOT "term", c->term.mark);
    }
}
