/* Applies changes of rental records to the store cache. */
#include "core/autoscaling/rental_records.h"
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"
#include "core/state/record_words.h"
#include "core/state/store_keys.h"
#include "wire/wire_words.h"

void rr_rental_key(const char *name, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_RENTAL "%s", name);
}

void rr_rental_free(gpointer data) {
    rr_rental *rental = data;
    g_ptr_array_free(rental->machine_ids, TRUE);
    g_free(rental);
}

static rr_rental *get_or_create_rental(rr_core *core, const char *name) {
    rr_rental *rental = g_hash_table_lookup(core->autoscaling.rentals, name);
    if (!rental) {
        rental = g_new0(rr_rental, 1);
        rental->machine_ids = g_ptr_array_new_with_free_func(g_free);
        g_strlcpy(rental->name, name, sizeof rental->name);
        g_hash_table_insert(core->autoscaling.rentals, rental->name, rental);
    }
    return rental;
}

void rr_rental_put(rr_core *core, const char *name, const msgpack_object *value, uint64_t version) {
    rr_rental *rental = get_or_create_rental(core, name);
    uint64_t count = 0;
    core->autoscaling.ever_rented = true;
    rental->version = version;
    rental->seen_in_reload = true;
    rr_map_get_text(value, RR_WORD_MACHINE_TYPE, rental->machine_type, sizeof rental->machine_type);
    rr_map_get_text(value, RR_WORD_ZONE, rental->zone, sizeof rental->zone);
    rr_map_get_bool(value, RR_WORD_SPOT, &rental->spot);
    rr_map_get_u64(value, RR_RECORD_RENTAL_COUNT, &count);
    rental->count = (int)count;
}

void rr_rental_delete(rr_core *core, const char *name) {
    g_hash_table_remove(core->autoscaling.rentals, name);
}

void rr_rentals_begin_reload(rr_core *core) {
    GHashTableIter iter;
    gpointer rental;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &rental)) {
        ((rr_rental *)rental)->seen_in_reload = false;
    }
}

static gboolean was_not_seen_in_reload(gpointer name, gpointer rental, gpointer user) {
    (void)name;
    (void)user;
    return !((const rr_rental *)rental)->seen_in_reload;
}

void rr_rentals_end_reload(rr_core *core) {
    g_hash_table_foreach_remove(core->autoscaling.rentals, was_not_seen_in_reload, NULL);
}
