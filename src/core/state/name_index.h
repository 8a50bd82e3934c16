/* Names to dense indices, once at the HTTP server; the core works with indices. */
#ifndef RR_CORE_STATE_NAME_INDEX_H
#define RR_CORE_STATE_NAME_INDEX_H

#include <glib.h>

typedef struct {
    GHashTable *index; /* char* -> index + 1 */
    GPtrArray *names;
} rr_name_index;

void rr_name_index_init(rr_name_index *names);
void rr_name_index_clear(rr_name_index *names);
int rr_name_index_add(rr_name_index *names, const char *name);        /* the index, old or new */
int rr_name_index_find(const rr_name_index *names, const char *name); /* -1: unknown */
const char *rr_name_index_at(const rr_name_index *names, int i);

#endif
