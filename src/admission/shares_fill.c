/* Division by progressive filling: each allocation grows step by step until its demand is met
 * or no pool that it may run in has capacity left. The result is accurate to one step. Unlike
 * linear programming, this always yields a result. */
#include "admission/shares.h"

#include <math.h>
#include <string.h>

/* Number of steps in which a single team would get the whole capacity. Up to STEPS_MAX steps are
 * made, since teams with a guaranteed amount do not grow until the level reaches it. */
#define LEVEL_STEPS 256
#define STEPS_MAX 2048
#define EPSILON 1e-9 /* smaller amounts count as zero */

struct filling {
    rr_share_problem *problem;
    double *remaining; /* capacity left, by pool and resource */
    bool *saturated;   /* by row: it cannot grow further */
    bool *team_grows;  /* by team: it can still grow */
};

/* Returns the pool's remaining capacity, by resource. */
static double *get_pool_remaining(const struct filling *filling, guint pool) {
    return &filling->remaining[(size_t)pool * RR_SHARE_RESOURCE_COUNT];
}

/* Returns how much more of the row fits into a pool with this capacity left. */
static double compute_fitting_allocation(const rr_share_row *row, const double *remaining) {
    double fits = INFINITY;
    for (guint resource = 0; resource < RR_SHARE_RESOURCE_COUNT; resource++) {
        if (row->resource_use[resource] > EPSILON) {
            fits = fmin(fits, remaining[resource] / row->resource_use[resource]);
        }
    }
    return fmax(fits, 0);
}

/* Returns the allowed pool in which most of the row fits and sets *fits to that amount. Returns
 * pool_count if nothing fits anywhere. */
static guint find_best_pool(const struct filling *filling, const rr_share_row *row, double *fits) {
    guint best = filling->problem->pool_count;
    *fits = EPSILON;
    for (guint pool = 0; pool < filling->problem->pool_count; pool++) {
        double amount = row->pools[pool]
                            ? compute_fitting_allocation(row, get_pool_remaining(filling, pool))
                            : 0;
        if (amount > *fits) {
            *fits = amount;
            best = pool;
        }
    }
    return best;
}

/* Raises the row's allocation by the amount, as far as its demand and the pools allow. */
static void grow_row(const struct filling *filling, rr_share_row *row, double amount) {
    double left = fmin(amount, row->demand - row->allocation);
    while (left > EPSILON) {
        double fits;
        guint best = find_best_pool(filling, row, &fits);
        if (best == filling->problem->pool_count) {
            break;
        }
        double part = fmin(left, fits);
        double *remaining = get_pool_remaining(filling, best);
        for (guint resource = 0; resource < RR_SHARE_RESOURCE_COUNT; resource++) {
            remaining[resource] -= part * row->resource_use[resource];
        }
        row->allocation += part;
        left -= part;
    }
}

/* Divides the amount by weight among those of the team's rows that can still grow. A row that takes
 * less than its part is saturated. Returns the amount taken. */
static double grow_team(const struct filling *filling, guint team, double amount) {
    const rr_share_problem *problem = filling->problem;
    double weight = 0, taken = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        weight +=
            problem->rows[i].team == team && !filling->saturated[i] ? problem->rows[i].weight : 0;
    }
    for (guint i = 0; i < problem->row_count && weight > 0; i++) {
        rr_share_row *row = &problem->rows[i];
        if (row->team != team || filling->saturated[i]) {
            continue;
        }
        double before = row->allocation, part = amount * row->weight / weight;
        grow_row(filling, row, part);
        taken += row->allocation - before;
        filling->saturated[i] = row->allocation - before < part - EPSILON;
    }
    return taken;
}

/* Grants each team its guaranteed amount, as far as its demand and the pools allow. */
static void fill_guaranteed(const struct filling *filling) {
    for (guint team = 0; team < filling->problem->team_count; team++) {
        double left = filling->problem->teams[team].guaranteed, taken = 1;
        while (left > EPSILON && taken > EPSILON) {
            taken = grow_team(filling, team, left);
            left -= taken;
        }
    }
}

static double sum_team_allocation(const rr_share_problem *problem, guint team) {
    double sum = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        sum += problem->rows[i].team == team ? problem->rows[i].allocation : 0;
    }
    return sum;
}

/* Raises the allocations of the growing teams to the level times their weight. Guaranteed amounts
 * count towards it. A team that takes nothing more stops growing. */
static void raise_teams_to_level(const struct filling *filling, double level) {
    const rr_share_problem *problem = filling->problem;
    for (guint team = 0; team < problem->team_count; team++) {
        double more = level * problem->teams[team].weight - sum_team_allocation(problem, team);
        if (filling->team_grows[team] && more > 0) {
            filling->team_grows[team] = grow_team(filling, team, more) > EPSILON;
        }
    }
}

static double sum_growing_weights(const struct filling *filling) {
    double sum = 0;
    for (guint team = 0; team < filling->problem->team_count; team++) {
        sum += filling->team_grows[team] ? filling->problem->teams[team].weight : 0;
    }
    return sum;
}

/* Sets the remaining capacity to the pools' capacity. Returns the total of the resource of which
 * there is most. */
static double init_remaining(const struct filling *filling) {
    double sums[RR_SHARE_RESOURCE_COUNT] = {0};
    for (guint pool = 0; pool < filling->problem->pool_count; pool++) {
        double *remaining = get_pool_remaining(filling, pool);
        for (guint resource = 0; resource < RR_SHARE_RESOURCE_COUNT; resource++) {
            remaining[resource] = filling->problem->pools[pool].capacity[resource];
            sums[resource] += remaining[resource];
        }
    }
    return fmax(sums[0], fmax(sums[1], sums[2]));
}

void rr_share_solve_by_filling(rr_share_problem *problem) {
    struct filling filling = {
        .problem = problem,
        .remaining =
            g_malloc0_n((size_t)problem->pool_count * RR_SHARE_RESOURCE_COUNT + 1, sizeof(double)),
        .saturated = g_malloc0_n(problem->row_count + 1, sizeof(bool)),
        .team_grows = g_malloc0_n(problem->team_count + 1, sizeof(bool)),
    };
    double total_capacity = init_remaining(&filling), level = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        problem->rows[i].allocation = 0;
    }
    memset(filling.team_grows, true, problem->team_count * sizeof(bool));
    fill_guaranteed(&filling);
    for (guint step = 0; step < STEPS_MAX; step++) {
        double weight = sum_growing_weights(&filling);
        if (weight <= 0) {
            break;
        }
        level += total_capacity / LEVEL_STEPS / weight;
        raise_teams_to_level(&filling, level);
    }
    g_free(filling.remaining);
    g_free(filling.saturated);
    g_free(filling.team_grows);
}
