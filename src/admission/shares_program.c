/* Sharing by linear programs, one a level: the common level of all who still grow is raised as far
 * as it goes, then those who can't grow further are fixed there, and the rest go on. */
#include "admission/shares.h"

#include <glpk.h>
#include <math.h>
#include <string.h>

#define EPSILON 1e-7
#define COLUMNS_MAX 20000 /* a larger program is not begun */
#define LEVELS_MAX 256

/* One stage: the entities among which the level is common are teams, or the rows by themselves. */
struct stage {
    rr_share_problem *problem;
    guint entity_count;
    guint *entity_of;    /* by row */
    double *weight;      /* by entity */
    double *demand;      /* by entity */
    double *least;       /* by entity */
    double *fixed;       /* by entity: its allocation, once it can't grow; <0: it grows */
    const double *teams; /* of the second stage: what each team has in all; else NULL */
    GTimer *timer;
    double seconds;
};

/* A program and where its parts are, by GLPK's numbers from 1 on. */
struct program {
    glp_prob *lp;
    int level;                    /* column */
    int *columns;                 /* by row and pool; 0: none */
    int first_entity;             /* row */
    GArray *row, *column, *value; /* int, int, double: the matrix; element 0 unused */
};

static void put_value(struct program *program, int row, int column, double value) {
    g_array_append_val(program->row, row);
    g_array_append_val(program->column, column);
    g_array_append_val(program->value, value);
}

static int add_row(struct program *program, int kind, double low, double high) {
    int row = glp_add_rows(program->lp, 1);
    glp_set_row_bnds(program->lp, row, kind, low, high);
    return row;
}

static int column_at(const struct stage *stage, const struct program *program, guint row,
                     guint pool) {
    return program->columns[row * stage->problem->pool_count + pool];
}

static void put_row_columns(const struct stage *stage, struct program *program, guint row,
                            int lp_row, double value) {
    for (guint pool = 0; pool < stage->problem->pool_count; pool++) {
        int column = column_at(stage, program, row, pool);
        if (column) {
            put_value(program, lp_row, column, value);
        }
    }
}

static void add_columns(const struct stage *stage, struct program *program) {
    const rr_share_problem *problem = stage->problem;
    for (guint i = 0; i < problem->row_count; i++) {
        for (guint pool = 0; pool < problem->pool_count; pool++) {
            if (problem->rows[i].pools[pool]) {
                int column = glp_add_cols(program->lp, 1);
                glp_set_col_bnds(program->lp, column, GLP_LO, 0, 0);
                program->columns[i * problem->pool_count + pool] = column;
            }
        }
    }
}

static void add_capacities(const struct stage *stage, struct program *program) {
    const rr_share_problem *problem = stage->problem;
    for (guint pool = 0; pool < problem->pool_count; pool++) {
        for (guint record_index = 0; record_index < RR_SHARE_RESOURCES; record_index++) {
            int row = add_row(program, GLP_UP, 0, problem->pools[pool].capacity[record_index]);
            for (guint i = 0; i < problem->row_count; i++) {
                int column = column_at(stage, program, i, pool);
                if (column && problem->rows[i].use[record_index] > 0) {
                    put_value(program, row, column, problem->rows[i].use[record_index]);
                }
            }
        }
    }
}

static void add_demands(const struct stage *stage, struct program *program) {
    for (guint i = 0; i < stage->problem->row_count; i++) {
        int row = add_row(program, GLP_UP, 0, stage->problem->rows[i].demand);
        put_row_columns(stage, program, i, row, 1);
    }
    for (guint team = 0; stage->teams && team < stage->problem->team_count; team++) {
        int row = add_row(program, GLP_LO, stage->teams[team] * (1 - EPSILON), 0);
        for (guint i = 0; i < stage->problem->row_count; i++) {
            if (stage->problem->rows[i].team == team) {
                put_row_columns(stage, program, i, row, 1);
            }
        }
    }
}

