/* Sessions, terms and the parting of teams. */
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/state/transaction.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

#include <string.h>

void rr_core_set_session(rr_core *core, uint64_t lease_id, double valid_until) {
    core->membership.lease_id = lease_id;
    core->membership.lease_valid_until = valid_until;
}

void rr_core_set_cache_current(rr_core *core, double when) {
    core->stored.current_at = when > core->stored.current_at ? when : core->stored.current_at;
}

bool rr_core_session_seen(const rr_core *core, uint64_t lease_id) {
    const rr_session *session =
        g_hash_table_lookup(core->membership.sessions, core->config->node_name);
    return core->stored.reloading ||
           (session && session->lease_id == lease_id); /* a reload has not come to it yet */
}

/* What this version can do beyond the first ones, told in its session's record. Those pass over the
 * field. */
void rr_core_encode_session(const struct rr_config *config, rr_encoder *encoder,
                            uint64_t lease_id) {
    rr_encode_map(encoder, config->cells ? 3 : 2);
    rr_encode_key_u64(encoder, "tether", lease_id);
    if (config->cells) {
        rr_encode_key_bool(encoder, "holds", true);
    }
    rr_encode_key_u64(encoder, "able",
                      config->admission ? RR_CAPABILITY_ADMISSION : RR_CAPABILITY_GANGS);
}

bool rr_core_all_gang_capable(const rr_core *core) {
    return rr_all_gang_capable(core);
}

bool rr_all_gang_capable(const rr_core *core) {
    return rr_all_capable(core, RR_CAPABILITY_GANGS);
}

/* The record of a controller of the term, by its present session; NULL: it has none. */
static const rr_session *live_session(const rr_core *core, guint place) {
    const rr_session *recorded = &g_array_index(core->membership.term.members, rr_session, place);
    const rr_session *session = g_hash_table_lookup(core->membership.sessions, recorded->name);
    return session && session->lease_id == recorded->lease_id ? session : NULL;
}

bool rr_all_capable(const rr_core *core, uint64_t capable) {
    bool all = core->membership.term.members->len > 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        const rr_session *session = live_session(core, i);
        all = all && session && session->capabilities >= capable;
    }
    return all;
}

bool rr_core_all_hold_capable(const rr_core *core) {
    bool all = core->membership.term.members->len > 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        const rr_session *session = live_session(core, i);
        all = all && session && session->keeps_holds;
    }
    return all;
}

static const rr_session *term_node(const rr_core *core, const char *name) {
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        const rr_session *session = &g_array_index(core->membership.term.members, rr_session, i);
        if (strcmp(session->name, name) == 0) {
            return session;
        }
    }
    return NULL;
}

bool rr_is_member(const rr_core *core) {
    const rr_session *session = term_node(core, core->config->node_name);
    return core->stored.loaded && core->membership.lease_id && session &&
           session->lease_id == core->membership.lease_id;
}

/* Term, place in the term, counter. Without the place two owners of one term used the same numbers,
 * and a victim marked by its attempt was mistaken for another team's task on the machine. */
uint64_t rr_next_attempt(rr_core *core) {
    return core->membership.term.token << 32 | (uint64_t)rr_member_index(core) << 24 |
           (++core->membership.attempt_counter & 0xffffff);
}

uint64_t rr_attempt_token(uint64_t attempt) {
    return attempt >> 32;
}

guint rr_attempt_member(uint64_t attempt) {
    return (guint)(attempt >> 24 & 0xff);
}

guint rr_member_index(const rr_core *core) {
    return core->membership.member_index < 0 ? 0 : (guint)core->membership.member_index;
}

/* Only an incarnation that the term names and whose lease surely lasts may command. */
bool rr_core_lease_valid(const rr_core *core, double now) {
    return rr_is_member(core) && now < core->membership.lease_valid_until;
}

unsigned rr_core_live_controllers(const rr_core *core) {
    return core->membership.term.members->len;
}

uint64_t rr_core_fencing_token(const rr_core *core) {
    return core->membership.term.token;
}

/* FNV-1a with a final mix: the same on every node and in every version that shares a store. */
static uint64_t hash_pair(const char *left, const char *right) {
    uint64_t hash = 1469598103934665603ULL;
    for (const char *text = left; *text; text++) {
        hash = (hash ^ (unsigned char)*text) * 1099511628211ULL;
    }
    hash = (hash ^ '|') * 1099511628211ULL;
    for (const char *text = right; *text; text++) {
        hash = (hash ^ (unsigned char)*text) * 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

/* Rendezvous hashing by node name: a change of the live set moves few teams, and a restart none. */
static int owner_member(const rr_core *core, const char *what) {
    int best = -1;
    uint64_t most = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        uint64_t hash =
            hash_pair(g_array_index(core->membership.term.members, rr_session, i).name, what);
        if (best < 0 || hash > most) {
            best = (int)i;
            most = hash;
        }
    }
    return best;
}

static guint teams_at(const rr_core *core, int place) {
    guint count = 0;
    for (guint i = 0; i < core->membership.team_owners->len; i++) {
        count += g_array_index(core->membership.team_owners, int, i) == place;
    }
    return count;
}

/* The autoscaler sits with the controller that owns fewest teams: where one owner has most of the
 * work its processor is the narrowest. Rendezvous hashing between equals. */
static int autoscaler_member(const rr_core *core) {
    int best = -1;
    guint fewest = 0;
    uint64_t most = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        guint count = teams_at(core, (int)i);
        /* Every version hashes this word: controllers of two versions must choose the same. */
        uint64_t hash =
            hash_pair(g_array_index(core->membership.term.members, rr_session, i).name, "/steward");
        if (best < 0 || count < fewest || (count == fewest && hash > most)) {
            best = (int)i;
            fewest = count;
            most = hash;
        }
    }
    return best;
}

