/* Inside the core only: the model that its files share. */
#ifndef RR_CORE_MODEL_H
#define RR_CORE_MODEL_H

#include "core/core.h"
#include "core/state/name_index.h"

#define RR_TASKS_PER_RECORD_MIN                                                                    \
    16 /* tasks in one record of the ledger: what a value of the store holds */
#define RR_TASKS_PER_RECORD_MAX 256
#define RR_RESOURCE_EPSILON 1e-6
#define RR_ARRIVAL_WINDOW_S 120.0 /* arrivals count for headroom this long */
#define RR_LATE_TIMER_GRACE_S                                                                      \
    2.0 /* after a late timer silences and failed probes say nothing this long */

typedef struct {
    double cpus, gpus, mem_gb;
} rr_resources;

/* In the ledger: how a placement is to make room. */
enum rr_preempt_mode { RR_PREEMPT_NONE, RR_PREEMPT_SAVING, RR_PREEMPT_AT_ONCE };

typedef struct rr_job rr_job;
typedef struct rr_machine rr_machine;

/* A placement as its machine holds it: the ledger's entry, then what only this process remembers of
 * it. */
typedef struct {
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* of the record that holds it */
    uint64_t attempt, worker_epoch;
    int preempt; /* enum rr_preempt_mode: to be stopped for work of higher rank, or moved away */
    /* volatile */
    double seen_at;       /* when the mirror first showed it */
    double start_at;      /* last start sent, 0: none */
    double stop_at;       /* last stop sent, 0: none */
    double stop_grace_s;  /* the time it left */
    double terminated_at; /* since when it is known to be over, 0: it is not */
    bool leaving;         /* a plan under construction stops it */
} rr_placement;

/* The same placement as its record holds it. */
typedef struct {
    rr_machine *machine;
    uint32_t task;
    uint64_t attempt, worker_epoch;
    int preempt;
} rr_placement_record;

/* One record of the ledger: the placements of a chunk of a job's tasks, and which are done. One
 * change books or ends many tasks of a job, which a ledger by machine can't. Where the state
 * service's limits to come leave a record less room than its chunk has tasks, overflow records
 * beyond the job's chunks hold placements of any of its tasks, and no completions: those stay in
 * the chunk's own record, where every version reads them. */
typedef struct {
    uint32_t chunk;
    uint64_t version;             /* 0: not in the store */
    uint64_t deleted_at_revision; /* revision of its end: what is not newer says nothing */
    GArray *placements;           /* rr_placement_record */
    bool seen_in_reload;          /* seen in the reread that is under way */
    void *edit;                   /* scratch of one plan */
    guint first_terminated; /* likewise: 1 + the index of the first placement known to be over, 0:
                               none */
} rr_ledger_record;

/* A record of machines, written by the provisioner. */
typedef struct {
    uint32_t id;
    uint64_t version;
    size_t bytes;      /* their size, roughly */
    guint entry_count; /* in the record; one that moved to another page may still be among them */
    bool seen_in_reload;
} rr_machine_page;

/* Jobs accepted together, in one record. */
typedef struct {
    uint64_t version;
    GPtrArray *jobs; /* rr_job* */
} rr_job_batch;

