#include "app/settings.h"
#include "app/toml.h"
#include "conf/endpoint.h"
#include "conf/settings_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define PATH_BYTES_MAX 96
#define AMOUNT_MAX 1e9
#define LIMIT_MAX 1e6
#define DAY_S 86400.0
#define HOUR_S 3600.0

/* ---- the platform's file ---- */

/* Reads one file up to its first error. */
struct settings_reader {
    const rr_toml *table;
    const char *file;
    GError *error; /* NULL: none so far */
};

static void fail(struct settings_reader *reader, enum rr_settings_error code, const char *path,
                 const char *reason) {
    if (reader->error) {
        return;
    }
    unsigned line = rr_toml_line(reader->table, path);
    if (line > 0) {
        g_set_error(&reader->error, RR_SETTINGS_ERROR, (int)code, "%s:%u: %s: %s", reader->file,
                    line, path, reason);
    } else {
        g_set_error(&reader->error, RR_SETTINGS_ERROR, (int)code, "%s: %s: %s", reader->file, path,
                    reason);
    }
}

/* rc: -ENOENT or -EINVAL, of rr_toml_text() and the like. */
static void fail_without_value(struct settings_reader *reader, int rc, const char *path,
                               const char *reason) {
    if (rc == -ENOENT) {
        fail(reader, RR_SETTINGS_ERROR_MISSING, path, "missing");
    } else {
        fail(reader, RR_SETTINGS_ERROR_WRONG_TYPE, path, reason);
    }
}

static void read_required_text(struct settings_reader *reader, const char *path, char *out,
                               size_t size) {
    int rc = rr_toml_text(reader->table, path, out, size);
    if (rc != 0) {
        fail_without_value(reader, rc, path, "must be text");
    } else if (!out[0]) {
        fail(reader, RR_SETTINGS_ERROR_OUT_OF_RANGE, path, "must not be empty");
    }
}

static void read_required_endpoint(struct settings_reader *reader, const char *path,
                                   struct rr_endpoint *out) {
    char text[128] = "";
    read_required_text(reader, path, text, sizeof text);
    if (!reader->error && rr_endpoint_parse(text, out) != 0) {
        fail(reader, RR_SETTINGS_ERROR_WRONG_TYPE, path, "must be an address like 10.0.0.1:8080");
    }
}

static void read_required_number(struct settings_reader *reader, const char *path, double min,
                                 double max, double *out) {
    char reason[96];
    int rc = rr_toml_number(reader->table, path, out);
    if (rc != 0) {
        fail_without_value(reader, rc, path, "must be a number");
    } else if (*out < min || *out > max) {
        snprintf(reason, sizeof reason, "must be between %g and %g", min, max);
        fail(reader, RR_SETTINGS_ERROR_OUT_OF_RANGE, path, reason);
    }
}

static void read_optional_number(struct settings_reader *reader, const char *path, double min,
                                 double max, double default_value, double *out) {
    double value;
    *out = default_value;
    if (rr_toml_number(reader->table, path, &value) != -ENOENT) {
        read_required_number(reader, path, min, max, out);
    }
}

/* The number of entries of an array of tables; 0 with an error. */
static size_t count_entries(struct settings_reader *reader, const char *path, size_t max) {
    int count = rr_toml_count(reader->table, path);
    if (count < 0) {
        fail(reader, RR_SETTINGS_ERROR_WRONG_TYPE, path, "must be an array of tables");
        return 0;
    }
    if ((size_t)count > max) {
        fail(reader, RR_SETTINGS_ERROR_OUT_OF_RANGE, path, "too many entries");
        return 0;
    }
    return (size_t)count;
}

static void read_peers(struct settings_reader *reader, struct rr_config *config) {
    char path[PATH_BYTES_MAX];
    config->peer_count = count_entries(reader, "seeds", RR_CONTROLLERS_MAX - 1);
    for (size_t i = 0; i < config->peer_count && !reader->error; i++) {
        snprintf(path, sizeof path, "seeds[%zu].node_name", i);
        read_required_text(reader, path, config->peers[i].name, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].zone", i);
        read_required_text(reader, path, config->peers[i].zone, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].endpoint", i);
        read_required_endpoint(reader, path, &config->peers[i].endpoint);
    }
}

static void read_teams(struct settings_reader *reader, struct rr_config *config) {
    static const char *const fields[] = {"cpus", "cpus_max", "gpus", "gpus_max"};
    char path[PATH_BYTES_MAX];
    config->team_count = count_entries(reader, "deployment.teams", RR_TEAMS_MAX);
    for (size_t i = 0; i < config->team_count && !reader->error; i++) {
        struct rr_team_config *team = &config->teams[i];
        double *values[] = {&team->cpus, &team->cpus_max, &team->gpus, &team->gpus_max};
        snprintf(path, sizeof path, "deployment.teams[%zu].name", i);
        read_required_text(reader, path, team->name, RR_NAME_SIZE);
        for (size_t k = 0; k < G_N_ELEMENTS(fields); k++) {
            snprintf(path, sizeof path, "deployment.teams[%zu].%s", i, fields[k]);
            read_optional_number(reader, path, 0, AMOUNT_MAX, 0, values[k]);
        }
    }
}

