#include "admission/entries.h"

#define ROWS_MAX 512u       /* keys told apart in one table, */
#define GROUP_ROWS_LEAST 4u /* and of each team's band at least */

static rr_admission_entry *entry_of(GHashTable *entries, const rr_admission_key *key, int team) {
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

static gint by_group_and_size(gconstpointer left_item, gconstpointer right_item) {
    const rr_admission_entry *left = *(const rr_admission_entry *const *)left_item,
                             *right = *(const rr_admission_entry *const *)right_item;
    if (left->team != right->team) {
        return left->team < right->team ? -1 : 1;
    }
    if (left->band != right->band) {
        return left->band < right->band ? -1 : 1;
    }
    double size_x = left->backlog + left->asked, size_y = right->backlog + right->asked;
    if (size_x != size_y) {
        return size_x > size_y ? -1 : 1;
    }
    return left->id < right->id ? -1 : left->id > right->id;
}

static void merge_entry(rr_admission_entry *into, const rr_admission_entry *entry) {
    into->work = rr_work_add(into->work, entry->work, 1);
    into->backlog += entry->backlog;
    into->count += entry->count;
    into->asked += entry->asked;
}

bool rr_admission_same_group(const rr_admission_entry *left, const rr_admission_entry *right) {
    return left && left->team == right->team && left->band == right->band;
}

/* The largest entries of each team's band, and one for the rest of it, so that the keys of one
 * team, whose classes are whatever its users write, take no other team's place. */
static GArray *limit_entries(const struct rr_config *config, GPtrArray *all) {
    GArray *kept = g_array_new(FALSE, TRUE, sizeof(rr_admission_entry));
    guint groups = 0, of_group = 0;
    const rr_admission_entry *last = NULL;
    g_ptr_array_sort(all, by_group_and_size);
    for (guint i = 0; i < all->len; i++) {
        const rr_admission_entry *entry = g_ptr_array_index(all, i);
        groups += !rr_admission_same_group(last, entry);
        last = entry;
    }
    guint most = MAX(ROWS_MAX / MAX(groups, 1), GROUP_ROWS_LEAST);
    last = NULL;
    for (guint i = 0; i < all->len; i++) {
        const rr_admission_entry *entry = g_ptr_array_index(all, i);
        of_group = rr_admission_same_group(last, entry) ? of_group + 1 : 0;
        last = entry;
        if (of_group < most) {
            g_array_append_val(kept, *entry);
            continue;
        }
        if (of_group == most) {
            rr_admission_entry rest = {.team = entry->team, .band = entry->band};
            rest.id = rr_admission_rest_id(config->teams[entry->team].name, entry->band);
            g_array_append_val(kept, rest);
        }
        merge_entry(&g_array_index(kept, rr_admission_entry, kept->len - 1), entry);
    }
    return kept;
}

GArray *rr_admission_entries(const struct rr_config *config, const rr_offered_load *load,
                             const GArray *demand, const double *correction) {
    rr_amount capacity = rr_load_capacity(load);
    GHashTable *entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, load->keys);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const rr_load_key *waiting = value;
        int team = rr_config_team(config, waiting->key.team);
        if (team >= 0) {
            rr_admission_entry *entry = entry_of(entries, &waiting->key, team);
            entry->work = rr_work_add(entry->work, waiting->waiting, 1);
            entry->backlog = rr_dominant_work(waiting->waiting, capacity) * correction[team];
        }
    }
    for (guint i = 0; i < demand->len; i++) {
        const rr_demand_total *total = &g_array_index(demand, rr_demand_total, i);
        int team = rr_config_team(config, total->key.team);
        if (team >= 0 && total->count > 0) {
            rr_admission_entry *entry = entry_of(entries, &total->key, team);
            entry->work = rr_work_add(entry->work, total->mean, total->count);
            entry->count = total->count;
            entry->asked =
                rr_dominant_work(total->mean, capacity) * total->count * correction[team];
        }
    }
    GPtrArray *all = g_ptr_array_new();
    g_hash_table_iter_init(&iterator, entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    GArray *kept = limit_entries(config, all);
    g_ptr_array_free(all, TRUE);
    g_hash_table_destroy(entries);
    return kept;
}
