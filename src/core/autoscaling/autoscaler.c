/* The autoscaler: rents for waiting work and headroom, returns what is idle, dead or sick, keeps
 * the machine records in step with the cloud. One step at a time; the shell carries it out and
 * reports.
 */
#include "core/autoscaling/autoscaler.h"
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/transaction.h"
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/scaling.h"

#include <math.h>
#include <string.h>

#define CATALOG_S 60.0
#define RENTAL_RETRY_S 5.0
#define REFUSED_S 15.0
#define DEAF_S 4.0 /* probes of a machine that still reports fail for this long */
#define RETURN_WAIT_S                                                                              \
    0.8 /* a reservation made just before a return was announced shows by then                     \
         */

void rr_autoscaler_step_init(rr_autoscaler_step *step) {
    memset(step, 0, sizeof *step);
    rr_transaction_init(&step->transaction);
    step->machines = g_ptr_array_new_with_free_func(g_free);
}

void rr_autoscaler_step_clear(rr_autoscaler_step *step) {
    rr_transaction_clear(&step->transaction);
    g_ptr_array_free(step->machines, TRUE);
}

/* ---- what the cloud said ---- */

void rr_core_catalog_read(rr_core *core, double now, const GArray *machine_types) {
    core->autoscaling.catalog_at = now;
    g_array_set_size(core->autoscaling.catalog_types, 0);
    for (guint i = 0; i < machine_types->len; i++) {
        const rr_machine_type *type = &g_array_index(machine_types, rr_machine_type, i);
        rr_machine_type copy = *type;
        copy.zones = g_ptr_array_new_with_free_func(g_free);
        for (guint k = 0; k < type->zones->len; k++) {
            g_ptr_array_add(copy.zones, g_strdup(g_ptr_array_index(type->zones, k)));
        }
        g_array_append_val(core->autoscaling.catalog_types, copy);
    }
}

bool rr_recently_gone(const rr_core *core, const char *name, double now) {
    const double *when = g_hash_table_lookup(core->stored.gone_machines, name);
    /* Lists lag up to twice their usual lag and a dead machine stays listed for half a minute. */
    return when && now - *when < 3 * core->config->list_lag_s + 40;
}

static void see_listed(rr_core *core, const rr_listed_machine *listed, double asked_at, double now,
                       double wall) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, listed->id);
    if (!machine || !machine->recorded) {
        if (listed->state == RR_LISTED_FAILED) {
            g_hash_table_add(core->autoscaling.stray_failed, g_strdup(listed->id));
            return;
        }
        if (rr_recently_gone(core, listed->id, now)) {
            return;
        }
        machine = rr_machine_get(core, listed->id, now);
        machine->to_record = true;
        machine->created_at = wall - listed->age_s;
        /* There before the service's first term, or before it first rented anything: the operators'
         * own machines. (A list may give them no age when all start together.) */
        machine->operator_owned =
            !machine->rented && (machine->created_at < core->membership.term.first_term_at - 5 ||
                                 !core->autoscaling.ever_rented);
    }
    if (machine->machine_type < 0) {
        machine->machine_type =
            rr_name_index_add(&core->stored.machine_type_names, listed->machine_type);
        machine->zone = rr_name_index_add(&core->stored.zones, listed->zone);
        machine->spot = listed->spot;
    }
    if (!machine->address[0]) {
        g_strlcpy(machine->address, listed->address, sizeof machine->address);
    }
    if (!machine->listed) {
        machine->listed = true;
        machine->listed_at = asked_at;
    }
    machine->list_failed = listed->state == RR_LISTED_FAILED;
}

/* Missing from a list taken more than twice the lag after it was first listed (three times, if it
 * never was): gone. A machine listed once stays listed until it is gone. */
static bool missing_is_gone(const rr_core *core, const rr_machine *machine, double asked_at) {
    double lag = core->config->list_lag_s;
    return machine->listed
               ? asked_at > machine->listed_at + 2 * lag + 1
               : asked_at > fmax(machine->known_at, core->autoscaling.since) + 3 * lag + 10;
}

