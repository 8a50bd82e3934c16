/* Encodes admission tables as records of the key-value store and assembles them again. */
#include "admission/table_records.h"

#include <errno.h>
#include <string.h>

/* Upper bounds of the JSON size of a record without its lists, of a row (three integers), and of a
 * team without its name. */
#define RECORD_HEADER_BYTES_MAX 256
#define ROW_BYTES_MAX 56
#define TEAM_BYTES_MAX 64

#define TABLE_LENGTH_MAX_S 86400.0 /* records with longer intervals are rejected */

/* Fair shares and corrections are stored as integers, as multiples of 1 / units. */
#define FAIR_SHARE_UNITS 1e6
#define CORRECTION_UNITS 1000.0

void rr_admission_format_record_key(uint64_t sequence, guint part, char *out, size_t size) {
    g_snprintf(out, size, RR_ADMISSION_KEY_PREFIX "%u/%u",
               (unsigned)(sequence % RR_ADMISSION_SLOT_COUNT), part);
}

/* ---- encoding ---- */

/* Orders rows by share, the smallest first. */
static gint compare_by_share(gconstpointer left_item, gconstpointer right_item) {
    const rr_admission_row *left = left_item, *right = right_item;
    if (left->share != right->share) {
        return left->share < right->share ? -1 : 1;
    }
    return left->id < right->id ? -1 : left->id > right->id;
}

/* The teams and rows of the table that one record holds. */
struct record_range {
    guint first_team, team_count;
    guint first_row, row_count;
};

/* Returns how many teams from `first` on fit into *bytes_left, and subtracts their size from it. */
static guint count_teams_that_fit(const rr_admission_table *table, guint first,
                                  size_t *bytes_left) {
    guint count = 0;
    while (first + count < table->teams->len) {
        const rr_admission_team *team =
            &g_array_index(table->teams, rr_admission_team, first + count);
        size_t bytes = TEAM_BYTES_MAX + strlen(team->name);
        if (bytes > *bytes_left) {
            break;
        }
        *bytes_left -= bytes;
        count++;
    }
    return count;
}

static guint count_rows_that_fit(const rr_admission_table *table, guint first, size_t bytes_left) {
    return (guint)MIN(bytes_left / ROW_BYTES_MAX, table->rows->len - first);
}

/* Divides the table into records, teams before rows. Stops early if records_max is reached or
 * nothing more fits into a record. Returns the number of records, which is at least 1 unless
 * records_max is 0. */
static guint divide_table(const rr_admission_table *table, size_t value_bytes, guint records_max,
                          struct record_range *records) {
    guint count = 0, team = 0, row = 0;
    records_max = MIN(records_max, RR_ADMISSION_PARTS_MAX);
    while (count < records_max &&
           (count == 0 || team < table->teams->len || row < table->rows->len)) {
        size_t bytes_left =
            value_bytes > RECORD_HEADER_BYTES_MAX ? value_bytes - RECORD_HEADER_BYTES_MAX : 0;
        struct record_range *record = &records[count++];
        *record = (struct record_range){.first_team = team, .first_row = row};
        record->team_count = count_teams_that_fit(table, team, &bytes_left);
        team += record->team_count;
        if (team == table->teams->len) {
            record->row_count = count_rows_that_fit(table, row, bytes_left);
            row += record->row_count;
        }
        if (record->team_count + record->row_count == 0) {
            break;
        }
    }
    return count;
}

static void encode_team(rr_encoder *out, const rr_admission_team *team) {
    rr_encode_array(out, 3);
    rr_encode_text(out, team->name);
    rr_encode_u64(out, (uint64_t)(team->fair_share * FAIR_SHARE_UNITS));
    rr_encode_u64(out, (uint64_t)(team->correction * CORRECTION_UNITS));
}

