/* Cell processes, their simulated users and the checker: see cells_run.h. */
#include "cells_run.h"

#include "cells/records.h"
#include "common/clock.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TASK_S 1.0
#define CANCEL_S 8.0
#define WORKER_LEASE_S 3.0
/* Highest claim number of a job that the checker looks for. A home offers a job three times; cells
 * that claim it from a home without controllers continue the count. */
#define CLAIMS_MAX 16u
#define SETTLE_MAX_S 60.0   /* until all jobs have to have a final answer */
#define START_IN_TIME_S 6.0 /* from a job's submission to its start, to count as in time */

const char *const run_cell_names[RUN_CELLS] = {"a", "b", "c", "d"};
/* Submission rate of each cell, in jobs of two tasks per second. A cell's machine completes 16
 * tasks per second, so the first two cells are overloaded. */
static const double jobs_per_s[RUN_CELLS] = {11, 10, 1, 1};

struct cells_run_options run_options = {.submit_duration_s = 9, .cells_enabled = true};
struct cells_run run;

/* ---- processes ---- */

/* Writes the cell's settings file, with all other cells as its neighbours. */
static void write_settings_file(int own_cell) {
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "cell = \"%s\"\nlease_s = 2\nstop_s = 0.5\nbegin_wait_s = 1\n"
                           "end_wait_s = 0.5\ngive_back_s = 3\n",
                           run_cell_names[own_cell]);
    for (int k = 0; k < RUN_CONTROLLERS; k++) {
        g_string_append_printf(text, "controller \"%s%d\" { endpoint = \"127.0.%d.1:%u\" }\n",
                               run_cell_names[own_cell], k, own_cell + 1,
                               run.cells[own_cell].ports[k]);
    }
    for (int i = 0; i < RUN_CELLS; i++) {
        if (i == own_cell) {
            continue;
        }
        g_string_append_printf(text, "neighbour \"%s\" {\n  networks = {\"127.0.%d.0/24\"}\n",
                               run_cell_names[i], i + 1);
        g_string_append_printf(text, "  zones = {\"%s\"}\n", run_cell_names[i]);
        if (run_options.claims_enabled) {
            g_string_append_printf(text, "  state = \"127.0.0.1:%u\"\n",
                                   fake_services_port(run.cells[i].services));
        }
        for (int k = 0; k < RUN_CONTROLLERS; k++) {
            g_string_append_printf(text, "  controller \"%s%d\" { endpoint = \"127.0.%d.1:%u\" }\n",
                                   run_cell_names[i], k, i + 1, run.cells[i].ports[k]);
        }
        g_string_append(text, "}\n");
    }
    assert_true(
        g_file_set_contents(run.cells[own_cell].settings_file, text->str, (gssize)text->len, NULL));
    g_string_free(text, TRUE);
}

static void start_controller(int cell, int k) {
    const char *with_cells[] = {"--cells", run.cells[cell].settings_file, NULL},
               *without_cells[] = {NULL};
    process_start(&run.cells[cell].controllers[k], run_options.program,
                  run_options.cells_enabled ? with_cells : without_cells);
}

void run_start_controllers(int cell) {
    for (int k = 0; k < RUN_CONTROLLERS; k++) {
        start_controller(cell, k);
    }
    run.cells[cell].controllers_down = false;
}

void run_begin(unsigned seed) {
    static const char *const teams[] = {"red"};
    static const struct cell_settings cell_settings = {teams, 1, 0.3, WORKER_LEASE_S, CANCEL_S};
    memset(&run, 0, sizeof run);
    g_strlcpy(run.directory, "/tmp/cells-XXXXXX", sizeof run.directory);
    assert_non_null(g_mkdtemp(run.directory));
    run.random = g_rand_new_with_seed(seed);
    run.jobs = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < RUN_CELLS; i++) {
        struct run_cell *cell = &run.cells[i];
        cell->services = fake_services_start();
        fake_services_set_zone(cell->services, run_cell_names[i]);
        fake_services_set_task_runtime(cell->services, TASK_S);
        fake_services_set_worker_lease(cell->services, WORKER_LEASE_S);
        processes_configure(cell->services, run.directory, run_cell_names[i], run_cell_names[i],
                            &cell_settings, cell->controllers, RUN_CONTROLLERS);
        g_snprintf(cell->settings_file, sizeof cell->settings_file, "%s/%s.conf", run.directory,
                   run_cell_names[i]);
        for (int k = 0; k < RUN_CONTROLLERS; k++) {
            cell->ports[k] = fake_services_find_unused_port();
        }
    }
    for (int i = 0; i < RUN_CELLS; i++) {
        write_settings_file(i);
        run_start_controllers(i);
    }
    for (int i = 0; i < RUN_CELLS; i++) {
        process_wait_ready(&run.cells[i].controllers[0]);
        process_wait_ready(&run.cells[i].controllers[1]);
    }
}

