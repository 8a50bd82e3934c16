/* The admission table: for one interval, how much of each key's demand is admitted. The autoscaler
 * of the term writes one ahead of each interval under overload; every controller store caches it.
 *
 * The records alternate between two slots, so that the table in force and the next one are both
 * there for a controller that has just started, and a table is parted over as many records as the
 * key-value store's limit on values asks for, all written in one transaction. */
#ifndef RR_ADMISSION_TABLE_H
#define RR_ADMISSION_TABLE_H

#include "core/core.h"

#define RR_ADMISSION_PREFIX RR_KEY_ROOT "admission/"
#define RR_ADMISSION_VERSION 1
#define RR_ADMISSION_PARTS_MAX 16
/* Shares and positions on the circle are parts of this. */
#define RR_ADMISSION_FULL ((uint64_t)1 << 32)

typedef struct {
    uint64_t id;    /* of a key, or of the rest of a team's band */
    uint32_t phase; /* where the window begins in the table's interval */
    uint64_t share; /* its width, RR_ADMISSION_FULL at most */
} rr_admission_row;

typedef struct {
    char name[RR_NAME_SIZE];
    double room;       /* fair part of all room, by its scarcest resource */
    double correction; /* what its tasks take, as a multiple of its estimates */
} rr_admission_team;

typedef struct {
    uint64_t sequence; /* 0: no table */
    double starts_at;  /* wall */
    double length_s;
    bool active;               /* false: everything is admitted */
    double cpus, gpus, mem_gb; /* all room, when it was written */
    GArray *rows;              /* rr_admission_row, by id */
    GArray *teams;             /* rr_admission_team */
} rr_admission_table;

void rr_admission_table_init(rr_admission_table *table);
void rr_admission_table_clear(rr_admission_table *table);
void rr_admission_table_sort(rr_admission_table *table);
const rr_admission_row *rr_admission_table_row(const rr_admission_table *table, uint64_t id);
const rr_admission_team *rr_admission_table_team(const rr_admission_table *table, const char *name);

/* The table as records of at most value_bytes of JSON, at most `most` of them: rr_encoder each, to
 * be cleared by the caller. Rows that do not fit, those of the largest share, are left to the rest
 * of their team's band. Returns the number of records. */
guint rr_admission_table_encode(const rr_admission_table *table, size_t value_bytes, guint most,
                                rr_encoder *out);
void rr_admission_record_key(uint64_t sequence, guint part, char *out, size_t size);

/* Puts a slot's records together again. */
typedef struct {
    rr_admission_table table;
    guint parts, have;                         /* have: bits of those that are there */
    uint64_t versions[RR_ADMISSION_PARTS_MAX]; /* of the records as cached, 0: not there */
} rr_admission_slot;

/* 1: the slot holds a whole table; 0: not yet; -EPROTO: of an unknown version or not readable. */
int rr_admission_slot_put(rr_admission_slot *slot, guint part, const msgpack_object *value,
                          uint64_t version);

#endif
