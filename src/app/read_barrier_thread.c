#include "app/read_barrier.h"
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#define POLL_WAIT_MAX_S 1.6 /* users wait 2 s for an answer */
#define REVISION_TIMEOUT_S 0.8
/* Longest wait for the store cache to reach the revision, from the start of the revision's read. */
#define CACHE_WAIT_MAX_S 1.2
#define IDLE_WAIT_S 5.0 /* longest wait for polls before the stop is checked again */
/* Over all controllers, reads of the revision use one in so many requests of the store's request
 * limit. */
#define REQUESTS_PER_READ 6.0

void rr_read_barriers_init(struct rr_app *app) {
    rr_app_cond_init(&app->barrier_wake);
    rr_app_cond_init(&app->read_barriers[0].group_served_cond);
    rr_app_cond_init(&app->read_barriers[1].group_served_cond);
    app->gathering_group = 1;
}

bool rr_read_barrier_wait(struct rr_app *app) {
    double deadline = rr_steady_clock_s() + POLL_WAIT_MAX_S;
    pthread_mutex_lock(&app->user_lock);
    uint64_t group = app->gathering_group;
    struct rr_read_barrier *barrier = &app->read_barriers[group % 2];
    barrier->group = group;
    if (barrier->waiting_polls++ == 0) {
        pthread_cond_signal(&app->barrier_wake);
    }
    while (!rr_app_is_stopping(app) && barrier->served_group < group &&
           rr_steady_clock_s() < deadline) {
        rr_app_cond_timedwait(&barrier->group_served_cond, &app->user_lock,
                              deadline - rr_steady_clock_s());
    }
    /* A later group may have been served by this barrier meanwhile; its read is newer, so its
     * result is valid for this poll, too. */
    bool succeeded = barrier->served_group >= group && barrier->succeeded;
    pthread_mutex_unlock(&app->user_lock);
    return succeeded;
}

/* Waits until a poll joins the gathering group or the process is stopping. */
static void wait_for_polls(struct rr_app *app) {
    pthread_mutex_lock(&app->user_lock);
    while (!rr_app_is_stopping(app) &&
           app->read_barriers[app->gathering_group % 2].waiting_polls == 0) {
        rr_app_cond_timedwait(&app->barrier_wake, &app->user_lock, IDLE_WAIT_S);
    }
    pthread_mutex_unlock(&app->user_lock);
}

/* Waits until this controller's share of the store's request limit allows another read; polls
 * gather meanwhile. read_at: time of the previous read, steady clock. */
static void wait_until_next_read_allowed(struct rr_app *app, double read_at) {
    pthread_mutex_lock(&app->lock);
    unsigned controllers = rr_core_count_members(app->core);
    pthread_mutex_unlock(&app->lock);
    rr_sleep(read_at + REQUESTS_PER_READ * (controllers ? controllers : 1) / app->config.store_rps -
             rr_steady_clock_s());
}

/* Closes the gathering group and opens the next one. Returns the closed group's barrier, or NULL if
 * no poll waits. */
static struct rr_read_barrier *close_gathering_group(struct rr_app *app) {
    pthread_mutex_lock(&app->user_lock);
    struct rr_read_barrier *barrier = &app->read_barriers[app->gathering_group % 2];
    barrier = barrier->waiting_polls > 0 ? barrier : NULL;
    app->gathering_group += barrier != NULL;
    pthread_mutex_unlock(&app->user_lock);
    return barrier;
}

/* Waits until the store cache has every change that was committed before this call. Returns false
 * if the store did not answer or the cache did not catch up in time. */
static bool wait_until_cache_is_current(struct rr_app *app, rr_store *store) {
    uint64_t revision = 0;
    double deadline = rr_steady_clock_s() + CACHE_WAIT_MAX_S;
    if (rr_store_get_revision(store, &revision, REVISION_TIMEOUT_S) != 0) {
        return false;
    }
    pthread_mutex_lock(&app->lock);
    bool succeeded =
        rr_core_cache_loaded(app->core) && rr_app_wait_for_revision(app, revision, deadline);
    pthread_mutex_unlock(&app->lock);
    return succeeded;
}

/* Wakes the polls of the barrier's group with the result. */
static void release_polls(struct rr_app *app, struct rr_read_barrier *barrier, bool succeeded) {
    pthread_mutex_lock(&app->user_lock);
    barrier->served_group = barrier->group;
    barrier->succeeded = succeeded;
    barrier->waiting_polls = 0;
    pthread_cond_broadcast(&barrier->group_served_cond);
    pthread_mutex_unlock(&app->user_lock);
}

/* Only this thread waits for the store cache. If every poll did, each change would wake all of
 * them. */
void *rr_read_barrier_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_USERS);
    rr_store *store = rr_app_create_store_client(app);
    double read_at = 0;
    while (!rr_app_is_stopping(app)) {
        wait_for_polls(app);
        wait_until_next_read_allowed(app, read_at);
        struct rr_read_barrier *barrier = close_gathering_group(app);
        if (barrier) {
            read_at = rr_steady_clock_s();
            release_polls(app, barrier, wait_until_cache_is_current(app, store));
        }
    }
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
