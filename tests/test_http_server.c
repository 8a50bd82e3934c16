/* The door's limits, with a handler and clients of the test's own on loopback sockets. */
#include "core_fixture.h"

#include "common/clock.h"
#include "http/server.h"
#include "fake_services.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <semaphore.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MOST 8

static void answer(void *user, const struct rr_http_request *request,
                   struct rr_http_response *response) {
    (void)user;
    response->status = 200;
    response->yields = strcmp(request->path, "/hello") == 0;
    rr_encode_map(&response->body, 0);
}

struct fixture {
    struct rr_config config;
    rr_http_server *door;
    atomic_bool stands; /* the thread that takes connections is to stand still */
    sem_t go_on;
};

static void accepted(void *user) {
    struct fixture *fixture = user;
    if (atomic_exchange(&fixture->stands, false)) {
        sem_wait(&fixture->go_on);
    }
}

static int setup(void **state) {
    struct fixture *fixture = g_new0(struct fixture, 1);
    test_config(&fixture->config, "n0");
    g_strlcpy(fixture->config.bind.host, "127.0.0.1", sizeof fixture->config.bind.host);
    fixture->config.bind.port = fake_services_free_port();
    sem_init(&fixture->go_on, 0, 0);
    fixture->door = rr_http_server_create(&fixture->config, MOST, answer, accepted, fixture);
    assert_non_null(fixture->door);
    int early = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(fixture->config.bind.port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(connect(early, (struct sockaddr *)&address, sizeof address), -1);
    assert_int_equal(errno, ECONNREFUSED);
    close(early);
    assert_int_equal(rr_http_server_listen(fixture->door), 0);
    *state = fixture;
    return 0;
}

static int teardown(void **state) {
    struct fixture *fixture = *state;
    rr_http_server_stop(fixture->door);
    g_free(fixture);
    return 0;
}

static int dial(const struct fixture *fixture) {
    int fd = fake_services_dial(&fixture->config.bind);
    assert_true(fd >= 0);
    return fd;
}

/* Sends a request and reads its answer, which has a body of one byte. False: closed instead. */
static bool ask(int fd, const char *path, char *into, size_t size) {
    char text[128];
    size_t count = 0;
    int length = g_snprintf(text, sizeof text, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
    if (send(fd, text, (size_t)length, MSG_NOSIGNAL) != length) {
        return false;
    }
    memset(into, 0, size);
    while (count + 1 < size && !(count > 4 && memcmp(into + count - 5, "\r\n\r\n", 4) == 0)) {
        ssize_t got = recv(fd, into + count, 1, 0);
        if (got <= 0) {
            return false;
        }
        count++;
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
    struct fixture *fixture = *state;
    char text[1024], byte;
    int fds[MOST];
    for (int i = 0; i < 6; i++) {
        fds[i] = dial(fixture);
        assert_true(ask(fds[i], "/hello", text, sizeof text));
        assert_false(closes(text)); /* there is room: workers stay */
    }
    for (int i = 0; i < 20; i++) {
        int worker = dial(fixture);
        assert_true(ask(worker, "/hello", text, sizeof text));
        assert_true(closes(text));
        assert_int_equal(recv(worker, &byte, 1, 0), 0);
        close(worker);
        while (rr_http_server_connections(fixture->door) > 6) {
            g_usleep(1000);
        }
    }
    for (int i = 6; i < MOST; i++) {
        fds[i] = dial(fixture);
        assert_true(ask(fds[i], "/ready", text, sizeof text));
        assert_false(closes(text));
    }
    assert_int_equal(rr_http_server_connections(fixture->door), MOST);
    int more = dial(fixture);
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
    struct fixture *fixture = *state;
    char text[1024];
    atomic_store(&fixture->stands, true);
    int first = dial(fixture), second = dial(fixture);
    assert_true(ask(second, "/ready", text, sizeof text));
    assert_int_equal(rr_http_server_listeners(fixture->door), 2);
    sem_post(&fixture->go_on); /* it takes up its work again, so that it can be stopped */
    assert_true(ask(first, "/ready", text, sizeof text));
    close(first);
    close(second);
}

/* At the bound connections are closed and not counted as taken, for as long as there are too many:
 * no reason for another listener, which would take more than there may be. */
static void a_full_door_is_no_standstill(void **state) {
    struct fixture *fixture = *state;
    char text[1024];
    int fds[MOST + 1];
    for (int i = 0; i < MOST - 1; i++) {
        fds[i] = dial(fixture);
        assert_true(ask(fds[i], "/ready", text, sizeof text));
    }
    atomic_store(&fixture->stands, true);
    fds[MOST - 1] = dial(fixture); /* the last one: held while it is being taken, */
    fds[MOST] = dial(fixture);     /* so that this one waits */
    rr_sleep(5);                   /* longer than the watcher looks */
    assert_int_equal(rr_http_server_listeners(fixture->door), 1);
    sem_post(&fixture->go_on);
    assert_true(ask(fds[MOST - 1], "/ready", text, sizeof text));
    for (int i = 0; i <= MOST; i++) {
        close(fds[i]);
    }
}

/* The scarcest of threads, sockets, memory and the operators' own bound decides, and what the rest
 * of the process needs comes off. */
static void the_limit_is_derived(void **state) {
    (void)state;
    struct rr_config config;
    test_config(&config, "n0");
    config.ram_mb = 188;
    config.max_sockets = 4064;
    config.tuning.max_threads = 2000;
    config.tuning.max_connections = 100000;
    int most = rr_http_server_connections_max(&config, 140, 280);
    assert_int_equal(most, 2000 - 140);
    config.max_sockets = 1000;
    assert_int_equal(rr_http_server_connections_max(&config, 140, 280), 1000 - 280);
    config.max_sockets = 100000;
    config.ram_mb = 94;
    assert_int_equal(rr_http_server_connections_max(&config, 140, 280),
                     (int)(0.65 * 94 * 1024 / RR_CONNECTION_KB));
    config.tuning.max_connections = 50;
    assert_int_equal(rr_http_server_connections_max(&config, 140, 280), 50);
    config.max_sockets = 100;
    assert_true(rr_http_server_connections_max(&config, 140, 280) < RR_CONNECTIONS_MIN);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_crowded_door, setup, teardown),
        cmocka_unit_test_setup_teardown(a_listener_that_stands_still, setup, teardown),
        cmocka_unit_test_setup_teardown(a_full_door_is_no_standstill, setup, teardown),
        cmocka_unit_test(the_limit_is_derived)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
