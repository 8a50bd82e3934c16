/* Controllers under test: their settings, sessions and terms, the heartbeats they receive, and
 * their plans. */
#include "controller_fixture.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/submissions.h"

#include <stdlib.h>
#include <string.h>

#define OLD_VERSION_SESSION RR_KEY_ROOT "node/n1"
#define OLD_VERSION_LEASE 44
#define MACHINES_PER_PAGE 40

void test_config(struct rr_config *config, const char *name) {
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
    config->state_rps = 100;
    config->state_write_rps = 50;
    config->value_kb = 4;
    config->transaction_changes_max = 8;
    config->cloud_rps = 5;
    config->list_lag_s = 5;
    config->tuning = (struct rr_tuning){.rebalance_period_s = 30,
                                        .rebalance_moves = 4,
                                        .rebalance = true,
                                        .session_share = 0.35,
                                        .answer_share = 1,
                                        .recent_heartbeat_intervals = 2,
                                        .dead_heartbeat_intervals = 3.5,
                                        .idle_return_s = 20,
                                        .headroom = 0,
                                        .boot_patience = 2,
                                        .cloud_list_s = 4};
}

void test_controller_init(test_controller *node, fake_store *store, const char *name) {
    memset(node, 0, sizeof *node);
    test_config(&node->config, name);
    node->store = store;
    node->core = rr_core_create(&node->config);
    node->now = 1000;
    node->spot_notice_s = -1;
}

void test_controller_clear(test_controller *node) {
    rr_core_destroy(node->core);
}

void test_controller_next_term(test_controller *node) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    fake_store_sync(node->store, node->core, node->now);
    if (rr_core_next_term(node->core, node->now, node->now, &transaction)) {
        assert_int_equal(fake_store_commit(node->store, &transaction), 0);
    }
    rr_transaction_clear(&transaction);
    fake_store_sync(node->store, node->core, node->now);
}

static void session_key(const test_controller *node, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "node/%s", node->config.node_name);
}

void test_controller_join(test_controller *node, uint64_t lease_id) {
    char key[RR_NAME_SIZE + 16];
    rr_encoder encoder;
    session_key(node, key, sizeof key);
    rr_encoder_init(&encoder);
    rr_core_encode_session(&node->config, &encoder, lease_id);
    fake_store_put(node->store, key, &encoder);
    rr_core_set_session(node->core, lease_id, node->now + 1e6);
    test_controller_next_term(node);
}

void test_controller_leave(test_controller *node) {
    char key[RR_NAME_SIZE + 16];
    session_key(node, key, sizeof key);
    fake_store_delete(node->store, key);
}

void test_controller_join_old_version(test_controller *node) {
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_key_u64(&encoder, "tether", OLD_VERSION_LEASE);
    fake_store_put(node->store, OLD_VERSION_SESSION, &encoder);
    test_controller_next_term(node);
}

void test_controller_leave_old_version(test_controller *node) {
    fake_store_delete(node->store, OLD_VERSION_SESSION);
    test_controller_next_term(node);
}

void test_controller_cancel(test_controller *node, const char *job_id) {
    char key[128];
    uint64_t version;
    rr_encoder encoder;
    rr_transaction transaction;
    rr_encoder_init(&encoder);
    assert_true(rr_core_cancel_record(node->core, job_id, &encoder, &version));
    rr_core_job_key(job_id, key, sizeof key);
    rr_transaction_init(&transaction);
    rr_transaction_guard(&transaction, key, version);
    rr_transaction_put(&transaction, key, &encoder, 0);
    assert_int_equal(fake_store_commit(node->store, &transaction), 0);
    rr_transaction_clear(&transaction);
    fake_store_sync(node->store, node->core, node->now);
}

