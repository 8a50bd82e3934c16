/* One linear program of weighted max-min fairness. It maximizes the common level (allocation
 * divided by weight) of all entities that can still grow. Entities are either teams or single rows
 * of the problem. */
#ifndef RR_ADMISSION_LEVEL_PROGRAM_H
#define RR_ADMISSION_LEVEL_PROGRAM_H

#include "admission/shares.h"

#include <glpk.h>

/* Tolerance for comparing amounts, since the solver's results are not exact. */
#define RR_LEVEL_EPSILON 1e-7

/* The entities among which capacity is divided. The caller owns the arrays. */
struct rr_level_entities {
    const rr_share_problem *problem;
    guint entity_count;
    guint *row_entity;         /* the entity of each row of the problem */
    double *weights;           /* by entity */
    double *demands;           /* by entity */
    double *guarantees;        /* by entity: granted first, as far as its demand goes */
    double *fixed_allocations; /* by entity: set once it cannot grow further; below 0: it grows */
    const double *team_totals; /* by team: lower bound of the sum of its rows; NULL: none */
};

struct rr_level_program {
    const struct rr_level_entities *entities;
    glp_prob *glpk;
    /* GLPK counts rows and columns from 1. */
    int level_column;
    int *columns;         /* by row of the problem and pool; 0: the row may not run in the pool */
    int first_entity_row; /* the entities' rows follow one another */
    /* The non-zero elements of the matrix: int, int, double. GLPK ignores element 0. */
    GArray *matrix_rows, *matrix_columns, *matrix_values;
};

/* Builds the program over the entities, which must outlive it. level_max: upper bound of the level.
 * It is the lowest level that meets the demand of a growing entity. */
void rr_level_program_init(struct rr_level_program *program,
                           const struct rr_level_entities *entities, double level_max);
/* Frees the program, but not the entities. */
void rr_level_program_clear(struct rr_level_program *program);

/* Solves the program within `seconds`. Returns false if no optimum was found in that time. The
 * functions below require a solved program. */
bool rr_level_program_solve(const struct rr_level_program *program, double seconds);

/* Returns the level reached. */
double rr_level_program_get_level(const struct rr_level_program *program);
/* Returns whether the entity's row is binding: it cannot grow unless another entity at the common
 * level gets less. */
bool rr_level_program_entity_is_binding(const struct rr_level_program *program, guint entity);
/* Returns the allocation of a row of the problem, over all pools. */
double rr_level_program_get_allocation(const struct rr_level_program *program, guint row);

#endif
