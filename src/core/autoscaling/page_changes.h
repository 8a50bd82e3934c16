/* Changes to pages of machine records, gathered for one transaction. */
#ifndef RR_CORE_AUTOSCALING_PAGE_CHANGES_H
#define RR_CORE_AUTOSCALING_PAGE_CHANGES_H

#include "core/state/machine_pages.h"
#include "core/state/transaction.h"

struct rr_page_changes {
    rr_core *core;
    GHashTable *changed; /* page id -> GPtrArray of the rr_machine* that it will have */
    int pages_left;      /* that the transaction takes */
};

/* Starts without changes. rr_page_changes_put() frees them. */
void rr_page_changes_init(struct rr_page_changes *changes, rr_core *core);

/* Adds the changed pages to the transaction and frees the changes. */
void rr_page_changes_put(struct rr_page_changes *changes, rr_transaction *transaction);

/* The machines that the page will have, to be edited; the changes own the array. NULL: the page
 * can't change in this transaction, or not before it is split. */
GPtrArray *rr_change_page(struct rr_page_changes *changes, uint32_t id);

/* The machines of a page that takes one more: one that changes anyway, else any with room, else a
 * new one. NULL: not in this transaction. */
GPtrArray *rr_change_page_with_room(struct rr_page_changes *changes, const rr_machine *machine);

/* While the store's limits are about to be lowered: splits pages that will be too large, and
 * rewrites those that still name machines moved to another page. */
void rr_split_large_pages(struct rr_page_changes *changes, double now);

#endif
