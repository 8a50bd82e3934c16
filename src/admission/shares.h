/* The division of room: weighted max-min fairness over the resource of which each job takes most
 * (dominant share), first among teams, then among the rows of each team. Jobs restricted to zones
 * or machine types count in those pools of machines only. */
#ifndef RR_ADMISSION_SHARES_H
#define RR_ADMISSION_SHARES_H

#include <glib.h>
#include <stdbool.h>

#define RR_SHARE_RESOURCES 3 /* CPUs, GPUs, memory */

/* Machines of one type in one zone. */
typedef struct {
    double capacity[RR_SHARE_RESOURCES]; /* parts of all room, times the seconds to be divided */
} rr_share_pool;

typedef struct {
    guint team;
    double weight;                  /* among its team's rows */
    double demand;                  /* in dominant share times seconds */
    double use[RR_SHARE_RESOURCES]; /* of each resource by one unit of demand; the largest is 1 */
    const bool *pools;              /* by pool: whether it may run there */
    double allocation;              /* the result, in the unit of the demand */
} rr_share_row;

typedef struct {
    double weight;
    double guaranteed; /* what it gets before others, as far as it asks for it */
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
    RR_SHARE_BY_PROGRAM, /* linear programs, level by level */
    RR_SHARE_BY_FILLING  /* progressive filling: no time was left, or no solution found */
};

/* Sets the allocation of each row. seconds: limit of the linear programs in all. */
enum rr_share_method rr_share_solve(rr_share_problem *problem, double seconds);

/* Sets the allocation of each row by progressive filling. */
void rr_share_fill(rr_share_problem *problem);

/* Weighted max-min fairness of one resource: meets each demand up to a common multiple of its
 * weight. out: the allocations. */
void rr_share_water_fill(const double *demands, const double *weights, guint count, double capacity,
                         double *out);

/* The same where each demand is met up to its guaranteed amount first. */
void rr_share_water_fill_guaranteed(const double *demands, const double *weights,
                                    const double *guaranteed, guint count, double capacity,
                                    double *out);

#endif
