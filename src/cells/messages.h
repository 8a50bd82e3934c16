/* What controllers of different cells say to each other: a request and its reply, packed in frames
 * of peer/frame.h. Several transfers of one team share a frame. Fields that a later version adds go
 * to the end of an item or of the frame, where this one passes over them. */
#ifndef RR_CELLS_MESSAGES_H
#define RR_CELLS_MESSAGES_H

#include "cells/settings.h"
#include "cells/transfer.h"
#include "wire/wire.h"

#define RR_CELLS_VERSION 1
#define RR_CELLS_ITEMS_MAX 64

enum rr_cells_request_kind {
    RR_CELLS_TRANSFERS = 1, /* transfer messages about jobs of one team */
    RR_CELLS_POLL = 2,      /* what is the job's state? */
    RR_CELLS_CANCEL = 3     /* cancel it */
};

typedef struct {
    char job_id[RR_ID_SIZE]; /* as its home calls it */
    rr_transfer_message message;
    GByteArray *submission; /* with an offer: packed as in its record; else NULL */
} rr_cells_item;

typedef struct {
    uint8_t version;
    enum rr_cells_request_kind kind;
    char from[RR_CELL_NAME], to[RR_CELL_NAME];
    double lease_s, rest_s;  /* the sender's, for offers */
    char team[RR_TEXT_SIZE]; /* TRANSFERS */
    GArray *items;           /* TRANSFERS: rr_cells_item */
    char job_id[RR_ID_SIZE]; /* POLL and CANCEL */
} rr_cells_request;

/* Free room that a cell would give to others' jobs now. */
typedef struct {
    double cpus, gpus, mem_gb;
} rr_cells_room;

enum rr_cells_status {
    RR_CELLS_OK,
    RR_CELLS_NOT_OWNER, /* another controller plans the team's jobs: `owner`, may be empty */
    RR_CELLS_BUSY,      /* not now */
    RR_CELLS_VERSION_UNKNOWN,
    RR_CELLS_MALFORMED,
    RR_CELLS_WRONG_CELL, /* not `to`, or `from` does not come from its networks */
    RR_CELLS_STATUSES
};

typedef struct {
    enum rr_cells_status status;
    char owner[RR_NAME_SIZE];
    GArray *items; /* rr_cells_item, in the order of the request's; kind NOTHING: no reply to it */
    rr_cells_room room;
    int http_status, retry_after_s; /* POLL and CANCEL: what to tell the user, */
    GByteArray *body;               /* and how */
} rr_cells_reply;

void rr_cells_request_init(rr_cells_request *request, enum rr_cells_request_kind kind);
void rr_cells_request_clear(rr_cells_request *request);
void rr_cells_reply_init(rr_cells_reply *reply);
void rr_cells_reply_clear(rr_cells_reply *reply);
void rr_cells_add_item(GArray *items, const char *job_id, const rr_transfer_message *message);
/* An offer carries the job; at: wall, when its home accepted it. */
void rr_cells_add_offer(GArray *items, const rr_transfer_message *offer,
                        const rr_submission *submission, double when);
/* From this cell to a neighbour. */
void rr_cells_request_address(rr_cells_request *request, const rr_cells_settings *settings,
                              size_t neighbour);

/* Whole frames, appended. */
void rr_cells_request_pack(const rr_cells_request *request, GByteArray *out);
void rr_cells_reply_pack(const rr_cells_reply *reply, GByteArray *out);
/* A frame's payload. 0; -EPROTO: a version that this one can't read; -EBADMSG. The target is to be
 * cleared in any case. */
int rr_cells_request_unpack(const void *data, size_t length, rr_cells_request *out);
int rr_cells_reply_unpack(const void *data, size_t length, rr_cells_reply *out);
const char *rr_cells_status_name(enum rr_cells_status status);

#endif
