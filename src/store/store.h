/* The client of the key-value store: transactions, reads, watches and leases. A client belongs to
 * one thread and takes no lock. Every call blocks, first until the rate limiter (the budget, which
 * threads share) allows the request, then until the store replies. */
#ifndef RR_STORE_STORE_H
#define RR_STORE_STORE_H

#include "core/leadership.h"
#include "core/state/transaction.h"
#include "net/client.h"
#include "store/budget.h"
#include "wire/wire.h"

/* Buffer size for a key, which has at most 200 bytes by the protocol, and its terminating zero. */
#define RR_STORE_KEY_SIZE 256

typedef struct rr_store rr_store;

/* Creates a client, which the caller owns. The budget and the stop flag are borrowed and have to
 * outlive the client; setting the flag ends running calls. Returns NULL if no HTTP client can be
 * created. */
rr_store *rr_store_create(const struct rr_endpoint *endpoint, rr_budget *budget,
                          const atomic_bool *stop);
/* Closes the connections and frees the client. NULL is allowed. */
void rr_store_destroy(rr_store *store);

/* ---- Transactions ---- */

/* The outcome of a transaction. */
enum rr_commit_status {
    RR_COMMIT_DONE,            /* executed */
    RR_COMMIT_CONFLICT,        /* not executed: a guard did not hold */
    RR_COMMIT_REFUSED,         /* not executed: not sent, or refused by the store; may be retried */
    RR_COMMIT_OUTCOME_UNKNOWN, /* may have been executed, or may still be */
    RR_COMMIT_NO_LEASE,        /* not executed: the lease of a put has ended */
    RR_COMMIT_INVALID          /* not executed: beyond the store's limits; no retry can succeed */
};

/* Returns the status's name for log lines. */
const char *rr_commit_status_name(enum rr_commit_status status);

/* Sends a transaction to the store, once. *revision receives the store's revision with
 * RR_COMMIT_DONE and RR_COMMIT_CONFLICT. With RR_COMMIT_CONFLICT, copies of the keys whose guards
 * did not hold (char*) are appended to failed_keys, which may be NULL. */
enum rr_commit_status rr_store_commit(rr_store *store, enum rr_request_priority priority,
                                      const rr_transaction *transaction, double timeout_s,
                                      uint64_t *revision, GPtrArray *failed_keys);

/* ---- Reads and watches ----
 *
 * After a return of 0, and only then, the caller has to clear the document. -EAGAIN means that
 * there was no usable reply. */

/* Reads the store's revision. Returns 0 or -EAGAIN. */
int rr_store_get_revision(rr_store *store, uint64_t *revision, double timeout_s);

/* Reads one key. Returns 0 with the key's row in *document, its version in *version and the lease
 * that it is attached to (0: none) in *lease_id; -ENOENT if the key does not exist; or -EAGAIN. */
int rr_store_get(rr_store *store, const char *key, rr_document *document, uint64_t *version,
                 uint64_t *lease_id);

/* The position in a read of all keys with a prefix, page by page. */
typedef struct {
    bool has_more;                    /* there are more pages; true before the first one */
    char last_key[RR_STORE_KEY_SIZE]; /* the last key read; empty before the first page */
    uint64_t revision;                /* the store's revision, as of the last page read */
} rr_store_cursor;

/* Reads the next page of keys with the prefix. Returns 0 with the page in *document, to be passed
 * to rr_store_for_each_row(); or -EAGAIN. */
int rr_store_read_page(rr_store *store, const char *prefix, rr_store_cursor *cursor,
                       rr_document *document);

/* Called for each row of a page; key and value are valid during the call only. */
typedef void (*rr_store_row_fn)(void *user_data, const char *key, const msgpack_object *value,
                                uint64_t version);
/* Calls the callback for each row of a page and moves the cursor past the last one. */
void rr_store_for_each_row(const rr_document *document, rr_store_cursor *cursor,
                           rr_store_row_fn callback, void *user_data);

/* Waits up to hold_ms for changes to keys with the prefix after this revision. Returns 0 with the
 * changes in *document; -ESTALE if the store no longer has all of them, so that the keys have to be
 * read again; or -EAGAIN. */
int rr_store_watch(rr_store *store, const char *prefix, uint64_t after_revision, int hold_ms,
                   rr_document *document);

/* ---- Leases ---- */

/* Creates a lease that expires ttl_s after its last renewal. Returns 0, or -EAGAIN if the request
 * was refused or had no usable reply. */
int rr_store_grant_lease(rr_store *store, double ttl_s, uint64_t *lease_id);
/* Renews a lease. Returns 0; -ENOENT if the lease has ended; or -EAGAIN if the request was refused
 * or had no usable reply. */
int rr_store_renew_lease(rr_store *store, uint64_t lease_id);
/* Ends a lease; the store deletes the keys attached to it. Returns as rr_store_renew_lease(). */
int rr_store_revoke_lease(rr_store *store, uint64_t lease_id);

#endif
