/* Machine types and the fleet as the store cache has them: the catalogue's records, and pages of
 * machines, which the autoscaler writes. A machine belongs to the core; it goes with its record,
 * or stays as a name while the ledger has anything on it. */
#include "core/state/machine_pages.h"
#include "core/core_internal.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/resources.h"

#include <string.h>

/* ---- builds ---- */

const rr_machine_type *rr_machine_type_at(const rr_core *core, int machine_type) {
    if (machine_type < 0 || (guint)machine_type >= core->stored.machine_types->len) {
        return NULL;
    }
    const rr_machine_type *type =
        &g_array_index(core->stored.machine_types, rr_machine_type, machine_type);
    return type->name[0] ? type : NULL;
}

static int machine_type_index(rr_core *core, const char *type_name) {
    int i = rr_name_index_add(&core->stored.machine_type_names, type_name);
    if ((guint)i >= core->stored.machine_types->len) {
        g_array_set_size(core->stored.machine_types, (guint)i + 1);
    }
    return i;
}

void rr_machine_type_put(rr_core *core, const msgpack_object *value) {
    rr_machine_type type;
    if (rr_machine_type_decode(value, &type) != 0) {
        rr_machine_type_clear(&type);
        return;
    }
    int index = machine_type_index(core, type.name); /* may move the array */
    rr_machine_type *slot = &g_array_index(core->stored.machine_types, rr_machine_type, index);
    rr_machine_type_clear(slot);
    *slot = type;
    for (guint i = 0; i < type.zones->len; i++) {
        rr_name_index_add(&core->stored.zones, g_ptr_array_index(type.zones, i));
    }
    core->stored.catalog_known = true;
}

rr_resources rr_machine_capacity(const rr_core *core, const rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    return type ? (rr_resources){type->cpus, type->gpus, type->mem_gb} : (rr_resources){0, 0, 0};
}

/* Machines that stood there before the service did are the paper's private cluster: they cost
 * nothing more by being used and are never returned. */
double rr_machine_price(const rr_core *core, const rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    if (machine->operator_owned || !type) {
        return 0;
    }
    return machine->spot ? type->spot_price : type->price;
}

/* ---- the fleet ---- */

#define FLAG_SPOT 1
#define FLAG_OPERATOR_OWNED 2
#define FLAG_SCALING_IN 4

size_t rr_machine_page_entry_bytes(const rr_core *core, const rr_machine *machine) {
    return 44 + strlen(machine->name) + strlen(machine->address) +
           strlen(rr_name_index_at(&core->stored.machine_type_names, machine->machine_type)) +
           strlen(rr_name_index_at(&core->stored.zones, machine->zone));
}

void rr_machine_page_encode(const rr_core *core, rr_encoder *encoder, const GPtrArray *machines) {
    rr_encode_map(encoder, 1);
    rr_encode_text(encoder, "stones");
    rr_encode_array(encoder, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        const rr_machine *machine = g_ptr_array_index(machines, i);
        rr_encode_array(encoder, 6);
        rr_encode_text(encoder, machine->name);
        rr_encode_text(encoder, machine->address);
        rr_encode_text(encoder,
                       rr_name_index_at(&core->stored.machine_type_names, machine->machine_type));
        rr_encode_text(encoder, rr_name_index_at(&core->stored.zones, machine->zone));
        rr_encode_u64(encoder, (uint64_t)((machine->spot ? FLAG_SPOT : 0) |
                                          (machine->operator_owned ? FLAG_OPERATOR_OWNED : 0) |
                                          (machine->to_release ? FLAG_SCALING_IN : 0)));
        rr_encode_u64(encoder, machine->created_at > 0 ? (uint64_t)machine->created_at : 0);
    }
}

/* Its record no longer has it: it is gone: so is all that was on it. What the ledger has there goes
 * with its owners' next plans; until then the machine stays as a name. */
void rr_machine_record_removed(rr_core *core, rr_machine *machine, double now) {
    double *when = g_new(double, 1);
    *when = now;
    g_hash_table_replace(core->stored.gone_machines, g_strdup(machine->name), when);
    machine->recorded = machine->to_record = false;
    machine->gone = true;
    if (machine->placements->len == 0) {
        rr_machine_forget(core, machine);
    } else {
        rr_mark_dirty(core, machine);
    }
}

