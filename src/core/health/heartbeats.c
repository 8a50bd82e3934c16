/* Accepts heartbeats, digests of heartbeats and answers to commands: decides which of them are
 * newer than what is known, and which prove that the machine is reachable now. */
#include "core/heartbeats.h"
#include "core/core_internal.h"
#include "core/health/contacts.h"
#include "core/health/heartbeat_contents.h"
#include "core/health/machine_health.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"

#include <string.h>

/* Duplicates of one heartbeat that arrive over different links arrive within this time. */
#define DUPLICATE_DELAY_MAX_S 0.3

/* A machine's own heartbeats count as arriving while the last one is less than this many heartbeat
 * intervals old. */
#define OWN_HEARTBEAT_INTERVALS_MAX 1.5

/* Returns whether the heartbeat is newer than the machine's last one. Each worker epoch has its own
 * sequence. */
static bool is_newer_heartbeat(const rr_machine *machine, const rr_heartbeat *heartbeat) {
    if (!machine->heartbeat_seen) {
        return true;
    }
    if (heartbeat->worker_epoch != machine->heartbeat.worker_epoch) {
        return heartbeat->worker_epoch > machine->heartbeat.worker_epoch;
    }
    return heartbeat->sequence > machine->heartbeat.sequence;
}

static bool has_same_content(const rr_machine *machine, const rr_heartbeat *heartbeat,
                             uint64_t hash) {
    return machine->heartbeat_seen && machine->heartbeat.worker_epoch == heartbeat->worker_epoch &&
           machine->heartbeat_hash == hash &&
           strcmp(machine->heartbeat.address, heartbeat->address) == 0;
}

/* Marks the machine as verified once a heartbeat proves that it is alive. A duplicate may arrive
 * more than a lease late, even at a process that has not heard the machine before and so cannot
 * recognize it as old. A single heartbeat is therefore proof only if it carries the present term's
 * token, or if the machine was recorded while this process watched and thus cannot have sent any
 * earlier one. Otherwise a second, newer heartbeat is needed. */
static void update_verified(const rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                            double now) {
    bool present_token =
        core->membership.term.token > 0 && heartbeat->fencing_token == core->membership.term.token;
    bool second_heartbeat =
        machine->heartbeat_seen && now - machine->heartbeat_at > DUPLICATE_DELAY_MAX_S;
    machine->verified =
        machine->verified || machine->recorded_while_watching || present_token || second_heartbeat;
}

/* Returns the machine of this name, added if it is new. NULL: the machine has gone, so its
 * heartbeat is a late duplicate. */
static rr_machine *find_or_add_machine(rr_core *core, const char *name, double now) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, name);
    if (!machine && !g_hash_table_contains(core->stored.gone_machines, name)) {
        machine = rr_machine_get(core, name, now);
    }
    return machine;
}

static void set_type_and_zone(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat) {
    if (machine->machine_type < 0) {
        machine->machine_type =
            rr_name_index_add(&core->stored.machine_type_names, heartbeat->machine_type);
        machine->zone = rr_name_index_add(&core->stored.zones, heartbeat->zone);
        machine->spot = heartbeat->spot;
    }
}

static guint count_ended_tasks(const rr_heartbeat *heartbeat) {
    guint count = 0;
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        count += g_array_index(heartbeat->tasks, rr_task_status, i).state == RR_TASK_ENDED;
    }
    return count;
}

/* Moves the content of the heartbeat into the machine. */
static void replace_heartbeat(rr_machine *machine, rr_heartbeat *heartbeat, uint64_t hash) {
    rr_heartbeat_clear(&machine->heartbeat);
    machine->ended_task_count = count_ended_tasks(heartbeat);
    machine->heartbeat = *heartbeat;
    machine->heartbeat_hash = hash;
    machine->heartbeat_seen = true;
    heartbeat->tasks = NULL;
}

/* Records the arrival of one of the machine's own heartbeats. forwarding_peer: index of the peer
 * that forwarded the heartbeat, -1: the worker sent it to this controller. */
static void record_arrival(rr_machine *machine, double now, int forwarding_peer) {
    machine->heartbeat_at = machine->last_own_heartbeat_at = now;
    machine->failed_probes = 0;
    machine->forwarding_peer = forwarding_peer;
}

