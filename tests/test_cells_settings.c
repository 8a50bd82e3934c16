/* Settings files, networks and messages of cells: valid input is read, invalid input is rejected
 * with a precise error. */
#include "core_fixture.h"

#include "cells/messages.h"
#include "cells/networks.h"
#include "cells/records.h"
#include "cells/settings.h"

#include "peer/frame.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Parts of settings files: this cell, a controller of cell b, and cell b as a neighbour. */
#define OWN_CELL "cell = \"a\"\ncontroller \"n0\" { endpoint = \"10.0.0.1:7000\" }\n"
#define CONTROLLER_OF_B "controller \"m0\" { endpoint = \"10.1.0.1:7000\" }\n"
#define NEIGHBOUR_B                                                                                \
    "neighbour \"b\" {\n" CONTROLLER_OF_B "networks = {\"10.1.0.0/16\"}\nzones = {\"far\"}\n}\n"

/* Loads the text as the settings file of controller n0. Returns as rr_cells_settings_load(). */
static bool load_settings(const char *text, rr_cells_settings *out, GError **error) {
    struct rr_config config;
    char name[] = "/tmp/cells-settings-XXXXXX";
    int fd = mkstemp(name);
    test_config_init(&config, "n0");
    assert_true(fd >= 0);
    close(fd);
    assert_true(g_file_set_contents(name, text, -1, NULL));
    bool loaded = rr_cells_settings_load(name, &config, out, error);
    unlink(name);
    return loaded;
}

static void valid_settings_are_loaded(void **state) {
    rr_cells_settings settings;
    GError *error = NULL;
    (void)state;
    assert_true(load_settings(OWN_CELL NEIGHBOUR_B "lease_s = 8\n", &settings, &error));
    assert_null(error);
    assert_string_equal(settings.name, "a");
    assert_int_equal(settings.listen_endpoint.port, 7000);
    assert_int_equal(rr_cells_find_neighbour(&settings, "b"), 0);
    assert_int_equal(rr_cells_find_neighbour(&settings, "c"), -1);
    assert_true(settings.times.lease_s == 8);
    assert_true(settings.times.teardown_s > 60); /* longer than the platform's cancel_s */
    assert_true(rr_neighbour_accepts_job(&settings.neighbours[0], "red", ""));
    assert_true(rr_neighbour_accepts_job(&settings.neighbours[0], "red", "far"));
    assert_false(rr_neighbour_accepts_job(&settings.neighbours[0], "red", "a"));
    rr_cells_settings_clear(&settings);
}

