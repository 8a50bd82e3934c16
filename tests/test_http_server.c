/* Tests the connection limits and the listeners of the HTTP server, with a handler of the test and
 * clients on loopback sockets. */
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
/* The least number of connections with which the server is near its limit: more than 75% of
 * CONNECTIONS_MAX. */
#define NEAR_LIMIT_FROM 7

/* Handler that responds as to a worker on /hello and as to a user on other paths. */
static void handle_request(void *user_data, const struct rr_http_request *request,
                           struct rr_http_response *response) {
    (void)user_data;
    response->status = 200;
    response->close_if_near_limit = strcmp(request->path, "/hello") == 0;
    rr_encode_map(&response->body, 0);
}

struct fixture {
    struct rr_config config;
    rr_http_server *server;
    atomic_bool stall_next; /* the accepting thread stalls at the next connection */
    sem_t resume;           /* ends the stall */
};

static void on_accept(void *user_data) {
    struct fixture *fixture = user_data;
    if (atomic_exchange(&fixture->stall_next, false)) {
        sem_wait(&fixture->resume);
    }
}

static int setup(void **state) {
    struct fixture *fixture = g_new0(struct fixture, 1);
    test_config_init(&fixture->config, "n0");
    g_strlcpy(fixture->config.bind.host, "127.0.0.1", sizeof fixture->config.bind.host);
    fixture->config.bind.port = fake_services_find_unused_port();
    sem_init(&fixture->resume, 0, 0);
    fixture->server = rr_http_server_create(&fixture->config, CONNECTIONS_MAX, handle_request,
                                            on_accept, fixture);
    assert_non_null(fixture->server);
    int refused = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(fixture->config.bind.port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(connect(refused, (struct sockaddr *)&address, sizeof address), -1);
    assert_int_equal(errno, ECONNREFUSED);
    close(refused);
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

static int connect_client(const struct fixture *fixture) {
    int fd = fake_services_connect(&fixture->config.bind);
    assert_true(fd >= 0);
    return fd;
}

/* Sends a request and reads the response, which has a body of one byte, into a buffer. Returns
 * whether its status is 200; false too if the connection was closed instead. */
static bool request_path(int fd, const char *path, char *response, size_t size) {
    char text[128];
    size_t count = 0;
    int length = g_snprintf(text, sizeof text, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
    if (send(fd, text, (size_t)length, MSG_NOSIGNAL) != length) {
        return false;
    }
    memset(response, 0, size);
    while (count + 1 < size && !(count > 4 && memcmp(response + count - 5, "\r\n\r\n", 4) == 0)) {
        ssize_t received = recv(fd, response + count, 1, 0);
        if (received <= 0) {
            return false;
        }
        count++;
    }
    return strncmp(response, "HTTP/1.1 200", 12) == 0;
}

/* Whether the response announces that the connection will be closed. */
static bool has_connection_close(const char *response) {
    char *lower_case = g_ascii_strdown(response, -1);
    bool found = strstr(lower_case, "connection: close") != NULL;
    g_free(lower_case);
    return found;
}

/* Guards against workers' connections keeping users out. Near the limit, workers are answered and
 * their connections closed, so that users can connect and stay connected; beyond the limit a
 * connection is closed at once. */
static void workers_make_room_for_users_near_the_limit(void **state) {
    struct fixture *fixture = *state;
    char text[1024], byte;
    int fds[CONNECTIONS_MAX];
    for (int i = 0; i < NEAR_LIMIT_FROM - 1; i++) {
        fds[i] = connect_client(fixture);
        assert_true(request_path(fds[i], "/hello", text, sizeof text));
        assert_false(has_connection_close(text)); /* not near the limit: workers stay connected */
    }
    for (int i = 0; i < 20; i++) {
        int worker = connect_client(fixture);
        assert_true(request_path(worker, "/hello", text, sizeof text));
        assert_true(has_connection_close(text));
        assert_int_equal(recv(worker, &byte, 1, 0), 0);
        close(worker);
        while (rr_http_server_connection_count(fixture->server) > NEAR_LIMIT_FROM - 1) {
            g_usleep(1000);
        }
    }
    for (int i = NEAR_LIMIT_FROM - 1; i < CONNECTIONS_MAX; i++) {
        fds[i] = connect_client(fixture);
        assert_true(request_path(fds[i], "/ready", text, sizeof text));
        assert_false(has_connection_close(text));
    }
    assert_int_equal(rr_http_server_connection_count(fixture->server), CONNECTIONS_MAX);
    int excess = connect_client(fixture);
    assert_false(request_path(excess, "/ready", text, sizeof text));
    close(excess);
    /* Open connections are still served. */
    assert_true(request_path(fds[CONNECTIONS_MAX - 1], "/ready", text, sizeof text));
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        close(fds[i]);
    }
}

/* Guards against an accepting thread that stops accepting for good while the rest of the process
 * works: a second listener must serve the connections that wait. */
static void another_listener_replaces_a_stalled_one(void **state) {
    struct fixture *fixture = *state;
    char text[1024];
    atomic_store(&fixture->stall_next, true);
    int first = connect_client(fixture), second = connect_client(fixture);
    assert_true(request_path(second, "/ready", text, sizeof text));
    assert_int_equal(rr_http_server_listener_count(fixture->server), 2);
    sem_post(&fixture->resume); /* so that the first listener can be stopped */
    assert_true(request_path(first, "/ready", text, sizeof text));
    close(first);
    close(second);
}

/* Guards against taking a full server for a stalled one. At the limit, connections are closed
 * without being counted as accepted; another listener would accept connections beyond the limit. */
static void a_full_server_is_not_stalled(void **state) {
    struct fixture *fixture = *state;
    char text[1024];
    int fds[CONNECTIONS_MAX + 1];
    for (int i = 0; i < CONNECTIONS_MAX - 1; i++) {
        fds[i] = connect_client(fixture);
        assert_true(request_path(fds[i], "/ready", text, sizeof text));
    }
    atomic_store(&fixture->stall_next, true);
    /* The last allowed connection is held while it is accepted; the next one waits meanwhile. */
    fds[CONNECTIONS_MAX - 1] = connect_client(fixture);
    fds[CONNECTIONS_MAX] = connect_client(fixture);
    rr_sleep(5); /* longer than the watcher needs to detect a stall */
    assert_int_equal(rr_http_server_listener_count(fixture->server), 1);
    sem_post(&fixture->resume);
    assert_true(request_path(fds[CONNECTIONS_MAX - 1], "/ready", text, sizeof text));
    for (int i = 0; i <= CONNECTIONS_MAX; i++) {
        close(fds[i]);
    }
}

/* The threads and sockets of the rest of the process are subtracted from the limits first. */
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
