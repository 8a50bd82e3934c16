#include "net/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

void rr_endpoint_to_sockaddr(const struct rr_endpoint *endpoint, struct sockaddr_in *address) {
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons(endpoint->port);
    inet_pton(AF_INET, endpoint->host, &address->sin_addr);
}

int rr_socket_bind(const struct rr_endpoint *endpoint, int flags) {
    struct sockaddr_in address;
    int enabled = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    if (fd < 0) {
        return -errno;
    }
    rr_endpoint_to_sockaddr(endpoint, &address);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

int rr_socket_listen(const struct rr_endpoint *endpoint, int backlog) {
    int fd = rr_socket_bind(endpoint, 0);
    if (fd >= 0 && listen(fd, backlog) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}
