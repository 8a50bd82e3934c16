#include "admission/table.h"

#include <errno.h>
#include <string.h>

#define HEAD_BYTES 256 /* of a record's JSON beside its rows, with room to spare */
#define ROW_BYTES 56   /* of a row's JSON at most: three integers */
#define TEAM_BYTES 64  /* of a team's JSON beside its name */
#define LENGTH_MAX_S 86400.0

void rr_admission_table_init(rr_admission_table *table) {
    memset(table, 0, sizeof *table);
    table->rows = g_array_new(FALSE, TRUE, sizeof(rr_admission_row));
    table->teams = g_array_new(FALSE, TRUE, sizeof(rr_admission_team));
}

void rr_admission_table_clear(rr_admission_table *table) {
    if (table->rows) {
        g_array_free(table->rows, TRUE);
        g_array_free(table->teams, TRUE);
    }
    memset(table, 0, sizeof *table);
}

static gint by_id(gconstpointer left_item, gconstpointer right_item) {
    const rr_admission_row *left = left_item, *right = right_item;
    return left->id < right->id ? -1 : left->id > right->id;
}

void rr_admission_table_sort(rr_admission_table *table) {
    g_array_sort(table->rows, by_id);
}

const rr_admission_row *rr_admission_table_row(const rr_admission_table *table, uint64_t id) {
    guint low = 0, high = table->rows->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const rr_admission_row *row = &g_array_index(table->rows, rr_admission_row, middle);
        if (row->id == id) {
            return row;
        }
        if (row->id < id) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return NULL;
}

const rr_admission_team *rr_admission_table_team(const rr_admission_table *table,
                                                 const char *name) {
    for (guint i = 0; i < table->teams->len; i++) {
        const rr_admission_team *team = &g_array_index(table->teams, rr_admission_team, i);
        if (strcmp(team->name, name) == 0) {
            return team;
        }
    }
    return NULL;
}

void rr_admission_record_key(uint64_t sequence, guint part, char *out, size_t size) {
    g_snprintf(out, size, RR_ADMISSION_PREFIX "%u/%u", (unsigned)(sequence % 2), part);
}

/* ---- encoding ---- */

static gint by_share(gconstpointer left_item, gconstpointer right_item) {
    const rr_admission_row *left = left_item, *right = right_item;
    if (left->share != right->share) {
        return left->share < right->share ? -1 : 1;
    }
    return left->id < right->id ? -1 : left->id > right->id;
}

static void put_row(rr_encoder *out, const rr_admission_row *row) {
    rr_encode_array(out, 3);
    rr_encode_u64(out, row->id);
    rr_encode_u64(out, row->phase);
    rr_encode_u64(out, row->share);
}

#define CORRECTION_UNIT                                                                            \
    1000.0 /* rooms and corrections are written as thousandths and millionths                      \
            */
#define ROOM_UNIT 1e6

static void put_team(rr_encoder *out, const rr_admission_team *team) {
    rr_encode_array(out, 3);
    rr_encode_text(out, team->name);
    rr_encode_u64(out, (uint64_t)(team->room * ROOM_UNIT));
    rr_encode_u64(out, (uint64_t)(team->correction * CORRECTION_UNIT));
}

/* How many entries, from `from` on, one record takes beside what it has. */
static guint entries_that_fit(const rr_admission_table *table, bool teams, guint from,
                              size_t *room) {
    guint count = 0, all = teams ? table->teams->len : table->rows->len;
    while (from + count < all) {
        size_t size = ROW_BYTES;
        if (teams) {
            const rr_admission_team *team =
                &g_array_index(table->teams, rr_admission_team, from + count);
            size = TEAM_BYTES + strlen(team->name);
        }
        if (size > *room) {
            break;
        }
        *room -= size;
        count++;
    }
    return count;
}

struct part {
    guint team, teams, row, rows; /* first and number of each */
};

static guint part_table(const rr_admission_table *table, size_t value_bytes, guint most,
                        struct part *parts) {
    guint count = 0, team = 0, row = 0;
    most = MIN(most, RR_ADMISSION_PARTS_MAX);
    while (count < most && (count == 0 || team < table->teams->len || row < table->rows->len)) {
        size_t room = value_bytes > HEAD_BYTES ? value_bytes - HEAD_BYTES : 0;
        struct part *part = &parts[count++];
        *part = (struct part){.team = team, .row = row};
        part->teams = entries_that_fit(table, true, team, &room);
        team += part->teams;
        part->rows = team == table->teams->len ? entries_that_fit(table, false, row, &room) : 0;
        row += part->rows;
        if (part->teams + part->rows == 0) {
            break;
        }
    }
    return count;
}

guint rr_admission_table_encode(const rr_admission_table *table, size_t value_bytes, guint most,
                                rr_encoder *out) {
    struct part parts[RR_ADMISSION_PARTS_MAX];
    rr_admission_table sorted = *table;
    sorted.rows = g_array_copy(table->rows);
    g_array_sort(sorted.rows, by_share);
    guint count = part_table(&sorted, value_bytes, most, parts);
    for (guint i = 0; i < count; i++) {
        const struct part *part = &parts[i];
        rr_encoder *record = &out[i];
        rr_encoder_init(record);
        rr_encode_map(record, 11);
        rr_encode_key_u64(record, "v", RR_ADMISSION_VERSION);
        rr_encode_key_u64(record, "sequence", table->sequence);
        rr_encode_key_u64(record, "parts", count);
        rr_encode_key_number(record, "starts_at", table->starts_at);
        rr_encode_key_number(record, "length_s", table->length_s);
        rr_encode_key_bool(record, "active", table->active);
        rr_encode_key_number(record, "cpu", table->cpus);
        rr_encode_key_number(record, "gpu", table->gpus);
        rr_encode_key_number(record, "mem", table->mem_gb);
        rr_encode_text(record, "teams");
        rr_encode_array(record, part->teams);
        for (guint k = 0; k < part->teams; k++) {
            put_team(record, &g_array_index(table->teams, rr_admission_team, part->team + k));
        }
        rr_encode_text(record, "rows");
        rr_encode_array(record, part->rows);
        for (guint k = 0; k < part->rows; k++) {
            put_row(record, &g_array_index(sorted.rows, rr_admission_row, part->row + k));
        }
    }
    g_array_free(sorted.rows, TRUE);
    return count;
}

