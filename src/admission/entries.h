/* What a table is made for: accepted work that waits and jobs that ask, by key, for the writer. */
#ifndef RR_ADMISSION_ENTRIES_H
#define RR_ADMISSION_ENTRIES_H

#include "admission/offered_load.h"

/* One key under consideration. */
typedef struct {
    const rr_admission_key *key; /* NULL: what is left of a team's band */
    uint64_t id;
    guint team, band;
    rr_work work;   /* waiting and asked for, for the parts of it by resource */
    double backlog; /* accepted and waiting, in dominant share times time */
    double count;   /* jobs that ask */
    double asked;   /* and what they ask for */
} rr_admission_entry;

/* All of them, by team and band, the largest first; of each team's band as many as a table has room
 * for, and one for its rest. correction: by team of the settings. The keys are the load's and the
 * demand's. */
GArray *rr_admission_entries(const struct rr_config *config, const rr_offered_load *load,
                             const GArray *demand /* rr_demand_total */, const double *correction);
/* Of one team and band; false if a is NULL. */
bool rr_admission_same_group(const rr_admission_entry *left, const rr_admission_entry *right);

#endif
