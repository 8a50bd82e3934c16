#include "cells/settings.h"
#include "conf/endpoint.h"
#include "conf/conf.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER(field, standard, least, most)                                                       \
    { #field, standard, least, most, offsetof(rr_cells_settings, field) }
static const rr_conf_number numbers[] = {
    NUMBER(lease_s, 12, 0.5, 3600),    NUMBER(stop_s, 5, 0.5, 600),
    NUMBER(drift, 0.001, 0, 0.1),      NUMBER(begin_wait_s, 30, 0.1, 86400),
    NUMBER(end_wait_s, 10, 0, 86400),  NUMBER(give_back_s, 30, 0.1, 86400),
    NUMBER(guest_share, 0.5, 0.01, 1),
};

int rr_cells_neighbour(const rr_cells_settings *settings, const char *name) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (strcmp(settings->neighbours[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static bool named_in(const GPtrArray *names, const char *name) {
    for (guint i = 0; i < names->len; i++) {
        if (strcmp(g_ptr_array_index(names, i), name) == 0) {
            return true;
        }
    }
    return false;
}

bool rr_cell_takes(const rr_cell *cell, const char *team, const char *zone) {
    return (cell->teams->len == 0 || named_in(cell->teams, team)) &&
           (!zone[0] || named_in(cell->zones, zone));
}

void rr_cells_settings_clear(rr_cells_settings *settings) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        rr_networks_destroy(settings->neighbours[i].networks);
        g_ptr_array_free(settings->neighbours[i].zones, TRUE);
        g_ptr_array_free(settings->neighbours[i].teams, TRUE);
    }
    memset(settings, 0, sizeof *settings);
}

/* ---- checks that libconfuse makes while it reads, so that they know the line ---- */

static const struct rr_config
    *platform; /* whose names are checked; read before any thread starts */

static bool plain_name(const char *name, size_t size) {
    bool plain = name[0] && strlen(name) < size;
    for (const char *text = name; *text; text++) {
        plain = plain && (g_ascii_isalnum(*text) || strchr("-_.", *text));
    }
    return plain;
}

static int check_neighbour(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_title(cfg_opt_getnsec(option, cfg_opt_size(option) - 1));
    const char *own = cfg_getstr(config, "cell");
    if (!plain_name(name, RR_CELL_NAME)) {
        cfg_error(config, "neighbour \"%s\": letters, digits, -, _ and . only", name);
        return -1;
    }
    if (own && strcmp(own, name) == 0) {
        cfg_error(config, "neighbour \"%s\": is this cell itself", name);
        return -1;
    }
    if (cfg_opt_size(option) > RR_CELLS_MAX) {
        cfg_error(config, "neighbour \"%s\": at most %d", name, RR_CELLS_MAX);
        return -1;
    }
    return 0;
}

static int check_prefix(cfg_t *config, cfg_opt_t *option) {
    const char *prefix = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    rr_networks *alone = rr_networks_create();
    int rc = rr_networks_add(alone, prefix);
    rr_networks_destroy(alone);
    if (rc != 0) {
        cfg_error(config, "networks: \"%s\" is no CIDR prefix", prefix);
        return -1;
    }
    return 0;
}

static int check_team(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    if (rr_config_team(platform, name) < 0) {
        cfg_error(config, "teams: the platform's settings have no team \"%s\"", name);
        return -1;
    }
    return 0;
}

/* Zones are the clouds' to name: that a neighbour's are others than this cell's is all that the
 * platform's settings can tell. */
static int check_zone(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    bool own = strcmp(platform->zone, name) == 0;
    for (size_t i = 0; i < platform->peer_count; i++) {
        own = own || strcmp(platform->peers[i].zone, name) == 0;
    }
    if (!plain_name(name, RR_NAME_SIZE) || own) {
        cfg_error(config, "zones: \"%s\" is %s", name, own ? "this cell's own" : "no zone's name");
        return -1;
    }
    return 0;
}

static int check_endpoint(cfg_t *config, cfg_opt_t *option) {
    struct rr_endpoint endpoint;
    const char *text = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    if (!text || rr_endpoint_parse(text, &endpoint) != 0) {
        cfg_error(config, "%s: \"%s\" is no address and port", cfg_opt_name(option),
                  text ? text : "");
        return -1;
    }
    return 0;
}

/* ---- reading ---- */

static GPtrArray *read_names(cfg_t *section, const char *list) {
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < cfg_size(section, list); i++) {
        g_ptr_array_add(names, g_strdup(cfg_getnstr(section, list, i)));
    }
    return names;
}

static const char *read_controllers(cfg_t *section, rr_cell *cell) {
    cell->controller_count = cfg_size(section, "controller");
    if (cell->controller_count == 0 || cell->controller_count > RR_CONTROLLERS_MAX) {
        return "names no controller, or more than 32";
    }
    for (unsigned i = 0; i < cell->controller_count; i++) {
        cfg_t *controller = cfg_getnsec(section, "controller", i);
        const char *endpoint = cfg_getstr(controller, "endpoint");
        g_strlcpy(cell->controllers[i].name, cfg_title(controller), RR_NAME_SIZE);
        if (!endpoint || rr_endpoint_parse(endpoint, &cell->controllers[i].endpoint) != 0) {
            return "has a controller without an endpoint";
        }
    }
    return NULL;
}

static const char *read_networks(cfg_t *section, const rr_cells_settings *settings, rr_cell *cell) {
    const char *wrong = cfg_size(section, "networks") ? NULL : "names no networks";
    for (unsigned i = 0; i < cfg_size(section, "networks"); i++) {
        if (rr_networks_add(cell->networks, cfg_getnstr(section, "networks", i)) != 0) {
            wrong = "has networks that overlap";
        }
    }
    for (size_t i = 0; i + 1 < settings->neighbour_count; i++) {
        if (rr_networks_overlap(settings->neighbours[i].networks, cell->networks)) {
            wrong = "has networks that overlap with another cell's";
        }
    }
    return wrong;
}

static const char *read_neighbour(cfg_t *section, rr_cells_settings *out) {
    rr_cell *cell = &out->neighbours[out->neighbour_count++];
    g_strlcpy(cell->name, cfg_title(section), sizeof cell->name);
    cell->networks = rr_networks_create();
    const char *state = cfg_getstr(section, "state");
    cell->claimable = state && rr_endpoint_parse(state, &cell->state) == 0;
    cell->zones = read_names(section, "zones");
    cell->teams = read_names(section, "teams");
    const char *wrong = read_controllers(section, cell);
    wrong = wrong ? wrong : read_networks(section, out, cell);
    for (size_t i = 0; !wrong && i + 1 < out->neighbour_count; i++) {
        for (guint zone = 0; zone < cell->zones->len; zone++) {
            if (named_in(out->neighbours[i].zones, g_ptr_array_index(cell->zones, zone))) {
                wrong = "has a zone that another cell has too";
            }
        }
    }
    return wrong;
}

static const char *read_own(cfg_t *config, rr_cells_settings *out) {
    const char *name = cfg_getstr(config, "cell");
    if (!name || !plain_name(name, sizeof out->name)) {
        return "cell: a name of letters, digits, -, _ and . is needed";
    }
    g_strlcpy(out->name, name, sizeof out->name);
    for (unsigned i = 0; i < cfg_size(config, "controller"); i++) {
        cfg_t *controller = cfg_getnsec(config, "controller", i);
        const char *endpoint = cfg_getstr(controller, "endpoint");
        if (strcmp(cfg_title(controller), platform->node_name) == 0) {
            return endpoint && rr_endpoint_parse(endpoint, &out->listen) == 0
                       ? NULL
                       : "controller: this one has no endpoint";
        }
    }
    return "controller: this controller's node_name is not among them";
}

/* docs/cells.md: a lapsed grant is a cancellation in the guest, which its owner, or the one that
 * takes over, records. */
static const char *work_out_times(rr_cells_settings *out) {
    double longest = out->lease_s * (1 + 2 * out->drift);
    out->times = (rr_transfer_times){.lease_s = out->lease_s,
                                     .rest_s = platform->cancel_s + rr_session_lease_s(platform) +
                                               out->stop_s,
                                     .drift = out->drift};
    if (longest + platform->lease_s + out->stop_s >= platform->cancel_s) {
        return "lease_s: with stop_s and the platform's lease_s it must be below its cancel_s";
    }
    if (out->end_wait_s >= out->begin_wait_s) {
        return "end_wait_s: must be below begin_wait_s";
    }
    return NULL;
}

/* What no single value shows. false: `wrong` says what, at `line` if that is known. */
static bool read_values(cfg_t *config, rr_cells_settings *out, GString *wrong, int *line) {
    const char *reason = read_own(config, out);
    rr_conf_read_numbers(config, numbers, G_N_ELEMENTS(numbers), out);
    reason = reason ? reason : work_out_times(out);
    if (reason) {
        g_string_assign(wrong, reason);
    }
    for (unsigned i = 0; !reason && i < cfg_size(config, "neighbour"); i++) {
        cfg_t *section = cfg_getnsec(config, "neighbour", i);
        reason = read_neighbour(section, out);
        if (reason) {
            g_string_printf(wrong, "neighbour \"%s\": %s", cfg_title(section), reason);
            *line = section->line;
        }
    }
    if (!reason && out->neighbour_count == 0) {
        reason = "neighbour: none is named";
        g_string_assign(wrong, reason);
    }
    return reason == NULL;
}

#define OPTIONS (G_N_ELEMENTS(numbers) + 5)

static void list_options(cfg_opt_t options[OPTIONS], cfg_opt_t *controller, cfg_opt_t *neighbour) {
    rr_conf_list_numbers(numbers, G_N_ELEMENTS(numbers), options);
    cfg_opt_t more[] = {
        CFG_STR("cell", NULL, CFGF_NONE),
        CFG_SEC("controller", controller, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("neighbour", neighbour, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_BOOL(RR_CONF_END_MARK, cfg_false, CFGF_NONE), CFG_END()};
    memcpy(&options[G_N_ELEMENTS(numbers)], more, sizeof more);
}

static void set_checks(cfg_t *config) {
    cfg_set_validate_func(config, "controller|endpoint", check_endpoint);
    cfg_set_validate_func(config, "neighbour", check_neighbour);
    cfg_set_validate_func(config, "neighbour|controller|endpoint", check_endpoint);
    cfg_set_validate_func(config, "neighbour|state", check_endpoint);
    cfg_set_validate_func(config, "neighbour|networks", check_prefix);
    cfg_set_validate_func(config, "neighbour|zones", check_zone);
    cfg_set_validate_func(config, "neighbour|teams", check_team);
}

int rr_cells_settings_load(const char *file, const struct rr_config *config, rr_cells_settings *out,
                           char *error, size_t size) {
    cfg_opt_t controller[] = {CFG_STR("endpoint", NULL, CFGF_NONE), CFG_END()};
    cfg_opt_t neighbour[] = {
        CFG_SEC("controller", controller, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_STR("state", NULL, CFGF_NONE),
        CFG_STR_LIST("networks", NULL, CFGF_NONE),
        CFG_STR_LIST("zones", NULL, CFGF_NONE),
        CFG_STR_LIST("teams", NULL, CFGF_NONE),
        CFG_END()};
    cfg_opt_t options[OPTIONS];
    list_options(options, controller, neighbour);
    memset(out, 0, sizeof *out);
    platform = config;
    cfg_t *parser = cfg_init(options, CFGF_NONE);
    rr_conf_begin(parser, file, numbers, G_N_ELEMENTS(numbers));
    set_checks(parser);
    GString *wrong = g_string_new(NULL);
    int line = 0;
    bool parsed = rr_conf_parse(parser);
    out->on = parsed && read_values(parser, out, wrong, &line);
    if (!parsed) {
        snprintf(error, size, "%s", rr_conf_error());
    } else if (!out->on && line > 0) {
        snprintf(error, size, "%s:%d: %s", file, line, wrong->str);
    } else if (!out->on) {
        snprintf(error, size, "%s: %s", file, wrong->str);
    }
    g_string_free(wrong, TRUE);
    cfg_free(parser);
    if (!out->on) {
        rr_cells_settings_clear(out);
    }
    return out->on ? 0 : -EINVAL;
}
