/* Compares the cloud's list of machines with the records in the store. */
#include "core/autoscaling/cloud_observations.h"
#include "core/core_internal.h"
#include "core/scaling.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"

#include <math.h>
#include <string.h>

/* A machine counts as older than the service if it was created more than this before the service's
 * first term. */
#define FIRST_TERM_MARGIN_S 5
/* A machine that has been listed is gone if it is missing from a list requested more than this many
 * list lags, plus the margin, after it was first listed. */
#define LISTED_GONE_LAGS 2
#define LISTED_GONE_MARGIN_S 1
/* The same for a machine that has never been listed, counted from when it became known or this
 * autoscaler began, whichever is later. */
#define UNLISTED_GONE_LAGS 3
#define UNLISTED_GONE_MARGIN_S 10

/* Returns whether the machine belongs to the operators: it existed before the first term, or before
 * the service first rented a machine. The second rule is needed because the cloud's list may give
 * machines that start together no age. */
static bool is_operator_owned(const rr_core *core, const rr_machine *machine) {
    return !machine->rented &&
           (machine->created_at < core->membership.term.first_term_at - FIRST_TERM_MARGIN_S ||
            !core->autoscaling.ever_rented);
}

/* Returns the machine of an entry of the cloud's list that has no record, marked to be recorded.
 * Returns NULL if the machine has failed or is gone, and so is not recorded. */
static rr_machine *adopt_listed_machine(rr_core *core, const rr_listed_machine *listed, double now,
                                        double wall) {
    if (listed->state == RR_LISTED_FAILED) {
        g_hash_table_add(core->autoscaling.failed_unrecorded_machines, g_strdup(listed->id));
        return NULL;
    }
    if (rr_machine_recently_gone(core, listed->id, now)) {
        return NULL;
    }
    rr_machine *machine = rr_machine_get(core, listed->id, now);
    machine->to_record = true;
    machine->created_at = wall - listed->age_s;
    machine->operator_owned = is_operator_owned(core, machine);
    return machine;
}

/* Updates the machine from its entry in the list, or adds it if it has no record. */
static void record_listed_machine(rr_core *core, const rr_listed_machine *listed, double asked_at,
                                  double now, double wall) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, listed->id);
    if (!machine || !machine->recorded) {
        machine = adopt_listed_machine(core, listed, now, wall);
    }
    if (!machine) {
        return;
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
    if (!machine->cloud_listed) {
        machine->cloud_listed = true;
        machine->cloud_listed_at = asked_at;
    }
    machine->gone_from_cloud = listed->state == RR_LISTED_FAILED;
}

/* Returns whether a machine that is missing from a list requested at asked_at is gone. A machine
 * that has been listed stays listed until it is gone. */
static bool is_missing_machine_gone(const rr_core *core, const rr_machine *machine,
                                    double asked_at) {
    double lag = core->config->cloud_list_lag_s;
    return machine->cloud_listed
               ? asked_at > machine->cloud_listed_at + LISTED_GONE_LAGS * lag + LISTED_GONE_MARGIN_S
               : asked_at > fmax(machine->known_at, core->autoscaling.began_at) +
                                UNLISTED_GONE_LAGS * lag + UNLISTED_GONE_MARGIN_S;
}

/* Marks recorded machines that are missing from the list and gone for removal. Machines that are
 * not recorded yet no longer will be, unless they were rented. names: set of the listed names. */
static void mark_missing_machines(rr_core *core, double asked_at, GHashTable *names) {
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (g_hash_table_contains(names, machine->name)) {
            continue;
        }
        machine->to_record = machine->to_record && machine->rented;
        if (machine->recorded && is_missing_machine_gone(core, machine, asked_at)) {
            machine->gone_from_cloud = true;
        }
    }
}

void rr_core_apply_machine_list(rr_core *core, double asked_at, double now, double wall,
                                const GArray *machines) {
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    core->autoscaling.machines_listed_at = now;
    core->autoscaling.machines_listed = true;
    g_hash_table_remove_all(core->autoscaling.failed_unrecorded_machines);
    for (guint i = 0; i < machines->len; i++) {
        const rr_listed_machine *listed = &g_array_index(machines, rr_listed_machine, i);
        g_hash_table_add(names, (gpointer)listed->id);
        record_listed_machine(core, listed, asked_at, now, wall);
    }
    mark_missing_machines(core, asked_at, names);
    g_hash_table_destroy(names);
}
