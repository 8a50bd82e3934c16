/* Hours of overload with a fake clock: three controllers, users who retry, skewed submissions, and
 * the failures that fair admission must withstand. `test_admission_hour SEED...` runs no test, but
 * prints the distribution of the hour for each seed, with admission and without. */
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

/* One team submits twenty times what another does, all to one controller; beside its small jobs
 * there are large ones of its own and of another team. */
static void init_skewed(struct model *model) {
    static const struct model_stream streams[] = {
        {"red", "flood", 20, 20, 1, 0, 0, 1, 0},   {"red", "large", 0.004, 20, 1, 0, 0, 80, 0},
        {"blue", "small", 1, 20, 1, 0, 0, 1, -1},  {"blue", "large", 0.004, 20, 1, 0, 0, 80, -1},
        {"green", "mid", 0.1, 20, 1, 0, 0, 10, 1}, {"gold", "small", 1, 20, 1, 0, 0, 1, 2},
    };
    model_init(model, four_teams);
    memcpy(model->streams, streams, sizeof streams);
    model->stream_count = G_N_ELEMENTS(streams);
}

static double served_part(const struct model *model, const char *team) {
    double served = 0, fair = 0;
    for (unsigned i = 0; i < model->stream_count; i++) {
        bool counts = strcmp(model->streams[i].team, team) == 0;
        served += counts ? model->results[i].served : 0;
        fair += counts ? model->results[i].fair.served : 0;
    }
    return fair > 0 ? served / fair : 1;
}

/* No team and no class of a team waits more than twice as long as in the fair cluster. Each team is
 * served nearly as much, and each class at least half as much: here users abandon jobs after a
 * minute, and in the fair cluster never. */
static void assert_fair(const struct model *model) {
    for (size_t i = 0; i < model->config.team_count; i++) {
        const char *team = model->config.teams[i].name;
        assert_true(model_team_ratio(model, team) <= 2);
        assert_true(served_part(model, team) >= 0.8);
    }
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        assert_true(result->begun > 0);
        assert_true(model_wait_ratio(model, i) <= 2);
        assert_true(result->served >= 0.5 * result->fair.served);
    }
}

static void skewed_submissions_are_served_fairly_for_an_hour(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model_run(&model);
    model_print(&model, "an hour");
    assert_fair(&model);
    assert_int_equal(model.disagreements, 0);
    /* The large jobs begin within four minutes, beside a flood of their own team's or another's. */
    assert_true(model.results[1].longest_s <= 240);
    assert_true(model.results[3].longest_s <= 240);
    /* Accepted jobs begin soon: the queue stays near its target. */
    assert_true(model.peak_backlog <= 200 * model.cpus);
    model_clear(&model);
}

/* Without admission every team waits in the flood's queue. */
static void every_team_waits_without_admission(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.admission = false;
    model.seconds = 900;
    model_run(&model);
    assert_true(model_team_ratio(&model, "gold") > 10);
    assert_true(model_team_ratio(&model, "green") > 10);
    model_clear(&model);
}

/* ---- one controller with a stale store cache ---- */

#define FROZEN_FROM 600
#define FROZEN_TO 1500

static unsigned admitted_before, admitted_while_frozen;
static double work_before, work_while_frozen;

static void freeze_one_cache(struct model *model, double now) {
    model->cache_frozen[1] = now >= FROZEN_FROM && now < FROZEN_TO;
    if (now == FROZEN_FROM + 50) { /* its last table is stale by then */
        admitted_before = model->admitted_at[1];
        work_before = model->admitted_work_at[1];
    }
    if (now == FROZEN_TO) {
        admitted_while_frozen = model->admitted_at[1] - admitted_before;
        work_while_frozen = model->admitted_work_at[1] - work_before;
    }
}

/* Once its table is stale, a controller admits nothing of teams without a guarantee, and of others
 * no more than its third of the guarantee. With a current cache it agrees with the others at once.
 */
