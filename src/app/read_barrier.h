/* Read barrier of polls: a poll answers from the store cache only after the cache has reached a
 * revision that the key-value store had after the poll began. Polls that arrive together form a
 * group, which shares one read of the store's revision and is woken once. */
#ifndef RR_APP_READ_BARRIER_H
#define RR_APP_READ_BARRIER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_app;

/* State of every second group; protected by rr_app.user_lock. */
struct rr_read_barrier {
    uint64_t group;        /* number of the group that gathers or is served here */
    uint64_t served_group; /* number of the last group served here */
    bool succeeded;        /* whether the cache caught up for that group */
    unsigned waiting_polls;
    pthread_cond_t served;
};

/* Initialises both barriers; before any thread starts. */
void rr_read_barriers_init(struct rr_app *app);
/* Joins the gathering group and waits until it is served. False: the store cache did not catch up
 * in time. Takes `user_lock`; caller holds no lock. */
bool rr_read_barrier_wait(struct rr_app *app);

#endif
