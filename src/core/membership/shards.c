/* Shards: which member owns which team, which one is the autoscaler, and their shares of the
 * store's limits. Every controller derives the same from the term's members and the settings alone.
 */
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/membership/membership.h"

#include <string.h>

/* Hashed with a member's name to choose the autoscaler; controllers of every version that share a
 * store hash the same word. */
#define AUTOSCALER_HASH_KEY "/steward"

#define FNV_OFFSET_BASIS 1469598103934665603ULL
#define FNV_PRIME 1099511628211ULL

static const char *member_name(const rr_core *core, guint member) {
    return g_array_index(core->membership.term.members, rr_session, member).name;
}

/* ---- rendezvous hashing ---- */

static uint64_t hash_text(uint64_t hash, const char *text) {
    for (; *text; text++) {
        hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
    }
    return hash;
}

/* FNV-1a with a final mix: the same on every controller and in every version that shares a store.
 */
static uint64_t hash_pair(const char *name, const char *key) {
    uint64_t hash = hash_text(FNV_OFFSET_BASIS, name);
    hash = hash_text(hash, "|");
    hash = hash_text(hash, key);
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

/* The member with the highest hash of its name and the team's: a change of the members moves few
 * teams, and a restart none. */
static int choose_owner(const rr_core *core, const char *team) {
    int best = -1;
    uint64_t highest = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        uint64_t hash = hash_pair(member_name(core, i), team);
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

/* The member that owns the fewest teams, since an owner of most of the work has the least processor
 * time to spare; between equals the one with the highest hash. */
static int choose_autoscaler(const rr_core *core) {
    int best = -1;
    guint fewest = 0;
    uint64_t highest = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        guint team_count = count_owned_teams(core, (int)i);
        uint64_t hash = hash_pair(member_name(core, i), AUTOSCALER_HASH_KEY);
        if (best < 0 || team_count < fewest || (team_count == fewest && hash > highest)) {
            best = (int)i;
            fewest = team_count;
            highest = hash;
        }
    }
    return best;
}

/* ---- what follows from a term ---- */

static void find_own_index(rr_core *core) {
    core->membership.member_index = -1;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        if (strcmp(member_name(core, i), core->config->node_name) == 0) {
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

static void number_shards(rr_core *core) {
    core->membership.shard_count = core->membership.shard = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        if (i == rr_member_index(core)) {
            core->membership.shard = core->membership.shard_count;
        }
        core->membership.shard_count += count_owned_teams(core, (int)i) > 0;
    }
}

static int find_peer(const rr_core *core, const char *name) {
    int peer = -1;
    for (size_t i = 0; i < core->config->peer_count; i++) {
        if (strcmp(core->config->peers[i].name, name) == 0) {
            peer = (int)i;
        }
    }
    return peer;
}

static void find_peers(rr_core *core) {
    for (guint i = 0; i < core->membership.term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        core->membership.peer_of_member[i] = find_peer(core, member_name(core, i));
    }
}

void rr_assign_shards(rr_core *core) {
    find_own_index(core);
    assign_teams(core);
    core->membership.autoscaler_member = choose_autoscaler(core);
    number_shards(core);
    find_peers(core);
}

static bool is_own_index(const rr_core *core, int member) {
    return member >= 0 && member == core->membership.member_index;
}

bool rr_owns_team(const rr_core *core, int team) {
    return team >= 0 && (guint)team < core->membership.team_owners->len &&
           is_own_index(core, g_array_index(core->membership.team_owners, int, team));
}

const char *rr_core_team_owner(const rr_core *core, const char *team) {
    int index = rr_config_team(core->config, team);
    int owner = index >= 0 && (guint)index < core->membership.team_owners->len
                    ? g_array_index(core->membership.team_owners, int, index)
                    : -1;
    bool known = owner >= 0 && (guint)owner < core->membership.term.members->len;
    return known ? member_name(core, (guint)owner) : NULL;
}

bool rr_core_is_autoscaler(const rr_core *core, double now) {
    return rr_core_lease_valid(core, now) && is_own_index(core, core->membership.autoscaler_member);
}

/* ---- shares of the store's limits ---- */

/* Requests: each member follows the store, reads for queries and accepts jobs; owners and the
 * autoscaler add theirs. */
#define REQUESTS_SHARE_ALL_MEMBERS 0.65
#define REQUESTS_SHARE_OWNERS 0.3
#define REQUESTS_SHARE_AUTOSCALER 0.05
/* Changes. */
#define USERS_SHARE 0.35
#define USERS_SHARE_OUTSIDE_TERM 0.3
#define PLANS_SHARE 0.5
#define AUTOSCALER_SHARE 0.15

void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out) {
    double members = core->membership.term.members->len;
    double teams = core->config->team_count ? (double)core->config->team_count : 1;
    if (!rr_is_member(core)) {
        *out = (struct rr_budget_shares){1 / (members + 1),
                                         USERS_SHARE_OUTSIDE_TERM / (members + 1), 0, 0};
        return;
    }
    double owned = count_owned_teams(core, (int)rr_member_index(core)) / teams;
    double autoscaler = is_own_index(core, core->membership.autoscaler_member) ? 1 : 0;
    out->requests = REQUESTS_SHARE_ALL_MEMBERS / members + REQUESTS_SHARE_OWNERS * owned +
                    REQUESTS_SHARE_AUTOSCALER * autoscaler;
    out->users = USERS_SHARE / members;
    out->plans = PLANS_SHARE * owned;
    out->autoscaler = AUTOSCALER_SHARE * autoscaler;
}
