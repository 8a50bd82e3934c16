/* MessagePack documents from outside. Pure functions. Objects belong to their document; texts are
 * copied out. */
#ifndef RR_WIRE_DOCUMENT_H
#define RR_WIRE_DOCUMENT_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#define RR_NESTING_DEPTH_MAX 16

typedef struct {
    msgpack_unpacked unpacked;
    void *copy; /* of the bytes, into which libmsgpack's texts point */
    const msgpack_object *root;
} rr_document;

/* Decodes one value that must fill the buffer, after a check of declared lengths and depth, before
 * which nothing is allocated. The buffer is copied. 0, or -EBADMSG; rr_document_clear() is safe
 * after either. */
int rr_document_parse(rr_document *document, const void *data, size_t length);
/* Its objects are no longer valid. */
void rr_document_clear(rr_document *document);

/* The functions below take NULL for an object and return false, or NULL, for it and for an object
 * of another type. */

/* Whether the object is a map. */
bool rr_object_is_map(const msgpack_object *object);
/* Integers from 0 on. */
bool rr_object_u64(const msgpack_object *object, uint64_t *out);
/* Integers and finite decimals. */
bool rr_object_number(const msgpack_object *object, double *out);
/* Texts without a zero byte that fit with their end. */
bool rr_object_text(const msgpack_object *object, char *out, size_t size);
/* Whether the object is exactly this text. */
bool rr_object_text_equals(const msgpack_object *object, const char *text);
/* The index of the name that the object's text equals, or -1. */
int rr_object_name_index(const msgpack_object *object, const char *const *names, int count);

/* The value of a key. A key that is missing and one that is null are the same: NULL. */
const msgpack_object *rr_map_get(const msgpack_object *map, const char *key);
/* The value of a key as rr_object_u64() reads it; false leaves *out as it is. */
bool rr_map_get_u64(const msgpack_object *map, const char *key, uint64_t *out);
/* The value of a key as rr_object_number() reads it. */
bool rr_map_get_number(const msgpack_object *map, const char *key, double *out);
/* The value of a key as rr_object_text() reads it. */
bool rr_map_get_text(const msgpack_object *map, const char *key, char *out, size_t size);
/* The value of a key that is true or false. */
bool rr_map_get_bool(const msgpack_object *map, const char *key, bool *out);

#endif