static void read_objectives(struct settings_reader *reader, struct rr_config *config) {
    char path[PATH_BYTES_MAX];
    config->objective_count = count_entries(reader, "deployment.objectives", RR_OBJECTIVES_MAX);
    for (size_t i = 0; i < config->objective_count && !reader->error; i++) {
        struct rr_objective *objective = &config->objectives[i];
        snprintf(path, sizeof path, "deployment.objectives[%zu].kind", i);
        read_required_text(reader, path, objective->kind, sizeof objective->kind);
        snprintf(path, sizeof path, "deployment.objectives[%zu].class", i);
        rr_toml_text(reader->table, path, objective->job_class, sizeof objective->job_class);
        snprintf(path, sizeof path, "deployment.objectives[%zu].within_s", i);
        read_optional_number(reader, path, 0, AMOUNT_MAX, 0, &objective->within_s);
        snprintf(path, sizeof path, "deployment.objectives[%zu].share", i);
        read_optional_number(reader, path, 0, 1, 0, &objective->share);
    }
}

static void read_addresses(struct settings_reader *reader, struct rr_config *config) {
    read_required_text(reader, "node_name", config->node_name, RR_NAME_SIZE);
    read_required_text(reader, "zone", config->zone, RR_NAME_SIZE);
    read_required_endpoint(reader, "bind", &config->bind);
    read_required_endpoint(reader, "peer_listen", &config->peer_listen);
    read_required_endpoint(reader, "services.cloud", &config->cloud);
    read_required_endpoint(reader, "services.state", &config->state);
}

static void read_worker_times(struct settings_reader *reader, struct rr_config *config) {
    read_required_number(reader, "deployment.workers.report_s", 0.01, HOUR_S,
                         &config->heartbeat_interval_s);
    read_required_number(reader, "deployment.workers.lease_s", 0.1, DAY_S, &config->lease_s);
    read_optional_number(reader, "deployment.workers.gang_wait_s", 0.1, DAY_S, 40,
                         &config->gang_wait_s);
    read_optional_number(reader, "deployment.workers.gang_peer_s", 0.1, DAY_S, 5,
                         &config->gang_peer_s);
    read_required_number(reader, "deployment.workers.cancel_s", 0.1, DAY_S, &config->cancel_s);
}

/* The key-value store's limits, and those that it will have later. */
static void read_store_limits(struct settings_reader *reader, struct rr_config *config) {
    double changes;
    read_required_number(reader, "deployment.state.rps", 1, LIMIT_MAX, &config->state_rps);
    read_required_number(reader, "deployment.state.write_rps", 1, LIMIT_MAX,
                         &config->state_write_rps);
    read_required_number(reader, "deployment.state.value_kb", 1, LIMIT_MAX, &config->value_kb);
    read_required_number(reader, "deployment.state.txn_ops", 4, 10000, &changes);
    config->transaction_changes_max = (int)changes;
    if (rr_toml_table(reader->table, "deployment.state.next") == -EINVAL) {
        fail(reader, RR_SETTINGS_ERROR_WRONG_TYPE, "deployment.state.next", "must be a table");
    }
    read_optional_number(reader, "deployment.state.next.rps", 1, LIMIT_MAX, config->state_rps,
                         &config->next_rps);
    read_optional_number(reader, "deployment.state.next.write_rps", 1, LIMIT_MAX,
                         config->state_write_rps, &config->next_write_rps);
    read_optional_number(reader, "deployment.state.next.value_kb", 1, LIMIT_MAX, config->value_kb,
                         &config->next_value_kb);
    read_optional_number(reader, "deployment.state.next.txn_ops", 4, 10000,
                         config->transaction_changes_max, &changes);
    config->next_transaction_changes_max = (int)changes;
}

static void read_process_limits(struct settings_reader *reader, struct rr_config *config) {
    double sockets;
    read_optional_number(reader, "deployment.limits.core_share", 0.001, 1024, 1,
                         &config->core_share);
    read_optional_number(reader, "deployment.limits.ram_mb", 16, 1e7, 200, &config->ram_mb);
    read_optional_number(reader, "deployment.limits.max_sockets", 16, 1e7, 1024, &sockets);
    config->max_sockets = (int)sockets;
}

