/* Command batches that arrive at the fake worker once more, after it has executed and answered
 * them: an interruption of the network may hold packets for any time. */
#include "fake_services_internal.h"

#include "common/clock.h"

struct late_copy {
    double due_at; /* steady time */
    msgpack_sbuffer body;
};

struct fake_late_copies {
    GPtrArray *pending; /* struct late_copy *, owned */
    GRand *random;      /* NULL: batches are not copied */
    double delay_min_s, delay_max_s;
    unsigned taken_count;
};

static void free_copy(gpointer data) {
    struct late_copy *copy = data;
    msgpack_sbuffer_destroy(&copy->body);
    g_free(copy);
}

struct fake_late_copies *fake_late_copies_create(void) {
    struct fake_late_copies *copies = g_new0(struct fake_late_copies, 1);
    copies->pending = g_ptr_array_new_with_free_func(free_copy);
    return copies;
}

void fake_late_copies_destroy(struct fake_late_copies *copies) {
    g_ptr_array_free(copies->pending, TRUE);
    g_clear_pointer(&copies->random, g_rand_free);
    g_free(copies);
}

void fake_late_copies_enable(struct fake_late_copies *copies, unsigned seed, double delay_min_s,
                             double delay_max_s) {
    g_clear_pointer(&copies->random, g_rand_free);
    copies->random = g_rand_new_with_seed(seed);
    copies->delay_min_s = delay_min_s;
    copies->delay_max_s = delay_max_s;
}

static bool has_start(const msgpack_object *batch) {
    const msgpack_object *commands = rr_map_get(batch, "orders");
    for (uint32_t i = 0; commands && i < commands->via.array.size; i++) {
        if (rr_object_text_equals(rr_map_get(&commands->via.array.ptr[i], "verb"), "start")) {
            return true;
        }
    }
    return false;
}

void fake_late_copies_add(struct fake_late_copies *copies, const msgpack_object *batch) {
    if (!copies->random || !has_start(batch)) {
        return;
    }
    struct late_copy *copy = g_new0(struct late_copy, 1);
    msgpack_packer packer;
    msgpack_sbuffer_init(&copy->body);
    msgpack_packer_init(&packer, &copy->body, msgpack_sbuffer_write);
    msgpack_pack_object(&packer, *batch);
    double share = g_rand_double(copies->random);
    copy->due_at = rr_steady_clock_s() + copies->delay_min_s +
                   share * (copies->delay_max_s - copies->delay_min_s);
    g_ptr_array_add(copies->pending, copy);
}

bool fake_late_copies_take_due(struct fake_late_copies *copies, rr_document *batch) {
    double now = rr_steady_clock_s();
    for (guint i = 0; i < copies->pending->len; i++) {
        const struct late_copy *copy = g_ptr_array_index(copies->pending, i);
        if (copy->due_at <= now) {
            int rc = rr_document_parse(batch, copy->body.data, copy->body.size);
            g_assert(rc == 0);
            g_ptr_array_remove_index_fast(copies->pending, i);
            copies->taken_count++;
            return true;
        }
    }
    return false;
}

void fake_late_copies_drop(struct fake_late_copies *copies) {
    g_ptr_array_set_size(copies->pending, 0);
}

unsigned fake_late_copies_count(const struct fake_late_copies *copies) {
    return copies->taken_count;
}