struct rr_job {
    rr_submission submission;
    int team, job_class, image;
    rr_resources request;
    uint64_t version;     /* of the record that tells of it */
    uint64_t own_version; /* of its own record, 0 while it is known from a batch only */
    double accepted_at;   /* wall, when accepted */
    bool cancelled, done, open;
    guint8 *done_bits; /* done tasks, one bit each; NULL once final */
    guint8 *placed;    /* placements a task has in the ledger */
    uint32_t done_count, placed_count, next_task_hint;
    uint32_t tasks_per_record; /* tasks in a record of its ledger */
    GPtrArray
        *records; /* rr_ledger_record* by chunk, NULL where there is none; NULL: none at all */
    uint32_t terminated_count,
        completing_count;       /* scratch of one plan: tasks known to be over, to be recorded */
    double failed_at;           /* steady; no room was found for it then */
    bool guarded, ending;       /* scratch of one plan */
    bool idle;                  /* final and out of use since the last look */
    uint32_t replaceable_count; /* likewise: tasks that one change would bring back, 0: no matter */
    double team_fill;           /* likewise, under overload: how full its team's fair room is, */
    double class_fill;          /* and what its class fills of all room */
    uint32_t lost_count;     /* scratch of one simulation: placements on machines that are gone */
    int zone;                /* of completed tasks of a one-zone job, -1 */
    GArray *failed_machines; /* rr_machine ids (int) where a task failed */
    double backoff_until;    /* steady; placed no sooner */
    double first_seen;       /* steady */
};

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
    double scaling_in_at; /* when the mirror first showed ret */
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
    /* provisioner */
    bool listed, list_failed, to_record, rented, to_release, declared_dead, releasing;
    bool surplus;
    int probe_fails;
    double listed_at, idle_since, probed_at;
    /* scratch of one plan or simulation */
    rr_resources free;
    int reserved_image; /* image of the last task booked here in this plan, -1 */
    bool emptied;
    GArray *reserved_jobs; /* rr_job*: booked here in this plan; NULL: none */
    guint leaving, arriving;
};

typedef struct {
    char *prefix;
    rr_core_record_fn callback;
    void *user;
} rr_record_watch;

typedef struct {
    char name[RR_NAME_SIZE];
    uint64_t lease_id;
    bool keeps_holds;      /* keeps holds of other cells' jobs */
    uint64_t capabilities; /* 0: a version that knows no gangs; not kept in terms */
} rr_session;

typedef struct {
    uint64_t token, version;
    GArray *members;      /* rr_session */
    double first_term_at; /* wall, of the first term */
} rr_term;

