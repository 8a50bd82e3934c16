#include "app/worker_requests.h"
#include "app/http_responses.h"
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/heartbeats.h"

#define HEARD_HERE (-1) /* in place of a peer's index */

rr_heartbeat_digest rr_app_heartbeat_digest(const rr_heartbeat *heartbeat) {
    rr_heartbeat_digest digest = {.worker_epoch = heartbeat->worker_epoch,
                                  .sequence = heartbeat->sequence,
                                  .hash = rr_heartbeat_hash(heartbeat)};
    g_strlcpy(digest.machine, heartbeat->machine, sizeof digest.machine);
    return digest;
}

/* Takes the heartbeat, and wakes the planner if it changes something. Caller holds `lock`. */
static enum rr_heartbeat_effect take_and_wake(struct rr_app *app, double now,
                                              rr_heartbeat *heartbeat, int peer) {
    enum rr_heartbeat_effect effect = rr_core_apply_heartbeat(app->core, now, heartbeat, peer);
    if (effect == RR_HEARTBEAT_CHANGED) {
        rr_app_wake_planner(app);
    }
    return effect;
}

void rr_app_take_heartbeat(struct rr_app *app, const void *body, size_t length, int peer,
                           unsigned hops) {
    rr_document document;
    rr_heartbeat heartbeat;
    if (rr_document_parse(&document, body, length) == 0) {
        if (rr_heartbeat_decode(document.root, &heartbeat) == 0) {
            rr_heartbeat_digest digest = rr_app_heartbeat_digest(&heartbeat);
            pthread_mutex_lock(&app->lock);
            enum rr_heartbeat_effect effect =
                take_and_wake(app, rr_steady_clock_s(), &heartbeat, peer);
            pthread_mutex_unlock(&app->lock);
            if (effect != RR_HEARTBEAT_IGNORED && hops == 0) {
                rr_peers_forward_heartbeats(app->peers, peer, &digest, 1, body, length);
            }
        }
        rr_heartbeat_clear(&heartbeat);
    }
    rr_document_clear(&document);
}

static int decode_heartbeat(const struct rr_http_request *request, rr_heartbeat *heartbeat) {
    rr_document document;
    int rc = rr_document_parse(&document, request->body, request->len);
    if (rc == 0) {
        rc = rr_heartbeat_decode(document.root, heartbeat);
    }
    rr_document_clear(&document);
    return rc;
}

/* Frees the reply's commands. */
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
    response->yields = true;
    if (decode_heartbeat(request, &heartbeat) != 0) {
        rr_heartbeat_clear(&heartbeat);
        rr_log(RR_INFO_LEVEL, "malformed heartbeat of %zu bytes", request->len);
        rr_app_refuse(response, 400, "unreadable report", 0);
        return;
    }
    rr_heartbeat_digest digest = rr_app_heartbeat_digest(&heartbeat);
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    rr_core_reply_to_heartbeat(app->core, now, &heartbeat, &reply);
    enum rr_heartbeat_effect effect = take_and_wake(app, now, &heartbeat, HEARD_HERE);
    uint32_t occasional,
        subscribers = rr_core_heartbeat_subscribers(app->core, digest.machine, &occasional);
    pthread_mutex_unlock(&app->lock);
    if (effect != RR_HEARTBEAT_IGNORED) {
        rr_peers_send_heartbeat(app->peers, subscribers, occasional, &digest, request->body,
                                request->len);
    }
    encode_reply(response, &reply);
}