int run_kill_remaining_processes(void **state) {
    (void)state;
    for (int i = 0; i < RUN_CELLS; i++) {
        for (int k = 0; k < RUN_CONTROLLERS; k++) {
            process_kill(&run.cells[i].controllers[k]);
        }
    }
    return 0;
}

void run_end(void) {
    for (int i = 0; i < RUN_CELLS; i++) {
        struct run_cell *cell = &run.cells[i];
        for (int k = 0; k < RUN_CONTROLLERS; k++) {
            if (cell->controllers[k].pid > 0) {
                process_stop(&cell->controllers[k], SIGTERM);
            }
            process_remove_files(&cell->controllers[k]);
        }
        unlink(cell->settings_file);
        fake_services_stop(cell->services);
    }
    rmdir(run.directory);
    g_ptr_array_free(run.jobs, TRUE);
    g_rand_free(run.random);
}

void run_kill_controllers(int cell) {
    for (int k = 0; k < RUN_CONTROLLERS; k++) {
        process_stop(&run.cells[cell].controllers[k], SIGKILL);
    }
    run.cells[cell].controllers_down = true;
}

/* ---- users ---- */

/* Returns the configuration of one of the cell's controllers, chosen at random. */
static const struct rr_config *pick_controller(int cell) {
    return &run.cells[cell].controllers[g_rand_int_range(run.random, 0, RUN_CONTROLLERS)].config;
}

void run_submit_job(int home) {
    struct run_job *job = g_new0(struct run_job, 1);
    rr_submission submission;
    g_snprintf(job->id, sizeof job->id, "req-1%d%06u", home, run.next_job_number++);
    test_submission_init(&submission, &(struct test_job){.job_id = job->id,
                                                         .team = "red",
                                                         .job_class = "small",
                                                         .task_count = 2,
                                                         .cpus = 1,
                                                         .mem_gb = 1});
    submission.runtime_estimate_s = TASK_S;
    job->home = home;
    job->submitted_at = rr_steady_clock_s();
    int status = fake_services_submit(pick_controller(home), &submission);
    if (status == 201) {
        job->accepted_at = rr_steady_clock_s();
        job->wants_cancel = g_rand_double(run.random) < 0.05;
        g_ptr_array_add(run.jobs, job);
    } else {
        run.refused_submissions++;
        g_free(job);
    }
}

void run_submit_jobs_for(double seconds) {
    double last = rr_steady_clock_s(), until = last + seconds;
    while (rr_steady_clock_s() < until) {
        double now = rr_steady_clock_s(), elapsed_s = now - last;
        last = now;
        for (int i = 0; i < RUN_CELLS; i++) {
            bool is_due = g_rand_double(run.random) < jobs_per_s[i] * elapsed_s;
            if (is_due && !run.cells[i].controllers_down) {
                run_submit_job(i);
            }
        }
        rr_sleep(RUN_POLL_S);
    }
}

