/* Inside the package only: the tables that its files share. transfers.c keeps them, outgoing.c
 * drives this cell's jobs at others, incoming.c the others' here. */
#ifndef RR_CELLS_TRANSFERS_INTERNAL_H
#define RR_CELLS_TRANSFERS_INTERNAL_H

#include "cells/spill.h"
#include "cells/transfers.h"

/* A store cache that is older than this may miss that a job was taken back: nothing is granted by
 * it. */
#define RR_CELLS_FRESH_S 5.0
#define RR_CELLS_REPEAT_S 1.0 /* between two tries to say something that needs no haste */

typedef struct {
    char job_id[RR_ID_SIZE];
    rr_out_record record;
    uint64_t version; /* of the record, 0: there is none yet */
    rr_home home;
    uint64_t token; /* of the term for which `home` stands, 0: none */
    int neighbour;  /* the guest; -1: the settings know it no more */
    bool taken;     /* the guest has asked for a grant under this claim */
    double last_message_at, said_at;
    double withdrawn_at; /* of the record that is being written */
} rr_outgoing;

typedef struct {
    char local_id[RR_ID_SIZE];
    rr_in_record record;
    uint64_t version;
    rr_guest guest;
    uint64_t token;
    int neighbour; /* the home */
    bool begun, leaving;
    double loaded_at, said_at;
} rr_incoming;

struct rr_transfers {
    const rr_cells_settings *settings;
    const struct rr_config *config;
    rr_core *core;
    uint64_t process;
    GHashTable *outgoing; /* job id -> rr_outgoing */
    GHashTable *incoming; /* local id -> rr_incoming */
    rr_spill spill;
    rr_spill_pause pauses[RR_CELLS_MAX];
    rr_cells_room room; /* free here, as of room_at; what was taken since is taken off */
    double room_at;
    rr_cells_room rooms[RR_CELLS_MAX]; /* and at the neighbours, as they told it */
    double rooms_at[RR_CELLS_MAX];
    double own_wait_s; /* longest of this cell's own jobs */
    rr_transfers_stats stats;
};

/* This controller plans the team in the present term. */
bool rr_transfers_owns(const rr_transfers *transfers, const char *team, double now);
/* Takes the job's demand off the room, if it fits. */
bool rr_room_take(rr_cells_room *room, const rr_submission *submission);
/* A request to the neighbour for this team with room for one more item. */
rr_cells_request *rr_plan_request(const rr_transfers *transfers, rr_transfers_plan *plan,
                                  size_t neighbour, const char *team);

/* outgoing.c */
rr_outgoing *rr_outgoing_get(rr_transfers *transfers, const char *job_id);
void rr_outgoing_put(rr_transfers *transfers, const char *job_id, const msgpack_object *value,
                     uint64_t version);
void rr_outgoing_look(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                      double wall, rr_transfers_plan *plan);
rr_transfer_message rr_outgoing_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed);
bool rr_outgoing_receive(rr_transfers *transfers, size_t neighbour, const rr_cells_item *item,
                         double now, double wall, rr_transfer_message *reply,
                         rr_transfer_write *write);
bool rr_outgoing_refused(rr_transfers *transfers, size_t neighbour, const char *job_id,
                         const rr_transfer_message *message, double now, double wall,
                         rr_transfer_write *write);

/* incoming.c */
/* Loaded for this term, by its owner. */
bool rr_incoming_ready(rr_transfers *transfers, const rr_incoming *entry, double now);
void rr_incoming_put(rr_transfers *transfers, const char *local_id, const msgpack_object *value,
                     uint64_t version);
void rr_incoming_look(rr_transfers *transfers, size_t neighbour, double now,
                      rr_transfers_plan *plan);
rr_transfer_message rr_incoming_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed);
bool rr_incoming_offered(rr_transfers *transfers, size_t neighbour, const rr_cells_request *request,
                         const rr_cells_item *item, double now, double wall,
                         rr_transfer_message *reply, rr_transfer_write *write);
void rr_incoming_replied(rr_transfers *transfers, size_t neighbour, const rr_cells_item *asked,
                         const rr_transfer_message *reply);

#endif
