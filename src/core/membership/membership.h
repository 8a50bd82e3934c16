/* Membership: the sessions of controllers, the term that makes some of them members under one
 * fencing token, and the teams that each member owns in that term. */
#ifndef RR_CORE_MEMBERSHIP_MEMBERSHIP_H
#define RR_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "core/core.h"

/* Features that the first versions of a controller lack, as stored in its session record. A higher
 * capability includes the lower ones. */
#define RR_CAPABILITY_GANGS 1
#define RR_CAPABILITY_ADMISSION 2

/* A session of a controller: one incarnation of it, which lasts as long as its lease. */
typedef struct {
    char name[RR_NAME_SIZE]; /* of the controller */
    uint64_t lease_id;
    bool keeps_transfer_holds; /* see core/extensions.h; always false in a term's members */
    uint64_t capabilities;     /* highest RR_CAPABILITY_*, 0: none; always 0 in a term's members */
} rr_session;

/* The present term. */
typedef struct {
    uint64_t token;       /* fencing token, one above the previous term's; 0: no term is known */
    uint64_t version;     /* of the term's record in the store, 0: it has none */
    GArray *members;      /* rr_session, sorted by name */
    double first_term_at; /* wall seconds: when the deployment's first term was made */
} rr_term;

struct rr_membership {
    rr_term term;
    GHashTable *sessions; /* controller name -> rr_session, owned: sessions in the store cache */
    bool new_term_due;    /* a new term is due even if its members would be the same */
    uint64_t lease_id;    /* of this controller's session, 0: it has none */
    double lease_valid_until; /* steady seconds: until then the lease has certainly not expired */
    uint64_t attempt_counter; /* last number used for an attempt or a rental's name in this term */
    uint64_t fully_dirty_token; /* token of the last term that marked all machines dirty */

    /* Derived from the term by rr_assign_shards(). */
    GArray *team_owners;   /* int by team index of the settings: member index of the team's owner */
    guint shard_count;     /* number of members that own at least one team */
    guint shard;           /* this controller's position among them, from 0 */
    int autoscaler_member; /* member index of the autoscaler, -1: none */
    int member_index;      /* this controller's, -1: not a member */
    int peer_by_member[RR_CONTROLLERS_MAX]; /* peer index by member index, -1: none, as for this
                                               controller itself */
};

/* Initializes zeroed memory as a membership without sessions and without a term. */
void rr_membership_init(struct rr_membership *membership);
/* Frees what the membership owns, but not the struct itself. */
void rr_membership_clear(struct rr_membership *membership);

/* ---- members.c ---- */

/* Whether the store cache is loaded and its term names this controller's present session. */
bool rr_is_member(const rr_core *core);
/* Returns the term's member of this name, or NULL. The pointer is valid until the next term. */
const rr_session *rr_find_member(const rr_core *core, const char *name);
/* Returns this controller's member index in the term, or 0 if it is not a member. */
guint rr_own_member_index(const rr_core *core);
/* Whether the present session of every member has at least this capability. This becomes false
 * again when a member restarts with an older version. */
bool rr_all_members_capable(const rr_core *core, uint64_t capability);

/* ---- attempts.c ---- */

/* Returns a new attempt number, which is unique among all controllers and terms. Within a team,
 * later attempts have higher numbers. */
uint64_t rr_next_attempt(rr_core *core);

/* ---- shards.c ---- */

/* Derives the teams' owners, the autoscaler, this controller's shard and the members' peers from
 * the term. To be called after every change of the term's members. */
void rr_assign_shards(rr_core *core);
/* Whether this controller owns the team in the present term. team: index in the settings; with -1
 * or an index beyond them the result is false. */
bool rr_owns_team(const rr_core *core, int team);

#endif
