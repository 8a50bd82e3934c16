/* Inside the package only: the tables of transfers that the package's other files share, and what
 * all of them need. All of it is under the lock that guards the core. */
#ifndef RR_CELLS_TRANSFER_TABLE_H
#define RR_CELLS_TRANSFER_TABLE_H

#include "cells/spill.h"
#include "cells/transfers.h"

/* A store cache that is older may miss that a job was withdrawn: nothing is granted by it. */
#define RR_CELLS_CACHE_AGE_MAX_S 5.0
/* Between two attempts to send a message that is not urgent. */
#define RR_CELLS_REPEAT_S 1.0
/* No neighbour of the settings: the other cell has been removed from them. */
#define RR_CELLS_NO_NEIGHBOUR (-1)

/* A job of this cell that was offered to another. */
typedef struct {
    char job_id[RR_ID_SIZE];
    rr_out_record record; /* as the store cache has it */
    uint64_t version;     /* of the record; 0: it does not exist yet */
    rr_home home;
    uint64_t token; /* of the term for which `home` is loaded; 0: it has to be loaded first */
    int neighbour;  /* the guest */
    bool taken;     /* the guest has asked for a grant under this claim */
    double last_message_at;
    double offered_at; /* when the offer was last sent */
} rr_outgoing;

/* A job of another cell that this one holds. */
typedef struct {
    char local_id[RR_ID_SIZE];
    rr_in_record record;
    uint64_t version;
    rr_guest guest;
    uint64_t token; /* as in rr_outgoing, for `guest` */
    int neighbour;  /* the home */
    bool started;   /* a task of it has been placed here */
    bool returning; /* it is being given back: its copy ends first */
    double loaded_at;
    double sent_at; /* when a message about it was last sent */
} rr_incoming;

struct rr_transfers {
    const rr_cells_settings *settings;
    const struct rr_config *config;
    rr_core *core;
    uint64_t process;
    GHashTable *outgoing; /* job id -> rr_outgoing */
    GHashTable *incoming; /* local id -> rr_incoming */
    rr_spill spill;
    double longest_wait_s; /* of this cell's own jobs */
    rr_cells_room room;    /* free here at room_at, less what was taken since */
    double room_at;
    rr_spill_pause pauses[RR_CELLS_MAX]; /* by neighbour */
    rr_cells_room
        neighbour_rooms[RR_CELLS_MAX]; /* as last announced, less what was offered since */
    double neighbour_rooms_at[RR_CELLS_MAX];
    rr_transfers_stats stats;
};

/* Whether this controller plans the team in the present term, certainly still. */
bool rr_transfers_owns(const rr_transfers *transfers, const char *team, double now);

/* Subtracts the job's demand from the room if it fits; false: it does not. */
bool rr_cells_room_take(rr_cells_room *room, const rr_submission *submission);

/* The plan's request to the neighbour for this team, with room for one more item; borrowed. */
rr_cells_request *rr_transfers_plan_request(const rr_transfers *transfers, rr_transfers_plan *plan,
                                            size_t neighbour, const char *team);
/* Moves a write into the plan. */
void rr_transfers_plan_add(rr_transfers_plan *plan, const rr_transfer_write *write);

/* Whether a look at this neighbour takes care of the entry: its own neighbour's does; for an entry
 * without one the first neighbour's does. */
bool rr_transfers_concerns(int entry_neighbour, size_t neighbour);

#endif
