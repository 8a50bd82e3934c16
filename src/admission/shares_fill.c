/* Sharing by progressive filling: everybody's allocation grows a step at a time until its demand is
 * met or no pool that it may use has room left. Approximate by a step; never without a result. */
#include "admission/shares.h"

#include <math.h>
#include <string.h>

#define STEPS 256      /* in which all room would be given to one team */
#define STEPS_MAX 2048 /* teams above the level wait for it */
#define EPSILON 1e-9

void rr_share_water_fill(const double *demands, const double *weights, guint count, double capacity,
                         double *out) {
    memset(out, 0, count * sizeof *out);
    for (guint round = 0; round < count && capacity > EPSILON; round++) {
        double weight = 0, level = INFINITY;
        for (guint i = 0; i < count; i++) {
            bool open = demands[i] - out[i] > EPSILON;
            weight += open ? weights[i] : 0;
            level = open ? fmin(level, (demands[i] - out[i]) / weights[i]) : level;
        }
        if (weight <= 0) {
            return;
        }
        level = fmin(level, capacity / weight);
        for (guint i = 0; i < count; i++) {
            if (demands[i] - out[i] > EPSILON) {
                out[i] += level * weights[i];
            }
        }
        capacity -= level * weight;
    }
}

static bool lift_to_least(double *demands, const double *least, guint count, double *fixed,
                          double *capacity, const double *out) {
    bool any = false;
    for (guint i = 0; i < count; i++) {
        double floor = fmin(demands[i], least[i]);
        if (floor > out[i] + EPSILON) {
            fixed[i] = floor;
            demands[i] = 0; /* it takes no part in the filling any more */
            *capacity -= floor;
            any = true;
        }
    }
    return any;
}

void rr_share_water_fill_least(const double *demands, const double *weights, const double *least,
                               guint count, double capacity, double *out) {
    double *open = g_memdup2(demands, count * sizeof *open);
    double *fixed = g_malloc0_n(count + 1, sizeof *fixed);
    do {
        rr_share_water_fill(open, weights, count, fmax(capacity, 0), out);
    } while (lift_to_least(open, least, count, fixed, &capacity, out));
    for (guint i = 0; i < count; i++) {
        out[i] += fixed[i];
    }
    g_free(open);
    g_free(fixed);
}

/* How much more of the row the pool takes. */
static double room_for(const rr_share_row *row, const double *room) {
    double most = INFINITY;
    for (guint record_index = 0; record_index < RR_SHARE_RESOURCES; record_index++) {
        if (row->use[record_index] > EPSILON) {
            most = fmin(most, room[record_index] / row->use[record_index]);
        }
    }
    return fmax(most, 0);
}

static double take(const rr_share_problem *problem, double *room, rr_share_row *row,
                   double amount) {
    double left = fmin(amount, row->demand - row->allocation);
    while (left > EPSILON) {
        guint best = problem->pool_count;
        double most = EPSILON;
        for (guint pool = 0; pool < problem->pool_count; pool++) {
            double free =
                row->pools[pool] ? room_for(row, &room[(size_t)pool * RR_SHARE_RESOURCES]) : 0;
            if (free > most) {
                most = free;
                best = pool;
            }
        }
        if (best == problem->pool_count) {
            break;
        }
        double part = fmin(left, most);
        for (guint record_index = 0; record_index < RR_SHARE_RESOURCES; record_index++) {
            room[(size_t)best * RR_SHARE_RESOURCES + record_index] -= part * row->use[record_index];
        }
        row->allocation += part;
        left -= part;
    }
    return fmin(amount, row->demand) - left;
}

/* A team's part of a step, among those of its rows that still grow. */
static double step_team(rr_share_problem *problem, double *room, bool *full, guint team,
                        double amount) {
    double weight = 0, taken = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        weight += problem->rows[i].team == team && !full[i] ? problem->rows[i].weight : 0;
    }
    for (guint i = 0; i < problem->row_count && weight > 0; i++) {
        rr_share_row *row = &problem->rows[i];
        if (row->team != team || full[i]) {
            continue;
        }
        double before = row->allocation, part = amount * row->weight / weight;
        take(problem, room, row, part);
        taken += row->allocation - before;
        full[i] = row->allocation - before < part - EPSILON;
    }
    return taken;
}

static void fill_least(rr_share_problem *problem, double *room, bool *full) {
    for (guint team = 0; team < problem->team_count; team++) {
        double left = problem->teams[team].least, taken = 1;
        while (left > EPSILON && taken > EPSILON) {
            taken = step_team(problem, room, full, team, left);
            left -= taken;
        }
    }
}

static double team_allocation(const rr_share_problem *problem, guint team) {
    double sum = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        sum += problem->rows[i].team == team ? problem->rows[i].allocation : 0;
    }
    return sum;
}

/* Raises the growing teams towards the level; what its least share gave one already counts. Who
 * gets nothing more grows no further. */
static void raise_teams(rr_share_problem *problem, double *room, bool *full, bool *grows,
                        double level) {
    for (guint team = 0; team < problem->team_count; team++) {
        double more = level * problem->teams[team].weight - team_allocation(problem, team);
        if (grows[team] && more > 0) {
            grows[team] = step_team(problem, room, full, team, more) > EPSILON;
        }
    }
}

static double growing_weight(const rr_share_problem *problem, const bool *grows) {
    double sum = 0;
    for (guint team = 0; team < problem->team_count; team++) {
        sum += grows[team] ? problem->teams[team].weight : 0;
    }
    return sum;
}

/* Fills the room of each pool; returns the time there is of the most plentiful resource. */
static double init_room(const rr_share_problem *problem, double *room) {
    double all[RR_SHARE_RESOURCES] = {0};
    for (guint pool = 0; pool < problem->pool_count; pool++) {
        for (guint record_index = 0; record_index < RR_SHARE_RESOURCES; record_index++) {
            room[(size_t)pool * RR_SHARE_RESOURCES + record_index] =
                problem->pools[pool].capacity[record_index];
            all[record_index] += problem->pools[pool].capacity[record_index];
        }
    }
    return fmax(all[0], fmax(all[1], all[2]));
}

void rr_share_fill(rr_share_problem *problem) {
    double *room = g_malloc0_n((size_t)problem->pool_count * RR_SHARE_RESOURCES + 1, sizeof *room);
    bool *full = g_malloc0_n(problem->row_count + 1, sizeof *full);
    bool *grows = g_malloc0_n(problem->team_count + 1, sizeof *grows);
    double all = init_room(problem, room), level = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        problem->rows[i].allocation = 0;
    }
    memset(grows, true, problem->team_count * sizeof *grows);
    fill_least(problem, room, full);
    for (guint step = 0; step < STEPS_MAX; step++) {
        double weight = growing_weight(problem, grows);
        if (weight <= 0) {
            break;
        }
        level += all / STEPS / weight;
        raise_teams(problem, room, full, grows, level);
    }
    g_free(room);
    g_free(full);
    g_free(grows);
}
