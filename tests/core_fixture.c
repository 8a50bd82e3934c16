#include "core_fixture.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct fake_value {
    void *data;
    size_t len;
    uint64_t version;
};

struct fake_change {
    char *key;
    void *data; /* NULL: deleted */
    size_t len;
    uint64_t version;
};

static void value_free(gpointer data) {
    struct fake_value *value = data;
    g_free(value->data);
    g_free(value);
}

static void change_free(gpointer data) {
    struct fake_change *change = data;
    g_free(change->key);
    g_free(change->data);
    g_free(change);
}

fake_store *fake_store_create(void) {
    fake_store *store = g_new0(fake_store, 1);
    store->kv = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_free);
    store->log = g_ptr_array_new_with_free_func(change_free);
    return store;
}

void fake_store_destroy(fake_store *store) {
    g_hash_table_destroy(store->kv);
    g_ptr_array_free(store->log, TRUE);
    g_free(store);
}

uint64_t fake_store_version(const fake_store *store, const char *key) {
    const struct fake_value *value = g_hash_table_lookup(store->kv, key);
    return value ? value->version : 0;
}

uint64_t fake_store_change_revision(const fake_store *store, guint i) {
    return ((const struct fake_change *)g_ptr_array_index(store->log, i))->version;
}

void fake_store_each(const fake_store *store, fake_store_record_fn callback, void *user) {
    GHashTableIter iter;
    gpointer key, value;
    g_hash_table_iter_init(&iter, store->kv);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fake_value *record = value;
        rr_document document;
        assert_int_equal(rr_document_parse(&document, record->data, record->len), 0);
        callback(user, key, document.root, record->version);
        rr_document_clear(&document);
    }
}

unsigned fake_store_count(const fake_store *store, const char *prefix) {
    GHashTableIter iter;
    gpointer key;
    unsigned count = 0;
    g_hash_table_iter_init(&iter, store->kv);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        count += g_str_has_prefix(key, prefix);
    }
    return count;
}

/* As the key-value store counts it. */
static size_t json_size(const void *data, size_t length) {
    static char text[256 * 1024];
    rr_document document;
    assert_int_equal(rr_document_parse(&document, data, length), 0);
    int count = msgpack_object_print_buffer(text, sizeof text, *document.root);
    rr_document_clear(&document);
    return (size_t)count;
}

size_t fake_store_value_size(const fake_store *store, const char *key) {
    const struct fake_value *value = g_hash_table_lookup(store->kv, key);
    return value ? json_size(value->data, value->len) : 0;
}

static bool within_limits(const fake_store *store, const rr_transaction *parts) {
    if (store->ops_max &&
        (parts->changes->len > store->ops_max || parts->guards->len > 4 * store->ops_max)) {
        return false;
    }
    for (guint i = 0; store->value_max && i < parts->changes->len; i++) {
        const rr_change *change = &g_array_index(parts->changes, rr_change, i);
        if (change->value && json_size(change->value, change->length) > store->value_max) {
            return false;
        }
    }
    return true;
}

int fake_store_commit(fake_store *store, const rr_transaction *parts) {
    if (!within_limits(store, parts)) {
        return -EINVAL;
    }
    for (guint i = 0; i < parts->guards->len; i++) {
        const rr_guard *guard = &g_array_index(parts->guards, rr_guard, i);
        if (fake_store_version(store, guard->key) != guard->version) {
            return -EAGAIN;
        }
    }
    store->epoch++;
    for (guint i = 0; i < parts->changes->len; i++) {
        const rr_change *change = &g_array_index(parts->changes, rr_change, i);
        struct fake_change *log = g_new0(struct fake_change, 1);
        log->key = g_strdup(change->key);
        log->version = store->epoch;
        if (change->value) {
            struct fake_value *value = g_new0(struct fake_value, 1);
            value->data = g_memdup2(change->value, change->length);
            value->len = log->len = change->length;
            value->version = store->epoch;
            log->data = g_memdup2(change->value, change->length);
            g_hash_table_replace(store->kv, g_strdup(change->key), value);
        } else {
            g_hash_table_remove(store->kv, change->key);
        }
        g_ptr_array_add(store->log, log);
    }
    return 0;
}

