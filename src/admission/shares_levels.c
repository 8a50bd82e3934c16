/* Division by linear programs, one for each level. A program raises the common level of all growing
 * entities as far as possible; entities that cannot grow further are fixed at that level, and the
 * next program raises the others. The first stage divides among teams, the second among the rows of
 * each team. */
#include "admission/level_program.h"
#include "admission/shares.h"

#include <math.h>
#include <string.h>

/* Larger programs are not attempted, and neither are more levels in one stage. */
#define PROGRAM_COLUMNS_MAX 20000
#define LEVELS_MAX 256

struct stage {
    rr_share_problem *problem;
    struct rr_level_entities entities;
    GTimer *timer;  /* started before the first stage */
    double seconds; /* time limit of both stages */
};

/* Allocates the entity arrays, filled with zeroes; clear_stage frees them. */
static void init_stage(struct stage *stage, rr_share_problem *problem, guint entity_count,
                       GTimer *timer, double seconds) {
    memset(stage, 0, sizeof *stage);
    stage->problem = problem;
    stage->timer = timer;
    stage->seconds = seconds;
    stage->entities = (struct rr_level_entities){
        .problem = problem,
        .entity_count = entity_count,
        .row_entity = g_malloc0_n(problem->row_count + 1, sizeof(guint)),
        .weights = g_malloc0_n(entity_count + 1, sizeof(double)),
        .demands = g_malloc0_n(entity_count + 1, sizeof(double)),
        .guarantees = g_malloc0_n(entity_count + 1, sizeof(double)),
        .fixed_allocations = g_malloc0_n(entity_count + 1, sizeof(double)),
    };
}

static void clear_stage(struct stage *stage) {
    g_free(stage->entities.row_entity);
    g_free(stage->entities.weights);
    g_free(stage->entities.demands);
    g_free(stage->entities.guarantees);
    g_free(stage->entities.fixed_allocations);
}

/* Returns the lowest level at which the demand of a growing entity is met. */
static double find_next_saturation_level(const struct rr_level_entities *entities) {
    double level = INFINITY;
    for (guint i = 0; i < entities->entity_count; i++) {
        if (entities->fixed_allocations[i] < 0) {
            level = fmin(level, entities->demands[i] / entities->weights[i]);
        }
    }
    return level;
}

static bool has_binding_growing_entity(const struct rr_level_entities *entities,
                                       const struct rr_level_program *program) {
    for (guint i = 0; i < entities->entity_count; i++) {
        if (entities->fixed_allocations[i] < 0 && rr_level_program_entity_is_binding(program, i)) {
            return true;
        }
    }
    return false;
}

/* Fixes the allocations of the entities whose demand is met at this level and of those that cannot
 * grow beyond it. Fixes all entities if the program reports none of the latter. Returns the number
 * of entities that still grow. */
static guint fix_saturated_entities(struct rr_level_entities *entities,
                                    const struct rr_level_program *program, double level) {
    guint growing = 0;
    bool any_binding = has_binding_growing_entity(entities, program);
    for (guint i = 0; i < entities->entity_count; i++) {
        if (entities->fixed_allocations[i] >= 0) {
            continue;
        }
        double allocation = level * entities->weights[i];
        bool saturated =
            entities->demands[i] <= allocation * (1 + RR_LEVEL_EPSILON) + RR_LEVEL_EPSILON;
        if (saturated || !any_binding || rr_level_program_entity_is_binding(program, i)) {
            entities->fixed_allocations[i] = fmin(entities->demands[i], allocation);
        } else {
            growing++;
        }
    }
    return growing;
}

/* Marks the entities that have a demand as growing and fixes the others at 0. Returns the number of
 * growing entities. */
static guint init_fixed_allocations(struct rr_level_entities *entities) {
    guint growing = 0;
    for (guint i = 0; i < entities->entity_count; i++) {
        bool has_demand = entities->demands[i] > RR_LEVEL_EPSILON;
        entities->fixed_allocations[i] = has_demand ? -1 : 0;
        growing += has_demand;
    }
    return growing;
}

