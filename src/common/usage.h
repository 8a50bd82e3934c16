/* What the process spends its processor time on, for the minute's line: each long-lived thread says
 * once which thread it works for, and its clock is read by whoever asks. What no such thread used
 * is the HTTP server's: connections come and go too often to be listed. Locks itself. */
#ifndef RR_COMMON_USAGE_H
#define RR_COMMON_USAGE_H

#include <stddef.h>

enum rr_usage_kind {
    RR_USAGE_SESSION, /* session and term */
    RR_USAGE_STORE_CACHE,
    RR_USAGE_USERS, /* committer and barrier */
    RR_USAGE_PLANNER,
    RR_USAGE_AUTOSCALER,
    RR_USAGE_COMMANDS,
    RR_USAGE_PEERS,
    RR_USAGE_ADMISSION,
    RR_USAGE_CELLS,
    RR_USAGE_KINDS
};

/* The calling thread works for this thread until it leaves. */
void rr_usage_enter(enum rr_usage_kind use);
void rr_usage_leave(void);
/* Writes milliseconds of processor time by thread since the last call; "" where no clock answers.
 */
void rr_usage_line(char *out, size_t size);

#endif
