/* The users and operators of the decision trace: submissions, cancellations, holds of other cells,
 * records of other versions, and reads of a core's state. */
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

static enum rr_job_kind random_kind(struct trace_world *world) {
    const struct trace_scenario *scenario = &world->scenario;
    int number = trace_random_int(world, scenario->array_weight + scenario->service_weight +
                                             scenario->gang_weight);
    if (number < scenario->array_weight) {
        return RR_JOB_ARRAY;
    }
    return number < scenario->array_weight + scenario->service_weight ? RR_JOB_SERVICE
                                                                      : RR_JOB_GANG;
}

static uint32_t random_task_count(struct trace_world *world, enum rr_job_kind kind) {
    if (kind == RR_JOB_GANG) {
        return trace_chance(world, 0.02) ? 500 : (uint32_t)(2 + trace_random_int(world, 7));
    }
    if (kind == RR_JOB_SERVICE) {
        return (uint32_t)(1 + trace_random_int(world, 5));
    }
    return (uint32_t)(1 + trace_random_int(world, trace_chance(world, 0.15) ? 200 : 12));
}

static void set_machine_types(struct trace_world *world, rr_submission *submission) {
    submission->machine_type_count = 2;
    submission->machine_types = g_malloc0_n(2, sizeof *submission->machine_types);
    g_strlcpy(submission->machine_types[0], trace_chance(world, 0.9) ? "m1" : "m9", RR_ID_SIZE);
    g_strlcpy(submission->machine_types[1], "m2", RR_ID_SIZE);
}

static void set_resources(struct trace_world *world, rr_submission *submission) {
    static const double cpus[] = {0.5, 1, 2, 4, 6, 8, 12, 16};
    bool large = trace_chance(world, 0.03);
    submission->cpus = large ? 64 : cpus[trace_random_int(world, (int)G_N_ELEMENTS(cpus))];
    submission->gpus = trace_chance(world, 0.2) ? 1 + trace_random_int(world, 2) : 0;
    submission->mem_gb = 1 + trace_random_int(world, 16);
    submission->image_size_gb = trace_random_double(world, 0.2, 8);
    if (trace_chance(world, 0.15)) {
        g_strlcpy(submission->zone, trace_zone_names[trace_random_int(world, TRACE_ZONES)],
                  sizeof submission->zone);
    }
    if (trace_chance(world, 0.1)) {
        set_machine_types(world, submission);
    }
    submission->one_zone = trace_chance(world, 0.15);
    submission->spread_zones = !submission->one_zone && trace_chance(world, 0.2);
    submission->spot_allowed = trace_chance(world, 0.4);
}

static void set_times(struct trace_world *world, rr_submission *submission, double runtime_s) {
    submission->runtime_estimate_s = runtime_s * trace_random_double(world, 0.5, 2);
    submission->deadline_s =
        trace_chance(world, 0.4) ? runtime_s * trace_random_double(world, 1, 5) : -1;
    if (trace_chance(world, 0.4)) {
        submission->checkpoint_interval_s = trace_random_double(world, 3, 20);
        submission->checkpoint_save_s = trace_random_double(world, 0.5, 4);
    }
}

static void make_random_submission(struct trace_world *world, rr_submission *submission,
                                   double runtime_s) {
    memset(submission, 0, sizeof *submission);
    g_snprintf(submission->job_id, sizeof submission->job_id, "req-%u%03d", world->jobs->len + 1,
               trace_random_int(world, 1000));
    g_strlcpy(submission->team, team_names[trace_random_int(world, world->scenario.team_count)],
              sizeof submission->team);
    g_snprintf(submission->image, sizeof submission->image, "img-%d", trace_random_int(world, 12));
    submission->kind = random_kind(world);
    submission->task_count = random_task_count(world, submission->kind);
    bool urgent = trace_random_int(world, 100) < world->scenario.urgent_percent;
    submission->priority = urgent
                               ? (enum rr_priority)(RR_PRIORITY_HIGH + trace_random_int(world, 2))
                               : (enum rr_priority)trace_random_int(world, 3);
    g_strlcpy(submission->job_class, class_names[urgent ? 0 : trace_random_int(world, 3)],
              sizeof submission->job_class);
    set_resources(world, submission);
    set_times(world, submission, runtime_s);
    if (trace_chance(world, 0.01)) {
        g_strlcpy(submission->team, "nobody", sizeof submission->team);
    }
}

