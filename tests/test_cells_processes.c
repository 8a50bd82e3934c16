/* Four cells of two real controllers each on loopback, each cell with a key-value store, a cloud
 * and a machine of its own; two of them get more work than they can do. One is killed on the way. A
 * checker goes over what users were told and what every worker ran.
 *
 * Times are small: leases of 2 s, cancel_s of 8. Arguments: the program; seconds of submissions
 * (9 if not given); the first seed (1) and their number (1); "off" to start the controllers
 * without cells, for comparison, when nothing can run elsewhere; a pattern of tests. */
#include "core_fixture.h"

#include "common/clock.h"
#include "cells/records.h"
#include "processes.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CELLS 4
#define CONTROLLERS 2
#define TASK_S 1.0
#define CANCEL_S 8.0
#define WORKER_LEASE_S 3.0
#define CLAIMS 3u /* of a job at most */
#define LOOK_S 0.02
#define SETTLE_S 60.0
#define BEGIN_IN_TIME_S 6.0

static const char *program;
static double submissions_s = 9;
static bool cells_on = true;
static bool claims_on; /* jobs of a cell without controllers may be claimed */
static unsigned first_seed = 1, seeds = 1;
static const char *const names[CELLS] = {"a", "b", "c", "d"};
/* Jobs of two tasks a second; a cell's machine ends 16 tasks a second. */
static const double offered[CELLS] = {11, 10, 1, 1};

struct cell {
    fake_services *w;
    struct controller_process controllers[CONTROLLERS];
    uint16_t ports[CONTROLLERS];
    char file[256];
    bool dead;
};

struct job {
    char id[32];
    int home;
    double came_at, accepted_at, cancelled_at;
    bool wants_cancel, done, aborted;
    double settled_at, asked_at;
    uint64_t told_done;
};

static struct {
    char folder[64];
    struct cell cells[CELLS];
    GPtrArray *jobs; /* struct job*: accepted */
    GRand *random;
    unsigned next_id, refused, went_back, told_running_away;
} run;

/* ---- cells ---- */

static void write_cells_file(int own) {
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "cell = \"%s\"\nlease_s = 2\nstop_s = 0.5\nbegin_wait_s = 1\n"
                           "end_wait_s = 0.5\ngive_back_s = 3\n",
                           names[own]);
    for (int k = 0; k < CONTROLLERS; k++) {
        g_string_append_printf(text, "controller \"%s%d\" { endpoint = \"127.0.%d.1:%u\" }\n",
                               names[own], k, own + 1, run.cells[own].ports[k]);
    }
    for (int i = 0; i < CELLS; i++) {
        if (i == own) {
            continue;
        }
        g_string_append_printf(text, "neighbour \"%s\" {\n  networks = {\"127.0.%d.0/24\"}\n",
                               names[i], i + 1);
        g_string_append_printf(text, "  zones = {\"%s\"}\n", names[i]);
        if (claims_on) {
            g_string_append_printf(text, "  state = \"127.0.0.1:%u\"\n",
                                   fake_services_port(run.cells[i].w));
        }
        for (int k = 0; k < CONTROLLERS; k++) {
            g_string_append_printf(text, "  controller \"%s%d\" { endpoint = \"127.0.%d.1:%u\" }\n",
                                   names[i], k, i + 1, run.cells[i].ports[k]);
        }
        g_string_append(text, "}\n");
    }
    assert_true(g_file_set_contents(run.cells[own].file, text->str, (gssize)text->len, NULL));
    g_string_free(text, TRUE);
}

static void start_controller(int cell, int k) {
    const char *with[] = {"--cells", run.cells[cell].file, NULL}, *without[] = {NULL};
    process_start(&run.cells[cell].controllers[k], program, cells_on ? with : without);
}

static void run_begin(unsigned seed) {
    static const char *const teams[] = {"red"};
    static const struct platform platform = {teams, 1, 0.3, WORKER_LEASE_S, CANCEL_S};
    memset(&run, 0, sizeof run);
    g_strlcpy(run.folder, "/tmp/cells-XXXXXX", sizeof run.folder);
    assert_non_null(g_mkdtemp(run.folder));
    run.random = g_rand_new_with_seed(seed);
    run.jobs = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < CELLS; i++) {
        struct cell *cell = &run.cells[i];
        cell->w = fake_services_start();
        fake_services_zone(cell->w, names[i]);
        fake_services_task_seconds(cell->w, TASK_S);
        fake_services_worker_lease(cell->w, WORKER_LEASE_S);
        processes_configure(cell->w, run.folder, names[i], names[i], &platform, cell->controllers,
                            CONTROLLERS);
        g_snprintf(cell->file, sizeof cell->file, "%s/%s.conf", run.folder, names[i]);
        for (int k = 0; k < CONTROLLERS; k++) {
            cell->ports[k] = fake_services_free_port();
        }
    }
    for (int i = 0; i < CELLS; i++) {
        write_cells_file(i);
        for (int k = 0; k < CONTROLLERS; k++) {
            start_controller(i, k);
        }
    }
    for (int i = 0; i < CELLS; i++) {
        process_wait_ready(&run.cells[i].controllers[0]);
        process_wait_ready(&run.cells[i].controllers[1]);
    }
}

