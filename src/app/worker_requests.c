#include "app/worker_requests.h"
#include "app/http_responses.h"
#include "app/thread_helpers.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/heartbeats.h"

#define NOT_FORWARDED (-1) /* instead of a peer's index: the worker sent it to this controller */

rr_heartbeat_digest rr_app_make_heartbeat_digest(const rr_heartbeat *heartbeat) {
    rr_heartbeat_digest digest = {.worker_epoch = heartbeat->worker_epoch,
                                  .sequence = heartbeat->sequence,
                                  .hash = rr_heartbeat_hash(heartbeat)};
    g_strlcpy(digest.machine, heartbeat->machine, sizeof digest.machine);
    return digest;
}

/* Applies the heartbeat, and wakes the planner if its content has changed. peer: index of the peer
 * that forwarded it, or NOT_FORWARDED. The caller holds rr_app.lock. */
static enum rr_heartbeat_effect apply_heartbeat(struct rr_app *app, double now,
                                                rr_heartbeat *heartbeat, int peer) {
    enum rr_heartbeat_effect effect = rr_core_apply_heartbeat(app->core, now, heartbeat, peer);
    if (effect == RR_HEARTBEAT_CHANGED) {
        rr_app_wake_planner(app);
    }
    return effect;
}

void rr_app_receive_forwarded_heartbeat(struct rr_app *app, const void *body, size_t length,
                                        int peer, unsigned hops) {
    rr_document document;
    rr_heartbeat heartbeat;
    if (rr_document_parse(&document, body, length) == 0) {
        if (rr_heartbeat_decode(document.root, &heartbeat) == 0) {
            rr_heartbeat_digest digest = rr_app_make_heartbeat_digest(&heartbeat);
            pthread_mutex_lock(&app->lock);
            enum rr_heartbeat_effect effect =
                apply_heartbeat(app, rr_steady_clock_s(), &heartbeat, peer);
            pthread_mutex_unlock(&app->lock);
            if (effect != RR_HEARTBEAT_IGNORED && hops == 0) {
                rr_peers_forward_heartbeats(app->peers, peer, &digest, 1, body, length);
            }
        }
        rr_heartbeat_clear(&heartbeat);
    }
    rr_document_clear(&document);
}

/* Returns 0 or a negative error code; *heartbeat must be cleared after either. */
static int decode_heartbeat(const struct rr_http_request *request, rr_heartbeat *heartbeat) {
    rr_document document;
    int rc = rr_document_parse(&document, request->body, request->len);
    if (rc == 0) {
        rc = rr_heartbeat_decode(document.root, heartbeat);
    }
    rr_document_clear(&document);
    return rc;
}

/* Encodes the reply as the HTTP response, and frees the reply's commands. */
static void encode_reply(struct rr_http_response *response, struct rr_heartbeat_reply *reply) {
    response->status = reply->status;
    if (reply->status == 200) {
        rr_commands_encode(&response->body, reply->fencing_token, 0, reply->commands);
        g_array_free(reply->commands, TRUE);
    } else {
        rr_encode_map(&response->body, reply->peer ? 1 : 0);
        if (reply->peer) {
            rr_encode_key_text(&response->body, "answers_to", reply->peer);
        }
    }
}

void rr_app_answer_heartbeat(struct rr_app *app, const struct rr_http_request *request,
                             struct rr_http_response *response) {
    rr_heartbeat heartbeat = {0};
    struct rr_heartbeat_reply reply = {0};
    response->close_if_near_limit = true;
    if (decode_heartbeat(request, &heartbeat) != 0) {
        rr_heartbeat_clear(&heartbeat);
        rr_log(RR_INFO_LEVEL, "rejected a malformed heartbeat of %zu bytes from a worker",
               request->len);
        rr_app_answer_error(response, 400, "unreadable report", 0);
        return;
    }
    rr_heartbeat_digest digest = rr_app_make_heartbeat_digest(&heartbeat);
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    rr_core_reply_to_heartbeat(app->core, now, &heartbeat, &reply);
    enum rr_heartbeat_effect effect = apply_heartbeat(app, now, &heartbeat, NOT_FORWARDED);
    uint32_t occasional_subscribers;
    uint32_t subscribers =
        rr_core_heartbeat_subscribers(app->core, digest.machine, &occasional_subscribers);
    pthread_mutex_unlock(&app->lock);
    if (effect != RR_HEARTBEAT_IGNORED) {
        rr_peers_send_heartbeat(app->peers, subscribers, occasional_subscribers, &digest,
                                request->body, request->len);
    }
    encode_reply(response, &reply);
}
