/* The autoscaler's records of machines: which of them are to change. */
#include "core/autoscaling/machine_records.h"
#include "core/autoscaling/cloud_observations.h"
#include "core/autoscaling/page_changes.h"
#include "core/core_internal.h"
#include "core/state/machines.h"

/* A machine known from its heartbeats alone must have sent one within so many intervals. */
#define HEARTBEAT_INTERVALS_MAX 2

/* A late copy of a heartbeat records nothing: a machine that the cloud has not named has to be
 * verified first. */
static bool is_to_be_recorded(const rr_core *core, const rr_machine *machine, double now) {
    if (machine->recorded || machine->gone || machine->machine_type < 0 || machine->zone < 0) {
        return false;
    }
    return machine->to_record ||
           (machine->heartbeat_seen && machine->verified && core->autoscaling.list_read &&
            now - machine->heartbeat_at <
                HEARTBEAT_INTERVALS_MAX * core->config->heartbeat_interval_s &&
            !rr_recently_gone(core, machine->name, now));
}

static void add_machine(struct rr_page_changes *changes, rr_machine *machine, double wall) {
    GPtrArray *page = rr_change_page_with_room(changes, machine);
    if (!page) {
        return;
    }
    machine->created_at = machine->created_at > 0 ? machine->created_at : wall;
    g_ptr_array_add(page, machine);
    rr_log_at(changes->core, RR_LOG_DEBUG, "record machine %s (%s)", machine->name,
              machine->operator_owned ? "operator-owned" : "rented");
}

static void remove_machine(struct rr_page_changes *changes, rr_machine *machine) {
    GPtrArray *page = rr_change_page(changes, machine->page);
    if (page) {
        g_ptr_array_remove(page, machine);
    }
}

static void update_record(struct rr_page_changes *changes, rr_machine *machine, double now,
                          double wall) {
    if (machine->recorded && machine->list_failed) {
        remove_machine(changes, machine);
    } else if (machine->recorded && machine->to_release != machine->scaling_in) {
        rr_change_page(changes, machine->page); /* encoded with the new flag */
    } else if (is_to_be_recorded(changes->core, machine, now)) {
        add_machine(changes, machine, wall);
    }
}

bool rr_step_machine_records(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    struct rr_page_changes changes;
    rr_page_changes_init(&changes, core);
    rr_split_large_pages(&changes, now);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        update_record(&changes, g_ptr_array_index(core->stored.machine_list, i), now, wall);
    }
    rr_page_changes_put(&changes, &out->transaction);
    if (out->transaction.changes->len == 0) {
        return false;
    }
    out->kind = RR_AUTOSCALER_COMMIT;
    return true;
}
