/* Division by linear programs, one for each level: the common level of all growing entities is
 * raised as far as it goes, those that can't grow further are fixed there, and the others go on.
 * The first stage divides among teams, the second among the rows of each. */
#include "admission/level_program.h"
#include "admission/shares.h"

#include <math.h>
#include <string.h>

/* A larger program is not begun. */
#define PROGRAM_COLUMNS_MAX 20000
#define LEVELS_MAX 256

struct stage {
    rr_share_problem *problem;
    struct rr_level_entities entities;
    GTimer *timer; /* of both stages */
    double seconds;
};

static void stage_init(struct stage *stage, rr_share_problem *problem, guint entity_count,
                       GTimer *timer, double seconds) {
    memset(stage, 0, sizeof *stage);
    stage->problem = problem;
    stage->timer = timer;
    stage->seconds = seconds;
    stage->entities = (struct rr_level_entities){
        .problem = problem,
        .entity_count = entity_count,
        .entity_of = g_malloc0_n(problem->row_count + 1, sizeof(guint)),
        .weight = g_malloc0_n(entity_count + 1, sizeof(double)),
        .demand = g_malloc0_n(entity_count + 1, sizeof(double)),
        .guaranteed = g_malloc0_n(entity_count + 1, sizeof(double)),
        .fixed = g_malloc0_n(entity_count + 1, sizeof(double)),
    };
}

static void stage_clear(struct stage *stage) {
    g_free(stage->entities.entity_of);
    g_free(stage->entities.weight);
    g_free(stage->entities.demand);
    g_free(stage->entities.guaranteed);
    g_free(stage->entities.fixed);
}

/* The level at which the next growing entity has all that it asks for. */
static double next_saturation(const struct rr_level_entities *entities) {
    double level = INFINITY;
    for (guint i = 0; i < entities->entity_count; i++) {
        if (entities->fixed[i] < 0) {
            level = fmin(level, entities->demand[i] / entities->weight[i]);
        }
    }
    return level;
}

static bool any_growing_is_bound(const struct rr_level_entities *entities,
                                 const struct rr_level_program *program) {
    for (guint i = 0; i < entities->entity_count; i++) {
        if (entities->fixed[i] < 0 && rr_level_program_is_bound(program, i)) {
            return true;
        }
    }
    return false;
}

/* Fixes the entities that have all they ask for at this level and those that can't grow beyond it;
 * if the program shows none of the latter, all of them. Returns how many still grow. */
static guint fix_entities(struct rr_level_entities *entities,
                          const struct rr_level_program *program, double level) {
    guint growing = 0;
    bool any_bound = any_growing_is_bound(entities, program);
    for (guint i = 0; i < entities->entity_count; i++) {
        if (entities->fixed[i] >= 0) {
            continue;
        }
        double allocation = level * entities->weight[i];
        bool saturated =
            entities->demand[i] <= allocation * (1 + RR_LEVEL_EPSILON) + RR_LEVEL_EPSILON;
        if (saturated || !any_bound || rr_level_program_is_bound(program, i)) {
            entities->fixed[i] = fmin(entities->demand[i], allocation);
        } else {
            growing++;
        }
    }
    return growing;
}

/* Returns how many entities grow. */
static guint begin_growth(struct rr_level_entities *entities) {
    guint growing = 0;
    for (guint i = 0; i < entities->entity_count; i++) {
        bool asks = entities->demand[i] > RR_LEVEL_EPSILON;
        entities->fixed[i] = asks ? -1 : 0;
        growing += asks;
    }
    return growing;
}

/* Raises one level and sets the allocations. False: no time is left, or there is no solution. */
static bool raise_level(struct stage *stage, guint *growing) {
    struct rr_level_program program;
    rr_level_program_init(&program, &stage->entities, next_saturation(&stage->entities));
    bool solved =
        rr_level_program_solve(&program, stage->seconds - g_timer_elapsed(stage->timer, NULL));
    if (solved) {
        *growing = fix_entities(&stage->entities, &program, rr_level_program_level(&program));
        for (guint i = 0; i < stage->problem->row_count; i++) {
            stage->problem->rows[i].allocation = rr_level_program_allocation(&program, i);
        }
    }
    rr_level_program_clear(&program);
    return solved;
}

static bool solve_stage(struct stage *stage) {
    guint growing = begin_growth(&stage->entities);
    for (guint level = 0; growing > 0; level++) {
        if (level == LEVELS_MAX || !raise_level(stage, &growing)) {
            return false;
        }
    }
    return true;
}

/* Sets what each team has in all. */
static bool solve_teams(rr_share_problem *problem, GTimer *timer, double seconds,
                        double *team_total) {
    struct stage stage;
    stage_init(&stage, problem, problem->team_count, timer, seconds);
    for (guint team = 0; team < problem->team_count; team++) {
        stage.entities.weight[team] = problem->teams[team].weight;
        stage.entities.guaranteed[team] = problem->teams[team].guaranteed;
    }
    for (guint i = 0; i < problem->row_count; i++) {
        stage.entities.entity_of[i] = problem->rows[i].team;
        stage.entities.demand[problem->rows[i].team] += problem->rows[i].demand;
    }
    bool solved = solve_stage(&stage);
    for (guint i = 0; i < problem->row_count && solved; i++) {
        team_total[problem->rows[i].team] += problem->rows[i].allocation;
    }
    stage_clear(&stage);
    return solved;
}

/* A row weighs what its team has, in the proportion of its weight within the team. */
static bool solve_rows(rr_share_problem *problem, GTimer *timer, double seconds,
                       const double *team_total) {
    struct stage stage;
    double *team_weight = g_new0(double, problem->team_count + 1);
    stage_init(&stage, problem, problem->row_count, timer, seconds);
    stage.entities.team_total = team_total;
    for (guint i = 0; i < problem->row_count; i++) {
        team_weight[problem->rows[i].team] += problem->rows[i].weight;
    }
    for (guint i = 0; i < problem->row_count; i++) {
        const rr_share_row *row = &problem->rows[i];
        stage.entities.entity_of[i] = i;
        stage.entities.demand[i] = row->demand;
        stage.entities.weight[i] =
            fmax(team_total[row->team], RR_LEVEL_EPSILON) * row->weight / team_weight[row->team];
    }
    bool solved = solve_stage(&stage);
    g_free(team_weight);
    stage_clear(&stage);
    return solved;
}

enum rr_share_method rr_share_solve(rr_share_problem *problem, double seconds) {
    GTimer *timer = g_timer_new();
    double *team_total = g_new0(double, problem->team_count + 1);
    size_t columns = (size_t)problem->row_count * problem->pool_count;
    glp_term_out(GLP_OFF);
    bool solved = columns <= PROGRAM_COLUMNS_MAX &&
                  solve_teams(problem, timer, seconds, team_total) &&
                  solve_rows(problem, timer, seconds, team_total);
    if (!solved) {
        rr_share_fill(problem);
    }
    glp_free_env();
    g_free(team_total);
    g_timer_destroy(timer);
    return solved ? RR_SHARE_BY_PROGRAM : RR_SHARE_BY_FILLING;
}