enum rr_heartbeat_effect rr_core_apply_heartbeat(rr_core *core, double now, rr_heartbeat *heartbeat,
                                                 int forwarding_peer) {
    rr_machine *machine = find_or_add_machine(core, heartbeat->machine, now);
    if (!machine || !is_newer_heartbeat(machine, heartbeat)) {
        rr_heartbeat_clear(heartbeat);
        return RR_HEARTBEAT_IGNORED;
    }
    set_type_and_zone(core, machine, heartbeat);
    update_verified(core, machine, heartbeat, now);
    if (rr_machine_heartbeat_overdue(core, machine, now)) {
        /* The whole machine was unreachable, which explains why its commands went unanswered. */
        machine->unanswered_commands = machine->failed_suspect_probes = 0;
    }
    uint64_t hash = rr_heartbeat_hash(heartbeat);
    bool changed = !has_same_content(machine, heartbeat, hash);
    if (changed) {
        rr_record_heartbeat_changes(core, machine, heartbeat, now);
        g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
    }
    replace_heartbeat(machine, heartbeat, hash);
    record_arrival(machine, now, forwarding_peer);
    machine->stale_answers = 0;
    if (forwarding_peer < 0) {
        rr_record_contact(&core->observed.direct_contact, now);
    }
    if (changed) {
        rr_record_fetched_images(core, machine);
        rr_machine_mark_dirty(core, machine);
    }
    return changed ? RR_HEARTBEAT_CHANGED : RR_HEARTBEAT_UNCHANGED;
}

/* Counts consecutive answers that are older than the newest heartbeat: several in a row come from
 * another machine of the same name (see rr_machine_name_reused()). */
void rr_core_record_machine_answer(rr_core *core, double now, const rr_heartbeat_digest *digest) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, digest->machine);
    if (!machine) {
        return;
    }
    machine->verified = true;
    bool older =
        machine->heartbeat_seen && (digest->worker_epoch < machine->heartbeat.worker_epoch ||
                                    (digest->worker_epoch == machine->heartbeat.worker_epoch &&
                                     digest->sequence < machine->heartbeat.sequence));
    if (!older) {
        machine->stale_answers = 0;
    } else if (machine->stale_answers++ == 0) {
        machine->stale_answers_since = now;
    }
}

bool rr_core_apply_command_reply(rr_core *core, double now, rr_heartbeat *heartbeat,
                                 int forwarding_peer) {
    rr_heartbeat_digest digest = {.worker_epoch = heartbeat->worker_epoch,
                                  .sequence = heartbeat->sequence};
    g_strlcpy(digest.machine, heartbeat->machine, sizeof digest.machine);
    const rr_machine *known = g_hash_table_lookup(core->stored.machines, heartbeat->machine);
    double reported_at = known && known->heartbeat_seen ? known->last_own_heartbeat_at : now;
    rr_core_apply_heartbeat(core, now, heartbeat, forwarding_peer);
    rr_core_record_machine_answer(core, now, &digest);
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, digest.machine);
    if (machine) {
        /* An answer does not prove that the machine's own heartbeats arrive. */
        machine->last_own_heartbeat_at = reported_at;
    }
    return now - reported_at < OWN_HEARTBEAT_INTERVALS_MAX * core->config->heartbeat_interval_s;
}

bool rr_core_apply_heartbeat_digest(rr_core *core, double now, const rr_heartbeat_digest *digest,
                                    int forwarding_peer) {
    rr_machine *machine = g_hash_table_lookup(core->stored.machines, digest->machine);
    if (!machine || !machine->heartbeat_seen ||
        machine->heartbeat.worker_epoch != digest->worker_epoch ||
        digest->sequence <= machine->heartbeat.sequence) {
        return false;
    }
    machine->verified = machine->verified || now - machine->heartbeat_at > DUPLICATE_DELAY_MAX_S;
    record_arrival(machine, now, forwarding_peer);
    if (machine->heartbeat_hash == digest->hash) {
        machine->heartbeat.sequence = digest->sequence;
    }
    return true;
}
