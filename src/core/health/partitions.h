/* Detects network partitions by zone. When most machines of a zone go silent at once, the cause is
 * assumed to be a network partition, during which the machines continue to run their tasks. */
#ifndef RR_CORE_HEALTH_PARTITIONS_H
#define RR_CORE_HEALTH_PARTITIONS_H

#include "core/state/machines.h"

/* Counts the recent heartbeats of every zone and records when each zone was last partitioned. The
 * functions below use the last count, so this must be called before they are. */
void rr_detect_partitions(rr_core *core, double now);

/* Returns whether most machines of the zone had no recent heartbeat at the last count. */
bool rr_zone_partitioned(const rr_core *core, int zone);

/* Like rr_zone_partitioned(), without counting the machine `except`. */
bool rr_zone_partitioned_excluding(const rr_core *core, int zone, const rr_machine *except,
                                   double now);

/* Returns whether a partition of the zone may just have begun: hardly any machine except `except`
 * was heard within the last part of a heartbeat interval. In a small zone this also happens by
 * chance, so it may only delay declaring a machine dead. */
bool rr_zone_partition_suspected(const rr_core *core, int zone, const rr_machine *except,
                                 double now);

/* Returns the steady time at which the zone was last found partitioned, 0: never. */
double rr_zone_partitioned_at(const rr_core *core, int zone);

/* Returns whether this process has run without a pause, and has been connected to a controller of
 * the zone, for long enough to have heard every healthy machine of the zone. */
bool rr_zone_controller_reached(const rr_core *core, int zone, double now);

/* Returns whether the machine is known to have been up, from a heartbeat or from its placements in
 * the ledger. Placements count because a controller that starts during a partition has heard only a
 * few machines of the zone. */
bool rr_machine_was_up(const rr_machine *machine);

#endif
