/* The struct behind rr_core: one part for each folder. Internal to the core. Decisions rely on what
 * the store records, and on observations only where these prove something. */
#ifndef RR_CORE_CORE_INTERNAL_H
#define RR_CORE_CORE_INTERNAL_H

#include "core/autoscaling/autoscaling_state.h"
#include "core/extensions.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/planning_state.h"
#include "core/state/core_log.h"
#include "core/state/stored_state.h"

typedef struct {
    char *prefix;
    rr_core_record_fn callback;
    void *user;
} rr_record_watch;

/* Set by fair admission and by cells. */
struct rr_extensions {
    rr_record_watch record_watches[RR_RECORD_WATCHES];
    guint record_watch_count;
    GHashTable *transfer_holds;      /* job id -> rr_hold (transfer_holds.c) */
    bool fair_share_enabled;         /* the next two are in force */
    double fair_share[RR_TEAMS_MAX]; /* share of total_resources, by team of the settings */
    rr_resources total_resources;
};

/* Counts since the start, for logs and tests. */
struct rr_counters {
    unsigned machines_visited; /* examined by plans */
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

#endif
