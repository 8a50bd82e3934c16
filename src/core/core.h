/* The core: the mirrored state and every decision on it. No I/O, no clock, no thread and no lock:
 * the shell hands in events and times and carries out what comes back, one call at a time (src/app
 * holds its lock around each call). Steady times are `now`, times of day `wall`, both in seconds.
 */
#ifndef RR_CORE_CORE_H
#define RR_CORE_CORE_H

#include "conf/config.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

#define RR_KEY_ROOT "rr/"

typedef struct rr_core rr_core;

rr_core *rr_core_create(const struct rr_config *config);
void rr_core_destroy(rr_core *core);

/* Where the core tells what it decided, and the highest level wanted; set once by the shell. */
typedef void (*rr_core_log_fn)(int level, const char *line);
void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level);
/* How short the store's changes are for this controller, 0 plenty, 1 none, and how many a plan may
 * make now. Completions are gathered for longer when they are short, so that one change ends more
 * of them; and no plan waits for its changes, since others book the same room meanwhile. */
void rr_core_set_pressure(rr_core *core, double pressure, int changes);

/* The state service has refused a valid transaction: its lower limits hold from here on. in_doubt:
 * an earlier copy of it went unanswered and may be carried out yet. A new term voids it, as every
 * plan is guarded by the term's record. */
void rr_core_lower_limits(rr_core *core, bool in_doubt);

/* ---- the mirror of the state service ---- */
/* A full reread starts: keys not seen again will go. Until it ends nothing is decided. */
void rr_core_cache_begin_reload(rr_core *core);
void rr_core_cache_put(rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version, double now);
void rr_core_cache_delete(rr_core *core, const char *key, uint64_t version, double now);
/* Ends a full reread whose pages were of the revisions first to last: what came after the first
 * stays, and nothing is decided before the watch has brought the mirror to the last. */
void rr_core_cache_end_reload(rr_core *core, uint64_t first, uint64_t last, double now);
bool rr_core_cache_consistent(const rr_core *core);
/* Our own transaction, committed at this revision: planning goes on without waiting for the watch.
 */
void rr_core_apply(rr_core *core, const rr_transaction *transaction, uint64_t revision, double now);
void rr_core_set_revision(rr_core *core, uint64_t revision);
uint64_t rr_core_revision(const rr_core *core);
bool rr_core_cache_loaded(const rr_core *core);

/* ---- sessions and terms ---- */
/* Our own session: its lease, and until when it surely holds: until then we may plan. */
void rr_core_set_session(rr_core *core, uint64_t lease_id, double valid_until);
/* The mirror has every change made before this time: workers' reports may be answered for
 * rr_heartbeat_reply_s from there, longer than the session lasts. */
void rr_core_set_cache_current(rr_core *core, double when);
bool rr_core_lease_valid(const rr_core *core, double now);
/* The shell's own timers have just fired late: there is more work than processor time. */
void rr_core_set_timers_late(rr_core *core, double now);
bool rr_core_timers_late(const rr_core *core, double now,
                         double within); /* so, not longer ago than this */
/* Whether our node key stands in the mirror with this lease. */
bool rr_core_session_seen(const rr_core *core, uint64_t lease_id);
void rr_core_encode_session(const struct rr_config *config, rr_encoder *encoder, uint64_t lease_id);
/* The transaction that makes the next term if the sessions differ from the present one; false:
 * nothing to change. */
bool rr_core_next_term(rr_core *core, double now, double wall, rr_transaction *out);
unsigned rr_core_live_controllers(const rr_core *core);
/* This controller's part of what the store allows a second, by what it has to write: requests, and
 * changes for users, its plans and the provisioner's records. */
struct rr_budget_shares {
    double requests, users, plans, autoscaler;
};
void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out);
uint64_t rr_core_fencing_token(const rr_core *core);
bool rr_core_is_autoscaler(const rr_core *core, double now);

/* ---- users ---- */
enum rr_submission_check {
    RR_SUBMISSION_NEW,
    RR_SUBMISSION_KNOWN,
    RR_SUBMISSION_UNSATISFIABLE,
    RR_SUBMISSION_UNDECIDED
};
enum rr_submission_check rr_core_check_submission(const rr_core *core,
                                                  const rr_submission *submission,
                                                  const char **why);
typedef struct {
    bool known, done, cancelled;
    const char *state;
    uint32_t done_count, running_count;
    uint64_t version;
} rr_job_view;
void rr_core_job_view(const rr_core *core, const char *job_id, double now, rr_job_view *out);
void rr_core_job_key(const char *job_id, char *out, size_t size);
/* Several jobs accepted with one change: n encoded jobs follow. tether and n make the key unique.
 */
void rr_core_batch_begin(rr_encoder *encoder, size_t count);
void rr_core_batch_key(uint64_t lease_id, uint64_t number, char *out, size_t size);
void rr_core_job_encode(rr_encoder *encoder, const rr_submission *submission, double when,
                        bool cancelled);