static void remember_job(struct trace_world *world, const rr_submission *submission,
                         double runtime_s) {
    struct trace_job *job = g_new0(struct trace_job, 1);
    g_strlcpy(job->id, submission->job_id, sizeof job->id);
    job->kind = submission->kind;
    job->task_count = submission->task_count;
    job->runtime_s = runtime_s;
    job->tasks_fail = trace_chance(world, world->scenario.failing_job_share);
    g_ptr_array_add(world->jobs, job);
    g_hash_table_insert(world->job_by_id, job->id, job);
}

/* Makes a random submission and has the core check it. True: the job is new and remembered, and the
 * caller has to write it and to clear *submission; false: *submission is cleared. */
static bool check_random_submission(struct trace_world *world, struct trace_controller *controller,
                                    rr_submission *submission) {
    double runtime_s = world->scenario.runtime_s * trace_random_double(world, 0.2, 2);
    const char *reason = NULL;
    make_random_submission(world, submission, runtime_s);
    enum rr_submission_check check =
        rr_core_check_submission(controller->fixture.core, submission, &reason);
    trace_hash_uint64(&world->hash, check);
    trace_hash_text(&world->hash, reason);
    if (check == RR_SUBMISSION_NEW) {
        remember_job(world, submission, runtime_s);
    } else {
        rr_submission_clear(submission);
    }
    return check == RR_SUBMISSION_NEW;
}

static void write_job(struct trace_world *world, struct trace_controller *controller,
                      const rr_submission *submission) {
    char key[RR_ID_SIZE + 64];
    rr_encoder out;
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    rr_encoder_init(&out);
    rr_core_encode_job(&out, submission, trace_wall_clock_s(world), trace_chance(world, 0.02));
    rr_core_job_key(submission->job_id, key, sizeof key);
    rr_transaction_guard(&transaction, key, 0);
    rr_transaction_put(&transaction, key, &out, 0);
    trace_commit(world, controller, &transaction);
    rr_transaction_clear(&transaction);
}

#define BATCH_JOBS_MAX 4

/* Writes several jobs in one record. */
static void write_batch(struct trace_world *world, struct trace_controller *controller,
                        const rr_submission *submissions, size_t count) {
    char key[RR_ID_SIZE + 64];
    rr_encoder out;
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    rr_encoder_init(&out);
    rr_core_begin_job_batch(&out, count);
    for (size_t i = 0; i < count; i++) {
        rr_core_encode_job(&out, &submissions[i], trace_wall_clock_s(world), false);
    }
    rr_core_job_batch_key(controller->session, ++controller->batch_count, key, sizeof key);
    rr_transaction_guard(&transaction, key, 0);
    rr_transaction_put(&transaction, key, &out, 0);
    trace_commit(world, controller, &transaction);
    rr_transaction_clear(&transaction);
}

void trace_submit_jobs(struct trace_world *world) {
    struct trace_controller *controller = trace_pick_controller(world);
    rr_submission submissions[BATCH_JOBS_MAX];
    size_t count = 0, attempts = trace_chance(world, 0.3) ? BATCH_JOBS_MAX : 1;
    if (!controller) {
        return;
    }
    for (size_t i = 0; i < attempts; i++) {
        count += check_random_submission(world, controller, &submissions[count]);
    }
    if (count == 1) {
        write_job(world, controller, &submissions[0]);
    } else if (count > 1) {
        write_batch(world, controller, submissions, count);
    }
    for (size_t i = 0; i < count; i++) {
        rr_submission_clear(&submissions[i]);
    }
}

