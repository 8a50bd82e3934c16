/* IPv4 TCP sockets: address conversion, bind and listen. */
#ifndef RR_NET_SOCKET_H
#define RR_NET_SOCKET_H

#include "conf/config.h"

#include <netinet/in.h>

/* Converts an endpoint to a socket address. A host that is not an IPv4 address in dotted-decimal
 * notation becomes 0.0.0.0. */
void rr_endpoint_to_sockaddr(const struct rr_endpoint *endpoint, struct sockaddr_in *address);

/* Opens a listening socket. Returns its descriptor, which the caller closes, or -errno. */
int rr_socket_listen(const struct rr_endpoint *endpoint, int backlog);
/* Opens a socket bound to the endpoint that does not listen yet. flags are passed to socket() in
 * addition to SOCK_CLOEXEC. Returns the descriptor, which the caller closes, or -errno. */
int rr_socket_bind(const struct rr_endpoint *endpoint, int flags);

#endif
