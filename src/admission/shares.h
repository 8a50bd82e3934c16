/* Dominant resource fairness: divides capacity by weighted max-min fairness over each row's
 * dominant share, which is its share of the resource of which it takes most. Capacity is divided
 * first among teams, then among the rows of each team. Rows restricted to zones or machine types
 * get capacity in the pools of those machines only. */
#ifndef RR_ADMISSION_SHARES_H
#define RR_ADMISSION_SHARES_H

#include <glib.h>
#include <stdbool.h>

#define RR_SHARE_RESOURCE_COUNT 3 /* CPUs, GPUs, memory */

/* Machines of one type in one zone. */
typedef struct {
    double capacity[RR_SHARE_RESOURCE_COUNT]; /* fractions of the total, times seconds */
} rr_share_pool;

/* Jobs with the same team and restrictions, which get one allocation. */
typedef struct {
    guint team;                                   /* index in rr_share_problem.teams */
    double weight;                                /* among its team's rows */
    double demand;                                /* in dominant share times seconds */
    double resource_use[RR_SHARE_RESOURCE_COUNT]; /* by one unit of demand; the largest is 1 */
    const bool *pools;                            /* by pool: whether the row may run there */
    double allocation;                            /* the result, in the unit of the demand */
} rr_share_row;

typedef struct {
    double weight;
    double guaranteed; /* granted before the division, as far as the team's demand goes */
} rr_share_team;

typedef struct {
    rr_share_row *rows;
    guint row_count;
    const rr_share_pool *pools;
    guint pool_count;
    const rr_share_team *teams;
    guint team_count;
} rr_share_problem;

enum rr_share_method {
    RR_SHARE_METHOD_LINEAR_PROGRAM,     /* a linear program for each level */
    RR_SHARE_METHOD_PROGRESSIVE_FILLING /* the programs were too large, late or unsolved */
};

/* Sets the allocation of each row, by linear programs or, if they fail, by progressive filling.
 * seconds: time limit of all linear programs together. Returns the method used. */
enum rr_share_method rr_share_solve(rr_share_problem *problem, double seconds);

/* Sets the allocation of each row by progressive filling. */
void rr_share_solve_by_filling(rr_share_problem *problem);

/* Divides one resource by weighted max-min fairness: meets each demand up to a common multiple of
 * its weight. Sets out[i] to the allocation of demands[i]. */
void rr_share_water_fill(const double *demands, const double *weights, guint count, double capacity,
                         double *out);

/* Like rr_share_water_fill, but first meets each demand up to its guaranteed amount. */
void rr_share_water_fill_guaranteed(const double *demands, const double *weights,
                                    const double *guaranteed, guint count, double capacity,
                                    double *out);

#endif
