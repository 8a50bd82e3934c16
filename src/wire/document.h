/* Decoding of MessagePack documents from untrusted sources. Pure functions. Objects belong to their
 * document and are valid until it is cleared; strings are copied out. */
#ifndef RR_WIRE_DOCUMENT_H
#define RR_WIRE_DOCUMENT_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#define RR_NESTING_DEPTH_MAX 16 /* of maps and arrays */

/* A decoded document. */
typedef struct {
    msgpack_unpacked unpacked;
    void *bytes;                /* owned copy of the encoded bytes; decoded strings point into it */
    const msgpack_object *root; /* the decoded value; NULL if decoding failed */
} rr_document;

/* Decodes a buffer that must contain exactly one value, and copies it. Declared lengths and nesting
 * depth are checked first, before anything is allocated. Returns 0 or -EBADMSG; rr_document_clear()
 * is safe after both. */
int rr_document_parse(rr_document *document, const void *data, size_t length);
/* Frees a document. Its objects become invalid. */
void rr_document_clear(rr_document *document);

/* ---- Reading values ----
 *
 * These functions accept NULL as the object. They return false, -1 or NULL for it and for an object
 * of a different type. On success the value is in *out. */

/* Returns whether the object is a map. */
bool rr_object_is_map(const msgpack_object *object);
/* Reads a non-negative integer. */
bool rr_object_get_u64(const msgpack_object *object, uint64_t *out);
/* Reads an integer or a finite floating-point number. */
bool rr_object_get_number(const msgpack_object *object, double *out);
/* Copies a string to out. Returns false also if the string contains a zero byte, or does not fit
 * into size bytes with its terminating zero. */
bool rr_object_get_text(const msgpack_object *object, char *out, size_t size);
/* Returns whether the object is a string equal to text. */
bool rr_object_text_equals(const msgpack_object *object, const char *text);
/* Returns the index of the name that is equal to the object's string, or -1 if none is. */
int rr_object_find_name(const msgpack_object *object, const char *const *names, int count);

/* Returns the value of a key, or NULL if the key is missing or its value is null. */
const msgpack_object *rr_map_get(const msgpack_object *map, const char *key);
/* Reads the value of a key as rr_object_get_u64(). If it returns false, *out is unchanged. */
bool rr_map_get_u64(const msgpack_object *map, const char *key, uint64_t *out);
/* Reads the value of a key as rr_object_get_number(). */
bool rr_map_get_number(const msgpack_object *map, const char *key, double *out);
/* Reads the value of a key as rr_object_get_text(). */
bool rr_map_get_text(const msgpack_object *map, const char *key, char *out, size_t size);
/* Reads a boolean value of a key. If it returns false, *out is unchanged. */
bool rr_map_get_bool(const msgpack_object *map, const char *key, bool *out);

#endif
