/* Views: what a controller announces to its peers of the demand it has seen.
 *
 * A user who was refused asks again, perhaps at another controller. So that no job is counted
 * twice, a view has a sample of each key's waiting jobs: the smallest hashes of their ids. Samples
 * taken so agree on which jobs are in them, and their union is a sample of all demand. Keys with
 * few jobs are in the view whole, so that a flood of one key does not hide another's single job. */
#ifndef RR_ADMISSION_DEMAND_VIEW_H
#define RR_ADMISSION_DEMAND_VIEW_H

#include "admission/demand.h"

#define RR_DEMAND_VERSION 1

/* One key's part of a view. */
typedef struct {
    rr_admission_key key;
    uint64_t admitted; /* in the last whole interval */
    rr_work mean;      /* of one job */
    uint64_t bound;    /* every waiting job with a smaller hash is in the sample */
    GArray *sample;    /* uint64_t, sorted */
} rr_demand_entry;

typedef struct {
    uint64_t fencing_token; /* of the term in which it was made */
    GArray *entries;        /* rr_demand_entry */
} rr_demand_view;

/* An empty view. */
void rr_demand_view_init(rr_demand_view *view);
/* Frees the entries. Allowed on a zero-initialized view, and twice. */
void rr_demand_view_clear(rr_demand_view *view);

/* Makes a view of the demand; *out is the caller's to clear. */
void rr_demand_view_of(const rr_demand *demand, uint64_t fencing_token, rr_demand_view *out);

/* Packs a view into at most bytes_max. Entries that do not fit are left out of all teams in turn.
 */
void rr_demand_view_pack(const rr_demand_view *view, GByteArray *out, size_t bytes_max);

/* 0, and *out is the caller's to clear; -EBADMSG: malformed, too long or of an unknown version. */
int rr_demand_view_unpack(const void *data, size_t length, rr_demand_view *out);

/* Orders hashes of jobs, for g_array_sort(). */
gint rr_compare_hashes(gconstpointer left_item, gconstpointer right_item);

#endif
