/* Parses addresses in settings and messages. */
#ifndef RR_CONF_ENDPOINT_H
#define RR_CONF_ENDPOINT_H

#include "conf/config.h"

/* Parses an IPv4 address and port, like 10.0.0.1:8080. 0 or -EINVAL. */
int rr_endpoint_parse(const char *text, struct rr_endpoint *out);

#endif
