/* The key-value store: budgets, transactions, leases, reads. A client object belongs to one thread;
 * the budget is shared by all threads of the process and locks itself. */
#ifndef RR_STORE_STORE_H
#define RR_STORE_STORE_H

#include "core/leadership.h"
#include "core/state/transaction.h"
#include "net/client.h"
#include "wire/wire.h"

/* Who goes first when the budget is short. */
enum rr_request_priority {
    RR_REQUEST_SESSION,
    RR_REQUEST_USER,
    RR_REQUEST_READ,
    RR_REQUEST_PLAN,
    RR_REQUEST_AUTOSCALER
};

typedef struct rr_budget rr_budget;
rr_budget *rr_budget_create(double rps, double write_rps);
void rr_budget_destroy(rr_budget *budget);
/* Our parts of the service's limits. */
void rr_budget_set_shares(rr_budget *budget, const struct rr_budget_shares *shares);
/* The limits that the service will have from some moment on. The present ones are used up to until
 * refusals, or a valid transaction that it calls invalid, show that the next ones hold. */
void rr_budget_set_next_limits(rr_budget *budget, double rps, double write_rps);
void rr_budget_request_refused(rr_budget *budget); /* a request got 429 */
void rr_budget_next_limits_hold(rr_budget *budget);
/* For plans. 0: a second's worth of changes is to spare; 1: none. */
double rr_budget_pressure(rr_budget *budget);
int rr_budget_changes(rr_budget *budget); /* that a plan may make now without waiting */
/* Waits up to wait_s for one request with `writes` changes. 0 or -EAGAIN. */
int rr_budget_take(rr_budget *budget, enum rr_request_priority prio, int writes, double wait_s);

typedef struct rr_store rr_store;
rr_store *rr_store_create(const struct rr_endpoint *endpoint, rr_budget *budget,
                          const atomic_bool *stop);
void rr_store_destroy(rr_store *store);

/* Outcome of a transaction. */
enum rr_commit_status {
    RR_COMMIT_DONE,
    RR_COMMIT_CONFLICT,
    RR_COMMIT_REFUSED,
    RR_COMMIT_OUTCOME_UNKNOWN,
    RR_COMMIT_NO_LEASE,
    RR_COMMIT_INVALID
};
/* One try. RR_COMMIT_REFUSED: not executed. RR_COMMIT_INVALID: nor will it be, as it is beyond the
 * limits. RR_COMMIT_OUTCOME_UNKNOWN: it may have been or may still be. *epoch is set with the first
 * two. failed, if given, gets the keys whose guards did not hold. */
enum rr_commit_status rr_store_commit(rr_store *store, enum rr_request_priority prio,
                                      const rr_transaction *transaction, double timeout_s,
                                      uint64_t *revision, GPtrArray *failed);

int rr_store_revision(rr_store *store, uint64_t *revision, double timeout_s);
/* 0 with the value in *doc and its version and lease; -ENOENT; -EAGAIN: no answer. */
int rr_store_get(rr_store *store, const char *key, rr_document *document, uint64_t *version,
                 uint64_t *lease_id);
/* A prefix in full, page by page. */
typedef struct {
    bool more; /* true at first */
    char from_key[256];
    uint64_t revision; /* of the last page */
} rr_store_cursor;
/* 0 with the page in *doc, to be handed to rr_store_each_row() and cleared; -EAGAIN. */
int rr_store_next_page(rr_store *store, const char *prefix, rr_store_cursor *cursor,
                       rr_document *document);
typedef void (*rr_store_row_fn)(void *user, const char *key, const msgpack_object *value,
                                uint64_t version);
void rr_store_each_row(const rr_document *document, rr_store_cursor *cursor,
                       rr_store_row_fn callback, void *user);
/* -ESTALE: too old (410). */
int rr_store_watch(rr_store *store, const char *prefix, uint64_t from, int hold_ms,
                   rr_document *document);

int rr_store_grant_lease(rr_store *store, double life_s, uint64_t *lease_id);
/* 0, -ENOENT (ended), -EAGAIN (no answer or refused). */
int rr_store_renew_lease(rr_store *store, uint64_t lease_id);
int rr_store_end_lease(rr_store *store, uint64_t lease_id);

#endif
