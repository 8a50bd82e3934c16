/* What the autoscaler remembers from one step to the next. */
#ifndef RR_CORE_AUTOSCALING_AUTOSCALING_STATE_H
#define RR_CORE_AUTOSCALING_AUTOSCALING_STATE_H

#include "core/core.h"

typedef struct {
    char name[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    int count;
    uint64_t version;
    bool seen_in_reload;
    double tried_at; /* 0: never */
    bool answered, refused;
    GPtrArray *machine_ids; /* char*, once answered */
} rr_rental;

struct rr_autoscaling {
    GHashTable *rentals;          /* name -> rr_rental: recorded intents to scale out */
    GArray *catalog_types;        /* rr_machine_type read from the cloud, to be recorded */
    GHashTable *refused_capacity; /* "type|zone|kind" -> double*: not before, steady */
    GHashTable *stray_failed;     /* names listed as failed without a record */
    uint64_t term_token;          /* of the term in which this controller began to scale */
    double since;                 /* when that was, steady */
    double list_at, demand_at, pages_split_at; /* last done, steady */
    double catalog_at; /* steady, last read from the cloud by this process */
    double rented_at;  /* wall, when the last rental was asked for */
    bool list_read, ever_rented;
};

/* The key of a rental's record. */
void rr_rental_key(const char *name, char *out, size_t size);

#endif
