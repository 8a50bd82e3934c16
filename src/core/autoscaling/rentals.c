/* Manages rentals: records intents to scale out, requests them from the cloud and processes the
 * results. */
#include "core/autoscaling/rentals.h"
#include "core/autoscaling/autoscaling_state.h"
#include "core/autoscaling/cloud_observations.h"
#include "core/autoscaling/rental_records.h"
#include "core/core_internal.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/record_words.h"
#include "wire/wire_words.h"

#include <string.h>

/* The cloud's limit for the machines of one request. */
#define RENTAL_MACHINES_MAX 50
/* At most this many intents are open at a time. */
#define OPEN_RENTALS_MAX 24
/* A request without an answer is repeated after this time. */
#define RENTAL_RETRY_S 5.0

#define RENTAL_KEY_BYTES (RR_ID_SIZE + 32)

/* ---- records of intents ---- */

/* Counts the machines in open intents of the same machine type and zone, and likewise on-demand or
 * spot. */
static int count_pending_machines(const rr_core *core, const struct rr_planned_rental *planned) {
    const char *machine_type =
        rr_name_index_at(&core->stored.machine_type_names, planned->machine_type);
    const char *zone = rr_name_index_at(&core->stored.zones, planned->zone);
    GHashTableIter iter;
    gpointer value;
    int count = 0;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rr_rental *rental = value;
        if (strcmp(rental->machine_type, machine_type) == 0 && strcmp(rental->zone, zone) == 0 &&
            rental->spot == planned->spot) {
            count += rental->count;
        }
    }
    return count;
}

static void put_rental_intent(rr_core *core, const struct rr_planned_rental *planned, int count,
                              rr_transaction *transaction) {
    char name[RR_ID_SIZE], key[RENTAL_KEY_BYTES];
    rr_encoder encoder;
    /* A pair of token and counter is never reused, so no two requests have the same name. */
    g_snprintf(name, sizeof name, "rr-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
               core->membership.term.token, ++core->membership.attempt_counter);
    rr_rental_key(name, key, sizeof key);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 4);
    rr_encode_key_text(&encoder, RR_WORD_MACHINE_TYPE,
                       rr_name_index_at(&core->stored.machine_type_names, planned->machine_type));
    rr_encode_key_text(&encoder, RR_WORD_ZONE,
                       rr_name_index_at(&core->stored.zones, planned->zone));
    rr_encode_key_bool(&encoder, RR_WORD_SPOT, planned->spot);
    rr_encode_key_u64(&encoder, RR_RECORD_RENTAL_COUNT, (uint64_t)count);
    rr_transaction_guard(transaction, key, 0);
    rr_transaction_put(transaction, key, &encoder, 0);
}

static bool can_add_intent(const rr_core *core, const rr_transaction *transaction) {
    return (int)transaction->changes->len < rr_transaction_changes_max(core->config) &&
           g_hash_table_size(core->autoscaling.rentals) + transaction->changes->len <
               OPEN_RENTALS_MAX;
}

void rr_put_rental_intents(rr_core *core, const GArray *planned, rr_transaction *transaction) {
    for (guint i = 0; i < planned->len; i++) {
        const struct rr_planned_rental *rental =
            &g_array_index(planned, struct rr_planned_rental, i);
        int missing = rental->count - count_pending_machines(core, rental);
        while (missing > 0 && can_add_intent(core, transaction)) {
            int count = MIN(missing, RENTAL_MACHINES_MAX);
            put_rental_intent(core, rental, count, transaction);
            missing -= count;
        }
    }
}

/* Returns whether the cloud refused the rental, or all its machines are recorded or have gone. */
static bool is_rental_finished(const rr_core *core, const rr_rental *rental, double now) {
    if (!rental->answered) {
        return rental->refused;
    }
    for (guint i = 0; i < rental->machine_ids->len; i++) {
        const char *id = g_ptr_array_index(rental->machine_ids, i);
        const rr_machine *machine = g_hash_table_lookup(core->stored.machines, id);
        if (!(machine && machine->recorded) && !rr_machine_recently_gone(core, id, now)) {
            return false;
        }
    }
    return true;
}

