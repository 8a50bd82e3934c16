/* Chooses which of this cell's jobs are offered to a neighbour: those that wait longest. */
#include "cells/outgoing.h"
#include "core/extensions.h"

#include <math.h>
#include <string.h>

#define OFFERS_AT_ONCE_MAX 8u        /* to one neighbour in one look */
#define NEIGHBOUR_ROOM_AGE_MAX_S 1.0 /* for an announced room to count */
#define CLAIMS_MAX 3u                /* a job that was offered so often stays */

struct candidate {
    const rr_submission *submission; /* the core's, which is locked */
    double wait_s;
};

struct choice {
    const rr_transfers *transfers;
    const rr_cell *cell;
    double wall;
    double longest_wait_s; /* of jobs that some cell takes */
    guint count;
    struct candidate candidates[OFFERS_AT_ONCE_MAX]; /* longest wait first */
};

static bool some_cell_takes(const rr_cells_settings *settings, const rr_submission *submission) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (rr_cell_takes(&settings->neighbours[i], submission->team, submission->zone)) {
            return true;
        }
    }
    return false;
}

/* Whether the job has come back too often, or is being written. */
static bool stays(const rr_transfers *transfers, const char *job_id) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    return entry && (entry->record.claim >= CLAIMS_MAX || entry->home.writes);
}

/* Keeps the candidates sorted; one that waits less than all of a full list is dropped. */
static void insert_candidate(struct choice *choice, const struct candidate *candidate) {
    guint place = choice->count;
    while (place > 0 && choice->candidates[place - 1].wait_s < candidate->wait_s) {
        place--;
    }
    if (place == OFFERS_AT_ONCE_MAX) {
        return;
    }
    guint last = MIN(choice->count, OFFERS_AT_ONCE_MAX - 1);
    memmove(&choice->candidates[place + 1], &choice->candidates[place],
            (last - place) * sizeof choice->candidates[0]);
    choice->count = last + 1;
    choice->candidates[place] = *candidate;
}

static void consider_job(void *user, const rr_submission *submission, double accepted_at) {
    struct choice *choice = user;
    const rr_cells_settings *settings = choice->transfers->settings;
    if (!some_cell_takes(settings, submission) || stays(choice->transfers, submission->job_id)) {
        return;
    }
    struct candidate candidate = {submission, choice->wall - accepted_at};
    choice->longest_wait_s = fmax(choice->longest_wait_s, candidate.wait_s);
    if (candidate.wait_s > settings->end_wait_s &&
        rr_cell_takes(choice->cell, submission->team, submission->zone)) {
        insert_candidate(choice, &candidate);
    }
}

/* Plans the write of the offer. The job is held from here on, so that no later plan places it. */
static void offer_job(rr_transfers *transfers, const struct candidate *candidate, size_t neighbour,
                      double now, double wall, rr_transfers_plan *plan) {
    rr_outgoing *entry = rr_outgoing_get(transfers, candidate->submission->job_id);
    g_strlcpy(entry->record.team, candidate->submission->team, sizeof entry->record.team);
    if (!rr_outgoing_load(transfers, entry, now)) {
        return;
    }
    rr_home_step step = rr_home_offer(&entry->home, (uint32_t)neighbour, now);
    bool offered = false;
    if (step.action == RR_HOME_WRITE) {
        entry->taken = false;
        entry->last_message_at = now;
        entry->offered_at = 0;
        rr_core_hold_job(transfers->core, entry->job_id, RR_HOLD_TRANSFERRED);
        offered = rr_outgoing_plan_write(transfers, entry, wall, plan);
    }
    if (!offered && entry->version == 0) {
        rr_outgoing_forget(transfers, entry->job_id);
    }
}

static void offer_candidates(rr_transfers *transfers, const struct choice *choice, size_t neighbour,
                             double now, rr_transfers_plan *plan) {
    for (guint i = 0; i < choice->count; i++) {
        const struct candidate *candidate = &choice->candidates[i];
        if (rr_cells_room_take(&transfers->neighbour_rooms[neighbour], candidate->submission)) {
            offer_job(transfers, candidate, neighbour, now, choice->wall, plan);
        }
    }
}

void rr_outgoing_offer(rr_transfers *transfers, size_t neighbour, double now, double wall,
                       rr_transfers_plan *plan) {
    struct choice choice = {
        .transfers = transfers, .cell = &transfers->settings->neighbours[neighbour], .wall = wall};
    rr_core_foreach_spillable_job(transfers->core, now, consider_job, &choice);
    transfers->longest_wait_s = choice.longest_wait_s;
    if (!rr_spill_update(&transfers->spill, transfers->settings, choice.longest_wait_s) ||
        !rr_spill_may_ask(&transfers->pauses[neighbour], now) || choice.count == 0) {
        return;
    }
    if (now - transfers->neighbour_rooms_at[neighbour] > NEIGHBOUR_ROOM_AGE_MAX_S) {
        /* An empty request asks for the room, which every reply announces. */
        rr_transfers_plan_request(transfers, plan, neighbour,
                                  choice.candidates[0].submission->team);
        return;
    }
    offer_candidates(transfers, &choice, neighbour, now, plan);
}
