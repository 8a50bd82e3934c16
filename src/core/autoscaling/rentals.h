/* Manages rentals, which are intents to scale out. Each is recorded in the store, requested from
 * the cloud under its name, and deleted once its machines are recorded. */
#ifndef RR_CORE_AUTOSCALING_RENTALS_H
#define RR_CORE_AUTOSCALING_RENTALS_H

#include "core/scaling.h"
#include "core/state/resources.h"

/* Machines to be rented, all of one machine type in one zone, and all on-demand or all spot. */
struct rr_planned_rental {
    int machine_type, zone; /* indices of names */
    bool spot;              /* false: on-demand */
    int count;
    rr_resources free; /* free resources of the last machine in the simulation */
};

/* Adds records of intents to rent the planned machines to the transaction, except for as many as
 * open intents already cover. */
void rr_put_rental_intents(rr_core *core, const GArray *planned /* rr_planned_rental */,
                           rr_transaction *transaction);

/* Deletes intents that the cloud refused or whose machines are all recorded or gone. Returns true
 * if *out is the step to take. */
bool rr_prepare_finished_rentals_step(const rr_core *core, double now, rr_autoscaler_step *out);

/* Requests the machines of an intent from the cloud. Returns true if *out is the step to take. */
bool rr_prepare_scale_out_step(rr_core *core, double now, double wall, rr_autoscaler_step *out);

/* Discards the cloud's answers, so that every intent is requested again under its name. */
void rr_rentals_discard_cloud_answers(rr_core *core);

#endif
