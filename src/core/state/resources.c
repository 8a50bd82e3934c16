/* Calculations with amounts of resources. */
#include "core/state/resources.h"

#include <math.h>

double rr_resources_free_share(rr_resources available, rr_resources capacity) {
    double free_share = 1;
    if (capacity.cpus > 0) {
        free_share = fmin(free_share, available.cpus / capacity.cpus);
    }
    if (capacity.gpus > 0) {
        free_share = fmin(free_share, available.gpus / capacity.gpus);
    }
    if (capacity.mem_gb > 0) {
        free_share = fmin(free_share, available.mem_gb / capacity.mem_gb);
    }
    return free_share < 0 ? 0 : free_share;
}
