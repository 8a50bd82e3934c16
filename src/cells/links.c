#include "cells/links.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/thread.h"
#include "common/usage.h"
#include "net/socket.h"
#include "peer/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_S 60.0
#define SEND_S 5.0
#define DIAL_S 1.0
#define REPLY_S 2.5
#define BACKLOG 64
#define LOG_EVERY_S 10.0

struct rr_cells_links {
    const rr_cells_settings *settings;
    const atomic_bool *stop;
    rr_cells_serve_fn serve;
    rr_cells_context_fn end;
    void *user;
    int listener;
    pthread_t acceptor;
    bool accepting;
    pthread_mutex_t lock;
    pthread_cond_t ended;
    int connections;            /* under lock */
    rr_cells_links_stats stats; /* under lock */
    double logged_at;           /* the acceptor's */
};

struct connection {
    rr_cells_links *links;
    int fd;
    size_t neighbour;
};

static void count(rr_cells_links *links, uint64_t *counter) {
    pthread_mutex_lock(&links->lock);
    (*counter)++;
    pthread_mutex_unlock(&links->lock);
}

/* ---- serving ---- */

/* What the connection's address and the frame say must agree. */
static enum rr_cells_status check(const struct connection *connection, int unpacked,
                                  const rr_cells_request *request) {
    const rr_cells_settings *settings = connection->links->settings;
    if (unpacked != 0) {
        return unpacked == -EPROTO ? RR_CELLS_VERSION_UNKNOWN : RR_CELLS_MALFORMED;
    }
    bool ours = strcmp(request->to, settings->name) == 0 &&
                strcmp(request->from, settings->neighbours[connection->neighbour].name) == 0;
    return ours ? RR_CELLS_OK : RR_CELLS_WRONG_CELL;
}

/* False: the connection ends. */
static bool serve_one(struct connection *connection, void **context, uint8_t type,
                      const rr_frame_reader *payload) {
    rr_cells_links *links = connection->links;
    if (type != RR_FRAME_CELLS) {
        count(links, &links->stats.refused);
        return false;
    }
    rr_cells_request request;
    rr_cells_reply reply;
    rr_cells_reply_init(&reply);
    int unpacked = rr_cells_request_unpack(payload->next, payload->bytes_left, &request);
    reply.status = check(connection, unpacked, &request);
    if (reply.status == RR_CELLS_OK) {
        links->serve(links->user, context, connection->neighbour, &request, &reply);
    } else {
        count(links, &links->stats.refused);
        rr_log(RR_DEBUG_LEVEL, "cells: a request from %s is refused: %s",
               links->settings->neighbours[connection->neighbour].name,
               rr_cells_status_name(reply.status));
    }
    GByteArray *out = g_byte_array_new();
    rr_cells_reply_pack(&reply, out);
    bool sent = rr_peer_send(connection->fd, out->data, out->len) == 0;
    g_byte_array_free(out, TRUE);
    rr_cells_request_clear(&request);
    rr_cells_reply_clear(&reply);
    return sent;
}

static void *connection_main(void *argument) {
    struct connection *connection = argument;
    rr_cells_links *links = connection->links;
    struct rr_inbox inbox;
    rr_frame_reader payload;
    uint8_t type;
    void *context = NULL;
    rr_usage_enter(RR_USAGE_CELLS);
    rr_inbox_init(&inbox, connection->fd);
    rr_peer_set_timeouts(connection->fd, SEND_S);
    while (rr_peer_receive(links->stop, &inbox, &type, &payload, IDLE_S) == 0 &&
           serve_one(connection, &context, type, &payload)) {
    }
    close(connection->fd);
    rr_inbox_clear(&inbox);
    if (context) {
        links->end(context);
    }
    rr_usage_leave();
    g_free(connection);
    pthread_mutex_lock(&links->lock);
    links->connections--;
    pthread_cond_broadcast(&links->ended);
    pthread_mutex_unlock(&links->lock);
    return NULL;
}

