#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "trace_world.h"

#include <string.h>

static const char *const team_names[] = {"red", "blue", "green", "amber", "violet"};
static const char *const class_names[] = {"live", "plain", "nightly"};

/* ---- submissions ---- */

static enum rr_job_kind any_shape(struct trace_world *world) {
    const struct trace_scenario *scenario = &world->scenario;
    int roll = trace_roll(world, scenario->arrays + scenario->services + scenario->gangs);
    if (roll < scenario->arrays) {
        return RR_JOB_ARRAY;
    }
    return roll < scenario->arrays + scenario->services ? RR_JOB_SERVICE : RR_JOB_GANG;
}

static uint32_t any_tasks(struct trace_world *world, enum rr_job_kind kind) {
    if (kind == RR_JOB_GANG) {
        return trace_chance(world, 0.02) ? 500 : (uint32_t)(2 + trace_roll(world, 7));
    }
    if (kind == RR_JOB_SERVICE) {
        return (uint32_t)(1 + trace_roll(world, 5));
    }
    return (uint32_t)(1 + trace_roll(world, trace_chance(world, 0.15) ? 200 : 12));
}

static void set_builds(struct trace_world *world, rr_submission *submission) {
    submission->machine_type_count = 2;
    submission->machine_types = g_malloc0_n(2, sizeof *submission->machine_types);
    g_strlcpy(submission->machine_types[0], trace_chance(world, 0.9) ? "m1" : "m9", RR_ID_SIZE);
    g_strlcpy(submission->machine_types[1], "m2", RR_ID_SIZE);
}

static void set_needs(struct trace_world *world, rr_submission *submission) {
    static const double cpus[] = {0.5, 1, 2, 4, 6, 8, 12, 16};
    bool large = trace_chance(world, 0.03);
    submission->cpus = large ? 64 : cpus[trace_roll(world, (int)G_N_ELEMENTS(cpus))];
    submission->gpus = trace_chance(world, 0.2) ? 1 + trace_roll(world, 2) : 0;
    submission->mem_gb = 1 + trace_roll(world, 16);
    submission->image_size_gb = trace_between(world, 0.2, 8);
    if (trace_chance(world, 0.15)) {
        g_strlcpy(submission->zone, trace_zone_names[trace_roll(world, TRACE_ZONES)],
                  sizeof submission->zone);
    }
    if (trace_chance(world, 0.1)) {
        set_builds(world, submission);
    }
    submission->one_zone = trace_chance(world, 0.15);
    submission->spread_zones = !submission->one_zone && trace_chance(world, 0.2);
    submission->spot_allowed = trace_chance(world, 0.4);
}

static void set_times(struct trace_world *world, rr_submission *submission, double runtime_s) {
    submission->runtime_estimate_s = runtime_s * trace_between(world, 0.5, 2);
    submission->deadline_s = trace_chance(world, 0.4) ? runtime_s * trace_between(world, 1, 5) : -1;
    if (trace_chance(world, 0.4)) {
        submission->checkpoint_interval_s = trace_between(world, 3, 20);
        submission->checkpoint_save_s = trace_between(world, 0.5, 4);
    }
}

static void any_submission(struct trace_world *world, rr_submission *submission, double runtime_s) {
    memset(submission, 0, sizeof *submission);
    g_snprintf(submission->job_id, sizeof submission->job_id, "req-%u%03d", world->jobs->len + 1,
               trace_roll(world, 1000));
    g_strlcpy(submission->team, team_names[trace_roll(world, world->scenario.teams)],
              sizeof submission->team);
    g_snprintf(submission->image, sizeof submission->image, "img-%d", trace_roll(world, 12));
    submission->kind = any_shape(world);
    submission->task_count = any_tasks(world, submission->kind);
    bool urgent = trace_roll(world, 100) < world->scenario.urgent;
    submission->priority = urgent ? (enum rr_priority)(RR_PRIORITY_HIGH + trace_roll(world, 2))
                                  : (enum rr_priority)trace_roll(world, 3);
    g_strlcpy(submission->job_class, class_names[urgent ? 0 : trace_roll(world, 3)],
              sizeof submission->job_class);
    set_needs(world, submission);
    set_times(world, submission, runtime_s);
    if (trace_chance(world, 0.01)) {
        g_strlcpy(submission->team, "nobody", sizeof submission->team);
    }
}

