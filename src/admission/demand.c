/* The demand for admission that one controller has seen, kept in memory. */
#include "admission/demand.h"

#include <math.h>
#include <string.h>

#define WAITING_JOBS_MAX 16384u
#define KEYS_MAX 4096u

/* Number of jobs after which the weight of a key's mean work is halved, so that the mean follows
 * newer jobs. */
#define MEAN_JOBS_MAX 64.0

/* The demand for one key. */
struct key_demand {
    rr_admission_key key;
    uint64_t admitted;               /* jobs admitted in the current interval */
    uint64_t admitted_last_interval; /* jobs admitted in the last complete interval */
    rr_work work_sum;      /* weighted sum over jobs; the mean is work_sum / mean_job_count */
    double mean_job_count; /* sum of the weights */
    guint waiting_count;   /* waiting jobs of this key */
};

/* A refused job whose user is assumed to retry. */
struct waiting_job {
    uint64_t job_hash; /* rr_admission_hash_job_id(job_id) */
    uint64_t key_id;
    char job_id[RR_ID_SIZE];
    double wait_ends_at; /* steady clock: when its user is assumed to give up */
};

struct rr_demand {
    double patience_s;   /* how long a refused job waits */
    GHashTable *keys;    /* key id -> struct key_demand, owned */
    GHashTable *waiting; /* job hash -> struct waiting_job, owned */
};

rr_demand *rr_demand_create(double patience_s) {
    rr_demand *demand = g_new0(rr_demand, 1);
    demand->patience_s = patience_s;
    demand->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    demand->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return demand;
}

void rr_demand_destroy(rr_demand *demand) {
    if (demand) {
        g_hash_table_destroy(demand->keys);
        g_hash_table_destroy(demand->waiting);
        g_free(demand);
    }
}

/* Returns the entry of the key, or NULL if it is new and there are KEYS_MAX keys already. */
static struct key_demand *find_or_add_key(rr_demand *demand, const rr_admission_key *key) {
    struct key_demand *found = g_hash_table_lookup(demand->keys, &key->id);
    if (!found && g_hash_table_size(demand->keys) < KEYS_MAX) {
        found = g_new0(struct key_demand, 1);
        found->key = *key;
        g_hash_table_insert(demand->keys, &found->key.id, found);
    }
    return found;
}

/* Adds a job's work to the key's mean. */
static void add_to_mean(struct key_demand *key, rr_work work) {
    if (key->mean_job_count >= MEAN_JOBS_MAX) {
        key->mean_job_count /= 2;
        key->work_sum = rr_work_scale(key->work_sum, 0.5);
    }
    key->mean_job_count++;
    key->work_sum = rr_work_add(key->work_sum, work, 1);
}

/* ---- waiting jobs ---- */

/* Decrements the count of waiting jobs of the job's key. */
static void decrement_waiting(rr_demand *demand, const struct waiting_job *job) {
    struct key_demand *key = g_hash_table_lookup(demand->keys, &job->key_id);
    if (key && key->waiting_count > 0) {
        key->waiting_count--;
    }
}

void rr_demand_record_refusal(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                              rr_work work, double now) {
    uint64_t job_hash = rr_admission_hash_job_id(job_id);
    struct key_demand *key_demand = find_or_add_key(demand, key);
    if (!key_demand || g_hash_table_contains(demand->waiting, &job_hash) ||
        g_hash_table_size(demand->waiting) >= WAITING_JOBS_MAX) {
        return;
    }
    struct waiting_job *job = g_new0(struct waiting_job, 1);
    *job = (struct waiting_job){job_hash, key->id, "", now + demand->patience_s};
    g_strlcpy(job->job_id, job_id, sizeof job->job_id);
    g_hash_table_insert(demand->waiting, &job->job_hash, job);
    key_demand->waiting_count++;
    add_to_mean(key_demand, work);
}

void rr_demand_record_admission(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                                rr_work work) {
    uint64_t job_hash = rr_admission_hash_job_id(job_id);
    struct key_demand *key_demand = find_or_add_key(demand, key);
    const struct waiting_job *job = g_hash_table_lookup(demand->waiting, &job_hash);
    bool waited = job != NULL;
    if (job) {
        decrement_waiting(demand, job);
        g_hash_table_remove(demand->waiting, &job_hash);
    }
    if (key_demand) {
        key_demand->admitted++;
        if (!waited) {
            add_to_mean(key_demand, work);
        }
    }
}

/* Arguments of remove_if_accepted(). */
struct acceptance_filter {
    rr_demand *demand;
    rr_job_accepted_fn is_accepted;
    void *user;
};

static gboolean remove_if_accepted(gpointer key, gpointer value, gpointer user) {
    const struct waiting_job *job = value;
    const struct acceptance_filter *filter = user;
    (void)key;
    if (!filter->is_accepted(filter->user, job->job_id)) {
        return FALSE;
    }
    decrement_waiting(filter->demand, job);
    return TRUE;
}

void rr_demand_remove_accepted(rr_demand *demand, rr_job_accepted_fn is_accepted, void *user) {
    struct acceptance_filter filter = {demand, is_accepted, user};
    g_hash_table_foreach_remove(demand->waiting, remove_if_accepted, &filter);
}

/* ---- intervals ---- */

/* Arguments of remove_if_expired(). */
struct expiry_filter {
    rr_demand *demand;
    double now;
};

static gboolean remove_if_expired(gpointer key, gpointer value, gpointer user) {
    const struct waiting_job *job = value;
    const struct expiry_filter *filter = user;
    (void)key;
    if (job->wait_ends_at > filter->now) {
        return FALSE;
    }
    decrement_waiting(filter->demand, job);
    return TRUE;
}

/* Starts the key's next interval. Returns TRUE, which removes the key, if no job of it waits and
 * none was admitted in the interval that ended. */
static gboolean start_key_interval(gpointer key, gpointer value, gpointer user) {
    struct key_demand *key_demand = value;
    (void)key;
    (void)user;
    key_demand->admitted_last_interval = key_demand->admitted;
    key_demand->admitted = 0;
    return key_demand->waiting_count == 0 && key_demand->admitted_last_interval == 0;
}

void rr_demand_start_interval(rr_demand *demand, double now) {
    struct expiry_filter filter = {demand, now};
    g_hash_table_foreach_remove(demand->waiting, remove_if_expired, &filter);
    g_hash_table_foreach_remove(demand->keys, start_key_interval, NULL);
}

/* ---- queries ---- */

guint rr_demand_count_waiting_jobs(const rr_demand *demand) {
    return g_hash_table_size(demand->waiting);
}

void rr_demand_foreach_key(const rr_demand *demand, rr_demand_key_fn callback, void *user) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, demand->keys);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct key_demand *key = value;
        rr_demand_key_summary summary = {
            &key->key, key->admitted_last_interval,
            rr_work_scale(key->work_sum, 1 / fmax(key->mean_job_count, 1))};
        callback(user, &summary);
    }
}

void rr_demand_foreach_waiting_job(const rr_demand *demand, rr_demand_waiting_fn callback,
                                   void *user) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, demand->waiting);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct waiting_job *job = value;
        callback(user, job->key_id, job->job_hash);
    }
}
