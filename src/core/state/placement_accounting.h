/* Sums that follow the placements in the ledger: resources in use by machine and by team, and
 * placements by task. */
#ifndef RR_CORE_STATE_PLACEMENT_ACCOUNTING_H
#define RR_CORE_STATE_PLACEMENT_ACCOUNTING_H

#include "core/state/machines.h"

/* Adds (sign 1) or subtracts (sign -1) a placement on the machine, and marks the machine dirty. A
 * final job leaves the open ones with its last placement. */
void rr_placement_count(rr_core *core, rr_machine *machine, const rr_placement *placement,
                        int sign);
/* Resources of all placements of the team's jobs. */
rr_resources rr_team_usage(const rr_core *core, int team);
/* Recomputes the teams' sums from the machines' placements, which removes rounding errors. */
void rr_recount_team_usage(rr_core *core);

#endif
