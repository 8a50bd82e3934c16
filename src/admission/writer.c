#include "admission/writer.h"
#include "admission/entries.h"
#include "admission/shares.h"

#include <math.h>
#include <string.h>

#define LEAD 0.4       /* of an interval, before its end: the next table is made from then on */
#define CALM_TABLES 3u /* without overload before admission ends */
#define CORRECTION_MAX 8.0
#define CORRECTION_DECAY 0.9   /* a table; so that the last ten or so count */
#define CORRECTION_PRIOR_S 1.0 /* time of the whole fleet that the earlier correction weighs */
#define PAUSE_MAX 3.0 /* intervals between two visits; after a longer pause nothing is known */
#define EPSILON 1e-9

struct rr_admission_writer {
    const struct rr_config *config;
    const rr_admission_settings *settings;
    rr_amount capacity;
    double visited_at;                             /* steady, 0: never */
    unsigned calm;                                 /* tables in a row without overload */
    double used[RR_TEAMS_MAX], done[RR_TEAMS_MAX]; /* lately, in dominant share times time */
    double correction[RR_TEAMS_MAX];
    rr_admission_writer_stats stats;
};

rr_admission_writer *rr_admission_writer_create(const struct rr_config *config,
                                                const rr_admission_settings *settings) {
    rr_admission_writer *writer = g_new0(rr_admission_writer, 1);
    writer->config = config;
    writer->settings = settings;
    return writer;
}

void rr_admission_writer_destroy(rr_admission_writer *writer) {
    g_free(writer);
}

void rr_admission_writer_get_stats(const rr_admission_writer *writer,
                                   rr_admission_writer_stats *out) {
    *out = writer->stats;
}

static double next_edge(const rr_admission_writer *writer, double wall) {
    double length = writer->settings->interval_s;
    return (floor(wall / length) + 1) * length;
}

bool rr_admission_writer_due(const rr_admission_writer *writer, const rr_admission_table *newest,
                             double wall) {
    double length = writer->settings->interval_s, edge = next_edge(writer, wall);
    bool written = newest->sequence && newest->starts_at > edge - length / 2;
    return !written && edge - wall <= LEAD * length;
}

/* ---- estimates against what was used ---- */

/* This controller was not the autoscaler for a while: what it remembers is of another time. */
static void forget_old_visits(rr_admission_writer *writer, double now) {
    if (now - writer->visited_at > PAUSE_MAX * writer->settings->interval_s) {
        writer->visited_at = 0;
        writer->calm = 0;
        memset(writer->used, 0, sizeof writer->used);
        memset(writer->done, 0, sizeof writer->done);
        memset(writer->correction, 0, sizeof writer->correction);
    }
}

static void correct_estimates(rr_admission_writer *writer, const rr_offered_load *load,
                              const rr_admission_table *newest, double now) {
    double passed = writer->visited_at > 0 ? now - writer->visited_at : 0;
    for (size_t i = 0; i < writer->config->team_count; i++) {
        const rr_load_team *team = &load->teams[i];
        const rr_admission_team *before =
            newest->sequence ? rr_admission_table_team(newest, writer->config->teams[i].name)
                             : NULL;
        double earlier = before && before->correction > 0 ? before->correction : 1;
        if (writer->correction[i] > 0) {
            earlier = writer->correction[i];
        }
        writer->used[i] = writer->used[i] * CORRECTION_DECAY +
                          rr_dominant_amount(team->batch, writer->capacity) * passed;
        if (passed > 0) {
            writer->done[i] =
                writer->done[i] * CORRECTION_DECAY + rr_dominant_work(team->done, writer->capacity);
        }
        /* Until tasks have ended there is nothing to compare with. */
        double correction = earlier;
        if (writer->done[i] > EPSILON) {
            correction = (writer->used[i] + CORRECTION_PRIOR_S * earlier) /
                         (writer->done[i] + CORRECTION_PRIOR_S);
        }
        writer->correction[i] = CLAMP(correction, 1 / CORRECTION_MAX, CORRECTION_MAX);
    }
}

/* ---- shares ---- */

