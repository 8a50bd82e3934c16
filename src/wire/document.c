/* MessagePack documents: limits first, then libmsgpack. */
#include "wire/wire.h"

#include <errno.h>
#include <math.h>
#include <string.h>

/* libmsgpack allocates a container's whole declared length before it has seen one element, so a
 * five-byte body could ask for gigabytes. This scan only follows the format's length bytes: every
 * element takes at least one byte, hence a declared count above what is left is false. */
struct scan {
    const uint8_t *next, *end;
};

static bool skip_bytes(struct scan *scan, uint64_t number) {
    if ((uint64_t)(scan->end - scan->next) < number) {
        return false;
    }
    scan->next += number;
    return true;
}

static bool read_be(struct scan *scan, int bytes, uint64_t *out) {
    *out = 0;
    if (scan->end - scan->next < bytes) {
        return false;
    }
    for (int i = 0; i < bytes; i++) {
        *out = *out << 8 | *scan->next++;
    }
    return true;
}

static bool scan_value(struct scan *scan, int depth);

static bool scan_items(struct scan *scan, uint64_t number, int depth) {
    if (number > (uint64_t)(scan->end - scan->next) || depth <= 0) {
        return false;
    }
    for (uint64_t i = 0; i < number; i++) {
        if (!scan_value(scan, depth - 1)) {
            return false;
        }
    }
    return true;
}

static bool scan_sized(struct scan *scan, int len_bytes, int extra) {
    uint64_t number;
    return read_be(scan, len_bytes, &number) && skip_bytes(scan, number + (uint64_t)extra);
}

static bool scan_wide(struct scan *scan, uint8_t byte, int depth) {
    static const uint8_t fixed[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8}; /* 0xca..0xd3 */
    uint64_t number;
    switch (byte) {
    case 0xc0:
    case 0xc2:
    case 0xc3:
        return true;
    case 0xc4:
    case 0xc5:
    case 0xc6:
        return scan_sized(scan, 1 << (byte - 0xc4), 0);
    case 0xc7:
    case 0xc8:
    case 0xc9:
        return scan_sized(scan, 1 << (byte - 0xc7), 1);
    case 0xd9:
    case 0xda:
    case 0xdb:
        return scan_sized(scan, 1 << (byte - 0xd9), 0);
    case 0xdc:
    case 0xdd:
        return read_be(scan, byte == 0xdc ? 2 : 4, &number) && scan_items(scan, number, depth);
    case 0xde:
    case 0xdf:
        return read_be(scan, byte == 0xde ? 2 : 4, &number) && scan_items(scan, number * 2, depth);
    default:
        if (byte >= 0xca && byte <= 0xd3) {
            return skip_bytes(scan, fixed[byte - 0xca]);
        }
        if (byte >= 0xd4 && byte <= 0xd8) {
            return skip_bytes(scan, (1u << (byte - 0xd4)) + 1);
        }
        return false;
    }
}

static bool scan_value(struct scan *scan, int depth) {
    if (scan->next >= scan->end) {
        return false;
    }
    uint8_t byte = *scan->next++;
    if (byte < 0x80 || byte >= 0xe0) {
        return true;
    }
    if (byte < 0x90) {
        return scan_items(scan, (uint64_t)(byte & 0x0f) * 2, depth);
    }
    if (byte < 0xa0) {
        return scan_items(scan, byte & 0x0f, depth);
    }
    if (byte < 0xc0) {
        return skip_bytes(scan, byte & 0x1f);
    }
    return scan_wide(scan, byte, depth);
}

int rr_document_parse(rr_document *document, const void *data, size_t length) {
    struct scan scan = {data, (const uint8_t *)data + length};
    msgpack_unpacked_init(&document->unpacked);
    document->root = NULL;
    document->copy = NULL;
    if (length == 0 || !scan_value(&scan, RR_NESTING_DEPTH_MAX) || scan.next != scan.end) {
        return -EBADMSG;
    }
    size_t off = 0;
    document->copy = g_memdup2(data, length);
    if (msgpack_unpack_next(&document->unpacked, document->copy, length, &off) !=
            MSGPACK_UNPACK_SUCCESS ||
        off != length) {
        return -EBADMSG;
    }
    document->root = &document->unpacked.data;
    return 0;
}

void rr_document_clear(rr_document *document) {
    msgpack_unpacked_destroy(&document->unpacked);
    g_free(document->copy);
    document->copy = NULL;
    document->root = NULL;
}

