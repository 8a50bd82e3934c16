/* Encoding of MessagePack documents into a growing buffer. Pure functions. */
#ifndef RR_WIRE_ENCODER_H
#define RR_WIRE_ENCODER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* Values are appended one by one; the caller has to append exactly as many elements as the header
 * of each map or array announces. */
typedef struct {
    msgpack_sbuffer buffer; /* what has been encoded, in its data and size */
    msgpack_packer packer;
} rr_encoder;

/* Initializes an empty encoder. The encoder must not be moved or copied afterwards, since the
 * packer points to its buffer. */
void rr_encoder_init(rr_encoder *encoder);
/* Frees the buffer. Before further use the encoder has to be initialized again. */
void rr_encoder_clear(rr_encoder *encoder);

/* Begins a map. The caller then appends exactly `count` keys, each followed by its value. */
void rr_encode_map(rr_encoder *encoder, size_t count);
/* Begins an array. The caller then appends exactly `count` values. */
void rr_encode_array(rr_encoder *encoder, size_t count);

/* Appends a string: a value, or the key of a map whose value is appended next. */
void rr_encode_text(rr_encoder *encoder, const char *text);
/* Appends an unsigned integer. */
void rr_encode_u64(rr_encoder *encoder, uint64_t value);
/* Appends a floating-point number. */
void rr_encode_number(rr_encoder *encoder, double value);
/* Appends a boolean. */
void rr_encode_bool(rr_encoder *encoder, bool value);

/* Appends a key with a string value to the map begun last. */
void rr_encode_key_text(rr_encoder *encoder, const char *key, const char *value);
/* Appends a key with an unsigned integer. */
void rr_encode_key_u64(rr_encoder *encoder, const char *key, uint64_t value);
/* Appends a key with a floating-point number. */
void rr_encode_key_number(rr_encoder *encoder, const char *key, double value);
/* Appends a key with a boolean. */
void rr_encode_key_bool(rr_encoder *encoder, const char *key, bool value);

#endif
