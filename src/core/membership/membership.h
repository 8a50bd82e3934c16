/* Membership: sessions, terms, fencing tokens, and the shards of teams that follow from the term.
 */
#ifndef RR_CORE_MEMBERSHIP_MEMBERSHIP_H
#define RR_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "core/core.h"

typedef struct {
    char name[RR_NAME_SIZE];
    uint64_t lease_id;
    bool keeps_holds;      /* keeps holds of other cells' jobs */
    uint64_t capabilities; /* 0: a version that knows no gangs; not kept in terms */
} rr_session;

typedef struct {
    uint64_t token, version;
    GArray *members;      /* rr_session */
    double first_term_at; /* wall, of the first term */
} rr_term;

/* This controller's session, the term, and what follows from it. */
struct rr_membership {
    rr_term term;
    GHashTable *sessions;     /* controller name -> rr_session */
    bool new_term_wanted;     /* whatever the sessions say */
    uint64_t lease_id;        /* of this controller's session */
    double lease_valid_until; /* steady, seconds */
    uint64_t attempt_counter; /* with the token: unique attempt numbers and request names */
    uint64_t all_dirty_token; /* the term for which every machine was marked dirty */
    GArray *team_owners;      /* int by team of the settings: index of its owner in the term */
    guint shard_count;        /* owners of teams in this term, */
    guint shard;              /* and which of them this controller is */
    int autoscaler_member;    /* index in the term of the controller that scales, -1: none */
    int member_index;         /* this controller's index in the term, -1: not a member */
    int peer_of_member[RR_CONTROLLERS_MAX]; /* index of the peer, -1: this controller */
};

bool rr_is_member(const rr_core *core);
/* Every controller of the term knows gangs. One that comes back in an older version ends that. */
bool rr_all_gang_capable(const rr_core *core);
/* So does each of them, and takes part in fair admission. */
#define RR_CAPABILITY_GANGS 1
#define RR_CAPABILITY_ADMISSION 2
bool rr_all_capable(const rr_core *core, uint64_t capable);
/* A number that no other attempt has, of whatever controller and term; later ones are higher within
 * a team. */
uint64_t rr_next_attempt(rr_core *core);
uint64_t rr_attempt_token(uint64_t attempt); /* of the term in which it was reserved */
guint rr_attempt_member(uint64_t attempt);   /* and the place there of who reserved it */
guint rr_member_index(const rr_core *core);  /* this controller's place in the term */
bool rr_owns_team(const rr_core *core, int team);
void rr_assign_shards(rr_core *core); /* finds owners and autoscaler of a new term */

#endif