bool rr_prepare_finished_rentals_step(const rr_core *core, double now, rr_autoscaler_step *out) {
    GHashTableIter iter;
    gpointer value;
    char key[RENTAL_KEY_BYTES];
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rr_rental *rental = value;
        if ((int)out->transaction.changes->len < rr_transaction_changes_max(core->config) &&
            is_rental_finished(core, rental, now)) {
            rr_rental_key(rental->name, key, sizeof key);
            rr_transaction_guard(&out->transaction, key, rental->version);
            rr_transaction_delete(&out->transaction, key);
        }
    }
    if (out->transaction.changes->len == 0) {
        return false;
    }
    out->kind = RR_AUTOSCALER_COMMIT;
    return true;
}

/* ---- requests to the cloud ---- */

static bool is_request_due(const rr_rental *rental, double now) {
    return !rental->answered && !rental->refused &&
           (rental->requested_at <= 0 || now - rental->requested_at >= RENTAL_RETRY_S);
}

bool rr_prepare_scale_out_step(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_rental *rental = value;
        if (!is_request_due(rental, now)) {
            continue;
        }
        rental->requested_at = now;
        core->autoscaling.scale_out_requested_at = wall;
        out->kind = RR_AUTOSCALER_SCALE_OUT;
        g_strlcpy(out->rental, rental->name, sizeof out->rental);
        g_strlcpy(out->machine_type, rental->machine_type, sizeof out->machine_type);
        g_strlcpy(out->zone, rental->zone, sizeof out->zone);
        out->spot = rental->spot;
        out->count = rental->count;
        return true;
    }
    return false;
}

void rr_rentals_discard_cloud_answers(rr_core *core) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_rental *rental = value;
        rental->answered = rental->refused = false;
        rental->requested_at = 0;
        g_ptr_array_set_size(rental->machine_ids, 0);
    }
}

/* ---- results ---- */

static void record_rented_machine(rr_core *core, double now, const rr_autoscaler_step *step,
                                  const char *id) {
    if (rr_machine_recently_gone(core, id, now)) {
        return;
    }
    rr_machine *machine = rr_machine_get(core, id, now);
    machine->rented = true;
    machine->operator_owned = false;
    if (!machine->recorded) {
        machine->to_record = true;
        machine->created_at = machine->created_at > 0 ? machine->created_at
                                                      : core->autoscaling.scale_out_requested_at;
        machine->machine_type =
            rr_name_index_add(&core->stored.machine_type_names, step->machine_type);
        machine->zone = rr_name_index_add(&core->stored.zones, step->zone);
        machine->spot = step->spot;
    }
}

void rr_core_record_scale_out_result(rr_core *core, double now, const rr_autoscaler_step *step,
                                     int status, const GPtrArray *ids) {
    rr_rental *rental = g_hash_table_lookup(core->autoscaling.rentals, step->rental);
    const char *purchase_option = step->spot ? "spot" : "on-demand";
    if (!rental) {
        return;
    }
    if (status == RR_SCALE_OUT_NO_CAPACITY) {
        rental->refused = true;
        rr_record_capacity_refusal(core, step->machine_type, step->zone, step->spot, now);
        rr_log_at(core, RR_LOG_INFO, "rental %s refused: no capacity for %s %s machines in zone %s",
                  step->rental, step->machine_type, purchase_option, step->zone);
    }
    if (status != RR_SCALE_OUT_DONE) {
        return;
    }
    if ((int)ids->len < rental->count) {
        rr_record_capacity_refusal(core, step->machine_type, step->zone, step->spot, now);
    }
    rental->answered = true;
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        g_ptr_array_add(rental->machine_ids, g_strdup(id));
        record_rented_machine(core, now, step, id);
    }
    core->counters.machines_rented += ids->len;
    rr_log_at(core, RR_LOG_DEBUG, "rental %s: rented %u of %d %s %s machines in zone %s",
              step->rental, ids->len, rental->count, step->machine_type, purchase_option,
              step->zone);
}
