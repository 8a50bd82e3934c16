/* Keys of the core's records in the key-value store. A full reload delivers them in key order, but
 * its pages are of different revisions, so a record may arrive before one that it refers to. */
#ifndef RR_CORE_STATE_STORE_KEYS_H
#define RR_CORE_STATE_STORE_KEYS_H

#include "core/core.h"

#define RR_KEY_JOB_BATCH RR_KEY_ROOT "batch/"
#define RR_KEY_MACHINE_TYPE RR_KEY_ROOT "build/"
#define RR_KEY_MACHINE_PAGE RR_KEY_ROOT "fleet/"
#define RR_KEY_RENTAL RR_KEY_ROOT "hire/"
#define RR_KEY_JOB RR_KEY_ROOT "job/"
#define RR_KEY_SESSION RR_KEY_ROOT "node/"
#define RR_KEY_LEDGER RR_KEY_ROOT "run/"
#define RR_KEY_TERM RR_KEY_ROOT "term"

/* Bytes that hold any of these keys, terminator included. */
#define RR_KEY_SIZE (RR_ID_SIZE + 64)

#endif