/* ---- decoding ---- */

static bool triple(const msgpack_object *object) {
    return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == 3;
}

static bool get_row(const msgpack_object *object, rr_admission_row *row) {
    uint64_t phase;
    if (!triple(object) || !rr_object_u64(&object->via.array.ptr[0], &row->id) ||
        !rr_object_u64(&object->via.array.ptr[1], &phase) ||
        !rr_object_u64(&object->via.array.ptr[2], &row->share) || phase >= RR_ADMISSION_FULL ||
        row->share > RR_ADMISSION_FULL) {
        return false;
    }
    row->phase = (uint32_t)phase;
    return true;
}

static bool get_team(const msgpack_object *object, rr_admission_team *team) {
    uint64_t room, correction;
    if (!triple(object) ||
        !rr_object_text(&object->via.array.ptr[0], team->name, sizeof team->name) ||
        !rr_object_u64(&object->via.array.ptr[1], &room) ||
        !rr_object_u64(&object->via.array.ptr[2], &correction)) {
        return false;
    }
    team->room = (double)room / ROOM_UNIT;
    team->correction = (double)correction / CORRECTION_UNIT;
    return true;
}

static const msgpack_object_array *list_of(const msgpack_object *map, const char *key) {
    const msgpack_object *object = rr_map_get(map, key);
    return object && object->type == MSGPACK_OBJECT_ARRAY ? &object->via.array : NULL;
}

/* Reads a record into an empty table. */
static bool read_record(const msgpack_object *value, rr_admission_table *table, uint64_t *parts) {
    uint64_t version;
    const msgpack_object_array *rows = list_of(value, "rows"), *teams = list_of(value, "teams");
    if (!rr_map_get_u64(value, "v", &version) || version != RR_ADMISSION_VERSION || !rows ||
        !teams || !rr_map_get_u64(value, "sequence", &table->sequence) || table->sequence == 0 ||
        !rr_map_get_u64(value, "parts", parts) || *parts == 0 || *parts > RR_ADMISSION_PARTS_MAX ||
        !rr_map_get_number(value, "starts_at", &table->starts_at) ||
        !rr_map_get_number(value, "length_s", &table->length_s) || !(table->length_s > 0) ||
        table->length_s > LENGTH_MAX_S || !rr_map_get_bool(value, "active", &table->active) ||
        !rr_map_get_number(value, "cpu", &table->cpus) ||
        !rr_map_get_number(value, "gpu", &table->gpus) ||
        !rr_map_get_number(value, "mem", &table->mem_gb)) {
        return false;
    }
    for (uint32_t i = 0; i < rows->size; i++) {
        rr_admission_row row;
        if (!get_row(&rows->ptr[i], &row)) {
            return false;
        }
        g_array_append_val(table->rows, row);
    }
    for (uint32_t i = 0; i < teams->size; i++) {
        rr_admission_team team;
        memset(&team, 0, sizeof team);
        if (!get_team(&teams->ptr[i], &team)) {
            return false;
        }
        g_array_append_val(table->teams, team);
    }
    return true;
}

static void start_table(rr_admission_slot *slot, const rr_admission_table *head, guint parts) {
    rr_admission_table_clear(&slot->table);
    rr_admission_table_init(&slot->table);
    slot->table.sequence = head->sequence;
    slot->table.starts_at = head->starts_at;
    slot->table.length_s = head->length_s;
    slot->table.active = head->active;
    slot->table.cpus = head->cpus;
    slot->table.gpus = head->gpus;
    slot->table.mem_gb = head->mem_gb;
    slot->parts = parts;
    slot->have = 0;
}

int rr_admission_slot_put(rr_admission_slot *slot, guint part, const msgpack_object *value,
                          uint64_t version) {
    rr_admission_table read;
    uint64_t parts = 0;
    if (part >= RR_ADMISSION_PARTS_MAX) {
        return -EPROTO;
    }
    bool known = slot->versions[part] == version && slot->have >> part & 1;
    slot->versions[part] = version;
    rr_admission_table_init(&read);
    int rc = -EPROTO;
    if (read_record(value, &read, &parts) && part < parts) {
        rc = 0;
        if (read.sequence > slot->table.sequence) {
            start_table(slot, &read, (guint)parts);
        }
        if (read.sequence == slot->table.sequence && parts == slot->parts && !known) {
            g_array_append_vals(slot->table.rows, read.rows->data, read.rows->len);
            g_array_append_vals(slot->table.teams, read.teams->data, read.teams->len);
            slot->have |= 1U << part;
            if (slot->have == (1U << slot->parts) - 1) {
                rr_admission_table_sort(&slot->table);
                rc = 1;
            }
        }
    }
    rr_admission_table_clear(&read);
    return rc;
}
