#include "core/leadership.h"
#include "trace_world.h"

#include <string.h>

const char *const trace_zone_names[TRACE_ZONES] = {"a", "b", "c"};

/* Each is played with several seeds. */
static const struct trace_scenario scenarios[] = {
    {.name = "services that come and go, on machines that empty",
     .controllers = 2,
     .teams = 2,
     .own_machines = 4,
     .cloud_machines = 40,
     .jobs_per_s = 0.25,
     .first_jobs = 25,
     .runtime_s = 30,
     .arrays = 1,
     .services = 9,
     .cancels_per_s = 0.25,
     .faults_per_s = 0.01,
     .rounds = true},
    {.name = "arrays",
     .controllers = 3,
     .teams = 3,
     .own_machines = 60,
     .cloud_machines = 20,
     .jobs_per_s = 0.8,
     .first_jobs = 20,
     .runtime_s = 15,
     .arrays = 9,
     .services = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.05,
     .failing_jobs = 0.2,
     .lost_answers = 0.03},
    {.name = "gangs on a full fleet",
     .controllers = 2,
     .teams = 3,
     .own_machines = 14,
     .cloud_machines = 2,
     .jobs_per_s = 0.3,
     .first_jobs = 20,
     .runtime_s = 30,
     .arrays = 3,
     .services = 1,
     .gangs = 6,
     .urgent = 40,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.02,
     .lost_answers = 0.02},
    {.name = "urgent work over others'",
     .controllers = 3,
     .teams = 4,
     .own_machines = 30,
     .jobs_per_s = 0.6,
     .first_jobs = 30,
     .runtime_s = 40,
     .arrays = 6,
     .services = 3,
     .gangs = 1,
     .urgent = 50,
     .cancels_per_s = 0.1,
     .limited_teams = true},
    {.name = "every fault",
     .controllers = 3,
     .teams = 3,
     .own_machines = 60,
     .cloud_machines = 40,
     .jobs_per_s = 0.5,
     .first_jobs = 20,
     .runtime_s = 25,
     .arrays = 5,
     .services = 3,
     .gangs = 2,
     .urgent = 20,
     .cancels_per_s = 0.1,
     .faults_per_s = 0.25,
     .takeovers_per_s = 0.01,
     .cuts_per_s = 0.005,
     .notices_per_s = 0.05,
     .failing_jobs = 0.1,
     .lost_answers = 0.1,
     .odd_records = true},
    {.name = "cuts and takeovers",
     .controllers = 3,
     .teams = 4,
     .own_machines = 45,
     .jobs_per_s = 0.4,
     .first_jobs = 20,
     .runtime_s = 30,
     .arrays = 5,
     .services = 4,
     .gangs = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.03,
     .takeovers_per_s = 0.03,
     .cuts_per_s = 0.015,
     .lost_answers = 0.05},
    {.name = "spot machines",
     .controllers = 2,
     .teams = 2,
     .own_machines = 3,
     .cloud_machines = 60,
     .jobs_per_s = 0.6,
     .first_jobs = 15,
     .runtime_s = 15,
     .arrays = 6,
     .services = 3,
     .gangs = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.05,
     .notices_per_s = 0.15,
     .failing_jobs = 0.03,
     .lost_answers = 0.03},
    {.name = "limits that are lowered",
     .controllers = 3,
     .teams = 3,
     .own_machines = 80,
     .cloud_machines = 10,
     .jobs_per_s = 0.5,
     .first_jobs = 40,
     .runtime_s = 25,
     .arrays = 8,
     .services = 1,
     .gangs = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.05,
     .takeovers_per_s = 0.005,
     .lost_answers = 0.05,
     .lowered_limits = true},
    {.name = "a large fleet",
     .controllers = 3,
     .teams = 5,
     .own_machines = 300,
     .jobs_per_s = 0.9,
     .first_jobs = 60,
     .runtime_s = 40,
     .arrays = 6,
     .services = 3,
     .gangs = 1,
     .urgent = 10,
     .cancels_per_s = 0.1,
     .faults_per_s = 0.2,
     .cuts_per_s = 0.005,
     .failing_jobs = 0.1,
     .lost_answers = 0.02},
    {.name = "a small fleet, short of changes",
     .controllers = 2,
     .teams = 2,
     .own_machines = 10,
     .cloud_machines = 4,
     .jobs_per_s = 0.3,
     .first_jobs = 8,
     .runtime_s = 12,
     .arrays = 6,
     .services = 3,
     .gangs = 1,
     .urgent = 30,
     .cancels_per_s = 0.1,
     .faults_per_s = 0.03,
     .takeovers_per_s = 0.01,
     .failing_jobs = 0.2,
     .lost_answers = 0.05,
     .short_of_changes = true},
    {.name = "fair room, limits and guarantees",
     .controllers = 3,
     .teams = 5,
     .own_machines = 25,
     .cloud_machines = 5,
     .jobs_per_s = 0.7,
     .first_jobs = 30,
     .runtime_s = 25,
     .arrays = 7,
     .services = 2,
     .gangs = 1,
     .urgent = 25,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.02,
     .limited_teams = true,
     .fair_room = true,
     .short_of_changes = true},
    {.name = "jobs that other cells have a say in",
     .controllers = 2,
     .teams = 3,
     .own_machines = 30,
     .cloud_machines = 10,
     .jobs_per_s = 0.5,
     .first_jobs = 20,
     .runtime_s = 25,
     .arrays = 5,
     .services = 4,
     .gangs = 1,
     .cancels_per_s = 0.05,
     .faults_per_s = 0.01,
     .takeovers_per_s = 0.01,
     .lost_answers = 0.02,
     .holds = true,
     .rounds = true}};

