/* Attempt numbers. An attempt number consists of the term's fencing token (upper 32 bits), the
 * index of the member that reserved the task (8 bits) and a counter (24 bits). The member index
 * makes the numbers of two owners in one term distinct, so that a task is never mistaken for one of
 * another team. */
#include "core/core_internal.h"
#include "core/membership/membership.h"

#define TOKEN_SHIFT 32
#define MEMBER_SHIFT 24
#define COUNTER_MASK 0xffffff

uint64_t rr_next_attempt(rr_core *core) {
    return core->membership.term.token << TOKEN_SHIFT |
           (uint64_t)rr_own_member_index(core) << MEMBER_SHIFT |
           (++core->membership.attempt_counter & COUNTER_MASK);
}
