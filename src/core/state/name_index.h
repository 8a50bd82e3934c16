/* Maps names to dense integer indices. Names are converted when records and requests are decoded;
 * everywhere else the core uses the indices. */
#ifndef RR_CORE_STATE_NAME_INDEX_H
#define RR_CORE_STATE_NAME_INDEX_H

#include <glib.h>

typedef struct {
    GHashTable *index_by_name; /* char* -> index + 1; the keys are owned by names */
    GPtrArray *names;          /* char*, owned, by index */
} rr_name_index;

/* Initializes an empty name index. */
void rr_name_index_init(rr_name_index *name_index);
/* Frees all names and the tables, but not the struct itself. */
void rr_name_index_clear(rr_name_index *name_index);
/* Returns the index of the name. An unknown name is copied and gets the next index. */
int rr_name_index_add(rr_name_index *name_index, const char *name);
/* Returns the index of the name, or -1 if the name is unknown. */
int rr_name_index_find(const rr_name_index *name_index, const char *name);
/* Returns the name with this index, or "" if there is none. The string is valid until
 * rr_name_index_clear(). */
const char *rr_name_index_at(const rr_name_index *name_index, int i);

#endif
