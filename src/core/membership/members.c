/* Members of the present term, and the capabilities of their sessions. */
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/membership/membership.h"

#include <string.h>

void rr_membership_init(struct rr_membership *membership) {
    membership->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    membership->term.members = g_array_new(FALSE, TRUE, sizeof(rr_session));
    membership->team_owners = g_array_new(FALSE, TRUE, sizeof(int));
    membership->autoscaler_member = membership->member_index = -1;
}

void rr_membership_clear(struct rr_membership *membership) {
    g_array_free(membership->team_owners, TRUE);
    g_array_free(membership->term.members, TRUE);
    g_hash_table_destroy(membership->sessions);
}

const rr_session *rr_find_member(const rr_core *core, const char *name) {
    const GArray *members = core->membership.term.members;
    for (guint i = 0; i < members->len; i++) {
        const rr_session *member = &g_array_index(members, rr_session, i);
        if (strcmp(member->name, name) == 0) {
            return member;
        }
    }
    return NULL;
}

bool rr_is_member(const rr_core *core) {
    const rr_session *member = rr_find_member(core, core->config->node_name);
    return core->stored.loaded && core->membership.lease_id && member &&
           member->lease_id == core->membership.lease_id;
}

guint rr_own_member_index(const rr_core *core) {
    return core->membership.member_index < 0 ? 0 : (guint)core->membership.member_index;
}

bool rr_core_lease_valid(const rr_core *core, double now) {
    return rr_is_member(core) && now < core->membership.lease_valid_until;
}

unsigned rr_core_count_members(const rr_core *core) {
    return core->membership.term.members->len;
}

uint64_t rr_core_fencing_token(const rr_core *core) {
    return core->membership.term.token;
}

/* ---- capabilities ---- */

/* Tests a session. capability: the lowest one required; unused by tests of other properties. */
typedef bool (*session_predicate)(const rr_session *session, uint64_t capability);

static bool has_capability(const rr_session *session, uint64_t capability) {
    return session->capabilities >= capability;
}

static bool has_transfer_holds(const rr_session *session, uint64_t unused) {
    (void)unused;
    return session->keeps_transfer_holds;
}

/* Whether the present session of every member satisfies the predicate. False without members, and
 * if a member's session of this term has ended or been replaced. */
static bool all_members_satisfy(const rr_core *core, session_predicate predicate,
                                uint64_t capability) {
    const GArray *members = core->membership.term.members;
    for (guint i = 0; i < members->len; i++) {
        const rr_session *member = &g_array_index(members, rr_session, i);
        const rr_session *session = g_hash_table_lookup(core->membership.sessions, member->name);
        if (!session || session->lease_id != member->lease_id || !predicate(session, capability)) {
            return false;
        }
    }
    return members->len > 0;
}

bool rr_all_members_capable(const rr_core *core, uint64_t capability) {
    return all_members_satisfy(core, has_capability, capability);
}

bool rr_core_all_members_support_gangs(const rr_core *core) {
    return rr_all_members_capable(core, RR_CAPABILITY_GANGS);
}

bool rr_core_all_members_support_admission(const rr_core *core) {
    return rr_all_members_capable(core, RR_CAPABILITY_ADMISSION);
}

bool rr_core_all_members_support_holds(const rr_core *core) {
    return all_members_satisfy(core, has_transfer_holds, 0);
}
