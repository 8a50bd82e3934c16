/* The writer of admission tables. */
#include "admission/writer.h"
#include "admission/allocations.h"
#include "admission/entries.h"
#include "admission/estimates.h"

#include <math.h>
#include <string.h>

/* In intervals before its end: the next table is made from then on. */
#define LEAD_INTERVALS 0.4
/* In intervals between two visits: after a longer pause what was observed before is forgotten. */
#define PAUSE_INTERVALS_MAX 3.0
/* Tables in a row without overload, after which admission ends. */
#define CALM_TABLES 3u
/* The fleet grows if it has more CPUs than before by this factor. */
#define GROWTH_FACTOR_MIN 1.001
/* An allocation of this part of a demand meets it: the programs' results are not exact. */
#define SATISFIED_PART 0.999
#define EPSILON 1e-9

struct rr_admission_writer {
    const struct rr_config *config;
    const rr_admission_settings *settings;
    rr_amount capacity; /* at the last visit */
    double visited_at;  /* steady, 0: never */
    unsigned calm_tables;
    rr_admission_estimates estimates;
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
    double length_s = writer->settings->interval_s;
    return (floor(wall / length_s) + 1) * length_s;
}

bool rr_admission_writer_due(const rr_admission_writer *writer, const rr_admission_table *newest,
                             double wall) {
    double length_s = writer->settings->interval_s, edge = next_edge(writer, wall);
    bool written = newest->sequence && newest->starts_at > edge - length_s / 2;
    return !written && edge - wall <= LEAD_INTERVALS * length_s;
}

/* ---- shares ---- */

/* Which part of the jobs that ask is admitted, given how much of the entry may wait. An entry that
 * gets all it asks for is not limited. */
static double admitted_share(const rr_admission_entry *entry, double allocation) {
    if (allocation >= SATISFIED_PART * (entry->backlog + entry->asked)) {
        return 1;
    }
    return entry->asked > EPSILON ? CLAMP((allocation - entry->backlog) / entry->asked, 0, 1) : 0;
}

/* Admits one job of each key of which nothing waits, however large, because a job larger than its
 * key's share would otherwise never be admitted. It does so while the team has something left, and
 * begins with another key in each table, so that a team gains nothing by many classes. */
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
        double one_job = entry->asked / fmax(entry->count, 1);
        if (entry->backlog >= EPSILON || entry->count < EPSILON) {
            continue;
        }
        if (left[entry->team] > EPSILON) {
            shares[i] = fmax(shares[i], fmin(1, 1 / entry->count));
        }
        left[entry->team] -= fmax(shares[i] * entry->asked, one_job);
    }
}

/* Limits what waits of a team to what its room serves within the horizon: a larger part of the
 * queue that others leave to it would not be served sooner. */
static void limit_by_rooms(const rr_admission_writer *writer, const GArray *entries,
                           const double *rooms, double *allocations) {
    double team_total[RR_TEAMS_MAX] = {0};
    for (guint i = 0; i < entries->len; i++) {
        team_total[g_array_index(entries, rr_admission_entry, i).team] += allocations[i];
    }
    for (guint i = 0; i < entries->len; i++) {
        guint team = g_array_index(entries, rr_admission_entry, i).team;
        double limit = rooms[team] * rr_admission_horizon_s(writer->settings);
        allocations[i] *= team_total[team] > limit ? limit / team_total[team] : 1;
    }
}

/* ---- the table ---- */

/* The window goes on from where that of the last table ends. */
static uint32_t next_phase(const rr_admission_table *newest, uint64_t id, double starts_at) {
    const rr_admission_row *row = newest->active ? rr_admission_table_row(newest, id) : NULL;
    if (!row) {
        return (uint32_t)id;
    }
    double intervals = round((starts_at - newest->starts_at) / newest->length_s);
    return row->phase + (uint32_t)((uint64_t)fmax(intervals, 0) * row->share);
}

static void add_row(rr_admission_table *out, const rr_admission_table *newest, uint64_t id,
                    double share) {
    rr_admission_row row = {.id = id, .phase = next_phase(newest, id, out->starts_at)};
    row.share = (uint64_t)(share * (double)RR_ADMISSION_FULL);
    g_array_append_val(out->rows, row);
}

/* Adds a row for the keys that the table does not name: they get the least share of their team's
 * band, so that a new class evades no limit. A group whose keys are not limited needs none. */
static void add_rest_rows(const rr_admission_writer *writer, const rr_admission_table *newest,
                          const GArray *entries, const double *shares, rr_admission_table *out) {
    const rr_admission_entry *last = NULL;
    double least = 1;
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        const rr_admission_entry *next = i + 1 < entries->len ? entry + 1 : NULL;
        least = rr_admission_same_group(last, entry) ? fmin(least, shares[i]) : shares[i];
        last = entry;
        bool ends_group = !(next && rr_admission_same_group(next, entry));
        if (ends_group && entry->key && least < 1) {
            const char *team = writer->config->teams[entry->team].name;
            add_row(out, newest, rr_admission_rest_id(team, entry->band), least);
        }
    }
}

