/* Membership: sessions of controllers, the term that names the members, their fencing token, and
 * the shards of teams that follow from the term. */
#ifndef RR_CORE_MEMBERSHIP_MEMBERSHIP_H
#define RR_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "core/core.h"

/* What a controller can do beyond the first versions, as its session's record says. A higher
 * capability includes the lower ones. */
#define RR_CAPABILITY_GANGS 1
#define RR_CAPABILITY_ADMISSION 2

/* A session of a controller: one incarnation of it, alive while its lease is. */
typedef struct {
    char name[RR_NAME_SIZE];
    uint64_t lease_id;
    bool keeps_holds;      /* keeps transfer holds of other cells' jobs; not kept in terms */
    uint64_t capabilities; /* 0: a version without any; not kept in terms */
} rr_session;

typedef struct {
    uint64_t token, version;
    GArray *members;      /* rr_session, sorted by name */
    double first_term_at; /* wall, of the first term */
} rr_term;

struct rr_membership {
    rr_term term;
    GHashTable *sessions;     /* controller name -> rr_session */
    bool new_term_wanted;     /* even if the sessions are those of the term */
    uint64_t lease_id;        /* of this controller's session */
    double lease_valid_until; /* steady, seconds */
    uint64_t attempt_counter; /* with the token: unique attempt numbers and request names */
    uint64_t all_dirty_token; /* the term for which every machine was marked dirty */
    /* derived from the term */
    GArray *team_owners;   /* int by team of the settings: member index of its owner */
    guint shard_count;     /* members that own teams, */
    guint shard;           /* and which of them this controller is */
    int autoscaler_member; /* member index of the autoscaler, -1: none */
    int member_index;      /* this controller's, -1: not a member */
    int peer_of_member[RR_CONTROLLERS_MAX]; /* peer by member index, -1: this controller */
};

/* Initializes a membership without sessions or term, from zeroed memory. */
void rr_membership_init(struct rr_membership *membership);
/* Frees what the membership owns. */
void rr_membership_clear(struct rr_membership *membership);

/* ---- members.c ---- */

/* Whether the term names this controller's present session. */
bool rr_is_member(const rr_core *core);
/* Returns the term's member of this name, or NULL. Valid until the next term. */
const rr_session *rr_find_member(const rr_core *core, const char *name);
/* This controller's index in the term; 0 if it is not a member. */
guint rr_member_index(const rr_core *core);
/* Whether every member has at least this capability by its present session. A member that returns
 * in an older version ends that. */
bool rr_all_capable(const rr_core *core, uint64_t capability);

/* ---- attempts.c ---- */

/* Returns an attempt number unique over controllers and terms; within a team, later numbers are
 * higher. */
uint64_t rr_next_attempt(rr_core *core);
/* Fencing token of the term in which the attempt was reserved. */
uint64_t rr_attempt_token(uint64_t attempt);
/* Index in that term of the member that reserved it. */
guint rr_attempt_member(uint64_t attempt);

/* ---- shards.c ---- */

/* Derives owners, autoscaler and peers from a new term. */
void rr_assign_shards(rr_core *core);
/* Whether this controller is the team's owner. team: index of the settings. */
bool rr_owns_team(const rr_core *core, int team);

#endif
