/* The door's limits, with a handler and clients of the test's own on loopback sockets. */
#include "fakes.h"

#include "app/clock.h"
#include "http/door.h"
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <semaphore.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MOST 8

static void answer(void *user, const struct rr_http_request *rq, struct rr_http_response *rs) {
    (void)user;
    rs->status = 200;
    rs->yields = strcmp(rq->path, "/hello") == 0;
    rr_encode_map(&rs->body, 0);
}

struct fixture {
    struct rr_config config;
    rr_http_server *door;
    atomic_bool stands; /* the thread that takes connections is to stand still */
    sem_t go_on;
};

static void accepted(void *user) {
    struct fixture *f = user;
    if (atomic_exchange(&f->stands, false)) {
        sem_wait(&f->go_on);
    }
}

static int setup(void **state) {
    struct fixture *f = g_new0(struct fixture, 1);
    fx_config(&f->config, "n0");
    g_strlcpy(f->config.bind.host, "127.0.0.1", sizeof f->config.bind.host);
    f->config.bind.port = world_free_port();
    sem_init(&f->go_on, 0, 0);
    f->door = rr_http_server_create(&f->config, MOST, answer, accepted, f);
    assert_non_null(f->door);
    int early = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(f->config.bind.port)};
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(connect(early, (struct sockaddr *)&to, sizeof to), -1);
    assert_int_equal(errno, ECONNREFUSED);
    close(early);
    assert_int_equal(rr_http_server_listen(f->door), 0);
    *state = f;
    return 0;
}

static int teardown(void **state) {
    struct fixture *f = *state;
    rr_http_server_stop(f->door);
    g_free(f);
    return 0;
}

static int dial(const struct fixture *f) {
    int fd = world_dial(&f->config.bind);
    assert_true(fd >= 0);
    return fd;
}

/* Sends a request and reads its answer, which has a body of one byte. False: closed instead. */
static bool ask(int fd, const char *path, char *into, size_t size) {
    char text[128];
    size_t n = 0;
    int len = g_snprintf(text, sizeof text, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
    if (send(fd, text, (size_t)len, MSG_NOSIGNAL) != len) {
        return false;
    }
    memset(into, 0, size);
    while (n + 1 < size && !(n > 4 && memcmp(into + n - 5, "\r\n\r\n", 4) == 0)) {
        ssize_t got = recv(fd, into + n, 1, 0);
        if (got <= 0) {
            return false;
        }
        n++;
    }
    return strncmp(into, "HTTP/1.1 200", 12) == 0;
}

static bool closes(const char *answer_text) {
    char *low = g_ascii_strdown(answer_text, -1);
    bool yes = strstr(low, "connection: close") != NULL;
    g_free(low);
    return yes;
}

/* More workers than there are threads: near the limit each is answered and makes room, so that a
 * user still gets in and keeps the connection; beyond it a connection is closed at once. */
static void a_crowded_door(void **state) {
    struct fixture *f = *state;
    char text[1024], byte;
    int fds[MOST];
    for (int i = 0; i < 6; i++) {
        fds[i] = dial(f);
        assert_true(ask(fds[i], "/hello", text, sizeof text));
        assert_false(closes(text)); /* there is room: workers stay */
    }
    for (int i = 0; i < 20; i++) {
        int worker = dial(f);
        assert_true(ask(worker, "/hello", text, sizeof text));
        assert_true(closes(text));
        assert_int_equal(recv(worker, &byte, 1, 0), 0);
        close(worker);
        while (rr_http_server_connections(f->door) > 6) {
            g_usleep(1000);
        }
    }
    for (int i = 6; i < MOST; i++) {
        fds[i] = dial(f);
        assert_true(ask(fds[i], "/ready", text, sizeof text));
        assert_false(closes(text));
    }
    assert_int_equal(rr_http_server_connections(f->door), MOST);
    int more = dial(f);
    assert_false(ask(more, "/ready", text, sizeof text));
    close(more);
    assert_true(ask(fds[MOST - 1], "/ready", text, sizeof text)); /* the others go on */
    for (int i = 0; i < MOST; i++) {
        close(fds[i]);
    }
}

/* The one thread that takes connections stands still for good: nobody got in any more, with the
 * rest of the process well. Another one goes on with the same socket. */
static void a_listener_that_stands_still(void **state) {
    struct fixture *f = *state;
    char text[1024];
    atomic_store(&f->stands, true);
    int first = dial(f), second = dial(f);
    assert_true(ask(second, "/ready", text, sizeof text));
    assert_int_equal(rr_http_server_listeners(f->door), 2);
    sem_post(&f->go_on); /* it takes up its work again, so that it can be stopped */
    assert_true(ask(first, "/ready", text, sizeof text));
    close(first);
    close(second);
}

/* At the bound connections are closed and not counted as taken, for as long as there are too many:
 * no reason for another listener, which would take more than there may be. */
static void a_full_door_is_no_standstill(void **state) {
    struct fixture *f = *state;
    char text[1024];
    int fds[MOST + 1];
    for (int i = 0; i < MOST - 1; i++) {
        fds[i] = dial(f);
        assert_true(ask(fds[i], "/ready", text, sizeof text));
    }
    atomic_store(&f->stands, true);
    fds[MOST - 1] = dial(f); /* the last one: held while it is being taken, */
    fds[MOST] = dial(f);     /* so that this one waits */
    rr_sleep(5);             /* longer than the watcher looks */
    assert_int_equal(rr_http_server_listeners(f->door), 1);
    sem_post(&f->go_on);
    assert_true(ask(fds[MOST - 1], "/ready", text, sizeof text));
    for (int i = 0; i <= MOST; i++) {
        close(fds[i]);
    }
}

/* The scarcest of threads, sockets, memory and the operators' own bound decides, and what the rest
 * of the process needs comes off. */
static void the_limit_is_derived(void **state) {
    (void)state;
    struct rr_config c;
    fx_config(&c, "n0");
    c.ram_mb = 188;
    c.max_sockets = 4064;
    c.tuning.max_threads = 2000;
    c.tuning.max_connections = 100000;
    int most = rr_http_server_connections_max(&c, 140, 280);
    assert_int_equal(most, 2000 - 140);
    c.max_sockets = 1000;
    assert_int_equal(rr_http_server_connections_max(&c, 140, 280), 1000 - 280);
    c.max_sockets = 100000;
    c.ram_mb = 94;
    assert_int_equal(rr_http_server_connections_max(&c, 140, 280),
                     (int)(0.65 * 94 * 1024 / RR_CONNECTION_KB));
    c.tuning.max_connections = 50;
    assert_int_equal(rr_http_server_connections_max(&c, 140, 280), 50);
    c.max_sockets = 100;
    assert_true(rr_http_server_connections_max(&c, 140, 280) < RR_CONNECTIONS_MIN);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_crowded_door, setup, teardown),
        cmocka_unit_test_setup_teardown(a_listener_that_stands_still, setup, teardown),
        cmocka_unit_test_setup_teardown(a_full_door_is_no_standstill, setup, teardown),
        cmocka_unit_test(the_limit_is_derived)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
