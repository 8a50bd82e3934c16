#include "cells/networks.h"

#include <errno.h>
#include <glib.h>
#include <libcidr.h>
#include <string.h>

struct rr_networks {
    GPtrArray *prefixes; /* CIDR* */
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

/* One of two prefixes that overlap contains the other. */
static bool overlap(const CIDR *left, const CIDR *right) {
    return cidr_contains(left, right) == 0 || cidr_contains(right, left) == 0;
}

static bool overlaps_any(const rr_networks *networks, const CIDR *prefix) {
    for (guint i = 0; i < networks->prefixes->len; i++) {
        if (overlap(g_ptr_array_index(networks->prefixes, i), prefix)) {
            return true;
        }
    }
    return false;
}

/* An address with bits beyond its prefix is refused: it is unclear which of the two is meant. */
static bool is_network(const CIDR *prefix) {
    CIDR *network = cidr_addr_network(prefix);
    bool same = network && cidr_equals(network, prefix) == 0;
    if (network) {
        cidr_free(network);
    }
    return same;
}

#define PREFIX_SIZE 64
/* libcidr looks for the ends of long names, before the beginning of short ones: it gets blanks. */
#define LEADING_BLANKS 16

static CIDR *parse(const char *prefix) {
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
    CIDR *parsed = parse(prefix);
    if (!parsed) {
        return -EINVAL;
    }
    int rc = is_network(parsed) ? 0 : -EINVAL;
    rc = rc == 0 && overlaps_any(networks, parsed) ? -EEXIST : rc;
    if (rc == 0) {
        g_ptr_array_add(networks->prefixes, parsed);
    } else {
        cidr_free(parsed);
    }
    return rc;
}

bool rr_networks_overlap(const rr_networks *left, const rr_networks *right) {
    for (guint i = 0; i < left->prefixes->len; i++) {
        if (overlaps_any(right, g_ptr_array_index(left->prefixes, i))) {
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
