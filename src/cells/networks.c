#include "cells/networks.h"

#include <errno.h>
#include <glib.h>
#include <libcidr.h>
#include <string.h>

struct rr_networks {
    GPtrArray *prefixes; /* CIDR *, no two of which overlap; owned */
};

static void free_prefix(gpointer prefix) {
    cidr_free(prefix);
}

rr_networks *rr_networks_create(void) {
    rr_networks *networks = g_new0(rr_networks, 1);
    networks->prefixes = g_ptr_array_new_with_free_func(free_prefix);
    return networks;
}

void rr_networks_destroy(rr_networks *networks) {
    if (networks) {
        g_ptr_array_free(networks->prefixes, TRUE);
        g_free(networks);
    }
}

/* Two prefixes overlap only if one contains the other. */
static bool prefixes_overlap(const CIDR *left, const CIDR *right) {
    return cidr_contains(left, right) == 0 || cidr_contains(right, left) == 0;
}

static bool overlaps_any_network(const rr_networks *networks, const CIDR *prefix) {
    for (guint i = 0; i < networks->prefixes->len; i++) {
        if (prefixes_overlap(g_ptr_array_index(networks->prefixes, i), prefix)) {
            return true;
        }
    }
    return false;
}

/* Returns false for an address with bits set beyond its prefix length. Such a setting is refused,
 * since it is unclear whether the address or the network is meant. */
static bool has_no_host_bits(const CIDR *prefix) {
    CIDR *network = cidr_addr_network(prefix);
    bool equal = network && cidr_equals(network, prefix) == 0;
    if (network) {
        cidr_free(network);
    }
    return equal;
}

#define PREFIX_SIZE 64 /* bytes of a prefix's text, with the NUL */
/* cidr_from_str() compares the end of its argument with long suffixes and reads before the start of
 * a shorter argument. Blanks in front of the text keep these reads inside the buffer. */
#define LEADING_BLANKS 16

/* Returns a prefix to be freed with cidr_free(), or NULL if the text is not a CIDR prefix. */
static CIDR *parse_prefix(const char *prefix) {
    char padded[LEADING_BLANKS + PREFIX_SIZE];
    size_t length = strlen(prefix);
    if (length >= PREFIX_SIZE || !strchr(prefix, '/')) {
        return NULL;
    }
    memset(padded, ' ', LEADING_BLANKS);
    memcpy(padded + LEADING_BLANKS, prefix, length + 1);
    return cidr_from_str(padded + LEADING_BLANKS);
}

int rr_networks_add(rr_networks *networks, const char *prefix) {
    CIDR *parsed = parse_prefix(prefix);
    if (!parsed) {
        return -EINVAL;
    }
    int rc = has_no_host_bits(parsed) ? 0 : -EINVAL;
    rc = rc == 0 && overlaps_any_network(networks, parsed) ? -EEXIST : rc;
    if (rc == 0) {
        g_ptr_array_add(networks->prefixes, parsed);
    } else {
        cidr_free(parsed);
    }
    return rc;
}

bool rr_networks_overlap(const rr_networks *left, const rr_networks *right) {
    for (guint i = 0; i < left->prefixes->len; i++) {
        if (overlaps_any_network(right, g_ptr_array_index(left->prefixes, i))) {
            return true;
        }
    }
    return false;
}

bool rr_networks_contain(const rr_networks *networks, const struct in_addr *address) {
    CIDR *host = cidr_from_inaddr(address);
    bool found = false;
    for (guint i = 0; host && !found && i < networks->prefixes->len; i++) {
        found = cidr_contains(g_ptr_array_index(networks->prefixes, i), host) == 0;
    }
    if (host) {
        cidr_free(host);
    }
    return found;
}
