/* The struct behind rr_core: one part for each folder. Internal to the core. Decisions rest on what
 * is stored, and on observations only where they prove something. */
#ifndef RR_CORE_CORE_INTERNAL_H
#define RR_CORE_CORE_INTERNAL_H

#include "core/autoscaling/autoscaling_state.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/planning_state.h"
#include "core/state/stored_state.h"
#include "core/extensions.h"

typedef struct {
    char *prefix;
    rr_core_record_fn callback;
    void *user;
} rr_record_watch;

/* Set by packages beside the core. */
struct rr_extensions {
    rr_record_watch record_watches[RR_RECORD_WATCHES];
    guint record_watch_count;
    GHashTable *transfer_holds;      /* job id -> rr_hold (transfer_holds.c) */
    bool fair_share_enabled;         /* the next two hold */
    double fair_share[RR_TEAMS_MAX]; /* part of all room, by team of the settings */
    rr_resources total_resources;
};

/* For the log and the tests of growth. */
struct rr_counters {
    unsigned machines_visited; /* machines looked at */
    unsigned moves_made, probes_in_flight, rented, machines_terminated, leases_lost, spot_notices;
};

struct rr_core {
    const struct rr_config *config;
    rr_core_log_fn log_fn;
    int log_level;
    struct rr_stored_state stored;
    struct rr_membership membership;
    struct rr_observations observed;
    struct rr_planning planning;
    struct rr_autoscaling autoscaling;
    struct rr_extensions extensions;
    struct rr_counters counters;
};

/* Formats nothing that is not printed. */
#define RR_LOG_ERROR 0
#define RR_LOG_INFO 1
#define RR_LOG_DEBUG 2

#define rr_log_at(core, level, ...)                                                                \
    do {                                                                                           \
        if ((core)->log_fn && (level) <= (core)->log_level) {                                      \
            rr_log_line_at(core, level, __VA_ARGS__);                                              \
        }                                                                                          \
    } while (0)
void rr_log_line_at(const rr_core *core, int level, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

#endif
