/* Cancellation hints. Replies to heartbeats stop the tasks of a hinted job before the cancelled
 * record of the job arrives. A hint needs no record, because stopping a cancelled task is always
 * safe. It has no other effect: it frees no resources and changes no state that users see. */
#include "core/state/cancel_hints.h"
#include "core/core_internal.h"
#include "core/heartbeats.h"

/* Further cancellations are known only once the watch delivers their records. */
#define CANCEL_HINTS_MAX 4096u

static gboolean is_expired(gpointer job_id, gpointer until, gpointer now) {
    (void)job_id;
    return *(const double *)until < *(const double *)now;
}

void rr_core_add_cancel_hint(rr_core *core, const char *job_id, double now) {
    GHashTable *hints = core->stored.cancel_hints;
    if (g_hash_table_size(hints) >= CANCEL_HINTS_MAX) {
        g_hash_table_foreach_remove(hints, is_expired, &now);
    }
    if (g_hash_table_size(hints) >= CANCEL_HINTS_MAX) {
        return;
    }
    double *until = g_new(double, 1);
    *until = now + core->config->cancel_s;
    g_hash_table_replace(hints, g_strdup(job_id), until);
}

bool rr_has_cancel_hint(const rr_core *core, const char *job_id, double now) {
    const double *until = g_hash_table_lookup(core->stored.cancel_hints, job_id);
    return until && now <= *until;
}
