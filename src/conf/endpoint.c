#include "conf/endpoint.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

int rr_endpoint_parse(const char *text, struct rr_endpoint *out) {
    const char *colon = strrchr(text, ':');
    struct in_addr address;
    if (!colon || (size_t)(colon - text) >= sizeof out->host || !isdigit((unsigned char)colon[1])) {
        return -EINVAL;
    }
    memcpy(out->host, text, (size_t)(colon - text));
    out->host[colon - text] = 0;
    char *end;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (*end || port == 0 || port > PORT_MAX || inet_pton(AF_INET, out->host, &address) != 1) {
        return -EINVAL;
    }
    out->port = (uint16_t)port;
    return 0;
}
