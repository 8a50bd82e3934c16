/* TCP sockets of IPv4: addresses, binding, listening. */
#ifndef RR_NET_SOCKET_H
#define RR_NET_SOCKET_H

#include "conf/config.h"

#include <netinet/in.h>

/* host has to be an IPv4 address in digits; another one becomes 0.0.0.0. */
void rr_sockaddr(const struct rr_endpoint *endpoint, struct sockaddr_in *out);

/* A listening socket for the caller to close, or -errno. */
int rr_socket_listen(const struct rr_endpoint *endpoint, int backlog);
/* A socket bound to the address, not listening; flags: of socket(), beside SOCK_CLOEXEC. For the
 * caller to close, or -errno. */
int rr_socket_bind(const struct rr_endpoint *endpoint, int flags);

#endif
