/* The core: the cached state and every decision on it. No I/O, no clock, no thread and no lock:
 * the shell hands in events and times and carries out what comes back, one call at a time (src/app
 * holds its lock around each call). Steady times are `now`, times of day `wall`, both in seconds.
 */
#ifndef RR_CORE_CORE_H
#define RR_CORE_CORE_H

#include "conf/config.h"
#include "wire/wire.h"

#define RR_KEY_ROOT "rr/"

typedef struct rr_core rr_core;

rr_core *rr_core_create(const struct rr_config *config);
void rr_core_destroy(rr_core *core);

/* Where the core tells what it decided, and the highest level wanted; set once by the shell. */
typedef void (*rr_core_log_fn)(int level, const char *line);
void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level);

#endif