/* Invalid settings files, with the error that each has to give. */
static const struct {
    const char *text;
    const char *location, *reason; /* parts of the message; the location is a line or only ":" */
    enum rr_settings_error code;
} invalid_settings[] = {
    {OWN_CELL NEIGHBOUR_B "leese_s = 3\n", ":8:", "leese_s", RR_SETTINGS_ERROR_UNKNOWN_NAME},
    {"# one \"\n// two '\n" OWN_CELL NEIGHBOUR_B "lease_s = 8 # three\nstop_s = 0 // #\n",
     ":11:", "stop_s", RR_SETTINGS_ERROR_OUT_OF_RANGE},
    {OWN_CELL "neighbour \"b#c\" {\n" CONTROLLER_OF_B "}\n", ":5:", "b#c",
     RR_SETTINGS_ERROR_WRONG_TYPE},
    {OWN_CELL NEIGHBOUR_B NEIGHBOUR_B, ":8:", "b", RR_SETTINGS_ERROR_SYNTAX},
    {OWN_CELL "neighbour \"a\" {\n" CONTROLLER_OF_B "networks = {\"10.1.0.0/16\"}\n}\n",
     ":6:", "itself", RR_SETTINGS_ERROR_CONFLICT},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B "networks = {\"10.1.0.0\"}\n}\n", ":5:", "CIDR",
     RR_SETTINGS_ERROR_WRONG_TYPE},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B "networks = {\"10.1.0.7/16\"}\n}\n",
     ":5:", "CIDR", RR_SETTINGS_ERROR_WRONG_TYPE},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B "networks = {\"10.1.0.0/33\"}\n}\n",
     ":5:", "CIDR", RR_SETTINGS_ERROR_WRONG_TYPE},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B
              "networks = {\"10.1.0.0/16\", \"10.1.2.0/24\"}\n}\n",
     ":", "overlap", RR_SETTINGS_ERROR_CONFLICT},
    {OWN_CELL NEIGHBOUR_B "neighbour \"c\" {\n" CONTROLLER_OF_B "networks = {\"10.0.0.0/8\"}\n}\n",
     ":", "overlap", RR_SETTINGS_ERROR_CONFLICT},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B "}\n", ":", "networks",
     RR_SETTINGS_ERROR_MISSING},
    {OWN_CELL "neighbour \"b\" {\nnetworks = {\"10.1.0.0/16\"}\n}\n", ":", "controller",
     RR_SETTINGS_ERROR_MISSING},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B
              "networks = {\"10.1.0.0/16\"}\nzones = {\"a\"}\n}\n",
     ":6:", "own", RR_SETTINGS_ERROR_CONFLICT},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B
              "networks = {\"10.1.0.0/16\"}\nzones = {\"x y\"}\n}\n",
     ":6:", "zone", RR_SETTINGS_ERROR_WRONG_TYPE},
    {OWN_CELL NEIGHBOUR_B "neighbour \"c\" {\n" CONTROLLER_OF_B
                          "networks = {\"10.2.0.0/16\"}\nzones = {\"far\"}\n}\n",
     ":", "zone", RR_SETTINGS_ERROR_CONFLICT},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B
              "networks = {\"10.1.0.0/16\"}\nteams = {\"green\"}\n}\n",
     ":6:", "green", RR_SETTINGS_ERROR_UNKNOWN_NAME},
    {OWN_CELL "neighbour \"b\" {\ncontroller \"m0\" { endpoint = \"nowhere\" }\n}\n",
     ":4:", "nowhere", RR_SETTINGS_ERROR_WRONG_TYPE},
    {OWN_CELL NEIGHBOUR_B "lease_s = 26\n", ":", "cancel_s", RR_SETTINGS_ERROR_CONFLICT},
    {OWN_CELL NEIGHBOUR_B "lease_s = 0\n", ":8:", "between", RR_SETTINGS_ERROR_OUT_OF_RANGE},
    {OWN_CELL NEIGHBOUR_B "begin_wait_s = 5\n", ":", "begin_wait_s", RR_SETTINGS_ERROR_CONFLICT},
    {"cell = \"a\"\ncontroller \"n9\" { endpoint = \"10.0.0.1:7000\" }\n" NEIGHBOUR_B, ":",
     "node_name", RR_SETTINGS_ERROR_MISSING},
    {"controller \"n0\" { endpoint = \"10.0.0.1:7000\" }\n" NEIGHBOUR_B, ":", "cell",
     RR_SETTINGS_ERROR_MISSING},
    {OWN_CELL, ":", "neighbour", RR_SETTINGS_ERROR_MISSING},
    {OWN_CELL "neighbour \"b\" {\n" CONTROLLER_OF_B, ":", "closed", RR_SETTINGS_ERROR_SYNTAX},
};

/* Errors have one line, with the location of the fault and the reason. */
static void errors_name_the_line_and_the_reason(void **state) {
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_settings); i++) {
        rr_cells_settings settings;
        GError *error = NULL;
        assert_false(load_settings(invalid_settings[i].text, &settings, &error));
        assert_non_null(error);
        if (!g_error_matches(error, RR_SETTINGS_ERROR, (int)invalid_settings[i].code) ||
            !strstr(error->message, invalid_settings[i].location) ||
            !strstr(error->message, invalid_settings[i].reason)) {
            fail_msg("invalid settings file %zu: unexpected error %d, \"%s\"", i, error->code,
                     error->message);
        }
        assert_null(strchr(error->message, '\n'));
        g_error_free(error);
    }
}

/* Whether the address (dotted decimal) is in the set. */
static bool contains(const rr_networks *networks, const char *address) {
    struct in_addr parsed;
    assert_int_equal(inet_pton(AF_INET, address, &parsed), 1);
    return rr_networks_contain(networks, &parsed);
}