static void encode_row(rr_encoder *out, const rr_admission_row *row) {
    rr_encode_array(out, 3);
    rr_encode_u64(out, row->id);
    rr_encode_u64(out, row->phase);
    rr_encode_u64(out, row->share);
}

static void encode_record(const rr_admission_table *table, const struct record_range *range,
                          guint record_count, rr_encoder *out) {
    rr_encoder_init(out);
    rr_encode_map(out, 11);
    rr_encode_key_u64(out, "v", RR_ADMISSION_RECORD_VERSION);
    rr_encode_key_u64(out, "sequence", table->sequence);
    rr_encode_key_u64(out, "parts", record_count);
    rr_encode_key_number(out, "starts_at", table->starts_at);
    rr_encode_key_number(out, "length_s", table->length_s);
    rr_encode_key_bool(out, "active", table->active);
    rr_encode_key_number(out, "cpu", table->cpus);
    rr_encode_key_number(out, "gpu", table->gpus);
    rr_encode_key_number(out, "mem", table->mem_gb);
    rr_encode_text(out, "teams");
    rr_encode_array(out, range->team_count);
    for (guint i = 0; i < range->team_count; i++) {
        encode_team(out, &g_array_index(table->teams, rr_admission_team, range->first_team + i));
    }
    rr_encode_text(out, "rows");
    rr_encode_array(out, range->row_count);
    for (guint i = 0; i < range->row_count; i++) {
        encode_row(out, &g_array_index(table->rows, rr_admission_row, range->first_row + i));
    }
}

guint rr_admission_table_encode(const rr_admission_table *table, size_t value_bytes,
                                guint records_max, rr_encoder *out) {
    struct record_range records[RR_ADMISSION_PARTS_MAX];
    rr_admission_table sorted = *table;
    sorted.rows = g_array_copy(table->rows);
    g_array_sort(sorted.rows, compare_by_share);
    guint count = divide_table(&sorted, value_bytes, records_max, records);
    for (guint i = 0; i < count; i++) {
        encode_record(&sorted, &records[i], count, &out[i]);
    }
    g_array_free(sorted.rows, TRUE);
    return count;
}

/* ---- decoding ---- */

static bool is_array_of_three(const msgpack_object *object) {
    return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == 3;
}

static bool read_row(const msgpack_object *object, rr_admission_row *row) {
    uint64_t phase;
    if (!is_array_of_three(object) || !rr_object_get_u64(&object->via.array.ptr[0], &row->id) ||
        !rr_object_get_u64(&object->via.array.ptr[1], &phase) ||
        !rr_object_get_u64(&object->via.array.ptr[2], &row->share) ||
        phase >= RR_ADMISSION_SHARE_FULL || row->share > RR_ADMISSION_SHARE_FULL) {
        return false;
    }
    row->phase = (uint32_t)phase;
    return true;
}

static bool read_team(const msgpack_object *object, rr_admission_team *team) {
    uint64_t fair_share, correction;
    if (!is_array_of_three(object) ||
        !rr_object_get_text(&object->via.array.ptr[0], team->name, sizeof team->name) ||
        !rr_object_get_u64(&object->via.array.ptr[1], &fair_share) ||
        !rr_object_get_u64(&object->via.array.ptr[2], &correction)) {
        return false;
    }
    team->fair_share = (double)fair_share / FAIR_SHARE_UNITS;
    team->correction = (double)correction / CORRECTION_UNITS;
    return true;
}

/* Returns the array with this key; NULL if it is missing or not an array. */
static const msgpack_object_array *get_array(const msgpack_object *map, const char *key) {
    const msgpack_object *object = rr_map_get(map, key);
    return object && object->type == MSGPACK_OBJECT_ARRAY ? &object->via.array : NULL;
}

