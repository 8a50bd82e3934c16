/* Records what a heartbeat reports about tasks, images and the state of its machine. */
#ifndef RR_CORE_HEALTH_HEARTBEAT_CONTENTS_H
#define RR_CORE_HEALTH_HEARTBEAT_CONTENTS_H

#include "core/state/machines.h"

/* Records what the heartbeat reports that the previous one did not: a lost lease, a spot
 * termination notice and ended tasks. Logs newly started tasks at debug level. Must be called
 * before machine->heartbeat is replaced. */
void rr_record_heartbeat_changes(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                                 double now);

/* Adds the images of the running and waiting tasks in the machine's newest heartbeat to the images
 * that the machine is known to have. */
void rr_record_fetched_images(rr_core *core, rr_machine *machine);

#endif
