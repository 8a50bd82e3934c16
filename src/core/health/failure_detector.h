/* Failure detection: what a missing heartbeat, a spot notice or a failed task means. Silence alone
 * proves nothing about a task: these judgements decide where new work goes and which machine is
 * scaled in. */
#ifndef RR_CORE_HEALTH_FAILURE_DETECTOR_H
#define RR_CORE_HEALTH_FAILURE_DETECTOR_H

#include "core/state/machines.h"

/* After a late timer, missing heartbeats and failed probes prove nothing for this long. */
#define RR_LATE_TIMER_GRACE_S 2.0

/* Something heard now and then: when last, and since when without a pause. */
typedef struct {
    double last_at, unbroken_since;
} rr_contact;

typedef struct {
    guint machines, heard; /* machines that were up, and those of them heard lately */
    guint recent;          /* and in the last part of a report interval */
} rr_zone_heartbeats;

/* What this process has observed of controllers and zones. */
struct rr_observations {
    GArray *partitioned_at;  /* double by zone: when most of it was last overdue, steady */
    GArray *zone_heartbeats; /* rr_zone_heartbeats by zone, at the last count */
    rr_contact peer_contacts[RR_CONTROLLERS_MAX]; /* by index: their links to this controller */
    rr_contact direct_contact;                    /* heartbeats sent to this controller itself */
    double zones_counted_at;                      /* the last count, */
    double woke_at;        /* and the first one after a pause of this process */
    double timers_late_at; /* when this process's timers last fired late, 0: never */
};

bool rr_machine_heartbeat_overdue(const rr_core *core, const rr_machine *machine,
                                  double now); /* does not report on */
bool rr_machine_heartbeat_recent(const rr_core *core, const rr_machine *machine, double now);
bool rr_machine_schedulable(const rr_core *core, const rr_machine *machine, double now);
bool rr_machine_name_reused(const rr_machine *machine, double now); /* another one under its name */
bool rr_machine_quarantined(const rr_machine *machine, double now);
bool rr_machine_heartbeats_lost(const rr_core *core, const rr_machine *machine, double now);
bool rr_machine_failed_recently(const rr_machine *machine,
                                double now); /* failed a task not long ago */
void rr_record_task_failure(rr_core *core, rr_machine *machine, rr_job *job, double now);
/* To be called before machines are judged: counts who is heard in each zone and keeps when each was
 * last cut off. */
void rr_detect_partitions(rr_core *core, double now);
bool rr_zone_partitioned(const rr_core *core, int zone); /* most of it, at the last count */
void rr_contact_record(rr_contact *contact, double now);
/* Every other controller of the term has been heard without a pause for so long. */
bool rr_peers_connected_for(const rr_core *core, double now, double seconds);
bool rr_machine_commands_unanswered(
    const rr_machine *machine); /* reports, but commands get no answer */
bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now);
double rr_heartbeat_age(const rr_machine *machine, double now);

#endif
