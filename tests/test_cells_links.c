/* Links between cells over real sockets on loopback: who is served, what malformed input does, and
 * how a client finds the controller that plans a team. */
#include "core_fixture.h"

#include "cells/links.h"
#include "common/clock.h"
#include "controller_process.h"
#include "peer/frame.h"
#include "peer/stream.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static atomic_bool stop;

struct served {
    rr_cells_settings settings;
    rr_cells_server *links;
    char planner[RR_NAME_SIZE]; /* what it answers with NOT_OWNER; empty: it plans all */
    unsigned requests;
};

static struct served servers[2];

static void serve(void *user, void **context, size_t neighbour, const rr_cells_request *request,
                  rr_cells_reply *reply) {
    struct served *own = user;
    (void)context;
    (void)neighbour;
    own->requests++;
    if (own->planner[0]) {
        reply->status = RR_CELLS_NOT_OWNER;
        g_strlcpy(reply->owner, own->planner, sizeof reply->owner);
    }
    for (guint i = 0; i < request->items->len; i++) {
        const rr_cells_item *item = &g_array_index(request->items, rr_cells_item, i);
        rr_cells_add_item(reply->items, item->job_id, &item->message);
    }
}

static void end(void *context) {
    (void)context;
}

static void add_cell(rr_cells_settings *settings, const char *name, const char *network) {
    rr_neighbour_cell *cell = &settings->neighbours[settings->neighbour_count++];
    g_strlcpy(cell->name, name, sizeof cell->name);
    cell->networks = rr_networks_create();
    cell->zones = g_ptr_array_new();
    cell->teams = g_ptr_array_new();
    assert_int_equal(rr_networks_add(cell->networks, network), 0);
}

static void listen_at(rr_cells_settings *settings, const char *address) {
    g_strlcpy(settings->listen_endpoint.host, address, sizeof settings->listen_endpoint.host);
    settings->listen_endpoint.port = fake_services_free_port();
}

/* Cell b with two controllers, whose neighbour a is at 127.0.1.x. */
static int setup(void **state) {
    (void)state;
    atomic_store(&stop, false);
    for (int i = 0; i < 2; i++) {
        memset(&servers[i], 0, sizeof servers[i]);
        g_strlcpy(servers[i].settings.name, "b", RR_CELL_NAME_SIZE);
        listen_at(&servers[i].settings, "127.0.2.1");
        add_cell(&servers[i].settings, "a", "127.0.1.0/24");
        assert_int_equal(rr_cells_server_start(&servers[i].settings, &stop, serve, end, &servers[i],
                                               &servers[i].links),
                         0);
    }
    return 0;
}

static int teardown(void **state) {
    (void)state;
    atomic_store(&stop, true);
    for (int i = 0; i < 2; i++) {
        rr_cells_server_destroy(servers[i].links);
        rr_cells_settings_clear(&servers[i].settings);
    }
    return 0;
}

/* Cell a with both controllers of cell b as neighbours, connecting from this address. */
static void configure_client(rr_cells_settings *settings, const char *from) {
    memset(settings, 0, sizeof *settings);
    g_strlcpy(settings->name, "a", RR_CELL_NAME_SIZE);
    g_strlcpy(settings->listen_endpoint.host, from, sizeof settings->listen_endpoint.host);
    add_cell(settings, "b", "127.0.2.0/24");
    rr_neighbour_cell *cell = &settings->neighbours[0];
    cell->controller_count = 2;
    for (int i = 0; i < 2; i++) {
        g_snprintf(cell->controllers[i].name, RR_NAME_SIZE, "b%d", i);
        cell->controllers[i].endpoint = servers[i].settings.listen_endpoint;
    }
}

