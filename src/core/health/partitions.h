/* Partition detection by zone. Losing most of a zone at once is taken for a partition of the
 * network, during which the zone's machines go on with their tasks. */
#ifndef RR_CORE_HEALTH_PARTITIONS_H
#define RR_CORE_HEALTH_PARTITIONS_H

#include "core/state/machines.h"

/* Counts the heartbeats of every zone and notes when each was last partitioned. The functions below
 * rest on the last count, so it precedes verdicts on machines. */
void rr_detect_partitions(rr_core *core, double now);

/* True: most machines of the zone were overdue at the last count. */
bool rr_zone_partitioned(const rr_core *core, int zone);

/* The same, leaving `except` out of the count. */
bool rr_zone_partitioned_besides(const rr_core *core, int zone, const rr_machine *except,
                                 double now);

/* True: hardly any machine of the zone but `except` has been heard in the last part of a heartbeat
 * interval, as in the first moments of a partition. In a small zone this also happens by chance, so
 * that it may only delay a verdict. */
bool rr_zone_partition_begins(const rr_core *core, int zone, const rr_machine *except, double now);

/* Steady time at which the zone was last partitioned, 0: never. */
double rr_zone_partitioned_at(const rr_core *core, int zone);

/* True: this process has been running, and a controller of the zone has been connected to it, for
 * long enough that every healthy machine there would have been heard. */
bool rr_zone_controller_reached(const rr_core *core, int zone, double now);

/* True: the machine is known to have been up, from a heartbeat or from placements in the ledger: a
 * controller that starts during a partition has heard only a few machines of the zone. */
bool rr_machine_was_up(const rr_machine *machine);

#endif
