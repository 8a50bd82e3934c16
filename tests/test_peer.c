/* Links between controllers against a scripted peer on loopback sockets. Waits are for conditions,
 * bounded well above what they take. */
#include "core_fixture.h"

#include "common/clock.h"
#include "common/log.h"
#include "net/client.h"
#include "peer/frame.h"
#include "peer/peer.h"
#include "fake_services.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct fixture {
    struct rr_config config;
    struct rr_peers *peers;
    atomic_bool stop;
    atomic_uint reports, lines, cancelled, views;
    int listener; /* the scripted peer's */
    int to;       /* its connection to us */
};

static void on_report(void *user, int peer, unsigned hops, const void *body, size_t length) {
    struct fixture *fixture = user;
    (void)peer;
    (void)hops;
    assert_memory_equal(body, "report", length);
    atomic_fetch_add(&fixture->reports, 1);
}

static void on_heard(void *user, int peer, unsigned hops, const rr_heartbeat_digest *list,
                     size_t count) {
    struct fixture *fixture = user;
    (void)peer;
    (void)hops;
    (void)list;
    atomic_fetch_add(&fixture->lines, (unsigned)count);
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

static void on_demand(void *user, int peer, const void *data, size_t length) {
    struct fixture *fixture = user;
    (void)peer;
    assert_memory_equal(data, "a view", length);
    atomic_fetch_add(&fixture->views, 1);
}

static bool on_resign(void *user, uint64_t lease_id, bool end) {
    (void)user;
    (void)lease_id;
    return !end;
}

static void send_frames(int fd, GByteArray *buffer) {
    assert_int_equal(send(fd, buffer->data, buffer->len, MSG_NOSIGNAL), buffer->len);
    g_byte_array_free(buffer, TRUE);
}

static int setup(void **state) {
    struct fixture *fixture = g_new0(struct fixture, 1);
    test_config(&fixture->config, "n0");
    fixture->listener = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof address;
    struct timeval timeout = {20, 0};
    setsockopt(fixture->listener, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    assert_int_equal(bind(fixture->listener, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(fixture->listener, 8), 0);
    assert_int_equal(getsockname(fixture->listener, (struct sockaddr *)&address, &length), 0);
    fixture->config.peer_count = 1;
    g_strlcpy(fixture->config.peers[0].name, "n1", RR_NAME_SIZE);
    g_strlcpy(fixture->config.peers[0].endpoint.host, "127.0.0.1",
              sizeof fixture->config.peers[0].endpoint.host);
    fixture->config.peers[0].endpoint.port = ntohs(address.sin_port);
    fixture->config.peer_listen = fixture->config.peers[0].endpoint;
    fixture->config.peer_listen.port = fake_services_free_port();
    struct rr_peer_events events = {fixture,      on_report, on_heard, on_suspect,
                                    on_cancelled, on_resign, on_demand};
    fixture->peers = rr_peers_create(&fixture->config, &events, &fixture->stop);
    assert_int_equal(rr_peers_start(fixture->peers), 0);
    fixture->to = fake_services_dial(&fixture->config.peer_listen);
    assert_true(fixture->to >= 0);
    GByteArray *buffer = g_byte_array_new();
    guint start = rr_frame_begin(buffer, RR_FRAME_HELLO);
    rr_frame_put_text(buffer, "n1");
    rr_frame_end(buffer, start);
    send_frames(fixture->to, buffer);
    *state = fixture;
    return 0;
}

static int teardown(void **state) {
    struct fixture *fixture = *state;
    atomic_store(&fixture->stop, true);
    close(fixture->to);
    close(fixture->listener);
    rr_peers_stop(fixture->peers);
    rr_peers_destroy(fixture->peers);
    g_free(fixture);
    return 0;
}

/* The peer's beat: whom it hears, us or nobody; sent so many seconds ago. */
static void beat(struct fixture *fixture, bool hears_us, double ago) {
    GByteArray *buffer = g_byte_array_new();
    guint start = rr_frame_begin(buffer, RR_FRAME_SENT_AT);
    rr_frame_put_u64(buffer, (uint64_t)((rr_wall_clock_s() - ago) * 1000));
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_HEARTBEAT_DIGESTS);
    rr_frame_put_u8(buffer, 0);
    rr_frame_put_u16(buffer, hears_us ? 1 : 0);
    if (hears_us) {
        rr_frame_put_text(buffer, "n0");
    }
    rr_frame_put_u16(buffer, 1);
    rr_frame_put_text(buffer, "vm-1");
    for (int i = 0; i < 3; i++) {
        rr_frame_put_u64(buffer, 1);
    }
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_HEARTBEAT);
    rr_frame_put_u8(buffer, 0);
    g_byte_array_append(buffer, (const guint8 *)"report", 6);
    rr_frame_end(buffer, start);
    send_frames(fixture->to, buffer);
}

static void read_all(int fd, uint8_t *into, size_t count) {
    assert_int_equal(recv(fd, into, count, MSG_WAITALL), count);
}

/* The next frame's type on a connection of ours; its payload is passed over. */
static uint8_t next_frame(int fd) {
    uint8_t head[RR_FRAME_HEADER_BYTES], type, *rest;
    uint32_t length;
    read_all(fd, head, sizeof head);
    assert_int_equal(rr_frame_head(head, &type, &length), 0);
    rest = g_malloc(length + 1);
    if (length) {
        read_all(fd, rest, length);
    }
    g_free(rest);
    return type;
}

/* How many machines the next list names; other frames are passed over. */
static uint16_t next_list(int fd) {
    for (;;) {
        uint8_t head[RR_FRAME_HEADER_BYTES], type;
        uint32_t length;
        char name[RR_NAME_SIZE];
        read_all(fd, head, sizeof head);
        assert_int_equal(rr_frame_head(head, &type, &length), 0);
        uint8_t *payload = g_malloc(length + 1);
        read_all(fd, payload, length);
        rr_frame_reader reader = {payload, length, false};
        rr_frame_read_u8(&reader);
        uint16_t hears = type == RR_FRAME_HEARTBEAT_DIGESTS ? rr_frame_read_u16(&reader) : 0;
        for (uint16_t i = 0; i < hears; i++) {
            rr_frame_read_text(&reader, name, sizeof name);
        }
        uint16_t machines = rr_frame_read_u16(&reader);
        g_free(payload);
        if (type == RR_FRAME_HEARTBEAT_DIGESTS) {
            return machines;
        }
    }
}

static void wait_report(struct fixture *fixture, int fd) {
    rr_heartbeat_digest digest = {.machine = "vm-7", .worker_epoch = 1, .sequence = 5, .hash = 9};
    rr_peers_send_heartbeat(fixture->peers, 1, 0, &digest, "report", 6);
    while (next_frame(fd) != RR_FRAME_HEARTBEAT) {
    }
}

static int accept_again(struct fixture *fixture) {
    struct timeval tick = {0, 200000}, long_enough = {20, 0};
    double until = rr_steady_clock_s() + 20;
    int fd = -1;
    setsockopt(fixture->listener, SOL_SOCKET, SO_RCVTIMEO, &tick, sizeof tick);
    while (fd < 0) {
        assert_true(rr_steady_clock_s() < until);
        beat(fixture, false, 0);
        fd = accept(fixture->listener, NULL, NULL);
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &long_enough, sizeof long_enough);
    return fd;
}

/* A connection that takes all that is sent and brings nothing across: after a cut the peer had
 * given it up and no reset came back, so that reports of a quarter of all machines were lost for
 * good. The peer does not say that it hears us: a new connection, and what went over the old one is
 * sent again. While the peer says that it hears us, the connection stays. */
static void a_dead_link_is_made_anew(void **state) {
    struct fixture *fixture = *state;
    int first = accept(fixture->listener, NULL, NULL);
    assert_true(first >= 0);
    wait_report(fixture, first);
    int second = accept_again(fixture);
    wait_report(fixture, second);
    for (int beats = 0; beats < 12; beats++) { /* six seconds: longer than it was patient before */
        beat(fixture, true, 0);
        while (next_frame(second) != RR_FRAME_HEARTBEAT_DIGESTS) {
        }
    }
    close(first);
    close(second);
}

/* What a cut held up, or what waited unread while this process stood still, says nothing of now. */
static void late_frames_are_dropped(void **state) {
    struct fixture *fixture = *state;
    beat(fixture, true, fixture->config.heartbeat_interval_s + 2 * fixture->config.clock_off_s + 5);
    beat(fixture, true, 0);
    double until = rr_steady_clock_s() + 20;
    while (atomic_load(&fixture->reports) == 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
    }
    assert_int_equal(atomic_load(&fixture->reports), 1);
    assert_int_equal(atomic_load(&fixture->lines), 1);
}

/* A confirmed cancellation is told once over a connection, and over the next one anew, as the first
 * may not have brought it; until it is too old. */
static void a_cancellation_is_told_until_heard(void **state) {
    struct fixture *fixture = *state;
    int first = accept(fixture->listener, NULL, NULL);
    assert_true(first >= 0);
    rr_peers_send_cancellation(fixture->peers, "req-000007", rr_steady_clock_s() + 60);
    rr_peers_send_cancellation(fixture->peers, "req-000008", rr_steady_clock_s() - 1);
    while (next_frame(first) != RR_FRAME_CANCELLED) {
    }
    int second = accept_again(fixture);
    while (next_frame(second) != RR_FRAME_CANCELLED) {
    }
    for (int beats = 0; beats < 4; beats++) {
        beat(fixture, true, 0);
        uint8_t type;
        while ((type = next_frame(second)) != RR_FRAME_HEARTBEAT_DIGESTS) {
            assert_int_not_equal(type, RR_FRAME_CANCELLED);
        }
    }
    close(first);
    close(second);
}

/* One that a cut held up counts all the same; one that is no job's id does not. */
static void a_late_cancellation_counts(void **state) {
    struct fixture *fixture = *state;
    GByteArray *buffer = g_byte_array_new();
    guint start = rr_frame_begin(buffer, RR_FRAME_SENT_AT);
    rr_frame_put_u64(buffer, (uint64_t)((rr_wall_clock_s() - 300) * 1000));
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_CANCELLED);
    rr_frame_put_u16(buffer, 2);
    rr_frame_put_text(buffer, "no id");
    rr_frame_put_text(buffer, "req-000007");
    rr_frame_end(buffer, start);
    send_frames(fixture->to, buffer);
    double until = rr_steady_clock_s() + 20;
    while (atomic_load(&fixture->cancelled) == 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
    }
    assert_int_equal(atomic_load(&fixture->cancelled), 1);
}

