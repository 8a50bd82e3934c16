/* The controllers of the decision trace: sessions and terms, transactions, commands, plans, and the
 * heartbeats that they get and forward. */
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "trace_world.h"

#include <errno.h>
#include <string.h>

static const char *const node_names[TRACE_CONTROLLERS_MAX] = {"n0", "n1", "n2"};
static const char *const team_names[] = {"red", "blue", "green", "amber", "violet"};

double trace_wall_clock_s(const struct trace_world *world) {
    return TRACE_WALL_CLOCK_OFFSET_S + world->now;
}

bool trace_zone_partitioned(const struct trace_world *world, const char *zone) {
    for (int i = 0; i < TRACE_ZONES; i++) {
        if (strcmp(trace_zone_names[i], zone) == 0) {
            return world->partitioned_until[i] > world->now;
        }
    }
    return false;
}

/* Whether messages get from one zone to the other. */
static bool zones_connected(const struct trace_world *world, const char *zone, const char *other) {
    return strcmp(zone, other) == 0 ||
           (!trace_zone_partitioned(world, zone) && !trace_zone_partitioned(world, other));
}

static const char *controller_zone(const struct trace_controller *controller) {
    return trace_zone_names[controller->index];
}

/* Whether the controller reaches the key-value store, which is in the first zone. */
static bool store_reachable(const struct trace_world *world,
                            const struct trace_controller *controller) {
    return controller->running && !controller->store_unreachable &&
           zones_connected(world, controller_zone(controller), trace_zone_names[0]);
}

struct trace_controller *trace_pick_controller(struct trace_world *world) {
    int first = trace_random_int(world, world->scenario.controller_count);
    for (int i = 0; i < world->scenario.controller_count; i++) {
        struct trace_controller *controller =
            &world->controllers[(first + i) % world->scenario.controller_count];
        if (controller->running) {
            return controller;
        }
    }
    return NULL;
}

int trace_peer_index(const struct trace_controller *owner, const struct trace_controller *peer) {
    return peer->index < owner->index ? peer->index : peer->index - 1;
}

/* ---- settings and processes ---- */

static void set_teams(const struct trace_scenario *scenario, struct rr_config *config) {
    config->team_count = (size_t)scenario->team_count;
    for (int i = 0; i < scenario->team_count; i++) {
        struct rr_team_config *team = &config->teams[i];
        g_strlcpy(team->name, team_names[i], sizeof team->name);
        if (scenario->team_limits) {
            team->cpus = 20 + 30 * i;
            team->gpus = i == 1 ? 4 : 0;
            team->cpus_max = i % 2 == 0 ? 80 + 60 * i : 0;
            team->gpus_max = i == 2 ? 6 : 0;
        }
    }
}

static void make_config(const struct trace_world *world, int index, struct rr_config *config) {
    const struct trace_scenario *scenario = &world->scenario;
    test_config_init(config, node_names[index]);
    g_strlcpy(config->zone, trace_zone_names[index], sizeof config->zone);
    for (int i = 0, peer = 0; i < TRACE_CONTROLLERS_MAX; i++) {
        if (i != index) {
            g_strlcpy(config->peers[peer++].zone, trace_zone_names[i], RR_NAME_SIZE);
        }
    }
    set_teams(scenario, config);
    config->transaction_changes_max = scenario->lower_store_limits ? 8 : 16;
    config->cells = scenario->job_holds;
    config->admission = scenario->fair_shares;
    config->tuning.rebalance = scenario->rebalancing;
    config->tuning.rebalance_period_s = 8;
    config->tuning.rebalance_moves = scenario->job_holds ? 1 : 4;
    config->tuning.rebalance_share = scenario->job_holds ? 0 : 0.05;
    config->tuning.headroom = scenario->cloud_machines > 30 ? 1 : 0;
    if (world->limits_announced) {
        config->next_value_kb = 1;
        config->next_transaction_changes_max = 6;
    }
}

static void discard_log_line(int level, const char *line) {
    (void)level;
    (void)line;
}

