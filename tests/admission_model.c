#include "admission_model.h"
#include "core/state/transaction.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <math.h>
#include <stdio.h>
#include <string.h>

#define STEP_S 0.1
#define START_WALL_S 1e6            /* true wall clock at the start of the run */
#define USER_PATIENCE_S 60.0        /* from arrival until a refused job is abandoned */
#define ATTEMPTS_PER_COMPARISON 100 /* one attempt in this many is checked at all controllers */
#define ANNOUNCE_AT 0.45            /* part of the interval after which demand is announced */
#define FAIR_SHARE_WAIT_MAX_S 60.0  /* jobs that wait longer are exempt, as in plans */

struct job {
    rr_submission submission;
    unsigned stream;
    double arrived_at;      /* first submission */
    double next_attempt_at; /* next submission, while the job is not accepted */
    double accepted_at;
    uint32_t placed; /* tasks placed so far */
};

struct running_task {
    struct job *job;
    double ends_at;
};

/* A record of an admission table in the key-value store. */
struct store_record {
    char key_suffix[16]; /* its key after RR_ADMISSION_KEY_PREFIX */
    GByteArray *value;   /* NULL: not written yet */
    uint64_t version;    /* 0: not written yet */
};

struct model_state {
    GRand *random;
    double now;
    GPtrArray *jobs;       /* struct job*, all jobs, owned */
    GPtrArray *unaccepted; /* struct job*, whose users still submit them */
    GPtrArray *queue;      /* struct job*, accepted, with tasks to place, in order of acceptance */
    GArray *running;       /* struct running_task */
    fair_cluster *fair;
    GHashTable *accepted;                                    /* job id -> struct job* */
    struct store_record records[2 * RR_ADMISSION_PARTS_MAX]; /* by slot, then by part */
    uint64_t revision;                                       /* of the newest commit */
    uint64_t delivered[MODEL_CONTROLLERS];                   /* revision that each cache has */
    rr_admission_writer *writers[MODEL_CONTROLLERS];
    rr_offered_load loads[MODEL_CONTROLLERS];
    double cache_current_at[MODEL_CONTROLLERS]; /* when each cache was last up to date */
    double announced_interval_s; /* start of the interval in which demand was last announced */
    double written_interval_s;   /* start of the interval in which a table was last due */
    double free_cpus;
};

/* Returns the controller's wall clock, including its offset. */
static double controller_wall_s(const struct model *model, int controller) {
    return START_WALL_S + model->state->now + model->clock_offset_s[controller];
}

void model_init(struct model *model, const char *const *teams) {
    memset(model, 0, sizeof *model);
    model->seed = 1;
    model->duration_s = 3600;
    model->cpus = 100;
    model->admission = true;
    struct rr_config *config = &model->config;
    for (; *teams; teams++) {
        g_strlcpy(config->teams[config->team_count++].name, *teams, RR_NAME_SIZE);
    }
    config->peer_count = MODEL_CONTROLLERS - 1;
    config->clock_skew_max_s = 0.1;
    config->value_kb = 4;
    config->transaction_changes_max = 8;
    config->admission = true;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        rr_admission_settings_init(&model->settings[i]);
    }
}

/* ---- the key-value store ---- */

/* Gives a record to the controller's cache. Records not yet written are skipped. */
static void deliver_record(struct model *model, int controller, const struct store_record *record) {
    rr_document document;
    if (record->value &&
        rr_document_parse(&document, record->value->data, record->value->len) == 0) {
        rr_admission_apply_record(model->controllers[controller], record->key_suffix, document.root,
                                  record->version);
        rr_document_clear(&document);
    }
}

/* Brings the controller's cache up to the newest revision. */
static void update_cache(struct model *model, int controller) {
    if (model->state->delivered[controller] == model->state->revision) {
        return;
    }
    model->state->delivered[controller] = model->state->revision;
    for (guint i = 0; i < G_N_ELEMENTS(model->state->records); i++) {
        deliver_record(model, controller, &model->state->records[i]);
    }
}

