/* Measures CPU time by kind of thread, for the log. Long-lived threads register under their kind.
 * CPU time that no registered thread used is mostly that of the HTTP server's connections, whose
 * threads are too short-lived to register. The module has its own lock. */
#ifndef RR_COMMON_USAGE_H
#define RR_COMMON_USAGE_H

#include <stddef.h>

/* The kinds of threads that are reported separately. */
enum rr_usage_kind {
    RR_USAGE_SESSION, /* the session and membership threads */
    RR_USAGE_STORE_CACHE,
    RR_USAGE_USERS, /* the commit and read barrier threads, which serve users' requests */
    RR_USAGE_PLANNER,
    RR_USAGE_AUTOSCALER,
    RR_USAGE_COMMANDS,
    RR_USAGE_PEERS,
    RR_USAGE_ADMISSION,
    RR_USAGE_CELLS,
    RR_USAGE_KIND_COUNT
};

/* Registers the calling thread, and names it after its kind for tools such as top -H. */
void rr_usage_register_thread(enum rr_usage_kind kind);
/* Unregisters the calling thread. A registered thread must call this before it returns. */
void rr_usage_unregister_thread(void);
/* Writes the CPU time since the last call, in milliseconds by kind, to out as text; "not known"
 * where the system's thread clocks are inconsistent with the process's. Must not be called by two
 * threads at the same time. */
void rr_usage_format(char *out, size_t size);

#endif
