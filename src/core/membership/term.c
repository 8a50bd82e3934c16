/* Terms: each names the sessions that are its members, under a fencing token one above the last.
 * The next term is committed by compare-and-swap on the term's record, by any controller that sees
 * the sessions change. */
#include "core/membership/term.h"
#include "core/cache_feed.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/state/record_words.h"
#include "core/state/store_keys.h"
#include "core/state/transaction.h"

#include <string.h>

/* ---- decoding ---- */

static void decode_members(rr_core *core, const msgpack_object *nodes) {
    g_array_set_size(core->membership.term.members, 0);
    for (uint32_t i = 0; i < nodes->via.array.size; i++) {
        const msgpack_object *node = &nodes->via.array.ptr[i];
        rr_session session = {0};
        if (node->type == MSGPACK_OBJECT_ARRAY && node->via.array.size == 2 &&
            rr_object_text(&node->via.array.ptr[0], session.name, sizeof session.name) &&
            rr_object_u64(&node->via.array.ptr[1], &session.lease_id)) {
            g_array_append_val(core->membership.term.members, session);
        }
    }
}

void rr_term_put(rr_core *core, const msgpack_object *value, uint64_t version) {
    rr_term *term = &core->membership.term;
    uint64_t token;
    const msgpack_object *nodes = rr_map_get(value, RR_RECORD_MEMBERS);
    if (version < term->version || !rr_map_get_u64(value, RR_RECORD_FENCING_TOKEN, &token) ||
        !nodes || nodes->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    term->version = version;
    if (token != term->token) {
        core->membership.attempt_counter = 0;
        core->membership.new_term_wanted = false;
    }
    term->token = token;
    rr_map_get_number(value, RR_RECORD_FIRST_TERM_AT, &term->first_term_at);
    decode_members(core, nodes);
    rr_assign_shards(core);
    g_array_set_size(core->planning.moves, 0); /* their teams may have another owner now */
}

/* ---- the next term ---- */

static gint by_name(gconstpointer left, gconstpointer right) {
    return strcmp((*(const rr_session *const *)left)->name,
                  (*(const rr_session *const *)right)->name);
}

/* Returns the sessions (rr_session*, owned by the core) sorted by name; the caller frees the array.
 */
static GPtrArray *sorted_sessions(const rr_core *core) {
    GPtrArray *sessions = g_ptr_array_new();
    GHashTableIter iter;
    gpointer session;
    g_hash_table_iter_init(&iter, core->membership.sessions);
    while (g_hash_table_iter_next(&iter, NULL, &session)) {
        g_ptr_array_add(sessions, session);
    }
    g_ptr_array_sort(sessions, by_name);
    return sessions;
}

static bool sessions_differ_from_members(const rr_core *core, const GPtrArray *sessions) {
    if (sessions->len != core->membership.term.members->len) {
        return true;
    }
    for (guint i = 0; i < sessions->len; i++) {
        const rr_session *session = g_ptr_array_index(sessions, i);
        const rr_session *member = rr_find_member(core, session->name);
        if (!member || member->lease_id != session->lease_id) {
            return true;
        }
    }
    return false;
}

static void add_next_term(const rr_core *core, const GPtrArray *sessions, double wall,
                          rr_transaction *transaction) {
    const rr_term *term = &core->membership.term;
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 3);
    rr_encode_key_u64(&encoder, RR_RECORD_FENCING_TOKEN, term->token + 1);
    rr_encode_key_number(&encoder, RR_RECORD_FIRST_TERM_AT,
                         term->token ? term->first_term_at : wall);
    rr_encode_text(&encoder, RR_RECORD_MEMBERS);
    rr_encode_array(&encoder, sessions->len);
    for (guint i = 0; i < sessions->len; i++) {
        const rr_session *session = g_ptr_array_index(sessions, i);
        rr_encode_array(&encoder, 2);
        rr_encode_text(&encoder, session->name);
        rr_encode_u64(&encoder, session->lease_id);
    }
    rr_core_guard_term(core, transaction);
    rr_transaction_put(transaction, RR_KEY_TERM, &encoder, 0);
}

bool rr_core_next_term(rr_core *core, double now, double wall, rr_transaction *out) {
    (void)now;
    if (!core->stored.loaded || core->stored.reloading ||
        !rr_core_session_seen(core, core->membership.lease_id)) {
        return false;
    }
    GPtrArray *sessions = sorted_sessions(core);
    bool change = sessions_differ_from_members(core, sessions) ||
                  (core->membership.new_term_wanted && core->membership.term.token > 0);
    if (change) {
        add_next_term(core, sessions, wall, out);
    }
    g_ptr_array_free(sessions, TRUE);
    return change;
}

void rr_core_guard_term(const rr_core *core, rr_transaction *transaction) {
    rr_transaction_guard(transaction, RR_KEY_TERM, core->membership.term.version);
}

void rr_core_next_limits_in_force(rr_core *core, bool in_doubt) {
    if (!core->stored.next_limits_in_force) {
        rr_log_at(core, RR_LOG_INFO, "key-value store: the next limits are in force");
    }
    core->stored.next_limits_in_force = true;
    core->membership.new_term_wanted = core->membership.new_term_wanted || in_doubt;
}