/* Returns the record of a key RR_ADMISSION_KEY_PREFIX "slot/part", and sets its suffix. */
static struct store_record *find_record(struct model_state *state, const char *key) {
    unsigned slot = 0, part = 0;
    sscanf(key, RR_ADMISSION_KEY_PREFIX "%u/%u", &slot, &part);
    struct store_record *record = &state->records[slot * RR_ADMISSION_PARTS_MAX + part];
    g_snprintf(record->key_suffix, sizeof record->key_suffix, "%u/%u", slot, part);
    return record;
}

/* Whether every guarded record still has the version that the transaction expects. */
static bool guards_match(struct model_state *state, const rr_transaction *transaction) {
    for (guint i = 0; i < transaction->guards->len; i++) {
        const rr_guard *guard = &g_array_index(transaction->guards, rr_guard, i);
        if (find_record(state, guard->key)->version != guard->version) {
            return false;
        }
    }
    return true;
}

/* Applies the transaction. False: a guard refused it, and nothing has changed. */
static bool commit_transaction(struct model *model, const rr_transaction *transaction) {
    struct model_state *state = model->state;
    if (!guards_match(state, transaction)) {
        return false;
    }
    state->revision++;
    for (guint i = 0; i < transaction->changes->len; i++) {
        const rr_change *change = &g_array_index(transaction->changes, rr_change, i);
        struct store_record *record = find_record(state, change->key);
        if (record->value) {
            g_byte_array_free(record->value, TRUE);
        }
        record->value = g_byte_array_new();
        g_byte_array_append(record->value, change->value, (guint)change->length);
        record->version = state->revision;
    }
    model->tables_written++;
    return true;
}

/* ---- controllers ---- */

static void start_controller(struct model *model, int i) {
    struct model_state *state = model->state;
    model->controllers[i] = rr_admission_create(&model->config, &model->settings[i]);
    state->writers[i] = rr_admission_writer_create(&model->config, &model->settings[i]);
    rr_offered_load_init(&state->loads[i], &model->settings[i]);
    state->cache_current_at[i] = state->now;
    state->delivered[i] = 0;
    update_cache(model, i);
}

static void stop_controller(struct model *model, int i) {
    rr_admission_destroy(model->controllers[i]);
    rr_admission_writer_destroy(model->state->writers[i]);
    rr_offered_load_clear(&model->state->loads[i]);
}

void model_restart(struct model *model, int controller) {
    stop_controller(model, controller);
    start_controller(model, controller);
}

/* Whether a controller has accepted the job; an rr_job_accepted_fn. */
static bool is_job_accepted(void *user, const char *job_id) {
    const struct model *model = user;
    return g_hash_table_contains(model->state->accepted, job_id);
}

/* Sends each controller's view of the demand to its peers. */
static void announce_demand(struct model *model) {
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        GByteArray *view = g_byte_array_new();
        rr_admission_remove_accepted(model->controllers[i], is_job_accepted, model);
        bool announced = rr_admission_encode_demand_view(model->controllers[i], 1, view) &&
                         !model->demand_views_lost;
        for (int peer = 0; announced && peer < MODEL_CONTROLLERS; peer++) {
            if (peer != i) {
                /* A controller's peer indexes leave out the controller itself. */
                rr_admission_receive_demand_view(model->controllers[peer],
                                                 (size_t)(i < peer ? i : i - 1), 1, view->data,
                                                 view->len, model->state->now);
            }
        }
        g_byte_array_free(view, TRUE);
    }
}

/* Fills in the capacity of the machines and the tasks of each accepted job. */
static void collect_load(struct model *model, rr_offered_load *load) {
    struct model_state *state = model->state;
    rr_offered_load_begin_snapshot(load);
    rr_offered_load_add_machine(load, "m1", "a",
                                (rr_resource_amount){model->cpus, 0, 4 * model->cpus});
    GHashTableIter iterator;
    gpointer value;
    GHashTable *running_tasks = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < state->running->len; i++) {
        struct job *job = g_array_index(state->running, struct running_task, i).job;
        gpointer count = g_hash_table_lookup(running_tasks, job);
        g_hash_table_insert(running_tasks, job, GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    }
    g_hash_table_iter_init(&iterator, state->accepted);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct job *job = value;
        uint32_t running = GPOINTER_TO_UINT(g_hash_table_lookup(running_tasks, job));
        int team = 0;
        while (strcmp(model->config.teams[team].name, job->submission.team) != 0) {
            team++;
        }
        rr_offered_load_add_job(load, &job->submission, team,
                                job->submission.task_count - job->placed, running,
                                job->placed - running);
    }
    g_hash_table_destroy(running_tasks);
}

