#include "app/settings.h"
#include "app/toml.h"
#include "conf/endpoint.h"

#include <confuse.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct load {
    const rr_toml *table;
    const char *file;
    char *error;
    size_t size;
    bool failed;
};

static void fail(struct load *load, const char *field, const char *what) {
    if (!load->failed) {
        snprintf(load->error, load->size, "%s: %s: %s", load->file, field, what);
        load->failed = true;
    }
}

static void need_text(struct load *load, const char *path, char *out, size_t size) {
    int rc = rr_toml_text(load->table, path, out, size);
    if (rc != 0) {
        fail(load, path, rc == -ENOENT ? "missing" : "must be text");
    } else if (!out[0]) {
        fail(load, path, "must not be empty");
    }
}

static void need_endpoint(struct load *load, const char *path, struct rr_endpoint *out) {
    char text[128] = "";
    need_text(load, path, text, sizeof text);
    if (!load->failed && rr_endpoint_parse(text, out) != 0) {
        fail(load, path, "must be an address like 10.0.0.1:8080");
    }
}

static void need_num(struct load *load, const char *path, double least, double most, double *out) {
    int rc = rr_toml_num(load->table, path, out);
    char what[96];
    if (rc != 0) {
        fail(load, path, rc == -ENOENT ? "missing" : "must be a number");
    } else if (*out < least || *out > most) {
        snprintf(what, sizeof what, "must be between %g and %g", least, most);
        fail(load, path, what);
    }
}

static void opt_num(struct load *load, const char *path, double least, double most,
                    double default_value, double *out) {
    *out = default_value;
    double value;
    if (rr_toml_num(load->table, path, &value) != -ENOENT) {
        need_num(load, path, least, most, out);
    }
}

static size_t count(struct load *load, const char *path, size_t most) {
    int count = rr_toml_count(load->table, path);
    if (count < 0) {
        fail(load, path, "must be an array of tables");
        return 0;
    }
    if ((size_t)count > most) {
        fail(load, path, "too many entries");
        return 0;
    }
    return (size_t)count;
}

static void load_peers(struct load *load, struct rr_config *config) {
    char path[96];
    config->peer_count = count(load, "seeds", RR_CONTROLLERS_MAX - 1);
    for (size_t i = 0; i < config->peer_count && !load->failed; i++) {
        snprintf(path, sizeof path, "seeds[%zu].node_name", i);
        need_text(load, path, config->peers[i].name, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].zone", i);
        need_text(load, path, config->peers[i].zone, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].endpoint", i);
        need_endpoint(load, path, &config->peers[i].endpoint);
    }
}

static void load_teams(struct load *load, struct rr_config *config) {
    static const char *const fields[] = {"cpus", "cpus_max", "gpus", "gpus_max"};
    char path[96];
    config->team_count = count(load, "deployment.teams", RR_TEAMS_MAX);
    for (size_t i = 0; i < config->team_count && !load->failed; i++) {
        double *into[] = {&config->teams[i].cpus, &config->teams[i].cpus_max,
                          &config->teams[i].gpus, &config->teams[i].gpus_max};
        snprintf(path, sizeof path, "deployment.teams[%zu].name", i);
        need_text(load, path, config->teams[i].name, RR_NAME_SIZE);
        for (int k = 0; k < 4; k++) {
            snprintf(path, sizeof path, "deployment.teams[%zu].%s", i, fields[k]);
            opt_num(load, path, 0, 1e9, 0, into[k]);
        }
    }
}

static void load_objectives(struct load *load, struct rr_config *config) {
    char path[96];
    config->objective_count = count(load, "deployment.objectives", RR_OBJECTIVES_MAX);
    for (size_t i = 0; i < config->objective_count && !load->failed; i++) {
        struct rr_objective *objective = &config->objectives[i];
        snprintf(path, sizeof path, "deployment.objectives[%zu].kind", i);
        need_text(load, path, objective->kind, sizeof objective->kind);
        snprintf(path, sizeof path, "deployment.objectives[%zu].class", i);
        rr_toml_text(load->table, path, objective->job_class, sizeof objective->job_class);
        snprintf(path, sizeof path, "deployment.objectives[%zu].within_s", i);
        opt_num(load, path, 0, 1e9, 0, &objective->within_s);
        snprintf(path, sizeof path, "deployment.objectives[%zu].share", i);
        opt_num(load, path, 0, 1, 0, &objective->share);
    }
}

