/* Tests the links of a controller, n0, with a scripted peer, n1, on loopback sockets. Tests wait
 * for conditions, with timeouts far above the usual durations. */
#include "core_fixture.h"

#include "common/clock.h"
#include "common/log.h"
#include "fake_services.h"
#include "net/client.h"
#include "peer/frame.h"
#include "peer/peer.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MAX_S 20
#define DIGEST_INTERVAL_S 0.5 /* between a link's periodic digests */
#define DIGESTS_PER_FRAME 512 /* limit of machines in one frame */

struct fixture {
    struct rr_config config;
    struct rr_peers *peers;
    atomic_bool stop;
    atomic_uint heartbeats, digests, cancelled, demand_views; /* received by the callbacks */
    int peer_listener_fd; /* on which the scripted peer accepts connections */
    int peer_fd;          /* the scripted peer's connection to the controller */
};

static void on_heartbeat(void *user, int peer, unsigned hops, const void *body, size_t length) {
    struct fixture *fixture = user;
    (void)peer;
    (void)hops;
    assert_memory_equal(body, "heartbeat", length);
    atomic_fetch_add(&fixture->heartbeats, 1);
}

static void on_heartbeat_digests(void *user, int peer, unsigned hops,
                                 const rr_heartbeat_digest *digests, size_t count) {
    struct fixture *fixture = user;
    (void)peer;
    (void)hops;
    (void)digests;
    atomic_fetch_add(&fixture->digests, (unsigned)count);
}

static void on_suspect(void *user, const char *machine) {
    (void)user;
    (void)machine;
}

static void on_cancelled(void *user, const char *job_id) {
    struct fixture *fixture = user;
    assert_string_equal(job_id, "req-000007");
    atomic_fetch_add(&fixture->cancelled, 1);
}

static void on_demand_view(void *user, int peer, const void *data, size_t length) {
    struct fixture *fixture = user;
    (void)peer;
    assert_memory_equal(data, "a view", length);
    atomic_fetch_add(&fixture->demand_views, 1);
}

static bool on_resign(void *user, uint64_t lease_id, bool end_lease) {
    (void)user;
    (void)lease_id;
    return !end_lease;
}

static void put_sent_at(GByteArray *buffer, double seconds_ago) {
    guint start = rr_frame_begin(buffer, RR_FRAME_SENT_AT);
    rr_frame_put_u64(buffer, (uint64_t)((rr_wall_clock_s() - seconds_ago) * 1000));
    rr_frame_end(buffer, start);
}

/* Sends the buffer and frees it. */
static void send_frames(int fd, GByteArray *buffer) {
    assert_int_equal(send(fd, buffer->data, buffer->len, MSG_NOSIGNAL), buffer->len);
    g_byte_array_free(buffer, TRUE);
}

