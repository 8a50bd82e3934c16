/* Sets of IP networks, given as CIDR prefixes and compared with libcidr. */
#ifndef RR_CELLS_NETWORKS_H
#define RR_CELLS_NETWORKS_H

#include <netinet/in.h>
#include <stdbool.h>

typedef struct rr_networks rr_networks;

/* Creates an empty set. */
rr_networks *rr_networks_create(void);
/* Frees the set. NULL is allowed. */
void rr_networks_destroy(rr_networks *networks);
/* Adds a network. Returns 0; -EINVAL: not a CIDR prefix, or one with host bits set; -EEXIST: it
 * overlaps with a network of the set. */
int rr_networks_add(rr_networks *networks, const char *prefix);
/* Returns whether some address is in both sets. */
bool rr_networks_overlap(const rr_networks *left, const rr_networks *right);
/* Returns whether the address is in one of the set's networks. */
bool rr_networks_contain(const rr_networks *networks, const struct in_addr *address);

#endif