static void set_use(const rr_admission_writer *writer, const rr_admission_entry *entry,
                    rr_share_row *row) {
    double all = rr_dominant_work(entry->work, writer->capacity);
    const double work[] = {entry->work.cpu_s, entry->work.gpu_s, entry->work.mem_s};
    const double capacity[] = {writer->capacity.cpus, writer->capacity.gpus,
                               writer->capacity.mem_gb};
    for (guint record_index = 0; record_index < RR_SHARE_RESOURCES; record_index++) {
        row->use[record_index] = all > EPSILON && capacity[record_index] > 0
                                     ? work[record_index] / capacity[record_index] / all
                                     : 0;
    }
}

/* How many keys of a team's class there are in each band. */
struct class_keys {
    guint in_band[RR_ADMISSION_BANDS];
};

static char *class_name(const rr_admission_entry *entry) {
    return g_strdup_printf("%u/%s", entry->team, entry->key->job_class);
}

static GHashTable *count_keys(const GArray *entries) {
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

/* A class's weight counts once, however many bands and ties its jobs are parted into: each band has
 * an equal part of it, so that large jobs have a share that small ones can't take. */
static double row_weight(const rr_admission_writer *writer, GHashTable *classes,
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
        rr_admission_class_weight(&writer->settings->teams[entry->team], entry->key->job_class);
    return weight / bands / keys->in_band[entry->band];
}

static bool *allowed_pools(const rr_offered_load *load, const GArray *entries) {
    bool *allowed = g_new0(bool, (size_t)entries->len * load->pools->len + 1);
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        for (guint pool_index = 0; pool_index < load->pools->len; pool_index++) {
            const rr_load_pool *pool = &g_array_index(load->pools, rr_load_pool, pool_index);
            allowed[i * load->pools->len + pool_index] =
                !entry->key || rr_admission_key_allows(entry->key, pool->type, pool->zone);
        }
    }
    return allowed;
}

/* What may wait in all: the target, and what the fleet does until the next table. */
static double horizon_s(const rr_admission_writer *writer) {
    return writer->settings->target_backlog_s + writer->settings->interval_s;
}

static double part_of(double amount, double all) {
    return all > 0 ? amount / all : 0;
}

static void solve(rr_admission_writer *writer, const rr_offered_load *load, const GArray *entries,
                  double *allocations) {
    double horizon = horizon_s(writer);
    bool *allowed = allowed_pools(load, entries);
    GHashTable *classes = count_keys(entries);
    rr_share_row *rows = g_new0(rr_share_row, entries->len + 1);
    rr_share_pool *pools = g_new0(rr_share_pool, load->pools->len + 1);
    rr_share_team teams[RR_TEAMS_MAX];
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        rows[i] = (rr_share_row){.team = entry->team,
                                 .weight = row_weight(writer, classes, entry),
                                 .demand = entry->backlog + entry->asked,
                                 .pools = &allowed[(size_t)i * load->pools->len]};
        set_use(writer, entry, &rows[i]);
    }
    for (guint pool = 0; pool < load->pools->len; pool++) {
        rr_amount amount = g_array_index(load->pools, rr_load_pool, pool).amount;
        pools[pool].capacity[0] = part_of(amount.cpus, writer->capacity.cpus) * horizon;
        pools[pool].capacity[1] = part_of(amount.gpus, writer->capacity.gpus) * horizon;
        pools[pool].capacity[2] = part_of(amount.mem_gb, writer->capacity.mem_gb) * horizon;
    }
    for (size_t i = 0; i < writer->config->team_count; i++) {
        teams[i] = (rr_share_team){writer->settings->teams[i].weight,
                                   writer->settings->teams[i].least_share * horizon};
    }
    rr_share_problem problem = {
        rows, entries->len, pools, load->pools->len, teams, (guint)writer->config->team_count};
    if (rr_share_solve(&problem, writer->settings->solver_s) == RR_SHARE_BY_FILLING) {
        writer->stats.fallbacks++;
    }
    for (guint i = 0; i < entries->len; i++) {
        allocations[i] = rows[i].allocation;
    }
    g_free(allowed);
    g_hash_table_destroy(classes);
    g_free(rows);
    g_free(pools);
}

/* ---- the table ---- */

#define SATED 0.999 /* of a demand: the programs' results are not exact */

/* Which part of those who ask is admitted, given what may wait of the key. A key that gets all it
 * asks for is not limited. */
