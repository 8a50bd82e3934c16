#include "peer/cancellations.h"

#include "peer/frame.h"
#include "wire/wire.h"

#define CANCELLATIONS_MAX 512u /* entries; far fewer than a frame can hold */

/* The cancellation of one job. */
struct cancellation {
    char job_id[RR_ID_SIZE];
    double expires_at; /* by the steady clock */
    bool announced;
    unsigned delivery_generation; /* in which the entry was last announced, if it was */
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

void rr_cancellations_add(rr_cancellations *list, const char *job_id, double expires_at) {
    struct cancellation *added = g_new0(struct cancellation, 1);
    g_strlcpy(added->job_id, job_id, sizeof added->job_id);
    added->expires_at = expires_at;
    if (g_queue_get_length(&list->queue) >= CANCELLATIONS_MAX) {
        g_free(g_queue_pop_head(&list->queue));
    }
    g_queue_push_tail(&list->queue, added);
}

static bool is_announcement_pending(const struct cancellation *cancellation,
                                    unsigned delivery_generation) {
    return !cancellation->announced || cancellation->delivery_generation != delivery_generation;
}

/* Removes expired entries from the front. All cancellations are announced for the same time, so
 * the oldest entry expires first. An expired entry behind one that has not expired stays. */
static void remove_expired(rr_cancellations *list, double now) {
    const struct cancellation *oldest = g_queue_peek_head(&list->queue);
    while (oldest && oldest->expires_at < now) {
        g_free(g_queue_pop_head(&list->queue));
        oldest = g_queue_peek_head(&list->queue);
    }
}

bool rr_cancellations_has_pending(rr_cancellations *list, unsigned delivery_generation,
                                  double now) {
    remove_expired(list, now);
    /* All pending entries are announced together, so the newest is pending if any entry is. */
    const struct cancellation *newest = g_queue_peek_tail(&list->queue);
    return newest && is_announcement_pending(newest, delivery_generation);
}

void rr_cancellations_put_frame(rr_cancellations *list, unsigned delivery_generation,
                                GByteArray *out) {
    uint16_t count = 0;
    for (const GList *node = list->queue.head; node; node = node->next) {
        count += is_announcement_pending(node->data, delivery_generation);
    }
    guint start = rr_frame_begin(out, RR_FRAME_CANCELLED);
    rr_frame_put_u16(out, count);
    for (const GList *node = list->queue.head; node; node = node->next) {
        struct cancellation *cancellation = node->data;
        if (is_announcement_pending(cancellation, delivery_generation)) {
            rr_frame_put_text(out, cancellation->job_id);
            cancellation->announced = true;
            cancellation->delivery_generation = delivery_generation;
        }
    }
    rr_frame_end(out, start);
}
