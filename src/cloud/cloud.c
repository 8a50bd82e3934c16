#include "cloud/cloud.h"
#include "common/clock.h"

#include <errno.h>
#include <string.h>

#define PAGE 500
#define TIMEOUT_S 4.0

struct rr_cloud {
    struct rr_endpoint to;
    rr_client *client;
    double gap_s, next_at; /* calls are spaced to stay well within the limit */
};

rr_cloud *rr_cloud_create(const struct rr_endpoint *endpoint, double rps, const atomic_bool *stop) {
    rr_cloud *cloud = g_new0(rr_cloud, 1);
    cloud->to = *endpoint;
    cloud->gap_s = 1.0 / (0.8 * rps);
    cloud->client = rr_client_create(stop);
    if (!cloud->client) {
        g_free(cloud);
        return NULL;
    }
    return cloud;
}

void rr_cloud_destroy(rr_cloud *cloud) {
    if (cloud) {
        rr_client_destroy(cloud->client);
        g_free(cloud);
    }
}

/* One call; a 200 is parsed into *doc. */
static int call(rr_cloud *cloud, const char *method, const char *path, rr_encoder *body,
                rr_reply *reply, rr_document *document) {
    double now = rr_steady_clock_s();
    rr_sleep(cloud->next_at - now);
    cloud->next_at = rr_steady_clock_s() + cloud->gap_s;
    struct rr_call call = {.method = method,
                           .to = &cloud->to,
                           .path = path,
                           .body = body ? body->buffer.data : NULL,
                           .len = body ? body->buffer.size : 0,
                           .timeout_s = TIMEOUT_S,
                           .answer_max = (size_t)4 * 1024 * 1024};
    int rc = rr_client_call(cloud->client, &call, reply);
    if (rc != 0) {
        return rc;
    }
    if (reply->status != 200) {
        return -EAGAIN;
    }
    if (rr_document_parse(document, reply->body->data, reply->body->len) != 0 ||
        !rr_object_is_map(document->root)) {
        rr_document_clear(document);
        return -EBADMSG;
    }
    return 0;
}

int rr_cloud_catalog(rr_cloud *cloud, GArray *machine_types) {
    rr_reply reply;
    rr_document document;
    int rc = call(cloud, "GET", "/catalog", NULL, &reply, &document);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *list = rr_map_get(document.root, "builds");
    rc = list && list->type == MSGPACK_OBJECT_ARRAY ? 0 : -EBADMSG;
    for (uint32_t i = 0; rc == 0 && i < list->via.array.size; i++) {
        rr_machine_type type;
        rc = rr_machine_type_decode(&list->via.array.ptr[i], &type);
        if (rc == 0) {
            g_array_append_val(machine_types, type);
        } else {
            rr_machine_type_clear(&type);
        }
    }
    rr_document_clear(&document);
    return rc;
}

static int list_page(rr_cloud *cloud, char *from, size_t size, GArray *machines, bool *more) {
    char path[160];
    rr_reply reply;
    rr_document document;
    g_snprintf(path, sizeof path, "/machines?limit=%d%s%s", PAGE, from[0] ? "&from=" : "", from);
    int rc = call(cloud, "GET", path, NULL, &reply, &document);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *list = rr_map_get(document.root, "stones");
    rc = list && list->type == MSGPACK_OBJECT_ARRAY ? 0 : -EBADMSG;
    for (uint32_t i = 0; rc == 0 && i < list->via.array.size; i++) {
        rr_listed_machine listed;
        rc = rr_listed_machine_decode(&list->via.array.ptr[i], &listed);
        if (rc == 0) {
            g_array_append_val(machines, listed);
            g_strlcpy(from, listed.id, size);
        }
    }
    *more = false;
    rr_map_get_bool(document.root, "more", more);
    rr_document_clear(&document);
    return rc;
}

/* Whole or not at all: a machine missing from half a list proves nothing. */
int rr_cloud_list(rr_cloud *cloud, GArray *machines) {
    char from[RR_ID_SIZE] = "";
    bool more = true;
    int rc = 0;
    for (int page = 0; more && rc == 0; page++) {
        rc = page < 100 ? list_page(cloud, from, sizeof from, machines, &more) : -E2BIG;
    }
    return rc;
}

int rr_cloud_rental(rr_cloud *cloud, const char *rental, const char *machine_type, const char *zone,
                    bool spot, int how_many, int *status, GPtrArray *ids) {
    rr_reply reply = {0};
    rr_document document;
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 5);
    rr_encode_key_text(&encoder, "hire", rental);
    rr_encode_key_text(&encoder, "build", machine_type);
    rr_encode_key_text(&encoder, "ward", zone);
    rr_encode_key_bool(&encoder, "loaners", spot);
    rr_encode_key_u64(&encoder, "how_many", (uint64_t)how_many);
    *status = 0;
    int rc = call(cloud, "POST", "/machines", &encoder, &reply, &document);
    rr_encoder_clear(&encoder);
    if (rc == -EAGAIN && reply.status == 503) {
        rr_document encoded;
        rr_document_parse(&encoded, reply.body->data, reply.body->len);
        *status = rr_object_text_equals(rr_map_get(encoded.root, "error"), "no capacity") ? 503 : 0;
        rr_document_clear(&encoded);
        return rc;
    }
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *list = rr_map_get(document.root, "stones");
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        char id[RR_ID_SIZE];
        if (rr_object_text(&list->via.array.ptr[i], id, sizeof id)) {
            g_ptr_array_add(ids, g_strdup(id));
        }
    }
    *status = 200;
    rr_document_clear(&document);
    return 0;
}

int rr_cloud_release(rr_cloud *cloud, const GPtrArray *ids) {
    rr_reply reply = {0};
    rr_document document;
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_text(&encoder, "stones");
    rr_encode_array(&encoder, ids->len);
    for (guint i = 0; i < ids->len; i++) {
        rr_encode_text(&encoder, g_ptr_array_index(ids, i));
    }
    int rc = call(cloud, "POST", "/machines/release", &encoder, &reply, &document);
    rr_encoder_clear(&encoder);
    if (rc == 0) {
        rr_document_clear(&document);
    }
    /* The status decides; its body carries nothing that is needed. */
    return reply.status == 200 && (rc == 0 || rc == -EBADMSG) ? 0 : rc;
}