/* ---- cancellations ---- */

/* Returns a random job, or NULL if there is none. */
static struct trace_job *pick_job(struct trace_world *world) {
    guint count = world->jobs->len;
    return count ? g_ptr_array_index(world->jobs, (guint)trace_random_int(world, (int)count))
                 : NULL;
}

static void send_cancel_hints(struct trace_world *world, const struct trace_controller *from,
                              const char *job_id) {
    for (int i = 0; i < world->scenario.controller_count; i++) {
        struct trace_controller *peer = &world->controllers[i];
        if (peer != from && peer->running && trace_chance(world, 0.8)) {
            rr_core_add_cancel_hint(peer->fixture.core, job_id, world->now);
        }
    }
}

/* Has a core check a job that is already submitted, as a client does that got no reply. */
static void resubmit_job(struct trace_world *world) {
    const struct trace_controller *controller = trace_pick_controller(world);
    const struct trace_job *job = pick_job(world);
    if (controller && job) {
        rr_submission submission = {.task_count = job->task_count, .cpus = 1};
        const char *reason = NULL;
        g_strlcpy(submission.job_id, job->id, sizeof submission.job_id);
        trace_hash_uint64(&world->hash,
                          rr_core_check_submission(controller->fixture.core, &submission, &reason));
        trace_hash_text(&world->hash, reason);
    }
}

/* Adds more cancel hints than a core keeps. */
static void overflow_cancel_hints(struct trace_world *world, struct trace_controller *controller) {
    for (int i = 0; i < 4200; i++) {
        char id[RR_ID_SIZE];
        g_snprintf(id, sizeof id, "req-8%06d", i);
        rr_core_add_cancel_hint(controller->fixture.core, id, world->now);
    }
}

/* Cancels a random job if the core permits it, and sends cancel hints to the peers. */
static void cancel_random_job(struct trace_world *world) {
    struct trace_controller *controller = trace_pick_controller(world);
    struct trace_job *job = pick_job(world);
    char key[RR_ID_SIZE + 64];
    uint64_t version = 0;
    rr_encoder out;
    rr_transaction transaction;
    if (!controller || !job) {
        return;
    }
    rr_transaction_init(&transaction);
    rr_encoder_init(&out);
    bool possible = rr_core_encode_cancelled_job(controller->fixture.core, job->id, &out, &version);
    trace_hash_uint64(&world->hash, possible);
    if (possible) {
        rr_core_job_key(job->id, key, sizeof key);
        rr_transaction_guard(&transaction, key, version);
        rr_transaction_put(&transaction, key, &out, 0);
        if (trace_commit(world, controller, &transaction)) {
            job->cancelled = true;
            send_cancel_hints(world, controller, job->id);
        }
    } else {
        rr_encoder_clear(&out);
    }
    rr_transaction_clear(&transaction);
}

/* ---- jobs held for transfers between cells ---- */

/* Holds, releases, revokes or unholds a random job. */
static void change_hold(struct trace_world *world) {
    struct trace_controller *controller = trace_pick_controller(world);
    const struct trace_job *job = pick_job(world);
    if (!controller || !job) {
        return;
    }
    rr_core *core = controller->fixture.core;
    switch (trace_random_int(world, 5)) {
    case 0:
    case 1:
        rr_core_hold_job(core, job->id, (enum rr_hold_kind)trace_random_int(world, 3));
        break;
    case 2:
        rr_core_release_job(core, job->id, world->now + trace_random_double(world, 5, 60));
        break;
    case 3:
        rr_core_revoke_job_release(core, job->id);
        break;
    default:
        rr_core_unhold_job(core, job->id);
    }
}

/* Finishes or abandons a job, as its transfer would; the transaction is guarded by the controller's
 * term. If nothing changes, hashes the job's guard instead. */
