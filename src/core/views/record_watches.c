/* Registers the key prefixes that packages watch and dispatches records to their callbacks. */
#include "core/views/record_watches.h"
#include "core/extensions.h"

#include <string.h>

void rr_core_watch_records(rr_core *core, const char *prefix, rr_core_record_fn callback,
                           void *user) {
    struct rr_extensions *extensions = &core->extensions;
    if (extensions->record_watch_count == RR_RECORD_WATCHES_MAX) {
        return;
    }
    extensions->record_watches[extensions->record_watch_count++] =
        (rr_record_watch){g_strdup(prefix), callback, user};
}

bool rr_dispatch_watched_record(const rr_core *core, const char *key, const msgpack_object *value,
                                uint64_t version) {
    for (guint i = 0; i < core->extensions.record_watch_count; i++) {
        const rr_record_watch *watch = &core->extensions.record_watches[i];
        size_t length = strlen(watch->prefix);
        if (strncmp(key, watch->prefix, length) == 0) {
            watch->callback(watch->user, key + length, value, version);
            return true;
        }
    }
    return false;
}

void rr_record_watches_clear(struct rr_extensions *extensions) {
    for (guint i = 0; i < extensions->record_watch_count; i++) {
        g_free(extensions->record_watches[i].prefix);
    }
}
