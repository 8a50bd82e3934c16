/* Users' requests about jobs that may be at a neighbour: finds out where a job is, and when its
 * cancellation may be recorded. */
#include "cells/transfer_table.h"

#include <math.h>

bool rr_transfers_locate_job(const rr_transfers *transfers, const char *job_id, size_t *neighbour,
                             char *local_id, size_t size) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry || entry->version == 0 || entry->record.state != RR_HOME_OFFERED ||
        entry->neighbour == RR_CELLS_NO_NEIGHBOUR) {
        return false;
    }
    *neighbour = (size_t)entry->neighbour;
    rr_cells_make_local_id(transfers->settings->name, job_id, entry->record.claim, local_id, size);
    return true;
}

/* Returns for how many seconds after a job's withdrawal a guest's grant may still be valid. The
 * grant may come from a controller whose store cache did not show the withdrawal yet, and the wall
 * clocks of two machines may differ by clock_off_s. */
static double get_max_grant_s_after_withdrawal(const rr_transfers *transfers) {
    const rr_transfer_times *times = &transfers->settings->times;
    return RR_CELLS_CACHE_AGE_MAX_S + times->lease_s * (1 + 2 * times->drift) +
           2 * transfers->config->clock_skew_max_s;
}

/* Returns what has to happen before a job may be cancelled, and sets *wait_s to the seconds for
 * which a grant may still last (0 or less: none does). entry NULL: the job was never offered, or
 * its transfer has ended. */
static enum rr_cancel_precondition get_cancel_precondition(const rr_transfers *transfers,
                                                           const rr_outgoing *entry, double wall,
                                                           double *wait_s) {
    *wait_s = 0;
    if (!entry) {
        return RR_CANCEL_ALLOWED;
    }
    double lifetime_s = get_max_grant_s_after_withdrawal(transfers);
    bool being_offered = entry->version == 0;
    if (being_offered || entry->record.state == RR_HOME_OFFERED) {
        *wait_s = lifetime_s;
        return being_offered ? RR_CANCEL_NEEDS_WAIT : RR_CANCEL_NEEDS_WITHDRAWAL;
    }
    *wait_s = fmin(entry->record.withdrawn_at + lifetime_s - wall, lifetime_s);
    return *wait_s > 0 ? RR_CANCEL_NEEDS_WAIT : RR_CANCEL_ALLOWED;
}

bool rr_transfers_may_cancel(const rr_transfers *transfers, const char *job_id, double wall,
                             uint64_t *version) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    double wait_s;
    *version = entry ? entry->version : 0;
    return get_cancel_precondition(transfers, entry, wall, &wait_s) == RR_CANCEL_ALLOWED;
}

enum rr_cancel_precondition rr_transfers_get_cancel_precondition(const rr_transfers *transfers,
                                                                 const char *job_id, double wall,
                                                                 double *wait_s,
                                                                 rr_outgoing_record *withdrawn,
                                                                 uint64_t *version) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    enum rr_cancel_precondition precondition =
        get_cancel_precondition(transfers, entry, wall, wait_s);
    if (precondition == RR_CANCEL_NEEDS_WITHDRAWAL) {
        *withdrawn = rr_cells_outgoing_withdraw(&entry->record, wall);
        *version = entry->version;
    }
    return precondition;
}
