#include "peer/frame.h"

#include <errno.h>
#include <string.h>

void rr_frame_put_u8(GByteArray *b, uint8_t v) {
    g_byte_array_append(b, &v, 1);
}

void rr_frame_put_u16(GByteArray *b, uint16_t v) {
    uint8_t x[2] = {(uint8_t)(v >> 8), (uint8_t)v};
    g_byte_array_append(b, x, 2);
}

void rr_frame_put_u32(GByteArray *b, uint32_t v) {
    uint8_t x[4] = {(uint8_t)(v >> 24), (uint8_t)(v >> 16), (uint8_t)(v >> 8), (uint8_t)v};
    g_byte_array_append(b, x, 4);
}

void rr_frame_put_bytes(GByteArray *b, const void *data, uint32_t len) {
    rr_frame_put_u32(b, len);
    if (len) {
        g_byte_array_append(b, data, len);
    }
}

void rr_frame_put_u64(GByteArray *b, uint64_t v) {
    rr_frame_put_u32(b, (uint32_t)(v >> 32));
    rr_frame_put_u32(b, (uint32_t)v);
}

void rr_frame_put_text(GByteArray *b, const char *s) {
    rr_frame_put_bytes(b, s, (uint32_t)strlen(s));
}

guint rr_frame_begin(GByteArray *b, enum rr_frame_type type) {
    guint at = b->len;
    rr_frame_put_u8(b, 'R');
    rr_frame_put_u8(b, 'r');
    rr_frame_put_u8(b, RR_FRAME_VERSION);
    rr_frame_put_u8(b, (uint8_t)type);
    rr_frame_put_u32(b, 0);
    return at;
}

void rr_frame_end(GByteArray *b, guint at) {
    uint32_t n = b->len - at - RR_FRAME_HEADER_BYTES;
    b->data[at + 4] = (uint8_t)(n >> 24);
    b->data[at + 5] = (uint8_t)(n >> 16);
    b->data[at + 6] = (uint8_t)(n >> 8);
    b->data[at + 7] = (uint8_t)n;
}

int rr_frame_head(const uint8_t head[RR_FRAME_HEADER_BYTES], uint8_t *type, uint32_t *len) {
    if (head[0] != 'R' || head[1] != 'r' || head[2] != RR_FRAME_VERSION) {
        return -EBADMSG;
    }
    *type = head[3];
    *len = (uint32_t)head[4] << 24 | (uint32_t)head[5] << 16 | (uint32_t)head[6] << 8 | head[7];
    return *len > RR_FRAME_BYTES_MAX ? -EBADMSG : 0;
}

static const uint8_t *take(rr_frame_reader *u, size_t n) {
    if (u->malformed || u->bytes_left < n) {
        u->malformed = true;
        return NULL;
    }
    const uint8_t *p = u->next;
    u->next += n;
    u->bytes_left -= n;
    return p;
}

uint8_t rr_frame_read_u8(rr_frame_reader *u) {
    const uint8_t *p = take(u, 1);
    return p ? p[0] : 0;
}

uint16_t rr_frame_read_u16(rr_frame_reader *u) {
    const uint8_t *p = take(u, 2);
    return p ? (uint16_t)(p[0] << 8 | p[1]) : 0;
}

uint32_t rr_frame_read_u32(rr_frame_reader *u) {
    const uint8_t *p = take(u, 4);
    return p ? (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3] : 0;
}

uint64_t rr_frame_read_u64(rr_frame_reader *u) {
    uint64_t high = rr_frame_read_u32(u);
    return high << 32 | rr_frame_read_u32(u);
}

const uint8_t *rr_frame_read_bytes(rr_frame_reader *u, uint32_t *len) {
    *len = rr_frame_read_u32(u);
    const uint8_t *p = take(u, *len);
    if (!p) {
        *len = 0;
    }
    return p;
}

bool rr_frame_read_text(rr_frame_reader *u, char *out, size_t size) {
    uint32_t n;
    const uint8_t *p = rr_frame_read_bytes(u, &n);
    if (!p || n >= size || memchr(p, 0, n)) {
        u->malformed = true;
        return false;
    }
    memcpy(out, p, n);
    out[n] = 0;
    return true;
}
