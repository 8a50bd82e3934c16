/* Connections between cells over loopback sockets: which peers are served, how malformed input is
 * handled, and how a client finds the controller that plans a team. */
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

static atomic_bool stop; /* ends the servers' threads and the clients' waits */

/* One controller of cell b. */
struct test_server {
    rr_cells_settings settings;
    rr_cells_server *links;
    char planner[RR_NAME_SIZE]; /* owner named in NOT_OWNER replies; empty: this one plans all */
    unsigned requests;          /* served so far */
};

static struct test_server servers[2];

/* Returns every message of the request in the reply. */
static void serve(void *user, void **context, size_t neighbour, const rr_cells_request *request,
                  rr_cells_reply *reply) {
    struct test_server *server = user;
    (void)context;
    (void)neighbour;
    server->requests++;
    if (server->planner[0]) {
        reply->status = RR_CELLS_NOT_OWNER;
        g_strlcpy(reply->owner, server->planner, sizeof reply->owner);
    }
    for (guint i = 0; i < request->items->len; i++) {
        const rr_cells_item *item = &g_array_index(request->items, rr_cells_item, i);
        rr_cells_add_item(reply->items, item->job_id, &item->message);
    }
}

/* Connections have no context to free. */
static void ignore_context(void *context) {
    (void)context;
}

/* Adds a neighbour whose controllers connect from this network (a CIDR prefix). */
static void add_neighbour(rr_cells_settings *settings, const char *name, const char *network) {
    rr_neighbour_cell *cell = &settings->neighbours[settings->neighbour_count++];
    g_strlcpy(cell->name, name, sizeof cell->name);
    cell->networks = rr_networks_create();
    cell->zones = g_ptr_array_new();
    cell->teams = g_ptr_array_new();
    assert_int_equal(rr_networks_add(cell->networks, network), 0);
}

/* Sets this address and a free port as the one to listen at. */
static void set_listen_address(rr_cells_settings *settings, const char *address) {
    g_strlcpy(settings->listen_endpoint.host, address, sizeof settings->listen_endpoint.host);
    settings->listen_endpoint.port = fake_services_find_unused_port();
}

