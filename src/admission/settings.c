#include "admission/settings.h"
#include "conf/conf.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER(field, standard, least, most)                                                       \
    { #field, standard, least, most, offsetof(rr_admission_settings, field) }
static const rr_conf_number numbers[] = {
    NUMBER(interval_s, 10, 0.2, 3600),       NUMBER(enter_backlog_s, 60, 0.1, 86400),
    NUMBER(leave_backlog_s, 20, 0, 86400),   NUMBER(target_backlog_s, 30, 0.1, 86400),
    NUMBER(service_estimate_s, 600, 1, 1e7), NUMBER(patience_s, 60, 1, 3600),
    NUMBER(solver_s, 0.3, 0.001, 60),
};
static const long standard_bands[2] = {8, 64};

#define WEIGHT_MAX 1e6

void rr_admission_settings_init(rr_admission_settings *settings) {
    memset(settings, 0, sizeof *settings);
    rr_conf_set_standards(numbers, G_N_ELEMENTS(numbers), settings);
    settings->band_limits[0] = (uint32_t)standard_bands[0];
    settings->band_limits[1] = (uint32_t)standard_bands[1];
    for (size_t i = 0; i < RR_TEAMS_MAX; i++) {
        settings->teams[i].weight = 1;
    }
}

void rr_admission_settings_clear(rr_admission_settings *settings) {
    for (size_t i = 0; i < RR_TEAMS_MAX; i++) {
        if (settings->teams[i].class_weights) {
            g_hash_table_destroy(settings->teams[i].class_weights);
        }
    }
    memset(settings, 0, sizeof *settings);
}

double rr_admission_class_weight(const rr_admission_team_settings *team, const char *job_class) {
    const double *weight =
        team->class_weights ? g_hash_table_lookup(team->class_weights, job_class) : NULL;
    return weight ? *weight : 1;
}

/* ---- checks that libconfuse makes while it reads, so that they know the line ---- */

static const struct rr_config
    *platform; /* whose names are checked; read before any thread starts */

static int check_weight(cfg_t *config, cfg_opt_t *option) {
    double value = cfg_opt_getnfloat(option, cfg_opt_size(option) - 1);
    if (!(value > 0 && value <= WEIGHT_MAX)) {
        cfg_error(config, "weight: must be above 0 and at most %g", WEIGHT_MAX);
        return -1;
    }
    return 0;
}

static int check_least(cfg_t *config, cfg_opt_t *option) {
    double value = cfg_opt_getnfloat(option, cfg_opt_size(option) - 1);
    if (!(value >= 0 && value <= 1)) {
        cfg_error(config, "least_share: must be between 0 and 1");
        return -1;
    }
    return 0;
}

static int check_team(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_title(cfg_opt_getnsec(option, cfg_opt_size(option) - 1));
    if (rr_config_team(platform, name) < 0) {
        cfg_error(config, "team \"%s\": the platform's settings have no such team", name);
        return -1;
    }
    return 0;
}

/* Classes are what users write; where the platform's settings name some, others are mistakes. */
static int check_class(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_title(cfg_opt_getnsec(option, cfg_opt_size(option) - 1));
    bool known = false, any = false;
    for (size_t i = 0; i < platform->objective_count; i++) {
        any = any || platform->objectives[i].job_class[0];
        known = known || strcmp(platform->objectives[i].job_class, name) == 0;
    }
    if (any && !known) {
        cfg_error(config, "class \"%s\": no objective names such a class", name);
        return -1;
    }
    return 0;
}

/* ---- reading ---- */

static void read_team(cfg_t *section, rr_admission_team_settings *team) {
    team->weight = cfg_getfloat(section, "weight");
    team->least_share = cfg_getfloat(section, "least_share");
    team->class_weights = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (unsigned i = 0; i < cfg_size(section, "class"); i++) {
        cfg_t *job_class = cfg_getnsec(section, "class", i);
        double *weight = g_new(double, 1);
        *weight = cfg_getfloat(job_class, "weight");
        g_hash_table_replace(team->class_weights, g_strdup(cfg_title(job_class)), weight);
    }
}

static const char *read_bands(cfg_t *config, rr_admission_settings *out) {
    if (cfg_size(config, "bands") != 2) {
        return "bands: must be two numbers of tasks";
    }
    long second = cfg_getnint(config, "bands", 0), third = cfg_getnint(config, "bands", 1);
    if (second < 2 || third <= second || third > RR_ADMISSION_TASKS_MAX) {
        return "bands: must rise, from 2 to 100000";
    }
    out->band_limits[0] = (uint32_t)second;
    out->band_limits[1] = (uint32_t)third;
    return NULL;
}

/* What no single value shows. NULL: all is well. */
static const char *read_values(cfg_t *config, rr_admission_settings *out) {
    double least = 0;
    rr_conf_read_numbers(config, numbers, G_N_ELEMENTS(numbers), out);
    for (unsigned i = 0; i < cfg_size(config, "team"); i++) {
        cfg_t *section = cfg_getnsec(config, "team", i);
        rr_admission_team_settings *team =
            &out->teams[rr_config_team(platform, cfg_title(section))];
        read_team(section, team);
        least += team->least_share;
    }
    if (least > 1) {
        return "least_share: the teams' sum must not be above 1";
    }
    if (out->leave_backlog_s >= out->enter_backlog_s) {
        return "leave_backlog_s: must be below enter_backlog_s";
    }
    if (out->interval_s <= 8 * platform->clock_off_s) {
        return "interval_s: must be above eight times the platform's clock_off_ms";
    }
    return read_bands(config, out);
}

int rr_admission_settings_load(const char *file, const struct rr_config *config,
                               rr_admission_settings *out, char *error, size_t size) {
    cfg_opt_t job_class[] = {CFG_FLOAT("weight", 1, CFGF_NONE), CFG_END()};
    cfg_opt_t team[] = {CFG_FLOAT("weight", 1, CFGF_NONE), CFG_FLOAT("least_share", 0, CFGF_NONE),
                        CFG_SEC("class", job_class, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
                        CFG_END()};
    cfg_opt_t options[G_N_ELEMENTS(numbers) + 4];
    cfg_opt_t bands = CFG_INT_LIST("bands", "{8, 64}", CFGF_NONE), end = CFG_END();
    cfg_opt_t teams = CFG_SEC("team", team, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES);
    rr_conf_list_numbers(numbers, G_N_ELEMENTS(numbers), options);
    options[G_N_ELEMENTS(numbers)] = bands;
    options[G_N_ELEMENTS(numbers) + 1] = teams;
    cfg_opt_t version = CFG_BOOL(RR_CONF_END_MARK, cfg_false, CFGF_NONE);
    options[G_N_ELEMENTS(numbers) + 2] = version;
    options[G_N_ELEMENTS(numbers) + 3] = end;
    rr_admission_settings_init(out);
    platform = config;
    cfg_t *parser = cfg_init(options, CFGF_NONE);
    rr_conf_begin(parser, file, numbers, G_N_ELEMENTS(numbers));
    cfg_set_validate_func(parser, "team", check_team);
    cfg_set_validate_func(parser, "team|weight", check_weight);
    cfg_set_validate_func(parser, "team|least_share", check_least);
    cfg_set_validate_func(parser, "team|class", check_class);
    cfg_set_validate_func(parser, "team|class|weight", check_weight);
    bool parsed = rr_conf_parse(parser);
    const char *wrong = parsed ? read_values(parser, out) : NULL;
    out->on = parsed && !wrong;
    if (!parsed) {
        snprintf(error, size, "%s", rr_conf_error());
    } else if (wrong) {
        snprintf(error, size, "%s: %s", file, wrong);
    }
    cfg_free(parser);
    return out->on ? 0 : -EINVAL;
}
