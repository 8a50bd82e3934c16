/* Machine types and the fleet as the mirror has them: the catalogue's records, and pages of
 * machines, which the provisioner writes. A machine belongs to the core; it goes with its record,
 * or stays as a name while the ledger has anything on it. */
#include "core/model.h"

#include <string.h>

/* ---- builds ---- */

const rr_machine_type *rr_machine_type_at(const rr_core *c, int build) {
    if (build < 0 || (guint)build >= c->build_info->len) {
        return NULL;
    }
    const rr_machine_type *b = &g_array_index(c->build_info, rr_machine_type, build);
    return b->name[0] ? b : NULL;
}

static int machine_type_index(rr_core *c, const char *sku) {
    int i = rr_name_index_add(&c->machine_types, sku);
    if ((guint)i >= c->build_info->len) {
        g_array_set_size(c->build_info, (guint)i + 1);
    }
    return i;
}

void rr_machine_type_put(rr_core *c, const msgpack_object *v) {
    rr_machine_type b;
    if (rr_machine_type_decode(v, &b) != 0) {
        rr_machine_type_clear(&b);
        return;
    }
    int index = machine_type_index(c, b.name); /* may move the array */
    rr_machine_type *slot = &g_array_index(c->build_info, rr_machine_type, index);
    rr_machine_type_clear(slot);
    *slot = b;
    for (guint i = 0; i < b.zones->len; i++) {
        rr_name_index_add(&c->zones, g_ptr_array_index(b.zones, i));
    }
    c->catalog_known = true;
}

rr_resources rr_machine_capacity(const rr_core *c, const rr_machine *m) {
    const rr_machine_type *b = rr_machine_type_at(c, m->machine_type);
    return b ? (rr_resources){b->cpus, b->gpus, b->mem_gb} : (rr_resources){0, 0, 0};
}

/* Machines that stood there before the service did are the paper's private cluster: they cost
 * nothing more by being used and are never returned. */
double rr_machine_price(const rr_core *c, const rr_machine *m) {
    const rr_machine_type *b = rr_machine_type_at(c, m->machine_type);
    if (m->operator_owned || !b) {
        return 0;
    }
    return m->spot ? b->spot_price : b->price;
}

/* ---- the fleet ---- */

#define FLAG_SPOT 1
#define FLAG_OPERATOR_OWNED 2
#define FLAG_SCALING_IN 4

size_t rr_machine_page_entry_bytes(const rr_core *c, const rr_machine *m) {
    return 44 + strlen(m->name) + strlen(m->address) +
           strlen(rr_name_index_at(&c->machine_types, m->machine_type)) +
           strlen(rr_name_index_at(&c->zones, m->zone));
}

void rr_machine_page_encode(const rr_core *c, rr_encoder *o, const GPtrArray *machines) {
    rr_encode_map(o, 1);
    rr_encode_text(o, "stones");
    rr_encode_array(o, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        const rr_machine *m = g_ptr_array_index(machines, i);
        rr_encode_array(o, 6);
        rr_encode_text(o, m->name);
        rr_encode_text(o, m->address);
        rr_encode_text(o, rr_name_index_at(&c->machine_types, m->machine_type));
        rr_encode_text(o, rr_name_index_at(&c->zones, m->zone));
        rr_encode_u64(o, (uint64_t)((m->spot ? FLAG_SPOT : 0) |
                                    (m->operator_owned ? FLAG_OPERATOR_OWNED : 0) |
                                    (m->to_release ? FLAG_SCALING_IN : 0)));
        rr_encode_u64(o, m->created_at > 0 ? (uint64_t)m->created_at : 0);
    }
}

/* Its record no longer has it: it is gone: so is all that was on it. What the ledger has there goes
 * with its owners' next plans; until then the machine stays as a name. */
void rr_machine_record_removed(rr_core *c, rr_machine *m, double now) {
    double *at = g_new(double, 1);
    *at = now;
    g_hash_table_replace(c->gone, g_strdup(m->name), at);
    m->recorded = m->to_record = false;
    m->gone = true;
    if (m->placements->len == 0) {
        rr_machine_forget(c, m);
    } else {
        rr_mark_dirty(c, m);
    }
}