/* Starts two controllers of cell b, whose neighbour, cell a, connects from 127.0.1.0/24. */
static int setup(void **state) {
    (void)state;
    atomic_store(&stop, false);
    for (int i = 0; i < 2; i++) {
        memset(&servers[i], 0, sizeof servers[i]);
        g_strlcpy(servers[i].settings.name, "b", RR_CELL_NAME_SIZE);
        set_listen_address(&servers[i].settings, "127.0.2.1");
        add_neighbour(&servers[i].settings, "a", "127.0.1.0/24");
        assert_int_equal(rr_cells_server_start(&servers[i].settings, &stop, serve, ignore_context,
                                               &servers[i], &servers[i].links),
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

/* Makes the settings of cell a, which connects from this address and has cell b with both its
 * controllers as its neighbour. */
static void configure_client(rr_cells_settings *settings, const char *from) {
    memset(settings, 0, sizeof *settings);
    g_strlcpy(settings->name, "a", RR_CELL_NAME_SIZE);
    g_strlcpy(settings->listen_endpoint.host, from, sizeof settings->listen_endpoint.host);
    add_neighbour(settings, "b", "127.0.2.0/24");
    rr_neighbour_cell *cell = &settings->neighbours[0];
    cell->controller_count = 2;
    for (int i = 0; i < 2; i++) {
        g_snprintf(cell->controllers[i].name, RR_NAME_SIZE, "b%d", i);
        cell->controllers[i].endpoint = servers[i].settings.listen_endpoint;
    }
}

/* Sends a renewal of a job of team red between these cells. Returns as rr_cells_send_request(). */
static int ask_to_renew(rr_cells_client *client, const char *from, const char *target,
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

/* Three requests over one connection get a reply with every message. */
static void requests_of_a_neighbour_are_served(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(ask_to_renew(client, "a", "b", &reply), 0);
        assert_int_equal(reply.status, RR_CELLS_OK);
        assert_int_equal(reply.items->len, 1);
        assert_int_equal(g_array_index(reply.items, rr_cells_item, 0).message.claim, 3);
        rr_cells_reply_clear(&reply);
    }
    assert_int_equal(servers[0].requests, 3);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

/* Waits until the server has counted so many connections from unknown networks; fails after 5 s. */
static void wait_for_unknown_peers(uint64_t expected) {
    rr_cells_server_stats stats = {0};
    double deadline = rr_steady_clock_s() + 5;
    while (stats.unknown_peer_connections != expected) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.01);
        rr_cells_server_get_stats(servers[0].links, &stats);
    }
}

/* Such a connection gets no answer and is counted. */
static void connections_from_unknown_networks_are_closed(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    configure_client(&settings, "127.0.9.1");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    assert_int_not_equal(ask_to_renew(client, "a", "b", &reply), 0);
    rr_cells_reply_clear(&reply);
    wait_for_unknown_peers(1);
    assert_int_equal(servers[0].requests, 0);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

/* The first request's `from` is not the cell of the network that it comes from; the second one's
 * `to` is not the cell that got it. */
static void requests_with_wrong_cell_names_are_refused(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    assert_int_equal(ask_to_renew(client, "c", "b", &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_WRONG_CELL);
    rr_cells_reply_clear(&reply);
    assert_int_equal(ask_to_renew(client, "a", "c", &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_WRONG_CELL);
    rr_cells_reply_clear(&reply);
    assert_int_equal(servers[0].requests, 0);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

/* Returns a connection to the first server from cell a's network; the caller closes it. */
static int dial_server(void) {
    struct rr_endpoint source = {.host = "127.0.1.7"};
    int fd = rr_stream_connect(&source, &servers[0].settings.listen_endpoint, 2);
    assert_true(fd >= 0);
    return fd;
}

/* Bytes that are no frame, a frame that is too long and one of another version. Requests over other
 * connections are still served. */
static void invalid_frames_close_their_connection(void **state) {
    char byte;
    (void)state;
    static const char *const garbage[] = {"GET / HTTP/1.0\r\n\r\n", "Rr\003\013\377\377\377\377",
                                          "Rr\002\013\0\0\0\0"};
    for (int i = 0; i < 3; i++) {
        int fd = dial_server();
        assert_int_equal(rr_stream_send(fd, garbage[i], i == 0 ? 18 : 8), 0);
        assert_true(recv(fd, &byte, 1, 0) <= 0);
        close(fd);
    }
    requests_of_a_neighbour_are_served(state);
}

/* Frames between controllers of one cell are not accepted from another cell. */
static void frames_of_other_types_close_their_connection(void **state) {
    GByteArray *frame = g_byte_array_new();
    char byte;
    (void)state;
    guint start = rr_frame_begin(frame, RR_FRAME_HELLO);
    rr_frame_put_text(frame, "n1");
    rr_frame_end(frame, start);
    int fd = dial_server();
    assert_int_equal(rr_stream_send(fd, frame->data, frame->len), 0);
    assert_true(recv(fd, &byte, 1, 0) <= 0);
    close(fd);
    rr_cells_server_stats stats;
    rr_cells_server_get_stats(servers[0].links, &stats);
    assert_int_equal(stats.refused_requests, 1);
    g_byte_array_free(frame, TRUE);
}

/* A valid frame with a malformed request gets a reply, and its connection stays open. */
static void malformed_requests_are_answered_as_malformed(void **state) {
    struct rr_receive_buffer receive_buffer;
    rr_frame_reader payload;
    uint8_t type;
    rr_cells_reply reply;
    static const uint8_t payloads[][6] = {{1, 1, 0xff, 0xff, 0xff, 0xff}, {0, 1, 0, 0, 0, 0}};
    static const enum rr_cells_status expected[] = {RR_CELLS_MALFORMED, RR_CELLS_MALFORMED};
    (void)state;
    int fd = dial_server();
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

static void requests_of_unknown_versions_get_status_version_unknown(void **state) {
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

/* A NOT_OWNER reply sends the client's next requests to the controller that it names. A client
 * whose second controller does not listen is served by the first. */
static void a_client_learns_which_controller_plans_a_team(void **state) {
    rr_cells_settings settings;
    rr_cells_reply reply;
    (void)state;
    g_strlcpy(servers[0].planner, "b1", RR_NAME_SIZE);
    configure_client(&settings, "127.0.1.9");
    rr_cells_client *client = rr_cells_client_create(&settings, 0, &stop);
    assert_int_equal(ask_to_renew(client, "a", "b", &reply), 0);
    assert_int_equal(reply.status, RR_CELLS_NOT_OWNER);
    rr_cells_reply_clear(&reply);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(ask_to_renew(client, "a", "b", &reply), 0);
        assert_int_equal(reply.status, RR_CELLS_OK);
        rr_cells_reply_clear(&reply);
    }
    assert_int_equal(servers[0].requests, 1);
    assert_int_equal(servers[1].requests, 2);
    settings.neighbours[0].controllers[1].endpoint.port =
        fake_services_find_unused_port(); /* no listener */
    rr_cells_client *other_client = rr_cells_client_create(&settings, 0, &stop);
    servers[0].planner[0] = 0;
    assert_int_equal(ask_to_renew(other_client, "a", "b", &reply), 0);
    rr_cells_reply_clear(&reply);
    rr_cells_client_destroy(other_client);
    rr_cells_client_destroy(client);
    rr_cells_settings_clear(&settings);
}

/* A listener closes connections beyond RR_CELLS_CONNECTIONS_MAX at once and counts them. */
static void connections_beyond_the_limit_are_closed(void **state) {
    int connections[RR_CELLS_CONNECTIONS_MAX + 4];
    rr_cells_server_stats stats = {0};
    (void)state;
    for (int i = 0; i < RR_CELLS_CONNECTIONS_MAX + 4; i++) {
        connections[i] = dial_server();
    }
    double deadline = rr_steady_clock_s() + 5;
    while (stats.connections_over_limit < 4) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.01);
        rr_cells_server_get_stats(servers[0].links, &stats);
    }
    assert_int_equal(stats.connections_over_limit, 4);
    for (int i = 0; i < RR_CELLS_CONNECTIONS_MAX + 4; i++) {
        close(connections[i]);
    }
}

#define LINKS_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        LINKS_TEST(requests_of_a_neighbour_are_served),
        LINKS_TEST(connections_from_unknown_networks_are_closed),
        LINKS_TEST(requests_with_wrong_cell_names_are_refused),
        LINKS_TEST(invalid_frames_close_their_connection),
        LINKS_TEST(frames_of_other_types_close_their_connection),
        LINKS_TEST(malformed_requests_are_answered_as_malformed),
        LINKS_TEST(requests_of_unknown_versions_get_status_version_unknown),
        LINKS_TEST(a_client_learns_which_controller_plans_a_team),
        LINKS_TEST(connections_beyond_the_limit_are_closed)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
