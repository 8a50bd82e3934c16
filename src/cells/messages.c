#include "cells/messages.h"
#include "core/submissions.h"
#include "peer/frame.h"

#include <errno.h>
#include <string.h>

#define MICROSECONDS_PER_S 1e6
#define THOUSANDTHS_PER_UNIT 1e3 /* free capacity is sent in thousandths */
#define REPLY_BODY_BYTES_MAX ((uint32_t)RR_BODY_BYTES_MAX)
#define SUBMISSION_BYTES_MAX (16u * 1024)

static void clear_item(gpointer data) {
    rr_cells_item *item = data;
    if (item->submission) {
        g_byte_array_free(item->submission, TRUE);
    }
}

/* An array of rr_cells_item that frees their submissions. */
static GArray *create_items(void) {
    GArray *items = g_array_new(FALSE, TRUE, sizeof(rr_cells_item));
    g_array_set_clear_func(items, clear_item);
    return items;
}

void rr_cells_request_init(rr_cells_request *request, enum rr_cells_request_kind kind) {
    memset(request, 0, sizeof *request);
    request->version = RR_CELLS_VERSION;
    request->kind = kind;
    request->items = create_items();
}

void rr_cells_request_clear(rr_cells_request *request) {
    g_array_free(request->items, TRUE);
    request->items = NULL;
}

void rr_cells_reply_init(rr_cells_reply *reply) {
    memset(reply, 0, sizeof *reply);
    reply->items = create_items();
    reply->body = g_byte_array_new();
}

void rr_cells_reply_clear(rr_cells_reply *reply) {
    g_array_free(reply->items, TRUE);
    g_byte_array_free(reply->body, TRUE);
    reply->items = NULL;
    reply->body = NULL;
}

void rr_cells_add_item(GArray *items, const char *job_id, const rr_transfer_message *message) {
    rr_cells_item item = {.message = *message};
    g_strlcpy(item.job_id, job_id, sizeof item.job_id);
    g_array_append_val(items, item);
}

void rr_cells_add_offer(GArray *items, const rr_transfer_message *offer,
                        const rr_submission *submission, double accepted_at) {
    rr_encoder packed;
    rr_cells_add_item(items, submission->job_id, offer);
    rr_cells_item *item = &g_array_index(items, rr_cells_item, items->len - 1);
    rr_encoder_init(&packed);
    rr_core_encode_job(&packed, submission, accepted_at, false);
    item->submission = g_byte_array_new();
    g_byte_array_append(item->submission, (const guint8 *)packed.buffer.data,
                        (guint)packed.buffer.size);
    rr_encoder_clear(&packed);
}

void rr_cells_request_set_cells(rr_cells_request *request, const rr_cells_settings *settings,
                                size_t neighbour) {
    g_strlcpy(request->from, settings->name, sizeof request->from);
    g_strlcpy(request->to, settings->neighbours[neighbour].name, sizeof request->to);
}

/* ---- packing ---- */

/* Appends the item behind its length, so that unpack_item() can skip fields of later versions. */
static void pack_item(const rr_cells_item *item, GByteArray *out) {
    GByteArray *packed = g_byte_array_new();
    rr_frame_put_u8(packed, (uint8_t)item->message.kind);
    rr_frame_put_text(packed, item->job_id);
    rr_frame_put_u32(packed, item->message.claim);
    rr_frame_put_u8(packed, (uint8_t)item->message.answer);
    rr_frame_put_u64(packed, (uint64_t)(item->message.sent_at * MICROSECONDS_PER_S));
    rr_frame_put_u64(packed, item->message.guest_process);
    rr_frame_put_bytes(packed, item->submission ? item->submission->data : NULL,
                       item->submission ? item->submission->len : 0);
    rr_frame_put_bytes(out, packed->data, packed->len);
    g_byte_array_free(packed, TRUE);
}

static void pack_items(const GArray *items, GByteArray *out) {
    rr_frame_put_u16(out, (uint16_t)items->len);
    for (guint i = 0; i < items->len; i++) {
        pack_item(&g_array_index(items, rr_cells_item, i), out);
    }
}

void rr_cells_request_pack(const rr_cells_request *request, GByteArray *out) {
    guint start = rr_frame_begin(out, RR_FRAME_CELLS);
    rr_frame_put_u8(out, request->version);
    rr_frame_put_u8(out, (uint8_t)request->kind);
    rr_frame_put_text(out, request->from);
    rr_frame_put_text(out, request->to);
    if (request->kind == RR_CELLS_TRANSFERS) {
        rr_frame_put_u64(out, (uint64_t)(request->lease_s * MICROSECONDS_PER_S));
        rr_frame_put_u64(out, (uint64_t)(request->teardown_s * MICROSECONDS_PER_S));
        rr_frame_put_text(out, request->team);
        pack_items(request->items, out);
    } else {
        rr_frame_put_text(out, request->job_id);
    }
    rr_frame_end(out, start);
}

/* Negative amounts are sent as 0. */
static void pack_thousandths(double amount, GByteArray *out) {
    rr_frame_put_u64(out, amount > 0 ? (uint64_t)(amount * THOUSANDTHS_PER_UNIT) : 0);
}

void rr_cells_reply_pack(const rr_cells_reply *reply, GByteArray *out) {
    guint start = rr_frame_begin(out, RR_FRAME_CELLS_REPLY);
    rr_frame_put_u8(out, RR_CELLS_VERSION);
    rr_frame_put_u8(out, (uint8_t)reply->status);
    rr_frame_put_text(out, reply->owner);
    pack_items(reply->items, out);
    rr_frame_put_u16(out, (uint16_t)reply->http_status);
    rr_frame_put_u16(out, (uint16_t)reply->retry_after_s);
    rr_frame_put_bytes(out, reply->body->data, reply->body->len);
    pack_thousandths(reply->room.cpus, out);
    pack_thousandths(reply->room.gpus, out);
    pack_thousandths(reply->room.mem_gb, out);
    rr_frame_end(out, start);
}