/* Lets the scripted peer listen on a free port, and returns the address. */
static struct rr_endpoint listen_as_peer(struct fixture *fixture) {
    fixture->peer_listener_fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof address;
    struct timeval timeout = {WAIT_MAX_S, 0};
    setsockopt(fixture->peer_listener_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    assert_int_equal(bind(fixture->peer_listener_fd, (struct sockaddr *)&address, sizeof address),
                     0);
    assert_int_equal(listen(fixture->peer_listener_fd, 8), 0);
    assert_int_equal(getsockname(fixture->peer_listener_fd, (struct sockaddr *)&address, &length),
                     0);
    return (struct rr_endpoint){.host = "127.0.0.1", .port = ntohs(address.sin_port)};
}

/* Connects the scripted peer to the controller and sends its HELLO frame. */
static void connect_as_peer(struct fixture *fixture) {
    fixture->peer_fd = fake_services_connect(&fixture->config.peer_listen);
    assert_true(fixture->peer_fd >= 0);
    GByteArray *buffer = g_byte_array_new();
    guint start = rr_frame_begin(buffer, RR_FRAME_HELLO);
    rr_frame_put_text(buffer, "n1");
    rr_frame_end(buffer, start);
    send_frames(fixture->peer_fd, buffer);
}

/* Starts the links of n0, with the scripted n1 as its only peer. */
static int setup(void **state) {
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct rr_config *config = &fixture->config;
    test_config_init(config, "n0");
    config->peer_count = 1;
    g_strlcpy(config->peers[0].name, "n1", RR_NAME_SIZE);
    config->peers[0].endpoint = listen_as_peer(fixture);
    config->peer_listen = config->peers[0].endpoint;
    config->peer_listen.port = fake_services_find_unused_port();
    struct rr_peer_events events = {.user = fixture,
                                    .on_heartbeat = on_heartbeat,
                                    .on_heartbeat_digests = on_heartbeat_digests,
                                    .on_suspect = on_suspect,
                                    .on_cancelled = on_cancelled,
                                    .on_resign = on_resign,
                                    .on_demand = on_demand_view};
    fixture->peers = rr_peers_create(config, &events, &fixture->stop);
    assert_int_equal(rr_peers_start(fixture->peers), 0);
    connect_as_peer(fixture);
    *state = fixture;
    return 0;
}

static int teardown(void **state) {
    struct fixture *fixture = *state;
    atomic_store(&fixture->stop, true);
    close(fixture->peer_fd);
    close(fixture->peer_listener_fd);
    rr_peers_stop(fixture->peers);
    rr_peers_destroy(fixture->peers);
    g_free(fixture);
    return 0;
}

/* Appends a frame with one digest. n1 reports that it receives from n0, or from nobody. */
static void put_digest_frame(GByteArray *buffer, bool receives_from_us) {
    guint start = rr_frame_begin(buffer, RR_FRAME_HEARTBEAT_DIGESTS);
    rr_frame_put_u8(buffer, 0);
    rr_frame_put_u16(buffer, receives_from_us ? 1 : 0);
    if (receives_from_us) {
        rr_frame_put_text(buffer, "n0");
    }
    rr_frame_put_u16(buffer, 1);
    rr_frame_put_text(buffer, "vm-1");
    for (int i = 0; i < 3; i++) {
        rr_frame_put_u64(buffer, 1);
    }
    rr_frame_end(buffer, start);
}

/* Sends, as n1, a peer's periodic digests and a heartbeat, dated so many seconds ago. */
static void send_periodic_frames(struct fixture *fixture, bool receives_from_us,
                                 double seconds_ago) {
    GByteArray *buffer = g_byte_array_new();
    put_sent_at(buffer, seconds_ago);
    put_digest_frame(buffer, receives_from_us);
    guint start = rr_frame_begin(buffer, RR_FRAME_HEARTBEAT);
    rr_frame_put_u8(buffer, 0);
    g_byte_array_append(buffer, (const guint8 *)"heartbeat", 9);
    rr_frame_end(buffer, start);
    send_frames(fixture->peer_fd, buffer);
}

static void receive_bytes(int fd, uint8_t *out, size_t count) {
    assert_int_equal(recv(fd, out, count, MSG_WAITALL), count);
}

struct received_frame {
    uint8_t type;
    uint8_t *payload;
    uint32_t length;
};

/* Receives one frame; the caller frees the payload. */
static struct received_frame receive_frame(int fd) {
    uint8_t head[RR_FRAME_HEADER_BYTES];
    struct received_frame frame;
    receive_bytes(fd, head, sizeof head);
    assert_int_equal(rr_frame_parse_header(head, &frame.type, &frame.length), 0);
    frame.payload = g_malloc(frame.length + 1);
    if (frame.length) {
        receive_bytes(fd, frame.payload, frame.length);
    }
    return frame;
}

static uint8_t receive_frame_type(int fd) {
    struct received_frame frame = receive_frame(fd);
    g_free(frame.payload);
    return frame.type;
}

/* Receives frames until one has this type; fails if none arrives in time. */
static void wait_for_frame(int fd, enum rr_frame_type type) {
    while (receive_frame_type(fd) != type) {
    }
}

/* Reads the number of machines in a frame of digests. */
static uint16_t read_digest_count(const struct received_frame *frame) {
    char name[RR_NAME_SIZE];
    rr_frame_reader reader = {frame->payload, frame->length, false};
    rr_frame_read_u8(&reader);
    uint16_t nodes = rr_frame_read_u16(&reader);
    for (uint16_t i = 0; i < nodes; i++) {
        rr_frame_read_text(&reader, name, sizeof name);
    }
    return rr_frame_read_u16(&reader);
}

/* Receives frames up to the next one with digests, and returns its number of machines. */
static uint16_t receive_digest_count(int fd) {
    for (;;) {
        struct received_frame frame = receive_frame(fd);
        bool found = frame.type == RR_FRAME_HEARTBEAT_DIGESTS;
        uint16_t count = found ? read_digest_count(&frame) : 0;
        g_free(frame.payload);
        if (found) {
            return count;
        }
    }
}

/* Sends a heartbeat, always of the same machine and content, and asserts that it arrives in full on
 * this connection. */
static void assert_full_heartbeat_sent(struct fixture *fixture, int fd) {
    rr_heartbeat_digest digest = {.machine = "vm-7", .worker_epoch = 1, .sequence = 5, .hash = 9};
    rr_peers_send_heartbeat(fixture->peers, 1, 0, &digest, "heartbeat", 9);
    wait_for_frame(fd, RR_FRAME_HEARTBEAT);
}

static void wait_for_event(const atomic_uint *count) {
    double deadline = rr_steady_clock_s() + WAIT_MAX_S;
    while (atomic_load(count) == 0) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.01);
    }
}

