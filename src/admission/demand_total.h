/* The demand of all controllers together, from their views. */
#ifndef RR_ADMISSION_DEMAND_TOTAL_H
#define RR_ADMISSION_DEMAND_TOTAL_H

#include "admission/demand_view.h"

typedef struct {
    rr_admission_key key;
    double count; /* jobs that wait, and those admitted in the last interval */
    rr_work mean; /* of one job */
} rr_demand_total;

/* Appends the totals by key, ordered by the keys' ids. ages[i]: intervals since views[i] was made.
 * What only old views know counts half as much for each interval of their age, not for nothing. */
void rr_demand_merge(const rr_demand_view *const *views, const unsigned *ages, guint count,
                     GArray *out /* rr_demand_total */);

#endif
