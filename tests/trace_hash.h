/* The running hash of the decision trace: 64-bit FNV-1a over bytes. Integers go in as eight bytes,
 * lowest first, and decimals as their text of six digits, so that every build and machine gives the
 * same. */
#ifndef RR_TESTS_TRACE_HASH_H
#define RR_TESTS_TRACE_HASH_H

#include "core/heartbeats.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"

typedef struct {
    uint64_t value;
} trace_hash;

void trace_hash_init(trace_hash *hash);
void trace_bytes(trace_hash *hash, const void *data, size_t size);
void trace_text(trace_hash *hash, const char *text); /* NULL differs from the empty text */
void trace_int(trace_hash *hash, uint64_t number);
void trace_decimal(trace_hash *hash, double number);

/* ---- what the core gives out ---- */
void trace_txn(trace_hash *hash, const rr_transaction *transaction);
void trace_command(trace_hash *hash, const rr_command_batch *command);
void trace_plan(trace_hash *hash, const rr_plan *plan);
void trace_step(trace_hash *hash, const rr_autoscaler_step *step);
void trace_answer(trace_hash *hash, const struct rr_heartbeat_reply *answer);
void trace_job_view(trace_hash *hash, const rr_job_view *view);
void trace_submission(trace_hash *hash, const rr_submission *submission);
void trace_stats(trace_hash *hash, const rr_core_stats *stats);

#endif
