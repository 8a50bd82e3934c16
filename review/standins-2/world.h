/* Stand-ins for everything around the controllers of one cell: the state service, the cloud, its
 * machines with their workers, and users. They follow PROTOCOL-ringrock.md. All addresses are on
 * loopback, all times are seconds of the steady clock unless a comment says otherwise. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "common/clock.h"
#include "net/client.h"
#include "wire/wire.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/types.h>

#define WORLD_CONTROLLERS_MAX 8
#define WORLD_MACHINES_MAX 64

/* ---- record.txt ---- */

/* Opens the record; lines carry the time since this call. */
void record_open(const char *path);
void record_close(void);
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);
double record_now(void);

/* ---- jobs, as their users describe them ---- */

struct job {
    char id[64]; /* the id that its user chose */
    char crew[32], lane[32], cast[32], ward[32];
    char shape[16], rank[16];
    int pieces;
    double vcpus, cards, mem_gb, pull_gb;
    double run_s;           /* true run time of a task; 0: a service */
    int long_from, long_to; /* tasks from long_from to below long_to run for long_run_s instead */
    double long_run_s;
    double cairn_s, stash_s;
    bool one_zone, apart, loaners;
    /* What its user has been told. */
    bool accepted, cancelled, done;
    double accepted_at, cancelled_at;
    guint8 *piece_done; /* by task: completed on some worker */
};

/* A task's presence on a machine: from the moment it has its image until it ends. */
struct run {
    struct job *job;
    int piece;
    char machine[32], zone[32], name[96];
    guint64 attempt;
    double from, until; /* until 0: still there */
};

/* ---- a cell ---- */

struct world;

/* One controller process and its own address of the state service. */
struct controller {
    struct world *world;
    int index;
    char name[32], zone[32];
    int bind_port, peer_port, state_port, cloud_port;
    char settings_path[256], log_path[256];
    pid_t pid;
    double ready_at;
    /* Faults at this controller's address of the state service. */
    bool refused;      /* 503; open watches wait */
    bool mute;         /* requests are not answered at all */
    double delay_s;    /* answers are held back for so long */
    double late_share; /* share of transactions without an answer that are carried out late */
    double lost_share; /* share of transactions carried out whose answer is lost */
};

struct world_settings {
    const char *name; /* prefix of names and files */
    int controllers;
    const char *zones[4]; /* NULL-terminated */
    const char *teams[8];
    double cpus[8], cpus_max[8], gpus[8], gpus_max[8]; /* by team */
    double report_s, lease_s, cancel_s, gang_wait_s, gang_peer_s;
    double state_rps, state_write_rps, value_kb;
    int txn_ops;
    double next_write_rps, next_value_kb; /* of deployment.state.next; 0: no such table */
    int next_txn_ops;
    double cloud_rps, list_lag_s;
    double vcpus, cards, mem_gb, price, spot_price, startup_s, pull_gb_per_s;
    const char *sku;
    int machines_max;       /* the cloud's capacity */
    int machines_up;        /* up at the start, round robin over the zones */
    const char *objectives; /* further lines of TOML, may be NULL */
    const char *cells_file; /* path for RINGROCK_CELLS, may be NULL; see cells_path() */
};

struct world *world_start(const struct world_settings *settings, const char *folder);
/* Ends the program and all controllers, with exit code 2, after so many seconds and when the
 * program is told to end by a signal. */
void world_guard(unsigned seconds);
/* Ends all processes of the cell and its stand-ins. */
void world_stop(struct world *world);

struct controller *world_controller(struct world *world, int index);
/* Starts the program with the command of the deploy file. */
void controller_start(struct controller *controller);
void controller_signal(struct controller *controller, int signal);
/* Kills the process without a signal that it could handle, and waits for its end. */
void controller_kill(struct controller *controller);
/* Returns whether the process still runs; reports one that has ended by itself. */
bool controller_runs(struct controller *controller);
bool controller_wait_ready(struct controller *controller, double seconds);

/* ---- faults of the services ---- */

/* The next transaction that puts a key with this prefix is carried out and not answered. Nothing
 * else that its controller asks of the state service is answered for so long after it, either; this
 * includes a watch that is open then. */
void world_lose_answers(struct world *world, const char *key_prefix, double seconds);
/* Returns the controller whose answers were lost, or NULL if that has not happened yet. */
struct controller *world_lost_at(struct world *world);
/* The state service has its next limits from now on. */
void world_lower_limits(struct world *world);
/* Writes the controller's settings again: the next limits as the present ones. */
void world_write_lower_settings(struct controller *controller);
void world_set_state_down(struct world *world, bool down);
void world_set_cloud_down(struct world *world, bool down);
/* Each direct command that has started a task of the job reaches its machine once more, as it was
 * sent. Returns the number of these commands. */
int world_repeat_starts(struct world *world, const struct job *job);
/* Share of direct commands that are held up, unanswered, and carried out later. */
void world_set_late_commands(struct world *world, double share, double min_s, double max_s);
/* Stops a machine's work and its network; it goes on when hung is false. */
void world_set_hung(struct world *world, int machine, bool hung);
/* The machine's reports reach nobody / answers and commands do not reach it. */
void world_set_mute(struct world *world, int machine, bool mute);
void world_set_deaf(struct world *world, int machine, bool deaf);
/* The machine is gone without notice. */
void world_take_machine(struct world *world, int machine);
int world_machine_count(struct world *world);
const char *world_machine_name(struct world *world, int machine);

/* ---- users ---- */

/* Names a job under another id as well: a guest cell's copy of it. */
void world_alias_job(struct world *world, struct job *job, const char *id);
/* Makes the job's description known to the workers, as users do. */
void world_upload_job(struct world *world, struct job *job);
/* The job's running tasks complete after so many seconds. */
void world_end_tasks(struct world *world, const struct job *job, double seconds);
/* One request to one controller. Returns the status, or -1; *standing (32 bytes) gets the answer's
 * standing, *done its number of done tasks (may be NULL). */
int user_submit(struct controller *controller, const struct job *job);
int user_poll(struct controller *controller, const char *id, char *standing, int *done);
int user_cancel(struct controller *controller, const char *id, char *standing);

/* ---- what was seen ---- */

/* Returns a copy of all runs so far (struct run), for g_array_unref(). */
GArray *world_runs(struct world *world);
double world_team_cpus(struct world *world, const char *crew);
/* Calls at each moment at which a task gets onto a machine; with the world's lock held. */
typedef void (*world_start_fn)(void *user, const struct run *run, const GArray *runs);
void world_on_start(struct world *world, world_start_fn callback, void *user);

int find_free_port(const char *address);

#endif
