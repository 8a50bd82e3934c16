/* Helpers that both directions of transfers share: ownership of teams, free room, and the writes
 * and requests of a plan. */
#include "cells/transfer_table.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

bool rr_transfers_owns_team(const rr_transfers *transfers, const char *team, double now) {
    const char *owner = rr_core_team_owner(transfers->core, team);
    return owner && strcmp(owner, transfers->config->node_name) == 0 &&
           rr_core_cache_consistent(transfers->core) && rr_core_lease_valid(transfers->core, now);
}

bool rr_transfers_may_answer_for(const rr_transfers *transfers, const char *team, double now) {
    return rr_transfers_owns_team(transfers, team, now) &&
           rr_core_cache_age(transfers->core, now) < RR_CELLS_CACHE_AGE_MAX_S;
}

bool rr_cells_room_reserve(rr_cells_room *room, const rr_submission *submission) {
    double tasks = submission->task_count;
    double cpus = tasks * submission->cpus;
    double gpus = tasks * submission->gpus;
    double mem_gb = tasks * submission->mem_gb;
    if (cpus > room->cpus || gpus > fmax(room->gpus, 0) || mem_gb > room->mem_gb) {
        return false;
    }
    room->cpus -= cpus;
    room->gpus -= gpus;
    room->mem_gb -= mem_gb;
    return true;
}

bool rr_transfers_entry_advances_with(int entry_neighbour, size_t neighbour) {
    return entry_neighbour == (int)neighbour ||
           (entry_neighbour == RR_CELLS_NO_NEIGHBOUR && neighbour == 0);
}

/* ---- writes with an unknown outcome ---- */

void rr_transfers_await_outcome(rr_transfers *transfers, rr_unresolved_write *unresolved,
                                uint64_t revision, uint64_t fencing_token) {
    unresolved->waits = true;
    unresolved->point = (rr_outcome_point){revision, fencing_token};
    transfers->unresolved++;
    transfers->stats.unknown_outcomes++;
}

bool rr_transfers_end_wait_if_shown(rr_transfers *transfers, rr_unresolved_write *unresolved) {
    bool shown =
        unresolved->waits && rr_core_cache_shows_outcome(transfers->core, &unresolved->point);
    if (shown) {
        unresolved->waits = false;
        transfers->unresolved--;
    }
    return shown;
}

void rr_transfers_foreach_if_unresolved(rr_transfers *transfers, GHashTable *table,
                                        rr_transfers_entry_fn callback, double now) {
    if (transfers->unresolved == 0) {
        return;
    }
    /* A table must not change during an iteration. */
    GList *entries = g_hash_table_get_values(table);
    for (const GList *item = entries; item; item = item->next) {
        callback(transfers, item->data, now);
    }
    g_list_free(entries);
}

/* ---- writes and plans ---- */

void rr_transfer_write_clear(gpointer write) {
    rr_transaction_clear(&((rr_transfer_write *)write)->transaction);
}

void rr_transfer_write_free(gpointer write) {
    rr_transfer_write_clear(write);
    g_free(write);
}

static void free_request(gpointer request) {
    rr_cells_request_clear(request);
    g_free(request);
}

void rr_transfers_plan_init(rr_transfers_plan *plan) {
    plan->writes = g_ptr_array_new_with_free_func(rr_transfer_write_free);
    plan->requests = g_ptr_array_new_with_free_func(free_request);
}

void rr_transfers_plan_clear(rr_transfers_plan *plan) {
    g_ptr_array_free(plan->writes, TRUE);
    g_ptr_array_free(plan->requests, TRUE);
}

void rr_transfers_plan_add_write(rr_transfers_plan *plan, const rr_transfer_write *write) {
    g_ptr_array_add(plan->writes, g_memdup2(write, sizeof *write));
}

/* Returns the team's last request in the plan; NULL if there is none, or it is full. */
static rr_cells_request *find_request(const rr_transfers_plan *plan, const char *team) {
    for (guint i = plan->requests->len; i > 0; i--) {
        rr_cells_request *request = g_ptr_array_index(plan->requests, i - 1);
        if (strcmp(request->team, team) == 0) {
            return request->items->len < RR_CELLS_ITEMS_MAX ? request : NULL;
        }
    }
    return NULL;
}

rr_cells_request *rr_transfers_plan_get_request(const rr_transfers *transfers,
                                                rr_transfers_plan *plan, size_t neighbour,
                                                const char *team) {
    rr_cells_request *request = find_request(plan, team);
    if (request) {
        return request;
    }
    request = g_new0(rr_cells_request, 1);
    rr_cells_request_init(request, RR_CELLS_TRANSFERS);
    rr_cells_request_set_cells(request, transfers->settings, neighbour);
    g_strlcpy(request->team, team, sizeof request->team);
    request->lease_s = transfers->settings->times.lease_s;
    request->teardown_s = transfers->settings->times.teardown_s;
    g_ptr_array_add(plan->requests, request);
    return request;
}