static void read_platform(struct settings_reader *reader, struct rr_config *config) {
    double clock_off_ms;
    read_addresses(reader, config);
    read_peers(reader, config);
    read_teams(reader, config);
    read_objectives(reader, config);
    read_optional_number(reader, "deployment.clock_off_ms", 0, 1e6, 100, &clock_off_ms);
    config->clock_off_s = clock_off_ms / 1000;
    read_worker_times(reader, config);
    read_store_limits(reader, config);
    read_required_number(reader, "deployment.cloud.rps", 0.01, LIMIT_MAX, &config->cloud_rps);
    read_required_number(reader, "deployment.cloud.list_lag_s", 0, HOUR_S, &config->list_lag_s);
    read_process_limits(reader, config);
    if (!reader->error && config->cancel_s <= 1.01 * config->lease_s) {
        fail(reader, RR_SETTINGS_ERROR_CONFLICT, "deployment.workers.cancel_s",
             "must be more than lease_s");
    }
}

static bool load_platform(const char *file, struct rr_config *config, GError **error) {
    rr_toml *table = rr_toml_load(file, error);
    if (!table) {
        return false;
    }
    struct settings_reader reader = {table, file, NULL};
    read_platform(&reader, config);
    rr_toml_destroy(table);
    if (reader.error) {
        g_propagate_error(error, reader.error);
        return false;
    }
    return true;
}

/* ---- the operators' tuning file ---- */

#define REAL(name, field, default_value, min, max)                                                 \
    { name, RR_NUMBER_REAL, default_value, min, max, offsetof(struct rr_tuning, field) }
#define INTEGER(name, field, default_value, min, max)                                              \
    { name, RR_NUMBER_INTEGER, default_value, min, max, offsetof(struct rr_tuning, field) }
static const rr_number_setting tuning_numbers[] = {
    REAL("round_period_s", rebalance_period_s, 12, 1, 86400),
    INTEGER("round_moves", rebalance_moves, 4, 1, 1000),
    REAL("round_share", rebalance_share, 0.025, 0, 1),
    REAL("session_share", session_share, 0.35, 0.05, 0.8),
    REAL("answer_share", answer_share, 1, 0.05, 1),
    REAL("silent_reports", recent_heartbeat_intervals, 2.0, 1.3, 100),
    REAL("dead_reports", dead_heartbeat_intervals, 1.9, 1.5, 1000),
    REAL("idle_return_s", idle_return_s, 6, 0, 86400),
    REAL("headroom", headroom, 1, 0, 100),
    REAL("boot_patience", boot_patience, 2, 1, 100),
    REAL("cloud_list_s", cloud_list_s, 4, 0.5, 3600),
    INTEGER("senders", senders, 24, 2, 64),
    INTEGER("max_connections", max_connections, 100000, 8, 100000),
    INTEGER("max_threads", max_threads, 2000, 128, 100000),
    REAL("plan_pause_ms", plan_pause_ms, 30, 0, 10000),
};
#define TUNING_NUMBERS G_N_ELEMENTS(tuning_numbers)

void rr_tuning_set_defaults(struct rr_tuning *tuning) {
    memset(tuning, 0, sizeof *tuning);
    rr_settings_set_defaults(tuning_numbers, TUNING_NUMBERS, tuning);
    tuning->rebalance = true;
}

static bool read_tuning(cfg_t *config, const char *file, struct rr_tuning *tuning, GError **error) {
    const rr_number_setting *wrong =
        rr_settings_find_out_of_range(config, tuning_numbers, TUNING_NUMBERS);
    if (wrong) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                    "%s: %s: must be between %g and %g", file, wrong->name, wrong->min, wrong->max);
        return false;
    }
    rr_settings_copy_numbers(config, tuning_numbers, TUNING_NUMBERS, tuning);
    if (tuning->answer_share < tuning->session_share) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_CONFLICT,
                    "%s: answer_share: must not be below session_share", file);
        return false;
    }
    tuning->rebalance = cfg_getbool(config, "rounds") == cfg_true;
    return true;
}

static bool load_tuning(const char *file, struct rr_tuning *tuning, GError **error) {
    cfg_opt_t options[TUNING_NUMBERS + 2];
    cfg_opt_t rounds = CFG_BOOL("rounds", cfg_true, CFGF_NONE), end = CFG_END();
    rr_settings_list_numbers(tuning_numbers, TUNING_NUMBERS, options);
    options[TUNING_NUMBERS] = rounds;
    options[TUNING_NUMBERS + 1] = end;
    cfg_t *config = cfg_init(options, CFGF_NONE);
    rr_settings_begin(config, file);
    bool loaded = rr_settings_parse(config, error) && read_tuning(config, file, tuning, error);
    cfg_free(config);
    return loaded;
}

bool rr_settings_load(const char *platform_file, const char *tuning_file, struct rr_config *out,
                      GError **error) {
    memset(out, 0, sizeof *out);
    rr_tuning_set_defaults(&out->tuning);
    return load_platform(platform_file, out, error) &&
           (!tuning_file || load_tuning(tuning_file, &out->tuning, error));
}
