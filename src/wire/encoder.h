/* MessagePack documents to the outside: a growing buffer to which values are appended. Pure
 * functions. */
#ifndef RR_WIRE_ENCODER_H
#define RR_WIRE_ENCODER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    msgpack_sbuffer buffer; /* data and size: what has been encoded */
    msgpack_packer packer;
} rr_encoder;

/* An encoder must not move after its initialisation: the packer points into it. */
void rr_encoder_init(rr_encoder *encoder);
/* Frees the buffer; rr_encoder_init() is due before further use. */
void rr_encoder_clear(rr_encoder *encoder);

/* Opens a map: the caller appends exactly `count` keys with their values. */
void rr_encode_map(rr_encoder *encoder, size_t count);
/* Opens a list: the caller appends exactly `count` values. */
void rr_encode_array(rr_encoder *encoder, size_t count);

/* Appends a text, such as a key that a map or list follows. */
void rr_encode_text(rr_encoder *encoder, const char *text);
/* Appends an integer. */
void rr_encode_u64(rr_encoder *encoder, uint64_t value);
/* Appends a decimal. */
void rr_encode_number(rr_encoder *encoder, double value);
/* Appends true or false. */
void rr_encode_bool(rr_encoder *encoder, bool value);

/* Appends a key of an open map with a text. */
void rr_encode_key_text(rr_encoder *encoder, const char *key, const char *value);
/* Appends a key of an open map with an integer. */
void rr_encode_key_u64(rr_encoder *encoder, const char *key, uint64_t value);
/* Appends a key of an open map with a decimal. */
void rr_encode_key_number(rr_encoder *encoder, const char *key, double value);
/* Appends a key of an open map with true or false. */
void rr_encode_key_bool(rr_encoder *encoder, const char *key, bool value);

#endif
