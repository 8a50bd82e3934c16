/* Building demand views from a controller's demand. */
#include "admission/demand_view.h"

#include <string.h>

/* Hashes in one view, divided evenly among its keys within the limits for one key. The lower limit
 * takes precedence, so that a view of very many keys exceeds the budget. */
#define VIEW_HASH_BUDGET 4096u
#define SAMPLE_HASHES_MIN 16u
#define SAMPLE_HASHES_MAX 256u

/* The clear function of rr_demand_view.entries. */
static void clear_entry(gpointer data) {
    rr_demand_entry *entry = data;
    if (entry->sample) {
        g_array_free(entry->sample, TRUE);
    }
}

void rr_demand_view_init(rr_demand_view *view) {
    view->fencing_token = 0;
    view->entries = g_array_new(FALSE, TRUE, sizeof(rr_demand_entry));
    g_array_set_clear_func(view->entries, clear_entry);
}

void rr_demand_view_clear(rr_demand_view *view) {
    if (view->entries) {
        g_array_free(view->entries, TRUE);
    }
    memset(view, 0, sizeof *view);
}

gint rr_compare_job_hashes(gconstpointer left_item, gconstpointer right_item) {
    uint64_t left = *(const uint64_t *)left_item, right = *(const uint64_t *)right_item;
    return left < right ? -1 : left > right;
}

/* Sorts the sample and keeps the `count_max` smallest hashes. */
static void truncate_sample(rr_demand_entry *entry, guint count_max) {
    g_array_sort(entry->sample, rr_compare_job_hashes);
    entry->sample_bound = UINT64_MAX;
    if (entry->sample->len > count_max) {
        entry->sample_bound = g_array_index(entry->sample, uint64_t, count_max);
        g_array_set_size(entry->sample, count_max);
    }
}

/* A view that is being built. */
struct view_builder {
    rr_demand_view *view;
    GHashTable *samples; /* key id -> its entry's sample; ids borrowed from the demand */
};

static void add_entry(void *user, const rr_demand_key_summary *summary) {
    const struct view_builder *builder = user;
    rr_demand_entry entry = {
        .key = *summary->key, .admitted = summary->admitted, .mean_work = summary->mean_work};
    entry.sample = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_insert(builder->samples, (gpointer)&summary->key->id, entry.sample);
    g_array_append_val(builder->view->entries, entry);
}

static void add_hash(void *user, uint64_t key_id, uint64_t job_hash) {
    const struct view_builder *builder = user;
    GArray *sample = g_hash_table_lookup(builder->samples, &key_id);
    if (sample) {
        g_array_append_val(sample, job_hash);
    }
}

void rr_demand_view_build(const rr_demand *demand, uint64_t fencing_token, rr_demand_view *out) {
    struct view_builder builder = {out, g_hash_table_new(g_int64_hash, g_int64_equal)};
    rr_demand_view_init(out);
    out->fencing_token = fencing_token;
    rr_demand_foreach_key(demand, add_entry, &builder);
    rr_demand_foreach_waiting_job(demand, add_hash, &builder);
    g_hash_table_destroy(builder.samples);
    guint hashes_per_key = VIEW_HASH_BUDGET / MAX(out->entries->len, 1);
    for (guint i = 0; i < out->entries->len; i++) {
        truncate_sample(&g_array_index(out->entries, rr_demand_entry, i),
                        CLAMP(hashes_per_key, SAMPLE_HASHES_MIN, SAMPLE_HASHES_MAX));
    }
}
