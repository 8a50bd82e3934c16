/* The long-lived duties, one thread each: session, term, watch, the users' committer and barrier,
 * planner, provisioner, senders. All block with a bound and look at `stop` after each wait. */
#include "app/app.h"
#include "app/batch.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"
#include "cloud/cloud.h"
#include "worker/worker.h"

#include <errno.h>
#include <malloc.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static bool stopping(const struct rr_app *a) {
    return atomic_load(&a->stop);
}

#define LATE_S 0.4 /* a pause longer by this than asked for: half of what a probe may take */

/* The process has less processor time than it has work for. What it hears is old by then, and what
 * it waits for has perhaps come and not been read. */
static void note_late(struct rr_app *a, double now, double late) {
    int lag = (3 * atomic_load(&a->lag_ms) + (int)(1000 * late)) / 4;
    atomic_store(&a->lag_ms, lag);
    if (late > LATE_S) {
        pthread_mutex_lock(&a->lock);
        rr_core_set_late(a->core, now);
        pthread_mutex_unlock(&a->lock);
    }
}

static void pause_for(struct rr_app *a, double seconds) {
    while (seconds > 0 && !stopping(a)) {
        double s = seconds < 0.5 ? seconds : 0.5, began = rr_now();
        rr_sleep(s);
        double now = rr_now();
        note_late(a, now, now - began - s);
        seconds -= s;
    }
}

static rr_store *open_store(struct rr_app *a) {
    return rr_store_create(&a->cfg.state, a->budget, &a->stop);
}

/* A valid transaction was called invalid: the state service's lower limits hold. */
static void limits_lowered(struct rr_app *a, bool in_doubt) {
    rr_budget_lower(a->budget);
    pthread_mutex_lock(&a->lock);
    rr_core_limits_lowered(a->core, in_doubt);
    pthread_cond_broadcast(&a->mirrored);
    pthread_mutex_unlock(&a->lock);
}

/* Until the outcome is certain. An unanswered transaction may still be carried out late, and a task
 * placed anew meanwhile would then stand in the ledger twice. The same transaction sent again
 * settles it: its guards hold at most once, since it changes the keys that it guards. */
enum rr_commit rr_app_commit(struct rr_app *a, rr_store *s, enum rr_prio prio, const rr_txn *t,
                             uint64_t *epoch) {
    bool doubted = false;
    for (;;) {
        enum rr_commit rc = rr_store_commit(s, prio, t, 2.0, epoch, NULL);
        if (rc == RR_COMMITTED || rc == RR_CONFLICT || rc == RR_NO_LEASE) {
            return rc;
        }
        if (rc == RR_INVALID) {
            limits_lowered(a, doubted);
            return rc;
        }
        if (stopping(a) || (rc == RR_REFUSED && !doubted)) {
            return rc;
        }
        doubted = doubted || rc == RR_DOUBT;
        pause_for(a, 0.2);
    }
}

/* ---- session ---- */

/* Our steady clock may run slow against the store's: drift and a little more come off. */
static void set_session(struct rr_app *a, uint64_t tether, double sent) {
    double until = sent + rr_session_s(&a->cfg) * 0.998 - 0.1;
    pthread_mutex_lock(&a->user_lock);
    a->tether = tether;
    pthread_mutex_unlock(&a->user_lock);
    pthread_mutex_lock(&a->lock);
    rr_core_set_session(a->core, tether, tether ? until : 0);
    rr_app_kick(a);
    pthread_cond_broadcast(&a->mirrored);
    pthread_mutex_unlock(&a->lock);
}

/* Takes over from our own last incarnation in one change, so that an ordinary restart costs one
 * term; its lease is ended after. */
static int take_session(struct rr_app *a, rr_store *s, uint64_t *tether) {
    char key[RR_NAME + 16];
    uint64_t mark = 0, old = 0, epoch;
    double life = rr_session_s(&a->cfg);
    rr_doc doc;
    rr_txn t;
    rr_out o;
    g_snprintf(key, sizeof key, RR_ROOT "node/%s", a->cfg.node_name);
    int rc = rr_store_get(s, key, &doc, &mark, &old);
    if (rc == 0) {
        rr_doc_clear(&doc);
    } else if (rc != -ENOENT) {
        return rc;
    }
    double sent = rr_now();
    rc = rr_store_lease(s, life, tether);
    if (rc != 0) {
        return rc;
    }
    rr_txn_init(&t);
    rr_out_init(&o);
    rr_core_node_put(&a->cfg, &o, *tether);
    rr_txn_guard(&t, key, mark);
    rr_txn_put(&t, key, &o, *tether);
    rc = rr_store_commit(s, RR_PRIO_SESSION, &t, 1.5, &epoch, NULL) == RR_COMMITTED ? 0 : -EAGAIN;
    rr_txn_clear(&t);
    if (rc != 0) {
        rr_store_end_lease(s, *tether);
        return rc;
    }
    if (old) {
        rr_store_end_lease(s, old);
    }
    set_session(a, *tether, sent);
    rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " for %.1f s", *tether, life);
    return 0;
}

