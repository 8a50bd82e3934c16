/* A transaction on the key-value store: all of its changes are applied, or none if a guard
 * fails. */
#ifndef RR_CORE_STATE_TRANSACTION_H
#define RR_CORE_STATE_TRANSACTION_H

#include "wire/wire.h"

/* A precondition of a transaction: the record's version. */
typedef struct {
    char *key;        /* owned */
    uint64_t version; /* that the record must have, 0: the key must not exist */
} rr_guard;

/* A write or deletion of a record. */
typedef struct {
    char *key;         /* owned */
    void *value;       /* owned, as MessagePack; NULL: delete the record */
    size_t length;     /* of value, in bytes */
    uint64_t lease_id; /* the store deletes the record when this lease expires, 0: no lease */
} rr_change;

typedef struct {
    GArray *guards;  /* rr_guard */
    GArray *changes; /* rr_change */
} rr_transaction;

/* Initializes an empty transaction. */
void rr_transaction_init(rr_transaction *transaction);
/* Frees the guards and changes, but not the struct itself. May be called again. */
void rr_transaction_clear(rr_transaction *transaction);
/* Adds a guard. Ignored if the transaction already has a guard for the key. */
void rr_transaction_guard(rr_transaction *transaction, const char *key, uint64_t version);
/* Adds a write of the encoder's content, and clears the encoder. */
void rr_transaction_put(rr_transaction *transaction, const char *key, rr_encoder *value,
                        uint64_t lease_id);
/* Adds the deletion of a record. */
void rr_transaction_delete(rr_transaction *transaction, const char *key);
/* Encodes the transaction as the body of a commit request to the store. */
void rr_transaction_encode(const rr_transaction *transaction, rr_encoder *encoder);

#endif