/* Writes the table of the next interval, if the controller's writer wants one. */
static void write_table(struct model *model, int i) {
    struct model_state *state = model->state;
    rr_admission *admission = model->controllers[i];
    const rr_admission_table *newest = rr_admission_get_newest_table(admission);
    GArray *demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_admission_table table;
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    collect_load(model, &state->loads[i]);
    rr_admission_append_total_demand(admission, state->now, demand);
    bool wanted =
        rr_admission_writer_make_table(state->writers[i], &state->loads[i], demand, newest,
                                       controller_wall_s(model, i), state->now, &table);
    bool fits = wanted && rr_admission_add_table_writes(admission, &table, &transaction);
    if (fits && !commit_transaction(model, &transaction)) {
        model->conflicts++;
    }
    if (fits && model->commit_replies_lost) {
        /* Without a reply the writer retries, and the guards refuse the second commit. */
        model->lost_replies++;
        assert_false(commit_transaction(model, &transaction));
    }
    rr_admission_table_clear(&table);
    rr_transaction_clear(&transaction);
    g_array_free(demand, TRUE);
}

/* Runs one step of all controllers: intervals, demand views, the table that is due, and caches. */
static void run_controllers(struct model *model) {
    struct model_state *state = model->state;
    double interval_s = model->settings[0].interval_s;
    double interval_start_s = floor((START_WALL_S + state->now) / interval_s) * interval_s;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        rr_admission_update_interval(model->controllers[i], controller_wall_s(model, i),
                                     state->now);
    }
    if (state->announced_interval_s != interval_start_s &&
        START_WALL_S + state->now - interval_start_s > ANNOUNCE_AT * interval_s) {
        state->announced_interval_s = interval_start_s;
        announce_demand(model);
    }
    int writer = model->autoscaler;
    if (writer >= 0 && state->written_interval_s != interval_start_s &&
        rr_admission_writer_is_due(state->writers[writer],
                                   rr_admission_get_newest_table(model->controllers[writer]),
                                   controller_wall_s(model, writer))) {
        state->written_interval_s = interval_start_s;
        write_table(model, writer);
    }
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        if (!model->cache_frozen[i]) {
            state->cache_current_at[i] = state->now;
            update_cache(model, i);
        }
    }
}

/* ---- users ---- */

/* Creates a job of the stream, which is submitted from now on, also to the fair cluster. */
static void create_job(struct model *model, unsigned stream) {
    struct model_state *state = model->state;
    const struct model_stream *source = &model->streams[stream];
    struct job *job = g_new0(struct job, 1);
    rr_submission *submission = &job->submission;
    g_snprintf(submission->job_id, sizeof submission->job_id, "req-%06u",
               g_rand_int_range(state->random, 0, 1000) * 1000000 + state->jobs->len);
    g_strlcpy(submission->team, source->team, sizeof submission->team);
    g_strlcpy(submission->job_class, source->job_class, sizeof submission->job_class);
    submission->task_count = source->tasks;
    submission->cpus = 1;
    submission->mem_gb = 1;
    submission->runtime_estimate_s = source->runtime_s * source->estimate_factor;
    job->stream = stream;
    job->arrived_at = job->next_attempt_at = state->now;
    g_ptr_array_add(state->jobs, job);
    g_ptr_array_add(state->unaccepted, job);
    fair_cluster_submit(state->fair, stream, source->tasks * source->runtime_s, state->now);
    model->results[stream].offered++;
}

/* Creates the jobs that arrive in this step. Arrivals are random, at each stream's mean rate. */
static void create_arrivals(struct model *model) {
    struct model_state *state = model->state;
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_stream *stream = &model->streams[i];
        double to_s = stream->to_s > 0 ? stream->to_s : model->duration_s;
        double expected = stream->jobs_per_s * STEP_S;
        bool active = state->now >= stream->from_s && state->now < to_s;
        while (active && g_rand_double(state->random) < expected) {
            create_job(model, i);
            expected -= 1;
        }
    }
}