void rr_core_machines_listed(rr_core *core, double asked_at, double now, double wall,
                             const GArray *machines) {
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    core->autoscaling.list_at = now;
    core->autoscaling.list_read = true;
    g_hash_table_remove_all(core->autoscaling.stray_failed);
    for (guint i = 0; i < machines->len; i++) {
        const rr_listed_machine *listed = &g_array_index(machines, rr_listed_machine, i);
        g_hash_table_add(seen, (gpointer)listed->id);
        see_listed(core, listed, asked_at, now, wall);
    }
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (g_hash_table_contains(seen, machine->name)) {
            continue;
        }
        machine->to_record = machine->to_record && machine->rented;
        if (machine->recorded && missing_is_gone(core, machine, asked_at)) {
            machine->list_failed = true;
        }
    }
    g_hash_table_destroy(seen);
}

char *rr_refusal_key(const char *machine_type, const char *zone, bool spot) {
    return g_strdup_printf("%s|%s|%d", machine_type, zone, spot);
}

/* The cloud has no more of this type, zone and kind for a while. */
static void note_refusal(rr_core *core, double now, const rr_autoscaler_step *step) {
    double *until = g_new(double, 1);
    *until = now + REFUSED_S;
    g_hash_table_replace(core->autoscaling.refused_capacity,
                         rr_refusal_key(step->machine_type, step->zone, step->spot), until);
}

static void note_rented(rr_core *core, double now, const rr_autoscaler_step *step, const char *id) {
    if (rr_recently_gone(core, id, now)) {
        return;
    }
    rr_machine *machine = rr_machine_get(core, id, now);
    machine->rented = true;
    machine->operator_owned = false;
    if (!machine->recorded) {
        machine->to_record = true;
        machine->created_at =
            machine->created_at > 0 ? machine->created_at : core->autoscaling.rented_at;
        machine->machine_type =
            rr_name_index_add(&core->stored.machine_type_names, step->machine_type);
        machine->zone = rr_name_index_add(&core->stored.zones, step->zone);
        machine->spot = step->spot;
    }
}

void rr_core_scale_out_result(rr_core *core, double now, const rr_autoscaler_step *step, int status,
                              const GPtrArray *ids) {
    rr_rental *rental = g_hash_table_lookup(core->autoscaling.rentals, step->rental);
    const char *kind = step->spot ? "spot" : "ordinary";
    if (rental && status == 503) {
        rental->refused = true;
        note_refusal(core, now, step);
        rr_log_at(core, RR_LOG_INFO, "rental %s: no capacity for %s %s in %s", step->rental,
                  step->machine_type, kind, step->zone);
    }
    if (!rental || status != 200) {
        return;
    }
    if ((int)ids->len < rental->count) {
        note_refusal(core, now, step);
    }
    rental->answered = true;
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        g_ptr_array_add(rental->machine_ids, g_strdup(id));
        note_rented(core, now, step, id);
    }
    core->counters.rented += ids->len;
    rr_log_at(core, RR_LOG_DEBUG, "rental %s: %u of %d %s %s in %s", step->rental, ids->len,
              rental->count, step->machine_type, kind, step->zone);
}

void rr_core_scale_in_result(rr_core *core, double now, const GPtrArray *ids) {
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        rr_machine *machine = g_hash_table_lookup(core->stored.machines, id);
        g_hash_table_remove(core->autoscaling.stray_failed, id);
        if (machine && machine->recorded) {
            machine->list_failed = true; /* gone with everything on it: the record may go */
            rr_log_at(core, RR_LOG_DEBUG, "machine %s is returned after %.0f s", id,
                      now - machine->known_at);
        } else if (machine && machine->placements->len == 0) {
            /* With places it stays as a name until the ledger has none: an autoscaler ended when a
             * machine was listed as failed, lost its record and was then released as a stray. */
            rr_machine_forget(core, machine);
        }
    }
}

/* ---- steps ---- */

static bool step_rentals_done(rr_core *core, double now, rr_autoscaler_step *out) {
    GHashTableIter iter;
    gpointer value;
    char key[RR_ID_SIZE + 32];
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_rental *rental = value;
        bool over = rental->refused;
        if (rental->answered) {
            over = true;
            for (guint i = 0; i < rental->machine_ids->len; i++) {
                const char *id = g_ptr_array_index(rental->machine_ids, i);
                const rr_machine *machine = g_hash_table_lookup(core->stored.machines, id);
                over = over && ((machine && machine->recorded) || rr_recently_gone(core, id, now));
            }
        }
        if (over && (int)out->transaction.changes->len < rr_transaction_changes_max(core->config)) {
            rr_rental_key(rental->name, key, sizeof key);
            rr_transaction_guard(&out->transaction, key, rental->version);
            rr_transaction_delete(&out->transaction, key);
        }
    }
    return out->transaction.changes->len > 0;
}

