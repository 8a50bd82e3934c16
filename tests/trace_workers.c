/* The workers of the decision trace: they execute commands, run tasks and make heartbeats. */
#include "core/planning.h"
#include "trace_world.h"

#include <math.h>
#include <string.h>

#define INITIAL_LEASE_S 30.0 /* lease of a worker that no controller has renewed yet */
#define NEVER_S 1e12

static void reset_lease(struct trace_world *world, struct trace_machine *machine) {
    machine->lease_until = world->now + INITIAL_LEASE_S;
}

struct trace_machine *trace_machine_create(struct trace_world *world, int number, const char *type,
                                           const char *zone, bool spot) {
    struct trace_machine *machine = g_new0(struct trace_machine, 1);
    g_snprintf(machine->id, sizeof machine->id, "vm-%d", number);
    g_snprintf(machine->address, sizeof machine->address, "127.0.0.1:%d", 1000 + number);
    machine->type = type;
    machine->zone = zone;
    machine->spot = spot;
    machine->listed = true;
    machine->created_at = world->now;
    machine->boots_at = NEVER_S;
    machine->terminates_at = -1;
    machine->worker_epoch = 1;
    machine->controller_index = trace_random_int(world, world->scenario.controller_count);
    machine->tasks = g_array_new(FALSE, TRUE, sizeof(struct trace_task));
    g_ptr_array_add(world->machines, machine);
    g_hash_table_insert(world->machine_by_id, machine->id, machine);
    return machine;
}

void trace_machine_free(gpointer pointer) {
    struct trace_machine *machine = pointer;
    g_array_free(machine->tasks, TRUE);
    g_free(machine);
}

struct trace_machine *trace_pick_machine(struct trace_world *world) {
    guint first = (guint)trace_random_int(world, (int)world->machines->len + 1);
    for (guint i = 0; i < world->machines->len; i++) {
        struct trace_machine *machine =
            g_ptr_array_index(world->machines, (first + i) % world->machines->len);
        if (machine->up) {
            return machine;
        }
    }
    return NULL;
}

void trace_machine_kill(struct trace_machine *machine) {
    machine->up = false;
    machine->boots_at = NEVER_S;
    machine->failed = true;
    g_array_set_size(machine->tasks, 0);
}

void trace_machine_replace(struct trace_world *world, struct trace_machine *machine) {
    g_array_set_size(machine->tasks, 0);
    machine->worker_epoch = 1;
    machine->sequence = 0;
    machine->fencing_token = 0;
    reset_lease(world, machine);
}

/* ---- tasks ---- */

static struct trace_task *task_at(const struct trace_machine *machine, guint i) {
    return &g_array_index(machine->tasks, struct trace_task, i);
}

static struct trace_task *find_task(const struct trace_machine *machine,
                                    const rr_command *command) {
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct trace_task *task = task_at(machine, i);
        if (task->attempt == command->attempt && task->index == command->task &&
            strcmp(task->job->id, command->job_id) == 0) {
            return task;
        }
    }
    return NULL;
}

/* Puts the task in this state, which is due to end in so many seconds. */
static void set_task_state(const struct trace_world *world, struct trace_task *task,
                           enum rr_task_state state, double seconds) {
    task->state = state;
    task->state_since = world->now;
    task->state_until = world->now + seconds;
}

static void end_task(const struct trace_world *world, struct trace_task *task,
                     enum rr_exit_reason exit_reason) {
    set_task_state(world, task, RR_TASK_ENDED, NEVER_S);
    task->exit_reason = exit_reason;
}

/* Returns why the worker refuses to start a task, mostly RR_EXIT_NONE: it does not. */
static enum rr_exit_reason random_refusal(struct trace_world *world) {
    static const enum rr_exit_reason exit_reasons[] = {
        RR_EXIT_NO_RESOURCES, RR_EXIT_ATTEMPT_CONFLICT, RR_EXIT_UNKNOWN_TASK, RR_EXIT_OTHER};
    return trace_chance(world, 0.01) ? exit_reasons[trace_random_int(world, 4)] : RR_EXIT_NONE;
}