/* Networks of one set must not overlap (-EEXIST); two sets may. */
static void networks_contain_and_overlap_by_prefix(void **state) {
    (void)state;
    rr_networks *one = rr_networks_create(), *other = rr_networks_create();
    assert_int_equal(rr_networks_add(one, "10.1.0.0/16"), 0);
    assert_int_equal(rr_networks_add(one, "192.168.7.9/32"), 0);
    assert_int_equal(rr_networks_add(one, "10.1.128.0/17"), -EEXIST);
    assert_int_equal(rr_networks_add(one, "10.0.0.0/8"), -EEXIST);
    assert_int_equal(rr_networks_add(one, "a/b"), -EINVAL);
    assert_true(contains(one, "10.1.255.255") && contains(one, "192.168.7.9"));
    assert_false(contains(one, "10.2.0.0") || contains(one, "192.168.7.8"));
    assert_int_equal(rr_networks_add(other, "10.2.0.0/15"), 0);
    assert_false(rr_networks_overlap(one, other));
    assert_int_equal(rr_networks_add(other, "192.168.0.0/16"), 0);
    assert_true(rr_networks_overlap(one, other) && rr_networks_overlap(other, one));
    rr_networks_destroy(one);
    rr_networks_destroy(other);
}

/* Makes a request with a renewal and an offer; the caller clears it. */
static void make_request(rr_cells_request *request) {
    rr_transfer_message message = {RR_TRANSFER_RENEW, 7, RR_ANSWER_DONE, 12.5, 99};
    rr_cells_request_init(request, RR_CELLS_TRANSFERS);
    g_strlcpy(request->from, "a", sizeof request->from);
    g_strlcpy(request->to, "b", sizeof request->to);
    g_strlcpy(request->team, "red", sizeof request->team);
    request->lease_s = 12;
    request->teardown_s = 80;
    rr_cells_add_item(request->items, "req-1", &message);
    message.kind = RR_TRANSFER_OFFER;
    rr_cells_add_item(request->items, "req-2", &message);
    rr_cells_item *offer = &g_array_index(request->items, rr_cells_item, 1);
    offer->submission = g_byte_array_new();
    g_byte_array_append(offer->submission, (const guint8 *)"xyz", 3);
}

static void requests_survive_packing(void **state) {
    rr_cells_request sent, received;
    GByteArray *frame = g_byte_array_new();
    (void)state;
    make_request(&sent);
    rr_cells_request_pack(&sent, frame);
    assert_int_equal(rr_cells_request_unpack(frame->data + RR_FRAME_HEADER_BYTES,
                                             frame->len - RR_FRAME_HEADER_BYTES, &received),
                     0);
    assert_string_equal(received.from, "a");
    assert_string_equal(received.team, "red");
    assert_true(received.lease_s == 12 && received.teardown_s == 80);
    assert_int_equal(received.items->len, 2);
    const rr_cells_item *first = &g_array_index(received.items, rr_cells_item, 0);
    assert_int_equal(first->message.claim, 7);
    assert_true(first->message.sent_at == 12.5 && first->message.guest_process == 99);
    assert_int_equal(g_array_index(received.items, rr_cells_item, 1).submission->len, 3);
    rr_cells_request_clear(&sent);
    rr_cells_request_clear(&received);
    g_byte_array_free(frame, TRUE);
}

/* A truncated request is rejected. One with a changed byte is rejected or read as another request,
 * but never beyond its end, which sanitizer builds check. */
static void corrupted_requests_are_rejected_or_read_safely(void **state) {
    rr_cells_request sent, received;
    GByteArray *frame = g_byte_array_new();
    GRand *random = g_rand_new_with_seed(1);
    (void)state;
    make_request(&sent);
    rr_cells_request_pack(&sent, frame);
    guint length = frame->len - RR_FRAME_HEADER_BYTES;
    for (guint short_length = 0; short_length < length; short_length++) {
        guint8 *copy =
            g_memdup2(frame->data + RR_FRAME_HEADER_BYTES, short_length ? short_length : 1);
        assert_int_not_equal(rr_cells_request_unpack(copy, short_length, &received), 0);
        rr_cells_request_clear(&received);
        g_free(copy);
    }
    for (int i = 0; i < 20000; i++) {
        guint8 *copy = g_memdup2(frame->data + RR_FRAME_HEADER_BYTES, length);
        copy[g_rand_int_range(random, 0, (gint32)length)] = (guint8)g_rand_int(random);
        rr_cells_request_unpack(copy, length, &received);
        assert_true(received.items->len <= RR_CELLS_ITEMS_MAX);
        rr_cells_request_clear(&received);
        g_free(copy);
    }
    g_rand_free(random);
    rr_cells_request_clear(&sent);
    g_byte_array_free(frame, TRUE);
}

/* Bytes that a later version appends are skipped. A request of an unknown version or kind is
 * rejected with -EPROTO. */
