/* Reads the settings of fair admission with libconfuse. */
#include "admission/settings.h"
#include "conf/settings_file.h"

#include <errno.h>
#include <string.h>

#define NUMBER(field, default_value, min, max)                                                     \
    { #field, RR_NUMBER_REAL, default_value, min, max, offsetof(rr_admission_settings, field) }
static const rr_number_setting number_settings[] = {
    NUMBER(interval_s, 10, 0.2, 3600),       NUMBER(enter_backlog_s, 60, 0.1, 86400),
    NUMBER(leave_backlog_s, 20, 0, 86400),   NUMBER(target_backlog_s, 30, 0.1, 86400),
    NUMBER(service_estimate_s, 600, 1, 1e7), NUMBER(patience_s, 60, 1, 3600),
    NUMBER(solver_s, 0.3, 0.001, 60),
};
#define NUMBER_COUNT G_N_ELEMENTS(number_settings)
#define WEIGHT_MAX 1e6
#define BAND_LIMIT_MIN 2
/* The interval is longer than this many clock errors, so that controllers agree on the interval
 * that they are in. */
#define INTERVAL_PER_CLOCK_OFF_MIN 8

static const uint32_t default_band_limits[2] = {8, 64};
/* The same in libconfuse's syntax for lists. */
static const char default_band_limits_text[] = "{8, 64}";

void rr_admission_settings_init(rr_admission_settings *settings) {
    memset(settings, 0, sizeof *settings);
    rr_settings_set_defaults(number_settings, NUMBER_COUNT, settings);
    memcpy(settings->band_limits, default_band_limits, sizeof default_band_limits);
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

double rr_admission_get_class_weight(const rr_admission_team_settings *team,
                                     const char *job_class) {
    const double *weight =
        team->class_weights ? g_hash_table_lookup(team->class_weights, job_class) : NULL;
    return weight ? *weight : 1;
}

/* ---- validation while parsing, where errors carry the line number ---- */

/* The configuration whose teams and classes the file may name. It is static because libconfuse's
 * callbacks take no user pointer. rr_admission_settings_load sets it. */
static const struct rr_config *platform_config;

static int check_weight(cfg_t *config, cfg_opt_t *option) {
    double value = cfg_opt_getnfloat(option, cfg_opt_size(option) - 1);
    if (!(value > 0 && value <= WEIGHT_MAX)) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                                  "weight: must be above 0 and at most %g", WEIGHT_MAX);
    }
    return 0;
}

static int check_least_share(cfg_t *config, cfg_opt_t *option) {
    double value = cfg_opt_getnfloat(option, cfg_opt_size(option) - 1);
    if (!(value >= 0 && value <= 1)) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                                  "least_share: must be between 0 and 1");
    }
    return 0;
}

static int check_team(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_title(cfg_opt_getnsec(option, cfg_opt_size(option) - 1));
    if (rr_config_find_team(platform_config, name) < 0) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_UNKNOWN_NAME,
                                  "team \"%s\": the platform's settings have no such team", name);
    }
    return 0;
}

/* Rejects a class that no objective names, provided that some objective names a class: it is then
 * taken for a misspelling. Without such objectives every class is valid, as users may submit jobs
 * of any class. */
static int check_class(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_title(cfg_opt_getnsec(option, cfg_opt_size(option) - 1));
    bool known = false, any_named = false;
    for (size_t i = 0; i < platform_config->objective_count; i++) {
        any_named = any_named || platform_config->objectives[i].job_class[0];
        known = known || strcmp(platform_config->objectives[i].job_class, name) == 0;
    }
    if (any_named && !known) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_UNKNOWN_NAME,
                                  "class \"%s\": no objective names this job class", name);
    }
    return 0;
}

/* ---- reading the parsed values ---- */

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

