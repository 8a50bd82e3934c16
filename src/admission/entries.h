/* The entries of a table to be written: accepted work that waits and jobs that ask, by key. */
#ifndef RR_ADMISSION_ENTRIES_H
#define RR_ADMISSION_ENTRIES_H

#include "admission/demand_total.h"
#include "admission/offered_load.h"

/* One key under consideration. */
typedef struct {
    const rr_admission_key *key; /* NULL: the rest of a team's band */
    uint64_t id;
    guint team, band;
    rr_work work;   /* waiting and asked for, by resource */
    double backlog; /* accepted work that waits, in dominant share times seconds */
    double count;   /* jobs that ask */
    double asked;   /* what they ask for, in dominant share times seconds */
} rr_admission_entry;

/* All entries, grouped by team and band, the largest first; of each group as many as a table has
 * room for, and one for its rest. correction: by team, what its tasks take as a multiple of their
 * estimates. The array is the caller's; the keys belong to the load and the demand. */
GArray *rr_admission_entries(const struct rr_config *config, const rr_offered_load *load,
                             const GArray *demand /* rr_demand_total */, const double *correction);

/* True: both are of one team and band. left may be NULL. */
bool rr_admission_same_group(const rr_admission_entry *left, const rr_admission_entry *right);

#endif
