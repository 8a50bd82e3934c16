#include "admission/demand.h"

#include <math.h>
#include <string.h>

#define WAITING_MAX 16384u /* jobs; more are refused without being counted */
#define KEYS_MAX 4096u
#define SAMPLE_TOTAL 4096u /* hashes in one view, */
#define SAMPLE_LEAST 16u   /* and for each key at least and at most */
#define SAMPLE_MOST 256u

rr_work rr_work_of_task(const rr_submission *submission, double service_s) {
    double seconds =
        submission->kind == RR_JOB_SERVICE ? service_s : submission->runtime_estimate_s;
    return (rr_work){submission->cpus * seconds, submission->gpus * seconds,
                     submission->mem_gb * seconds};
}

struct key_demand {
    rr_admission_key key;
    uint64_t admitted, admitted_before; /* in this interval and the last whole one */
    rr_work work;                       /* of the jobs in `counted` */
    double counted;
    guint waiting;
};

struct waiting {
    uint64_t hash, key_id;
    char job_id[RR_ID_SIZE];
    double until; /* then its user has given up */
};

struct rr_demand {
    double patience_s;
    GHashTable *keys;    /* id -> struct key_demand */
    GHashTable *waiting; /* hash -> struct waiting */
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

static struct key_demand *key_demand(rr_demand *demand, const rr_admission_key *key) {
    struct key_demand *found = g_hash_table_lookup(demand->keys, &key->id);
    if (!found && g_hash_table_size(demand->keys) < KEYS_MAX) {
        found = g_new0(struct key_demand, 1);
        found->key = *key;
        g_hash_table_insert(demand->keys, &found->key.id, found);
    }
    return found;
}

/* Means follow the newer jobs. */
#define COUNTED_MAX 64.0

static void count_work(struct key_demand *key, rr_work work) {
    if (key->counted >= COUNTED_MAX) {
        key->counted /= 2;
        key->work = rr_work_scale(key->work, 0.5);
    }
    key->counted++;
    key->work = rr_work_add(key->work, work, 1);
}

static void remove_waiting(rr_demand *demand, const struct waiting *entry) {
    struct key_demand *key = g_hash_table_lookup(demand->keys, &entry->key_id);
    if (key && key->waiting > 0) {
        key->waiting--;
    }
}

struct settling {
    rr_demand *demand;
    rr_job_known_fn known;
    void *user;
};

static gboolean accepted_elsewhere(gpointer key, gpointer value, gpointer user) {
    const struct waiting *entry = value;
    const struct settling *settling = user;
    (void)key;
    if (!settling->known(settling->user, entry->job_id)) {
        return FALSE;
    }
    remove_waiting(settling->demand, entry);
    return TRUE;
}

void rr_demand_settle(rr_demand *demand, rr_job_known_fn known, void *user) {
    struct settling settling = {demand, known, user};
    g_hash_table_foreach_remove(demand->waiting, accepted_elsewhere, &settling);
}

void rr_demand_refused(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                       rr_work work, double now) {
    uint64_t job_hash = rr_admission_job_hash(job_id);
    struct key_demand *of_key = key_demand(demand, key);
    if (!of_key || g_hash_table_contains(demand->waiting, &job_hash) ||
        g_hash_table_size(demand->waiting) >= WAITING_MAX) {
        return;
    }
    struct waiting *entry = g_new0(struct waiting, 1);
    *entry = (struct waiting){job_hash, key->id, "", now + demand->patience_s};
    g_strlcpy(entry->job_id, job_id, sizeof entry->job_id);
    g_hash_table_insert(demand->waiting, &entry->hash, entry);
    of_key->waiting++;
    count_work(of_key, work);
}

void rr_demand_admitted(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                        rr_work work) {
    uint64_t job_hash = rr_admission_job_hash(job_id);
    struct key_demand *of_key = key_demand(demand, key);
    const struct waiting *entry = g_hash_table_lookup(demand->waiting, &job_hash);
    bool counted = entry != NULL;
    if (entry) {
        remove_waiting(demand, entry);
        g_hash_table_remove(demand->waiting, &job_hash);
    }
    if (of_key) {
        of_key->admitted++;
        if (!counted) {
            count_work(of_key, work);
        }
    }
}

struct sweep {
    rr_demand *demand;
    double now;
};

static gboolean gave_up(gpointer key, gpointer value, gpointer user) {
    const struct waiting *entry = value;
    const struct sweep *sweep = user;
    (void)key;
    if (entry->until > sweep->now) {
        return FALSE;
    }
    remove_waiting(sweep->demand, entry);
    return TRUE;
}

static gboolean idle_key(gpointer key, gpointer value, gpointer user) {
    struct key_demand *demand = value;
    (void)key;
    (void)user;
    demand->admitted_before = demand->admitted;
    demand->admitted = 0;
    return demand->waiting == 0 && demand->admitted_before == 0;
}

void rr_demand_next_interval(rr_demand *demand, double now) {
    struct sweep sweep = {demand, now};
    g_hash_table_foreach_remove(demand->waiting, gave_up, &sweep);
    g_hash_table_foreach_remove(demand->keys, idle_key, NULL);
}

guint rr_demand_waiting(const rr_demand *demand) {
    return g_hash_table_size(demand->waiting);
}

/* ---- views ---- */

static void entry_clear(gpointer data) {
    rr_demand_entry *entry = data;
    if (entry->sample) {
        g_array_free(entry->sample, TRUE);
    }
}

void rr_demand_view_init(rr_demand_view *view) {
    view->fencing_token = 0;
    view->entries = g_array_new(FALSE, TRUE, sizeof(rr_demand_entry));
    g_array_set_clear_func(view->entries, entry_clear);
}

void rr_demand_view_clear(rr_demand_view *view) {
    if (view->entries) {
        g_array_free(view->entries, TRUE);
    }
    memset(view, 0, sizeof *view);
}

static gint by_hash(gconstpointer left_item, gconstpointer right_item) {
    uint64_t left = *(const uint64_t *)left_item, right = *(const uint64_t *)right_item;
    return left < right ? -1 : left > right;
}

/* The smallest hashes, up to `most`; what is left out lies at or above the bound. */
static void cut_sample(rr_demand_entry *entry, guint most) {
    g_array_sort(entry->sample, by_hash);
    entry->bound = UINT64_MAX;
    if (entry->sample->len > most) {
        entry->bound = g_array_index(entry->sample, uint64_t, most);
        g_array_set_size(entry->sample, most);
    }
}

void rr_demand_view_of(const rr_demand *demand, uint64_t fencing_token, rr_demand_view *out) {
    GHashTableIter iterator;
    gpointer value;
    GHashTable *samples = g_hash_table_new(g_int64_hash, g_int64_equal); /* key id -> GArray */
    rr_demand_view_init(out);
    out->fencing_token = fencing_token;
    g_hash_table_iter_init(&iterator, demand->keys);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct key_demand *key = value;
        rr_demand_entry entry = {.key = key->key, .admitted = key->admitted_before};
        entry.mean = rr_work_scale(key->work, 1 / fmax(key->counted, 1));
        entry.sample = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_hash_table_insert(samples, &key->key.id, entry.sample);
        g_array_append_val(out->entries, entry);
    }
    g_hash_table_iter_init(&iterator, demand->waiting);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct waiting *entry = value;
        GArray *sample = g_hash_table_lookup(samples, &entry->key_id);
        if (sample) {
            g_array_append_val(sample, entry->hash);
        }
    }
    g_hash_table_destroy(samples);
    guint each = SAMPLE_TOTAL / MAX(out->entries->len, 1);
    for (guint i = 0; i < out->entries->len; i++) {
        cut_sample(&g_array_index(out->entries, rr_demand_entry, i),
                   CLAMP(each, SAMPLE_LEAST, SAMPLE_MOST));
    }
}

