/* Machine types and machine pages in the store cache. A machine whose record was removed stays in
 * the cache while the ledger has placements on it. */
#include "core/state/machine_pages.h"
#include "core/core_internal.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/resources.h"
#include "core/state/store_keys.h"
#include "wire/wire_words.h"

#include <string.h>

/* ---- machine types ---- */

const rr_machine_type *rr_machine_type_at(const rr_core *core, int machine_type) {
    if (machine_type < 0 || (guint)machine_type >= core->stored.machine_types->len) {
        return NULL;
    }
    const rr_machine_type *type =
        &g_array_index(core->stored.machine_types, rr_machine_type, machine_type);
    return type->name[0] ? type : NULL;
}

/* Returns the index of the machine type, a new one if the name is unknown. May move the array of
 * machine types. */
static int find_or_add_machine_type(rr_core *core, const char *type_name) {
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
    int index = find_or_add_machine_type(core, type.name);
    rr_machine_type *stored_type =
        &g_array_index(core->stored.machine_types, rr_machine_type, index);
    rr_machine_type_clear(stored_type);
    *stored_type = type;
    for (guint i = 0; i < type.zones->len; i++) {
        rr_name_index_add(&core->stored.zones, g_ptr_array_index(type.zones, i));
    }
    core->stored.catalog_known = true;
}

rr_resources rr_machine_capacity(const rr_core *core, const rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    return type ? (rr_resources){type->cpus, type->gpus, type->mem_gb} : (rr_resources){0, 0, 0};
}

double rr_machine_price(const rr_core *core, const rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    if (machine->operator_owned || !type) {
        return 0;
    }
    return machine->spot ? type->spot_price : type->price;
}

/* ---- machine pages: arrays of [name, address, machine type, zone, flags, created at] ---- */

#define ENTRY_FIELDS 6
/* Bits of the flags field, as stored. */
#define FLAG_SPOT 1
#define FLAG_OPERATOR_OWNED 2
#define FLAG_SCALING_IN 4
#define ENTRY_BASE_BYTES 44 /* size of an entry without its strings, in bytes of JSON */

void rr_machine_page_key(uint32_t page, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_MACHINE_PAGE "%08u", page);
}

size_t rr_machine_page_entry_bytes(const rr_core *core, const rr_machine *machine) {
    return ENTRY_BASE_BYTES + strlen(machine->name) + strlen(machine->address) +
           strlen(rr_name_index_at(&core->stored.machine_type_names, machine->machine_type)) +
           strlen(rr_name_index_at(&core->stored.zones, machine->zone));
}

static uint64_t machine_flags(const rr_machine *machine) {
    return (uint64_t)((machine->spot ? FLAG_SPOT : 0) |
                      (machine->operator_owned ? FLAG_OPERATOR_OWNED : 0) |
                      (machine->to_release ? FLAG_SCALING_IN : 0));
}

static void encode_entry(const rr_core *core, rr_encoder *encoder, const rr_machine *machine) {
    rr_encode_array(encoder, ENTRY_FIELDS);
    rr_encode_text(encoder, machine->name);
    rr_encode_text(encoder, machine->address);
    rr_encode_text(encoder,
                   rr_name_index_at(&core->stored.machine_type_names, machine->machine_type));
    rr_encode_text(encoder, rr_name_index_at(&core->stored.zones, machine->zone));
    rr_encode_u64(encoder, machine_flags(machine));
    rr_encode_u64(encoder, machine->created_at > 0 ? (uint64_t)machine->created_at : 0);
}

void rr_machine_page_encode(const rr_core *core, rr_encoder *encoder, const GPtrArray *machines) {
    rr_encode_map(encoder, 1);
    rr_encode_text(encoder, RR_WORD_MACHINES);
    rr_encode_array(encoder, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        encode_entry(core, encoder, g_ptr_array_index(machines, i));
    }
}

/* Marks a machine as gone, with all tasks on it. The owners of the tasks' teams remove its
 * placements from the ledger in their next plans. A machine without placements is freed. */
static void remove_machine_record(rr_core *core, rr_machine *machine, double now) {
    double *gone_at = g_new(double, 1);
    *gone_at = now;
    g_hash_table_replace(core->stored.gone_machines, g_strdup(machine->name), gone_at);
    machine->recorded = machine->to_record = false;
    machine->gone = true;
    if (machine->placements->len == 0) {
        rr_machine_forget(core, machine);
    } else {
        rr_machine_mark_dirty(core, machine);
    }
}

