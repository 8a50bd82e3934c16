#include "wire/document_check.h"

#include <stdint.h>

/* First bytes of MessagePack values. In the ranges of fixed forms the low bits are a count, a
 * length or the value itself. */
enum format {
    FORMAT_FIXMAP = 0x80,
    FORMAT_FIXARRAY = 0x90,
    FORMAT_FIXSTR = 0xa0,
    FORMAT_NIL = 0xc0,
    FORMAT_FALSE = 0xc2,
    FORMAT_TRUE = 0xc3,
    FORMAT_BIN8 = 0xc4,
    FORMAT_BIN16 = 0xc5,
    FORMAT_BIN32 = 0xc6,
    FORMAT_EXT8 = 0xc7,
    FORMAT_EXT16 = 0xc8,
    FORMAT_EXT32 = 0xc9,
    FORMAT_FLOAT32 = 0xca,
    FORMAT_INT64 = 0xd3,
    FORMAT_FIXEXT1 = 0xd4,
    FORMAT_FIXEXT16 = 0xd8,
    FORMAT_STR8 = 0xd9,
    FORMAT_STR16 = 0xda,
    FORMAT_STR32 = 0xdb,
    FORMAT_ARRAY16 = 0xdc,
    FORMAT_ARRAY32 = 0xdd,
    FORMAT_MAP16 = 0xde,
    FORMAT_MAP32 = 0xdf,
    FORMAT_NEGATIVE_FIXINT = 0xe0
};

#define FIXMAP_COUNT_MASK 0x0f
#define FIXARRAY_COUNT_MASK 0x0f
#define FIXSTR_LENGTH_MASK 0x1f
#define EXT_TYPE_BYTES 1

/* Of values from FORMAT_FLOAT32 to FORMAT_INT64: floats, unsigned and signed integers. */
static const uint8_t number_bytes[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};

struct scan {
    const uint8_t *next, *end;
};

static uint64_t bytes_left(const struct scan *scan) {
    return (uint64_t)(scan->end - scan->next);
}

static bool skip_bytes(struct scan *scan, uint64_t count) {
    if (bytes_left(scan) < count) {
        return false;
    }
    scan->next += count;
    return true;
}

/* A big-endian integer of up to 8 bytes. */
static bool read_integer(struct scan *scan, int bytes, uint64_t *out) {
    *out = 0;
    if (bytes_left(scan) < (uint64_t)bytes) {
        return false;
    }
    for (int i = 0; i < bytes; i++) {
        *out = *out << 8 | *scan->next++;
    }
    return true;
}

static bool check_value(struct scan *scan, int depth);

static bool check_items(struct scan *scan, uint64_t count, int depth) {
    if (count > bytes_left(scan) || depth <= 0) {
        return false;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!check_value(scan, depth - 1)) {
            return false;
        }
    }
    return true;
}

/* A length of so many bytes, then that much data and `extra` bytes. */
static bool check_data(struct scan *scan, int length_bytes, uint64_t extra) {
    uint64_t length;
    return read_integer(scan, length_bytes, &length) && skip_bytes(scan, length + extra);
}

/* A count of so many bytes, then that many times `items_each` values. */
static bool check_container(struct scan *scan, int count_bytes, uint64_t items_each, int depth) {
    uint64_t count;
    return read_integer(scan, count_bytes, &count) && check_items(scan, count * items_each, depth);
}

/* The rest of a value whose first byte names its type, not a fixed form. */
static bool check_typed_value(struct scan *scan, uint8_t byte, int depth) {
    if (byte >= FORMAT_FLOAT32 && byte <= FORMAT_INT64) {
        return skip_bytes(scan, number_bytes[byte - FORMAT_FLOAT32]);
    }
    if (byte >= FORMAT_FIXEXT1 && byte <= FORMAT_FIXEXT16) {
        return skip_bytes(scan, (1u << (byte - FORMAT_FIXEXT1)) + EXT_TYPE_BYTES);
    }
    switch (byte) {
    case FORMAT_NIL:
    case FORMAT_FALSE:
    case FORMAT_TRUE:
        return true;
    case FORMAT_BIN8:
    case FORMAT_BIN16:
    case FORMAT_BIN32:
        return check_data(scan, 1 << (byte - FORMAT_BIN8), 0);
    case FORMAT_EXT8:
    case FORMAT_EXT16:
    case FORMAT_EXT32:
        return check_data(scan, 1 << (byte - FORMAT_EXT8), EXT_TYPE_BYTES);
    case FORMAT_STR8:
    case FORMAT_STR16:
    case FORMAT_STR32:
        return check_data(scan, 1 << (byte - FORMAT_STR8), 0);
    case FORMAT_ARRAY16:
        return check_container(scan, 2, 1, depth);
    case FORMAT_ARRAY32:
        return check_container(scan, 4, 1, depth);
    case FORMAT_MAP16:
        return check_container(scan, 2, 2, depth);
    case FORMAT_MAP32:
        return check_container(scan, 4, 2, depth);
    default:
        return false;
    }
}

static bool check_value(struct scan *scan, int depth) {
    if (bytes_left(scan) == 0) {
        return false;
    }
    uint8_t byte = *scan->next++;
    if (byte < FORMAT_FIXMAP || byte >= FORMAT_NEGATIVE_FIXINT) {
        return true;
    }
    if (byte < FORMAT_FIXARRAY) {
        return check_items(scan, (uint64_t)(byte & FIXMAP_COUNT_MASK) * 2, depth);
    }
    if (byte < FORMAT_FIXSTR) {
        return check_items(scan, byte & FIXARRAY_COUNT_MASK, depth);
    }
    if (byte < FORMAT_NIL) {
        return skip_bytes(scan, byte & FIXSTR_LENGTH_MASK);
    }
    return check_typed_value(scan, byte, depth);
}

bool rr_document_check(const void *data, size_t length, int depth_max) {
    if (length == 0) {
        return false;
    }
    struct scan scan = {data, (const uint8_t *)data + length};
    return check_value(&scan, depth_max) && scan.next == scan.end;
}