/* Opens a session and writes the controller's record. */
static void open_session(struct trace_world *world, struct trace_controller *controller) {
    char key[RR_NAME_SIZE + 16];
    rr_encoder out;
    controller->session = ++world->last_session;
    controller->session_until = world->now + rr_session_lease_s(&controller->fixture.config);
    controller->session_open = true;
    rr_encoder_init(&out);
    if (world->scenario.foreign_records && trace_chance(world, 0.1)) {
        rr_encode_map(&out, 1); /* as a version does that knows no gangs */
        rr_encode_key_u64(&out, "tether", controller->session);
    } else {
        rr_core_encode_session(&controller->fixture.config, &out, controller->session);
    }
    trace_hash_bytes(&world->hash, out.buffer.data, out.buffer.size);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", controller->fixture.config.node_name);
    fake_store_put(world->store, key, &out);
    rr_core_set_session(controller->fixture.core, controller->session, controller->session_until);
}

/* Deletes the controller's record, as the store does when the lease ends. */
static void end_session(struct trace_world *world, struct trace_controller *controller) {
    char key[RR_NAME_SIZE + 16];
    rr_transaction transaction;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", controller->fixture.config.node_name);
    rr_transaction_init(&transaction);
    rr_transaction_delete(&transaction, key);
    fake_store_commit(world->store, &transaction);
    rr_transaction_clear(&transaction);
    controller->session_open = false;
}

void trace_controller_start(struct trace_world *world, int index) {
    struct trace_controller *controller = &world->controllers[index];
    test_controller *fixture = &controller->fixture;
    bool first = fixture->core == NULL;
    controller->index = index;
    if (!first) {
        test_controller_clear(fixture);
    }
    memset(fixture, 0, sizeof *fixture);
    make_config(world, index, &fixture->config);
    fixture->store = world->store;
    fixture->core = rr_core_create(&fixture->config);
    fixture->spot_notice_s = -1;
    fixture->now = world->now;
    rr_core_set_log(fixture->core, discard_log_line, world->scenario.log_level);
    controller->running = true;
    controller->store_unreachable = false;
    controller->min_plan_revision = 0;
    if (!first) {
        fake_store_reload(world->store, fixture->core, world->now);
        trace_query_core(world, controller);
    }
    open_session(world, controller);
}

void trace_controller_stop(struct trace_world *world, struct trace_controller *controller,
                           double seconds) {
    controller->recovers_at = world->now + seconds;
    if (trace_chance(world, 0.6)) {
        controller->running = false;
    } else {
        controller->store_unreachable = true;
    }
}

void trace_controller_reload(struct trace_world *world, struct trace_controller *controller) {
    if (store_reachable(world, controller)) {
        fake_store_reload(world->store, controller->fixture.core, world->now);
    }
}

/* ---- transactions ---- */

bool trace_commit(struct trace_world *world, struct trace_controller *controller,
                  const rr_transaction *transaction) {
    rr_core *core = controller->fixture.core;
    trace_hash_transaction(&world->hash, transaction);
    if (!store_reachable(world, controller)) {
        return false;
    }
    int rc = fake_store_commit(world->store, transaction);
    trace_hash_uint64(&world->hash, (uint64_t)(int64_t)rc);
    if (rc == -EINVAL) {
        assert_true(world->limits_lowered);
        rr_core_activate_next_limits(core, trace_chance(world, 0.3));
        return false;
    }
    if (rc == 0 && !trace_chance(world, world->scenario.lost_reply_share)) {
        rr_core_cache_apply_transaction(core, transaction, world->store->revision, world->now);
    } else {
        controller->min_plan_revision = world->store->revision;
    }
    return rc == 0;
}

/* ---- sessions and terms ---- */

/* Restarts the process, restores its store connection, ends an expired session, and renews or opens
 * one, whichever is due. */
static void renew_session(struct trace_world *world, struct trace_controller *controller) {
    bool session_valid = world->now < controller->session_until;
    if (!controller->running && world->now >= controller->recovers_at) {
        trace_controller_start(world, controller->index);
        return;
    }
    if (controller->store_unreachable && world->now >= controller->recovers_at) {
        controller->store_unreachable = false;
    }
    if (controller->session_open && !session_valid) {
        end_session(world, controller);
    }
    if (store_reachable(world, controller) && controller->session_open) {
        controller->session_until = world->now + rr_session_lease_s(&controller->fixture.config);
        rr_core_set_session(controller->fixture.core, controller->session,
                            controller->session_until - 0.5);
    } else if (store_reachable(world, controller)) {
        open_session(world, controller);
    }
}