void fake_store_sync(fake_store *store, rr_core *core, double now) {
    uint64_t from = rr_core_revision(core);
    if (!rr_core_cache_loaded(core)) {
        rr_core_cache_begin_reload(core);
    }
    for (guint i = 0; i < store->log->len; i++) {
        const struct fake_change *change = g_ptr_array_index(store->log, i);
        if (change->version <= from) {
            continue;
        }
        if (!change->data) {
            rr_core_cache_delete(core, change->key, change->version, now);
            continue;
        }
        rr_document document;
        assert_int_equal(rr_document_parse(&document, change->data, change->len), 0);
        rr_core_cache_put(core, change->key, document.root, change->version, now);
        rr_document_clear(&document);
    }
    if (!rr_core_cache_loaded(core)) {
        rr_core_cache_end_reload(core, store->epoch, store->epoch, now);
    }
    rr_core_set_revision(core, store->epoch);
    rr_core_set_cache_current(core, now);
}

static gint by_text(gconstpointer left, gconstpointer right) {
    return strcmp(left, right);
}

void fake_store_reload(fake_store *store, rr_core *core, double now) {
    GList *keys = g_list_sort(g_hash_table_get_keys(store->kv), by_text);
    rr_core_cache_begin_reload(core);
    for (const GList *node = keys; node; node = node->next) {
        const struct fake_value *value = g_hash_table_lookup(store->kv, node->data);
        rr_document document;
        assert_int_equal(rr_document_parse(&document, value->data, value->len), 0);
        rr_core_cache_put(core, node->data, document.root, value->version, now);
        rr_document_clear(&document);
    }
    rr_core_cache_end_reload(core, store->epoch, store->epoch, now);
    rr_core_set_revision(core, store->epoch);
    rr_core_set_cache_current(core, now);
    g_list_free(keys);
}

GString *fake_store_dump(const fake_store *store) {
    GString *out = g_string_new(NULL);
    GList *keys = g_list_sort(g_hash_table_get_keys(store->kv), by_text);
    for (const GList *node = keys; node; node = node->next) {
        const struct fake_value *value = g_hash_table_lookup(store->kv, node->data);
        g_string_append_printf(out, "%s ", (const char *)node->data);
        for (size_t i = 0; i < value->len; i++) {
            g_string_append_printf(out, "%02x", ((const uint8_t *)value->data)[i]);
        }
        g_string_append_c(out, '\n');
    }
    g_list_free(keys);
    return out;
}

void fake_store_put(fake_store *store, const char *key, rr_encoder *encoder) {
    rr_transaction parts;
    rr_transaction_init(&parts);
    rr_transaction_put(&parts, key, encoder, 0);
    assert_int_equal(fake_store_commit(store, &parts), 0);
    rr_transaction_clear(&parts);
}

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
                                        .silent_reports = 2,
                                        .dead_reports = 3.5,
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
    rr_transaction parts;
    rr_transaction_init(&parts);
    fake_store_sync(node->store, node->core, node->now);
    if (rr_core_next_term(node->core, node->now, node->now, &parts)) {
        assert_int_equal(fake_store_commit(node->store, &parts), 0);
    }
    rr_transaction_clear(&parts);
    fake_store_sync(node->store, node->core, node->now);
}

static void node_key(const test_controller *node, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "node/%s", node->config.node_name);
}

void test_controller_join(test_controller *node, uint64_t lease_id) {
    char key[RR_NAME_SIZE + 16];
    rr_encoder encoder;
    node_key(node, key, sizeof key);
    rr_encoder_init(&encoder);
    rr_core_encode_session(&node->config, &encoder, lease_id);
    fake_store_put(node->store, key, &encoder);
    rr_core_set_session(node->core, lease_id, node->now + 1e6);
    test_controller_next_term(node);
}

void test_controller_leave(test_controller *node) {
    char key[RR_NAME_SIZE + 16];
    rr_transaction parts;
    node_key(node, key, sizeof key);
    rr_transaction_init(&parts);
    rr_transaction_delete(&parts, key);
    assert_int_equal(fake_store_commit(node->store, &parts), 0);
    rr_transaction_clear(&parts);
}

void test_controller_join_old_version(test_controller *node) {
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_key_u64(&encoder, "tether", 44);
    fake_store_put(node->store, RR_KEY_ROOT "node/n1", &encoder);
    test_controller_next_term(node);
}

