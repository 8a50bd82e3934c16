/* The client of the key-value store: transactions, reads, watches, leases. A client object belongs
 * to one thread and takes no lock; every call blocks, first for the budget that all threads of the
 * process share, then for the store. */
#ifndef RR_STORE_STORE_H
#define RR_STORE_STORE_H

#include "core/leadership.h"
#include "core/state/transaction.h"
#include "net/client.h"
#include "store/budget.h"
#include "wire/wire.h"

#define RR_STORE_KEY_SIZE 256 /* longest key (200 bytes by the protocol) with its end */

typedef struct rr_store rr_store;

/* The budget and the stop flag are borrowed and outlive the object; a set flag ends running calls.
 * NULL if there is no HTTP client to be had. */
rr_store *rr_store_create(const struct rr_endpoint *endpoint, rr_budget *budget,
                          const atomic_bool *stop);
/* NULL is allowed. */
void rr_store_destroy(rr_store *store);

/* ---- transactions ---- */

enum rr_commit_status {
    RR_COMMIT_DONE,
    RR_COMMIT_CONFLICT, /* a guard did not hold: not executed */
    RR_COMMIT_REFUSED,  /* not executed, for want of budget or by the store: may be retried */
    RR_COMMIT_OUTCOME_UNKNOWN, /* may have been executed, or may still be */
    RR_COMMIT_NO_LEASE,        /* the lease of a put has ended: not executed */
    RR_COMMIT_INVALID          /* beyond the store's limits: no retry can succeed */
};

/* One attempt. *revision is set with RR_COMMIT_DONE and RR_COMMIT_CONFLICT. failed (may be NULL)
 * gets the keys (char*, owned by the array) whose guards did not hold. */
enum rr_commit_status rr_store_commit(rr_store *store, enum rr_request_priority priority,
                                      const rr_transaction *transaction, double timeout_s,
                                      uint64_t *revision, GPtrArray *failed);

/* ---- reads and watches: a document is the caller's to clear, after 0 only ---- */

/* The store's revision. 0, or -EAGAIN: no answer. */
int rr_store_revision(rr_store *store, uint64_t *revision, double timeout_s);

/* 0 with the key's row in *document, its version and its lease (0: none); -ENOENT: no such key;
 * -EAGAIN: no answer. */
int rr_store_get(rr_store *store, const char *key, rr_document *document, uint64_t *version,
                 uint64_t *lease_id);

/* Reads all keys with a prefix, page by page. */
typedef struct {
    bool more;                        /* the caller sets it to true before the first page */
    char from_key[RR_STORE_KEY_SIZE]; /* the last key read; empty before the first page */
    uint64_t revision;                /* of the last page */
} rr_store_cursor;

/* 0 with the page in *document, which goes to rr_store_each_row(); or -EAGAIN: no answer. */
int rr_store_next_page(rr_store *store, const char *prefix, rr_store_cursor *cursor,
                       rr_document *document);

/* key and value are borrowed for the call. */
typedef void (*rr_store_row_fn)(void *user, const char *key, const msgpack_object *value,
                                uint64_t version);
/* Hands each row of a page to callback and moves the cursor behind the last. */
void rr_store_each_row(const rr_document *document, rr_store_cursor *cursor,
                       rr_store_row_fn callback, void *user);

/* Waits up to hold_ms for changes of keys with the prefix after revision `from`. 0 with the changes
 * in *document; -ESTALE: the store no longer has them all, the keys have to be read again;
 * -EAGAIN: no answer. */
int rr_store_watch(rr_store *store, const char *prefix, uint64_t from, int hold_ms,
                   rr_document *document);

/* ---- leases ---- */

/* A new lease that ends life_s after its last renewal. 0, or -EAGAIN: no answer or refused. */
int rr_store_grant_lease(rr_store *store, double life_s, uint64_t *lease_id);
/* 0; -ENOENT: the lease has ended; -EAGAIN: no answer or refused. */
int rr_store_renew_lease(rr_store *store, uint64_t lease_id);
/* Ends a lease, with which its keys go. Returns as rr_store_renew_lease(). */
int rr_store_end_lease(rr_store *store, uint64_t lease_id);

#endif
