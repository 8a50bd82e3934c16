/* One linear program of the division of room. */
#include "admission/level_program.h"

#include <math.h>

static void put_value(struct rr_level_program *program, int row, int column, double value) {
    g_array_append_val(program->rows, row);
    g_array_append_val(program->cols, column);
    g_array_append_val(program->values, value);
}

static int add_row(struct rr_level_program *program, int kind, double low, double high) {
    int row = glp_add_rows(program->glpk, 1);
    glp_set_row_bnds(program->glpk, row, kind, low, high);
    return row;
}

/* 0: the row of the problem may not run in the pool. */
static int column_of(const struct rr_level_program *program, guint row, guint pool) {
    return program->columns[row * program->entities->problem->pool_count + pool];
}

/* Adds the whole allocation of a row of the problem to a row of the program. */
static void put_allocation(struct rr_level_program *program, guint row, int program_row) {
    for (guint pool = 0; pool < program->entities->problem->pool_count; pool++) {
        int column = column_of(program, row, pool);
        if (column) {
            put_value(program, program_row, column, 1);
        }
    }
}

static void add_columns(struct rr_level_program *program) {
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

static void add_capacities(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    for (guint pool = 0; pool < problem->pool_count; pool++) {
        for (guint resource = 0; resource < RR_SHARE_RESOURCES; resource++) {
            int row = add_row(program, GLP_UP, 0, problem->pools[pool].capacity[resource]);
            for (guint i = 0; i < problem->row_count; i++) {
                int column = column_of(program, i, pool);
                if (column && problem->rows[i].use[resource] > 0) {
                    put_value(program, row, column, problem->rows[i].use[resource]);
                }
            }
        }
    }
}

static void add_demands(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    for (guint i = 0; i < problem->row_count; i++) {
        put_allocation(program, i, add_row(program, GLP_UP, 0, problem->rows[i].demand));
    }
}

static void add_team_totals(struct rr_level_program *program) {
    const rr_share_problem *problem = program->entities->problem;
    const double *team_total = program->entities->team_total;
    for (guint team = 0; team_total && team < problem->team_count; team++) {
        int row = add_row(program, GLP_LO, team_total[team] * (1 - RR_LEVEL_EPSILON), 0);
        for (guint i = 0; i < problem->row_count; i++) {
            if (problem->rows[i].team == team) {
                put_allocation(program, i, row);
            }
        }
    }
}

/* A row for each entity: its allocation, less the level times its weight while it grows. */
static void add_entities(struct rr_level_program *program) {
    const struct rr_level_entities *entities = program->entities;
    program->first_entity_row = glp_get_num_rows(program->glpk) + 1;
    for (guint i = 0; i < entities->entity_count; i++) {
        bool grows = entities->fixed[i] < 0;
        double low = grows ? 0 : entities->fixed[i] * (1 - RR_LEVEL_EPSILON);
        int row = add_row(program, GLP_LO, low, 0);
        if (grows) {
            put_value(program, row, program->level_column, -entities->weight[i]);
        }
    }
    for (guint i = 0; i < entities->problem->row_count; i++) {
        put_allocation(program, i, program->first_entity_row + (int)entities->entity_of[i]);
    }
}

static void add_guaranteed(struct rr_level_program *program) {
    const struct rr_level_entities *entities = program->entities;
    for (guint entity = 0; entity < entities->entity_count; entity++) {
        if (entities->guaranteed[entity] <= 0) {
            continue;
        }
        double low = fmin(entities->guaranteed[entity], entities->demand[entity]);
        int row = add_row(program, GLP_LO, low, 0);
        for (guint i = 0; i < entities->problem->row_count; i++) {
            if (entities->entity_of[i] == entity) {
                put_allocation(program, i, row);
            }
        }
    }
}

static void load_matrix(struct rr_level_program *program) {
    glp_load_matrix(
        program->glpk, (int)program->rows->len - 1, (const int *)(void *)program->rows->data,
        (const int *)(void *)program->cols->data, (const double *)(void *)program->values->data);
}

void rr_level_program_init(struct rr_level_program *program,
                           const struct rr_level_entities *entities, double level_max) {
    const rr_share_problem *problem = entities->problem;
    program->entities = entities;
    program->glpk = glp_create_prob();
    program->columns = g_new0(int, problem->row_count * problem->pool_count + 1);
    program->rows = g_array_new(FALSE, FALSE, sizeof(int));
    program->cols = g_array_new(FALSE, FALSE, sizeof(int));
    program->values = g_array_new(FALSE, FALSE, sizeof(double));
    put_value(program, 0, 0, 0); /* element 0 */
    glp_set_obj_dir(program->glpk, GLP_MAX);
    program->level_column = glp_add_cols(program->glpk, 1);
    glp_set_col_bnds(program->glpk, program->level_column, GLP_DB, 0, level_max);
    glp_set_obj_coef(program->glpk, program->level_column, 1);
    add_columns(program);
    add_capacities(program);
    add_demands(program);
    add_team_totals(program);
    add_entities(program);
    add_guaranteed(program);
    load_matrix(program);
}

void rr_level_program_clear(struct rr_level_program *program) {
    glp_delete_prob(program->glpk);
    g_free(program->columns);
    g_array_free(program->rows, TRUE);
    g_array_free(program->cols, TRUE);
    g_array_free(program->values, TRUE);
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

double rr_level_program_level(const struct rr_level_program *program) {
    return glp_get_col_prim(program->glpk, program->level_column);
}

bool rr_level_program_is_bound(const struct rr_level_program *program, guint entity) {
    double price = glp_get_row_dual(program->glpk, program->first_entity_row + (int)entity);
    return fabs(price) > RR_LEVEL_EPSILON;
}

double rr_level_program_allocation(const struct rr_level_program *program, guint row) {
    double allocation = 0;
    for (guint pool = 0; pool < program->entities->problem->pool_count; pool++) {
        int column = column_of(program, row, pool);
        allocation += column ? glp_get_col_prim(program->glpk, column) : 0;
    }
    return allocation;
}
