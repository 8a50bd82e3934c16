#include "common/clock.h"

#include <time.h>

static double read_clock(clockid_t id) {
    struct timespec time;
    clock_gettime(id, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

double rr_steady_clock_s(void) {
    return read_clock(CLOCK_MONOTONIC);
}

double rr_wall_clock_s(void) {
    return read_clock(CLOCK_REALTIME);
}

void rr_sleep(double seconds) {
    if (seconds <= 0) {
        return;
    }
    struct timespec time = {(time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};
    nanosleep(&time, NULL);
}
