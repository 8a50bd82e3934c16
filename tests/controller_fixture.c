/* Controllers under test: their settings, sessions and terms, the heartbeats they receive, and
 * their plans. */
#include "controller_fixture.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/submissions.h"

#include <stdlib.h>
#include <string.h>

#define OLD_VERSION_SESSION_KEY RR_KEY_ROOT "node/n1"
#define OLD_VERSION_LEASE_ID 44
#define MACHINES_PER_PAGE 40 /* machines in one record */

void test_config_init(struct rr_config *config, const char *name) {
    static const char *const names[] = {"n0", "n1", "n2"};
    memset(config, 0, sizeof *config);
    g_strlcpy(config->node_name, name, RR_NAME_SIZE);
    g_strlcpy(config->zone, "a", RR_NAME_SIZE);
    for (int i = 0; i < 3; i++) {
        if (strcmp(names[i], name) != 0) {
            g_strlcpy(config->peers[config->peer_count++].name, names[i], RR_NAME_SIZE);
        }
    }
    config->team_count = 2;
    g_strlcpy(config->teams[0].name, "red", RR_NAME_SIZE);
    g_strlcpy(config->teams[1].name, "blue", RR_NAME_SIZE);
    config->objective_count = 1;
    g_strlcpy(config->objectives[0].kind, "wait", sizeof config->objectives[0].kind);
    g_strlcpy(config->objectives[0].job_class, "live", RR_NAME_SIZE);
    config->objectives[0].within_s = 5;
    config->heartbeat_interval_s = 3;
    config->lease_s = 30;
    config->cancel_s = 60;
    config->gang_wait_s = 40;
    config->gang_peer_s = 5;
    config->store_rps = 100;
    config->store_write_rps = 50;
    config->value_kb = 4;
    config->transaction_changes_max = 8;
    config->cloud_rps = 5;
    config->cloud_list_lag_s = 5;
    config->tuning = (struct rr_tuning){.rebalance_period_s = 30,
                                        .rebalance_moves = 4,
                                        .rebalance = true,
                                        .session_lease_share = 0.35,
                                        .heartbeat_reply_share = 1,
                                        .recent_heartbeat_intervals = 2,
                                        .dead_heartbeat_intervals = 3.5,
                                        .idle_return_s = 20,
                                        .headroom = 0,
                                        .startup_wait_factor = 2,
                                        .cloud_list_period_s = 4};
}

void test_controller_init(test_controller *controller, fake_store *store, const char *name) {
    memset(controller, 0, sizeof *controller);
    test_config_init(&controller->config, name);
    controller->store = store;
    controller->core = rr_core_create(&controller->config);
    controller->now = 1000;
    controller->spot_notice_s = -1;
}

void test_controller_clear(test_controller *controller) {
    rr_core_destroy(controller->core);
}

void test_controller_begin_next_term(test_controller *controller) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    fake_store_sync(controller->store, controller->core, controller->now);
    if (rr_core_add_next_term_record(controller->core, controller->now, controller->now,
                                     &transaction)) {
        assert_int_equal(fake_store_commit(controller->store, &transaction), 0);
    }
    rr_transaction_clear(&transaction);
    fake_store_sync(controller->store, controller->core, controller->now);
}

static void format_session_key(const test_controller *controller, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "node/%s", controller->config.node_name);
}

void test_controller_join(test_controller *controller, uint64_t lease_id) {
    char key[RR_NAME_SIZE + 16];
    rr_encoder encoder;
    format_session_key(controller, key, sizeof key);
    rr_encoder_init(&encoder);
    rr_core_encode_session(&controller->config, &encoder, lease_id);
    fake_store_put(controller->store, key, &encoder);
    rr_core_set_session(controller->core, lease_id, controller->now + 1e6);
    test_controller_begin_next_term(controller);
}

void test_controller_delete_session(test_controller *controller) {
    char key[RR_NAME_SIZE + 16];
    format_session_key(controller, key, sizeof key);
    fake_store_delete(controller->store, key);
}

void test_controller_join_old_version(test_controller *controller) {
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_key_u64(&encoder, "tether", OLD_VERSION_LEASE_ID);
    fake_store_put(controller->store, OLD_VERSION_SESSION_KEY, &encoder);
    test_controller_begin_next_term(controller);
}