/* Brings the store cache up to date, mostly: at times the watch lags behind. */
static void sync_store(struct trace_world *world, struct trace_controller *controller) {
    controller->fixture.now = world->now;
    if (store_reachable(world, controller) && trace_chance(world, 0.85)) {
        fake_store_sync(world->store, controller->fixture.core, world->now);
    }
}

static void start_next_term(struct trace_world *world, struct trace_controller *controller) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    if (store_reachable(world, controller) &&
        rr_core_add_next_term_record(controller->fixture.core, world->now,
                                     trace_wall_clock_s(world), &transaction)) {
        trace_commit(world, controller, &transaction);
    }
    rr_transaction_clear(&transaction);
}

/* Tells the core that it has heard from every peer whose zone is connected to its own. */
static void contact_peers(struct trace_world *world, struct trace_controller *controller) {
    for (int i = 0; i < world->scenario.controller_count; i++) {
        const struct trace_controller *peer = &world->controllers[i];
        if (peer != controller && peer->running &&
            zones_connected(world, controller_zone(peer), controller_zone(controller))) {
            rr_core_record_peer_contact(controller->fixture.core, world->now,
                                        trace_peer_index(controller, peer));
        }
    }
}

void trace_advance_sessions(struct trace_world *world) {
    for (int i = 0; i < world->scenario.controller_count; i++) {
        renew_session(world, &world->controllers[i]);
    }
    for (int i = 0; i < world->scenario.controller_count; i++) {
        struct trace_controller *controller = &world->controllers[i];
        if (controller->running) {
            sync_store(world, controller);
            start_next_term(world, controller);
            contact_peers(world, controller);
        }
    }
}

/* ---- commands ---- */

void trace_pending_command_free(gpointer pointer) {
    struct trace_pending_command *pending = pointer;
    rr_command_batch_free(pending->batch);
    g_free(pending);
}

/* Whether the batch, sent directly or through its peer, gets to the worker. */
static bool command_deliverable(const struct trace_world *world,
                                const struct trace_controller *controller,
                                const struct trace_machine *machine,
                                const rr_command_batch *batch) {
    const struct trace_controller *from = controller;
    if (batch->peer >= 0) {
        int index = batch->peer < controller->index ? batch->peer : batch->peer + 1;
        from = &world->controllers[index];
        if (!from->running ||
            !zones_connected(world, controller_zone(controller), controller_zone(from))) {
            return false;
        }
    }
    return machine && machine->up && machine->frozen_until <= world->now &&
           machine->commands_lost_until <= world->now &&
           zones_connected(world, controller_zone(from), machine->zone);
}

/* Queues a copy of the batch and decides its fate: when it is due, and whether it and its reply get
 * lost. */
static void send_batch(struct trace_world *world, const struct trace_controller *controller,
                       const rr_command_batch *batch) {
    const struct trace_machine *machine = g_hash_table_lookup(world->machine_by_id, batch->machine);
    struct trace_pending_command *pending = g_new0(struct trace_pending_command, 1);
    pending->controller_index = controller->index;
    pending->session = controller->session;
    pending->batch = g_memdup2(batch, sizeof *batch);
    pending->batch->commands = g_array_copy(batch->commands);
    pending->due_at =
        world->now + (trace_chance(world, 0.6) ? 0 : trace_random_double(world, 0.1, 1.5));
    pending->delivered = pending->replied = command_deliverable(world, controller, machine, batch);
    pending->sent = pending->delivered || (machine && machine->up && trace_chance(world, 0.7));
    if (pending->delivered && trace_chance(world, world->scenario.lost_reply_share)) {
        pending->replied = false;
        pending->delivered = trace_chance(world, 0.5);
        pending->deliver_late = !pending->delivered && trace_chance(world, 0.5);
    }
    g_ptr_array_add(world->pending_commands, pending);
}

/* Returns a copy, which the caller clears. */
static rr_heartbeat copy_heartbeat(const rr_heartbeat *heartbeat) {
    rr_heartbeat copy = *heartbeat;
    copy.tasks = g_array_copy(heartbeat->tasks);
    return copy;
}

/* Hands the worker's reply to the core. It has the contents of a heartbeat; if the core says so, it
 * is forwarded to the peers as one. */
