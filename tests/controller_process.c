#include "controller_process.h"
#include "core_fixture.h"

#include "common/clock.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#define ARGV_SIZE 16 /* program, "--config", file, arguments and the final NULL */
#define READY_TIMEOUT_S 60
#define READY_POLL_INTERVAL_S 0.05

/* Appends the other controllers as [[seeds]] to the settings. */
static void append_seeds(GString *text, const struct controller_process *controllers, int count,
                         int own_index) {
    for (int i = 0; i < count; i++) {
        const struct rr_config *config = &controllers[i].config;
        if (i != own_index) {
            g_string_append_printf(
                text, "[[seeds]]\nnode_name = \"%s\"\nzone = \"%s\"\nendpoint = \"127.0.0.1:%u\"\n",
                config->node_name, config->zone, config->peer_listen.port);
        }
    }
}

/* Writes the settings file of controller own_index. */
static void write_settings_file(const struct controller_process *controllers, int count,
                                int own_index, const struct cell_settings *cell_settings) {
    const struct rr_config *config = &controllers[own_index].config;
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "node_name = \"%s\"\nzone = \"%s\"\nbind = \"127.0.0.1:%u\"\n"
                           "peer_listen = \"127.0.0.1:%u\"\n",
                           config->node_name, config->zone, config->bind.port,
                           config->peer_listen.port);
    append_seeds(text, controllers, count, own_index);
    g_string_append_printf(text,
                           "[services]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n"
                           "[deployment]\nclock_off_ms = 10.0\n",
                           config->cloud.port, config->store_endpoint.port);
    for (unsigned team = 0; team < cell_settings->team_count; team++) {
        g_string_append_printf(text, "[[deployment.teams]]\nname = \"%s\"\n",
                               cell_settings->teams[team]);
    }
    g_string_append_printf(
        text, "[deployment.workers]\nreport_s = %.2f\nlease_s = %.2f\ncancel_s = %.2f\n",
        cell_settings->report_s, cell_settings->lease_s, cell_settings->cancel_s);
    g_string_append(text, "[deployment.state]\nrps = 2000.0\nwrite_rps = 1000.0\nvalue_kb = 8.0\n"
                          "txn_ops = 16\n[deployment.cloud]\nrps = 100.0\nlist_lag_s = 0.5\n"
                          "[deployment.limits]\nram_mb = 400.0\nmax_sockets = 1000\n");
    assert_true(g_file_set_contents(controllers[own_index].settings_path, text->str,
                                    (gssize)text->len, NULL));
    g_string_free(text, TRUE);
}

void processes_configure(fake_services *services, const char *folder, const char *prefix,
                         const char *zone, const struct cell_settings *cell_settings,
                         struct controller_process *controllers, int count) {
    for (int i = 0; i < count; i++) {
        struct controller_process *controller = &controllers[i];
        char name[64];
        g_snprintf(name, sizeof name, "%s%d", prefix, i);
        fake_services_init_config(services, &controller->config, name);
        g_strlcpy(controller->config.zone, zone, sizeof controller->config.zone);
        controller->config.store_endpoint.port = fake_services_add_endpoint(services);
        g_snprintf(controller->settings_path, sizeof controller->settings_path, "%s/%s.toml",
                   folder, name);
        g_snprintf(controller->log_path, sizeof controller->log_path, "%s/%s.log", folder, name);
    }
    for (int i = 0; i < count; i++) {
        write_settings_file(controllers, count, i, cell_settings);
    }
}

void process_start(struct controller_process *controller, const char *program,
                   const char *const *arguments) {
    char *argv[ARGV_SIZE] = {(char *)program, "--config", controller->settings_path};
    posix_spawn_file_actions_t actions;
    for (int i = 0; arguments[i] && i + 4 < ARGV_SIZE; i++) {
        argv[i + 3] = (char *)arguments[i];
    }
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, controller->log_path,
                                     O_CREAT | O_WRONLY | O_APPEND, 0600);
    assert_int_equal(posix_spawn(&controller->pid, program, &actions, NULL, argv, environ), 0);
    posix_spawn_file_actions_destroy(&actions);
}

void process_stop(struct controller_process *controller, int signal) {
    int status = 0;
    kill(controller->pid, signal);
    assert_int_equal(waitpid(controller->pid, &status, 0), controller->pid);
    controller->pid = 0;
    assert_true(signal == SIGKILL || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
}

void process_kill(struct controller_process *controller) {
    if (controller->pid > 0) {
        kill(controller->pid, SIGKILL);
        waitpid(controller->pid, NULL, 0);
        controller->pid = 0;
    }
}

void process_wait_ready(const struct controller_process *controller) {
    double deadline = rr_steady_clock_s() + READY_TIMEOUT_S;
    while (fake_services_request(&controller->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(READY_POLL_INTERVAL_S);
    }
}

void process_remove_files(const struct controller_process *controller) {
    unlink(controller->settings_path);
    unlink(controller->log_path);
}