static int end_leftovers(void **state) {
    (void)state;
    for (int i = 0; i < CELLS; i++) {
        for (int k = 0; k < CONTROLLERS; k++) {
            process_kill(&run.cells[i].controllers[k]);
        }
    }
    return 0;
}

static void run_end(void) {
    for (int i = 0; i < CELLS; i++) {
        struct cell *cell = &run.cells[i];
        for (int k = 0; k < CONTROLLERS; k++) {
            if (cell->controllers[k].pid > 0) {
                process_end(&cell->controllers[k], SIGTERM);
            }
            process_remove_files(&cell->controllers[k]);
        }
        unlink(cell->file);
        fake_services_stop(cell->w);
    }
    rmdir(run.folder);
    g_ptr_array_free(run.jobs, TRUE);
    g_rand_free(run.random);
}

static void kill_controllers(int cell) {
    for (int k = 0; k < CONTROLLERS; k++) {
        process_end(&run.cells[cell].controllers[k], SIGKILL);
    }
    run.cells[cell].dead = true;
}

/* ---- users ---- */

static const struct rr_config *some_controller(int cell) {
    return &run.cells[cell].controllers[g_rand_int_range(run.random, 0, CONTROLLERS)].config;
}

static void submit(int home) {
    struct job *job = g_new0(struct job, 1);
    rr_submission submission;
    g_snprintf(job->id, sizeof job->id, "req-1%d%06u", home, run.next_id++);
    test_submission(&submission, &(struct test_job){.job_id = job->id,
                                                    .team = "red",
                                                    .job_class = "small",
                                                    .pieces = 2,
                                                    .cpus = 1,
                                                    .mem_gb = 1});
    submission.runtime_estimate_s = TASK_S;
    job->home = home;
    job->came_at = rr_steady_clock_s();
    int status = fake_services_submit(some_controller(home), &submission);
    if (status == 201) {
        job->accepted_at = rr_steady_clock_s();
        job->wants_cancel = g_rand_double(run.random) < 0.05;
        g_ptr_array_add(run.jobs, job);
    } else {
        run.refused++;
        g_free(job);
    }
}

static void submit_for(double seconds) {
    double last = rr_steady_clock_s(), until = last + seconds;
    while (rr_steady_clock_s() < until) {
        double now = rr_steady_clock_s(), passed = now - last;
        last = now;
        for (int i = 0; i < CELLS; i++) {
            bool comes = g_rand_double(run.random) < offered[i] * passed;
            if (comes && !run.cells[i].dead) {
                submit(i);
            }
        }
        rr_sleep(LOOK_S);
    }
}

static int ask(int cell, const char *method, const char *id, const char *what, char *state,
               uint64_t *done) {
    char path[96];
    rr_document document = {0};
    g_snprintf(path, sizeof path, "/submissions/%s%s", id, what);
    int status = fake_services_call(some_controller(cell), method, path, NULL, 0, &document);
    state[0] = 0;
    if (status > 0 && document.root) {
        rr_map_get_text(document.root, "standing", state, 32);
        if (done) {
            rr_map_get_u64(document.root, "done", done);
        }
    }
    if (status > 0) {
        rr_document_clear(&document);
    }
    return status;
}

static bool world_started_here(const struct job *job) {
    char task_name[48];
    bool started = false;
    for (unsigned task = 0; task < 2; task++) {
        g_snprintf(task_name, sizeof task_name, "%s/%u", job->id, task);
        started = started || fake_services_started(run.cells[job->home].w, task_name) > 0;
    }
    return started;
}

