/* Contact with other controllers and with workers over time, and pauses of this process itself. */
#include "core/health/contacts.h"
#include "core/core_internal.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

void rr_contact_record(rr_contact *contact, double now) {
    if (contact->last_at <= 0 || now - contact->last_at > RR_CONTACT_GAP_MAX_S) {
        contact->unbroken_since = now;
    }
    contact->last_at = now;
}

bool rr_contact_unbroken_for(const rr_contact *contact, double now, double seconds) {
    return contact->last_at > 0 && now - contact->last_at < RR_CONTACT_GAP_MAX_S &&
           now - contact->unbroken_since >= seconds;
}

void rr_core_peer_contacted(rr_core *core, double now, int peer) {
    if (peer >= 0 && peer < RR_CONTROLLERS_MAX) {
        rr_contact_record(&core->observed.peer_contacts[peer], now);
    }
}

bool rr_peers_connected_for(const rr_core *core, double now, double seconds) {
    if (!rr_process_running_for(core, now, seconds)) {
        return false;
    }
    for (guint i = 0; i < core->membership.term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        int peer = core->membership.peer_of_member[i];
        if (peer >= 0 &&
            !rr_contact_unbroken_for(&core->observed.peer_contacts[peer], now, seconds)) {
            return false;
        }
    }
    return true;
}

void rr_record_zone_count(rr_core *core, double now) {
    struct rr_observations *observed = &core->observed;
    if (observed->zones_counted_at <= 0 ||
        now - observed->zones_counted_at > RR_CONTACT_GAP_MAX_S) {
        observed->resumed_at = now;
    }
    observed->zones_counted_at = now;
}

bool rr_process_running_for(const rr_core *core, double now, double seconds) {
    return now - core->observed.resumed_at >= seconds;
}

void rr_core_set_timers_late(rr_core *core, double now) {
    core->observed.timers_late_at = now;
}

bool rr_core_timers_late(const rr_core *core, double now, double within) {
    return core->observed.timers_late_at > 0 && now - core->observed.timers_late_at < within;
}
