/* Package-internal: the tables of transfers, and helpers that the package's other files share. All
 * functions are called, and all data is used, under the lock that guards the core. */
#ifndef RR_CELLS_TRANSFER_TABLE_H
#define RR_CELLS_TRANSFER_TABLE_H

#include "cells/spill.h"
#include "cells/transfers.h"
#include "core/cache_feed.h"

/* Grants are given only by a store cache younger than this: an older one may miss that a job was
 * withdrawn. */
#define RR_CELLS_CACHE_AGE_MAX_S 5.0
/* Interval at which a message that is not urgent is sent again. */
#define RR_CELLS_RESEND_INTERVAL_S 1.0
/* In place of a neighbour's index: the other cell has been removed from the settings. */
#define RR_CELLS_NO_NEIGHBOUR (-1)

/* The write of an entry's record whose commit has ended with an unknown outcome. */
typedef struct {
    bool waits; /* the store cache does not show the outcome yet */
    rr_outcome_point point;
} rr_unresolved_write;

/* A job of this cell that was offered to another. */
typedef struct {
    char job_id[RR_ID_SIZE];
    rr_outgoing_record record; /* as the store cache has it */
    uint64_t version;          /* the record's; 0: it does not exist yet */
    bool deleted;              /* the record was deleted, at this version, during a write of it */
    rr_home home;
    rr_unresolved_write unresolved;
    /* Fencing token of the term for which `home` was loaded; 0: load it first. */
    uint64_t loaded_token;
    int neighbour; /* index of the guest, or RR_CELLS_NO_NEIGHBOUR */
    /* The guest has answered under this claim; also set after a load, when this is unknown. */
    bool guest_answered;
    /* Steady time of the guest's last message under this claim, or of the offer or a later load. */
    double last_received_at;
    double offered_at; /* steady time at which the offer was last sent; 0: not yet */
} rr_outgoing;

/* A job of another cell that this one holds. */
typedef struct {
    char local_id[RR_ID_SIZE]; /* the job's id in this cell: rr_cells_make_local_id() */
    /* As the store cache has it; team, home and job_id if version is 0. */
    rr_incoming_record record;
    uint64_t version; /* the record's; 0: it does not exist yet */
    bool deleted;     /* the record was deleted, at this version, during a write of it */
    rr_guest guest;
    rr_unresolved_write unresolved;
    /* Fencing token of the term for which `guest` was loaded; 0: load it first. */
    uint64_t loaded_token;
    int neighbour;       /* index of the home, or RR_CELLS_NO_NEIGHBOUR */
    bool started;        /* a task of the job has been placed here */
    bool returning;      /* the job is being given back: its copy here is cancelled first */
    double loaded_at;    /* steady time at which `guest` was loaded */
    double last_sent_at; /* steady time of the last message to the home; 0: none since the load */
} rr_incoming;

struct rr_transfers {
    const rr_cells_settings *settings;
    const struct rr_config *config;
    rr_core *core;
    uint64_t process;       /* unique for this process: see rr_transfers_create() */
    GHashTable *outgoing;   /* job id -> rr_outgoing, owned */
    GHashTable *incoming;   /* local id -> rr_incoming, owned */
    unsigned unresolved;    /* entries whose write has an unknown outcome */
    rr_spill spill;         /* whether this cell offers jobs */
    double longest_wait_s;  /* of this cell's own jobs that a neighbour would take */
    rr_cells_room room;     /* free here at room_updated_at, less what was taken since */
    double room_updated_at; /* steady time; 0: never */
    rr_spill_backoff offer_backoff[RR_CELLS_NEIGHBOURS_MAX]; /* by neighbour */
    /* By neighbour, as last announced, less what was offered since. */
    rr_cells_room neighbour_rooms[RR_CELLS_NEIGHBOURS_MAX];
    double neighbour_rooms_updated_at[RR_CELLS_NEIGHBOURS_MAX]; /* steady time; 0: never */
    rr_transfers_stats stats;
};

/* Returns whether this controller plans the team in the present term, by a consistent store cache
 * and under a lease that is certainly still valid. */
bool rr_transfers_owns_team(const rr_transfers *transfers, const char *team, double now);

/* Subtracts the demand of the job's tasks from the room and returns true if it fits; otherwise
 * returns false and leaves the room as it is. */
bool rr_cells_room_reserve(rr_cells_room *room, const rr_submission *submission);

/* Returns the plan's request to the neighbour for this team, to which at least one more item may be
 * added; creates one if there is none. The plan owns it. */
rr_cells_request *rr_transfers_plan_get_request(const rr_transfers *transfers,
                                                rr_transfers_plan *plan, size_t neighbour,
                                                const char *team);
/* Moves the write into the plan, which then owns its transaction. */
void rr_transfers_plan_add_write(rr_transfers_plan *plan, const rr_transfer_write *write);

/* Makes the entry wait until the store cache shows the outcome of its write. */
void rr_transfers_await_outcome(rr_transfers *transfers, rr_unresolved_write *unresolved,
                                uint64_t revision, uint64_t fencing_token);
/* Returns true, and ends the wait, if the entry waits and the store cache now shows the outcome. */
bool rr_transfers_end_wait_if_shown(rr_transfers *transfers, rr_unresolved_write *unresolved);
/* Receives an entry, an rr_outgoing or rr_incoming; it may remove the entry. */
typedef void (*rr_transfers_entry_fn)(rr_transfers *transfers, void *entry, double now);
/* Calls back for every entry of the table if any write has an unknown outcome. */
void rr_transfers_foreach_if_unresolved(rr_transfers *transfers, GHashTable *table,
                                        rr_transfers_entry_fn callback, double now);

/* Returns whether an entry is advanced together with this neighbour's transfers: each entry
 * advances with its own neighbour, or with the first one if it has none (RR_CELLS_NO_NEIGHBOUR). */
bool rr_transfers_entry_advances_with(int entry_neighbour, size_t neighbour);

#endif
