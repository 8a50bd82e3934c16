/* The admission table: memory and lookups. */
#include "admission/table.h"

#include <string.h>

void rr_admission_table_init(rr_admission_table *table) {
    memset(table, 0, sizeof *table);
    table->rows = g_array_new(FALSE, TRUE, sizeof(rr_admission_row));
    table->teams = g_array_new(FALSE, TRUE, sizeof(rr_admission_team));
}

void rr_admission_table_clear(rr_admission_table *table) {
    if (table->rows) {
        g_array_free(table->rows, TRUE);
        g_array_free(table->teams, TRUE);
    }
    memset(table, 0, sizeof *table);
}

static gint compare_ids(gconstpointer left_item, gconstpointer right_item) {
    const rr_admission_row *left = left_item, *right = right_item;
    return left->id < right->id ? -1 : left->id > right->id;
}

void rr_admission_table_sort(rr_admission_table *table) {
    g_array_sort(table->rows, compare_ids);
}

const rr_admission_row *rr_admission_table_find_row(const rr_admission_table *table, uint64_t id) {
    guint low = 0, high = table->rows->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const rr_admission_row *row = &g_array_index(table->rows, rr_admission_row, middle);
        if (row->id == id) {
            return row;
        }
        if (row->id < id) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return NULL;
}

const rr_admission_team *rr_admission_table_find_team(const rr_admission_table *table,
                                                      const char *name) {
    for (guint i = 0; i < table->teams->len; i++) {
        const rr_admission_team *team = &g_array_index(table->teams, rr_admission_team, i);
        if (strcmp(team->name, name) == 0) {
            return team;
        }
    }
    return NULL;
}