/* All machines of a large fleet heard within a beat are told with it: one list a beat holds 512,
 * and the rest was told seconds late. */
static void a_fleet_in_one_beat(void **state) {
    struct fixture *fixture = *state;
    const unsigned fleet = 4500;
    int fd = accept(fixture->listener, NULL, NULL);
    assert_true(fd >= 0);
    beat(fixture, true, 0);
    for (unsigned i = 0; i < fleet; i++) {
        rr_heartbeat_digest digest = {.worker_epoch = 1, .sequence = 2, .hash = 3};
        g_snprintf(digest.machine, sizeof digest.machine, "vm-%06u", i);
        rr_peers_send_heartbeat(fixture->peers, 0, 0, &digest, "report", 6);
    }
    unsigned lists = 0;
    double first = 0;
    for (unsigned lines = 0; lines < fleet;) {
        uint16_t count = next_list(fd);
        first = lines == 0 && count > 0 ? rr_steady_clock_s() : first;
        lines += count;
        lists += count > 0;
    }
    assert_true(lists <= fleet / 512 + 3);
    assert_true(rr_steady_clock_s() - first < 2); /* two beats, where lists alone took nine */
    close(fd);
}

/* A view of the demand is told once, the newest one only, and a peer's is handed on. */
static void views_of_the_demand(void **state) {
    struct fixture *fixture = *state;
    int fd = accept(fixture->listener, NULL, NULL);
    assert_true(fd >= 0);
    rr_peers_send_demand(fixture->peers, "an old view", 11);
    rr_peers_send_demand(fixture->peers, "a view", 6);
    while (next_frame(fd) != RR_FRAME_DEMAND) {
    }
    GByteArray *buffer = g_byte_array_new();
    guint start = rr_frame_begin(buffer, RR_FRAME_SENT_AT);
    rr_frame_put_u64(buffer, (uint64_t)(rr_wall_clock_s() * 1000));
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_DEMAND);
    g_byte_array_append(buffer, (const guint8 *)"a view", 6);
    rr_frame_end(buffer, start);
    send_frames(fixture->to, buffer);
    double until = rr_steady_clock_s() + 20;
    while (atomic_load(&fixture->views) == 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
    }
    close(fd);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(a_dead_link_is_made_anew),
                                       T(late_frames_are_dropped),
                                       T(a_cancellation_is_told_until_heard),
                                       T(a_late_cancellation_counts),
                                       T(a_fleet_in_one_beat),
                                       T(views_of_the_demand)};
    rr_net_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
