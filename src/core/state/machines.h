/* Machines in the store cache: what the store records of them, what this process has observed, and
 * the placements on them. */
#ifndef RR_CORE_STATE_MACHINES_H
#define RR_CORE_STATE_MACHINES_H

#include "core/state/ledger_record.h"
#include "core/state/resources.h"
#include "wire/wire.h"

/* Times are steady seconds unless said otherwise. A time of 0 means never, unless another value is
 * given for that. Counters "in a row" restart at 0 when the series is interrupted. */
struct rr_machine {
    int id; /* ids count up from 0 and are never reused */
    char name[RR_ID_SIZE], address[RR_ID_SIZE];
    int machine_type, zone; /* name indices, -1: not known yet */
    bool spot;              /* a spot instance, which the cloud may take back */
    /* Recorded in the store. */
    bool recorded;       /* a machine page contains the machine */
    bool operator_owned; /* not rented by the autoscaler and never returned */
    bool scaling_in;     /* the record announces its release: no new work is placed there */
    bool gone; /* its record was removed, which proves that the machine and its tasks have ended */
    bool seen_in_reload;  /* the full reload in progress has brought the machine */
    bool dirty;           /* listed for reconciliation */
    double created_at;    /* time of day, seconds */
    uint32_t page;        /* id of the machine page that contains it */
    double scaling_in_at; /* when scaling_in entered the store cache */
    GArray *placements;   /* rr_placement */
    rr_resources used;    /* sum of its placements' requests */
    /* Observed by this process; not stored. */
    bool heartbeat_seen;
    bool recorded_while_watching; /* the watch brought its record before any heartbeat arrived */
    bool verified; /* proven to be running now; a single heartbeat may be a delayed copy */
    bool command_inflight;
    unsigned stale_answers;       /* answers in a row that were older than the newest heartbeat */
    double stale_answers_since;   /* when the first of them arrived */
    unsigned unanswered_commands; /* commands in a row without an answer */
    double commands_unanswered_since; /* when the first of them timed out */
    double suspect_until; /* until then the machine is probed, since a controller's commands to it
                             went unanswered */
    unsigned failed_suspect_probes;  /* failed probes in a row while heartbeats arrived */
    double suspect_probes_failed_at; /* when the first of them failed */
    rr_heartbeat heartbeat;          /* newest one; valid if heartbeat_seen */
    uint64_t heartbeat_hash;         /* of the content of the newest heartbeat */
    double heartbeat_at;             /* when the last heartbeat, digest or answer arrived */
    double known_at;                 /* when the machine or its record became known */
    double direct_path_bad_until;    /* until then commands are sent through a peer */
    double last_own_heartbeat_at;    /* to any controller; answers don't count */
    int forwarding_peer;    /* index of the peer that forwarded the last heartbeat, -1: none did */
    guint ended_task_count; /* tasks that the newest heartbeat reports as ended */
    GArray *images;         /* int: name indices of the images that the machine has, oldest first */
    GArray *failed_jobs;    /* rr_job*: jobs of which a task failed here */
    double last_task_failure_at; /* when a task last failed here */
    double full_until;       /* no new work is placed before this time, since the worker was full */
    GHashTable *sent_starts; /* uint64_t*: attempts whose start command was sent, see
                                rr_start_may_arrive() */
    uint64_t sent_starts_token; /* fencing token of these commands */
    uint64_t sent_starts_epoch; /* worker epoch of these commands */
    double next_command_at;     /* no command is sent before this time */
    double reap_deferred_since; /* since when the reaping of an exited task is deferred */
    /* Used by the autoscaler. */
    bool cloud_listed;      /* the cloud's list has contained the machine */
    bool gone_from_cloud;   /* failed, released or missing there: its record is to be removed */
    bool to_record;         /* a record is to be written */
    bool rented;            /* rented by this process */
    bool to_release;        /* to be released; the record follows as scaling_in */
    bool declared_dead;     /* to be released for a fault, in spite of its placements */
    bool release_requested; /* the call to the cloud that releases it has been made */
    bool surplus;           /* no task of the demand simulation needs the machine */
    int failed_probes;      /* in a row */
    double cloud_listed_at; /* when the first list that contains the machine was requested */
    double idle_since;      /* when it became known or its last placement ended */
    double probed_at;       /* when the last probe was sent */
    /* Scratch of one plan or simulation. */
    void *plan_commands;   /* rr_command_batch of the present plan, NULL: none */
    rr_resources free;     /* capacity that is not in use or reserved */
    int reserved_image;    /* name index of the last reserved task's image, -1: none */
    GArray *reserved_jobs; /* rr_job*: jobs with tasks reserved here, NULL: none */
};

/* A task that is to move to another machine. A move is dropped when its job or one of its machines
 * is forgotten. */
typedef struct {
    rr_job *job;
    uint32_t task;
    rr_machine *from, *to;
} rr_move;

/* Returns the machine with this name. Creates it without a record if the cache does not have it.
 * The cache owns the machine. */
rr_machine *rr_machine_get(rr_core *core, const char *name, double now);
/* Removes and frees a machine that has no placements, and drops the moves from or to it. */
void rr_machine_forget(rr_core *core, rr_machine *machine);
/* Frees a machine. Has the signature of GDestroyNotify. */
void rr_machine_free(gpointer data);
/* Lists the machine for reconciliation by the next plan. */
void rr_machine_mark_dirty(rr_core *core, rr_machine *machine);
/* Returns the placement of this attempt of the task on the machine, or NULL. The pointer is valid
 * until the machine's placements change. */
rr_placement *rr_placement_find(const rr_machine *machine, uint64_t attempt, const rr_job *job,
                                uint32_t task);
/* Returns the status of the placement's task in the newest heartbeat, or NULL. */
const rr_task_status *rr_task_status_find(const rr_machine *machine, const rr_placement *placement);
/* Returns whether the machine is known to have the image. image: name index. */
bool rr_machine_has_image(const rr_machine *machine, int image);

#endif
