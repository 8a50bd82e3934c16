/* The command line, and the life of the process. */
#include "app/process.h"
#include "common/clock.h"
#include "common/log.h"
#include "app/settings.h"

#include <errno.h>
#include <semaphore.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* GLib before 2.76 keeps freed small blocks for each thread: 7 KB a connection, since each has one,
 * and a lock for what one thread frees of another's. Plain malloc is told to it before it allocates
 * anything, which its own constructor does, so that main() is too late; a newer one ignores it. */
static void no_slices(void) {
    G_GNUC_BEGIN_IGNORE_DEPRECATIONS
    g_slice_set_config(G_SLICE_CONFIG_ALWAYS_MALLOC, TRUE);
    G_GNUC_END_IGNORE_DEPRECATIONS
}

__attribute__((section(".preinit_array"), used)) static void (*const before_glib)(void) = no_slices;

struct options {
    char *config, *settings, *admission, *cells;
    gboolean version, check;
};

static sem_t quit;

static void on_signal(int sig) {
    (void)sig;
    sem_post(&quit);
}

static int usage_error(const char *what) {
    fprintf(stderr, "ringrock: %s (see ringrock --help)\n", what);
    return 2;
}

/* 0: go on; 1: done, exit 0; 2: bad use. */
static int read_options(int *argc, char ***argv, struct options *options) {
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
    GError *err = NULL;
    GOptionContext *ctx = g_option_context_new("- a controller of the ringrock cluster scheduler");
    g_option_context_add_main_entries(ctx, entries, NULL);
    g_option_context_set_description(
        ctx, "LOG_LEVEL in the environment is error, info (default) or debug.\n");
    gboolean succeeded = g_option_context_parse(ctx, argc, argv, &err);
    g_option_context_free(ctx);
    int rc = 0;
    if (!succeeded) {
        rc = usage_error(err->message);
        g_error_free(err);
    } else if (options->version) {
        printf("ringrock %s\n", RINGROCK_VERSION);
        rc = 1;
    } else if (*argc > 1) {
        rc = usage_error("unexpected argument");
    } else if (!options->config) {
        rc = usage_error("--config FILE is required");
    } else if (rr_log_set_level(getenv("LOG_LEVEL")) != 0) {
        rc = usage_error("LOG_LEVEL must be error, info or debug");
    }
    return rc;
}

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

static int load_settings(const struct options *options, struct rr_app *app, char *err,
                         size_t size) {
    int rc = rr_settings_load(options->config, options->settings, &app->config, err, size);
    if (rc == 0 && options->admission) {
        rc = rr_admission_settings_load(options->admission, &app->config, &app->admission_settings,
                                        err, size);
        app->config.admission = rc == 0;
    }
    if (rc == 0 && options->cells) {
        rc = rr_cells_settings_load(options->cells, &app->config, &app->cells_settings, err, size);
        app->config.cells = rc == 0;
    }
    return rc;
}

int main(int argc, char **argv) {
    struct options options = {0};
    char err[512] = "";
    rr_app_tune_allocator();
    int rc = read_options(&argc, &argv, &options);
    if (rc != 0) {
        rc = rc == 1 ? 0 : rc;
        goto end;
    }
    struct rr_app *app = g_new0(struct rr_app, 1);
    if (!options.settings) {
        options.settings = g_strdup(getenv("RINGROCK_SETTINGS"));
    }
    if (!options.admission) {
        options.admission = g_strdup(getenv("RINGROCK_ADMISSION"));
    }
    if (!options.cells) {
        options.cells = g_strdup(getenv("RINGROCK_CELLS"));
    }
    if (load_settings(&options, app, err, sizeof err) != 0) {
        fprintf(stderr, "ringrock: %s\n", err);
        rc = 2;
    } else if (rr_app_connections_max(&app->config) < RR_CONNECTIONS_MIN) {
        fprintf(stderr,
                "ringrock: %s: deployment.limits, max_threads and senders leave no room for "
                "connections\n",
                options.config);
        rc = 2;
    } else if (options.check) {
        printf("settings are fine\n");
    } else {
        rr_log_node(app->config.node_name);
        rc = serve(app);
    }
    rr_admission_settings_clear(&app->admission_settings);
    rr_cells_settings_clear(&app->cells_settings);
    g_free(app);
end:
    g_free(options.config);
    g_free(options.settings);
    g_free(options.admission);
    g_free(options.cells);
    return rc;
}
