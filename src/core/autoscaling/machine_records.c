/* The autoscaler's records of machines: pages of the fleet, many machines in each. */
#include "core/autoscaling/autoscaler.h"
#include "core/core_internal.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/transaction.h"
#include "core/scaling.h"

#include <string.h>

#define TXN_KB 48   /* of the store's 64 for a transaction */
#define PAGES_MAX 8 /* pages changed in one step: none of the others may wait long */

/* Pages that change in this step: id -> GPtrArray of the machines they will have. */
struct pages {
    rr_core *core;
    GHashTable *changed;
    int room; /* pages that the transaction takes yet */
};

static size_t page_bytes(const rr_core *core, const GPtrArray *list) {
    size_t count = 64;
    for (guint i = 0; i < list->len; i++) {
        count += rr_machine_page_entry_bytes(core, g_ptr_array_index(list, i));
    }
    return count;
}

static double page_bytes_max(const rr_core *core) {
    return rr_value_kb_max(core->config) * 1024 - 128;
}

/* NULL: not in this step, or not before the page is parted. */
static GPtrArray *change_page(struct pages *pages, uint32_t id) {
    GPtrArray *list = g_hash_table_lookup(pages->changed, GUINT_TO_POINTER(id));
    if (list || pages->room == 0) {
        return list;
    }
    list = g_ptr_array_new();
    for (guint i = 0; i < pages->core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(pages->core->stored.machine_list, i);
        if (machine->recorded && machine->page == id) {
            g_ptr_array_add(list, machine);
        }
    }
    /* Only where it will be parted. A page grows a little as addresses come to be known: where no
     * lower limit is to come it was left alone for good, and none of its machines went back. */
    if (rr_value_kb_max(pages->core->config) < pages->core->config->value_kb &&
        (double)page_bytes(pages->core, list) > page_bytes_max(pages->core)) {
        g_ptr_array_free(list, TRUE);
        return NULL;
    }
    g_hash_table_insert(pages->changed, GUINT_TO_POINTER(id), list);
    pages->room--;
    return list;
}

/* A page from before the limits were lowered, larger than they will allow. Part of its machines are
 * written to a new page first; once the store cache shows them there the old one is written without
 * them. No reader, of whatever version, sees any of them in no page, which would say that it has
 * gone; and a full read, in the order of the keys, finds them in the new one last. */
static void split_page(struct pages *pages, uint32_t id) {
    GPtrArray *moved = g_ptr_array_new();
    size_t left = 64, taken = 64;
    for (guint i = 0; i < pages->core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(pages->core->stored.machine_list, i);
        size_t bytes = machine->recorded && machine->page == id
                           ? rr_machine_page_entry_bytes(pages->core, machine)
                           : 0;
        if (bytes > 0 && (double)(left + bytes) > 0.75 * page_bytes_max(pages->core)) {
            if ((double)(taken + bytes) <= page_bytes_max(pages->core)) {
                g_ptr_array_add(moved, machine);
                taken += bytes;
            }
        } else {
            left += bytes;
        }
    }
    g_hash_table_insert(pages->changed, GUINT_TO_POINTER(pages->core->stored.next_page++), moved);
    pages->room--;
}

struct page_count {
    guint count;
    size_t bytes;
};

/* Pages too large to be written again are parted; those that still name machines which are in
 * another page by now are written anew. */
static void part_pages(struct pages *pages) {
    const rr_core *core = pages->core;
    GHashTable *counts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iter;
    gpointer key, value;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        struct page_count *page_count =
            g_hash_table_lookup(counts, GUINT_TO_POINTER(machine->page));
        if (machine->recorded && !page_count) {
            page_count = g_new0(struct page_count, 1);
            page_count->bytes = 64;
            g_hash_table_insert(counts, GUINT_TO_POINTER(machine->page), page_count);
        }
        if (machine->recorded) {
            page_count->count++;
            page_count->bytes += rr_machine_page_entry_bytes(core, machine);
        }
    }
    g_hash_table_iter_init(&iter, core->stored.pages);
    while (pages->room > 0 && g_hash_table_iter_next(&iter, &key, &value)) {
        const struct page_count *page_count = g_hash_table_lookup(counts, key);
        if (page_count && (double)page_count->bytes > page_bytes_max(core)) {
            split_page(pages, GPOINTER_TO_UINT(key));
        } else if (((const rr_machine_page *)value)->entry_count >
                   (page_count ? page_count->count : 0)) {
            change_page(pages, GPOINTER_TO_UINT(key));
        }
    }
    g_hash_table_destroy(counts);
}

