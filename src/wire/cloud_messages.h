/* Messages of the cloud: its catalogue of machine types and its list of machines. */
#ifndef RR_WIRE_CLOUD_MESSAGES_H
#define RR_WIRE_CLOUD_MESSAGES_H

#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/wire_limits.h"

/* A type of machine that the cloud rents out. */
typedef struct {
    char name[RR_ID_SIZE];
    double cpus, gpus, mem_gb;
    double image_cache_gb;      /* size of the image cache */
    double image_pull_gb_per_s; /* speed of image fetches, GB per second */
    double price, spot_price;   /* per hour */
    double startup_s;           /* nominal time from the rental until the machine runs */
    GPtrArray *zones;           /* zones that offer the type: char*, owned */
} rr_machine_type;

/* Decodes a machine type. Returns 0 or -EBADMSG; the caller has to call rr_machine_type_clear()
 * after both. */
int rr_machine_type_decode(const msgpack_object *object, rr_machine_type *type);
/* Encodes a machine type for the stored catalogue. rr_machine_type_decode() decodes it. */
void rr_machine_type_encode(rr_encoder *encoder, const rr_machine_type *type);
/* Frees the zones of a machine type (rr_machine_type). It takes a gpointer to serve as a
 * GDestroyNotify for GLib arrays. */
void rr_machine_type_clear(gpointer data);

/* The state that the cloud's list shows for a machine. */
enum rr_listed_state { RR_LISTED_STARTING, RR_LISTED_RUNNING, RR_LISTED_FAILED };

/* A machine as the cloud's list shows it. */
typedef struct {
    char id[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    enum rr_listed_state state; /* RR_LISTED_STARTING also for an unknown state */
    double age_s;               /* time from the rental request to the moment that the list shows */
} rr_listed_machine;

/* Decodes a machine of the cloud's list. Returns 0 or -EBADMSG. */
int rr_listed_machine_decode(const msgpack_object *object, rr_listed_machine *listed);

#endif
