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
#define START_WALL 1e6 /* wall clock at the beginning */
#define PATIENCE_S 60.0
#define COMPARED_TRY 100 /* one of so many tries is made at all controllers */
#define FAIR_WAIT_S 60.0 /* as in the core's plans */

struct job {
    rr_submission submission;
    unsigned stream;
    double arrived_at, next_try, accepted_at;
    uint32_t placed;
};

struct running {
    struct job *job;
    double ends_at;
};

/* A record of the key-value store, and when it reaches the caches. */
struct record {
    char rest[16];
    GByteArray *value;
    uint64_t version;
};

struct model_state {
    GRand *random;
    double now;
    GPtrArray *jobs;   /* all, owned */
    GPtrArray *asking; /* not yet accepted */
    GPtrArray *queue;  /* accepted, with tasks to place */
    GArray *running;   /* struct running */
    fair_cluster *fair;
    GHashTable *accepted; /* id -> job */
    struct record records[2 * RR_ADMISSION_PARTS_MAX];
    uint64_t revision, delivered[MODEL_CONTROLLERS]; /* newest, and what each cache has */
    rr_admission_writer *writers[MODEL_CONTROLLERS];
    rr_offered_load loads[MODEL_CONTROLLERS];
    double current_at[MODEL_CONTROLLERS]; /* when each cache was last up to date */
    double announced_for, written_for;    /* intervals */
    double free_cpus;
};

static double wall_at(const struct model *model, int controller) {
    return START_WALL + model->state->now + model->clock_off_s[controller];
}

