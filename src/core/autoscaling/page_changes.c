/* Collects the changes to pages of machine records for one transaction. */
#include "core/autoscaling/page_changes.h"
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"

/* Size limit for all pages in a transaction; the store accepts transactions of up to 64 KB. */
#define TRANSACTION_KB_MAX 48
/* Limit for the pages changed in one step, so that the other steps do not wait long. */
#define CHANGED_PAGES_MAX 8
/* Minimum time between two searches for large pages. */
#define SPLIT_INTERVAL_S 0.5

/* The size of a page without machines. */
#define EMPTY_PAGE_BYTES 64
/* Left unused in every page, because sizes are estimates. */
#define PAGE_MARGIN_BYTES 128
/* A page that is split keeps this share of the maximum size, because it grows later, as the
 * addresses of its machines become known. */
#define SPLIT_PAGE_FILL 0.75

void rr_page_changes_init(struct rr_page_changes *changes, rr_core *core) {
    int pages = (int)(TRANSACTION_KB_MAX / rr_value_kb_max(core->config));
    pages = MIN(pages, rr_transaction_changes_max(core->config));
    *changes = (struct rr_page_changes){
        .core = core,
        .changed = g_hash_table_new(NULL, NULL),
        .pages_left = CLAMP(pages, 1, CHANGED_PAGES_MAX),
    };
}

void rr_page_changes_put(struct rr_page_changes *changes, rr_transaction *transaction) {
    char key[RR_ID_SIZE];
    GHashTableIter iter;
    gpointer id, machines;
    g_hash_table_iter_init(&iter, changes->changed);
    while (g_hash_table_iter_next(&iter, &id, &machines)) {
        const rr_machine_page *page = g_hash_table_lookup(changes->core->stored.pages, id);
        rr_encoder encoder;
        rr_encoder_init(&encoder);
        rr_machine_page_encode(changes->core, &encoder, machines);
        rr_machine_page_key(GPOINTER_TO_UINT(id), key, sizeof key);
        rr_transaction_guard(transaction, key, page ? page->version : 0);
        rr_transaction_put(transaction, key, &encoder, 0);
        g_ptr_array_free(machines, TRUE);
    }
    g_hash_table_destroy(changes->changed);
}

/* Estimated size of a page with these machines. */
static size_t estimate_page_bytes(const rr_core *core, const GPtrArray *machines) {
    size_t bytes = EMPTY_PAGE_BYTES;
    for (guint i = 0; i < machines->len; i++) {
        bytes += rr_machine_page_entry_bytes(core, g_ptr_array_index(machines, i));
    }
    return bytes;
}

static double compute_page_bytes_max(const rr_core *core) {
    return rr_value_kb_max(core->config) * 1024 - PAGE_MARGIN_BYTES;
}

/* Returns whether the configured next limit of the store is below its present one. */
static bool limits_will_be_lowered(const rr_core *core) {
    return rr_value_kb_max(core->config) < core->config->value_kb;
}

static bool is_on_page(const rr_machine *machine, uint32_t id) {
    return machine->recorded && machine->page == id;
}

/* Adds a page to the changes, which take over the array of its machines. */
static void add_changed_page(struct rr_page_changes *changes, uint32_t id, GPtrArray *machines) {
    g_hash_table_insert(changes->changed, GUINT_TO_POINTER(id), machines);
    changes->pages_left--;
}

GPtrArray *rr_change_page(struct rr_page_changes *changes, uint32_t id) {
    const rr_core *core = changes->core;
    GPtrArray *machines = g_hash_table_lookup(changes->changed, GUINT_TO_POINTER(id));
    if (machines || changes->pages_left == 0) {
        return machines;
    }
    machines = g_ptr_array_new();
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (is_on_page(machine, id)) {
            g_ptr_array_add(machines, machine);
        }
    }
    /* An oversized page is left for rr_split_large_pages() if that will split it. Otherwise it must
     * still be changeable: pages grow slightly over the limit as addresses become known. */
    if (limits_will_be_lowered(core) &&
        (double)estimate_page_bytes(core, machines) > compute_page_bytes_max(core)) {
        g_ptr_array_free(machines, TRUE);
        return NULL;
    }
    add_changed_page(changes, id, machines);
    return machines;
}

