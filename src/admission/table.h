/* The admission table: for one interval, how much of each key's demand is admitted. Under overload
 * the autoscaler of the term writes one ahead of each interval, and every store cache has it. */
#ifndef RR_ADMISSION_TABLE_H
#define RR_ADMISSION_TABLE_H

#include "core/core.h"

/* Shares, and positions on the circle (verdict.h), are parts of this. */
#define RR_ADMISSION_FULL ((uint64_t)1 << 32)

typedef struct {
    uint64_t id;    /* of a key, or of the rest of a team's band */
    uint32_t phase; /* where the window begins in the table's interval */
    uint64_t share; /* its width, RR_ADMISSION_FULL at most */
} rr_admission_row;

typedef struct {
    char name[RR_NAME_SIZE];
    double fair_room;  /* fair part of all room, by the resource of which it uses most */
    double correction; /* what its tasks take, as a multiple of their estimates */
} rr_admission_team;

typedef struct {
    uint64_t sequence; /* 0: no table */
    double starts_at;  /* wall clock */
    double length_s;
    bool active;               /* false: everything is admitted */
    double cpus, gpus, mem_gb; /* all room, when it was written */
    GArray *rows;              /* rr_admission_row, by id */
    GArray *teams;             /* rr_admission_team */
} rr_admission_table;

/* An empty table. */
void rr_admission_table_init(rr_admission_table *table);
/* Frees the rows and teams. Allowed on a zero-initialized table, and twice. */
void rr_admission_table_clear(rr_admission_table *table);

/* Sorts the rows by id, which the search for a row requires. */
void rr_admission_table_sort(rr_admission_table *table);

/* The row of a key, or of the rest of a team's band; NULL: none. */
const rr_admission_row *rr_admission_table_row(const rr_admission_table *table, uint64_t id);
/* The entry of a team; NULL: none. */
const rr_admission_team *rr_admission_table_team(const rr_admission_table *table, const char *name);

#endif
