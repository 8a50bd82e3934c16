/* Makes the admission table of each interval. */
#include "admission/writer.h"
#include "admission/allocations.h"
#include "admission/entries.h"
#include "admission/estimates.h"

#include <math.h>
#include <string.h>

/* The next table is made in this last part of an interval. */
#define LEAD_INTERVALS 0.4
/* After a longer gap between two tables, in intervals, earlier observations are discarded. */
#define GAP_INTERVALS_MAX 3.0
/* Overload ends after this many tables in a row with little work. */
#define RECOVERY_TABLES 3u
/* The cluster is growing if its CPUs rose by more than this factor since the last table. */
#define GROWTH_FACTOR_MIN 1.001
/* An allocation meets a demand from this fraction on, since the solver's results are not exact. */
#define SATISFIED_FRACTION 0.999
#define EPSILON 1e-9 /* smaller amounts count as zero */

struct rr_admission_writer {
    const struct rr_config *config;
    const rr_admission_settings *settings;
    rr_resource_amount capacity; /* at the last call of rr_admission_writer_make_table */
    double last_made_at;         /* monotonic time of that call; 0: none */
    unsigned recovery_tables;    /* tables in a row with little work */
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

/* Returns the wall-clock time at which the next interval starts. Intervals start at multiples of
 * their length, which is the same on every controller. */
static double compute_next_interval_start(const rr_admission_writer *writer, double wall) {
    double length_s = writer->settings->interval_s;
    return (floor(wall / length_s) + 1) * length_s;
}

bool rr_admission_writer_is_due(const rr_admission_writer *writer, const rr_admission_table *newest,
                                double wall) {
    double length_s = writer->settings->interval_s,
           next_start = compute_next_interval_start(writer, wall);
    bool written = newest->sequence && newest->starts_at > next_start - length_s / 2;
    return !written && next_start - wall <= LEAD_INTERVALS * length_s;
}

/* ---- shares ---- */

/* Returns which fraction of the entry's requested work is admitted, given its allocation. An entry
 * whose demand is met is not limited. */
static double compute_admitted_share(const rr_admission_entry *entry, double allocation) {
    if (allocation >= SATISFIED_FRACTION * (entry->backlog + entry->requested)) {
        return 1;
    }
    return entry->requested > EPSILON
               ? CLAMP((allocation - entry->backlog) / entry->requested, 0, 1)
               : 0;
}

/* Raises the shares so that one job of each key without waiting work is admitted, however large,
 * because a job larger than its key's share would otherwise never be admitted. This is done only
 * while the team has some of its allocation remaining, and starts with a different key in each
 * table, so that a team gains nothing by using many classes. */
static void admit_first_jobs(const GArray *entries, const double *allocations, uint64_t sequence,
                             double *shares) {
    double allocation_left[RR_TEAMS_MAX] = {0};
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        allocation_left[entry->team] += allocations[i] - entry->backlog;
        allocation_left[entry->team] -= entry->backlog < EPSILON ? 0 : shares[i] * entry->requested;
    }
    for (guint k = 0; k < entries->len; k++) {
        guint i = (guint)((k + sequence) % entries->len);
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        double one_job = entry->requested / fmax(entry->job_count, 1);
        if (entry->backlog >= EPSILON || entry->job_count < EPSILON) {
            continue;
        }
        if (allocation_left[entry->team] > EPSILON) {
            shares[i] = fmax(shares[i], fmin(1, 1 / entry->job_count));
        }
        allocation_left[entry->team] -= fmax(shares[i] * entry->requested, one_job);
    }
}

/* Limits each team's allocations to the work that its fair share completes within the horizon. A
 * longer queue, in allocations that other teams leave unused, would not be served any sooner. */
static void limit_to_fair_shares(const rr_admission_writer *writer, const GArray *entries,
                                 const double *fair_shares, double *allocations) {
    double team_total[RR_TEAMS_MAX] = {0};
    for (guint i = 0; i < entries->len; i++) {
        team_total[g_array_index(entries, rr_admission_entry, i).team] += allocations[i];
    }
    for (guint i = 0; i < entries->len; i++) {
        guint team = g_array_index(entries, rr_admission_entry, i).team;
        double limit = fair_shares[team] * rr_admission_compute_horizon_s(writer->settings);
        allocations[i] *= team_total[team] > limit ? limit / team_total[team] : 1;
    }
}

/* ---- the table ---- */

/* Returns the position on the hash ring at which the row's window begins: the one that the newest
 * table's window would reach at starts_at. A row that the newest table lacks begins at a position
 * derived from its id. */
static uint32_t compute_phase(const rr_admission_table *newest, uint64_t id, double starts_at) {
    const rr_admission_row *row = newest->active ? rr_admission_table_find_row(newest, id) : NULL;
    if (!row) {
        return (uint32_t)id;
    }
    double intervals = round((starts_at - newest->starts_at) / newest->length_s);
    return row->phase + (uint32_t)((uint64_t)fmax(intervals, 0) * row->share);
}

static void add_row(rr_admission_table *out, const rr_admission_table *newest, uint64_t id,
                    double share) {
    rr_admission_row row = {.id = id, .phase = compute_phase(newest, id, out->starts_at)};
    row.share = (uint64_t)(share * (double)RR_ADMISSION_SHARE_FULL);
    g_array_append_val(out->rows, row);
}

/* Adds a default row for the keys of a group (team and band) that have no row of their own. It gets
 * the smallest share of the group, so that a new class cannot evade the limits. Groups without
 * limited keys need no default row; a group with a merged entry already has one. */
