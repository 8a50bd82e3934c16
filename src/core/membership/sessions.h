/* Session records in the store cache. */
#ifndef RR_CORE_MEMBERSHIP_SESSIONS_H
#define RR_CORE_MEMBERSHIP_SESSIONS_H

#include "core/membership/membership.h"
#include "wire/wire.h"

/* Takes over a controller's session record; a malformed one is ignored. */
void rr_session_put(rr_core *core, const char *name, const msgpack_object *value);
/* Takes over the deletion of a controller's session record. */
void rr_session_delete(rr_core *core, const char *name);
/* A full reload of the store cache begins: sessions are those that it brings. */
void rr_sessions_begin_reload(rr_core *core);

#endif
