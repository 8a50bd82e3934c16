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

static const char *const node_names[TRACE_CONTROLLERS] = {"n0", "n1", "n2"};
static const char *const team_names[] = {"red", "blue", "green", "amber", "violet"};

double trace_wall(const struct trace_world *world) {
    return TRACE_WALL + world->now;
}

bool trace_is_cut(const struct trace_world *world, const char *zone) {
    for (int i = 0; i < TRACE_ZONES; i++) {
        if (strcmp(trace_zone_names[i], zone) == 0) {
            return world->cut_until[i] > world->now;
        }
    }
    return false;
}

static bool reaches(const struct trace_world *world, const char *zone, const char *other) {
    return strcmp(zone, other) == 0 || (!trace_is_cut(world, zone) && !trace_is_cut(world, other));
}

static const char *zone_of(const struct trace_controller *controller) {
    return trace_zone_names[controller->index];
}

/* The key-value store stands in the first zone. */
static bool has_store(const struct trace_world *world, const struct trace_controller *controller) {
    return controller->running && !controller->wedged &&
           reaches(world, zone_of(controller), trace_zone_names[0]);
}

struct trace_controller *trace_any_controller(struct trace_world *world) {
    int first = trace_roll(world, world->scenario.controllers);
    for (int i = 0; i < world->scenario.controllers; i++) {
        struct trace_controller *controller =
            &world->controllers[(first + i) % world->scenario.controllers];
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
    config->team_count = (size_t)scenario->teams;
    for (int i = 0; i < scenario->teams; i++) {
        struct rr_team_config *team = &config->teams[i];
        g_strlcpy(team->name, team_names[i], sizeof team->name);
        if (scenario->limited_teams) {
            team->cpus = 20 + 30 * i;
            team->gpus = i == 1 ? 4 : 0;
            team->cpus_max = i % 2 == 0 ? 80 + 60 * i : 0;
            team->gpus_max = i == 2 ? 6 : 0;
        }
    }
}

static void configure(const struct trace_world *world, int index, struct rr_config *config) {
    const struct trace_scenario *scenario = &world->scenario;
    test_config_init(config, node_names[index]);
    g_strlcpy(config->zone, trace_zone_names[index], sizeof config->zone);
    for (int i = 0, peer = 0; i < TRACE_CONTROLLERS; i++) {
        if (i != index) {
            g_strlcpy(config->peers[peer++].zone, trace_zone_names[i], RR_NAME_SIZE);
        }
    }
    set_teams(scenario, config);
    config->transaction_changes_max = scenario->lowered_limits ? 8 : 16;
    config->cells = scenario->holds;
    config->admission = scenario->fair_room;
    config->tuning.rebalance = scenario->rounds;
    config->tuning.rebalance_period_s = 8;
    config->tuning.rebalance_moves = scenario->holds ? 1 : 4;
    config->tuning.rebalance_share = scenario->holds ? 0 : 0.05;
    config->tuning.headroom = scenario->cloud_machines > 30 ? 1 : 0;
    if (world->announced) {
        config->next_value_kb = 1;
        config->next_transaction_changes_max = 6;
    }
}

static void drop_line(int level, const char *line) {
    (void)level;
    (void)line;
}

static void join(struct trace_world *world, struct trace_controller *controller) {
    char key[RR_NAME_SIZE + 16];
    rr_encoder out;
    controller->session = ++world->sessions;
    controller->session_until = world->now + rr_session_lease_s(&controller->node.config);
    controller->joined = true;
    rr_encoder_init(&out);
    if (world->scenario.odd_records && trace_chance(world, 0.1)) {
        rr_encode_map(&out, 1); /* a version that knows no gangs */
        rr_encode_key_u64(&out, "tether", controller->session);
    } else {
        rr_core_encode_session(&controller->node.config, &out, controller->session);
    }
    trace_bytes(&world->hash, out.buffer.data, out.buffer.size);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", controller->node.config.node_name);
    fake_store_put(world->store, key, &out);
    rr_core_set_session(controller->node.core, controller->session, controller->session_until);
}

static void leave(struct trace_world *world, struct trace_controller *controller) {
    char key[RR_NAME_SIZE + 16];
    rr_transaction transaction;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", controller->node.config.node_name);
    rr_transaction_init(&transaction);
    rr_transaction_delete(&transaction, key);
    fake_store_commit(world->store, &transaction);
    rr_transaction_clear(&transaction);
    controller->joined = false;
}

void trace_controller_start(struct trace_world *world, int index) {
    struct trace_controller *controller = &world->controllers[index];
    test_controller *node = &controller->node;
    bool first = node->core == NULL;
    controller->index = index;
    if (!first) {
        test_controller_clear(node);
    }
    memset(node, 0, sizeof *node);
    configure(world, index, &node->config);
    node->store = world->store;
    node->core = rr_core_create(&node->config);
    node->spot_notice_s = -1;
    node->now = world->now;
    rr_core_set_log(node->core, drop_line, world->scenario.log_level);
    controller->running = true;
    controller->wedged = false;
    controller->need = 0;
    if (!first) {
        fake_store_reload(world->store, node->core, world->now);
        trace_questions(world, controller);
    }
    join(world, controller);
}

void trace_controller_stop(struct trace_world *world, struct trace_controller *controller,
                           double seconds) {
    controller->back_at = world->now + seconds;
    if (trace_chance(world, 0.6)) {
        controller->running = false;
    } else {
        controller->wedged = true;
    }
}

void trace_controller_reread(struct trace_world *world, struct trace_controller *controller) {
    if (has_store(world, controller)) {
        fake_store_reload(world->store, controller->node.core, world->now);
    }
}

/* ---- transactions ---- */

bool trace_commit(struct trace_world *world, struct trace_controller *controller,
                  const rr_transaction *transaction) {
    rr_core *core = controller->node.core;
    trace_txn(&world->hash, transaction);
    if (!has_store(world, controller)) {
        return false;
    }
    int rc = fake_store_commit(world->store, transaction);
    trace_int(&world->hash, (uint64_t)(int64_t)rc);
    if (rc == -EINVAL) {
        assert_true(world->lowered);
        rr_core_activate_next_limits(core, trace_chance(world, 0.3));
        return false;
    }
    if (rc == 0 && !trace_chance(world, world->scenario.lost_answers)) {
        rr_core_cache_apply_transaction(core, transaction, world->store->revision, world->now);
    } else {
        controller->need = world->store->revision;
    }
    return rc == 0;
}

/* ---- sessions and terms ---- */

static void renew(struct trace_world *world, struct trace_controller *controller) {
    bool lasts = world->now < controller->session_until;
    if (!controller->running && world->now >= controller->back_at) {
        trace_controller_start(world, controller->index);
        return;
    }
    if (controller->wedged && world->now >= controller->back_at) {
        controller->wedged = false;
    }
    if (controller->joined && !lasts) {
        leave(world, controller);
    }
    if (has_store(world, controller) && controller->joined) {
        controller->session_until = world->now + rr_session_lease_s(&controller->node.config);
        rr_core_set_session(controller->node.core, controller->session,
                            controller->session_until - 0.5);
    } else if (has_store(world, controller)) {
        join(world, controller);
    }
}

static void catch_up(struct trace_world *world, struct trace_controller *controller) {
    controller->node.now = world->now;
    if (has_store(world, controller) && trace_chance(world, 0.85)) {
        fake_store_sync(world->store, controller->node.core, world->now);
    }
}

static void next_term(struct trace_world *world, struct trace_controller *controller) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    if (has_store(world, controller) &&
        rr_core_add_next_term_record(controller->node.core, world->now, trace_wall(world),
                                     &transaction)) {
        trace_commit(world, controller, &transaction);
    }
    rr_transaction_clear(&transaction);
}

