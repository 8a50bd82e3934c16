/* Running totals over the placements in the ledger: resources in use per machine and per team, and
 * the number of placements per task. */
#ifndef RR_CORE_STATE_PLACEMENT_ACCOUNTING_H
#define RR_CORE_STATE_PLACEMENT_ACCOUNTING_H

#include "core/state/machines.h"

/* Adds a placement on the machine to all totals (sign 1) or subtracts it (sign -1), and marks the
 * machine dirty. Subtracting the last placement of a final job closes the job. */
void rr_account_placement(rr_core *core, rr_machine *machine, const rr_placement *placement,
                          int sign);
/* Returns the resources in use by all placements of the team's jobs. */
rr_resources rr_team_usage(const rr_core *core, int team);
/* Recomputes the usage of every team from the placements, which removes accumulated rounding
 * errors. */
void rr_recount_team_usage(rr_core *core);

#endif
