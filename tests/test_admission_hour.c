/* Fair admission under up to an hour of overload, simulated with a fake clock: three controllers,
 * users who retry, skewed submissions, and the failures that admission must tolerate.
 * `test_admission_hour SEED...` runs no test: it prints the results of the hour for each seed, with
 * admission and without. */
#include "admission_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const four_teams[] = {"red", "blue", "green", "gold", NULL};

/* Sets up skewed load: red submits twenty times as many small jobs as blue or gold, all of them to
 * one controller. Beside these small jobs, red and blue submit a few large ones. */
static void init_skewed_load(struct model *model) {
    static const struct model_stream streams[] = {
        {"red", "flood", 20, 20, 1, 0, 0, 1, 0},   {"red", "large", 0.004, 20, 1, 0, 0, 80, 0},
        {"blue", "small", 1, 20, 1, 0, 0, 1, -1},  {"blue", "large", 0.004, 20, 1, 0, 0, 80, -1},
        {"green", "mid", 0.1, 20, 1, 0, 0, 10, 1}, {"gold", "small", 1, 20, 1, 0, 0, 1, 2},
    };
    model_init(model, four_teams);
    memcpy(model->streams, streams, sizeof streams);
    model->stream_count = G_N_ELEMENTS(streams);
}

/* Returns the CPU seconds served to a team as a part of the fair cluster's; 1 if that served none.
 */
static double served_ratio(const struct model *model, const char *team) {
    double served = 0, fair = 0;
    for (unsigned i = 0; i < model->stream_count; i++) {
        bool same_team = strcmp(model->streams[i].team, team) == 0;
        served += same_team ? model->results[i].served_cpu_s : 0;
        fair += same_team ? model->results[i].fair.served_cpu_s : 0;
    }
    return fair > 0 ? served / fair : 1;
}

/* Asserts that no team and no class of a team waits more than twice as long as in the fair cluster,
 * that each team is served at least 80 % as much, and each class half as much. Service is less than
 * in the fair cluster because its users never abandon a job, and the model's do after a minute. */
static void assert_fair_service(const struct model *model) {
    for (size_t i = 0; i < model->config.team_count; i++) {
        const char *team = model->config.teams[i].name;
        assert_true(model_team_wait_ratio(model, team) <= 2);
        assert_true(served_ratio(model, team) >= 0.8);
    }
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        assert_true(result->started > 0);
        assert_true(model_wait_ratio(model, i) <= 2);
        assert_true(result->served_cpu_s >= 0.5 * result->fair.served_cpu_s);
    }
}

static void skewed_submissions_are_served_fairly_for_an_hour(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model_run(&model);
    model_print(&model, "an hour");
    assert_fair_service(&model);
    assert_int_equal(model.verdict_mismatches, 0);
    /* Large jobs start within four minutes, beside a flood of their own team (red) or of another
     * (blue). */
    assert_true(model.results[1].wait_max_s <= 240);
    assert_true(model.results[3].wait_max_s <= 240);
    /* Accepted jobs start soon, as the backlog stays near its target. */
    assert_true(model.peak_backlog_cpu_s <= 200 * model.cpus);
    model_clear(&model);
}

/* Shows that the load needs admission: without it, every team waits in one queue with the flood. */
static void every_team_waits_behind_flood_without_admission(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.admission = false;
    model.duration_s = 900;
    model_run(&model);
    assert_true(model_team_wait_ratio(&model, "gold") > 10);
    assert_true(model_team_wait_ratio(&model, "green") > 10);
    model_clear(&model);
}

/* ---- one controller with a stale store cache ---- */

/* Period in which a store cache gets no changes. */
#define FROZEN_FROM_S 600
#define FROZEN_TO_S 1500
#define STALE_AFTER_S 50 /* the controller's last table has expired this long after the freeze */
#define INTERVAL_S 10    /* of admission, by default */

/* Counts at the controller with the frozen cache: before its table became stale, and from then to
 * the end of the freeze. */
static unsigned admitted_jobs_before, admitted_jobs_while_stale;
static double admitted_cpu_s_before, admitted_cpu_s_while_stale;

static void freeze_second_cache(struct model *model, double now) {
    model->cache_frozen[1] = now >= FROZEN_FROM_S && now < FROZEN_TO_S;
    if (now == FROZEN_FROM_S + STALE_AFTER_S) {
        admitted_jobs_before = model->admitted_jobs_by_controller[1];
        admitted_cpu_s_before = model->admitted_cpu_s_by_controller[1];
    }
    if (now == FROZEN_TO_S) {
        admitted_jobs_while_stale = model->admitted_jobs_by_controller[1] - admitted_jobs_before;
        admitted_cpu_s_while_stale = model->admitted_cpu_s_by_controller[1] - admitted_cpu_s_before;
    }
}

/* Once its table is stale, a controller admits no job of teams without a guarantee, and for other
 * teams at most its third of the guarantee. As soon as its cache is current again, its verdicts
 * agree with the other controllers'. */
