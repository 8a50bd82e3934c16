/* MessagePack documents: limits first, then libmsgpack. */
#include "wire/wire.h"

#include <errno.h>
#include <math.h>
#include <string.h>

/* libmsgpack allocates a container's whole declared length before it has seen one element, so a
 * five-byte body could ask for gigabytes. This scan only follows the format's length bytes: every
 * element takes at least one byte, hence a declared count above what is left is false. */
struct scan {
    const uint8_t *p, *end;
};

static bool skip_bytes(struct scan *s, uint64_t n) {
    if ((uint64_t)(s->end - s->p) < n) {
        return false;
    }
    s->p += n;
    return true;
}

static bool read_be(struct scan *s, int bytes, uint64_t *out) {
    *out = 0;
    if (s->end - s->p < bytes) {
        return false;
    }
    for (int i = 0; i < bytes; i++) {
        *out = *out << 8 | *s->p++;
    }
    return true;
}

static bool scan_value(struct scan *s, int depth);

static bool scan_items(struct scan *s, uint64_t n, int depth) {
    if (n > (uint64_t)(s->end - s->p) || depth <= 0) {
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
    if (s->p >= s->end) {
        return false;
    }
    uint8_t b = *s->p++;
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

int rr_doc_parse(rr_doc *doc, const void *data, size_t len) {
    struct scan s = {data, (const uint8_t *)data + len};
    msgpack_unpacked_init(&doc->up);
    doc->root = NULL;
    doc->copy = NULL;
    if (len == 0 || !scan_value(&s, RR_DEPTH_MAX) || s.p != s.end) {
        return -EBADMSG;
    }
    size_t off = 0;
    doc->copy = g_memdup2(data, len);
    if (msgpack_unpack_next(&doc->up, doc->copy, len, &off) != MSGPACK_UNPACK_SUCCESS ||
        off != len) {
        return -EBADMSG;
    }
    doc->root = &doc->up.data;
    return 0;
}

void rr_doc_clear(rr_doc *doc) {
    msgpack_unpacked_destroy(&doc->up);
    g_free(doc->copy);
    doc->copy = NULL;
    doc->root = NULL;
}

bool rr_is_map(const msgpack_object *o) {
    return o && o->type == MSGPACK_OBJECT_MAP;
}

bool rr_text_is(const msgpack_object *o, const char *text) {
    return o && o->type == MSGPACK_OBJECT_STR && o->via.str.size == strlen(text) &&
           memcmp(o->via.str.ptr, text, o->via.str.size) == 0;
}

const msgpack_object *rr_get(const msgpack_object *map, const char *key) {
    if (!rr_is_map(map)) {
        return NULL;
    }
    for (uint32_t i = 0; i < map->via.map.size; i++) {
        const msgpack_object_kv *kv = &map->via.map.ptr[i];
        if (rr_text_is(&kv->key, key)) {
            return kv->val.type == MSGPACK_OBJECT_NIL ? NULL : &kv->val;
        }
    }
    return NULL;
}

bool rr_as_u64(const msgpack_object *o, uint64_t *out) {
    if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *out = o->via.u64;
    return true;
}

bool rr_as_num(const msgpack_object *o, double *out) {
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

bool rr_as_text(const msgpack_object *o, char *out, size_t size) {
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

bool rr_get_u64(const msgpack_object *map, const char *key, uint64_t *out) {
    return rr_as_u64(rr_get(map, key), out);
}

bool rr_get_num(const msgpack_object *map, const char *key, double *out) {
    return rr_as_num(rr_get(map, key), out);
}

bool rr_get_text(const msgpack_object *map, const char *key, char *out, size_t size) {
    return rr_as_text(rr_get(map, key), out, size);
}

bool rr_get_bool(const msgpack_object *map, const char *key, bool *out) {
    const msgpack_object *o = rr_get(map, key);
    if (!o || o->type != MSGPACK_OBJECT_BOOLEAN) {
        return false;
    }
    *out = o->via.boolean;
    return true;
}

void rr_out_init(rr_out *o) {
    msgpack_sbuffer_init(&o->buf);
    msgpack_packer_init(&o->pk, &o->buf, msgpack_sbuffer_write);
}

void rr_out_clear(rr_out *o) {
    msgpack_sbuffer_destroy(&o->buf);
}

void rr_put_map(rr_out *o, size_t n) {
    msgpack_pack_map(&o->pk, n);
}

void rr_put_array(rr_out *o, size_t n) {
    msgpack_pack_array(&o->pk, n);
}

void rr_put_text(rr_out *o, const char *s) {
    size_t n = strlen(s);
    msgpack_pack_str(&o->pk, n);
    msgpack_pack_str_body(&o->pk, s, n);
}

void rr_put_u64(rr_out *o, uint64_t v) {
    msgpack_pack_uint64(&o->pk, v);
}

void rr_put_num(rr_out *o, double v) {
    msgpack_pack_double(&o->pk, v);
}

void rr_put_bool(rr_out *o, bool v) {
    if (v) {
        msgpack_pack_true(&o->pk);
    } else {
        msgpack_pack_false(&o->pk);
    }
}

void rr_put_key_text(rr_out *o, const char *k, const char *v) {
    rr_put_text(o, k);
    rr_put_text(o, v);
}

void rr_put_key_u64(rr_out *o, const char *k, uint64_t v) {
    rr_put_text(o, k);
    rr_put_u64(o, v);
}

void rr_put_key_num(rr_out *o, const char *k, double v) {
    rr_put_text(o, k);
    rr_put_num(o, v);
}

void rr_put_key_bool(rr_out *o, const char *k, bool v) {
    rr_put_text(o, k);
    rr_put_bool(o, v);
}