static bool same_machine_type(const rr_machine_type *left, const rr_machine_type *type) {
    bool same = left && left->cpus == type->cpus && left->gpus == type->gpus &&
                left->mem_gb == type->mem_gb && left->cache_gb == type->cache_gb &&
                left->pull_rate == type->pull_rate && left->price == type->price &&
                left->spot_price == type->spot_price && left->startup_s == type->startup_s &&
                left->zones->len == type->zones->len;
    for (guint i = 0; same && i < left->zones->len; i++) {
        same = strcmp(left->zones->pdata[i], type->zones->pdata[i]) == 0;
    }
    return same;
}

/* What was read is written until the store cache shows it: a change of term may void a transaction.
 */
static bool record_machine_types(rr_core *core, rr_autoscaler_step *out) {
    for (guint i = 0; i < core->autoscaling.catalog_types->len; i++) {
        const rr_machine_type *type =
            &g_array_index(core->autoscaling.catalog_types, rr_machine_type, i);
        if ((int)out->transaction.changes->len < rr_transaction_changes_max(core->config) &&
            !same_machine_type(
                rr_machine_type_at(
                    core, rr_name_index_find(&core->stored.machine_type_names, type->name)),
                type)) {
            char key[RR_ID_SIZE + 32];
            rr_encoder encoder;
            rr_encoder_init(&encoder);
            rr_machine_type_encode(&encoder, type);
            g_snprintf(key, sizeof key, RR_KEY_ROOT "build/%s", type->name);
            rr_transaction_put(&out->transaction, key, &encoder, 0);
        }
    }
    return out->transaction.changes->len > 0;
}

static bool step_catalog(rr_core *core, double now, rr_autoscaler_step *out) {
    if (record_machine_types(core, out)) {
        out->kind = RR_AUTOSCALER_COMMIT;
        return true;
    }
    if (core->autoscaling.catalog_at == 0 || now - core->autoscaling.catalog_at > CATALOG_S) {
        core->autoscaling.catalog_at = now - CATALOG_S + 2; /* not again at once if it fails */
        out->kind = RR_AUTOSCALER_CATALOG;
        return true;
    }
    return false;
}

static bool step_release(rr_core *core, double now, rr_autoscaler_step *out) {
    GHashTableIter iter;
    gpointer key;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        /* What an owner reserved there meanwhile is not thrown away; a dead machine goes as it is.
         */
        bool empty = machine->placements->len == 0 && now - machine->scaling_in_at > RETURN_WAIT_S;
        if (machine->recorded && machine->scaling_in && machine->to_release &&
            !machine->list_failed && (empty || machine->declared_dead) &&
            out->machines->len < 100) {
            g_ptr_array_add(out->machines, g_strdup(machine->name));
            machine->releasing = true;
        }
    }
    g_hash_table_iter_init(&iter, core->autoscaling.stray_failed);
    while (g_hash_table_iter_next(&iter, &key, NULL) && out->machines->len < 100) {
        g_ptr_array_add(out->machines, g_strdup(key));
    }
    return out->machines->len > 0;
}

static bool step_rental(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_rental *rental = value;
        if (rental->answered || rental->refused ||
            (rental->tried_at > 0 && now - rental->tried_at < RENTAL_RETRY_S)) {
            continue;
        }
        rental->tried_at = now;
        core->autoscaling.rented_at = wall;
        g_strlcpy(out->rental, rental->name, sizeof out->rental);
        g_strlcpy(out->machine_type, rental->machine_type, sizeof out->machine_type);
        g_strlcpy(out->zone, rental->zone, sizeof out->zone);
        out->spot = rental->spot;
        out->count = rental->count;
        return true;
    }
    return false;
}

/* ---- troubles ---- */

