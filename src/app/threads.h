/* Entry points of the long-lived threads, one file each. The argument is the struct rr_app *; each
 * returns NULL soon after rr_app.stop is set. */
#ifndef RR_APP_THREADS_H
#define RR_APP_THREADS_H

/* Takes, renews and resigns this process's session with the key-value store. */
void *rr_session_thread(void *argument);
/* Writes new terms when sessions come and go; logs the state of each minute. */
void *rr_membership_thread(void *argument);
/* Keeps the store cache current: a full read, then watches. */
void *rr_watch_thread(void *argument);
/* Writes users' changes, many in one transaction (group commit). */
void *rr_commit_thread(void *argument);
/* Serves the read barrier of polls (read_barrier.h). */
void *rr_read_barrier_thread(void *argument);
/* Makes plans for the teams that this controller owns, and commits them. */
void *rr_planner_thread(void *argument);
/* Carries out the autoscaler's steps against cloud and key-value store. */
void *rr_autoscaler_thread(void *argument);
/* Sends commands to workers that answer promptly. Several run. */
void *rr_command_thread(void *argument);
/* Sends commands that may time out. Several run. */
void *rr_slow_command_thread(void *argument);
/* Announces demand and writes admission tables; runs only where admission is switched on. */
void *rr_admission_thread(void *argument);
/* Opens the HTTP server once requests can be answered, and ends. */
void *rr_startup_thread(void *argument);

#endif
