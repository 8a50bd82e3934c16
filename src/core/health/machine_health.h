/* Assesses a single machine by its heartbeats, its answers to commands and the tasks that failed on
 * it. All times are steady seconds. */
#ifndef RR_CORE_HEALTH_MACHINE_HEALTH_H
#define RR_CORE_HEALTH_MACHINE_HEALTH_H

#include "core/state/machines.h"

/* Returns the seconds since the machine's last heartbeat, or since the machine became known if it
 * has sent none. */
double rr_heartbeat_age(const rr_machine *machine, double now);

/* Returns whether the next heartbeat is late by more than the time that a worker needs to reach
 * another controller. */
bool rr_machine_heartbeat_overdue(const rr_core *core, const rr_machine *machine, double now);

/* Returns whether the last heartbeat is recent enough to base placements on it. */
bool rr_machine_heartbeat_recent(const rr_core *core, const rr_machine *machine, double now);

/* Returns whether the machine's own heartbeats reach no controller, although it may still answer
 * commands. Answers do not renew the machine's lease, so tasks started on it would be lost when the
 * lease expires. Returns false unless every controller of the term is connected: otherwise the
 * heartbeats may reach a controller that does not forward them here. */
bool rr_machine_heartbeats_lost(const rr_core *core, const rr_machine *machine, double now);

/* Returns whether the last few commands got no answer, although heartbeats may arrive. The machine
 * gets no new work until it answers a command. */
bool rr_machine_commands_unanswered(const rr_machine *machine);

/* Returns whether another machine has started under this machine's name. Its sequence numbers start
 * over, so its heartbeats look older than those of the first machine and are ignored, but it
 * answers commands. */
bool rr_machine_name_reused(const rr_machine *machine, double now);

/* Returns whether the machine gets no new work because tasks of several jobs failed on it recently.
 * A quarantine expires, so that a machine that cannot be released is tried again. */
bool rr_machine_quarantined(const rr_machine *machine, double now);

/* Returns whether a task of a job that is not itself at fault failed on the machine recently. */
bool rr_machine_failed_recently(const rr_machine *machine, double now);

/* Returns whether the machine reports so many ended tasks that it gets no new work. */
bool rr_machine_full_of_ended_tasks(const rr_machine *machine);

/* Returns whether new tasks may be placed on the machine now. */
bool rr_machine_schedulable(const rr_core *core, const rr_machine *machine, double now);

/* Records that a task of the job failed on the machine, and sets the job's backoff, which grows
 * with the number of machines on which the job failed. */
void rr_record_task_failure(rr_core *core, rr_machine *machine, rr_job *job, double now);

#endif
