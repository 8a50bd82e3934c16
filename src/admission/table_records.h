/* Admission tables as records of the key-value store.
 *
 * Tables alternate between two slots, so that the table in force and the next one are both there
 * for a controller that has just started. A table is split over as many records as the store's
 * limit on values requires, all written in one transaction. */
#ifndef RR_ADMISSION_TABLE_RECORDS_H
#define RR_ADMISSION_TABLE_RECORDS_H

#include "admission/table.h"

#define RR_ADMISSION_PREFIX RR_KEY_ROOT "admission/"
#define RR_ADMISSION_VERSION 1
#define RR_ADMISSION_SLOTS 2
#define RR_ADMISSION_PARTS_MAX 16

/* The key of one record of the table with this sequence. */
void rr_admission_record_key(uint64_t sequence, guint part, char *out, size_t size);

/* Encodes the table as records of at most value_bytes of JSON, records_max at most; the caller
 * clears them. Rows that do not fit, those of the largest shares, are left to the rest of their
 * team's band. Returns the number of records. */
guint rr_admission_table_encode(const rr_admission_table *table, size_t value_bytes,
                                guint records_max, rr_encoder *out);

/* A slot, in which a table is assembled from its records. */
typedef struct {
    rr_admission_table table;
    guint parts;                               /* of the table */
    guint have;                                /* bits of those that are there */
    uint64_t versions[RR_ADMISSION_PARTS_MAX]; /* of the records as cached, 0: not there */
} rr_admission_slot;

/* Takes one record. 1: the slot holds a whole table; 0: not yet; -EPROTO: the record is of an
 * unknown version or not readable. */
int rr_admission_slot_put(rr_admission_slot *slot, guint part, const msgpack_object *value,
                          uint64_t version);

#endif
