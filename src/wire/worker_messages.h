/* Heartbeats of workers, and commands to them. */
#ifndef RR_WIRE_WORKER_MESSAGES_H
#define RR_WIRE_WORKER_MESSAGES_H

#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/wire_limits.h"

enum rr_task_state {
    RR_TASK_FETCHING, /* waits for its image */
    RR_TASK_RUNNING,
    RR_TASK_SAVING, /* saves a checkpoint, on a stop command */
    RR_TASK_ENDED,
    RR_TASK_WAITING /* of a gang: ready, until all its tasks are */
};

enum rr_exit_reason {
    RR_EXIT_NONE, /* it has not ended */
    RR_EXIT_DONE,
    RR_EXIT_STOPPED,
    RR_EXIT_ERROR,
    RR_EXIT_FULL,       /* start refused: not enough free resources */
    RR_EXIT_IN_USE,     /* start refused: the task is there with another attempt */
    RR_EXIT_NO_SUCH,    /* start refused: no such job or task */
    RR_EXIT_PEERS,      /* another task of the gang is gone */
    RR_EXIT_INCOMPLETE, /* the gang was not complete in time */
    RR_EXIT_OTHER       /* a reason that this version does not know */
};

typedef struct {
    char job_id[RR_ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    enum rr_task_state state;
    enum rr_exit_reason exit_reason;
} rr_task_status;

typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    uint64_t worker_epoch, sequence; /* the larger pair is the newer heartbeat */
    uint64_t fencing_token;          /* highest that the worker has seen */
    double spot_notice_s;            /* until the cloud takes the machine; <0: no notice */
    GArray *tasks;                   /* rr_task_status, owned */
} rr_heartbeat;

/* 0 or -EBADMSG: the whole heartbeat is refused for one task that can't be read, as its list would
 * prove nothing about absent tasks. rr_heartbeat_clear() is due after either. */
int rr_heartbeat_decode(const msgpack_object *object, rr_heartbeat *heartbeat);
/* Frees the tasks. May be repeated. */
void rr_heartbeat_clear(rr_heartbeat *heartbeat);

/* A hash of the content beside machine, worker epoch and sequence: two heartbeats of one worker
 * epoch with the same hash have the same content. */
uint64_t rr_heartbeat_hash(const rr_heartbeat *heartbeat);

/* Stands for a heartbeat whose content the receiver knows by its hash. */
typedef struct {
    char machine[RR_ID_SIZE];
    uint64_t worker_epoch, sequence, hash;
} rr_heartbeat_digest;

/* Takes "job id/number" apart. False: not of this form, or it does not fit. */
bool rr_task_name_parse(const char *text, char *job_id, size_t size, uint32_t *task);

enum rr_command_kind { RR_COMMAND_START, RR_COMMAND_STOP, RR_COMMAND_REAP };

typedef struct {
    enum rr_command_kind kind;
    char job_id[RR_ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    double grace_s; /* of a stop: time to save */
} rr_command;

/* A batch of commands (rr_command; NULL: none): the body of a direct call with the worker_epoch
 * that it is meant for, or of the answer to a heartbeat with worker_epoch 0. */
void rr_commands_encode(rr_encoder *encoder, uint64_t fencing_token, uint64_t worker_epoch,
                        const GArray *commands);

#endif
