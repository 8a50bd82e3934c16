/* Shards: assigns each team to the member that owns it, chooses the autoscaler, and divides the
 * store's limits between the members. The result depends only on the term's members and the
 * settings, so that all controllers agree on it without exchanging messages. */
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/membership/membership.h"

#include <string.h>

/* Key that is hashed with a member's name to choose the autoscaler. It must not change, because
 * controllers of different versions that share a store have to choose the same member. */
#define AUTOSCALER_HASH_KEY "/steward"

/* The 64-bit offset basis of FNV-1a, 14695981039346656037, lacks its last digit here. It must not
 * be corrected: controllers of different versions would choose different owners. */
#define HASH_SEED 1469598103934665603ULL
#define FNV_PRIME 1099511628211ULL
/* First multiplier and shift of MurmurHash3's 64-bit finalizer. */
#define MIX_MULTIPLIER 0xff51afd7ed558ccdULL
#define MIX_SHIFT 33

static const char *get_member_name(const rr_core *core, guint member) {
    return g_array_index(core->membership.term.members, rr_session, member).name;
}

/* ---- rendezvous hashing ---- */

/* Continues the FNV-1a hash over the bytes of the text. */
static uint64_t hash_text(uint64_t hash, const char *text) {
    for (; *text; text++) {
        hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
    }
    return hash;
}

/* Hashes a member's name with a key. The hash must be the same on all controllers and in all
 * versions that share a store. */
static uint64_t hash_name_with_key(const char *name, const char *key) {
    uint64_t hash = hash_text(HASH_SEED, name);
    hash = hash_text(hash, "|");
    hash = hash_text(hash, key);
    hash ^= hash >> MIX_SHIFT;
    hash *= MIX_MULTIPLIER;
    hash ^= hash >> MIX_SHIFT;
    return hash;
}

/* Returns the index of the member whose name has the highest hash with the team's, or -1 without
 * members. With this rendezvous hashing only few teams change owners when a member joins or leaves,
 * and none when a member restarts. */
static int choose_owner(const rr_core *core, const char *team) {
    int best = -1;
    uint64_t highest = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        uint64_t hash = hash_name_with_key(get_member_name(core, i), team);
        if (best < 0 || hash > highest) {
            best = (int)i;
            highest = hash;
        }
    }
    return best;
}

static guint count_owned_teams(const rr_core *core, int member) {
    guint count = 0;
    for (guint i = 0; i < core->membership.team_owners->len; i++) {
        count += g_array_index(core->membership.team_owners, int, i) == member;
    }
    return count;
}

/* Returns the index of the member that owns the fewest teams, or -1 without members: the owner of
 * most of the work has the least processor time to spare. Ties go to the highest hash. */
static int choose_autoscaler(const rr_core *core) {
    int best = -1;
    guint fewest = 0;
    uint64_t highest = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        guint team_count = count_owned_teams(core, (int)i);
        uint64_t hash = hash_name_with_key(get_member_name(core, i), AUTOSCALER_HASH_KEY);
        if (best < 0 || team_count < fewest || (team_count == fewest && hash > highest)) {
            best = (int)i;
            fewest = team_count;
            highest = hash;
        }
    }
    return best;
}

/* ---- assignment in a term ---- */

static void set_own_member_index(rr_core *core) {
    core->membership.member_index = -1;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        if (strcmp(get_member_name(core, i), core->config->node_name) == 0) {
            core->membership.member_index = (int)i;
        }
    }
}

static void assign_teams(rr_core *core) {
    g_array_set_size(core->membership.team_owners, 0);
    for (size_t i = 0; i < core->config->team_count; i++) {
        int owner = choose_owner(core, core->config->teams[i].name);
        g_array_append_val(core->membership.team_owners, owner);
    }
}

