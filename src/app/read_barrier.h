/* Read barrier for polls: a poll is answered from the store cache only after the cache has reached
 * a revision that the key-value store had after the poll began. Polls that arrive together form a
 * group, which shares one read of the store's revision and is woken once. Group numbers count up:
 * one group gathers new polls while the one before it is served. */
#ifndef RR_APP_READ_BARRIER_H
#define RR_APP_READ_BARRIER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_app;

/* State of every second group, as two exist at a time. Protected by rr_app.user_lock. */
struct rr_read_barrier {
    uint64_t group;                   /* number of the latest group that uses this barrier */
    uint64_t served_group;            /* number of the last group served; 0: none */
    bool succeeded;                   /* whether the store cache caught up for that group */
    unsigned waiting_polls;           /* in `group`; 0 once it is served */
    pthread_cond_t group_served_cond; /* signalled when a group is served or the process stops */
};

/* Initialises both barriers. Must be called before any thread starts. */
void rr_read_barriers_init(struct rr_app *app);
/* Joins the gathering group and waits until it is served. Returns false if the store cache did not
 * catch up in time, or if the process is stopping. Takes rr_app.user_lock; the caller must hold no
 * lock. */
bool rr_read_barrier_wait(struct rr_app *app);

#endif