/* The key may have been overwritten by a late change of an earlier incarnation. */
static bool session_lost(struct rr_app *a, uint64_t tether, double since) {
    pthread_mutex_lock(&a->lock);
    bool lost = rr_core_loaded(a->core) && rr_now() - since > 3 &&
                !rr_core_session_seen(a->core, tether) && rr_now() - a->store_ok_at < 1;
    pthread_mutex_unlock(&a->lock);
    return lost;
}

static int renew(struct rr_app *a, rr_store *s, uint64_t tether) {
    double sent = rr_now();
    int rc = rr_store_renew(s, tether);
    if (rc == 0) {
        set_session(a, tether, sent);
        pthread_mutex_lock(&a->lock);
        a->store_ok_at = rr_now();
        pthread_mutex_unlock(&a->lock);
    }
    return rc;
}

#define ALONE_S 3.0

/* Renewals that went unanswered while this process had no time to read the answers say nothing of
 * the state service: a healthy controller resigned just after a restart of all, and its teams went
 * round once more. */
static bool is_late(struct rr_app *a) {
    pthread_mutex_lock(&a->lock);
    bool late = rr_core_late(a->core, rr_now(), ALONE_S);
    pthread_mutex_unlock(&a->lock);
    return late;
}

/* Refused by the state service while a peer reaches it: another should take over now, not when our
 * lease runs out. We stop commanding first, then have the peer end the lease. In an outage for all
 * no peer says yes, and everybody stays. */
static bool resign(struct rr_app *a, uint64_t tether) {
    for (size_t i = 0; i < a->cfg.npeers && !stopping(a); i++) {
        if (rr_peers_resign(a->peers, (int)i, tether, false)) {
            rr_log(RR_INFO_LEVEL,
                   "state service lost here alone: resigning session %" G_GUINT64_FORMAT, tether);
            set_session(a, 0, 0);
            rr_peers_resign(a->peers, (int)i, tether, true);
            return true;
        }
    }
    return false;
}

void *rr_duty_session(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_SESSION);
    rr_store *s = open_store(a);
    double life = rr_session_s(&a->cfg), step = life / 8 < 0.3 ? 0.3 : life / 8, since = 0;
    uint64_t tether = 0;
    double renewed = 0;
    while (!stopping(a)) {
        if (!tether) {
            if (take_session(a, s, &tether) != 0) {
                tether = 0;
                pause_for(a, 0.3);
                continue;
            }
            renewed = since = rr_now();
        }
        pause_for(a, step);
        int rc = renew(a, s, tether);
        renewed = rc == 0 ? rr_now() : renewed;
        if (rc == -ENOENT || session_lost(a, tether, since)) {
            rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " has ended", tether);
            set_session(a, 0, 0);
            tether = 0;
        } else if (rc != 0 && rr_now() - renewed > ALONE_S && !is_late(a) && resign(a, tether)) {
            tether = 0;
        }
    }
    if (tether) {
        rr_store_end_lease(s, tether);
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}

/* ---- terms ---- */

#define MINUTE_S 60.0
#define FREE_SHARE 0.05 /* of the memory there is may stay with the allocator */

static void log_minute(struct rr_app *a) {
    char line[160];
    rr_core_stats st;
    rr_stats_line(a->stats, line, sizeof line);
    pthread_mutex_lock(&a->lock);
    rr_core_get_stats(a->core, &st);
    pthread_mutex_unlock(&a->lock);
    rr_app_admission_log(a);
    char used[256];
    rr_usage_line(used, sizeof used);
    struct mallinfo2 heap = mallinfo2();
    rr_log(RR_INFO_LEVEL, "processor, last minute: %s; heap %.1f MB, %.1f of it free", used,
           (double)(heap.arena + heap.hblkhd) / 1e6, (double)heap.fordblks / 1e6);
    /* What a peak has left goes back. */
    if ((double)heap.fordblks > FREE_SHARE * a->cfg.ram_mb * 1e6) {
        malloc_trim(0);
    }
    rr_log(RR_INFO_LEVEL,
           "last minute: %s; %d connections, %u machines (%u not heard), %u jobs open, "
           "%u tasks placed, %u waiting, so far %u moves, %u machines rented, "
           "%u given up or returned, %u leases lost, %u notices",
           line, rr_door_open(a->door), st.machines, st.booting, st.jobs_open, st.tasks_placed,
           st.tasks_waiting, st.moves, st.rented, st.given_up, st.leases_lost, st.notices);
}

