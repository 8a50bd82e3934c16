/* The world that the decision trace plays: users, workers, a cloud and a key-value store on one
 * fake clock, around two or three cores. Everything that happens follows from the seed; everything
 * that a core gives out goes into the hash.
 *
 * trace_workers.c: machines and their tasks. trace_cloud.c: the cloud's side of the autoscaler.
 * trace_users.c: submissions, cancellations and questions. trace_controllers.c: sessions, terms,
 * plans and what becomes of transactions and commands. trace_core.c: the scenarios. */
#ifndef RR_TESTS_TRACE_WORLD_H
#define RR_TESTS_TRACE_WORLD_H

#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core_fixture.h"
#include "trace_hash.h"

#define TRACE_CONTROLLERS 3
#define TRACE_ZONES 3
#define TRACE_WALL 1e6 /* time of day at steady time 0 */

/* What a seed plays. Rates are expected events in a second. */
struct trace_scenario {
    const char *name;
    double jobs_per_s; /* after those that come at once */
    double runtime_s;  /* of tasks, on average */
    double cancels_per_s, faults_per_s, takeovers_per_s, cuts_per_s, notices_per_s;
    double failing_jobs; /* share whose tasks fail */
    double lost_answers; /* share of commands and transactions */
    int controllers, teams;
    int own_machines;                    /* there from the beginning */
    int cloud_machines;                  /* that the cloud has for rent */
    int first_jobs;                      /* come at once */
    int arrays, services, gangs, urgent; /* shares among the jobs; urgent: in a hundred */
    int log_level;
    bool limited_teams; /* limits and guarantees */
    bool fair_room, holds, rounds, lowered_limits, short_of_changes;
    bool odd_records; /* versions and operators that write what this version does not */
};

struct trace_job {
    char id[RR_ID_SIZE];
    enum rr_job_kind shape;
    uint32_t tasks;
    double runtime_s;
    bool fails, cancelled;
};

/* A task as its worker has it. */
struct trace_task {
    const struct trace_job *job;
    uint32_t task;
    uint64_t attempt;
    enum rr_task_state standing;
    enum rr_exit_reason cause;
    double since, until; /* in this state */
};

struct trace_machine {
    char id[RR_ID_SIZE], address[RR_ID_SIZE];
    const char *type, *zone;
    bool spot;
    bool listed, failed; /* by the cloud */
    bool up;
    double made_at, up_at, report_at, notice_at; /* notice_at <0: none */
    double hung_until, mute_until, deaf_until, ill_until;
    double lease_until;
    uint64_t worker_epoch, sequence, fencing_token;
    int controller; /* that it reports to */
    GArray *tasks;  /* struct trace_task */
};

struct trace_controller {
    test_controller node;
    int index;
    bool running;     /* the process */
    bool wedged;      /* it has lost the key-value store */
    bool joined;      /* its session is there */
    double back_at;   /* a stopped process, or a wedged one, is back then */
    uint64_t session; /* its lease */
    double session_until;
    uint64_t batches; /* written so far */
    uint64_t need;    /* revision to be seen before the next plan */
};

/* A command on its way: its outcome is known at `due`. */
struct trace_flight {
    int controller;
    uint64_t session;
    rr_command_batch *command;
    double due;
    bool sent, arrives, answered;
    bool late;   /* it arrives long after its outcome was given up */
    bool judged; /* the core knows the outcome */
};

/* A copy of a report that may arrive once more. */
struct trace_copy {
    rr_heartbeat report;
    int via;
};

struct trace_world {
    struct trace_scenario scenario;
    GRand *random;
    trace_hash hash;
    fake_store *store;
    double now;
    double step_max_s;
    unsigned steps;
    struct trace_controller controllers[TRACE_CONTROLLERS];
    uint64_t sessions;   /* leases so far */
    GPtrArray *machines; /* struct trace_machine* */
    GHashTable *machine_by_id;
    GPtrArray *jobs; /* struct trace_job* */
    GHashTable *job_by_id;
    GPtrArray *flights;  /* struct trace_flight* */
    GPtrArray *copies;   /* struct trace_copy* */
    GHashTable *rentals; /* name -> GPtrArray of char*, as the cloud remembers them */
    double cut_until[TRACE_ZONES];
    double zone_empty_until; /* the cloud refuses */
    bool announced;          /* the settings name the limits to come */
    bool lowered;            /* and they are there */
};

