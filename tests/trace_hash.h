/* The running hash of the decision trace: 64-bit FNV-1a over bytes. Integers are hashed as eight
 * bytes, the lowest first, and decimals as text of six significant digits, so that the hash does
 * not depend on the build or the machine. */
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

/* Each of these adds its argument to the hash. */
void trace_hash_bytes(trace_hash *hash, const void *data, size_t size);
void trace_hash_text(trace_hash *hash, const char *text); /* NULL differs from the empty text */
void trace_hash_uint64(trace_hash *hash, uint64_t number);
void trace_hash_double(trace_hash *hash, double number);

/* ---- output of the core ---- */

void trace_hash_transaction(trace_hash *hash, const rr_transaction *transaction);
void trace_hash_command_batch(trace_hash *hash, const rr_command_batch *batch);
void trace_hash_plan(trace_hash *hash, const rr_plan *plan);
void trace_hash_autoscaler_step(trace_hash *hash, const rr_autoscaler_step *step);
void trace_hash_heartbeat_reply(trace_hash *hash, const struct rr_heartbeat_reply *reply);
void trace_hash_job_view(trace_hash *hash, const rr_job_view *view);
void trace_hash_submission(trace_hash *hash, const rr_submission *submission);
void trace_hash_core_stats(trace_hash *hash, const rr_core_stats *stats);

#endif
