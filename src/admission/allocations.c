/* How much of each entry may wait. */
#include "admission/allocations.h"

#define EPSILON 1e-9

/* ---- weights ---- */

/* How many keys of a team's class there are in each band. */
struct class_keys {
    guint in_band[RR_ADMISSION_BANDS];
};

/* The caller's to free. */
static char *class_name(const rr_admission_entry *entry) {
    return g_strdup_printf("%u/%s", entry->team, entry->key->job_class);
}

/* Class name -> struct class_keys; the caller's to destroy. */
static GHashTable *count_class_keys(const GArray *entries) {
    GHashTable *classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        if (!entry->key) {
            continue;
        }
        char *name = class_name(entry);
        struct class_keys *keys = g_hash_table_lookup(classes, name);
        if (!keys) {
            keys = g_new0(struct class_keys, 1);
            g_hash_table_insert(classes, g_strdup(name), keys);
        }
        keys->in_band[entry->band]++;
        g_free(name);
    }
    return classes;
}

/* A class's weight counts once, however many bands and restrictions its jobs are split into: each
 * band has an equal part of it, so that large jobs have a share that small ones can't take. */
static double entry_weight(const rr_admission_settings *settings, GHashTable *classes,
                           const rr_admission_entry *entry) {
    if (!entry->key) {
        return 1;
    }
    char *name = class_name(entry);
    const struct class_keys *keys = g_hash_table_lookup(classes, name);
    guint bands = 0;
    g_free(name);
    for (guint band = 0; band < RR_ADMISSION_BANDS; band++) {
        bands += keys->in_band[band] > 0;
    }
    double weight =
        rr_admission_get_class_weight(&settings->teams[entry->team], entry->key->job_class);
    return weight / bands / keys->in_band[entry->band];
}

/* ---- the problem ---- */

static double part_of(double amount, double all) {
    return all > 0 ? amount / all : 0;
}

static void set_use(const rr_admission_entry *entry, rr_amount capacity, rr_share_row *row) {
    double dominant = rr_dominant_work(entry->work, capacity);
    const double work[] = {entry->work.cpu_s, entry->work.gpu_s, entry->work.mem_s};
    const double all[] = {capacity.cpus, capacity.gpus, capacity.mem_gb};
    for (guint resource = 0; resource < RR_SHARE_RESOURCES; resource++) {
        row->use[resource] =
            dominant > EPSILON && all[resource] > 0 ? work[resource] / all[resource] / dominant : 0;
    }
}

/* By entry and pool; the caller's to free. */
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

/* The arrays below are the caller's to free. */

static rr_share_row *create_rows(const rr_offered_load *load, const GArray *entries,
                                 const bool *allowed) {
    rr_amount capacity = rr_load_capacity(load);
    rr_share_row *rows = g_new0(rr_share_row, entries->len + 1);
    GHashTable *classes = count_class_keys(entries);
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        rows[i] = (rr_share_row){.team = entry->team,
                                 .weight = entry_weight(load->settings, classes, entry),
                                 .demand = entry->backlog + entry->asked,
                                 .pools = &allowed[(size_t)i * load->pools->len]};
        set_use(entry, capacity, &rows[i]);
    }
    g_hash_table_destroy(classes);
    return rows;
}

static rr_share_pool *create_pools(const rr_offered_load *load, double horizon_s) {
    rr_amount capacity = rr_load_capacity(load);
    rr_share_pool *pools = g_new0(rr_share_pool, load->pools->len + 1);
    for (guint i = 0; i < load->pools->len; i++) {
        rr_amount amount = g_array_index(load->pools, rr_load_pool, i).amount;
        pools[i].capacity[0] = part_of(amount.cpus, capacity.cpus) * horizon_s;
        pools[i].capacity[1] = part_of(amount.gpus, capacity.gpus) * horizon_s;
        pools[i].capacity[2] = part_of(amount.mem_gb, capacity.mem_gb) * horizon_s;
    }
    return pools;
}

enum rr_share_method rr_admission_allocate(const struct rr_config *config,
                                           const rr_offered_load *load, const GArray *entries,
                                           double *allocations) {
    const rr_admission_settings *settings = load->settings;
    double horizon_s = rr_admission_horizon_s(settings);
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

/* ---- fair rooms ---- */

void rr_admission_fair_rooms(const struct rr_config *config, const rr_offered_load *load,
                             double *rooms) {
    rr_amount capacity = rr_load_capacity(load);
    double demands[RR_TEAMS_MAX] = {0}, weights[RR_TEAMS_MAX] = {0};
    double guaranteed[RR_TEAMS_MAX] = {0};
    guint count = (guint)config->team_count;
    for (guint i = 0; i < count; i++) {
        const rr_load_team *team = &load->teams[i];
        rr_amount wanted = {team->used.cpus + team->waiting.cpus,
                            team->used.gpus + team->waiting.gpus,
                            team->used.mem_gb + team->waiting.mem_gb};
        demands[i] = rr_dominant_amount(wanted, capacity);
        weights[i] = load->settings->teams[i].weight;
        guaranteed[i] = load->settings->teams[i].least_share;
    }
    rr_share_water_fill_guaranteed(demands, weights, guaranteed, count, 1, rooms);
    for (guint i = 0; i < count; i++) {
        /* A team that has all it asks for may also take what is free. */
        rooms[i] = rooms[i] > demands[i] - EPSILON ? 1 : rooms[i];
    }
}
