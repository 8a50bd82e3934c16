/* The simulation of the decision trace: users, workers, a cloud and a key-value store on one fake
 * clock, around two or three controllers with the real core. The seed determines every event, and
 * all output of the cores is hashed.
 *
 * trace_core.c: scenarios, faults and the steps of a run. trace_controllers.c: sessions, terms,
 * plans, and the fate of transactions, commands and heartbeats. trace_workers.c: machines and their
 * tasks. trace_cloud.c: the cloud's side of the autoscaler. trace_users.c: submissions,
 * cancellations and reads. trace_beside.c: admission and the transfers between cells, which have
 * simulations of their own.
 *
 * Times are in seconds of the steady clock, fields named *_until the end of a fault: it is over
 * once the clock reaches the value. */
#ifndef RR_TESTS_TRACE_WORLD_H
#define RR_TESTS_TRACE_WORLD_H

#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core_fixture.h"
#include "trace_hash.h"

#define TRACE_CONTROLLERS_MAX 3
#define TRACE_ZONES 3
#define TRACE_WALL_CLOCK_OFFSET_S 1e6 /* wall clock minus steady clock */

/* What a seed runs. Fields named *_per_s are expected events a second, *_share are shares of 1. */
struct trace_scenario {
    const char *name;
    double jobs_per_s; /* in addition to initial_jobs */
    double runtime_s;  /* mean of the tasks */
    double cancels_per_s, faults_per_s, takeovers_per_s, partitions_per_s, spot_notices_per_s;
    double failing_job_share; /* jobs whose tasks fail */
    double lost_reply_share;  /* commands and transactions whose reply gets lost */
    int controller_count, team_count;
    int own_machines;                              /* the operator's, up from the beginning */
    int cloud_machines;                            /* the most that can be rented at a time */
    int initial_jobs;                              /* submitted at once, early in the run */
    int array_weight, service_weight, gang_weight; /* relative frequency of each kind of job */
    int urgent_percent;                            /* of the jobs */
    int log_level;
    bool team_limits; /* teams have limits and guarantees */
    bool fair_shares; /* controllers get fair shares, which change at random */
    bool job_holds;   /* jobs are held for other cells, released and revoked */
    bool rebalancing;
    bool lower_store_limits; /* the key-value store's limits are lowered during the run */
    bool write_pressure;     /* writes to the key-value store are scarce */
    bool foreign_records;    /* other versions and operators write records that this one does not */
};

struct trace_job {
    char id[RR_ID_SIZE];
    enum rr_job_kind kind;
    uint32_t task_count;
    double runtime_s;
    bool tasks_fail, cancelled;
};

/* A task as its worker has it. */
struct trace_task {
    const struct trace_job *job;
    uint32_t index; /* within the job */
    uint64_t attempt;
    enum rr_task_state state;
    enum rr_exit_reason exit_reason;
    double state_since, state_until; /* when the state began and is due to end */
};

/* A machine and its worker. */
struct trace_machine {
    char id[RR_ID_SIZE], address[RR_ID_SIZE];
    const char *type, *zone;
    bool spot;
    bool listed; /* in the cloud's lists */
    bool failed; /* listed as failed */
    bool up;
    double created_at;
    double boots_at; /* far in the future: never */
    double heartbeat_at;
    double terminates_at; /* with a spot notice until then; -1: no notice */
    double frozen_until;  /* the worker does nothing */
    double heartbeats_lost_until, commands_lost_until;
    double tasks_fail_until;
    double lease_until;
    uint64_t worker_epoch, sequence;
    uint64_t fencing_token; /* the highest that it has accepted */
    int controller_index;   /* of the controller that it sends heartbeats to */
    GArray *tasks;          /* struct trace_task */
};

struct trace_controller {
    test_controller fixture;
    int index;
    bool running;           /* the process */
    bool store_unreachable; /* the process runs without the key-value store */
    bool session_open;      /* the store has the controller's record */
    double recovers_at;     /* when the process starts again or reaches the store again */
    uint64_t session;       /* lease of the session */
    double session_until;
    uint64_t batch_count;       /* records of several jobs written so far */
    uint64_t min_plan_revision; /* store revision to be seen before the next plan, 0: any */
};

/* A batch of commands under way. */
struct trace_pending_command {
    int controller_index; /* of the sender */
    uint64_t session;     /* the sender's */
    rr_command_batch *batch;
    double due_at; /* when the core learns of the outcome */
    bool sent, delivered, replied;
    bool deliver_late;     /* deliver it long after the outcome was reported */
    bool outcome_reported; /* to the core */
};

/* A heartbeat that may be delivered again. */
struct trace_heartbeat_copy {
    rr_heartbeat heartbeat;
    int forwarding_peer; /* index of the peer that forwards it, -1: none */
};

struct trace_world {
    struct trace_scenario scenario;
    GRand *random;
    trace_hash hash;
    fake_store *store;
    double now;
    double step_max_s;
    unsigned steps; /* so far */
    struct trace_controller controllers[TRACE_CONTROLLERS_MAX];
    uint64_t last_session; /* lease of the session opened last */
    GPtrArray *machines;   /* struct trace_machine*, which it owns */
    GHashTable *machine_by_id;
    GPtrArray *jobs; /* struct trace_job*, which it owns */
    GHashTable *job_by_id;
    GPtrArray *pending_commands; /* struct trace_pending_command* */
    GPtrArray *heartbeat_copies; /* struct trace_heartbeat_copy* */
    GHashTable *rentals;         /* name -> GPtrArray of machine names, char* */
    double partitioned_until[TRACE_ZONES];
    double rentals_refused_until;
    bool limits_announced; /* the settings name the next store limits */
    bool limits_lowered;   /* the store enforces them */
};