static void start_task(struct trace_world *world, struct trace_machine *machine,
                       const rr_command *command) {
    struct trace_task task = {.job = g_hash_table_lookup(world->job_by_id, command->job_id),
                              .index = command->task,
                              .attempt = command->attempt};
    enum rr_exit_reason exit_reason = random_refusal(world);
    set_task_state(world, &task, RR_TASK_FETCHING, trace_random_double(world, 0, 2));
    if (exit_reason != RR_EXIT_NONE) {
        end_task(world, &task, exit_reason);
    }
    g_array_append_val(machine->tasks, task);
}

static void stop_task(const struct trace_world *world, struct trace_task *task, double grace_s) {
    if (task->state == RR_TASK_ENDED) {
        return;
    }
    if (grace_s > 0 && task->state == RR_TASK_RUNNING) {
        set_task_state(world, task, RR_TASK_SAVING, fmin(grace_s, 3));
    } else {
        end_task(world, task, RR_EXIT_STOPPED);
    }
}

void trace_execute_commands(struct trace_world *world, struct trace_machine *machine,
                            const GArray *commands) {
    for (guint i = 0; i < commands->len; i++) {
        const rr_command *command = &g_array_index(commands, rr_command, i);
        struct trace_task *task = find_task(machine, command);
        if (command->kind == RR_COMMAND_START && !task) {
            start_task(world, machine, command);
        } else if (command->kind == RR_COMMAND_STOP && task) {
            stop_task(world, task, command->grace_s);
        } else if (command->kind == RR_COMMAND_REAP && task && task->state == RR_TASK_ENDED) {
            g_array_remove_index(machine->tasks, (guint)(task - task_at(machine, 0)));
        }
    }
}

bool trace_execute_batch(struct trace_world *world, struct trace_machine *machine,
                         const rr_command_batch *batch) {
    if (batch->fencing_token < machine->fencing_token ||
        (batch->worker_epoch != machine->worker_epoch && batch->commands->len > 0)) {
        return false;
    }
    machine->fencing_token = batch->fencing_token;
    trace_execute_commands(world, machine, batch->commands);
    return true;
}

/* ---- progress of tasks and machines ---- */

struct gang_state_counts {
    uint32_t ready, ended, done;
};

/* Counts the gang's tasks of the member's attempt on all machines. */
static struct gang_state_counts count_gang(const struct trace_world *world,
                                           const struct trace_task *member) {
    struct gang_state_counts counts = {0, 0, 0};
    for (guint i = 0; i < world->machines->len; i++) {
        const struct trace_machine *machine = g_ptr_array_index(world->machines, i);
        for (guint k = 0; k < machine->tasks->len; k++) {
            const struct trace_task *task = task_at(machine, k);
            if (task->attempt != member->attempt || task->job != member->job) {
                continue;
            }
            counts.ready += task->state == RR_TASK_WAITING || task->state == RR_TASK_RUNNING;
            counts.ended += task->state == RR_TASK_ENDED && task->exit_reason != RR_EXIT_DONE;
            counts.done += task->state == RR_TASK_ENDED && task->exit_reason == RR_EXIT_DONE;
        }
    }
    return counts;
}

static void run_task(struct trace_world *world, struct trace_machine *machine,
                     struct trace_task *task, const struct trace_job *job) {
    bool fails = job->tasks_fail || machine->tasks_fail_until > world->now;
    double seconds = job->runtime_s * trace_random_double(world, 0.7, 1.3);
    if (job->kind == RR_JOB_GANG) {
        seconds = job->runtime_s;
    }
    set_task_state(world, task, RR_TASK_RUNNING,
                   fails ? trace_random_double(world, 0.5, 2) : seconds);
}

/* Advances one task of a gang. The gang runs once all its tasks are ready, is done as soon as one
 * of them is done, and ends when one fails. */
