/* Applies changes of the term's record to the store cache. */
#ifndef RR_CORE_MEMBERSHIP_TERM_H
#define RR_CORE_MEMBERSHIP_TERM_H

#include "core/membership/membership.h"
#include "wire/wire.h"

/* Replaces the term with the one in this record and assigns its shards. A malformed record and one
 * older than the present term's are ignored. */
void rr_term_put(rr_core *core, const msgpack_object *value, uint64_t version);
/* Makes a new term due, even if its members would be the same. This controller does not plan until
 * the term has begun. */
void rr_request_new_term(rr_core *core);

#endif