int run_send_job_request(int cell, const char *method, const char *id, const char *action,
                         char *state, uint64_t *done) {
    char path[96];
    rr_document document = {0};
    g_snprintf(path, sizeof path, "/submissions/%s%s", id, action);
    int status = fake_services_request(pick_controller(cell), method, path, NULL, 0, &document);
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

static bool started_at_home(const struct run_job *job) {
    char task_name[48];
    bool started = false;
    for (unsigned task = 0; task < 2; task++) {
        g_snprintf(task_name, sizeof task_name, "%s/%u", job->id, task);
        started =
            started || fake_services_find_first_start(run.cells[job->home].services, task_name) > 0;
    }
    return started;
}

void run_poll_job(struct run_job *job, int cell) {
    char state[32];
    uint64_t done = 0;
    int status = run_send_job_request(cell, "GET", job->id, "", state, &done);
    assert_true(status == 200 || status == 503 || status == -1);
    if (status != 200) {
        return;
    }
    bool is_done = strcmp(state, "done") == 0, cancelled = strcmp(state, "aborted") == 0;
    /* The number of done tasks must not fall, and a final answer must not change. */
    bool stale =
        done < job->max_reported_done || (job->done && !is_done) || (job->cancelled && !cancelled);
    if (stale) {
        printf("job %s: a poll reported %s with %u tasks done, after an earlier one had %s\n",
               job->id, state, (unsigned)done,
               job->done        ? "done"
               : job->cancelled ? "aborted"
                                : "more tasks done");
    }
    run.stale_polls += stale;
    bool elsewhere = strcmp(state, "running") == 0 && !started_at_home(job);
    run.polls_running_elsewhere += elsewhere;
    job->max_reported_done = MAX(job->max_reported_done, done);
    if ((is_done || cancelled) && !job->done && !job->cancelled) {
        job->settled_at = rr_steady_clock_s();
    }
    job->done = job->done || is_done;
    job->cancelled = job->cancelled || cancelled;
}

/* Sends the cancellation to a random cell, or to the home if cells are off. It is repeated with the
 * next poll until a cell confirms it. */
static void try_cancel(struct run_job *job) {
    char state[32];
    int cell = run_options.cells_enabled ? g_rand_int_range(run.random, 0, RUN_CELLS) : job->home;
    if (run.cells[cell].controllers_down) {
        return;
    }
    int status = run_send_job_request(cell, "POST", job->id, "/cancel", state, NULL);
    assert_true(status == 200 || status == 503 || status == -1);
    if (status == 200) {
        job->wants_cancel = false;
        bool cancelled = strcmp(state, "aborted") == 0;
        job->cancelled_at = cancelled ? rr_steady_clock_s() : 0;
        job->cancelled = job->cancelled || cancelled;
        job->settled_at = cancelled ? rr_steady_clock_s() : job->settled_at;
    }
}

/* Whether no further answer is expected. The jobs of a killed home get none, unless other cells may
 * claim them. */
static bool settled(const struct run_job *job) {
    return job->done || job->cancelled ||
           (run.cells[job->home].controllers_down && !run_options.claims_enabled);
}

unsigned run_poll_open_jobs(void) {
    unsigned open = 0;
    for (guint i = 0; i < run.jobs->len; i++) {
        struct run_job *job = g_ptr_array_index(run.jobs, i);
        double now = rr_steady_clock_s();
        if (settled(job)) {
            continue;
        }
        open++;
        if (now - job->polled_at < 1) {
            continue;
        }
        job->polled_at = now;
        bool home_is_down = run.cells[job->home].controllers_down;
        if (job->wants_cancel && !home_is_down) {
            try_cancel(job);
        }
        bool at_other_cell =
            home_is_down || (run_options.cells_enabled && g_rand_double(run.random) < 0.1);
        int cell = at_other_cell ? g_rand_int_range(run.random, 0, RUN_CELLS) : job->home;
        if (!run.cells[cell].controllers_down) {
            run_poll_job(job, cell);
        }
    }
    return open;
}

/* Prints what every cell answers about each open job, to explain a failed test. Status 0: the
 * cell's controllers are killed. */
static void print_open_jobs(void) {
    for (guint i = 0; i < run.jobs->len; i++) {
        const struct run_job *job = g_ptr_array_index(run.jobs, i);
        if (!settled(job)) {
            for (int cell = 0; cell < RUN_CELLS; cell++) {
                char state[32];
                int status = run.cells[cell].controllers_down
                                 ? 0
                                 : run_send_job_request(cell, "GET", job->id, "", state, NULL);
                printf("job %s of cell %s, polled at cell %s: HTTP status %d %s\n", job->id,
                       run_cell_names[job->home], run_cell_names[cell], status,
                       status == 200 ? state : "");
            }
        }
    }
}

void run_assert_settle_deadline(double started_at) {
    if (rr_steady_clock_s() - started_at >= SETTLE_MAX_S) {
        print_open_jobs();
    }
    assert_true(rr_steady_clock_s() - started_at < SETTLE_MAX_S);
}

double run_poll_until_settled(void) {
    double started_at = rr_steady_clock_s();
    while (run_poll_open_jobs() > 0) {
        run_assert_settle_deadline(started_at);
        rr_sleep(RUN_POLL_S);
    }
    return rr_steady_clock_s() - started_at;
}

/* ---- checker ---- */

/* One run of a task, in steady-clock seconds. until INFINITY: it has not ended. */
struct task_run {
    double from, until;
    int cell;
};

/* Returns all runs of the task (struct task_run), in every cell and under every id of its job. The
 * caller frees the array. */
static GArray *collect_task_runs(GArray *const *runs, const struct run_job *job, unsigned task) {
    GArray *task_runs = g_array_new(FALSE, TRUE, sizeof(struct task_run));
    for (int cell = 0; cell < RUN_CELLS; cell++) {
        for (uint32_t claim = 0; claim <= CLAIMS_MAX; claim++) {
            char id[RR_ID_SIZE], task_name[80];
            bool is_home = cell == job->home;
            /* The home uses the job's own id; guests have another one for each claim. */
            if (is_home != (claim == 0)) {
                continue;
            }
            rr_cells_make_local_id(run_cell_names[job->home], job->id, claim, id, sizeof id);
            g_snprintf(task_name, sizeof task_name, "%s/%u", is_home ? job->id : id, task);
            for (guint i = 0; i < runs[cell]->len; i++) {
                const fake_task_run *entry = &g_array_index(runs[cell], fake_task_run, i);
                if (strcmp(entry->task_name, task_name) == 0) {
                    struct task_run task_run = {
                        entry->started_at, entry->ended_at > 0 ? entry->ended_at : INFINITY, cell};
                    g_array_append_val(task_runs, task_run);
                }
            }
        }
    }
    return task_runs;
}

/* Adds what is wrong with the runs of one task to *out. */
static void add_findings_of_task(const struct run_job *job, const GArray *task_runs,
                                 struct run_findings *out) {
    bool ran = false;
    for (guint i = 0; i < task_runs->len; i++) {
        const struct task_run *one = &g_array_index(task_runs, struct task_run, i);
        ran = true;
        for (guint k = i + 1; k < task_runs->len; k++) {
            const struct task_run *other = &g_array_index(task_runs, struct task_run, k);
            bool overlap = one->from < other->until && other->from < one->until;
            if (overlap) {
                printf("job %s ran in cells %s and %s at the same time for %.2f s\n", job->id,
                       run_cell_names[one->cell], run_cell_names[other->cell],
                       fmin(one->until, other->until) - fmax(one->from, other->from));
            }
            out->overlapping_runs += overlap;
        }
        bool late = job->cancelled_at > 0 && one->until > job->cancelled_at + CANCEL_S;
        out->late_stops += late;
    }
    out->done_without_run += job->done && !ran;
}

/* Adds the job to the counts in *out, with what is wrong with the runs of its tasks. */
static void add_findings_of_job(GArray *const *runs, const struct run_job *job,
                                struct run_findings *out) {
    double started_at = INFINITY;
    bool transferred = false;
    for (unsigned task = 0; task < 2; task++) {
        GArray *task_runs = collect_task_runs(runs, job, task);
        add_findings_of_task(job, task_runs, out);
        for (guint i = 0; i < task_runs->len; i++) {
            const struct task_run *task_run = &g_array_index(task_runs, struct task_run, i);
            started_at = fmin(started_at, task_run->from);
            transferred = transferred || task_run->cell != job->home;
        }
        g_array_free(task_runs, TRUE);
    }
    out->jobs++;
    out->done += job->done;
    out->cancelled += job->cancelled;
    out->transferred += transferred;
    out->started_in_time += started_at - job->submitted_at <= START_IN_TIME_S;
}

struct run_findings run_check_jobs(void) {
    struct run_findings findings = {0};
    GArray *runs[RUN_CELLS];
    for (int i = 0; i < RUN_CELLS; i++) {
        runs[i] = fake_services_runs(run.cells[i].services);
    }
    for (guint i = 0; i < run.jobs->len; i++) {
        add_findings_of_job(runs, g_ptr_array_index(run.jobs, i), &findings);
    }
    for (int i = 0; i < RUN_CELLS; i++) {
        g_array_free(runs[i], TRUE);
    }
    return findings;
}

void run_report_findings(const char *title, unsigned seed, const struct run_findings *findings,
                         double settle_s) {
    printf("%s, seed %u: %u jobs, %u done, %u cancelled, %u ran elsewhere, started within %.0f s "
           "%.3f; settled in %.1f s; overlapping runs %u, late stops %u, stale polls %u, "
           "done without a run %u, refused submissions %u\n",
           title, seed, findings->jobs, findings->done, findings->cancelled, findings->transferred,
           START_IN_TIME_S, (double)findings->started_in_time / findings->jobs, settle_s,
           findings->overlapping_runs, findings->late_stops, run.stale_polls,
           findings->done_without_run, run.refused_submissions);
    assert_int_equal(findings->overlapping_runs, 0);
    assert_int_equal(findings->late_stops, 0);
    assert_int_equal(run.stale_polls, 0);
    assert_int_equal(findings->done_without_run, 0);
}
