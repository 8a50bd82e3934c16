/* Settings as the core and the shell see them. Plain data, filled once by src/app/settings.c before
 * any thread starts, and read-only from then on. */
#ifndef RR_CONF_CONFIG_H
#define RR_CONF_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#define RR_CONTROLLERS_MAX 32
#define RR_TEAMS_MAX 256
#define RR_OBJECTIVES_MAX 64
#define RR_NAME_SIZE 128

struct rr_endpoint {
    char host[64];
    uint16_t port;
};

struct rr_peer_config {
    char name[RR_NAME_SIZE];
    char zone[RR_NAME_SIZE];
    struct rr_endpoint endpoint;
};

struct rr_team_config {
    char name[RR_NAME_SIZE];
    double cpus, cpus_max, gpus, gpus_max; /* 0: none */
};

struct rr_objective {
    char kind[32];
    char job_class[RR_NAME_SIZE];
    double within_s;
    double share;
};

/* The operators' own settings (HCL-like file), with defaults and ranges in src/app/settings.c. */
struct rr_tuning {
    double rebalance_period_s; /* pause between re-orchestration rounds */
    int rebalance_moves;       /* moves a round at most, */
    double rebalance_share;    /* or this share of the machines, if that is more */
    bool rebalance;            /* false: no re-orchestration */
    double session_share;      /* session time as a share of cancel_s - lease_s */
    double answer_share;   /* how long reports are answered by a store cache that stands still, as a
                              share of what cancellations allow */
    double silent_reports; /* reports missed before a machine takes no new work */
    double dead_reports;   /* reports missed before a lone silent machine is given up */
    double idle_return_s;  /* idle time before a rented machine goes back */
    double headroom;       /* factor on arrivals expected during a boot */
    double boot_patience;  /* boots longer than this many startup_s are not counted on */
    double cloud_list_s;   /* pause between machine lists */
    int senders;           /* threads that carry commands to workers */
    int max_connections;   /* HTTP connections at most */
    int max_threads;       /* of the process; a connection takes one */
    double plan_pause_ms;  /* least pause between two plans */
};

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
    double clock_off_s;
    double heartbeat_interval_s, lease_s, cancel_s;
    double gang_wait_s; /* a gang's task gives up after waiting so long for the others */
    double gang_peer_s; /* within this the others notice that one is gone, or is told to stop */
    double state_rps, state_write_rps, value_kb;
    int transaction_changes_max;
    /* The limits that the key-value store will have from some moment on, without notice; 0 or the
     * same as above where the settings name none. */
    double next_rps, next_write_rps, next_value_kb;
    int next_transaction_changes_max;
    double cloud_rps, list_lag_s;
    double core_share, ram_mb;
    int max_sockets;
    bool admission; /* fair admission is switched on here */
    bool cells;     /* work may spill over to other cells, and theirs to this one */
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

/* What is written obeys the smaller of the key-value store's limits from the first write on: what
 * is larger could not be written again once they are lowered. How a job's tasks are parted over the
 * records of its ledger follows the present limit, in every version alike. */
static inline double rr_value_kb_max(const struct rr_config *config) {
    return config->next_value_kb > 0 && config->next_value_kb < config->value_kb
               ? config->next_value_kb
               : config->value_kb;
}

static inline int rr_transaction_changes_max(const struct rr_config *config) {
    return config->next_transaction_changes_max > 0 &&
                   config->next_transaction_changes_max < config->transaction_changes_max
               ? config->next_transaction_changes_max
               : config->transaction_changes_max;
}

/* The lease of a session: short, so that another takes over soon from one that has lost the
 * key-value store; longer than an ordinary restart takes. */
static inline double rr_session_lease_s(const struct rr_config *config) {
    return config->tuning.session_share * (config->cancel_s - config->lease_s);
}

/* How long reports are answered by a store cache that learns of no cancellation, from the last
 * moment up to which it knows them all. A worker answered last at the end of this time ends by its
 * lease, and that must be within cancel_s of any cancellation that this controller can't know: the
 * rest is for the drift of two clocks and the stop itself. */
static inline double rr_heartbeat_reply_s(const struct rr_config *config) {
    double room = config->cancel_s - config->lease_s;
    return config->tuning.answer_share *
           (room - (room < 5 ? 0.2 * room : 1) - 0.002 * config->cancel_s);
}

#endif
