/* Session records. A controller's session record is stored under its lease, so that it disappears
 * with the lease, and lists the capabilities of the controller's version. */
#include "core/membership/sessions.h"
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/state/record_words.h"
#include "wire/wire_words.h"

#include <string.h>

void rr_core_set_session(rr_core *core, uint64_t lease_id, double valid_until) {
    core->membership.lease_id = lease_id;
    core->membership.lease_valid_until = valid_until;
}

bool rr_core_session_seen(const rr_core *core, uint64_t lease_id) {
    const rr_session *session =
        g_hash_table_lookup(core->membership.sessions, core->config->node_name);
    return core->stored.reloading || (session && session->lease_id == lease_id);
}

void rr_core_encode_session(const struct rr_config *config, rr_encoder *encoder,
                            uint64_t lease_id) {
    rr_encode_map(encoder, config->cells ? 3 : 2);
    rr_encode_key_u64(encoder, RR_WORD_LEASE_ID, lease_id);
    if (config->cells) {
        rr_encode_key_bool(encoder, RR_RECORD_KEEPS_HOLDS, true);
    }
    rr_encode_key_u64(encoder, RR_RECORD_CAPABILITIES,
                      config->admission ? RR_CAPABILITY_ADMISSION : RR_CAPABILITY_GANGS);
}

void rr_session_put(rr_core *core, const char *name, const msgpack_object *value) {
    uint64_t lease_id;
    if (!rr_map_get_u64(value, RR_WORD_LEASE_ID, &lease_id) || strlen(name) >= RR_NAME_SIZE) {
        return;
    }
    rr_session *session = g_new0(rr_session, 1);
    g_strlcpy(session->name, name, sizeof session->name);
    session->lease_id = lease_id;
    rr_map_get_u64(value, RR_RECORD_CAPABILITIES, &session->capabilities);
    rr_map_get_bool(value, RR_RECORD_KEEPS_HOLDS, &session->keeps_transfer_holds);
    g_hash_table_replace(core->membership.sessions, session->name, session);
}

void rr_session_delete(rr_core *core, const char *name) {
    g_hash_table_remove(core->membership.sessions, name);
}

void rr_sessions_begin_reload(rr_core *core) {
    g_hash_table_remove_all(core->membership.sessions);
}