void rr_assign_shards(rr_core *core) {
    g_array_set_size(core->membership.team_owners, 0);
    core->membership.member_index = -1;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        if (strcmp(g_array_index(core->membership.term.members, rr_session, i).name,
                   core->config->node_name) == 0) {
            core->membership.member_index = (int)i;
        }
    }
    for (size_t i = 0; i < core->config->team_count; i++) {
        int place = owner_member(core, core->config->teams[i].name);
        g_array_append_val(core->membership.team_owners, place);
    }
    core->membership.autoscaler_member = autoscaler_member(core);
    core->membership.shard_count = core->membership.shard = 0;
    for (guint i = 0; i < core->membership.term.members->len; i++) {
        core->membership.shard =
            i == rr_member_index(core) ? core->membership.shard_count : core->membership.shard;
        core->membership.shard_count += teams_at(core, (int)i) > 0;
    }
    for (guint i = 0; i < core->membership.term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        core->membership.peer_of_member[i] = -1;
        for (size_t k = 0; k < core->config->peer_count; k++) {
            if (strcmp(core->config->peers[k].name,
                       g_array_index(core->membership.term.members, rr_session, i).name) == 0) {
                core->membership.peer_of_member[i] = (int)k;
            }
        }
    }
}

static bool member_at(const rr_core *core, int place) {
    return place >= 0 && place == core->membership.member_index;
}

bool rr_owns_team(const rr_core *core, int team) {
    return team >= 0 && (guint)team < core->membership.team_owners->len &&
           member_at(core, g_array_index(core->membership.team_owners, int, team));
}

void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out) {
    double live = core->membership.term.members->len,
           teams = core->config->team_count ? (double)core->config->team_count : 1;
    if (!rr_is_member(core)) {
        *out = (struct rr_budget_shares){1 / (live + 1), 0.3 / (live + 1), 0, 0};
        return;
    }
    double own = teams_at(core, (int)rr_member_index(core)) / teams;
    double provisioners = member_at(core, core->membership.autoscaler_member) ? 1 : 0;
    /* Everybody store caches, reads for polls and accepts. */
    out->requests = 0.65 / live + 0.3 * own + 0.05 * provisioners;
    out->users = 0.35 / live;
    out->plans = 0.5 * own;
    out->autoscaler = 0.15 * provisioners;
}

bool rr_core_is_autoscaler(const rr_core *core, double now) {
    return rr_core_lease_valid(core, now) && member_at(core, core->membership.autoscaler_member);
}

static gint by_name(gconstpointer left, gconstpointer right) {
    return strcmp((*(const rr_session *const *)left)->name,
                  (*(const rr_session *const *)right)->name);
}

static bool sessions_changed(const rr_core *core, const GPtrArray *live) {
    if (live->len != core->membership.term.members->len) {
        return true;
    }
    for (guint i = 0; i < live->len; i++) {
        const rr_session *session = g_ptr_array_index(live, i);
        const rr_session *recorded = term_node(core, session->name);
        if (!recorded || recorded->lease_id != session->lease_id) {
            return true;
        }
    }
    return false;
}

void rr_core_lower_limits(rr_core *core, bool in_doubt) {
    if (!core->stored.next_limits_in_force) {
        rr_log_at(core, RR_LOG_INFO, "state service: the lower limits hold");
    }
    core->stored.next_limits_in_force = true;
    core->membership.new_term_wanted = core->membership.new_term_wanted || in_doubt;
}

bool rr_core_next_term(rr_core *core, double now, double wall, rr_transaction *out) {
    (void)now;
    if (!core->stored.loaded || core->stored.reloading ||
        !rr_core_session_seen(core, core->membership.lease_id)) {
        return false;
    }
    GPtrArray *live = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->membership.sessions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(live, value);
    }
    g_ptr_array_sort(live, by_name);
    bool change = sessions_changed(core, live) ||
                  (core->membership.new_term_wanted && core->membership.term.token > 0);
    if (change) {
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_encode_map(&encoder, 3);
        rr_encode_key_u64(&encoder, "token", core->membership.term.token + 1);
        rr_encode_key_number(&encoder, "born",
                             core->membership.term.token ? core->membership.term.first_term_at
                                                         : wall);
        rr_encode_text(&encoder, "nodes");
        rr_encode_array(&encoder, live->len);
        for (guint i = 0; i < live->len; i++) {
            const rr_session *session = g_ptr_array_index(live, i);
            rr_encode_array(&encoder, 2);
            rr_encode_text(&encoder, session->name);
            rr_encode_u64(&encoder, session->lease_id);
        }
        rr_transaction_guard(out, RR_KEY_ROOT "term", core->membership.term.version);
        rr_transaction_put(out, RR_KEY_ROOT "term", &encoder, 0);
    }
    g_ptr_array_free(live, TRUE);
    return change;
}