static void remember_job(struct trace_world *world, const rr_submission *submission,
                         double runtime_s) {
    struct trace_job *job = g_new0(struct trace_job, 1);
    g_strlcpy(job->id, submission->job_id, sizeof job->id);
    job->shape = submission->kind;
    job->tasks = submission->task_count;
    job->runtime_s = runtime_s;
    job->fails = trace_chance(world, world->scenario.failing_jobs);
    g_ptr_array_add(world->jobs, job);
    g_hash_table_insert(world->job_by_id, job->id, job);
}

/* The core's verdict on one more submission; true: it is to be written, and is remembered. */
static bool admitted(struct trace_world *world, struct trace_controller *controller,
                     rr_submission *submission) {
    double runtime_s = world->scenario.runtime_s * trace_between(world, 0.2, 2);
    const char *why = NULL;
    any_submission(world, submission, runtime_s);
    enum rr_submission_check admit =
        rr_core_check_submission(controller->node.core, submission, &why);
    trace_int(&world->hash, admit);
    trace_text(&world->hash, why);
    if (admit == RR_SUBMISSION_NEW) {
        remember_job(world, submission, runtime_s);
    } else {
        rr_submission_clear(submission);
    }
    return admit == RR_SUBMISSION_NEW;
}

static void write_one(struct trace_world *world, struct trace_controller *controller,
                      const rr_submission *submission) {
    char key[RR_ID_SIZE + 64];
    rr_encoder out;
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    rr_encoder_init(&out);
    rr_core_encode_job(&out, submission, trace_wall(world), trace_chance(world, 0.02));
    rr_core_job_key(submission->job_id, key, sizeof key);
    rr_transaction_guard(&transaction, key, 0);
    rr_transaction_put(&transaction, key, &out, 0);
    trace_commit(world, controller, &transaction);
    rr_transaction_clear(&transaction);
}

#define BATCH_MAX 4

/* Several jobs in one record. */
static void write_batch(struct trace_world *world, struct trace_controller *controller,
                        const rr_submission *submissions, size_t count) {
    char key[RR_ID_SIZE + 64];
    rr_encoder out;
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    rr_encoder_init(&out);
    rr_core_begin_job_batch(&out, count);
    for (size_t i = 0; i < count; i++) {
        rr_core_encode_job(&out, &submissions[i], trace_wall(world), false);
    }
    rr_core_job_batch_key(controller->session, ++controller->batches, key, sizeof key);
    rr_transaction_guard(&transaction, key, 0);
    rr_transaction_put(&transaction, key, &out, 0);
    trace_commit(world, controller, &transaction);
    rr_transaction_clear(&transaction);
}

void trace_submit(struct trace_world *world) {
    struct trace_controller *controller = trace_any_controller(world);
    rr_submission submissions[BATCH_MAX];
    size_t count = 0, wanted = trace_chance(world, 0.3) ? BATCH_MAX : 1;
    if (!controller) {
        return;
    }
    for (size_t i = 0; i < wanted; i++) {
        count += admitted(world, controller, &submissions[count]);
    }
    if (count == 1) {
        write_one(world, controller, &submissions[0]);
    } else if (count > 1) {
        write_batch(world, controller, submissions, count);
    }
    for (size_t i = 0; i < count; i++) {
        rr_submission_clear(&submissions[i]);
    }
}

/* ---- cancellations ---- */

static struct trace_job *any_job(struct trace_world *world) {
    guint count = world->jobs->len;
    return count ? g_ptr_array_index(world->jobs, (guint)trace_roll(world, (int)count)) : NULL;
}

static void hint_peers(struct trace_world *world, const struct trace_controller *from,
                       const char *job_id) {
    for (int i = 0; i < world->scenario.controllers; i++) {
        struct trace_controller *peer = &world->controllers[i];
        if (peer != from && peer->running && trace_chance(world, 0.8)) {
            rr_core_add_cancel_hint(peer->node.core, job_id, world->now);
        }
    }
}

/* The same once more, as when an answer was lost. */
static void submit_again(struct trace_world *world) {
    const struct trace_controller *controller = trace_any_controller(world);
    const struct trace_job *job = any_job(world);
    if (controller && job) {
        rr_submission submission = {.task_count = job->tasks, .cpus = 1};
        const char *why = NULL;
        g_strlcpy(submission.job_id, job->id, sizeof submission.job_id);
        trace_int(&world->hash, rr_core_check_submission(controller->node.core, &submission, &why));
        trace_text(&world->hash, why);
    }
}

/* More than a core keeps. */
static void hint_many(struct trace_world *world, struct trace_controller *controller) {
    for (int i = 0; i < 4200; i++) {
        char id[RR_ID_SIZE];
        g_snprintf(id, sizeof id, "req-8%06d", i);
        rr_core_add_cancel_hint(controller->node.core, id, world->now);
    }
}

