/* Chooses the jobs of this cell that are offered to a neighbour: those that have waited longest. */
#include "cells/outgoing.h"
#include "core/extensions.h"

#include <math.h>
#include <string.h>

#define OFFERS_PER_PASS_MAX 8u       /* to one neighbour */
#define NEIGHBOUR_ROOM_AGE_MAX_S 1.0 /* an older announcement of free room is ignored */
#define OFFERS_PER_JOB_MAX 3u        /* a job offered this often is not offered again */

/* A job that may be offered to the neighbour. */
struct candidate {
    const rr_submission *submission; /* owned by the core; valid under its lock */
    double wait_s;                   /* since its submission was accepted */
};

/* The jobs to offer in one pass, while they are being chosen. */
struct offer_selection {
    const rr_transfers *transfers;
    const rr_neighbour_cell *cell; /* the neighbour */
    double wall;
    double longest_wait_s; /* of the jobs that any neighbour would take */
    guint count;           /* of candidates */
    struct candidate candidates[OFFERS_PER_PASS_MAX]; /* longest wait first */
};

/* Returns whether the settings allow the job to go to at least one neighbour. */
static bool any_neighbour_accepts_job(const rr_cells_settings *settings,
                                      const rr_submission *submission) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (rr_neighbour_accepts_job(&settings->neighbours[i], submission->team,
                                     submission->zone)) {
            return true;
        }
    }
    return false;
}

/* Returns whether the job must not be offered: it was offered too often, or a write of its transfer
 * is pending. */
static bool must_not_be_offered(const rr_transfers *transfers, const char *job_id) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    return entry && (entry->record.claim >= OFFERS_PER_JOB_MAX || entry->home.write_pending);
}

/* Inserts a candidate so that the longest wait stays first. If the list is full, the candidate with
 * the shortest wait is dropped. */
static void insert_candidate(struct offer_selection *selection, const struct candidate *candidate) {
    guint position = selection->count;
    while (position > 0 && selection->candidates[position - 1].wait_s < candidate->wait_s) {
        position--;
    }
    if (position == OFFERS_PER_PASS_MAX) {
        return;
    }
    guint last = MIN(selection->count, OFFERS_PER_PASS_MAX - 1);
    memmove(&selection->candidates[position + 1], &selection->candidates[position],
            (last - position) * sizeof selection->candidates[0]);
    selection->count = last + 1;
    selection->candidates[position] = *candidate;
}

/* Adds the job to the candidates if it may be offered and has waited long enough. */
static void add_candidate_if_eligible(void *user, const rr_submission *submission,
                                      double accepted_at) {
    struct offer_selection *selection = user;
    const rr_cells_settings *settings = selection->transfers->settings;
    if (!any_neighbour_accepts_job(settings, submission) ||
        must_not_be_offered(selection->transfers, submission->job_id)) {
        return;
    }
    struct candidate candidate = {submission, selection->wall - accepted_at};
    selection->longest_wait_s = fmax(selection->longest_wait_s, candidate.wait_s);
    if (candidate.wait_s > settings->end_wait_s &&
        rr_neighbour_accepts_job(selection->cell, submission->team, submission->zone)) {
        insert_candidate(selection, &candidate);
    }
}

/* Adds the write of the offer's record to the plan. The job is put on hold at once, so that it is
 * no longer placed here. */
static void offer_job(rr_transfers *transfers, const struct candidate *candidate, size_t neighbour,
                      double now, double wall, rr_transfers_plan *plan) {
    rr_outgoing *entry = rr_outgoing_get_or_create(transfers, candidate->submission->job_id);
    g_strlcpy(entry->record.team, candidate->submission->team, sizeof entry->record.team);
    if (!rr_outgoing_load(transfers, entry, now)) {
        return;
    }
    rr_home_step step = rr_home_offer(&entry->home, (uint32_t)neighbour, now);
    bool offered = false;
    if (step.action == RR_HOME_WRITE) {
        entry->guest_answered = false;
        entry->last_received_at = now;
        entry->offered_at = 0;
        rr_core_hold_job(transfers->core, entry->job_id, RR_HOLD_TRANSFERRED);
        offered = rr_outgoing_plan_write(transfers, entry, wall, plan);
    }
    if (!offered && entry->version == 0) {
        rr_outgoing_remove(transfers, entry->job_id);
    }
}

/* Offers the candidates for which the neighbour still has room. */
static void offer_candidates(rr_transfers *transfers, const struct offer_selection *selection,
                             size_t neighbour, double now, rr_transfers_plan *plan) {
    for (guint i = 0; i < selection->count; i++) {
        const struct candidate *candidate = &selection->candidates[i];
        if (rr_cells_room_reserve(&transfers->neighbour_rooms[neighbour], candidate->submission)) {
            offer_job(transfers, candidate, neighbour, now, selection->wall, plan);
        }
    }
}

void rr_outgoing_offer_jobs(rr_transfers *transfers, size_t neighbour, double now, double wall,
                            rr_transfers_plan *plan) {
    struct offer_selection selection = {
        .transfers = transfers, .cell = &transfers->settings->neighbours[neighbour], .wall = wall};
    rr_core_foreach_spillable_job(transfers->core, now, add_candidate_if_eligible, &selection);
    transfers->longest_wait_s = selection.longest_wait_s;
    if (!rr_spill_update(&transfers->spill, transfers->settings, selection.longest_wait_s) ||
        !rr_spill_backoff_is_over(&transfers->offer_backoff[neighbour], now) ||
        selection.count == 0) {
        return;
    }
    if (now - transfers->neighbour_rooms_updated_at[neighbour] > NEIGHBOUR_ROOM_AGE_MAX_S) {
        /* Every reply announces the neighbour's free room: a request without items asks for it. */
        rr_transfers_plan_get_request(transfers, plan, neighbour,
                                      selection.candidates[0].submission->team);
        return;
    }
    offer_candidates(transfers, &selection, neighbour, now, plan);
}