static void controller_with_stale_cache_stays_within_guarantee(void **state) {
    (void)state;
    for (int guarantee = 0; guarantee <= 30; guarantee += 30) {
        struct model model;
        init_skewed(&model);
        model.seconds = 2100;
        model.config.teams[1].cpus = guarantee;
        model.each_second = freeze_one_cache;
        model_run(&model);
        double bound = guarantee / 3.0 * (FROZEN_TO - FROZEN_FROM - 50 + 10);
        assert_true(work_while_frozen <= bound + 1e-6);
        assert_true(guarantee ? admitted_while_frozen > 0 : admitted_while_frozen == 0);
        assert_int_equal(model.disagreements, 0);
        assert_true(model.admitted_at[1] > admitted_before + admitted_while_frozen);
        assert_true(model_team_ratio(&model, "gold") <= 2);
        model_clear(&model);
    }
}

/* ---- changes of the autoscaler, restarts and lost messages ---- */

static void change_autoscaler(struct model *model, double now) {
    /* At odd times, within intervals; for a while there is none, as in an election. */
    unsigned second = (unsigned)now;
    if (second % 47 == 0) {
        model->autoscaler = -1;
    }
    if (second % 47 == 8) {
        model->autoscaler = (int)(second / 47 % MODEL_CONTROLLERS);
    }
    model->answers_lost = second / 100 % 2;
}

static void changes_of_autoscaler_and_lost_answers_do_no_harm(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1800;
    model.each_second = change_autoscaler;
    model_run(&model);
    assert_fair(&model);
    assert_true(model.lost_answers > 0);
    assert_int_equal(model.conflicts, 0);
    assert_int_equal(model.disagreements, 0);
    model_clear(&model);
}

static void restart_all(struct model *model, double now) {
    if (now > 0 && (unsigned)now % 333 == 0) {
        for (int i = 0; i < MODEL_CONTROLLERS; i++) {
            model_restart(model, i);
        }
    }
}

/* After a restart of all controllers the tables are still there, but no demand is known. */
static void restart_of_all_controllers_does_no_harm(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1800;
    model.each_second = restart_all;
    model_run(&model);
    assert_fair(&model);
    assert_int_equal(model.disagreements, 0);
    model_clear(&model);
}

/* Without its peers' views the writer knows only its own refusals. */
static void lost_views_do_bounded_harm(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1800;
    model.views_lost = true;
    model_run(&model);
    assert_true(model_team_ratio(&model, "gold") <= 2);
    assert_true(model_team_ratio(&model, "green") <= 3);
    assert_true(model.peak_backlog <= 400 * model.cpus);
    model_clear(&model);
}

/* Clocks are off by as much as the settings allow, in both directions. */
static void clocks_off_within_bounds_do_no_harm(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1800;
    model.clock_off_s[0] = -model.config.clock_skew_max_s;
    model.clock_off_s[2] = model.config.clock_skew_max_s;
    model_run(&model);
    assert_fair(&model);
    model_clear(&model);
}

/* ---- estimates, weights and teams that change ---- */

/* One team estimates a quarter of its runtimes, another four times them. */
static void wrong_estimates_are_corrected(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 2400;
    model.streams[0].estimate_factor = model.streams[1].estimate_factor = 0.25;
    model.streams[4].estimate_factor = 4;
    model_run(&model);
    for (size_t i = 0; i < model.config.team_count; i++) {
        assert_true(model_team_ratio(&model, model.config.teams[i].name) <= 2.5);
    }
    const rr_admission_table *table = rr_admission_newest(model.controllers[0]);
    double low = rr_admission_table_team(table, "red")->correction;
    double high = rr_admission_table_team(table, "green")->correction;
    assert_true(low > 2.5 && low < 6);
    assert_true(high > 0.15 && high < 0.4);
    assert_true(model.results[4].served >= 0.6 * model.results[4].fair.served);
    assert_true(model.results[0].served <= 1.6 * model.results[0].fair.served);
    model_clear(&model);
}

/* Gold submits from the tenth to the twentieth minute only. */
static void team_that_comes_and_goes_is_served_fairly(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1800;
    model.streams[5].from_s = 600;
    model.streams[5].to_s = 1200;
    model_run(&model);
    assert_fair(&model);
    model_clear(&model);
}