static void page_entry(rr_core *c, const msgpack_object *o, uint32_t page, double now) {
    char name[RR_ID_SIZE], addr[RR_ID_SIZE], build[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    uint64_t flags;
    const msgpack_object *f = o->type == MSGPACK_OBJECT_ARRAY ? o->via.array.ptr : NULL;
    if (!f || o->via.array.size < 6 || !rr_object_text(&f[0], name, sizeof name) || !name[0] ||
        !rr_object_text(&f[1], addr, sizeof addr) || !rr_object_text(&f[2], build, sizeof build) ||
        !rr_object_text(&f[3], zone, sizeof zone) || !rr_object_u64(&f[4], &flags)) {
        return;
    }
    rr_machine *m = rr_machine_get(c, name, now);
    if (!m->recorded) {
        m->known_at = m->idle_since = now;
        m->recorded_while_watching = !c->rereading && !m->heartbeat_seen;
        rr_mark_dirty(c, m);
    }
    bool ret = flags & FLAG_SCALING_IN;
    m->scaling_in_at = ret && !m->scaling_in ? now : m->scaling_in_at;
    m->scaling_in = ret;
    m->recorded = m->seen_in_reload = true;
    m->gone = m->to_record = false;
    m->page = page;
    m->machine_type = machine_type_index(c, build);
    m->zone = rr_name_index_add(&c->zones, zone);
    m->spot = flags & FLAG_SPOT;
    m->operator_owned = flags & FLAG_OPERATOR_OWNED;
    c->ever_rented = c->ever_rented || !m->operator_owned;
    rr_object_number(&f[5], &m->created_at);
    if (!m->heartbeat_seen && addr[0]) {
        g_strlcpy(m->address, addr, sizeof m->address);
    }
}

/* Machines of the page that its record no longer has. */
static void drop_unkept(rr_core *c, uint32_t page, double now) {
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (m->recorded && m->page == page && !m->seen_in_reload) {
            rr_machine_record_removed(c, m, now);
        }
    }
}

void rr_machine_page_put(rr_core *c, const char *rest, const msgpack_object *v, uint64_t mark,
                         double now) {
    uint32_t id = (uint32_t)g_ascii_strtoull(rest, NULL, 10);
    rr_machine_page *p = g_hash_table_lookup(c->pages, GUINT_TO_POINTER(id));
    const msgpack_object *list = rr_map_get(v, "stones");
    if (id == 0 || !list || list->type != MSGPACK_OBJECT_ARRAY || (p && mark < p->version)) {
        return;
    }
    if (!p) {
        p = g_new0(rr_machine_page, 1);
        p->id = id;
        g_hash_table_insert(c->pages, GUINT_TO_POINTER(id), p);
    }
    p->version = mark;
    p->seen_in_reload = true;
    p->entry_count = list->via.array.size;
    c->next_page = id >= c->next_page ? id + 1 : c->next_page;
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->seen_in_reload = m->seen_in_reload && m->page != id;
    }
    p->bytes = 0;
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        page_entry(c, &list->via.array.ptr[i], id, now);
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        p->bytes += m->recorded && m->page == id && m->seen_in_reload
                        ? rr_machine_page_entry_bytes(c, m)
                        : 0;
    }
    drop_unkept(c, id, now);
}

void rr_machine_page_delete(rr_core *c, const char *rest, uint64_t mark, double now) {
    uint32_t id = (uint32_t)g_ascii_strtoull(rest, NULL, 10);
    const rr_machine_page *p = g_hash_table_lookup(c->pages, GUINT_TO_POINTER(id));
    if (!p || mark < p->version) {
        return;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->seen_in_reload = m->seen_in_reload && m->page != id;
    }
    drop_unkept(c, id, now);
    g_hash_table_remove(c->pages, GUINT_TO_POINTER(id));
}
