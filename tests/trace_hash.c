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

void trace_bytes(trace_hash *hash, const void *data, size_t size) {
    const uint8_t *bytes = data;
    for (size_t i = 0; i < size; i++) {
        hash->value = (hash->value ^ bytes[i]) * FNV_PRIME;
    }
}

void trace_text(trace_hash *hash, const char *text) {
    trace_int(hash, text ? strlen(text) : UINT64_MAX);
    if (text) {
        trace_bytes(hash, text, strlen(text));
    }
}

void trace_int(trace_hash *hash, uint64_t number) {
    uint8_t bytes[8];
    for (int i = 0; i < 8; i++) {
        bytes[i] = (uint8_t)(number >> (8 * i));
    }
    trace_bytes(hash, bytes, sizeof bytes);
}

void trace_decimal(trace_hash *hash, double number) {
    char text[32];
    snprintf(text, sizeof text, "%.6g", number);
    trace_text(hash, text);
}

/* As it goes to the key-value store: guards, changes and their bytes. */
void trace_txn(trace_hash *hash, const rr_transaction *transaction) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_transaction_encode(transaction, &out);
    trace_int(hash, out.buffer.size);
    trace_bytes(hash, out.buffer.data, out.buffer.size);
    rr_encoder_clear(&out);
}

static void trace_orders(trace_hash *hash, const GArray *commands) {
    trace_int(hash, commands->len);
    for (guint i = 0; i < commands->len; i++) {
        const rr_command *order = &g_array_index(commands, rr_command, i);
        trace_int(hash, order->kind);
        trace_text(hash, order->job_id);
        trace_int(hash, order->task);
        trace_int(hash, order->attempt);
        trace_decimal(hash, order->grace_s);
    }
}

void trace_command(trace_hash *hash, const rr_command_batch *command) {
    trace_text(hash, command->machine);
    trace_text(hash, command->address);
    trace_int(hash, command->fencing_token);
    trace_int(hash, command->worker_epoch);
    trace_orders(hash, command->commands);
    trace_int(hash, (uint64_t)(int64_t)command->peer);
    trace_int(hash, (uint64_t)(int64_t)command->fallback_peer);
    trace_int(hash, command->may_time_out);
}

void trace_plan(trace_hash *hash, const rr_plan *plan) {
    trace_int(hash, plan->has_transaction);
    trace_txn(hash, &plan->transaction);
    trace_int(hash, plan->command_batches->len);
    for (guint i = 0; i < plan->command_batches->len; i++) {
        trace_command(hash, g_ptr_array_index(plan->command_batches, i));
    }
    trace_decimal(hash, plan->next_plan_s);
}

void trace_step(trace_hash *hash, const rr_autoscaler_step *step) {
    trace_int(hash, step->kind);
    trace_txn(hash, &step->transaction);
    trace_text(hash, step->rental);
    trace_text(hash, step->machine_type);
    trace_text(hash, step->zone);
    trace_int(hash, step->spot);
    trace_int(hash, (uint64_t)step->count);
    trace_int(hash, step->machines->len);
    for (guint i = 0; i < step->machines->len; i++) {
        trace_text(hash, g_ptr_array_index(step->machines, i));
    }
}

void trace_answer(trace_hash *hash, const struct rr_heartbeat_reply *answer) {
    trace_int(hash, (uint64_t)answer->status);
    trace_int(hash, answer->fencing_token);
    trace_text(hash, answer->peer);
    if (answer->commands) {
        trace_orders(hash, answer->commands);
    }
}

void trace_job_view(trace_hash *hash, const rr_job_view *view) {
    trace_int(hash, view->known);
    trace_int(hash, view->done);
    trace_int(hash, view->cancelled);
    trace_text(hash, view->state);
    trace_int(hash, view->done_count);
    trace_int(hash, view->running_count);
    trace_int(hash, view->version);
}

void trace_submission(trace_hash *hash, const rr_submission *submission) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_core_encode_job(&out, submission, 0, false);
    trace_bytes(hash, out.buffer.data, out.buffer.size);
    rr_encoder_clear(&out);
}

void trace_stats(trace_hash *hash, const rr_core_stats *stats) {
    const unsigned counts[] = {stats->machines,          stats->booting,
                               stats->jobs_open,         stats->tasks_waiting,
                               stats->tasks_placed,      stats->tasks_moved,
                               stats->machines_rented,   stats->machines_terminated,
                               stats->leases_lost,       stats->spot_notices,
                               stats->machines_examined, stats->retained_jobs};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        trace_int(hash, counts[i]);
    }
    trace_decimal(hash, stats->total_price);
}