/* What a user was told never turns older: done tasks do not become fewer, a final answer stays. */
static void poll_at(struct job *job, int cell) {
    char state[32];
    uint64_t done = 0;
    int status = ask(cell, "GET", job->id, "", state, &done);
    assert_true(status == 200 || status == 503 || status == -1);
    if (status != 200) {
        return;
    }
    bool is_done = strcmp(state, "done") == 0, aborted = strcmp(state, "aborted") == 0;
    bool older = done < job->told_done || (job->done && !is_done) || (job->aborted && !aborted);
    if (older) {
        printf("%s: told %s with %u done after %s\n", job->id, state, (unsigned)done,
               job->done      ? "done"
               : job->aborted ? "aborted"
                              : "fewer");
    }
    run.went_back += older;
    bool elsewhere = strcmp(state, "running") == 0 && !world_started_here(job);
    run.told_running_away += elsewhere;
    job->told_done = MAX(job->told_done, done);
    if ((is_done || aborted) && !job->done && !job->aborted) {
        job->settled_at = rr_steady_clock_s();
    }
    job->done = job->done || is_done;
    job->aborted = job->aborted || aborted;
}

/* A user who cancels asks again until it is confirmed; at any cell, where there are several. */
static void try_cancel(struct job *job) {
    char state[32];
    int cell = cells_on ? g_rand_int_range(run.random, 0, CELLS) : job->home;
    if (run.cells[cell].dead) {
        return;
    }
    int status = ask(cell, "POST", job->id, "/cancel", state, NULL);
    assert_true(status == 200 || status == 503 || status == -1);
    if (status == 200) {
        job->wants_cancel = false;
        bool aborted = strcmp(state, "aborted") == 0;
        job->cancelled_at = aborted ? rr_steady_clock_s() : 0;
        job->aborted = job->aborted || aborted;
        job->settled_at = aborted ? rr_steady_clock_s() : job->settled_at;
    }
}

static bool settled(const struct job *job) {
    return job->done || job->aborted || (run.cells[job->home].dead && !claims_on);
}

/* Every user asks once a second, at home or, now and then, elsewhere. */
static unsigned ask_all(void) {
    unsigned open = 0;
    for (guint i = 0; i < run.jobs->len; i++) {
        struct job *job = g_ptr_array_index(run.jobs, i);
        double now = rr_steady_clock_s();
        if (settled(job)) {
            continue;
        }
        open++;
        if (now - job->asked_at < 1) {
            continue;
        }
        job->asked_at = now;
        bool home_dead = run.cells[job->home].dead;
        if (job->wants_cancel && !home_dead) {
            try_cancel(job);
        }
        bool elsewhere = home_dead || (cells_on && g_rand_double(run.random) < 0.1);
        int cell = elsewhere ? g_rand_int_range(run.random, 0, CELLS) : job->home;
        if (!run.cells[cell].dead) {
            poll_at(job, cell);
        }
    }
    return open;
}

/* The reason of a test that fails. */
static void print_unsettled(void) {
    for (guint i = 0; i < run.jobs->len; i++) {
        const struct job *job = g_ptr_array_index(run.jobs, i);
        if (!settled(job)) {
            for (int cell = 0; cell < CELLS; cell++) {
                char state[32];
                int status = run.cells[cell].dead ? 0 : ask(cell, "GET", job->id, "", state, NULL);
                printf("%s of %s, in %s: %d %s\n", job->id, names[job->home], names[cell], status,
                       status == 200 ? state : "");
            }
        }
    }
}

static void still_in_time(double began) {
    if (rr_steady_clock_s() - began >= SETTLE_S) {
        print_unsettled();
    }
    assert_true(rr_steady_clock_s() - began < SETTLE_S);
}

static double ask_until_settled(void) {
    double began = rr_steady_clock_s();
    while (ask_all() > 0) {
        still_in_time(began);
        rr_sleep(LOOK_S);
    }
    return rr_steady_clock_s() - began;
}

/* ---- the checker ---- */

struct span {
    double from, until;
    int cell;
};

/* Every run of the task, whatever each cell calls its job. */
static GArray *spans_of(GArray *const *runs, const struct job *job, unsigned task) {
    GArray *spans = g_array_new(FALSE, TRUE, sizeof(struct span));
    for (int cell = 0; cell < CELLS; cell++) {
        for (uint32_t claim = 0; claim <= CLAIMS; claim++) {
            char id[RR_ID_SIZE], task_name[80];
            bool home = cell == job->home;
            if (home != (claim == 0)) {
                continue;
            }
            rr_cells_local_id(names[job->home], job->id, claim, id, sizeof id);
            g_snprintf(task_name, sizeof task_name, "%s/%u", home ? job->id : id, task);
            for (guint i = 0; i < runs[cell]->len; i++) {
                const fake_services_run *entry = &g_array_index(runs[cell], fake_services_run, i);
                if (strcmp(entry->piece, task_name) == 0) {
                    struct span span = {entry->started_at,
                                        entry->ended_at > 0 ? entry->ended_at : INFINITY, cell};
                    g_array_append_val(spans, span);
                }
            }
        }
    }
    return spans;
}

