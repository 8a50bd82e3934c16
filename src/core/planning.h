/* Plans of a team's owner: one transaction, and the commands that follow from it. */
#ifndef RR_CORE_PLANNING_H
#define RR_CORE_PLANNING_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

/* Sets how short this controller's writes to the key-value store are, 0: plentiful, 1: none to
 * spare, and how many changes a plan may make now. Under pressure completions are gathered for
 * longer, so that one change records more of them. A plan never waits for its changes, since other
 * owners reserve the same machines meanwhile. */
void rr_core_set_write_pressure(rr_core *core, double pressure, int changes);

/* Commands for one machine, to be sent together. */
typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE];
    uint64_t fencing_token, worker_epoch;
    GArray *commands;  /* rr_command; empty: a probe, which asks for the machine's status */
    int peer;          /* peer to send through, -1: direct */
    int fallback;      /* peer to try if nothing could be sent directly, -1: none */
    bool may_time_out; /* likely to go unanswered: not to be sent before other batches */
} rr_command_batch;

/* Frees a batch with its commands. */
void rr_command_batch_free(rr_command_batch *batch);

/* What a team's owner does next. */
typedef struct {
    bool has_transaction;
    rr_transaction transaction;
    GPtrArray *command_batches; /* rr_command_batch*, owned */
    double next_s;              /* plan again after this long at the latest */
} rr_plan;

/* Begins an empty plan. Clear it with rr_plan_clear(). */
void rr_plan_init(rr_plan *plan);

/* Frees what the plan owns. */
void rr_plan_clear(rr_plan *plan);

/* Plans for the teams that this controller owns. Leaves *plan empty while the lease is not valid,
 * the store cache is not consistent or a new term is due. Each batch of the plan is to be answered
 * with rr_core_command_result(). Precondition: *plan is initialised and empty. */
void rr_core_plan(rr_core *core, double now, double wall, rr_plan *plan);

/* NOT_SENT: the worker can't have received the commands. OUTCOME_UNKNOWN: it may have. */
enum rr_command_outcome { RR_COMMAND_ANSWERED, RR_COMMAND_NOT_SENT, RR_COMMAND_OUTCOME_UNKNOWN };

/* Takes the outcome of a command batch, after rr_core_take_heartbeat() of the answer's body if
 * there was one. executed: the worker executed the commands, and did not refuse them. */
void rr_core_command_result(rr_core *core, double now, const rr_command_batch *batch,
                            enum rr_command_outcome outcome, bool executed);

/* Takes another controller's finding that a machine sends heartbeats but answers no commands. */
void rr_core_suspect(rr_core *core, const char *machine_name, double now);

/* Adds the names (char*, to be freed by the caller) of the machines that this controller has found
 * so. */
void rr_core_list_suspects(rr_core *core, double now, GPtrArray *machine_names);

#endif
