/* The core: a cache of the stored state, and every decision based on it. The core does no I/O,
 * reads no clock, starts no thread and takes no lock: the application (src/app) passes in events
 * and times, carries out the returned decisions, and holds its lock around each call. Parameters
 * named `now` are seconds of the steady clock, those named `wall` seconds of the wall clock. */
#ifndef RR_CORE_CORE_H
#define RR_CORE_CORE_H

#include "conf/config.h"
#include "wire/wire.h"

/* Prefix of every key in the key-value store. */
#define RR_KEY_ROOT "rr/"

typedef struct rr_core rr_core;

/* Creates a core with an empty cache. The settings must outlive it. The caller frees it with
 * rr_core_destroy(). */
rr_core *rr_core_create(const struct rr_config *config);
/* Frees the core and everything it owns; NULL is ignored. */
void rr_core_destroy(rr_core *core);

/* Receives a log line. The text is valid only during the call. */
typedef void (*rr_core_log_fn)(int level, const char *line);
/* Sets the function that receives log lines up to this level (RR_LOG_ERROR to RR_LOG_DEBUG, see
 * core/state/core_log.h). To be called once, before any other thread uses the core. */
void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level);

#endif