typedef struct {
    char name[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    int count;
    uint64_t version;
    bool seen_in_reload;
    double tried_at; /* 0: never */
    bool answered, refused;
    GPtrArray *machine_ids; /* char*, once answered */
} rr_rental;

typedef struct {
    rr_job *job;
    uint32_t task;
    rr_machine *from, *to;
} rr_move;

/* Something heard now and then: when last, and since when without a pause. */
typedef struct {
    double last_at, unbroken_since;
} rr_contact;

typedef struct {
    guint machines, heard; /* machines that were up, and those of them heard lately */
    guint recent;          /* and in the last part of a report interval */
} rr_zone_heartbeats;

/* The rules rest on what is stored, and on observations only where they prove something; scratch is
 * of one plan or simulation and says nothing after it. */
struct rr_core {
    const struct rr_config *config;
    rr_core_log_fn log;
    int log_level;
    uint32_t chunk; /* tasks in one record of the ledger */

    /* Names as dense indices. */
    rr_name_index teams, zones, machine_types, job_classes, images;

    /* Stored: the mirror of the state service. */
    GArray *build_info; /* rr_machine_type, by index; sku empty: not in the catalogue */
    GHashTable *jobs;   /* ref -> rr_job */
    GHashTable *finals; /* ref -> tasks done * 2 + 1 if done: final jobs of which nothing is left */
    GPtrArray *open;    /* rr_job*, not final or with placements */
    GHashTable *machines; /* name -> rr_machine */
    GPtrArray *machine_list;
    GHashTable *pages;    /* id -> rr_machine_page */
    GHashTable *batches;  /* key -> rr_job_batch */
    GHashTable *sessions; /* node name -> rr_session */
    GHashTable *rentals;  /* name -> rr_rental */
    GPtrArray *garbage;   /* char*: keys of ledger records whose jobs are final */
    GArray *team_used;    /* rr_resources by team: all placements in the ledger */
    rr_term term;
    uint64_t epoch;
    uint64_t settle; /* revision at which the last reread is one consistent state */
    double fresh_at; /* the mirror has every change made before */
    uint32_t next_page;
    int next_machine_id;
    bool loaded, rereading;
    bool catalog_known;
    bool lowered; /* the state service's next limits hold: it has refused what the old allowed */
    bool anew;    /* a new term is wanted, whatever the sessions say */

    /* Membership: this controller's session, and what follows from the term. */
    uint64_t lease_id;
    double entitled_until;
    uint64_t counter;         /* for attempts and request names, with the token */
    uint64_t all_dirty_token; /* the term for which all machines were looked at */
    GArray *owners;           /* int by configured team: place in the term of its owner */
    guint parts, part;        /* owners of teams in this term; which of them this controller is */
    int autoscaler;           /* place in the term, -1 */
    int place;                /* this controller's, -1 */
    int peer_at[RR_CONTROLLERS_MAX]; /* by place in the term: index of the peer, -1: this controller
                                      */

    /* Observed by this process. */
    GPtrArray *dirty;                     /* rr_machine*: something about them is to be looked at */
    GHashTable *gone;                     /* name -> double*: when its record went */
    GHashTable *cancel_hints;             /* job id -> double*: until when */
    GArray *cut_at;                       /* double by zone: when most of it was last silent */
    GArray *zone_counts;                  /* rr_zone_heartbeats by zone, as of the last look */
    rr_contact peers[RR_CONTROLLERS_MAX]; /* by index: their links to us */
    rr_contact direct;                    /* workers' reports to this controller itself */
    GArray *arrivals;                     /* rr_job*: lately */
    double looked_at, woke_at; /* the last look at zones; the first after a pause of our own */
    double late_at;            /* our timers last fired late, 0: never */
    double pressure; /* 0: changes at the store are plentiful; 1: there are none to spare */
    double short_at; /* a plan was last cut short by the changes it might make */

    /* The provisioner's. */
    GArray *fresh_builds;     /* rr_machine_type read from the cloud, to be recorded */
    GHashTable *refused;      /* "build|zone|kind" -> double*: not before */
    GHashTable *stray_failed; /* names listed as failed without a record */
    uint64_t provisioner_token;
    double provisioner_since, list_at, sim_at, parted_at;
    double catalog_at; /* steady, last read from the cloud by this process */
    double rented_at;  /* wall, when the last rental was asked for */
    bool list_read, ever_rented;

    /* Planning, from one plan to the next. */
    double probe_at, strangers_at, batches_at, recount_at, shrunk_at;
    GArray *plan_moves; /* rr_move of a round still to make */
    double round_at, calm_since;
    uint64_t round_token;
    int round_left; /* moves left in this round */
    int changes;    /* that a plan may make now */
    unsigned plans;

    /* Given by packages beside the core. */
    rr_record_watch watches[RR_RECORD_WATCHES];
    guint record_watch_count;
    GHashTable *holds;              /* job id -> rr_hold (transfer_holds.c) */
    bool fair;                      /* the next two hold */
    double fair_room[RR_TEAMS_MAX]; /* part of all room, by team of the settings */
    rr_resources all_room;

    /* Counters, for the log and the tests of growth. */
    unsigned visits; /* machines looked at */
    unsigned moves_made, probing, rented, given_up, leases_lost, notices;

    /* Scratch of one plan. */
    GArray *team_booked; /* rr_resources by team */
};

/* Formats nothing that is not printed. */
#define rr_log_at(c, level, ...)                                                                   \
    do {                                                                                           \
        if ((c)->log && (level) <= (c)->log_level) {                                               \
            rr_log_line_at(c, level, __VA_ARGS__);                                                 \
        }                                                                                          \
    } while (0)
void rr_log_line_at(const rr_core *core, int level, const char *fmt, ...) G_GNUC_PRINTF(3, 4);
#define RR_LOG_ERROR 0
#define RR_LOG_INFO 1
#define RR_LOG_DEBUG 2

/* resources */
static inline rr_resources rr_resources_add(rr_resources left, rr_resources right, double sign) {
    return (rr_resources){left.cpus + sign * right.cpus, left.gpus + sign * right.gpus,
                          left.mem_gb + sign * right.mem_gb};
}
static inline bool rr_resources_fit(rr_resources need, rr_resources room) {
    return need.cpus <= room.cpus + RR_RESOURCE_EPSILON &&
           need.gpus <= room.gpus + RR_RESOURCE_EPSILON &&
           need.mem_gb <= room.mem_gb + RR_RESOURCE_EPSILON;
}
/* Free room on the scarcest resource, as a share of the machine. */
double rr_resources_free_share(rr_resources room, rr_resources capacity);

/* machine_pages.c */
void rr_machine_type_put(rr_core *core, const msgpack_object *value);
void rr_machine_page_put(rr_core *core, const char *rest, const msgpack_object *value,
                         uint64_t version, double now);
void rr_machine_page_delete(rr_core *core, const char *rest, uint64_t version, double now);
/* Its record has gone, and so has it. */
void rr_machine_record_removed(rr_core *core, rr_machine *machine, double now);
const rr_machine_type *rr_machine_type_at(const rr_core *core, int machine_type);
rr_resources rr_machine_capacity(const rr_core *core, const rr_machine *machine);
double rr_machine_price(const rr_core *core, const rr_machine *machine);
size_t rr_machine_page_entry_bytes(const rr_core *core, const rr_machine *machine);
/* The record of a page, its machines as the flags in them say now. */
void rr_machine_page_encode(const rr_core *core, rr_encoder *encoder,
                            const GPtrArray *machines /* rr_machine* */);

/* core.c */
rr_machine *rr_machine_get(rr_core *core, const char *name, double now);
void rr_machine_forget(rr_core *core, rr_machine *machine);
void rr_mark_dirty(rr_core *core, rr_machine *machine); /* it is to be reconciled */
void rr_machine_page_key(uint32_t page, char *out, size_t size);
bool rr_job_task_done(const rr_job *job, uint32_t task);
void rr_arrivals_trim(rr_core *core, double wall); /* those that count no more go */
/* A final job that is kept as a line only; *done and *ndone may be NULL. */
bool rr_job_final(const rr_core *core, const char *job_id, bool *done, uint32_t *ndone);
/* Jobs are known for good, but final ones out of use shrink to a line. */
void rr_jobs_shrink(rr_core *core, double wall);
rr_ledger_record *rr_job_ledger_record(rr_job *job, uint32_t chunk); /* makes it if need be */
uint32_t rr_job_chunks(const rr_job *job); /* the first overflow record has this number */
bool rr_job_overflows(const rr_job *job);  /* it has overflow records */
void rr_ledger_record_key(const char *job_id, uint32_t chunk, char *out, size_t size);
/* The record of a chunk with these placements; done: tasks (uint32_t) completed beside those known.
 */
void rr_ledger_record_encode(const rr_core *core, rr_encoder *encoder, const rr_job *job,
                             uint32_t chunk, const GArray *items, const GArray *done, int zone);
size_t rr_ledger_record_bytes(guint items);
rr_resources rr_team_usage(const rr_core *core, int team);
void rr_recount_team_usage(
    rr_core *core); /* sums anew: what is added and taken off for ever drifts */
/* The record that the i-th key of garbage names, and its job; NULL: not in the mirror. */
rr_ledger_record *rr_garbage_record(const rr_core *core, guint i, rr_job **job);
rr_placement *rr_placement_find(const rr_machine *machine, uint64_t attempt, const rr_job *job,
                                uint32_t task);
const rr_task_status *rr_task_status_find(const rr_machine *machine, const rr_placement *placement);
bool rr_machine_has_image(const rr_machine *machine, int image);
/* Counts what the plan under construction has booked, too. */
bool rr_machine_has_task(const rr_machine *machine, const rr_job *job);
const struct rr_objective *rr_objective_for(const rr_core *core, const char *kind,
                                            const char *job_class);
void rr_rental_key(const char *name, char *out, size_t size);

/* term.c */
bool rr_is_member(const rr_core *core);
/* Every controller of the term knows gangs. One that comes back in an older version ends that. */
bool rr_all_gang_capable(const rr_core *core);
/* So does each of them, and takes part in fair admission. */
#define RR_CAPABILITY_GANGS 1
#define RR_CAPABILITY_ADMISSION 2
bool rr_all_capable(const rr_core *core, uint64_t capable);
/* A number that no other attempt has, of whatever controller and term; later ones are higher within
 * a team. */
uint64_t rr_next_attempt(rr_core *core);
uint64_t rr_attempt_token(uint64_t attempt); /* of the term in which it was booked */
guint rr_attempt_member(uint64_t attempt);   /* and the place there of who booked it */
guint rr_member_index(const rr_core *core);  /* this controller's place in the term */
bool rr_owns_team(const rr_core *core, int team);
void rr_assign_shards(rr_core *core); /* finds owners and provisioner of a new term */

/* failure_detector.c */
bool rr_machine_heartbeat_overdue(const rr_core *core, const rr_machine *machine,
                                  double now); /* does not report on */
bool rr_machine_heartbeat_recent(const rr_core *core, const rr_machine *machine, double now);
bool rr_machine_schedulable(const rr_core *core, const rr_machine *machine, double now);
bool rr_machine_name_reused(const rr_machine *machine, double now); /* another one under its name */
bool rr_machine_quarantined(const rr_machine *machine, double now);
bool rr_machine_heartbeats_lost(const rr_core *core, const rr_machine *machine, double now);
bool rr_machine_failed_recently(const rr_machine *machine,
                                double now); /* failed a task not long ago */
void rr_record_task_failure(rr_core *core, rr_machine *machine, rr_job *job, double now);
/* To be called before machines are judged: counts who is heard in each zone and keeps when each was
 * last cut off. */
void rr_detect_partitions(rr_core *core, double now);
bool rr_zone_partitioned(const rr_core *core, int zone); /* most of it, at the last count */
void rr_contact_record(rr_contact *contact, double now);
/* Every other controller of the term has been heard without a pause for so long. */
bool rr_peers_connected_for(const rr_core *core, double now, double seconds);
bool rr_machine_commands_unanswered(
    const rr_machine *machine); /* reports, but commands get no answer */
bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now);
double rr_heartbeat_age(const rr_machine *machine, double now);