/* Accepts the controller's connection to the scripted peer. */
static int accept_connection(const struct fixture *fixture) {
    int fd = accept(fixture->peer_listener_fd, NULL, NULL);
    assert_true(fd >= 0);
    return fd;
}

/* Accepts the controller's next connection. Until then the scripted peer reports that it does not
 * receive from the controller, so that the present connection is replaced. */
static int accept_next_connection(struct fixture *fixture) {
    struct timeval accept_timeout = {0, 200000}, receive_timeout = {WAIT_MAX_S, 0};
    double deadline = rr_steady_clock_s() + WAIT_MAX_S;
    int fd = -1;
    setsockopt(fixture->peer_listener_fd, SOL_SOCKET, SO_RCVTIMEO, &accept_timeout,
               sizeof accept_timeout);
    while (fd < 0) {
        assert_true(rr_steady_clock_s() < deadline);
        send_periodic_frames(fixture, false, 0);
        fd = accept(fixture->peer_listener_fd, NULL, NULL);
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    return fd;
}

/* After a network partition a connection may accept everything and deliver nothing, without a
 * reset. While the peer does not confirm that it receives from the controller, the link reconnects
 * and sends again what it sent over the old connection; while the peer confirms it, the connection
 * is kept. */
static void an_unconfirmed_connection_is_replaced(void **state) {
    struct fixture *fixture = *state;
    int first = accept_connection(fixture);
    assert_full_heartbeat_sent(fixture, first);
    int second = accept_next_connection(fixture);
    assert_full_heartbeat_sent(fixture, second);
    /* Longer than the time after which the first connection was replaced. */
    for (int interval = 0; interval < 12; interval++) {
        send_periodic_frames(fixture, true, 0);
        wait_for_frame(second, RR_FRAME_HEARTBEAT_DIGESTS);
    }
    close(first);
    close(second);
}

/* Frames that a partition delayed, or that were not read while the process was suspended, say
 * nothing about the present: a machine that sent them may be dead by now. */
static void stale_heartbeats_are_dropped(void **state) {
    struct fixture *fixture = *state;
    send_periodic_frames(fixture, true,
                         fixture->config.heartbeat_interval_s +
                             2 * fixture->config.clock_skew_max_s + 5);
    send_periodic_frames(fixture, true, 0);
    wait_for_event(&fixture->heartbeats);
    assert_int_equal(atomic_load(&fixture->heartbeats), 1);
    assert_int_equal(atomic_load(&fixture->digests), 1);
}

/* A cancellation is announced again over the next connection, as the first may not have delivered
 * it, and only once there. Another one that has already expired is queued behind it. */
static void a_cancellation_is_announced_once_over_each_connection(void **state) {
    struct fixture *fixture = *state;
    int first = accept_connection(fixture);
    rr_peers_send_cancellation(fixture->peers, "req-000007", rr_steady_clock_s() + 60);
    rr_peers_send_cancellation(fixture->peers, "req-000008", rr_steady_clock_s() - 1);
    wait_for_frame(first, RR_FRAME_CANCELLED);
    int second = accept_next_connection(fixture);
    wait_for_frame(second, RR_FRAME_CANCELLED);
    for (int interval = 0; interval < 4; interval++) {
        send_periodic_frames(fixture, true, 0);
        uint8_t type;
        while ((type = receive_frame_type(second)) != RR_FRAME_HEARTBEAT_DIGESTS) {
            assert_int_not_equal(type, RR_FRAME_CANCELLED);
        }
    }
    close(first);
    close(second);
}

/* A cancellation that was sent long ago is applied, since stopping the tasks of a cancelled job is
 * always right. A string that is not a job id is ignored. */
static void a_stale_cancellation_is_applied(void **state) {
    struct fixture *fixture = *state;
    GByteArray *buffer = g_byte_array_new();
    put_sent_at(buffer, 300);
    guint start = rr_frame_begin(buffer, RR_FRAME_CANCELLED);
    rr_frame_put_u16(buffer, 2);
    rr_frame_put_text(buffer, "no id");
    rr_frame_put_text(buffer, "req-000007");
    rr_frame_end(buffer, start);
    send_frames(fixture->peer_fd, buffer);
    wait_for_event(&fixture->cancelled);
    assert_int_equal(atomic_load(&fixture->cancelled), 1);
}

/* One frame holds the digests of 512 machines at most. The other machines' digests must follow in
 * further frames at once: with one frame per interval, 4500 machines would take nine intervals. */
static void digests_of_a_large_fleet_are_sent_together(void **state) {
    struct fixture *fixture = *state;
    const unsigned fleet = 4500;
    int fd = accept_connection(fixture);
    send_periodic_frames(fixture, true, 0);
    for (unsigned i = 0; i < fleet; i++) {
        rr_heartbeat_digest digest = {.worker_epoch = 1, .sequence = 2, .hash = 3};
        g_snprintf(digest.machine, sizeof digest.machine, "vm-%06u", i);
        rr_peers_send_heartbeat(fixture->peers, 0, 0, &digest, "heartbeat", 9);
    }
    unsigned frames = 0;
    double first = 0;
    for (unsigned machines = 0; machines < fleet;) {
        uint16_t count = receive_digest_count(fd);
        first = machines == 0 && count > 0 ? rr_steady_clock_s() : first;
        machines += count;
        frames += count > 0;
    }
    assert_true(frames <= fleet / DIGESTS_PER_FRAME + 3);
    assert_true(rr_steady_clock_s() - first < 4 * DIGEST_INTERVAL_S);
    close(fd);
}

static void a_queued_demand_view_is_sent(void **state) {
    struct fixture *fixture = *state;
    int fd = accept_connection(fixture);
    rr_peers_send_demand(fixture->peers, "an old view", 11);
    rr_peers_send_demand(fixture->peers, "a view", 6);
    wait_for_frame(fd, RR_FRAME_DEMAND);
    close(fd);
}

static void a_received_demand_view_reaches_its_callback(void **state) {
    struct fixture *fixture = *state;
    GByteArray *buffer = g_byte_array_new();
    put_sent_at(buffer, 0);
    guint start = rr_frame_begin(buffer, RR_FRAME_DEMAND);
    g_byte_array_append(buffer, (const guint8 *)"a view", 6);
    rr_frame_end(buffer, start);
    send_frames(fixture->peer_fd, buffer);
    wait_for_event(&fixture->demand_views);
}

#define TEST(function) cmocka_unit_test_setup_teardown(function, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(an_unconfirmed_connection_is_replaced),
                                       TEST(stale_heartbeats_are_dropped),
                                       TEST(a_cancellation_is_announced_once_over_each_connection),
                                       TEST(a_stale_cancellation_is_applied),
                                       TEST(digests_of_a_large_fleet_are_sent_together),
                                       TEST(a_queued_demand_view_is_sent),
                                       TEST(a_received_demand_view_reaches_its_callback)};
    rr_http_client_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