static void add_teams(const rr_admission_writer *writer, const double *rooms,
                      rr_admission_table *out) {
    for (size_t i = 0; i < writer->config->team_count; i++) {
        rr_admission_team team = {.fair_room = rooms[i],
                                  .correction = writer->estimates.correction[i]};
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
    rr_admission_fair_rooms(writer->config, load, rooms);
    enum rr_share_method method = rr_admission_allocate(writer->config, load, entries, allocations);
    writer->stats.fallbacks += method == RR_SHARE_BY_FILLING;
    limit_by_rooms(writer, entries, rooms, allocations);
    for (guint i = 0; i < entries->len; i++) {
        shares[i] = admitted_share(&g_array_index(entries, rr_admission_entry, i), allocations[i]);
    }
    admit_first_jobs(entries, allocations, out->sequence, shares);
    for (guint i = 0; i < entries->len; i++) {
        add_row(out, newest, g_array_index(entries, rr_admission_entry, i).id, shares[i]);
    }
    add_rest_rows(writer, newest, entries, shares, out);
    add_teams(writer, rooms, out);
    rr_admission_table_sort(out);
    writer->stats.rows = out->rows->len;
    g_free(shares);
    g_free(allocations);
}

/* ---- visits ---- */

/* Forgets what was observed before a pause, in which this controller was not the autoscaler. */
static void forget_old_visits(rr_admission_writer *writer, double now) {
    if (now - writer->visited_at > PAUSE_INTERVALS_MAX * writer->settings->interval_s) {
        writer->visited_at = 0;
        writer->calm_tables = 0;
        memset(&writer->estimates, 0, sizeof writer->estimates);
    }
}

/* Overload begins when all that waits takes the fleet long and the fleet does not grow, and ends
 * after CALM_TABLES with little that waits or asks. */
static bool is_overloaded(rr_admission_writer *writer, rr_amount capacity_before, bool active) {
    const rr_admission_settings *settings = writer->settings;
    if (!active) {
        bool grows = writer->visited_at == 0 ||
                     writer->capacity.cpus > capacity_before.cpus * GROWTH_FACTOR_MIN + EPSILON;
        writer->calm_tables = 0;
        return writer->stats.backlog_s > settings->enter_backlog_s && !grows;
    }
    bool calm = writer->stats.backlog_s + writer->stats.asked_s < settings->leave_backlog_s;
    writer->calm_tables = calm ? writer->calm_tables + 1 : 0;
    return writer->calm_tables < CALM_TABLES;
}

static void sum_entries(rr_admission_writer *writer, const GArray *entries) {
    writer->stats.backlog_s = writer->stats.asked_s = 0;
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        writer->stats.backlog_s += entry->backlog;
        writer->stats.asked_s += entry->asked;
    }
}

static void begin_table(const rr_admission_writer *writer, const rr_admission_table *newest,
                        double wall, rr_admission_table *out) {
    rr_admission_table_init(out);
    out->sequence = newest->sequence + 1;
    out->starts_at = next_edge(writer, wall);
    out->length_s = writer->settings->interval_s;
    out->cpus = writer->capacity.cpus;
    out->gpus = writer->capacity.gpus;
    out->mem_gb = writer->capacity.mem_gb;
}

static bool has_room(rr_amount capacity) {
    return capacity.cpus > 0 || capacity.gpus > 0 || capacity.mem_gb > 0;
}

bool rr_admission_writer_next(rr_admission_writer *writer, const rr_offered_load *load,
                              const GArray *demand, const rr_admission_table *newest, double wall,
                              double now, rr_admission_table *out) {
    rr_amount capacity_before = writer->capacity;
    bool active = newest->sequence && newest->active;
    writer->capacity = rr_load_capacity(load);
    forget_old_visits(writer, now);
    double passed_s = writer->visited_at > 0 ? now - writer->visited_at : 0;
    rr_admission_estimates_update(&writer->estimates, writer->config, load, newest, passed_s);
    GArray *entries =
        rr_admission_entries(writer->config, load, demand, writer->estimates.correction);
    sum_entries(writer, entries);
    begin_table(writer, newest, wall, out);
    out->active = has_room(writer->capacity) && is_overloaded(writer, capacity_before, active);
    if (out->active) {
        fill_table(writer, load, entries, newest, out);
    }
    writer->visited_at = now;
    g_array_free(entries, TRUE);
    return out->active || active;
}