static int neighbour_at(const rr_cells_settings *settings, const struct in_addr *address) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (rr_networks_contain(settings->neighbours[i].networks, address)) {
            return (int)i;
        }
    }
    return -1;
}

static void log_unknown_peer(rr_cells_links *links, const struct in_addr *address) {
    char text[INET_ADDRSTRLEN] = "";
    if (rr_steady_clock_s() - links->logged_at >= LOG_EVERY_S) {
        links->logged_at = rr_steady_clock_s();
        inet_ntop(AF_INET, address, text, sizeof text);
        rr_log(RR_INFO_LEVEL, "cells: %s is in no neighbour's networks; connection closed", text);
    }
}

static bool take_place(rr_cells_links *links) {
    pthread_mutex_lock(&links->lock);
    bool room = links->connections < RR_CELLS_CONNECTIONS;
    links->connections += room;
    links->stats.crowded += !room;
    pthread_mutex_unlock(&links->lock);
    return room;
}

static void take_connection(rr_cells_links *links, int fd, const struct in_addr *address) {
    int neighbour = neighbour_at(links->settings, address);
    if (neighbour < 0) {
        count(links, &links->stats.unknown_peers);
        log_unknown_peer(links, address);
        close(fd);
        return;
    }
    if (!take_place(links)) {
        close(fd);
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    *connection = (struct connection){links, fd, (size_t)neighbour};
    if (rr_thread_start(NULL, connection_main, connection, true) != 0) {
        close(fd);
        g_free(connection);
        pthread_mutex_lock(&links->lock);
        links->connections--;
        pthread_mutex_unlock(&links->lock);
    }
}

static void *accept_main(void *argument) {
    rr_cells_links *links = argument;
    while (!atomic_load(links->stop)) {
        struct pollfd ready = {links->listener, POLLIN, 0};
        struct sockaddr_in from;
        socklen_t size = sizeof from;
        if (poll(&ready, 1, 500) <= 0) {
            continue;
        }
        int fd = accept4(links->listener, (struct sockaddr *)&from, &size, SOCK_CLOEXEC);
        if (fd >= 0) {
            take_connection(links, fd, &from.sin_addr);
        } else {
            rr_sleep(0.1); /* out of sockets: not a loop */
        }
    }
    return NULL;
}

int rr_cells_links_start(const rr_cells_settings *settings, const atomic_bool *stop,
                         rr_cells_serve_fn serve, rr_cells_context_fn end, void *user,
                         rr_cells_links **out) {
    rr_cells_links *links = g_new0(rr_cells_links, 1);
    links->settings = settings;
    links->stop = stop;
    links->serve = serve;
    links->end = end;
    links->user = user;
    links->logged_at = -LOG_EVERY_S;
    pthread_mutex_init(&links->lock, NULL);
    pthread_cond_init(&links->ended, NULL);
    links->listener = rr_socket_listen(&settings->listen, BACKLOG);
    int rc = links->listener < 0 ? links->listener : 0;
    if (rc == 0) {
        rc = rr_thread_start(&links->acceptor, accept_main, links, false);
        links->accepting = rc == 0;
    }
    if (rc != 0) {
        rr_cells_links_destroy(links);
        links = NULL;
    }
    *out = links;
    return rc;
}

void rr_cells_links_destroy(rr_cells_links *links) {
    if (!links) {
        return;
    }
    if (links->accepting) {
        pthread_join(links->acceptor, NULL);
    }
    pthread_mutex_lock(&links->lock);
    while (links->connections > 0) {
        pthread_cond_wait(&links->ended, &links->lock);
    }
    pthread_mutex_unlock(&links->lock);
    if (links->listener >= 0) {
        close(links->listener);
    }
    pthread_mutex_destroy(&links->lock);
    pthread_cond_destroy(&links->ended);
    g_free(links);
}

void rr_cells_links_get_stats(rr_cells_links *links, rr_cells_links_stats *out) {
    pthread_mutex_lock(&links->lock);
    *out = links->stats;
    pthread_mutex_unlock(&links->lock);
}

/* ---- asking ---- */

struct line {
    bool open;
    struct rr_inbox in;
};

struct rr_cells_client {
    const rr_cell *cell;
    const struct rr_endpoint *own; /* its address is where neighbours expect connections from */
    const atomic_bool *stop;
    struct line lines[RR_CONTROLLERS_MAX]; /* by controller */
    GHashTable *planners;                  /* team -> index of the controller that plans it, + 1 */
    size_t next;                           /* the one to ask where that is not known */
};

rr_cells_client *rr_cells_client_create(const rr_cells_settings *settings, size_t neighbour,
                                        const atomic_bool *stop) {
    rr_cells_client *client = g_new0(rr_cells_client, 1);
    client->cell = &settings->neighbours[neighbour];
    client->own = &settings->listen;
    client->stop = stop;
    client->planners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return client;
}

static void close_connection(struct line *line) {
    if (line->open) {
        close(line->in.fd);
        rr_inbox_clear(&line->in);
        line->open = false;
    }
}

void rr_cells_client_destroy(rr_cells_client *client) {
    if (client) {
        for (size_t i = 0; i < client->cell->controller_count; i++) {
            close_connection(&client->lines[i]);
        }
        g_hash_table_destroy(client->planners);
        g_free(client);
    }
}

static size_t choose(const rr_cells_client *client, const char *team) {
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(client->planners, team));
    return known > 0 ? known - 1 : client->next % client->cell->controller_count;
}

