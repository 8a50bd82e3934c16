/* The combined demand of all controllers, merged from their demand views. */
#include "admission/demand_total.h"

#include <math.h>

/* Factor on the demand in a view for each interval of its age. */
#define AGE_DECAY 0.5
/* Prevents a division by zero for keys without jobs. */
#define WEIGHT_MIN 1e-9

/* One key's entry in one view. */
struct aged_entry {
    const rr_demand_entry *entry; /* borrowed from the view */
    unsigned age;                 /* of the view, in intervals */
};

/* The entries of one key in all views, while they are summed up. */
struct key_sum {
    rr_demand_total total; /* its mean_work is a weighted sum until compute_total() */
    GArray *entries;       /* struct aged_entry, freshest first */
    double mean_weight;    /* sum of the weights in total.mean_work */
};

static const struct aged_entry *get_entry(const GArray *entries, guint i) {
    return &g_array_index(entries, struct aged_entry, i);
}

/* Estimates how many distinct jobs wait according to the first `count` entries: the number of
 * distinct hashes below the lowest sample bound, scaled up to the whole range of hashes. */
static double count_distinct_jobs(const struct key_sum *sum, guint count) {
    uint64_t bound = UINT64_MAX;
    GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < count; i++) {
        const rr_demand_entry *entry = get_entry(sum->entries, i)->entry;
        bound = MIN(bound, entry->sample_bound);
        g_array_append_vals(hashes, entry->sample->data, entry->sample->len);
    }
    g_array_sort(hashes, rr_compare_job_hashes);
    double found = 0;
    for (guint i = 0; i < hashes->len; i++) {
        uint64_t hash = g_array_index(hashes, uint64_t, i);
        bool repeated = i > 0 && g_array_index(hashes, uint64_t, i - 1) == hash;
        found += !repeated && (hash < bound || bound == UINT64_MAX);
    }
    g_array_free(hashes, TRUE);
    return bound == UINT64_MAX ? found : found * ((double)UINT64_MAX / (double)bound);
}

static struct key_sum *find_or_add_sum(GHashTable *sums, const rr_admission_key *key) {
    struct key_sum *sum = g_hash_table_lookup(sums, &key->id);
    if (!sum) {
        sum = g_new0(struct key_sum, 1);
        sum->total.key = *key;
        sum->entries = g_array_new(FALSE, FALSE, sizeof(struct aged_entry));
        g_hash_table_insert(sums, &sum->total.key.id, sum);
    }
    return sum;
}

/* Adds an entry of a view of this age to its key's sum. */
static void add_entry(GHashTable *sums, const rr_demand_entry *entry, unsigned age) {
    struct key_sum *sum = find_or_add_sum(sums, &entry->key);
    guint index = 0;
    while (index < sum->entries->len && get_entry(sum->entries, index)->age <= age) {
        index++;
    }
    struct aged_entry aged = {entry, age};
    g_array_insert_val(sum->entries, index, aged);
    double jobs_in_entry = (double)entry->admitted + entry->sample->len;
    sum->total.mean_work = rr_work_add(sum->total.mean_work, entry->mean_work, jobs_in_entry);
    sum->mean_weight += jobs_in_entry;
}

/* Returns the key's total and frees sum->entries. Each waiting job counts with the age of the
 * freshest view that contains it. */
static rr_demand_total compute_total(struct key_sum *sum) {
    double waiting_counted = 0;
    for (guint i = 0; i < sum->entries->len; i++) {
        const struct aged_entry *aged = get_entry(sum->entries, i);
        double waiting_known = fmax(waiting_counted, count_distinct_jobs(sum, i + 1));
        sum->total.job_count += pow(AGE_DECAY, aged->age) *
                                (waiting_known - waiting_counted + (double)aged->entry->admitted);
        waiting_counted = waiting_known;
    }
    sum->total.mean_work =
        rr_work_scale(sum->total.mean_work, 1 / fmax(sum->mean_weight, WEIGHT_MIN));
    g_array_free(sum->entries, TRUE);
    return sum->total;
}

static gint compare_by_key_id(gconstpointer left_item, gconstpointer right_item) {
    const rr_demand_total *left = left_item, *right = right_item;
    return left->key.id < right->key.id ? -1 : left->key.id > right->key.id;
}

void rr_demand_merge_views(const rr_demand_view *const *views, const unsigned *ages, guint count,
                           GArray *out) {
    GHashTable *sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    GHashTableIter iterator;
    gpointer value;
    for (guint i = 0; i < count; i++) {
        for (guint k = 0; k < views[i]->entries->len; k++) {
            add_entry(sums, &g_array_index(views[i]->entries, rr_demand_entry, k), ages[i]);
        }
    }
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_demand_total total = compute_total(value);
        g_array_append_val(out, total);
    }
    g_hash_table_destroy(sums);
    g_array_sort(out, compare_by_key_id);
}
