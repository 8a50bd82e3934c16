/* Carries commands to workers, directly or through a peer. */
#include "app/duty.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"
#include "worker/worker.h"

#include <errno.h>

/* Takes an answer's body as a report, which vouches for the machine. True if it was one. */
static bool take_answer(struct rr_app *a, const void *body, size_t len, int via, bool share) {
    rr_document doc;
    rr_heartbeat r;
    rr_heartbeat_digest h = {0};
    uint32_t wanted = 0, rare = 0;
    bool ok = false;
    if (rr_document_parse(&doc, body, len) == 0) {
        ok = rr_heartbeat_decode(doc.root, &r) == 0;
        if (ok) {
            h = (rr_heartbeat_digest){.worker_epoch = r.worker_epoch,
                                      .sequence = r.sequence,
                                      .hash = rr_heartbeat_hash(&r)};
            g_strlcpy(h.machine, r.machine, sizeof h.machine);
            pthread_mutex_lock(&a->lock);
            share = rr_core_take_command_reply(a->core, rr_steady_clock_s(), &r, via) && share;
            wanted = rr_core_heartbeat_subscribers(a->core, h.machine, &rare);
            pthread_mutex_unlock(&a->lock);
        }
        rr_heartbeat_clear(&r);
    }
    rr_document_clear(&doc);
    if (ok && share) {
        rr_peers_send_heartbeat(a->peers, wanted, rare, &h, body, len);
    }
    return ok;
}

#define COMMAND_S 2.0
#define PROBE_S 0.8

/* Without orders it is a probe: a command that does nothing, but brings the present token. What it
 * hears the others hear. */
static void send_command_batch(struct rr_app *a, rr_client *client, const rr_command_batch *d) {
    rr_encoder o;
    bool probe = d->commands->len == 0;
    double limit = probe ? PROBE_S : COMMAND_S;
    rr_reply reply = {0};
    rr_relayed relayed = {0};
    bool ok = false;
    long status = 0;
    int rc = -ENOTCONN, via = d->via;
    rr_encoder_init(&o);
    rr_commands_encode(&o, d->fencing_token, d->worker_epoch, d->commands);
    if (via < 0) {
        /* Never heard, its worker_epoch is not known: only its status can be asked. */
        bool ask = probe && d->worker_epoch == 0;
        rc = rr_worker_call(client, d->address, ask ? NULL : o.buffer.data, ask ? 0 : o.buffer.size,
                            limit, &reply);
        /* Only what surely was not sent may go another way. */
        if (rc == -ENOTCONN && d->fallback >= 0) {
            via = d->fallback;
        } else if (rc == 0) {
            status = reply.status;
            ok = take_answer(a, reply.body->data, reply.body->len, -1, probe);
        }
    }
    if (via >= 0) {
        rc = rr_peers_relay_commands(a->peers, via, d->address, o.buffer.data, o.buffer.size, limit,
                                     &relayed);
        if (rc == 0) {
            status = relayed.status;
            ok = take_answer(a, relayed.body->data, relayed.body->len, via, false);
        }
    }
    enum rr_command_outcome outcome = rc == -ENOTCONN ? RR_COMMAND_NOT_SENT
                                      : rc == 0 && ok && (status == 200 || status == 409)
                                          ? RR_COMMAND_ANSWERED
                                          : RR_COMMAND_OUTCOME_UNKNOWN;
    rr_log(RR_DEBUG_LEVEL, "do %s: %u orders, via %d: %s %ld", d->machine, d->commands->len, via,
           outcome == RR_COMMAND_ANSWERED          ? "answered"
           : outcome == RR_COMMAND_OUTCOME_UNKNOWN ? "in doubt"
                                                   : "not sent",
           status);
    pthread_mutex_lock(&a->lock);
    rr_core_command_result(a->core, rr_steady_clock_s(), d, outcome, status == 200);
    rr_app_wake(a);
    pthread_mutex_unlock(&a->lock);
    if (relayed.body) {
        g_byte_array_free(relayed.body, TRUE);
    }
    rr_encoder_clear(&o);
}

static void send_from(struct rr_app *a, GQueue *queue, pthread_cond_t *wake) {
    rr_usage_enter(RR_USAGE_COMMANDS);
    rr_client *client = rr_client_create(&a->stop);
    while (!rr_app_stopping(a) && client) {
        pthread_mutex_lock(&a->lock);
        while (!rr_app_stopping(a) && g_queue_is_empty(queue)) {
            rr_app_wait(a, wake, &a->lock, 5.0);
        }
        rr_command_batch *d = g_queue_pop_head(queue);
        pthread_mutex_unlock(&a->lock);
        if (d) {
            send_command_batch(a, client, d);
            rr_command_batch_free(d);
        }
    }
    rr_client_destroy(client);
    rr_usage_leave();
}

void *rr_command_thread(void *app) {
    struct rr_app *a = app;
    send_from(a, &a->command_queue, &a->command_wake);
    return NULL;
}

void *rr_slow_command_thread(void *app) {
    struct rr_app *a = app;
    send_from(a, &a->slow_command_queue, &a->slow_command_wake);
    return NULL;
}
