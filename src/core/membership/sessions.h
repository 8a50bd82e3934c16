/* Applies changes of session records to the store cache. */
#ifndef RR_CORE_MEMBERSHIP_SESSIONS_H
#define RR_CORE_MEMBERSHIP_SESSIONS_H

#include "core/membership/membership.h"
#include "wire/wire.h"

/* Adds or replaces the named controller's session. A malformed record and one whose name is too
 * long are ignored. */
void rr_session_put(rr_core *core, const char *name, const msgpack_object *value);
/* Removes the named controller's session, if there is one. */
void rr_session_delete(rr_core *core, const char *name);
/* Removes all sessions at the start of a full reload, which adds those that still exist. */
void rr_sessions_begin_reload(rr_core *core);

#endif
