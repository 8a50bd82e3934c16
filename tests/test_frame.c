/* Packed frames between controllers. */
#include "fakes.h"

#include "peer/frame.h"

#include <errno.h>
#include <string.h>

static void round_trip(void **state) {
    (void)state;
    GByteArray *b = g_byte_array_new();
    uint8_t type;
    uint32_t len, n;
    char text[16];
    guint at = rr_frame_begin(b, RR_FRAME_RELAY);
    rr_frame_put_bytes(b, "10.0.0.1:1", 10);
    rr_frame_put_u32(b, 0xdeadbeef);
    rr_frame_put_u16(b, 0x1234);
    rr_frame_put_u8(b, 7);
    rr_frame_put_bytes(b, NULL, 0);
    rr_frame_end(b, at);
    assert_int_equal(rr_frame_head(b->data, &type, &len), 0);
    assert_int_equal(type, RR_FRAME_RELAY);
    assert_int_equal(len, b->len - RR_FRAME_HEADER_BYTES);
    rr_frame_reader u = {b->data + RR_FRAME_HEADER_BYTES, len, false};
    assert_true(rr_frame_read_text(&u, text, sizeof text));
    assert_string_equal(text, "10.0.0.1:1");
    assert_int_equal(rr_frame_read_u32(&u), 0xdeadbeef);
    assert_int_equal(rr_frame_read_u16(&u), 0x1234);
    assert_int_equal(rr_frame_read_u8(&u), 7);
    assert_non_null(rr_frame_read_bytes(&u, &n));
    assert_int_equal(n, 0);
    assert_false(u.malformed);
    assert_int_equal(u.bytes_left, 0);
    g_byte_array_free(b, TRUE);
}

static void bad_heads(void **state) {
    (void)state;
    uint8_t type;
    uint32_t len;
    uint8_t magic[8] = {'X', 'r', RR_FRAME_VERSION, 1}, version[8] = {'R', 'r', 99, 1};
    uint8_t large[8] = {'R', 'r', RR_FRAME_VERSION, 1, 0xff, 0xff, 0xff, 0xff};
    assert_int_equal(rr_frame_head(magic, &type, &len), -EBADMSG);
    assert_int_equal(rr_frame_head(version, &type, &len), -EBADMSG);
    assert_int_equal(rr_frame_head(large, &type, &len), -EBADMSG);
}

/* Lengths that point past the end, text too long or with zeros: marked bad, never read. */
static void fuzz_unpacking(void **state) {
    (void)state;
    GRand *rnd = g_rand_new_with_seed(7);
    for (int i = 0; i < 50000; i++) {
        size_t n = (size_t)g_rand_int_range(rnd, 0, 48);
        uint8_t *data = g_malloc(n ? n : 1); /* exact size: an overrun is seen */
        for (size_t k = 0; k < n; k++) {
            data[k] = (uint8_t)(g_rand_int_range(rnd, 0, 3) ? g_rand_int_range(rnd, 0, 12)
                                                            : g_rand_int_range(rnd, 0, 256));
        }
        rr_frame_reader u = {data, n, false};
        char text[8];
        uint32_t len;
        if (rr_frame_read_text(&u, text, sizeof text)) {
            assert_true(strlen(text) < sizeof text);
        }
        rr_frame_read_u32(&u);
        const uint8_t *p = rr_frame_read_bytes(&u, &len);
        assert_true(p ? len <= n : len == 0);
        rr_frame_read_u16(&u);
        assert_true(u.bytes_left <= n);
        g_free(data);
    }
    g_rand_free(rnd);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(round_trip), cmocka_unit_test(bad_heads),
                                       cmocka_unit_test(fuzz_unpacking)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
