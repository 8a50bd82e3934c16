/* Collects the changes to pages of machine records for one transaction. */
#ifndef RR_CORE_AUTOSCALING_PAGE_CHANGES_H
#define RR_CORE_AUTOSCALING_PAGE_CHANGES_H

#include "core/state/machine_pages.h"
#include "core/state/transaction.h"

/* Pages to be written by one transaction. */
struct rr_page_changes {
    rr_core *core;
    GHashTable *changed; /* page id -> GPtrArray of rr_machine*: its machines after the change */
    int pages_left;      /* how many more pages fit into the transaction */
};

/* Starts without any changes. rr_page_changes_put() frees what was allocated. */
void rr_page_changes_init(struct rr_page_changes *changes, rr_core *core);

/* Adds the changed pages to the transaction and frees the changes. */
void rr_page_changes_put(struct rr_page_changes *changes, rr_transaction *transaction);

/* Adds the page to the changes, if it is not among them yet, and returns its array of rr_machine*
 * for the caller to edit; the changes own the array. NULL: the transaction is full, or the page has
 * to be split first. */
GPtrArray *rr_change_page(struct rr_page_changes *changes, uint32_t id);

/* Like rr_change_page(), for a page with enough space to add the machine: preferably one that
 * changes anyway, else any with enough space, else a new page. NULL: the machine cannot be added in
 * this transaction. */
GPtrArray *rr_change_page_with_room(struct rr_page_changes *changes, const rr_machine *machine);

/* While the store's limits are about to be lowered, splits pages that will be too large and
 * rewrites pages that still name machines moved to another page. Does nothing otherwise. */
void rr_split_large_pages(struct rr_page_changes *changes, double now);

#endif
