/* Tracks how long this process has been running without a pause and how long it has heard other
 * controllers and workers without a gap. */
#include "core/health/contacts.h"
#include "core/core_internal.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

void rr_record_contact(rr_contact *contact, double now) {
    if (contact->last_at <= 0 || now - contact->last_at > RR_CONTACT_GAP_MAX_S) {
        contact->continuous_since = now;
    }
    contact->last_at = now;
}

bool rr_contact_continuous_for(const rr_contact *contact, double now, double seconds) {
    return contact->last_at > 0 && now - contact->last_at < RR_CONTACT_GAP_MAX_S &&
           now - contact->continuous_since >= seconds;
}

void rr_core_record_peer_contact(rr_core *core, double now, int peer) {
    if (peer >= 0 && peer < RR_CONTROLLERS_MAX) {
        rr_record_contact(&core->observed.peer_contacts[peer], now);
    }
}

bool rr_peers_connected_for(const rr_core *core, double now, double seconds) {
    if (!rr_process_running_for(core, now, seconds)) {
        return false;
    }
    for (guint i = 0; i < core->membership.term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        int peer = core->membership.peer_by_member[i];
        if (peer >= 0 &&
            !rr_contact_continuous_for(&core->observed.peer_contacts[peer], now, seconds)) {
            return false;
        }
    }
    return true;
}

void rr_record_process_running(rr_core *core, double now) {
    struct rr_observations *observed = &core->observed;
    if (observed->zones_counted_at <= 0 ||
        now - observed->zones_counted_at > RR_CONTACT_GAP_MAX_S) {
        observed->running_since = now;
    }
    observed->zones_counted_at = now;
}

bool rr_process_running_for(const rr_core *core, double now, double seconds) {
    return now - core->observed.running_since >= seconds;
}

void rr_core_record_late_timers(rr_core *core, double now) {
    core->observed.timers_late_at = now;
}

bool rr_core_timers_late(const rr_core *core, double now, double within) {
    return core->observed.timers_late_at > 0 && now - core->observed.timers_late_at < within;
}
