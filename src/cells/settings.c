#include "cells/settings.h"
#include "conf/endpoint.h"
#include "conf/settings_file.h"

#include <string.h>

/* The settings that are numbers: field, default, lowest and highest value. */
#define NUMBER(field, default_value, min, max)                                                     \
    { #field, RR_NUMBER_REAL, default_value, min, max, offsetof(rr_cells_settings, field) }
static const rr_number_setting numbers[] = {
    NUMBER(lease_s, 12, 0.5, 3600),    NUMBER(stop_s, 5, 0.5, 600),
    NUMBER(drift, 0.001, 0, 0.1),      NUMBER(begin_wait_s, 30, 0.1, 86400),
    NUMBER(end_wait_s, 10, 0, 86400),  NUMBER(give_back_s, 30, 0.1, 86400),
    NUMBER(guest_share, 0.5, 0.01, 1),
};

#define NUMBER_COUNT G_N_ELEMENTS(numbers)
#define OTHER_OPTION_COUNT 5 /* see fill_options() */

int rr_cells_find_neighbour(const rr_cells_settings *settings, const char *name) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (strcmp(settings->neighbours[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static bool contains_name(const GPtrArray *names, const char *name) {
    for (guint i = 0; i < names->len; i++) {
        if (strcmp(g_ptr_array_index(names, i), name) == 0) {
            return true;
        }
    }
    return false;
}

bool rr_neighbour_accepts_job(const rr_neighbour_cell *cell, const char *team, const char *zone) {
    return (cell->teams->len == 0 || contains_name(cell->teams, team)) &&
           (!zone[0] || contains_name(cell->zones, zone));
}

void rr_cells_settings_clear(rr_cells_settings *settings) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        rr_networks_destroy(settings->neighbours[i].networks);
        g_ptr_array_free(settings->neighbours[i].zones, TRUE);
        g_ptr_array_free(settings->neighbours[i].teams, TRUE);
    }
    memset(settings, 0, sizeof *settings);
}

/* ---- validation callbacks of the parser: their errors contain the line ---- */

/* The platform's settings, whose teams and zones are compared with the file's. Static, since
 * libconfuse's callbacks have no user pointer. */
static const struct rr_config *platform_config;

/* Returns whether the name is not empty, fits into `size` bytes with its NUL, and has only letters,
 * digits, -, _ and . */
static bool is_valid_name(const char *name, size_t size) {
    bool valid = name[0] && strlen(name) < size;
    for (const char *text = name; *text; text++) {
        valid = valid && (g_ascii_isalnum(*text) || strchr("-_.", *text));
    }
    return valid;
}

static int validate_neighbour(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_title(cfg_opt_getnsec(option, cfg_opt_size(option) - 1));
    const char *own_name = cfg_getstr(config, "cell");
    if (!is_valid_name(name, RR_CELL_NAME_SIZE)) {
        return rr_settings_reject(
            config, RR_SETTINGS_ERROR_WRONG_TYPE,
            "neighbour \"%s\": must be a name of 1 to 63 letters, digits, -, _ or .", name);
    }
    if (own_name && strcmp(own_name, name) == 0) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_CONFLICT,
                                  "neighbour \"%s\": is this cell itself", name);
    }
    if (cfg_opt_size(option) > RR_CELLS_NEIGHBOURS_MAX) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                                  "neighbour \"%s\": at most %d neighbours are allowed", name,
                                  RR_CELLS_NEIGHBOURS_MAX);
    }
    return 0;
}

static int validate_network(cfg_t *config, cfg_opt_t *option) {
    const char *prefix = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    rr_networks *single = rr_networks_create();
    int rc = rr_networks_add(single, prefix);
    rr_networks_destroy(single);
    if (rc != 0) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_WRONG_TYPE,
                                  "networks: \"%s\" is no CIDR prefix", prefix);
    }
    return 0;
}

static int validate_team(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    if (rr_config_find_team(platform_config, name) < 0) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_UNKNOWN_NAME,
                                  "teams: team \"%s\" is not in the platform's settings", name);
    }
    return 0;
}

