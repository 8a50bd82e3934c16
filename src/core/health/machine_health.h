/* Verdicts on a single machine, from its heartbeats, its answers to commands and the tasks that
 * failed there. All times are steady seconds. */
#ifndef RR_CORE_HEALTH_MACHINE_HEALTH_H
#define RR_CORE_HEALTH_MACHINE_HEALTH_H

#include "core/state/machines.h"

/* Seconds since the last heartbeat, or since the machine became known if there was none. */
double rr_heartbeat_age(const rr_machine *machine, double now);

/* True: the next heartbeat is late by more than a worker needs to reach another controller. */
bool rr_machine_heartbeat_overdue(const rr_core *core, const rr_machine *machine, double now);

/* True: the last heartbeat is fresh enough to place work by it. */
bool rr_machine_heartbeat_recent(const rr_core *core, const rr_machine *machine, double now);

/* True: the machine answers commands, but its own heartbeats reach no controller. Answers renew no
 * lease, so that what starts there is lost within one. Only true while every controller of the term
 * is connected: otherwise the heartbeats may reach one that does not forward them. */
bool rr_machine_heartbeats_lost(const rr_core *core, const rr_machine *machine, double now);

/* True: heartbeats may arrive, but the last commands in a row got no answer. The machine takes no
 * new work until it answers one. */
bool rr_machine_commands_unanswered(const rr_machine *machine);

/* True: another machine has come up under this machine's name, with its sequence started over. Its
 * heartbeats look older than those of the first and are ignored, yet it answers commands. */
bool rr_machine_name_reused(const rr_machine *machine, double now);

/* True: tasks of several jobs failed here lately, so the machine takes no new work. It ends after a
 * time, so that a machine that can't be released is tried again. */
bool rr_machine_quarantined(const rr_machine *machine, double now);

/* True: a task whose job is not itself at fault failed here lately. */
bool rr_machine_failed_recently(const rr_machine *machine, double now);

/* True: the machine may be given new tasks now. */
bool rr_machine_schedulable(const rr_core *core, const rr_machine *machine, double now);

/* Notes that a task of the job failed on the machine, and lets the job wait longer with every
 * further machine on which it fails. */
void rr_record_task_failure(rr_core *core, rr_machine *machine, rr_job *job, double now);

#endif
