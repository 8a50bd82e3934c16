#include "peer/frame.h"

#include <errno.h>
#include <string.h>

#define MAGIC_FIRST 'R'
#define MAGIC_SECOND 'r'
#define LENGTH_OFFSET 4 /* of the payload length within the header, in bytes */

/* Conversions between integers and big-endian bytes. */

static void encode_u16(uint8_t bytes[2], uint16_t value) {
    bytes[0] = (uint8_t)(value >> 8);
    bytes[1] = (uint8_t)value;
}

static void encode_u32(uint8_t bytes[4], uint32_t value) {
    encode_u16(bytes, (uint16_t)(value >> 16));
    encode_u16(bytes + 2, (uint16_t)value);
}

static uint32_t decode_u32(const uint8_t bytes[4]) {
    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 | (uint32_t)bytes[2] << 8 | bytes[3];
}

void rr_frame_put_u8(GByteArray *buffer, uint8_t value) {
    g_byte_array_append(buffer, &value, 1);
}

void rr_frame_put_u16(GByteArray *buffer, uint16_t value) {
    uint8_t bytes[2];
    encode_u16(bytes, value);
    g_byte_array_append(buffer, bytes, 2);
}

void rr_frame_put_u32(GByteArray *buffer, uint32_t value) {
    uint8_t bytes[4];
    encode_u32(bytes, value);
    g_byte_array_append(buffer, bytes, 4);
}

void rr_frame_put_bytes(GByteArray *buffer, const void *data, uint32_t length) {
    rr_frame_put_u32(buffer, length);
    if (length) {
        g_byte_array_append(buffer, data, length);
    }
}

void rr_frame_put_u64(GByteArray *buffer, uint64_t value) {
    rr_frame_put_u32(buffer, (uint32_t)(value >> 32));
    rr_frame_put_u32(buffer, (uint32_t)value);
}

void rr_frame_put_text(GByteArray *buffer, const char *text) {
    rr_frame_put_bytes(buffer, text, (uint32_t)strlen(text));
}

guint rr_frame_begin(GByteArray *buffer, enum rr_frame_type type) {
    guint start = buffer->len;
    rr_frame_put_u8(buffer, MAGIC_FIRST);
    rr_frame_put_u8(buffer, MAGIC_SECOND);
    rr_frame_put_u8(buffer, RR_FRAME_VERSION);
    rr_frame_put_u8(buffer, (uint8_t)type);
    rr_frame_put_u32(buffer, 0);
    return start;
}

void rr_frame_end(GByteArray *buffer, guint start) {
    encode_u32(buffer->data + start + LENGTH_OFFSET, buffer->len - start - RR_FRAME_HEADER_BYTES);
}

void rr_frame_set_u16(GByteArray *buffer, guint offset, uint16_t value) {
    encode_u16(buffer->data + offset, value);
}

int rr_frame_parse_header(const uint8_t header[RR_FRAME_HEADER_BYTES], uint8_t *type,
                          uint32_t *length) {
    if (header[0] != MAGIC_FIRST || header[1] != MAGIC_SECOND || header[2] != RR_FRAME_VERSION) {
        return -EBADMSG;
    }
    *type = header[3];
    *length = decode_u32(header + LENGTH_OFFSET);
    return *length > RR_FRAME_BYTES_MAX ? -EBADMSG : 0;
}

/* Returns the next `count` bytes, borrowed from the payload, and advances the reader. NULL if fewer
 * are left; the reader is then malformed. */
static const uint8_t *consume_bytes(rr_frame_reader *reader, size_t count) {
    if (reader->malformed || reader->bytes_left < count) {
        reader->malformed = true;
        return NULL;
    }
    const uint8_t *bytes = reader->next;
    reader->next += count;
    reader->bytes_left -= count;
    return bytes;
}

uint8_t rr_frame_read_u8(rr_frame_reader *reader) {
    const uint8_t *bytes = consume_bytes(reader, 1);
    return bytes ? bytes[0] : 0;
}

uint16_t rr_frame_read_u16(rr_frame_reader *reader) {
    const uint8_t *bytes = consume_bytes(reader, 2);
    return bytes ? (uint16_t)(bytes[0] << 8 | bytes[1]) : 0;
}

uint32_t rr_frame_read_u32(rr_frame_reader *reader) {
    const uint8_t *bytes = consume_bytes(reader, 4);
    return bytes ? decode_u32(bytes) : 0;
}

uint64_t rr_frame_read_u64(rr_frame_reader *reader) {
    uint64_t high = rr_frame_read_u32(reader);
    return high << 32 | rr_frame_read_u32(reader);
}

const uint8_t *rr_frame_read_bytes(rr_frame_reader *reader, uint32_t *length) {
    *length = rr_frame_read_u32(reader);
    const uint8_t *bytes = consume_bytes(reader, *length);
    if (!bytes) {
        *length = 0;
    }
    return bytes;
}

bool rr_frame_read_text(rr_frame_reader *reader, char *out, size_t size) {
    uint32_t length;
    const uint8_t *bytes = rr_frame_read_bytes(reader, &length);
    if (!bytes || length >= size || memchr(bytes, 0, length)) {
        reader->malformed = true;
        return false;
    }
    memcpy(out, bytes, length);
    out[length] = 0;
    return true;
}
