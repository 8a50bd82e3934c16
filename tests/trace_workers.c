#include "core/planning.h"
#include "trace_world.h"

#include <math.h>
#include <string.h>

#define GRACE_OF_LEASE_S 30.0
#define NEVER_S 1e12

static void lease_renewed(struct trace_world *world, struct trace_machine *machine) {
    machine->lease_until = world->now + GRACE_OF_LEASE_S;
}

struct trace_machine *trace_machine_new(struct trace_world *world, int number, const char *type,
                                        const char *zone, bool spot) {
    struct trace_machine *machine = g_new0(struct trace_machine, 1);
    g_snprintf(machine->id, sizeof machine->id, "vm-%d", number);
    g_snprintf(machine->address, sizeof machine->address, "127.0.0.1:%d", 1000 + number);
    machine->type = type;
    machine->zone = zone;
    machine->spot = spot;
    machine->listed = true;
    machine->made_at = world->now;
    machine->up_at = NEVER_S;
    machine->notice_at = -1;
    machine->worker_epoch = 1;
    machine->controller = trace_roll(world, world->scenario.controllers);
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

struct trace_machine *trace_any_machine(struct trace_world *world) {
    guint first = (guint)trace_roll(world, (int)world->machines->len + 1);
    for (guint i = 0; i < world->machines->len; i++) {
        struct trace_machine *machine =
            g_ptr_array_index(world->machines, (first + i) % world->machines->len);
        if (machine->up) {
            return machine;
        }
    }
    return NULL;
}

void trace_machine_dies(struct trace_machine *machine) {
    machine->up = false;
    machine->up_at = NEVER_S;
    machine->failed = true;
    g_array_set_size(machine->tasks, 0);
}

void trace_machine_reborn(struct trace_world *world, struct trace_machine *machine) {
    g_array_set_size(machine->tasks, 0);
    machine->worker_epoch = 1;
    machine->sequence = 0;
    machine->fencing_token = 0;
    lease_renewed(world, machine);
}

/* ---- tasks ---- */

static struct trace_task *task_at(const struct trace_machine *machine, guint i) {
    return &g_array_index(machine->tasks, struct trace_task, i);
}

static struct trace_task *find_task(const struct trace_machine *machine, const rr_command *order) {
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct trace_task *task = task_at(machine, i);
        if (task->attempt == order->attempt && task->task == order->task &&
            strcmp(task->job->id, order->job_id) == 0) {
            return task;
        }
    }
    return NULL;
}

static void enter(const struct trace_world *world, struct trace_task *task,
                  enum rr_task_state state, double seconds) {
    task->standing = state;
    task->since = world->now;
    task->until = world->now + seconds;
}

static void end_task(const struct trace_world *world, struct trace_task *task,
                     enum rr_exit_reason exit_reason) {
    enter(world, task, RR_TASK_ENDED, NEVER_S);
    task->cause = exit_reason;
}

/* What a worker may refuse a start with. */
static enum rr_exit_reason refusal(struct trace_world *world) {
    static const enum rr_exit_reason causes[] = {RR_EXIT_NO_RESOURCES, RR_EXIT_ATTEMPT_CONFLICT,
                                                 RR_EXIT_UNKNOWN_TASK, RR_EXIT_OTHER};
    return trace_chance(world, 0.01) ? causes[trace_roll(world, 4)] : RR_EXIT_NONE;
}

static void start_task(struct trace_world *world, struct trace_machine *machine,
                       const rr_command *order) {
    struct trace_task task = {.job = g_hash_table_lookup(world->job_by_id, order->job_id),
                              .task = order->task,
                              .attempt = order->attempt};
    enum rr_exit_reason exit_reason = refusal(world);
    enter(world, &task, RR_TASK_FETCHING, trace_between(world, 0, 2));
    if (exit_reason != RR_EXIT_NONE) {
        end_task(world, &task, exit_reason);
    }
    g_array_append_val(machine->tasks, task);
}

static void stop_task(const struct trace_world *world, struct trace_task *task, double grace_s) {
    if (task->standing == RR_TASK_ENDED) {
        return;
    }
    if (grace_s > 0 && task->standing == RR_TASK_RUNNING) {
        enter(world, task, RR_TASK_SAVING, fmin(grace_s, 3));
    } else {
        end_task(world, task, RR_EXIT_STOPPED);
    }
}

void trace_execute_orders(struct trace_world *world, struct trace_machine *machine,
                          const GArray *commands) {
    for (guint i = 0; i < commands->len; i++) {
        const rr_command *order = &g_array_index(commands, rr_command, i);
        struct trace_task *task = find_task(machine, order);
        if (order->kind == RR_COMMAND_START && !task) {
            start_task(world, machine, order);
        } else if (order->kind == RR_COMMAND_STOP && task) {
            stop_task(world, task, order->grace_s);
        } else if (order->kind == RR_COMMAND_REAP && task && task->standing == RR_TASK_ENDED) {
            g_array_remove_index(machine->tasks, (guint)(task - task_at(machine, 0)));
        }
    }
}

bool trace_execute(struct trace_world *world, struct trace_machine *machine,
                   const rr_command_batch *command) {
    if (command->fencing_token < machine->fencing_token ||
        (command->worker_epoch != machine->worker_epoch && command->commands->len > 0)) {
        return false;
    }
    machine->fencing_token = command->fencing_token;
    trace_execute_orders(world, machine, command->commands);
    return true;
}

/* ---- time passes ---- */

