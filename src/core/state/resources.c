#include "core/state/resources.h"

#include <math.h>

double rr_resources_free_share(rr_resources room, rr_resources capacity) {
    double free_share = 1;
    if (capacity.cpus > 0) {
        free_share = fmin(free_share, room.cpus / capacity.cpus);
    }
    if (capacity.gpus > 0) {
        free_share = fmin(free_share, room.gpus / capacity.gpus);
    }
    if (capacity.mem_gb > 0) {
        free_share = fmin(free_share, room.mem_gb / capacity.mem_gb);
    }
    return free_share < 0 ? 0 : free_share;
}