static void take_command_reply(struct trace_world *world, const struct trace_controller *controller,
                               struct trace_machine *machine, int forwarding_peer) {
    rr_heartbeat heartbeat;
    trace_make_heartbeat(world, machine, &heartbeat);
    rr_heartbeat copy = copy_heartbeat(&heartbeat);
    bool forward = rr_core_apply_command_reply(controller->fixture.core, world->now, &heartbeat,
                                               forwarding_peer);
    trace_hash_uint64(&world->hash, forward);
    for (int i = 0; forward && i < world->scenario.controller_count; i++) {
        struct trace_controller *peer = &world->controllers[i];
        if (peer != controller && peer->running &&
            zones_connected(world, controller_zone(peer), controller_zone(controller))) {
            rr_heartbeat forwarded = copy_heartbeat(&copy);
            trace_hash_uint64(&world->hash,
                              rr_core_apply_heartbeat(peer->fixture.core, world->now, &forwarded,
                                                      trace_peer_index(peer, controller)));
            rr_heartbeat_clear(&forwarded);
        }
    }
    rr_heartbeat_clear(&copy);
    rr_heartbeat_clear(&heartbeat);
}

/* Executes a batch that is due if it gets through, and reports its outcome to the core, once, if
 * the controller that sent it still has the same session. */
static void deliver_command(struct trace_world *world, struct trace_pending_command *pending) {
    const struct trace_controller *controller = &world->controllers[pending->controller_index];
    bool awaited = controller->running && controller->session == pending->session &&
                   !pending->outcome_reported;
    struct trace_machine *machine =
        g_hash_table_lookup(world->machine_by_id, pending->batch->machine);
    bool executed = false;
    if (pending->delivered && machine && machine->up) {
        executed = trace_execute_batch(world, machine, pending->batch);
    }
    if (!awaited) {
        return;
    }
    bool replied = pending->replied && machine && machine->up;
    if (replied) {
        take_command_reply(world, controller, machine, pending->batch->peer);
    }
    rr_core_record_command_result(controller->fixture.core, world->now, pending->batch,
                                  replied         ? RR_COMMAND_ANSWERED
                                  : pending->sent ? RR_COMMAND_OUTCOME_UNKNOWN
                                                  : RR_COMMAND_NOT_SENT,
                                  executed);
    pending->outcome_reported = true;
}

void trace_deliver_commands(struct trace_world *world) {
    for (guint i = 0; i < world->pending_commands->len;) {
        struct trace_pending_command *pending = g_ptr_array_index(world->pending_commands, i);
        if (pending->due_at > world->now) {
            i++;
            continue;
        }
        deliver_command(world, pending);
        if (pending->deliver_late) {
            pending->deliver_late = false;
            pending->delivered = true;
            pending->due_at = world->now + trace_random_double(world, 2, 25);
        } else {
            g_ptr_array_remove_index(world->pending_commands, i);
        }
    }
}

/* ---- plans ---- */

/* Tells the peers which machines this controller finds to answer no commands. */
static void share_suspects(struct trace_world *world, struct trace_controller *controller) {
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    rr_core_list_suspects(controller->fixture.core, world->now, names);
    trace_hash_uint64(&world->hash, names->len);
    for (guint i = 0; i < names->len; i++) {
        trace_hash_text(&world->hash, g_ptr_array_index(names, i));
        for (int k = 0; k < world->scenario.controller_count; k++) {
            struct trace_controller *peer = &world->controllers[k];
            if (peer != controller && peer->running && trace_chance(world, 0.7)) {
                rr_core_mark_suspect(peer->fixture.core, g_ptr_array_index(names, i), world->now);
            }
        }
    }
    g_ptr_array_free(names, TRUE);
}

/* Sets random write pressure in scenarios that have some, else none. */
static void set_write_pressure(struct trace_world *world, struct trace_controller *controller) {
    int changes_max = rr_transaction_changes_max(&controller->fixture.config);
    if (world->scenario.write_pressure) {
        int changes = trace_random_int(world, changes_max + 1);
        double pressure = trace_random_double(world, 0, 1);
        rr_core_set_write_pressure(controller->fixture.core, pressure, changes);
    } else {
        rr_core_set_write_pressure(controller->fixture.core, 0, changes_max);
    }
}

