/* The binary frames that controllers exchange. A header holds the magic bytes 'R' 'r', the version,
 * the type and the payload's length in 32 bits; the payload follows. Integers are big-endian;
 * strings and byte arrays are preceded by their length in 32 bits. Readers check every length. No
 * I/O and no shared state. */
#ifndef RR_PEER_FRAME_H
#define RR_PEER_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RR_FRAME_VERSION 3 /* frames of any other version are rejected */
#define RR_FRAME_HEADER_BYTES 8
#define RR_FRAME_BYTES_MAX (256 * 1024) /* of a payload */

/* Frame types, each with its payload. */
enum rr_frame_type {
    /* The sender's node name. The first frame on every connection within a cell. */
    RR_FRAME_HELLO = 1,
    /* Hops so far (u8), then a worker's heartbeat as it was received. */
    RR_FRAME_HEARTBEAT = 2,
    /* A call to a worker: address, timeout in ms (u32), body. An empty body asks for the worker's
     * status. */
    RR_FRAME_RELAY = 3,
    /* Reply to RELAY: rr_relay_outcome (u8), HTTP status (u16), body.
     * Reply to RESIGN: rr_resign_reply (u8). */
    RR_FRAME_REPLY = 4,
    /* rr_resign_request (u8), the sender's lease (u64). */
    RR_FRAME_RESIGN = 5,
    /* Hops so far (u8); count (u16) and names of the nodes that the sender receives from; count
     * (u16) and digests of heartbeats: machine, worker epoch, sequence, hash. */
    RR_FRAME_HEARTBEAT_DIGESTS = 6,
    /* Count (u16) and names of machines that do not reply to commands. */
    RR_FRAME_SUSPECTS = 7,
    /* Wall-clock time in ms (u64) at which the following frames were sent. */
    RR_FRAME_SENT_AT = 8,
    /* Count (u16) and ids of jobs whose cancellation the sender has confirmed. Sent only while
     * every controller has the capability. */
    RR_FRAME_CANCELLED = 9,
    /* The sender's view of the demand for admission (admission/demand_view.h). Sent only while
     * every controller takes part. */
    RR_FRAME_DEMAND = 10,
    /* A request from another cell (cells/messages.h). */
    RR_FRAME_CELLS = 11,
    /* The reply to a request from another cell. */
    RR_FRAME_CELLS_REPLY = 12
};

/* Outcome of a call to a worker that a peer relayed. */
enum rr_relay_outcome {
    RR_RELAY_ANSWERED = 0,
    RR_RELAY_NOT_SENT = 1,
    RR_RELAY_OUTCOME_UNKNOWN = 2 /* the call may have reached the worker, or may still do so */
};

/* What a controller that can't reach the key-value store requests of a peer before it gives up its
 * session. */
enum rr_resign_request {
    RR_RESIGN_CHECK_STORE = 0, /* does the peer reach the store? */
    RR_RESIGN_END_LEASE = 1    /* end the sender's lease in the store */
};
/* Whether the peer reaches the store, or has ended the lease. */
enum rr_resign_reply { RR_RESIGN_YES = 0, RR_RESIGN_NO = 1 };

/* ---- Writing; one buffer may hold several frames in a row. ---- */

/* Appends a frame's header and returns its offset, for rr_frame_end(). */
guint rr_frame_begin(GByteArray *buffer, enum rr_frame_type type);
/* Completes the frame whose header is at offset `start`: its payload is all that follows. */
void rr_frame_end(GByteArray *buffer, guint start);
/* Appends one byte. */
void rr_frame_put_u8(GByteArray *buffer, uint8_t value);
/* Appends two bytes, big-endian. */
void rr_frame_put_u16(GByteArray *buffer, uint16_t value);
/* Appends four bytes, big-endian. */
void rr_frame_put_u32(GByteArray *buffer, uint32_t value);
/* Appends eight bytes, big-endian. */
void rr_frame_put_u64(GByteArray *buffer, uint64_t value);
/* Appends a string as rr_frame_put_bytes() does, without its terminating NUL. */
void rr_frame_put_text(GByteArray *buffer, const char *text);
/* Appends the length in four bytes, then the data, which may be NULL if the length is 0. */
void rr_frame_put_bytes(GByteArray *buffer, const void *data, uint32_t length);
/* Overwrites the 16-bit value at this offset, such as a count that is known only later. */
void rr_frame_set_u16(GByteArray *buffer, guint offset, uint16_t value);

/* ---- Reading. ---- */

/* Parses a header. Returns 0 with the frame's type and the payload's length in bytes; -EBADMSG for
 * other magic bytes, another version or a payload of more than RR_FRAME_BYTES_MAX. */
int rr_frame_parse_header(const uint8_t header[RR_FRAME_HEADER_BYTES], uint8_t *type,
                          uint32_t *length);

/* Reads a payload from its start. A read beyond the end sets `malformed`; all further reads then
 * return 0, NULL or false. */
typedef struct {
    const uint8_t *next; /* the next byte to read; the payload is borrowed */
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
/* Reads what rr_frame_put_bytes() wrote. Returns the data, borrowed from the payload, with its
 * length in bytes; NULL with a length of 0 if it is malformed. */
const uint8_t *rr_frame_read_bytes(rr_frame_reader *reader, uint32_t *length);
/* Copies a string to `out`, a buffer of `size` bytes, and terminates it. A string that does not fit
 * or holds a NUL byte is malformed. Returns whether it was read. */
bool rr_frame_read_text(rr_frame_reader *reader, char *out, size_t size);

#endif
