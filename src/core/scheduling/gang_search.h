/* Searches over zones for machines that take a whole gang. */
#ifndef RR_CORE_SCHEDULING_GANG_SEARCH_H
#define RR_CORE_SCHEDULING_GANG_SEARCH_H

#include "core/scheduling/planner.h"

/* How good the machines of one search are: less is better, the first number before the second. */
struct rr_gang_score {
    double first, second;
};

/* Searches the allowed zones for machines for the whole gang. Returns what it found, which the
 * caller owns, and its score; NULL: these zones don't take the gang. */
typedef GArray *(*rr_gang_search_fn)(struct rr_planner *planner, const rr_job *job,
                                     const bool *zones, struct rr_gang_score *score);

/* The best result of all searches: one search a zone if the gang has to be in one zone, else a
 * single one over all allowed zones. The caller owns it; NULL: no search found anything. */
GArray *rr_gang_best_search(struct rr_planner *planner, const rr_job *job, const bool *allowed,
                            rr_gang_search_fn search);

#endif
