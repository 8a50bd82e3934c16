/* A transaction on the key-value store: all of its changes apply, or none if a guard fails. */
#ifndef RR_CORE_STATE_TRANSACTION_H
#define RR_CORE_STATE_TRANSACTION_H

#include "wire/wire.h"

/* The key must have this version; 0: it must not exist. */
typedef struct {
    char *key;
    uint64_t version;
} rr_guard;

typedef struct {
    char *key;
    void *value; /* packed; NULL: delete */
    size_t length;
    uint64_t lease_id; /* the record ends with this lease, 0: with none */
} rr_change;

typedef struct {
    GArray *guards;  /* rr_guard */
    GArray *changes; /* rr_change */
} rr_transaction;

/* Initializes an empty transaction. */
void rr_transaction_init(rr_transaction *transaction);
/* Frees the guards and changes; may be called twice. */
void rr_transaction_clear(rr_transaction *transaction);
/* Adds a guard unless the key has one already. */
void rr_transaction_guard(rr_transaction *transaction, const char *key, uint64_t version);
/* Adds a write of what the encoder holds, and clears the encoder. */
void rr_transaction_put(rr_transaction *transaction, const char *key, rr_encoder *value,
                        uint64_t lease_id);
/* Adds the deletion of a key. */
void rr_transaction_delete(rr_transaction *transaction, const char *key);
/* Encodes the body of the request to the store. */
void rr_transaction_encode(const rr_transaction *transaction, rr_encoder *encoder);

#endif