/* text: "job-id task attempt state[:exit-reason]", in the words of the wire. */
static void add_task(rr_heartbeat *heartbeat, const char *text) {
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

void test_controller_heartbeat(test_controller *node, const char *id, const char *zone, bool spot,
                               uint64_t worker_epoch, uint64_t sequence, uint64_t fencing_token,
                               ...) {
    rr_heartbeat heartbeat = {.spot = spot,
                              .worker_epoch = worker_epoch,
                              .sequence = sequence,
                              .fencing_token = fencing_token,
                              .spot_notice_s = node->spot_notice_s};
    va_list args;
    const char *text;
    g_strlcpy(heartbeat.machine, id, sizeof heartbeat.machine);
    g_snprintf(heartbeat.address, sizeof heartbeat.address, "127.0.0.1:%d", 1000 + atoi(id + 3));
    g_strlcpy(heartbeat.machine_type, "m1", sizeof heartbeat.machine_type);
    g_strlcpy(heartbeat.zone, zone, sizeof heartbeat.zone);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    va_start(args, fencing_token);
    while ((text = va_arg(args, const char *))) {
        add_task(&heartbeat, text);
    }
    va_end(args);
    rr_core_take_heartbeat(node->core, node->now, &heartbeat, -1);
    rr_heartbeat_clear(&heartbeat);
}

/* Returns how many tasks the machine shows; the caller frees the texts. */
static int shown_tasks(const test_controller *node, const struct shown_machines *show, int machine,
                       char **texts) {
    char id[16];
    int shown = 0;
    g_snprintf(id, sizeof id, "vm-%d", machine);
    for (int i = 0; i < show->jobs; i++) {
        for (uint32_t task = 0; task < show->tasks && shown < show->task_max; task++) {
            uint64_t attempt = fake_store_attempt(node->store, id, show->job_ids[i], task);
            if (attempt) {
                texts[shown] = g_strdup_printf(
                    "%s %u %" G_GUINT64_FORMAT " %s", show->job_ids[i], task, attempt,
                    show->state(machine, show->job_ids[i], task, shown, show->sequence));
                shown++;
            }
        }
    }
    return shown;
}

void test_controller_show_machines(test_controller *node, const struct shown_machines *show) {
    for (int machine = show->first; machine <= show->last; machine++) {
        char id[16], *texts[SHOWN_TASKS_MAX + 1] = {NULL};
        int shown = shown_tasks(node, show, machine, texts);
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(
            node, id, machine <= show->last_in_a ? "a" : "b", false, show->worker_epoch,
            show->sequence, rr_core_fencing_token(node->core), texts[0], texts[1], texts[2],
            texts[3], texts[4], texts[5], texts[6], texts[7], texts[8], texts[9], texts[10],
            texts[11], texts[12], texts[13], texts[14], texts[15], NULL);
        for (int i = 0; i < shown; i++) {
            g_free(texts[i]);
        }
    }
}

void test_controller_add_machines(test_controller *node, int first, int many, const char *zone) {
    char id[32];
    for (int i = 0; i < many; i += MACHINES_PER_PAGE) {
        fake_store_put_machine_page(node->store, first + i, MIN(many - i, MACHINES_PER_PAGE), zone);
    }
    fake_store_sync(node->store, node->core, node->now);
    for (int i = first; i < first + many; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(node, id, zone, false, 1, 1, rr_core_fencing_token(node->core),
                                  NULL);
    }
}

int test_controller_plan(test_controller *node, rr_plan *plan) {
    int committed = 0;
    rr_plan_init(plan);
    rr_core_plan(node->core, node->now, node->now, plan);
    if (plan->has_transaction) {
        committed = fake_store_commit(node->store, &plan->transaction) == 0;
    }
    fake_store_sync(node->store, node->core, node->now);
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

void list_machine(GArray *machines, const char *id, const char *zone, enum rr_listed_state state,
                  double age_s) {
    rr_listed_machine machine = {.state = state, .age_s = age_s};
    g_strlcpy(machine.id, id, sizeof machine.id);
    g_strlcpy(machine.machine_type, "m1", sizeof machine.machine_type);
    g_strlcpy(machine.zone, zone, sizeof machine.zone);
    g_strlcpy(machine.address, "127.0.0.1:1", sizeof machine.address);
    g_array_append_val(machines, machine);
}

void test_controller_autoscaler_step(test_controller *node, const GArray *machines,
                                     rr_autoscaler_step *out) {
    rr_autoscaler_step_init(out);
    rr_core_autoscaler_step(node->core, node->now, node->now, out);
    if (out->kind == RR_AUTOSCALER_COMMIT) {
        fake_store_commit(node->store, &out->transaction);
        fake_store_sync(node->store, node->core, node->now);
    } else if (out->kind == RR_AUTOSCALER_LIST) {
        rr_core_machines_listed(node->core, node->now, node->now, node->now, machines);
    }
}
