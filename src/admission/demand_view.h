/* Demand views: summaries of the demand that a controller has seen, which it sends to its peers.
 *
 * A refused user retries, perhaps at another controller, and the job must not be counted twice. A
 * view therefore holds a bottom-k sample of each key's waiting jobs: the smallest hashes of their
 * ids. All controllers select jobs by the same hashes, so that the union of their samples is a
 * sample of the whole demand. The sample of a key with few jobs holds all of them, so that a flood
 * of jobs of one key does not hide the single job of another. */
#ifndef RR_ADMISSION_DEMAND_VIEW_H
#define RR_ADMISSION_DEMAND_VIEW_H

#include "admission/demand.h"

/* Version of the encoding between controllers. */
#define RR_DEMAND_VIEW_VERSION 1

/* The demand for one key in a view. */
typedef struct {
    rr_admission_key key;
    uint64_t admitted;     /* jobs admitted in the last complete interval */
    rr_work mean_work;     /* of one job */
    uint64_t sample_bound; /* every waiting job with a smaller hash is in the sample; UINT64_MAX:
                              the sample holds all waiting jobs */
    GArray *sample;        /* uint64_t: hashes of waiting jobs, sorted; owned */
} rr_demand_entry;

/* The demand that one controller has seen. */
typedef struct {
    uint64_t fencing_token; /* of the term in which the view was made */
    GArray *entries;        /* rr_demand_entry, owned */
} rr_demand_view;

/* Initializes an empty view, which the caller clears. */
void rr_demand_view_init(rr_demand_view *view);
/* Frees the entries and zeroes the view. Allowed on a zeroed view, and so more than once. */
void rr_demand_view_clear(rr_demand_view *view);

/* Builds a view of the demand. The caller clears *out. */
void rr_demand_view_build(const rr_demand *demand, uint64_t fencing_token, rr_demand_view *out);

/* Appends the encoded view to *out, with at most bytes_max bytes of entries after its header.
 * Entries that do not fit are dropped evenly across teams, the least important ones of each team
 * first. */
void rr_demand_view_encode(const rr_demand_view *view, GByteArray *out, size_t bytes_max);

/* Decodes a view. Returns 0, and the caller clears *out; or -EBADMSG if the data is malformed, too
 * long or of an unknown version. */
int rr_demand_view_decode(const void *data, size_t length, rr_demand_view *out);

/* Compares two job hashes (uint64_t), for g_array_sort(). */
gint rr_compare_job_hashes(gconstpointer left_item, gconstpointer right_item);

#endif
