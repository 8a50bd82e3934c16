/* What this process has observed of controllers and zones: the input of failure detection. */
#ifndef RR_CORE_HEALTH_OBSERVATIONS_H
#define RR_CORE_HEALTH_OBSERVATIONS_H

#include "core/core.h"

/* A sender that is heard repeatedly. All times are steady seconds. */
typedef struct {
    double last_at;        /* 0: never */
    double unbroken_since; /* start of the present series without a gap */
} rr_contact;

/* Counts over the machines of one zone that are known to have been up. */
typedef struct {
    guint machines;
    guint heard;  /* of those: schedulable by the age of their heartbeat */
    guint recent; /* of those: heard within the last part of a heartbeat interval */
} rr_zone_heartbeats;

struct rr_observations {
    GArray *partitioned_at;  /* double by zone: when most of it was last overdue, 0: never */
    GArray *zone_heartbeats; /* rr_zone_heartbeats by zone, at zones_counted_at */
    rr_contact peer_contacts[RR_CONTROLLERS_MAX]; /* by peer index: its link to this controller */
    rr_contact direct_contact;                    /* heartbeats sent to this controller itself */
    double zones_counted_at;                      /* steady, 0: never */
    double resumed_at;     /* steady: first count after a pause of this process */
    double timers_late_at; /* steady: when its timers last fired late, 0: never */
};

#endif
