#include "net/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

void rr_sockaddr(const struct rr_endpoint *endpoint, struct sockaddr_in *out) {
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons(endpoint->port);
    inet_pton(AF_INET, endpoint->host, &out->sin_addr);
}

int rr_socket_bind(const struct rr_endpoint *endpoint, int flags) {
    struct sockaddr_in address;
    int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    if (fd < 0) {
        return -errno;
    }
    rr_sockaddr(endpoint, &address);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
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