void model_init(struct model *model, const char *const *teams) {
    memset(model, 0, sizeof *model);
    model->seed = 1;
    model->seconds = 3600;
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

static void deliver(struct model *model, int controller, const struct record *record) {
    rr_document document;
    if (record->value &&
        rr_document_parse(&document, record->value->data, record->value->len) == 0) {
        rr_admission_put_record(model->controllers[controller], record->rest, document.root,
                                record->version);
        rr_document_clear(&document);
    }
}

static void deliver_all(struct model *model, int controller) {
    if (model->state->delivered[controller] == model->state->revision) {
        return;
    }
    model->state->delivered[controller] = model->state->revision;
    for (guint i = 0; i < G_N_ELEMENTS(model->state->records); i++) {
        deliver(model, controller, &model->state->records[i]);
    }
}

static struct record *record_at(struct model_state *state, const char *key) {
    unsigned slot = 0, part = 0;
    sscanf(key, RR_ADMISSION_PREFIX "%u/%u", &slot, &part);
    struct record *record = &state->records[slot * RR_ADMISSION_PARTS_MAX + part];
    g_snprintf(record->rest, sizeof record->rest, "%u/%u", slot, part);
    return record;
}

static bool guards_hold(struct model_state *state, const rr_transaction *transaction) {
    for (guint i = 0; i < transaction->guards->len; i++) {
        const rr_guard *guard = &g_array_index(transaction->guards, rr_guard, i);
        if (record_at(state, guard->key)->version != guard->version) {
            return false;
        }
    }
    return true;
}

static bool commit(struct model *model, const rr_transaction *transaction) {
    struct model_state *state = model->state;
    if (!guards_hold(state, transaction)) {
        return false;
    }
    state->revision++;
    for (guint i = 0; i < transaction->changes->len; i++) {
        const rr_change *change = &g_array_index(transaction->changes, rr_change, i);
        struct record *record = record_at(state, change->key);
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
    state->current_at[i] = state->now;
    state->delivered[i] = 0;
    deliver_all(model, i);
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

static bool is_known(void *user, const char *job_id) {
    const struct model *model = user;
    return g_hash_table_contains(model->state->accepted, job_id);
}

static void announce_demand(struct model *model) {
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        GByteArray *view = g_byte_array_new();
        rr_admission_forget_accepted(model->controllers[i], is_known, model);
        bool announced =
            rr_admission_announce(model->controllers[i], 1, view) && !model->views_lost;
        for (int until = 0; announced && until < MODEL_CONTROLLERS; until++) {
            if (until != i) {
                rr_admission_take_demand(model->controllers[until], (size_t)(i < until ? i : i - 1),
                                         1, view->data, view->len, model->state->now);
            }
        }
        g_byte_array_free(view, TRUE);
    }
}

static void gather_load(struct model *model, rr_offered_load *load) {
    struct model_state *state = model->state;
    rr_offered_load_begin(load);
    rr_offered_load_add_machine(load, "m1", "a", (rr_amount){model->cpus, 0, 4 * model->cpus});
    GHashTableIter iterator;
    gpointer value;
    GHashTable *running_tasks = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < state->running->len; i++) {
        struct job *job = g_array_index(state->running, struct running, i).job;
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

static void write_table(struct model *model, int i) {
    struct model_state *state = model->state;
    rr_admission *admission = model->controllers[i];
    const rr_admission_table *newest = rr_admission_newest(admission);
    GArray *demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_admission_table table;
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    gather_load(model, &state->loads[i]);
    rr_admission_demand(admission, state->now, demand);
    bool wanted = rr_admission_writer_next(state->writers[i], &state->loads[i], demand, newest,
                                           wall_at(model, i), state->now, &table);
    bool fits = wanted && rr_admission_put_table(admission, &table, &transaction);
    if (fits && !commit(model, &transaction)) {
        model->conflicts++;
    }
    if (fits && model->answers_lost) {
        /* The answer was lost, and the writer tries again: the guards refuse the second commit. */
        model->lost_answers++;
        assert_false(commit(model, &transaction));
    }
    rr_admission_table_clear(&table);
    rr_transaction_clear(&transaction);
    g_array_free(demand, TRUE);
}

static void run_controllers(struct model *model) {
    struct model_state *state = model->state;
    double length = model->settings[0].interval_s;
    double edge = floor((START_WALL + state->now) / length) * length;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        rr_admission_update_interval(model->controllers[i], wall_at(model, i), state->now);
    }
    if (state->announced_for != edge && START_WALL + state->now - edge > 0.45 * length) {
        state->announced_for = edge;
        announce_demand(model);
    }
    int writer = model->autoscaler;
    if (writer >= 0 && state->written_for != edge &&
        rr_admission_writer_due(state->writers[writer],
                                rr_admission_newest(model->controllers[writer]),
                                wall_at(model, writer))) {
        state->written_for = edge;
        write_table(model, writer);
    }
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        if (!model->cache_frozen[i]) {
            state->current_at[i] = state->now;
            deliver_all(model, i);
        }
    }
}

/* ---- users ---- */

static void add_job(struct model *model, unsigned stream) {
    struct model_state *state = model->state;
    const struct model_stream *from = &model->streams[stream];
    struct job *job = g_new0(struct job, 1);
    rr_submission *submission = &job->submission;
    g_snprintf(submission->job_id, sizeof submission->job_id, "req-%06u",
               g_rand_int_range(state->random, 0, 1000) * 1000000 + state->jobs->len);
    g_strlcpy(submission->team, from->team, sizeof submission->team);
    g_strlcpy(submission->job_class, from->job_class, sizeof submission->job_class);
    submission->task_count = from->tasks;
    submission->cpus = 1;
    submission->mem_gb = 1;
    submission->runtime_estimate_s = from->runtime_s * from->estimate_factor;
    job->stream = stream;
    job->arrived_at = job->next_try = state->now;
    g_ptr_array_add(state->jobs, job);
    g_ptr_array_add(state->asking, job);
    fair_cluster_submit(state->fair, stream, from->tasks * from->runtime_s, state->now);
    model->results[stream].offered++;
}

static void submit_arrivals(struct model *model) {
    struct model_state *state = model->state;
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_stream *stream = &model->streams[i];
        double until = stream->to_s > 0 ? stream->to_s : model->seconds;
        double expected = stream->jobs_per_s * STEP_S;
        bool open = state->now >= stream->from_s && state->now < until;
        while (open && g_rand_double(state->random) < expected) {
            add_job(model, i);
            expected -= 1;
        }
    }
}

static rr_admission_verdict ask(struct model *model, int controller, const struct job *job) {
    struct model_state *state = model->state;
    rr_admission_context context = {.lease_valid = true,
                                    .all_capable = true,
                                    .cache_age_s = state->now - state->current_at[controller],
                                    .controllers = MODEL_CONTROLLERS};
    return rr_admission_check(model->controllers[controller], &job->submission, &context,
                              wall_at(model, controller), state->now);
}

/* Asks all controllers at once: with the same tables and clocks they must agree. */
static void compare_verdicts(struct model *model, const struct job *job, bool admitted) {
    bool clocks_off = false, frozen = false;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        clocks_off = clocks_off || model->clock_off_s[i] != 0;
        frozen = frozen || model->cache_frozen[i];
    }
    for (int i = 0; i < MODEL_CONTROLLERS && !clocks_off && !frozen; i++) {
        bool other = ask(model, i, job).kind == RR_ADMISSION_ADMIT;
        model->disagreements += other != admitted;
    }
}

