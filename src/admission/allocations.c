/* Allocations: how much work of each entry may be queued. */
#include "admission/allocations.h"

#define EPSILON 1e-9 /* smaller amounts count as zero */

/* ---- weights ---- */

/* The number of keys of one job class of one team, by size band. */
struct class_key_counts {
    guint in_band[RR_ADMISSION_BAND_COUNT];
};

/* Returns a string that identifies the entry's team and job class, which the caller frees. The
 * entry must have a key. */
static char *create_class_id(const rr_admission_entry *entry) {
    return g_strdup_printf("%u/%s", entry->team, entry->key->job_class);
}

/* Returns a map from class id (create_class_id) to struct class_key_counts, which the caller
 * destroys. */
static GHashTable *count_class_keys(const GArray *entries) {
    GHashTable *classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        if (!entry->key) {
            continue;
        }
        char *class_id = create_class_id(entry);
        struct class_key_counts *keys = g_hash_table_lookup(classes, class_id);
        if (!keys) {
            keys = g_new0(struct class_key_counts, 1);
            g_hash_table_insert(classes, g_strdup(class_id), keys);
        }
        keys->in_band[entry->band]++;
        g_free(class_id);
    }
    return classes;
}

/* Returns the weight of an entry among its team's entries. A job class's weight counts once,
 * however many bands and restrictions its jobs are split into. Each band gets an equal part of it,
 * so that small jobs cannot use up the share of large ones; the keys of a band divide its
 * part equally. An entry without a key weighs 1. */
static double compute_entry_weight(const rr_admission_settings *settings, GHashTable *classes,
                                   const rr_admission_entry *entry) {
    if (!entry->key) {
        return 1;
    }
    char *class_id = create_class_id(entry);
    const struct class_key_counts *keys = g_hash_table_lookup(classes, class_id);
    guint band_count = 0;
    g_free(class_id);
    for (guint band = 0; band < RR_ADMISSION_BAND_COUNT; band++) {
        band_count += keys->in_band[band] > 0;
    }
    double weight =
        rr_admission_get_class_weight(&settings->teams[entry->team], entry->key->job_class);
    return weight / band_count / keys->in_band[entry->band];
}

/* ---- building the division problem ---- */

static double divide_or_zero(double amount, double total) {
    return total > 0 ? amount / total : 0;
}

/* Sets how much of each resource one unit of the row's demand uses. */
static void set_resource_use(const rr_admission_entry *entry, rr_resource_amount capacity,
                             rr_share_row *row) {
    double dominant = rr_dominant_share_seconds(entry->work, capacity);
    const double work[] = {entry->work.cpu_s, entry->work.gpu_s, entry->work.mem_gb_s};
    const double total[] = {capacity.cpus, capacity.gpus, capacity.mem_gb};
    for (guint resource = 0; resource < RR_SHARE_RESOURCE_COUNT; resource++) {
        row->resource_use[resource] = dominant > EPSILON && total[resource] > 0
                                          ? work[resource] / total[resource] / dominant
                                          : 0;
    }
}

/* Returns for each entry and pool whether the entry's jobs may run in the pool, in an array indexed
 * by entry * pool count + pool, which the caller frees. Entries without a key may use every
 * pool. */
static bool *find_allowed_pools(const rr_offered_load *load, const GArray *entries) {
    bool *allowed = g_new0(bool, (size_t)entries->len * load->pools->len + 1);
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        for (guint k = 0; k < load->pools->len; k++) {
            const rr_load_pool *pool = &g_array_index(load->pools, rr_load_pool, k);
            allowed[i * load->pools->len + k] =
                !entry->key || rr_admission_key_allows(entry->key, pool->type, pool->zone);
        }
    }
    return allowed;
}

