/* Ended attempts that workers keep because they block late copies of their start commands. A worker
 * forgets an attempt when it is reaped, and a copy that arrives after that starts it again. Only a
 * later fencing token or worker epoch makes every copy ineffective. */
#ifndef RR_CORE_SCHEDULING_LATE_START_BLOCKS_H
#define RR_CORE_SCHEDULING_LATE_START_BLOCKS_H

#include "core/scheduling/planner.h"

/* Requests a new term if the machine reports many ended attempts and at least one of them can be
 * reaped only in a later term. Returns whether to call it again in the next plan, even if the
 * machine reports nothing new until then: the present term is too young to be replaced. */
bool rr_request_term_for_blocked_starts(struct rr_planner *planner, const rr_machine *machine);
/* Requests a new term if this controller has sent its share of the starts of one term. This bounds
 * the memory that all machines' ended attempts take in every controller. */
void rr_request_term_for_many_starts(const struct rr_planner *planner);

#endif