/* ---- unpacking ---- */

static bool is_known_kind(uint8_t kind) {
    return kind <= RR_TRANSFER_ACK;
}

/* Returns bytes owned by the caller. NULL: malformed, or longer than length_max, which counts as
 * malformed. */
static GByteArray *unpack_bytes(rr_frame_reader *reader, uint32_t length_max) {
    uint32_t length;
    const uint8_t *data = rr_frame_read_bytes(reader, &length);
    if (reader->malformed || length > length_max) {
        reader->malformed = true;
        return NULL;
    }
    GByteArray *out = g_byte_array_new();
    if (length) {
        g_byte_array_append(out, data, length);
    }
    return out;
}

/* Reads an item, skipping fields that later versions have appended. False: it is malformed. */
static bool unpack_item(rr_frame_reader *reader, rr_cells_item *item) {
    uint32_t length;
    const uint8_t *data = rr_frame_read_bytes(reader, &length);
    rr_frame_reader fields = {data, length, reader->malformed};
    uint8_t kind = rr_frame_read_u8(&fields);
    rr_frame_read_text(&fields, item->job_id, sizeof item->job_id);
    item->message.claim = rr_frame_read_u32(&fields);
    uint8_t answer = rr_frame_read_u8(&fields);
    item->message.sent_at = (double)rr_frame_read_u64(&fields) / MICROSECONDS_PER_S;
    item->message.guest_process = rr_frame_read_u64(&fields);
    item->submission = unpack_bytes(&fields, SUBMISSION_BYTES_MAX);
    item->message.kind = (enum rr_transfer_kind)kind;
    item->message.answer = (enum rr_job_answer)answer;
    bool empty = kind == RR_TRANSFER_NOTHING;
    return !fields.malformed && is_known_kind(kind) && answer <= RR_ANSWER_CANCELLED &&
           (empty || rr_job_id_valid(item->job_id));
}

/* Appends the items read so far also if one is malformed, so that they are freed with the array. */
static bool unpack_items(rr_frame_reader *reader, GArray *items) {
    uint16_t count = rr_frame_read_u16(reader);
    bool readable = !reader->malformed && count <= RR_CELLS_ITEMS_MAX;
    for (uint16_t i = 0; readable && i < count; i++) {
        rr_cells_item item = {0};
        readable = unpack_item(reader, &item);
        g_array_append_val(items, item);
    }
    return readable;
}

int rr_cells_request_unpack(const void *data, size_t length, rr_cells_request *out) {
    rr_frame_reader reader = {data, length, false};
    rr_cells_request_init(out, RR_CELLS_TRANSFERS);
    out->version = rr_frame_read_u8(&reader);
    uint8_t kind = rr_frame_read_u8(&reader);
    rr_frame_read_text(&reader, out->from, sizeof out->from);
    rr_frame_read_text(&reader, out->to, sizeof out->to);
    if (reader.malformed) {
        return -EBADMSG;
    }
    if (out->version < RR_CELLS_VERSION || kind < RR_CELLS_TRANSFERS || kind > RR_CELLS_CANCEL) {
        return -EPROTO;
    }
    out->kind = (enum rr_cells_request_kind)kind;
    bool readable = true;
    if (out->kind == RR_CELLS_TRANSFERS) {
        out->lease_s = (double)rr_frame_read_u64(&reader) / MICROSECONDS_PER_S;
        out->teardown_s = (double)rr_frame_read_u64(&reader) / MICROSECONDS_PER_S;
        rr_frame_read_text(&reader, out->team, sizeof out->team);
        readable = unpack_items(&reader, out->items);
    } else {
        rr_frame_read_text(&reader, out->job_id, sizeof out->job_id);
        readable = rr_job_id_valid(out->job_id);
    }
    return readable && !reader.malformed ? 0 : -EBADMSG;
}

int rr_cells_reply_unpack(const void *data, size_t length, rr_cells_reply *out) {
    rr_frame_reader reader = {data, length, false};
    rr_cells_reply_init(out);
    uint8_t version = rr_frame_read_u8(&reader), status = rr_frame_read_u8(&reader);
    if (!reader.malformed && (version < RR_CELLS_VERSION || status >= RR_CELLS_STATUS_COUNT)) {
        return -EPROTO;
    }
    out->status = (enum rr_cells_status)status;
    rr_frame_read_text(&reader, out->owner, sizeof out->owner);
    if (!unpack_items(&reader, out->items)) {
        return -EBADMSG;
    }
    out->http_status = rr_frame_read_u16(&reader);
    out->retry_after_s = rr_frame_read_u16(&reader);
    GByteArray *body = unpack_bytes(&reader, REPLY_BODY_BYTES_MAX);
    if (body) {
        g_byte_array_free(out->body, TRUE);
        out->body = body;
    }
    out->room.cpus = (double)rr_frame_read_u64(&reader) / THOUSANDTHS_PER_UNIT;
    out->room.gpus = (double)rr_frame_read_u64(&reader) / THOUSANDTHS_PER_UNIT;
    out->room.mem_gb = (double)rr_frame_read_u64(&reader) / THOUSANDTHS_PER_UNIT;
    return reader.malformed ? -EBADMSG : 0;
}

const char *rr_cells_status_name(enum rr_cells_status status) {
    static const char *const names[RR_CELLS_STATUS_COUNT] = {
        "ok", "not the owner", "busy", "version unknown", "malformed", "wrong cell"};
    return status < RR_CELLS_STATUS_COUNT ? names[status] : "unknown";
}
