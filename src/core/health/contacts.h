/* Contact with other controllers and with workers over time, and pauses of this process itself. */
#ifndef RR_CORE_HEALTH_CONTACTS_H
#define RR_CORE_HEALTH_CONTACTS_H

#include "core/health/observations.h"

/* After a late timer, missing heartbeats and failed probes prove nothing for this long. */
#define RR_LATE_TIMER_GRACE_S 2.0

/* A contact is continuous while it is heard at least this often. */
#define RR_CONTACT_GAP_MAX_S 4.0

/* Notes that the sender was heard at `now`. */
void rr_contact_record(rr_contact *contact, double now);

/* True: the sender has been heard without a gap for at least the last `seconds`. */
bool rr_contact_unbroken_for(const rr_contact *contact, double now, double seconds);

/* True: this process has not paused and every other controller of the term has been heard without
 * a gap for at least the last `seconds`. */
bool rr_peers_connected_for(const rr_core *core, double now, double seconds);

/* Notes that the zones are being counted; a gap since the last count shows a pause of this process,
 * during which it heard no other process. */
void rr_record_zone_count(rr_core *core, double now);

/* True: this process has counted its zones without a pause for at least the last `seconds`. */
bool rr_process_running_for(const rr_core *core, double now, double seconds);

#endif