static void cancel_any(struct trace_world *world) {
    struct trace_controller *controller = trace_any_controller(world);
    struct trace_job *job = any_job(world);
    char key[RR_ID_SIZE + 64];
    uint64_t version = 0;
    rr_encoder out;
    rr_transaction transaction;
    if (!controller || !job) {
        return;
    }
    rr_transaction_init(&transaction);
    rr_encoder_init(&out);
    bool possible = rr_core_encode_cancelled_job(controller->node.core, job->id, &out, &version);
    trace_int(&world->hash, possible);
    if (possible) {
        rr_core_job_key(job->id, key, sizeof key);
        rr_transaction_guard(&transaction, key, version);
        rr_transaction_put(&transaction, key, &out, 0);
        if (trace_commit(world, controller, &transaction)) {
            job->cancelled = true;
            hint_peers(world, controller, job->id);
        }
    } else {
        rr_encoder_clear(&out);
    }
    rr_transaction_clear(&transaction);
}

/* ---- jobs that another cell has a say in ---- */

static void change_hold(struct trace_world *world) {
    struct trace_controller *controller = trace_any_controller(world);
    const struct trace_job *job = any_job(world);
    if (!controller || !job) {
        return;
    }
    rr_core *core = controller->node.core;
    switch (trace_roll(world, 5)) {
    case 0:
    case 1:
        rr_core_hold_job(core, job->id, (enum rr_hold_kind)trace_roll(world, 3));
        break;
    case 2:
        rr_core_release_job(core, job->id, world->now + trace_between(world, 5, 60));
        break;
    case 3:
        rr_core_revoke_job_release(core, job->id);
        break;
    default:
        rr_core_unhold_job(core, job->id);
    }
}

static void finish_elsewhere(struct trace_world *world) {
    struct trace_controller *controller = trace_any_controller(world);
    const struct trace_job *job = any_job(world);
    rr_transaction transaction;
    if (!controller || !job) {
        return;
    }
    rr_core *core = controller->node.core;
    rr_transaction_init(&transaction);
    bool finishes = trace_chance(world, 0.3);
    bool changes =
        finishes
            ? rr_core_add_finished_job_record(core, job->id, trace_chance(world, 0.2), &transaction)
            : rr_core_add_cancelled_job_record(core, job->id, &transaction);
    trace_int(&world->hash, changes);
    if (changes) {
        rr_core_guard_term(core, &transaction);
        trace_commit(world, controller, &transaction);
    } else {
        trace_int(&world->hash, rr_core_guard_open_job(core, job->id, &transaction));
        trace_txn(&world->hash, &transaction);
    }
    rr_transaction_clear(&transaction);
}

void trace_users(struct trace_world *world, double seconds) {
    const struct trace_scenario *scenario = &world->scenario;
    if (trace_chance(world, scenario->jobs_per_s * seconds)) {
        trace_submit(world);
    }
    if (trace_chance(world, scenario->cancels_per_s * seconds)) {
        cancel_any(world);
    }
    if (trace_chance(world, 0.05 * seconds)) {
        submit_again(world);
    }
    if (scenario->holds && world->steps % (TRACE_STEPS / 3) == 0) {
        hint_many(world, &world->controllers[0]);
    }
    if (scenario->holds && trace_chance(world, 0.5 * seconds)) {
        change_hold(world);
    }
    if (scenario->holds && trace_chance(world, 0.05 * seconds)) {
        finish_elsewhere(world);
    }
}

/* ---- records of other versions and of operators ---- */

static void put_unreadable(struct trace_world *world, const char *key, const char *field,
                           const char *text) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_encode_map(&out, 1);
    rr_encode_key_text(&out, field, text);
    fake_store_put(world->store, key, &out);
}

/* An earlier version cancels a job of a kind that it does not know. */
static void cancel_by_earlier_version(struct trace_world *world) {
    const struct trace_job *job = any_job(world);
    char key[RR_ID_SIZE + 64];
    rr_encoder out;
    if (!job) {
        return;
    }
    rr_core_job_key(job->id, key, sizeof key);
    if (fake_store_version(world->store, key) == 0) {
        return;
    }
    rr_encoder_init(&out);
    rr_encode_map(&out, 2);
    rr_encode_key_text(&out, "ref", job->id);
    rr_encode_key_bool(&out, "cancelled", true);
    fake_store_put(world->store, key, &out);
}

