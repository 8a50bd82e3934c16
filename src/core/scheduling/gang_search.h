/* Searches the zones for machines with room for a whole gang. */
#ifndef RR_CORE_SCHEDULING_GANG_SEARCH_H
#define RR_CORE_SCHEDULING_GANG_SEARCH_H

#include "core/scheduling/planner.h"

/* The score of the machines that a search has found. The lower score is the better one. */
struct rr_gang_score {
    double primary;   /* compared first */
    double secondary; /* compared if the primary scores are equal */
};

/* Searches the zones with zones[zone] set for machines with room for the whole gang. Returns an
 * array of the places found, whose element type is that of the search and which the caller frees,
 * and sets *score; NULL if the zones have no room for the gang. */
typedef GArray *(*rr_gang_search_fn)(struct rr_planner *planner, const rr_job *job,
                                     const bool *zones, struct rr_gang_score *score);

/* Runs `search` once for each zone if all tasks of the gang have to be in one zone, else once for
 * all allowed zones together. Returns the result with the best score, which the caller owns, or
 * NULL if no search found anything. */
GArray *rr_search_zones_for_gang(struct rr_planner *planner, const rr_job *job, const bool *allowed,
                                 rr_gang_search_fn search);

#endif