/* ---- chance ---- */

bool trace_chance(struct trace_world *world, double probability) {
    return probability > 0 && g_rand_double(world->random) < probability;
}

int trace_roll(struct trace_world *world, int below) {
    return below > 1 ? g_rand_int_range(world->random, 0, below) : 0;
}

double trace_between(struct trace_world *world, double from, double below) {
    return g_rand_double_range(world->random, from, below);
}

/* ---- faults ---- */

static void fault(struct trace_world *world) {
    struct trace_machine *machine = trace_any_machine(world);
    double until = world->now + trace_between(world, 5, 60);
    if (!machine) {
        return;
    }
    switch (trace_roll(world, 8)) {
    case 0:
        trace_machine_dies(machine);
        machine->listed = trace_chance(world, 0.5);
        break;
    case 1:
        trace_machine_reborn(world, machine);
        break;
    case 2:
        machine->hung_until = until;
        break;
    case 3:
        machine->mute_until = until;
        break;
    case 4:
        machine->deaf_until = until;
        break;
    case 5:
        machine->ill_until = until;
        break;
    case 6:
        world->zone_empty_until = until;
        break;
    default:
        rr_core_record_late_timers(world->controllers[0].node.core, world->now);
    }
}

static void cut(struct trace_world *world) {
    int zone = trace_roll(world, TRACE_ZONES);
    world->cut_until[zone] = world->now + trace_between(world, 8, 50);
}

static void notice(struct trace_world *world) {
    guint first = (guint)trace_roll(world, (int)world->machines->len);
    for (guint i = 0; i < world->machines->len; i++) {
        struct trace_machine *machine =
            g_ptr_array_index(world->machines, (first + i) % world->machines->len);
        if (machine->up && machine->spot && machine->notice_at < 0) {
            machine->notice_at = world->now + trace_between(world, 4, 20);
            return;
        }
    }
}

/* The settings come to name the limits with a restart, at once or after larger records have been
 * written; later the limits hold. */
static void lower_limits(struct trace_world *world) {
    const struct rr_config *config = &world->controllers[0].node.config;
    if (world->steps == TRACE_STEPS / 4 && !world->announced) {
        world->announced = true;
        for (int i = 0; i < world->scenario.controllers; i++) {
            trace_controller_start(world, i);
        }
    }
    if (world->steps == TRACE_STEPS / 3) {
        world->store->value_bytes_max = (size_t)(config->next_value_kb * 1024);
        world->store->change_count_max = (guint)config->next_transaction_changes_max;
        world->lowered = true;
    }
}

static void troubles(struct trace_world *world, double seconds) {
    const struct trace_scenario *scenario = &world->scenario;
    struct trace_controller *controller =
        &world->controllers[trace_roll(world, scenario->controllers)];
    if (trace_chance(world, scenario->faults_per_s * seconds)) {
        fault(world);
    }
    if (trace_chance(world, scenario->cuts_per_s * seconds)) {
        cut(world);
    }
    if (trace_chance(world, scenario->notices_per_s * seconds)) {
        notice(world);
    }
    if (trace_chance(world, scenario->takeovers_per_s * seconds) && controller->running &&
        !controller->wedged) {
        trace_controller_stop(world, controller, trace_between(world, 2, 40));
    }
    if (controller->running && trace_chance(world, 0.005)) {
        trace_controller_reread(world, controller);
    }
    if (scenario->odd_records && trace_chance(world, 0.1 * seconds)) {
        trace_odd_record(world);
    }
    if (scenario->lowered_limits) {
        lower_limits(world);
    }
}