/* Rejects malformed names and the zones of this cell. Whether any other zone exists is not checked,
 * since only the clouds know that. */
static int validate_zone(cfg_t *config, cfg_opt_t *option) {
    const char *name = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    bool own_zone = strcmp(platform_config->zone, name) == 0;
    for (size_t i = 0; i < platform_config->peer_count; i++) {
        own_zone = own_zone || strcmp(platform_config->peers[i].zone, name) == 0;
    }
    if (!is_valid_name(name, RR_NAME_SIZE) || own_zone) {
        return rr_settings_reject(
            config, own_zone ? RR_SETTINGS_ERROR_CONFLICT : RR_SETTINGS_ERROR_WRONG_TYPE,
            "zones: \"%s\" is %s", name,
            own_zone ? "this cell's own zone" : "not a valid zone name");
    }
    return 0;
}

static int validate_endpoint(cfg_t *config, cfg_opt_t *option) {
    struct rr_endpoint endpoint;
    const char *text = cfg_opt_getnstr(option, cfg_opt_size(option) - 1);
    if (!text || rr_endpoint_parse(text, &endpoint) != 0) {
        return rr_settings_reject(config, RR_SETTINGS_ERROR_WRONG_TYPE,
                                  "%s: \"%s\" is not an address and port", cfg_opt_name(option),
                                  text ? text : "");
    }
    return 0;
}

/* ---- reading the parsed file ---- */

/* Returns copies of the list's texts, owned by the caller. */
static GPtrArray *read_names(cfg_t *section, const char *list) {
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < cfg_size(section, list); i++) {
        g_ptr_array_add(names, g_strdup(cfg_getnstr(section, list, i)));
    }
    return names;
}

/* State of reading one neighbour section. */
struct neighbour_reader {
    cfg_t *section;
    const char *file;
    const rr_cells_settings *settings; /* with the neighbours up to and including this one */
    rr_neighbour_cell *cell;           /* the neighbour that is read */
    GError **error;
};

/* Sets *reader->error to the reason, with the file, the line of the section and the neighbour's
 * name. Always returns false. */
static bool set_neighbour_error(const struct neighbour_reader *reader, enum rr_settings_error code,
                                const char *reason) {
    g_set_error(reader->error, RR_SETTINGS_ERROR, (int)code, "%s:%d: neighbour \"%s\": %s",
                reader->file, reader->section->line, cfg_title(reader->section), reason);
    return false;
}

static bool read_controllers(const struct neighbour_reader *reader) {
    rr_neighbour_cell *cell = reader->cell;
    cell->controller_count = cfg_size(reader->section, "controller");
    if (cell->controller_count == 0 || cell->controller_count > RR_CONTROLLERS_MAX) {
        return set_neighbour_error(reader,
                                   cell->controller_count == 0 ? RR_SETTINGS_ERROR_MISSING
                                                               : RR_SETTINGS_ERROR_OUT_OF_RANGE,
                                   "must have 1 to 32 controller sections");
    }
    for (unsigned i = 0; i < cell->controller_count; i++) {
        cfg_t *controller = cfg_getnsec(reader->section, "controller", i);
        const char *endpoint = cfg_getstr(controller, "endpoint");
        g_strlcpy(cell->controllers[i].name, cfg_title(controller), RR_NAME_SIZE);
        if (!endpoint || rr_endpoint_parse(endpoint, &cell->controllers[i].endpoint) != 0) {
            return set_neighbour_error(reader, RR_SETTINGS_ERROR_MISSING,
                                       "has a controller without a valid endpoint");
        }
    }
    return true;
}

static bool read_networks(const struct neighbour_reader *reader) {
    const rr_cells_settings *settings = reader->settings;
    unsigned count = cfg_size(reader->section, "networks");
    if (count == 0) {
        return set_neighbour_error(reader, RR_SETTINGS_ERROR_MISSING,
                                   "networks: at least one is required");
    }
    for (unsigned i = 0; i < count; i++) {
        if (rr_networks_add(reader->cell->networks, cfg_getnstr(reader->section, "networks", i)) !=
            0) {
            return set_neighbour_error(reader, RR_SETTINGS_ERROR_CONFLICT,
                                       "networks: two of them overlap");
        }
    }
    for (size_t i = 0; i + 1 < settings->neighbour_count; i++) {
        if (rr_networks_overlap(settings->neighbours[i].networks, reader->cell->networks)) {
            return set_neighbour_error(reader, RR_SETTINGS_ERROR_CONFLICT,
                                       "networks: one overlaps with another neighbour's");
        }
    }
    return true;
}

