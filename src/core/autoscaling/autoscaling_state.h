/* State that the autoscaler keeps between its steps. */
#ifndef RR_CORE_AUTOSCALING_AUTOSCALING_STATE_H
#define RR_CORE_AUTOSCALING_AUTOSCALING_STATE_H

#include "core/core.h"

/* An intent to scale out. It is recorded before the cloud is asked, and deleted once its machines
 * are recorded. Its name is also the id of the request to the cloud, so that a repeated request
 * does not rent machines twice. */
typedef struct {
    char name[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;              /* false: on-demand */
    int count;              /* number of machines requested */
    uint64_t version;       /* of the intent's record */
    bool seen_in_reload;    /* its record was read since the last full reload began */
    double requested_at;    /* steady: last requested from the cloud in this term, 0: never */
    bool answered, refused; /* by the cloud, in this term */
    GPtrArray *machine_ids; /* char*: machines rented; empty until answered */
} rr_rental;

/* The recorded rentals, and what the autoscaler has observed of the cloud. */
struct rr_autoscaling {
    GHashTable *rentals;         /* name -> rr_rental: all recorded intents */
    GArray *cloud_machine_types; /* rr_machine_type: the catalogue as last read from the cloud */
    GHashTable *capacity_refused_until; /* "type|zone|spot" -> double*: steady time at which it may
                                           be requested again */
    GHashTable *failed_unrecorded_machines; /* set of names: listed as failed, without a record */
    uint64_t term_token; /* of the last term in which this controller was the autoscaler */
    double began_at;     /* steady: when this controller became autoscaler of that term */
    /* When the machines were last listed, or their list was last requested: steady, 0: never in
     * this term. */
    double machines_listed_at;
    double demand_simulated_at; /* steady: last simulation of the demand in this term, 0: never */
    double pages_split_at;      /* steady: last search for large pages by this process, 0: never */
    /* When this process last read the catalogue: steady, 0: never. A request for the catalogue sets
     * it to a time in the past, so that the request is soon repeated if it fails. */
    double catalog_read_at;
    double scale_out_requested_at; /* wall: last request to the cloud, 0: never */
    bool machines_listed;          /* the cloud's machines have been listed in this term */
    bool ever_rented;              /* the store has or had a rental or a rented machine */
};

#endif
