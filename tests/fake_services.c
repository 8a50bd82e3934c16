/* HTTP endpoints of the fake services, their start and stop, and the functions that inject
 * failures. */
#include "fake_services_internal.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

/* ---- endpoints ---- */

/* Passes the request to the service that the path belongs to. Returns the HTTP status. */
static int route_request(const struct fake_endpoint *endpoint, struct MHD_Connection *connection,
                         const char *path, const char *method, const msgpack_object *request,
                         rr_encoder *out) {
    if (fake_cloud_serves(path)) {
        return fake_cloud_answer(endpoint->services, path, method, out);
    }
    if (fake_worker_serves(path)) {
        return fake_worker_answer(endpoint->services, path, request, out);
    }
    if (fake_store_service_serves(path)) {
        return fake_store_service_answer(endpoint, connection, path, method, request, out);
    }
    return 404;
}

static bool contains_text(const GByteArray *body, const char *text) {
    return memmem(body->data, body->len, text, strlen(text)) != NULL;
}

/* Returns whether the answer to this request is dropped: it is the first commit of a job's record
 * since a test asked for that. Clears the test's request then. */
static bool consume_answer_drop(struct fake_store_service *store, const char *path,
                                const GByteArray *body) {
    bool is_dropped =
        store->drop_next_answer && strcmp(path, "/commit") == 0 && contains_text(body, "req-");
    store->drop_next_answer = store->drop_next_answer && !is_dropped;
    return is_dropped;
}

/* As consume_answer_drop(), for the first commit with a key of the prefix that a test has named;
 * freezes the endpoint's watches then. */
static bool consume_answer_loss(struct fake_endpoint *endpoint, const char *path,
                                const GByteArray *body) {
    struct fake_store_service *store = &endpoint->services->store;
    if (!store->lost_key_prefix || strcmp(path, "/commit") != 0 ||
        !contains_text(body, store->lost_key_prefix)) {
        return false;
    }
    store->lost_key_prefix = NULL;
    endpoint->frozen_until = rr_steady_clock_s() + store->watch_freeze_s;
    return true;
}

/* Answers a request whose body is complete. Takes the lock. */
static enum MHD_Result answer_request(struct fake_endpoint *endpoint,
                                      struct MHD_Connection *connection, const char *path,
                                      const char *method, const GByteArray *body) {
    fake_services *services = endpoint->services;
    rr_document document;
    rr_encoder out;
    rr_document_parse(&document, body->data, body->len);
    rr_encoder_init(&out);
    pthread_mutex_lock(&services->lock);
    /* The freeze begins before the change, which no open watch may deliver. */
    bool lost = consume_answer_loss(endpoint, path, body);
    int status = route_request(endpoint, connection, path, method, document.root, &out);
    bool dropped = consume_answer_drop(&services->store, path, body) || lost;
    pthread_mutex_unlock(&services->lock);
    rr_document_clear(&document);
    enum MHD_Result result = MHD_NO; /* closes the connection */
    if (!dropped) {
        struct MHD_Response *reply = MHD_create_response_from_buffer(
            out.buffer.size, out.buffer.data, MHD_RESPMEM_MUST_COPY);
        result = MHD_queue_response(connection, (unsigned)status, reply);
        MHD_destroy_response(reply);
    }
    rr_encoder_clear(&out);
    return result;
}

/* libmicrohttpd calls this once for the header, which creates *state, once for each piece of the
 * body, and once with length 0 at the end. */
static enum MHD_Result on_request(void *user, struct MHD_Connection *connection, const char *path,
                                  const char *method, const char *version, const char *data,
                                  size_t *length, void **state) {
    GByteArray *body = *state;
    (void)version;
    if (!body) {
        *state = g_byte_array_new();
        return MHD_YES;
    }
    if (*length) {
        g_byte_array_append(body, (const guint8 *)data, (guint)*length);
        *length = 0;
        return MHD_YES;
    }
    return answer_request(user, connection, path, method, body);
}

static void on_request_completed(void *user, struct MHD_Connection *connection, void **state,
                                 enum MHD_RequestTerminationCode reason) {
    (void)user;
    (void)connection;
    (void)reason;
    if (*state) {
        g_byte_array_free(*state, TRUE);
    }
}