static double admitted_share(const rr_admission_entry *entry, double allocation) {
    if (allocation >= SATED * (entry->backlog + entry->asked)) {
        return 1;
    }
    return entry->asked > EPSILON ? CLAMP((allocation - entry->backlog) / entry->asked, 0, 1) : 0;
}

/* Where nothing of a key waits one of its jobs is admitted, however large: otherwise a job larger
 * than its share would never be. As long as its team has something left, that is, and beginning
 * with another key in each table: a team that writes a new class into every job gains nothing. */
static void admit_first_jobs(const GArray *entries, const double *allocations, uint64_t sequence,
                             double *shares) {
    double left[RR_TEAMS_MAX] = {0};
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        left[entry->team] += allocations[i] - entry->backlog;
        left[entry->team] -= entry->backlog < EPSILON ? 0 : shares[i] * entry->asked;
    }
    for (guint k = 0; k < entries->len; k++) {
        guint i = (guint)((k + sequence) % entries->len);
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        double job = entry->asked / fmax(entry->count, 1);
        if (entry->backlog >= EPSILON || entry->count < EPSILON) {
            continue;
        }
        if (left[entry->team] > EPSILON) {
            shares[i] = fmax(shares[i], fmin(1, 1 / entry->count));
        }
        left[entry->team] -= fmax(shares[i] * entry->asked, job);
    }
}

/* The window goes on from where the last table's will have ended. */
static uint32_t next_phase(const rr_admission_table *newest, uint64_t id, double starts_at) {
    const rr_admission_row *row = newest->active ? rr_admission_table_row(newest, id) : NULL;
    if (!row) {
        return (uint32_t)id;
    }
    double passed = round((starts_at - newest->starts_at) / newest->length_s);
    return row->phase + (uint32_t)((uint64_t)fmax(passed, 0) * row->share);
}

static void add_row(rr_admission_table *out, const rr_admission_table *newest, uint64_t id,
                    double share) {
    rr_admission_row row = {.id = id, .phase = next_phase(newest, id, out->starts_at)};
    row.share = (uint64_t)(share * (double)RR_ADMISSION_FULL);
    g_array_append_val(out->rows, row);
}

/* Keys that the table does not name get the least share of their team's band: a new class is no way
 * round it. Where the band has no row there is nothing to go round. */
static void add_rest(const rr_admission_writer *writer, const rr_admission_table *newest,
                     const GArray *entries, const double *shares, rr_admission_table *out) {
    const rr_admission_entry *last = NULL;
    double least = 1;
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        const rr_admission_entry *next = i + 1 < entries->len ? entry + 1 : NULL;
        least = rr_admission_same_group(last, entry) ? fmin(least, shares[i]) : shares[i];
        last = entry;
        if (!(next && rr_admission_same_group(next, entry)) && entry->key && least < 1) {
            const char *team = writer->config->teams[entry->team].name;
            add_row(out, newest, rr_admission_rest_id(team, entry->band), least);
        }
    }
}

/* The part of all room that each team may fill while others wait. */
static void fair_rooms(const rr_admission_writer *writer, const rr_offered_load *load,
                       double *rooms) {
    double demands[RR_TEAMS_MAX] = {0}, weights[RR_TEAMS_MAX] = {0}, least[RR_TEAMS_MAX] = {0};
    guint count = (guint)writer->config->team_count;
    for (guint i = 0; i < count; i++) {
        const rr_load_team *team = &load->teams[i];
        rr_amount all = {team->used.cpus + team->waiting.cpus, team->used.gpus + team->waiting.gpus,
                         team->used.mem_gb + team->waiting.mem_gb};
        demands[i] = rr_dominant_amount(all, writer->capacity);
        weights[i] = writer->settings->teams[i].weight;
        least[i] = writer->settings->teams[i].least_share;
    }
    rr_share_water_fill_least(demands, weights, least, count, 1, rooms);
    for (guint i = 0; i < count; i++) {
        /* A team with all it asks for may take what is free besides. */
        rooms[i] = rooms[i] > demands[i] - EPSILON ? 1 : rooms[i];
    }
}

/* What waits of a team is no more than its room serves in time: others, who have all they ask for,
 * leave it their part of the queue, but it does not get done sooner for that. */
