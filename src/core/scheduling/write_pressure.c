/* Sets how many changes to the store a plan may make. */
#include "core/core_internal.h"
#include "core/planning.h"

void rr_core_set_write_pressure(rr_core *core, double pressure, int changes) {
    core->planning.write_pressure = pressure;
    core->planning.changes_allowed = changes;
}
