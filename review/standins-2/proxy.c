#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 50

struct proxy {
    int listener;
    struct sockaddr_in target, source;
    atomic_bool cut;
};

struct link {
    struct proxy *proxy;
    int client;
};

static struct sockaddr_in make_address(const char *host, int port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, host, &address.sin_addr);
    return address;
}

/* Copies what can be read. Returns false at the end of the connection. */
static bool relay(int from, int to) {
    char buffer[16384];
    ssize_t count = read(from, buffer, sizeof buffer);
    for (ssize_t sent = 0; sent < count;) {
        ssize_t step = send(to, buffer + sent, (size_t)(count - sent), MSG_NOSIGNAL);
        if (step <= 0) {
            return false;
        }
        sent += step;
    }
    return count > 0;
}

static void *link_main(void *argument) {
    struct link link = *(struct link *)argument;
    int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    free(argument);
    setsockopt(server, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    bool open =
        bind(server, (struct sockaddr *)&link.proxy->source, sizeof link.proxy->source) == 0 &&
        connect(server, (struct sockaddr *)&link.proxy->target, sizeof link.proxy->target) == 0;
    while (open) {
        struct pollfd fds[2] = {{link.client, POLLIN, 0}, {server, POLLIN, 0}};
        if (atomic_load(&link.proxy->cut)) {
            usleep(POLL_MS * 1000);
            continue;
        }
        if (poll(fds, 2, POLL_MS) < 0 && errno != EINTR) {
            break;
        }
        if (atomic_load(&link.proxy->cut)) {
            continue;
        }
        open = (!fds[0].revents || relay(link.client, server)) &&
               (!fds[1].revents || relay(server, link.client));
    }
    close(server);
    close(link.client);
    return NULL;
}

static void *listen_main(void *argument) {
    struct proxy *proxy = argument;
    for (;;) {
        struct pollfd fd = {proxy->listener, POLLIN, 0};
        if (atomic_load(&proxy->cut)) {
            usleep(POLL_MS * 1000);
            continue;
        }
        if (poll(&fd, 1, POLL_MS) != 1) {
            continue;
        }
        int client = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        struct link *link = malloc(sizeof *link);
        pthread_t thread;
        *link = (struct link){proxy, client};
        if (pthread_create(&thread, NULL, link_main, link) == 0) {
            pthread_detach(thread);
        } else {
            free(link);
            close(client);
        }
    }
    return NULL;
}

struct proxy *proxy_start(const char *host, int port, const char *target_host, int target_port,
                          const char *source) {
    struct proxy *proxy = calloc(1, sizeof *proxy);
    struct sockaddr_in address = make_address(host, port);
    pthread_t thread;
    int one = 1;
    proxy->target = make_address(target_host, target_port);
    proxy->source = make_address(source, 0);
    proxy->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(proxy->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(proxy->listener, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(proxy->listener, 64) != 0 ||
        pthread_create(&thread, NULL, listen_main, proxy) != 0) {
        fprintf(stderr, "proxy: can't listen on %s:%d: %s\n", host, port, strerror(errno));
        exit(2);
    }
    return proxy;
}

void proxy_set_cut(struct proxy *proxy, bool cut) {
    atomic_store(&proxy->cut, cut);
}