/* The record of a known job, marked cancelled. False if it is unknown or final. */
bool rr_core_cancel_record(const rr_core *core, const char *job_id, rr_encoder *encoder,
                           uint64_t *version);
bool rr_core_ready(const rr_core *core, double now);

/* ---- workers ---- */
enum rr_heartbeat_news { RR_HEARTBEAT_IGNORED, RR_HEARTBEAT_UNCHANGED, RR_HEARTBEAT_CHANGED };
/* Takes over the report's content. via: index of the peer that heard it, -1: this controller. What
 * it was: nothing new, only a sign of life, or news. */
enum rr_heartbeat_news rr_core_take_heartbeat(rr_core *core, double now, rr_heartbeat *heartbeat,
                                              int via);
/* Takes over the answer to a command or probe, and vouches for the machine. True: the machine has
 * lately reported by itself, so that others may take this for a report. */
bool rr_core_take_command_reply(rr_core *core, double now, rr_heartbeat *heartbeat, int via);
/* The machine has just answered this process: it is not known from late copies alone. */
void rr_core_verify_machine(rr_core *core, double now, const rr_heartbeat_digest *digest);
/* A peer has just said something on its link to us. */
void rr_core_peer_contacted(rr_core *core, double now, int peer);
/* A peer heard the machine again. False: not known here, or not news. */
bool rr_core_take_heartbeat_digest(rr_core *core, double now, const rr_heartbeat_digest *digest,
                                   int via);
/* Which peers need a machine's reports whole, as bits of their indices: with every change the
 * owners of its tasks and the provisioner; now and then all owners. */
uint32_t rr_core_heartbeat_subscribers(const rr_core *core, const char *machine,
                                       uint32_t *now_and_then);
struct rr_heartbeat_reply {
    int status; /* 200, 421 or 503 */
    uint64_t fencing_token;
    const char *peer; /* with 421, may be NULL */
    GArray *commands; /* rr_command, with 200 */
};
/* Another controller has confirmed this job's cancellation to its user. */
void rr_core_add_cancel_hint(rr_core *core, const char *job_id, double now);
/* Every controller of the term reads what this version tells its peers beside the one before. */
bool rr_core_all_gang_capable(const rr_core *core);
void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out);

/* ---- planning (team owner) ---- */
typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE];
    uint64_t fencing_token, worker_epoch;
    GArray *commands;  /* rr_command; empty: only ask for the machine's status */
    int via;           /* peer to go through, -1: direct */
    int fallback;      /* peer to try if nothing could be sent directly, -1: none */
    bool may_time_out; /* it may well not answer: not before others' commands */
} rr_command_batch;

typedef struct {
    bool has_transaction;
    rr_transaction transaction;
    GPtrArray *command_batches; /* rr_command_batch* */
    double next_s;              /* look again after this long at the latest */
} rr_plan;

void rr_plan_init(rr_plan *plan);
void rr_plan_clear(rr_plan *plan);
void rr_command_batch_free(rr_command_batch *batch);
void rr_core_plan(rr_core *core, double now, double wall, rr_plan *out);
enum rr_command_outcome { RR_COMMAND_ANSWERED, RR_COMMAND_NOT_SENT, RR_COMMAND_OUTCOME_UNKNOWN };
/* After rr_core_take_heartbeat() of the answer's body, if there was one. */
void rr_core_command_result(rr_core *core, double now, const rr_command_batch *batch,
                            enum rr_command_outcome outcome, bool executed);

/* A machine reports but answers no command, says a controller that sent some. */
void rr_core_suspect(rr_core *core, const char *machine, double now);
/* Those that this controller has found so: char*. */
void rr_core_list_suspects(rr_core *core, double now, GPtrArray *out);

/* ---- renting (provisioner) ---- */
enum rr_autoscaler_step_kind {
    RR_AUTOSCALER_NONE,
    RR_AUTOSCALER_CATALOG,
    RR_AUTOSCALER_LIST,
    RR_AUTOSCALER_COMMIT,
    RR_AUTOSCALER_SCALE_OUT,
    RR_AUTOSCALER_SCALE_IN
};
typedef struct {
    enum rr_autoscaler_step_kind kind;
    rr_transaction transaction;                                            /* TXN */
    char rental[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE]; /* HIRE */
    bool spot;
    int count;
    GPtrArray *machines; /* RELEASE: char* */
} rr_autoscaler_step;
void rr_autoscaler_step_init(rr_autoscaler_step *step);
void rr_autoscaler_step_clear(rr_autoscaler_step *step);
void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out);
void rr_core_catalog_read(rr_core *core, double now,
                          const GArray *machine_types /* rr_machine_type */);
void rr_core_machines_listed(rr_core *core, double asked_at, double now, double wall,
                             const GArray *machines /* rr_listed_machine */);
