/* Passes records, messages and outcomes of writes on to outgoing and incoming transfers. */
#include "cells/incoming.h"
#include "cells/outgoing.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"

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

bool rr_transfers_apply_record(rr_transfers *transfers, const char *key_suffix,
                               const msgpack_object *value, uint64_t version) {
    uint64_t unread_before = transfers->stats.unreadable_records;
    if (g_str_has_prefix(key_suffix, RR_CELLS_OUTGOING_PREFIX)) {
        rr_outgoing_apply_record(transfers, key_suffix + strlen(RR_CELLS_OUTGOING_PREFIX), value,
                                 version);
    } else if (g_str_has_prefix(key_suffix, RR_CELLS_INCOMING_PREFIX)) {
        rr_incoming_apply_record(transfers, key_suffix + strlen(RR_CELLS_INCOMING_PREFIX), value,
                                 version);
    } else {
        transfers->stats.unreadable_records++;
    }
    return transfers->stats.unreadable_records == unread_before;
}

void rr_transfers_advance(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                          double wall, rr_transfers_plan *plan) {
    if (!rr_core_cache_consistent(transfers->core) || !rr_core_lease_valid(transfers->core, now)) {
        return;
    }
    rr_incoming_resolve_writes(transfers, now);
    rr_outgoing_resolve_writes(transfers, now);
    rr_incoming_advance(transfers, neighbour, now, plan);
    rr_outgoing_advance(transfers, neighbour, now, wall, plan);
    if (may_offer && rr_core_all_members_support_holds(transfers->core)) {
        rr_outgoing_offer_jobs(transfers, neighbour, now, wall, plan);
    }
}

rr_transfer_message rr_transfers_complete_write(rr_transfers *transfers,
                                                const rr_transfer_write *write,
                                                const rr_write_outcome *outcome, double now) {
    return write->outgoing ? rr_outgoing_complete_write(transfers, write, outcome, now)
                           : rr_incoming_complete_write(transfers, write, outcome, now);
}

bool rr_transfers_receive_message(rr_transfers *transfers, size_t neighbour,
                                  const rr_cells_request *request, const rr_cells_item *item,
                                  double now, double wall, rr_transfer_message *reply,
                                  rr_transfer_write *write) {
    memset(reply, 0, sizeof *reply);
    switch (item->message.kind) {
    case RR_TRANSFER_OFFER:
        return rr_incoming_receive_offer(transfers, neighbour, request, item, now, wall, reply,
                                         write);
    case RR_TRANSFER_REFUSE:
    case RR_TRANSFER_RENEW:
    case RR_TRANSFER_ENDED:
        return rr_outgoing_receive_message(transfers, neighbour, item, now, wall, reply, write);
    default:
        return false;
    }
}

bool rr_transfers_receive_reply(rr_transfers *transfers, size_t neighbour,
                                const rr_cells_item *sent_item, const rr_transfer_message *reply,
                                double now, double wall, rr_transfer_write *write) {
    if (sent_item->message.kind != RR_TRANSFER_OFFER) {
        rr_incoming_receive_reply(transfers, neighbour, sent_item, reply);
        return false;
    }
    if (reply->kind != RR_TRANSFER_REFUSE) {
        rr_spill_backoff_reset(&transfers->offer_backoff[neighbour]);
        return false;
    }
    rr_spill_backoff_increase(&transfers->offer_backoff[neighbour], now);
    return rr_outgoing_receive_refusal(transfers, neighbour, sent_item->job_id, reply, now, wall,
                                       write);
}

void rr_transfers_set_neighbour_room(rr_transfers *transfers, size_t neighbour,
                                     const rr_cells_room *room, double now) {
    transfers->neighbour_rooms[neighbour] = *room;
    transfers->neighbour_rooms_updated_at[neighbour] = now;
}

void rr_transfers_record_no_reply(rr_transfers *transfers, size_t neighbour, double now) {
    rr_spill_backoff_increase(&transfers->offer_backoff[neighbour], now);
}

void rr_transfers_get_stats(const rr_transfers *transfers, rr_transfers_stats *out) {
    *out = transfers->stats;
    out->outgoing = g_hash_table_size(transfers->outgoing);
    out->incoming = g_hash_table_size(transfers->incoming);
    out->spilling = transfers->spill.spilling;
}
