/* Machines: what the store records of them, what this process has observed, and the placements on
 * them. */
#ifndef RR_CORE_STATE_MACHINES_H
#define RR_CORE_STATE_MACHINES_H

#include "core/state/ledger.h"

struct rr_machine {
    int id; /* dense, never reused */
    char name[RR_ID_SIZE], address[RR_ID_SIZE];
    int machine_type, zone;
    bool spot;
    /* ledger */
    bool recorded, operator_owned, scaling_in;
    bool gone; /* was recorded: proven gone, with all that was on it */
    bool seen_in_reload;
    bool dirty;        /* on the core's list of machines to reconcile */
    double created_at; /* wall */
    uint32_t page;
    double scaling_in_at; /* when the store cache first showed ret */
    GArray *placements;   /* rr_placement */
    rr_resources used;
    /* observed */
    bool heartbeat_seen;
    bool recorded_while_watching; /* recorded while this process watched */
    bool
        verified; /* by a live exchange with this process: not only by reports, which may be late */
    bool command_inflight;
    unsigned stale_answers; /* in a row that were older than its last report */
    double stale_at;
    unsigned unanswered;            /* commands in a row that got no answer */
    double unanswered_at;           /* since when */
    double suspect_until;           /* an owner says that its commands get no answer there */
    unsigned failed_suspect_probes; /* probes of a suspect in a row that failed while it went on
                                       reporting */
    double suspect_probes_failed_at;
    rr_heartbeat heartbeat; /* newest */
    uint64_t heartbeat_hash;
    double heartbeat_at, known_at, direct_path_bad_until;
    double reported_at; /* by itself, to whatever controller: not in answer to a command */
    int heard_via;
    GArray *images;      /* int: images it has, oldest first */
    GArray *failed_jobs; /* rr_job*: jobs that failed here */
    double last_failure_at, full_until;
    GHashTable
        *unanswered_starts; /* attempts with an unanswered start under lost_token/lost_tenure */
    uint64_t unanswered_starts_token, unanswered_starts_epoch;
    double next_command_at;
    double reap_at;      /* an exited task has waited since then to be reaped, 0: none */
    void *plan_commands; /* scratch of one plan: rr_command_batch */
    /* autoscaler */
    bool listed, list_failed, to_record, rented, to_release, declared_dead, releasing;
    bool surplus;
    int probe_fails;
    double listed_at, idle_since, probed_at;
    /* scratch of one plan or simulation */
    rr_resources free;
    int reserved_image; /* image of the last task reserved here in this plan, -1 */
    bool emptied;
    GArray *reserved_jobs; /* rr_job*: reserved here in this plan; NULL: none */
    guint leaving, arriving;
};

/* A task to be moved. Dropped when its job or a machine of it is forgotten. */
typedef struct {
    rr_job *job;
    uint32_t task;
    rr_machine *from, *to;
} rr_move;

rr_machine *rr_machine_get(rr_core *core, const char *name, double now);
void rr_machine_forget(rr_core *core, rr_machine *machine);
void rr_mark_dirty(rr_core *core, rr_machine *machine); /* it is to be reconciled */
rr_resources rr_team_usage(const rr_core *core, int team);
void rr_recount_team_usage(
    rr_core *core); /* sums anew: what is added and taken off for ever drifts */
rr_placement *rr_placement_find(const rr_machine *machine, uint64_t attempt, const rr_job *job,
                                uint32_t task);
const rr_task_status *rr_task_status_find(const rr_machine *machine, const rr_placement *placement);
bool rr_machine_has_image(const rr_machine *machine, int image);
/* Counts what the plan under construction has reserved, too. */
bool rr_machine_has_task(const rr_machine *machine, const rr_job *job);

#endif
