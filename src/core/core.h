/* The core: the cached state and every decision based on it. It does no I/O, reads no clock, starts
 * no thread and takes no lock: the shell (src/app) passes in events and times, carries out what is
 * returned, and holds its lock around each call. Parameters `now` are steady times, `wall` times of
 * day, both in seconds. */
#ifndef RR_CORE_CORE_H
#define RR_CORE_CORE_H

#include "conf/config.h"
#include "wire/wire.h"

/* Prefix of every key in the key-value store. */
#define RR_KEY_ROOT "rr/"

typedef struct rr_core rr_core;

/* Creates a core without any state. The settings must outlive it. */
rr_core *rr_core_create(const struct rr_config *config);
/* Destroys the core and all it owns; NULL is ignored. */
void rr_core_destroy(rr_core *core);

/* Receives a log line; the text is valid during the call. */
typedef void (*rr_core_log_fn)(int level, const char *line);
/* Sets the function that receives log lines of up to this level (RR_LOG_ERROR to RR_LOG_DEBUG,
 * core/state/core_log.h). To be called once, before any other thread uses the core. */
void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level);

#endif
