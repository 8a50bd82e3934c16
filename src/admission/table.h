/* The admission table: for one interval, how much of each key's demand is admitted. Under overload
 * the controller that runs the autoscaler writes a table ahead of each interval, and every
 * controller reads it from its store cache. */
#ifndef RR_ADMISSION_TABLE_H
#define RR_ADMISSION_TABLE_H

#include "core/core.h"

/* The share of a key that is not limited, and the size of the hash ring (verdict.h). Shares and
 * positions on the ring are fractions of it. */
#define RR_ADMISSION_SHARE_FULL ((uint64_t)1 << 32)

/* The window of the hash ring in which jobs are admitted. */
typedef struct {
    uint64_t id;    /* of a key, or rr_admission_default_row_id() */
    uint32_t phase; /* position at which the window begins in the table's interval */
    uint64_t share; /* width of the window, at most RR_ADMISSION_SHARE_FULL */
} rr_admission_row;

typedef struct {
    char name[RR_NAME_SIZE];
    double fair_share; /* fraction of the total capacity, by the team's dominant resource */
    double correction; /* work of the team's tasks as a multiple of their estimates; 0: unknown */
} rr_admission_team;

typedef struct {
    uint64_t sequence; /* 0: no table */
    double starts_at;  /* wall-clock time in seconds */
    double length_s;
    bool active;               /* false: everything is admitted */
    double cpus, gpus, mem_gb; /* total capacity when the table was made */
    GArray *rows;              /* rr_admission_row, sorted by id */
    GArray *teams;             /* rr_admission_team */
} rr_admission_table;

/* Makes an empty table; rr_admission_table_clear frees it. */
void rr_admission_table_init(rr_admission_table *table);
/* Frees the rows and teams and zeroes the table. A zero-initialized or cleared table may be cleared
 * again. */
void rr_admission_table_clear(rr_admission_table *table);

/* Sorts the rows by id, as rr_admission_table_find_row requires. */
void rr_admission_table_sort(rr_admission_table *table);

/* Returns the row with this id; NULL if there is none. */
const rr_admission_row *rr_admission_table_find_row(const rr_admission_table *table, uint64_t id);
/* Returns the team with this name; NULL if there is none. */
const rr_admission_team *rr_admission_table_find_team(const rr_admission_table *table,
                                                      const char *name);

#endif