static void init_one_team(struct model *model) {
    static const struct model_stream stream = {"red", "flood", 20, 20, 1, 0, 0, 1, -1};
    model_init(model, four_teams);
    model->streams[0] = stream;
    model->stream_count = 1;
    model->seconds = 1200;
}

/* A team by itself gets as much done as without admission. */
static void team_alone_uses_all_room(void **state) {
    (void)state;
    struct model with, without;
    init_one_team(&with);
    init_one_team(&without);
    without.admission = false;
    model_run(&with);
    model_run(&without);
    assert_true(with.results[0].served >= 0.97 * without.results[0].served);
    model_clear(&with);
    model_clear(&without);
}

/* Without overload no job is refused, and nothing is written to the key-value store. */
static void no_table_is_written_without_overload(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1200;
    model.streams[0].jobs_per_s = 0.5;
    model.cpus = 120;
    model_run(&model);
    for (unsigned i = 0; i < model.stream_count; i++) {
        assert_int_equal(model.results[i].abandoned, 0);
    }
    assert_int_equal(model.tables_written, 0);
    model_clear(&model);
}

/* A rolling restart with a new settings file, in which gold has three times the weight. It counts
 * from when the autoscaler has it. */
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
    init_skewed(&model);
    model.seconds = 2400;
    model.streams[5].jobs_per_s = 20; /* gold floods as well */
    model.each_second = change_weights;
    model_run(&model);
    assert_int_equal(model.disagreements, 0);
    assert_true(model.results[5].served > 1.5 * model.results[0].served);
    assert_true(model_team_ratio(&model, "green") <= 2);
    model_clear(&model);
}

/* A team of next to no weight that floods still gets its least share. */
static void flooding_team_gets_its_least_share(void **state) {
    (void)state;
    struct model model;
    init_skewed(&model);
    model.seconds = 1200;
    model.streams[5].jobs_per_s = 20;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        model.settings[i].teams[3].weight = 0.01;
        model.settings[i].teams[3].least_share = 0.3;
    }
    model_run(&model);
    assert_true(model.results[5].served >= 0.25 * model.cpus * model.seconds);
    assert_true(model_team_ratio(&model, "green") <= 2);
    model_clear(&model);
}

static void print_hours(int argc, char **argv) {
    for (int i = 1; i < argc; i++) {
        for (int enabled = 0; enabled < 2; enabled++) {
            struct model model;
            init_skewed(&model);
            model.seed = (unsigned)strtoul(argv[i], NULL, 10);
            model.admission = enabled;
            model_run(&model);
            model_print(&model, enabled ? "with admission" : "without");
            for (size_t team = 0; team < model.config.team_count; team++) {
                const char *name = model.config.teams[team].name;
                printf("  %-6s all: ratio %.2f\n", name, model_team_ratio(&model, name));
            }
            printf("  disagreements %u, peak backlog %.0f s of all CPUs\n", model.disagreements,
                   model.peak_backlog / model.cpus);
            model_clear(&model);
        }
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(skewed_submissions_are_served_fairly_for_an_hour),
        cmocka_unit_test(every_team_waits_without_admission),
        cmocka_unit_test(controller_with_stale_cache_stays_within_guarantee),
        cmocka_unit_test(changes_of_autoscaler_and_lost_answers_do_no_harm),
        cmocka_unit_test(restart_of_all_controllers_does_no_harm),
        cmocka_unit_test(lost_views_do_bounded_harm),
        cmocka_unit_test(clocks_off_within_bounds_do_no_harm),
        cmocka_unit_test(wrong_estimates_are_corrected),
        cmocka_unit_test(team_that_comes_and_goes_is_served_fairly),
        cmocka_unit_test(team_alone_uses_all_room),
        cmocka_unit_test(no_table_is_written_without_overload),
        cmocka_unit_test(weights_change_during_rolling_restart),
        cmocka_unit_test(flooding_team_gets_its_least_share),
    };
    if (argc > 1) {
        print_hours(argc, argv);
        return 0;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
