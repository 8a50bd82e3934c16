/* Amounts of processors, accelerators and memory: what a task requests and a machine has. */
#ifndef RR_CORE_STATE_RESOURCES_H
#define RR_CORE_STATE_RESOURCES_H

#include <stdbool.h>

#define RR_RESOURCE_EPSILON 1e-6 /* amounts closer than this are equal */

typedef struct {
    double cpus, gpus, mem_gb;
} rr_resources;

/* left + sign * right. */
static inline rr_resources rr_resources_add(rr_resources left, rr_resources right, double sign) {
    return (rr_resources){left.cpus + sign * right.cpus, left.gpus + sign * right.gpus,
                          left.mem_gb + sign * right.mem_gb};
}

/* Whether every amount of need is within room. */
static inline bool rr_resources_fit(rr_resources need, rr_resources room) {
    return need.cpus <= room.cpus + RR_RESOURCE_EPSILON &&
           need.gpus <= room.gpus + RR_RESOURCE_EPSILON &&
           need.mem_gb <= room.mem_gb + RR_RESOURCE_EPSILON;
}

/* Free room on the scarcest resource, as a share of the machine. */
double rr_resources_free_share(rr_resources room, rr_resources capacity);

#endif