/* Numbers the members that own teams and finds this controller's number. */
static void number_shards(rr_core *core) {
    core->membership.shard_count = core->membership.shard = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        if (i == rr_own_member_index(core)) {
            core->membership.shard = core->membership.shard_count;
        }
        core->membership.shard_count += count_owned_teams(core, (int)i) > 0;
    }
}

/* Returns the index of the configured peer of this name, or -1. */
static int find_peer(const rr_core *core, const char *name) {
    int peer = -1;
    for (size_t i = 0; i < core->config->peer_count; i++) {
        if (strcmp(core->config->peers[i].name, name) == 0) {
            peer = (int)i;
        }
    }
    return peer;
}

static void map_members_to_peers(rr_core *core) {
    for (guint i = 0; i < core->membership.term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        core->membership.peer_by_member[i] = find_peer(core, get_member_name(core, i));
    }
}

void rr_assign_shards(rr_core *core) {
    set_own_member_index(core);
    assign_teams(core);
    core->membership.autoscaler_member = choose_autoscaler(core);
    number_shards(core);
    map_members_to_peers(core);
}

static bool is_own_member_index(const rr_core *core, int member) {
    return member >= 0 && member == core->membership.member_index;
}

bool rr_owns_team(const rr_core *core, int team) {
    return team >= 0 && (guint)team < core->membership.team_owners->len &&
           is_own_member_index(core, g_array_index(core->membership.team_owners, int, team));
}

const char *rr_core_team_owner(const rr_core *core, const char *team) {
    int index = rr_config_find_team(core->config, team);
    int owner = index >= 0 && (guint)index < core->membership.team_owners->len
                    ? g_array_index(core->membership.team_owners, int, index)
                    : -1;
    bool owner_known = owner >= 0 && (guint)owner < core->membership.term.members->len;
    return owner_known ? get_member_name(core, (guint)owner) : NULL;
}

bool rr_core_is_autoscaler(const rr_core *core, double now) {
    return rr_core_lease_valid(core, now) &&
           is_own_member_index(core, core->membership.autoscaler_member);
}

/* ---- shares of the store's limits ---- */

/* Shares of the limit on requests. The first is divided evenly between the members, each of which
 * watches the store, reads for queries and commits accepted jobs. Owners receive the second in
 * proportion to their teams, and the autoscaler the third. */
#define REQUESTS_SHARE_ALL_MEMBERS 0.65
#define REQUESTS_SHARE_OWNERS 0.3
#define REQUESTS_SHARE_AUTOSCALER 0.05
/* Shares of the limit on changes: for users' requests, divided evenly between the members, for
 * plans in proportion to the teams owned, and for the autoscaler's records. A controller that is
 * not yet a member counts itself as one more and uses a smaller share for users. */
#define CHANGES_SHARE_USERS 0.35
#define CHANGES_SHARE_USERS_OUTSIDE_TERM 0.3
#define CHANGES_SHARE_PLANS 0.5
#define CHANGES_SHARE_AUTOSCALER 0.15

void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out) {
    double member_count = core->membership.term.members->len;
    double team_count = core->config->team_count ? (double)core->config->team_count : 1;
    if (!rr_is_member(core)) {
        *out = (struct rr_budget_shares){
            1 / (member_count + 1), CHANGES_SHARE_USERS_OUTSIDE_TERM / (member_count + 1), 0, 0};
        return;
    }
    double owned_share = count_owned_teams(core, (int)rr_own_member_index(core)) / team_count;
    double autoscaler = is_own_member_index(core, core->membership.autoscaler_member) ? 1 : 0;
    out->requests = REQUESTS_SHARE_ALL_MEMBERS / member_count +
                    REQUESTS_SHARE_OWNERS * owned_share + REQUESTS_SHARE_AUTOSCALER * autoscaler;
    out->users = CHANGES_SHARE_USERS / member_count;
    out->plans = CHANGES_SHARE_PLANS * owned_share;
    out->autoscaler = CHANGES_SHARE_AUTOSCALER * autoscaler;
}
