/* Messages between controllers of different cells: a request and its reply, each packed in a frame
 * of peer/frame.h. Transfer messages about several jobs of one team share a request. Later protocol
 * versions append fields to an item or to the frame, which this version skips. */
#ifndef RR_CELLS_MESSAGES_H
#define RR_CELLS_MESSAGES_H

#include "cells/settings.h"
#include "cells/transfer.h"
#include "wire/wire.h"

#define RR_CELLS_VERSION 1    /* of the protocol */
#define RR_CELLS_ITEMS_MAX 64 /* in a request or reply */

enum rr_cells_request_kind {
    RR_CELLS_TRANSFERS = 1, /* transfer messages about jobs of one team */
    RR_CELLS_POLL = 2,      /* a user asks for the state of a job */
    RR_CELLS_CANCEL = 3     /* a user cancels a job */
};

/* A transfer message about one job. */
typedef struct {
    char job_id[RR_ID_SIZE]; /* the job's id in its home cell; may be empty with NOTHING */
    rr_transfer_message message;
    GByteArray *submission; /* with an offer, else NULL: the job, encoded as in its record; owned */
} rr_cells_item;

/* A request from a controller to a controller of another cell. */
typedef struct {
    uint8_t version; /* of the protocol */
    enum rr_cells_request_kind kind;
    char from[RR_CELL_NAME_SIZE],
        to[RR_CELL_NAME_SIZE];  /* names of the sending and the receiving cell */
    double lease_s, teardown_s; /* the sender's rr_transfer_times, for its offers */
    char team[RR_TEXT_SIZE];    /* with TRANSFERS */
    GArray *items;              /* rr_cells_item, with TRANSFERS; owned */
    char job_id[RR_ID_SIZE];    /* with POLL and CANCEL */
} rr_cells_request;

/* Free capacity that a cell currently offers to jobs of other cells. */
typedef struct {
    double cpus, gpus, mem_gb;
} rr_cells_room;

enum rr_cells_status {
    RR_CELLS_OK,
    RR_CELLS_NOT_OWNER, /* another controller plans the team; its name is in `owner` if known */
    RR_CELLS_BUSY,      /* the request may be retried */
    RR_CELLS_VERSION_UNKNOWN,
    RR_CELLS_MALFORMED,
    RR_CELLS_WRONG_CELL, /* `to` is another cell, or `from` not the cell that connected */
    RR_CELLS_STATUS_COUNT
};

/* The reply to a request. */
typedef struct {
    enum rr_cells_status status;
    char owner[RR_NAME_SIZE]; /* node_name of the controller with NOT_OWNER; empty: unknown */
    /* rr_cells_item, in the order of the request's; NOTHING: no reply to that item; owned */
    GArray *items;
    rr_cells_room room;             /* of the replying cell */
    int http_status, retry_after_s; /* with POLL and CANCEL: of the response to the user */
    GByteArray *body;               /* with POLL and CANCEL: body of that response; owned */
} rr_cells_reply;

/* Makes an empty request of this version, to be cleared with rr_cells_request_clear(). */
void rr_cells_request_init(rr_cells_request *request, enum rr_cells_request_kind kind);
/* Frees the request's items. */
void rr_cells_request_clear(rr_cells_request *request);
/* Makes an empty reply with status OK, to be cleared with rr_cells_reply_clear(). */
void rr_cells_reply_init(rr_cells_reply *reply);
/* Frees the reply's items and body. */
void rr_cells_reply_clear(rr_cells_reply *reply);
/* Appends a message about a job, without a submission. */
void rr_cells_add_item(GArray *items, const char *job_id, const rr_transfer_message *message);
/* Appends an offer together with the job that it offers. accepted_at: time of day when the home
 * cell accepted the job. */
void rr_cells_add_offer(GArray *items, const rr_transfer_message *offer,
                        const rr_submission *submission, double accepted_at);
/* Sets `from` to this cell and `to` to the neighbour of this index. */
void rr_cells_request_set_cells(rr_cells_request *request, const rr_cells_settings *settings,
                                size_t neighbour);

/* Appends the request as a complete frame. */
void rr_cells_request_pack(const rr_cells_request *request, GByteArray *out);
/* Appends the reply as a complete frame, always of version RR_CELLS_VERSION. */
void rr_cells_reply_pack(const rr_cells_reply *reply, GByteArray *out);
/* Reads a request from a frame's payload. Returns 0; -EPROTO: a version or kind that this version
 * can't read; -EBADMSG: malformed. The caller clears *out in every case. */
int rr_cells_request_unpack(const void *data, size_t length, rr_cells_request *out);
/* Reads a reply from a frame's payload. Returns and ownership as in rr_cells_request_unpack();
 * -EPROTO also stands for an unknown status. */
int rr_cells_reply_unpack(const void *data, size_t length, rr_cells_reply *out);
/* Returns the status in words, for log lines. */
const char *rr_cells_status_name(enum rr_cells_status status);

#endif
