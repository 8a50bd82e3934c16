/* Steps of the autoscaler, which rents machines for waiting work and headroom, releases idle and
 * faulty ones, and keeps the machine records consistent with the cloud. The caller carries out one
 * step at a time and reports its result to the core. */
#ifndef RR_CORE_SCALING_H
#define RR_CORE_SCALING_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

enum rr_autoscaler_step_kind {
    RR_AUTOSCALER_NONE,          /* nothing to do now */
    RR_AUTOSCALER_READ_CATALOG,  /* read the cloud's catalogue, then rr_core_apply_catalog() */
    RR_AUTOSCALER_LIST_MACHINES, /* list the cloud's machines, then rr_core_apply_machine_list() */
    RR_AUTOSCALER_COMMIT,        /* commit the transaction */
    RR_AUTOSCALER_SCALE_OUT,     /* rent machines, then rr_core_record_scale_out_result() */
    RR_AUTOSCALER_SCALE_IN       /* release machines, then rr_core_record_scale_in_result() */
};

typedef struct {
    enum rr_autoscaler_step_kind kind;
    rr_transaction transaction; /* with RR_AUTOSCALER_COMMIT */
    /* With RR_AUTOSCALER_SCALE_OUT: the number and kind of machines to request. The rental's name
     * is the request id, so that a repeated request rents nothing twice. */
    char rental[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    int count;
    GPtrArray *machines; /* char*: names of the machines to release, with RR_AUTOSCALER_SCALE_IN */
} rr_autoscaler_step;

/* Initializes an empty step, which the caller frees with rr_autoscaler_step_clear(). */
void rr_autoscaler_step_init(rr_autoscaler_step *step);
/* Frees what the step owns, but not the struct itself. */
void rr_autoscaler_step_clear(rr_autoscaler_step *step);

/* Fills *out, which must be initialized, with the next step. Its kind is RR_AUTOSCALER_NONE if
 * there is nothing to do or this controller may not act as the autoscaler now: it is not the
 * autoscaler, the store cache is not consistent or a new term is due. */
void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out);

/* Stores a copy of the machine types that the cloud's catalogue listed. */
void rr_core_apply_catalog(rr_core *core, double now,
                           const GArray *machine_types /* rr_machine_type */);

/* Updates the machines from the cloud's list. asked_at: steady seconds, when it was requested. */
void rr_core_apply_machine_list(rr_core *core, double asked_at, double now, double wall,
                                const GArray *machines /* rr_listed_machine */);

/* HTTP status codes of the cloud's answer to a rental. With any other status the outcome is
 * unknown, and the rental is requested again under the same name. */
enum { RR_SCALE_OUT_DONE = 200, RR_SCALE_OUT_NO_CAPACITY = 503 };

/* Records the cloud's answer to an RR_AUTOSCALER_SCALE_OUT step. ids: char*, names of the machines
 * rented; read only with RR_SCALE_OUT_DONE. */
void rr_core_record_scale_out_result(rr_core *core, double now, const rr_autoscaler_step *step,
                                     int status, const GPtrArray *ids);

/* Records that the cloud has released these machines. ids: char*, their names. */
void rr_core_record_scale_in_result(rr_core *core, double now, const GPtrArray *ids);

#endif
