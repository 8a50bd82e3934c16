#include "fleet_scenario.h"
#include "core/leadership.h"
#include "core/planning.h"

#define PLANS_MAX 400        /* in plan_until_settled() */
#define PLAN_INTERVAL_S 0.01 /* between the plans of plan_until_settled() */
#define REPORTED_TASKS_MAX 4 /* in one heartbeat of send_heartbeats_with_job() */

void format_job_id(int number, char *out) {
    g_snprintf(out, JOB_ID_SIZE, "req-%06d", number);
}

void submit_jobs(test_controller *controller, int first, int count, const struct test_job *like) {
    for (int i = first; i < first + count; i++) {
        char job_id[JOB_ID_SIZE];
        struct test_job job = *like;
        format_job_id(i, job_id);
        job.job_id = job_id;
        fake_store_submit(controller->store, &job, controller->now);
    }
    fake_store_sync(controller->store, controller->core, controller->now);
}

guint count_plan_changes(const rr_plan *plan) {
    return plan->has_transaction ? plan->transaction.changes->len : 0;
}

unsigned plan_until_settled(test_controller *controller) {
    unsigned changes = 0;
    for (int i = 0; i < PLANS_MAX; i++) {
        rr_plan plan;
        controller->now += PLAN_INTERVAL_S;
        test_controller_plan(controller, &plan);
        guint planned = count_plan_changes(&plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_core_record_command_result(controller->core, controller->now,
                                          g_ptr_array_index(plan.command_batches, k),
                                          RR_COMMAND_ANSWERED, true);
        }
        bool settled = planned == 0 && plan.command_batches->len == 0;
        rr_plan_clear(&plan);
        changes += planned;
        if (settled) {
            return changes;
        }
    }
    return changes;
}

void send_heartbeats_with_job(test_controller *controller, int last, const char *job_id,
                              uint32_t task_count, const char *state, uint64_t sequence) {
    for (int machine = 1; machine <= last; machine++) {
        char id[32], *task_texts[REPORTED_TASKS_MAX] = {NULL};
        int count = 0;
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (uint32_t task = 0; task < task_count && count < REPORTED_TASKS_MAX; task++) {
            uint64_t attempt = fake_store_find_attempt(controller->store, id, job_id, task);
            if (attempt) {
                task_texts[count++] =
                    g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", job_id, task, attempt, state);
            }
        }
        if (count > 0) {
            test_controller_heartbeat(controller, id, "a", false, 1, sequence,
                                      rr_core_fencing_token(controller->core), task_texts[0],
                                      task_texts[1], task_texts[2], task_texts[3], NULL);
        }
        for (int i = 0; i < count; i++) {
            g_free(task_texts[i]);
        }
    }
}

void send_heartbeats_without_tasks(test_controller *controller, int first, int last,
                                   const char *zone, uint64_t worker_epoch, uint64_t sequence) {
    for (int machine = first; machine <= last; machine++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(controller, id, zone, false, worker_epoch, sequence,
                                  rr_core_fencing_token(controller->core), NULL);
    }
}