static void advance_gang_task(struct trace_world *world, struct trace_machine *machine,
                              struct trace_task *task, const struct trace_job *job) {
    struct gang_state_counts counts = count_gang(world, task);
    if (task->state == RR_TASK_WAITING && counts.ready >= job->task_count) {
        run_task(world, machine, task, job);
    } else if (task->state == RR_TASK_WAITING && task->state_until <= world->now) {
        end_task(world, task, RR_EXIT_GANG_INCOMPLETE);
    } else if (task->state == RR_TASK_RUNNING && counts.done > 0) {
        end_task(world, task, RR_EXIT_DONE);
    } else if (counts.ended > 0 && trace_chance(world, 0.3)) {
        end_task(world, task, RR_EXIT_GANG_PEER_LOST);
    }
}

static void advance_task(struct trace_world *world, struct trace_machine *machine,
                         struct trace_task *task) {
    const struct trace_job *job = task->job;
    bool gang = job->kind == RR_JOB_GANG;
    if (gang && (task->state == RR_TASK_WAITING || task->state == RR_TASK_RUNNING)) {
        advance_gang_task(world, machine, task, job);
    }
    if (task->state_until > world->now || task->state == RR_TASK_ENDED) {
        return;
    }
    if (task->state == RR_TASK_FETCHING && gang) {
        set_task_state(world, task, RR_TASK_WAITING, 40);
    } else if (task->state == RR_TASK_FETCHING) {
        run_task(world, machine, task, job);
    } else if (task->state == RR_TASK_SAVING) {
        end_task(world, task, RR_EXIT_STOPPED);
    } else if (job->tasks_fail || machine->tasks_fail_until > world->now) {
        end_task(world, task, RR_EXIT_ERROR);
    } else if (job->kind != RR_JOB_SERVICE) {
        end_task(world, task, RR_EXIT_DONE);
    }
}

/* Boots or ends the machine if that is due, and advances its tasks. A worker whose lease has run
 * out drops its tasks and enters the next epoch. */
static void advance_machine(struct trace_world *world, struct trace_machine *machine) {
    if (!machine->up && machine->boots_at <= world->now) {
        machine->up = true;
        machine->boots_at = NEVER_S;
        machine->heartbeat_at = world->now + trace_random_double(world, 0, 3);
        reset_lease(world, machine);
    }
    if (machine->up && machine->terminates_at >= 0 && machine->terminates_at <= world->now) {
        trace_machine_kill(machine);
        machine->failed = machine->listed = false;
    }
    if (!machine->up || machine->frozen_until > world->now) {
        return;
    }
    if (machine->lease_until <= world->now) {
        machine->worker_epoch++;
        machine->sequence = 0;
        g_array_set_size(machine->tasks, 0);
        reset_lease(world, machine);
    }
    for (guint i = 0; i < machine->tasks->len; i++) {
        advance_task(world, machine, task_at(machine, i));
    }
}

void trace_advance_workers(struct trace_world *world) {
    for (guint i = 0; i < world->machines->len; i++) {
        advance_machine(world, g_ptr_array_index(world->machines, i));
    }
}

void trace_make_heartbeat(struct trace_world *world, struct trace_machine *machine,
                          rr_heartbeat *out) {
    memset(out, 0, sizeof *out);
    g_strlcpy(out->machine, machine->id, sizeof out->machine);
    g_strlcpy(out->address, machine->address, sizeof out->address);
    g_strlcpy(out->machine_type, machine->type, sizeof out->machine_type);
    g_strlcpy(out->zone, machine->zone, sizeof out->zone);
    out->spot = machine->spot;
    out->worker_epoch = machine->worker_epoch;
    out->sequence = ++machine->sequence;
    out->fencing_token = machine->fencing_token;
    out->spot_notice_s =
        machine->terminates_at < 0 ? -1 : fmax(0, machine->terminates_at - world->now);
    out->tasks = g_array_new(FALSE, TRUE, sizeof(rr_task_status));
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct trace_task *task = task_at(machine, i);
        rr_task_status status = {.task = task->index,
                                 .attempt = task->attempt,
                                 .state = task->state,
                                 .exit_reason = task->exit_reason};
        g_strlcpy(status.job_id, task->job->id, sizeof status.job_id);
        g_array_append_val(out->tasks, status);
    }
}