struct findings {
    unsigned jobs, done, aborted, away, overlaps, late, never, begun_in_time;
};

static void check_task(const struct job *job, const GArray *spans, struct findings *out) {
    bool ran = false;
    for (guint i = 0; i < spans->len; i++) {
        const struct span *one = &g_array_index(spans, struct span, i);
        ran = true;
        for (guint k = i + 1; k < spans->len; k++) {
            const struct span *other = &g_array_index(spans, struct span, k);
            bool overlap = one->from < other->until && other->from < one->until;
            if (overlap) {
                printf("%s ran in %s and %s at the same time, %.2f s\n", job->id, names[one->cell],
                       names[other->cell],
                       fmin(one->until, other->until) - fmax(one->from, other->from));
            }
            out->overlaps += overlap;
        }
        bool late = job->cancelled_at > 0 && one->until > job->cancelled_at + CANCEL_S;
        out->late += late;
    }
    out->never += job->done && !ran;
}

static void check_job(GArray *const *runs, const struct job *job, struct findings *out) {
    double begun = INFINITY;
    bool transferred = false;
    for (unsigned task = 0; task < 2; task++) {
        GArray *spans = spans_of(runs, job, task);
        check_task(job, spans, out);
        for (guint i = 0; i < spans->len; i++) {
            begun = fmin(begun, g_array_index(spans, struct span, i).from);
            transferred = transferred || g_array_index(spans, struct span, i).cell != job->home;
        }
        g_array_free(spans, TRUE);
    }
    out->jobs++;
    out->done += job->done;
    out->aborted += job->aborted;
    out->away += transferred;
    out->begun_in_time += begun - job->came_at <= BEGIN_IN_TIME_S;
}

static struct findings check_all(void) {
    struct findings found = {0};
    GArray *runs[CELLS];
    for (int i = 0; i < CELLS; i++) {
        runs[i] = fake_services_runs(run.cells[i].w);
    }
    for (guint i = 0; i < run.jobs->len; i++) {
        check_job(runs, g_ptr_array_index(run.jobs, i), &found);
    }
    for (int i = 0; i < CELLS; i++) {
        g_array_free(runs[i], TRUE);
    }
    return found;
}

static void report(const char *what, unsigned seed, const struct findings *found, double settle_s) {
    printf("%s, seed %u: %u jobs, %u done, %u cancelled, %u ran elsewhere, begun within %.0f s "
           "%.3f; settled in %.1f s; overlaps %u, late %u, went back %u, done without a run %u, "
           "refused %u\n",
           what, seed, found->jobs, found->done, found->aborted, found->away, BEGIN_IN_TIME_S,
           (double)found->begun_in_time / found->jobs, settle_s, found->overlaps, found->late,
           run.went_back, found->never, run.refused);
    assert_int_equal(found->overlaps, 0);
    assert_int_equal(found->late, 0);
    assert_int_equal(run.went_back, 0);
    assert_int_equal(found->never, 0);
}

/* ---- the tests ---- */

/* At a cell that knows nothing of the job. */
static void cancel_elsewhere(void) {
    char state[32];
    double until = rr_steady_clock_s() + 20;
    submit(0);
    struct job *job = g_ptr_array_index(run.jobs, run.jobs->len - 1);
    job->wants_cancel = false;
    while (ask(2, "POST", job->id, "/cancel", state, NULL) != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.2);
    }
    poll_at(job, 0);
    assert_true(job->aborted || job->done);
    job->cancelled_at = job->aborted ? rr_steady_clock_s() : 0;
    assert_int_equal(ask(2, "POST", "req-777", "/cancel", state, NULL), 404);
}

static void four_cells(void **state) {
    (void)state;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        submit_for(submissions_s);
        double settle_s = ask_until_settled();
        if (cells_on) {
            cancel_elsewhere();
        }
        struct findings found = check_all();
        report("four cells", seed, &found, settle_s);
        assert_int_equal(found.done + found.aborted, found.jobs);
        assert_true(!cells_on || found.away > 0);
        assert_true(!cells_on || run.told_running_away > 0);
        run_end();
    }
}

/* A guest dies with all that it holds: its homes take the jobs back. */
static void one_cell_dies(void **state) {
    (void)state;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        submit_for(submissions_s * 2 / 3);
        kill_controllers(3);
        if (seed % 2 == 0) {
            fake_services_store_down(run.cells[3].w, true);
            fake_services_lose_worker(run.cells[3].w);
        }
        submit_for(submissions_s / 3);
        double settle_s = ask_until_settled();
        struct findings found = check_all();
        report("a guest dies", seed, &found, settle_s);
        run_end();
    }
}

