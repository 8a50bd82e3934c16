#include "app/settings.h"
#include "app/toml.h"

#include <arpa/inet.h>
#include <confuse.h>
#include <ctype.h>
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

static void fail(struct load *l, const char *field, const char *what) {
    if (!l->failed) {
        snprintf(l->error, l->size, "%s: %s: %s", l->file, field, what);
        l->failed = true;
    }
}

int rr_endpoint_parse(const char *text, struct rr_endpoint *out) {
    const char *colon = strrchr(text, ':');
    struct in_addr a;
    if (!colon || (size_t)(colon - text) >= sizeof out->host || !isdigit((unsigned char)colon[1])) {
        return -EINVAL;
    }
    memcpy(out->host, text, (size_t)(colon - text));
    out->host[colon - text] = 0;
    char *end;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (*end || port == 0 || port > 65535 || inet_pton(AF_INET, out->host, &a) != 1) {
        return -EINVAL;
    }
    out->port = (uint16_t)port;
    return 0;
}

static void need_text(struct load *l, const char *path, char *out, size_t size) {
    int rc = rr_toml_text(l->table, path, out, size);
    if (rc != 0) {
        fail(l, path, rc == -ENOENT ? "missing" : "must be text");
    } else if (!out[0]) {
        fail(l, path, "must not be empty");
    }
}

static void need_endpoint(struct load *l, const char *path, struct rr_endpoint *out) {
    char text[128] = "";
    need_text(l, path, text, sizeof text);
    if (!l->failed && rr_endpoint_parse(text, out) != 0) {
        fail(l, path, "must be an address like 10.0.0.1:8080");
    }
}

static void need_num(struct load *l, const char *path, double least, double most, double *out) {
    int rc = rr_toml_num(l->table, path, out);
    char what[96];
    if (rc != 0) {
        fail(l, path, rc == -ENOENT ? "missing" : "must be a number");
    } else if (*out < least || *out > most) {
        snprintf(what, sizeof what, "must be between %g and %g", least, most);
        fail(l, path, what);
    }
}

static void opt_num(struct load *l, const char *path, double least, double most, double dflt,
                    double *out) {
    *out = dflt;
    double v;
    if (rr_toml_num(l->table, path, &v) != -ENOENT) {
        need_num(l, path, least, most, out);
    }
}

static size_t count(struct load *l, const char *path, size_t most) {
    int n = rr_toml_count(l->table, path);
    if (n < 0) {
        fail(l, path, "must be an array of tables");
        return 0;
    }
    if ((size_t)n > most) {
        fail(l, path, "too many entries");
        return 0;
    }
    return (size_t)n;
}

static void load_peers(struct load *l, struct rr_config *c) {
    char path[96];
    c->peer_count = count(l, "seeds", RR_CONTROLLERS_MAX - 1);
    for (size_t i = 0; i < c->peer_count && !l->failed; i++) {
        snprintf(path, sizeof path, "seeds[%zu].node_name", i);
        need_text(l, path, c->peers[i].name, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].zone", i);
        need_text(l, path, c->peers[i].zone, RR_NAME_SIZE);
        snprintf(path, sizeof path, "seeds[%zu].endpoint", i);
        need_endpoint(l, path, &c->peers[i].endpoint);
    }
}

static void load_teams(struct load *l, struct rr_config *c) {
    static const char *const fields[] = {"cpus", "cpus_max", "gpus", "gpus_max"};
    char path[96];
    c->team_count = count(l, "deployment.teams", RR_TEAMS_MAX);
    for (size_t i = 0; i < c->team_count && !l->failed; i++) {
        double *into[] = {&c->teams[i].cpus, &c->teams[i].cpus_max, &c->teams[i].gpus,
                          &c->teams[i].gpus_max};
        snprintf(path, sizeof path, "deployment.teams[%zu].name", i);
        need_text(l, path, c->teams[i].name, RR_NAME_SIZE);
        for (int k = 0; k < 4; k++) {
            snprintf(path, sizeof path, "deployment.teams[%zu].%s", i, fields[k]);
            opt_num(l, path, 0, 1e9, 0, into[k]);
        }
    }
}

