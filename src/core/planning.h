/* Plans of a team owner: one transaction and the commands that follow from it. */
#ifndef RR_CORE_PLANNING_H
#define RR_CORE_PLANNING_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

/* How short the store's changes are for this controller, 0 plenty, 1 none, and how many a plan may
 * make now. Completions are gathered for longer when they are short, so that one change ends more
 * of them; and no plan waits for its changes, since others book the same room meanwhile. */
void rr_core_set_pressure(rr_core *core, double pressure, int changes);

typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE];
    uint64_t fencing_token, worker_epoch;
    GArray *commands;  /* rr_command; empty: only ask for the machine's status */
    int via;           /* peer to go through, -1: direct */
    int fallback;      /* peer to try if nothing could be sent directly, -1: none */
    bool may_time_out; /* it may well not answer: not before others' commands */
} rr_command_batch;

typedef struct {
    bool has_transaction;
    rr_transaction transaction;
    GPtrArray *command_batches; /* rr_command_batch* */
    double next_s;              /* look again after this long at the latest */
} rr_plan;

void rr_plan_init(rr_plan *plan);
void rr_plan_clear(rr_plan *plan);
void rr_command_batch_free(rr_command_batch *batch);
void rr_core_plan(rr_core *core, double now, double wall, rr_plan *out);
enum rr_command_outcome { RR_COMMAND_ANSWERED, RR_COMMAND_NOT_SENT, RR_COMMAND_OUTCOME_UNKNOWN };
/* After rr_core_take_heartbeat() of the answer's body, if there was one. */
void rr_core_command_result(rr_core *core, double now, const rr_command_batch *batch,
                            enum rr_command_outcome outcome, bool executed);

/* A machine reports but answers no command, says a controller that sent some. */
void rr_core_suspect(rr_core *core, const char *machine, double now);
/* Those that this controller has found so: char*. */
void rr_core_list_suspects(rr_core *core, double now, GPtrArray *out);

#endif
