/* Work: amounts of resources multiplied by the seconds for which they are used. */
#ifndef RR_ADMISSION_WORK_H
#define RR_ADMISSION_WORK_H

#include "wire/wire.h"

typedef struct {
    double cpu_s, gpu_s; /* CPU seconds and GPU seconds */
    double mem_gb_s;     /* GB seconds */
} rr_work;

/* Returns left + factor * right. */
static inline rr_work rr_work_add(rr_work left, rr_work right, double factor) {
    return (rr_work){left.cpu_s + factor * right.cpu_s, left.gpu_s + factor * right.gpu_s,
                     left.mem_gb_s + factor * right.mem_gb_s};
}

static inline rr_work rr_work_scale(rr_work work, double factor) {
    return (rr_work){factor * work.cpu_s, factor * work.gpu_s, factor * work.mem_gb_s};
}

/* Returns the work of one task by the submission's runtime estimate. Tasks of services are
 * assumed to run for service_s. */
static inline rr_work rr_work_estimate_task(const rr_submission *submission, double service_s) {
    double seconds =
        submission->kind == RR_JOB_SERVICE ? service_s : submission->runtime_estimate_s;
    return (rr_work){submission->cpus * seconds, submission->gpus * seconds,
                     submission->mem_gb * seconds};
}

#endif
