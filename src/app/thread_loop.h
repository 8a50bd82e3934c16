/* Helpers that the long-lived threads and the request handlers share: pauses and waits that notice
 * the process's stop, store clients, and transactions that are repeated until their outcome is
 * known. Every wait is bounded. */
#ifndef RR_APP_THREAD_LOOP_H
#define RR_APP_THREAD_LOOP_H

#include "app/app.h"
#include "core/state/transaction.h"

/* Whether the process is stopping; threads return soon after. */
bool rr_app_stopping(const struct rr_app *app);
/* Sleeps in slices until `seconds` have passed or the process stops. Records how late each slice
 * ended, as a measure of missing processor time, and reports large delays to the core. Takes
 * `lock`; caller holds no lock. */
void rr_app_pause(struct rr_app *app, double seconds);

/* Initialises a condition variable that waits by the steady clock. */
void rr_app_cond_init(pthread_cond_t *condition);
/* Waits for the condition for at most `seconds`. Caller holds the mutex. */
void rr_app_cond_wait(pthread_cond_t *condition, pthread_mutex_t *mutex, double seconds);
/* Wakes the planner thread. Caller holds `lock`. */
void rr_app_wake_planner(struct rr_app *app);
/* Waits until the store cache has reached the revision. False: not by the steady time `until`, or
 * the process is stopping. Caller holds `lock`. */
bool rr_app_wait_revision(struct rr_app *app, uint64_t revision, double until);

/* Creates a store client for the calling thread, which destroys it with rr_store_destroy(). */
rr_store *rr_app_open_store(struct rr_app *app);
/* Commits a transaction, repeated until its outcome is certain. Returns RR_COMMIT_OUTCOME_UNKNOWN
 * or RR_COMMIT_REFUSED only if the process is stopping or no attempt can have been carried out.
 * *revision: of the transaction; after a conflict, of the store. Takes `lock`; caller holds no
 * lock.
 */
enum rr_commit_status rr_app_commit(struct rr_app *app, rr_store *store,
                                    enum rr_request_priority priority,
                                    const rr_transaction *transaction, uint64_t *revision);
/* Puts the changes of a committed transaction into the store cache, ahead of the watch; does
 * nothing with another outcome. Caller holds `lock`. */
void rr_app_apply_committed(struct rr_app *app, const rr_transaction *transaction,
                            enum rr_commit_status outcome, uint64_t revision);

#endif
