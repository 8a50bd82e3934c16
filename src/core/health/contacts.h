/* Tracks how long this process has been running without a pause and how long it has heard other
 * controllers and workers without a gap. */
#ifndef RR_CORE_HEALTH_CONTACTS_H
#define RR_CORE_HEALTH_CONTACTS_H

#include "core/health/observations.h"

/* For this long after a timer fired late, missing heartbeats and failed probes are no evidence
 * against a machine: this process may not have read its messages yet. */
#define RR_LATE_TIMER_GRACE_S 2.0

/* The longest silence, in seconds, that does not interrupt a contact. */
#define RR_CONTACT_GAP_MAX_S 4.0

/* Records that the sender was heard at `now`. */
void rr_record_contact(rr_contact *contact, double now);

/* Returns whether the sender has been heard without a gap for at least the last `seconds`. */
bool rr_contact_continuous_for(const rr_contact *contact, double now, double seconds);

/* Returns whether, for at least the last `seconds`, this process has not paused and has heard every
 * other controller of the term without a gap. */
bool rr_peers_connected_for(const rr_core *core, double now, double seconds);

/* Records that the heartbeats of the zones are being counted. A gap since the last count shows that
 * this process paused and heard no other process meanwhile. */
void rr_record_process_running(rr_core *core, double now);

/* Returns whether this process has run without a pause for at least the last `seconds`. */
bool rr_process_running_for(const rr_core *core, double now, double seconds);

#endif
