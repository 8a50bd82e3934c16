/* One linear program of the division of room: how far the common level of all growing entities can
 * be raised. Entities are teams, or rows by themselves. */
#ifndef RR_ADMISSION_LEVEL_PROGRAM_H
#define RR_ADMISSION_LEVEL_PROGRAM_H

#include "admission/shares.h"

#include <glpk.h>

/* Amounts closer than this are equal: the programs' results are not exact. */
#define RR_LEVEL_EPSILON 1e-7

/* The entities whose level is common. The arrays are the caller's. */
struct rr_level_entities {
    const rr_share_problem *problem;
    guint entity_count;
    guint *entity_of;         /* by row of the problem */
    double *weight;           /* by entity */
    double *demand;           /* by entity */
    double *guaranteed;       /* by entity */
    double *fixed;            /* by entity: its allocation once it can't grow; <0: it grows */
    const double *team_total; /* by team: what its rows have in all; NULL: not given */
};

struct rr_level_program {
    const struct rr_level_entities *entities;
    glp_prob *glpk;
    /* Numbers of GLPK, from 1 on. */
    int level_column;
    int *columns; /* by row of the problem and pool; 0: none */
    int first_entity_row;
    GArray *rows, *cols, *values; /* int, int, double: the matrix; element 0 is unused */
};

/* Builds the program over the entities, which must outlive it. level_max: where the next entity has
 * all that it asks for. */
void rr_level_program_init(struct rr_level_program *program,
                           const struct rr_level_entities *entities, double level_max);
/* Frees the program, not the entities. */
void rr_level_program_clear(struct rr_level_program *program);

/* Solves the program within seconds. False: no solution in that time. */
bool rr_level_program_solve(const struct rr_level_program *program, double seconds);

/* The level reached. */
double rr_level_program_level(const struct rr_level_program *program);
/* True: the entity can't grow without another at the level losing. */
bool rr_level_program_is_bound(const struct rr_level_program *program, guint entity);
/* The allocation of a row of the problem. */
double rr_level_program_allocation(const struct rr_level_program *program, guint row);

#endif