/* Changes the teams' fair shares of the fleet now and then, or removes them. */
static void set_fair_shares(struct trace_world *world, struct trace_controller *controller) {
    double shares[RR_TEAMS_MAX] = {0};
    double machines = world->scenario.own_machines + world->scenario.cloud_machines;
    if (!world->scenario.fair_shares || !trace_chance(world, 0.2)) {
        return;
    }
    for (int i = 0; i < world->scenario.team_count; i++) {
        shares[i] = trace_random_double(world, 0, 1.5 / world->scenario.team_count);
    }
    bool active = trace_chance(world, 0.8);
    rr_core_set_fair_shares(controller->fixture.core, active ? shares : NULL, 16 * machines,
                            4 * machines, 64 * machines);
}

/* Has the core make a plan, sends its commands and commits its transaction. After a commit without
 * a reply, mostly waits until the store cache has that revision. */
static void run_plan(struct trace_world *world, struct trace_controller *controller) {
    rr_core *core = controller->fixture.core;
    rr_plan plan;
    if (rr_core_revision(core) < controller->min_plan_revision && trace_chance(world, 0.9)) {
        return;
    }
    set_write_pressure(world, controller);
    set_fair_shares(world, controller);
    rr_plan_init(&plan);
    rr_core_plan(core, world->now, trace_wall_clock_s(world), &plan);
    trace_hash_plan(&world->hash, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        send_batch(world, controller, g_ptr_array_index(plan.command_batches, i));
    }
    if (plan.has_transaction) {
        trace_commit(world, controller, &plan.transaction);
    }
    rr_plan_clear(&plan);
}

/* Runs a few autoscaler steps. */
static void run_autoscaler(struct trace_world *world, struct trace_controller *controller) {
    for (int i = 0; i < 3; i++) {
        rr_autoscaler_step step;
        rr_autoscaler_step_init(&step);
        trace_run_autoscaler_step(world, controller, &step);
        rr_autoscaler_step_clear(&step);
    }
}

void trace_run_plans(struct trace_world *world) {
    int first = trace_random_int(world, world->scenario.controller_count);
    for (int i = 0; i < world->scenario.controller_count; i++) {
        struct trace_controller *controller =
            &world->controllers[(first + i) % world->scenario.controller_count];
        if (!controller->running) {
            continue;
        }
        run_plan(world, controller);
        run_autoscaler(world, controller);
        share_suspects(world, controller);
    }
}

/* ---- heartbeats ---- */

void trace_heartbeat_copy_free(gpointer pointer) {
    struct trace_heartbeat_copy *copy = pointer;
    rr_heartbeat_clear(&copy->heartbeat);
    g_free(copy);
}

#define HEARTBEAT_COPIES_MAX 64

/* Keeps a copy that deliver_copy may deliver again, late and out of order. */
static void keep_copy(struct trace_world *world, const rr_heartbeat *heartbeat) {
    struct trace_heartbeat_copy *copy = g_new0(struct trace_heartbeat_copy, 1);
    copy->heartbeat = copy_heartbeat(heartbeat);
    copy->forwarding_peer = trace_random_int(world, 3) - 1;
    g_ptr_array_add(world->heartbeat_copies, copy);
    if (world->heartbeat_copies->len > HEARTBEAT_COPIES_MAX) {
        g_ptr_array_remove_index(world->heartbeat_copies,
                                 (guint)trace_random_int(world, HEARTBEAT_COPIES_MAX));
    }
}

static void deliver_copy(struct trace_world *world) {
    struct trace_controller *controller = trace_pick_controller(world);
    if (!controller || world->heartbeat_copies->len == 0) {
        return;
    }
    const struct trace_heartbeat_copy *copy = g_ptr_array_index(
        world->heartbeat_copies, (guint)trace_random_int(world, (int)world->heartbeat_copies->len));
    rr_heartbeat heartbeat = copy_heartbeat(&copy->heartbeat);
    trace_hash_uint64(&world->hash, rr_core_apply_heartbeat(controller->fixture.core, world->now,
                                                            &heartbeat, copy->forwarding_peer));
    rr_heartbeat_clear(&heartbeat);
}

/* Forwards a heartbeat that was not ignored to the peers: in full to subscribers if it changed
 * something, in full to owners now and then, else as a digest. */
