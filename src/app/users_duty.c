/* Users' changes, which share transactions, and the read barrier that polls wait for. */
#include "app/duty.h"
#include "app/batch.h"
#include "app/clock.h"
#include "app/usage.h"

#include <math.h>
#include <string.h>

/* ---- users' commits and barriers ---- */

static void finish(struct rr_user_commit *u, enum rr_commit_status outcome) {
    u->status = outcome;
    u->finished = true;
    pthread_cond_signal(&u->done);
}

/* Whoever has waited for too long is told so, and not after one more transaction of others. */
static void drop_expired(struct rr_app *a) {
    struct rr_user_commit *u;
    double now = rr_steady_clock_s();
    while ((u = g_queue_peek_head(&a->commits)) && now > u->deadline) {
        g_queue_pop_head(&a->commits);
        finish(u, u->outcome_unknown ? RR_COMMIT_OUTCOME_UNKNOWN : RR_COMMIT_REFUSED);
    }
}

/* Also the session by which the batch's key is unique. */
static uint64_t take_batch(struct rr_app *a, struct rr_user_batch *b) {
    memset(b, 0, sizeof *b);
    pthread_mutex_lock(&a->user_lock);
    while (!rr_app_stopping(a) && g_queue_is_empty(&a->commits)) {
        rr_app_wait(a, &a->commit_wake, &a->user_lock, 1.0);
    }
    drop_expired(a);
    while (!g_queue_is_empty(&a->commits) &&
           rr_user_batch_add(&a->config, b, g_queue_peek_head(&a->commits)) && b->n > 0) {
        g_queue_pop_head(&a->commits);
    }
    uint64_t tether = a->lease_id;
    pthread_mutex_unlock(&a->user_lock);
    return tether;
}

static bool listed(const GPtrArray *failed, const char *key) {
    for (guint i = 0; i < failed->len; i++) {
        if (strcmp(g_ptr_array_index(failed, i), key) == 0) {
            return true;
        }
    }
    return false;
}

static void settle(struct rr_app *a, struct rr_user_commit **batch, guint n,
                   enum rr_commit_status rc, uint64_t epoch, const GPtrArray *failed, double took) {
    double now = rr_steady_clock_s();
    pthread_mutex_lock(&a->user_lock);
    a->commit_rate = rc == RR_COMMIT_DONE ? n / fmax(took, 0.001) : a->commit_rate;
    for (guint i = 0; i < n; i++) {
        struct rr_user_commit *u = batch[i];
        u->revision = epoch;
        u->outcome_unknown = u->outcome_unknown || rc == RR_COMMIT_OUTCOME_UNKNOWN;
        /* A conflict names its keys; the others of the batch go again. */
        bool again = rc == RR_COMMIT_CONFLICT && n > 1 && !listed(failed, u->key) &&
                     !(u->also_key[0] && listed(failed, u->also_key));
        again = again || ((rc == RR_COMMIT_REFUSED || rc == RR_COMMIT_INVALID ||
                           rc == RR_COMMIT_OUTCOME_UNKNOWN) &&
                          now < u->deadline);
        if (again && !rr_app_stopping(a)) {
            g_queue_push_tail(&a->commits, u);
        } else {
            finish(u, rc);
        }
    }
    pthread_mutex_unlock(&a->user_lock);
}

void *rr_commit_thread(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USAGE_USERS);
    rr_store *s = rr_app_open_store(a);
    struct rr_user_batch b;
    while (!rr_app_stopping(a)) {
        uint64_t tether = take_batch(a, &b);
        if (b.n == 0) {
            continue;
        }
        rr_transaction t;
        rr_transaction_init(&t);
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        rr_user_batch_transaction(&b, tether, &a->batch_count, &t);
        uint64_t epoch = 0;
        double began = rr_steady_clock_s();
        enum rr_commit_status rc = rr_store_commit(s, RR_REQUEST_USER, &t, 1.0, &epoch, failed);
        rr_transaction_clear(&t);
        pthread_mutex_lock(&a->lock);
        a->store_down = rc == RR_COMMIT_REFUSED || rc == RR_COMMIT_OUTCOME_UNKNOWN;
        if (!a->store_down) {
            a->store_ok_at = rr_steady_clock_s();
        }
        pthread_mutex_unlock(&a->lock);
        settle(a, b.entries, b.n, rc, epoch, failed, rr_steady_clock_s() - began);
        g_ptr_array_free(failed, TRUE);
        if (rc == RR_COMMIT_REFUSED || rc == RR_COMMIT_INVALID || rc == RR_COMMIT_OUTCOME_UNKNOWN) {
            rr_app_pause(a, 0.1);
        }
    }
    pthread_mutex_lock(&a->user_lock);
    struct rr_user_commit *u;
    while ((u = g_queue_pop_head(&a->commits))) {
        finish(u, RR_COMMIT_REFUSED);
    }
    pthread_mutex_unlock(&a->user_lock);
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}

/* The group that has gathered when a read is due; the next one gathers from here on. NULL: nobody
 * waits. */
static struct rr_read_barrier *take_group(struct rr_app *a) {
    pthread_mutex_lock(&a->user_lock);
    struct rr_read_barrier *b = &a->barrier[a->gathering_group % 2];
    b = b->waiting > 0 ? b : NULL;
    a->gathering_group += b != NULL;
    pthread_mutex_unlock(&a->user_lock);
    return b;
}

static void wait_for_polls(struct rr_app *a) {
    pthread_mutex_lock(&a->user_lock);
    while (!rr_app_stopping(a) && a->barrier[a->gathering_group % 2].waiting == 0) {
        rr_app_wait(a, &a->barrier_wake, &a->user_lock, 5.0);
    }
    pthread_mutex_unlock(&a->user_lock);
}

/* The mirror has all that was committed before this call. */
static bool cache_is_current(struct rr_app *a, rr_store *s) {
    uint64_t epoch = 0;
    double until = rr_steady_clock_s() + 1.2;
    if (rr_store_revision(s, &epoch, 0.8) != 0) {
        return false;
    }
    pthread_mutex_lock(&a->lock);
    bool ok = rr_core_cache_loaded(a->core) && rr_app_wait_revision(a, epoch, until);
    pthread_mutex_unlock(&a->lock);
    return ok;
}

/* One read of the store's revision serves all polls that were waiting when it was sent, and this
 * thread alone waits for the mirror to reach it: when each poll did, every change woke them all. */
void *rr_read_barrier_thread(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USAGE_USERS);
    rr_store *s = rr_app_open_store(a);
    double last = 0;
    while (!rr_app_stopping(a)) {
        wait_for_polls(a);
        pthread_mutex_lock(&a->lock);
        unsigned live = rr_core_live_controllers(a->core);
        pthread_mutex_unlock(&a->lock);
        /* Under load polls gather: reads take a sixth of the limit. */
        rr_sleep(last + 6.0 * (live ? live : 1) / a->config.state_rps - rr_steady_clock_s());
        struct rr_read_barrier *b = take_group(a);
        if (!b) {
            continue;
        }
        last = rr_steady_clock_s();
        bool ok = cache_is_current(a, s);
        pthread_mutex_lock(&a->user_lock);
        b->served = b->number;
        b->ok = ok;
        b->waiting = 0;
        pthread_cond_broadcast(&b->done);
        pthread_mutex_unlock(&a->user_lock);
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}