static void delete_page(struct trace_world *world) {
    char key[64];
    rr_transaction transaction;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d",
               100001 + trace_roll(world, world->scenario.own_machines));
    rr_transaction_init(&transaction);
    if (fake_store_version(world->store, key) != 0) {
        rr_transaction_delete(&transaction, key);
        fake_store_commit(world->store, &transaction);
    }
    rr_transaction_clear(&transaction);
}

void trace_odd_record(struct trace_world *world) {
    switch (trace_roll(world, 6)) {
    case 0:
        put_unreadable(world, RR_KEY_ROOT "machine/vm-1", "tasks", "none");
        break;
    case 1:
        put_unreadable(world, RR_KEY_ROOT "build/m9", "sku", "m9");
        break;
    case 2:
        put_unreadable(world, RR_KEY_ROOT "fleet/00190000", "stones", "none");
        break;
    case 3:
        put_unreadable(world, RR_KEY_ROOT "node/n9", "name", "n9");
        break;
    case 4:
        cancel_by_earlier_version(world);
        break;
    default:
        delete_page(world);
    }
}

/* ---- questions ---- */

/* The core keeps jobs in no order that it promises: each one's hash is added up. */
static void add_job(void *user, const rr_submission *submission, int team, uint32_t waiting,
                    uint32_t placed, uint32_t done) {
    uint64_t *sum = user;
    trace_hash hash;
    trace_hash_init(&hash);
    trace_submission(&hash, submission);
    trace_int(&hash, (uint64_t)(int64_t)team);
    trace_int(&hash, waiting);
    trace_int(&hash, placed);
    trace_int(&hash, done);
    *sum += hash.value;
}

static void add_machine(void *user, const char *type, const char *zone, double cpu, double gpu,
                        double mem) {
    uint64_t *sum = user;
    trace_hash hash;
    trace_hash_init(&hash);
    trace_text(&hash, type);
    trace_text(&hash, zone);
    trace_decimal(&hash, cpu);
    trace_decimal(&hash, gpu);
    trace_decimal(&hash, mem);
    *sum += hash.value;
}

static void add_spillable(void *user, const rr_submission *submission, double accepted_at) {
    trace_hash *hash = user;
    trace_submission(hash, submission);
    trace_decimal(hash, accepted_at);
}

static void ask_about(struct trace_world *world, const rr_core *core, const char *job_id) {
    rr_job_view view;
    rr_core_job job;
    trace_hash *hash = &world->hash;
    rr_core_get_job_view(core, job_id, world->now, &view);
    trace_job_view(hash, &view);
    trace_int(hash, rr_core_job_known(core, job_id));
    trace_int(hash, rr_core_job_cancelled(core, job_id, world->now));
    if (rr_core_find_job(core, job_id, &job)) {
        trace_submission(hash, job.submission);
        trace_decimal(hash, job.accepted_at);
        trace_int(hash, job.done);
        trace_int(hash, job.cancelled);
        trace_int(hash, job.placed);
        trace_int(hash, job.done_count);
    }
}

void trace_polls(struct trace_world *world, const struct trace_controller *controller) {
    for (int i = 0; i < 3 && world->jobs->len; i++) {
        ask_about(world, controller->node.core, any_job(world)->id);
    }
}

void trace_questions(struct trace_world *world, struct trace_controller *controller) {
    const rr_core *core = controller->node.core;
    trace_hash *hash = &world->hash;
    uint64_t jobs = 0, machines = 0;
    struct rr_budget_shares shares;
    rr_core_stats stats;
    rr_core_foreach_job(core, add_job, &jobs);
    rr_core_foreach_machine(core, add_machine, &machines);
    trace_int(hash, jobs);
    trace_int(hash, machines);
    rr_core_foreach_spillable_job(core, world->now, add_spillable, hash);
    trace_polls(world, controller);
    rr_core_budget_shares(core, &shares);
    trace_decimal(hash, shares.requests);
    trace_decimal(hash, shares.users);
    trace_decimal(hash, shares.plans);
    trace_decimal(hash, shares.autoscaler);
    for (int i = 0; i < world->scenario.teams; i++) {
        trace_text(hash, rr_core_team_owner(core, team_names[i]));
    }
    trace_int(hash, rr_core_count_members(core));
    trace_int(hash, rr_core_fencing_token(core));
    trace_int(hash, rr_core_is_ready(core, world->now));
    trace_int(hash, rr_core_all_members_support_gangs(core));
    trace_int(hash, rr_core_all_members_support_admission(core));
    trace_int(hash, rr_core_all_members_support_holds(core));
    trace_decimal(hash, rr_core_cache_age(core, world->now));
    rr_core_get_stats(core, &stats);
    trace_stats(hash, &stats);
}
