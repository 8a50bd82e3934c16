/* A view of the demand as packed fields, in a frame between controllers. */
#include "admission/demand_view.h"
#include "peer/frame.h"

#include <errno.h>
#include <string.h>

/* An upper bound on an entry's fixed fields. */
#define ENTRY_FIXED_BYTES_MAX 128
#define ENTRIES_MAX 65535u
/* Work is sent as an integer, in thousandths. */
#define WORK_UNITS 1000.0
#define WORK_MAX 1e15

static void put_work(GByteArray *out, double work) {
    double bounded = CLAMP(work, 0, WORK_MAX);
    rr_frame_put_u64(out, (uint64_t)(bounded * WORK_UNITS));
}

static size_t entry_bytes_max(const rr_demand_entry *entry) {
    return ENTRY_FIXED_BYTES_MAX + strlen(entry->key.team) + strlen(entry->key.job_class) +
           strlen(entry->key.zone) + strlen(entry->key.types) +
           entry->sample->len * sizeof(uint64_t);
}

static void put_entry(GByteArray *out, const rr_demand_entry *entry) {
    rr_frame_put_text(out, entry->key.team);
    rr_frame_put_text(out, entry->key.job_class);
    rr_frame_put_text(out, entry->key.zone);
    rr_frame_put_text(out, entry->key.types);
    rr_frame_put_u8(out, (uint8_t)entry->key.band);
    rr_frame_put_u64(out, entry->admitted);
    put_work(out, entry->mean.cpu_s);
    put_work(out, entry->mean.gpu_s);
    put_work(out, entry->mean.mem_s);
    rr_frame_put_u64(out, entry->bound);
    rr_frame_put_u16(out, (uint16_t)entry->sample->len);
    for (guint i = 0; i < entry->sample->len; i++) {
        rr_frame_put_u64(out, g_array_index(entry->sample, uint64_t, i));
    }
}

/* Within a team, entries of large jobs come first, then those with most demand. */
static gint compare_by_team(gconstpointer left_item, gconstpointer right_item) {
    const rr_demand_entry *left = *(const rr_demand_entry *const *)left_item;
    const rr_demand_entry *right = *(const rr_demand_entry *const *)right_item;
    uint64_t left_jobs = left->sample->len + left->admitted;
    uint64_t right_jobs = right->sample->len + right->admitted;
    int teams = strcmp(left->key.team, right->key.team);
    if (teams != 0 || left->key.band != right->key.band) {
        return teams != 0 ? teams : left->key.band > right->key.band ? -1 : 1;
    }
    return left_jobs > right_jobs ? -1 : left_jobs < right_jobs;
}

struct ranked {
    const rr_demand_entry *entry;
    guint rank; /* within its team */
};

static gint compare_by_rank(gconstpointer left_item, gconstpointer right_item) {
    const struct ranked *left = left_item, *right = right_item;
    return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* struct ranked: one entry of each team, then a second one, and so on, so that a team with very
 * many classes crowds out no other. */
static GArray *order_in_turn(const rr_demand_view *view) {
    GPtrArray *entries = g_ptr_array_new();
    GArray *order = g_array_new(FALSE, FALSE, sizeof(struct ranked));
    for (guint i = 0; i < view->entries->len; i++) {
        g_ptr_array_add(entries, &g_array_index(view->entries, rr_demand_entry, i));
    }
    g_ptr_array_sort(entries, compare_by_team);
    for (guint i = 0; i < entries->len; i++) {
        struct ranked ranked = {g_ptr_array_index(entries, i), 0};
        if (i > 0) {
            const struct ranked *last = &g_array_index(order, struct ranked, i - 1);
            bool same_team = strcmp(last->entry->key.team, ranked.entry->key.team) == 0;
            ranked.rank = same_team ? last->rank + 1 : 0;
        }
        g_array_append_val(order, ranked);
    }
    g_ptr_array_free(entries, TRUE);
    g_array_sort(order, compare_by_rank);
    return order;
}

void rr_demand_view_pack(const rr_demand_view *view, GByteArray *out, size_t bytes_max) {
    GArray *order = order_in_turn(view);
    size_t bytes = 0;
    guint count = 0;
    while (count < MIN(order->len, ENTRIES_MAX)) {
        bytes += entry_bytes_max(g_array_index(order, struct ranked, count).entry);
        if (bytes > bytes_max) {
            break;
        }
        count++;
    }
    rr_frame_put_u8(out, RR_DEMAND_VERSION);
    rr_frame_put_u64(out, view->fencing_token);
    rr_frame_put_u16(out, (uint16_t)count);
    for (guint i = 0; i < count; i++) {
        put_entry(out, g_array_index(order, struct ranked, i).entry);
    }
    g_array_free(order, TRUE);
}

static double read_work(rr_frame_reader *reader) {
    return (double)rr_frame_read_u64(reader) / WORK_UNITS;
}

static bool read_entry(rr_frame_reader *reader, rr_demand_entry *entry) {
    bool texts_read =
        rr_frame_read_text(reader, entry->key.team, sizeof entry->key.team) &&
        rr_frame_read_text(reader, entry->key.job_class, sizeof entry->key.job_class) &&
        rr_frame_read_text(reader, entry->key.zone, sizeof entry->key.zone) &&
        rr_frame_read_text(reader, entry->key.types, sizeof entry->key.types);
    size_t length = strlen(entry->key.types);
    entry->key.band = rr_frame_read_u8(reader);
    entry->admitted = rr_frame_read_u64(reader);
    entry->mean.cpu_s = read_work(reader);
    entry->mean.gpu_s = read_work(reader);
    entry->mean.mem_s = read_work(reader);
    entry->bound = rr_frame_read_u64(reader);
    uint16_t samples = rr_frame_read_u16(reader);
    if (!texts_read || reader->malformed || entry->key.band >= RR_ADMISSION_BANDS ||
        (length > 0 && entry->key.types[length - 1] != ',') ||
        samples * sizeof(uint64_t) > reader->bytes_left || entry->bound == 0) {
        return false;
    }
    for (uint16_t i = 0; i < samples; i++) {
        uint64_t hash = rr_frame_read_u64(reader);
        g_array_append_val(entry->sample, hash);
    }
    rr_admission_key_hash(&entry->key);
    return !reader->malformed;
}

int rr_demand_view_unpack(const void *data, size_t length, rr_demand_view *out) {
    rr_frame_reader reader = {data, length, false};
    rr_demand_view_init(out);
    bool good = rr_frame_read_u8(&reader) == RR_DEMAND_VERSION;
    out->fencing_token = rr_frame_read_u64(&reader);
    uint16_t count = rr_frame_read_u16(&reader);
    for (uint16_t i = 0; good && !reader.malformed && i < count; i++) {
        rr_demand_entry entry = {.sample = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
        good = read_entry(&reader, &entry);
        g_array_append_val(out->entries, entry);
    }
    if (!good || reader.malformed || reader.bytes_left > 0) {
        rr_demand_view_clear(out);
        return -EBADMSG;
    }
    return 0;
}
