/* What messages of the other controllers do here. */
#ifndef RR_APP_PEER_EVENTS_H
#define RR_APP_PEER_EVENTS_H

#include "app/app.h"

/* Callbacks for rr_peers_create(). They run on the peers' threads and take `lock`. */
struct rr_peer_events rr_app_peer_events(struct rr_app *app);

#endif
