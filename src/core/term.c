/* Sessions, terms and the parting of teams. */
#include "core/model.h"

#include <string.h>

void rr_core_set_session(rr_core *c, uint64_t tether, double entitled_until) {
    c->lease_id = tether;
    c->entitled_until = entitled_until;
}

void rr_core_set_cache_current(rr_core *c, double at) {
    c->fresh_at = at > c->fresh_at ? at : c->fresh_at;
}

bool rr_core_session_seen(const rr_core *c, uint64_t tether) {
    const rr_session *s = g_hash_table_lookup(c->sessions, c->config->node_name);
    return c->rereading || (s && s->lease_id == tether); /* a reread has not come to it yet */
}

/* What this version can do beyond the first ones, told in its session's record. Those pass over the
 * field. */
void rr_core_encode_session(const struct rr_config *cfg, rr_encoder *o, uint64_t tether) {
    rr_encode_map(o, cfg->cells ? 3 : 2);
    rr_encode_key_u64(o, "tether", tether);
    if (cfg->cells) {
        rr_encode_key_bool(o, "holds", true);
    }
    rr_encode_key_u64(o, "able", cfg->admission ? RR_CAPABILITY_ADMISSION : RR_CAPABILITY_GANGS);
}

bool rr_core_all_gang_capable(const rr_core *c) {
    return rr_all_gang_capable(c);
}

bool rr_all_gang_capable(const rr_core *c) {
    return rr_all_capable(c, RR_CAPABILITY_GANGS);
}

/* The record of a controller of the term, by its present session; NULL: it has none. */
static const rr_session *live_session(const rr_core *c, guint place) {
    const rr_session *t = &g_array_index(c->term.members, rr_session, place);
    const rr_session *s = g_hash_table_lookup(c->sessions, t->name);
    return s && s->lease_id == t->lease_id ? s : NULL;
}

bool rr_all_capable(const rr_core *c, uint64_t able) {
    bool all = c->term.members->len > 0;
    for (guint i = 0; i < c->term.members->len; i++) {
        const rr_session *s = live_session(c, i);
        all = all && s && s->capabilities >= able;
    }
    return all;
}

bool rr_core_all_hold_capable(const rr_core *c) {
    bool all = c->term.members->len > 0;
    for (guint i = 0; i < c->term.members->len; i++) {
        const rr_session *s = live_session(c, i);
        all = all && s && s->keeps_holds;
    }
    return all;
}

