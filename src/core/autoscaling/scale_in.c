/* Scale-in: decides which machines to release, has the cloud release them and processes the
 * results. */
#include "core/autoscaling/scale_in.h"
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"

/* Commands do not reach a machine if at least this many consecutive probes failed, over at least
 * this time, while its heartbeats arrive. */
#define FAILED_SUSPECT_PROBES_MIN 3
#define FAILED_SUSPECT_PROBES_MIN_S 4.0

/* A machine without a heartbeat counts as never having come up after NEVER_UP_STARTUPS times its
 * start-up time, plus the margin, since its creation, but not before this autoscaler has been
 * running for NEVER_UP_WATCHED_STARTUPS times its start-up time. */
#define NEVER_UP_STARTUPS 4
#define NEVER_UP_MARGIN_S 30
#define NEVER_UP_WATCHED_STARTUPS 2
/* The start-up time assumed for a machine type without one. */
#define STARTUP_DEFAULT_S 60

/* A rented machine is kept at least this long. */
#define RENTAL_AGE_MIN_S 60

/* The wait between the record of a scale-in and the release: by then the store cache shows any
 * reservation made just before the scale-in was recorded. */
#define SCALE_IN_DELAY_S 0.8
/* At most this many machines are released in one call. */
#define SCALE_IN_MACHINES_MAX 100

/* ---- choice of the machines to release ---- */

static bool never_came_up(const rr_core *core, const rr_machine *machine, double now, double wall) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    double startup_s = type && type->startup_s > 0 ? type->startup_s : STARTUP_DEFAULT_S;
    return !machine->heartbeat_seen &&
           wall - machine->created_at > NEVER_UP_STARTUPS * startup_s + NEVER_UP_MARGIN_S &&
           now - core->autoscaling.began_at > NEVER_UP_WATCHED_STARTUPS * startup_s;
}

/* Returns whether no command reaches the machine, neither from this controller nor from the owners
 * of its tasks, although its heartbeats arrive. Its lease will expire. */
static bool is_unreachable_by_commands(const rr_core *core, const rr_machine *machine, double now) {
    return machine->heartbeat_seen && machine->failed_suspect_probes >= FAILED_SUSPECT_PROBES_MIN &&
           now - machine->suspect_probes_failed_at > FAILED_SUSPECT_PROBES_MIN_S &&
           !rr_machine_heartbeat_overdue(core, machine, now);
}

/* Returns the machine's fault, for which it is to be released, as text for the log; NULL: none. */
static const char *find_fault(const rr_core *core, const rr_machine *machine, double now,
                              double wall) {
    bool empty = machine->placements->len == 0;
    if (rr_machine_dead(core, machine, now)) {
        return "dead or hung";
    }
    if (is_unreachable_by_commands(core, machine, now)) {
        return "commands unanswered";
    }
    if (rr_machine_name_reused(machine, now)) {
        return "name reused by another machine";
    }
    if (empty && never_came_up(core, machine, now, wall)) {
        return "never came up";
    }
    if (empty && rr_machine_quarantined(machine, now)) {
        return "quarantined after tasks of several jobs failed";
    }
    return NULL;
}

static bool is_idle(const rr_core *core, const rr_machine *machine, double now, double wall) {
    return machine->surplus && machine->placements->len == 0 && !machine->operator_owned &&
           now - machine->idle_since > core->config->tuning.idle_return_s &&
           wall - machine->created_at > RENTAL_AGE_MIN_S;
}

/* Returns whether a release that has not been requested yet can be cancelled: the machine has tasks
 * and a recent heartbeat. */
static bool may_cancel_release(const rr_core *core, const rr_machine *machine, double now) {
    return machine->to_release && machine->placements->len > 0 && !machine->release_requested &&
           rr_machine_heartbeat_recent(core, machine, now);
}

/* Decides whether the machine is to be released, or no longer is. */
static void decide_release(rr_core *core, rr_machine *machine, double now, double wall) {
    if (!machine->recorded) {
        return;
    }
    const char *fault = find_fault(core, machine, now, wall);
    if (!fault && may_cancel_release(core, machine, now)) {
        machine->to_release = machine->declared_dead = false;
        return;
    }
    if (machine->to_release || machine->scaling_in ||
        !(fault || is_idle(core, machine, now, wall))) {
        return;
    }
    machine->to_release = true;
    machine->declared_dead = fault && machine->placements->len > 0;
    core->counters.machines_terminated++;
    rr_log_at(core, RR_LOG_DEBUG, "scaling in machine %s (%u tasks): %s", machine->name,
              machine->placements->len, fault ? fault : "idle");
}

void rr_decide_releases(rr_core *core, double now, double wall) {
    rr_detect_partitions(core, now);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        decide_release(core, g_ptr_array_index(core->stored.machine_list, i), now, wall);
    }
}

void rr_reset_scale_in(rr_core *core, double now) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->gone_from_cloud = machine->cloud_listed = machine->surplus =
            machine->release_requested = false;
        machine->to_release = machine->scaling_in;
        machine->declared_dead = machine->scaling_in && machine->placements->len > 0 &&
                                 !rr_machine_heartbeat_recent(core, machine, now);
        machine->failed_probes = 0;
        machine->failed_suspect_probes = 0;
    }
}

/* ---- requests to the cloud ---- */

/* Returns whether the machine's record shows the scale-in and the machine is empty or dead. A
 * machine on which an owner has reserved resources in the meantime is kept. */
static bool may_be_released(const rr_machine *machine, double now) {
    bool empty = machine->placements->len == 0 && now - machine->scaling_in_at > SCALE_IN_DELAY_S;
    return machine->recorded && machine->scaling_in && machine->to_release &&
           !machine->gone_from_cloud && (empty || machine->declared_dead);
}

bool rr_prepare_scale_in_step(rr_core *core, double now, rr_autoscaler_step *out) {
    GHashTableIter iter;
    gpointer key;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (out->machines->len < SCALE_IN_MACHINES_MAX && may_be_released(machine, now)) {
            g_ptr_array_add(out->machines, g_strdup(machine->name));
            machine->release_requested = true;
        }
    }
    g_hash_table_iter_init(&iter, core->autoscaling.failed_unrecorded_machines);
    while (g_hash_table_iter_next(&iter, &key, NULL) &&
           out->machines->len < SCALE_IN_MACHINES_MAX) {
        g_ptr_array_add(out->machines, g_strdup(key));
    }
    if (out->machines->len == 0) {
        return false;
    }
    out->kind = RR_AUTOSCALER_SCALE_IN;
    return true;
}

/* ---- results ---- */

void rr_core_record_scale_in_result(rr_core *core, double now, const GPtrArray *ids) {
    for (guint i = 0; i < ids->len; i++) {
        const char *id = g_ptr_array_index(ids, i);
        rr_machine *machine = g_hash_table_lookup(core->stored.machines, id);
        g_hash_table_remove(core->autoscaling.failed_unrecorded_machines, id);
        if (machine && machine->recorded) {
            machine->gone_from_cloud =
                true; /* gone with all its tasks: its record can be removed */
            rr_log_at(core, RR_LOG_DEBUG, "machine %s was released %.0f s after it became known",
                      id, now - machine->known_at);
        } else if (machine && machine->placements->len == 0) {
            /* A machine with placements is kept without a record while the ledger has any, because
             * they refer to it. */
            rr_machine_forget(core, machine);
        }
    }
}
