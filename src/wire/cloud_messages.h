/* The cloud's catalogue of machine types and its list of machines. */
#ifndef RR_WIRE_CLOUD_MESSAGES_H
#define RR_WIRE_CLOUD_MESSAGES_H

#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/wire_limits.h"

typedef struct {
    char name[RR_ID_SIZE];
    double cpus, gpus, mem_gb;
    double cache_gb;          /* of images */
    double pull_rate;         /* of images, GB a second */
    double price, spot_price; /* an hour */
    double startup_s;         /* nominal */
    GPtrArray *zones;         /* char*, owned */
} rr_machine_type;

/* 0 or -EBADMSG; rr_machine_type_clear() is due after either. */
int rr_machine_type_decode(const msgpack_object *object, rr_machine_type *type);
/* The form in which the catalogue is stored; the decoder reads it. */
void rr_machine_type_encode(rr_encoder *encoder, const rr_machine_type *type);
/* Frees the zones; takes gpointer (rr_machine_type), as the clear functions of GLib do. */
void rr_machine_type_clear(gpointer data);

enum rr_listed_state { RR_LISTED_STARTING, RR_LISTED_RUNNING, RR_LISTED_FAILED };

typedef struct {
    char id[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    enum rr_listed_state state; /* STARTING also for a state that this version does not know */
    double age_s;               /* from the rental request to the time that the list describes */
} rr_listed_machine;

/* 0 or -EBADMSG. */
int rr_listed_machine_decode(const msgpack_object *object, rr_listed_machine *listed);

#endif
