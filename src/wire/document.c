#include "wire/document.h"
#include "wire/document_check.h"

#include <errno.h>
#include <math.h>
#include <string.h>

int rr_document_parse(rr_document *document, const void *data, size_t length) {
    msgpack_unpacked_init(&document->unpacked);
    document->root = NULL;
    document->bytes = NULL;
    if (!rr_document_check(data, length, RR_NESTING_DEPTH_MAX)) {
        return -EBADMSG;
    }
    size_t offset = 0;
    document->bytes = g_memdup2(data, length);
    if (msgpack_unpack_next(&document->unpacked, document->bytes, length, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        offset != length) {
        return -EBADMSG;
    }
    document->root = &document->unpacked.data;
    return 0;
}

void rr_document_clear(rr_document *document) {
    msgpack_unpacked_destroy(&document->unpacked);
    g_free(document->bytes);
    document->bytes = NULL;
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

bool rr_object_get_u64(const msgpack_object *object, uint64_t *out) {
    if (!object || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *out = object->via.u64;
    return true;
}

bool rr_object_get_number(const msgpack_object *object, double *out) {
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

bool rr_object_get_text(const msgpack_object *object, char *out, size_t size) {
    if (!object || object->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    const msgpack_object_str *text = &object->via.str;
    if (text->size >= size || (text->size && memchr(text->ptr, 0, text->size))) {
        return false;
    }
    if (text->size) {
        memcpy(out, text->ptr, text->size);
    }
    out[text->size] = 0;
    return true;
}

int rr_object_find_name(const msgpack_object *object, const char *const *names, int count) {
    for (int i = 0; i < count; i++) {
        if (rr_object_text_equals(object, names[i])) {
            return i;
        }
    }
    return -1;
}

bool rr_map_get_u64(const msgpack_object *map, const char *key, uint64_t *out) {
    return rr_object_get_u64(rr_map_get(map, key), out);
}

bool rr_map_get_number(const msgpack_object *map, const char *key, double *out) {
    return rr_object_get_number(rr_map_get(map, key), out);
}

bool rr_map_get_text(const msgpack_object *map, const char *key, char *out, size_t size) {
    return rr_object_get_text(rr_map_get(map, key), out, size);
}

bool rr_map_get_bool(const msgpack_object *map, const char *key, bool *out) {
    const msgpack_object *object = rr_map_get(map, key);
    if (!object || object->type != MSGPACK_OBJECT_BOOLEAN) {
        return false;
    }
    *out = object->via.boolean;
    return true;
}