static void hear_peers(struct trace_world *world, struct trace_controller *controller) {
    for (int i = 0; i < world->scenario.controllers; i++) {
        const struct trace_controller *peer = &world->controllers[i];
        if (peer != controller && peer->running &&
            reaches(world, zone_of(peer), zone_of(controller))) {
            rr_core_record_peer_contact(controller->node.core, world->now,
                                        trace_peer_index(controller, peer));
        }
    }
}

void trace_sessions(struct trace_world *world) {
    for (int i = 0; i < world->scenario.controllers; i++) {
        renew(world, &world->controllers[i]);
    }
    for (int i = 0; i < world->scenario.controllers; i++) {
        struct trace_controller *controller = &world->controllers[i];
        if (controller->running) {
            catch_up(world, controller);
            next_term(world, controller);
            hear_peers(world, controller);
        }
    }
}

/* ---- commands ---- */

void trace_flight_free(gpointer pointer) {
    struct trace_flight *flight = pointer;
    rr_command_batch_free(flight->command);
    g_free(flight);
}

static bool command_reaches(const struct trace_world *world,
                            const struct trace_controller *controller,
                            const struct trace_machine *machine, const rr_command_batch *command) {
    const struct trace_controller *from = controller;
    if (command->peer >= 0) {
        int index = command->peer < controller->index ? command->peer : command->peer + 1;
        from = &world->controllers[index];
        if (!from->running || !reaches(world, zone_of(controller), zone_of(from))) {
            return false;
        }
    }
    return machine && machine->up && machine->hung_until <= world->now &&
           machine->deaf_until <= world->now && reaches(world, zone_of(from), machine->zone);
}