struct gang_count {
    uint32_t ready, ended, done;
};

/* The gang's tasks of this attempt, wherever they are. */
static struct gang_count count_gang(const struct trace_world *world,
                                    const struct trace_task *member) {
    struct gang_count count = {0, 0, 0};
    for (guint i = 0; i < world->machines->len; i++) {
        const struct trace_machine *machine = g_ptr_array_index(world->machines, i);
        for (guint k = 0; k < machine->tasks->len; k++) {
            const struct trace_task *task = task_at(machine, k);
            if (task->attempt != member->attempt || task->job != member->job) {
                continue;
            }
            count.ready += task->standing == RR_TASK_WAITING || task->standing == RR_TASK_RUNNING;
            count.ended += task->standing == RR_TASK_ENDED && task->cause != RR_EXIT_DONE;
            count.done += task->standing == RR_TASK_ENDED && task->cause == RR_EXIT_DONE;
        }
    }
    return count;
}

static void run_task(struct trace_world *world, struct trace_machine *machine,
                     struct trace_task *task, const struct trace_job *job) {
    bool fails = job->fails || machine->ill_until > world->now;
    double seconds = job->runtime_s * trace_between(world, 0.7, 1.3);
    if (job->shape == RR_JOB_GANG) {
        seconds = job->runtime_s;
    }
    enter(world, task, RR_TASK_RUNNING, fails ? trace_between(world, 0.5, 2) : seconds);
}

static void advance_gang_task(struct trace_world *world, struct trace_machine *machine,
                              struct trace_task *task, const struct trace_job *job) {
    struct gang_count count = count_gang(world, task);
    if (task->standing == RR_TASK_WAITING && count.ready >= job->tasks) {
        run_task(world, machine, task, job);
    } else if (task->standing == RR_TASK_WAITING && task->until <= world->now) {
        end_task(world, task, RR_EXIT_GANG_INCOMPLETE);
    } else if (task->standing == RR_TASK_RUNNING && count.done > 0) {
        end_task(world, task, RR_EXIT_DONE);
    } else if (count.ended > 0 && trace_chance(world, 0.3)) {
        end_task(world, task, RR_EXIT_GANG_PEER_LOST);
    }
}

static void advance_task(struct trace_world *world, struct trace_machine *machine,
                         struct trace_task *task) {
    const struct trace_job *job = task->job;
    bool gang = job->shape == RR_JOB_GANG;
    if (gang && (task->standing == RR_TASK_WAITING || task->standing == RR_TASK_RUNNING)) {
        advance_gang_task(world, machine, task, job);
    }
    if (task->until > world->now || task->standing == RR_TASK_ENDED) {
        return;
    }
    if (task->standing == RR_TASK_FETCHING && gang) {
        enter(world, task, RR_TASK_WAITING, 40);
    } else if (task->standing == RR_TASK_FETCHING) {
        run_task(world, machine, task, job);
    } else if (task->standing == RR_TASK_SAVING) {
        end_task(world, task, RR_EXIT_STOPPED);
    } else if (job->fails || machine->ill_until > world->now) {
        end_task(world, task, RR_EXIT_ERROR);
    } else if (job->shape != RR_JOB_SERVICE) {
        end_task(world, task, RR_EXIT_DONE);
    }
}

static void advance_machine(struct trace_world *world, struct trace_machine *machine) {
    if (!machine->up && machine->up_at <= world->now) {
        machine->up = true;
        machine->up_at = NEVER_S;
        machine->report_at = world->now + trace_between(world, 0, 3);
        lease_renewed(world, machine);
    }
    if (machine->up && machine->notice_at >= 0 && machine->notice_at <= world->now) {
        trace_machine_dies(machine);
        machine->failed = machine->listed = false;
    }
    if (!machine->up || machine->hung_until > world->now) {
        return;
    }
    if (machine->lease_until <= world->now) {
        machine->worker_epoch++;
        machine->sequence = 0;
        g_array_set_size(machine->tasks, 0);
        lease_renewed(world, machine);
    }
    for (guint i = 0; i < machine->tasks->len; i++) {
        advance_task(world, machine, task_at(machine, i));
    }
}

void trace_workers_advance(struct trace_world *world) {
    for (guint i = 0; i < world->machines->len; i++) {
        advance_machine(world, g_ptr_array_index(world->machines, i));
    }
}

void trace_report_of(struct trace_world *world, struct trace_machine *machine, rr_heartbeat *out) {
    memset(out, 0, sizeof *out);
    g_strlcpy(out->machine, machine->id, sizeof out->machine);
    g_strlcpy(out->address, machine->address, sizeof out->address);
    g_strlcpy(out->machine_type, machine->type, sizeof out->machine_type);
    g_strlcpy(out->zone, machine->zone, sizeof out->zone);
    out->spot = machine->spot;
    out->worker_epoch = machine->worker_epoch;
    out->sequence = ++machine->sequence;
    out->fencing_token = machine->fencing_token;
    out->spot_notice_s = machine->notice_at < 0 ? -1 : fmax(0, machine->notice_at - world->now);
    out->tasks = g_array_new(FALSE, TRUE, sizeof(rr_task_status));
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct trace_task *task = task_at(machine, i);
        rr_task_status status = {.task = task->task,
                                 .attempt = task->attempt,
                                 .state = task->standing,
                                 .exit_reason = task->cause};
        g_strlcpy(status.job_id, task->job->id, sizeof status.job_id);
        g_array_append_val(out->tasks, status);
    }
}
