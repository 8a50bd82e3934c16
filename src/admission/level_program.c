/* One linear program of weighted max-min fairness, solved with GLPK's simplex method. */
#include "admission/level_program.h"

#include <math.h>

static void add_element(struct rr_level_program *program, int row, int column, double value) {
    g_array_append_val(program->matrix_rows, row);
    g_array_append_val(program->matrix_columns, column);
    g_array_append_val(program->matrix_values, value);
}

/* Adds a constraint and returns its number. low and high: its bounds, of which `bound_type` (GLP_LO
 * or GLP_UP) selects one. */
static int add_row(struct rr_level_program *program, int bound_type, double low, double high) {
    int row = glp_add_rows(program->glpk, 1);
    glp_set_row_bnds(program->glpk, row, bound_type, low, high);
    return row;
}

/* Returns the program's column for the allocation of problem row `row` in a pool; 0 if the row may
 * not run in that pool. */
static int get_column(const struct rr_level_program *program, guint row, guint pool) {
    return program->columns[row * program->entities->problem->pool_count + pool];
}

/* Adds the allocation of problem row `row`, summed over all pools, to row `program_row` of the
 * program: its columns get the coefficient 1. */
static void add_allocation_elements(struct rr_level_program *program, guint row, int program_row) {
    for (guint pool = 0; pool < program->entities->problem->pool_count; pool++) {
        int column = get_column(program, row, pool);
        if (column) {
            add_element(program, program_row, column, 1);
        }
    }
}

/* Adds a column for each pool in which a row of the problem may run. */
static void add_allocation_columns(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    for (guint i = 0; i < problem->row_count; i++) {
        for (guint pool = 0; pool < problem->pool_count; pool++) {
            if (problem->rows[i].pools[pool]) {
                int column = glp_add_cols(program->glpk, 1);
                glp_set_col_bnds(program->glpk, column, GLP_LO, 0, 0);
                program->columns[i * problem->pool_count + pool] = column;
            }
        }
    }
}

/* Adds a constraint for each resource of each pool: its use is at most the capacity. */
static void add_capacity_rows(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    for (guint pool = 0; pool < problem->pool_count; pool++) {
        for (guint resource = 0; resource < RR_SHARE_RESOURCE_COUNT; resource++) {
            int row = add_row(program, GLP_UP, 0, problem->pools[pool].capacity[resource]);
            for (guint i = 0; i < problem->row_count; i++) {
                int column = get_column(program, i, pool);
                if (column && problem->rows[i].resource_use[resource] > 0) {
                    add_element(program, row, column, problem->rows[i].resource_use[resource]);
                }
            }
        }
    }
}

/* Adds a constraint for each row of the problem: its allocation is at most its demand. */
static void add_demand_rows(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    for (guint i = 0; i < problem->row_count; i++) {
        add_allocation_elements(program, i, add_row(program, GLP_UP, 0, problem->rows[i].demand));
    }
}

/* Adds a constraint for each team: its rows get its total, less the tolerance. Adds none if no
 * totals are given. */
static void add_team_total_rows(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    const double *team_totals = program->entities->team_totals;
    for (guint team = 0; team_totals && team < problem->team_count; team++) {
        int row = add_row(program, GLP_LO, team_totals[team] * (1 - RR_LEVEL_EPSILON), 0);
        for (guint i = 0; i < problem->row_count; i++) {
            if (problem->rows[i].team == team) {
                add_allocation_elements(program, i, row);
            }
        }
    }
}

/* Adds a constraint for each entity. While the entity grows, its allocation is at least the level
 * times its weight; afterwards it is at least the fixed allocation, less the tolerance. */
static void add_entity_rows(struct rr_level_program *program) {
    const struct rr_level_entities *entities = program->entities;
    program->first_entity_row = glp_get_num_rows(program->glpk) + 1;
    for (guint i = 0; i < entities->entity_count; i++) {
        bool grows = entities->fixed_allocations[i] < 0;
        double low = grows ? 0 : entities->fixed_allocations[i] * (1 - RR_LEVEL_EPSILON);
        int row = add_row(program, GLP_LO, low, 0);
        if (grows) {
            add_element(program, row, program->level_column, -entities->weights[i]);
        }
    }
    for (guint i = 0; i < entities->problem->row_count; i++) {
        add_allocation_elements(program, i,
                                program->first_entity_row + (int)entities->row_entity[i]);
    }
}

