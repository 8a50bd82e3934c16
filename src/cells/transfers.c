#include "cells/transfers_internal.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

rr_transfers *rr_transfers_create(const rr_cells_settings *settings, const struct rr_config *config,
                                  rr_core *core, uint64_t process) {
    rr_transfers *transfers = g_new0(rr_transfers, 1);
    transfers->settings = settings;
    transfers->config = config;
    transfers->core = core;
    transfers->process = process;
    transfers->outgoing = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    transfers->incoming = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return transfers;
}

void rr_transfers_destroy(rr_transfers *transfers) {
    if (transfers) {
        g_hash_table_destroy(transfers->outgoing);
        g_hash_table_destroy(transfers->incoming);
        g_free(transfers);
    }
}

void rr_transfer_write_clear(gpointer write) {
    rr_transaction_clear(&((rr_transfer_write *)write)->transaction);
}

static void free_write(gpointer write) {
    rr_transfer_write_clear(write);
    g_free(write);
}

static void free_request(gpointer request) {
    rr_cells_request_clear(request);
    g_free(request);
}

void rr_transfers_plan_init(rr_transfers_plan *plan) {
    plan->writes = g_ptr_array_new_with_free_func(free_write);
    plan->requests = g_ptr_array_new_with_free_func(free_request);
}

void rr_transfers_plan_clear(rr_transfers_plan *plan) {
    g_ptr_array_free(plan->writes, TRUE);
    g_ptr_array_free(plan->requests, TRUE);
}

bool rr_transfers_put(rr_transfers *transfers, const char *rest, const msgpack_object *value,
                      uint64_t version) {
    uint64_t unread = transfers->stats.records_unread;
    if (g_str_has_prefix(rest, RR_CELLS_OUT)) {
        rr_outgoing_put(transfers, rest + strlen(RR_CELLS_OUT), value, version);
    } else if (g_str_has_prefix(rest, RR_CELLS_IN)) {
        rr_incoming_put(transfers, rest + strlen(RR_CELLS_IN), value, version);
    } else {
        transfers->stats.records_unread++;
    }
    return transfers->stats.records_unread == unread;
}

bool rr_transfers_owns(const rr_transfers *transfers, const char *team, double now) {
    const char *owner = rr_core_team_owner(transfers->core, team);
    return owner && strcmp(owner, transfers->config->node_name) == 0 &&
           rr_core_cache_consistent(transfers->core) && rr_core_lease_valid(transfers->core, now);
}

bool rr_transfers_speaks_for(const rr_transfers *transfers, const char *team, double now) {
    return rr_transfers_owns(transfers, team, now) &&
           rr_core_cache_age(transfers->core, now) < RR_CELLS_FRESH_S;
}

rr_cells_request *rr_plan_request(const rr_transfers *transfers, rr_transfers_plan *plan,
                                  size_t neighbour, const char *team) {
    for (guint i = plan->requests->len; i > 0; i--) {
        rr_cells_request *request = g_ptr_array_index(plan->requests, i - 1);
        if (strcmp(request->team, team) == 0) {
            if (request->items->len < RR_CELLS_ITEMS_MAX) {
                return request;
            }
            break;
        }
    }
    rr_cells_request *request = g_new0(rr_cells_request, 1);
    rr_cells_request_init(request, RR_CELLS_TRANSFERS);
    rr_cells_request_address(request, transfers->settings, neighbour);
    g_strlcpy(request->team, team, sizeof request->team);
    request->lease_s = transfers->settings->times.lease_s;
    request->rest_s = transfers->settings->times.rest_s;
    g_ptr_array_add(plan->requests, request);
    return request;
}

void rr_transfers_look(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                       double wall, rr_transfers_plan *out) {
    if (rr_core_cache_consistent(transfers->core) && rr_core_lease_valid(transfers->core, now)) {
        rr_incoming_look(transfers, neighbour, now, out);
        rr_outgoing_look(transfers, neighbour, may_offer, now, wall, out);
    }
}

rr_transfer_message rr_transfers_written(rr_transfers *transfers, const rr_transfer_write *write,
                                         bool committed) {
    return write->outgoing ? rr_outgoing_written(transfers, write, committed)
                           : rr_incoming_written(transfers, write, committed);
}

bool rr_transfers_receive(rr_transfers *transfers, size_t neighbour,
                          const rr_cells_request *request, const rr_cells_item *item, double now,
                          double wall, rr_transfer_message *reply, rr_transfer_write *write) {
    memset(reply, 0, sizeof *reply);
    switch (item->message.kind) {
    case RR_TRANSFER_OFFER:
        return rr_incoming_offered(transfers, neighbour, request, item, now, wall, reply, write);
    case RR_TRANSFER_REFUSE:
    case RR_TRANSFER_RENEW:
    case RR_TRANSFER_ENDED:
        return rr_outgoing_receive(transfers, neighbour, item, now, wall, reply, write);
    default:
        return false;
    }
}

bool rr_transfers_replied(rr_transfers *transfers, size_t neighbour, const rr_cells_item *asked,
                          const rr_transfer_message *reply, double now, double wall,
                          rr_transfer_write *write) {
    if (asked->message.kind != RR_TRANSFER_OFFER) {
        rr_incoming_replied(transfers, neighbour, asked, reply);
        return false;
    }
    if (reply->kind != RR_TRANSFER_REFUSE) {
        rr_spill_taken(&transfers->pauses[neighbour]);
        return false;
    }
    rr_spill_refused(&transfers->pauses[neighbour], now);
    return rr_outgoing_refused(transfers, neighbour, asked->job_id, reply, now, wall, write);
}

void rr_transfers_room_announced(rr_transfers *transfers, size_t neighbour,
                                 const rr_cells_room *room, double now) {
    transfers->rooms[neighbour] = *room;
    transfers->rooms_at[neighbour] = now;
}

bool rr_room_take(rr_cells_room *room, const rr_submission *submission) {
    double tasks = submission->task_count;
    double cpu = tasks * submission->cpus, gpu = tasks * submission->gpus,
           mem = tasks * submission->mem_gb;
    bool fits = cpu <= room->cpus && gpu <= fmax(room->gpus, 0) && mem <= room->mem_gb;
    if (fits) {
        room->cpus -= cpu;
        room->gpus -= gpu;
        room->mem_gb -= mem;
    }
    return fits;
}

void rr_transfers_unanswered(rr_transfers *transfers, size_t neighbour, double now) {
    rr_spill_refused(&transfers->pauses[neighbour], now);
}

void rr_transfers_get_stats(const rr_transfers *transfers, rr_transfers_stats *out) {
    *out = transfers->stats;
    out->outgoing = g_hash_table_size(transfers->outgoing);
    out->incoming = g_hash_table_size(transfers->incoming);
    out->spilling = transfers->spill.spilling;
}
