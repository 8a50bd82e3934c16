/* Progress of the store cache: its revision, its age and whether it is consistent. */
#include "core/cache_feed.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/leadership.h"

bool rr_core_cache_loaded(const rr_core *core) {
    return core->stored.loaded;
}

bool rr_core_cache_consistent(const rr_core *core) {
    return core->stored.loaded && !core->stored.reloading &&
           core->stored.revision >= core->stored.consistent_revision;
}

void rr_core_set_revision(rr_core *core, uint64_t revision) {
    core->stored.revision = MAX(core->stored.revision, revision);
}

uint64_t rr_core_revision(const rr_core *core) {
    return core->stored.revision;
}

bool rr_core_cache_shows_outcome(const rr_core *core, const rr_outcome_point *point) {
    bool reached_conflict = point->revision > 0 && core->stored.revision >= point->revision;
    bool reached_later_term = core->membership.term.token > point->fencing_token;
    return rr_core_cache_consistent(core) && (reached_conflict || reached_later_term);
}

void rr_core_set_cache_current(rr_core *core, double current_as_of) {
    core->stored.current_as_of =
        current_as_of > core->stored.current_as_of ? current_as_of : core->stored.current_as_of;
}

double rr_core_cache_age(const rr_core *core, double now) {
    return now - core->stored.current_as_of;
}
