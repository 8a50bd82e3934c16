/* Amounts of processors, accelerators and memory: what a task requests and what a machine has. */
#ifndef RR_CORE_STATE_RESOURCES_H
#define RR_CORE_STATE_RESOURCES_H

#include <stdbool.h>

#define RR_RESOURCE_EPSILON 1e-6 /* amounts closer than this are equal */

typedef struct {
    double cpus, gpus, mem_gb;
} rr_resources;

/* Returns left + sign * right; sign: 1 to add, -1 to subtract. */
static inline rr_resources rr_resources_add(rr_resources left, rr_resources right, double sign) {
    return (rr_resources){left.cpus + sign * right.cpus, left.gpus + sign * right.gpus,
                          left.mem_gb + sign * right.mem_gb};
}

/* Whether every amount of need is within room, up to RR_RESOURCE_EPSILON. */
static inline bool rr_resources_fit(rr_resources need, rr_resources room) {
    return need.cpus <= room.cpus + RR_RESOURCE_EPSILON &&
           need.gpus <= room.gpus + RR_RESOURCE_EPSILON &&
           need.mem_gb <= room.mem_gb + RR_RESOURCE_EPSILON;
}

/* Returns the free share, 0 to 1, of the resource that is scarcest on a machine of this capacity.
 */
double rr_resources_free_share(rr_resources room, rr_resources capacity);

#endif
