/* Collects the input of one admission table, by key. */
#include "admission/entries.h"

/* Number of keys that may have an entry of their own in one table. They are divided equally among
 * the groups (team and band), but each group may have GROUP_KEYS_MIN of them. */
#define TABLE_KEYS_MAX 512u
#define GROUP_KEYS_MIN 4u

/* Returns the entry of a key. entries: id -> rr_admission_entry. */
static rr_admission_entry *find_or_add_entry(GHashTable *entries, const rr_admission_key *key,
                                             int team) {
    rr_admission_entry *entry = g_hash_table_lookup(entries, &key->id);
    if (!entry) {
        entry = g_new0(rr_admission_entry, 1);
        entry->key = key;
        entry->id = key->id;
        entry->team = (guint)team;
        entry->band = key->band;
        g_hash_table_insert(entries, &entry->id, entry);
    }
    return entry;
}

/* Adds the accepted work that waits, except that of teams that the configuration does not name. */
static void add_waiting_work(const struct rr_config *config, const rr_offered_load *load,
                             const double *correction, GHashTable *entries) {
    rr_resource_amount capacity = rr_offered_load_capacity(load);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, load->keys);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const rr_load_key *load_key = value;
        int team = rr_config_find_team(config, load_key->key.team);
        if (team >= 0) {
            rr_admission_entry *entry = find_or_add_entry(entries, &load_key->key, team);
            entry->work = rr_work_add(entry->work, load_key->waiting_work, 1);
            entry->backlog =
                rr_dominant_share_seconds(load_key->waiting_work, capacity) * correction[team];
        }
    }
}

/* Adds the jobs that request admission, except those of teams that the configuration does not
 * name. */
static void add_demand(const struct rr_config *config, const GArray *demand,
                       rr_resource_amount capacity, const double *correction, GHashTable *entries) {
    for (guint i = 0; i < demand->len; i++) {
        const rr_demand_total *total = &g_array_index(demand, rr_demand_total, i);
        int team = rr_config_find_team(config, total->key.team);
        if (team >= 0 && total->job_count > 0) {
            rr_admission_entry *entry = find_or_add_entry(entries, &total->key, team);
            entry->work = rr_work_add(entry->work, total->mean_work, total->job_count);
            entry->job_count = total->job_count;
            entry->requested = rr_dominant_share_seconds(total->mean_work, capacity) *
                               total->job_count * correction[team];
        }
    }
}

/* ---- limiting the number of entries ---- */

bool rr_admission_in_same_group(const rr_admission_entry *left, const rr_admission_entry *right) {
    return left && left->team == right->team && left->band == right->band;
}

static gint compare_by_group_and_size(gconstpointer left_item, gconstpointer right_item) {
    const rr_admission_entry *left = *(const rr_admission_entry *const *)left_item;
    const rr_admission_entry *right = *(const rr_admission_entry *const *)right_item;
    if (left->team != right->team) {
        return left->team < right->team ? -1 : 1;
    }
    if (left->band != right->band) {
        return left->band < right->band ? -1 : 1;
    }
    double left_size = left->backlog + left->requested;
    double right_size = right->backlog + right->requested;
    if (left_size != right_size) {
        return left_size > right_size ? -1 : 1;
    }
    return left->id < right->id ? -1 : left->id > right->id;
}

static void merge_entry(rr_admission_entry *into, const rr_admission_entry *entry) {
    into->work = rr_work_add(into->work, entry->work, 1);
    into->backlog += entry->backlog;
    into->job_count += entry->job_count;
    into->requested += entry->requested;
}

static guint count_groups(const GPtrArray *sorted) {
    guint groups = 0;
    const rr_admission_entry *last = NULL;
    for (guint i = 0; i < sorted->len; i++) {
        const rr_admission_entry *entry = g_ptr_array_index(sorted, i);
        groups += !rr_admission_in_same_group(last, entry);
        last = entry;
    }
    return groups;
}

/* Returns the largest entries of each group, with the group's other entries merged into one. The
 * limit is per group because users choose their job classes: a team with many keys must not use up
 * the rows of other teams. Sorts `all`. */
static GArray *limit_entries(const struct rr_config *config, GPtrArray *all) {
    GArray *kept = g_array_new(FALSE, TRUE, sizeof(rr_admission_entry));
    g_ptr_array_sort(all, compare_by_group_and_size);
    guint group_max = MAX(TABLE_KEYS_MAX / MAX(count_groups(all), 1), GROUP_KEYS_MIN);
    guint index_in_group = 0;
    const rr_admission_entry *last = NULL;
    for (guint i = 0; i < all->len; i++) {
        const rr_admission_entry *entry = g_ptr_array_index(all, i);
        index_in_group = rr_admission_in_same_group(last, entry) ? index_in_group + 1 : 0;
        last = entry;
        if (index_in_group < group_max) {
            g_array_append_val(kept, *entry);
            continue;
        }
        if (index_in_group == group_max) {
            rr_admission_entry merged = {.team = entry->team, .band = entry->band};
            merged.id = rr_admission_default_row_id(config->teams[entry->team].name, entry->band);
            g_array_append_val(kept, merged);
        }
        merge_entry(&g_array_index(kept, rr_admission_entry, kept->len - 1), entry);
    }
    return kept;
}

GArray *rr_admission_collect_entries(const struct rr_config *config, const rr_offered_load *load,
                                     const GArray *demand, const double *correction) {
    GHashTable *entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    add_waiting_work(config, load, correction, entries);
    add_demand(config, demand, rr_offered_load_capacity(load), correction, entries);
    g_hash_table_iter_init(&iterator, entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    GArray *kept = limit_entries(config, all);
    g_ptr_array_free(all, TRUE);
    g_hash_table_destroy(entries);
    return kept;
}
