/* Jobs as users submit them. */
#ifndef RR_WIRE_USER_MESSAGES_H
#define RR_WIRE_USER_MESSAGES_H

#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/wire_limits.h"

/* A job array's tasks are independent; a service's run until it is cancelled; of a gang all tasks
 * run at the same time, or none does. */
enum rr_job_kind { RR_JOB_ARRAY, RR_JOB_SERVICE, RR_JOB_GANG };
enum rr_priority { RR_PRIORITY_LOW, RR_PRIORITY_STANDARD, RR_PRIORITY_HIGH, RR_PRIORITY_PROD };

typedef struct {
    char job_id[RR_ID_SIZE], job_class[RR_TEXT_SIZE], team[RR_TEXT_SIZE], image[RR_TEXT_SIZE];
    enum rr_job_kind kind;
    enum rr_priority priority;
    uint32_t task_count;

    /* What each task takes, in cores, devices, GB and seconds. */
    double cpus, gpus, mem_gb, image_size_gb;
    double runtime_estimate_s;    /* without the image fetch; 0 for services */
    double checkpoint_interval_s; /* 0: it never saves */
    double save_s;
    double deadline_s; /* from the submission; <0: none */

    /* Where tasks may run. */
    char zone[RR_TEXT_SIZE];           /* empty: any */
    char (*machine_types)[RR_ID_SIZE]; /* owned and exactly as long as needed: jobs are kept */
    int machine_type_count;            /* 0: any */
    bool one_zone, spread, spot;
} rr_submission;

/* 0 with a submission for rr_submission_clear(); or -EINVAL with the wire's name of the first wrong
 * field, a constant, in *field, and nothing is to be cleared. */
int rr_submission_decode(const msgpack_object *object, rr_submission *submission,
                         const char **field);
/* Frees the machine types. May be repeated. */
void rr_submission_clear(rr_submission *submission);

/* Appends a submission's fields to an open map; rr_submission_field_count() says how many. */
void rr_submission_encode_fields(rr_encoder *encoder, const rr_submission *submission);
/* It depends on the optional fields that are set. */
size_t rr_submission_field_count(const rr_submission *submission);

/* Whether a text has the form of all job ids: "req-" and up to 36 digits. */
bool rr_job_id_valid(const char *job_id);

#endif
