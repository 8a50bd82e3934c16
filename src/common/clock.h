/* The shell's clocks, in seconds. The core never reads one: times are handed to it. */
#ifndef RR_COMMON_CLOCK_H
#define RR_COMMON_CLOCK_H

double rr_steady_clock_s(void); /* steady */
double rr_wall_clock_s(void);   /* time of day */
void rr_sleep(double seconds);

#endif
