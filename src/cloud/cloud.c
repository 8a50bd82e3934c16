#include "cloud/cloud.h"
#include "common/clock.h"
#include "wire/wire_words.h"

#include <errno.h>

#define LIST_PAGE_MACHINES 500 /* machines per page */
#define LIST_PAGES_MAX 100
#define CALL_TIMEOUT_S 4.0
#define REPLY_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define USED_LIMIT_FRACTION 0.8 /* fraction of the cloud's request rate limit that is used */
#define PATH_SIZE 160

#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

struct rr_cloud {
    struct rr_endpoint endpoint;
    rr_http_client *client;
    double call_interval_s; /* shortest time between the starts of two calls */
    double next_call_at;    /* earliest start of the next call; steady clock, seconds */
};

rr_cloud *rr_cloud_create(const struct rr_endpoint *endpoint, double rps, const atomic_bool *stop) {
    rr_cloud *cloud = g_new0(rr_cloud, 1);
    cloud->endpoint = *endpoint;
    cloud->call_interval_s = 1.0 / (USED_LIMIT_FRACTION * rps);
    cloud->client = rr_http_client_create(stop);
    if (!cloud->client) {
        g_free(cloud);
        return NULL;
    }
    return cloud;
}

void rr_cloud_destroy(rr_cloud *cloud) {
    if (cloud) {
        rr_http_client_destroy(cloud->client);
        g_free(cloud);
    }
}

/* Sleeps until the request rate limit allows the next call. */
static void wait_for_rate_limit(rr_cloud *cloud) {
    rr_sleep(cloud->next_call_at - rr_steady_clock_s());
    cloud->next_call_at = rr_steady_clock_s() + cloud->call_interval_s;
}

/* Sends one request; body may be NULL. Returns 0 if the status is 200 and the body a map, which is
 * then in *document for the caller to clear. Otherwise returns an error as described in cloud.h for
 * all calls, with nothing to clear; *reply is set if there was a reply. */
static int send_request(rr_cloud *cloud, const char *method, const char *path,
                        const rr_encoder *body, rr_http_reply *reply, rr_document *document) {
    wait_for_rate_limit(cloud);
    struct rr_http_call call = {.method = method,
                                .endpoint = &cloud->endpoint,
                                .path = path,
                                .body = body ? body->buffer.data : NULL,
                                .body_bytes = body ? body->buffer.size : 0,
                                .timeout_s = CALL_TIMEOUT_S,
                                .reply_bytes_max = REPLY_BYTES_MAX};
    int rc = rr_http_client_call(cloud->client, &call, reply);
    if (rc != 0) {
        return rc;
    }
    if (reply->status != HTTP_OK) {
        return -EAGAIN;
    }
    if (rr_document_parse(document, reply->body->data, reply->body->len) != 0 ||
        !rr_object_is_map(document->root)) {
        rr_document_clear(document);
        return -EBADMSG;
    }
    return 0;
}

/* Returns the list at a key, or NULL if the key is missing or its value is not a list. */
static const msgpack_object_array *get_list(const rr_document *document, const char *key) {
    const msgpack_object *list = rr_map_get(document->root, key);
    return list && list->type == MSGPACK_OBJECT_ARRAY ? &list->via.array : NULL;
}

int rr_cloud_get_catalog(rr_cloud *cloud, GArray *machine_types) {
    rr_http_reply reply;
    rr_document document;
    int rc = send_request(cloud, "GET", RR_PATH_CATALOG, NULL, &reply, &document);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object_array *list = get_list(&document, RR_WORD_MACHINE_TYPES);
    rc = list ? 0 : -EBADMSG;
    for (uint32_t i = 0; rc == 0 && i < list->size; i++) {
        rr_machine_type type;
        rc = rr_machine_type_decode(&list->ptr[i], &type);
        if (rc == 0) {
            g_array_append_val(machine_types, type);
        } else {
            rr_machine_type_clear(&type);
        }
    }
    rr_document_clear(&document);
    return rc;
}

/* Reads one page of the list, with the machines after last_id (empty: from the start), and appends
 * them. last_id is set to the page's last machine, *more to whether further pages follow. */
