#include "app/plan_outcome.h"
#include "core/leadership.h"

void rr_plan_outcome_begin(struct rr_plan_outcome *outcome, const rr_core *core) {
    outcome->committing = true;
    outcome->point = (rr_outcome_point){.fencing_token = rr_core_fencing_token(core)};
}

void rr_plan_outcome_end(struct rr_plan_outcome *outcome, enum rr_commit_status status,
                         uint64_t revision) {
    bool conflict = status == RR_COMMIT_CONFLICT;
    outcome->committing = false;
    /* An earlier attempt, which got no answer, may have caused the conflict. */
    outcome->unknown = conflict || status == RR_COMMIT_OUTCOME_UNKNOWN;
    outcome->point.revision = conflict ? revision : 0;
}

bool rr_plan_outcome_is_known(const struct rr_plan_outcome *outcome, const rr_core *core) {
    return !outcome->committing &&
           (!outcome->unknown || rr_core_cache_shows_outcome(core, &outcome->point));
}