static void page_entry(rr_core *core, const msgpack_object *object, uint32_t page, double now) {
    char name[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    uint64_t flags;
    const msgpack_object *fields =
        object->type == MSGPACK_OBJECT_ARRAY ? object->via.array.ptr : NULL;
    if (!fields || object->via.array.size < 6 || !rr_object_text(&fields[0], name, sizeof name) ||
        !name[0] || !rr_object_text(&fields[1], address, sizeof address) ||
        !rr_object_text(&fields[2], machine_type, sizeof machine_type) ||
        !rr_object_text(&fields[3], zone, sizeof zone) || !rr_object_u64(&fields[4], &flags)) {
        return;
    }
    rr_machine *machine = rr_machine_get(core, name, now);
    if (!machine->recorded) {
        machine->known_at = machine->idle_since = now;
        machine->recorded_while_watching = !core->stored.reloading && !machine->heartbeat_seen;
        rr_mark_dirty(core, machine);
    }
    bool ret = flags & FLAG_SCALING_IN;
    machine->scaling_in_at = ret && !machine->scaling_in ? now : machine->scaling_in_at;
    machine->scaling_in = ret;
    machine->recorded = machine->seen_in_reload = true;
    machine->gone = machine->to_record = false;
    machine->page = page;
    machine->machine_type = machine_type_index(core, machine_type);
    machine->zone = rr_name_index_add(&core->stored.zones, zone);
    machine->spot = flags & FLAG_SPOT;
    machine->operator_owned = flags & FLAG_OPERATOR_OWNED;
    core->autoscaling.ever_rented = core->autoscaling.ever_rented || !machine->operator_owned;
    rr_object_number(&fields[5], &machine->created_at);
    if (!machine->heartbeat_seen && address[0]) {
        g_strlcpy(machine->address, address, sizeof machine->address);
    }
}

/* Machines of the page that its record no longer has. */
static void drop_unkept(rr_core *core, uint32_t page, double now) {
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (machine->recorded && machine->page == page && !machine->seen_in_reload) {
            rr_machine_record_removed(core, machine, now);
        }
    }
}

void rr_machine_page_put(rr_core *core, const char *rest, const msgpack_object *value,
                         uint64_t version, double now) {
    uint32_t id = (uint32_t)g_ascii_strtoull(rest, NULL, 10);
    rr_machine_page *page = g_hash_table_lookup(core->stored.pages, GUINT_TO_POINTER(id));
    const msgpack_object *list = rr_map_get(value, "stones");
    if (id == 0 || !list || list->type != MSGPACK_OBJECT_ARRAY ||
        (page && version < page->version)) {
        return;
    }
    if (!page) {
        page = g_new0(rr_machine_page, 1);
        page->id = id;
        g_hash_table_insert(core->stored.pages, GUINT_TO_POINTER(id), page);
    }
    page->version = version;
    page->seen_in_reload = true;
    page->entry_count = list->via.array.size;
    core->stored.next_page = id >= core->stored.next_page ? id + 1 : core->stored.next_page;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->seen_in_reload = machine->seen_in_reload && machine->page != id;
    }
    page->bytes = 0;
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        page_entry(core, &list->via.array.ptr[i], id, now);
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        page->bytes += machine->recorded && machine->page == id && machine->seen_in_reload
                           ? rr_machine_page_entry_bytes(core, machine)
                           : 0;
    }
    drop_unkept(core, id, now);
}

void rr_machine_page_delete(rr_core *core, const char *rest, uint64_t version, double now) {
    uint32_t id = (uint32_t)g_ascii_strtoull(rest, NULL, 10);
    const rr_machine_page *page = g_hash_table_lookup(core->stored.pages, GUINT_TO_POINTER(id));
    if (!page || version < page->version) {
        return;
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->seen_in_reload = machine->seen_in_reload && machine->page != id;
    }
    drop_unkept(core, id, now);
    g_hash_table_remove(core->stored.pages, GUINT_TO_POINTER(id));
}
