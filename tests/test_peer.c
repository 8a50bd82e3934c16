/* Links between controllers against a scripted peer on loopback sockets. Waits are for conditions,
 * bounded well above what they take. */
#include "fakes.h"

#include "app/clock.h"
#include "app/log.h"
#include "net/client.h"
#include "peer/frame.h"
#include "peer/peer.h"
#include "world.h"

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

static void on_report(void *user, int peer, unsigned hops, const void *body, size_t len) {
    struct fixture *f = user;
    (void)peer;
    (void)hops;
    assert_memory_equal(body, "report", len);
    atomic_fetch_add(&f->reports, 1);
}

static void on_heard(void *user, int peer, unsigned hops, const rr_heartbeat_digest *list,
                     size_t n) {
    struct fixture *f = user;
    (void)peer;
    (void)hops;
    (void)list;
    atomic_fetch_add(&f->lines, (unsigned)n);
}

static void on_suspect(void *user, const char *machine) {
    (void)user;
    (void)machine;
}

static void on_cancelled(void *user, const char *job_id) {
    struct fixture *f = user;
    assert_string_equal(job_id, "req-000007");
    atomic_fetch_add(&f->cancelled, 1);
}

static void on_demand(void *user, int peer, const void *data, size_t len) {
    struct fixture *f = user;
    (void)peer;
    assert_memory_equal(data, "a view", len);
    atomic_fetch_add(&f->views, 1);
}

static bool on_resign(void *user, uint64_t tether, bool end) {
    (void)user;
    (void)tether;
    return !end;
}

static void send_frames(int fd, GByteArray *b) {
    assert_int_equal(send(fd, b->data, b->len, MSG_NOSIGNAL), b->len);
    g_byte_array_free(b, TRUE);
}

static int setup(void **state) {
    struct fixture *f = g_new0(struct fixture, 1);
    fx_config(&f->config, "n0");
    f->listener = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t len = sizeof a;
    struct timeval tv = {20, 0};
    setsockopt(f->listener, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
    assert_int_equal(bind(f->listener, (struct sockaddr *)&a, sizeof a), 0);
    assert_int_equal(listen(f->listener, 8), 0);
    assert_int_equal(getsockname(f->listener, (struct sockaddr *)&a, &len), 0);
    f->config.peer_count = 1;
    g_strlcpy(f->config.peers[0].name, "n1", RR_NAME_SIZE);
    g_strlcpy(f->config.peers[0].endpoint.host, "127.0.0.1",
              sizeof f->config.peers[0].endpoint.host);
    f->config.peers[0].endpoint.port = ntohs(a.sin_port);
    f->config.peer_listen = f->config.peers[0].endpoint;
    f->config.peer_listen.port = world_free_port();
    struct rr_peer_events ev = {f,         on_report, on_heard, on_suspect, on_cancelled,
                                on_resign, on_demand};
    f->peers = rr_peers_create(&f->config, &ev, &f->stop);
    assert_int_equal(rr_peers_start(f->peers), 0);
    f->to = world_dial(&f->config.peer_listen);
    assert_true(f->to >= 0);
    GByteArray *b = g_byte_array_new();
    guint at = rr_frame_begin(b, RR_FRAME_HELLO);
    rr_frame_put_text(b, "n1");
    rr_frame_end(b, at);
    send_frames(f->to, b);
    *state = f;
    return 0;
}

static int teardown(void **state) {
    struct fixture *f = *state;
    atomic_store(&f->stop, true);
    close(f->to);
    close(f->listener);
    rr_peers_stop(f->peers);
    rr_peers_destroy(f->peers);
    g_free(f);
    return 0;
}

/* The peer's beat: whom it hears, us or nobody; sent so many seconds ago. */
static void beat(struct fixture *f, bool hears_us, double ago) {
    GByteArray *b = g_byte_array_new();
    guint at = rr_frame_begin(b, RR_FRAME_SENT_AT);
    rr_frame_put_u64(b, (uint64_t)((rr_wall_clock_s() - ago) * 1000));
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_HEARTBEAT_DIGESTS);
    rr_frame_put_u8(b, 0);
    rr_frame_put_u16(b, hears_us ? 1 : 0);
    if (hears_us) {
        rr_frame_put_text(b, "n0");
    }
    rr_frame_put_u16(b, 1);
    rr_frame_put_text(b, "vm-1");
    for (int i = 0; i < 3; i++) {
        rr_frame_put_u64(b, 1);
    }
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_HEARTBEAT);
    rr_frame_put_u8(b, 0);
    g_byte_array_append(b, (const guint8 *)"report", 6);
    rr_frame_end(b, at);
    send_frames(f->to, b);
}

