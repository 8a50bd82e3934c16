/* Settings of a controller. Plain data, filled once by src/app/settings.c before any thread starts,
 * and read-only from then on; no lock. */
#ifndef RR_CONF_CONFIG_H
#define RR_CONF_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#define RR_CONTROLLERS_MAX 32
#define RR_TEAMS_MAX 256
#define RR_OBJECTIVES_MAX 64
#define RR_NAME_SIZE 128 /* bytes of a name, with the NUL */

/* An IPv4 address and port. */
struct rr_endpoint {
    char host[64];
    uint16_t port;
};

/* Another controller of the cell. */
struct rr_peer_config {
    char name[RR_NAME_SIZE];
    char zone[RR_NAME_SIZE];
    struct rr_endpoint endpoint;
};

/* A team with its shares and limits of resources; 0: none. */
struct rr_team_config {
    char name[RR_NAME_SIZE];
    double cpus, cpus_max, gpus, gpus_max;
};

/* A service objective of a job class. */
struct rr_objective {
    char kind[32];
    char job_class[RR_NAME_SIZE];
    double within_s;
    double share;
};

/* The operators' own settings (HCL-like file), with defaults and ranges in src/app/settings.c. */
struct rr_tuning {
    bool rebalance;            /* false: no rebalancing */
    double rebalance_period_s; /* pause between rebalances */
    int rebalance_moves;       /* moves in one rebalance, at most, */
    double rebalance_share;    /* or this share of the machines, if that is more */
    double session_share;      /* lease of the session, as a share of cancel_s - lease_s */
    double answer_share; /* how long heartbeats are answered while the store cache stands still, as
                            a share of what cancellations allow */
    double recent_heartbeat_intervals; /* heartbeats missed before a machine gets no new work */
    double
        dead_heartbeat_intervals; /* heartbeats missed before a single machine is declared dead */
    double idle_return_s;         /* idle time before a rented machine is returned */
    double headroom;              /* factor on the arrivals expected during a boot */
    double boot_patience;         /* boots longer than this many startup_s are not counted on */
    double cloud_list_s;          /* pause between lists of machines */
    int senders;                  /* command threads */
    int max_connections;          /* HTTP connections, at most */
    int max_threads;              /* of the process; each connection takes one */
    double plan_pause_ms;         /* pause between two plans, at least */
};

/* All settings. Durations and sizes have their unit in the name; rps: requests per second. */
struct rr_config {
    char node_name[RR_NAME_SIZE];
    char zone[RR_NAME_SIZE];
    struct rr_endpoint bind, peer_listen, cloud, state;
    struct rr_peer_config peers[RR_CONTROLLERS_MAX];
    size_t peer_count;
    struct rr_team_config teams[RR_TEAMS_MAX];
    size_t team_count;
    struct rr_objective objectives[RR_OBJECTIVES_MAX];
    size_t objective_count;
    double clock_off_s; /* difference between two wall clocks, at most */
    double heartbeat_interval_s;
    double lease_s;     /* a worker ends its tasks after so long without an answer */
    double cancel_s;    /* bound between a confirmed cancellation and the end of its tasks */
    double gang_wait_s; /* a gang's task ends after waiting so long for the others */
    double gang_peer_s; /* a gang's tasks notice within this time that one ends or is to stop */
    double state_rps, state_write_rps, value_kb;
    int transaction_changes_max;
    /* Limits that the key-value store may switch to without notice; 0 or equal to the above where
     * the settings name none. */
    double next_rps, next_write_rps, next_value_kb;
    int next_transaction_changes_max;
    double cloud_rps, list_lag_s;
    double core_share, ram_mb;
    int max_sockets;
    bool admission; /* fair admission is switched on */
    bool cells;     /* work may spill over between cells */
    struct rr_tuning tuning;
};

/* The index of a team in the settings; -1: there is none of this name. */
static inline int rr_config_team(const struct rr_config *config, const char *name) {
    for (size_t i = 0; i < config->team_count; i++) {
        if (strcmp(config->teams[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* The limits that writes keep to: the smaller of the present and the later one, since a larger
 * record could not be written again under the later limit. The division of a job's tasks over
 * ledger records follows the present limit, which is the same in every version. */
static inline double rr_value_kb_max(const struct rr_config *config) {
    return config->next_value_kb > 0 && config->next_value_kb < config->value_kb
               ? config->next_value_kb
               : config->value_kb;
}

/* Changes in one transaction, at most; see rr_value_kb_max(). */
static inline int rr_transaction_changes_max(const struct rr_config *config) {
    return config->next_transaction_changes_max > 0 &&
                   config->next_transaction_changes_max < config->transaction_changes_max
               ? config->next_transaction_changes_max
               : config->transaction_changes_max;
}

/* The lease of a session: short enough for a quick takeover, longer than an ordinary restart. */
static inline double rr_session_lease_s(const struct rr_config *config) {
    return config->tuning.session_share * (config->cancel_s - config->lease_s);
}

/* How long heartbeats are answered after the last moment up to which the store cache is known to
 * have every cancellation. A worker that is answered at the end of this time ends its tasks lease_s
 * later, which must be within cancel_s of any cancellation that this controller can't know of. The
 * remainder covers the drift of two clocks and the time that stopping takes. */
static inline double rr_heartbeat_reply_s(const struct rr_config *config) {
    double room = config->cancel_s - config->lease_s;
    return config->tuning.answer_share *
           (room - (room < 5 ? 0.2 * room : 1) - 0.002 * config->cancel_s);
}

#endif
