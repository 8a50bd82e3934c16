/* Dispatches records of the key-value store to the modules that keep them. Records arrive with a
 * full reload, the watch or an own commit. */
#include "core/autoscaling/rental_records.h"
#include "core/cache_feed.h"
#include "core/core_internal.h"
#include "core/membership/sessions.h"
#include "core/membership/term.h"
#include "core/state/job_records.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/store_keys.h"
#include "core/state/transaction.h"
#include "core/views/record_watches.h"

#include <string.h>

/* Returns the part of the key after the prefix, or NULL if the key does not begin with it. */
static const char *skip_prefix(const char *key, const char *prefix) {
    size_t length = strlen(prefix);
    return strncmp(key, prefix, length) == 0 ? key + length : NULL;
}

void rr_core_cache_put(rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version, double now) {
    const char *key_suffix;
    if ((key_suffix = skip_prefix(key, RR_KEY_MACHINE_PAGE))) {
        rr_machine_page_put(core, key_suffix, value, version, now);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_JOB))) {
        rr_job_put(core, key_suffix, value, version, now);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_LEDGER))) {
        rr_ledger_record_put(core, key_suffix, value, version, now);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_SESSION))) {
        rr_session_put(core, key_suffix, value);
    } else if (strcmp(key, RR_KEY_TERM) == 0) {
        rr_term_put(core, value, version);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_RENTAL))) {
        rr_rental_put(core, key_suffix, value, version);
    } else if (skip_prefix(key, RR_KEY_MACHINE_TYPE)) {
        rr_machine_type_put(core, value);
    } else if (skip_prefix(key, RR_KEY_JOB_BATCH)) {
        rr_job_batch_put(core, key, value, version, now);
    } else if (!rr_dispatch_watched_record(core, key, value, version)) {
        /* Such records may remain from earlier versions, which kept a ledger by machine. */
        rr_log_at(core, RR_LOG_DEBUG, "record %s ignored: unknown kind of key", key);
    }
}

void rr_core_cache_delete(rr_core *core, const char *key, uint64_t version, double now) {
    const char *key_suffix;
    if ((key_suffix = skip_prefix(key, RR_KEY_MACHINE_PAGE))) {
        rr_machine_page_delete(core, key_suffix, version, now);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_LEDGER))) {
        rr_ledger_record_delete(core, key_suffix, version, now);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_SESSION))) {
        rr_session_delete(core, key_suffix);
    } else if ((key_suffix = skip_prefix(key, RR_KEY_RENTAL))) {
        rr_rental_delete(core, key_suffix);
    } else if (skip_prefix(key, RR_KEY_JOB_BATCH)) {
        rr_job_batch_delete(core, key);
    } else {
        rr_dispatch_watched_record(core, key, NULL, version);
    }
}

void rr_core_cache_apply_transaction(rr_core *core, const rr_transaction *transaction,
                                     uint64_t revision, double now) {
    for (guint i = 0; i < transaction->changes->len; i++) {
        const rr_change *change = &g_array_index(transaction->changes, rr_change, i);
        rr_document document;
        if (!change->value) {
            rr_core_cache_delete(core, change->key, revision, now);
            continue;
        }
        if (rr_document_parse(&document, change->value, change->length) == 0) {
            rr_core_cache_put(core, change->key, document.root, revision, now);
        }
        rr_document_clear(&document);
    }
}

void rr_core_cache_begin_reload(rr_core *core) {
    core->stored.reloading = true;
    rr_sessions_begin_reload(core);
    rr_job_batches_begin_reload(core);
    rr_rentals_begin_reload(core);
    rr_machine_pages_begin_reload(core);
    rr_ledger_begin_reload(core);
}

void rr_core_cache_end_reload(rr_core *core, uint64_t first_revision, uint64_t last_revision,
                              double now) {
    core->stored.consistent_revision = last_revision;
    rr_machine_pages_end_reload(core, first_revision, now);
    rr_rentals_end_reload(core);
    rr_ledger_end_reload(core, first_revision, now);
    core->stored.reloading = false;
    core->stored.loaded = true;
}
