/* Packed frames between controllers: magic 'R' 'r', version, type, then the length of what follows,
 * big-endian; fields packed by hand. Unpacking checks every length and trusts nothing. */
#ifndef RR_PEER_FRAME_H
#define RR_PEER_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RR_FRAME_VERSION 3
#define RR_FRAME_HEADER_BYTES 8
#define RR_FRAME_BYTES_MAX (256 * 1024)

enum rr_frame_type {
    RR_FRAME_HELLO = 1,     /* node name */
    RR_FRAME_HEARTBEAT = 2, /* hops so far, a worker's report as it came */
    RR_FRAME_RELAY = 3,     /* carry a call to a worker: address, body (empty: GET /status) */
    RR_FRAME_ANSWER = 4,    /* its outcome: sent, status, body; to a resignation: 0 if yes */
    RR_FRAME_RESIGN = 5,    /* 0: can you reach the key-value store? 1: end this lease; the lease */
    RR_FRAME_HEARTBEAT_DIGESTS = 6, /* hops so far; the nodes that the sender hears; machines heard:
                           name, worker_epoch, sequence, hash of the report */
    RR_FRAME_SUSPECT = 7,           /* names of machines that answer no command */
    RR_FRAME_SENT_AT = 8,           /* time of day, in ms, of the frames that follow */
    RR_FRAME_CANCELLED = 9,   /* ids of jobs whose cancellation the sender has confirmed; only while
                                 every controller says that it reads them */
    RR_FRAME_DEMAND = 10,     /* the sender's view of the demand for admission (admission/demand.h);
                                 only while every controller says that it takes part */
    RR_FRAME_CELLS = 11,      /* a request from another cell (cells/messages.h), */
    RR_FRAME_CELLS_REPLY = 12 /* and its reply */
};

/* Frames may follow one another in one buffer: begin() appends and tells where, end() sets the
 * length of the one that began there. */
guint rr_frame_begin(GByteArray *buffer, enum rr_frame_type type);
void rr_frame_end(GByteArray *buffer, guint start);
void rr_frame_put_u8(GByteArray *buffer, uint8_t value);
void rr_frame_put_u16(GByteArray *buffer, uint16_t value);
void rr_frame_put_u32(GByteArray *buffer, uint32_t value);
void rr_frame_put_u64(GByteArray *buffer, uint64_t value);
void rr_frame_put_text(GByteArray *buffer, const char *text);
void rr_frame_put_bytes(GByteArray *buffer, const void *data, uint32_t length);

/* 0 and the payload's length, or -EBADMSG. */
int rr_frame_head(const uint8_t head[RR_FRAME_HEADER_BYTES], uint8_t *type, uint32_t *length);

typedef struct {
    const uint8_t *next;
    size_t bytes_left;
    bool malformed;
} rr_frame_reader;
uint8_t rr_frame_read_u8(rr_frame_reader *reader);
uint16_t rr_frame_read_u16(rr_frame_reader *reader);
uint32_t rr_frame_read_u32(rr_frame_reader *reader);
uint64_t rr_frame_read_u64(rr_frame_reader *reader);
const uint8_t *rr_frame_read_bytes(rr_frame_reader *reader, uint32_t *length);
bool rr_frame_read_text(rr_frame_reader *reader, char *out, size_t size);

#endif
