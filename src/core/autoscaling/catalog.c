/* Keeps the store's records of machine types up to date with the cloud's catalogue. */
#include "core/autoscaling/catalog.h"
#include "core/cache_feed.h"
#include "core/core_internal.h"
#include "core/state/machine_pages.h"
#include "core/state/name_index.h"

#include <string.h>

/* The catalogue is read again after this time. */
#define CATALOG_INTERVAL_S 60.0
/* A failed read is repeated after this time. */
#define CATALOG_RETRY_S 2.0

void rr_core_apply_catalog(rr_core *core, double now, const GArray *machine_types) {
    core->autoscaling.catalog_read_at = now;
    g_array_set_size(core->autoscaling.cloud_machine_types, 0);
    for (guint i = 0; i < machine_types->len; i++) {
        const rr_machine_type *type = &g_array_index(machine_types, rr_machine_type, i);
        rr_machine_type copy = *type;
        copy.zones = g_ptr_array_new_with_free_func(g_free);
        for (guint k = 0; k < type->zones->len; k++) {
            g_ptr_array_add(copy.zones, g_strdup(g_ptr_array_index(type->zones, k)));
        }
        g_array_append_val(core->autoscaling.cloud_machine_types, copy);
    }
}

/* Returns whether the record, NULL if there is none, matches the type read from the cloud. */
static bool is_same_machine_type(const rr_machine_type *recorded, const rr_machine_type *type) {
    bool same = recorded && recorded->cpus == type->cpus && recorded->gpus == type->gpus &&
                recorded->mem_gb == type->mem_gb &&
                recorded->image_cache_gb == type->image_cache_gb &&
                recorded->image_pull_gb_per_s == type->image_pull_gb_per_s &&
                recorded->price == type->price && recorded->spot_price == type->spot_price &&
                recorded->startup_s == type->startup_s && recorded->zones->len == type->zones->len;
    for (guint i = 0; same && i < recorded->zones->len; i++) {
        same = strcmp(recorded->zones->pdata[i], type->zones->pdata[i]) == 0;
    }
    return same;
}

static void put_machine_type(rr_transaction *transaction, const rr_machine_type *type) {
    char key[RR_ID_SIZE + 32];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_machine_type_encode(&encoder, type);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "build/%s", type->name);
    rr_transaction_put(transaction, key, &encoder, 0);
}

/* Adds the machine types whose records differ from the catalogue to the transaction. A type is
 * written again until the store cache shows it, because a transaction fails if the term changes.
 * Returns whether the transaction has any changes. */
static bool put_changed_machine_types(const rr_core *core, rr_transaction *transaction) {
    for (guint i = 0; i < core->autoscaling.cloud_machine_types->len; i++) {
        const rr_machine_type *type =
            &g_array_index(core->autoscaling.cloud_machine_types, rr_machine_type, i);
        if ((int)transaction->changes->len >= rr_transaction_changes_max(core->config)) {
            break;
        }
        int index = rr_name_index_find(&core->stored.machine_type_names, type->name);
        if (!is_same_machine_type(rr_machine_type_at(core, index), type)) {
            put_machine_type(transaction, type);
        }
    }
    return transaction->changes->len > 0;
}

bool rr_prepare_catalog_step(rr_core *core, double now, rr_autoscaler_step *out) {
    double *read_at = &core->autoscaling.catalog_read_at;
    if (put_changed_machine_types(core, &out->transaction)) {
        out->kind = RR_AUTOSCALER_COMMIT;
        return true;
    }
    if (*read_at == 0 || now - *read_at > CATALOG_INTERVAL_S) {
        *read_at = now - CATALOG_INTERVAL_S + CATALOG_RETRY_S;
        out->kind = RR_AUTOSCALER_READ_CATALOG;
        return true;
    }
    return false;
}
