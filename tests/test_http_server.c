/* Limits of the HTTP server, with a handler and clients of the test's own on loopback sockets. */
#include "core_fixture.h"

#include "common/clock.h"
#include "fake_services.h"
#include "http/server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <semaphore.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 8
#define CROWDED_FROM 7 /* connections; more than 75% of CONNECTIONS_MAX */

static void answer(void *user, const struct rr_http_request *request,
                   struct rr_http_response *response) {
    (void)user;
    response->status = 200;
    response->yields = strcmp(request->path, "/hello") == 0;
    rr_encode_map(&response->body, 0);
}

struct fixture {
    struct rr_config config;
    rr_http_server *server;
    atomic_bool stall_next; /* the accepting thread is to stall at the next connection */
    sem_t resume;
};

static void on_accept(void *user) {
    struct fixture *fixture = user;
    if (atomic_exchange(&fixture->stall_next, false)) {
        sem_wait(&fixture->resume);
    }
}

static int setup(void **state) {
    struct fixture *fixture = g_new0(struct fixture, 1);
    test_config_init(&fixture->config, "n0");
    g_strlcpy(fixture->config.bind.host, "127.0.0.1", sizeof fixture->config.bind.host);
    fixture->config.bind.port = fake_services_free_port();
    sem_init(&fixture->resume, 0, 0);
    fixture->server =
        rr_http_server_create(&fixture->config, CONNECTIONS_MAX, answer, on_accept, fixture);
    assert_non_null(fixture->server);
    int early = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(fixture->config.bind.port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(connect(early, (struct sockaddr *)&address, sizeof address), -1);
    assert_int_equal(errno, ECONNREFUSED);
    close(early);
    assert_int_equal(rr_http_server_listen(fixture->server), 0);
    *state = fixture;
    return 0;
}

static int teardown(void **state) {
    struct fixture *fixture = *state;
    rr_http_server_stop(fixture->server);
    g_free(fixture);
    return 0;
}

static int dial(const struct fixture *fixture) {
    int fd = fake_services_connect(&fixture->config.bind);
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
        ssize_t received = recv(fd, into + count, 1, 0);
        if (received <= 0) {
            return false;
        }
        count++;
    }
    return strncmp(into, "HTTP/1.1 200", 12) == 0;
}

static bool announces_close(const char *answer_text) {
    char *low = g_ascii_strdown(answer_text, -1);
    bool announced = strstr(low, "connection: close") != NULL;
    g_free(low);
    return announced;
}

/* Near the limit workers are answered and their connections closed, so that users still get in and
 * keep theirs; beyond the limit a connection is closed at once. */
static void workers_make_room_for_users_near_the_limit(void **state) {
    struct fixture *fixture = *state;
    char text[1024], byte;
    int fds[CONNECTIONS_MAX];
    for (int i = 0; i < CROWDED_FROM - 1; i++) {
        fds[i] = dial(fixture);
        assert_true(ask(fds[i], "/hello", text, sizeof text));
        assert_false(announces_close(text)); /* there is room: workers keep their connections */
    }
    for (int i = 0; i < 20; i++) {
        int worker = dial(fixture);
        assert_true(ask(worker, "/hello", text, sizeof text));
        assert_true(announces_close(text));
        assert_int_equal(recv(worker, &byte, 1, 0), 0);
        close(worker);
        while (rr_http_server_connections(fixture->server) > CROWDED_FROM - 1) {
            g_usleep(1000);
        }
    }
    for (int i = CROWDED_FROM - 1; i < CONNECTIONS_MAX; i++) {
        fds[i] = dial(fixture);
        assert_true(ask(fds[i], "/ready", text, sizeof text));
        assert_false(announces_close(text));
    }
    assert_int_equal(rr_http_server_connections(fixture->server), CONNECTIONS_MAX);
    int more = dial(fixture);
    assert_false(ask(more, "/ready", text, sizeof text));
    close(more);
    assert_true(ask(fds[CONNECTIONS_MAX - 1], "/ready", text,
                    sizeof text)); /* the others are still served */
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        close(fds[i]);
    }
}

/* Guards against an accepting thread that stalls for good while the rest of the process is well. */
static void another_listener_replaces_a_stalled_one(void **state) {
    struct fixture *fixture = *state;
    char text[1024];
    atomic_store(&fixture->stall_next, true);
    int first = dial(fixture), second = dial(fixture);
    assert_true(ask(second, "/ready", text, sizeof text));
    assert_int_equal(rr_http_server_listeners(fixture->server), 2);
    sem_post(&fixture->resume); /* resumes, so that it can be stopped */
    assert_true(ask(first, "/ready", text, sizeof text));
    close(first);
    close(second);
}

/* At the limit connections are closed without being counted as accepted. That is not a stall:
 * another listener would accept more than the limit. */
static void a_full_server_is_not_stalled(void **state) {
    struct fixture *fixture = *state;
    char text[1024];
    int fds[CONNECTIONS_MAX + 1];
    for (int i = 0; i < CONNECTIONS_MAX - 1; i++) {
        fds[i] = dial(fixture);
        assert_true(ask(fds[i], "/ready", text, sizeof text));
    }
    atomic_store(&fixture->stall_next, true);
    fds[CONNECTIONS_MAX - 1] = dial(fixture); /* the last one: held while it is being accepted, */
    fds[CONNECTIONS_MAX] = dial(fixture);     /* so that this one waits */
    rr_sleep(5);                              /* longer than the watcher takes to find a stall */
    assert_int_equal(rr_http_server_listeners(fixture->server), 1);
    sem_post(&fixture->resume);
    assert_true(ask(fds[CONNECTIONS_MAX - 1], "/ready", text, sizeof text));
    for (int i = 0; i <= CONNECTIONS_MAX; i++) {
        close(fds[i]);
    }
}

/* What the rest of the process needs is subtracted first. */
static void the_scarcest_resource_limits_connections(void **state) {
    (void)state;
    struct rr_config config;
    test_config_init(&config, "n0");
    config.ram_mb = 188;
    config.max_sockets = 4064;
    config.tuning.max_threads = 2000;
    config.tuning.max_connections = 100000;
    int max = rr_http_server_connections_max(&config, 140, 280);
    assert_int_equal(max, 2000 - 140);
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
        cmocka_unit_test_setup_teardown(workers_make_room_for_users_near_the_limit, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(another_listener_replaces_a_stalled_one, setup, teardown),
        cmocka_unit_test_setup_teardown(a_full_server_is_not_stalled, setup, teardown),
        cmocka_unit_test(the_scarcest_resource_limits_connections)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
