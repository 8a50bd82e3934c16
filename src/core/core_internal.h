/* Definition of struct rr_core, internal to the core: each member holds the state of one of the
 * core's folders. Decisions rely on what the store records; observations such as heartbeats count
 * only where they prove something. */
#ifndef RR_CORE_CORE_INTERNAL_H
#define RR_CORE_CORE_INTERNAL_H

#include "core/autoscaling/autoscaling_state.h"
#include "core/extensions.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/planning_state.h"
#include "core/state/core_log.h"
#include "core/state/stored_state.h"

/* A registered watch of the records under a key prefix. */
typedef struct {
    char *prefix; /* owned */
    rr_core_record_fn callback;
    void *user; /* passed to the callback */
} rr_record_watch;

/* State that fair admission and cells set through core/extensions.h. */
struct rr_extensions {
    rr_record_watch record_watches[RR_RECORD_WATCHES_MAX];
    guint record_watch_count;
    GHashTable *transfer_holds;      /* job id -> rr_hold, see state/transfer_holds.c */
    bool fair_share_enabled;         /* overload: the two fields below limit the teams */
    double fair_share[RR_TEAMS_MAX]; /* share of total_resources, by team index of the settings */
    rr_resources total_resources;
};

/* Counts since the start, for logs and tests; see rr_core_stats. */
struct rr_counters {
    unsigned machines_examined; /* machines examined by plans and demand simulations */
    unsigned tasks_moved;
    unsigned probes_in_flight; /* present number of probes without an outcome yet */
    unsigned machines_rented, machines_terminated, leases_lost, spot_notices;
    unsigned unplaced_tasks_stopped; /* stop commands for tasks that ran without a placement */
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