/* ---- totals ---- */

struct aged_entry {
    const rr_demand_entry *entry;
    unsigned age; /* intervals */
};

static const struct aged_entry *entry_at(const GArray *entries, guint i) {
    return &g_array_index(entries, struct aged_entry, i);
}

struct sum {
    rr_demand_total total;
    GArray *entries; /* struct aged_entry, freshest first */
    double weight;   /* of the mean */
};

/* Jobs known to the first `count` entries together: the union of their samples below the lowest
 * bound, scaled up to the whole circle. */
static double distinct(const struct sum *sum, guint count) {
    uint64_t bound = UINT64_MAX;
    GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < count; i++) {
        const rr_demand_entry *entry = entry_at(sum->entries, i)->entry;
        bound = MIN(bound, entry->bound);
        g_array_append_vals(hashes, entry->sample->data, entry->sample->len);
    }
    g_array_sort(hashes, by_hash);
    double found = 0;
    for (guint i = 0; i < hashes->len; i++) {
        uint64_t hash = g_array_index(hashes, uint64_t, i);
        bool repeated = i > 0 && g_array_index(hashes, uint64_t, i - 1) == hash;
        found += !repeated && (hash < bound || bound == UINT64_MAX);
    }
    g_array_free(hashes, TRUE);
    return bound == UINT64_MAX ? found : found * ((double)UINT64_MAX / (double)bound);
}

