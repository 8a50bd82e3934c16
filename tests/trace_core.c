/* The scenarios of the decision trace, their faults, and the steps of a run. */
#include "core/leadership.h"
#include "trace_world.h"

#include <string.h>

const char *const trace_zone_names[TRACE_ZONES] = {"a", "b", "c"};

/* Each runs with several seeds. */
static const struct trace_scenario scenarios[] = {
    {.name = "services that are submitted and cancelled, on machines that become idle",
     .controller_count = 2,
     .team_count = 2,
     .own_machines = 4,
     .cloud_machines = 40,
     .jobs_per_s = 0.25,
     .initial_jobs = 25,
     .runtime_s = 30,
     .array_weight = 1,
     .service_weight = 9,
     .cancels_per_s = 0.25,
     .faults_per_s = 0.01,
     .rebalancing = true},
    {.name = "arrays",
     .controller_count = 3,
     .team_count = 3,
     .own_machines = 60,
     .cloud_machines = 20,
     .jobs_per_s = 0.8,
     .initial_jobs = 20,
     .runtime_s = 15,
     .array_weight = 9,
     .service_weight = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.05,
     .failing_job_share = 0.2,
     .lost_reply_share = 0.03},
    {.name = "gangs on a full fleet",
     .controller_count = 2,
     .team_count = 3,
     .own_machines = 14,
     .cloud_machines = 2,
     .jobs_per_s = 0.3,
     .initial_jobs = 20,
     .runtime_s = 30,
     .array_weight = 3,
     .service_weight = 1,
     .gang_weight = 6,
     .urgent_percent = 40,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.02,
     .lost_reply_share = 0.02},
    {.name = "urgent jobs that preempt others",
     .controller_count = 3,
     .team_count = 4,
     .own_machines = 30,
     .jobs_per_s = 0.6,
     .initial_jobs = 30,
     .runtime_s = 40,
     .array_weight = 6,
     .service_weight = 3,
     .gang_weight = 1,
     .urgent_percent = 50,
     .cancels_per_s = 0.1,
     .team_limits = true},
    {.name = "every fault",
     .controller_count = 3,
     .team_count = 3,
     .own_machines = 60,
     .cloud_machines = 40,
     .jobs_per_s = 0.5,
     .initial_jobs = 20,
     .runtime_s = 25,
     .array_weight = 5,
     .service_weight = 3,
     .gang_weight = 2,
     .urgent_percent = 20,
     .cancels_per_s = 0.1,
     .faults_per_s = 0.25,
     .takeovers_per_s = 0.01,
     .partitions_per_s = 0.005,
     .spot_notices_per_s = 0.05,
     .failing_job_share = 0.1,
     .lost_reply_share = 0.1,
     .foreign_records = true},
    {.name = "network partitions and takeovers",
     .controller_count = 3,
     .team_count = 4,
     .own_machines = 45,
     .jobs_per_s = 0.4,
     .initial_jobs = 20,
     .runtime_s = 30,
     .array_weight = 5,
     .service_weight = 4,
     .gang_weight = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.03,
     .takeovers_per_s = 0.03,
     .partitions_per_s = 0.015,
     .lost_reply_share = 0.05},
    {.name = "spot machines",
     .controller_count = 2,
     .team_count = 2,
     .own_machines = 3,
     .cloud_machines = 60,
     .jobs_per_s = 0.6,
     .initial_jobs = 15,
     .runtime_s = 15,
     .array_weight = 6,
     .service_weight = 3,
     .gang_weight = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.05,
     .spot_notices_per_s = 0.15,
     .failing_job_share = 0.03,
     .lost_reply_share = 0.03},
    {.name = "lowered store limits",
     .controller_count = 3,
     .team_count = 3,
     .own_machines = 80,
     .cloud_machines = 10,
     .jobs_per_s = 0.5,
     .initial_jobs = 40,
     .runtime_s = 25,
     .array_weight = 8,
     .service_weight = 1,
     .gang_weight = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.05,
     .takeovers_per_s = 0.005,
     .lost_reply_share = 0.05,
     .lower_store_limits = true},
    {.name = "a large fleet",
     .controller_count = 3,
     .team_count = 5,
     .own_machines = 300,
     .jobs_per_s = 0.9,
     .initial_jobs = 60,
     .runtime_s = 40,
     .array_weight = 6,
     .service_weight = 3,
     .gang_weight = 1,
     .urgent_percent = 10,
     .cancels_per_s = 0.1,
     .faults_per_s = 0.2,
     .partitions_per_s = 0.005,
     .failing_job_share = 0.1,
     .lost_reply_share = 0.02},
    {.name = "a small fleet under write pressure",
     .controller_count = 2,
     .team_count = 2,
     .own_machines = 10,
     .cloud_machines = 4,
     .jobs_per_s = 0.3,
     .initial_jobs = 8,
     .runtime_s = 12,
     .array_weight = 6,
     .service_weight = 3,
     .gang_weight = 1,
     .urgent_percent = 30,
     .cancels_per_s = 0.1,
     .faults_per_s = 0.03,
     .takeovers_per_s = 0.01,
     .failing_job_share = 0.2,
     .lost_reply_share = 0.05,
     .write_pressure = true},
    {.name = "fair shares, limits and guarantees",
     .controller_count = 3,
     .team_count = 5,
     .own_machines = 25,
     .cloud_machines = 5,
     .jobs_per_s = 0.7,
     .initial_jobs = 30,
     .runtime_s = 25,
     .array_weight = 7,
     .service_weight = 2,
     .gang_weight = 1,
     .urgent_percent = 25,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.02,
     .team_limits = true,
     .fair_shares = true,
     .write_pressure = true},
    {.name = "jobs held for other cells",
     .controller_count = 2,
     .team_count = 3,
     .own_machines = 30,
     .cloud_machines = 10,
     .jobs_per_s = 0.5,
     .initial_jobs = 20,
     .runtime_s = 25,
     .array_weight = 5,
     .service_weight = 4,
     .gang_weight = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.01,
     .takeovers_per_s = 0.01,
     .lost_reply_share = 0.02,
     .job_holds = true,
     .rebalancing = true}};