/* Returns one row per entry, in an array that the caller frees. The rows refer to `allowed`. */
static rr_share_row *create_rows(const rr_offered_load *load, const GArray *entries,
                                 const bool *allowed) {
    rr_resource_amount capacity = rr_offered_load_capacity(load);
    rr_share_row *rows = g_new0(rr_share_row, entries->len + 1);
    GHashTable *classes = count_class_keys(entries);
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        rows[i] = (rr_share_row){.team = entry->team,
                                 .weight = compute_entry_weight(load->settings, classes, entry),
                                 .demand = entry->backlog + entry->requested,
                                 .pools = &allowed[(size_t)i * load->pools->len]};
        set_resource_use(entry, capacity, &rows[i]);
    }
    g_hash_table_destroy(classes);
    return rows;
}

/* Returns the pools' capacities over the horizon, as fractions of the total, in an array that the
 * caller frees. */
static rr_share_pool *create_pools(const rr_offered_load *load, double horizon_s) {
    rr_resource_amount capacity = rr_offered_load_capacity(load);
    rr_share_pool *pools = g_new0(rr_share_pool, load->pools->len + 1);
    for (guint i = 0; i < load->pools->len; i++) {
        rr_resource_amount amount = g_array_index(load->pools, rr_load_pool, i).amount;
        pools[i].capacity[0] = divide_or_zero(amount.cpus, capacity.cpus) * horizon_s;
        pools[i].capacity[1] = divide_or_zero(amount.gpus, capacity.gpus) * horizon_s;
        pools[i].capacity[2] = divide_or_zero(amount.mem_gb, capacity.mem_gb) * horizon_s;
    }
    return pools;
}

enum rr_share_method rr_admission_allocate(const struct rr_config *config,
                                           const rr_offered_load *load, const GArray *entries,
                                           double *allocations) {
    const rr_admission_settings *settings = load->settings;
    double horizon_s = rr_admission_compute_horizon_s(settings);
    bool *allowed = find_allowed_pools(load, entries);
    rr_share_row *rows = create_rows(load, entries, allowed);
    rr_share_pool *pools = create_pools(load, horizon_s);
    rr_share_team teams[RR_TEAMS_MAX];
    for (size_t i = 0; i < config->team_count; i++) {
        teams[i] =
            (rr_share_team){settings->teams[i].weight, settings->teams[i].least_share * horizon_s};
    }
    rr_share_problem problem = {.rows = rows,
                                .row_count = entries->len,
                                .pools = pools,
                                .pool_count = load->pools->len,
                                .teams = teams,
                                .team_count = (guint)config->team_count};
    enum rr_share_method method = rr_share_solve(&problem, settings->solver_s);
    for (guint i = 0; i < entries->len; i++) {
        allocations[i] = rows[i].allocation;
    }
    g_free(allowed);
    g_free(rows);
    g_free(pools);
    return method;
}

/* ---- fair shares of the teams ---- */

void rr_admission_compute_fair_shares(const struct rr_config *config, const rr_offered_load *load,
                                      double *fair_shares) {
    rr_resource_amount capacity = rr_offered_load_capacity(load);
    double demands[RR_TEAMS_MAX] = {0}, weights[RR_TEAMS_MAX] = {0};
    double guaranteed_shares[RR_TEAMS_MAX] = {0};
    guint team_count = (guint)config->team_count;
    for (guint i = 0; i < team_count; i++) {
        const rr_load_team *team = &load->teams[i];
        rr_resource_amount demand = {team->used.cpus + team->waiting.cpus,
                                     team->used.gpus + team->waiting.gpus,
                                     team->used.mem_gb + team->waiting.mem_gb};
        demands[i] = rr_dominant_share(demand, capacity);
        weights[i] = load->settings->teams[i].weight;
        guaranteed_shares[i] = load->settings->teams[i].least_share;
    }
    rr_share_water_fill_guaranteed(demands, weights, guaranteed_shares, team_count, 1, fair_shares);
    for (guint i = 0; i < team_count; i++) {
        /* A team whose demand is met may also use capacity that is free. */
        fair_shares[i] = fair_shares[i] > demands[i] - EPSILON ? 1 : fair_shares[i];
    }
}