/* Adds a constraint for each entity with a guarantee: it gets that amount, or its demand if that is
 * less. */
static void add_guarantee_rows(struct rr_level_program *program) {
    const struct rr_level_entities *entities = program->entities;
    for (guint entity = 0; entity < entities->entity_count; entity++) {
        if (entities->guarantees[entity] <= 0) {
            continue;
        }
        double low = fmin(entities->guarantees[entity], entities->demands[entity]);
        int row = add_row(program, GLP_LO, low, 0);
        for (guint i = 0; i < entities->problem->row_count; i++) {
            if (entities->row_entity[i] == entity) {
                add_allocation_elements(program, i, row);
            }
        }
    }
}

static void load_matrix(struct rr_level_program *program) {
    glp_load_matrix(program->glpk, (int)program->matrix_rows->len - 1,
                    (const int *)(void *)program->matrix_rows->data,
                    (const int *)(void *)program->matrix_columns->data,
                    (const double *)(void *)program->matrix_values->data);
}

void rr_level_program_init(struct rr_level_program *program,
                           const struct rr_level_entities *entities, double level_max) {
    const rr_share_problem *problem = entities->problem;
    program->entities = entities;
    program->glpk = glp_create_prob();
    program->columns = g_new0(int, problem->row_count * problem->pool_count + 1);
    program->matrix_rows = g_array_new(FALSE, FALSE, sizeof(int));
    program->matrix_columns = g_array_new(FALSE, FALSE, sizeof(int));
    program->matrix_values = g_array_new(FALSE, FALSE, sizeof(double));
    add_element(program, 0, 0, 0); /* GLPK ignores element 0 */
    glp_set_obj_dir(program->glpk, GLP_MAX);
    program->level_column = glp_add_cols(program->glpk, 1);
    glp_set_col_bnds(program->glpk, program->level_column, GLP_DB, 0, level_max);
    glp_set_obj_coef(program->glpk, program->level_column, 1);
    add_allocation_columns(program);
    add_capacity_rows(program);
    add_demand_rows(program);
    add_team_total_rows(program);
    add_entity_rows(program);
    add_guarantee_rows(program);
    load_matrix(program);
}

void rr_level_program_clear(struct rr_level_program *program) {
    glp_delete_prob(program->glpk);
    g_free(program->columns);
    g_array_free(program->matrix_rows, TRUE);
    g_array_free(program->matrix_columns, TRUE);
    g_array_free(program->matrix_values, TRUE);
}

bool rr_level_program_solve(const struct rr_level_program *program, double seconds) {
    glp_smcp options;
    if (seconds <= 0) {
        return false;
    }
    glp_init_smcp(&options);
    options.msg_lev = GLP_MSG_OFF;
    options.tm_lim = (int)(seconds * 1000) + 1;
    return glp_simplex(program->glpk, &options) == 0 && glp_get_status(program->glpk) == GLP_OPT;
}

double rr_level_program_get_level(const struct rr_level_program *program) {
    return glp_get_col_prim(program->glpk, program->level_column);
}

bool rr_level_program_entity_is_binding(const struct rr_level_program *program, guint entity) {
    double dual_value = glp_get_row_dual(program->glpk, program->first_entity_row + (int)entity);
    return fabs(dual_value) > RR_LEVEL_EPSILON;
}

double rr_level_program_get_allocation(const struct rr_level_program *program, guint row) {
    double allocation = 0;
    for (guint pool = 0; pool < program->entities->problem->pool_count; pool++) {
        int column = get_column(program, row, pool);
        allocation += column ? glp_get_col_prim(program->glpk, column) : 0;
    }
    return allocation;
}
