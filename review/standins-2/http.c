#include "http.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

struct http_server {
    int fd;
    http_handler handler;
    void *user;
    volatile bool stopping, paused;
    volatile int connections;
    pthread_t thread;
};

struct connection {
    struct http_server *server;
    int fd;
};

void http_argument(const char *target, const char *name, char *out, size_t size) {
    const char *query = strchr(target, '?');
    size_t length = strlen(name);
    out[0] = 0;
    while (query) {
        query++;
        if (strncmp(query, name, length) == 0 && query[length] == '=') {
            const char *value = query + length + 1;
            size_t count = strcspn(value, "&");
            count = count < size - 1 ? count : size - 1;
            memcpy(out, value, count);
            out[count] = 0;
            return;
        }
        query = strchr(query, '&');
    }
}

/* Receives more bytes. Returns false at the end of the stream or if the server stops. */
static bool receive(struct connection *connection, GByteArray *buffer) {
    guint8 data[16384];
    for (;;) {
        struct pollfd poll_fd = {connection->fd, POLLIN, 0};
        int count = poll(&poll_fd, 1, 100);
        if (connection->server->stopping) {
            return false;
        }
        if (count > 0) {
            break;
        }
    }
    ssize_t received = recv(connection->fd, data, sizeof data, 0);
    if (received <= 0) {
        return false;
    }
    g_byte_array_append(buffer, data, (guint)received);
    return true;
}

static bool send_all(int fd, const void *data, size_t length) {
    const char *next = data;
    while (length > 0) {
        ssize_t sent = send(fd, next, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        next += sent;
        length -= (size_t)sent;
    }
    return true;
}

static const char *find_end(const GByteArray *buffer) {
    return buffer->len ? memmem(buffer->data, buffer->len, "\r\n\r\n", 4) : NULL;
}

/* Serves one request. Returns false if the connection has to be closed. */
static bool serve_request(struct connection *connection, GByteArray *buffer) {
    const char *end;
    while (!(end = find_end(buffer))) {
        if (!receive(connection, buffer)) {
            return false;
        }
    }
    size_t head = (size_t)(end - (const char *)buffer->data) + 4;
    char *text = g_strndup((const char *)buffer->data, head);
    char method[16] = "", target[600] = "";
    size_t length = 0;
    bool close_after = false;
    sscanf(text, "%15s %599s", method, target);
    for (char *line = strstr(text, "\r\n"); line; line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, "content-length:", 15) == 0) {
            length = (size_t)strtoul(line + 17, NULL, 10);
        } else if (strncasecmp(line + 2, "connection: close", 17) == 0) {
            close_after = true;
        }
    }
    g_free(text);
    while (buffer->len < head + length) {
        if (!receive(connection, buffer)) {
            return false;
        }
    }
    while (connection->server->paused && !connection->server->stopping) {
        rr_sleep(0.02);
    }
    guint8 *body = g_memdup2(buffer->data + head, length ? length : 1);
    g_byte_array_remove_range(buffer, 0, (guint)(head + length));
    rr_document document;
    rr_encoder out;
    memset(&document, 0, sizeof document);
    bool parsed = length > 0;
    if (parsed) {
        rr_document_parse(&document, body, length);
    }
    rr_encoder_init(&out);
    int status = connection->server->handler(connection->server->user, method, target,
                                             parsed ? document.root : NULL, body, length, &out);
    if (parsed) {
        rr_document_clear(&document);
    }
    g_free(body);
    bool keep = status > 0;
    if (status == HTTP_HOLD) {
        for (int i = 0; i < 600 && !connection->server->stopping; i++) {
            struct pollfd poll_fd = {connection->fd, POLLIN | POLLRDHUP, 0};
            rr_sleep(0.1);
            if (poll(&poll_fd, 1, 0) > 0) {
                break;
            }
        }
    }
    if (keep) {
        char line[200];
        int size = snprintf(line, sizeof line,
                            "HTTP/1.1 %d X\r\nContent-Type: application/msgpack\r\n"
                            "Content-Length: %zu\r\n\r\n",
                            status, out.buffer.size);
        keep = send_all(connection->fd, line, (size_t)size) &&
               send_all(connection->fd, out.buffer.data, out.buffer.size);
    }
    rr_encoder_clear(&out);
    return keep && !close_after;
}

static void *connection_main(void *argument) {
    struct connection *connection = argument;
    GByteArray *buffer = g_byte_array_new();
    while (!connection->server->stopping && serve_request(connection, buffer)) {
    }
    close(connection->fd);
    g_byte_array_free(buffer, TRUE);
    __sync_fetch_and_sub(&connection->server->connections, 1);
    g_free(connection);
    return NULL;
}

static void *accept_main(void *argument) {
    struct http_server *server = argument;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    while (!server->stopping) {
        struct pollfd poll_fd = {server->fd, POLLIN, 0};
        if (poll(&poll_fd, 1, 100) <= 0) {
            continue;
        }
        int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC), enabled = 1;
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        struct connection *connection = g_new0(struct connection, 1);
        *connection = (struct connection){server, fd};
        __sync_fetch_and_add(&server->connections, 1);
        pthread_t thread;
        if (pthread_create(&thread, &attributes, connection_main, connection) != 0) {
            __sync_fetch_and_sub(&server->connections, 1);
            close(fd);
            g_free(connection);
        }
    }
    pthread_attr_destroy(&attributes);
    return NULL;
}

struct http_server *http_listen(const char *address, int port, http_handler handler, void *user) {
    struct http_server *server = g_new0(struct http_server, 1);
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    int enabled = 1;
    inet_pton(AF_INET, address, &to.sin_addr);
    server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    server->handler = handler;
    server->user = user;
    setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(server->fd, (struct sockaddr *)&to, sizeof to) != 0 || listen(server->fd, 256) != 0) {
        perror("listen");
        exit(2);
    }
    pthread_create(&server->thread, NULL, accept_main, server);
    return server;
}

void http_pause(struct http_server *server, bool paused) {
    server->paused = paused;
}

void http_stop(struct http_server *server) {
    server->stopping = true;
    pthread_join(server->thread, NULL);
    for (int i = 0; i < 300 && server->connections > 0; i++) {
        rr_sleep(0.01);
    }
    close(server->fd);
    /* A connection that is still served keeps using the server: it is left to the process's end. */
}
