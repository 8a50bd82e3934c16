#include "trace_hash.h"
#include "core/heartbeats.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/stats.h"
#include "core/submissions.h"

#include <stdio.h>
#include <string.h>

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

void trace_hash_init(trace_hash *hash) {
    hash->value = FNV_OFFSET;
}

void trace_hash_bytes(trace_hash *hash, const void *data, size_t size) {
    const uint8_t *bytes = data;
    for (size_t i = 0; i < size; i++) {
        hash->value = (hash->value ^ bytes[i]) * FNV_PRIME;
    }
}

void trace_hash_text(trace_hash *hash, const char *text) {
    trace_hash_uint64(hash, text ? strlen(text) : UINT64_MAX);
    if (text) {
        trace_hash_bytes(hash, text, strlen(text));
    }
}

void trace_hash_uint64(trace_hash *hash, uint64_t number) {
    uint8_t bytes[8];
    for (int i = 0; i < 8; i++) {
        bytes[i] = (uint8_t)(number >> (8 * i));
    }
    trace_hash_bytes(hash, bytes, sizeof bytes);
}

void trace_hash_double(trace_hash *hash, double number) {
    char text[32];
    snprintf(text, sizeof text, "%.6g", number);
    trace_hash_text(hash, text);
}

/* Hashes the encoded request to the key-value store: guards, changes and value bytes. */
void trace_hash_transaction(trace_hash *hash, const rr_transaction *transaction) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_transaction_encode(transaction, &out);
    trace_hash_uint64(hash, out.buffer.size);
    trace_hash_bytes(hash, out.buffer.data, out.buffer.size);
    rr_encoder_clear(&out);
}

static void hash_commands(trace_hash *hash, const GArray *commands) {
    trace_hash_uint64(hash, commands->len);
    for (guint i = 0; i < commands->len; i++) {
        const rr_command *command = &g_array_index(commands, rr_command, i);
        trace_hash_uint64(hash, command->kind);
        trace_hash_text(hash, command->job_id);
        trace_hash_uint64(hash, command->task);
        trace_hash_uint64(hash, command->attempt);
        trace_hash_double(hash, command->grace_s);
    }
}

void trace_hash_command_batch(trace_hash *hash, const rr_command_batch *batch) {
    trace_hash_text(hash, batch->machine);
    trace_hash_text(hash, batch->address);
    trace_hash_uint64(hash, batch->fencing_token);
    trace_hash_uint64(hash, batch->worker_epoch);
    hash_commands(hash, batch->commands);
    trace_hash_uint64(hash, (uint64_t)(int64_t)batch->peer);
    trace_hash_uint64(hash, (uint64_t)(int64_t)batch->fallback_peer);
    trace_hash_uint64(hash, batch->may_time_out);
}

void trace_hash_plan(trace_hash *hash, const rr_plan *plan) {
    trace_hash_uint64(hash, plan->has_transaction);
    trace_hash_transaction(hash, &plan->transaction);
    trace_hash_uint64(hash, plan->command_batches->len);
    for (guint i = 0; i < plan->command_batches->len; i++) {
        trace_hash_command_batch(hash, g_ptr_array_index(plan->command_batches, i));
    }
    trace_hash_double(hash, plan->next_plan_s);
}

void trace_hash_autoscaler_step(trace_hash *hash, const rr_autoscaler_step *step) {
    trace_hash_uint64(hash, step->kind);
    trace_hash_transaction(hash, &step->transaction);
    trace_hash_text(hash, step->rental);
    trace_hash_text(hash, step->machine_type);
    trace_hash_text(hash, step->zone);
    trace_hash_uint64(hash, step->spot);
    trace_hash_uint64(hash, (uint64_t)step->count);
    trace_hash_uint64(hash, step->machines->len);
    for (guint i = 0; i < step->machines->len; i++) {
        trace_hash_text(hash, g_ptr_array_index(step->machines, i));
    }
}

void trace_hash_heartbeat_reply(trace_hash *hash, const struct rr_heartbeat_reply *reply) {
    trace_hash_uint64(hash, (uint64_t)reply->status);
    trace_hash_uint64(hash, reply->fencing_token);
    trace_hash_text(hash, reply->peer);
    if (reply->commands) {
        hash_commands(hash, reply->commands);
    }
}

void trace_hash_job_view(trace_hash *hash, const rr_job_view *view) {
    trace_hash_uint64(hash, view->known);
    trace_hash_uint64(hash, view->done);
    trace_hash_uint64(hash, view->cancelled);
    trace_hash_text(hash, view->state);
    trace_hash_uint64(hash, view->done_count);
    trace_hash_uint64(hash, view->running_count);
    trace_hash_uint64(hash, view->version);
}

void trace_hash_submission(trace_hash *hash, const rr_submission *submission) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_core_encode_job(&out, submission, 0, false);
    trace_hash_bytes(hash, out.buffer.data, out.buffer.size);
    rr_encoder_clear(&out);
}

void trace_hash_core_stats(trace_hash *hash, const rr_core_stats *stats) {
    const unsigned counts[] = {stats->machines,          stats->booting,
                               stats->jobs_open,         stats->tasks_waiting,
                               stats->tasks_placed,      stats->tasks_moved,
                               stats->machines_rented,   stats->machines_terminated,
                               stats->leases_lost,       stats->spot_notices,
                               stats->machines_examined, stats->retained_jobs};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        trace_hash_uint64(hash, counts[i]);
    }
    trace_hash_double(hash, stats->total_price);
}
