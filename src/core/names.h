/* Names to dense indices, once at the door; the core works with indices. */
#ifndef RR_CORE_NAMES_H
#define RR_CORE_NAMES_H

#include <glib.h>

typedef struct {
    GHashTable *index; /* char* -> index + 1 */
    GPtrArray *names;
} rr_names;

void rr_names_init(rr_names *n);
void rr_names_clear(rr_names *n);
int rr_names_add(rr_names *n, const char *name);        /* the index, old or new */
int rr_names_find(const rr_names *n, const char *name); /* -1: unknown */
const char *rr_names_at(const rr_names *n, int i);

#endif
