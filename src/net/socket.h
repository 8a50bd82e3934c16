/* What listeners and links share of the sockets' interface. */
#ifndef RR_NET_SOCKET_H
#define RR_NET_SOCKET_H

#include "conf/config.h"

#include <netinet/in.h>

void rr_sockaddr(const struct rr_endpoint *endpoint, struct sockaddr_in *out);
/* A socket bound to the address, not listening yet; flags: of socket(), beside CLOEXEC. The
 * descriptor, or -errno. */
int rr_socket_listen(const struct rr_endpoint *endpoint, int backlog); /* a descriptor, or -errno */
int rr_socket_bind(const struct rr_endpoint *endpoint, int flags);

#endif
