#include "core/names.h"

void rr_name_index_init(rr_name_index *n) {
    n->index = g_hash_table_new(g_str_hash, g_str_equal);
    n->names = g_ptr_array_new_with_free_func(g_free);
}

void rr_name_index_clear(rr_name_index *n) {
    g_hash_table_destroy(n->index);
    g_ptr_array_free(n->names, TRUE);
}

int rr_name_index_find(const rr_name_index *n, const char *name) {
    return GPOINTER_TO_INT(g_hash_table_lookup(n->index, name)) - 1;
}

int rr_name_index_add(rr_name_index *n, const char *name) {
    int i = rr_name_index_find(n, name);
    if (i >= 0) {
        return i;
    }
    char *copy = g_strdup(name);
    g_ptr_array_add(n->names, copy);
    g_hash_table_insert(n->index, copy, GINT_TO_POINTER((int)n->names->len));
    return (int)n->names->len - 1;
}

const char *rr_name_index_at(const rr_name_index *n, int i) {
    return i >= 0 && (guint)i < n->names->len ? g_ptr_array_index(n->names, i) : "";
}