static bool check_zones_distinct(const struct neighbour_reader *reader) {
    const GPtrArray *zones = reader->cell->zones;
    for (size_t i = 0; i + 1 < reader->settings->neighbour_count; i++) {
        for (guint zone = 0; zone < zones->len; zone++) {
            if (contains_name(reader->settings->neighbours[i].zones,
                              g_ptr_array_index(zones, zone))) {
                return set_neighbour_error(reader, RR_SETTINGS_ERROR_CONFLICT,
                                           "zones: one is also another neighbour's");
            }
        }
    }
    return true;
}

/* Appends the section's neighbour to the settings. False: *error is set. */
static bool read_neighbour(cfg_t *section, const char *file, rr_cells_settings *out,
                           GError **error) {
    rr_neighbour_cell *cell = &out->neighbours[out->neighbour_count++];
    struct neighbour_reader reader = {section, file, out, cell, error};
    g_strlcpy(cell->name, cfg_title(section), sizeof cell->name);
    cell->networks = rr_networks_create();
    const char *state = cfg_getstr(section, "state");
    cell->claimable = state && rr_endpoint_parse(state, &cell->store_endpoint) == 0;
    cell->zones = read_names(section, "zones");
    cell->teams = read_names(section, "teams");
    return read_controllers(&reader) && read_networks(&reader) && check_zones_distinct(&reader);
}

/* Reads all neighbour sections. False: *error is set. */
static bool read_neighbours(cfg_t *config, const char *file, rr_cells_settings *out,
                            GError **error) {
    for (unsigned i = 0; i < cfg_size(config, "neighbour"); i++) {
        if (!read_neighbour(cfg_getnsec(config, "neighbour", i), file, out, error)) {
            return false;
        }
    }
    if (out->neighbour_count == 0) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_MISSING,
                    "%s: neighbour: at least one section is required", file);
    }
    return out->neighbour_count > 0;
}

static bool read_own_name(cfg_t *config, const char *file, rr_cells_settings *out, GError **error) {
    const char *name = cfg_getstr(config, "cell");
    if (!name || !is_valid_name(name, sizeof out->name)) {
        g_set_error(error, RR_SETTINGS_ERROR,
                    name ? RR_SETTINGS_ERROR_WRONG_TYPE : RR_SETTINGS_ERROR_MISSING,
                    "%s: cell: a name of 1 to 63 letters, digits, -, _ or . is required", file);
        return false;
    }
    g_strlcpy(out->name, name, sizeof out->name);
    return true;
}

/* Reads the endpoint on which this controller listens for neighbours. */
static bool read_own_endpoint(cfg_t *config, const char *file, rr_cells_settings *out,
                              GError **error) {
    const char *reason = "no section has this controller's node_name";
    for (unsigned i = 0; i < cfg_size(config, "controller"); i++) {
        cfg_t *controller = cfg_getnsec(config, "controller", i);
        const char *endpoint = cfg_getstr(controller, "endpoint");
        if (strcmp(cfg_title(controller), platform_config->node_name) == 0) {
            if (endpoint && rr_endpoint_parse(endpoint, &out->listen_endpoint) == 0) {
                return true;
            }
            reason = "this controller's section has no valid endpoint";
        }
    }
    g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_MISSING, "%s: controller: %s", file,
                reason);
    return false;
}

/* Derives out->times. Returns false with *error set if the settings conflict. A lapsed grant counts
 * as a cancellation in the guest cell; the team's owner there, or the controller that takes over
 * from it, records it. The longest grant, the platform's lease_s and stop_s together must therefore
 * be shorter than the platform's cancel_s (docs/cells.md). */