static void load_platform(struct load *load, struct rr_config *config) {
    double number;
    need_text(load, "node_name", config->node_name, RR_NAME_SIZE);
    need_text(load, "zone", config->zone, RR_NAME_SIZE);
    need_endpoint(load, "bind", &config->bind);
    need_endpoint(load, "peer_listen", &config->peer_listen);
    need_endpoint(load, "services.cloud", &config->cloud);
    need_endpoint(load, "services.state", &config->state);
    load_peers(load, config);
    load_teams(load, config);
    load_objectives(load, config);
    opt_num(load, "deployment.clock_off_ms", 0, 1e6, 100, &config->clock_off_s);
    config->clock_off_s /= 1000;
    need_num(load, "deployment.workers.report_s", 0.01, 3600, &config->heartbeat_interval_s);
    need_num(load, "deployment.workers.lease_s", 0.1, 86400, &config->lease_s);
    opt_num(load, "deployment.workers.gang_wait_s", 0.1, 86400, 40, &config->gang_wait_s);
    opt_num(load, "deployment.workers.gang_peer_s", 0.1, 86400, 5, &config->gang_peer_s);
    need_num(load, "deployment.workers.cancel_s", 0.1, 86400, &config->cancel_s);
    need_num(load, "deployment.state.rps", 1, 1e6, &config->state_rps);
    need_num(load, "deployment.state.write_rps", 1, 1e6, &config->state_write_rps);
    need_num(load, "deployment.state.value_kb", 1, 1e6, &config->value_kb);
    need_num(load, "deployment.state.txn_ops", 4, 10000, &number);
    config->transaction_changes_max = (int)number;
    if (rr_toml_table(load->table, "deployment.state.next") == -EINVAL) {
        fail(load, "deployment.state.next", "must be a table");
    }
    opt_num(load, "deployment.state.next.rps", 1, 1e6, config->state_rps, &config->next_rps);
    opt_num(load, "deployment.state.next.write_rps", 1, 1e6, config->state_write_rps,
            &config->next_write_rps);
    opt_num(load, "deployment.state.next.value_kb", 1, 1e6, config->value_kb,
            &config->next_value_kb);
    opt_num(load, "deployment.state.next.txn_ops", 4, 10000, config->transaction_changes_max,
            &number);
    config->next_transaction_changes_max = (int)number;
    need_num(load, "deployment.cloud.rps", 0.01, 1e6, &config->cloud_rps);
    need_num(load, "deployment.cloud.list_lag_s", 0, 3600, &config->list_lag_s);
    opt_num(load, "deployment.limits.core_share", 0.001, 1024, 1, &config->core_share);
    opt_num(load, "deployment.limits.ram_mb", 16, 1e7, 200, &config->ram_mb);
    opt_num(load, "deployment.limits.max_sockets", 16, 1e7, 1024, &number);
    config->max_sockets = (int)number;
    if (!load->failed && config->cancel_s <= 1.01 * config->lease_s) {
        fail(load, "deployment.workers.cancel_s", "must be more than lease_s");
    }
}

/* ---- the operators' own file ---- */

struct knob {
    const char *name;
    double default_value, least, most;
    bool whole;
    size_t offset;
};

#define KNOB(name, field, standard, least, most, whole)                                            \
    { name, standard, least, most, whole, offsetof(struct rr_tuning, field) }
static const struct knob knobs[] = {
    KNOB("round_period_s", rebalance_period_s, 12, 1, 86400, false),
    KNOB("round_moves", rebalance_moves, 4, 1, 1000, true),
    KNOB("round_share", rebalance_share, 0.025, 0, 1, false),
    KNOB("session_share", session_share, 0.35, 0.05, 0.8, false),
    KNOB("answer_share", answer_share, 1, 0.05, 1, false),
    KNOB("silent_reports", silent_reports, 2.0, 1.3, 100, false),
    KNOB("dead_reports", dead_reports, 1.9, 1.5, 1000, false),
    KNOB("idle_return_s", idle_return_s, 6, 0, 86400, false),
    KNOB("headroom", headroom, 1, 0, 100, false),
    KNOB("boot_patience", boot_patience, 2, 1, 100, false),
    KNOB("cloud_list_s", cloud_list_s, 4, 0.5, 3600, false),
    KNOB("senders", senders, 24, 2, 64, true),
    KNOB("max_connections", max_connections, 100000, 8, 100000, true),
    KNOB("max_threads", max_threads, 2000, 128, 100000, true),
    KNOB("plan_pause_ms", plan_pause_ms, 30, 0, 10000, false),
};

