/* A small HTTP/1.1 server on blocking sockets: one thread a connection. */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include "wire/wire.h"

#include <stdbool.h>

/* Fills the answer's body and returns its status, or HTTP_NO_ANSWER: the connection is closed
 * without an answer, or HTTP_HOLD: nothing is answered for a minute. */
#define HTTP_NO_ANSWER (-1)
#define HTTP_HOLD (-2)
typedef int (*http_handler)(void *user, const char *method, const char *target,
                            const msgpack_object *request, const void *body, size_t length,
                            rr_encoder *out);

/* Listens on this address and port. Never returns NULL. */
struct http_server *http_listen(const char *address, int port, http_handler handler, void *user);
/* While paused, requests are read only after the pause. */
void http_pause(struct http_server *server, bool paused);
void http_stop(struct http_server *server);
/* Copies the value of a query argument; empty if it is missing. */
void http_argument(const char *target, const char *name, char *out, size_t size);

#endif
