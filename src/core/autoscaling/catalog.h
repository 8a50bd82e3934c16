/* Keeps the store's records of machine types up to date with the cloud's catalogue. */
#ifndef RR_CORE_AUTOSCALING_CATALOG_H
#define RR_CORE_AUTOSCALING_CATALOG_H

#include "core/scaling.h"

/* Records the machine types whose records differ from the catalogue; if none do and the last read
 * is too old, requests the catalogue. Returns true if *out is the step to take. */
bool rr_prepare_catalog_step(rr_core *core, double now, rr_autoscaler_step *out);

#endif