static void set_knob(struct rr_tuning *tuning, const struct knob *option, double value) {
    char *cursor = (char *)tuning + option->offset;
    if (option->whole) {
        *(int *)cursor = (int)value;
    } else {
        *(double *)cursor = value;
    }
}

void rr_settings_defaults(struct rr_tuning *tuning) {
    memset(tuning, 0, sizeof *tuning);
    for (size_t i = 0; i < G_N_ELEMENTS(knobs); i++) {
        set_knob(tuning, &knobs[i], knobs[i].default_value);
    }
    tuning->rebalance = true;
}

/* libconfuse reports through a callback without a user pointer; settings are read once, before any
 * thread starts. */
static char confuse_line[256];

static void on_confuse_error(cfg_t *config, const char *fmt, va_list args) {
    char what[160];
    vsnprintf(what, sizeof what, fmt, args);
    if (!confuse_line[0]) {
        snprintf(confuse_line, sizeof confuse_line, "%s:%d: %s",
                 config && config->filename ? config->filename : "settings",
                 config ? config->line : 0, what);
    }
}

static int load_own(const char *file, struct rr_tuning *tuning, char *err, size_t size) {
    size_t count = G_N_ELEMENTS(knobs);
    cfg_opt_t opts[G_N_ELEMENTS(knobs) + 2];
    memset(opts, 0, sizeof opts);
    for (size_t i = 0; i < count; i++) {
        cfg_opt_t option = CFG_FLOAT(NULL, 0, CFGF_NONE), weight = CFG_INT(NULL, 0, CFGF_NONE);
        opts[i] = knobs[i].whole ? weight : option;
        opts[i].name = knobs[i].name;
        opts[i].def.fpnumber = knobs[i].whole ? 0 : knobs[i].default_value;
        opts[i].def.number = knobs[i].whole ? (long)knobs[i].default_value : 0;
    }
    cfg_opt_t rounds = CFG_BOOL("rounds", cfg_true, CFGF_NONE), end = CFG_END();
    opts[count] = rounds;
    opts[count + 1] = end;
    cfg_t *config = cfg_init(opts, CFGF_NONE);
    int rc = -EINVAL;
    confuse_line[0] = 0;
    cfg_set_error_function(config, on_confuse_error);
    int parsed = cfg_parse(config, file);
    if (parsed == CFG_FILE_ERROR) {
        snprintf(err, size, "%s: can't be read: %s", file, strerror(errno));
    } else if (parsed != CFG_SUCCESS) {
        snprintf(err, size, "%s", confuse_line);
    } else {
        rc = 0;
    }
    for (size_t i = 0; rc == 0 && i < count; i++) {
        double value = knobs[i].whole ? (double)cfg_getint(config, knobs[i].name)
                                      : cfg_getfloat(config, knobs[i].name);
        if (!(value >= knobs[i].least && value <= knobs[i].most)) {
            snprintf(err, size, "%s: %s: must be between %g and %g", file, knobs[i].name,
                     knobs[i].least, knobs[i].most);
            rc = -EINVAL;
        } else {
            set_knob(tuning, &knobs[i], value);
        }
    }
    if (rc == 0 && tuning->answer_share < tuning->session_share) {
        snprintf(err, size, "%s: answer_share: must not be below session_share", file);
        rc = -EINVAL;
    }
    if (rc == 0) {
        tuning->rebalance = cfg_getbool(config, "rounds") == cfg_true;
    }
    cfg_free(config);
    return rc;
}

int rr_settings_load(const char *platform, const char *own, struct rr_config *out, char *err,
                     size_t size) {
    memset(out, 0, sizeof *out);
    rr_toml *table = rr_toml_load(platform, err, size);
    if (!table) {
        return -EINVAL;
    }
    struct load load = {table, platform, err, size, false};
    load_platform(&load, out);
    rr_toml_destroy(table);
    if (load.failed) {
        return -EINVAL;
    }
    rr_settings_defaults(&out->tuning);
    return own ? load_own(own, &out->tuning, err, size) : 0;
}