/* One row an entity: what it has, less the level times its weight while it grows. */
static void add_entities(const struct stage *stage, struct program *program) {
    program->first_entity = glp_get_num_rows(program->lp) + 1;
    for (guint entity = 0; entity < stage->entity_count; entity++) {
        bool grows = stage->fixed[entity] < 0;
        int row = add_row(program, GLP_LO, grows ? 0 : stage->fixed[entity] * (1 - EPSILON), 0);
        if (grows) {
            put_value(program, row, program->level, -stage->weight[entity]);
        }
    }
    for (guint i = 0; i < stage->problem->row_count; i++) {
        put_row_columns(stage, program, i, program->first_entity + (int)stage->entity_of[i], 1);
    }
    for (guint entity = 0; entity < stage->entity_count; entity++) {
        if (stage->least[entity] <= 0) {
            continue;
        }
        int row = add_row(program, GLP_LO, fmin(stage->least[entity], stage->demand[entity]), 0);
        for (guint i = 0; i < stage->problem->row_count; i++) {
            if (stage->entity_of[i] == entity) {
                put_row_columns(stage, program, i, row, 1);
            }
        }
    }
}

static void program_init(const struct stage *stage, struct program *program, double level_max) {
    int unused = 0;
    double none = 0;
    program->lp = glp_create_prob();
    program->columns = g_new0(int, stage->problem->row_count * stage->problem->pool_count + 1);
    program->row = g_array_new(FALSE, FALSE, sizeof(int));
    program->column = g_array_new(FALSE, FALSE, sizeof(int));
    program->value = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_val(program->row, unused);
    g_array_append_val(program->column, unused);
    g_array_append_val(program->value, none);
    glp_set_obj_dir(program->lp, GLP_MAX);
    program->level = glp_add_cols(program->lp, 1);
    glp_set_col_bnds(program->lp, program->level, GLP_DB, 0, level_max);
    glp_set_obj_coef(program->lp, program->level, 1);
    add_columns(stage, program);
    add_capacities(stage, program);
    add_demands(stage, program);
    add_entities(stage, program);
    glp_load_matrix(
        program->lp, (int)program->row->len - 1, (const int *)(void *)program->row->data,
        (const int *)(void *)program->column->data, (const double *)(void *)program->value->data);
}

static void program_clear(struct program *program) {
    glp_delete_prob(program->lp);
    g_free(program->columns);
    g_array_free(program->row, TRUE);
    g_array_free(program->column, TRUE);
    g_array_free(program->value, TRUE);
}

static bool program_solve(const struct stage *stage, const struct program *program) {
    glp_smcp options;
    double left = stage->seconds - g_timer_elapsed(stage->timer, NULL);
    if (left <= 0) {
        return false;
    }
    glp_init_smcp(&options);
    options.msg_lev = GLP_MSG_OFF;
    options.tm_lim = (int)(left * 1000) + 1;
    return glp_simplex(program->lp, &options) == 0 && glp_get_status(program->lp) == GLP_OPT;
}

/* Where the next one of those who grow has all that it asks for. */
static double next_saturation(const struct stage *stage) {
    double level = INFINITY;
    for (guint entity = 0; entity < stage->entity_count; entity++) {
        if (stage->fixed[entity] < 0) {
            level = fmin(level, stage->demand[entity] / stage->weight[entity]);
        }
    }
    return level;
}

/* Fixes those who have all they ask for at this level; else those whose row has a price, which
 * can't grow without somebody at the level losing; else, without any such sign, all of them. */
static guint fix_entities(struct stage *stage, const struct program *program, double level) {
    guint growing = 0, fixed = 0;
    bool priced = false;
    for (guint entity = 0; entity < stage->entity_count; entity++) {
        priced =
            priced ||
            (stage->fixed[entity] < 0 &&
             fabs(glp_get_row_dual(program->lp, program->first_entity + (int)entity)) > EPSILON);
    }
    for (guint entity = 0; entity < stage->entity_count; entity++) {
        if (stage->fixed[entity] >= 0) {
            continue;
        }
        bool sated =
            stage->demand[entity] <= level * stage->weight[entity] * (1 + EPSILON) + EPSILON;
        bool bound =
            fabs(glp_get_row_dual(program->lp, program->first_entity + (int)entity)) > EPSILON;
        if (sated || bound || !priced) {
            stage->fixed[entity] = fmin(stage->demand[entity], level * stage->weight[entity]);
            fixed++;
        }
        growing++;
    }
    return growing - fixed;
}

static void read_allocations(const struct stage *stage, const struct program *program) {
    for (guint i = 0; i < stage->problem->row_count; i++) {
        rr_share_row *row = &stage->problem->rows[i];
        row->allocation = 0;
        for (guint pool = 0; pool < stage->problem->pool_count; pool++) {
            int column = column_at(stage, program, i, pool);
            row->allocation += column ? glp_get_col_prim(program->lp, column) : 0;
        }
    }
}