void *rr_duty_term(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_SESSION);
    rr_store *s = open_store(a);
    uint64_t seen = 0;
    double logged = rr_now();
    while (!stopping(a)) {
        if (rr_now() - logged >= MINUTE_S) {
            logged = rr_now();
            log_minute(a);
        }
        rr_txn t;
        uint64_t epoch;
        rr_txn_init(&t);
        pthread_mutex_lock(&a->lock);
        bool change = rr_core_next_term(a->core, rr_now(), rr_wall(), &t);
        uint64_t token = rr_core_token(a->core);
        unsigned live = rr_core_live(a->core);
        struct rr_shares shares;
        rr_core_shares(a->core, &shares);
        if (!change) {
            rr_app_wait(a, &a->mirrored, &a->lock, 1.0);
        }
        pthread_mutex_unlock(&a->lock);
        rr_budget_share(a->budget, &shares);
        if (token != seen) {
            seen = token;
            rr_log(RR_INFO_LEVEL, "term %" G_GUINT64_FORMAT " with %u controllers", token, live);
        }
        if (change) {
            enum rr_commit rc = rr_store_commit(s, RR_PRIO_SESSION, &t, 1.5, &epoch, NULL);
            if (rc == RR_COMMITTED || rc == RR_CONFLICT) {
                pthread_mutex_lock(&a->lock);
                rr_app_wait_epoch(a, epoch, rr_now() + 1);
                pthread_mutex_unlock(&a->lock);
            } else {
                pause_for(a, 0.3);
            }
        }
        rr_txn_clear(&t);
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}

/* ---- the mirror ---- */

struct row {
    const char *key;
    const msgpack_object *value; /* NULL: deleted */
    uint64_t mark;
};

static gint by_mark(gconstpointer a, gconstpointer b) {
    const struct row *x = a, *y = b;
    return x->mark < y->mark ? -1 : x->mark > y->mark;
}

static bool row_of(const msgpack_object *o, const char *name, char *key, size_t size,
                   uint64_t *mark) {
    return rr_get_text(o, name, key, size) && rr_get_u64(o, "mark", mark);
}

/* Puts a page's rows into the mirror. False: not a page. */
static bool put_rows(struct rr_app *a, const rr_doc *d, char *from, size_t size) {
    const msgpack_object *rows = rr_get(d->root, "rows");
    if (!rows || rows->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    pthread_mutex_lock(&a->lock);
    double now = rr_now();
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *o = &rows->via.array.ptr[i];
        uint64_t mark;
        if (row_of(o, "path", from, size, &mark) && rr_get(o, "v")) {
            rr_core_mirror_put(a->core, from, rr_get(o, "v"), mark, now);
        }
    }
    pthread_mutex_unlock(&a->lock);
    return true;
}

/* Page by page, so that a mirror of any size is never held twice. Nobody is shown half a state:
 * until the end nothing is decided, and answers wait for the revision. The changes since the first
 * page come with the watch; older marks never undo newer ones. */
static int reread(struct rr_app *a, rr_store *s) {
    double began = rr_now();
    char from[256] = "";
    uint64_t first = 0, last = 0;
    bool more = true;
    int rc = 0;
    pthread_mutex_lock(&a->lock);
    rr_core_mirror_begin(a->core);
    pthread_mutex_unlock(&a->lock);
    while (more && rc == 0 && !stopping(a)) {
        rr_doc d;
        uint64_t epoch = 0;
        rc = rr_store_list(s, RR_ROOT, from[0] ? from : NULL, &d);
        if (rc != 0) {
            break;
        }
        more = false;
        rr_get_bool(d.root, "more", &more);
        if (!rr_get_u64(d.root, "epoch", &epoch) || !put_rows(a, &d, from, sizeof from)) {
            rc = -EAGAIN;
        }
        rr_doc_clear(&d);
        first = first ? first : epoch;
        last = epoch > last ? epoch : last;
    }
    pthread_mutex_lock(&a->lock);
    if (rc == 0 && !stopping(a)) {
        rr_core_mirror_end(a->core, first, last, rr_now());
        rr_core_set_epoch(a->core, first);
        rr_core_set_fresh(a->core, began);
        pthread_cond_broadcast(&a->mirrored);
        rr_app_kick(a);
    }
    pthread_mutex_unlock(&a->lock);
    return rc;
}

/* The log comes in no promised order; a record may speak of an older one, so by mark. It answers a
 * request sent at `asked` and has every change made before. */
