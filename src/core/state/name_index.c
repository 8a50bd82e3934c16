/* Name tables: a list of names, and a hash table that finds their places in it. */
#include "core/state/name_index.h"

void rr_name_index_init(rr_name_index *names) {
    names->index = g_hash_table_new(g_str_hash, g_str_equal);
    names->names = g_ptr_array_new_with_free_func(g_free);
}

void rr_name_index_clear(rr_name_index *names) {
    g_hash_table_destroy(names->index);
    g_ptr_array_free(names->names, TRUE);
}

int rr_name_index_find(const rr_name_index *names, const char *name) {
    return GPOINTER_TO_INT(g_hash_table_lookup(names->index, name)) - 1;
}

int rr_name_index_add(rr_name_index *names, const char *name) {
    int i = rr_name_index_find(names, name);
    if (i >= 0) {
        return i;
    }
    char *copy = g_strdup(name);
    g_ptr_array_add(names->names, copy);
    g_hash_table_insert(names->index, copy, GINT_TO_POINTER((int)names->names->len));
    return (int)names->names->len - 1;
}

const char *rr_name_index_at(const rr_name_index *names, int i) {
    return i >= 0 && (guint)i < names->names->len ? g_ptr_array_index(names->names, i) : "";
}
