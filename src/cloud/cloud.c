#include "cloud/cloud.h"
#include "app/clock.h"

#include <errno.h>
#include <string.h>

#define PAGE 500
#define TIMEOUT_S 4.0

struct rr_cloud {
    struct rr_endpoint to;
    rr_client *client;
    double gap_s, next_at; /* calls are spaced to stay well within the limit */
};

rr_cloud *rr_cloud_create(const struct rr_endpoint *to, double rps, const atomic_bool *stop) {
    rr_cloud *c = g_new0(rr_cloud, 1);
    c->to = *to;
    c->gap_s = 1.0 / (0.8 * rps);
    c->client = rr_client_create(stop);
    if (!c->client) {
        g_free(c);
        return NULL;
    }
    return c;
}

void rr_cloud_destroy(rr_cloud *c) {
    if (c) {
        rr_client_destroy(c->client);
        g_free(c);
    }
}

/* One call; a 200 is parsed into *doc. */
static int call(rr_cloud *c, const char *method, const char *path, rr_encoder *body,
                rr_reply *reply, rr_document *doc) {
    double now = rr_steady_clock_s();
    rr_sleep(c->next_at - now);
    c->next_at = rr_steady_clock_s() + c->gap_s;
    struct rr_call k = {.method = method,
                        .to = &c->to,
                        .path = path,
                        .body = body ? body->buffer.data : NULL,
                        .len = body ? body->buffer.size : 0,
                        .timeout_s = TIMEOUT_S,
                        .answer_max = (size_t)4 * 1024 * 1024};
    int rc = rr_client_call(c->client, &k, reply);
    if (rc != 0) {
        return rc;
    }
    if (reply->status != 200) {
        return -EAGAIN;
    }
    if (rr_document_parse(doc, reply->body->data, reply->body->len) != 0 ||
        !rr_object_is_map(doc->root)) {
        rr_document_clear(doc);
        return -EBADMSG;
    }
    return 0;
}

int rr_cloud_catalog(rr_cloud *c, GArray *builds) {
    rr_reply reply;
    rr_document doc;
    int rc = call(c, "GET", "/catalog", NULL, &reply, &doc);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *list = rr_map_get(doc.root, "builds");
    rc = list && list->type == MSGPACK_OBJECT_ARRAY ? 0 : -EBADMSG;
    for (uint32_t i = 0; rc == 0 && i < list->via.array.size; i++) {
        rr_machine_type b;
        rc = rr_machine_type_decode(&list->via.array.ptr[i], &b);
        if (rc == 0) {
            g_array_append_val(builds, b);
        } else {
            rr_machine_type_clear(&b);
        }
    }
    rr_document_clear(&doc);
    return rc;
}

static int list_page(rr_cloud *c, char *from, size_t size, GArray *machines, bool *more) {
    char path[160];
    rr_reply reply;
    rr_document doc;
    g_snprintf(path, sizeof path, "/machines?limit=%d%s%s", PAGE, from[0] ? "&from=" : "", from);
    int rc = call(c, "GET", path, NULL, &reply, &doc);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *list = rr_map_get(doc.root, "stones");
    rc = list && list->type == MSGPACK_OBJECT_ARRAY ? 0 : -EBADMSG;
    for (uint32_t i = 0; rc == 0 && i < list->via.array.size; i++) {
        rr_listed_machine s;
        rc = rr_listed_machine_decode(&list->via.array.ptr[i], &s);
        if (rc == 0) {
            g_array_append_val(machines, s);
            g_strlcpy(from, s.id, size);
        }
    }
    *more = false;
    rr_map_get_bool(doc.root, "more", more);
    rr_document_clear(&doc);
    return rc;
}

/* Whole or not at all: a machine missing from half a list proves nothing. */
int rr_cloud_list(rr_cloud *c, GArray *machines) {
    char from[RR_ID_SIZE] = "";
    bool more = true;
    int rc = 0;
    for (int page = 0; more && rc == 0; page++) {
        rc = page < 100 ? list_page(c, from, sizeof from, machines, &more) : -E2BIG;
    }
    return rc;
}

int rr_cloud_rental(rr_cloud *c, const char *rental, const char *build, const char *zone, bool spot,
                    int how_many, int *status, GPtrArray *ids) {
    rr_reply reply = {0};
    rr_document doc;
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 5);
    rr_encode_key_text(&o, "hire", rental);
    rr_encode_key_text(&o, "build", build);
    rr_encode_key_text(&o, "ward", zone);
    rr_encode_key_bool(&o, "loaners", spot);
    rr_encode_key_u64(&o, "how_many", (uint64_t)how_many);
    *status = 0;
    int rc = call(c, "POST", "/machines", &o, &reply, &doc);
    rr_encoder_clear(&o);
    if (rc == -EAGAIN && reply.status == 503) {
        rr_document e;
        rr_document_parse(&e, reply.body->data, reply.body->len);
        *status = rr_object_text_equals(rr_map_get(e.root, "error"), "no capacity") ? 503 : 0;
        rr_document_clear(&e);
        return rc;
    }
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *list = rr_map_get(doc.root, "stones");
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        char id[RR_ID_SIZE];
        if (rr_object_text(&list->via.array.ptr[i], id, sizeof id)) {
            g_ptr_array_add(ids, g_strdup(id));
        }
    }
    *status = 200;
    rr_document_clear(&doc);
    return 0;
}

int rr_cloud_release(rr_cloud *c, const GPtrArray *ids) {
    rr_reply reply = {0};
    rr_document doc;
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 1);
    rr_encode_text(&o, "stones");
    rr_encode_array(&o, ids->len);
    for (guint i = 0; i < ids->len; i++) {
        rr_encode_text(&o, g_ptr_array_index(ids, i));
    }
    int rc = call(c, "POST", "/machines/release", &o, &reply, &doc);
    rr_encoder_clear(&o);
    if (rc == 0) {
        rr_document_clear(&doc);
    }
    /* The status decides; its body carries nothing that is needed. */
    return reply.status == 200 && (rc == 0 || rc == -EBADMSG) ? 0 : rc;
}
