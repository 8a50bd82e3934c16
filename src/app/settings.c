#include "app/settings.h"
#include "app/toml.h"
#include "conf/endpoint.h"
#include "conf/settings_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Buffer sizes in bytes, with the NUL. */
#define PATH_SIZE 96
#define REASON_SIZE 96
#define ENDPOINT_TEXT_SIZE 128

#define SECONDS_PER_HOUR 3600.0
#define SECONDS_PER_DAY 86400.0

/* Upper bounds of settings that have no bound of their own. */
#define AMOUNT_MAX 1e9        /* a team's resources; an objective's seconds */
#define SERVICE_LIMIT_MAX 1e6 /* limits of the key-value store and the cloud */

/* Bounds of the key-value store's limit on the changes in a transaction. */
#define TRANSACTION_CHANGES_MIN 4
#define TRANSACTION_CHANGES_MAX 10000

/* cancel_s must be above this multiple of lease_s: session leases and the time that heartbeats are
 * answered are shares of the difference. */
#define CANCEL_PER_LEASE_MIN 1.01

/* ---- the platform's file ---- */

/* Reads values of a file until the first error. */
struct settings_reader {
    const rr_toml_document *document;
    const char *file; /* file name, for errors */
    GError *error;    /* the first error; NULL: none so far */
};

/* Keeps the first error, with the line if the path has a value. */
static void set_error(struct settings_reader *reader, enum rr_settings_error code, const char *path,
                      const char *reason) {
    if (reader->error) {
        return;
    }
    unsigned line = rr_toml_find_line(reader->document, path);
    if (line > 0) {
        g_set_error(&reader->error, RR_SETTINGS_ERROR, (int)code, "%s:%u: %s: %s", reader->file,
                    line, path, reason);
    } else {
        g_set_error(&reader->error, RR_SETTINGS_ERROR, (int)code, "%s: %s: %s", reader->file, path,
                    reason);
    }
}

/* Sets the error for a value that could not be read: rc is -ENOENT if it is missing, or -EINVAL,
 * which the reason explains. */
static void set_value_error(struct settings_reader *reader, int rc, const char *path,
                            const char *reason) {
    if (rc == -ENOENT) {
        set_error(reader, RR_SETTINGS_ERROR_MISSING, path, "missing");
    } else {
        set_error(reader, RR_SETTINGS_ERROR_WRONG_TYPE, path, reason);
    }
}

static void read_required_string(struct settings_reader *reader, const char *path, char *out,
                                 size_t size) {
    int rc = rr_toml_read_string(reader->document, path, out, size);
    if (rc != 0) {
        set_value_error(reader, rc, path, "must be a string and not too long");
    } else if (!out[0]) {
        set_error(reader, RR_SETTINGS_ERROR_OUT_OF_RANGE, path, "must not be empty");
    }
}

static void read_required_endpoint(struct settings_reader *reader, const char *path,
                                   struct rr_endpoint *out) {
    char text[ENDPOINT_TEXT_SIZE] = "";
    read_required_string(reader, path, text, sizeof text);
    if (!reader->error && rr_endpoint_parse(text, out) != 0) {
        set_error(reader, RR_SETTINGS_ERROR_WRONG_TYPE, path,
                  "must be an IPv4 address and port such as 10.0.0.1:8080");
    }
}

static void read_required_number(struct settings_reader *reader, const char *path, double min,
                                 double max, double *out) {
    char reason[REASON_SIZE];
    int rc = rr_toml_read_number(reader->document, path, out);
    if (rc != 0) {
        set_value_error(reader, rc, path, "must be a finite number");
    } else if (*out < min || *out > max) {
        snprintf(reason, sizeof reason, "must be between %g and %g", min, max);
        set_error(reader, RR_SETTINGS_ERROR_OUT_OF_RANGE, path, reason);
    }
}

/* A value that is present is checked as a required one. */
static void read_optional_number(struct settings_reader *reader, const char *path, double min,
                                 double max, double default_value, double *out) {
    double value;
    *out = default_value;
    if (rr_toml_read_number(reader->document, path, &value) != -ENOENT) {
        read_required_number(reader, path, min, max, out);
    }
}

