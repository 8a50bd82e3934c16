/* Decides which machines the autoscaler adds to, updates in or removes from the machine records. */
#include "core/autoscaling/machine_records.h"
#include "core/autoscaling/cloud_observations.h"
#include "core/autoscaling/page_changes.h"
#include "core/core_internal.h"
#include "core/state/machines.h"

/* A machine known only from its heartbeats is recorded if the last one is less than this many
 * heartbeat intervals old. */
#define HEARTBEAT_INTERVALS_MAX 2

/* Returns whether the machine is to be recorded. A machine that the cloud has not named must have
 * been verified, because its heartbeats may be late duplicates from one that has gone. */
static bool needs_record(const rr_core *core, const rr_machine *machine, double now) {
    if (machine->recorded || machine->gone || machine->machine_type < 0 || machine->zone < 0) {
        return false;
    }
    return machine->to_record ||
           (machine->heartbeat_seen && machine->verified && core->autoscaling.machines_listed &&
            now - machine->heartbeat_at <
                HEARTBEAT_INTERVALS_MAX * core->config->heartbeat_interval_s &&
            !rr_machine_recently_gone(core, machine->name, now));
}

/* Adds the machine to a page with enough space, unless the transaction is full. */
static void add_machine_to_page(struct rr_page_changes *changes, rr_machine *machine, double wall) {
    GPtrArray *page = rr_change_page_with_room(changes, machine);
    if (!page) {
        return;
    }
    machine->created_at = machine->created_at > 0 ? machine->created_at : wall;
    g_ptr_array_add(page, machine);
    rr_log_at(changes->core, RR_LOG_DEBUG, "recording machine %s (%s)", machine->name,
              machine->operator_owned ? "operator-owned" : "rented");
}

static void remove_machine_from_page(struct rr_page_changes *changes, rr_machine *machine) {
    GPtrArray *page = rr_change_page(changes, machine->page);
    if (page) {
        g_ptr_array_remove(page, machine);
    }
}

/* Adds the change that the machine's record needs, if any. */
static void update_machine_record(struct rr_page_changes *changes, rr_machine *machine, double now,
                                  double wall) {
    if (machine->recorded && machine->gone_from_cloud) {
        remove_machine_from_page(changes, machine);
    } else if (machine->recorded && machine->to_release != machine->scaling_in) {
        rr_change_page(changes, machine->page); /* the record's flag follows to_release */
    } else if (needs_record(changes->core, machine, now)) {
        add_machine_to_page(changes, machine, wall);
    }
}

bool rr_prepare_machine_records_step(rr_core *core, double now, double wall,
                                     rr_autoscaler_step *out) {
    struct rr_page_changes changes;
    rr_page_changes_init(&changes, core);
    rr_split_large_pages(&changes, now);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        update_machine_record(&changes, g_ptr_array_index(core->stored.machine_list, i), now, wall);
    }
    rr_page_changes_put(&changes, &out->transaction);
    if (out->transaction.changes->len == 0) {
        return false;
    }
    out->kind = RR_AUTOSCALER_COMMIT;
    return true;
}
