/* Handlers for the messages of the other controllers of the cell. */
#ifndef RR_APP_PEER_EVENTS_H
#define RR_APP_PEER_EVENTS_H

#include "app/app.h"

/* Returns the callbacks for rr_peers_create(). They run on the threads of the peer connections and
 * take `lock`. */
struct rr_peer_events rr_app_peer_events(struct rr_app *app);

#endif
