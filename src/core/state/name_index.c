/* Name indices: an array of names, and a hash table from each name to its position. The hash table
 * stores index + 1, since GLib returns NULL, that is 0, for an unknown key. */
#include "core/state/name_index.h"

void rr_name_index_init(rr_name_index *name_index) {
    name_index->index_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    name_index->names = g_ptr_array_new_with_free_func(g_free);
}

void rr_name_index_clear(rr_name_index *name_index) {
    g_hash_table_destroy(name_index->index_by_name);
    g_ptr_array_free(name_index->names, TRUE);
}

int rr_name_index_find(const rr_name_index *name_index, const char *name) {
    return GPOINTER_TO_INT(g_hash_table_lookup(name_index->index_by_name, name)) - 1;
}

int rr_name_index_add(rr_name_index *name_index, const char *name) {
    int i = rr_name_index_find(name_index, name);
    if (i >= 0) {
        return i;
    }
    char *copy = g_strdup(name);
    g_ptr_array_add(name_index->names, copy);
    g_hash_table_insert(name_index->index_by_name, copy,
                        GINT_TO_POINTER((int)name_index->names->len));
    return (int)name_index->names->len - 1;
}

const char *rr_name_index_at(const rr_name_index *name_index, int i) {
    return i >= 0 && (guint)i < name_index->names->len ? g_ptr_array_index(name_index->names, i)
                                                       : "";
}