/* Returns the number of entries in an array of tables; 0 if there is none, or if the error is set
 * because the value has another type or more than max entries. */
static size_t count_entries(struct settings_reader *reader, const char *path, size_t max) {
    int count = rr_toml_count_tables(reader->document, path);
    if (count < 0) {
        set_error(reader, RR_SETTINGS_ERROR_WRONG_TYPE, path, "must be an array of tables");
        return 0;
    }
    if ((size_t)count > max) {
        set_error(reader, RR_SETTINGS_ERROR_OUT_OF_RANGE, path, "too many entries");
        return 0;
    }
    return (size_t)count;
}

static void read_peers(struct settings_reader *reader, struct rr_config *config) {
    char path[PATH_SIZE];
    config->peer_count = count_entries(reader, "seeds", RR_CONTROLLERS_MAX - 1);
    for (size_t i = 0; i < config->peer_count && !reader->error; i++) {
        snprintf(path, sizeof path, "seeds[%zu].node_name", i);
        read_required_string(reader, path, config->peers[i].name, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].zone", i);
        read_required_string(reader, path, config->peers[i].zone, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].endpoint", i);
        read_required_endpoint(reader, path, &config->peers[i].endpoint);
    }
}

static void read_teams(struct settings_reader *reader, struct rr_config *config) {
    static const char *const fields[] = {"cpus", "cpus_max", "gpus", "gpus_max"};
    char path[PATH_SIZE];
    config->team_count = count_entries(reader, "deployment.teams", RR_TEAMS_MAX);
    for (size_t i = 0; i < config->team_count && !reader->error; i++) {
        struct rr_team_config *team = &config->teams[i];
        double *values[] = {&team->cpus, &team->cpus_max, &team->gpus, &team->gpus_max};
        snprintf(path, sizeof path, "deployment.teams[%zu].name", i);
        read_required_string(reader, path, team->name, RR_NAME_SIZE);
        for (size_t k = 0; k < G_N_ELEMENTS(fields); k++) {
            snprintf(path, sizeof path, "deployment.teams[%zu].%s", i, fields[k]);
            read_optional_number(reader, path, 0, AMOUNT_MAX, 0, values[k]);
        }
    }
}

static void read_objectives(struct settings_reader *reader, struct rr_config *config) {
    char path[PATH_SIZE];
    config->objective_count = count_entries(reader, "deployment.objectives", RR_OBJECTIVES_MAX);
    for (size_t i = 0; i < config->objective_count && !reader->error; i++) {
        struct rr_objective *objective = &config->objectives[i];
        snprintf(path, sizeof path, "deployment.objectives[%zu].kind", i);
        read_required_string(reader, path, objective->kind, sizeof objective->kind);
        snprintf(path, sizeof path, "deployment.objectives[%zu].class", i);
        rr_toml_read_string(reader->document, path, objective->job_class,
                            sizeof objective->job_class);
        snprintf(path, sizeof path, "deployment.objectives[%zu].within_s", i);
        read_optional_number(reader, path, 0, AMOUNT_MAX, 0, &objective->within_s);
        snprintf(path, sizeof path, "deployment.objectives[%zu].share", i);
        read_optional_number(reader, path, 0, 1, 0, &objective->share);
    }
}

static void read_addresses(struct settings_reader *reader, struct rr_config *config) {
    read_required_string(reader, "node_name", config->node_name, RR_NAME_SIZE);
    read_required_string(reader, "zone", config->zone, RR_NAME_SIZE);
    read_required_endpoint(reader, "bind", &config->bind);
    read_required_endpoint(reader, "peer_listen", &config->peer_listen);
    read_required_endpoint(reader, "services.cloud", &config->cloud);
    read_required_endpoint(reader, "services.state", &config->store_endpoint);
}

