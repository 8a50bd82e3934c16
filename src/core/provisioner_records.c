/* The provisioner's records of machines: pages of the fleet, many machines in each. */
#include "core/provisioner.h"

#include <string.h>

#define TXN_KB 48   /* of the store's 64 for a transaction */
#define PAGES_MAX 8 /* pages changed in one step: none of the others may wait long */

/* Pages that change in this step: id -> GPtrArray of the machines they will have. */
struct pages {
    rr_core *core;
    GHashTable *changed;
    int room; /* pages that the transaction takes yet */
};

static size_t page_bytes(const rr_core *c, const GPtrArray *list) {
    size_t n = 64;
    for (guint i = 0; i < list->len; i++) {
        n += rr_machine_page_entry_bytes(c, g_ptr_array_index(list, i));
    }
    return n;
}

static double page_bytes_max(const rr_core *c) {
    return rr_value_kb_max(c->config) * 1024 - 128;
}

/* NULL: not in this step, or not before the page is parted. */
static GPtrArray *change_page(struct pages *p, uint32_t id) {
    GPtrArray *list = g_hash_table_lookup(p->changed, GUINT_TO_POINTER(id));
    if (list || p->room == 0) {
        return list;
    }
    list = g_ptr_array_new();
    for (guint i = 0; i < p->core->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(p->core->machine_list, i);
        if (m->recorded && m->page == id) {
            g_ptr_array_add(list, m);
        }
    }
    /* Only where it will be parted. A page grows a little as addresses come to be known: where no
     * lower limit is to come it was left alone for good, and none of its machines went back. */
    if (rr_value_kb_max(p->core->config) < p->core->config->value_kb &&
        (double)page_bytes(p->core, list) > page_bytes_max(p->core)) {
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
static void split_page(struct pages *p, uint32_t id) {
    GPtrArray *moved = g_ptr_array_new();
    size_t left = 64, taken = 64;
    for (guint i = 0; i < p->core->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(p->core->machine_list, i);
        size_t bytes = m->recorded && m->page == id ? rr_machine_page_entry_bytes(p->core, m) : 0;
        if (bytes > 0 && (double)(left + bytes) > 0.75 * page_bytes_max(p->core)) {
            if ((double)(taken + bytes) <= page_bytes_max(p->core)) {
                g_ptr_array_add(moved, m);
                taken += bytes;
            }
        } else {
            left += bytes;
        }
    }
    g_hash_table_insert(p->changed, GUINT_TO_POINTER(p->core->next_page++), moved);
    p->room--;
}

struct page_count {
    guint count;
    size_t bytes;
};

/* Pages too large to be written again are parted; those that still name machines which are in
 * another page by now are written anew. */
static void part_pages(struct pages *p) {
    const rr_core *c = p->core;
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
            n->count++;
            n->bytes += rr_machine_page_entry_bytes(c, m);
        }
    }
    g_hash_table_iter_init(&it, c->pages);
    while (p->room > 0 && g_hash_table_iter_next(&it, &k, &v)) {
        const struct page_count *n = g_hash_table_lookup(counts, k);
        if (n && (double)n->bytes > page_bytes_max(c)) {
            split_page(p, GPOINTER_TO_UINT(k));
        } else if (((const rr_machine_page *)v)->entry_count > (n ? n->count : 0)) {
            change_page(p, GPOINTER_TO_UINT(k));
        }
    }
    g_hash_table_destroy(counts);
}

#define PART_EVERY_S 0.5

/* The page that takes one machine more: one that changes anyway, else any with room, else a new
 * one. NULL: not in this step. */
static GPtrArray *page_with_room(struct pages *p, const rr_machine *m) {
    double most = page_bytes_max(p->core);
    size_t need = rr_machine_page_entry_bytes(p->core, m);
    GHashTableIter it;
    gpointer k, v;
    g_hash_table_iter_init(&it, p->changed);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if ((double)(page_bytes(p->core, v) + need) <= most) {
            return v;
        }
    }
    g_hash_table_iter_init(&it, p->core->pages);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        if (!g_hash_table_contains(p->changed, k) &&
            (double)(64 + ((rr_machine_page *)v)->bytes + need) <= most) {
            return change_page(p, GPOINTER_TO_UINT(k));
        }
    }
    return change_page(p, p->core->next_page++);
}

static bool to_record(const rr_core *c, const rr_machine *m, double now) {
    if (m->recorded || m->gone || m->machine_type < 0 || m->zone < 0) {
        return false;
    }
    /* One that only reports have told of: a late copy of a report creates nothing, so it has to
     * answer us first. */
    return m->to_record || (m->heartbeat_seen && m->verified && c->list_read &&
                            now - m->heartbeat_at < 2 * c->config->heartbeat_interval_s &&
                            !rr_recently_gone(c, m->name, now));
}

static void record_machine(struct pages *p, rr_machine *m, double now, double wall) {
    GPtrArray *list;
    if (m->recorded && m->list_failed) {
        if ((list = change_page(p, m->page))) {
            g_ptr_array_remove(list, m);
        }
    } else if (m->recorded && m->to_release != m->scaling_in) {
        change_page(p, m->page); /* written with the new flag; the mirror follows */
    } else if (to_record(p->core, m, now) && (list = page_with_room(p, m))) {
        m->created_at = m->created_at > 0 ? m->created_at : wall;
        g_ptr_array_add(list, m);
        rr_log_at(p->core, RR_LOG_DEBUG, "record %s (%s)", m->name,
                  m->operator_owned ? "standing" : "rented");
    }
}

/* Machines that came, are to go back or are gone, many in a change. */
bool rr_autoscaler_step_records(rr_core *c, double now, double wall, rr_autoscaler_step *out) {
    rr_transaction *t = &out->transaction;
    char key[RR_ID_SIZE];
    GHashTableIter it;
    gpointer k, v;
    int most = (int)(TXN_KB / rr_value_kb_max(c->config));
    most = most < 1                                       ? 1
           : most > rr_transaction_changes_max(c->config) ? rr_transaction_changes_max(c->config)
                                                          : most;
    struct pages p = {c, g_hash_table_new(NULL, NULL), most < PAGES_MAX ? most : PAGES_MAX};
    if (rr_value_kb_max(c->config) < c->config->value_kb && now - c->parted_at > PART_EVERY_S) {
        c->parted_at = now;
        part_pages(&p);
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        record_machine(&p, g_ptr_array_index(c->machine_list, i), now, wall);
    }
    g_hash_table_iter_init(&it, p.changed);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const rr_machine_page *page = g_hash_table_lookup(c->pages, k);
        rr_encoder o;
        rr_encoder_init(&o);
        rr_machine_page_encode(c, &o, v);
        rr_machine_page_key(GPOINTER_TO_UINT(k), key, sizeof key);
        rr_transaction_guard(t, key, page ? page->version : 0);
        rr_transaction_put(t, key, &o, 0);
        g_ptr_array_free(v, TRUE);
    }
    g_hash_table_destroy(p.changed);
    return t->changes->len > 0;
}
