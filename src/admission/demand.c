/* The demand for admission that one controller has seen. */
#include "admission/demand.h"

#include <math.h>
#include <string.h>

#define WAITING_JOBS_MAX 16384u
#define KEYS_MAX 4096u

/* The mean work of a key is halved in weight after so many jobs, so that it follows the newer ones.
 */
#define MEAN_JOBS_MAX 64.0

struct key_demand {
    rr_admission_key key;
    uint64_t admitted, admitted_before; /* in this interval and in the last whole one */
    rr_work work;                       /* sum over the jobs in `mean_jobs` */
    double mean_jobs;
    guint waiting;
};

struct waiting_job {
    uint64_t hash, key_id;
    char job_id[RR_ID_SIZE];
    double until; /* steady: end of its user's patience */
};

struct rr_demand {
    double patience_s;
    GHashTable *keys;    /* id -> struct key_demand */
    GHashTable *waiting; /* hash -> struct waiting_job */
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

/* NULL: there are too many keys. */
static struct key_demand *find_or_add_key(rr_demand *demand, const rr_admission_key *key) {
    struct key_demand *found = g_hash_table_lookup(demand->keys, &key->id);
    if (!found && g_hash_table_size(demand->keys) < KEYS_MAX) {
        found = g_new0(struct key_demand, 1);
        found->key = *key;
        g_hash_table_insert(demand->keys, &found->key.id, found);
    }
    return found;
}

static void add_to_mean(struct key_demand *key, rr_work work) {
    if (key->mean_jobs >= MEAN_JOBS_MAX) {
        key->mean_jobs /= 2;
        key->work = rr_work_scale(key->work, 0.5);
    }
    key->mean_jobs++;
    key->work = rr_work_add(key->work, work, 1);
}

/* ---- waiting jobs ---- */

static void uncount_waiting(rr_demand *demand, const struct waiting_job *job) {
    struct key_demand *key = g_hash_table_lookup(demand->keys, &job->key_id);
    if (key && key->waiting > 0) {
        key->waiting--;
    }
}

void rr_demand_refused(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                       rr_work work, double now) {
    uint64_t job_hash = rr_admission_job_hash(job_id);
    struct key_demand *of_key = find_or_add_key(demand, key);
    if (!of_key || g_hash_table_contains(demand->waiting, &job_hash) ||
        g_hash_table_size(demand->waiting) >= WAITING_JOBS_MAX) {
        return;
    }
    struct waiting_job *job = g_new0(struct waiting_job, 1);
    *job = (struct waiting_job){job_hash, key->id, "", now + demand->patience_s};
    g_strlcpy(job->job_id, job_id, sizeof job->job_id);
    g_hash_table_insert(demand->waiting, &job->hash, job);
    of_key->waiting++;
    add_to_mean(of_key, work);
}

void rr_demand_admitted(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                        rr_work work) {
    uint64_t job_hash = rr_admission_job_hash(job_id);
    struct key_demand *of_key = find_or_add_key(demand, key);
    const struct waiting_job *job = g_hash_table_lookup(demand->waiting, &job_hash);
    bool waited = job != NULL;
    if (job) {
        uncount_waiting(demand, job);
        g_hash_table_remove(demand->waiting, &job_hash);
    }
    if (of_key) {
        of_key->admitted++;
        if (!waited) {
            add_to_mean(of_key, work);
        }
    }
}

struct accepted_search {
    rr_demand *demand;
    rr_job_known_fn known;
    void *user;
};

static gboolean remove_if_accepted(gpointer key, gpointer value, gpointer user) {
    const struct waiting_job *job = value;
    const struct accepted_search *search = user;
    (void)key;
    if (!search->known(search->user, job->job_id)) {
        return FALSE;
    }
    uncount_waiting(search->demand, job);
    return TRUE;
}

void rr_demand_forget_accepted(rr_demand *demand, rr_job_known_fn known, void *user) {
    struct accepted_search search = {demand, known, user};
    g_hash_table_foreach_remove(demand->waiting, remove_if_accepted, &search);
}

/* ---- intervals ---- */

struct expiry {
    rr_demand *demand;
    double now;
};

static gboolean remove_if_expired(gpointer key, gpointer value, gpointer user) {
    const struct waiting_job *job = value;
    const struct expiry *expiry = user;
    (void)key;
    if (job->until > expiry->now) {
        return FALSE;
    }
    uncount_waiting(expiry->demand, job);
    return TRUE;
}

/* Removes a key without waiting or admitted jobs. */
static gboolean begin_key_interval(gpointer key, gpointer value, gpointer user) {
    struct key_demand *demand = value;
    (void)key;
    (void)user;
    demand->admitted_before = demand->admitted;
    demand->admitted = 0;
    return demand->waiting == 0 && demand->admitted_before == 0;
}

void rr_demand_next_interval(rr_demand *demand, double now) {
    struct expiry expiry = {demand, now};
    g_hash_table_foreach_remove(demand->waiting, remove_if_expired, &expiry);
    g_hash_table_foreach_remove(demand->keys, begin_key_interval, NULL);
}

/* ---- for views ---- */

guint rr_demand_waiting(const rr_demand *demand) {
    return g_hash_table_size(demand->waiting);
}

void rr_demand_each_key(const rr_demand *demand, rr_demand_key_fn callback, void *user) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, demand->keys);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct key_demand *key = value;
        rr_demand_of_key of_key = {&key->key, key->admitted_before,
                                   rr_work_scale(key->work, 1 / fmax(key->mean_jobs, 1))};
        callback(user, &of_key);
    }
}

void rr_demand_each_waiting(const rr_demand *demand, rr_demand_waiting_fn callback, void *user) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, demand->waiting);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct waiting_job *job = value;
        callback(user, job->key_id, job->hash);
    }
}
