/* The command threads: send command batches to workers, directly or relayed by a peer. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "app/worker_requests.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/heartbeats.h"
#include "core/planning.h"
#include "worker/worker.h"

#include <errno.h>

#define COMMAND_TIMEOUT_S 2.0
#define PROBE_TIMEOUT_S 0.8
#define IDLE_WAIT_S 5.0
#define DIRECT (-1)            /* in place of a peer's index: sent without a relay */
#define STALE_TOKEN_STATUS 409 /* HTTP status of a worker that refuses a stale fencing token */

/* Result of sending a batch. */
struct delivery {
    int rc;             /* 0 or -errno of the last attempt; -ENOTCONN: certainly not sent */
    int peer;           /* index of the peer that relayed the batch, or DIRECT */
    long status;        /* HTTP status of the worker's answer; 0: no answer */
    bool has_heartbeat; /* the answer contained the worker's heartbeat */
};

/* Passes the heartbeat in a worker's answer to the core, which marks the machine as verified. peer:
 * the peer that relayed the answer, or DIRECT. share_with_peers: also sends the heartbeat to the
 * peers, which treat it as one that the machine sent by itself; only done if the machine's own
 * heartbeats arrive, too. Returns false if the answer contains no heartbeat. */
static bool process_worker_answer(struct rr_app *app, const void *body, size_t length, int peer,
                                  bool share_with_peers) {
    rr_document document;
    rr_heartbeat heartbeat;
    rr_heartbeat_digest digest = {0};
    uint32_t subscribers = 0, occasional = 0;
    bool decoded = false;
    if (rr_document_parse(&document, body, length) == 0) {
        decoded = rr_heartbeat_decode(document.root, &heartbeat) == 0;
        if (decoded) {
            digest = rr_app_make_heartbeat_digest(&heartbeat);
            pthread_mutex_lock(&app->lock);
            share_with_peers =
                rr_core_apply_command_reply(app->core, rr_steady_clock_s(), &heartbeat, peer) &&
                share_with_peers;
            subscribers = rr_core_heartbeat_subscribers(app->core, digest.machine, &occasional);
            pthread_mutex_unlock(&app->lock);
        }
        rr_heartbeat_clear(&heartbeat);
    }
    rr_document_clear(&document);
    if (decoded && share_with_peers) {
        rr_peers_send_heartbeat(app->peers, subscribers, occasional, &digest, body, length);
    }
    return decoded;
}

/* Returns whether the batch has no commands: it then only carries the present fencing token and
 * asks for the machine's status. */
static bool is_probe(const rr_command_batch *batch) {
    return batch->commands->len == 0;
}

static double get_batch_timeout_s(const rr_command_batch *batch) {
    return is_probe(batch) ? PROBE_TIMEOUT_S : COMMAND_TIMEOUT_S;
}

/* Sends the batch over a connection to the worker. If it certainly was not sent, sets
 * delivery->peer to the batch's fallback peer, if there is one. */
static void send_directly(struct rr_app *app, rr_http_client *client, const rr_command_batch *batch,
                          const rr_encoder *encoder, struct delivery *delivery) {
    rr_http_reply reply = {0};
    /* The epoch of a worker that has never sent a heartbeat is unknown: the worker can only be
     * asked for its status. */
    bool status_only = is_probe(batch) && batch->worker_epoch == 0;
    delivery->rc =
        rr_worker_call(client, batch->address, status_only ? NULL : encoder->buffer.data,
                       status_only ? 0 : encoder->buffer.size, get_batch_timeout_s(batch), &reply);
    if (delivery->rc == -ENOTCONN && batch->fallback_peer >= 0) {
        delivery->peer = batch->fallback_peer;
    } else if (delivery->rc == 0) {
        delivery->status = reply.status;
        delivery->has_heartbeat =
            process_worker_answer(app, reply.body->data, reply.body->len, DIRECT, is_probe(batch));
    }
}

/* Asks the peer with index delivery->peer to relay the batch to the worker, and records the result
 * in *delivery. */
