/* Messages between controllers of different cells: a request and its reply, packed in frames of
 * peer/frame.h. Messages about several jobs of one team share a frame. Later versions append fields
 * to an item or to the frame, where this one skips them. */
#ifndef RR_CELLS_MESSAGES_H
#define RR_CELLS_MESSAGES_H

#include "cells/settings.h"
#include "cells/transfer.h"
#include "wire/wire.h"

#define RR_CELLS_VERSION 1
#define RR_CELLS_ITEMS_MAX 64 /* in a request or reply */

enum rr_cells_request_kind {
    RR_CELLS_TRANSFERS = 1, /* transfer messages about jobs of one team */
    RR_CELLS_POLL = 2,      /* what is the job's state? */
    RR_CELLS_CANCEL = 3     /* cancel it */
};

typedef struct {
    char job_id[RR_ID_SIZE]; /* as its home calls it; may be empty with NOTHING */
    rr_transfer_message message;
    GByteArray *submission; /* owned; with an offer: encoded as in its record; otherwise NULL */
} rr_cells_item;

typedef struct {
    uint8_t version;
    enum rr_cells_request_kind kind;
    char from[RR_CELL_NAME], to[RR_CELL_NAME];
    double lease_s, rest_s;  /* the sender's, for offers */
    char team[RR_TEXT_SIZE]; /* with TRANSFERS */
    GArray *items;           /* with TRANSFERS: rr_cells_item, owned */
    char job_id[RR_ID_SIZE]; /* with POLL and CANCEL */
} rr_cells_request;

/* Free room that a cell offers to others' jobs now. */
typedef struct {
    double cpus, gpus, mem_gb;
} rr_cells_room;

enum rr_cells_status {
    RR_CELLS_OK,
    RR_CELLS_NOT_OWNER, /* another controller plans the team: `owner`, empty if unknown */
    RR_CELLS_BUSY,      /* may be retried */
    RR_CELLS_VERSION_UNKNOWN,
    RR_CELLS_MALFORMED,
    RR_CELLS_WRONG_CELL, /* `to` is another cell, or `from` not the one that connected */
    RR_CELLS_STATUSES
};

typedef struct {
    enum rr_cells_status status;
    char owner[RR_NAME_SIZE];
    GArray *items; /* rr_cells_item, owned, in the request's order; NOTHING: no reply to that one */
    rr_cells_room room;
    int http_status, retry_after_s; /* with POLL and CANCEL: the response to the user, */
    GByteArray *body;               /* and its body, owned */
} rr_cells_reply;

/* An empty request of this version, for rr_cells_request_clear(). */
void rr_cells_request_init(rr_cells_request *request, enum rr_cells_request_kind kind);
/* Frees its items. */
void rr_cells_request_clear(rr_cells_request *request);
/* An empty reply with status OK, for rr_cells_reply_clear(). */
void rr_cells_reply_init(rr_cells_reply *reply);
/* Frees its items and its body. */
void rr_cells_reply_clear(rr_cells_reply *reply);
/* Appends a message about a job. */
void rr_cells_add_item(GArray *items, const char *job_id, const rr_transfer_message *message);
/* An offer carries the job; accepted_at: time of day when its home accepted it. */
void rr_cells_add_offer(GArray *items, const rr_transfer_message *offer,
                        const rr_submission *submission, double accepted_at);
/* Sets `from` and `to`: from this cell to a neighbour. */
void rr_cells_request_address(rr_cells_request *request, const rr_cells_settings *settings,
                              size_t neighbour);

/* Append a complete frame. */
void rr_cells_request_pack(const rr_cells_request *request, GByteArray *out);
/* Always of this version. */
void rr_cells_reply_pack(const rr_cells_reply *reply, GByteArray *out);
/* Read a frame's payload. 0; -EPROTO: of a version or kind that this one can't read; -EBADMSG. The
 * target is to be cleared after any of them. */
int rr_cells_request_unpack(const void *data, size_t length, rr_cells_request *out);
/* As for requests. */
int rr_cells_reply_unpack(const void *data, size_t length, rr_cells_reply *out);
/* For log lines. */
const char *rr_cells_status_name(enum rr_cells_status status);

#endif