/* Reads everything except the lists. Returns false if a value is missing or not allowed. */
static bool read_header(const msgpack_object *value, rr_admission_table *table, uint64_t *parts) {
    uint64_t version;
    return rr_map_get_u64(value, "v", &version) && version == RR_ADMISSION_RECORD_VERSION &&
           rr_map_get_u64(value, "sequence", &table->sequence) && table->sequence != 0 &&
           rr_map_get_u64(value, "parts", parts) && *parts != 0 &&
           *parts <= RR_ADMISSION_PARTS_MAX &&
           rr_map_get_number(value, "starts_at", &table->starts_at) &&
           rr_map_get_number(value, "length_s", &table->length_s) && table->length_s > 0 &&
           table->length_s <= TABLE_LENGTH_MAX_S &&
           rr_map_get_bool(value, "active", &table->active) &&
           rr_map_get_number(value, "cpu", &table->cpus) &&
           rr_map_get_number(value, "gpu", &table->gpus) &&
           rr_map_get_number(value, "mem", &table->mem_gb);
}

/* Reads one of a table's records into an empty table, and sets *parts to the number of records of
 * the whole table. Returns false if the record is malformed. */
static bool read_record(const msgpack_object *value, rr_admission_table *table, uint64_t *parts) {
    const msgpack_object_array *rows = get_array(value, "rows");
    const msgpack_object_array *teams = get_array(value, "teams");
    if (!rows || !teams || !read_header(value, table, parts)) {
        return false;
    }
    for (uint32_t i = 0; i < rows->size; i++) {
        rr_admission_row row;
        if (!read_row(&rows->ptr[i], &row)) {
            return false;
        }
        g_array_append_val(table->rows, row);
    }
    for (uint32_t i = 0; i < teams->size; i++) {
        rr_admission_team team;
        memset(&team, 0, sizeof team);
        if (!read_team(&teams->ptr[i], &team)) {
            return false;
        }
        g_array_append_val(table->teams, team);
    }
    return true;
}

/* Replaces the slot's table by an empty one with the header of one of its records. */
static void start_table(rr_admission_slot *slot, const rr_admission_table *header, guint parts) {
    rr_admission_table_clear(&slot->table);
    rr_admission_table_init(&slot->table);
    slot->table.sequence = header->sequence;
    slot->table.starts_at = header->starts_at;
    slot->table.length_s = header->length_s;
    slot->table.active = header->active;
    slot->table.cpus = header->cpus;
    slot->table.gpus = header->gpus;
    slot->table.mem_gb = header->mem_gb;
    slot->parts = parts;
    slot->received_parts = 0;
}

/* Adds a part to the slot's table, or starts a newer table with it. Parts of older tables and parts
 * that were already received are ignored. Returns whether the part completed the table. */
static bool add_part(rr_admission_slot *slot, guint part, const rr_admission_table *read,
                     guint parts, bool already_received) {
    if (read->sequence > slot->table.sequence) {
        start_table(slot, read, parts);
    }
    if (read->sequence != slot->table.sequence || parts != slot->parts || already_received) {
        return false;
    }
    g_array_append_vals(slot->table.rows, read->rows->data, read->rows->len);
    g_array_append_vals(slot->table.teams, read->teams->data, read->teams->len);
    slot->received_parts |= 1U << part;
    if (slot->received_parts != (1U << slot->parts) - 1) {
        return false;
    }
    rr_admission_table_sort(&slot->table);
    return true;
}

int rr_admission_slot_add_part(rr_admission_slot *slot, guint part, const msgpack_object *value,
                               uint64_t version) {
    rr_admission_table read;
    uint64_t parts = 0;
    if (part >= RR_ADMISSION_PARTS_MAX) {
        return -EPROTO;
    }
    bool already_received = slot->versions[part] == version && slot->received_parts >> part & 1;
    slot->versions[part] = version;
    rr_admission_table_init(&read);
    int rc = -EPROTO;
    if (read_record(value, &read, &parts) && part < parts) {
        rc = add_part(slot, part, &read, (guint)parts, already_received);
    }
    rr_admission_table_clear(&read);
    return rc;
}