#define PART_EVERY_S 0.5

/* The page that takes one machine more: one that changes anyway, else any with room, else a new
 * one. NULL: not in this step. */
static GPtrArray *page_with_room(struct pages *pages, const rr_machine *machine) {
    double most = page_bytes_max(pages->core);
    size_t need = rr_machine_page_entry_bytes(pages->core, machine);
    GHashTableIter iter;
    gpointer key, value;
    g_hash_table_iter_init(&iter, pages->changed);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if ((double)(page_bytes(pages->core, value) + need) <= most) {
            return value;
        }
    }
    g_hash_table_iter_init(&iter, pages->core->stored.pages);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (!g_hash_table_contains(pages->changed, key) &&
            (double)(64 + ((rr_machine_page *)value)->bytes + need) <= most) {
            return change_page(pages, GPOINTER_TO_UINT(key));
        }
    }
    return change_page(pages, pages->core->stored.next_page++);
}

static bool to_record(const rr_core *core, const rr_machine *machine, double now) {
    if (machine->recorded || machine->gone || machine->machine_type < 0 || machine->zone < 0) {
        return false;
    }
    /* One that only reports have told of: a late copy of a report creates nothing, so it has to
     * answer us first. */
    return machine->to_record ||
           (machine->heartbeat_seen && machine->verified && core->autoscaling.list_read &&
            now - machine->heartbeat_at < 2 * core->config->heartbeat_interval_s &&
            !rr_recently_gone(core, machine->name, now));
}

static void record_machine(struct pages *pages, rr_machine *machine, double now, double wall) {
    GPtrArray *list;
    if (machine->recorded && machine->list_failed) {
        if ((list = change_page(pages, machine->page))) {
            g_ptr_array_remove(list, machine);
        }
    } else if (machine->recorded && machine->to_release != machine->scaling_in) {
        change_page(pages, machine->page); /* written with the new flag; the store cache follows */
    } else if (to_record(pages->core, machine, now) && (list = page_with_room(pages, machine))) {
        machine->created_at = machine->created_at > 0 ? machine->created_at : wall;
        g_ptr_array_add(list, machine);
        rr_log_at(pages->core, RR_LOG_DEBUG, "record %s (%s)", machine->name,
                  machine->operator_owned ? "standing" : "rented");
    }
}

/* Machines that came, are to go back or are gone, many in a change. */
bool rr_autoscaler_step_records(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    rr_transaction *transaction = &out->transaction;
    char key[RR_ID_SIZE];
    GHashTableIter iter;
    gpointer page_key, value;
    int most = (int)(TXN_KB / rr_value_kb_max(core->config));
    most = most < 1 ? 1
           : most > rr_transaction_changes_max(core->config)
               ? rr_transaction_changes_max(core->config)
               : most;
    struct pages pages = {core, g_hash_table_new(NULL, NULL), most < PAGES_MAX ? most : PAGES_MAX};
    if (rr_value_kb_max(core->config) < core->config->value_kb &&
        now - core->autoscaling.pages_split_at > PART_EVERY_S) {
        core->autoscaling.pages_split_at = now;
        part_pages(&pages);
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        record_machine(&pages, g_ptr_array_index(core->stored.machine_list, i), now, wall);
    }
    g_hash_table_iter_init(&iter, pages.changed);
    while (g_hash_table_iter_next(&iter, &page_key, &value)) {
        const rr_machine_page *page = g_hash_table_lookup(core->stored.pages, page_key);
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_machine_page_encode(core, &encoder, value);
        rr_machine_page_key(GPOINTER_TO_UINT(page_key), key, sizeof key);
        rr_transaction_guard(transaction, key, page ? page->version : 0);
        rr_transaction_put(transaction, key, &encoder, 0);
        g_ptr_array_free(value, TRUE);
    }
    g_hash_table_destroy(pages.changed);
    return transaction->changes->len > 0;
}