static int apply_log(struct rr_app *a, const rr_doc *d, double asked) {
    const msgpack_object *log = rr_get(d->root, "log");
    uint64_t epoch;
    if (!rr_get_u64(d->root, "epoch", &epoch) || (log && log->type != MSGPACK_OBJECT_ARRAY)) {
        return -EBADMSG;
    }
    uint32_t n = log ? log->via.array.size : 0;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct row));
    GStringChunk *keys = g_string_chunk_new(1024);
    for (uint32_t i = 0; i < n; i++) {
        const msgpack_object *o = &log->via.array.ptr[i];
        char key[256];
        struct row r = {0};
        bool put = rr_get(o, "put") != NULL;
        if (row_of(o, put ? "put" : "delete", key, sizeof key, &r.mark) &&
            (!put || rr_get(o, "v"))) {
            r.key = g_string_chunk_insert(keys, key);
            r.value = put ? rr_get(o, "v") : NULL;
            g_array_append_val(rows, r);
        }
    }
    g_array_sort(rows, by_mark);
    pthread_mutex_lock(&a->lock);
    double now = rr_now();
    for (guint i = 0; i < rows->len; i++) {
        const struct row *r = &g_array_index(rows, struct row, i);
        if (r->value) {
            rr_core_mirror_put(a->core, r->key, r->value, r->mark, now);
        } else {
            rr_core_mirror_delete(a->core, r->key, r->mark, now);
        }
    }
    rr_core_set_epoch(a->core, epoch);
    rr_core_set_fresh(a->core, asked);
    a->store_ok_at = now;
    pthread_cond_broadcast(&a->mirrored);
    if (rows->len) {
        rr_app_kick(a);
    }
    pthread_mutex_unlock(&a->lock);
    g_array_free(rows, TRUE);
    g_string_chunk_free(keys);
    return 0;
}

/* Short, since an open watch says nothing of the time since it was opened, and answers to workers
 * are bounded by how old the mirror may be. */
#define WATCH_MS 2000

void *rr_duty_watch(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_MIRROR);
    rr_store *s = open_store(a);
    bool loaded = false;
    double opened = 0;
    while (!stopping(a)) {
        rr_doc d;
        if (!loaded) {
            loaded = reread(a, s) == 0;
            if (!loaded) {
                pause_for(a, 0.3);
            }
            continue;
        }
        pthread_mutex_lock(&a->lock);
        uint64_t from = rr_core_epoch(a->core);
        unsigned live = rr_core_live(a->core);
        pthread_mutex_unlock(&a->lock);
        /* A watch ends with the first change, and the next one is a request: under load changes
         * gather, so that watches take a quarter of the limit of requests at most. */
        pause_for(a, opened + 4.0 * (live ? live : 1) / a->cfg.state_rps - rr_now());
        opened = rr_now();
        int rc = rr_store_watch(s, RR_ROOT, from, WATCH_MS, &d);
        if (rc == 0) {
            rc = apply_log(a, &d, opened);
            rr_doc_clear(&d);
        }
        if (rc == -ESTALE) {
            rr_log(RR_INFO_LEVEL, "mirror too old: reading all again");
            loaded = false;
        } else if (rc != 0) {
            pause_for(a, 0.25);
        }
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}

/* ---- users' commits and barriers ---- */

static void finish(struct rr_user_commit *u, enum rr_commit outcome) {
    u->outcome = outcome;
    u->finished = true;
    pthread_cond_signal(&u->done);
}

/* Whoever has waited for too long is told so, and not after one more transaction of others. */
static void drop_expired(struct rr_app *a) {
    struct rr_user_commit *u;
    double now = rr_now();
    while ((u = g_queue_peek_head(&a->commits)) && now > u->until) {
        g_queue_pop_head(&a->commits);
        finish(u, u->doubted ? RR_DOUBT : RR_REFUSED);
    }
}

static void take_batch(struct rr_app *a, struct rr_user_batch *b) {
    memset(b, 0, sizeof *b);
    pthread_mutex_lock(&a->user_lock);
    while (!stopping(a) && g_queue_is_empty(&a->commits)) {
        rr_app_wait(a, &a->commit_wake, &a->user_lock, 1.0);
    }
    drop_expired(a);
    while (!g_queue_is_empty(&a->commits) &&
           rr_user_batch_add(&a->cfg, b, g_queue_peek_head(&a->commits)) && b->n > 0) {
        g_queue_pop_head(&a->commits);
    }
    pthread_mutex_unlock(&a->user_lock);
}

static bool listed(const GPtrArray *failed, const char *key) {
    for (guint i = 0; i < failed->len; i++) {
        if (strcmp(g_ptr_array_index(failed, i), key) == 0) {
            return true;
        }
    }
    return false;
}

