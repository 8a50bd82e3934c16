/* Encoding and decoding of demand views, as the payload of frames between controllers. */
#include "admission/demand_view.h"
#include "peer/frame.h"

#include <errno.h>
#include <string.h>

/* An upper bound on the encoded size of an entry without its texts' characters and its sample. */
#define ENTRY_FIXED_BYTES_MAX 128
/* The number of entries is encoded in 16 bits. */
#define ENTRIES_MAX 65535u
/* Work is encoded as an integer in thousandths of a resource second, limited to WORK_MAX resource
 * seconds. */
#define WORK_SCALE 1000.0
#define WORK_MAX 1e15

static void put_work(GByteArray *out, double work) {
    double bounded = CLAMP(work, 0, WORK_MAX);
    rr_frame_put_u64(out, (uint64_t)(bounded * WORK_SCALE));
}

/* Returns an upper bound on the encoded size of the entry. */
static size_t bound_entry_bytes(const rr_demand_entry *entry) {
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
    put_work(out, entry->mean_work.cpu_s);
    put_work(out, entry->mean_work.gpu_s);
    put_work(out, entry->mean_work.mem_gb_s);
    rr_frame_put_u64(out, entry->sample_bound);
    rr_frame_put_u16(out, (uint16_t)entry->sample->len);
    for (guint i = 0; i < entry->sample->len; i++) {
        rr_frame_put_u64(out, g_array_index(entry->sample, uint64_t, i));
    }
}

/* Orders entries by team; within a team by size band, large jobs first, and then by number of jobs,
 * most first. */
static gint compare_by_team_and_size(gconstpointer left_item, gconstpointer right_item) {
    const rr_demand_entry *left = *(const rr_demand_entry *const *)left_item;
    const rr_demand_entry *right = *(const rr_demand_entry *const *)right_item;
    uint64_t left_jobs = left->sample->len + left->admitted;
    uint64_t right_jobs = right->sample->len + right->admitted;
    int team_order = strcmp(left->key.team, right->key.team);
    if (team_order != 0 || left->key.band != right->key.band) {
        return team_order != 0 ? team_order : left->key.band > right->key.band ? -1 : 1;
    }
    return left_jobs > right_jobs ? -1 : left_jobs < right_jobs;
}

struct ranked_entry {
    const rr_demand_entry *entry;
    guint rank; /* position among its team's entries, 0 first */
};

static gint compare_by_rank(gconstpointer left_item, gconstpointer right_item) {
    const struct ranked_entry *left = left_item, *right = right_item;
    return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* Returns the entries as struct ranked_entry, owned by the caller: the first entry of each team,
 * then the second one of each, and so on, so that a team with very many classes crowds out no
 * other. */
static GArray *interleave_teams(const rr_demand_view *view) {
    GPtrArray *entries = g_ptr_array_new();
    GArray *order = g_array_new(FALSE, FALSE, sizeof(struct ranked_entry));
    for (guint i = 0; i < view->entries->len; i++) {
        g_ptr_array_add(entries, &g_array_index(view->entries, rr_demand_entry, i));
    }
    g_ptr_array_sort(entries, compare_by_team_and_size);
    for (guint i = 0; i < entries->len; i++) {
        struct ranked_entry ranked = {g_ptr_array_index(entries, i), 0};
        if (i > 0) {
            const struct ranked_entry *previous = &g_array_index(order, struct ranked_entry, i - 1);
            bool same_team = strcmp(previous->entry->key.team, ranked.entry->key.team) == 0;
            ranked.rank = same_team ? previous->rank + 1 : 0;
        }
        g_array_append_val(order, ranked);
    }
    g_ptr_array_free(entries, TRUE);
    g_array_sort(order, compare_by_rank);
    return order;
}

void rr_demand_view_encode(const rr_demand_view *view, GByteArray *out, size_t bytes_max) {
    GArray *order = interleave_teams(view);
    size_t bytes = 0;
    guint count = 0;
    while (count < MIN(order->len, ENTRIES_MAX)) {
        bytes += bound_entry_bytes(g_array_index(order, struct ranked_entry, count).entry);
        if (bytes > bytes_max) {
            break;
        }
        count++;
    }
    rr_frame_put_u8(out, RR_DEMAND_VIEW_VERSION);
    rr_frame_put_u64(out, view->fencing_token);
    rr_frame_put_u16(out, (uint16_t)count);
    for (guint i = 0; i < count; i++) {
        put_entry(out, g_array_index(order, struct ranked_entry, i).entry);
    }
    g_array_free(order, TRUE);
}

static double read_work(rr_frame_reader *reader) {
    return (double)rr_frame_read_u64(reader) / WORK_SCALE;
}

/* Reads an entry into *entry, whose sample is an empty array. Returns false if it is malformed. */
static bool read_entry(rr_frame_reader *reader, rr_demand_entry *entry) {
    bool texts_read =
        rr_frame_read_text(reader, entry->key.team, sizeof entry->key.team) &&
        rr_frame_read_text(reader, entry->key.job_class, sizeof entry->key.job_class) &&
        rr_frame_read_text(reader, entry->key.zone, sizeof entry->key.zone) &&
        rr_frame_read_text(reader, entry->key.types, sizeof entry->key.types);
    size_t types_length = strlen(entry->key.types);
    entry->key.band = rr_frame_read_u8(reader);
    entry->admitted = rr_frame_read_u64(reader);
    entry->mean_work.cpu_s = read_work(reader);
    entry->mean_work.gpu_s = read_work(reader);
    entry->mean_work.mem_gb_s = read_work(reader);
    entry->sample_bound = rr_frame_read_u64(reader);
    uint16_t sample_size = rr_frame_read_u16(reader);
    if (!texts_read || reader->malformed || entry->key.band >= RR_ADMISSION_BAND_COUNT ||
        (types_length > 0 && entry->key.types[types_length - 1] != ',') ||
        sample_size * sizeof(uint64_t) > reader->bytes_left || entry->sample_bound == 0) {
        return false;
    }
    for (uint16_t i = 0; i < sample_size; i++) {
        uint64_t hash = rr_frame_read_u64(reader);
        g_array_append_val(entry->sample, hash);
    }
    rr_admission_key_set_id(&entry->key);
    return !reader->malformed;
}

int rr_demand_view_decode(const void *data, size_t length, rr_demand_view *out) {
    rr_frame_reader reader = {data, length, false};
    rr_demand_view_init(out);
    bool valid = rr_frame_read_u8(&reader) == RR_DEMAND_VIEW_VERSION;
    out->fencing_token = rr_frame_read_u64(&reader);
    uint16_t count = rr_frame_read_u16(&reader);
    for (uint16_t i = 0; valid && !reader.malformed && i < count; i++) {
        rr_demand_entry entry = {.sample = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
        valid = read_entry(&reader, &entry);
        g_array_append_val(out->entries, entry);
    }
    if (!valid || reader.malformed || reader.bytes_left > 0) {
        rr_demand_view_clear(out);
        return -EBADMSG;
    }
    return 0;
}
