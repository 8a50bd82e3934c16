/* Clocks and sleeping, in seconds. src/core/ reads no clock; its callers pass it the time. */
#ifndef RR_COMMON_CLOCK_H
#define RR_COMMON_CLOCK_H

/* Returns the monotonic time since an arbitrary moment; for durations and deadlines. */
double rr_steady_clock_s(void);
/* Returns the time since the Unix epoch, which may be set back or forward. */
double rr_wall_clock_s(void);
/* Blocks the calling thread; returns at once if seconds is not positive. A signal may end the
 * sleep early. */
void rr_sleep(double seconds);

#endif
