#include "peer/frame.h"

#include <errno.h>
#include <string.h>

#define MAGIC_FIRST 'R'
#define MAGIC_SECOND 'r'
#define LENGTH_OFFSET 4 /* in the header */

static void store_u16(uint8_t octets[2], uint16_t value) {
    octets[0] = (uint8_t)(value >> 8);
    octets[1] = (uint8_t)value;
}

static void store_u32(uint8_t octets[4], uint32_t value) {
    store_u16(octets, (uint16_t)(value >> 16));
    store_u16(octets + 2, (uint16_t)value);
}

static uint32_t load_u32(const uint8_t octets[4]) {
    return (uint32_t)octets[0] << 24 | (uint32_t)octets[1] << 16 | (uint32_t)octets[2] << 8 |
           octets[3];
}

void rr_frame_put_u8(GByteArray *buffer, uint8_t value) {
    g_byte_array_append(buffer, &value, 1);
}

void rr_frame_put_u16(GByteArray *buffer, uint16_t value) {
    uint8_t octets[2];
    store_u16(octets, value);
    g_byte_array_append(buffer, octets, 2);
}

void rr_frame_put_u32(GByteArray *buffer, uint32_t value) {
    uint8_t octets[4];
    store_u32(octets, value);
    g_byte_array_append(buffer, octets, 4);
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
    store_u32(buffer->data + start + LENGTH_OFFSET, buffer->len - start - RR_FRAME_HEADER_BYTES);
}

void rr_frame_set_u16(GByteArray *buffer, guint offset, uint16_t value) {
    store_u16(buffer->data + offset, value);
}

int rr_frame_head(const uint8_t head[RR_FRAME_HEADER_BYTES], uint8_t *type, uint32_t *length) {
    if (head[0] != MAGIC_FIRST || head[1] != MAGIC_SECOND || head[2] != RR_FRAME_VERSION) {
        return -EBADMSG;
    }
    *type = head[3];
    *length = load_u32(head + LENGTH_OFFSET);
    return *length > RR_FRAME_BYTES_MAX ? -EBADMSG : 0;
}

static const uint8_t *take(rr_frame_reader *reader, size_t count) {
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
    const uint8_t *bytes = take(reader, 1);
    return bytes ? bytes[0] : 0;
}

uint16_t rr_frame_read_u16(rr_frame_reader *reader) {
    const uint8_t *bytes = take(reader, 2);
    return bytes ? (uint16_t)(bytes[0] << 8 | bytes[1]) : 0;
}

uint32_t rr_frame_read_u32(rr_frame_reader *reader) {
    const uint8_t *bytes = take(reader, 4);
    return bytes ? load_u32(bytes) : 0;
}

uint64_t rr_frame_read_u64(rr_frame_reader *reader) {
    uint64_t high = rr_frame_read_u32(reader);
    return high << 32 | rr_frame_read_u32(reader);
}

const uint8_t *rr_frame_read_bytes(rr_frame_reader *reader, uint32_t *length) {
    *length = rr_frame_read_u32(reader);
    const uint8_t *bytes = take(reader, *length);
    if (!bytes) {
        *length = 0;
    }
    return bytes;
}

bool rr_frame_read_text(rr_frame_reader *reader, char *out, size_t size) {
    uint32_t count;
    const uint8_t *bytes = rr_frame_read_bytes(reader, &count);
    if (!bytes || count >= size || memchr(bytes, 0, count)) {
        reader->malformed = true;
        return false;
    }
    memcpy(out, bytes, count);
    out[count] = 0;
    return true;
}