void test_controller_delete_old_version_session(test_controller *controller) {
    fake_store_delete(controller->store, OLD_VERSION_SESSION_KEY);
    test_controller_begin_next_term(controller);
}

void test_controller_cancel(test_controller *controller, const char *job_id) {
    char key[128];
    uint64_t version;
    rr_encoder encoder;
    rr_transaction transaction;
    rr_encoder_init(&encoder);
    assert_true(rr_core_encode_cancelled_job(controller->core, job_id, &encoder, &version));
    rr_core_job_key(job_id, key, sizeof key);
    rr_transaction_init(&transaction);
    rr_transaction_guard(&transaction, key, version);
    rr_transaction_put(&transaction, key, &encoder, 0);
    assert_int_equal(fake_store_commit(controller->store, &transaction), 0);
    rr_transaction_clear(&transaction);
    fake_store_sync(controller->store, controller->core, controller->now);
}

/* Parses "job-id task attempt state[:exit-reason]", with states and reasons as they are encoded in
 * heartbeats, and appends the task. */
static void append_task_status(rr_heartbeat *heartbeat, const char *text) {
    static const char *const states[] = {"fetching", "running", "flushing", "ended", "waiting"};
    static const char *const exit_reasons[] = {"",       "done",    "halted", "error",     "full",
                                               "in_use", "no_such", "peers",  "incomplete"};
    rr_task_status task = {0};
    char **fields = g_strsplit(text, " ", 4);
    char **state = g_strsplit(fields[3], ":", 2);
    g_strlcpy(task.job_id, fields[0], sizeof task.job_id);
    task.task = (uint32_t)atoi(fields[1]);
    task.attempt = g_ascii_strtoull(fields[2], NULL, 10);
    for (int i = 0; i < 5; i++) {
        task.state = strcmp(states[i], state[0]) == 0 ? (enum rr_task_state)i : task.state;
    }
    for (int i = 1; state[1] && i < 9; i++) {
        task.exit_reason =
            strcmp(exit_reasons[i], state[1]) == 0 ? (enum rr_exit_reason)i : task.exit_reason;
    }
    g_array_append_val(heartbeat->tasks, task);
    g_strfreev(state);
    g_strfreev(fields);
}

void test_controller_heartbeat(test_controller *controller, const char *id, const char *zone,
                               bool spot, uint64_t worker_epoch, uint64_t sequence,
                               uint64_t fencing_token, ...) {
    rr_heartbeat heartbeat = {.spot = spot,
                              .worker_epoch = worker_epoch,
                              .sequence = sequence,
                              .fencing_token = fencing_token,
                              .spot_notice_s = controller->spot_notice_s};
    va_list args;
    const char *text;
    g_strlcpy(heartbeat.machine, id, sizeof heartbeat.machine);
    g_snprintf(heartbeat.address, sizeof heartbeat.address, "127.0.0.1:%d", 1000 + atoi(id + 3));
    g_strlcpy(heartbeat.machine_type, "m1", sizeof heartbeat.machine_type);
    g_strlcpy(heartbeat.zone, zone, sizeof heartbeat.zone);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    va_start(args, fencing_token);
    while ((text = va_arg(args, const char *))) {
        append_task_status(&heartbeat, text);
    }
    va_end(args);
    rr_core_apply_heartbeat(controller->core, controller->now, &heartbeat, -1);
    rr_heartbeat_clear(&heartbeat);
}

/* Formats the tasks that the ledger has placed on vm-<machine>, as test_controller_heartbeat()
 * takes them. Returns their number; the caller frees the strings. */
static int format_reported_tasks(const test_controller *controller,
                                 const struct reporting_machines *reporting, int machine,
                                 char **task_texts) {
    char id[16];
    int count = 0;
    g_snprintf(id, sizeof id, "vm-%d", machine);
    for (int i = 0; i < reporting->job_count; i++) {
        for (uint32_t task = 0;
             task < reporting->tasks_per_job && count < reporting->heartbeat_tasks_max; task++) {
            uint64_t attempt =
                fake_store_find_attempt(controller->store, id, reporting->job_ids[i], task);
            if (attempt) {
                task_texts[count] = g_strdup_printf(
                    "%s %u %" G_GUINT64_FORMAT " %s", reporting->job_ids[i], task, attempt,
                    reporting->state(machine, reporting->job_ids[i], task, count,
                                     reporting->sequence));
                count++;
            }
        }
    }
    return count;
}

