/* A proxy of TCP connections between loopback addresses that can be cut: then it holds back what is
 * sent, in both directions, and accepts no connection. */
#ifndef REVIEW_PROXY_H
#define REVIEW_PROXY_H

#include <stdbool.h>

struct proxy;

/* Listens on host:port. Connections go on to target_host:target_port from the address source. Ends
 * the program if it can't listen. */
struct proxy *proxy_start(const char *host, int port, const char *target_host, int target_port,
                          const char *source);
void proxy_set_cut(struct proxy *proxy, bool cut);

#endif
