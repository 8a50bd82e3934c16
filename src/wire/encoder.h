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

/* Opens a map of `count` keys with their values, or a list of `count` values: the caller appends
 * exactly as many. */
void rr_encode_map(rr_encoder *encoder, size_t count);
void rr_encode_array(rr_encoder *encoder, size_t count);

void rr_encode_text(rr_encoder *encoder, const char *text);
void rr_encode_u64(rr_encoder *encoder, uint64_t value);
void rr_encode_number(rr_encoder *encoder, double value);
void rr_encode_bool(rr_encoder *encoder, bool value);

/* A key of an open map with its value. */
void rr_encode_key_text(rr_encoder *encoder, const char *key, const char *value);
void rr_encode_key_u64(rr_encoder *encoder, const char *key, uint64_t value);
void rr_encode_key_number(rr_encoder *encoder, const char *key, double value);
void rr_encode_key_bool(rr_encoder *encoder, const char *key, bool value);

#endif