static int ask(rr_cells_client *client, const char *from, const char *target,
               rr_cells_reply *reply) {
    rr_cells_request request;
    rr_transfer_message renew = {.kind = RR_TRANSFER_RENEW, .claim = 3};
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.from, from, sizeof request.from);
    g_strlcpy(request.to, target, sizeof request.to);
    g_strlcpy(request.team, "red", sizeof request.team);
    rr_cells_add_item(request.items, "req-1", &renew);
    int rc = rr_cells_send_request(client, &request, reply);
    rr_cells_request_clear(&request);
    return rc;
}

/* Three requests over one connection are answered in full. */
static void requests_of_a_neighbour_are_served(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(ask(client, "a", "b", &reply), 0);
        assert_int_equal(reply.status, RR_CELLS_OK);
        assert_int_equal(reply.items->len, 1);
        assert_int_equal(g_array_index(reply.items, rr_cells_item, 0).message.claim, 3);
        rr_cells_reply_clear(&reply);
    }
    assert_int_equal(servers[0].requests, 3);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

static void wait_for_unknown_peers(uint64_t expected) {
    rr_cells_server_stats stats = {0};
    double until = rr_steady_clock_s() + 5;
    while (stats.unknown_peer_connections != expected) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
        rr_cells_server_get_stats(servers[0].links, &stats);
    }
}

