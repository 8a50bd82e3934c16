/* Messages of workers: their heartbeats, and the commands sent to them. */
#ifndef RR_WIRE_WORKER_MESSAGES_H
#define RR_WIRE_WORKER_MESSAGES_H

#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/wire_limits.h"

/* The state of a task on a worker. */
enum rr_task_state {
    RR_TASK_FETCHING, /* waiting for its image */
    RR_TASK_RUNNING,
    RR_TASK_SAVING, /* saving a checkpoint after a stop command */
    RR_TASK_ENDED,
    RR_TASK_WAITING /* task of a gang: ready, waiting for the gang's other tasks */
};

/* Why a task ended, or why the worker refused to start it. */
enum rr_exit_reason {
    RR_EXIT_NONE,             /* the task has not ended */
    RR_EXIT_DONE,             /* it completed */
    RR_EXIT_STOPPED,          /* it was stopped */
    RR_EXIT_ERROR,            /* it failed */
    RR_EXIT_NO_RESOURCES,     /* start refused: not enough free resources */
    RR_EXIT_ATTEMPT_CONFLICT, /* start refused: the worker has another attempt of the task */
    RR_EXIT_UNKNOWN_TASK,     /* start refused: no such job or task */
    RR_EXIT_GANG_PEER_LOST,   /* another task of the gang no longer runs */
    RR_EXIT_GANG_INCOMPLETE,  /* the gang's tasks were not all ready in time */
    RR_EXIT_OTHER             /* a reason that this version does not know */
};

/* A task as a heartbeat describes it. */
typedef struct {
    char job_id[RR_ID_SIZE];
    uint32_t task; /* number in the job, from 0 */
    uint64_t attempt;
    enum rr_task_state state;
    enum rr_exit_reason exit_reason;
} rr_task_status;

/* A worker's periodic report on its machine and its tasks. */
typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    uint64_t worker_epoch, sequence; /* of two heartbeats, the larger pair is newer */
    uint64_t fencing_token;          /* the highest that the worker has seen */
    double spot_notice_s;            /* time until the cloud reclaims the machine; <0: no notice */
    GArray *tasks;                   /* rr_task_status, owned */
} rr_heartbeat;

/* Decodes a heartbeat. Returns 0 or -EBADMSG; the caller has to call rr_heartbeat_clear() after
 * both. One task that can't be decoded makes the whole heartbeat invalid, since an incomplete list
 * would not prove that other tasks are absent. */
int rr_heartbeat_decode(const msgpack_object *object, rr_heartbeat *heartbeat);
/* Frees the tasks. May be called more than once. */
void rr_heartbeat_clear(rr_heartbeat *heartbeat);

/* Returns a hash of the heartbeat's content: the fencing token, whether there is a spot notice, and
 * the tasks. Two heartbeats of the same machine and worker epoch with the same hash count as having
 * the same content. */
uint64_t rr_heartbeat_hash(const rr_heartbeat *heartbeat);

/* Replaces a heartbeat between controllers if the receiver already has one with the same hash. */
typedef struct {
    char machine[RR_ID_SIZE];
    uint64_t worker_epoch, sequence, hash;
} rr_heartbeat_digest;

/* Splits a task name, "job id/number", into the job id and the task's number. Returns false if the
 * string is not a task name, or if the job id does not fit into size bytes. */
bool rr_task_name_parse(const char *text, char *job_id, size_t size, uint32_t *task);

/* RR_COMMAND_REAP makes the worker forget a task that has ended. */
enum rr_command_kind { RR_COMMAND_START, RR_COMMAND_STOP, RR_COMMAND_REAP };

/* A command about one attempt of a task. */
typedef struct {
    enum rr_command_kind kind;
    char job_id[RR_ID_SIZE];
    uint32_t task; /* number in the job, from 0 */
    uint64_t attempt;
    double grace_s; /* of RR_COMMAND_STOP: time allowed for saving a checkpoint */
} rr_command;

/* Encodes a batch of commands (rr_command; NULL: none). With a worker epoch it is the body of a
 * call to a worker and meant for that epoch only. With worker_epoch 0 it is the reply to a
 * heartbeat. */
void rr_commands_encode(rr_encoder *encoder, uint64_t fencing_token, uint64_t worker_epoch,
                        const GArray *commands);

#endif
