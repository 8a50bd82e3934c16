/* Controllers as separate processes of the ringrock program, on loopback. */
#ifndef RR_TESTS_CONTROLLER_PROCESS_H
#define RR_TESTS_CONTROLLER_PROCESS_H

#include "fake_services.h"

#include <sys/types.h>

struct controller_process {
    struct rr_config config; /* its addresses, name and zone are those in the settings file */
    char settings_path[256]; /* path of the settings file */
    char log_path[256];      /* path of the log file */
    pid_t pid;               /* 0: not running */
};

/* Settings that the controllers of one cell share. */
struct cell_settings {
    const char *const *teams; /* names */
    unsigned team_count;
    double report_s, lease_s, cancel_s; /* of [deployment.workers], in seconds */
};

/* Gives each of the `count` controllers its ports, a name (prefix and index) and its own endpoint
 * of the fake key-value store, and writes its settings file into the folder. Each file lists the
 * other controllers as seeds. */
void processes_configure(fake_services *services, const char *folder, const char *prefix,
                         const char *zone, const struct cell_settings *cell_settings,
                         struct controller_process *controllers, int count);
/* Starts the program as "program --config FILE arguments", with standard error appended to the log
 * file. arguments: at most 12, ended by NULL. */
void process_start(struct controller_process *controller, const char *program,
                   const char *const *arguments);
/* Sends the signal and waits until the process has ended. Unless the signal is SIGKILL, asserts
 * exit status 0, which also means that no sanitizer has reported an error. */
void process_stop(struct controller_process *controller, int signal);
/* Kills the process if it runs, and checks nothing. For the teardown of tests, also failed ones. */
void process_kill(struct controller_process *controller);
/* Waits until the controller answers /ready with 200; asserts that it does so within 60 s. */
void process_wait_ready(const struct controller_process *controller);
/* Removes the controller's settings file and log file. */
void process_remove_files(const struct controller_process *controller);

#endif
