/* Inside the core only: the autoscaler, which rents and returns machines and keeps their records
 * in step with the cloud. autoscaler.c takes one step at a time and judges machines;
 * machine_records.c writes their records; capacity_demand.c finds out what to rent. */
#ifndef RR_CORE_AUTOSCALING_AUTOSCALER_H
#define RR_CORE_AUTOSCALING_AUTOSCALER_H

#include "core/core_internal.h"
#include "core/scaling.h"

/* autoscaler.c */
/* Its record went not long ago: lists that lag and late reports may still name it. */
bool rr_recently_gone(const rr_core *core, const char *name, double now);
/* The key of a type, zone and kind among the cloud's refusals; the caller's to free. */
char *rr_refusal_key(const char *machine_type, const char *zone, bool spot);
/* Decides which machines are given up or go back; those that the demand left as surplus may. */
void rr_review_machines(rr_core *core, double now, double wall);

/* machine_records.c: machines that came, are to go back or are gone, many in a change. True:
 * out->txn is to be committed. */
bool rr_autoscaler_step_records(rr_core *core, double now, double wall, rr_autoscaler_step *out);

/* capacity_demand.c: intents to rent, and the judgement of machines. True: out->txn is to be
 * committed. */
bool rr_autoscaler_step_demand(rr_core *core, double now, double wall, rr_autoscaler_step *out);

#endif