void test_controller_send_heartbeats(test_controller *controller,
                                     const struct reporting_machines *reporting) {
    for (int machine = reporting->first; machine <= reporting->last; machine++) {
        char id[16], *task_texts[HEARTBEAT_TASKS_MAX + 1] = {NULL};
        int count = format_reported_tasks(controller, reporting, machine, task_texts);
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(controller, id, machine <= reporting->last_in_zone_a ? "a" : "b",
                                  false, reporting->worker_epoch, reporting->sequence,
                                  rr_core_fencing_token(controller->core), task_texts[0],
                                  task_texts[1], task_texts[2], task_texts[3], task_texts[4],
                                  task_texts[5], task_texts[6], task_texts[7], task_texts[8],
                                  task_texts[9], task_texts[10], task_texts[11], task_texts[12],
                                  task_texts[13], task_texts[14], task_texts[15], NULL);
        for (int i = 0; i < count; i++) {
            g_free(task_texts[i]);
        }
    }
}

void test_controller_add_machines(test_controller *controller, int first, int count,
                                  const char *zone) {
    char id[32];
    for (int i = 0; i < count; i += MACHINES_PER_PAGE) {
        fake_store_put_machines(controller->store, first + i, MIN(count - i, MACHINES_PER_PAGE),
                                zone);
    }
    fake_store_sync(controller->store, controller->core, controller->now);
    for (int i = first; i < first + count; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(controller, id, zone, false, 1, 1,
                                  rr_core_fencing_token(controller->core), NULL);
    }
}

int test_controller_plan(test_controller *controller, rr_plan *plan) {
    int committed = 0;
    rr_plan_init(plan);
    rr_core_plan(controller->core, controller->now, controller->now, plan);
    if (plan->has_transaction) {
        committed = fake_store_commit(controller->store, &plan->transaction) == 0;
    }
    fake_store_sync(controller->store, controller->core, controller->now);
    return committed;
}

rr_command_batch *plan_find_batch(const rr_plan *plan, const char *id) {
    for (guint i = 0; i < plan->command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan->command_batches, i);
        if (strcmp(batch->machine, id) == 0) {
            return batch;
        }
    }
    return NULL;
}

const rr_command *plan_find_command(const rr_plan *plan, const char *id,
                                    enum rr_command_kind command_kind, const char *job_id,
                                    uint32_t task) {
    const rr_command_batch *batch = plan_find_batch(plan, id);
    for (guint i = 0; batch && i < batch->commands->len; i++) {
        const rr_command *command = &g_array_index(batch->commands, rr_command, i);
        if (command->kind == command_kind && command->task == task &&
            strcmp(command->job_id, job_id) == 0) {
            return command;
        }
    }
    return NULL;
}

void append_listed_machine(GArray *machines, const char *id, const char *zone,
                           enum rr_listed_state state, double age_s) {
    rr_listed_machine machine = {.state = state, .age_s = age_s};
    g_strlcpy(machine.id, id, sizeof machine.id);
    g_strlcpy(machine.machine_type, "m1", sizeof machine.machine_type);
    g_strlcpy(machine.zone, zone, sizeof machine.zone);
    g_strlcpy(machine.address, "127.0.0.1:1", sizeof machine.address);
    g_array_append_val(machines, machine);
}

void test_controller_autoscaler_step(test_controller *controller, const GArray *machines,
                                     rr_autoscaler_step *out) {
    rr_autoscaler_step_init(out);
    rr_core_autoscaler_step(controller->core, controller->now, controller->now, out);
    if (out->kind == RR_AUTOSCALER_COMMIT) {
        fake_store_commit(controller->store, &out->transaction);
        fake_store_sync(controller->store, controller->core, controller->now);
    } else if (out->kind == RR_AUTOSCALER_LIST_MACHINES) {
        rr_core_apply_machine_list(controller->core, controller->now, controller->now,
                                   controller->now, machines);
    }
}