static const rr_session *term_node(const rr_core *c, const char *name) {
    for (guint i = 0; i < c->term.members->len; i++) {
        const rr_session *s = &g_array_index(c->term.members, rr_session, i);
        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

bool rr_is_member(const rr_core *c) {
    const rr_session *s = term_node(c, c->config->node_name);
    return c->loaded && c->lease_id && s && s->lease_id == c->lease_id;
}

/* Term, place in the term, counter. Without the place two owners of one term used the same numbers,
 * and a victim marked by its attempt was mistaken for another team's task on the machine. */
uint64_t rr_next_attempt(rr_core *c) {
    return c->term.token << 32 | (uint64_t)rr_member_index(c) << 24 | (++c->counter & 0xffffff);
}

uint64_t rr_attempt_token(uint64_t attempt) {
    return attempt >> 32;
}

guint rr_attempt_member(uint64_t attempt) {
    return (guint)(attempt >> 24 & 0xff);
}

guint rr_member_index(const rr_core *c) {
    return c->place < 0 ? 0 : (guint)c->place;
}

/* Only an incarnation that the term names and whose lease surely lasts may command. */
bool rr_core_lease_valid(const rr_core *c, double now) {
    return rr_is_member(c) && now < c->entitled_until;
}

unsigned rr_core_live_controllers(const rr_core *c) {
    return c->term.members->len;
}

uint64_t rr_core_fencing_token(const rr_core *c) {
    return c->term.token;
}

/* FNV-1a with a final mix: the same on every node and in every version that shares a store. */
static uint64_t hash_pair(const char *a, const char *b) {
    uint64_t h = 1469598103934665603ULL;
    for (const char *s = a; *s; s++) {
        h = (h ^ (unsigned char)*s) * 1099511628211ULL;
    }
    h = (h ^ '|') * 1099511628211ULL;
    for (const char *s = b; *s; s++) {
        h = (h ^ (unsigned char)*s) * 1099511628211ULL;
    }
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    return h;
}

/* Rendezvous hashing by node name: a change of the live set moves few teams, and a restart none. */
static int owner_member(const rr_core *c, const char *what) {
    int best = -1;
    uint64_t most = 0;
    for (guint i = 0; i < c->term.members->len; i++) {
        uint64_t h = hash_pair(g_array_index(c->term.members, rr_session, i).name, what);
        if (best < 0 || h > most) {
            best = (int)i;
            most = h;
        }
    }
    return best;
}

static guint teams_at(const rr_core *c, int place) {
    guint n = 0;
    for (guint i = 0; i < c->owners->len; i++) {
        n += g_array_index(c->owners, int, i) == place;
    }
    return n;
}

/* The provisioner sits with the controller that owns fewest teams: where one owner has most of the
 * work its processor is the narrowest. Rendezvous hashing between equals. */
static int autoscaler_member(const rr_core *c) {
    int best = -1;
    guint fewest = 0;
    uint64_t most = 0;
    for (guint i = 0; i < c->term.members->len; i++) {
        guint n = teams_at(c, (int)i);
        /* Every version hashes this word: controllers of two versions must choose the same. */
        uint64_t h = hash_pair(g_array_index(c->term.members, rr_session, i).name, "/steward");
        if (best < 0 || n < fewest || (n == fewest && h > most)) {
            best = (int)i;
            fewest = n;
            most = h;
        }
    }
    return best;
}

void rr_assign_shards(rr_core *c) {
    g_array_set_size(c->owners, 0);
    c->place = -1;
    for (guint i = 0; i < c->term.members->len; i++) {
        if (strcmp(g_array_index(c->term.members, rr_session, i).name, c->config->node_name) == 0) {
            c->place = (int)i;
        }
    }
    for (size_t i = 0; i < c->config->team_count; i++) {
        int place = owner_member(c, c->config->teams[i].name);
        g_array_append_val(c->owners, place);
    }
    c->autoscaler = autoscaler_member(c);
    c->parts = c->part = 0;
    for (guint i = 0; i < c->term.members->len; i++) {
        c->part = i == rr_member_index(c) ? c->parts : c->part;
        c->parts += teams_at(c, (int)i) > 0;
    }
    for (guint i = 0; i < c->term.members->len && i < RR_CONTROLLERS_MAX; i++) {
        c->peer_at[i] = -1;
        for (size_t k = 0; k < c->config->peer_count; k++) {
            if (strcmp(c->config->peers[k].name,
                       g_array_index(c->term.members, rr_session, i).name) == 0) {
                c->peer_at[i] = (int)k;
            }
        }
    }
}

static bool member_at(const rr_core *c, int place) {
    return place >= 0 && place == c->place;
}

bool rr_owns_team(const rr_core *c, int team) {
    return team >= 0 && (guint)team < c->owners->len &&
           member_at(c, g_array_index(c->owners, int, team));
}

void rr_core_budget_shares(const rr_core *c, struct rr_budget_shares *out) {
    double live = c->term.members->len,
           teams = c->config->team_count ? (double)c->config->team_count : 1;
    if (!rr_is_member(c)) {
        *out = (struct rr_budget_shares){1 / (live + 1), 0.3 / (live + 1), 0, 0};
        return;
    }
    double own = teams_at(c, (int)rr_member_index(c)) / teams;
    double provisioners = member_at(c, c->autoscaler) ? 1 : 0;
    /* Everybody mirrors, reads for polls and accepts. */
    out->requests = 0.65 / live + 0.3 * own + 0.05 * provisioners;
    out->users = 0.35 / live;
    out->plans = 0.5 * own;
    out->autoscaler = 0.15 * provisioners;
}

bool rr_core_is_autoscaler(const rr_core *c, double now) {
    return rr_core_lease_valid(c, now) && member_at(c, c->autoscaler);
}

static gint by_name(gconstpointer a, gconstpointer b) {
    return strcmp((*(const rr_session *const *)a)->name, (*(const rr_session *const *)b)->name);
}

static bool sessions_changed(const rr_core *c, const GPtrArray *live) {
    if (live->len != c->term.members->len) {
        return true;
    }
    for (guint i = 0; i < live->len; i++) {
        const rr_session *s = g_ptr_array_index(live, i);
        const rr_session *t = term_node(c, s->name);
        if (!t || t->lease_id != s->lease_id) {
            return true;
        }
    }
    return false;
}

void rr_core_lower_limits(rr_core *c, bool in_doubt) {
    if (!c->lowered) {
        rr_log_at(c, RR_LOG_INFO, "state service: the lower limits hold");
    }
    c->lowered = true;
    c->anew = c->anew || in_doubt;
}

bool rr_core_next_term(rr_core *c, double now, double wall, rr_transaction *out) {
    (void)now;
    if (!c->loaded || c->rereading || !rr_core_session_seen(c, c->lease_id)) {
        return false;
    }
    GPtrArray *live = g_ptr_array_new();
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->sessions);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        g_ptr_array_add(live, v);
    }
    g_ptr_array_sort(live, by_name);
    bool change = sessions_changed(c, live) || (c->anew && c->term.token > 0);
    if (change) {
        rr_encoder o;
        rr_encoder_init(&o);
        rr_encode_map(&o, 3);
        rr_encode_key_u64(&o, "token", c->term.token + 1);
        rr_encode_key_number(&o, "born", c->term.token ? c->term.first_term_at : wall);
        rr_encode_text(&o, "nodes");
        rr_encode_array(&o, live->len);
        for (guint i = 0; i < live->len; i++) {
            const rr_session *s = g_ptr_array_index(live, i);
            rr_encode_array(&o, 2);
            rr_encode_text(&o, s->name);
            rr_encode_u64(&o, s->lease_id);
        }
        rr_transaction_guard(out, RR_KEY_ROOT "term", c->term.version);
        rr_transaction_put(out, RR_KEY_ROOT "term", &o, 0);
    }
    g_ptr_array_free(live, TRUE);
    return change;
}