static void settle(struct rr_app *a, struct rr_user_commit **batch, guint n, enum rr_commit rc,
                   uint64_t epoch, const GPtrArray *failed, double took) {
    double now = rr_now();
    pthread_mutex_lock(&a->user_lock);
    a->pace = rc == RR_COMMITTED ? n / fmax(took, 0.001) : a->pace;
    for (guint i = 0; i < n; i++) {
        struct rr_user_commit *u = batch[i];
        u->epoch = epoch;
        u->doubted = u->doubted || rc == RR_DOUBT;
        /* A conflict names its keys; the others of the batch go again. */
        bool again = rc == RR_CONFLICT && n > 1 && !listed(failed, u->key);
        again =
            again || ((rc == RR_REFUSED || rc == RR_INVALID || rc == RR_DOUBT) && now < u->until);
        if (again && !stopping(a)) {
            g_queue_push_tail(&a->commits, u);
        } else {
            finish(u, rc);
        }
    }
    pthread_mutex_unlock(&a->user_lock);
}

void *rr_duty_committer(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_USERS);
    rr_store *s = open_store(a);
    struct rr_user_batch b;
    while (!stopping(a)) {
        take_batch(a, &b);
        if (b.n == 0) {
            continue;
        }
        rr_txn t;
        rr_txn_init(&t);
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        rr_user_batch_txn(&b, a->tether, &a->batches, &t);
        uint64_t epoch = 0;
        double began = rr_now();
        enum rr_commit rc = rr_store_commit(s, RR_PRIO_USER, &t, 1.0, &epoch, failed);
        rr_txn_clear(&t);
        pthread_mutex_lock(&a->lock);
        a->store_down = rc == RR_REFUSED || rc == RR_DOUBT;
        if (!a->store_down) {
            a->store_ok_at = rr_now();
        }
        pthread_mutex_unlock(&a->lock);
        settle(a, b.entries, b.n, rc, epoch, failed, rr_now() - began);
        g_ptr_array_free(failed, TRUE);
        if (rc == RR_REFUSED || rc == RR_INVALID || rc == RR_DOUBT) {
            pause_for(a, 0.1);
        }
    }
    pthread_mutex_lock(&a->user_lock);
    struct rr_user_commit *u;
    while ((u = g_queue_pop_head(&a->commits))) {
        finish(u, RR_REFUSED);
    }
    pthread_mutex_unlock(&a->user_lock);
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}

/* The group that has gathered when a read is due; the next one gathers from here on. NULL: nobody
 * waits. */
static struct rr_barrier *take_group(struct rr_app *a) {
    pthread_mutex_lock(&a->user_lock);
    struct rr_barrier *b = &a->barrier[a->gathers % 2];
    b = b->waiting > 0 ? b : NULL;
    a->gathers += b != NULL;
    pthread_mutex_unlock(&a->user_lock);
    return b;
}

static void wait_for_polls(struct rr_app *a) {
    pthread_mutex_lock(&a->user_lock);
    while (!stopping(a) && a->barrier[a->gathers % 2].waiting == 0) {
        rr_app_wait(a, &a->barrier_wake, &a->user_lock, 5.0);
    }
    pthread_mutex_unlock(&a->user_lock);
}

/* The mirror has all that was committed before this call. */
static bool mirror_is_current(struct rr_app *a, rr_store *s) {
    uint64_t epoch = 0;
    double until = rr_now() + 1.2;
    if (rr_store_epoch(s, &epoch, 0.8) != 0) {
        return false;
    }
    pthread_mutex_lock(&a->lock);
    bool ok = rr_core_loaded(a->core) && rr_app_wait_epoch(a, epoch, until);
    pthread_mutex_unlock(&a->lock);
    return ok;
}

/* One read of the store's revision serves all polls that were waiting when it was sent, and this
 * thread alone waits for the mirror to reach it: when each poll did, every change woke them all. */
