/* The load that the autoscaler knows of when it writes an admission table. */
#include "admission/offered_load.h"

#include <math.h>
#include <string.h>

/* Returns an empty map from job hashes (uint64_t, owned) to numbers of tasks. */
static GHashTable *create_done_counts(void) {
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void rr_offered_load_init(rr_offered_load *load, const rr_admission_settings *settings) {
    memset(load, 0, sizeof *load);
    load->settings = settings;
    load->pools = g_array_new(FALSE, TRUE, sizeof(rr_load_pool));
    load->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    load->done_counts = create_done_counts();
    load->previous_done_counts = NULL;
}

void rr_offered_load_clear(rr_offered_load *load) {
    g_array_free(load->pools, TRUE);
    g_hash_table_destroy(load->keys);
    g_hash_table_destroy(load->done_counts);
    if (load->previous_done_counts) {
        g_hash_table_destroy(load->previous_done_counts);
    }
}

void rr_offered_load_begin_snapshot(rr_offered_load *load) {
    g_array_set_size(load->pools, 0);
    g_hash_table_remove_all(load->keys);
    memset(load->teams, 0, sizeof load->teams);
    if (load->previous_done_counts) {
        g_hash_table_destroy(load->previous_done_counts);
    }
    load->previous_done_counts = load->done_counts;
    load->done_counts = create_done_counts();
    load->snapshot_count++;
}

/* Returns left + factor * right. */
static rr_resource_amount add_scaled_amount(rr_resource_amount left, rr_resource_amount right,
                                            double factor) {
    return (rr_resource_amount){left.cpus + factor * right.cpus, left.gpus + factor * right.gpus,
                                left.mem_gb + factor * right.mem_gb};
}

void rr_offered_load_add_machine(rr_offered_load *load, const char *type, const char *zone,
                                 rr_resource_amount amount) {
    for (guint i = 0; i < load->pools->len; i++) {
        rr_load_pool *pool = &g_array_index(load->pools, rr_load_pool, i);
        if (strcmp(pool->type, type) == 0 && strcmp(pool->zone, zone) == 0) {
            pool->amount = add_scaled_amount(pool->amount, amount, 1);
            return;
        }
    }
    rr_load_pool pool = {.amount = amount};
    g_strlcpy(pool.type, type, sizeof pool.type);
    g_strlcpy(pool.zone, zone, sizeof pool.zone);
    g_array_append_val(load->pools, pool);
}

rr_resource_amount rr_offered_load_capacity(const rr_offered_load *load) {
    rr_resource_amount capacity = {0, 0, 0};
    for (guint i = 0; i < load->pools->len; i++) {
        capacity =
            add_scaled_amount(capacity, g_array_index(load->pools, rr_load_pool, i).amount, 1);
    }
    return capacity;
}

/* Records the number of the job's done tasks and returns how many of them are new since the last
 * snapshot. A job that the last snapshot lacks is new, so all of them are. In the first snapshot
 * none count, because nothing is known of when they ended. */
static uint32_t count_newly_done(rr_offered_load *load, const char *job_id, uint32_t done) {
    uint64_t hash = rr_admission_hash_job_id(job_id);
    gpointer recorded = NULL;
    uint32_t previously_done = load->snapshot_count > 1 ? 0 : done;
    if (load->previous_done_counts &&
        g_hash_table_lookup_extended(load->previous_done_counts, &hash, NULL, &recorded)) {
        previously_done = GPOINTER_TO_UINT(recorded);
    }
    uint64_t *key = g_new(uint64_t, 1);
    *key = hash;
    g_hash_table_replace(load->done_counts, key, GUINT_TO_POINTER(done));
    return done > previously_done ? done - previously_done : 0;
}

/* Adds work to the waiting work of the submission's key. */
static void add_waiting_work(rr_offered_load *load, const rr_submission *submission, rr_work work) {
    rr_admission_key key;
    rr_admission_key_from_submission(submission, load->settings->band_limits, &key);
    rr_load_key *entry = g_hash_table_lookup(load->keys, &key.id);
    if (!entry) {
        entry = g_new0(rr_load_key, 1);
        entry->key = key;
        g_hash_table_insert(load->keys, &entry->key.id, entry);
    }
    entry->waiting_work = rr_work_add(entry->waiting_work, work, 1);
}

void rr_offered_load_add_job(rr_offered_load *load, const rr_submission *submission, int team,
                             uint32_t waiting, uint32_t placed, uint32_t done) {
    if (team < 0 || team >= RR_TEAMS_MAX) {
        return;
    }
    rr_load_team *team_load = &load->teams[team];
    rr_resource_amount request = {submission->cpus, submission->gpus, submission->mem_gb};
    rr_work work = rr_work_estimate_task(submission, load->settings->service_estimate_s);
    bool ends_by_itself = submission->kind != RR_JOB_SERVICE;
    team_load->used = add_scaled_amount(team_load->used, request, placed);
    team_load->batch_used =
        add_scaled_amount(team_load->batch_used, request, ends_by_itself ? placed : 0);
    team_load->waiting = add_scaled_amount(team_load->waiting, request, waiting);
    uint32_t newly_done = count_newly_done(load, submission->job_id, ends_by_itself ? done : 0);
    team_load->completed_work = rr_work_add(team_load->completed_work, work, newly_done);
    if (waiting > 0) {
        add_waiting_work(load, submission, rr_work_scale(work, waiting));
    }
}

double rr_dominant_share(rr_resource_amount amount, rr_resource_amount capacity) {
    double share = 0;
    share = capacity.cpus > 0 ? fmax(share, amount.cpus / capacity.cpus) : share;
    share = capacity.gpus > 0 ? fmax(share, amount.gpus / capacity.gpus) : share;
    return capacity.mem_gb > 0 ? fmax(share, amount.mem_gb / capacity.mem_gb) : share;
}

double rr_dominant_share_seconds(rr_work work, rr_resource_amount capacity) {
    return rr_dominant_share((rr_resource_amount){work.cpu_s, work.gpu_s, work.mem_gb_s}, capacity);
}
