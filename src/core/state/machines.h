/* Machines: what the store records of them, what this process has observed, and the placements on
 * them. */
#ifndef RR_CORE_STATE_MACHINES_H
#define RR_CORE_STATE_MACHINES_H

#include "core/state/ledger_record.h"
#include "core/state/resources.h"
#include "wire/wire.h"

/* Times are steady seconds unless said otherwise; 0 means never where no other value is named. */
struct rr_machine {
    int id; /* dense, never reused */
    char name[RR_ID_SIZE], address[RR_ID_SIZE];
    int machine_type, zone; /* indices, -1: not known yet */
    bool spot;
    /* recorded in the store */
    bool recorded, operator_owned, scaling_in;
    bool gone; /* was recorded: proven gone, with all that ran on it */
    bool seen_in_reload;
    bool dirty;        /* listed for reconciliation */
    double created_at; /* wall */
    uint32_t page;
    double scaling_in_at; /* when the store cache first showed scaling_in */
    GArray *placements;   /* rr_placement */
    rr_resources used;
    /* observed */
    bool heartbeat_seen;
    bool recorded_while_watching; /* its record came by the watch, before any heartbeat */
    bool verified;                /* by a live exchange with this process, not by heartbeats alone,
                                     which may be late copies */
    bool command_inflight;
    unsigned stale_answers; /* in a row that were older than its last heartbeat */
    double stale_answers_since;
    unsigned unanswered_commands;   /* commands in a row that got no answer */
    double unanswered_at;           /* since when */
    double suspect_until;           /* a controller found its commands unanswered there */
    unsigned failed_suspect_probes; /* in a row, while its heartbeats continued */
    double suspect_probes_failed_at;
    rr_heartbeat heartbeat; /* newest */
    uint64_t heartbeat_hash;
    double heartbeat_at, known_at, direct_path_bad_until;
    double reported_at;  /* last heartbeat of its own to any controller, not an answer */
    int heard_via;       /* peer, -1: this controller */
    GArray *images;      /* int: images it has, oldest first */
    GArray *failed_jobs; /* rr_job*: jobs that failed here */
    double last_task_failure_at, full_until;
    GHashTable *unanswered_starts; /* attempts whose start went unanswered, under the next two */
    uint64_t unanswered_starts_token, unanswered_starts_epoch;
    double next_command_at;
    double reap_at; /* an exited task waits to be reaped since then */
    /* autoscaler */
    bool listed, list_failed, to_record, rented, to_release, declared_dead, releasing;
    bool surplus;
    int failed_probes;
    double listed_at, idle_since, probed_at;
    /* scratch of one plan or simulation */
    void *plan_commands; /* rr_command_batch */
    rr_resources free;
    int reserved_image;    /* of the last task reserved here, -1 */
    GArray *reserved_jobs; /* rr_job*: reserved here; NULL: none */
};

/* A task to be moved. Dropped when its job or one of its machines is forgotten. */
typedef struct {
    rr_job *job;
    uint32_t task;
    rr_machine *from, *to;
} rr_move;

/* Returns the machine of this name, creating it unrecorded if need be. */
rr_machine *rr_machine_get(rr_core *core, const char *name, double now);
/* Removes and frees a machine without placements, with the moves that name it. */
void rr_machine_forget(rr_core *core, rr_machine *machine);
/* Frees a machine; takes gpointer, as GLib's containers do. */
void rr_machine_free(gpointer data);
/* Lists the machine for reconciliation by the next plan. */
void rr_machine_mark_dirty(rr_core *core, rr_machine *machine);
/* Returns the machine's placement of this attempt, or NULL. */
rr_placement *rr_placement_find(const rr_machine *machine, uint64_t attempt, const rr_job *job,
                                uint32_t task);
/* Returns the status of the placement's task in the newest heartbeat, or NULL. */
const rr_task_status *rr_task_status_find(const rr_machine *machine, const rr_placement *placement);
/* Whether the machine is known to have the image (an index of names). */
bool rr_machine_has_image(const rr_machine *machine, int image);

#endif
