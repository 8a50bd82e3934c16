/* Two versions side by side: this version reads what the production version wrote, and the
 * production version reads what this one writes. */
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "core_fixture.h"
#include "format_scenario.h"

#include "peer/frame.h"

#include <string.h>

/* Returns the scenario's records as the production version wrote it; the caller frees it. */
static char *read_production_scene(void) {
    char *text = NULL;
    assert_true(g_file_get_contents(RR_FIXTURES "/production.txt", &text, NULL, NULL));
    return text;
}

/* Returns the bytes that the hexadecimal digits encode and sets *length to their number; the caller
 * frees them. */
static guint8 *decode_hex(const char *hex, size_t *length) {
    *length = strlen(hex) / 2;
    guint8 *bytes = g_malloc(*length + 1);
    for (size_t i = 0; i < *length; i++) {
        bytes[i] =
            (guint8)(g_ascii_xdigit_value(hex[2 * i]) << 4 | g_ascii_xdigit_value(hex[2 * i + 1]));
    }
    return bytes;
}

/* Removes the line of n0's session record from the text and returns it; the caller frees it. */
static char *remove_session_line(GString *scenario) {
    const char *line = strstr(scenario->str, RR_KEY_ROOT "node/n0 ");
    gssize offset = line - scenario->str, length = strchr(line, '\n') - line;
    char *session_line = g_strndup(line, (gsize)length);
    g_string_erase(scenario, offset, length + 1);
    return session_line;
}

/* Asserts that the session record in this line has lease 7 and names support of gangs as this
 * version's capability. */
static void assert_session_names_gang_support(const char *line) {
    uint64_t lease_id = 0, capability = 0;
    size_t length;
    rr_document document;
    guint8 *data = decode_hex(strchr(line, ' ') + 1, &length);
    assert_int_equal(rr_document_parse(&document, data, length), 0);
    assert_true(rr_map_get_u64(document.root, "tether", &lease_id) && lease_id == 7);
    assert_true(rr_map_get_u64(document.root, "able", &capability) && capability == 1);
    rr_document_clear(&document);
    g_free(data);
}

/* As long as no gang is submitted, this version writes the bytes that the production version
 * writes. The one exception is the session record, in which this version names its capabilities in
 * a field that the production version ignores. */
static void writes_same_bytes_as_production_version(void **state) {
    (void)state;
    char *production_text = read_production_scene();
    GString *actual = run_format_scenario(), *expected = g_string_new(production_text);
    char *production_session = remove_session_line(expected),
         *session = remove_session_line(actual);
    assert_string_equal(actual->str, expected->str);
    assert_string_not_equal(production_session, session);
    assert_session_names_gang_support(session);
    g_free(production_session);
    g_free(session);
    g_string_free(actual, TRUE);
    g_string_free(expected, TRUE);
    g_free(production_text);
}

/* Asserts that the data consists of one frame of each type in `types`, in that order. */
static void assert_frames_readable(const guint8 *data, size_t length) {
    static const uint8_t types[] = {RR_FRAME_HELLO, RR_FRAME_SENT_AT, RR_FRAME_HEARTBEAT_DIGESTS,
                                    RR_FRAME_SUSPECTS};
    size_t offset = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
        uint8_t type;
        uint32_t count;
        assert_true(offset + RR_FRAME_HEADER_BYTES <= length);
        assert_int_equal(rr_frame_parse_header(data + offset, &type, &count), 0);
        assert_int_equal(type, types[i]);
        offset += RR_FRAME_HEADER_BYTES + count;
    }
    assert_int_equal(offset, length);
}

/* Puts a record, decoded from its stored bytes, into the controller's store cache. */
static void put_cached_record(test_controller *controller, const char *key, const guint8 *data,
                              size_t length, uint64_t version) {
    rr_document document;
    assert_int_equal(rr_document_parse(&document, data, length), 0);
    rr_core_cache_put(controller->core, key, document.root, version, controller->now);
    rr_document_clear(&document);
}

/* Loads the scenario's records into the controller's store cache by a full reload, and checks its
 * frames. */
static void load_format_scenario(test_controller *controller, const char *text) {
    const uint64_t revision = 50;
    char **lines = g_strsplit(text, "\n", 0);
    rr_core_cache_begin_reload(controller->core);
    for (int i = 0; lines[i] && lines[i][0]; i++) {
        char *hex = strchr(lines[i], ' ');
        size_t length;
        *hex++ = 0;
        guint8 *data = decode_hex(hex, &length);
        if (strcmp(lines[i], "frames") == 0) {
            assert_frames_readable(data, length);
        } else {
            put_cached_record(controller, lines[i], data, length, (uint64_t)i + 1);
        }
        g_free(data);
    }
    rr_core_cache_end_reload(controller->core, revision, revision, controller->now);
    rr_core_set_revision(controller->core, revision);
    g_strfreev(lines);
}

/* A controller that starts with the production version's records knows its term, jobs, machines and
 * placements. */
static void reads_records_of_production_version(void **state) {
    (void)state;
    char *production_text = read_production_scene();
    fake_store *store = fake_store_create();
    test_controller controller;
    rr_job_view view;
    rr_core_stats stats;
    test_controller_init(&controller, store, "n0");
    load_format_scenario(&controller, production_text);
    rr_core_set_session(controller.core, 7, controller.now + 100);
    assert_true(rr_core_lease_valid(controller.core, controller.now));
    rr_core_get_job_view(controller.core, "req-1", controller.now, &view);
    assert_true(view.known && !view.done && view.done_count == 1);
    rr_core_get_job_view(controller.core, "req-4", controller.now, &view);
    assert_true(view.cancelled);
    rr_core_get_stats(controller.core, &stats);
    assert_int_equal(stats.machines, 3);
    assert_int_equal(stats.tasks_placed, 6);
    test_controller_clear(&controller);
    fake_store_destroy(store);
    g_free(production_text);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(writes_same_bytes_as_production_version),
        cmocka_unit_test(reads_records_of_production_version),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
