/* The settings of a controller. src/app/settings.c fills them before any other thread starts; from
 * then on they are read-only and need no lock. */
#ifndef RR_CONF_CONFIG_H
#define RR_CONF_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#define RR_CONTROLLERS_MAX 32
#define RR_TEAMS_MAX 256
#define RR_OBJECTIVES_MAX 64
#define RR_NAME_SIZE 128 /* buffer size of a name in bytes, with the NUL */

/* An IPv4 address and port. */
struct rr_endpoint {
    char host[64]; /* in dotted decimal */
    uint16_t port;
};

/* Another controller of the same cell. */
struct rr_peer_config {
    char name[RR_NAME_SIZE];
    char zone[RR_NAME_SIZE];
    struct rr_endpoint endpoint; /* where it listens for other controllers */
};

/* A team with its resource guarantees and limits. */
struct rr_team_config {
    char name[RR_NAME_SIZE];
    double cpus, cpus_max; /* guaranteed CPUs, and most CPUs in use at a time; 0: none, no limit */
    double gpus, gpus_max; /* the same for GPUs */
};

/* A service level objective of a job class. */
struct rr_objective {
    char kind[32];                /* "wait": time that jobs may queue; no other kind is used */
    char job_class[RR_NAME_SIZE]; /* empty: none */
    double within_s;              /* the time within which the objective is to be met */
    double share; /* the share of cases, 0 to 1, that are to meet it; checked, but not used */
};

/* The operators' tuning settings, from a file with an HCL-like syntax. src/app/settings.c has their
 * names in the file, defaults and ranges. */
struct rr_tuning {
    bool rebalance;            /* false: tasks are never moved for rebalancing */
    double rebalance_period_s; /* time between two rebalancing rounds */
    /* A rebalancing round makes at most rebalance_moves moves, or as many as rebalance_share of the
     * number of machines, whichever is more. */
    int rebalance_moves;
    double rebalance_share;
    /* Duration of a session's lease, as a share of cancel_s - lease_s. */
    double session_lease_share;
    /* How long heartbeats are answered while the store cache is not updated, as a share of the time
     * that the cancellation bound allows; see rr_heartbeat_reply_window_s(). */
    double heartbeat_reply_share;
    /* Limits on the age of a machine's last heartbeat, in heartbeat intervals. */
    double recent_heartbeat_intervals; /* above it the machine gets no new work */
    double dead_heartbeat_intervals;   /* above it a single machine may be declared dead */
    double idle_return_s;              /* idle time after which a rented machine is returned */
    double headroom; /* factor on the arrivals expected while a machine starts; 0: no headroom */
    /* A machine that takes longer to start than this many times its type's startup_s is not counted
     * as capacity. */
    double startup_wait_factor;
    double cloud_list_period_s; /* time between two requests for the cloud's list of machines */
    int command_thread_count;   /* number of command threads */
    int max_connections;        /* most HTTP connections at a time */
    int max_threads;            /* most threads of the process; each HTTP connection takes one */
    double plan_pause_min_ms;   /* least pause between two plans */
};

/* All settings. Names of durations and sizes end with the unit; rps: requests per second. */
struct rr_config {
    char node_name[RR_NAME_SIZE];
    char zone[RR_NAME_SIZE];
    struct rr_endpoint bind;           /* HTTP server for users and workers */
    struct rr_endpoint peer_listen;    /* listener for the cell's other controllers */
    struct rr_endpoint cloud;          /* the cloud's API */
    struct rr_endpoint store_endpoint; /* the key-value store */
    struct rr_peer_config peers[RR_CONTROLLERS_MAX];
    size_t peer_count;
    struct rr_team_config teams[RR_TEAMS_MAX];
    size_t team_count;
    struct rr_objective objectives[RR_OBJECTIVES_MAX];
    size_t objective_count;
    double clock_skew_max_s;     /* largest difference between two machines' wall clocks */
    double heartbeat_interval_s; /* time between two heartbeats of a worker */
    double lease_s;  /* a worker ends its tasks when its heartbeats are unanswered for this long */
    double cancel_s; /* most time from the confirmation of a cancellation to the end of its tasks */
    double gang_wait_s; /* a task of a gang ends after waiting this long for the others to start */
    double gang_peer_s; /* within this time a gang's tasks notice that one of them ends or stops */
    /* The key-value store's limits on all requests, on writes, on the size of a value and on the
     * changes in a transaction. */
    double store_rps, store_write_rps, value_kb;
    int transaction_changes_max;
    /* Limits that the key-value store may switch to without notice. A limit that the settings don't
     * name equals the present one; 0 counts as not named. */
    double next_store_rps, next_store_write_rps, next_value_kb;
    int next_transaction_changes_max;
    double cloud_rps;        /* request limit of the cloud's API */
    double cloud_list_lag_s; /* usual time until a change shows in the cloud's list of machines */
    /* Limits of this process. */
    double core_share; /* CPU cores; checked, but not used */
    double ram_mb;
    int max_sockets;
    bool admission; /* fair admission is enabled */
    bool cells;     /* jobs may spill over to other cells */
    struct rr_tuning tuning;
};

/* Returns the index of the team with this name in config->teams; -1: there is none. */
static inline int rr_config_find_team(const struct rr_config *config, const char *name) {
    for (size_t i = 0; i < config->team_count; i++) {
        if (strcmp(config->teams[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Returns the size limit, in kilobytes, that written values keep to: the smaller of the present and
 * the next limit, because a larger record could not be rewritten under the next limit. Only the
 * division of a job's tasks into ledger records follows the present limit, which is the same in
 * every version. */
static inline double rr_value_kb_max(const struct rr_config *config) {
    return config->next_value_kb > 0 && config->next_value_kb < config->value_kb
               ? config->next_value_kb
               : config->value_kb;
}

/* Returns the most changes that a transaction may have: the smaller of the present and the next
 * limit, for the reason given at rr_value_kb_max(). */
static inline int rr_transaction_changes_max(const struct rr_config *config) {
    return config->next_transaction_changes_max > 0 &&
                   config->next_transaction_changes_max < config->transaction_changes_max
               ? config->next_transaction_changes_max
               : config->transaction_changes_max;
}

/* Returns the duration of a session's lease: short enough for a quick takeover, longer than an
 * ordinary restart. */
static inline double rr_session_lease_s(const struct rr_config *config) {
    return config->tuning.session_lease_share * (config->cancel_s - config->lease_s);
}

/* Returns how long heartbeats are answered after the last moment up to which the store cache is
 * known to contain every cancellation. A worker that is answered at the end of this time ends its
 * tasks lease_s later, which must be within cancel_s of any cancellation that this controller can't
 * know of. The margins cover the time that stopping a task takes and the drift of two clocks. */
static inline double rr_heartbeat_reply_window_s(const struct rr_config *config) {
    double available_s = config->cancel_s - config->lease_s;
    double stop_margin_s = available_s < 5 ? 0.2 * available_s : 1;
    double drift_margin_s = 0.002 * config->cancel_s;
    return config->tuning.heartbeat_reply_share * (available_s - stop_margin_s - drift_margin_s);
}

#endif