static void relay_through_peer(struct rr_app *app, const rr_command_batch *batch,
                               const rr_encoder *encoder, struct delivery *delivery) {
    rr_relayed_reply relayed = {0};
    delivery->rc =
        rr_peers_relay_worker_call(app->peers, delivery->peer, batch->address, encoder->buffer.data,
                                   encoder->buffer.size, get_batch_timeout_s(batch), &relayed);
    if (delivery->rc == 0) {
        delivery->status = relayed.status;
        delivery->has_heartbeat = process_worker_answer(app, relayed.body->data, relayed.body->len,
                                                        delivery->peer, false);
    }
    if (relayed.body) {
        g_byte_array_free(relayed.body, TRUE);
    }
}

/* A batch counts as answered only if the answer contains a heartbeat and shows that the worker
 * executed the commands or refused their fencing token. */
static enum rr_command_outcome get_delivery_outcome(const struct delivery *delivery) {
    if (delivery->rc == -ENOTCONN) {
        return RR_COMMAND_NOT_SENT;
    }
    bool answered = delivery->rc == 0 && delivery->has_heartbeat &&
                    (delivery->status == 200 || delivery->status == STALE_TOKEN_STATUS);
    return answered ? RR_COMMAND_ANSWERED : RR_COMMAND_OUTCOME_UNKNOWN;
}

static const char *get_outcome_name(enum rr_command_outcome outcome) {
    switch (outcome) {
    case RR_COMMAND_ANSWERED:
        return "answered";
    case RR_COMMAND_NOT_SENT:
        return "not sent";
    default:
        return "outcome unknown";
    }
}

/* Sends the batch, directly or through a peer, and reports the outcome to the core. Takes
 * rr_app.lock; caller holds no lock. */
static void send_command_batch(struct rr_app *app, rr_http_client *client,
                               const rr_command_batch *batch) {
    struct delivery delivery = {.rc = -ENOTCONN, .peer = batch->peer};
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_commands_encode(&encoder, batch->fencing_token, batch->worker_epoch, batch->commands);
    if (delivery.peer < 0) {
        send_directly(app, client, batch, &encoder, &delivery);
    }
    if (delivery.peer >= 0) {
        relay_through_peer(app, batch, &encoder, &delivery);
    }
    rr_encoder_clear(&encoder);
    enum rr_command_outcome outcome = get_delivery_outcome(&delivery);
    rr_log(RR_DEBUG_LEVEL,
           "commands to machine %s: %u, via peer %d (-1: direct): %s, HTTP status %ld",
           batch->machine, batch->commands->len, delivery.peer, get_outcome_name(outcome),
           delivery.status);
    pthread_mutex_lock(&app->lock);
    rr_core_record_command_result(app->core, rr_steady_clock_s(), batch, outcome,
                                  delivery.status == 200);
    rr_app_wake_planner(app);
    pthread_mutex_unlock(&app->lock);
}

/* Sends the batches of one of the queues until the process stops. wake: signalled when a batch is
 * added to the queue. Ends at once if no HTTP client can be created. */
static void send_queued_commands(struct rr_app *app, GQueue *queue, pthread_cond_t *wake) {
    rr_usage_register_thread(RR_USAGE_COMMANDS);
    rr_http_client *client = rr_http_client_create(&app->stop);
    while (!rr_app_is_stopping(app) && client) {
        pthread_mutex_lock(&app->lock);
        while (!rr_app_is_stopping(app) && g_queue_is_empty(queue)) {
            rr_app_cond_timedwait(wake, &app->lock, IDLE_WAIT_S);
        }
        rr_command_batch *batch = g_queue_pop_head(queue);
        pthread_mutex_unlock(&app->lock);
        if (batch) {
            send_command_batch(app, client, batch);
            rr_command_batch_free(batch);
        }
    }
    rr_http_client_destroy(client);
    rr_usage_unregister_thread();
}

void *rr_command_thread(void *argument) {
    struct rr_app *app = argument;
    send_queued_commands(app, &app->command_queue, &app->command_wake);
    return NULL;
}

void *rr_slow_command_thread(void *argument) {
    struct rr_app *app = argument;
    send_queued_commands(app, &app->slow_command_queue, &app->slow_command_wake);
    return NULL;
}