/* Without an answer; the connection is counted. */
static void connections_from_unknown_networks_are_closed(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    configure_client(&settings, "127.0.9.1");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    assert_int_not_equal(ask(client, "a", "b", &reply), 0);
    rr_cells_reply_clear(&reply);
    wait_for_unknown_peers(1);
    assert_int_equal(servers[0].requests, 0);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

/* The request names another sender than its network belongs to, or another cell than this one. */
static void requests_with_wrong_cell_names_are_refused(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    assert_int_equal(ask(client, "c", "b", &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_WRONG_CELL);
    rr_cells_reply_clear(&reply);
    assert_int_equal(ask(client, "a", "c", &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_WRONG_CELL);
    rr_cells_reply_clear(&reply);
    assert_int_equal(servers[0].requests, 0);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

static int dial(void) {
    struct rr_endpoint own = {.host = "127.0.1.7"};
    int fd = rr_stream_connect(&own, &servers[0].settings.listen_endpoint, 2);
    assert_true(fd >= 0);
    return fd;
}

/* Other connections go on. */
static void bytes_that_are_no_frame_end_their_connection(void **state) {
    char byte;
    (void)state;
    static const char *const garbage[] = {"GET / HTTP/1.0\r\n\r\n", "Rr\003\013\377\377\377\377",
                                          "Rr\002\013\0\0\0\0"};
    for (int i = 0; i < 3; i++) {
        int fd = dial();
        assert_int_equal(rr_stream_send(fd, garbage[i], i == 0 ? 18 : 8), 0);
        assert_true(recv(fd, &byte, 1, 0) <= 0);
        close(fd);
    }
    requests_of_a_neighbour_are_served(state);
}

/* Frames of the links inside a cell are not taken from other cells. */
static void other_frame_types_end_their_connection(void **state) {
    GByteArray *frame = g_byte_array_new();
    char byte;
    (void)state;
    guint start = rr_frame_begin(frame, RR_FRAME_HELLO);
    rr_frame_put_text(frame, "n1");
    rr_frame_end(frame, start);
    int fd = dial();
    assert_int_equal(rr_stream_send(fd, frame->data, frame->len), 0);
    assert_true(recv(fd, &byte, 1, 0) <= 0);
    close(fd);
    rr_cells_server_stats stats;
    rr_cells_server_get_stats(servers[0].links, &stats);
    assert_int_equal(stats.refused_requests, 1);
    g_byte_array_free(frame, TRUE);
}

/* The connection goes on. */
static void malformed_requests_get_a_status(void **state) {
    struct rr_receive_buffer receive_buffer;
    rr_frame_reader payload;
    uint8_t type;
    rr_cells_reply reply;
    static const uint8_t payloads[][6] = {{1, 1, 0xff, 0xff, 0xff, 0xff}, {0, 1, 0, 0, 0, 0}};
    static const enum rr_cells_status expected[] = {RR_CELLS_MALFORMED, RR_CELLS_MALFORMED};
    (void)state;
    int fd = dial();
    rr_receive_buffer_init(&receive_buffer, fd);
    for (int i = 0; i < 2; i++) {
        GByteArray *frame = g_byte_array_new();
        guint start = rr_frame_begin(frame, RR_FRAME_CELLS);
        g_byte_array_append(frame, payloads[i], 6);
        rr_frame_end(frame, start);
        assert_int_equal(rr_stream_send(fd, frame->data, frame->len), 0);
        assert_int_equal(rr_stream_receive_frame(&stop, &receive_buffer, &type, &payload, 5), 0);
        assert_int_equal(rr_cells_reply_unpack(payload.next, payload.bytes_left, &reply), 0);
        assert_int_equal(reply.status, expected[i]);
        rr_cells_reply_clear(&reply);
        g_byte_array_free(frame, TRUE);
    }
    close(fd);
    rr_receive_buffer_clear(&receive_buffer);
}

static void an_unknown_version_gets_its_own_status(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    rr_cells_request request;
    (void)state;
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    request.version = 0;
    g_strlcpy(request.from, "a", sizeof request.from);
    g_strlcpy(request.to, "b", sizeof request.to);
    assert_int_equal(rr_cells_send_request(client, &request, &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_VERSION_UNKNOWN);
    rr_cells_reply_clear(&reply);
    rr_cells_request_clear(&request);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

/* And another controller when that one is not there. */
static void a_client_learns_which_controller_plans_a_team(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    g_strlcpy(servers[0].planner, "b1", RR_NAME_SIZE);
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    assert_int_equal(ask(client, "a", "b", &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_NOT_OWNER);
    rr_cells_reply_clear(&reply);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(ask(client, "a", "b", &reply), 0);
        assert_int_equal(reply.status, RR_CELLS_OK);
        rr_cells_reply_clear(&reply);
    }
    assert_int_equal(servers[0].requests, 1);
    assert_int_equal(servers[1].requests, 2);
    settings.neighbours[0].controllers[1].endpoint.port =
        fake_services_free_port(); /* nobody there */
    rr_cells_client *next = rr_cells_client_create(&settings, 0, &stop);
    servers[0].planner[0] = 0;
    assert_int_equal(ask(next, "a", "b", &reply), 0);
    rr_cells_reply_clear(&reply);
    rr_cells_client_destroy(next);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

static void connections_beyond_the_bound_are_closed(void **state) {
    int open[RR_CELLS_CONNECTIONS_MAX + 4];
    rr_cells_server_stats stats = {0};
    (void)state;
    for (int i = 0; i < RR_CELLS_CONNECTIONS_MAX + 4; i++) {
        open[i] = dial();
    }
    double until = rr_steady_clock_s() + 5;
    while (stats.connections_over_limit < 4) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
        rr_cells_server_get_stats(servers[0].links, &stats);
    }
    assert_int_equal(stats.connections_over_limit, 4);
    for (int i = 0; i < RR_CELLS_CONNECTIONS_MAX + 4; i++) {
        close(open[i]);
    }
}

#define LINKS_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {LINKS_TEST(requests_of_a_neighbour_are_served),
                                       LINKS_TEST(connections_from_unknown_networks_are_closed),
                                       LINKS_TEST(requests_with_wrong_cell_names_are_refused),
                                       LINKS_TEST(bytes_that_are_no_frame_end_their_connection),
                                       LINKS_TEST(other_frame_types_end_their_connection),
                                       LINKS_TEST(malformed_requests_get_a_status),
                                       LINKS_TEST(an_unknown_version_gets_its_own_status),
                                       LINKS_TEST(a_client_learns_which_controller_plans_a_team),
                                       LINKS_TEST(connections_beyond_the_bound_are_closed)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