void test_controller_leave_old_version(test_controller *node) {
    rr_transaction parts;
    rr_transaction_init(&parts);
    rr_transaction_delete(&parts, RR_KEY_ROOT "node/n1");
    assert_int_equal(fake_store_commit(node->store, &parts), 0);
    rr_transaction_clear(&parts);
    test_controller_next_term(node);
}

void fake_store_put_machine_type(fake_store *store, const char *type_name, double cpu, double gpu,
                                 double mem, double price, double spot) {
    rr_machine_type type = {.cpus = cpu,
                            .gpus = gpu,
                            .mem_gb = mem,
                            .cache_gb = 100,
                            .pull_rate = 1,
                            .price = price,
                            .spot_price = spot,
                            .startup_s = 30};
    char key[128];
    rr_encoder encoder;
    g_strlcpy(type.name, type_name, sizeof type.name);
    type.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(type.zones, g_strdup("a"));
    g_ptr_array_add(type.zones, g_strdup("b"));
    rr_encoder_init(&encoder);
    rr_machine_type_encode(&encoder, &type);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "build/%s", type_name);
    fake_store_put(store, key, &encoder);
    rr_machine_type_clear(&type);
}

void test_submission(rr_submission *out, const struct test_job *job) {
    static const char *const ranks[] = {"low", "standard", "high", "prod"};
    memset(out, 0, sizeof *out);
    g_strlcpy(out->job_id, job->job_id, sizeof out->job_id);
    g_strlcpy(out->team, job->team ? job->team : "red", sizeof out->team);
    g_strlcpy(out->job_class, job->job_class ? job->job_class : "plain", sizeof out->job_class);
    g_strlcpy(out->image, job->image ? job->image : "img-1", sizeof out->image);
    g_strlcpy(out->zone, job->zone ? job->zone : "", sizeof out->zone);
    for (int i = 0; i < 4; i++) {
        if (strcmp(ranks[i], job->rank ? job->rank : "standard") == 0) {
            out->priority = (enum rr_priority)i;
        }
    }
    out->kind = job->gang ? RR_JOB_GANG : job->service ? RR_JOB_SERVICE : RR_JOB_ARRAY;
    out->task_count = job->pieces ? job->pieces : 1;
    out->cpus = job->cpus ? job->cpus : 4;
    out->gpus = job->gpus;
    out->mem_gb = job->mem_gb ? job->mem_gb : 8;
    out->one_zone = job->one_zone;
    out->spread = job->spread;
    out->spot = job->spot;
    out->checkpoint_interval_s = job->checkpoint_interval_s;
    out->save_s = job->save_s;
    out->deadline_s = job->deadline_s > 0 ? job->deadline_s : -1;
}

void fake_store_submit(fake_store *store, const struct test_job *job, double when) {
    rr_submission sub;
    char key[128];
    rr_encoder encoder;
    test_submission(&sub, job);
    rr_encoder_init(&encoder);
    rr_core_job_encode(&encoder, &sub, when, false);
    rr_core_job_key(job->job_id, key, sizeof key);
    fake_store_put(store, key, &encoder);
}

void test_controller_cancel(test_controller *node, const char *job_id) {
    char key[128];
    uint64_t version;
    rr_encoder encoder;
    rr_transaction parts;
    rr_encoder_init(&encoder);
    assert_true(rr_core_cancel_record(node->core, job_id, &encoder, &version));
    rr_core_job_key(job_id, key, sizeof key);
    rr_transaction_init(&parts);
    rr_transaction_guard(&parts, key, version);
    rr_transaction_put(&parts, key, &encoder, 0);
    assert_int_equal(fake_store_commit(node->store, &parts), 0);
    rr_transaction_clear(&parts);
    fake_store_sync(node->store, node->core, node->now);
}

void fake_store_put_machine(fake_store *store, const char *id, const char *zone, bool spot,
                            bool own) {
    char key[128], address[64];
    rr_encoder encoder;
    g_snprintf(address, sizeof address, "127.0.0.1:%d", 1000 + atoi(id + 3));
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_text(&encoder, "stones");
    rr_encode_array(&encoder, 1);
    rr_encode_array(&encoder, 6);
    rr_encode_text(&encoder, id);
    rr_encode_text(&encoder, address);
    rr_encode_text(&encoder, "m1");
    rr_encode_text(&encoder, zone);
    rr_encode_u64(&encoder, (spot ? 1 : 0) | (own ? 2 : 0));
    rr_encode_number(&encoder, 0);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", atoi(id + 3) + 100000);
    fake_store_put(store, key, &encoder);
}

