/* Job submissions from users. */
#ifndef RR_WIRE_USER_MESSAGES_H
#define RR_WIRE_USER_MESSAGES_H

#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/wire_limits.h"

/* The tasks of a job array are independent of each other. Those of a service run until it is
 * cancelled. Those of a gang run all at the same time, or none does. */
enum rr_job_kind { RR_JOB_ARRAY, RR_JOB_SERVICE, RR_JOB_GANG };
enum rr_priority { RR_PRIORITY_LOW, RR_PRIORITY_STANDARD, RR_PRIORITY_HIGH, RR_PRIORITY_PROD };

/* A job as its user submits it. */
typedef struct {
    char job_id[RR_ID_SIZE], job_class[RR_TEXT_SIZE], team[RR_TEXT_SIZE], image[RR_TEXT_SIZE];
    enum rr_job_kind kind;
    enum rr_priority priority;
    uint32_t task_count; /* 1 to RR_TASKS_MAX */

    /* Resources and times of each task, in cores, devices, GB and seconds. */
    double cpus, gpus, mem_gb, image_size_gb;
    double runtime_estimate_s;    /* without the image fetch; 0 for a service */
    double checkpoint_interval_s; /* 0: the task saves no checkpoints */
    double checkpoint_save_s;     /* time to save a checkpoint */
    double deadline_s;            /* from the submission; <0: none */

    /* Placement constraints. */
    char zone[RR_TEXT_SIZE];           /* empty: any zone */
    char (*machine_types)[RR_ID_SIZE]; /* owned; no longer than needed, since jobs stay in memory */
    int machine_type_count;            /* 0: any machine type */
    bool one_zone;                     /* all tasks have to run in the same zone */
    bool spread_zones;                 /* at most half of the tasks, rounded up, in one zone */
    bool spot_allowed;                 /* spot machines are allowed */
} rr_submission;

/* Decodes and validates a submission. Returns 0 with a submission that the caller has to pass to
 * rr_submission_clear(); or -EINVAL, with nothing to clear and the name on the wire of the first
 * invalid field, a string constant, in *invalid_field. */
int rr_submission_decode(const msgpack_object *object, rr_submission *submission,
                         const char **invalid_field);
/* Frees the machine types. May be called more than once. */
void rr_submission_clear(rr_submission *submission);

/* Appends the submission's fields to a map that the caller has begun. rr_submission_field_count()
 * returns their number. */
void rr_submission_encode_fields(rr_encoder *encoder, const rr_submission *submission);
/* Returns the number of fields to encode, which depends on the optional fields that are set. */
size_t rr_submission_field_count(const rr_submission *submission);

/* Returns whether a string is a valid job id: "req-" and 1 to 36 digits. */
bool rr_job_id_valid(const char *job_id);

#endif
