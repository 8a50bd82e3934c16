/* Planning by the owners of teams. A plan consists of one transaction and the commands to workers
 * that follow from the recorded state. */
#ifndef RR_CORE_PLANNING_H
#define RR_CORE_PLANNING_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

/* Sets the write pressure, from 0 (writes to the key-value store are plentiful) to 1 (none to
 * spare), and the number of changes that a plan may make now. Under pressure, completions are
 * collected for longer, so that one change records more of them. A plan is limited to these changes
 * instead of waiting for more, since other owners could reserve the same machines meanwhile. */
void rr_core_set_write_pressure(rr_core *core, double pressure, int changes);

/* Commands for one machine, sent in one request. */
typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE];
    uint64_t fencing_token; /* of the term that made the plan */
    uint64_t worker_epoch;  /* of the worker that the commands are meant for */
    GArray *commands;       /* rr_command; empty: a probe, which asks for the machine's status */
    int peer;               /* index of the peer to send through, -1: send directly */
    int fallback_peer;      /* peer to try if nothing could be sent directly, -1: none */
    bool may_time_out;      /* probably goes unanswered: must not delay other batches */
} rr_command_batch;

/* Frees the batch and its commands. */
void rr_command_batch_free(rr_command_batch *batch);

/* The result of planning. */
typedef struct {
    bool has_transaction;       /* the transaction is to be committed */
    rr_transaction transaction; /* owned */
    GPtrArray *command_batches; /* rr_command_batch*, owned */
    double next_plan_s;         /* seconds after which to plan again at the latest */
} rr_plan;

/* Initializes an empty plan, which the caller frees with rr_plan_clear(). */
void rr_plan_init(rr_plan *plan);

/* Frees what the plan owns, but not the struct itself. */
void rr_plan_clear(rr_plan *plan);

/* Plans for the teams that this controller owns. *plan must be initialized and empty; it stays
 * empty while the lease is not valid, the store cache is not consistent or a new term is due. The
 * caller reports the outcome of each command batch with rr_core_record_command_result(). */
void rr_core_plan(rr_core *core, double now, double wall, rr_plan *plan);

enum rr_command_outcome {
    RR_COMMAND_ANSWERED,
    RR_COMMAND_NOT_SENT,       /* the worker cannot have received the commands */
    RR_COMMAND_OUTCOME_UNKNOWN /* the worker may have received them, but did not answer */
};

/* Records the outcome of a command batch. If there was an answer, its body has to be passed to
 * rr_core_apply_command_reply() first. executed: the worker executed the commands rather than
 * refusing them. */
void rr_core_record_command_result(rr_core *core, double now, const rr_command_batch *batch,
                                   enum rr_command_outcome outcome, bool executed);

/* Marks a machine as suspect for a few heartbeat intervals, because another controller has found
 * that it sends heartbeats but does not answer commands. */
void rr_core_mark_suspect(rr_core *core, const char *machine_name, double now);

/* Appends the names (char*, freed by the caller) of the machines that this controller itself has
 * found to send heartbeats without answering commands. */
void rr_core_list_suspects(rr_core *core, double now, GPtrArray *machine_names);

#endif