static void later_versions_append_fields_and_unknown_requests_are_refused(void **state) {
    rr_cells_request sent, received;
    GByteArray *frame = g_byte_array_new();
    (void)state;
    make_request(&sent);
    sent.version = 9;
    rr_cells_request_pack(&sent, frame);
    g_byte_array_append(frame, (const guint8 *)"more", 4);
    assert_int_equal(rr_cells_request_unpack(frame->data + RR_FRAME_HEADER_BYTES,
                                             frame->len - RR_FRAME_HEADER_BYTES, &received),
                     0);
    rr_cells_request_clear(&received);
    frame->data[RR_FRAME_HEADER_BYTES] = 0;
    assert_int_equal(rr_cells_request_unpack(frame->data + RR_FRAME_HEADER_BYTES,
                                             frame->len - RR_FRAME_HEADER_BYTES, &received),
                     -EPROTO);
    rr_cells_request_clear(&received);
    frame->data[RR_FRAME_HEADER_BYTES] = 1;
    frame->data[RR_FRAME_HEADER_BYTES + 1] = 77;
    assert_int_equal(rr_cells_request_unpack(frame->data + RR_FRAME_HEADER_BYTES,
                                             frame->len - RR_FRAME_HEADER_BYTES, &received),
                     -EPROTO);
    rr_cells_request_clear(&received);
    rr_cells_request_clear(&sent);
    g_byte_array_free(frame, TRUE);
}

static void replies_survive_packing_and_refuse_truncation(void **state) {
    rr_cells_reply sent, received;
    GByteArray *frame = g_byte_array_new();
    rr_transfer_message message = {RR_TRANSFER_GRANT, 3, RR_ANSWER_NONE, 4.25, 5};
    (void)state;
    rr_cells_reply_init(&sent);
    sent.status = RR_CELLS_NOT_OWNER;
    g_strlcpy(sent.owner, "m1", sizeof sent.owner);
    sent.http_status = 503;
    sent.retry_after_s = 2;
    sent.room = (rr_cells_room){1.5, 0, 64};
    g_byte_array_append(sent.body, (const guint8 *)"abc", 3);
    rr_cells_add_item(sent.items, "req-1", &message);
    rr_cells_reply_pack(&sent, frame);
    const uint8_t *payload = frame->data + RR_FRAME_HEADER_BYTES;
    guint length = frame->len - RR_FRAME_HEADER_BYTES;
    assert_int_equal(rr_cells_reply_unpack(payload, length, &received), 0);
    assert_int_equal(received.status, RR_CELLS_NOT_OWNER);
    assert_string_equal(received.owner, "m1");
    assert_int_equal(received.http_status, 503);
    assert_int_equal(received.body->len, 3);
    assert_true(received.room.cpus == 1.5 && received.room.mem_gb == 64);
    rr_cells_reply_clear(&received);
    for (guint short_length = 0; short_length < length; short_length++) {
        guint8 *copy = g_memdup2(payload, short_length ? short_length : 1);
        assert_int_not_equal(rr_cells_reply_unpack(copy, short_length, &received), 0);
        rr_cells_reply_clear(&received);
        g_free(copy);
    }
    rr_cells_reply_clear(&sent);
    g_byte_array_free(frame, TRUE);
}

/* The guest's id of a job is different for each cell, job and claim. All versions have to compute
 * the same id, so one is checked letter for letter. */
static void local_ids_depend_on_cell_job_and_claim(void **state) {
    char one[RR_ID_SIZE], other[RR_ID_SIZE];
    (void)state;
    rr_cells_make_local_id("a", "req-1", 1, one, sizeof one);
    assert_true(rr_job_id_valid(one));
    assert_string_equal(one, "req-814787604127990689069");
    rr_cells_make_local_id("a", "req-1", 2, other, sizeof other);
    assert_string_not_equal(one, other);
    rr_cells_make_local_id("b", "req-1", 1, other, sizeof other);
    assert_string_not_equal(one, other);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_settings_are_loaded),
        cmocka_unit_test(errors_name_the_line_and_the_reason),
        cmocka_unit_test(networks_contain_and_overlap_by_prefix),
        cmocka_unit_test(requests_survive_packing),
        cmocka_unit_test(corrupted_requests_are_rejected_or_read_safely),
        cmocka_unit_test(later_versions_append_fields_and_unknown_requests_are_refused),
        cmocka_unit_test(replies_survive_packing_and_refuse_truncation),
        cmocka_unit_test(local_ids_depend_on_cell_job_and_claim),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
