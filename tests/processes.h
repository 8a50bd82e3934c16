/* Controllers as real processes on loopback, started from the program's own files. */
#ifndef RR_TESTS_PROCESSES_H
#define RR_TESTS_PROCESSES_H

#include "fake_services.h"

#include <sys/types.h>

struct controller_process {
    struct rr_config config; /* addresses; the name and zone that its file gives it */
    char file[256], log[256];
    pid_t pid; /* 0: not running */
};

/* What the files of one cell's controllers have in common. */
struct platform {
    const char *const *teams;
    unsigned team_count;
    double report_s, lease_s, cancel_s;
};

/* Gives count controllers of this world their ports and names (prefix and number), each by a door
 * of its own, and writes their files into the folder. */
void processes_configure(fake_services *cluster, const char *folder, const char *prefix,
                         const char *zone, const struct platform *platform,
                         struct controller_process *controllers, int count);
/* arguments: what follows "--config FILE", ended by NULL. */
void process_start(struct controller_process *own, const char *program,
                   const char *const *arguments);
/* An orderly end is one without a complaint, a sanitizer's included. */
void process_end(struct controller_process *own, int signal);
/* After a failed test: without a check. */
void process_kill(struct controller_process *own);
void process_wait_ready(const struct controller_process *own);
void process_remove_files(const struct controller_process *own);

#endif
