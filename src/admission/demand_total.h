/* The combined demand of all controllers, merged from their demand views. */
#ifndef RR_ADMISSION_DEMAND_TOTAL_H
#define RR_ADMISSION_DEMAND_TOTAL_H

#include "admission/demand_view.h"

/* The combined demand for one key. */
typedef struct {
    rr_admission_key key;
    double job_count;  /* estimated number of jobs: waiting, and admitted in the last interval */
    rr_work mean_work; /* mean work of one job */
} rr_demand_total;

/* Appends the total demand of each key to *out and sorts it by key id. ages[i]: age of views[i] in
 * intervals. The admissions in a view, and its waiting jobs that no fresher view contains, are
 * halved for each interval of its age. Otherwise a controller's whole demand would vanish as soon
 * as its next view is late. */
void rr_demand_merge_views(const rr_demand_view *const *views, const unsigned *ages, guint count,
                           GArray *out /* rr_demand_total */);

#endif
