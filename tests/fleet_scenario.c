#include "fleet_scenario.h"
#include "core/leadership.h"
#include "core/planning.h"

#define PLANS_MAX 400     /* of plan_until_settled() */
#define TASKS_SHOWN_MAX 4 /* in a heartbeat of heartbeat_with_job() */

void job_id_of(int number, char *out) {
    g_snprintf(out, JOB_ID_SIZE, "req-%06d", number);
}

void submit_many(test_controller *node, int first, int many, const struct test_job *like) {
    for (int i = first; i < first + many; i++) {
        char job_id[JOB_ID_SIZE];
        struct test_job job = *like;
        job_id_of(i, job_id);
        job.job_id = job_id;
        fake_store_submit(node->store, &job, node->now);
    }
    fake_store_sync(node->store, node->core, node->now);
}

guint plan_changes(const rr_plan *plan) {
    return plan->has_transaction ? plan->transaction.changes->len : 0;
}

unsigned plan_until_settled(test_controller *node) {
    unsigned changes = 0;
    for (int i = 0; i < PLANS_MAX; i++) {
        rr_plan plan;
        node->now += 0.01;
        test_controller_plan(node, &plan);
        guint planned = plan_changes(&plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_core_command_result(node->core, node->now,
                                   g_ptr_array_index(plan.command_batches, k), RR_COMMAND_ANSWERED,
                                   true);
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

void heartbeat_with_job(test_controller *node, int last, const char *job_id, uint32_t task_count,
                        const char *state, uint64_t sequence) {
    for (int machine = 1; machine <= last; machine++) {
        char id[32], *shown[TASKS_SHOWN_MAX] = {NULL};
        int count = 0;
        g_snprintf(id, sizeof id, "vm-%d", machine);
        for (uint32_t task = 0; task < task_count && count < TASKS_SHOWN_MAX; task++) {
            uint64_t attempt = fake_store_attempt(node->store, id, job_id, task);
            if (attempt) {
                shown[count++] =
                    g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", job_id, task, attempt, state);
            }
        }
        if (count > 0) {
            test_controller_heartbeat(node, id, "a", false, 1, sequence,
                                      rr_core_fencing_token(node->core), shown[0], shown[1],
                                      shown[2], shown[3], NULL);
        }
        for (int i = 0; i < count; i++) {
            g_free(shown[i]);
        }
    }
}

void heartbeat_without_tasks(test_controller *node, int first, int last, const char *zone,
                             uint64_t worker_epoch, uint64_t sequence) {
    for (int machine = first; machine <= last; machine++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, zone, false, worker_epoch, sequence,
                                  rr_core_fencing_token(node->core), NULL);
    }
}