static void bound_by_rooms(const rr_admission_writer *writer, const GArray *entries,
                           const double *rooms, double *allocations) {
    double all[RR_TEAMS_MAX] = {0};
    for (guint i = 0; i < entries->len; i++) {
        all[g_array_index(entries, rr_admission_entry, i).team] += allocations[i];
    }
    for (guint i = 0; i < entries->len; i++) {
        guint team = g_array_index(entries, rr_admission_entry, i).team;
        double most = rooms[team] * horizon_s(writer);
        allocations[i] *= all[team] > most ? most / all[team] : 1;
    }
}

static void add_teams(const rr_admission_writer *writer, const double *rooms,
                      rr_admission_table *out) {
    for (size_t i = 0; i < writer->config->team_count; i++) {
        rr_admission_team team = {.room = rooms[i], .correction = writer->correction[i]};
        g_strlcpy(team.name, writer->config->teams[i].name, sizeof team.name);
        g_array_append_val(out->teams, team);
    }
}

static void fill_table(rr_admission_writer *writer, const rr_offered_load *load,
                       const GArray *entries, const rr_admission_table *newest,
                       rr_admission_table *out) {
    double *shares = g_new0(double, entries->len + 1);
    double *allocations = g_new0(double, entries->len + 1);
    double rooms[RR_TEAMS_MAX] = {0};
    fair_rooms(writer, load, rooms);
    solve(writer, load, entries, allocations);
    bound_by_rooms(writer, entries, rooms, allocations);
    for (guint i = 0; i < entries->len; i++) {
        shares[i] = admitted_share(&g_array_index(entries, rr_admission_entry, i), allocations[i]);
    }
    admit_first_jobs(entries, allocations, out->sequence, shares);
    for (guint i = 0; i < entries->len; i++) {
        add_row(out, newest, g_array_index(entries, rr_admission_entry, i).id, shares[i]);
    }
    add_rest(writer, newest, entries, shares, out);
    add_teams(writer, rooms, out);
    rr_admission_table_sort(out);
    writer->stats.rows = out->rows->len;
    g_free(shares);
    g_free(allocations);
}

/* Overload: all that waits takes the fleet for long, and the fleet does not grow. */
static bool overloaded(rr_admission_writer *writer, rr_amount before, bool active) {
    const rr_admission_settings *settings = writer->settings;
    bool grows = writer->visited_at == 0 || writer->capacity.cpus > before.cpus * 1.001 + EPSILON;
    if (!active) {
        writer->calm = 0;
        return writer->stats.backlog_s > settings->enter_backlog_s && !grows;
    }
    bool calm = writer->stats.backlog_s + writer->stats.asked_s < settings->leave_backlog_s;
    writer->calm = calm ? writer->calm + 1 : 0;
    return writer->calm < CALM_TABLES;
}

bool rr_admission_writer_next(rr_admission_writer *writer, const rr_offered_load *load,
                              const GArray *demand, const rr_admission_table *newest, double wall,
                              double now, rr_admission_table *out) {
    rr_amount before = writer->capacity;
    bool active = newest->sequence && newest->active;
    writer->capacity = rr_load_capacity(load);
    forget_old_visits(writer, now);
    correct_estimates(writer, load, newest, now);
    GArray *entries = rr_admission_entries(writer->config, load, demand, writer->correction);
    writer->stats.backlog_s = writer->stats.asked_s = 0;
    for (guint i = 0; i < entries->len; i++) {
        writer->stats.backlog_s += g_array_index(entries, rr_admission_entry, i).backlog;
        writer->stats.asked_s += g_array_index(entries, rr_admission_entry, i).asked;
    }
    rr_admission_table_init(out);
    out->sequence = newest->sequence + 1;
    out->starts_at = next_edge(writer, wall);
    out->length_s = writer->settings->interval_s;
    out->cpus = writer->capacity.cpus;
    out->gpus = writer->capacity.gpus;
    out->mem_gb = writer->capacity.mem_gb;
    bool room = rr_dominant_amount((rr_amount){1, 1, 1}, writer->capacity) > 0;
    out->active = room && overloaded(writer, before, active);
    if (out->active) {
        fill_table(writer, load, entries, newest, out);
    }
    writer->visited_at = now;
    g_array_free(entries, TRUE);
    return out->active || active;
}
