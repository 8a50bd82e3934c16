/* Dense indices for names. Names become indices where records and requests are decoded; the core
 * works with indices. */
#ifndef RR_CORE_STATE_NAME_INDEX_H
#define RR_CORE_STATE_NAME_INDEX_H

#include <glib.h>

typedef struct {
    GHashTable *index; /* char* -> index + 1; the keys belong to names */
    GPtrArray *names;  /* char* by index */
} rr_name_index;

/* Initializes an empty table. */
void rr_name_index_init(rr_name_index *names);
/* Frees the table and its names. */
void rr_name_index_clear(rr_name_index *names);
/* Returns the name's index, a new one if the name is unknown. */
int rr_name_index_add(rr_name_index *names, const char *name);
/* Returns the name's index, -1 if the name is unknown. */
int rr_name_index_find(const rr_name_index *names, const char *name);
/* Returns the name of an index, "" if there is none; valid until rr_name_index_clear(). */
const char *rr_name_index_at(const rr_name_index *names, int i);

#endif
