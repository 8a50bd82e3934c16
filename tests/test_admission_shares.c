/* The division of room among teams and keys, and the tables that the writer makes of it. */
#include "admission/shares.h"
#include "admission_fixture.h"

#include <math.h>
#include <string.h>

/* ---- shares ---- */

struct shares {
    rr_share_row rows[3];
    rr_share_pool pools[2];
    rr_share_team teams[2];
    bool any[2], second[2];
};

/* Two pools. Team 0 may use both and asks for more than there is; team 1 has one row restricted to
 * the second pool, and one that takes memory only. */
static rr_share_problem make_two_teams(struct shares *shares) {
    *shares = (struct shares){.any = {true, true}, .second = {false, true}};
    shares->pools[0] = (rr_share_pool){{6, 0, 6}};
    shares->pools[1] = (rr_share_pool){{4, 0, 4}};
    shares->teams[0] = shares->teams[1] = (rr_share_team){1, 0};
    shares->rows[0] = (rr_share_row){0, 1, 50, {1, 0, 0.5}, shares->any, 0};
    shares->rows[1] = (rr_share_row){1, 1, 9, {1, 0, 0.1}, shares->second, 0};
    shares->rows[2] = (rr_share_row){1, 1, 1, {0, 0, 1}, shares->any, 0};
    return (rr_share_problem){shares->rows, 3, shares->pools, 2, shares->teams, 2};
}

/* By linear programs, and within a step by progressive filling. */
static void room_is_divided_by_weighted_max_min(void **state) {
    (void)state;
    struct shares shares;
    for (int by_filling = 0; by_filling < 2; by_filling++) {
        rr_share_problem problem = make_two_teams(&shares);
        double slack = by_filling ? 0.3 : 1e-3;
        if (by_filling) {
            rr_share_fill(&problem);
        } else {
            assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_BY_PROGRAM);
        }
        /* Team 1 gets all of the second pool's CPUs and its memory, team 0 the rest. */
        assert_true(fabs(shares.rows[0].allocation - 6) <= slack);
        assert_true(fabs(shares.rows[1].allocation - 4) <= slack);
        assert_true(fabs(shares.rows[2].allocation - 1) <= slack);
    }
}

static void teams_get_room_by_their_weights(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = make_two_teams(&shares);
    shares.rows[1].pools = shares.any;
    shares.teams[0].weight = 3;
    assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_BY_PROGRAM);
    assert_true(fabs(shares.rows[0].allocation -
                     3 * (shares.rows[1].allocation + shares.rows[2].allocation)) < 0.05);
}

/* Also a team of next to no weight gets what it is guaranteed. */
static void team_gets_its_guaranteed_share(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = make_two_teams(&shares);
    shares.rows[1].pools = shares.any;
    shares.teams[0].weight = 3;
    shares.teams[1] = (rr_share_team){1e-3, 5};
    assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_BY_PROGRAM);
    assert_true(shares.rows[1].allocation + shares.rows[2].allocation >= 5 - 1e-3);
}

/* The fallback is reported, and its result is as good within a step. */
static void progressive_filling_without_time_for_programs(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = make_two_teams(&shares);
    assert_int_equal(rr_share_solve(&problem, 0), RR_SHARE_BY_FILLING);
    assert_true(fabs(shares.rows[0].allocation - 6) < 0.3 &&
                fabs(shares.rows[1].allocation - 4) < 0.3);
}

/* Rows and pools as of a fleet of several machine types in several zones: no row gets more than it
 * asks for, no pool is exceeded, and both methods agree on the teams. */
static void programs_and_filling_agree_on_many_rows(void **state) {
    (void)state;
    enum { ROWS = 60, POOLS = 12, TEAMS = 10 };
    static bool allowed[ROWS][POOLS];
    rr_share_row rows[ROWS];
    rr_share_pool pools[POOLS];
    rr_share_team teams[TEAMS];
    GRand *random = g_rand_new_with_seed(7);
    double by_team[2][TEAMS] = {{0}};
    for (int pool = 0; pool < POOLS; pool++) {
        pools[pool] = (rr_share_pool){{40.0 / POOLS, 40.0 / POOLS, 40.0 / POOLS}};
    }
    for (int team = 0; team < TEAMS; team++) {
        teams[team] = (rr_share_team){1, 0};
    }
    for (int i = 0; i < ROWS; i++) {
        bool restricted = g_rand_int_range(random, 0, 4) == 0;
        for (int pool = 0; pool < POOLS; pool++) {
            allowed[i][pool] = !restricted || pool == i % POOLS;
        }
        rows[i] = (rr_share_row){(guint)(i % TEAMS),
                                 1,
                                 g_rand_double_range(random, 0, 3),
                                 {1, g_rand_double(random), g_rand_double(random)},
                                 allowed[i],
                                 0};
    }
    rr_share_problem problem = {rows, ROWS, pools, POOLS, teams, TEAMS};
    for (int by_filling = 0; by_filling < 2; by_filling++) {
        double sum = 0;
        if (by_filling) {
            rr_share_fill(&problem);
        } else {
            assert_int_equal(rr_share_solve(&problem, 20), RR_SHARE_BY_PROGRAM);
        }
        for (int i = 0; i < ROWS; i++) {
            assert_true(rows[i].allocation <= rows[i].demand + 1e-6);
            by_team[by_filling][i % TEAMS] += rows[i].allocation;
            sum += rows[i].allocation;
        }
        assert_true(sum <= 40 + 1e-6);
    }
    for (int team = 0; team < TEAMS; team++) {
        assert_true(fabs(by_team[0][team] - by_team[1][team]) < 0.8);
    }
    g_rand_free(random);
}