/* gang_phase.c */
enum rr_gang_phase {
    RR_GANG_QUEUED,   /* no task is on a machine or booked */
    RR_GANG_RESERVED, /* all are booked; none is shown yet */
    RR_GANG_WAITING,  /* some are shown; not all run */
    RR_GANG_RUNNING,  /* all run */
    RR_GANG_STOPPING, /* one is lost or has to go: all go, and come back together */
    RR_GANG_ENDING    /* done or cancelled: what is left goes */
};
/* From the ledger and the reports alone, so that a new owner reaches the same. */
enum rr_gang_phase rr_gang_phase(const rr_core *core, const rr_job *job, double now);
/* Every task of it is to be stopped. *saving: all of them can be told to save first. */
bool rr_gang_stops(const rr_core *core, const rr_job *job, double now, bool *saving);
uint32_t rr_gang_tasks_max(const rr_core *core); /* tasks of one gang at most */

/* cancel_hints.c */
bool rr_has_cancel_hint(const rr_core *core, const char *job_id, double now);

/* transfer_holds.c */
bool rr_job_held(const rr_core *core, const rr_job *job,
                 double now);                                /* none of its tasks is placed */
bool rr_job_revoked(const rr_core *core, const rr_job *job); /* and those that run go */
bool rr_job_transferred(const rr_core *core, const rr_job *job);
bool rr_job_of_another_cell(const rr_core *core, const rr_job *job);

/* package_views.c */
bool rr_watched_record(const rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version);
void rr_job_final_record(const rr_job *job, rr_transaction *transaction); /* done */

/* bin_packing.c */
bool rr_job_allows(const rr_core *core, const rr_job *job, int machine_type, int zone, bool spot);
/* The zones in which one more task of the job may start, given its placements (and, while moving,
 * not counting `except`): fills allowed[zone]. */
void rr_job_zones(const rr_core *core, const rr_job *job, bool *allowed,
                  const rr_placement *except);
/* The same from counts that the caller keeps while it books: placements by zone. */
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

/* rebalancing.c */
bool rr_rebalance_due(rr_core *core, double now);
void rr_rebalance(rr_core *core, double now);

#endif