static int open_line(const rr_cells_client *client, size_t controller, struct line *line) {
    int fd = rr_peer_dial(client->own, &client->cell->controllers[controller].endpoint, DIAL_S);
    if (fd < 0) {
        return fd;
    }
    rr_inbox_init(&line->in, fd);
    line->open = true;
    return 0;
}

static int exchange(const rr_cells_client *client, struct line *line, const GByteArray *frame,
                    rr_cells_reply *reply) {
    rr_frame_reader payload;
    uint8_t type;
    int rc = rr_peer_send(line->in.fd, frame->data, frame->len);
    rc = rc == 0 ? rr_peer_receive(client->stop, &line->in, &type, &payload, REPLY_S) : rc;
    if (rc == 0) {
        rr_cells_reply_clear(reply);
        rc = rr_cells_reply_unpack(payload.next, payload.bytes_left, reply);
        rc = rc == 0 && type != RR_FRAME_CELLS_REPLY ? -EBADMSG : rc;
    }
    return rc;
}

static void learn_planner(rr_cells_client *client, const char *team, const rr_cells_reply *reply) {
    if (reply->status != RR_CELLS_NOT_OWNER) {
        return;
    }
    g_hash_table_remove(client->planners, team);
    client->next++;
    for (size_t i = 0; i < client->cell->controller_count; i++) {
        if (strcmp(client->cell->controllers[i].name, reply->owner) == 0) {
            g_hash_table_replace(client->planners, g_strdup(team), GUINT_TO_POINTER(i + 1));
        }
    }
}

int rr_cells_ask(rr_cells_client *client, const rr_cells_request *request, rr_cells_reply *reply) {
    size_t controller = choose(client, request->team);
    struct line *line = &client->lines[controller];
    GByteArray *frame = g_byte_array_new();
    bool kept = line->open;
    rr_cells_reply_init(reply);
    rr_cells_request_pack(request, frame);
    int rc = kept ? 0 : open_line(client, controller, line);
    rc = rc == 0 ? exchange(client, line, frame, reply) : rc;
    if (rc == 0) {
        learn_planner(client, request->team, reply);
    } else {
        /* Another controller next time, also where this one plans the team: it may be gone. */
        close_connection(line);
        g_hash_table_remove(client->planners, request->team);
        client->next = controller + 1;
    }
    g_byte_array_free(frame, TRUE);
    return rc;
}
