/* Terms. A term lists the sessions that are its members, under a fencing token one above that of
 * the term before. Any controller that sees the sessions change commits the next term, with a
 * compare-and-swap on the version of the term's record. */
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

/* Replaces the members with those of the term's record, pairs of a name and a lease; malformed
 * pairs are skipped. */
static void decode_members(rr_core *core, const msgpack_object *member_records) {
    g_array_set_size(core->membership.term.members, 0);
    for (uint32_t i = 0; i < member_records->via.array.size; i++) {
        const msgpack_object *member_record = &member_records->via.array.ptr[i];
        rr_session session = {0};
        if (member_record->type == MSGPACK_OBJECT_ARRAY && member_record->via.array.size == 2 &&
            rr_object_get_text(&member_record->via.array.ptr[0], session.name,
                               sizeof session.name) &&
            rr_object_get_u64(&member_record->via.array.ptr[1], &session.lease_id)) {
            g_array_append_val(core->membership.term.members, session);
        }
    }
}

/* Logs who holds which role in the present term. */
static void log_term(const rr_core *core) {
    const struct rr_membership *membership = &core->membership;
    GString *members = g_string_new(NULL);
    for (guint i = 0; i < membership->term.members->len; i++) {
        const rr_session *member = &g_array_index(membership->term.members, rr_session, i);
        g_string_append_printf(members, "%s%s (session %" G_GUINT64_FORMAT "%s)", i ? ", " : "",
                               member->name, member->lease_id,
                               (int)i == membership->autoscaler_member ? ", autoscaler" : "");
    }
    GString *teams = g_string_new(NULL);
    for (size_t i = 0; i < core->config->team_count; i++) {
        if (rr_owns_team(core, (int)i)) {
            g_string_append_printf(teams, "%s%s", teams->len ? ", " : "",
                                   core->config->teams[i].name);
        }
    }
    rr_log_at(core, RR_LOG_INFO,
              "token %" G_GUINT64_FORMAT ", term record of revision %" G_GUINT64_FORMAT
              ": members %s; teams owned here: %s",
              membership->term.token, membership->term.version, members->str,
              teams->len ? teams->str : "none");
    g_string_free(teams, TRUE);
    g_string_free(members, TRUE);
}

void rr_term_put(rr_core *core, const msgpack_object *value, uint64_t version) {
    rr_term *term = &core->membership.term;
    uint64_t token;
    const msgpack_object *member_records = rr_map_get(value, RR_RECORD_MEMBERS);
    if (version < term->version || !rr_map_get_u64(value, RR_RECORD_FENCING_TOKEN, &token) ||
        !member_records || member_records->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    bool is_new = token != term->token;
    term->version = version;
    if (is_new) {
        core->membership.attempt_counter = 0;
        core->membership.new_term_due = false;
    }
    term->token = token;
    rr_map_get_number(value, RR_RECORD_FIRST_TERM_AT, &term->first_term_at);
    decode_members(core, member_records);
    rr_assign_shards(core);
    if (is_new) {
        log_term(core);
    }
    g_array_set_size(core->planning.planned_moves,
                     0); /* the jobs' teams may have other owners now */
}

/* ---- the next term ---- */

/* Compares two elements of a GPtrArray of rr_session by name. */
static gint compare_names(gconstpointer left, gconstpointer right) {
    return strcmp((*(const rr_session *const *)left)->name,
                  (*(const rr_session *const *)right)->name);
}

/* Returns the sessions in the store cache (rr_session*, owned by the core), sorted by name. The
 * caller frees the array. */
static GPtrArray *list_sorted_sessions(const rr_core *core) {
    GPtrArray *sessions = g_ptr_array_new();
    GHashTableIter iter;
    gpointer session;
    g_hash_table_iter_init(&iter, core->membership.sessions);
    while (g_hash_table_iter_next(&iter, NULL, &session)) {
        g_ptr_array_add(sessions, session);
    }
    g_ptr_array_sort(sessions, compare_names);
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

/* Adds the record of the next term, guarded by the version of the present one. */
static void put_next_term_record(const rr_core *core, const GPtrArray *sessions, double wall,
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

bool rr_core_add_next_term_record(rr_core *core, double now, double wall, rr_transaction *out) {
    (void)now;
    if (!core->stored.loaded || core->stored.reloading ||
        !rr_core_session_seen(core, core->membership.lease_id)) {
        return false;
    }
    GPtrArray *sessions = list_sorted_sessions(core);
    bool term_due = sessions_differ_from_members(core, sessions) ||
                    (core->membership.new_term_due && core->membership.term.token > 0);
    if (term_due) {
        put_next_term_record(core, sessions, wall, out);
    }
    g_ptr_array_free(sessions, TRUE);
    return term_due;
}

void rr_core_guard_term(const rr_core *core, rr_transaction *transaction) {
    rr_transaction_guard(transaction, RR_KEY_TERM, core->membership.term.version);
}

void rr_request_new_term(rr_core *core) {
    core->membership.new_term_due = true;
}

void rr_core_activate_next_limits(rr_core *core, bool outcome_unknown) {
    if (!core->stored.next_limits_in_force) {
        rr_log_at(core, RR_LOG_INFO, "key-value store: the next limits are in force");
    }
    core->stored.next_limits_in_force = true;
    if (outcome_unknown) {
        rr_request_new_term(core);
    }
}
