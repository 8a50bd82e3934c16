/* Which machines may take a task, and the choice among them. */
#ifndef RR_CORE_SCHEDULING_BIN_PACKING_H
#define RR_CORE_SCHEDULING_BIN_PACKING_H

#include "core/state/jobs.h"
#include "core/state/machines.h"

bool rr_job_allows(const rr_core *core, const rr_job *job, int machine_type, int zone, bool spot);
/* The zones in which one more task of the job may start, given its placements (and, while moving,
 * not counting `except`): fills allowed[zone]. */
void rr_job_zones(const rr_core *core, const rr_job *job, bool *allowed,
                  const rr_placement *except);
/* The same from counts that the caller keeps while it reserves: placements by zone. */
uint32_t rr_job_count_by_zone(const rr_core *core, const rr_job *job, const rr_placement *except,
                              uint32_t *by_zone);
void rr_job_zones_from(const rr_core *core, const rr_job *job, const uint32_t *by_zone,
                       uint32_t all, bool *allowed);
/* Estimated time to fetch the job's image there; 0: it has it. */
double rr_image_fetch_s(const rr_core *core, const rr_job *job, const rr_machine *machine);
struct rr_placement_constraints {
    const bool *zones;         /* allowed zones */
    bool distinct_machines;    /* no machine that has a task of this job */
    const rr_machine *current; /* where it runs now: never refused for its own sake */
    bool need_image;           /* only machines that have the image */
    bool (*filter)(const rr_core *core, const rr_machine *machine, double now);
};
/* The machines that may take a task of the job, each with the part of its rank that placing does
 * not change: one walk over all machines serves many tasks. */
typedef struct {
    rr_machine *machine;
    rr_resources capacity;
    double failures, image, price, fetch, foreign_shard;
    bool booting;
} rr_candidate;
void rr_list_candidates(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *how, double now,
                        GArray *out /* rr_candidate */);
/* The paper's choice among them: the fitting machine of least price x free room. room: by m->sim.
 * how->zones and how->separate are looked at anew; candidates without room go. */
rr_machine *rr_bin_pack_from(rr_core *core, const rr_job *job,
                             const struct rr_placement_constraints *how, GArray *candidates);
rr_machine *rr_bin_pack(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *how, double now);
/* How many tasks of this need fit into this room, up to most. */
uint32_t rr_tasks_fitting(rr_resources need, rr_resources room, uint32_t most);
int rr_zone_with_most_room(rr_core *core, const rr_job *job, const bool *zones, double now);
void rr_reset_free_resources(rr_core *core);
bool rr_job_zone_bound(const rr_job *job);

#endif