static void load_objectives(struct load *l, struct rr_config *c) {
    char path[96];
    c->objective_count = count(l, "deployment.objectives", RR_OBJECTIVES_MAX);
    for (size_t i = 0; i < c->objective_count && !l->failed; i++) {
        struct rr_objective *o = &c->objectives[i];
        snprintf(path, sizeof path, "deployment.objectives[%zu].kind", i);
        need_text(l, path, o->kind, sizeof o->kind);
        snprintf(path, sizeof path, "deployment.objectives[%zu].class", i);
        rr_toml_text(l->table, path, o->job_class, sizeof o->job_class);
        snprintf(path, sizeof path, "deployment.objectives[%zu].within_s", i);
        opt_num(l, path, 0, 1e9, 0, &o->within_s);
        snprintf(path, sizeof path, "deployment.objectives[%zu].share", i);
        opt_num(l, path, 0, 1, 0, &o->share);
    }
}

static void load_platform(struct load *l, struct rr_config *c) {
    double n;
    need_text(l, "node_name", c->node_name, RR_NAME_SIZE);
    need_text(l, "zone", c->zone, RR_NAME_SIZE);
    need_endpoint(l, "bind", &c->bind);
    need_endpoint(l, "peer_listen", &c->peer_listen);
    need_endpoint(l, "services.cloud", &c->cloud);
    need_endpoint(l, "services.state", &c->state);
    load_peers(l, c);
    load_teams(l, c);
    load_objectives(l, c);
    opt_num(l, "deployment.clock_off_ms", 0, 1e6, 100, &c->clock_off_s);
    c->clock_off_s /= 1000;
    need_num(l, "deployment.workers.report_s", 0.01, 3600, &c->heartbeat_interval_s);
    need_num(l, "deployment.workers.lease_s", 0.1, 86400, &c->lease_s);
    opt_num(l, "deployment.workers.gang_wait_s", 0.1, 86400, 40, &c->gang_wait_s);
    opt_num(l, "deployment.workers.gang_peer_s", 0.1, 86400, 5, &c->gang_peer_s);
    need_num(l, "deployment.workers.cancel_s", 0.1, 86400, &c->cancel_s);
    need_num(l, "deployment.state.rps", 1, 1e6, &c->state_rps);
    need_num(l, "deployment.state.write_rps", 1, 1e6, &c->state_write_rps);
    need_num(l, "deployment.state.value_kb", 1, 1e6, &c->value_kb);
    need_num(l, "deployment.state.txn_ops", 4, 10000, &n);
    c->transaction_changes_max = (int)n;
    if (rr_toml_table(l->table, "deployment.state.next") == -EINVAL) {
        fail(l, "deployment.state.next", "must be a table");
    }
    opt_num(l, "deployment.state.next.rps", 1, 1e6, c->state_rps, &c->next_rps);
    opt_num(l, "deployment.state.next.write_rps", 1, 1e6, c->state_write_rps, &c->next_write_rps);
    opt_num(l, "deployment.state.next.value_kb", 1, 1e6, c->value_kb, &c->next_value_kb);
    opt_num(l, "deployment.state.next.txn_ops", 4, 10000, c->transaction_changes_max, &n);
    c->next_transaction_changes_max = (int)n;
    need_num(l, "deployment.cloud.rps", 0.01, 1e6, &c->cloud_rps);
    need_num(l, "deployment.cloud.list_lag_s", 0, 3600, &c->list_lag_s);
    opt_num(l, "deployment.limits.core_share", 0.001, 1024, 1, &c->core_share);
    opt_num(l, "deployment.limits.ram_mb", 16, 1e7, 200, &c->ram_mb);
    opt_num(l, "deployment.limits.max_sockets", 16, 1e7, 1024, &n);
    c->max_sockets = (int)n;
    if (!l->failed && c->cancel_s <= 1.01 * c->lease_s) {
        fail(l, "deployment.workers.cancel_s", "must be more than lease_s");
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

static void set_knob(struct rr_tuning *t, const struct knob *k, double v) {
    char *at = (char *)t + k->offset;
    if (k->whole) {
        *(int *)at = (int)v;
    } else {
        *(double *)at = v;
    }
}

void rr_settings_defaults(struct rr_tuning *t) {
    memset(t, 0, sizeof *t);
    for (size_t i = 0; i < G_N_ELEMENTS(knobs); i++) {
        set_knob(t, &knobs[i], knobs[i].default_value);
    }
    t->rebalance = true;
}

/* libconfuse reports through a callback without a user pointer; settings are read once, before any
 * thread starts. */
static char confuse_line[256];

static void on_confuse_error(cfg_t *cfg, const char *fmt, va_list ap) {
    char what[160];
    vsnprintf(what, sizeof what, fmt, ap);
    if (!confuse_line[0]) {
        snprintf(confuse_line, sizeof confuse_line, "%s:%d: %s",
                 cfg && cfg->filename ? cfg->filename : "settings", cfg ? cfg->line : 0, what);
    }
}

static int load_own(const char *file, struct rr_tuning *t, char *err, size_t size) {
    size_t n = G_N_ELEMENTS(knobs);
    cfg_opt_t opts[G_N_ELEMENTS(knobs) + 2];
    memset(opts, 0, sizeof opts);
    for (size_t i = 0; i < n; i++) {
        cfg_opt_t f = CFG_FLOAT(NULL, 0, CFGF_NONE), w = CFG_INT(NULL, 0, CFGF_NONE);
        opts[i] = knobs[i].whole ? w : f;
        opts[i].name = knobs[i].name;
        opts[i].def.fpnumber = knobs[i].whole ? 0 : knobs[i].default_value;
        opts[i].def.number = knobs[i].whole ? (long)knobs[i].default_value : 0;
    }
    cfg_opt_t rounds = CFG_BOOL("rounds", cfg_true, CFGF_NONE), end = CFG_END();
    opts[n] = rounds;
    opts[n + 1] = end;
    cfg_t *cfg = cfg_init(opts, CFGF_NONE);
    int rc = -EINVAL;
    confuse_line[0] = 0;
    cfg_set_error_function(cfg, on_confuse_error);
    int parsed = cfg_parse(cfg, file);
    if (parsed == CFG_FILE_ERROR) {
        snprintf(err, size, "%s: can't be read: %s", file, strerror(errno));
    } else if (parsed != CFG_SUCCESS) {
        snprintf(err, size, "%s", confuse_line);
    } else {
        rc = 0;
    }
    for (size_t i = 0; rc == 0 && i < n; i++) {
        double v = knobs[i].whole ? (double)cfg_getint(cfg, knobs[i].name)
                                  : cfg_getfloat(cfg, knobs[i].name);
        if (!(v >= knobs[i].least && v <= knobs[i].most)) {
            snprintf(err, size, "%s: %s: must be between %g and %g", file, knobs[i].name,
                     knobs[i].least, knobs[i].most);
            rc = -EINVAL;
        } else {
            set_knob(t, &knobs[i], v);
        }
    }
    if (rc == 0 && t->answer_share < t->session_share) {
        snprintf(err, size, "%s: answer_share: must not be below session_share", file);
        rc = -EINVAL;
    }
    if (rc == 0) {
        t->rebalance = cfg_getbool(cfg, "rounds") == cfg_true;
    }
    cfg_free(cfg);
    return rc;
}

int rr_settings_load(const char *platform, const char *own, struct rr_config *out, char *err,
                     size_t size) {
    memset(out, 0, sizeof *out);
    rr_toml *t = rr_toml_load(platform, err, size);
    if (!t) {
        return -EINVAL;
    }
    struct load l = {t, platform, err, size, false};
    load_platform(&l, out);
    rr_toml_destroy(t);
    if (l.failed) {
        return -EINVAL;
    }
    rr_settings_defaults(&out->tuning);
    return own ? load_own(own, &out->tuning, err, size) : 0;
}