/* Returns the controller's verdict on the job. Its lease is valid throughout. */
static rr_admission_verdict check_submission(struct model *model, int controller,
                                             const struct job *job) {
    struct model_state *state = model->state;
    rr_admission_context context = {.lease_valid = true,
                                    .all_support_admission = true,
                                    .cache_age_s = state->now - state->cache_current_at[controller],
                                    .controllers = MODEL_CONTROLLERS};
    return rr_admission_check(model->controllers[controller], &job->submission, &context,
                              controller_wall_s(model, controller), state->now);
}

/* Counts the controllers whose verdict differs from `admitted`. Only controllers with the
 * same tables and clocks have to agree, so nothing is compared while a clock is off or a cache is
 * frozen. */
static void compare_verdicts(struct model *model, const struct job *job, bool admitted) {
    bool clocks_differ = false, any_frozen = false;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        clocks_differ = clocks_differ || model->clock_offset_s[i] != 0;
        any_frozen = any_frozen || model->cache_frozen[i];
    }
    for (int i = 0; i < MODEL_CONTROLLERS && !clocks_differ && !any_frozen; i++) {
        bool admitted_here = check_submission(model, i, job).kind == RR_ADMISSION_ADMIT;
        model->verdict_mismatches += admitted_here != admitted;
    }
}

/* Submits the job once. True: it was accepted, or its user abandons it; false: the user retries. */
static bool submit_job(struct model *model, struct job *job) {
    struct model_state *state = model->state;
    int fixed_controller = model->streams[job->stream].controller;
    int controller = fixed_controller >= 0 ? fixed_controller
                                           : g_rand_int_range(state->random, 0, MODEL_CONTROLLERS);
    struct model_result *result = &model->results[job->stream];
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    if (model->admission) {
        verdict = check_submission(model, controller, job);
        if (g_rand_int_range(state->random, 0, ATTEMPTS_PER_COMPARISON) == 0) {
            compare_verdicts(model, job, verdict.kind == RR_ADMISSION_ADMIT);
        }
    }
    if (verdict.kind == RR_ADMISSION_ADMIT) {
        rr_admission_record_accepted(model->controllers[controller], &job->submission);
        model->admitted_jobs_by_controller[controller]++;
        model->admitted_cpu_s_by_controller[controller] +=
            job->submission.task_count * job->submission.runtime_estimate_s;
        job->accepted_at = state->now;
        result->accepted++;
        result->time_to_accept_s += state->now - job->arrived_at;
        g_hash_table_insert(state->accepted, job->submission.job_id, job);
        g_ptr_array_add(state->queue, job);
        return true;
    }
    job->next_attempt_at =
        state->now + fmax(1, verdict.retry_after_s) + g_rand_double_range(state->random, 0, 0.3);
    bool abandoned = job->next_attempt_at - job->arrived_at > USER_PATIENCE_S;
    result->abandoned += abandoned;
    return abandoned;
}

/* Submits the unaccepted jobs whose next attempt is due. */
static void submit_due_jobs(struct model *model) {
    GPtrArray *unaccepted = model->state->unaccepted;
    for (guint i = unaccepted->len; i > 0; i--) {
        struct job *job = g_ptr_array_index(unaccepted, i - 1);
        if (job->next_attempt_at <= model->state->now && submit_job(model, job)) {
            g_ptr_array_remove_index_fast(unaccepted, i - 1);
        }
    }
}

/* ---- machines ---- */

static void record_wait(struct model_result *result, double wait) {
    static const double bounds_s[] = {1, 5, 15, 30, 60, 120, 240};
    unsigned bin = 0;
    while (bin < G_N_ELEMENTS(bounds_s) && wait >= bounds_s[bin]) {
        bin++;
    }
    result->wait_histogram[bin]++;
    result->wait_s += wait;
    result->wait_max_s = fmax(result->wait_max_s, wait);
    result->started++;
}

/* Whether a task of the job may be placed. While an active table is in force, a team stays within
 * its fair share, as in a controller's plans; a job that has waited for long is exempt. used: the
 * CPUs used by the team of each stream. */