uint16_t fake_services_port(const fake_services *services) {
    return services->port;
}

uint16_t fake_services_add_endpoint(fake_services *services) {
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct fake_endpoint *endpoint = g_new0(struct fake_endpoint, 1);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    endpoint->services = services;
    endpoint->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, on_request, endpoint, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        on_request_completed, NULL, MHD_OPTION_END);
    g_assert(endpoint->daemon);
    g_ptr_array_add(services->endpoints, endpoint);
    return MHD_get_daemon_info(endpoint->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

/* ---- start and stop ---- */

fake_services *fake_services_start(void) {
    fake_services *services = g_new0(fake_services, 1);
    pthread_condattr_t attributes;
    pthread_mutex_init(&services->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&services->changed, &attributes);
    fake_store_service_init(&services->store);
    fake_worker_init(&services->worker);
    services->endpoints = g_ptr_array_new();
    services->port = fake_services_add_endpoint(services);
    pthread_create(&services->worker.thread, NULL, fake_worker_thread, services);
    return services;
}

void fake_services_stop(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    services->stopping = true;
    pthread_cond_broadcast(&services->changed);
    pthread_mutex_unlock(&services->lock);
    pthread_join(services->worker.thread, NULL);
    for (guint i = 0; i < services->endpoints->len; i++) {
        struct fake_endpoint *endpoint = g_ptr_array_index(services->endpoints, i);
        MHD_stop_daemon(endpoint->daemon);
        g_free(endpoint);
    }
    g_ptr_array_free(services->endpoints, TRUE);
    fake_store_service_clear(&services->store);
    fake_worker_clear(&services->worker);
    g_free(services);
}

/* ---- injected failures and worker settings ---- */

static void set_endpoint_failures(fake_services *services, guint index, bool refused, bool frozen) {
    pthread_mutex_lock(&services->lock);
    struct fake_endpoint *endpoint = g_ptr_array_index(services->endpoints, index);
    endpoint->refused = refused;
    endpoint->frozen = frozen;
    pthread_cond_broadcast(&services->changed);
    pthread_mutex_unlock(&services->lock);
}

void fake_services_refuse_endpoint(fake_services *services, unsigned endpoint, bool refused) {
    set_endpoint_failures(services, endpoint, refused, false);
}

void fake_services_freeze_endpoint(fake_services *services, unsigned endpoint, bool frozen) {
    set_endpoint_failures(services, endpoint, false, frozen);
}

/* Defines function `name`, which sets a field under the lock and wakes up the open watches. */
#define DEFINE_SETTER(name, type, value, field)                                                    \
    void name(fake_services *services, type value) {                                               \
        pthread_mutex_lock(&services->lock);                                                       \
        services->field = value;                                                                   \
        pthread_cond_broadcast(&services->changed);                                                \
        pthread_mutex_unlock(&services->lock);                                                     \
    }
DEFINE_SETTER(fake_services_freeze_watches, bool, frozen, store.watches_frozen)
DEFINE_SETTER(fake_services_set_store_down, bool, down, store.down)
DEFINE_SETTER(fake_services_set_task_runtime, double, seconds, worker.task_s)
DEFINE_SETTER(fake_services_set_worker_lease, double, seconds, worker.lease_s)

void fake_services_drop_next_answer(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    services->store.drop_next_answer = true;
    pthread_mutex_unlock(&services->lock);
}

void fake_services_lose_answer(fake_services *services, const char *key_prefix,
                               double watch_freeze_s) {
    pthread_mutex_lock(&services->lock);
    services->store.lost_key_prefix = key_prefix;
    services->store.watch_freeze_s = watch_freeze_s;
    pthread_mutex_unlock(&services->lock);
}

bool fake_services_answer_is_lost(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    bool is_lost = services->store.lost_key_prefix == NULL;
    pthread_mutex_unlock(&services->lock);
    return is_lost;
}

void fake_services_set_zone(fake_services *services, const char *zone) {
    pthread_mutex_lock(&services->lock);
    g_strlcpy(services->worker.zone, zone, sizeof services->worker.zone);
    pthread_mutex_unlock(&services->lock);
}
