/* Packed frames between controllers: a header of magic 'R' 'r', version, type and the payload's
 * length, then the payload. Integers are big-endian; text and bytes follow their length in 32 bits.
 * Readers check every length. Pure functions. */
#ifndef RR_PEER_FRAME_H
#define RR_PEER_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RR_FRAME_VERSION 3
#define RR_FRAME_HEADER_BYTES 8
#define RR_FRAME_BYTES_MAX (256 * 1024)

enum rr_frame_type {
    RR_FRAME_HELLO = 1,     /* the sender's node name; first on every connection */
    RR_FRAME_HEARTBEAT = 2, /* hops so far (u8), a worker's heartbeat as it came */
    RR_FRAME_RELAY = 3,  /* a call to a worker: address, timeout in ms (u32), body; without a body
                            it asks for the worker's status */
    RR_FRAME_ANSWER = 4, /* to RELAY: rr_relay_outcome (u8), HTTP status (u16), body;
                            to RESIGN: rr_resign_answer (u8) */
    RR_FRAME_RESIGN = 5, /* rr_resign_request (u8), the sender's lease (u64) */
    RR_FRAME_HEARTBEAT_DIGESTS = 6, /* hops so far (u8); count (u16) and names of the nodes that the
                                       sender receives from; count (u16) and digests of heartbeats:
                                       machine, worker epoch, sequence, hash */
    RR_FRAME_SUSPECT = 7,           /* count (u16) and names of machines that answer no command */
    RR_FRAME_SENT_AT = 8,     /* time of day in ms (u64) at which the following frames were sent */
    RR_FRAME_CANCELLED = 9,   /* count (u16) and ids of jobs whose cancellation the sender has
                                 confirmed; only while every controller has the capability */
    RR_FRAME_DEMAND = 10,     /* the sender's view of the demand for admission
                                 (admission/demand.h); only while every controller takes part */
    RR_FRAME_CELLS = 11,      /* a request from another cell (cells/messages.h) */
    RR_FRAME_CELLS_REPLY = 12 /* the reply to it */
};

/* What became of a relayed call. */
enum rr_relay_outcome {
    RR_RELAY_ANSWERED = 0,
    RR_RELAY_NOT_SENT = 1,
    RR_RELAY_OUTCOME_UNKNOWN = 2 /* it may have reached the worker, or may still */
};

enum rr_resign_request { RR_RESIGN_STORE_REACHABLE = 0, RR_RESIGN_END_LEASE = 1 };
enum rr_resign_answer { RR_RESIGN_YES = 0, RR_RESIGN_NO = 1 };

/* ---- writing: frames may follow one another in one buffer ---- */

/* Appends a frame's header and returns its offset, which goes to rr_frame_end(). */
guint rr_frame_begin(GByteArray *buffer, enum rr_frame_type type);
/* Sets the length of the frame that begins at `start` to all that follows its header. */
void rr_frame_end(GByteArray *buffer, guint start);
/* Appends one byte. */
void rr_frame_put_u8(GByteArray *buffer, uint8_t value);
/* Appends two bytes, the most significant first. */
void rr_frame_put_u16(GByteArray *buffer, uint16_t value);
/* Appends four bytes, the most significant first. */
void rr_frame_put_u32(GByteArray *buffer, uint32_t value);
/* Appends eight bytes, the most significant first. */
void rr_frame_put_u64(GByteArray *buffer, uint64_t value);
/* Appends a text as rr_frame_put_bytes() does, without its terminating zero. */
void rr_frame_put_text(GByteArray *buffer, const char *text);
/* Appends the length in four bytes, then the bytes. */
void rr_frame_put_bytes(GByteArray *buffer, const void *data, uint32_t length);
/* Replaces the 16-bit value at this offset, such as a count that was not known before. */
void rr_frame_set_u16(GByteArray *buffer, guint offset, uint16_t value);

/* ---- reading ---- */

/* 0 with the type and the payload's length; -EBADMSG: another magic or version, or too long. */
int rr_frame_head(const uint8_t head[RR_FRAME_HEADER_BYTES], uint8_t *type, uint32_t *length);

/* Reads a payload from its start. A read beyond the end marks the reader as malformed; then all
 * further reads return 0, NULL or false. */
typedef struct {
    const uint8_t *next;
    size_t bytes_left;
    bool malformed;
} rr_frame_reader;
/* Reads what rr_frame_put_u8() wrote. */
uint8_t rr_frame_read_u8(rr_frame_reader *reader);
/* Reads what rr_frame_put_u16() wrote. */
uint16_t rr_frame_read_u16(rr_frame_reader *reader);
/* Reads what rr_frame_put_u32() wrote. */
uint32_t rr_frame_read_u32(rr_frame_reader *reader);
/* Reads what rr_frame_put_u64() wrote. */
uint64_t rr_frame_read_u64(rr_frame_reader *reader);
/* Borrowed from the payload. */
const uint8_t *rr_frame_read_bytes(rr_frame_reader *reader, uint32_t *length);
/* Copies a text; one that does not fit or holds a zero byte is malformed. */
bool rr_frame_read_text(rr_frame_reader *reader, char *out, size_t size);

#endif