void *rr_duty_barrier(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_USERS);
    rr_store *s = open_store(a);
    double last = 0;
    while (!stopping(a)) {
        wait_for_polls(a);
        pthread_mutex_lock(&a->lock);
        unsigned live = rr_core_live(a->core);
        pthread_mutex_unlock(&a->lock);
        /* Under load polls gather: reads take a sixth of the limit. */
        rr_sleep(last + 6.0 * (live ? live : 1) / a->cfg.state_rps - rr_now());
        struct rr_barrier *b = take_group(a);
        if (!b) {
            continue;
        }
        last = rr_now();
        bool ok = mirror_is_current(a, s);
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

/* ---- planning ---- */

static void queue_dos(struct rr_app *a, rr_plan *p) {
    for (guint i = 0; i < p->dos->len; i++) {
        rr_do *d = g_ptr_array_index(p->dos, i);
        g_queue_push_tail(d->doubtful ? &a->slow_queue : &a->do_queue, d);
        pthread_cond_signal(d->doubtful ? &a->slow_wake : &a->do_wake);
    }
    if (p->dos->len) {
        g_ptr_array_set_free_func(p->dos, NULL);
        g_ptr_array_set_size(p->dos, 0);
    }
}

/* Our own changes are in the mirror at once; those that others made first come with the watch. */
static uint64_t plan_outcome(struct rr_app *a, const rr_txn *t, enum rr_commit rc, uint64_t epoch) {
    if (rc == RR_COMMITTED) {
        pthread_mutex_lock(&a->lock);
        rr_core_apply(a->core, t, epoch, rr_now());
        pthread_mutex_unlock(&a->lock);
        return 0;
    }
    return rc == RR_CONFLICT ? epoch : 0;
}

#define SUSPECTS_S 2.0

static void tell_suspects(struct rr_app *a, double *told) {
    if (rr_now() - *told < SUSPECTS_S) {
        return;
    }
    *told = rr_now();
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_lock(&a->lock);
    rr_core_suspects(a->core, rr_now(), names);
    pthread_mutex_unlock(&a->lock);
    rr_peers_suspects(a->peers, names);
    g_ptr_array_free(names, TRUE);
}

#define FEW 3
#define FEW_S 0.3
#define PAUSE_SHARE 0.0125 /* of a report interval, as links gather: news comes no faster */
#define PAUSE_FACTOR 12    /* a plan's time goes into the pause after it so many times, */
#define LAG_FACTOR 4
#define LAG_PAUSE_S 1.0
#define PAUSE_MAX_S 0.25 /* up to this: under load planning takes a bounded share */

void *rr_duty_planner(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_PLANNER);
    rr_store *s = open_store(a);
    uint64_t kicks = 0, need = 0;
    double least = fmax(a->cfg.tune.plan_pause_ms / 1000, PAUSE_SHARE * a->cfg.report_s);
    double told = 0, committed = 0, pause = 0;
    while (!stopping(a)) {
        rr_plan p;
        rr_plan_init(&p);
        pthread_mutex_lock(&a->lock);
        if (a->kicks == kicks) {
            rr_app_wait(a, &a->work, &a->lock, 0.5);
        }
        kicks = a->kicks;
        /* After a conflict, until the mirror shows what came first. */
        if (rr_app_wait_epoch(a, need, rr_now() + 1)) {
            int changes = rr_budget_changes(a->budget);
            /* Few at a time cost a request each. */
            changes = changes < FEW && rr_now() - committed < FEW_S ? 0 : changes;
            rr_core_set_pressure(a->core, rr_budget_pressure(a->budget), changes);
            double began = rr_now();
            rr_core_plan(a->core, began, rr_wall(), &p);
            queue_dos(a, &p);
            pause = fmin(PAUSE_FACTOR * (rr_now() - began), PAUSE_MAX_S);
        }
        pthread_mutex_unlock(&a->lock);
        if (p.has_txn) {
            uint64_t epoch = 0;
            enum rr_commit rc = rr_app_commit(a, s, RR_PRIO_PLAN, &p.txn, &epoch);
            need = plan_outcome(a, &p.txn, rc, epoch);
            committed = rr_now();
            if (rc == RR_COMMITTED) {
                kicks--; /* what it booked is to be started */
            } else if (rc != RR_CONFLICT) {
                rr_log(RR_DEBUG_LEVEL, "plan not committed");
                pause_for(a, 0.2);
            }
        }
        rr_plan_clear(&p);
        tell_suspects(a, &told);
        /* Behind with its work it plans less: reports and commands come before it. */
        double lag = fmin(LAG_FACTOR * atomic_load(&a->lag_ms) / 1000.0, LAG_PAUSE_S);
        pause_for(a, fmax(least, fmax(pause, lag)));
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}

/* ---- the door ---- */

/* Nobody is let in before there is something to tell them: in term, with the mirror read. After a
 * crash of all controllers every worker and user came at once to processes that could only refuse
 * them, and come again a second later; each refusal cost a connection and its thread, and the
 * reading of the mirror waited for the processor beside them. A refused connection costs nothing,
 * and sends users and workers to the next controller all the same. In an outage of the state
 * service users are to be told, so that the door opens after a session's time at the latest. */
void *rr_duty_door(void *app) {
    struct rr_app *a = app;
    double until = rr_now() + rr_session_s(&a->cfg);
    pthread_mutex_lock(&a->lock);
    while (!stopping(a) && !rr_core_entitled(a->core, rr_now()) && rr_now() < until) {
        rr_app_wait(a, &a->mirrored, &a->lock, until - rr_now());
    }
    pthread_mutex_unlock(&a->lock);
    int rc;
    while (!stopping(a) && (rc = rr_door_listen(a->door)) != 0) {
        rr_log(RR_ERROR_LEVEL, "bind: can't listen: %s", strerror(-rc));
        pause_for(a, 1);
    }
    return NULL;
}

/* ---- commands to workers ---- */

/* Takes an answer's body as a report, which vouches for the machine. True if it was one. */
static bool take_answer(struct rr_app *a, const void *body, size_t len, int via, bool share) {
    rr_doc doc;
    rr_report r;
    rr_heard h = {0};
    uint32_t wanted = 0, rare = 0;
    bool ok = false;
    if (rr_doc_parse(&doc, body, len) == 0) {
        ok = rr_report_decode(doc.root, &r) == 0;
        if (ok) {
            h = (rr_heard){
                .worker_epoch = r.worker_epoch, .sequence = r.sequence, .hash = rr_report_hash(&r)};
            g_strlcpy(h.machine, r.machine, sizeof h.machine);
            pthread_mutex_lock(&a->lock);
            share = rr_core_take_answer(a->core, rr_now(), &r, via) && share;
            wanted = rr_core_wanted_by(a->core, h.machine, &rare);
            pthread_mutex_unlock(&a->lock);
        }
        rr_report_clear(&r);
    }
    rr_doc_clear(&doc);
    if (ok && share) {
        rr_peers_report(a->peers, wanted, rare, &h, body, len);
    }
    return ok;
}

#define COMMAND_S 2.0
#define PROBE_S 0.8

/* Without orders it is a probe: a command that does nothing, but brings the present token. What it
 * hears the others hear. */
static void send_do(struct rr_app *a, rr_client *client, const rr_do *d) {
    rr_out o;
    bool probe = d->orders->len == 0;
    double limit = probe ? PROBE_S : COMMAND_S;
    rr_reply reply = {0};
    rr_relayed relayed = {0};
    bool ok = false;
    long status = 0;
    int rc = -ENOTCONN, via = d->via;
    rr_out_init(&o);
    rr_orders_encode(&o, d->fencing_token, d->worker_epoch, d->orders);
    if (via < 0) {
        /* Never heard, its worker_epoch is not known: only its status can be asked. */
        bool ask = probe && d->worker_epoch == 0;
        rc = rr_worker_call(client, d->addr, ask ? NULL : o.buf.data, ask ? 0 : o.buf.size, limit,
                            &reply);
        /* Only what surely was not sent may go another way. */
        if (rc == -ENOTCONN && d->fallback >= 0) {
            via = d->fallback;
        } else if (rc == 0) {
            status = reply.status;
            ok = take_answer(a, reply.body->data, reply.body->len, -1, probe);
        }
    }
    if (via >= 0) {
        rc = rr_peers_relay(a->peers, via, d->addr, o.buf.data, o.buf.size, limit, &relayed);
        if (rc == 0) {
            status = relayed.status;
            ok = take_answer(a, relayed.body->data, relayed.body->len, via, false);
        }
    }
    enum rr_do_outcome outcome = rc == -ENOTCONN ? RR_DO_NOT_SENT
                                 : rc == 0 && ok && (status == 200 || status == 409)
                                     ? RR_DO_ANSWERED
                                     : RR_DO_DOUBT;
    rr_log(RR_DEBUG_LEVEL, "do %s: %u orders, via %d: %s %ld", d->machine, d->orders->len, via,
           outcome == RR_DO_ANSWERED ? "answered"
           : outcome == RR_DO_DOUBT  ? "in doubt"
                                     : "not sent",
           status);
    pthread_mutex_lock(&a->lock);
    rr_core_do_result(a->core, rr_now(), d, outcome, status == 200);
    rr_app_kick(a);
    pthread_mutex_unlock(&a->lock);
    if (relayed.body) {
        g_byte_array_free(relayed.body, TRUE);
    }
    rr_out_clear(&o);
}

static void send_from(struct rr_app *a, GQueue *queue, pthread_cond_t *wake) {
    rr_usage_enter(RR_USE_SENDERS);
    rr_client *client = rr_client_create(&a->stop);
    while (!stopping(a) && client) {
        pthread_mutex_lock(&a->lock);
        while (!stopping(a) && g_queue_is_empty(queue)) {
            rr_app_wait(a, wake, &a->lock, 5.0);
        }
        rr_do *d = g_queue_pop_head(queue);
        pthread_mutex_unlock(&a->lock);
        if (d) {
            send_do(a, client, d);
            rr_do_free(d);
        }
    }
    rr_client_destroy(client);
    rr_usage_leave();
}

void *rr_duty_sender(void *app) {
    struct rr_app *a = app;
    send_from(a, &a->do_queue, &a->do_wake);
    return NULL;
}

void *rr_duty_slow_sender(void *app) {
    struct rr_app *a = app;
    send_from(a, &a->slow_queue, &a->slow_wake);
    return NULL;
}

/* ---- renting ---- */

static void build_clear(gpointer b) {
    rr_build_clear(b);
}

static int do_catalog(struct rr_app *a, rr_cloud *cloud) {
    GArray *builds = g_array_new(FALSE, TRUE, sizeof(rr_build));
    g_array_set_clear_func(builds, build_clear);
    int rc = rr_cloud_catalog(cloud, builds);
    if (rc == 0) {
        pthread_mutex_lock(&a->lock);
        rr_core_catalog(a->core, rr_now(), builds);
        pthread_mutex_unlock(&a->lock);
    }
    g_array_free(builds, TRUE);
    return rc;
}

static int do_list(struct rr_app *a, rr_cloud *cloud) {
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(rr_listed_machine));
    double asked = rr_now();
    int rc = rr_cloud_list(cloud, machines);
    if (rc == 0) {
        pthread_mutex_lock(&a->lock);
        rr_core_listed(a->core, asked, rr_now(), rr_wall(), machines);
        pthread_mutex_unlock(&a->lock);
    }
    g_array_free(machines, TRUE);
    return rc;
}

