/* A transaction on the state service, as the core asks for it: guards and changes, values already
 * packed. */
#ifndef RR_CORE_TXN_H
#define RR_CORE_TXN_H

#include "wire/wire.h"

typedef struct {
    char *key;
    uint64_t mark;
} rr_guard;

typedef struct {
    char *key;
    void *value; /* NULL: delete */
    size_t len;
    uint64_t tether; /* 0: none */
} rr_change;

typedef struct {
    GArray *guards;  /* rr_guard */
    GArray *changes; /* rr_change */
} rr_txn;

void rr_txn_init(rr_txn *t);
void rr_txn_clear(rr_txn *t);
void rr_txn_guard(rr_txn *t, const char *key, uint64_t mark); /* the first guard on a key stays */
void rr_txn_put(rr_txn *t, const char *key, rr_encoder *value, uint64_t tether); /* empties value */
void rr_txn_delete(rr_txn *t, const char *key);
void rr_txn_encode(const rr_txn *t, rr_encoder *o);

#endif