static void read_all(int fd, uint8_t *into, size_t n) {
    assert_int_equal(recv(fd, into, n, MSG_WAITALL), n);
}

/* The next frame's type on a connection of ours; its payload is passed over. */
static uint8_t next_frame(int fd) {
    uint8_t head[RR_FRAME_HEADER_BYTES], type, *rest;
    uint32_t len;
    read_all(fd, head, sizeof head);
    assert_int_equal(rr_frame_head(head, &type, &len), 0);
    rest = g_malloc(len + 1);
    if (len) {
        read_all(fd, rest, len);
    }
    g_free(rest);
    return type;
}

/* How many machines the next list names; other frames are passed over. */
static uint16_t next_list(int fd) {
    for (;;) {
        uint8_t head[RR_FRAME_HEADER_BYTES], type;
        uint32_t len;
        char name[RR_NAME_SIZE];
        read_all(fd, head, sizeof head);
        assert_int_equal(rr_frame_head(head, &type, &len), 0);
        uint8_t *payload = g_malloc(len + 1);
        read_all(fd, payload, len);
        rr_frame_reader in = {payload, len, false};
        rr_frame_read_u8(&in);
        uint16_t hears = type == RR_FRAME_HEARTBEAT_DIGESTS ? rr_frame_read_u16(&in) : 0;
        for (uint16_t i = 0; i < hears; i++) {
            rr_frame_read_text(&in, name, sizeof name);
        }
        uint16_t machines = rr_frame_read_u16(&in);
        g_free(payload);
        if (type == RR_FRAME_HEARTBEAT_DIGESTS) {
            return machines;
        }
    }
}

static void wait_report(struct fixture *f, int fd) {
    rr_heartbeat_digest h = {.machine = "vm-7", .worker_epoch = 1, .sequence = 5, .hash = 9};
    rr_peers_send_heartbeat(f->peers, 1, 0, &h, "report", 6);
    while (next_frame(fd) != RR_FRAME_HEARTBEAT) {
    }
}

static int accept_again(struct fixture *f) {
    struct timeval tick = {0, 200000}, long_enough = {20, 0};
    double until = rr_steady_clock_s() + 20;
    int fd = -1;
    setsockopt(f->listener, SOL_SOCKET, SO_RCVTIMEO, &tick, sizeof tick);
    while (fd < 0) {
        assert_true(rr_steady_clock_s() < until);
        beat(f, false, 0);
        fd = accept(f->listener, NULL, NULL);
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &long_enough, sizeof long_enough);
    return fd;
}

/* A connection that takes all that is sent and brings nothing across: after a cut the peer had
 * given it up and no reset came back, so that reports of a quarter of all machines were lost for
 * good. The peer does not say that it hears us: a new connection, and what went over the old one is
 * sent again. While the peer says that it hears us, the connection stays. */
static void a_dead_link_is_made_anew(void **state) {
    struct fixture *f = *state;
    int first = accept(f->listener, NULL, NULL);
    assert_true(first >= 0);
    wait_report(f, first);
    int second = accept_again(f);
    wait_report(f, second);
    for (int beats = 0; beats < 12; beats++) { /* six seconds: longer than it was patient before */
        beat(f, true, 0);
        while (next_frame(second) != RR_FRAME_HEARTBEAT_DIGESTS) {
        }
    }
    close(first);
    close(second);
}

