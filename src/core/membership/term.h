/* The term's record in the store cache. */
#ifndef RR_CORE_MEMBERSHIP_TERM_H
#define RR_CORE_MEMBERSHIP_TERM_H

#include "core/membership/membership.h"
#include "wire/wire.h"

/* Takes over the term's record and assigns its shards; an older or malformed one is ignored. */
void rr_term_put(rr_core *core, const msgpack_object *value, uint64_t version);

#endif
