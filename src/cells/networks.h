/* Sets of IP networks, as CIDR prefixes (libcidr). */
#ifndef RR_CELLS_NETWORKS_H
#define RR_CELLS_NETWORKS_H

#include <netinet/in.h>
#include <stdbool.h>

typedef struct rr_networks rr_networks;

/* An empty set. */
rr_networks *rr_networks_create(void);
/* NULL is allowed. */
void rr_networks_destroy(rr_networks *networks);
/* 0; -EINVAL: no CIDR prefix, or one with bits set beyond it; -EEXIST: it overlaps with one that is
 * in the set. */
int rr_networks_add(rr_networks *networks, const char *prefix);
/* Whether some address is in both sets. */
bool rr_networks_overlap(const rr_networks *left, const rr_networks *right);
/* Whether the address is in one of the set's networks. */
bool rr_networks_contain(const rr_networks *networks, const struct in_addr *address);

#endif