static void read_worker_times(struct settings_reader *reader, struct rr_config *config) {
    read_required_number(reader, "deployment.workers.report_s", 0.01, SECONDS_PER_HOUR,
                         &config->heartbeat_interval_s);
    read_required_number(reader, "deployment.workers.lease_s", 0.1, SECONDS_PER_DAY,
                         &config->lease_s);
    read_optional_number(reader, "deployment.workers.gang_wait_s", 0.1, SECONDS_PER_DAY, 40,
                         &config->gang_wait_s);
    read_optional_number(reader, "deployment.workers.gang_peer_s", 0.1, SECONDS_PER_DAY, 5,
                         &config->gang_peer_s);
    read_required_number(reader, "deployment.workers.cancel_s", 0.1, SECONDS_PER_DAY,
                         &config->cancel_s);
}

/* Reads the key-value store's present limits and the next ones that it may switch to, which default
 * to the present ones. */
static void read_store_limits(struct settings_reader *reader, struct rr_config *config) {
    double changes;
    read_required_number(reader, "deployment.state.rps", 1, SERVICE_LIMIT_MAX, &config->store_rps);
    read_required_number(reader, "deployment.state.write_rps", 1, SERVICE_LIMIT_MAX,
                         &config->store_write_rps);
    read_required_number(reader, "deployment.state.value_kb", 1, SERVICE_LIMIT_MAX,
                         &config->value_kb);
    read_required_number(reader, "deployment.state.txn_ops", TRANSACTION_CHANGES_MIN,
                         TRANSACTION_CHANGES_MAX, &changes);
    config->transaction_changes_max = (int)changes;
    if (rr_toml_check_table(reader->document, "deployment.state.next") == -EINVAL) {
        set_error(reader, RR_SETTINGS_ERROR_WRONG_TYPE, "deployment.state.next", "must be a table");
    }
    read_optional_number(reader, "deployment.state.next.rps", 1, SERVICE_LIMIT_MAX,
                         config->store_rps, &config->next_store_rps);
    read_optional_number(reader, "deployment.state.next.write_rps", 1, SERVICE_LIMIT_MAX,
                         config->store_write_rps, &config->next_store_write_rps);
    read_optional_number(reader, "deployment.state.next.value_kb", 1, SERVICE_LIMIT_MAX,
                         config->value_kb, &config->next_value_kb);
    read_optional_number(reader, "deployment.state.next.txn_ops", TRANSACTION_CHANGES_MIN,
                         TRANSACTION_CHANGES_MAX, config->transaction_changes_max, &changes);
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

static void read_deployment_settings(struct settings_reader *reader, struct rr_config *config) {
    double clock_off_ms;
    read_addresses(reader, config);
    read_peers(reader, config);
    read_teams(reader, config);
    read_objectives(reader, config);
    read_optional_number(reader, "deployment.clock_off_ms", 0, 1e6, 100, &clock_off_ms);
    config->clock_skew_max_s = clock_off_ms / 1000;
    read_worker_times(reader, config);
    read_store_limits(reader, config);
    read_required_number(reader, "deployment.cloud.rps", 0.01, SERVICE_LIMIT_MAX,
                         &config->cloud_rps);
    read_required_number(reader, "deployment.cloud.list_lag_s", 0, SECONDS_PER_HOUR,
                         &config->cloud_list_lag_s);
    read_process_limits(reader, config);
    if (!reader->error && config->cancel_s <= CANCEL_PER_LEASE_MIN * config->lease_s) {
        set_error(reader, RR_SETTINGS_ERROR_CONFLICT, "deployment.workers.cancel_s",
                  "must be more than 1% above lease_s");
    }
}

static bool load_deployment_settings(const char *file, struct rr_config *config, GError **error) {
    rr_toml_document *document = rr_toml_load(file, error);
    if (!document) {
        return false;
    }
    struct settings_reader reader = {document, file, NULL};
    read_deployment_settings(&reader, config);
    rr_toml_destroy(document);
    if (reader.error) {
        g_propagate_error(error, reader.error);
        return false;
    }
    return true;
}

/* ---- the operators' tuning file ---- */

/* Entries of tuning_numbers: the name in the file, and the field of struct rr_tuning. */
#define REAL_SETTING(name, field, default_value, min, max)                                         \
    { name, RR_NUMBER_REAL, default_value, min, max, offsetof(struct rr_tuning, field) }
#define INTEGER_SETTING(name, field, default_value, min, max)                                      \
    { name, RR_NUMBER_INTEGER, default_value, min, max, offsetof(struct rr_tuning, field) }

static const rr_number_setting tuning_numbers[] = {
    REAL_SETTING("round_period_s", rebalance_period_s, 12, 1, SECONDS_PER_DAY),
    INTEGER_SETTING("round_moves", rebalance_moves, 4, 1, 1000),
    REAL_SETTING("round_share", rebalance_share, 0.025, 0, 1),
    REAL_SETTING("session_share", session_lease_share, 0.35, 0.05, 0.8),
    REAL_SETTING("answer_share", heartbeat_reply_share, 1, 0.05, 1),
    REAL_SETTING("silent_reports", recent_heartbeat_intervals, 2.0, 1.3, 100),
    REAL_SETTING("dead_reports", dead_heartbeat_intervals, 1.9, 1.5, 1000),
    REAL_SETTING("idle_return_s", idle_return_s, 6, 0, SECONDS_PER_DAY),
    REAL_SETTING("headroom", headroom, 1, 0, 100),
    REAL_SETTING("boot_patience", startup_wait_factor, 2, 1, 100),
    REAL_SETTING("cloud_list_s", cloud_list_period_s, 4, 0.5, SECONDS_PER_HOUR),
    INTEGER_SETTING("senders", command_thread_count, 24, 2, 64),
    INTEGER_SETTING("max_connections", max_connections, 100000, 8, 100000),
    INTEGER_SETTING("max_threads", max_threads, 2000, 128, 100000),
    REAL_SETTING("plan_pause_ms", plan_pause_min_ms, 30, 0, 10000),
};

#define TUNING_NUMBER_COUNT G_N_ELEMENTS(tuning_numbers)

void rr_tuning_set_defaults(struct rr_tuning *tuning) {
    memset(tuning, 0, sizeof *tuning);
    rr_settings_set_defaults(tuning_numbers, TUNING_NUMBER_COUNT, tuning);
    tuning->rebalance = true;
}

/* Checks the parsed numbers and copies them to *tuning. */
static bool read_tuning(cfg_t *config, const char *file, struct rr_tuning *tuning, GError **error) {
    const rr_number_setting *out_of_range =
        rr_settings_find_out_of_range(config, tuning_numbers, TUNING_NUMBER_COUNT);
    if (out_of_range) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                    "%s: %s: must be between %g and %g", file, out_of_range->name,
                    out_of_range->min, out_of_range->max);
        return false;
    }
    rr_settings_copy_numbers(config, tuning_numbers, TUNING_NUMBER_COUNT, tuning);
    if (tuning->heartbeat_reply_share < tuning->session_lease_share) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_CONFLICT,
                    "%s: answer_share: must be at least session_share", file);
        return false;
    }
    tuning->rebalance = cfg_getbool(config, "rounds") == cfg_true;
    return true;
}

static bool load_tuning(const char *file, struct rr_tuning *tuning, GError **error) {
    cfg_opt_t options[TUNING_NUMBER_COUNT + 2]; /* the numbers, "rounds" and the end */
    cfg_opt_t rounds = CFG_BOOL("rounds", cfg_true, CFGF_NONE), end = CFG_END();
    rr_settings_fill_number_options(tuning_numbers, TUNING_NUMBER_COUNT, options);
    options[TUNING_NUMBER_COUNT] = rounds;
    options[TUNING_NUMBER_COUNT + 1] = end;
    cfg_t *config = cfg_init(options, CFGF_NONE);
    rr_settings_prepare_parser(config, file);
    bool loaded = rr_settings_parse(config, error) && read_tuning(config, file, tuning, error);
    cfg_free(config);
    return loaded;
}

bool rr_settings_load(const char *platform_file, const char *tuning_file, struct rr_config *out,
                      GError **error) {
    memset(out, 0, sizeof *out);
    rr_tuning_set_defaults(&out->tuning);
    return load_deployment_settings(platform_file, out, error) &&
           (!tuning_file || load_tuning(tuning_file, &out->tuning, error));
}