static void send_command(struct trace_world *world, const struct trace_controller *controller,
                         const rr_command_batch *command) {
    const struct trace_machine *machine =
        g_hash_table_lookup(world->machine_by_id, command->machine);
    struct trace_flight *flight = g_new0(struct trace_flight, 1);
    flight->controller = controller->index;
    flight->session = controller->session;
    flight->command = g_memdup2(command, sizeof *command);
    flight->command->commands = g_array_copy(command->commands);
    flight->due = world->now + (trace_chance(world, 0.6) ? 0 : trace_between(world, 0.1, 1.5));
    flight->arrives = flight->answered = command_reaches(world, controller, machine, command);
    flight->sent = flight->arrives || (machine && machine->up && trace_chance(world, 0.7));
    if (flight->arrives && trace_chance(world, world->scenario.lost_answers)) {
        flight->answered = false;
        flight->arrives = trace_chance(world, 0.5);
        flight->late = !flight->arrives && trace_chance(world, 0.5);
    }
    g_ptr_array_add(world->flights, flight);
}

static rr_heartbeat copy_report(const rr_heartbeat *heartbeat) {
    rr_heartbeat copy = *heartbeat;
    copy.tasks = g_array_copy(heartbeat->tasks);
    return copy;
}

/* The machine's answer shows it as a report does, and others may take it for one. */
static void take_answer(struct trace_world *world, const struct trace_controller *controller,
                        struct trace_machine *machine, int via) {
    rr_heartbeat heartbeat;
    trace_report_of(world, machine, &heartbeat);
    rr_heartbeat copy = copy_report(&heartbeat);
    bool others = rr_core_apply_command_reply(controller->node.core, world->now, &heartbeat, via);
    trace_int(&world->hash, others);
    for (int i = 0; others && i < world->scenario.controllers; i++) {
        struct trace_controller *peer = &world->controllers[i];
        if (peer != controller && peer->running &&
            reaches(world, zone_of(peer), zone_of(controller))) {
            rr_heartbeat passed = copy_report(&copy);
            trace_int(&world->hash, rr_core_apply_heartbeat(peer->node.core, world->now, &passed,
                                                            trace_peer_index(peer, controller)));
            rr_heartbeat_clear(&passed);
        }
    }
    rr_heartbeat_clear(&copy);
    rr_heartbeat_clear(&heartbeat);
}

static void arrive(struct trace_world *world, struct trace_flight *flight) {
    const struct trace_controller *controller = &world->controllers[flight->controller];
    bool waits = controller->running && controller->session == flight->session && !flight->judged;
    struct trace_machine *machine =
        g_hash_table_lookup(world->machine_by_id, flight->command->machine);
    bool executed = false;
    if (flight->arrives && machine && machine->up) {
        executed = trace_execute(world, machine, flight->command);
    }
    if (!waits) {
        return;
    }
    bool answered = flight->answered && machine && machine->up;
    if (answered) {
        take_answer(world, controller, machine, flight->command->peer);
    }
    rr_core_record_command_result(controller->node.core, world->now, flight->command,
                                  answered       ? RR_COMMAND_ANSWERED
                                  : flight->sent ? RR_COMMAND_OUTCOME_UNKNOWN
                                                 : RR_COMMAND_NOT_SENT,
                                  executed);
    flight->judged = true;
}

void trace_flights(struct trace_world *world) {
    for (guint i = 0; i < world->flights->len;) {
        struct trace_flight *flight = g_ptr_array_index(world->flights, i);
        if (flight->due > world->now) {
            i++;
            continue;
        }
        arrive(world, flight);
        if (flight->late) {
            flight->late = false;
            flight->arrives = true;
            flight->due = world->now + trace_between(world, 2, 25);
        } else {
            g_ptr_array_remove_index(world->flights, i);
        }
    }
}

