/* Keys of the core's records in the key-value store. A full reload delivers records in key order,
 * but its pages are read at different revisions: a record may arrive before one that it refers
 * to. */
#ifndef RR_CORE_STATE_STORE_KEYS_H
#define RR_CORE_STATE_STORE_KEYS_H

#include "core/core.h"

/* Prefixes; what follows the prefix is named beside each. RR_KEY_TERM is a complete key. */
#define RR_KEY_JOB_BATCH RR_KEY_ROOT "batch/"    /* lease id of the controller, "-", number */
#define RR_KEY_MACHINE_TYPE RR_KEY_ROOT "build/" /* machine type */
#define RR_KEY_MACHINE_PAGE RR_KEY_ROOT "fleet/" /* page id, 8 digits */
#define RR_KEY_RENTAL RR_KEY_ROOT "hire/"        /* name of the rental */
#define RR_KEY_JOB RR_KEY_ROOT "job/"            /* job id */
#define RR_KEY_SESSION RR_KEY_ROOT "node/"       /* controller */
#define RR_KEY_LEDGER RR_KEY_ROOT "run/"         /* job id, "/", chunk */
#define RR_KEY_TERM RR_KEY_ROOT "term"

/* Size of a buffer that holds any of these keys with its terminating NUL. */
#define RR_KEY_SIZE (RR_ID_SIZE + 64)

#endif
