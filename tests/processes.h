/* Controllers as real processes on loopback, started from the program's own files. */
#ifndef RR_TESTS_PROCESSES_H
#define RR_TESTS_PROCESSES_H

#include "fake_services.h"

#include <sys/types.h>

struct controller_process {
    struct rr_config config; /* addresses, name and zone, as in its file */
    char file[256], log[256];
    pid_t pid; /* 0: not running */
};

/* What the files of one cell's controllers have in common. */
struct platform {
    const char *const *teams;
    unsigned team_count;
    double report_s, lease_s, cancel_s;
};

/* Gives `count` controllers their ports and names (prefix and number), and an endpoint of their own
 * for the key-value store, and writes their settings files into the folder. */
void processes_configure(fake_services *services, const char *folder, const char *prefix,
                         const char *zone, const struct platform *platform,
                         struct controller_process *controllers, int count);
/* Starts the program. arguments: what follows "--config FILE", ended by NULL. */
void process_start(struct controller_process *controller, const char *program,
                   const char *const *arguments);
/* Sends the signal and waits for the end. Unless killed, the process must exit with 0, which
 * includes that no sanitizer has found anything. */
void process_end(struct controller_process *controller, int signal);
/* Kills the process, if it runs, without a check; for the end of failed tests. */
void process_kill(struct controller_process *controller);
/* Waits until /ready is answered 200. */
void process_wait_ready(const struct controller_process *controller);
/* Removes its settings file and log. */
void process_remove_files(const struct controller_process *controller);

#endif