/* Level after level. False: no time, or no solution. */
static bool solve_stage(struct stage *stage) {
    guint growing = 0;
    for (guint entity = 0; entity < stage->entity_count; entity++) {
        bool asks = stage->demand[entity] > EPSILON;
        stage->fixed[entity] = asks ? -1 : 0;
        growing += asks;
    }
    for (guint level = 0; growing > 0; level++) {
        struct program program;
        double saturation = next_saturation(stage);
        program_init(stage, &program, saturation);
        bool solved = level < LEVELS_MAX && program_solve(stage, &program);
        if (solved) {
            double reached = glp_get_col_prim(program.lp, program.level);
            growing = fix_entities(stage, &program, reached);
            read_allocations(stage, &program);
        }
        program_clear(&program);
        if (!solved) {
            return false;
        }
    }
    return true;
}

static void stage_init(struct stage *stage, rr_share_problem *problem, guint entities) {
    memset(stage, 0, sizeof *stage);
    stage->problem = problem;
    stage->entity_count = entities;
    stage->entity_of = g_malloc0_n(problem->row_count + 1, sizeof *stage->entity_of);
    stage->weight = g_malloc0_n(entities + 1, sizeof *stage->weight);
    stage->demand = g_malloc0_n(entities + 1, sizeof *stage->demand);
    stage->least = g_malloc0_n(entities + 1, sizeof *stage->least);
    stage->fixed = g_malloc0_n(entities + 1, sizeof *stage->fixed);
}

static void stage_clear(struct stage *stage) {
    g_free(stage->entity_of);
    g_free(stage->weight);
    g_free(stage->demand);
    g_free(stage->least);
    g_free(stage->fixed);
}

static bool solve_teams(rr_share_problem *problem, GTimer *timer, double seconds, double *teams) {
    struct stage stage;
    stage_init(&stage, problem, problem->team_count);
    stage.timer = timer;
    stage.seconds = seconds;
    for (guint team = 0; team < problem->team_count; team++) {
        stage.weight[team] = problem->teams[team].weight;
        stage.least[team] = problem->teams[team].least;
    }
    for (guint i = 0; i < problem->row_count; i++) {
        stage.entity_of[i] = problem->rows[i].team;
        stage.demand[problem->rows[i].team] += problem->rows[i].demand;
    }
    bool solved = solve_stage(&stage);
    for (guint i = 0; i < problem->row_count && solved; i++) {
        teams[problem->rows[i].team] += problem->rows[i].allocation;
    }
    stage_clear(&stage);
    return solved;
}

/* Rows weigh what their team has, parted by their weights within it. */
static bool solve_rows(rr_share_problem *problem, GTimer *timer, double seconds,
                       const double *teams) {
    struct stage stage;
    double *weights = g_new0(double, problem->team_count + 1);
    stage_init(&stage, problem, problem->row_count);
    stage.timer = timer;
    stage.seconds = seconds;
    stage.teams = teams;
    for (guint i = 0; i < problem->row_count; i++) {
        weights[problem->rows[i].team] += problem->rows[i].weight;
    }
    for (guint i = 0; i < problem->row_count; i++) {
        const rr_share_row *row = &problem->rows[i];
        stage.entity_of[i] = i;
        stage.demand[i] = row->demand;
        stage.weight[i] = fmax(teams[row->team], EPSILON) * row->weight / weights[row->team];
    }
    bool solved = solve_stage(&stage);
    g_free(weights);
    stage_clear(&stage);
    return solved;
}

static size_t column_count(const rr_share_problem *problem) {
    return (size_t)problem->row_count * problem->pool_count;
}

enum rr_share_method rr_share_solve(rr_share_problem *problem, double seconds) {
    GTimer *timer = g_timer_new();
    double *teams = g_new0(double, problem->team_count + 1);
    glp_term_out(GLP_OFF);
    bool solved = column_count(problem) <= COLUMNS_MAX &&
                  solve_teams(problem, timer, seconds, teams) &&
                  solve_rows(problem, timer, seconds, teams);
    if (!solved) {
        rr_share_fill(problem);
    }
    glp_free_env();
    g_free(teams);
    g_timer_destroy(timer);
    return solved ? RR_SHARE_BY_PROGRAM : RR_SHARE_BY_FILLING;
}
