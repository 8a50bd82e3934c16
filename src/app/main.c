/* The command line, and the life of the process. */
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

/* GLib before 2.76 keeps freed small blocks for each thread, which costs memory for every
 * connection, and takes a lock for blocks that another thread allocated. It is set to plain malloc
 * before its own constructor allocates anything; main() would be too late. Newer versions ignore
 * the setting. */
static void disable_slices(void) {
    G_GNUC_BEGIN_IGNORE_DEPRECATIONS
    g_slice_set_config(G_SLICE_CONFIG_ALWAYS_MALLOC, TRUE);
    G_GNUC_END_IGNORE_DEPRECATIONS
}

__attribute__((section(".preinit_array"),
               used)) static void (*const before_glib)(void) = disable_slices;

struct options {
    char *config, *settings, *admission, *cells;
    gboolean version, check;
};

#define EXIT_BAD_USE 2

enum options_result { OPTIONS_SERVE, OPTIONS_ANSWERED, OPTIONS_BAD_USE };

static sem_t quit; /* posted by signals */

static void on_signal(int number) {
    (void)number;
    sem_post(&quit);
}

static enum options_result report_bad_use(const char *reason) {
    fprintf(stderr, "ringrock: %s (see ringrock --help)\n", reason);
    return OPTIONS_BAD_USE;
}

static enum options_result read_options(int *argc, char ***argv, struct options *options) {
    GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config,
         "The platform's settings (TOML)", "FILE"},
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings,
         "The operators' own settings; or RINGROCK_SETTINGS in the environment", "FILE"},
        {"admission", 'a', 0, G_OPTION_ARG_FILENAME, &options->admission,
         "Switches fair admission on; or RINGROCK_ADMISSION in the environment", "FILE"},
        {"cells", 0, 0, G_OPTION_ARG_FILENAME, &options->cells,
         "Lets work spill over between cells; or RINGROCK_CELLS in the environment", "FILE"},
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
    enum options_result result = OPTIONS_SERVE;
    if (!succeeded) {
        result = report_bad_use(error->message);
        g_error_free(error);
    } else if (options->version) {
        printf("ringrock %s\n", RINGROCK_VERSION);
        result = OPTIONS_ANSWERED;
    } else if (*argc > 1) {
        result = report_bad_use("unexpected argument");
    } else if (!options->config) {
        result = report_bad_use("--config FILE is required");
    } else if (rr_log_set_level(getenv("LOG_LEVEL")) != 0) {
        result = report_bad_use("LOG_LEVEL must be error, info or debug");
    }
    return result;
}

/* Runs until SIGTERM or SIGINT. Returns the exit code. */
static int serve(struct rr_app *app) {
    struct sigaction action = {.sa_handler = on_signal}, ignore = {.sa_handler = SIG_IGN};
    sem_init(&quit, 0, 0);
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGPIPE, &ignore, NULL);
    if (rr_net_init() != 0 || rr_app_start(app) != 0) {
        return 1;
    }
    rr_log(RR_INFO_LEVEL, "ringrock %s in %s, session %.1f s", RINGROCK_VERSION, app->config.zone,
           rr_session_lease_s(&app->config));
    while (sem_wait(&quit) != 0 && errno == EINTR) {
    }
    rr_log(RR_INFO_LEVEL, "stopping");
    rr_app_stop(app);
    return 0;
}

/* Loads all settings files into *app. False: *error is set. */
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

/* Where the command line names no file, the environment may. */
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

/* Loads the settings, then serves until a signal, or only checks them. Returns the exit code. */
static int run(const struct options *options) {
    struct rr_app *app = g_new0(struct rr_app, 1);
    GError *error = NULL;
    int exit_code = 0;
    if (!load_settings(options, app, &error)) {
        fprintf(stderr, "ringrock: %s\n", error->message);
        g_error_free(error);
        exit_code = EXIT_BAD_USE;
    } else if (rr_app_connections_max(&app->config) < RR_CONNECTIONS_MIN) {
        fprintf(stderr,
                "ringrock: %s: deployment.limits, max_threads and senders leave no room for "
                "connections\n",
                options->config);
        exit_code = EXIT_BAD_USE;
    } else if (options->check) {
        printf("settings are fine\n");
    } else {
        rr_log_node(app->config.node_name);
        exit_code = serve(app);
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
    switch (read_options(&argc, &argv, &options)) {
    case OPTIONS_SERVE:
        read_environment(&options);
        exit_code = run(&options);
        break;
    case OPTIONS_BAD_USE:
        exit_code = EXIT_BAD_USE;
        break;
    case OPTIONS_ANSWERED:
        break;
    }
    g_free(options.config);
    g_free(options.settings);
    g_free(options.admission);
    g_free(options.cells);
    return exit_code;
}
