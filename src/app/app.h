/* The shell round the core: one process's state, and the threads that run on it. */
#ifndef RR_APP_APP_H
#define RR_APP_APP_H

#include "admission/settings.h"
#include "cells/settings.h"
#include "cells/transfers.h"
#include "core/core.h"
#include "core/state/transaction.h"
#include "core/submissions.h"
#include "http/server.h"
#include "peer/peer.h"
#include "app/stats.h"
#include "store/store.h"

#include <pthread.h>

struct rr_app {
    struct rr_config config;
    atomic_bool stop;
    atomic_int lag_ms; /* how late pauses have ended lately: 0 with time enough */

    /* The core and everything below, down to the next blank line, is under `lock`. No I/O under it.
     */
    pthread_mutex_t lock;
    pthread_cond_t cache_advanced; /* the store cache moved on */
    pthread_cond_t work;           /* planner and autoscaler have something to look at */
    rr_core *core;
    uint64_t wake_count; /* counts wakes of `work` */
    bool planning;       /* a plan is made and its outcome not known yet */
    bool store_down;     /* the last call of a user's request to the store failed */
    double store_ok_at;
    /* rr_command_batch*: commands, and those that may well go unanswered, which must not hold up
     * the others.
     */
    GQueue command_queue, slow_command_queue;
    pthread_cond_t command_wake, slow_command_wake;

    /* Commits for users, and polls that wait for a barrier: under `user_lock`. */
    pthread_mutex_t user_lock;
    pthread_cond_t commit_wake;  /* the committer has work */
    pthread_cond_t barrier_wake; /* the barrier has work */
    GQueue commits;              /* struct rr_user_commit* */
    double commit_rate;   /* of them were served a second by the last transaction, 0: none yet */
    uint64_t batch_count; /* written so far */
    uint64_t lease_id;    /* of our session: batches' keys are unique by it */
    /* Polls wait in groups, each for one read of the store's revision and for the store cache to
     * reach it: one group is served while the next gathers, so that two are enough. Whoever waits
     * is woken once, with its group. */
    struct rr_read_barrier {
        uint64_t number; /* of the group that gathers or is served here */
        uint64_t served; /* the last one that was, */
        bool ok;         /* and whether it succeeded */
        unsigned waiting;
        pthread_cond_t done;
    } barrier[2];
    uint64_t gathering_group; /* the group that gathers now */

    rr_admission_settings admission_settings; /* cleared by rr_app_stop() */
    struct rr_app_admission *admission;       /* NULL: switched off */
    rr_cells_settings cells_settings;         /* cleared by rr_app_stop() */
    struct rr_app_cells *cells;               /* NULL: switched off */
    rr_budget *budget;
    rr_stats *stats;
    rr_peers *peers;
    rr_http_server *http_server;
    pthread_t threads[160], startup_thread; /* opener: opens the HTTP server, and ends */
    int thread_count;
    bool startup_running;
};

#define RR_SUBMISSION_WAIT_S 1.5 /* a new job waits for its transaction this long at most */
#define RR_USER_BATCH_MAX 96     /* users' changes in one transaction */

/* A user's change waiting for its transaction. */
struct rr_user_commit {
    char key[96];
    rr_encoder value;
    uint64_t version;  /* guard */
    char also_key[96]; /* another record that must be unchanged; empty: none */
    uint64_t also_version;
    double deadline;     /* given up after */
    pthread_cond_t done; /* finished is set */
    uint64_t revision;
    enum rr_commit_status status;
    bool is_submission; /* a new job, which may share a record with others */
    bool finished;
    bool outcome_unknown; /* an earlier try went unanswered */
};

/* Many threads, little memory: few arenas, and freed pages go back. Before any thread starts. */
void rr_app_memory(void);
/* How many connections the settings leave room for. */
int rr_app_connections(const struct rr_config *config);
/* 0; -errno if something could not be started (then nothing runs). */
int rr_app_start(struct rr_app *app);
void rr_app_stop(struct rr_app *app);

