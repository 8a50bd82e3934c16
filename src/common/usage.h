/* Processor time by kind of thread, for the log. Long-lived threads register their kind; time that
 * no registered thread used belongs to the HTTP server's connections, which are too short-lived to
 * register. Has a lock of its own. */
#ifndef RR_COMMON_USAGE_H
#define RR_COMMON_USAGE_H

#include <stddef.h>

enum rr_usage_kind {
    RR_USAGE_SESSION, /* session and membership */
    RR_USAGE_STORE_CACHE,
    RR_USAGE_USERS, /* group commit and read barrier */
    RR_USAGE_PLANNER,
    RR_USAGE_AUTOSCALER,
    RR_USAGE_COMMANDS,
    RR_USAGE_PEERS,
    RR_USAGE_ADMISSION,
    RR_USAGE_CELLS,
    RR_USAGE_KINDS /* their number */
};

/* Registers the calling thread, and names it after its kind for tools like top -H. */
void rr_usage_enter(enum rr_usage_kind kind);
/* Ends the registration; before the thread returns. */
void rr_usage_leave(void);
/* Writes the milliseconds of processor time by kind since the last call; "not known" where the
 * system's clocks are inconsistent. One thread at a time may call this. */
void rr_usage_line(char *out, size_t size);

#endif
