#include "wire/encoder.h"

#include <string.h>

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
    size_t length = strlen(text);
    msgpack_pack_str(&encoder->packer, length);
    msgpack_pack_str_body(&encoder->packer, text, length);
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
