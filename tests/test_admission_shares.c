/* The division of capacity among teams and keys, and the tables that the writer derives from it. */
#include "admission/shares.h"
#include "admission_fixture.h"

#include <math.h>
#include <string.h>

/* ---- shares ---- */

/* What a problem of two teams and two pools points to. */
struct shares {
    rr_share_row rows[3];
    rr_share_pool pools[2];
    rr_share_team teams[2];
    bool any_pool[2], second_pool[2]; /* the pools that a row may use */
};

/* Returns a problem with two pools. Team 0 may use both and demands more than there is. Team 1 has
 * one row restricted to the second pool, and one that uses memory only. */
static rr_share_problem make_two_team_problem(struct shares *shares) {
    *shares = (struct shares){.any_pool = {true, true}, .second_pool = {false, true}};
    shares->pools[0] = (rr_share_pool){{6, 0, 6}};
    shares->pools[1] = (rr_share_pool){{4, 0, 4}};
    shares->teams[0] = shares->teams[1] = (rr_share_team){1, 0};
    shares->rows[0] = (rr_share_row){0, 1, 50, {1, 0, 0.5}, shares->any_pool, 0};
    shares->rows[1] = (rr_share_row){1, 1, 9, {1, 0, 0.1}, shares->second_pool, 0};
    shares->rows[2] = (rr_share_row){1, 1, 1, {0, 0, 1}, shares->any_pool, 0};
    return (rr_share_problem){shares->rows, 3, shares->pools, 2, shares->teams, 2};
}

/* Linear programs give the exact allocation, progressive filling one within its step size. */
static void capacity_is_divided_by_weighted_max_min(void **state) {
    (void)state;
    struct shares shares;
    for (int by_filling = 0; by_filling < 2; by_filling++) {
        rr_share_problem problem = make_two_team_problem(&shares);
        double slack = by_filling ? 0.3 : 1e-3;
        if (by_filling) {
            rr_share_solve_by_filling(&problem);
        } else {
            assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_METHOD_LINEAR_PROGRAM);
        }
        /* Team 1 gets all CPUs of the second pool and the memory that it demands, team 0 gets the
         * rest. */
        assert_true(fabs(shares.rows[0].allocation - 6) <= slack);
        assert_true(fabs(shares.rows[1].allocation - 4) <= slack);
        assert_true(fabs(shares.rows[2].allocation - 1) <= slack);
    }
}

static void teams_get_capacity_by_their_weights(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = make_two_team_problem(&shares);
    shares.rows[1].pools = shares.any_pool;
    shares.teams[0].weight = 3;
    assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_METHOD_LINEAR_PROGRAM);
    assert_true(fabs(shares.rows[0].allocation -
                     3 * (shares.rows[1].allocation + shares.rows[2].allocation)) < 0.05);
}

/* Even a team with hardly any weight gets its guarantee. */
static void team_gets_its_guaranteed_share(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = make_two_team_problem(&shares);
    shares.rows[1].pools = shares.any_pool;
    shares.teams[0].weight = 3;
    shares.teams[1] = (rr_share_team){1e-3, 5};
    assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_METHOD_LINEAR_PROGRAM);
    assert_true(shares.rows[1].allocation + shares.rows[2].allocation >= 5 - 1e-3);
}

/* Without time for the linear programs, progressive filling is used and reported as the method. Its
 * result is the same within its step size. */
static void progressive_filling_is_used_without_solver_time(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = make_two_team_problem(&shares);
    assert_int_equal(rr_share_solve(&problem, 0), RR_SHARE_METHOD_PROGRESSIVE_FILLING);
    assert_true(fabs(shares.rows[0].allocation - 6) < 0.3 &&
                fabs(shares.rows[1].allocation - 4) < 0.3);
}

/* With rows and pools like those of a fleet of several machine types in several zones, no row gets
 * more than it demands, the pools' total is not exceeded, and both methods give each team nearly
 * the same. */
static void programs_and_filling_agree_on_many_rows(void **state) {
    (void)state;
    enum { ROWS = 60, POOLS = 12, TEAMS = 10 };
    static bool allowed[ROWS][POOLS];
    rr_share_row rows[ROWS];
    rr_share_pool pools[POOLS];
    rr_share_team teams[TEAMS];
    GRand *random = g_rand_new_with_seed(7);
    double team_totals[2][TEAMS] = {{0}};
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
            rr_share_solve_by_filling(&problem);
        } else {
            assert_int_equal(rr_share_solve(&problem, 20), RR_SHARE_METHOD_LINEAR_PROGRAM);
        }
        for (int i = 0; i < ROWS; i++) {
            assert_true(rows[i].allocation <= rows[i].demand + 1e-6);
            team_totals[by_filling][i % TEAMS] += rows[i].allocation;
            sum += rows[i].allocation;
        }
        assert_true(sum <= 40 + 1e-6);
    }
    for (int team = 0; team < TEAMS; team++) {
        assert_true(fabs(team_totals[0][team] - team_totals[1][team]) < 0.8);
    }
    g_rand_free(random);
}