static bool derive_transfer_times(const char *file, rr_cells_settings *out, GError **error) {
    double grant_max_s = out->lease_s * (1 + 2 * out->drift);
    const char *conflict = NULL;
    out->times = (rr_transfer_times){
        .lease_s = out->lease_s,
        .teardown_s = platform_config->cancel_s + rr_session_lease_s(platform_config) + out->stop_s,
        .drift = out->drift};
    if (grant_max_s + platform_config->lease_s + out->stop_s >= platform_config->cancel_s) {
        conflict = "lease_s: the sum with stop_s and the platform's lease_s must be below the "
                   "platform's cancel_s";
    } else if (out->end_wait_s >= out->begin_wait_s) {
        conflict = "end_wait_s: must be below begin_wait_s";
    }
    if (conflict) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_CONFLICT, "%s: %s", file, conflict);
    }
    return !conflict;
}

/* Reads the parsed values and checks them against each other. False: *error is set. */
static bool read_parsed_settings(cfg_t *config, const char *file, rr_cells_settings *out,
                                 GError **error) {
    rr_settings_copy_numbers(config, numbers, NUMBER_COUNT, out);
    return read_own_name(config, file, out, error) && read_own_endpoint(config, file, out, error) &&
           derive_transfer_times(file, out, error) && read_neighbours(config, file, out, error);
}

/* Fills in the options of the file's outermost level. The sections are borrowed. */
static void fill_options(cfg_opt_t options[NUMBER_COUNT + OTHER_OPTION_COUNT],
                         cfg_opt_t *controller, cfg_opt_t *neighbour) {
    cfg_opt_t others[OTHER_OPTION_COUNT] = {
        CFG_STR("cell", NULL, CFGF_NONE),
        CFG_SEC("controller", controller, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("neighbour", neighbour, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_BOOL(RR_SETTINGS_END_MARK, cfg_false, CFGF_NONE), CFG_END()};
    rr_settings_fill_number_options(numbers, NUMBER_COUNT, options);
    memcpy(&options[NUMBER_COUNT], others, sizeof others);
}

/* Has the parser check values as it reads them. */
static void set_validators(cfg_t *config) {
    rr_settings_check_ranges(config, numbers, NUMBER_COUNT);
    cfg_set_validate_func(config, "controller|endpoint", validate_endpoint);
    cfg_set_validate_func(config, "neighbour", validate_neighbour);
    cfg_set_validate_func(config, "neighbour|controller|endpoint", validate_endpoint);
    cfg_set_validate_func(config, "neighbour|state", validate_endpoint);
    cfg_set_validate_func(config, "neighbour|networks", validate_network);
    cfg_set_validate_func(config, "neighbour|zones", validate_zone);
    cfg_set_validate_func(config, "neighbour|teams", validate_team);
}

bool rr_cells_settings_load(const char *file, const struct rr_config *config,
                            rr_cells_settings *out, GError **error) {
    cfg_opt_t controller[] = {CFG_STR("endpoint", NULL, CFGF_NONE), CFG_END()};
    cfg_opt_t neighbour[] = {
        CFG_SEC("controller", controller, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_STR("state", NULL, CFGF_NONE),
        CFG_STR_LIST("networks", NULL, CFGF_NONE),
        CFG_STR_LIST("zones", NULL, CFGF_NONE),
        CFG_STR_LIST("teams", NULL, CFGF_NONE),
        CFG_END()};
    cfg_opt_t options[NUMBER_COUNT + OTHER_OPTION_COUNT];
    fill_options(options, controller, neighbour);
    memset(out, 0, sizeof *out);
    platform_config = config;
    cfg_t *parser = cfg_init(options, CFGF_NONE);
    rr_settings_prepare_parser(parser, file);
    set_validators(parser);
    bool loaded = rr_settings_parse_with_sections(parser, error) &&
                  read_parsed_settings(parser, file, out, error);
    cfg_free(parser);
    if (!loaded) {
        rr_cells_settings_clear(out);
    }
    out->enabled = loaded;
    return loaded;
}
