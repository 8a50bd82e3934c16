/* The shell's clocks, in seconds. The core never reads one: times are handed to it. */
#ifndef RR_APP_CLOCK_H
#define RR_APP_CLOCK_H

double rr_now(void);  /* steady */
double rr_wall(void); /* time of day */
void rr_sleep(double seconds);

#endif
