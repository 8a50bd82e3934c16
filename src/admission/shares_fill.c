/* Division by progressive filling: each allocation grows a step at a time until its demand is met
 * or no pool that it may use has room left. Exact to a step, and never without a result. */
#include "admission/shares.h"

#include <math.h>
#include <string.h>

/* Steps in which all room would go to a single team. Teams with a guaranteed share wait until the
 * level reaches it, so there may be more steps. */
#define LEVEL_STEPS 256
#define STEPS_MAX 2048
#define EPSILON 1e-9

struct filling {
    rr_share_problem *problem;
    double *room; /* by pool and resource */
    bool *full;   /* by row: it can't grow */
    bool *grows;  /* by team */
};

static double *pool_room(const struct filling *filling, guint pool) {
    return &filling->room[(size_t)pool * RR_SHARE_RESOURCES];
}

/* How much more of the row fits into a pool with this room. */
static double allocation_that_fits(const rr_share_row *row, const double *room) {
    double fits = INFINITY;
    for (guint resource = 0; resource < RR_SHARE_RESOURCES; resource++) {
        if (row->use[resource] > EPSILON) {
            fits = fmin(fits, room[resource] / row->use[resource]);
        }
    }
    return fmax(fits, 0);
}

/* The pool in which most of the row fits, and how much; pool_count: none has room. */
static guint find_best_pool(const struct filling *filling, const rr_share_row *row, double *fits) {
    guint best = filling->problem->pool_count;
    *fits = EPSILON;
    for (guint pool = 0; pool < filling->problem->pool_count; pool++) {
        double here = row->pools[pool] ? allocation_that_fits(row, pool_room(filling, pool)) : 0;
        if (here > *fits) {
            *fits = here;
            best = pool;
        }
    }
    return best;
}

/* Grows the row by the amount, as far as its demand and the pools allow. */
static void grow_row(const struct filling *filling, rr_share_row *row, double amount) {
    double left = fmin(amount, row->demand - row->allocation);
    while (left > EPSILON) {
        double fits;
        guint best = find_best_pool(filling, row, &fits);
        if (best == filling->problem->pool_count) {
            break;
        }
        double part = fmin(left, fits);
        double *room = pool_room(filling, best);
        for (guint resource = 0; resource < RR_SHARE_RESOURCES; resource++) {
            room[resource] -= part * row->use[resource];
        }
        row->allocation += part;
        left -= part;
    }
}

/* Divides the amount among those of the team's rows that still grow. Returns what they took. */
static double grow_team(const struct filling *filling, guint team, double amount) {
    const rr_share_problem *problem = filling->problem;
    double weight = 0, taken = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        weight += problem->rows[i].team == team && !filling->full[i] ? problem->rows[i].weight : 0;
    }
    for (guint i = 0; i < problem->row_count && weight > 0; i++) {
        rr_share_row *row = &problem->rows[i];
        if (row->team != team || filling->full[i]) {
            continue;
        }
        double before = row->allocation, part = amount * row->weight / weight;
        grow_row(filling, row, part);
        taken += row->allocation - before;
        filling->full[i] = row->allocation - before < part - EPSILON;
    }
    return taken;
}

static void fill_guaranteed(const struct filling *filling) {
    for (guint team = 0; team < filling->problem->team_count; team++) {
        double left = filling->problem->teams[team].guaranteed, taken = 1;
        while (left > EPSILON && taken > EPSILON) {
            taken = grow_team(filling, team, left);
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

/* Raises the growing teams to the level; what is guaranteed to a team counts towards it. A team
 * that takes nothing more stops growing. */
static void raise_teams(const struct filling *filling, double level) {
    const rr_share_problem *problem = filling->problem;
    for (guint team = 0; team < problem->team_count; team++) {
        double more = level * problem->teams[team].weight - team_allocation(problem, team);
        if (filling->grows[team] && more > 0) {
            filling->grows[team] = grow_team(filling, team, more) > EPSILON;
        }
    }
}

static double growing_weight(const struct filling *filling) {
    double sum = 0;
    for (guint team = 0; team < filling->problem->team_count; team++) {
        sum += filling->grows[team] ? filling->problem->teams[team].weight : 0;
    }
    return sum;
}

/* Fills the room of each pool; returns the sum of the most plentiful resource. */
static double init_room(const struct filling *filling) {
    double sums[RR_SHARE_RESOURCES] = {0};
    for (guint pool = 0; pool < filling->problem->pool_count; pool++) {
        double *room = pool_room(filling, pool);
        for (guint resource = 0; resource < RR_SHARE_RESOURCES; resource++) {
            room[resource] = filling->problem->pools[pool].capacity[resource];
            sums[resource] += room[resource];
        }
    }
    return fmax(sums[0], fmax(sums[1], sums[2]));
}

void rr_share_fill(rr_share_problem *problem) {
    struct filling filling = {
        .problem = problem,
        .room = g_malloc0_n((size_t)problem->pool_count * RR_SHARE_RESOURCES + 1, sizeof(double)),
        .full = g_malloc0_n(problem->row_count + 1, sizeof(bool)),
        .grows = g_malloc0_n(problem->team_count + 1, sizeof(bool)),
    };
    double all_room = init_room(&filling), level = 0;
    for (guint i = 0; i < problem->row_count; i++) {
        problem->rows[i].allocation = 0;
    }
    memset(filling.grows, true, problem->team_count * sizeof(bool));
    fill_guaranteed(&filling);
    for (guint step = 0; step < STEPS_MAX; step++) {
        double weight = growing_weight(&filling);
        if (weight <= 0) {
            break;
        }
        level += all_room / LEVEL_STEPS / weight;
        raise_teams(&filling, level);
    }
    g_free(filling.room);
    g_free(filling.full);
    g_free(filling.grows);
}
