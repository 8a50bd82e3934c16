/* Steps of the autoscaler: it rents machines for waiting work and headroom, releases idle and
 * faulty ones, and keeps the machine records in step with the cloud. The caller carries out one
 * step at a time and passes on its result. */
#ifndef RR_CORE_SCALING_H
#define RR_CORE_SCALING_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

enum rr_autoscaler_step_kind {
    RR_AUTOSCALER_NONE,      /* nothing to do now */
    RR_AUTOSCALER_CATALOG,   /* read the catalogue, then rr_core_catalog_read() */
    RR_AUTOSCALER_LIST,      /* list the machines, then rr_core_machines_listed() */
    RR_AUTOSCALER_COMMIT,    /* commit the transaction */
    RR_AUTOSCALER_SCALE_OUT, /* rent machines, then rr_core_scale_out_result() */
    RR_AUTOSCALER_SCALE_IN   /* release machines, then rr_core_scale_in_result() */
};

typedef struct {
    enum rr_autoscaler_step_kind kind;
    rr_transaction transaction; /* RR_AUTOSCALER_COMMIT */
    /* RR_AUTOSCALER_SCALE_OUT: count machines, requested under the rental's name. */
    char rental[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    int count;
    GPtrArray *machines; /* char*, RR_AUTOSCALER_SCALE_IN */
} rr_autoscaler_step;

/* An empty step; it must be cleared. */
void rr_autoscaler_step_init(rr_autoscaler_step *step);
/* Frees what the step owns. */
void rr_autoscaler_step_clear(rr_autoscaler_step *step);

/* Fills *out, which must be initialized, with the next step; RR_AUTOSCALER_NONE also if this
 * controller is not the autoscaler. now: steady seconds, wall: seconds of the wall clock. */
void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out);

/* Copies the catalogue that the cloud returned. */
void rr_core_catalog_read(rr_core *core, double now,
                          const GArray *machine_types /* rr_machine_type */);

/* Takes the cloud's list of machines. asked_at: steady time at which it was asked for. */
void rr_core_machines_listed(rr_core *core, double asked_at, double now, double wall,
                             const GArray *machines /* rr_listed_machine */);

/* Statuses of the cloud's answer to a rental that mean something; with any other the outcome is
 * unknown, and the rental is requested again under its name. */
enum { RR_SCALE_OUT_DONE = 200, RR_SCALE_OUT_NO_CAPACITY = 503 };

/* ids: char*, machines rented, with RR_SCALE_OUT_DONE. */
void rr_core_scale_out_result(rr_core *core, double now, const rr_autoscaler_step *step, int status,
                              const GPtrArray *ids);

/* ids: char*, machines that the cloud has released. */
void rr_core_scale_in_result(rr_core *core, double now, const GPtrArray *ids);

#endif
