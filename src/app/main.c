/* The program's entry point: parses the command line, loads the settings, and runs the controller
 * until a stop signal. */
#include "app/process.h"
#include "app/settings.h"
#include "common/clock.h"
#include "common/log.h"

#include <errno.h>
#include <semaphore.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Makes GLib allocate small blocks with plain malloc. Before version 2.76 its slice allocator
 * caches freed blocks for each thread, which costs memory for every connection, and takes a lock to
 * free a block that another thread allocated. Newer versions ignore the setting. */
static void disable_slice_allocator(void) {
    G_GNUC_BEGIN_IGNORE_DEPRECATIONS
    g_slice_set_config(G_SLICE_CONFIG_ALWAYS_MALLOC, TRUE);
    G_GNUC_END_IGNORE_DEPRECATIONS
}

/* Runs before GLib's own constructor, which already allocates; main() would be too late. */
__attribute__((section(".preinit_array"),
               used)) static void (*const preinit_function)(void) = disable_slice_allocator;

/* Values of the command line. */
struct options {
    char *config, *settings, *admission, *cells; /* file names, owned; NULL: not given */
    gboolean version, check;
};

/* Exit code for an invalid command line or invalid settings. */
#define EXIT_USAGE_ERROR 2

enum options_result {
    OPTIONS_RUN,    /* load the settings, then serve or check them */
    OPTIONS_DONE,   /* the request is complete: nothing more to do */
    OPTIONS_INVALID /* reported on standard error */
};

static sem_t stop_requested; /* posted by the handler of SIGTERM and SIGINT */

static void on_stop_signal(int number) {
    (void)number;
    sem_post(&stop_requested);
}

static enum options_result report_usage_error(const char *reason) {
    fprintf(stderr, "ringrock: %s (see ringrock --help)\n", reason);
    return OPTIONS_INVALID;
}

/* Parses the command line into *options, answers --version, and sets the log level from the
 * environment. */
static enum options_result parse_options(int *argc, char ***argv, struct options *options) {
    GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config,
         "Platform settings file (TOML), required", "FILE"},
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings,
         "Operators' settings file; default: RINGROCK_SETTINGS in the environment", "FILE"},
        {"admission", 'a', 0, G_OPTION_ARG_FILENAME, &options->admission,
         "Settings file that enables fair admission; default: RINGROCK_ADMISSION in the "
         "environment",
         "FILE"},
        {"cells", 0, 0, G_OPTION_ARG_FILENAME, &options->cells,
         "Settings file that enables job transfers between cells; default: RINGROCK_CELLS in the "
         "environment",
         "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &options->check, "Check the settings and exit",
         NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &options->version, "Print the version and exit",
         NULL},
        {0}};
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("- a controller of the ringrock cluster scheduler");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context, "LOG_LEVEL in the environment is error, info (default) or debug.\n");
    gboolean succeeded = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    enum options_result result = OPTIONS_RUN;
    if (!succeeded) {
        result = report_usage_error(error->message);
        g_error_free(error);
    } else if (options->version) {
        printf("ringrock %s\n", RINGROCK_VERSION);
        result = OPTIONS_DONE;
    } else if (*argc > 1) {
        result = report_usage_error("unexpected argument");
    } else if (!options->config) {
        result = report_usage_error("--config FILE is required");
    } else if (rr_log_set_level(getenv("LOG_LEVEL")) != 0) {
        result = report_usage_error("LOG_LEVEL must be error, info or debug");
    }
    return result;
}

/* Starts the controller and runs it until SIGTERM or SIGINT. Returns the exit code. */
static int serve_until_signal(struct rr_app *app) {
    struct sigaction action = {.sa_handler = on_stop_signal}, ignore = {.sa_handler = SIG_IGN};
    sem_init(&stop_requested, 0, 0);
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGPIPE, &ignore, NULL);
    if (rr_http_client_init() != 0 || rr_app_start(app) != 0) {
        return 1;
    }
    rr_log(RR_INFO_LEVEL, "ringrock %s started in zone %s, session lease %.1f s", RINGROCK_VERSION,
           app->config.zone, rr_session_lease_s(&app->config));
    while (sem_wait(&stop_requested) != 0 && errno == EINTR) {
    }
    rr_log(RR_INFO_LEVEL, "stopping");
    rr_app_stop(app);
    return 0;
}

/* Loads all settings files into *app. Returns false with *error set if one of them is invalid. */
static bool load_settings(const struct options *options, struct rr_app *app, GError **error) {
    if (!rr_settings_load(options->config, options->settings, &app->config, error)) {
        return false;
    }
    if (options->admission) {
        app->config.admission = rr_admission_settings_load(options->admission, &app->config,
                                                           &app->admission_settings, error);
        if (!app->config.admission) {
            return false;
        }
    }
    if (options->cells) {
        app->config.cells =
            rr_cells_settings_load(options->cells, &app->config, &app->cells_settings, error);
        return app->config.cells;
    }
    return true;
}

/* Takes the file names that the command line does not give from the environment. */
static void read_environment(struct options *options) {
    char **files[] = {&options->settings, &options->admission, &options->cells};
    static const char *const names[] = {"RINGROCK_SETTINGS", "RINGROCK_ADMISSION",
                                        "RINGROCK_CELLS"};
    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        if (!*files[i]) {
            *files[i] = g_strdup(getenv(names[i]));
        }
    }
}

/* Loads the settings, then serves until a stop signal, or only checks the settings if the options
 * say so. Returns the exit code. */
static int run_controller(const struct options *options) {
    struct rr_app *app = g_new0(struct rr_app, 1);
    GError *error = NULL;
    int exit_code = 0;
    if (!load_settings(options, app, &error)) {
        fprintf(stderr, "ringrock: %s\n", error->message);
        g_error_free(error);
        exit_code = EXIT_USAGE_ERROR;
    } else if (rr_app_compute_connection_limit(&app->config) < RR_CONNECTIONS_MIN) {
        fprintf(stderr,
                "ringrock: %s: deployment.limits, max_threads and senders leave no room for "
                "connections\n",
                options->config);
        exit_code = EXIT_USAGE_ERROR;
    } else if (options->check) {
        printf("settings are fine\n");
    } else {
        rr_log_set_node_name(app->config.node_name);
        exit_code = serve_until_signal(app);
    }
    rr_admission_settings_clear(&app->admission_settings);
    rr_cells_settings_clear(&app->cells_settings);
    g_free(app);
    return exit_code;
}

int main(int argc, char **argv) {
    struct options options = {0};
    int exit_code = 0;
    rr_app_tune_allocator();
    switch (parse_options(&argc, &argv, &options)) {
    case OPTIONS_RUN:
        read_environment(&options);
        exit_code = run_controller(&options);
        break;
    case OPTIONS_INVALID:
        exit_code = EXIT_USAGE_ERROR;
        break;
    case OPTIONS_DONE:
        break;
    }
    g_free(options.config);
    g_free(options.settings);
    g_free(options.admission);
    g_free(options.cells);
    return exit_code;
}