/* The decoded entry of a machine. */
typedef struct {
    char name[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    uint64_t flags;                   /* FLAG_SPOT, FLAG_OPERATOR_OWNED, FLAG_SCALING_IN */
    const msgpack_object *created_at; /* time of day in seconds, points into the record */
} machine_entry;

/* Returns false if the entry is malformed. */
static bool decode_entry(const msgpack_object *object, machine_entry *out) {
    const msgpack_object *fields =
        object->type == MSGPACK_OBJECT_ARRAY ? object->via.array.ptr : NULL;
    if (!fields || object->via.array.size < ENTRY_FIELDS ||
        !rr_object_get_text(&fields[0], out->name, sizeof out->name) || !out->name[0] ||
        !rr_object_get_text(&fields[1], out->address, sizeof out->address) ||
        !rr_object_get_text(&fields[2], out->machine_type, sizeof out->machine_type) ||
        !rr_object_get_text(&fields[3], out->zone, sizeof out->zone) ||
        !rr_object_get_u64(&fields[4], &out->flags)) {
        return false;
    }
    out->created_at = &fields[5];
    return true;
}

/* Creates or updates the machine of an entry. Its address is taken only until the machine has sent
 * a heartbeat, which names the address itself. */
static void apply_entry(rr_core *core, const machine_entry *entry, uint32_t page, double now) {
    rr_machine *machine = rr_machine_get(core, entry->name, now);
    if (!machine->recorded) {
        machine->known_at = machine->idle_since = now;
        machine->recorded_while_watching = !core->stored.reloading && !machine->heartbeat_seen;
        rr_machine_mark_dirty(core, machine);
    }
    bool scaling_in = entry->flags & FLAG_SCALING_IN;
    machine->scaling_in_at = scaling_in && !machine->scaling_in ? now : machine->scaling_in_at;
    machine->scaling_in = scaling_in;
    machine->recorded = machine->seen_in_reload = true;
    machine->gone = machine->to_record = false;
    machine->page = page;
    machine->machine_type = find_or_add_machine_type(core, entry->machine_type);
    machine->zone = rr_name_index_add(&core->stored.zones, entry->zone);
    machine->spot = entry->flags & FLAG_SPOT;
    machine->operator_owned = entry->flags & FLAG_OPERATOR_OWNED;
    core->autoscaling.ever_rented = core->autoscaling.ever_rented || !machine->operator_owned;
    rr_object_get_number(entry->created_at, &machine->created_at);
    if (!machine->heartbeat_seen && entry->address[0]) {
        g_strlcpy(machine->address, entry->address, sizeof machine->address);
    }
}

/* Marks the machines of the page as not seen. */
static void mark_machines_unseen(rr_core *core, uint32_t page) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->seen_in_reload = machine->seen_in_reload && machine->page != page;
    }
}

/* Removes the records of the page's machines that no entry has marked as seen. */
static void remove_unseen_machines(rr_core *core, uint32_t page, double now) {
    /* Backwards, because removal reorders the list. */
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (machine->recorded && machine->page == page && !machine->seen_in_reload) {
            remove_machine_record(core, machine, now);
        }
    }
}

/* Returns the estimated size of the entries of the page's machines, in bytes of JSON. */
static size_t sum_entry_bytes(const rr_core *core, uint32_t page) {
    size_t bytes = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->recorded && machine->page == page && machine->seen_in_reload) {
            bytes += rr_machine_page_entry_bytes(core, machine);
        }
    }
    return bytes;
}

/* Returns 0, which no page has as its id, if the suffix is not a number. */
static uint32_t parse_page_id(const char *key_suffix) {
    return (uint32_t)g_ascii_strtoull(key_suffix, NULL, 10);
}

static rr_machine_page *find_page(const rr_core *core, uint32_t id) {
    return g_hash_table_lookup(core->stored.pages, GUINT_TO_POINTER(id));
}

static rr_machine_page *find_or_add_page(rr_core *core, uint32_t id) {
    rr_machine_page *page = find_page(core, id);
    if (!page) {
        page = g_new0(rr_machine_page, 1);
        page->id = id;
        g_hash_table_insert(core->stored.pages, GUINT_TO_POINTER(id), page);
    }
    return page;
}

void rr_machine_page_put(rr_core *core, const char *key_suffix, const msgpack_object *value,
                         uint64_t version, double now) {
    uint32_t id = parse_page_id(key_suffix);
    const rr_machine_page *known = find_page(core, id);
    const msgpack_object *entries = rr_map_get(value, RR_WORD_MACHINES);
    if (id == 0 || !entries || entries->type != MSGPACK_OBJECT_ARRAY ||
        (known && version < known->version)) {
        return;
    }
    rr_machine_page *page = find_or_add_page(core, id);
    page->version = version;
    page->seen_in_reload = true;
    page->entry_count = entries->via.array.size;
    core->stored.next_page_id =
        id >= core->stored.next_page_id ? id + 1 : core->stored.next_page_id;
    mark_machines_unseen(core, id);
    for (uint32_t i = 0; i < entries->via.array.size; i++) {
        machine_entry entry;
        if (decode_entry(&entries->via.array.ptr[i], &entry)) {
            apply_entry(core, &entry, id, now);
        }
    }
    page->bytes = sum_entry_bytes(core, id);
    remove_unseen_machines(core, id, now);
}

void rr_machine_page_delete(rr_core *core, const char *key_suffix, uint64_t version, double now) {
    uint32_t id = parse_page_id(key_suffix);
    const rr_machine_page *page = find_page(core, id);
    if (!page || version < page->version) {
        return;
    }
    mark_machines_unseen(core, id);
    remove_unseen_machines(core, id, now);
    g_hash_table_remove(core->stored.pages, GUINT_TO_POINTER(id));
}

/* ---- full reload ---- */

void rr_machine_pages_begin_reload(rr_core *core) {
    GHashTableIter iter;
    gpointer page;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->seen_in_reload = false;
    }
    g_hash_table_iter_init(&iter, core->stored.pages);
    while (g_hash_table_iter_next(&iter, NULL, &page)) {
        ((rr_machine_page *)page)->seen_in_reload = false;
    }
}

/* GHRFunc: whether the reload shows that the store no longer has the page. A page written after the
 * reload began may be missing from what it read and still exist. */
static gboolean is_page_gone_after_reload(gpointer key, gpointer value, gpointer first_revision) {
    const rr_machine_page *page = value;
    (void)key;
    return !page->seen_in_reload && page->version <= *(const uint64_t *)first_revision;
}

void rr_machine_pages_end_reload(rr_core *core, uint64_t first_revision, double now) {
    /* Backwards, because removal reorders the list. */
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        const rr_machine_page *page = find_page(core, machine->page);
        if (machine->recorded && !machine->seen_in_reload &&
            !(page && page->version > first_revision)) {
            remove_machine_record(core, machine, now);
        }
    }
    g_hash_table_foreach_remove(core->stored.pages, is_page_gone_after_reload, &first_revision);
}