static void finish_or_abandon_job(struct trace_world *world) {
    struct trace_controller *controller = trace_pick_controller(world);
    const struct trace_job *job = pick_job(world);
    rr_transaction transaction;
    if (!controller || !job) {
        return;
    }
    rr_core *core = controller->fixture.core;
    rr_transaction_init(&transaction);
    bool finishes = trace_chance(world, 0.3);
    bool changes =
        finishes
            ? rr_core_add_finished_job_record(core, job->id, trace_chance(world, 0.2), &transaction)
            : rr_core_add_cancelled_job_record(core, job->id, &transaction);
    trace_hash_uint64(&world->hash, changes);
    if (changes) {
        rr_core_guard_term(core, &transaction);
        trace_commit(world, controller, &transaction);
    } else {
        trace_hash_uint64(&world->hash, rr_core_guard_open_job(core, job->id, &transaction));
        trace_hash_transaction(&world->hash, &transaction);
    }
    rr_transaction_clear(&transaction);
}

void trace_run_users(struct trace_world *world, double seconds) {
    const struct trace_scenario *scenario = &world->scenario;
    if (trace_chance(world, scenario->jobs_per_s * seconds)) {
        trace_submit_jobs(world);
    }
    if (trace_chance(world, scenario->cancels_per_s * seconds)) {
        cancel_random_job(world);
    }
    if (trace_chance(world, 0.05 * seconds)) {
        resubmit_job(world);
    }
    if (scenario->job_holds && world->steps % (TRACE_STEPS / 3) == 0) {
        overflow_cancel_hints(world, &world->controllers[0]);
    }
    if (scenario->job_holds && trace_chance(world, 0.5 * seconds)) {
        change_hold(world);
    }
    if (scenario->job_holds && trace_chance(world, 0.05 * seconds)) {
        finish_or_abandon_job(world);
    }
}

/* ---- records of other versions and of operators ---- */

/* Writes a record with this one field, which the core cannot decode under this key. */
static void put_unreadable_record(struct trace_world *world, const char *key, const char *field,
                                  const char *text) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_encode_map(&out, 1);
    rr_encode_key_text(&out, field, text);
    fake_store_put(world->store, key, &out);
}

/* Cancels a job as an earlier version does that does not know the kind of the job: its record keeps
 * only the name. */
static void cancel_by_earlier_version(struct trace_world *world) {
    const struct trace_job *job = pick_job(world);
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

/* Deletes the fleet page of a machine, if there is one, as an operator might. */
static void delete_fleet_page(struct trace_world *world) {
    char key[64];
    rr_transaction transaction;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d",
               100001 + trace_random_int(world, world->scenario.own_machines));
    rr_transaction_init(&transaction);
    if (fake_store_version(world->store, key) != 0) {
        rr_transaction_delete(&transaction, key);
        fake_store_commit(world->store, &transaction);
    }
    rr_transaction_clear(&transaction);
}

void trace_write_foreign_record(struct trace_world *world) {
    switch (trace_random_int(world, 6)) {
    case 0:
        put_unreadable_record(world, RR_KEY_ROOT "machine/vm-1", "tasks", "none");
        break;
    case 1:
        put_unreadable_record(world, RR_KEY_ROOT "build/m9", "sku", "m9");
        break;
    case 2:
        put_unreadable_record(world, RR_KEY_ROOT "fleet/00190000", "stones", "none");
        break;
    case 3:
        put_unreadable_record(world, RR_KEY_ROOT "node/n9", "name", "n9");
        break;
    case 4:
        cancel_by_earlier_version(world);
        break;
    default:
        delete_fleet_page(world);
    }
}

/* ---- reads of a core's state ---- */

/* Adds the hash of one job to a sum, which does not depend on the order of the jobs: the core
 * guarantees none. */