bool rr_object_is_map(const msgpack_object *object) {
    return object && object->type == MSGPACK_OBJECT_MAP;
}

bool rr_object_text_equals(const msgpack_object *object, const char *text) {
    return object && object->type == MSGPACK_OBJECT_STR && object->via.str.size == strlen(text) &&
           memcmp(object->via.str.ptr, text, object->via.str.size) == 0;
}

const msgpack_object *rr_map_get(const msgpack_object *map, const char *key) {
    if (!rr_object_is_map(map)) {
        return NULL;
    }
    for (uint32_t i = 0; i < map->via.map.size; i++) {
        const msgpack_object_kv *entry = &map->via.map.ptr[i];
        if (rr_object_text_equals(&entry->key, key)) {
            return entry->val.type == MSGPACK_OBJECT_NIL ? NULL : &entry->val;
        }
    }
    return NULL;
}

bool rr_object_u64(const msgpack_object *object, uint64_t *out) {
    if (!object || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *out = object->via.u64;
    return true;
}

bool rr_object_number(const msgpack_object *object, double *out) {
    if (!object) {
        return false;
    }
    switch (object->type) {
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        *out = (double)object->via.u64;
        return true;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
        *out = (double)object->via.i64;
        return true;
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        *out = object->via.f64;
        return isfinite(*out);
    default:
        return false;
    }
}

bool rr_object_text(const msgpack_object *object, char *out, size_t size) {
    if (!object || object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size ||
        (object->via.str.size && memchr(object->via.str.ptr, 0, object->via.str.size))) {
        return false;
    }
    if (object->via.str.size) {
        memcpy(out, object->via.str.ptr, object->via.str.size);
    }
    out[object->via.str.size] = 0;
    return true;
}

bool rr_map_get_u64(const msgpack_object *map, const char *key, uint64_t *out) {
    return rr_object_u64(rr_map_get(map, key), out);
}

bool rr_map_get_number(const msgpack_object *map, const char *key, double *out) {
    return rr_object_number(rr_map_get(map, key), out);
}

bool rr_map_get_text(const msgpack_object *map, const char *key, char *out, size_t size) {
    return rr_object_text(rr_map_get(map, key), out, size);
}

bool rr_map_get_bool(const msgpack_object *map, const char *key, bool *out) {
    const msgpack_object *object = rr_map_get(map, key);
    if (!object || object->type != MSGPACK_OBJECT_BOOLEAN) {
        return false;
    }
    *out = object->via.boolean;
    return true;
}

void rr_encoder_init(rr_encoder *encoder) {
    msgpack_sbuffer_init(&encoder->buffer);
    msgpack_packer_init(&encoder->packer, &encoder->buffer, msgpack_sbuffer_write);
}

void rr_encoder_clear(rr_encoder *encoder) {
    msgpack_sbuffer_destroy(&encoder->buffer);
}

void rr_encode_map(rr_encoder *encoder, size_t count) {
    msgpack_pack_map(&encoder->packer, count);
}

void rr_encode_array(rr_encoder *encoder, size_t count) {
    msgpack_pack_array(&encoder->packer, count);
}

void rr_encode_text(rr_encoder *encoder, const char *text) {
    size_t count = strlen(text);
    msgpack_pack_str(&encoder->packer, count);
    msgpack_pack_str_body(&encoder->packer, text, count);
}

void rr_encode_u64(rr_encoder *encoder, uint64_t value) {
    msgpack_pack_uint64(&encoder->packer, value);
}

void rr_encode_number(rr_encoder *encoder, double value) {
    msgpack_pack_double(&encoder->packer, value);
}

void rr_encode_bool(rr_encoder *encoder, bool value) {
    if (value) {
        msgpack_pack_true(&encoder->packer);
    } else {
        msgpack_pack_false(&encoder->packer);
    }
}

void rr_encode_key_text(rr_encoder *encoder, const char *key, const char *value) {
    rr_encode_text(encoder, key);
    rr_encode_text(encoder, value);
}

void rr_encode_key_u64(rr_encoder *encoder, const char *key, uint64_t value) {
    rr_encode_text(encoder, key);
    rr_encode_u64(encoder, value);
}

void rr_encode_key_number(rr_encoder *encoder, const char *key, double value) {
    rr_encode_text(encoder, key);
    rr_encode_number(encoder, value);
}

void rr_encode_key_bool(rr_encoder *encoder, const char *key, bool value) {
    rr_encode_text(encoder, key);
    rr_encode_bool(encoder, value);
}
