#include "gang_fixture.h"
#include "core/leadership.h"
#include "core/planning.h"

#include "core/core_internal.h"

#include <string.h>

/* One heartbeat of gang_send_heartbeat() reports at most REPORTED_TASKS_MAX of the job's tasks 0 to
 * FIRST_TASKS - 1. */
#define REPORTED_TASKS_MAX 4
#define FIRST_TASKS 8

const struct test_job gang_job = {.job_id = "req-1",
                                  .gang = true,
                                  .one_zone = true,
                                  .task_count = 3,
                                  .cpus = 10,
                                  .checkpoint_interval_s = 20,
                                  .save_s = 3,
                                  .priority = "high"};

static uint64_t last_sequence = 1; /* sequence number of the last heartbeat of any machine */

int gang_setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    for (int i = 1; i <= GANG_MACHINE_COUNT; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        fake_store_put_machine(fixture->store, id, i <= GANG_MACHINES_IN_ZONE_A ? "a" : "b", false,
                               true);
    }
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
    return 0;
}

void submit_gang_job(core_fixture *fixture, const struct test_job *job) {
    fake_store_submit(fixture->store, job, fixture->controller.now);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

void gang_send_heartbeat(test_controller *controller, int machine, const char *job_id,
                         const char *state, uint64_t worker_epoch, double spot_notice_s) {
    char id[16], *task_texts[REPORTED_TASKS_MAX + 1] = {NULL};
    int count = 0;
    g_snprintf(id, sizeof id, "vm-%d", machine);
    for (uint32_t task = 0; state && task < FIRST_TASKS && count < REPORTED_TASKS_MAX; task++) {
        uint64_t attempt = fake_store_find_attempt(controller->store, id, job_id, task);
        if (attempt) {
            task_texts[count++] =
                g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", job_id, task, attempt, state);
        }
    }
    controller->spot_notice_s = spot_notice_s;
    test_controller_heartbeat(controller, id, machine <= GANG_MACHINES_IN_ZONE_A ? "a" : "b", false,
                              worker_epoch, ++last_sequence,
                              rr_core_fencing_token(controller->core), task_texts[0], task_texts[1],
                              task_texts[2], task_texts[3], NULL);
    controller->spot_notice_s = -1;
    for (int i = 0; i < count; i++) {
        g_free(task_texts[i]);
    }
}

void gang_send_heartbeats(test_controller *controller, const char *job_id, const char *state) {
    for (int machine = 1; machine <= GANG_MACHINE_COUNT; machine++) {
        gang_send_heartbeat(controller, machine, job_id, state, 1, -1);
    }
}

unsigned gang_plan_and_answer(test_controller *controller, enum rr_command_kind command_kind,
                              const char *job_id, double *grace_s) {
    rr_plan plan;
    unsigned command_count = 0;
    double shortest_grace_s = 1e9;
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        for (guint k = 0; k < batch->commands->len; k++) {
            const rr_command *command = &g_array_index(batch->commands, rr_command, k);
            if (command->kind == command_kind && strcmp(command->job_id, job_id) == 0) {
                command_count++;
                shortest_grace_s =
                    command->grace_s < shortest_grace_s ? command->grace_s : shortest_grace_s;
            }
        }
        rr_core_record_command_result(controller->core, controller->now, batch, RR_COMMAND_ANSWERED,
                                      true);
    }
    rr_plan_clear(&plan);
    if (grace_s) {
        *grace_s = shortest_grace_s;
    }
    return command_count;
}

enum rr_gang_phase gang_get_phase(const test_controller *controller, const char *job_id) {
    return rr_derive_gang_phase(controller->core,
                                g_hash_table_lookup(controller->core->stored.jobs, job_id),
                                controller->now);
}

void gang_submit_and_start(core_fixture *fixture, const struct test_job *job) {
    test_controller *controller = &fixture->controller;
    gang_send_heartbeats(controller, job->job_id, NULL);
    submit_gang_job(fixture, job);
    gang_plan_and_answer(controller, RR_COMMAND_START, job->job_id, NULL);
    assert_int_equal(gang_plan_and_answer(controller, RR_COMMAND_START, job->job_id, NULL),
                     job->task_count);
}

int gang_find_machine(const core_fixture *fixture, uint32_t task, uint64_t *attempt) {
    for (int machine = 1; machine <= GANG_MACHINE_COUNT; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        *attempt = fake_store_find_attempt(fixture->store, id, "req-1", task);
        if (*attempt) {
            return machine;
        }
    }
    return 0;
}

uint64_t gang_shared_attempt(const core_fixture *fixture, uint32_t tasks) {
    uint64_t attempt, other;
    gang_find_machine(fixture, 0, &attempt);
    for (uint32_t task = 1; task < tasks; task++) {
        gang_find_machine(fixture, task, &other);
        assert_true(other == attempt);
    }
    return attempt;
}

const char *gang_report_task_running(int machine, const char *job_id, uint32_t task, int position,
                                     uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)position;
    (void)sequence;
    return "running";
}

const char *gang_report_task_done(int machine, const char *job_id, uint32_t task, int position,
                                  uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)position;
    (void)sequence;
    return "ended:done";
}

void gang_report_jobs(test_controller *controller, const char *const *job_ids, int jobs,
                      uint32_t tasks, reported_task_state_fn state) {
    struct reporting_machines reporting = {.first = 1,
                                           .last = GANG_MACHINE_COUNT,
                                           .last_in_zone_a = GANG_MACHINES_IN_ZONE_A,
                                           .job_ids = job_ids,
                                           .job_count = jobs,
                                           .tasks_per_job = tasks,
                                           .heartbeat_tasks_max = HEARTBEAT_TASKS_MAX,
                                           .worker_epoch = 1,
                                           .sequence = ++last_sequence,
                                           .state = state};
    test_controller_send_heartbeats(controller, &reporting);
}
