/* What the process spends its processor time on, for the minute's line: each long-lived thread says
 * once which duty it works for, and its clock is read by whoever asks. What no such thread used is
 * the door's: connections come and go too often to be listed. Locks itself. */
#ifndef RR_APP_USAGE_H
#define RR_APP_USAGE_H

#include <stddef.h>

enum rr_use {
    RR_USE_SESSION, /* session and term */
    RR_USE_MIRROR,
    RR_USE_USERS, /* committer and barrier */
    RR_USE_PLANNER,
    RR_USAGE_AUTOSCALER,
    RR_USE_SENDERS,
    RR_USE_PEERS,
    RR_USE_ADMISSION,
    RR_USE_CELLS,
    RR_USES
};

/* The calling thread works for this duty until it leaves. */
void rr_usage_enter(enum rr_use use);
void rr_usage_leave(void);
/* Writes milliseconds of processor time by duty since the last call; "" where no clock answers. */
void rr_usage_line(char *out, size_t size);

#endif
