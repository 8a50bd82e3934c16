/* Tests the encoding of the frames that controllers exchange. */
#include "core_fixture.h"

#include "peer/frame.h"

#include <errno.h>
#include <string.h>

static void a_frame_round_trips(void **state) {
    (void)state;
    GByteArray *buffer = g_byte_array_new();
    uint8_t type;
    uint32_t length, count;
    char text[16];
    guint start = rr_frame_begin(buffer, RR_FRAME_RELAY);
    rr_frame_put_bytes(buffer, "10.0.0.1:1", 10);
    rr_frame_put_u32(buffer, 0xdeadbeef);
    rr_frame_put_u16(buffer, 0x1234);
    rr_frame_put_u8(buffer, 7);
    rr_frame_put_bytes(buffer, NULL, 0);
    rr_frame_end(buffer, start);
    assert_int_equal(rr_frame_parse_header(buffer->data, &type, &length), 0);
    assert_int_equal(type, RR_FRAME_RELAY);
    assert_int_equal(length, buffer->len - RR_FRAME_HEADER_BYTES);
    rr_frame_reader reader = {buffer->data + RR_FRAME_HEADER_BYTES, length, false};
    assert_true(rr_frame_read_text(&reader, text, sizeof text));
    assert_string_equal(text, "10.0.0.1:1");
    assert_int_equal(rr_frame_read_u32(&reader), 0xdeadbeef);
    assert_int_equal(rr_frame_read_u16(&reader), 0x1234);
    assert_int_equal(rr_frame_read_u8(&reader), 7);
    assert_non_null(rr_frame_read_bytes(&reader, &count));
    assert_int_equal(count, 0);
    assert_false(reader.malformed);
    assert_int_equal(reader.bytes_left, 0);
    g_byte_array_free(buffer, TRUE);
}

static void a_header_with_wrong_magic_version_or_length_is_rejected(void **state) {
    (void)state;
    uint8_t type;
    uint32_t length;
    uint8_t magic[8] = {'X', 'r', RR_FRAME_VERSION, 1}, version[8] = {'R', 'r', 99, 1};
    uint8_t too_long[8] = {'R', 'r', RR_FRAME_VERSION, 1, 0xff, 0xff, 0xff, 0xff};
    assert_int_equal(rr_frame_parse_header(magic, &type, &length), -EBADMSG);
    assert_int_equal(rr_frame_parse_header(version, &type, &length), -EBADMSG);
    assert_int_equal(rr_frame_parse_header(too_long, &type, &length), -EBADMSG);
}

/* Random payloads must not make the reader read past their end. Their lengths often exceed the
 * payload, and strings are too long or hold NUL bytes; the reader rejects both. */
static void a_reader_stays_within_its_payload(void **state) {
    (void)state;
    GRand *random = g_rand_new_with_seed(7);
    for (int i = 0; i < 50000; i++) {
        size_t count = (size_t)g_rand_int_range(random, 0, 48);
        /* Of the exact size, so that sanitizers detect an overrun. */
        uint8_t *data = g_malloc(count ? count : 1);
        for (size_t k = 0; k < count; k++) {
            data[k] = (uint8_t)(g_rand_int_range(random, 0, 3) ? g_rand_int_range(random, 0, 12)
                                                               : g_rand_int_range(random, 0, 256));
        }
        rr_frame_reader reader = {data, count, false};
        char text[8];
        uint32_t length;
        if (rr_frame_read_text(&reader, text, sizeof text)) {
            assert_true(strlen(text) < sizeof text);
        }
        rr_frame_read_u32(&reader);
        const uint8_t *bytes = rr_frame_read_bytes(&reader, &length);
        assert_true(bytes ? length <= count : length == 0);
        rr_frame_read_u16(&reader);
        assert_true(reader.bytes_left <= count);
        g_free(data);
    }
    g_rand_free(random);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_frame_round_trips),
        cmocka_unit_test(a_header_with_wrong_magic_version_or_length_is_rejected),
        cmocka_unit_test(a_reader_stays_within_its_payload)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
