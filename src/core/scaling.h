/* Steps of the autoscaler: catalogue, machine lists, scale-out and scale-in. */
#ifndef RR_CORE_SCALING_H
#define RR_CORE_SCALING_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

enum rr_autoscaler_step_kind {
    RR_AUTOSCALER_NONE,
    RR_AUTOSCALER_CATALOG,
    RR_AUTOSCALER_LIST,
    RR_AUTOSCALER_COMMIT,
    RR_AUTOSCALER_SCALE_OUT,
    RR_AUTOSCALER_SCALE_IN
};
typedef struct {
    enum rr_autoscaler_step_kind kind;
    rr_transaction transaction;                                            /* TXN */
    char rental[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE]; /* HIRE */
    bool spot;
    int count;
    GPtrArray *machines; /* RELEASE: char* */
} rr_autoscaler_step;
void rr_autoscaler_step_init(rr_autoscaler_step *step);
void rr_autoscaler_step_clear(rr_autoscaler_step *step);
void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out);
void rr_core_catalog_read(rr_core *core, double now,
                          const GArray *machine_types /* rr_machine_type */);
void rr_core_machines_listed(rr_core *core, double asked_at, double now, double wall,
                             const GArray *machines /* rr_listed_machine */);
/* status: 200 with ids, 503 no capacity, else: unknown, try again later. */
void rr_core_scale_out_result(rr_core *core, double now, const rr_autoscaler_step *step, int status,
                              const GPtrArray *ids);
void rr_core_scale_in_result(rr_core *core, double now, const GPtrArray *ids);

#endif