/* ---- the writer ---- */

struct writer_fixture {
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission_writer *writer;
    rr_offered_load load;
    GArray *demand;
    rr_admission_table newest, made;
};

/* 100 CPUs, overload, and a flood of the first team's. */
static void writer_fixture_init(struct writer_fixture *fixture) {
    memset(fixture, 0, sizeof *fixture);
    test_config_init(&fixture->config, "n0");
    rr_admission_settings_init(&fixture->settings);
    fixture->writer = rr_admission_writer_create(&fixture->config, &fixture->settings);
    rr_offered_load_init(&fixture->load, &fixture->settings);
    rr_offered_load_begin(&fixture->load);
    rr_offered_load_add_machine(&fixture->load, "m1", "a", (rr_amount){100, 0, 400});
    rr_submission flood = make_submission("red", "flood", "req-1", 1);
    rr_offered_load_add_job(&fixture->load, &flood, 0, 2000, 100, 0);
    fixture->demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_demand_total total = {make_key("red", "flood", 1), 5000, {10, 0, 10}};
    g_array_append_val(fixture->demand, total);
    rr_admission_table_init(&fixture->newest);
    fixture->newest.sequence = 1;
    fixture->newest.active = true;
    fixture->newest.length_s = 10;
}

static const rr_admission_table *write_table(struct writer_fixture *fixture) {
    assert_true(rr_admission_writer_next(fixture->writer, &fixture->load, fixture->demand,
                                         &fixture->newest, 995, 995, &fixture->made));
    assert_true(fixture->made.active);
    assert_true(fixture->made.starts_at == 1000);
    return &fixture->made;
}

static void writer_fixture_clear(struct writer_fixture *fixture) {
    rr_admission_table_clear(&fixture->newest);
    rr_admission_table_clear(&fixture->made);
    g_array_free(fixture->demand, TRUE);
    rr_offered_load_clear(&fixture->load);
    rr_admission_writer_destroy(fixture->writer);
    rr_admission_settings_clear(&fixture->settings);
}

/* A job larger than all that its team may have waiting is admitted where nothing of its key waits;
 * many such jobs, each in a class of its own, are not. */
static void job_larger_than_its_share_is_admitted_once(void **state) {
    (void)state;
    struct writer_fixture fixture;
    writer_fixture_init(&fixture);
    rr_demand_total large = {make_key("blue", "large", 99), 1, {50000, 0, 50000}};
    g_array_append_val(fixture.demand, large);
    const rr_admission_table *table = write_table(&fixture);
    assert_true(rr_admission_table_row(table, large.key.id)->share >= RR_ADMISSION_FULL - 1);
    assert_true(rr_admission_table_row(table, make_key("red", "flood", 1).id)->share <
                RR_ADMISSION_FULL / 50);
    writer_fixture_clear(&fixture);
    writer_fixture_init(&fixture);
    for (int i = 0; i < 30; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "c%d", i);
        large.key = make_key("blue", name, 99);
        g_array_append_val(fixture.demand, large);
    }
    table = write_table(&fixture);
    unsigned full = 0;
    for (guint i = 0; i < table->rows->len; i++) {
        full += g_array_index(table->rows, rr_admission_row, i).share >= RR_ADMISSION_FULL - 1;
    }
    assert_int_equal(full, 1);
    writer_fixture_clear(&fixture);
}

/* A controller that was not the autoscaler for an hour does not count that hour as use by its
 * teams' tasks, so that right estimates stay right. */
static void autoscaler_after_a_pause_keeps_corrections(void **state) {
    (void)state;
    struct writer_fixture fixture;
    rr_submission job = make_submission("red", "flood", "req-1", 4000);
    writer_fixture_init(&fixture);
    rr_offered_load_add_job(&fixture.load, &job, 0, 0, 100, 10);
    write_table(&fixture);
    rr_offered_load_begin(&fixture.load);
    rr_offered_load_add_machine(&fixture.load, "m1", "a", (rr_amount){100, 0, 400});
    rr_offered_load_add_job(&fixture.load, &job, 0, 2000, 100, 60);
    rr_admission_table before = fixture.made;
    assert_true(rr_admission_writer_next(fixture.writer, &fixture.load, fixture.demand, &before,
                                         4595, 4595, &fixture.made));
    double correction = rr_admission_table_team(&fixture.made, "red")->correction;
    assert_true(correction > 0.9 && correction < 1.1);
    rr_admission_table_clear(&before);
    writer_fixture_clear(&fixture);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(room_is_divided_by_weighted_max_min),
        cmocka_unit_test(teams_get_room_by_their_weights),
        cmocka_unit_test(team_gets_its_guaranteed_share),
        cmocka_unit_test(progressive_filling_without_time_for_programs),
        cmocka_unit_test(programs_and_filling_agree_on_many_rows),
        cmocka_unit_test(job_larger_than_its_share_is_admitted_once),
        cmocka_unit_test(autoscaler_after_a_pause_keeps_corrections),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