/* What a cut held up, or what waited unread while this process stood still, says nothing of now. */
static void late_frames_are_dropped(void **state) {
    struct fixture *f = *state;
    beat(f, true, f->config.heartbeat_interval_s + 2 * f->config.clock_off_s + 5);
    beat(f, true, 0);
    double until = rr_steady_clock_s() + 20;
    while (atomic_load(&f->reports) == 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
    }
    assert_int_equal(atomic_load(&f->reports), 1);
    assert_int_equal(atomic_load(&f->lines), 1);
}

/* A confirmed cancellation is told once over a connection, and over the next one anew, as the first
 * may not have brought it; until it is too old. */
static void a_cancellation_is_told_until_heard(void **state) {
    struct fixture *f = *state;
    int first = accept(f->listener, NULL, NULL);
    assert_true(first >= 0);
    rr_peers_send_cancellation(f->peers, "req-000007", rr_steady_clock_s() + 60);
    rr_peers_send_cancellation(f->peers, "req-000008", rr_steady_clock_s() - 1);
    while (next_frame(first) != RR_FRAME_CANCELLED) {
    }
    int second = accept_again(f);
    while (next_frame(second) != RR_FRAME_CANCELLED) {
    }
    for (int beats = 0; beats < 4; beats++) {
        beat(f, true, 0);
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
    struct fixture *f = *state;
    GByteArray *b = g_byte_array_new();
    guint at = rr_frame_begin(b, RR_FRAME_SENT_AT);
    rr_frame_put_u64(b, (uint64_t)((rr_wall_clock_s() - 300) * 1000));
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_CANCELLED);
    rr_frame_put_u16(b, 2);
    rr_frame_put_text(b, "no id");
    rr_frame_put_text(b, "req-000007");
    rr_frame_end(b, at);
    send_frames(f->to, b);
    double until = rr_steady_clock_s() + 20;
    while (atomic_load(&f->cancelled) == 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.01);
    }
    assert_int_equal(atomic_load(&f->cancelled), 1);
}

/* All machines of a large fleet heard within a beat are told with it: one list a beat holds 512,
 * and the rest was told seconds late. */
static void a_fleet_in_one_beat(void **state) {
    struct fixture *f = *state;
    const unsigned fleet = 4500;
    int fd = accept(f->listener, NULL, NULL);
    assert_true(fd >= 0);
    beat(f, true, 0);
    for (unsigned i = 0; i < fleet; i++) {
        rr_heartbeat_digest h = {.worker_epoch = 1, .sequence = 2, .hash = 3};
        g_snprintf(h.machine, sizeof h.machine, "vm-%06u", i);
        rr_peers_send_heartbeat(f->peers, 0, 0, &h, "report", 6);
    }
    unsigned lists = 0;
    double first = 0;
    for (unsigned lines = 0; lines < fleet;) {
        uint16_t n = next_list(fd);
        first = lines == 0 && n > 0 ? rr_steady_clock_s() : first;
        lines += n;
        lists += n > 0;
    }
    assert_true(lists <= fleet / 512 + 3);
    assert_true(rr_steady_clock_s() - first < 2); /* two beats, where lists alone took nine */
    close(fd);
}

/* A view of the demand is told once, the newest one only, and a peer's is handed on. */
static void views_of_the_demand(void **state) {
    struct fixture *f = *state;
    int fd = accept(f->listener, NULL, NULL);
    assert_true(fd >= 0);
    rr_peers_send_demand(f->peers, "an old view", 11);
    rr_peers_send_demand(f->peers, "a view", 6);
    while (next_frame(fd) != RR_FRAME_DEMAND) {
    }
    GByteArray *b = g_byte_array_new();
    guint at = rr_frame_begin(b, RR_FRAME_SENT_AT);
    rr_frame_put_u64(b, (uint64_t)(rr_wall_clock_s() * 1000));
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_DEMAND);
    g_byte_array_append(b, (const guint8 *)"a view", 6);
    rr_frame_end(b, at);
    send_frames(f->to, b);
    double until = rr_steady_clock_s() + 20;
    while (atomic_load(&f->views) == 0) {
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