static void forward_heartbeat(struct trace_world *world, const struct trace_controller *from,
                              const rr_heartbeat *heartbeat, enum rr_heartbeat_effect effect) {
    uint32_t occasional = 0;
    uint32_t subscribers =
        rr_core_heartbeat_subscribers(from->fixture.core, heartbeat->machine, &occasional);
    rr_heartbeat_digest digest = {.worker_epoch = heartbeat->worker_epoch,
                                  .sequence = heartbeat->sequence,
                                  .hash = rr_heartbeat_hash(heartbeat)};
    g_strlcpy(digest.machine, heartbeat->machine, sizeof digest.machine);
    trace_hash_uint64(&world->hash, subscribers);
    trace_hash_uint64(&world->hash, occasional);
    trace_hash_uint64(&world->hash, digest.hash);
    for (int i = 0; effect != RR_HEARTBEAT_IGNORED && i < world->scenario.controller_count; i++) {
        struct trace_controller *peer = &world->controllers[i];
        if (peer == from || !peer->running ||
            !zones_connected(world, controller_zone(peer), controller_zone(from))) {
            continue;
        }
        uint32_t bit = 1u << trace_peer_index(from, peer);
        int forwarding_peer = trace_peer_index(peer, from);
        if ((effect == RR_HEARTBEAT_CHANGED && (subscribers & bit)) ||
            ((occasional & bit) && trace_chance(world, 0.2))) {
            rr_heartbeat copy = copy_heartbeat(heartbeat);
            trace_hash_uint64(&world->hash, rr_core_apply_heartbeat(peer->fixture.core, world->now,
                                                                    &copy, forwarding_peer));
            rr_heartbeat_clear(&copy);
        } else {
            trace_hash_uint64(&world->hash,
                              rr_core_apply_heartbeat_digest(peer->fixture.core, world->now,
                                                             &digest, forwarding_peer));
        }
    }
}

/* Has the core reply to a heartbeat. A worker whose heartbeat is accepted renews its lease and
 * executes the commands in the reply; any other sends its next heartbeat to a random controller. */
static void reply_to_heartbeat(struct trace_world *world, const struct trace_controller *controller,
                               struct trace_machine *machine, const rr_heartbeat *heartbeat) {
    struct rr_heartbeat_reply reply;
    rr_core_reply_to_heartbeat(controller->fixture.core, world->now, heartbeat, &reply);
    trace_hash_heartbeat_reply(&world->hash, &reply);
    if (reply.status == 200 && reply.fencing_token >= machine->fencing_token) {
        machine->fencing_token = reply.fencing_token;
        machine->lease_until = world->now + controller->fixture.config.lease_s;
        trace_execute_commands(world, machine, reply.commands);
    } else {
        machine->controller_index = trace_random_int(world, world->scenario.controller_count);
    }
    if (reply.commands) {
        g_array_free(reply.commands, TRUE);
    }
}

/* Sends a heartbeat that is due to the worker's controller, which forwards it to the peers. If it
 * gets lost, the worker picks another controller. */
static void send_due_heartbeat(struct trace_world *world, struct trace_machine *machine) {
    const struct trace_controller *controller = &world->controllers[machine->controller_index];
    rr_heartbeat heartbeat;
    machine->heartbeat_at = world->now + 3 * trace_random_double(world, 0.85, 1.15);
    if (machine->heartbeats_lost_until > world->now || !controller->running ||
        !zones_connected(world, controller_zone(controller), machine->zone)) {
        machine->controller_index = trace_random_int(world, world->scenario.controller_count);
        return;
    }
    trace_make_heartbeat(world, machine, &heartbeat);
    rr_heartbeat copy = copy_heartbeat(&heartbeat);
    enum rr_heartbeat_effect effect =
        rr_core_apply_heartbeat(controller->fixture.core, world->now, &copy, -1);
    trace_hash_uint64(&world->hash, effect);
    forward_heartbeat(world, controller, &heartbeat, effect);
    reply_to_heartbeat(world, controller, machine, &heartbeat);
    if (trace_chance(world, 0.03)) {
        keep_copy(world, &heartbeat);
    }
    rr_heartbeat_clear(&copy);
    rr_heartbeat_clear(&heartbeat);
}

void trace_send_heartbeats(struct trace_world *world) {
    for (guint i = 0; i < world->machines->len; i++) {
        struct trace_machine *machine = g_ptr_array_index(world->machines, i);
        if (machine->up && machine->frozen_until <= world->now &&
            machine->heartbeat_at <= world->now) {
            send_due_heartbeat(world, machine);
        }
    }
    int copies = trace_chance(world, 0.05) ? 12 : trace_chance(world, 0.3) ? 1 : 0;
    for (int i = 0; i < copies; i++) {
        deliver_copy(world);
    }
}
