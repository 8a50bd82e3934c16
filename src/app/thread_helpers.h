/* Helpers shared by the threads and the request handlers: sleeps and waits that notice when the
 * process stops, store clients, and transactions that are retried until their outcome is known.
 * Every wait is bounded. Steady times and durations are in seconds. */
#ifndef RR_APP_THREAD_HELPERS_H
#define RR_APP_THREAD_HELPERS_H

#include "app/app.h"
#include "core/state/transaction.h"

/* Returns whether the process is stopping; threads return soon after. */
bool rr_app_is_stopping(const struct rr_app *app);
/* Sleeps in slices until `seconds` have passed or the process stops. Records how late each slice
 * ended, as a measure of missing processor time, and reports large delays to the core. Takes
 * `lock`; caller holds no lock. */
void rr_app_pause(struct rr_app *app, double seconds);

/* Initialises a condition variable whose timeouts are measured with the steady clock. */
void rr_app_cond_init(pthread_cond_t *condition);
/* Waits for the condition for at most `seconds`; may wake spuriously. Caller holds the mutex. */
void rr_app_cond_timedwait(pthread_cond_t *condition, pthread_mutex_t *mutex, double seconds);
/* Wakes the planner thread. Caller holds `lock`. */
void rr_app_wake_planner(struct rr_app *app);
/* Waits until the store cache has reached the revision. Returns false if that has not happened by
 * the steady time `until`, or the process is stopping. Caller holds `lock`. */
bool rr_app_wait_for_revision(struct rr_app *app, uint64_t revision, double until);

/* Creates a store client for the calling thread, which destroys it with rr_store_destroy(). NULL if
 * no HTTP client can be created. */
rr_store *rr_app_create_store_client(struct rr_app *app);
/* Commits a transaction, retrying until an attempt is answered. Takes `lock`; caller holds no lock.
 *
 * RR_COMMIT_CONFLICT: an earlier attempt, which got no answer, may have been executed and have
 * caused the conflict. The store cache shows this once it has reached *revision, the store's; no
 * caller may conclude from the conflict alone that nothing was written.
 * RR_COMMIT_OUTCOME_UNKNOWN: an attempt got no answer, and the transaction can't be sent again as
 * it is beyond the store's limits (a new term then keeps it from being executed later, and the
 * store cache shows the outcome once it has reached that term), or the process is stopping.
 * RR_COMMIT_REFUSED, RR_COMMIT_INVALID: no attempt was executed. RR_COMMIT_DONE: *revision is the
 * transaction's. */
enum rr_commit_status rr_app_commit_with_retry(struct rr_app *app, rr_store *store,
                                               enum rr_request_priority priority,
                                               const rr_transaction *transaction,
                                               uint64_t *revision);
/* Applies the changes of a committed transaction to the store cache before the watch brings them;
 * does nothing unless `outcome` is RR_COMMIT_DONE. Caller holds `lock`. */
void rr_app_apply_committed_transaction(struct rr_app *app, const rr_transaction *transaction,
                                        enum rr_commit_status outcome, uint64_t revision);

#endif
