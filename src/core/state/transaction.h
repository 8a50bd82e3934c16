/* A transaction on the key-value store, as the core asks for it: guards and changes, values already
 * packed. */
#ifndef RR_CORE_STATE_TRANSACTION_H
#define RR_CORE_STATE_TRANSACTION_H

#include "wire/wire.h"

typedef struct {
    char *key;
    uint64_t version;
} rr_guard;

typedef struct {
    char *key;
    void *value; /* NULL: delete */
    size_t length;
    uint64_t lease_id; /* 0: none */
} rr_change;

typedef struct {
    GArray *guards;  /* rr_guard */
    GArray *changes; /* rr_change */
} rr_transaction;

void rr_transaction_init(rr_transaction *transaction);
void rr_transaction_clear(rr_transaction *transaction);
void rr_transaction_guard(rr_transaction *transaction, const char *key,
                          uint64_t version); /* the first guard on a key stays */
void rr_transaction_put(rr_transaction *transaction, const char *key, rr_encoder *value,
                        uint64_t lease_id); /* empties value */
void rr_transaction_delete(rr_transaction *transaction, const char *key);
void rr_transaction_encode(const rr_transaction *transaction, rr_encoder *encoder);

#endif