/* ---- a seed's run ---- */

/* Own machines; of some the fleet's records are there already, the others are in the cloud's
 * lists only. */
static void make_fleet(struct trace_world *world) {
    static const char *const type_names[] = {"m1", "m1", "m2", "m3"};
    for (int i = 1; i <= world->scenario.own_machines; i++) {
        struct trace_machine *machine = trace_machine_new(
            world, i, type_names[trace_roll(world, 4)], trace_zone_names[i % TRACE_ZONES], false);
        machine->made_at = world->now - 100;
        machine->up_at = world->now;
        if (trace_chance(world, 0.05)) {
            fake_store_put_machine(world->store, machine->id, machine->zone, false, true);
            machine->type = "m1";
        }
    }
}

static void world_init(struct trace_world *world, unsigned seed) {
    memset(world, 0, sizeof *world);
    world->scenario = scenarios[seed % G_N_ELEMENTS(scenarios)];
    world->scenario.log_level = seed % 5 == 0 ? 2 : 0; /* lines are made and dropped */
    world->announced = world->scenario.lowered_limits && seed <= G_N_ELEMENTS(scenarios);
    world->random = g_rand_new_with_seed(seed);
    trace_hash_init(&world->hash);
    world->now = 1000;
    world->step_max_s = 0.9;
    if (seed % 5 == 3) { /* it lasts for long, with no more jobs */
        world->step_max_s = 3.5;
        world->scenario.jobs_per_s *= 0.25;
    }
    world->store = fake_store_create();
    world->machines = g_ptr_array_new_with_free_func(trace_machine_free);
    world->machine_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    world->jobs = g_ptr_array_new_with_free_func(g_free);
    world->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    world->flights = g_ptr_array_new_with_free_func(trace_flight_free);
    world->copies = g_ptr_array_new_with_free_func(trace_copy_free);
    world->rentals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    make_fleet(world);
    for (int i = 0; i < world->scenario.controllers; i++) {
        trace_controller_start(world, i);
    }
    /* To see that they are kept takes time. */
    if (world->scenario.lowered_limits || seed % 4 == 0) {
        world->store->value_bytes_max = (size_t)(world->controllers[0].node.config.value_kb * 1024);
        world->store->change_count_max =
            (guint)world->controllers[0].node.config.transaction_changes_max;
    }
}

static void world_clear(struct trace_world *world) {
    for (int i = 0; i < world->scenario.controllers; i++) {
        test_controller_clear(&world->controllers[i].node);
    }
    g_hash_table_destroy(world->rentals);
    g_ptr_array_free(world->copies, TRUE);
    g_ptr_array_free(world->flights, TRUE);
    g_hash_table_destroy(world->job_by_id);
    g_ptr_array_free(world->jobs, TRUE);
    g_hash_table_destroy(world->machine_by_id);
    g_ptr_array_free(world->machines, TRUE);
    fake_store_destroy(world->store);
    g_rand_free(world->random);
}

#define FIRST_JOBS_STEP 15

static void world_step(struct trace_world *world) {
    double seconds = trace_between(world, 0.2, world->step_max_s);
    world->now += seconds;
    world->steps++;
    troubles(world, seconds);
    trace_workers_advance(world);
    trace_sessions(world);
    trace_users(world, seconds);
    for (int i = 0; world->steps == FIRST_JOBS_STEP && i < world->scenario.first_jobs; i++) {
        trace_submit(world);
    }
    trace_flights(world);
    trace_reports(world);
    trace_plans(world);
    trace_flights(world);
}

#define QUESTIONS_EVERY 25 /* steps */

static void ask_all(struct trace_world *world) {
    for (int i = 0; i < world->scenario.controllers; i++) {
        struct trace_controller *controller = &world->controllers[i];
        if (controller->running && world->steps % QUESTIONS_EVERY == 0) {
            trace_questions(world, controller);
        } else if (controller->running) {
            trace_polls(world, controller);
        }
    }
}

void trace_core_play(unsigned seed, GString *out) {
    struct trace_world world;
    world_init(&world, seed);
    while (world.steps < TRACE_STEPS) {
        world_step(&world);
        ask_all(&world);
        if (world.steps % TRACE_CHECKPOINT == 0) {
            g_string_append_printf(out, "core seed %u step %u %016" G_GINT64_MODIFIER "x\n", seed,
                                   world.steps, world.hash.value);
        }
    }
    world_clear(&world);
}
