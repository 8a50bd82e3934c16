#include "core/place_gang.h"

#include "core/booking.h"

#include <string.h>

/* Takes this plan's bookings of the gang's first tasks back. */
static void unbook(struct rr_planner *planner, const rr_job *job, uint32_t tasks) {
    const struct rr_plan_edit *edit = rr_job_run((rr_job *)job, 0)->edit;
    rr_res *booked = &g_array_index(planner->c->team_booked, rr_res, job->team);
    for (; tasks > 0; tasks--) {
        rr_machine *machine = g_array_index(edit->items, rr_item, edit->items->len - 1).m;
        g_array_set_size(edit->items, edit->items->len - 1);
        g_array_set_size(machine->booked, machine->booked->len - 1);
        machine->sim = rr_res_add(machine->sim, job->need, 1);
        *booked = rr_res_add(*booked, job->need, -1);
    }
}

/* The plan's candidates have free room for all tasks. */
static bool fits_whole(const struct rr_planner *planner, const rr_job *job) {
    uint32_t fitting = 0;
    for (guint i = 0; i < planner->cands->len && fitting < job->s.pieces; i++) {
        const rr_machine *machine = g_array_index(planner->cands, rr_cand, i).m;
        fitting += rr_tasks_in(job->need, machine->sim, job->s.pieces - fitting);
    }
    return fitting >= job->s.pieces;
}

/* Books all tasks on free room, or none. */
static bool book_on_free_room(struct rr_planner *planner, rr_job *job, struct rr_job_zones *zones) {
    rr_core *core = planner->c;
    struct rr_choice choice = {.wards = zones->allowed, .filter = rr_machine_usable};
    uint64_t attempt = rr_next_attempt(core);
    uint32_t task = 0;
    for (; task < job->s.pieces; task++) {
        rr_machine *machine = rr_choose_from(core, job, &choice, planner->cands);
        if (!machine || !rr_book_attempt(planner, machine, job, task, attempt)) {
            break;
        }
        zones->placements[machine->ward]++;
        zones->all++;
        rr_job_wards_from(core, job, zones->placements, zones->all, zones->allowed);
    }
    if (task == job->s.pieces) {
        return true;
    }
    unbook(planner, job, task);
    return false;
}

/* Fills the plan's candidates: one walk serves all tasks, in whatever zones they may come to be. */
static void find_candidates(struct rr_planner *planner, const rr_job *job, const bool *allowed) {
    guint zone_count = planner->c->wards.names->len;
    bool all_zones[zone_count + 1];
    memset(all_zones, true, sizeof all_zones);
    struct rr_choice choice = {.wards = rr_zone_bound(job) ? allowed : all_zones,
                               .filter = rr_machine_usable};
    rr_candidates(planner->c, job, &choice, planner->now, planner->cands);
}

/* While a gang waits for room it holds none, so that no two of them hold a half each. */
void rr_place_gang(struct rr_planner *planner, rr_job *job, int *left) {
    rr_core *core = planner->c;
    guint zone_count = core->wards.names->len;
    bool allowed[zone_count + 1];
    uint32_t placements[zone_count + 1];
    struct rr_job_zones zones = {allowed, placements, 0, true};
    memset(allowed, 0, sizeof allowed);
    memset(placements, 0, sizeof placements);
    if (job->nplaced > 0 || !rr_within_limit(planner, job, job->s.pieces) ||
        rr_job_count_by_ward(core, job, NULL, placements) > 0) {
        return; /* an earlier attempt has tasks left, or the team has no room */
    }
    rr_job_zones_update(planner, job, &zones);
    uint64_t zone_mask = rr_zone_mask(core, allowed);
    if (rr_search_hopeless(planner, job, zone_mask)) {
        job->failed_at = planner->now;
        return;
    }
    find_candidates(planner, job, allowed);
    /* One that can't fit takes nothing of the transaction. */
    bool fits = fits_whole(planner, job);
    if (fits && book_on_free_room(planner, job, &zones)) {
        *left -= (int)job->s.pieces;
    } else if (!fits || !planner->full) {
        rr_note_failed_search(planner, job, zone_mask);
    }
}
