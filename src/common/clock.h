/* Clocks, in seconds. The core reads none: times are passed to it. */
#ifndef RR_COMMON_CLOCK_H
#define RR_COMMON_CLOCK_H

/* Monotonic time since an arbitrary moment. */
double rr_steady_clock_s(void);
/* Time of day, since the Unix epoch. */
double rr_wall_clock_s(void);
/* Sleeps for so many seconds; returns at once if that is not positive. */
void rr_sleep(double seconds);

#endif