static bool may_place(const struct model *model, const struct job *job, const double *used) {
    const rr_admission_table *table =
        rr_admission_get_table_at(model->controllers[0], START_WALL_S + model->state->now);
    if (!model->admission || !table || !table->active ||
        model->state->now - job->accepted_at > FAIR_SHARE_WAIT_MAX_S) {
        return true;
    }
    const rr_admission_team *team = rr_admission_table_find_team(table, job->submission.team);
    return !team || (used[job->stream] + 1) / model->cpus <= team->fair_share + 1e-6;
}

static void finish_tasks(struct model *model) {
    GArray *running = model->state->running;
    for (guint i = running->len; i > 0; i--) {
        if (g_array_index(running, struct running_task, i - 1).ends_at <= model->state->now) {
            model->running[g_array_index(running, struct running_task, i - 1).job->stream]--;
            g_array_remove_index_fast(running, i - 1);
            model->state->free_cpus += 1;
        }
    }
}

/* Sets used[stream] to the CPUs in use by the stream's team. */
static void count_used_cpus(const struct model *model, double *used) {
    memset(used, 0, MODEL_STREAMS_MAX * sizeof *used);
    for (unsigned i = 0; i < model->stream_count; i++) {
        for (unsigned k = 0; k < model->stream_count; k++) {
            bool same_team = strcmp(model->streams[i].team, model->streams[k].team) == 0;
            used[i] += same_team ? model->running[k] : 0;
        }
    }
}

/* Starts one task of the job on a free CPU. */
static void place_task(struct model *model, struct job *job) {
    struct model_state *state = model->state;
    const struct model_stream *stream = &model->streams[job->stream];
    struct running_task task = {job, state->now + stream->runtime_s};
    g_array_append_val(state->running, task);
    state->free_cpus -= 1;
    model->running[job->stream]++;
    if (job->placed++ == 0) {
        record_wait(&model->results[job->stream], state->now - job->arrived_at);
    }
    model->results[job->stream].served_cpu_s += stream->runtime_s;
}

/* Whether the job is placed before the best one so far (NULL: none), which was accepted earlier. */
static bool is_preferred(const struct model *model, const struct job *job, const struct job *best) {
    return !best ||
           (model->admission && model->running[job->stream] < model->running[best->stream]);
}

/* Returns the next job to place of a team (NULL: of any team); NULL: none. Within a team it is of
 * the class with the fewest running tasks, then the oldest, as in a controller's plans. */
static struct job *select_team_job(const struct model *model, const char *team,
                                   const double *used) {
    const GPtrArray *queue = model->state->queue;
    struct job *best = NULL;
    for (guint i = 0; i < queue->len; i++) {
        struct job *job = g_ptr_array_index(queue, i);
        if ((!team || strcmp(job->submission.team, team) == 0) && is_preferred(model, job, best) &&
            may_place(model, job, used)) {
            best = job;
        }
        if (best && !model->admission) {
            break;
        }
    }
    return best;
}

/* Returns the next job to place; NULL: none. The controllers that own the teams plan independently
 * of each other, so a random team goes first. Without admission, jobs are placed in order of
 * arrival. */
static struct job *select_job(struct model *model, const double *used) {
    guint teams = (guint)model->config.team_count;
    guint first = (guint)g_rand_int_range(model->state->random, 0, (gint)teams);
    struct job *job = model->admission ? NULL : select_team_job(model, NULL, used);
    for (guint i = 0; model->admission && !job && i < teams; i++) {
        job = select_team_job(model, model->config.teams[(first + i) % teams].name, used);
    }
    return job;
}

/* Places tasks while CPUs are free, then records the backlog. */
static void place_tasks(struct model *model) {
    GPtrArray *queue = model->state->queue;
    double used[MODEL_STREAMS_MAX];
    struct job *job;
    count_used_cpus(model, used);
    while (model->state->free_cpus >= 1 && (job = select_job(model, used))) {
        place_task(model, job);
        count_used_cpus(model, used);
        if (job->placed == job->submission.task_count) {
            g_ptr_array_remove(queue, job);
        }
    }
    double backlog = 0;
    for (guint i = 0; i < queue->len; i++) {
        const struct job *waiting = g_ptr_array_index(queue, i);
        backlog += (waiting->submission.task_count - waiting->placed) *
                   model->streams[waiting->stream].runtime_s;
    }
    model->peak_backlog_cpu_s = fmax(model->peak_backlog_cpu_s, backlog);
}