/* True: the job is accepted or abandoned. */
static bool try_job(struct model *model, struct job *job) {
    struct model_state *state = model->state;
    int only = model->streams[job->stream].controller;
    int controller = only >= 0 ? only : g_rand_int_range(state->random, 0, MODEL_CONTROLLERS);
    struct model_result *result = &model->results[job->stream];
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    if (model->admission) {
        verdict = ask(model, controller, job);
        if (g_rand_int_range(state->random, 0, COMPARED_TRY) == 0) {
            compare_verdicts(model, job, verdict.kind == RR_ADMISSION_ADMIT);
        }
    }
    if (verdict.kind == RR_ADMISSION_ADMIT) {
        rr_admission_accepted(model->controllers[controller], &job->submission);
        model->admitted_at[controller]++;
        model->admitted_work_at[controller] +=
            job->submission.task_count * job->submission.runtime_estimate_s;
        job->accepted_at = state->now;
        result->accepted++;
        result->asked_s += state->now - job->arrived_at;
        g_hash_table_insert(state->accepted, job->submission.job_id, job);
        g_ptr_array_add(state->queue, job);
        return true;
    }
    job->next_try =
        state->now + fmax(1, verdict.retry_after_s) + g_rand_double_range(state->random, 0, 0.3);
    bool abandons = job->next_try - job->arrived_at > PATIENCE_S;
    result->abandoned += abandons;
    return abandons;
}

static void retry_waiting(struct model *model) {
    GPtrArray *asking = model->state->asking;
    for (guint i = asking->len; i > 0; i--) {
        struct job *job = g_ptr_array_index(asking, i - 1);
        if (job->next_try <= model->state->now && try_job(model, job)) {
            g_ptr_array_remove_index_fast(asking, i - 1);
        }
    }
}

/* ---- machines ---- */

static void record_wait(struct model_result *result, double wait) {
    static const double bounds[] = {1, 5, 15, 30, 60, 120, 240};
    unsigned bin = 0;
    while (bin < G_N_ELEMENTS(bounds) && wait >= bounds[bin]) {
        bin++;
    }
    result->waits[bin]++;
    result->wait_s += wait;
    result->longest_s = fmax(result->longest_s, wait);
    result->begun++;
}

/* As an owner does, keeps teams within their fair rooms while a table is in force. */
static bool may_place(const struct model *model, const struct job *job, const double *used) {
    const rr_admission_table *table =
        rr_admission_table_at(model->controllers[0], START_WALL + model->state->now);
    if (!model->admission || !table || !table->active ||
        model->state->now - job->accepted_at > FAIR_WAIT_S) {
        return true;
    }
    const rr_admission_team *team = rr_admission_table_team(table, job->submission.team);
    return !team || (used[job->stream] + 1) / model->cpus <= team->fair_room + 1e-6;
}

static void finish_tasks(struct model *model) {
    GArray *running = model->state->running;
    for (guint i = running->len; i > 0; i--) {
        if (g_array_index(running, struct running, i - 1).ends_at <= model->state->now) {
            model->running[g_array_index(running, struct running, i - 1).job->stream]--;
            g_array_remove_index_fast(running, i - 1);
            model->state->free_cpus += 1;
        }
    }
}

/* CPUs used by the team of each stream. */
static void count_used(const struct model *model, double *used) {
    memset(used, 0, MODEL_STREAMS * sizeof *used);
    for (unsigned i = 0; i < model->stream_count; i++) {
        for (unsigned k = 0; k < model->stream_count; k++) {
            bool same = strcmp(model->streams[i].team, model->streams[k].team) == 0;
            used[i] += same ? model->running[k] : 0;
        }
    }
}

static void place_task(struct model *model, struct job *job) {
    struct model_state *state = model->state;
    const struct model_stream *stream = &model->streams[job->stream];
    struct running task = {job, state->now + stream->runtime_s};
    g_array_append_val(state->running, task);
    state->free_cpus -= 1;
    model->running[job->stream]++;
    if (job->placed++ == 0) {
        record_wait(&model->results[job->stream], state->now - job->arrived_at);
    }
    model->results[job->stream].served += stream->runtime_s;
}

static bool goes_before(const struct model *model, const struct job *job, const struct job *best) {
    return !best ||
           (model->admission && model->running[job->stream] < model->running[best->stream]);
}

/* The next job of a team (NULL: of any): as an owner does, of the class with the fewest running
 * tasks, then the oldest. */