static void add_entry(GHashTable *sums, const rr_demand_entry *entry, unsigned age) {
    struct sum *sum = g_hash_table_lookup(sums, &entry->key.id);
    if (!sum) {
        sum = g_new0(struct sum, 1);
        sum->total.key = entry->key;
        sum->entries = g_array_new(FALSE, FALSE, sizeof(struct aged_entry));
        g_hash_table_insert(sums, &sum->total.key.id, sum);
    }
    guint start = 0;
    while (start < sum->entries->len && entry_at(sum->entries, start)->age <= age) {
        start++;
    }
    struct aged_entry aged = {entry, age};
    g_array_insert_val(sum->entries, start, aged);
    double known = (double)entry->admitted + entry->sample->len;
    sum->total.mean = rr_work_add(sum->total.mean, entry->mean, known);
    sum->weight += known;
}

/* What only old views know counts half as much for each interval of their age. */
static rr_demand_total finish_sum(struct sum *sum) {
    double before = 0;
    for (guint i = 0; i < sum->entries->len; i++) {
        const rr_demand_entry *entry = entry_at(sum->entries, i)->entry;
        double part = pow(0.5, entry_at(sum->entries, i)->age);
        double now = fmax(before, distinct(sum, i + 1));
        sum->total.count += part * (now - before + (double)entry->admitted);
        before = now;
    }
    sum->total.mean = rr_work_scale(sum->total.mean, 1 / fmax(sum->weight, 1e-9));
    g_array_free(sum->entries, TRUE);
    return sum->total;
}

static gint by_key(gconstpointer left_item, gconstpointer right_item) {
    const rr_demand_total *left = left_item, *right = right_item;
    return left->key.id < right->key.id ? -1 : left->key.id > right->key.id;
}

void rr_demand_merge(const rr_demand_view *const *views, const unsigned *ages, guint count,
                     GArray *out) {
    GHashTable *sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    GHashTableIter iterator;
    gpointer value;
    for (guint i = 0; i < count; i++) {
        for (guint k = 0; k < views[i]->entries->len; k++) {
            add_entry(sums, &g_array_index(views[i]->entries, rr_demand_entry, k), ages[i]);
        }
    }
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_demand_total total = finish_sum(value);
        g_array_append_val(out, total);
    }
    g_hash_table_destroy(sums);
    g_array_sort(out, by_key);
}