/* ---- random numbers ---- */

bool trace_chance(struct trace_world *world, double probability) {
    return probability > 0 && g_rand_double(world->random) < probability;
}

int trace_random_int(struct trace_world *world, int below) {
    return below > 1 ? g_rand_int_range(world->random, 0, below) : 0;
}

double trace_random_double_from(GRand *random, double from, double below) {
    double number = g_rand_double(random);
    return number * below - (number - 1) * from;
}

double trace_random_double(struct trace_world *world, double from, double below) {
    return trace_random_double_from(world->random, from, below);
}

/* ---- faults ---- */

/* Lets a random machine die, be replaced, hang, lose its messages or fail its tasks for a while, or
 * the cloud refuse rentals, or the timers of the first controller fire late. */
static void inject_fault(struct trace_world *world) {
    struct trace_machine *machine = trace_pick_machine(world);
    double until = world->now + trace_random_double(world, 5, 60);
    if (!machine) {
        return;
    }
    switch (trace_random_int(world, 8)) {
    case 0:
        trace_machine_kill(machine);
        machine->listed = trace_chance(world, 0.5);
        break;
    case 1:
        trace_machine_replace(world, machine);
        break;
    case 2:
        machine->frozen_until = until;
        break;
    case 3:
        machine->heartbeats_lost_until = until;
        break;
    case 4:
        machine->commands_lost_until = until;
        break;
    case 5:
        machine->tasks_fail_until = until;
        break;
    case 6:
        world->rentals_refused_until = until;
        break;
    default:
        rr_core_record_late_timers(world->controllers[0].fixture.core, world->now);
    }
}

/* Cuts a random zone off from the others for a while. */
static void partition_zone(struct trace_world *world) {
    int zone = trace_random_int(world, TRACE_ZONES);
    world->partitioned_until[zone] = world->now + trace_random_double(world, 8, 50);
}

/* Gives a random spot machine notice that it will be reclaimed. */
static void give_spot_notice(struct trace_world *world) {
    guint first = (guint)trace_random_int(world, (int)world->machines->len);
    for (guint i = 0; i < world->machines->len; i++) {
        struct trace_machine *machine =
            g_ptr_array_index(world->machines, (first + i) % world->machines->len);
        if (machine->up && machine->spot && machine->terminates_at < 0) {
            machine->terminates_at = world->now + trace_random_double(world, 4, 20);
            return;
        }
    }
}

/* Lowers the store's limits in two steps. First all controllers restart with settings that name the
 * next limits, unless they started with them; by then larger records may have been written. Later
 * the store enforces the limits. */
static void lower_store_limits(struct trace_world *world) {
    const struct rr_config *config = &world->controllers[0].fixture.config;
    if (world->steps == TRACE_STEPS / 4 && !world->limits_announced) {
        world->limits_announced = true;
        for (int i = 0; i < world->scenario.controller_count; i++) {
            trace_controller_start(world, i);
        }
    }
    if (world->steps == TRACE_STEPS / 3) {
        world->store->value_bytes_max = (size_t)(config->next_value_kb * 1024);
        world->store->change_count_max = (guint)config->next_transaction_changes_max;
        world->limits_lowered = true;
    }
}

/* Injects the faults of a step of this length, at the rates of the scenario. */
static void inject_faults(struct trace_world *world, double seconds) {
    const struct trace_scenario *scenario = &world->scenario;
    struct trace_controller *controller =
        &world->controllers[trace_random_int(world, scenario->controller_count)];
    if (trace_chance(world, scenario->faults_per_s * seconds)) {
        inject_fault(world);
    }
    if (trace_chance(world, scenario->partitions_per_s * seconds)) {
        partition_zone(world);
    }
    if (trace_chance(world, scenario->spot_notices_per_s * seconds)) {
        give_spot_notice(world);
    }
    if (trace_chance(world, scenario->takeovers_per_s * seconds) && controller->running &&
        !controller->store_unreachable) {
        trace_controller_stop(world, controller, trace_random_double(world, 2, 40));
    }
    if (controller->running && trace_chance(world, 0.005)) {
        trace_controller_reload(world, controller);
    }
    if (scenario->foreign_records && trace_chance(world, 0.1 * seconds)) {
        trace_write_foreign_record(world);
    }
    if (scenario->lower_store_limits) {
        lower_store_limits(world);
    }
}

