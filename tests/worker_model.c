#include "worker_model.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

#include <string.h>

#define PLAN_PERIOD_S 0.5
#define LOSS_PROBABILITY 0.1 /* of a batch or its answer, if any are lost */

/* ---- commands ---- */

static rr_task_status *find_task(const worker_model *worker, const char *job_id, uint32_t task,
                                 uint64_t attempt) {
    for (guint i = 0; i < worker->tasks->len; i++) {
        rr_task_status *status = &g_array_index(worker->tasks, rr_task_status, i);
        if (status->attempt == attempt && status->task == task &&
            strcmp(status->job_id, job_id) == 0) {
            return status;
        }
    }
    return NULL;
}

static void end_status(rr_task_status *status, enum rr_exit_reason exit_reason) {
    status->state = RR_TASK_ENDED;
    status->exit_reason = exit_reason;
}

static void start_task(worker_model *worker, const rr_command *command) {
    rr_task_status status = {
        .task = command->task, .attempt = command->attempt, .state = RR_TASK_RUNNING};
    g_strlcpy(status.job_id, command->job_id, sizeof status.job_id);
    if (worker->refuses_starts) {
        end_status(&status, RR_EXIT_NO_RESOURCES);
    }
    g_array_append_val(worker->tasks, status);
}

static void reap_task(worker_model *worker, const rr_task_status *status) {
    guint position = (guint)(status - (const rr_task_status *)(const void *)worker->tasks->data);
    g_array_remove_index(worker->tasks, position);
}

static void execute_command(worker_model *worker, const rr_command *command) {
    rr_task_status *status = find_task(worker, command->job_id, command->task, command->attempt);
    if (!status && command->kind == RR_COMMAND_START) {
        start_task(worker, command);
    } else if (status && command->kind == RR_COMMAND_STOP && status->state != RR_TASK_ENDED) {
        end_status(status, RR_EXIT_STOPPED);
    } else if (status && command->kind == RR_COMMAND_REAP && status->state == RR_TASK_ENDED) {
        reap_task(worker, status);
    }
}

/* Executes the batch. Returns false if the worker refuses its fencing token or worker epoch. */
static bool execute_batch(worker_model *worker, const rr_command_batch *batch) {
    worker->sequence++;
    if (batch->fencing_token < worker->fencing_token ||
        batch->worker_epoch != worker->worker_epoch) {
        return false;
    }
    worker->fencing_token = batch->fencing_token;
    for (guint i = 0; i < batch->commands->len; i++) {
        execute_command(worker, &g_array_index(batch->commands, rr_command, i));
    }
    return true;
}

/* ---- heartbeats and answers ---- */

static rr_heartbeat make_heartbeat(const worker_model *worker) {
    rr_heartbeat heartbeat = {.worker_epoch = worker->worker_epoch,
                              .sequence = worker->sequence,
                              .fencing_token = worker->fencing_token,
                              .spot_notice_s = worker->spot_notice_s};
    g_strlcpy(heartbeat.machine, worker->id, sizeof heartbeat.machine);
    g_snprintf(heartbeat.address, sizeof heartbeat.address, "127.0.0.1:1000");
    g_strlcpy(heartbeat.machine_type, "m1", sizeof heartbeat.machine_type);
    g_strlcpy(heartbeat.zone, "a", sizeof heartbeat.zone);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_vals(heartbeat.tasks, worker->tasks->data, worker->tasks->len);
    return heartbeat;
}

static worker_model *find_worker(worker_fleet *fleet, const char *id) {
    for (int i = 0; i < fleet->worker_count; i++) {
        if (strcmp(fleet->workers[i].id, id) == 0) {
            return &fleet->workers[i];
        }
    }
    return NULL;
}

static bool has_start(const rr_command_batch *batch) {
    for (guint i = 0; i < batch->commands->len; i++) {
        if (g_array_index(batch->commands, rr_command, i).kind == RR_COMMAND_START) {
            return true;
        }
    }
    return false;
}

static void keep_copy(worker_fleet *fleet, const rr_command_batch *batch) {
    rr_command_batch *copy = g_memdup2(batch, sizeof *batch);
    copy->commands = g_array_new(FALSE, FALSE, sizeof(rr_command));
    g_array_append_vals(copy->commands, batch->commands->data, batch->commands->len);
    g_ptr_array_add(fleet->start_batches, copy);
}

/* Reports the batch, which the worker may have executed, as unanswered. */
static void lose_answer(worker_fleet *fleet, test_controller *controller,
                        const rr_command_batch *batch) {
    if (g_rand_boolean(fleet->loss_random)) {
        execute_batch(find_worker(fleet, batch->machine), batch);
    }
    rr_core_record_command_result(controller->core, controller->now, batch,
                                  RR_COMMAND_OUTCOME_UNKNOWN, false);
}

static void execute_and_answer(worker_fleet *fleet, test_controller *controller,
                               const rr_command_batch *batch) {
    worker_model *worker = find_worker(fleet, batch->machine);
    assert_non_null(worker);
    if (has_start(batch)) {
        keep_copy(fleet, batch);
    }
    if (fleet->loss_random && g_rand_double(fleet->loss_random) < LOSS_PROBABILITY) {
        lose_answer(fleet, controller, batch);
        return;
    }
    bool executed = execute_batch(worker, batch);
    rr_heartbeat answer = make_heartbeat(worker);
    rr_core_apply_command_reply(controller->core, controller->now, &answer, -1);
    rr_heartbeat_clear(&answer);
    rr_core_record_command_result(controller->core, controller->now, batch, RR_COMMAND_ANSWERED,
                                  executed);
}

