/* Settings of controllers that use the fake services, and requests of the tests to controllers. */
#include "fake_services_internal.h"

#include "app/settings.h"
#include "net/client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The ports lie below the system's range for outgoing connections (32768 and up). The system could
 * give a port of that range to a connection before the controller listens on it. */
#define FIRST_PORT 10240u
#define PORT_COUNT 20000u
/* Test programs that run at the same time begin their search at different ports. */
#define PORTS_PER_PROCESS 131
#define READ_TIMEOUT_S 20
#define REQUEST_TIMEOUT_S 6

static bool is_port_free(uint16_t port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool is_free = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
    close(fd);
    return is_free;
}

uint16_t fake_services_find_unused_port(void) {
    static unsigned port_offset;
    port_offset = port_offset ? port_offset : (unsigned)getpid() * PORTS_PER_PROCESS;
    uint16_t port;
    do {
        port = (uint16_t)(FIRST_PORT + port_offset++ % PORT_COUNT);
    } while (!is_port_free(port));
    return port;
}

int fake_services_connect(const struct rr_endpoint *endpoint) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(endpoint->port)};
    struct timeval timeout = {READ_TIMEOUT_S, 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    inet_pton(AF_INET, endpoint->host, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (fd >= 0 && connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        close(fd);
        fd = -1;
    }
    return fd;
}

void fake_services_init_config(fake_services *services, struct rr_config *config,
                               const char *name) {
    struct rr_endpoint local = {.host = "127.0.0.1"};
    memset(config, 0, sizeof *config);
    g_strlcpy(config->node_name, name, RR_NAME_SIZE);
    g_strlcpy(config->zone, "a", RR_NAME_SIZE);
    config->bind = config->peer_listen = config->cloud = config->store_endpoint = local;
    config->bind.port = fake_services_find_unused_port();
    config->peer_listen.port = fake_services_find_unused_port();
    config->cloud.port = config->store_endpoint.port = services->port;
    config->team_count = 1;
    g_strlcpy(config->teams[0].name, "red", RR_NAME_SIZE);
    config->heartbeat_interval_s = 0.5;
    config->lease_s = 10;
    config->cancel_s = 40;
    config->store_rps = 2000;
    config->store_write_rps = 1000;
    config->value_kb = 8;
    config->transaction_changes_max = 16;
    config->cloud_rps = 100;
    config->cloud_list_lag_s = 0.5;
    config->max_sockets = 500;
    config->ram_mb = 200;
    rr_tuning_set_defaults(&config->tuning);
    config->tuning.idle_return_s = 1000;
    pthread_mutex_lock(&services->lock);
    services->worker.current_controller = config->bind;
    services->worker.current_controller_index = services->worker.controllers->len;
    g_array_append_val(services->worker.controllers, config->bind);
    pthread_mutex_unlock(&services->lock);
}

int fake_services_request(const struct rr_config *config, const char *method, const char *path,
                          const void *body, size_t length, rr_document *document) {
    rr_http_client *client = rr_http_client_create(NULL);
    rr_http_reply reply;
    struct rr_http_call call = {.method = method,
                                .endpoint = &config->bind,
                                .path = path,
                                .body = body,
                                .body_bytes = length,
                                .timeout_s = REQUEST_TIMEOUT_S,
                                .use_new_connection = true};
    int rc = rr_http_client_call(client, &call, &reply);
    if (rc == 0 && document) {
        rr_document_parse(document, reply.body->data, reply.body->len);
    }
    rr_http_client_destroy(client);
    return rc == 0 ? (int)reply.status : -1;
}

int fake_services_submit(const struct rr_config *config, const rr_submission *submission) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_encode_map(&out, rr_submission_field_count(submission));
    rr_submission_encode_fields(&out, submission);
    int status = fake_services_request(config, "POST", "/submissions", out.buffer.data,
                                       out.buffer.size, NULL);
    rr_encoder_clear(&out);
    return status;
}
