/* Sends requests to a neighbour's controllers over connections that stay open. */
#include "cells/links.h"
#include "peer/stream.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_S 1.0
#define REPLY_TIMEOUT_S 2.5

struct controller_connection {
    bool open;
    struct rr_receive_buffer receive_buffer; /* contains the socket; valid if open */
};

struct rr_cells_client {
    const rr_neighbour_cell *cell;
    const struct rr_endpoint *local_endpoint; /* neighbours expect connections from its address */
    const atomic_bool *stop;
    struct controller_connection connections[RR_CONTROLLERS_MAX]; /* by index of the controller */
    GHashTable *planner_by_team; /* team -> index of the controller that plans it, plus 1; owned */
    size_t next_controller; /* to ask if the planner is not known; index modulo controller_count */
};

rr_cells_client *rr_cells_client_create(const rr_cells_settings *settings, size_t neighbour,
                                        const atomic_bool *stop) {
    rr_cells_client *client = g_new0(rr_cells_client, 1);
    client->cell = &settings->neighbours[neighbour];
    client->local_endpoint = &settings->listen_endpoint;
    client->stop = stop;
    client->planner_by_team = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return client;
}

static void close_connection(struct controller_connection *connection) {
    if (connection->open) {
        close(connection->receive_buffer.fd);
        rr_receive_buffer_clear(&connection->receive_buffer);
        connection->open = false;
    }
}

void rr_cells_client_destroy(rr_cells_client *client) {
    if (!client) {
        return;
    }
    for (size_t i = 0; i < client->cell->controller_count; i++) {
        close_connection(&client->connections[i]);
    }
    g_hash_table_destroy(client->planner_by_team);
    g_free(client);
}

/* Returns the index of the controller that plans the team, or of the controller to ask next. */
static size_t choose_controller(const rr_cells_client *client, const char *team) {
    guint planner = GPOINTER_TO_UINT(g_hash_table_lookup(client->planner_by_team, team));
    return planner > 0 ? planner - 1 : client->next_controller % client->cell->controller_count;
}

/* Returns 0, or -errno. */
static int open_connection(const rr_cells_client *client, size_t controller,
                           struct controller_connection *connection) {
    int fd = rr_stream_connect(client->local_endpoint,
                               &client->cell->controllers[controller].endpoint, CONNECT_TIMEOUT_S);
    if (fd < 0) {
        return fd;
    }
    rr_receive_buffer_init(&connection->receive_buffer, fd);
    connection->open = true;
    return 0;
}

/* Unpacks the reply. Returns 0, or -EBADMSG or -EPROTO. */
static int read_reply(uint8_t type, const rr_frame_reader *payload, rr_cells_reply *reply) {
    rr_cells_reply_clear(reply); /* rr_cells_reply_unpack() initialises it again */
    int rc = rr_cells_reply_unpack(payload->next, payload->bytes_left, reply);
    return rc == 0 && type != RR_FRAME_CELLS_REPLY ? -EBADMSG : rc;
}

/* Sends the request and receives the reply. Returns 0, or -errno. */
static int exchange_frames(const rr_cells_client *client, struct controller_connection *connection,
                           const rr_cells_request *request, rr_cells_reply *reply) {
    rr_frame_reader payload;
    uint8_t type;
    GByteArray *frame = g_byte_array_new();
    rr_cells_request_pack(request, frame);
    int rc = rr_stream_send(connection->receive_buffer.fd, frame->data, frame->len);
    if (rc == 0) {
        rc = rr_stream_receive_frame(client->stop, &connection->receive_buffer, &type, &payload,
                                     REPLY_TIMEOUT_S);
    }
    if (rc == 0) {
        rc = read_reply(type, &payload, reply);
    }
    g_byte_array_free(frame, TRUE);
    return rc;
}

/* Remembers the planner that a NOT_OWNER reply names. If it names none, the next request goes to
 * another controller. */
static void update_planner(rr_cells_client *client, const char *team, const rr_cells_reply *reply) {
    if (reply->status != RR_CELLS_NOT_OWNER) {
        return;
    }
    g_hash_table_remove(client->planner_by_team, team);
    client->next_controller++;
    for (size_t i = 0; i < client->cell->controller_count; i++) {
        if (strcmp(client->cell->controllers[i].name, reply->owner) == 0) {
            g_hash_table_replace(client->planner_by_team, g_strdup(team), GUINT_TO_POINTER(i + 1));
        }
    }
}

int rr_cells_send_request(rr_cells_client *client, const rr_cells_request *request,
                          rr_cells_reply *reply) {
    size_t controller = choose_controller(client, request->team);
    struct controller_connection *connection = &client->connections[controller];
    rr_cells_reply_init(reply);
    int rc = connection->open ? 0 : open_connection(client, controller, connection);
    if (rc == 0) {
        rc = exchange_frames(client, connection, request, reply);
    }
    if (rc == 0) {
        update_planner(client, request->team, reply);
        return 0;
    }
    /* The next request goes to another controller, even if this one plans the team: it may be
     * gone. */
    close_connection(connection);
    g_hash_table_remove(client->planner_by_team, request->team);
    client->next_controller = controller + 1;
    return rc;
}