/* ---- plans ---- */

static void tell_suspects(struct trace_world *world, struct trace_controller *controller) {
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    rr_core_list_suspects(controller->node.core, world->now, names);
    trace_int(&world->hash, names->len);
    for (guint i = 0; i < names->len; i++) {
        trace_text(&world->hash, g_ptr_array_index(names, i));
        for (int k = 0; k < world->scenario.controllers; k++) {
            struct trace_controller *peer = &world->controllers[k];
            if (peer != controller && peer->running && trace_chance(world, 0.7)) {
                rr_core_mark_suspect(peer->node.core, g_ptr_array_index(names, i), world->now);
            }
        }
    }
    g_ptr_array_free(names, TRUE);
}

static void set_pressure(struct trace_world *world, struct trace_controller *controller) {
    int all = rr_transaction_changes_max(&controller->node.config);
    if (world->scenario.short_of_changes) {
        rr_core_set_write_pressure(controller->node.core, trace_between(world, 0, 1),
                                   trace_roll(world, all + 1));
    } else {
        rr_core_set_write_pressure(controller->node.core, 0, all);
    }
}

static void set_fair_room(struct trace_world *world, struct trace_controller *controller) {
    double fair_shares[RR_TEAMS_MAX] = {0};
    double machines = world->scenario.own_machines + world->scenario.cloud_machines;
    if (!world->scenario.fair_room || !trace_chance(world, 0.2)) {
        return;
    }
    for (int i = 0; i < world->scenario.teams; i++) {
        fair_shares[i] = trace_between(world, 0, 1.5 / world->scenario.teams);
    }
    bool active = trace_chance(world, 0.8);
    rr_core_set_fair_shares(controller->node.core, active ? fair_shares : NULL, 16 * machines,
                            4 * machines, 64 * machines);
}

static void plan(struct trace_world *world, struct trace_controller *controller) {
    rr_core *core = controller->node.core;
    rr_plan made;
    if (rr_core_revision(core) < controller->need && trace_chance(world, 0.9)) {
        return;
    }
    set_pressure(world, controller);
    set_fair_room(world, controller);
    rr_plan_init(&made);
    rr_core_plan(core, world->now, trace_wall(world), &made);
    trace_plan(&world->hash, &made);
    for (guint i = 0; i < made.command_batches->len; i++) {
        send_command(world, controller, g_ptr_array_index(made.command_batches, i));
    }
    if (made.has_transaction) {
        trace_commit(world, controller, &made.transaction);
    }
    rr_plan_clear(&made);
}

static void step_provisioner(struct trace_world *world, struct trace_controller *controller) {
    for (int i = 0; i < 3; i++) {
        rr_autoscaler_step step;
        rr_autoscaler_step_init(&step);
        trace_cloud_step(world, controller, &step);
        rr_autoscaler_step_clear(&step);
    }
}

void trace_plans(struct trace_world *world) {
    int first = trace_roll(world, world->scenario.controllers);
    for (int i = 0; i < world->scenario.controllers; i++) {
        struct trace_controller *controller =
            &world->controllers[(first + i) % world->scenario.controllers];
        if (!controller->running) {
            continue;
        }
        plan(world, controller);
        step_provisioner(world, controller);
        tell_suspects(world, controller);
    }
}

/* ---- reports ---- */

void trace_copy_free(gpointer pointer) {
    struct trace_copy *copy = pointer;
    rr_heartbeat_clear(&copy->report);
    g_free(copy);
}

#define COPIES_MAX 64

static void keep_copy(struct trace_world *world, const rr_heartbeat *heartbeat) {
    struct trace_copy *copy = g_new0(struct trace_copy, 1);
    copy->report = copy_report(heartbeat);
    copy->via = trace_roll(world, 3) - 1;
    g_ptr_array_add(world->copies, copy);
    if (world->copies->len > COPIES_MAX) {
        g_ptr_array_remove_index(world->copies, (guint)trace_roll(world, COPIES_MAX));
    }
}

