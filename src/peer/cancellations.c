#include "peer/cancellations.h"

#include "peer/frame.h"
#include "wire/wire.h"

#define CANCELLATIONS_MAX 512u /* far fewer than fill a frame */

struct cancellation {
    char job_id[RR_ID_SIZE];
    double until;
    bool announced;
    unsigned connection; /* over which it was announced last */
};

struct rr_cancellations {
    GQueue queue; /* struct cancellation*, oldest first */
};

rr_cancellations *rr_cancellations_create(void) {
    rr_cancellations *list = g_new0(rr_cancellations, 1);
    g_queue_init(&list->queue);
    return list;
}

void rr_cancellations_destroy(rr_cancellations *list) {
    if (!list) {
        return;
    }
    g_queue_clear_full(&list->queue, g_free);
    g_free(list);
}

void rr_cancellations_add(rr_cancellations *list, const char *job_id, double until) {
    struct cancellation *added = g_new0(struct cancellation, 1);
    g_strlcpy(added->job_id, job_id, sizeof added->job_id);
    added->until = until;
    if (g_queue_get_length(&list->queue) >= CANCELLATIONS_MAX) {
        g_free(g_queue_pop_head(&list->queue));
    }
    g_queue_push_tail(&list->queue, added);
}

static bool is_pending(const struct cancellation *cancellation, unsigned connection) {
    return !cancellation->announced || cancellation->connection != connection;
}

static void remove_expired(rr_cancellations *list, double now) {
    const struct cancellation *oldest = g_queue_peek_head(&list->queue);
    while (oldest && oldest->until < now) {
        g_free(g_queue_pop_head(&list->queue));
        oldest = g_queue_peek_head(&list->queue);
    }
}

bool rr_cancellations_pending(rr_cancellations *list, unsigned connection, double now) {
    remove_expired(list, now);
    /* All pending ones are announced together, so that the newest is pending if any is. */
    const struct cancellation *newest = g_queue_peek_tail(&list->queue);
    return newest && is_pending(newest, connection);
}

void rr_cancellations_put(rr_cancellations *list, unsigned connection, GByteArray *out) {
    uint16_t count = 0;
    for (const GList *node = list->queue.head; node; node = node->next) {
        count += is_pending(node->data, connection);
    }
    guint start = rr_frame_begin(out, RR_FRAME_CANCELLED);
    rr_frame_put_u16(out, count);
    for (const GList *node = list->queue.head; node; node = node->next) {
        struct cancellation *cancellation = node->data;
        if (is_pending(cancellation, connection)) {
            rr_frame_put_text(out, cancellation->job_id);
            cancellation->announced = true;
            cancellation->connection = connection;
        }
    }
    rr_frame_end(out, start);
}