static void add_default_rows(const rr_admission_writer *writer, const rr_admission_table *newest,
                             const GArray *entries, const double *shares, rr_admission_table *out) {
    const rr_admission_entry *last = NULL;
    double least = 1;
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        const rr_admission_entry *next = i + 1 < entries->len ? entry + 1 : NULL;
        least = rr_admission_in_same_group(last, entry) ? fmin(least, shares[i]) : shares[i];
        last = entry;
        bool ends_group = !(next && rr_admission_in_same_group(next, entry));
        if (ends_group && entry->key && least < 1) {
            const char *team = writer->config->teams[entry->team].name;
            add_row(out, newest, rr_admission_default_row_id(team, entry->band), least);
        }
    }
}

static void add_teams(const rr_admission_writer *writer, const double *fair_shares,
                      rr_admission_table *out) {
    for (size_t i = 0; i < writer->config->team_count; i++) {
        rr_admission_team team = {.fair_share = fair_shares[i],
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
    double fair_shares[RR_TEAMS_MAX] = {0};
    rr_admission_compute_fair_shares(writer->config, load, fair_shares);
    enum rr_share_method method = rr_admission_allocate(writer->config, load, entries, allocations);
    writer->stats.filling_fallbacks += method == RR_SHARE_METHOD_PROGRESSIVE_FILLING;
    limit_to_fair_shares(writer, entries, fair_shares, allocations);
    for (guint i = 0; i < entries->len; i++) {
        shares[i] =
            compute_admitted_share(&g_array_index(entries, rr_admission_entry, i), allocations[i]);
    }
    admit_first_jobs(entries, allocations, out->sequence, shares);
    for (guint i = 0; i < entries->len; i++) {
        add_row(out, newest, g_array_index(entries, rr_admission_entry, i).id, shares[i]);
    }
    add_default_rows(writer, newest, entries, shares, out);
    add_teams(writer, fair_shares, out);
    rr_admission_table_sort(out);
    writer->stats.row_count = out->rows->len;
    g_free(shares);
    g_free(allocations);
}

/* ---- detecting overload ---- */

/* Discards earlier observations if a gap shows that this controller did not run the autoscaler in
 * the meantime. */
static void reset_after_gap(rr_admission_writer *writer, double now) {
    if (now - writer->last_made_at > GAP_INTERVALS_MAX * writer->settings->interval_s) {
        writer->last_made_at = 0;
        writer->recovery_tables = 0;
        memset(&writer->estimates, 0, sizeof writer->estimates);
    }
}

/* Returns whether there is overload, given whether there was before. Overload begins when the
 * waiting work takes longer than enter_backlog_s while the cluster is not growing. It ends after
 * RECOVERY_TABLES tables in a row for which waiting and requested work take less than
 * leave_backlog_s. */
static bool is_overloaded(rr_admission_writer *writer, rr_resource_amount capacity_before,
                          bool active) {
    const rr_admission_settings *settings = writer->settings;
    if (!active) {
        bool is_growing =
            writer->last_made_at == 0 ||
            writer->capacity.cpus > capacity_before.cpus * GROWTH_FACTOR_MIN + EPSILON;
        writer->recovery_tables = 0;
        return writer->stats.backlog_s > settings->enter_backlog_s && !is_growing;
    }
    bool recovering =
        writer->stats.backlog_s + writer->stats.requested_s < settings->leave_backlog_s;
    writer->recovery_tables = recovering ? writer->recovery_tables + 1 : 0;
    return writer->recovery_tables < RECOVERY_TABLES;
}

/* Updates the figures for the log, on which the detection of overload also relies. */
static void sum_entries(rr_admission_writer *writer, const GArray *entries) {
    writer->stats.backlog_s = writer->stats.requested_s = 0;
    for (guint i = 0; i < entries->len; i++) {
        const rr_admission_entry *entry = &g_array_index(entries, rr_admission_entry, i);
        writer->stats.backlog_s += entry->backlog;
        writer->stats.requested_s += entry->requested;
    }
}

static void init_table_header(const rr_admission_writer *writer, const rr_admission_table *newest,
                              double wall, rr_admission_table *out) {
    rr_admission_table_init(out);
    out->sequence = newest->sequence + 1;
    out->starts_at = compute_next_interval_start(writer, wall);
    out->length_s = writer->settings->interval_s;
    out->cpus = writer->capacity.cpus;
    out->gpus = writer->capacity.gpus;
    out->mem_gb = writer->capacity.mem_gb;
}

static bool has_capacity(rr_resource_amount capacity) {
    return capacity.cpus > 0 || capacity.gpus > 0 || capacity.mem_gb > 0;
}

bool rr_admission_writer_make_table(rr_admission_writer *writer, const rr_offered_load *load,
                                    const GArray *demand, const rr_admission_table *newest,
                                    double wall, double now, rr_admission_table *out) {
    rr_resource_amount capacity_before = writer->capacity;
    bool active = newest->sequence && newest->active;
    writer->capacity = rr_offered_load_capacity(load);
    reset_after_gap(writer, now);
    double passed_s = writer->last_made_at > 0 ? now - writer->last_made_at : 0;
    rr_admission_estimates_update(&writer->estimates, writer->config, load, newest, passed_s);
    GArray *entries =
        rr_admission_collect_entries(writer->config, load, demand, writer->estimates.correction);
    sum_entries(writer, entries);
    init_table_header(writer, newest, wall, out);
    out->active = has_capacity(writer->capacity) && is_overloaded(writer, capacity_before, active);
    if (out->active) {
        fill_table(writer, load, entries, newest, out);
    }
    writer->last_made_at = now;
    g_array_free(entries, TRUE);
    return out->active || active;
}