static void deliver_copy(struct trace_world *world) {
    struct trace_controller *controller = trace_any_controller(world);
    if (!controller || world->copies->len == 0) {
        return;
    }
    const struct trace_copy *copy =
        g_ptr_array_index(world->copies, (guint)trace_roll(world, (int)world->copies->len));
    rr_heartbeat heartbeat = copy_report(&copy->report);
    trace_int(&world->hash,
              rr_core_apply_heartbeat(controller->node.core, world->now, &heartbeat, copy->via));
    rr_heartbeat_clear(&heartbeat);
}

/* What one controller has heard goes to the others: whole, or as a sign of life. */
static void pass_on(struct trace_world *world, const struct trace_controller *from,
                    const rr_heartbeat *heartbeat, enum rr_heartbeat_effect news) {
    uint32_t now_and_then = 0;
    uint32_t wanted =
        rr_core_heartbeat_subscribers(from->node.core, heartbeat->machine, &now_and_then);
    rr_heartbeat_digest heard = {.worker_epoch = heartbeat->worker_epoch,
                                 .sequence = heartbeat->sequence,
                                 .hash = rr_heartbeat_hash(heartbeat)};
    g_strlcpy(heard.machine, heartbeat->machine, sizeof heard.machine);
    trace_int(&world->hash, wanted);
    trace_int(&world->hash, now_and_then);
    trace_int(&world->hash, heard.hash);
    for (int i = 0; news != RR_HEARTBEAT_IGNORED && i < world->scenario.controllers; i++) {
        struct trace_controller *peer = &world->controllers[i];
        if (peer == from || !peer->running || !reaches(world, zone_of(peer), zone_of(from))) {
            continue;
        }
        uint32_t bit = 1u << trace_peer_index(from, peer);
        int via = trace_peer_index(peer, from);
        if ((news == RR_HEARTBEAT_CHANGED && (wanted & bit)) ||
            ((now_and_then & bit) && trace_chance(world, 0.2))) {
            rr_heartbeat copy = copy_report(heartbeat);
            trace_int(&world->hash,
                      rr_core_apply_heartbeat(peer->node.core, world->now, &copy, via));
            rr_heartbeat_clear(&copy);
        } else {
            trace_int(&world->hash,
                      rr_core_apply_heartbeat_digest(peer->node.core, world->now, &heard, via));
        }
    }
}

static void answer(struct trace_world *world, const struct trace_controller *controller,
                   struct trace_machine *machine, const rr_heartbeat *heartbeat) {
    struct rr_heartbeat_reply given;
    rr_core_reply_to_heartbeat(controller->node.core, world->now, heartbeat, &given);
    trace_answer(&world->hash, &given);
    if (given.status == 200 && given.fencing_token >= machine->fencing_token) {
        machine->fencing_token = given.fencing_token;
        machine->lease_until = world->now + controller->node.config.lease_s;
        trace_execute_orders(world, machine, given.commands);
    } else {
        machine->controller = trace_roll(world, world->scenario.controllers);
    }
    if (given.commands) {
        g_array_free(given.commands, TRUE);
    }
}

static void report_once(struct trace_world *world, struct trace_machine *machine) {
    const struct trace_controller *controller = &world->controllers[machine->controller];
    rr_heartbeat heartbeat;
    machine->report_at = world->now + 3 * trace_between(world, 0.85, 1.15);
    if (machine->mute_until > world->now || !controller->running ||
        !reaches(world, zone_of(controller), machine->zone)) {
        machine->controller = trace_roll(world, world->scenario.controllers);
        return;
    }
    trace_report_of(world, machine, &heartbeat);
    rr_heartbeat copy = copy_report(&heartbeat);
    enum rr_heartbeat_effect news =
        rr_core_apply_heartbeat(controller->node.core, world->now, &copy, -1);
    trace_int(&world->hash, news);
    pass_on(world, controller, &heartbeat, news);
    answer(world, controller, machine, &heartbeat);
    if (trace_chance(world, 0.03)) {
        keep_copy(world, &heartbeat);
    }
    rr_heartbeat_clear(&copy);
    rr_heartbeat_clear(&heartbeat);
}

void trace_reports(struct trace_world *world) {
    for (guint i = 0; i < world->machines->len; i++) {
        struct trace_machine *machine = g_ptr_array_index(world->machines, i);
        if (machine->up && machine->hung_until <= world->now && machine->report_at <= world->now) {
            report_once(world, machine);
        }
    }
    int copies = trace_chance(world, 0.05) ? 12 : trace_chance(world, 0.3) ? 1 : 0;
    for (int i = 0; i < copies; i++) {
        deliver_copy(world);
    }
}