/* ---- the writer ---- */

/* A writer, its input, and the table that it wrote last. */
struct writer_fixture {
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission_writer *writer;
    rr_offered_load load;
    GArray *demand;
    rr_admission_table newest;  /* the table in force when the writer runs */
    rr_admission_table written; /* empty before write_active_table() */
};

/* Sets up 100 CPUs under overload, with a flood of small jobs from the first team. */
static void writer_fixture_init(struct writer_fixture *fixture) {
    memset(fixture, 0, sizeof *fixture);
    test_config_init(&fixture->config, "n0");
    rr_admission_settings_init(&fixture->settings);
    fixture->writer = rr_admission_writer_create(&fixture->config, &fixture->settings);
    rr_offered_load_init(&fixture->load, &fixture->settings);
    rr_offered_load_begin_snapshot(&fixture->load);
    rr_offered_load_add_machine(&fixture->load, "m1", "a", (rr_resource_amount){100, 0, 400});
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

/* Writes the table of the interval that begins at 1000 s, which must be active. The fixture owns
 * it. */
static const rr_admission_table *write_active_table(struct writer_fixture *fixture) {
    assert_true(rr_admission_writer_make_table(fixture->writer, &fixture->load, fixture->demand,
                                               &fixture->newest, 995, 995, &fixture->written));
    assert_true(fixture->written.active);
    assert_true(fixture->written.starts_at == 1000);
    return &fixture->written;
}

static void writer_fixture_clear(struct writer_fixture *fixture) {
    rr_admission_table_clear(&fixture->newest);
    rr_admission_table_clear(&fixture->written);
    g_array_free(fixture->demand, TRUE);
    rr_offered_load_clear(&fixture->load);
    rr_admission_writer_destroy(fixture->writer);
    rr_admission_settings_clear(&fixture->settings);
}

/* A job that exceeds the backlog allowed to its team is still admitted if no job of its key waits
 * to be placed. Of many such jobs, each in a class of its own, only one is admitted. */
static void only_one_oversized_job_is_admitted(void **state) {
    (void)state;
    struct writer_fixture fixture;
    writer_fixture_init(&fixture);
    rr_demand_total large = {make_key("blue", "large", 99), 1, {50000, 0, 50000}};
    g_array_append_val(fixture.demand, large);
    const rr_admission_table *table = write_active_table(&fixture);
    assert_true(rr_admission_table_find_row(table, large.key.id)->share >=
                RR_ADMISSION_SHARE_FULL - 1);
    assert_true(rr_admission_table_find_row(table, make_key("red", "flood", 1).id)->share <
                RR_ADMISSION_SHARE_FULL / 50);
    writer_fixture_clear(&fixture);
    writer_fixture_init(&fixture);
    for (int i = 0; i < 30; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "c%d", i);
        large.key = make_key("blue", name, 99);
        g_array_append_val(fixture.demand, large);
    }
    table = write_active_table(&fixture);
    unsigned full_share_rows = 0;
    for (guint i = 0; i < table->rows->len; i++) {
        full_share_rows +=
            g_array_index(table->rows, rr_admission_row, i).share >= RR_ADMISSION_SHARE_FULL - 1;
    }
    assert_int_equal(full_share_rows, 1);
    writer_fixture_clear(&fixture);
}

/* A controller that becomes the autoscaler again after an hour does not count that hour as CPU time
 * used by the running tasks, so the correction of accurate estimates stays near 1. */
static void corrections_survive_a_pause_as_autoscaler(void **state) {
    (void)state;
    struct writer_fixture fixture;
    rr_submission job = make_submission("red", "flood", "req-1", 4000);
    writer_fixture_init(&fixture);
    rr_offered_load_add_job(&fixture.load, &job, 0, 0, 100, 10);
    write_active_table(&fixture);
    rr_offered_load_begin_snapshot(&fixture.load);
    rr_offered_load_add_machine(&fixture.load, "m1", "a", (rr_resource_amount){100, 0, 400});
    rr_offered_load_add_job(&fixture.load, &job, 0, 2000, 100, 60);
    rr_admission_table previous = fixture.written;
    assert_true(rr_admission_writer_make_table(fixture.writer, &fixture.load, fixture.demand,
                                               &previous, 4595, 4595, &fixture.written));
    double correction = rr_admission_table_find_team(&fixture.written, "red")->correction;
    assert_true(correction > 0.9 && correction < 1.1);
    rr_admission_table_clear(&previous);
    writer_fixture_clear(&fixture);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(capacity_is_divided_by_weighted_max_min),
        cmocka_unit_test(teams_get_capacity_by_their_weights),
        cmocka_unit_test(team_gets_its_guaranteed_share),
        cmocka_unit_test(progressive_filling_is_used_without_solver_time),
        cmocka_unit_test(programs_and_filling_agree_on_many_rows),
        cmocka_unit_test(only_one_oversized_job_is_admitted),
        cmocka_unit_test(corrections_survive_a_pause_as_autoscaler),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