/* Wakes planner and autoscaler; caller holds `lock`. */
void rr_app_wake(struct rr_app *app);
/* Waits until the store cache has reached epoch. Caller holds `lock`. */
bool rr_app_wait_revision(struct rr_app *app, uint64_t revision, double until);
void rr_app_wait(struct rr_app *app, pthread_cond_t *condition, pthread_mutex_t *mutex,
                 double seconds);
void rr_app_cond_init(pthread_cond_t *condition); /* by the steady clock */
/* Repeats a transaction until its outcome is certain; see thread_loop.c. */
enum rr_commit_status rr_app_commit(struct rr_app *app, rr_store *store,
                                    enum rr_request_priority prio,
                                    const rr_transaction *transaction, uint64_t *revision);
/* A report that a peer has passed on. */
void rr_app_take_heartbeat(struct rr_app *app, const void *body, size_t length, int via,
                           unsigned hops);

/* admission_thread.c. All do nothing where admission is switched off. */
int rr_app_admission_start(struct rr_app *app); /* before the threads; 0 or -errno */
void rr_app_admission_stop(struct rr_app *app); /* after they have ended */
/* Whether a valid submission of an unknown job is admitted; if not, when to come back. */
bool rr_app_admission_ask(struct rr_app *app, const rr_submission *submission, int *retry_after_s);
void rr_app_admission_accepted(struct rr_app *app, const rr_submission *submission);
/* A peer's view of the demand. */
void rr_app_admission_take_demand(struct rr_app *app, int peer, const void *data, size_t length);
void rr_app_admission_log(struct rr_app *app);
void *rr_admission_thread(void *app);

/* cells_thread.c. All do nothing where cells are switched off. */
int rr_app_cells_start(struct rr_app *app); /* before the threads that read records; 0 or -errno */
void rr_app_cells_join(struct rr_app *app); /* after the stop: its threads end */
void rr_app_cells_stop(struct rr_app *app); /* after the core's end */
void rr_app_cells_log(struct rr_app *app);
/* A job that is not known here: what the other cells say. False: none of them knows it. */
bool rr_app_cells_relay(struct rr_app *app, bool cancel, const char *job_id,
                        struct rr_http_response *response);
/* What a neighbour says of a job of ours that it holds, added to the view. False: it can't be
 * asked.
 */
bool rr_app_cells_view_transferred(struct rr_app *app, const char *job_id, rr_job_view *view);
/* What stands between a cancellation and its record. Not FREE: when to come back; WITHDRAW: *u is
 * to be committed, which takes the job back. */
enum rr_cancel_first rr_app_cells_cancel(struct rr_app *app, const char *job_id,
                                         struct rr_user_commit *commit, int *retry_after_s);

/* Guards a cancellation by the job's transfer. False: it is away, or was a moment ago. The core's
 * lock is held. */
bool rr_app_cells_guard_cancel(const struct rr_app *app, const char *job_id,
                               struct rr_user_commit *commit);

/* request_handlers.c */
void rr_app_handle(void *user, const struct rr_http_request *request,
                   struct rr_http_response *response);
/* A cancellation that is confirmed: the other controllers stop the job's tasks in their answers. */
void rr_app_announce_cancellation(struct rr_app *app, const char *job_id);
void rr_app_refuse(struct rr_http_response *response, int status, const char *why,
                   int retry_after_s);
/* A user's requests for a job, answered by what this cell alone knows. */
void rr_app_poll_here(struct rr_app *app, const char *job_id, struct rr_http_response *response);
void rr_app_cancel_here(struct rr_app *app, const char *job_id, struct rr_http_response *response);

/* threads: one thread each */
void *rr_session_thread(void *app);
void *rr_membership_thread(void *app);
void *rr_watch_thread(void *app);
void *rr_commit_thread(void *app);
void *rr_read_barrier_thread(void *app);
void *rr_planner_thread(void *app);
void *rr_autoscaler_thread(void *app);
void *rr_startup_thread(void *app);
void *rr_command_thread(void *app);
void *rr_slow_command_thread(void *app);

#endif
