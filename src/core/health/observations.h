/* What this process has observed of other controllers and of zones: the input of failure detection.
 * All times are steady seconds. */
#ifndef RR_CORE_HEALTH_OBSERVATIONS_H
#define RR_CORE_HEALTH_OBSERVATIONS_H

#include "core/core.h"

/* When a sender was heard. */
typedef struct {
    double last_at;          /* last heard, 0: never */
    double continuous_since; /* heard without a gap since then */
} rr_contact;

/* Counts over the machines of one zone that are known to have been up. */
typedef struct {
    guint machine_count;
    guint recent_count;  /* of those: rr_machine_heartbeat_recent() */
    guint current_count; /* of those: heard within the last part of a heartbeat interval */
} rr_zone_heartbeat_counts;

struct rr_observations {
    GArray *partitioned_at;  /* double by zone: when most machines were last overdue, 0: never */
    GArray *zone_heartbeats; /* rr_zone_heartbeat_counts by zone, as of zones_counted_at */
    rr_contact peer_contacts[RR_CONTROLLERS_MAX]; /* by peer index: messages from that peer */
    rr_contact direct_contact; /* heartbeats that workers sent to this controller */
    double zones_counted_at;   /* 0: never */
    double running_since;      /* this process has run without a pause since then */
    double timers_late_at;     /* when timers of this process last fired late, 0: never */
};

#endif