/* ---- the fleet ---- */

void worker_fleet_init(worker_fleet *fleet, test_controller *controller, int worker_count) {
    memset(fleet, 0, sizeof *fleet);
    fleet->worker_count = worker_count;
    fleet->start_batches = g_ptr_array_new_with_free_func((GDestroyNotify)rr_command_batch_free);
    for (int i = 0; i < worker_count; i++) {
        worker_model *worker = &fleet->workers[i];
        *worker = (worker_model){.worker_epoch = 1, .spot_notice_s = -1};
        g_snprintf(worker->id, sizeof worker->id, "vm-%d", i + 1);
        worker->tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
        fake_store_put_machine(controller->store, worker->id, "a", false, true);
    }
    worker_fleet_add_controller(fleet, controller);
}

void worker_fleet_clear(worker_fleet *fleet) {
    for (int i = 0; i < fleet->worker_count; i++) {
        g_array_free(fleet->workers[i].tasks, TRUE);
    }
    g_ptr_array_free(fleet->start_batches, TRUE);
}

void worker_fleet_add_controller(worker_fleet *fleet, test_controller *controller) {
    fleet->controllers[fleet->controller_count++] = controller;
    fake_store_sync(controller->store, controller->core, controller->now);
    worker_fleet_report(fleet);
}

void worker_fleet_advance(worker_fleet *fleet, double seconds) {
    for (int i = 0; i < fleet->controller_count; i++) {
        fleet->controllers[i]->now += seconds;
    }
}

void worker_fleet_report(worker_fleet *fleet) {
    for (int i = 0; i < fleet->worker_count; i++) {
        worker_model *worker = &fleet->workers[i];
        worker->sequence++;
        for (int k = 0; k < fleet->controller_count; k++) {
            test_controller *controller = fleet->controllers[k];
            rr_heartbeat heartbeat = make_heartbeat(worker);
            rr_core_apply_heartbeat(controller->core, controller->now, &heartbeat, -1);
            rr_heartbeat_clear(&heartbeat);
        }
        /* The reply to the heartbeat carries the token. */
        worker->fencing_token =
            MAX(worker->fencing_token, rr_core_fencing_token(fleet->controllers[0]->core));
    }
}

void worker_fleet_plan(worker_fleet *fleet) {
    for (int i = 0; i < fleet->controller_count; i++) {
        test_controller *controller = fleet->controllers[i];
        rr_plan plan;
        if (!fleet->lagging[i]) {
            test_controller_begin_next_term(controller); /* if one is due */
        }
        test_controller_plan(controller, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            execute_and_answer(fleet, controller, g_ptr_array_index(plan.command_batches, k));
        }
        rr_plan_clear(&plan);
    }
}

void worker_fleet_run(worker_fleet *fleet, int count) {
    for (int i = 0; i < count; i++) {
        worker_fleet_advance(fleet, PLAN_PERIOD_S);
        worker_fleet_report(fleet);
        worker_fleet_plan(fleet);
    }
}

void worker_fleet_deliver_copies(worker_fleet *fleet) {
    for (guint i = 0; i < fleet->start_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(fleet->start_batches, i);
        execute_batch(find_worker(fleet, batch->machine), batch);
    }
}

void worker_fleet_deliver_some_copies(worker_fleet *fleet, GRand *random, double probability) {
    for (guint i = 0; i < fleet->start_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(fleet->start_batches, i);
        if (g_rand_double(random) < probability) {
            execute_batch(find_worker(fleet, batch->machine), batch);
        }
    }
}

/* ---- tasks ---- */

/* Returns the task's status on the worker unless it has ended there. */
static rr_task_status *find_live_task(const worker_model *worker, const char *job_id,
                                      uint32_t task) {
    for (guint i = 0; i < worker->tasks->len; i++) {
        rr_task_status *status = &g_array_index(worker->tasks, rr_task_status, i);
        if (status->state != RR_TASK_ENDED && status->task == task &&
            strcmp(status->job_id, job_id) == 0) {
            return status;
        }
    }
    return NULL;
}

worker_model *worker_fleet_find(worker_fleet *fleet, const char *job_id, uint32_t task) {
    for (int i = 0; i < fleet->worker_count; i++) {
        if (find_live_task(&fleet->workers[i], job_id, task)) {
            return &fleet->workers[i];
        }
    }
    return NULL;
}

int worker_fleet_count(const worker_fleet *fleet, const char *job_id, uint32_t task) {
    int count = 0;
    for (int i = 0; i < fleet->worker_count; i++) {
        count += find_live_task(&fleet->workers[i], job_id, task) != NULL;
    }
    return count;
}

void worker_end_task(worker_model *worker, const char *job_id, uint32_t task,
                     enum rr_exit_reason exit_reason) {
    rr_task_status *status = find_live_task(worker, job_id, task);
    assert_non_null(status);
    end_status(status, exit_reason);
}

void worker_end_all_tasks(worker_model *worker, enum rr_exit_reason exit_reason) {
    for (guint i = 0; i < worker->tasks->len; i++) {
        rr_task_status *status = &g_array_index(worker->tasks, rr_task_status, i);
        if (status->state != RR_TASK_ENDED) {
            end_status(status, exit_reason);
        }
    }
}

int worker_count_ended(const worker_model *worker) {
    int count = 0;
    for (guint i = 0; i < worker->tasks->len; i++) {
        count += g_array_index(worker->tasks, rr_task_status, i).state == RR_TASK_ENDED;
    }
    return count;
}

void worker_lose_lease(worker_model *worker) {
    g_array_set_size(worker->tasks, 0);
    worker->worker_epoch++;
    worker->sequence = 0;
}
