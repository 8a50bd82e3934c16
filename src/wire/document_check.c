#include "wire/document_check.h"

#include <stdint.h>

/* The first byte of a MessagePack value. In the ranges of the fixed forms (positive integers below
 * FORMAT_FIXMAP, FIXMAP, FIXARRAY, FIXSTR, NEGATIVE_FIXINT) the low bits are a count, a length or
 * the value itself. */
enum msgpack_format {
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

/* Sizes in bytes of the values from FORMAT_FLOAT32 to FORMAT_INT64: floats of 4 and 8 bytes, then
 * unsigned and signed integers of 1 to 8 bytes. */
static const uint8_t number_sizes[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};

/* The bytes that have not been checked yet. */
struct scanner {
    const uint8_t *next, *end;
};

static uint64_t bytes_left(const struct scanner *scanner) {
    return (uint64_t)(scanner->end - scanner->next);
}

static bool skip_bytes(struct scanner *scanner, uint64_t count) {
    if (bytes_left(scanner) < count) {
        return false;
    }
    scanner->next += count;
    return true;
}

/* Reads a big-endian integer of up to 8 bytes. */
static bool read_integer(struct scanner *scanner, int bytes, uint64_t *out) {
    *out = 0;
    if (bytes_left(scanner) < (uint64_t)bytes) {
        return false;
    }
    for (int i = 0; i < bytes; i++) {
        *out = *out << 8 | *scanner->next++;
    }
    return true;
}

static bool check_value(struct scanner *scanner, int depth);

/* Checks the elements of a container. depth is the number of nesting levels left. */
static bool check_elements(struct scanner *scanner, uint64_t count, int depth) {
    if (count > bytes_left(scanner) || depth <= 0) {
        return false;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!check_value(scanner, depth - 1)) {
            return false;
        }
    }
    return true;
}

/* Checks a length of length_bytes bytes that is followed by that many bytes of data and by `extra`
 * further bytes. */
static bool check_data(struct scanner *scanner, int length_bytes, uint64_t extra) {
    uint64_t length;
    return read_integer(scanner, length_bytes, &length) && skip_bytes(scanner, length + extra);
}

/* Checks a count of count_bytes bytes that is followed by that many entries. An entry consists of
 * values_per_entry values: one in an array, two in a map. */
static bool check_container(struct scanner *scanner, int count_bytes, uint64_t values_per_entry,
                            int depth) {
    uint64_t count;
    return read_integer(scanner, count_bytes, &count) &&
           check_elements(scanner, count * values_per_entry, depth);
}

/* Checks the rest of a value whose first byte is none of the fixed forms. */
static bool check_typed_value(struct scanner *scanner, uint8_t first_byte, int depth) {
    if (first_byte >= FORMAT_FLOAT32 && first_byte <= FORMAT_INT64) {
        return skip_bytes(scanner, number_sizes[first_byte - FORMAT_FLOAT32]);
    }
    if (first_byte >= FORMAT_FIXEXT1 && first_byte <= FORMAT_FIXEXT16) {
        return skip_bytes(scanner, (1u << (first_byte - FORMAT_FIXEXT1)) + EXT_TYPE_BYTES);
    }
    switch (first_byte) {
    case FORMAT_NIL:
    case FORMAT_FALSE:
    case FORMAT_TRUE:
        return true;
    case FORMAT_BIN8:
    case FORMAT_BIN16:
    case FORMAT_BIN32:
        return check_data(scanner, 1 << (first_byte - FORMAT_BIN8), 0);
    case FORMAT_EXT8:
    case FORMAT_EXT16:
    case FORMAT_EXT32:
        return check_data(scanner, 1 << (first_byte - FORMAT_EXT8), EXT_TYPE_BYTES);
    case FORMAT_STR8:
    case FORMAT_STR16:
    case FORMAT_STR32:
        return check_data(scanner, 1 << (first_byte - FORMAT_STR8), 0);
    case FORMAT_ARRAY16:
        return check_container(scanner, 2, 1, depth);
    case FORMAT_ARRAY32:
        return check_container(scanner, 4, 1, depth);
    case FORMAT_MAP16:
        return check_container(scanner, 2, 2, depth);
    case FORMAT_MAP32:
        return check_container(scanner, 4, 2, depth);
    default:
        return false;
    }
}

/* Checks one value with everything that it contains. */
static bool check_value(struct scanner *scanner, int depth) {
    if (bytes_left(scanner) == 0) {
        return false;
    }
    uint8_t first_byte = *scanner->next++;
    if (first_byte < FORMAT_FIXMAP || first_byte >= FORMAT_NEGATIVE_FIXINT) {
        return true;
    }
    if (first_byte < FORMAT_FIXARRAY) {
        return check_elements(scanner, (uint64_t)(first_byte & FIXMAP_COUNT_MASK) * 2, depth);
    }
    if (first_byte < FORMAT_FIXSTR) {
        return check_elements(scanner, first_byte & FIXARRAY_COUNT_MASK, depth);
    }
    if (first_byte < FORMAT_NIL) {
        return skip_bytes(scanner, first_byte & FIXSTR_LENGTH_MASK);
    }
    return check_typed_value(scanner, first_byte, depth);
}

bool rr_document_check(const void *data, size_t length, int depth_max) {
    if (length == 0) {
        return false;
    }
    struct scanner scanner = {data, (const uint8_t *)data + length};
    return check_value(&scanner, depth_max) && scanner.next == scanner.end;
}