static int do_rental(struct rr_app *a, rr_cloud *cloud, const rr_step *step) {
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    int status;
    int rc = rr_cloud_rental(cloud, step->rental, step->build, step->zone, step->spot,
                             step->how_many, &status, ids);
    pthread_mutex_lock(&a->lock);
    rr_core_rented(a->core, rr_now(), step, status, ids);
    pthread_mutex_unlock(&a->lock);
    g_ptr_array_free(ids, TRUE);
    return status == 503 ? 0 : rc;
}

static int do_release(struct rr_app *a, rr_cloud *cloud, const rr_step *step) {
    int rc = rr_cloud_release(cloud, step->machines);
    if (rc == 0) {
        pthread_mutex_lock(&a->lock);
        rr_core_released(a->core, rr_now(), step->machines);
        pthread_mutex_unlock(&a->lock);
    }
    return rc;
}

static int do_step(struct rr_app *a, rr_store *s, rr_cloud *cloud, const rr_step *step,
                   uint64_t *need) {
    uint64_t epoch;
    enum rr_commit rc;
    switch (step->kind) {
    case RR_STEP_CATALOG:
        return do_catalog(a, cloud);
    case RR_STEP_LIST:
        return do_list(a, cloud);
    case RR_STEP_RENT:
        return do_rental(a, cloud, step);
    case RR_STEP_RELEASE:
        return do_release(a, cloud, step);
    case RR_STEP_TXN:
        rc = rr_app_commit(a, s, RR_PRIO_STEWARD, &step->txn, &epoch);
        if (rc != RR_COMMITTED && rc != RR_CONFLICT) {
            return -EAGAIN;
        }
        rr_log(RR_DEBUG_LEVEL, "provisioner: %u records %s", step->txn.changes->len,
               rc == RR_COMMITTED ? "written" : "in conflict");
        *need = epoch;
        return 0;
    default:
        return 0;
    }
}

void *rr_duty_provisioner(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USE_STEWARD);
    rr_store *s = open_store(a);
    rr_cloud *cloud = rr_cloud_create(&a->cfg.cloud, a->cfg.cloud_rps, &a->stop);
    uint64_t need = 0;
    while (!stopping(a)) {
        rr_step step;
        rr_step_init(&step);
        pthread_mutex_lock(&a->lock);
        if (rr_app_wait_epoch(a, need, rr_now() + 1)) {
            rr_core_provisioner_step(a->core, rr_now(), rr_wall(), &step);
        }
        if (step.kind == RR_STEP_NONE) {
            rr_app_wait(a, &a->mirrored, &a->lock, 0.3);
        }
        pthread_mutex_unlock(&a->lock);
        int rc = do_step(a, s, cloud, &step, &need);
        if (rc != 0) {
            rr_log(RR_DEBUG_LEVEL, "provisioner step %d: %s", (int)step.kind, strerror(-rc));
            /* Jitter keeps two nodes from knocking in step. */
            pause_for(a, 0.3 + g_random_double_range(0, 0.4));
        }
        rr_step_clear(&step);
    }
    rr_cloud_destroy(cloud);
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}