/* status: 200 with ids, 503 no capacity, else: unknown, try again later. */
void rr_core_scale_out_result(rr_core *core, double now, const rr_autoscaler_step *step, int status,
                              const GPtrArray *ids);
void rr_core_scale_in_result(rr_core *core, double now, const GPtrArray *ids);

/* ---- for packages beside the core (package_views.c) ---- */
/* Hands every record under this prefix to fn, with the rest of its key, whenever the mirror takes
 * it; value NULL: it is deleted. At most RR_RECORD_WATCHES prefixes, before the first record comes.
 */
#define RR_RECORD_WATCHES 2
typedef void (*rr_core_record_fn)(void *user, const char *rest, const msgpack_object *value,
                                  uint64_t version);
void rr_core_watch_records(rr_core *core, const char *prefix, rr_core_record_fn callback,
                           void *user);
/* Recorded machines that are neither returned nor gone. */
typedef void (*rr_core_machine_fn)(void *user, const char *type, const char *zone, double cpu,
                                   double gpu, double mem);
void rr_core_each_machine(const rr_core *core, rr_core_machine_fn callback, void *user);
/* Jobs kept as more than a line; of a final one nothing waits. team: of the settings. */
typedef void (*rr_core_job_fn)(void *user, const rr_submission *submission, int team,
                               uint32_t waiting, uint32_t placed, uint32_t done);
void rr_core_each_job(const rr_core *core, rr_core_job_fn callback, void *user);
bool rr_core_job_known(const rr_core *core, const char *job_id);
/* A change that only this term's provisioner may make. */
void rr_core_guard_term(const rr_core *core, rr_transaction *transaction);
/* Every controller of the term takes part in fair admission. */
bool rr_core_all_admission_capable(const rr_core *core);
double rr_core_cache_age(const rr_core *core, double now); /* it surely had every change before */
/* Under overload no team fills more than its part of all room (rooms, by team of the settings)
 * while others wait; NULL: no overload. The rooms are copied. */
void rr_core_set_fair_room(rr_core *core, const double *rooms, double cpu, double gpu, double mem);

/* One job, as far as another cell is concerned. */
typedef struct {
    const rr_submission *submission; /* valid while the core is locked */
    double at;                       /* wall, when accepted */
    bool known;                      /* its record is */
    bool done, cancelled;
    uint32_t placed, done_count;
} rr_core_job;
/* False: not known as more than a line; a final one may still be. */
bool rr_core_find_job(const rr_core *core, const char *job_id, rr_core_job *out);
/* Who plans the team's jobs in this term: a controller's name, NULL: nobody. */
const char *rr_core_team_owner(const rr_core *core, const char *team);
/* Adds the job's final record, done. False: no such job is open, or tasks of it are placed here
 * (unless those are surely gone). */
bool rr_core_finish_job(const rr_core *core, const char *job_id, bool placed_are_gone,
                        rr_transaction *transaction);
/* Guards the record of a job that is open. False: it is not. */
bool rr_core_guard_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* Adds a record of the job that marks it cancelled. False: it is not known or final. */
bool rr_core_abandon_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* Jobs that this controller plans, of which nothing has begun; none of another cell. at: wall, when
 * accepted. */
typedef void (*rr_core_spillable_fn)(void *user, const rr_submission *submission, double when);
void rr_core_each_spillable(const rr_core *core, double now, rr_core_spillable_fn callback,
                            void *user);
/* Every controller of the term keeps the holds below. */
bool rr_core_all_hold_capable(const rr_core *core);
/* The job's cancellation is confirmed, by its record or a peer's word. */
bool rr_core_job_cancelled(const rr_core *core, const char *job_id, double now);

/* ---- jobs that another cell has a say in (transfer_holds.c) ---- */
enum rr_hold_kind {
    RR_HOLD_TRANSFERRED, /* offered to another cell: not placed here */
    RR_HOLD_RETURNED,    /* it was: placed only in a term whose owner knows that it is over there */
    RR_HOLD_GUEST,       /* another cell's: placed, and left running, while that one grants it */
};
/* The job's owner places none of its tasks until it is released, in every term anew. */
void rr_core_hold_job(rr_core *core, const char *job_id, enum rr_hold_kind kind);
void rr_core_unhold_job(rr_core *core, const char *job_id);
/* In the present term, until then. */
void rr_core_release_job(rr_core *core, const char *job_id, double until);
/* Takes the release back: what runs is stopped. */
void rr_core_revoke_job(rr_core *core, const char *job_id);

/* ---- for logs and tests ---- */
typedef struct {
    unsigned machines, booting, jobs_open, tasks_waiting, tasks_placed, moves;
    unsigned rented, given_up, leases_lost, notices; /* so far */
    unsigned visits;                                 /* machines looked at so far */
    unsigned jobs_whole;                             /* jobs kept as more than a line */
    double priced;
} rr_core_stats;
void rr_core_get_stats(const rr_core *core, rr_core_stats *out);

#endif
