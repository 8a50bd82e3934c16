/* What the content of a heartbeat shows about tasks, images and the machine's own state. */
#ifndef RR_CORE_HEALTH_HEARTBEAT_CONTENTS_H
#define RR_CORE_HEALTH_HEARTBEAT_CONTENTS_H

#include "core/state/machines.h"

/* Records what the heartbeat shows beyond the machine's previous one, which is still in place: a
 * lost lease, a spot notice, failed tasks and, for the log, tasks that run. */
void rr_record_heartbeat_changes(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                                 double now);

/* Adds the images of the tasks in the machine's newest heartbeat to those that it has. */
void rr_record_fetched_images(rr_core *core, rr_machine *machine);

#endif
