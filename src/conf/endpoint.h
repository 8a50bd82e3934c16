/* Parses network addresses in settings and messages. */
#ifndef RR_CONF_ENDPOINT_H
#define RR_CONF_ENDPOINT_H

#include "conf/config.h"

/* Parses an IPv4 address and port such as 10.0.0.1:8080. Returns 0, or -EINVAL if text has another
 * form or the port is not in 1 to 65535; *out may be partly written then. */
int rr_endpoint_parse(const char *text, struct rr_endpoint *out);

#endif