void fake_store_delete_machine(fake_store *store, const char *id) {
    char key[128];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_text(&encoder, "stones");
    rr_encode_array(&encoder, 0);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", atoi(id + 3) + 100000);
    fake_store_put(store, key, &encoder);
}

/* Whether a record of the fleet names the machine. */
bool fake_store_has_machine(const fake_store *store, const char *id) {
    GHashTableIter iter;
    gpointer key, value;
    bool found = false;
    g_hash_table_iter_init(&iter, store->kv);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fake_value *val = value;
        rr_document document;
        if (!g_str_has_prefix(key, RR_KEY_ROOT "fleet/")) {
            continue;
        }
        assert_int_equal(rr_document_parse(&document, val->data, val->len), 0);
        const msgpack_object *list = rr_map_get(document.root, "stones");
        for (uint32_t i = 0; i < list->via.array.size; i++) {
            found = found || rr_object_text_equals(&list->via.array.ptr[i].via.array.ptr[0], id);
        }
        rr_document_clear(&document);
    }
    return found;
}

static void add_piece(rr_heartbeat *heartbeat, const char *text) {
    static const char *const standings[] = {"fetching", "running", "flushing", "ended", "waiting"};
    static const char *const causes[] = {"",       "done",    "halted", "error",     "full",
                                         "in_use", "no_such", "peers",  "incomplete"};
    rr_task_status task = {0};
    char **field = g_strsplit(text, " ", 4);
    char **choice = g_strsplit(field[3], ":", 2);
    g_strlcpy(task.job_id, field[0], sizeof task.job_id);
    task.task = (uint32_t)atoi(field[1]);
    task.attempt = g_ascii_strtoull(field[2], NULL, 10);
    for (int i = 0; i < 5; i++) {
        task.state = strcmp(standings[i], choice[0]) == 0 ? (enum rr_task_state)i : task.state;
    }
    for (int i = 1; choice[1] && i < 9; i++) {
        task.exit_reason =
            strcmp(causes[i], choice[1]) == 0 ? (enum rr_exit_reason)i : task.exit_reason;
    }
    g_array_append_val(heartbeat->tasks, task);
    g_strfreev(choice);
    g_strfreev(field);
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
        add_piece(&heartbeat, text);
    }
    va_end(args);
    rr_core_take_heartbeat(node->core, node->now, &heartbeat, -1);
    rr_heartbeat_clear(&heartbeat);
}

int test_controller_plan(test_controller *node, rr_plan *plan) {
    int done = 0;
    rr_plan_init(plan);
    rr_core_plan(node->core, node->now, node->now, plan);
    if (plan->has_transaction) {
        done = fake_store_commit(node->store, &plan->transaction) == 0;
    }
    fake_store_sync(node->store, node->core, node->now);
    return done;
}

static uint64_t booked_in(const struct fake_value *value, const char *id, uint32_t task) {
    uint64_t found = 0;
    rr_document document;
    assert_int_equal(rr_document_parse(&document, value->data, value->len), 0);
    const msgpack_object *list = rr_map_get(document.root, "tasks");
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        const msgpack_object *fields = list->via.array.ptr[i].via.array.ptr;
        if (rr_object_text_equals(&fields[1], id) && fields[0].via.u64 == task) {
            found = fields[2].via.u64;
        }
    }
    rr_document_clear(&document);
    return found;
}

#define CHUNK_TASKS 64 /* of the fixture's settings */

/* In the record of the task's chunk, or in those that follow it: overflow records. */
uint64_t fake_store_attempt(const fake_store *store, const char *id, const char *job_id,
                            uint32_t task) {
    uint64_t found = 0;
    for (uint32_t chunk = task / CHUNK_TASKS; found == 0; chunk++) {
        char key[128];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%u", job_id, chunk);
        const struct fake_value *value = g_hash_table_lookup(store->kv, key);
        if (!value) {
            break;
        }
        found = booked_in(value, id, task);
    }
    return found;
}

