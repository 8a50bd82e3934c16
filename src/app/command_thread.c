/* Carries commands to workers, directly or through a peer. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "worker/worker.h"
#include "core/heartbeats.h"
#include "core/planning.h"

#include <errno.h>

/* Takes an answer's body as a report, which vouches for the machine. True if it was one. */
static bool take_answer(struct rr_app *app, const void *body, size_t length, int via, bool share) {
    rr_document document;
    rr_heartbeat heartbeat;
    rr_heartbeat_digest digest = {0};
    uint32_t wanted = 0, rare = 0;
    bool succeeded = false;
    if (rr_document_parse(&document, body, length) == 0) {
        succeeded = rr_heartbeat_decode(document.root, &heartbeat) == 0;
        if (succeeded) {
            digest = (rr_heartbeat_digest){.worker_epoch = heartbeat.worker_epoch,
                                           .sequence = heartbeat.sequence,
                                           .hash = rr_heartbeat_hash(&heartbeat)};
            g_strlcpy(digest.machine, heartbeat.machine, sizeof digest.machine);
            pthread_mutex_lock(&app->lock);
            share = rr_core_take_command_reply(app->core, rr_steady_clock_s(), &heartbeat, via) &&
                    share;
            wanted = rr_core_heartbeat_subscribers(app->core, digest.machine, &rare);
            pthread_mutex_unlock(&app->lock);
        }
        rr_heartbeat_clear(&heartbeat);
    }
    rr_document_clear(&document);
    if (succeeded && share) {
        rr_peers_send_heartbeat(app->peers, wanted, rare, &digest, body, length);
    }
    return succeeded;
}

#define COMMAND_S 2.0
#define PROBE_S 0.8

/* Without orders it is a probe: a command that does nothing, but brings the present token. What it
 * hears the others hear. */
static void send_command_batch(struct rr_app *app, rr_client *client,
                               const rr_command_batch *batch) {
    rr_encoder encoder;
    bool probe = batch->commands->len == 0;
    double limit = probe ? PROBE_S : COMMAND_S;
    rr_reply reply = {0};
    rr_relayed relayed = {0};
    bool succeeded = false;
    long status = 0;
    int rc = -ENOTCONN, via = batch->via;
    rr_encoder_init(&encoder);
    rr_commands_encode(&encoder, batch->fencing_token, batch->worker_epoch, batch->commands);
    if (via < 0) {
        /* Never heard, its worker_epoch is not known: only its status can be asked. */
        bool ask = probe && batch->worker_epoch == 0;
        rc = rr_worker_call(client, batch->address, ask ? NULL : encoder.buffer.data,
                            ask ? 0 : encoder.buffer.size, limit, &reply);
        /* Only what surely was not sent may go another way. */
        if (rc == -ENOTCONN && batch->fallback >= 0) {
            via = batch->fallback;
        } else if (rc == 0) {
            status = reply.status;
            succeeded = take_answer(app, reply.body->data, reply.body->len, -1, probe);
        }
    }
    if (via >= 0) {
        rc = rr_peers_relay_commands(app->peers, via, batch->address, encoder.buffer.data,
                                     encoder.buffer.size, limit, &relayed);
        if (rc == 0) {
            status = relayed.status;
            succeeded = take_answer(app, relayed.body->data, relayed.body->len, via, false);
        }
    }
    enum rr_command_outcome outcome = rc == -ENOTCONN ? RR_COMMAND_NOT_SENT
                                      : rc == 0 && succeeded && (status == 200 || status == 409)
                                          ? RR_COMMAND_ANSWERED
                                          : RR_COMMAND_OUTCOME_UNKNOWN;
    rr_log(RR_DEBUG_LEVEL, "do %s: %u orders, via %d: %s %ld", batch->machine, batch->commands->len,
           via,
           outcome == RR_COMMAND_ANSWERED          ? "answered"
           : outcome == RR_COMMAND_OUTCOME_UNKNOWN ? "in doubt"
                                                   : "not sent",
           status);
    pthread_mutex_lock(&app->lock);
    rr_core_command_result(app->core, rr_steady_clock_s(), batch, outcome, status == 200);
    rr_app_wake(app);
    pthread_mutex_unlock(&app->lock);
    if (relayed.body) {
        g_byte_array_free(relayed.body, TRUE);
    }
    rr_encoder_clear(&encoder);
}

static void send_from(struct rr_app *app, GQueue *queue, pthread_cond_t *wake) {
    rr_usage_enter(RR_USAGE_COMMANDS);
    rr_client *client = rr_client_create(&app->stop);
    while (!rr_app_stopping(app) && client) {
        pthread_mutex_lock(&app->lock);
        while (!rr_app_stopping(app) && g_queue_is_empty(queue)) {
            rr_app_wait(app, wake, &app->lock, 5.0);
        }
        rr_command_batch *batch = g_queue_pop_head(queue);
        pthread_mutex_unlock(&app->lock);
        if (batch) {
            send_command_batch(app, client, batch);
            rr_command_batch_free(batch);
        }
    }
    rr_client_destroy(client);
    rr_usage_leave();
}

void *rr_command_thread(void *argument) {
    struct rr_app *app = argument;
    send_from(app, &app->command_queue, &app->command_wake);
    return NULL;
}

void *rr_slow_command_thread(void *argument) {
    struct rr_app *app = argument;
    send_from(app, &app->slow_command_queue, &app->slow_command_wake);
    return NULL;
}