/* ---- the run of one seed ---- */

/* Creates the operator's machines. Some are recorded in the key-value store already, the others are
 * known from the cloud's lists alone. */
static void create_fleet(struct trace_world *world) {
    static const char *const type_names[] = {"m1", "m1", "m2", "m3"};
    for (int i = 1; i <= world->scenario.own_machines; i++) {
        struct trace_machine *machine =
            trace_machine_create(world, i, type_names[trace_random_int(world, 4)],
                                 trace_zone_names[i % TRACE_ZONES], false);
        machine->created_at = world->now - 100;
        machine->boots_at = world->now;
        if (trace_chance(world, 0.05)) {
            fake_store_put_machine(world->store, machine->id, machine->zone, false, true);
            machine->type = "m1";
        }
    }
}

static void world_init(struct trace_world *world, unsigned seed) {
    memset(world, 0, sizeof *world);
    world->scenario = scenarios[seed % G_N_ELEMENTS(scenarios)];
    world->scenario.log_level = seed % 5 == 0 ? 2 : 0; /* log lines are formatted, then discarded */
    world->limits_announced = world->scenario.lower_store_limits && seed <= G_N_ELEMENTS(scenarios);
    world->random = g_rand_new_with_seed(seed);
    trace_hash_init(&world->hash);
    world->now = 1000;
    world->step_max_s = 0.9;
    if (seed % 5 == 3) { /* a longer run with about as many jobs */
        world->step_max_s = 3.5;
        world->scenario.jobs_per_s *= 0.25;
    }
    world->store = fake_store_create();
    world->machines = g_ptr_array_new_with_free_func(trace_machine_free);
    world->machine_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    world->jobs = g_ptr_array_new_with_free_func(g_free);
    world->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    world->pending_commands = g_ptr_array_new_with_free_func(trace_pending_command_free);
    world->heartbeat_copies = g_ptr_array_new_with_free_func(trace_heartbeat_copy_free);
    world->rentals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    create_fleet(world);
    for (int i = 0; i < world->scenario.controller_count; i++) {
        trace_controller_start(world, i);
    }
    /* Enforced with some seeds only, as checking the limits at each commit is slow. */
    if (world->scenario.lower_store_limits || seed % 4 == 0) {
        world->store->value_bytes_max =
            (size_t)(world->controllers[0].fixture.config.value_kb * 1024);
        world->store->change_count_max =
            (guint)world->controllers[0].fixture.config.transaction_changes_max;
    }
}

static void world_clear(struct trace_world *world) {
    for (int i = 0; i < world->scenario.controller_count; i++) {
        test_controller_clear(&world->controllers[i].fixture);
    }
    g_hash_table_destroy(world->rentals);
    g_ptr_array_free(world->heartbeat_copies, TRUE);
    g_ptr_array_free(world->pending_commands, TRUE);
    g_hash_table_destroy(world->job_by_id);
    g_ptr_array_free(world->jobs, TRUE);
    g_hash_table_destroy(world->machine_by_id);
    g_ptr_array_free(world->machines, TRUE);
    fake_store_destroy(world->store);
    g_rand_free(world->random);
}

#define INITIAL_JOBS_STEP 15

static void world_step(struct trace_world *world) {
    double seconds = trace_random_double(world, 0.2, world->step_max_s);
    world->now += seconds;
    world->steps++;
    inject_faults(world, seconds);
    trace_advance_workers(world);
    trace_advance_sessions(world);
    trace_run_users(world, seconds);
    for (int i = 0; world->steps == INITIAL_JOBS_STEP && i < world->scenario.initial_jobs; i++) {
        trace_submit_jobs(world);
    }
    trace_deliver_commands(world);
    trace_send_heartbeats(world);
    trace_run_plans(world);
    trace_deliver_commands(world);
}

#define QUERY_INTERVAL_STEPS 25

/* Hashes the state of all running controllers: in full at intervals, else that of some jobs. */
static void query_controllers(struct trace_world *world) {
    for (int i = 0; i < world->scenario.controller_count; i++) {
        struct trace_controller *controller = &world->controllers[i];
        if (controller->running && world->steps % QUERY_INTERVAL_STEPS == 0) {
            trace_query_core(world, controller);
        } else if (controller->running) {
            trace_poll_jobs(world, controller);
        }
    }
}

void trace_run_core(unsigned seed, GString *out) {
    struct trace_world world;
    world_init(&world, seed);
    while (world.steps < TRACE_STEPS) {
        world_step(&world);
        query_controllers(&world);
        if (world.steps % TRACE_CHECKPOINT_STEPS == 0) {
            g_string_append_printf(out, "core seed %u step %u %016" G_GINT64_MODIFIER "x\n", seed,
                                   world.steps, world.hash.value);
        }
    }
    world_clear(&world);
}