extern const char *const trace_zone_names[TRACE_ZONES];

/* Chance: true with this probability; an event of so many a second in a step of this length. */
bool trace_chance(struct trace_world *world, double probability);
int trace_roll(struct trace_world *world, int below); /* 0 to below - 1 */
double trace_between(struct trace_world *world, double from, double below);

/* ---- trace_workers.c ---- */
struct trace_machine *trace_machine_new(struct trace_world *world, int number, const char *type,
                                        const char *zone, bool spot);
void trace_machine_free(gpointer pointer);
void trace_workers_advance(struct trace_world *world);
/* The report that the machine makes now; to be cleared. */
void trace_report_of(struct trace_world *world, struct trace_machine *machine, rr_heartbeat *out);
/* It executes the command. False: refused, as its token or its epoch is not the present one. */
bool trace_execute(struct trace_world *world, struct trace_machine *machine,
                   const rr_command_batch *command);
void trace_execute_orders(struct trace_world *world, struct trace_machine *machine,
                          const GArray *commands);
/* The machine is gone, or another one stands under its name. */
void trace_machine_dies(struct trace_machine *machine);
void trace_machine_reborn(struct trace_world *world, struct trace_machine *machine);
struct trace_machine *trace_any_machine(struct trace_world *world); /* one that is up, or NULL */

/* ---- trace_cloud.c ---- */
void trace_cloud_step(struct trace_world *world, struct trace_controller *controller,
                      rr_autoscaler_step *step);

/* ---- trace_users.c ---- */
void trace_users(struct trace_world *world, double seconds);
void trace_submit(struct trace_world *world);
/* A record of a form that this version does not write. */
void trace_odd_record(struct trace_world *world);
/* Users poll some jobs. */
void trace_polls(struct trace_world *world, const struct trace_controller *controller);
/* What a user, a neighbour or an operator may ask a core. */
void trace_questions(struct trace_world *world, struct trace_controller *controller);

/* ---- trace_controllers.c ---- */
void trace_controller_start(struct trace_world *world, int index);
void trace_controller_stop(struct trace_world *world, struct trace_controller *controller,
                           double seconds);
void trace_controller_reread(struct trace_world *world, struct trace_controller *controller);
/* Renews sessions, ends those that ran out, and makes the next term. */
void trace_sessions(struct trace_world *world);
/* All plans and autoscaler steps of one moment. */
void trace_plans(struct trace_world *world);
void trace_flights(struct trace_world *world);
/* Commits what a core asked for; the core may learn of it at once or with the next watch. */
bool trace_commit(struct trace_world *world, struct trace_controller *controller,
                  const rr_transaction *transaction);
void trace_reports(struct trace_world *world);
/* The peer's index in the owner's settings. */
int trace_peer_index(const struct trace_controller *owner, const struct trace_controller *peer);
bool trace_is_cut(const struct trace_world *world, const char *zone);
struct trace_controller *trace_any_controller(struct trace_world *world); /* running, or NULL */
double trace_wall(const struct trace_world *world);
void trace_flight_free(gpointer pointer);
void trace_copy_free(gpointer pointer);

/* ---- trace_core.c ---- */
#define TRACE_SEEDS 24
#define TRACE_STEPS 400
#define TRACE_CHECKPOINT 50 /* steps */
/* Plays one seed and appends a line for each checkpoint. */
void trace_core_play(unsigned seed, GString *out);

/* ---- trace_beside.c ---- */
/* The same for admission and for transfers between two cells. */
void trace_admission_play(unsigned seed, GString *out);
void trace_cells_play(unsigned seed, GString *out);

#endif