/* What the machine shows; the texts are the caller's. */
static int shown_on(const test_controller *node, const struct shown_machines *show, int machine,
                    char **texts) {
    char id[16];
    int shown = 0;
    g_snprintf(id, sizeof id, "vm-%d", machine);
    for (int i = 0; i < show->jobs; i++) {
        for (uint32_t parts = 0; parts < show->tasks && shown < show->most; parts++) {
            uint64_t attempt = fake_store_attempt(node->store, id, show->refs[i], parts);
            if (attempt) {
                texts[shown] = g_strdup_printf(
                    "%s %u %" G_GUINT64_FORMAT " %s", show->refs[i], parts, attempt,
                    show->state(machine, show->refs[i], parts, shown, show->sequence));
                shown++;
            }
        }
    }
    return shown;
}

void test_controller_show_machines(test_controller *node, const struct shown_machines *show) {
    for (int machine = show->first; machine <= show->last; machine++) {
        char id[16], *parts[SHOWN_TASKS_MAX + 1] = {NULL};
        int shown = shown_on(node, show, machine, parts);
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(
            node, id, machine <= show->last_in_a ? "a" : "b", false, show->worker_epoch,
            show->sequence, rr_core_fencing_token(node->core), parts[0], parts[1], parts[2],
            parts[3], parts[4], parts[5], parts[6], parts[7], parts[8], parts[9], parts[10],
            parts[11], parts[12], parts[13], parts[14], parts[15], NULL);
        for (int i = 0; i < shown; i++) {
            g_free(parts[i]);
        }
    }
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

int core_fixture_setup(void **state) {
    core_fixture *fixture = g_new0(core_fixture, 1);
    fixture->store = fake_store_create();
    fake_store_put_machine_type(fixture->store, "m1", 16, 4, 64, 10, 4);
    test_controller_init(&fixture->n, fixture->store, "n0");
    test_controller_join(&fixture->n, 7);
    *state = fixture;
    return 0;
}

int core_fixture_teardown(void **state) {
    core_fixture *fixture = *state;
    test_controller_clear(&fixture->n);
    fake_store_destroy(fixture->store);
    g_free(fixture);
    return 0;
}

static void put_fleet(fake_store *store, int first, int count, const char *zone, bool own) {
    char key[64], id[32], address[32];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_text(&encoder, "stones");
    rr_encode_array(&encoder, (size_t)count);
    for (int i = first; i < first + count; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        g_snprintf(address, sizeof address, "127.0.0.1:%d", 1000 + i);
        rr_encode_array(&encoder, 6);
        rr_encode_text(&encoder, id);
        rr_encode_text(&encoder, address);
        rr_encode_text(&encoder, "m1");
        rr_encode_text(&encoder, zone);
        rr_encode_u64(&encoder, own ? 2 : 0);
        rr_encode_number(&encoder, 0);
    }
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", first);
    fake_store_put(store, key, &encoder);
}

void test_controller_add_machines(test_controller *node, int first, int many, const char *zone) {
    char id[32];
    for (int i = 0; i < many; i += 40) {
        put_fleet(node->store, first + i, many - i < 40 ? many - i : 40, zone, true);
    }
    fake_store_sync(node->store, node->core, node->now);
    for (int i = first; i < first + many; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(node, id, zone, false, 1, 1, rr_core_fencing_token(node->core),
                                  NULL);
    }
}

unsigned fake_store_placed_count(const fake_store *store, const char *job_id) {
    GHashTableIter iter;
    gpointer key, value;
    unsigned count = 0;
    char prefix[64];
    g_snprintf(prefix, sizeof prefix, RR_KEY_ROOT "run/%s/", job_id);
    g_hash_table_iter_init(&iter, store->kv);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fake_value *val = value;
        rr_document document;
        if (g_str_has_prefix(key, prefix)) {
            assert_int_equal(rr_document_parse(&document, val->data, val->len), 0);
            count += rr_map_get(document.root, "tasks")->via.array.size;
            rr_document_clear(&document);
        }
    }
    return count;
}

void list_machine(GArray *list, const char *id, const char *zone, enum rr_listed_state state,
                  double age_s) {
    rr_listed_machine machine = {.state = state, .age_s = age_s};
    g_strlcpy(machine.id, id, sizeof machine.id);
    g_strlcpy(machine.machine_type, "m1", sizeof machine.machine_type);
    g_strlcpy(machine.zone, zone, sizeof machine.zone);
    g_strlcpy(machine.address, "127.0.0.1:1", sizeof machine.address);
    g_array_append_val(list, machine);
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