/* ---- the run ---- */

void model_run(struct model *model) {
    struct model_state *state = model->state = g_new0(struct model_state, 1);
    state->random = g_rand_new_with_seed(model->seed);
    state->jobs = g_ptr_array_new_with_free_func(g_free);
    state->unaccepted = g_ptr_array_new();
    state->queue = g_ptr_array_new();
    state->running = g_array_new(FALSE, FALSE, sizeof(struct running_task));
    state->accepted = g_hash_table_new(g_str_hash, g_str_equal);
    state->free_cpus = model->cpus;
    const char *teams[MODEL_STREAMS_MAX];
    for (unsigned i = 0; i < model->stream_count; i++) {
        teams[i] = model->streams[i].team;
    }
    state->fair = fair_cluster_create(model->cpus, teams, model->stream_count);
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        start_controller(model, i);
    }
    unsigned steps = (unsigned)(model->duration_s / STEP_S);
    for (unsigned step = 0; step < steps; step++) {
        state->now = step * STEP_S;
        if (model->each_second && step % (unsigned)(1 / STEP_S) == 0) {
            model->each_second(model, state->now);
        }
        create_arrivals(model);
        run_controllers(model);
        submit_due_jobs(model);
        finish_tasks(model);
        place_tasks(model);
        fair_cluster_step(state->fair, state->now, STEP_S);
    }
    for (unsigned i = 0; i < model->stream_count; i++) {
        model->results[i].fair = fair_cluster_result(state->fair, i);
    }
}

void model_clear(struct model *model) {
    struct model_state *state = model->state;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        stop_controller(model, i);
        rr_admission_settings_clear(&model->settings[i]);
    }
    for (guint i = 0; i < G_N_ELEMENTS(state->records); i++) {
        if (state->records[i].value) {
            g_byte_array_free(state->records[i].value, TRUE);
        }
    }
    fair_cluster_destroy(state->fair);
    g_hash_table_destroy(state->accepted);
    g_array_free(state->running, TRUE);
    g_ptr_array_free(state->queue, TRUE);
    g_ptr_array_free(state->unaccepted, TRUE);
    g_ptr_array_free(state->jobs, TRUE);
    g_rand_free(state->random);
    g_free(state);
}

double model_wait_ratio(const struct model *model, unsigned stream) {
    const struct model_result *result = &model->results[stream];
    return fair_wait_ratio(result->wait_s, result->started, &result->fair,
                           model->settings[0].interval_s);
}

double model_team_wait_ratio(const struct model *model, const char *team) {
    struct fair_result fair = {0, 0, 0};
    double wait_s = 0;
    unsigned started = 0;
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        if (strcmp(model->streams[i].team, team) == 0) {
            wait_s += result->wait_s;
            started += result->started;
            fair.wait_s += result->fair.wait_s;
            fair.started += result->fair.started;
        }
    }
    return fair_wait_ratio(wait_s, started, &fair, model->settings[0].interval_s);
}

void model_print(const struct model *model, const char *title) {
    printf("%s, seed %u, %.0f s, %u tables\n", title, model->seed, model->duration_s,
           model->tables_written);
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        printf("  %-6s %-6s %5u tasks: offered %6u accepted %6u abandoned %6u started %6u; mean "
               "time to accept %5.1f s; wait mean %6.1f s max %6.1f s, fair mean %7.1f s, ratio "
               "%5.2f; served %9.0f of fair %9.0f CPU s; "
               "waits <1 %u <5 %u <15 %u <30 %u <60 %u <120 %u <240 %u more %u\n",
               model->streams[i].team, model->streams[i].job_class, model->streams[i].tasks,
               result->offered, result->accepted, result->abandoned, result->started,
               result->accepted ? result->time_to_accept_s / result->accepted : 0,
               result->started ? result->wait_s / result->started : 0, result->wait_max_s,
               result->fair.started ? result->fair.wait_s / result->fair.started : 0,
               model_wait_ratio(model, i), result->served_cpu_s, result->fair.served_cpu_s,
               result->wait_histogram[0], result->wait_histogram[1], result->wait_histogram[2],
               result->wait_histogram[3], result->wait_histogram[4], result->wait_histogram[5],
               result->wait_histogram[6], result->wait_histogram[7]);
    }
}