/* A home dies: what it has elsewhere ends there by its lease; users who ask elsewhere are told to
 * come back, not that there is no such job. When it returns every job gets its answer. */
static void one_home_dies_and_returns(void **state) {
    (void)state;
    if (!cells_on) {
        skip();
    }
    run_begin(first_seed);
    submit_for(submissions_s * 2 / 3);
    kill_controllers(0);
    const struct job *lost = NULL;
    for (guint i = 0; i < run.jobs->len && !lost; i++) {
        const struct job *job = g_ptr_array_index(run.jobs, i);
        lost = job->home == 0 && !job->done ? job : NULL;
    }
    char job_state[32];
    assert_non_null(lost);
    assert_int_equal(ask(2, "GET", lost->id, "", job_state, NULL), 503);
    assert_int_equal(ask(2, "POST", lost->id, "/cancel", job_state, NULL), 503);
    double until = rr_steady_clock_s() + 5;
    while (rr_steady_clock_s() < until) {
        ask_all();
        rr_sleep(LOOK_S);
    }
    run.cells[0].dead = false;
    start_controller(0, 0);
    start_controller(0, 1);
    process_wait_ready(&run.cells[0].controllers[0]);
    double settle_s = ask_until_settled();
    struct findings found = check_all();
    report("a home dies and returns", first_seed, &found, settle_s);
    assert_int_equal(found.done + found.aborted, found.jobs);
    run_end();
}

/* A home's controllers die for good, or, with even seeds, come back while others claim its jobs:
 * its key-value store is there, and every job gets one answer, told by any cell. */
static void claimed_from_a_dead_home(void **state) {
    (void)state;
    if (!cells_on) {
        skip();
    }
    claims_on = true;
    for (unsigned seed = first_seed; seed < first_seed + seeds; seed++) {
        run_begin(seed);
        submit_for(submissions_s * 2 / 3);
        kill_controllers(0);
        double back_at = rr_steady_clock_s() + 14, began = rr_steady_clock_s();
        while (ask_all() > 0) {
            if (seed % 2 == 0 && run.cells[0].dead && rr_steady_clock_s() > back_at) {
                run.cells[0].dead = false;
                start_controller(0, 0);
                start_controller(0, 1);
            }
            still_in_time(began);
            rr_sleep(LOOK_S);
        }
        struct findings found = check_all();
        report(seed % 2 ? "a home dies for good" : "a home dies, returns while claimed", seed,
               &found, rr_steady_clock_s() - began);
        assert_int_equal(found.done + found.aborted, found.jobs);
        run_end();
    }
    claims_on = false;
}

/* With every neighbour down a cell serves as before; a job that nobody knows is 503 then, and 404
 * once all answer again. */
static void alone(void **state) {
    (void)state;
    if (!cells_on) {
        skip();
    }
    char job_state[32];
    run_begin(first_seed);
    assert_int_equal(ask(0, "GET", "req-777", "", job_state, NULL), 404);
    for (int i = 1; i < CELLS; i++) {
        kill_controllers(i);
    }
    submit_for(3);
    assert_int_equal(ask(0, "GET", "req-777", "", job_state, NULL), 503);
    double settle_s = ask_until_settled();
    struct findings found = check_all();
    report("neighbours down", first_seed, &found, settle_s);
    assert_int_equal(found.done + found.aborted, found.jobs);
    assert_int_equal(run.refused, 0);
    run_end();
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(four_cells, end_leftovers),
        cmocka_unit_test_teardown(one_cell_dies, end_leftovers),
        cmocka_unit_test_teardown(one_home_dies_and_returns, end_leftovers),
        cmocka_unit_test_teardown(claimed_from_a_dead_home, end_leftovers),
        cmocka_unit_test_teardown(alone, end_leftovers)};
    if (argc < 2) {
        fprintf(stderr, "usage: %s PROGRAM [SECONDS [FIRST_SEED [SEEDS [on|off [TEST]]]]]\n",
                argv[0]);
        return 2;
    }
    program = argv[1];
    submissions_s = argc > 2 ? g_ascii_strtod(argv[2], NULL) : submissions_s;
    first_seed = argc > 3 ? (unsigned)atoi(argv[3]) : first_seed;
    seeds = argc > 4 ? (unsigned)atoi(argv[4]) : seeds;
    cells_on = argc <= 5 || strcmp(argv[5], "off") != 0;
    if (argc > 6) {
        cmocka_set_test_filter(argv[6]);
    }
    rr_net_init();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