static struct job *next_job(const struct model *model, const char *team, const double *used) {
    const GPtrArray *queue = model->state->queue;
    struct job *best = NULL;
    for (guint i = 0; i < queue->len; i++) {
        struct job *job = g_ptr_array_index(queue, i);
        if ((!team || strcmp(job->submission.team, team) == 0) && goes_before(model, job, best) &&
            may_place(model, job, used)) {
            best = job;
        }
        if (best && !model->admission) {
            break;
        }
    }
    return best;
}

/* The teams' owners place independently of each other, so that a random one goes first. Without
 * admission, jobs are placed in order of arrival. */
static struct job *next_to_place(struct model *model, const double *used) {
    guint teams = (guint)model->config.team_count;
    guint first = (guint)g_rand_int_range(model->state->random, 0, (gint)teams);
    struct job *job = model->admission ? NULL : next_job(model, NULL, used);
    for (guint i = 0; model->admission && !job && i < teams; i++) {
        job = next_job(model, model->config.teams[(first + i) % teams].name, used);
    }
    return job;
}

static void place_tasks(struct model *model) {
    GPtrArray *queue = model->state->queue;
    double used[MODEL_STREAMS];
    struct job *job;
    count_used(model, used);
    while (model->state->free_cpus >= 1 && (job = next_to_place(model, used))) {
        place_task(model, job);
        count_used(model, used);
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
    model->peak_backlog = fmax(model->peak_backlog, backlog);
}

/* ---- the run ---- */

void model_run(struct model *model) {
    struct model_state *state = model->state = g_new0(struct model_state, 1);
    state->random = g_rand_new_with_seed(model->seed);
    state->jobs = g_ptr_array_new_with_free_func(g_free);
    state->asking = g_ptr_array_new();
    state->queue = g_ptr_array_new();
    state->running = g_array_new(FALSE, FALSE, sizeof(struct running));
    state->accepted = g_hash_table_new(g_str_hash, g_str_equal);
    state->free_cpus = model->cpus;
    const char *teams[MODEL_STREAMS];
    for (unsigned i = 0; i < model->stream_count; i++) {
        teams[i] = model->streams[i].team;
    }
    state->fair = fair_cluster_create(model->cpus, teams, model->stream_count);
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        start_controller(model, i);
    }
    unsigned steps = (unsigned)(model->seconds / STEP_S);
    for (unsigned step = 0; step < steps; step++) {
        state->now = step * STEP_S;
        if (model->each_second && step % (unsigned)(1 / STEP_S) == 0) {
            model->each_second(model, state->now);
        }
        submit_arrivals(model);
        run_controllers(model);
        retry_waiting(model);
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
    g_ptr_array_free(state->asking, TRUE);
    g_ptr_array_free(state->jobs, TRUE);
    g_rand_free(state->random);
    g_free(state);
}

double model_wait_ratio(const struct model *model, unsigned stream) {
    const struct model_result *result = &model->results[stream];
    return fair_wait_ratio(result->wait_s, result->begun, &result->fair,
                           model->settings[0].interval_s);
}

double model_team_ratio(const struct model *model, const char *team) {
    struct fair_result fair = {0, 0, 0};
    double wait_s = 0;
    unsigned begun = 0;
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        if (strcmp(model->streams[i].team, team) == 0) {
            wait_s += result->wait_s;
            begun += result->begun;
            fair.wait_s += result->fair.wait_s;
            fair.started += result->fair.started;
        }
    }
    return fair_wait_ratio(wait_s, begun, &fair, model->settings[0].interval_s);
}

void model_print(const struct model *model, const char *title) {
    printf("%s, seed %u, %.0f s, %u tables\n", title, model->seed, model->seconds,
           model->tables_written);
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        printf("  %-6s %-6s %5u tasks: offered %6u accepted %6u given up %6u begun %6u; asked mean "
               "%5.1f s, wait mean "
               "%6.1f s longest %6.1f s, fair %7.1f s, ratio %5.2f; served %9.0f of fair %9.0f; "
               "waits <1 %u <5 %u <15 %u <30 %u <60 %u <120 %u <240 %u more %u\n",
               model->streams[i].team, model->streams[i].job_class, model->streams[i].tasks,
               result->offered, result->accepted, result->abandoned, result->begun,
               result->accepted ? result->asked_s / result->accepted : 0,
               result->begun ? result->wait_s / result->begun : 0, result->longest_s,
               result->fair.started ? result->fair.wait_s / result->fair.started : 0,
               model_wait_ratio(model, i), result->served, result->fair.served, result->waits[0],
               result->waits[1], result->waits[2], result->waits[3], result->waits[4],
               result->waits[5], result->waits[6], result->waits[7]);
    }
}