static int read_list_page(rr_cloud *cloud, char *last_id, size_t size, GArray *machines,
                          bool *more) {
    char path[PATH_SIZE];
    rr_http_reply reply;
    rr_document document;
    g_snprintf(path, sizeof path, RR_PATH_MACHINES "?" RR_WORD_LIMIT "=%d%s%s", LIST_PAGE_MACHINES,
               last_id[0] ? "&" RR_WORD_FROM "=" : "", last_id);
    int rc = send_request(cloud, "GET", path, NULL, &reply, &document);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object_array *list = get_list(&document, RR_WORD_MACHINES);
    rc = list ? 0 : -EBADMSG;
    for (uint32_t i = 0; rc == 0 && i < list->size; i++) {
        rr_listed_machine listed;
        rc = rr_listed_machine_decode(&list->ptr[i], &listed);
        if (rc == 0) {
            g_array_append_val(machines, listed);
            g_strlcpy(last_id, listed.id, size);
        }
    }
    *more = false;
    rr_map_get_bool(document.root, RR_WORD_MORE, more);
    rr_document_clear(&document);
    return rc;
}

int rr_cloud_list_machines(rr_cloud *cloud, GArray *machines) {
    char last_id[RR_ID_SIZE] = "";
    bool more = true;
    int rc = 0;
    for (int page = 0; more && rc == 0; page++) {
        rc = page < LIST_PAGES_MAX ? read_list_page(cloud, last_id, sizeof last_id, machines, &more)
                                   : -E2BIG;
    }
    return rc;
}

static void encode_rental_request(rr_encoder *body, const char *rental, const char *machine_type,
                                  const char *zone, bool spot, int count) {
    rr_encode_map(body, 5);
    rr_encode_key_text(body, RR_WORD_RENTAL, rental);
    rr_encode_key_text(body, RR_WORD_MACHINE_TYPE, machine_type);
    rr_encode_key_text(body, RR_WORD_ZONE, zone);
    rr_encode_key_bool(body, RR_WORD_SPOT, spot);
    rr_encode_key_u64(body, RR_WORD_RENTAL_COUNT, (uint64_t)count);
}

/* Returns whether a 503 means that the cloud has no capacity. An outage causes a 503, too, but then
 * the outcome is unknown; the error text tells the two apart. */
static bool is_no_capacity(const rr_http_reply *reply) {
    rr_document document;
    rr_document_parse(&document, reply->body->data, reply->body->len);
    const msgpack_object *error = rr_map_get(document.root, RR_WORD_ERROR);
    bool no_capacity = rr_object_text_equals(error, RR_WORD_NO_CAPACITY);
    rr_document_clear(&document);
    return no_capacity;
}

static void append_machine_names(const rr_document *document, GPtrArray *ids) {
    const msgpack_object_array *list = get_list(document, RR_WORD_MACHINES);
    for (uint32_t i = 0; list && i < list->size; i++) {
        char id[RR_ID_SIZE];
        if (rr_object_get_text(&list->ptr[i], id, sizeof id)) {
            g_ptr_array_add(ids, g_strdup(id));
        }
    }
}

int rr_cloud_rent_machines(rr_cloud *cloud, const char *rental, const char *machine_type,
                           const char *zone, bool spot, int count, int *status, GPtrArray *ids) {
    rr_http_reply reply = {0};
    rr_document document;
    rr_encoder body;
    rr_encoder_init(&body);
    encode_rental_request(&body, rental, machine_type, zone, spot, count);
    int rc = send_request(cloud, "POST", RR_PATH_MACHINES, &body, &reply, &document);
    rr_encoder_clear(&body);
    *status = 0;
    if (rc == 0) {
        append_machine_names(&document, ids);
        rr_document_clear(&document);
        *status = HTTP_OK;
    } else if (rc == -EAGAIN && reply.status == HTTP_UNAVAILABLE && is_no_capacity(&reply)) {
        *status = HTTP_UNAVAILABLE;
    }
    return rc;
}

int rr_cloud_release_machines(rr_cloud *cloud, const GPtrArray *ids) {
    rr_http_reply reply = {0};
    rr_document document;
    rr_encoder body;
    rr_encoder_init(&body);
    rr_encode_map(&body, 1);
    rr_encode_text(&body, RR_WORD_MACHINES);
    rr_encode_array(&body, ids->len);
    for (guint i = 0; i < ids->len; i++) {
        rr_encode_text(&body, g_ptr_array_index(ids, i));
    }
    int rc = send_request(cloud, "POST", RR_PATH_RELEASE, &body, &reply, &document);
    rr_encoder_clear(&body);
    if (rc == 0) {
        rr_document_clear(&document);
    }
    /* A 200 is a success even if its body can't be decoded: nothing in the body is needed. */
    return rc == -EBADMSG && reply.status == HTTP_OK ? 0 : rc;
}
