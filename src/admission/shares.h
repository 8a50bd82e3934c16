/* How room is shared: weighted max-min fairness over the scarcest resource each job takes (dominant
 * share), first among teams, then among the keys of each team. Jobs tied to zones or machine types
 * count in those pools of machines only. */
#ifndef RR_ADMISSION_SHARES_H
#define RR_ADMISSION_SHARES_H

#include <glib.h>
#include <stdbool.h>

#define RR_SHARE_RESOURCES 3 /* processors, cards, memory */

/* Machines of one type in one zone. */
typedef struct {
    double capacity[RR_SHARE_RESOURCES]; /* parts of all there is, times the time to be shared */
} rr_share_pool;

typedef struct {
    guint team;
    double weight;                  /* among its team's rows */
    double demand;                  /* in dominant share times time */
    double use[RR_SHARE_RESOURCES]; /* of each resource by one unit of demand; the largest is 1 */
    const bool *pools;              /* where it may run */
    double allocation;              /* the result */
} rr_share_row;

typedef struct {
    double weight;
    double least; /* what it gets in any case, if it asks for it */
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
    RR_SHARE_BY_FILLING  /* progressive filling: there was no time, or no solution */
};

/* Sets the allocation of each row. seconds: what the linear programs may take in all. */
enum rr_share_method rr_share_solve(rr_share_problem *problem, double seconds);
/* The fallback by itself. */
void rr_share_fill(rr_share_problem *problem);
/* Weighted max-min of one resource: each demand is met up to a common multiple of its weight. */
void rr_share_water_fill(const double *demands, const double *weights, guint count, double capacity,
                         double *out);
/* The same where everybody gets so much at least, if the demand is as large. */
void rr_share_water_fill_least(const double *demands, const double *weights, const double *least,
                               guint count, double capacity, double *out);

#endif