GPtrArray *rr_change_page_with_room(struct rr_page_changes *changes, const rr_machine *machine) {
    rr_core *core = changes->core;
    double bytes_max = compute_page_bytes_max(core);
    size_t added = rr_machine_page_entry_bytes(core, machine);
    GHashTableIter iter;
    gpointer id, value;
    g_hash_table_iter_init(&iter, changes->changed);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        if ((double)(estimate_page_bytes(core, value) + added) <= bytes_max) {
            return value;
        }
    }
    g_hash_table_iter_init(&iter, core->stored.pages);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const rr_machine_page *page = value;
        if (!g_hash_table_contains(changes->changed, id) &&
            (double)(EMPTY_PAGE_BYTES + page->bytes + added) <= bytes_max) {
            return rr_change_page(changes, GPOINTER_TO_UINT(id));
        }
    }
    return rr_change_page(changes, core->stored.next_page_id++);
}

/* Writes some of the page's machines to a new page. The old page is rewritten without them only
 * once the store cache shows them on the new one, so that no reader of any version ever finds a
 * machine on no page, which would mean that it has gone. A full reload reads pages in key order and
 * thus finds such a machine on the new page last. */
static void split_page(struct rr_page_changes *changes, uint32_t id) {
    rr_core *core = changes->core;
    GPtrArray *moved = g_ptr_array_new();
    size_t kept_bytes = EMPTY_PAGE_BYTES, moved_bytes = EMPTY_PAGE_BYTES;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (!is_on_page(machine, id)) {
            continue;
        }
        size_t bytes = rr_machine_page_entry_bytes(core, machine);
        if ((double)(kept_bytes + bytes) <= SPLIT_PAGE_FILL * compute_page_bytes_max(core)) {
            kept_bytes += bytes;
        } else if ((double)(moved_bytes + bytes) <= compute_page_bytes_max(core)) {
            g_ptr_array_add(moved, machine);
            moved_bytes += bytes;
        }
    }
    add_changed_page(changes, core->stored.next_page_id++, moved);
}

/* The machines that belong to a page now, whatever its record still names. */
struct page_contents {
    guint machines;
    size_t bytes; /* estimated size */
};

/* Returns a table of page id -> struct page_contents, with all pages that have machines. The caller
 * has to destroy it. */
static GHashTable *count_page_contents(const rr_core *core) {
    GHashTable *contents = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (!machine->recorded) {
            continue;
        }
        struct page_contents *page = g_hash_table_lookup(contents, GUINT_TO_POINTER(machine->page));
        if (!page) {
            page = g_new0(struct page_contents, 1);
            page->bytes = EMPTY_PAGE_BYTES;
            g_hash_table_insert(contents, GUINT_TO_POINTER(machine->page), page);
        }
        page->machines++;
        page->bytes += rr_machine_page_entry_bytes(core, machine);
    }
    return contents;
}

void rr_split_large_pages(struct rr_page_changes *changes, double now) {
    rr_core *core = changes->core;
    GHashTableIter iter;
    gpointer id, value;
    if (!limits_will_be_lowered(core) ||
        now - core->autoscaling.pages_split_at <= SPLIT_INTERVAL_S) {
        return;
    }
    core->autoscaling.pages_split_at = now;
    GHashTable *contents = count_page_contents(core);
    g_hash_table_iter_init(&iter, core->stored.pages);
    while (changes->pages_left > 0 && g_hash_table_iter_next(&iter, &id, &value)) {
        const rr_machine_page *page = value;
        const struct page_contents *current = g_hash_table_lookup(contents, id);
        if (current && (double)current->bytes > compute_page_bytes_max(core)) {
            split_page(changes, GPOINTER_TO_UINT(id));
        } else if (page->entry_count > (current ? current->machines : 0)) {
            rr_change_page(changes, GPOINTER_TO_UINT(id));
        }
    }
    g_hash_table_destroy(contents);
}