static bool read_bands(cfg_t *config, const char *file, rr_admission_settings *out,
                       GError **error) {
    if (cfg_size(config, "bands") != 2) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_WRONG_TYPE,
                    "%s: bands: must be two task counts", file);
        return false;
    }
    long second = cfg_getnint(config, "bands", 0), third = cfg_getnint(config, "bands", 1);
    if (second < BAND_LIMIT_MIN || third <= second || third > RR_ADMISSION_BAND_LIMIT_MAX) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                    "%s: bands: must rise and lie between %d and %d", file, BAND_LIMIT_MIN,
                    RR_ADMISSION_BAND_LIMIT_MAX);
        return false;
    }
    out->band_limits[0] = (uint32_t)second;
    out->band_limits[1] = (uint32_t)third;
    return true;
}

/* Reads all teams and returns the sum of their least shares. */
static double read_teams(cfg_t *config, rr_admission_settings *out) {
    double least_share_sum = 0;
    for (unsigned i = 0; i < cfg_size(config, "team"); i++) {
        cfg_t *section = cfg_getnsec(config, "team", i);
        rr_admission_team_settings *team =
            &out->teams[rr_config_find_team(platform_config, cfg_title(section))];
        read_team(section, team);
        least_share_sum += team->least_share;
    }
    return least_share_sum;
}

/* Reads the parsed values and checks the conditions between several of them. Returns false and sets
 * *error if one does not hold. */
static bool read_values(cfg_t *config, const char *file, rr_admission_settings *out,
                        GError **error) {
    const char *conflict = NULL;
    rr_settings_copy_numbers(config, number_settings, NUMBER_COUNT, out);
    if (read_teams(config, out) > 1) {
        conflict = "least_share: the teams' sum must not be above 1";
    } else if (out->leave_backlog_s >= out->enter_backlog_s) {
        conflict = "leave_backlog_s: must be below enter_backlog_s";
    } else if (out->interval_s <= INTERVAL_PER_CLOCK_OFF_MIN * platform_config->clock_skew_max_s) {
        conflict = "interval_s: must be above eight times the platform's clock_off_ms";
    }
    if (conflict) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_CONFLICT, "%s: %s", file, conflict);
        return false;
    }
    return read_bands(config, file, out, error);
}

static void register_validators(cfg_t *config) {
    rr_settings_check_ranges(config, number_settings, NUMBER_COUNT);
    cfg_set_validate_func(config, "team", check_team);
    cfg_set_validate_func(config, "team|weight", check_weight);
    cfg_set_validate_func(config, "team|least_share", check_least_share);
    cfg_set_validate_func(config, "team|class", check_class);
    cfg_set_validate_func(config, "team|class|weight", check_weight);
}

bool rr_admission_settings_load(const char *file, const struct rr_config *config,
                                rr_admission_settings *out, GError **error) {
    cfg_opt_t job_class[] = {CFG_FLOAT("weight", 1, CFGF_NONE), CFG_END()};
    cfg_opt_t team[] = {CFG_FLOAT("weight", 1, CFGF_NONE), CFG_FLOAT("least_share", 0, CFGF_NONE),
                        CFG_SEC("class", job_class, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
                        CFG_END()};
    cfg_opt_t other_options[] = {
        CFG_INT_LIST("bands", (char *)default_band_limits_text, CFGF_NONE),
        CFG_SEC("team", team, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_BOOL(RR_SETTINGS_END_MARK, cfg_false, CFGF_NONE), CFG_END()};
    cfg_opt_t options[NUMBER_COUNT + G_N_ELEMENTS(other_options)];
    rr_settings_fill_number_options(number_settings, NUMBER_COUNT, options);
    memcpy(&options[NUMBER_COUNT], other_options, sizeof other_options);
    rr_admission_settings_init(out);
    platform_config = config;
    cfg_t *parser = cfg_init(options, CFGF_NONE);
    rr_settings_prepare_parser(parser, file);
    register_validators(parser);
    out->enabled =
        rr_settings_parse_with_sections(parser, error) && read_values(parser, file, out, error);
    cfg_free(parser);
    return out->enabled;
}
