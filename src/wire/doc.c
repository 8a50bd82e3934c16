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

static bool skip_bytes(struct scan *s, uint64_t n) {
    if ((uint64_t)(s->end - s->next) < n) {
        return false;
    }
    s->next += n;
    return true;
}

static bool read_be(struct scan *s, int bytes, uint64_t *out) {
    *out = 0;
    if (s->end - s->next < bytes) {
        return false;
    }
    for (int i = 0; i < bytes; i++) {
        *out = *out << 8 | *s->next++;
    }
    return true;
}

static bool scan_value(struct scan *s, int depth);

static bool scan_items(struct scan *s, uint64_t n, int depth) {
    if (n > (uint64_t)(s->end - s->next) || depth <= 0) {
        return false;
    }
    for (uint64_t i = 0; i < n; i++) {
        if (!scan_value(s, depth - 1)) {
            return false;
        }
    }
    return true;
}

static bool scan_sized(struct scan *s, int len_bytes, int extra) {
    uint64_t n;
    return read_be(s, len_bytes, &n) && skip_bytes(s, n + (uint64_t)extra);
}

static bool scan_wide(struct scan *s, uint8_t b, int depth) {
    static const uint8_t fixed[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8}; /* 0xca..0xd3 */
    uint64_t n;
    switch (b) {
    case 0xc0:
    case 0xc2:
    case 0xc3:
        return true;
    case 0xc4:
    case 0xc5:
    case 0xc6:
        return scan_sized(s, 1 << (b - 0xc4), 0);
    case 0xc7:
    case 0xc8:
    case 0xc9:
        return scan_sized(s, 1 << (b - 0xc7), 1);
    case 0xd9:
    case 0xda:
    case 0xdb:
        return scan_sized(s, 1 << (b - 0xd9), 0);
    case 0xdc:
    case 0xdd:
        return read_be(s, b == 0xdc ? 2 : 4, &n) && scan_items(s, n, depth);
    case 0xde:
    case 0xdf:
        return read_be(s, b == 0xde ? 2 : 4, &n) && scan_items(s, n * 2, depth);
    default:
        if (b >= 0xca && b <= 0xd3) {
            return skip_bytes(s, fixed[b - 0xca]);
        }
        if (b >= 0xd4 && b <= 0xd8) {
            return skip_bytes(s, (1u << (b - 0xd4)) + 1);
        }
        return false;
    }
}

static bool scan_value(struct scan *s, int depth) {
    if (s->next >= s->end) {
        return false;
    }
    uint8_t b = *s->next++;
    if (b < 0x80 || b >= 0xe0) {
        return true;
    }
    if (b < 0x90) {
        return scan_items(s, (uint64_t)(b & 0x0f) * 2, depth);
    }
    if (b < 0xa0) {
        return scan_items(s, b & 0x0f, depth);
    }
    if (b < 0xc0) {
        return skip_bytes(s, b & 0x1f);
    }
    return scan_wide(s, b, depth);
}

int rr_document_parse(rr_document *doc, const void *data, size_t len) {
    struct scan s = {data, (const uint8_t *)data + len};
    msgpack_unpacked_init(&doc->unpacked);
    doc->root = NULL;
    doc->copy = NULL;
    if (len == 0 || !scan_value(&s, RR_NESTING_DEPTH_MAX) || s.next != s.end) {
        return -EBADMSG;
    }
    size_t off = 0;
    doc->copy = g_memdup2(data, len);
    if (msgpack_unpack_next(&doc->unpacked, doc->copy, len, &off) != MSGPACK_UNPACK_SUCCESS ||
        off != len) {
        return -EBADMSG;
    }
    doc->root = &doc->unpacked.data;
    return 0;
}

void rr_document_clear(rr_document *doc) {
    msgpack_unpacked_destroy(&doc->unpacked);
    g_free(doc->copy);
    doc->copy = NULL;
    doc->root = NULL;
}

bool rr_object_is_map(const msgpack_object *o) {
    return o && o->type == MSGPACK_OBJECT_MAP;
}

bool rr_object_text_equals(const msgpack_object *o, const char *text) {
    return o && o->type == MSGPACK_OBJECT_STR && o->via.str.size == strlen(text) &&
           memcmp(o->via.str.ptr, text, o->via.str.size) == 0;
}

const msgpack_object *rr_map_get(const msgpack_object *map, const char *key) {
    if (!rr_object_is_map(map)) {
        return NULL;
    }
    for (uint32_t i = 0; i < map->via.map.size; i++) {
        const msgpack_object_kv *kv = &map->via.map.ptr[i];
        if (rr_object_text_equals(&kv->key, key)) {
            return kv->val.type == MSGPACK_OBJECT_NIL ? NULL : &kv->val;
        }
    }
    return NULL;
}

bool rr_object_u64(const msgpack_object *o, uint64_t *out) {
    if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *out = o->via.u64;
    return true;
}

bool rr_object_number(const msgpack_object *o, double *out) {
    if (!o) {
        return false;
    }
    switch (o->type) {
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        *out = (double)o->via.u64;
        return true;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
        *out = (double)o->via.i64;
        return true;
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        *out = o->via.f64;
        return isfinite(*out);
    default:
        return false;
    }
}

bool rr_object_text(const msgpack_object *o, char *out, size_t size) {
    if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size ||
        (o->via.str.size && memchr(o->via.str.ptr, 0, o->via.str.size))) {
        return false;
    }
    if (o->via.str.size) {
        memcpy(out, o->via.str.ptr, o->via.str.size);
    }
    out[o->via.str.size] = 0;
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
    const msgpack_object *o = rr_map_get(map, key);
    if (!o || o->type != MSGPACK_OBJECT_BOOLEAN) {
        return false;
    }
    *out = o->via.boolean;
    return true;
}

void rr_encoder_init(rr_encoder *o) {
    msgpack_sbuffer_init(&o->buffer);
    msgpack_packer_init(&o->packer, &o->buffer, msgpack_sbuffer_write);
}

void rr_encoder_clear(rr_encoder *o) {
    msgpack_sbuffer_destroy(&o->buffer);
}

void rr_encode_map(rr_encoder *o, size_t n) {
    msgpack_pack_map(&o->packer, n);
}

void rr_encode_array(rr_encoder *o, size_t n) {
    msgpack_pack_array(&o->packer, n);
}

void rr_encode_text(rr_encoder *o, const char *s) {
    size_t n = strlen(s);
    msgpack_pack_str(&o->packer, n);
    msgpack_pack_str_body(&o->packer, s, n);
}

void rr_encode_u64(rr_encoder *o, uint64_t v) {
    msgpack_pack_uint64(&o->packer, v);
}

void rr_encode_number(rr_encoder *o, double v) {
    msgpack_pack_double(&o->packer, v);
}

void rr_encode_bool(rr_encoder *o, bool v) {
    if (v) {
        msgpack_pack_true(&o->packer);
    } else {
        msgpack_pack_false(&o->packer);
    }
}

void rr_encode_key_text(rr_encoder *o, const char *k, const char *v) {
    rr_encode_text(o, k);
    rr_encode_text(o, v);
}

void rr_encode_key_u64(rr_encoder *o, const char *k, uint64_t v) {
    rr_encode_text(o, k);
    rr_encode_u64(o, v);
}

void rr_encode_key_number(rr_encoder *o, const char *k, double v) {
    rr_encode_text(o, k);
    rr_encode_number(o, v);
}

void rr_encode_key_bool(rr_encoder *o, const char *k, bool v) {
    rr_encode_text(o, k);
    rr_encode_bool(o, v);
}