static void controller_with_stale_cache_stays_within_guarantee(void **state) {
    (void)state;
    for (int guarantee = 0; guarantee <= 30; guarantee += 30) {
        struct model model;
        init_skewed_load(&model);
        model.duration_s = 2100;
        model.config.teams[1].cpus = guarantee;
        model.each_second = freeze_second_cache;
        model_run(&model);
        double bound = guarantee / 3.0 * (FROZEN_TO_S - FROZEN_FROM_S - STALE_AFTER_S + INTERVAL_S);
        assert_true(admitted_cpu_s_while_stale <= bound + 1e-6);
        assert_true(guarantee ? admitted_jobs_while_stale > 0 : admitted_jobs_while_stale == 0);
        assert_int_equal(model.verdict_mismatches, 0);
        assert_true(model.admitted_jobs_by_controller[1] >
                    admitted_jobs_before + admitted_jobs_while_stale);
        assert_true(model_team_wait_ratio(&model, "gold") <= 2);
        model_clear(&model);
    }
}

/* ---- autoscaler changes, restarts, lost messages and clock skew ---- */

/* Moves the autoscaler every 47 s, which is not a multiple of the interval, so that changes fall at
 * different times within it. Each time there is none for 8 s, as during an election. Replies to
 * commits are lost in every second period of 100 s. */
static void change_autoscaler(struct model *model, double now) {
    unsigned second = (unsigned)now;
    if (second % 47 == 0) {
        model->autoscaler = -1;
    }
    if (second % 47 == 8) {
        model->autoscaler = (int)(second / 47 % MODEL_CONTROLLERS);
    }
    model->commit_replies_lost = second / 100 % 2;
}

static void service_stays_fair_through_autoscaler_changes_and_lost_replies(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1800;
    model.each_second = change_autoscaler;
    model_run(&model);
    assert_fair_service(&model);
    assert_true(model.lost_replies > 0);
    assert_int_equal(model.conflicts, 0);
    assert_int_equal(model.verdict_mismatches, 0);
    model_clear(&model);
}

static void restart_all_controllers(struct model *model, double now) {
    if (now > 0 && (unsigned)now % 333 == 0) {
        for (int i = 0; i < MODEL_CONTROLLERS; i++) {
            model_restart(model, i);
        }
    }
}

/* After a restart of all controllers the tables are still in the key-value store, but the demand
 * counted so far is lost. */
static void service_stays_fair_when_all_controllers_restart(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1800;
    model.each_second = restart_all_controllers;
    model_run(&model);
    assert_fair_service(&model);
    assert_int_equal(model.verdict_mismatches, 0);
    model_clear(&model);
}

/* Without its peers' views of the demand, the autoscaler knows only the jobs that it refused
 * itself, so that shares are less exact. */
static void waits_stay_bounded_without_demand_views(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1800;
    model.demand_views_lost = true;
    model_run(&model);
    assert_true(model_team_wait_ratio(&model, "gold") <= 2);
    assert_true(model_team_wait_ratio(&model, "green") <= 3);
    assert_true(model.peak_backlog_cpu_s <= 400 * model.cpus);
    model_clear(&model);
}

/* One controller's clock is slow and another's fast, by as much as the settings allow. */
static void service_stays_fair_with_clock_skew_within_bounds(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1800;
    model.clock_offset_s[0] = -model.config.clock_skew_max_s;
    model.clock_offset_s[2] = model.config.clock_skew_max_s;
    model_run(&model);
    assert_fair_service(&model);
    model_clear(&model);
}

/* ---- estimates, weights and teams that change ---- */

/* One team's estimates are a quarter of its runtimes, another's four times them. The table's
 * corrections bring waits and service back near the fair cluster's. */
static void wrong_estimates_are_corrected(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 2400;
    model.streams[0].estimate_factor = model.streams[1].estimate_factor = 0.25;
    model.streams[4].estimate_factor = 4;
    model_run(&model);
    for (size_t i = 0; i < model.config.team_count; i++) {
        assert_true(model_team_wait_ratio(&model, model.config.teams[i].name) <= 2.5);
    }
    const rr_admission_table *table = rr_admission_get_newest_table(model.controllers[0]);
    double red_correction = rr_admission_table_find_team(table, "red")->correction;
    double green_correction = rr_admission_table_find_team(table, "green")->correction;
    assert_true(red_correction > 2.5 && red_correction < 6);
    assert_true(green_correction > 0.15 && green_correction < 0.4);
    assert_true(model.results[4].served_cpu_s >= 0.6 * model.results[4].fair.served_cpu_s);
    assert_true(model.results[0].served_cpu_s <= 1.6 * model.results[0].fair.served_cpu_s);
    model_clear(&model);
}

/* Gold submits only from the tenth to the twentieth minute. */
static void team_active_for_ten_minutes_is_served_fairly(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1800;
    model.streams[5].from_s = 600;
    model.streams[5].to_s = 1200;
    model_run(&model);
    assert_fair_service(&model);
    model_clear(&model);
}

