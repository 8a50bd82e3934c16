/* Rentals: intents to scale out are recorded in the store, carried out at the cloud under their
 * names, and deleted once their machines are recorded. */
#ifndef RR_CORE_AUTOSCALING_RENTALS_H
#define RR_CORE_AUTOSCALING_RENTALS_H

#include "core/scaling.h"
#include "core/state/resources.h"

/* Machines that the demand calls for, all of one machine type, zone and kind. */
struct rr_planned_rental {
    int machine_type, zone; /* indices */
    bool spot;
    int count;
    rr_resources room; /* of the last of them, in the simulation */
};

/* Adds records of intents for the planned machines, less those under way, to the transaction. */
void rr_put_rental_intents(rr_core *core, const GArray *planned /* rr_planned_rental */,
                           rr_transaction *transaction);

/* Deletes intents that the cloud refused or whose machines are recorded. True: *out is the step to
 * take. */
bool rr_step_finished_rentals(const rr_core *core, double now, rr_autoscaler_step *out);

/* Asks the cloud for the machines of an intent. True: *out is the step to take. */
bool rr_step_scale_out(rr_core *core, double now, double wall, rr_autoscaler_step *out);

/* Forgets the cloud's answers, so that every intent is asked for again under its name. */
void rr_restart_rentals(rr_core *core);

#endif