/* Solves the linear program of the next saturation level, and sets the rows' allocations and
 * *growing, the number of entities that still grow. Returns false if no time is left or there is no
 * solution. */
static bool raise_level(struct stage *stage, guint *growing) {
    struct rr_level_program program;
    rr_level_program_init(&program, &stage->entities, find_next_saturation_level(&stage->entities));
    bool solved =
        rr_level_program_solve(&program, stage->seconds - g_timer_elapsed(stage->timer, NULL));
    if (solved) {
        *growing = fix_saturated_entities(&stage->entities, &program,
                                          rr_level_program_get_level(&program));
        for (guint i = 0; i < stage->problem->row_count; i++) {
            stage->problem->rows[i].allocation = rr_level_program_get_allocation(&program, i);
        }
    }
    rr_level_program_clear(&program);
    return solved;
}

/* Raises the level until no entity grows. Returns false if a program fails or LEVELS_MAX is
 * reached. */
static bool solve_stage(struct stage *stage) {
    guint growing = init_fixed_allocations(&stage->entities);
    for (guint level = 0; growing > 0; level++) {
        if (level == LEVELS_MAX || !raise_level(stage, &growing)) {
            return false;
        }
    }
    return true;
}

/* Runs the first stage. Adds each team's allocation to team_totals, which must be zeroed. Returns
 * false if there is no solution in time. */
static bool solve_teams(rr_share_problem *problem, GTimer *timer, double seconds,
                        double *team_totals) {
    struct stage stage;
    init_stage(&stage, problem, problem->team_count, timer, seconds);
    for (guint team = 0; team < problem->team_count; team++) {
        stage.entities.weights[team] = problem->teams[team].weight;
        stage.entities.guarantees[team] = problem->teams[team].guaranteed;
    }
    for (guint i = 0; i < problem->row_count; i++) {
        stage.entities.row_entity[i] = problem->rows[i].team;
        stage.entities.demands[problem->rows[i].team] += problem->rows[i].demand;
    }
    bool solved = solve_stage(&stage);
    for (guint i = 0; i < problem->row_count && solved; i++) {
        team_totals[problem->rows[i].team] += problem->rows[i].allocation;
    }
    clear_stage(&stage);
    return solved;
}

/* Runs the second stage and sets the rows' allocations. A row's weight is its team's total
 * times its part of the weights within the team. Returns false if there is no solution in time. */
static bool solve_rows(rr_share_problem *problem, GTimer *timer, double seconds,
                       const double *team_totals) {
    struct stage stage;
    double *team_weights = g_new0(double, problem->team_count + 1);
    init_stage(&stage, problem, problem->row_count, timer, seconds);
    stage.entities.team_totals = team_totals;
    for (guint i = 0; i < problem->row_count; i++) {
        team_weights[problem->rows[i].team] += problem->rows[i].weight;
    }
    for (guint i = 0; i < problem->row_count; i++) {
        const rr_share_row *row = &problem->rows[i];
        stage.entities.row_entity[i] = i;
        stage.entities.demands[i] = row->demand;
        stage.entities.weights[i] =
            fmax(team_totals[row->team], RR_LEVEL_EPSILON) * row->weight / team_weights[row->team];
    }
    bool solved = solve_stage(&stage);
    g_free(team_weights);
    clear_stage(&stage);
    return solved;
}

enum rr_share_method rr_share_solve(rr_share_problem *problem, double seconds) {
    GTimer *timer = g_timer_new();
    double *team_totals = g_new0(double, problem->team_count + 1);
    size_t column_count = (size_t)problem->row_count * problem->pool_count;
    glp_term_out(GLP_OFF);
    bool solved = column_count <= PROGRAM_COLUMNS_MAX &&
                  solve_teams(problem, timer, seconds, team_totals) &&
                  solve_rows(problem, timer, seconds, team_totals);
    if (!solved) {
        rr_share_solve_by_filling(problem);
    }
    glp_free_env();
    g_free(team_totals);
    g_timer_destroy(timer);
    return solved ? RR_SHARE_METHOD_LINEAR_PROGRAM : RR_SHARE_METHOD_PROGRESSIVE_FILLING;
}