static void add_job_hash(void *user, const rr_submission *submission, int team, uint32_t waiting,
                         uint32_t placed, uint32_t done) {
    uint64_t *sum = user;
    trace_hash hash;
    trace_hash_init(&hash);
    trace_hash_submission(&hash, submission);
    trace_hash_uint64(&hash, (uint64_t)(int64_t)team);
    trace_hash_uint64(&hash, waiting);
    trace_hash_uint64(&hash, placed);
    trace_hash_uint64(&hash, done);
    *sum += hash.value;
}

/* As add_job_hash, for a machine. */
static void add_machine_hash(void *user, const char *type, const char *zone, double cpu, double gpu,
                             double mem) {
    uint64_t *sum = user;
    trace_hash hash;
    trace_hash_init(&hash);
    trace_hash_text(&hash, type);
    trace_hash_text(&hash, zone);
    trace_hash_double(&hash, cpu);
    trace_hash_double(&hash, gpu);
    trace_hash_double(&hash, mem);
    *sum += hash.value;
}

static void hash_spillable_job(void *user, const rr_submission *submission, double accepted_at) {
    trace_hash *hash = user;
    trace_hash_submission(hash, submission);
    trace_hash_double(hash, accepted_at);
}

static void query_job(struct trace_world *world, const rr_core *core, const char *job_id) {
    rr_job_view view;
    rr_core_job job;
    trace_hash *hash = &world->hash;
    rr_core_get_job_view(core, job_id, world->now, &view);
    trace_hash_job_view(hash, &view);
    trace_hash_uint64(hash, rr_core_job_known(core, job_id));
    trace_hash_uint64(hash, rr_core_job_cancelled(core, job_id, world->now));
    if (rr_core_find_job(core, job_id, &job)) {
        trace_hash_submission(hash, job.submission);
        trace_hash_double(hash, job.accepted_at);
        trace_hash_uint64(hash, job.done);
        trace_hash_uint64(hash, job.cancelled);
        trace_hash_uint64(hash, job.placed);
        trace_hash_uint64(hash, job.done_count);
    }
}

void trace_poll_jobs(struct trace_world *world, const struct trace_controller *controller) {
    for (int i = 0; i < 3 && world->jobs->len; i++) {
        query_job(world, controller->fixture.core, pick_job(world)->id);
    }
}

void trace_query_core(struct trace_world *world, struct trace_controller *controller) {
    const rr_core *core = controller->fixture.core;
    trace_hash *hash = &world->hash;
    uint64_t job_hashes = 0, machine_hashes = 0;
    struct rr_budget_shares shares;
    rr_core_stats stats;
    rr_core_foreach_job(core, add_job_hash, &job_hashes);
    rr_core_foreach_machine(core, add_machine_hash, &machine_hashes);
    trace_hash_uint64(hash, job_hashes);
    trace_hash_uint64(hash, machine_hashes);
    rr_core_foreach_spillable_job(core, world->now, hash_spillable_job, hash);
    trace_poll_jobs(world, controller);
    rr_core_budget_shares(core, &shares);
    trace_hash_double(hash, shares.requests);
    trace_hash_double(hash, shares.users);
    trace_hash_double(hash, shares.plans);
    trace_hash_double(hash, shares.autoscaler);
    for (int i = 0; i < world->scenario.team_count; i++) {
        trace_hash_text(hash, rr_core_team_owner(core, team_names[i]));
    }
    trace_hash_uint64(hash, rr_core_count_members(core));
    trace_hash_uint64(hash, rr_core_fencing_token(core));
    trace_hash_uint64(hash, rr_core_is_ready(core, world->now));
    trace_hash_uint64(hash, rr_core_all_members_support_gangs(core));
    trace_hash_uint64(hash, rr_core_all_members_support_admission(core));
    trace_hash_uint64(hash, rr_core_all_members_support_holds(core));
    trace_hash_double(hash, rr_core_cache_age(core, world->now));
    rr_core_get_stats(core, &stats);
    trace_hash_core_stats(hash, &stats);
}
