/* Cancellations that another controller says it has confirmed, before the key-value store's watch
 * has brought them: answers to reports stop the tasks of those jobs. Stopping a cancelled task is
 * always right, so this needs no record; and it is no authority for anything else: it frees no room
 * and changes no state that anybody is told. */
#include "core/state/cancel_hints.h"
#include "core/core_internal.h"
#include "core/heartbeats.h"

#define HINTS_MAX 4096u /* more say nothing that the watch does not bring, too */

static gboolean is_old(gpointer job_id, gpointer until, gpointer now) {
    (void)job_id;
    return *(const double *)until < *(const double *)now;
}

void rr_core_add_cancel_hint(rr_core *core, const char *job_id, double now) {
    if (g_hash_table_size(core->stored.cancel_hints) >= HINTS_MAX) {
        g_hash_table_foreach_remove(core->stored.cancel_hints, is_old, &now);
    }
    if (g_hash_table_size(core->stored.cancel_hints) >= HINTS_MAX) {
        return;
    }
    double *until = g_new(double, 1);
    *until = now + core->config->cancel_s;
    g_hash_table_replace(core->stored.cancel_hints, g_strdup(job_id), until);
}

bool rr_has_cancel_hint(const rr_core *core, const char *job_id, double now) {
    const double *until = g_hash_table_lookup(core->stored.cancel_hints, job_id);
    return until && now <= *until;
}
