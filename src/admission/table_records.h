/* Encodes admission tables as records of the key-value store and assembles them again.
 *
 * Tables alternate between two slots, so that a controller that has just started finds both the
 * table in force and the next one. A table is split into as many records (parts) as the store's
 * limit on value size requires. They are written in one transaction. */
#ifndef RR_ADMISSION_TABLE_RECORDS_H
#define RR_ADMISSION_TABLE_RECORDS_H

#include "admission/table.h"

#define RR_ADMISSION_KEY_PREFIX RR_KEY_ROOT "admission/"
#define RR_ADMISSION_RECORD_VERSION 1 /* of the record format */
#define RR_ADMISSION_SLOT_COUNT 2
#define RR_ADMISSION_PARTS_MAX 16 /* records of one table */

/* Writes the store key of one part of the table with this sequence number to out. */
void rr_admission_format_record_key(uint64_t sequence, guint part, char *out, size_t size);

/* Encodes the table as at most records_max records of at most value_bytes of JSON each. If not all
 * rows fit, those with the largest shares are left out, and the default rows of their team's band
 * apply to their keys. Returns the number of records, which the caller clears. */
guint rr_admission_table_encode(const rr_admission_table *table, size_t value_bytes,
                                guint records_max, rr_encoder *out);

/* Assembles a table from its parts. Zero-initialized: no part was received. */
typedef struct {
    rr_admission_table table;
    guint parts;                               /* number of parts of the table */
    guint received_parts;                      /* bit mask */
    uint64_t versions[RR_ADMISSION_PARTS_MAX]; /* of the cached records; 0: none */
} rr_admission_slot;

/* Adds one part. version: of its cached record. Returns 1 if this completed the slot's table, 0 if
 * not, and -EPROTO if the record has an unknown format version or is malformed. */
int rr_admission_slot_add_part(rr_admission_slot *slot, guint part, const msgpack_object *value,
                               uint64_t version);

#endif
