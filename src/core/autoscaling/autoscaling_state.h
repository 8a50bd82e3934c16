/* What the autoscaler keeps from one step to the next. */
#ifndef RR_CORE_AUTOSCALING_AUTOSCALING_STATE_H
#define RR_CORE_AUTOSCALING_AUTOSCALING_STATE_H

#include "core/core.h"

/* An intent to scale out: recorded before the cloud is asked, and deleted once its machines are
 * recorded. Its name is the cloud's request id, so that a repeated request rents nothing twice. */
typedef struct {
    char name[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    int count;
    uint64_t version; /* of its record */
    bool seen_in_reload;
    double tried_at;        /* steady: last asked of the cloud in this term, 0: never */
    bool answered, refused; /* by the cloud, in this term */
    GPtrArray *machine_ids; /* char*, once answered */
} rr_rental;

struct rr_autoscaling {
    GHashTable *rentals;          /* name -> rr_rental */
    GArray *catalog_types;        /* rr_machine_type read from the cloud, to be recorded */
    GHashTable *refused_capacity; /* "type|zone|spot" -> double*: not asked for before, steady */
    GHashTable *stray_failed;     /* names listed as failed without a record */
    uint64_t term_token;          /* of the term in which this controller began to scale */
    double began_at;              /* steady: when that was */
    double list_at, demand_at, pages_split_at; /* steady: last done, 0: never in this term */
    double catalog_at; /* steady: last read from the cloud by this process, 0: never */
    double rented_at;  /* wall: when the cloud was last asked to scale out */
    bool list_read;    /* in this term */
    bool ever_rented;  /* the store has or had a rental or a rented machine */
};

#endif