static const char *trouble_of(rr_core *core, const rr_machine *machine, double now, double wall) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    double boot = type && type->startup_s > 0 ? type->startup_s : 60;
    bool empty = machine->placements->len == 0;
    if (rr_machine_dead(core, machine, now)) {
        return "dead or hung";
    }
    /* It goes on reporting, so that it is not silent; but no command reaches it, ours and an
     * owner's neither directly nor through whoever hears it, and its lease will run out. */
    if (machine->heartbeat_seen && machine->failed_suspect_probes >= 3 &&
        now - machine->suspect_probes_failed_at > DEAF_S &&
        !rr_machine_heartbeat_overdue(core, machine, now)) {
        return "reports, but hears nothing";
    }
    if (rr_machine_name_reused(machine, now)) {
        return "back under its name with its counts begun anew";
    }
    if (!machine->heartbeat_seen && wall - machine->created_at > 4 * boot + 30 && empty &&
        now - core->autoscaling.since > 2 * boot) {
        return "never came up";
    }
    if (rr_machine_quarantined(machine, now) && empty) {
        return "sick: tasks of several jobs failed";
    }
    return NULL;
}

/* Decides about one machine; the record's change and the release follow from give_up. */
static void judge(rr_core *core, rr_machine *machine, double now, double wall) {
    if (!machine->recorded) {
        return;
    }
    const char *why = trouble_of(core, machine, now, wall);
    bool empty = machine->placements->len == 0;
    if (machine->to_release && !why && !empty && rr_machine_heartbeat_recent(core, machine, now) &&
        !machine->releasing) {
        machine->to_release = machine->declared_dead =
            false; /* it speaks again, or was idle, and has work */
        return;
    }
    bool idle = machine->surplus && empty && !machine->operator_owned &&
                now - machine->idle_since > core->config->tuning.idle_return_s &&
                wall - machine->created_at > 60;
    if (machine->to_release || machine->scaling_in || !(why || idle)) {
        return;
    }
    machine->to_release = true;
    machine->declared_dead = why && !empty;
    core->counters.machines_terminated++;
    rr_log_at(core, RR_LOG_DEBUG, "give up %s (%u tasks): %s", machine->name,
              machine->placements->len, why ? why : "idle");
}
void rr_review_machines(rr_core *core, double now, double wall) {
    rr_detect_partitions(core, now);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        judge(core, g_ptr_array_index(core->stored.machine_list, i), now, wall);
    }
}

static void begin_provisioning(rr_core *core, double now) {
    core->autoscaling.term_token = core->membership.term.token;
    core->autoscaling.since = now;
    core->autoscaling.list_at = core->autoscaling.demand_at = 0;
    core->autoscaling.list_read = false;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->list_failed = machine->listed = machine->surplus = machine->declared_dead =
            machine->releasing = false;
        machine->to_release =
            machine->scaling_in; /* what was to go back goes, unless it is judged to have work */
        machine->declared_dead = machine->scaling_in && machine->placements->len > 0 &&
                                 !rr_machine_heartbeat_recent(core, machine, now);
        machine->probe_fails = 0;
        machine->failed_suspect_probes = 0;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_rental *rental = value;
        rental->answered = rental->refused = false;
        rental->tried_at = 0;
        g_ptr_array_set_size(rental->machine_ids, 0);
    }
    rr_log_at(core, RR_LOG_INFO, "provisioner of term %" G_GUINT64_FORMAT,
              core->membership.term.token);
}

void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    out->kind = RR_AUTOSCALER_NONE;
    if (!rr_core_is_autoscaler(core, now) || !rr_core_cache_consistent(core) ||
        core->membership.new_term_wanted) {
        return;
    }
    if (core->autoscaling.term_token != core->membership.term.token) {
        begin_provisioning(core, now);
    }
    if (rr_autoscaler_step_records(core, now, wall, out) || step_rentals_done(core, now, out) ||
        step_catalog(core, now, out) || rr_autoscaler_step_demand(core, now, wall, out)) {
        if (out->kind == RR_AUTOSCALER_NONE) {
            out->kind = RR_AUTOSCALER_COMMIT;
        }
    } else if (step_rental(core, now, wall, out)) {
        out->kind = RR_AUTOSCALER_SCALE_OUT;
    } else if (step_release(core, now, out)) {
        out->kind = RR_AUTOSCALER_SCALE_IN;
    } else if (core->autoscaling.list_at == 0 ||
               now - core->autoscaling.list_at > core->config->tuning.cloud_list_s) {
        core->autoscaling.list_at = now;
        out->kind = RR_AUTOSCALER_LIST;
    }
    if (out->kind == RR_AUTOSCALER_COMMIT) {
        rr_transaction_guard(&out->transaction, RR_KEY_ROOT "term", core->membership.term.version);
    }
}
