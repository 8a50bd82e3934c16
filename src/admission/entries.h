/* The input of one admission table: by key, the accepted work that waits and the jobs that request
 * admission. */
#ifndef RR_ADMISSION_ENTRIES_H
#define RR_ADMISSION_ENTRIES_H

#include "admission/demand_total.h"
#include "admission/offered_load.h"

/* The load of one key, or of several keys of one team and band together. */
typedef struct {
    const rr_admission_key *key; /* NULL: the keys of the group that have no entry of their own */
    uint64_t id;                 /* of the key, or rr_admission_default_row_id */
    guint team;                  /* index in the configuration */
    guint band;                  /* size band, from 0 */
    rr_work work;                /* waiting and requested work, by resource */
    double backlog;              /* accepted work that waits, in dominant share times seconds */
    double job_count;            /* jobs that request admission */
    double requested;            /* their work, in dominant share times seconds */
} rr_admission_entry;

/* Returns an array of rr_admission_entry, sorted by group (team and band) and, in each group, with
 * the largest first. A group has as many entries as its part of a table allows; its other keys
 * are merged into one last entry without a key. correction: by team, the work of its tasks as a
 * multiple of their estimates. The caller frees the array; the keys belong to the load and the
 * demand. */
GArray *rr_admission_collect_entries(const struct rr_config *config, const rr_offered_load *load,
                                     const GArray *demand /* rr_demand_total */,
                                     const double *correction);

/* Returns whether both entries are of the same group (team and band). False if left is NULL. */
bool rr_admission_in_same_group(const rr_admission_entry *left, const rr_admission_entry *right);

#endif
