/* Amounts of CPUs, GPUs and memory: what a task requests, or what a machine has. */
#ifndef RR_CORE_STATE_RESOURCES_H
#define RR_CORE_STATE_RESOURCES_H

#include <stdbool.h>

/* Amounts that differ by no more than this count as equal. */
#define RR_RESOURCE_EPSILON 1e-6

typedef struct {
    double cpus, gpus, mem_gb;
} rr_resources;

/* Returns left + sign * right. sign: 1 to add, -1 to subtract. */
static inline rr_resources rr_resources_add(rr_resources left, rr_resources right, double sign) {
    return (rr_resources){left.cpus + sign * right.cpus, left.gpus + sign * right.gpus,
                          left.mem_gb + sign * right.mem_gb};
}

/* Returns whether the request fits into the available resources, within RR_RESOURCE_EPSILON. */
static inline bool rr_resources_fit(rr_resources request, rr_resources available) {
    return request.cpus <= available.cpus + RR_RESOURCE_EPSILON &&
           request.gpus <= available.gpus + RR_RESOURCE_EPSILON &&
           request.mem_gb <= available.mem_gb + RR_RESOURCE_EPSILON;
}

/* Returns the fraction, 0 to 1, of the capacity that is available, for the resource of which this
 * fraction is the smallest. Resources without capacity are ignored. */
double rr_resources_free_share(rr_resources available, rr_resources capacity);

#endif