extern const char *const trace_zone_names[TRACE_ZONES];

/* True with this probability; for an event of a rate, pass the rate times the step's seconds. */
bool trace_chance(struct trace_world *world, double probability);
/* Returns 0 to below - 1. */
int trace_random_int(struct trace_world *world, int below);
/* Returns a number of at least `from` and less than `below`. */
double trace_random_double(struct trace_world *world, double from, double below);
/* The same from `random`. GLib's own range function may be built with fused operations, whose
 * results differ between processors. */
double trace_random_double_from(GRand *random, double from, double below);

/* ---- trace_workers.c ---- */

/* Creates a machine that is not up yet; the world owns it. type and zone have to outlive it. */
struct trace_machine *trace_machine_create(struct trace_world *world, int number, const char *type,
                                           const char *zone, bool spot);
void trace_machine_free(gpointer pointer);
/* Advances all machines and tasks to the present. */
void trace_advance_workers(struct trace_world *world);
/* Fills *out with the machine's next heartbeat, which the caller clears. */
void trace_make_heartbeat(struct trace_world *world, struct trace_machine *machine,
                          rr_heartbeat *out);
/* Executes the batch. False: refused, as its fencing token or its worker epoch is out of date. */
bool trace_execute_batch(struct trace_world *world, struct trace_machine *machine,
                         const rr_command_batch *batch);
/* Executes the commands (rr_command) without these checks. */
void trace_execute_commands(struct trace_world *world, struct trace_machine *machine,
                            const GArray *commands);
/* Ends the machine and its tasks; the cloud lists it as failed. */
void trace_machine_kill(struct trace_machine *machine);
/* Puts another machine under the same name: an empty one in its first epoch. */
void trace_machine_replace(struct trace_world *world, struct trace_machine *machine);
/* Returns a random machine that is up, or NULL. */
struct trace_machine *trace_pick_machine(struct trace_world *world);

/* ---- trace_cloud.c ---- */

/* Has the core fill *step with its next autoscaler step, and carries it out. */
void trace_run_autoscaler_step(struct trace_world *world, struct trace_controller *controller,
                               rr_autoscaler_step *step);

/* ---- trace_users.c ---- */

/* Makes the users' requests of a step of this length. */
void trace_run_users(struct trace_world *world, double seconds);
/* Submits one job or a few in one record. */
void trace_submit_jobs(struct trace_world *world);
/* Writes a record of a form that this version does not write, or deletes one. */
void trace_write_foreign_record(struct trace_world *world);
/* Hashes the state of some jobs, as users poll it. */
void trace_poll_jobs(struct trace_world *world, const struct trace_controller *controller);
/* Hashes all that users, other cells and operators can read from the core. */
void trace_query_core(struct trace_world *world, struct trace_controller *controller);

/* ---- trace_controllers.c ---- */

/* Starts or restarts the controller's process and opens its session. */
void trace_controller_start(struct trace_world *world, int index);
/* Stops the process or cuts it off from the key-value store, for so many seconds. */
void trace_controller_stop(struct trace_world *world, struct trace_controller *controller,
                           double seconds);
/* Reads all records again, if the key-value store is reachable. */
void trace_controller_reload(struct trace_world *world, struct trace_controller *controller);
/* Renews sessions, ends expired ones, syncs the store caches and starts new terms. */
void trace_advance_sessions(struct trace_world *world);
/* Makes the plans and autoscaler steps of all controllers, in random order. */
void trace_run_plans(struct trace_world *world);
/* Delivers the commands that are due and reports their outcomes. */
void trace_deliver_commands(struct trace_world *world);
/* Commits a core's transaction. True: committed. The core learns of it at once or, if the reply
 * gets lost, with the next watch. */
bool trace_commit(struct trace_world *world, struct trace_controller *controller,
                  const rr_transaction *transaction);
/* Sends the heartbeats that are due, and some old ones again. */
void trace_send_heartbeats(struct trace_world *world);
/* Returns the peer's index in the owner's settings. */
int trace_peer_index(const struct trace_controller *owner, const struct trace_controller *peer);
bool trace_zone_partitioned(const struct trace_world *world, const char *zone);
/* Returns a random controller that is running, or NULL. */
struct trace_controller *trace_pick_controller(struct trace_world *world);
double trace_wall_clock_s(const struct trace_world *world);
void trace_pending_command_free(gpointer pointer);
void trace_heartbeat_copy_free(gpointer pointer);

/* ---- trace_core.c ---- */

#define TRACE_SEEDS 24
#define TRACE_STEPS 400
#define TRACE_CHECKPOINT_STEPS 50
/* Runs one seed and appends a line for each checkpoint. */
void trace_run_core(unsigned seed, GString *out);

/* ---- trace_beside.c ---- */

/* As trace_run_core, for admission and for the transfers between two cells. */
void trace_run_admission(unsigned seed, GString *out);
void trace_run_cells(unsigned seed, GString *out);

#endif
