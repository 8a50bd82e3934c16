/* Entry points of the process's threads, one source file for each. The argument is the
 * struct rr_app *. Each returns NULL soon after rr_app.stop is set; all but the startup thread run
 * until then. */
#ifndef RR_APP_THREADS_H
#define RR_APP_THREADS_H

/* Acquires and renews this process's session with the key-value store, and resigns it if only this
 * process has lost the store. */
void *rr_session_thread(void *argument);
/* Writes a new term when sessions begin or end, and logs a summary every minute. */
void *rr_membership_thread(void *argument);
/* Keeps the store cache current: one full read, then watches. */
void *rr_watch_thread(void *argument);
/* Writes users' changes, many in one transaction (group commit). */
void *rr_commit_thread(void *argument);
/* Serves the read barrier of polls (read_barrier.h). */
void *rr_read_barrier_thread(void *argument);
/* Makes and commits plans for the teams that this controller owns. */
void *rr_planner_thread(void *argument);
/* Executes the autoscaler's steps against the cloud and the key-value store. */
void *rr_autoscaler_thread(void *argument);
/* Sends commands to workers that are expected to answer promptly. Several of these run. */
void *rr_command_thread(void *argument);
/* Sends commands that are likely to time out. Several of these run. */
void *rr_slow_command_thread(void *argument);
/* Announces demand and writes admission tables. Runs only if fair admission is switched on. */
void *rr_admission_thread(void *argument);
/* Opens the HTTP server once requests can be answered, then ends. */
void *rr_startup_thread(void *argument);

#endif