static void init_single_team(struct model *model) {
    static const struct model_stream stream = {"red", "flood", 20, 20, 1, 0, 0, 1, -1};
    model_init(model, four_teams);
    model->streams[0] = stream;
    model->stream_count = 1;
    model->duration_s = 1200;
}

/* Admission costs a team that is alone on the cluster at most 3 % of its throughput. */
static void single_team_uses_all_capacity(void **state) {
    (void)state;
    struct model with_admission, without_admission;
    init_single_team(&with_admission);
    init_single_team(&without_admission);
    without_admission.admission = false;
    model_run(&with_admission);
    model_run(&without_admission);
    assert_true(with_admission.results[0].served_cpu_s >=
                0.97 * without_admission.results[0].served_cpu_s);
    model_clear(&with_admission);
    model_clear(&without_admission);
}

/* Without overload no job is refused, and nothing is written to the key-value store. */
static void no_table_is_written_without_overload(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1200;
    model.streams[0].jobs_per_s = 0.5;
    model.cpus = 120;
    model_run(&model);
    for (unsigned i = 0; i < model.stream_count; i++) {
        assert_int_equal(model.results[i].abandoned, 0);
    }
    assert_int_equal(model.tables_written, 0);
    model_clear(&model);
}

/* Simulates a rolling restart with new settings, in which gold has three times the weight. The new
 * weight takes effect once the autoscaler has the new settings. */
static void change_weights(struct model *model, double now) {
    if (now == 600) {
        model->settings[1].teams[3].weight = 3;
        model_restart(model, 1);
        model->autoscaler = 1;
    }
    if (now == 660) {
        model->settings[0].teams[3].weight = 3;
        model_restart(model, 0);
    }
}

static void weights_change_during_rolling_restart(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 2400;
    model.streams[5].jobs_per_s = 20; /* gold submits as much as red */
    model.each_second = change_weights;
    model_run(&model);
    assert_int_equal(model.verdict_mismatches, 0);
    assert_true(model.results[5].served_cpu_s > 1.5 * model.results[0].served_cpu_s);
    assert_true(model_team_wait_ratio(&model, "green") <= 2);
    model_clear(&model);
}

/* A flooding team with hardly any weight still gets its least share (30 %, less tolerance). */
static void flooding_team_of_low_weight_gets_its_least_share(void **state) {
    (void)state;
    struct model model;
    init_skewed_load(&model);
    model.duration_s = 1200;
    model.streams[5].jobs_per_s = 20;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        model.settings[i].teams[3].weight = 0.01;
        model.settings[i].teams[3].least_share = 0.3;
    }
    model_run(&model);
    assert_true(model.results[5].served_cpu_s >= 0.25 * model.cpus * model.duration_s);
    assert_true(model_team_wait_ratio(&model, "green") <= 2);
    model_clear(&model);
}

/* Runs the hour for each seed in the arguments, and prints the results. */
static void print_results(int argc, char **argv) {
    for (int i = 1; i < argc; i++) {
        for (int enabled = 0; enabled < 2; enabled++) {
            struct model model;
            init_skewed_load(&model);
            model.seed = (unsigned)strtoul(argv[i], NULL, 10);
            model.admission = enabled;
            model_run(&model);
            model_print(&model, enabled ? "with admission" : "without admission");
            for (size_t team = 0; team < model.config.team_count; team++) {
                const char *name = model.config.teams[team].name;
                printf("  %-6s all classes: wait ratio %.2f\n", name,
                       model_team_wait_ratio(&model, name));
            }
            printf("  verdict mismatches %u, peak backlog %.0f s of all CPUs\n",
                   model.verdict_mismatches, model.peak_backlog_cpu_s / model.cpus);
            model_clear(&model);
        }
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(skewed_submissions_are_served_fairly_for_an_hour),
        cmocka_unit_test(every_team_waits_behind_flood_without_admission),
        cmocka_unit_test(controller_with_stale_cache_stays_within_guarantee),
        cmocka_unit_test(service_stays_fair_through_autoscaler_changes_and_lost_replies),
        cmocka_unit_test(service_stays_fair_when_all_controllers_restart),
        cmocka_unit_test(waits_stay_bounded_without_demand_views),
        cmocka_unit_test(service_stays_fair_with_clock_skew_within_bounds),
        cmocka_unit_test(wrong_estimates_are_corrected),
        cmocka_unit_test(team_active_for_ten_minutes_is_served_fairly),
        cmocka_unit_test(single_team_uses_all_capacity),
        cmocka_unit_test(no_table_is_written_without_overload),
        cmocka_unit_test(weights_change_during_rolling_restart),
        cmocka_unit_test(flooding_team_of_low_weight_gets_its_least_share),
    };
    if (argc > 1) {
        print_results(argc, argv);
        return 0;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
