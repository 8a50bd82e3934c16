/* The fake worker: runs each task for a fixed time, sends heartbeats to one controller at a time
 * and accepts commands from any. */
#include "fake_services_internal.h"

#include "common/clock.h"
#include "net/client.h"

#include <string.h>

#define DEFAULT_TASK_RUNTIME_S 0.1
#define HEARTBEAT_INTERVAL_S 0.05
#define HEARTBEAT_TIMEOUT_S 2

enum task_state { TASK_RUNNING = 1, TASK_DONE, TASK_STOPPED, TASK_FAILED, TASK_REFUSED };

struct task {
    char name[80];
    uint64_t attempt;
    double ends_at; /* steady time; 0: runs until stopped */
    enum task_state state;
    guint run; /* index of its fake_task_run in fake_worker.runs; unused if it was refused */
};

void fake_worker_init(struct fake_worker *worker) {
    worker->tasks = g_array_new(FALSE, TRUE, sizeof(struct task));
    worker->runs = g_array_new(FALSE, TRUE, sizeof(fake_task_run));
    worker->controllers = g_array_new(FALSE, TRUE, sizeof(struct rr_endpoint));
    worker->first_starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker->late_copies = fake_late_copies_create();
    worker->task_s = DEFAULT_TASK_RUNTIME_S;
    worker->last_answer_at = rr_steady_clock_s();
    g_strlcpy(worker->zone, "a", sizeof worker->zone);
}

void fake_worker_clear(struct fake_worker *worker) {
    g_array_free(worker->tasks, TRUE);
    g_array_free(worker->runs, TRUE);
    g_array_free(worker->controllers, TRUE);
    fake_late_copies_destroy(worker->late_copies);
    g_hash_table_destroy(worker->first_starts);
}

/* ---- tasks ---- */

/* Records when the task first started, or counts a restart. */
static void record_start(struct fake_worker *worker, const char *task_name) {
    if (g_hash_table_contains(worker->first_starts, task_name)) {
        worker->restart_count++;
        return;
    }
    double *started_at = g_new(double, 1);
    *started_at = rr_steady_clock_s();
    g_hash_table_insert(worker->first_starts, g_strdup(task_name), started_at);
}

static void refuse_task(struct fake_worker *worker, const char *name, uint64_t attempt) {
    struct task task = {.attempt = attempt, .state = TASK_REFUSED};
    g_strlcpy(task.name, name, sizeof task.name);
    g_array_append_val(worker->tasks, task);
    worker->starts_to_refuse--;
}

static void start_task(struct fake_worker *worker, const char *name, uint64_t attempt) {
    struct task task = {.attempt = attempt, .state = TASK_RUNNING};
    fake_task_run run = {.started_at = rr_steady_clock_s(), .attempt = attempt};
    /* By convention of the tests, jobs whose number begins with 5 are services. */
    bool is_service = name[strlen("req-")] == '5';
    g_strlcpy(task.name, name, sizeof task.name);
    task.ends_at = is_service ? 0 : rr_steady_clock_s() + worker->task_s;
    task.run = worker->runs->len;
    g_strlcpy(run.task_name, name, sizeof run.task_name);
    g_array_append_val(worker->runs, run);
    g_array_append_val(worker->tasks, task);
    record_start(worker, name);
}

static void end_task(struct fake_worker *worker, struct task *task, enum task_state state,
                     double ended_at) {
    fake_task_run *run = &g_array_index(worker->runs, fake_task_run, task->run);
    task->state = state;
    run->ended_at = ended_at;
    run->done = state == TASK_DONE;
}

static bool task_has_finished(const struct task *task) {
    return task->ends_at > 0 && rr_steady_clock_s() > task->ends_at;
}

/* Returns how the task ends by itself. */
static enum task_state get_own_end(const struct fake_worker *worker, const struct task *task) {
    size_t length = strlen(worker->failing_job);
    bool fails = length > 0 && strncmp(task->name, worker->failing_job, length) == 0;
    return fails ? TASK_FAILED : TASK_DONE;
}

/* Stops all running tasks once no controller has answered for the worker's lease, as a real worker
 * does. Tasks whose runtime is over count as done. */
static void stop_tasks_after_lease(struct fake_worker *worker) {
    if (worker->lease_s <= 0 || rr_steady_clock_s() - worker->last_answer_at <= worker->lease_s) {
        return;
    }
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct task *task = &g_array_index(worker->tasks, struct task, i);
        if (task->state == TASK_RUNNING) {
            bool finished = task_has_finished(task);
            end_task(worker, task, finished ? get_own_end(worker, task) : TASK_STOPPED,
                     finished ? task->ends_at : rr_steady_clock_s());
        }
    }
}

/* ---- commands and heartbeats ---- */

/* Returns the index of a task attempt; the length of the array: unknown. */
static guint find_task(const struct fake_worker *worker, const char *name, uint64_t attempt) {
    guint found = worker->tasks->len;
    for (guint i = 0; i < worker->tasks->len; i++) {
        const struct task *task = &g_array_index(worker->tasks, struct task, i);
        if (task->attempt == attempt && strcmp(task->name, name) == 0) {
            found = i;
        }
    }
    return found;
}

/* Starts, stops or forgets a task. A command that does not fit the task's state has no effect, so
 * that commands may be repeated. */
static void execute_command(struct fake_worker *worker, const msgpack_object *command) {
    const msgpack_object *kind = rr_map_get(command, "verb");
    char name[80];
    uint64_t attempt = 0;
    rr_map_get_text(command, "piece", name, sizeof name);
    rr_map_get_u64(command, "try", &attempt);
    guint index = find_task(worker, name, attempt);
    struct task *task =
        index < worker->tasks->len ? &g_array_index(worker->tasks, struct task, index) : NULL;
    if (rr_object_text_equals(kind, "start") && !task && worker->starts_to_refuse > 0) {
        refuse_task(worker, name, attempt);
    } else if (rr_object_text_equals(kind, "start") && !task) {
        start_task(worker, name, attempt);
    } else if (rr_object_text_equals(kind, "stop") && task && task->state == TASK_RUNNING) {
        end_task(worker, task, TASK_STOPPED, rr_steady_clock_s());
    } else if (rr_object_text_equals(kind, "reap") && task && task->state != TASK_RUNNING) {
        g_array_remove_index(worker->tasks, index);
    }
}

/* Executes the commands of a request or answer and renews the worker's lease. Returns false, and
 * does neither, if the message has no fencing token or one older than the highest received. */
static bool accept_commands(struct fake_worker *worker, const msgpack_object *request) {
    uint64_t fencing_token = 0;
    const msgpack_object *commands = rr_map_get(request, "orders");
    if (!rr_map_get_u64(request, "warrant", &fencing_token) ||
        fencing_token < worker->fencing_token) {
        return false;
    }
    worker->fencing_token = fencing_token;
    worker->last_answer_at = rr_steady_clock_s();
    for (uint32_t i = 0; commands && i < commands->via.array.size; i++) {
        execute_command(worker, &commands->via.array.ptr[i]);
    }
    return true;
}

static void encode_task(const struct task *task, rr_encoder *out) {
    /* Both indexed by enum task_state. */
    static const char *const states[] = {"", "running", "ended", "ended", "ended", "ended"};
    static const char *const reasons[] = {"", "", "done", "halted", "error", "full"};
    bool ended = task->state != TASK_RUNNING;
    rr_encode_map(out, ended ? 4 : 3);
    rr_encode_key_text(out, "piece", task->name);
    rr_encode_key_u64(out, "try", task->attempt);
    rr_encode_key_text(out, "standing", states[task->state]);
    if (ended) {
        rr_encode_key_text(out, "cause", reasons[task->state]);
    }
}

/* Encodes the next heartbeat, in which tasks whose runtime is over have ended. */
static void encode_heartbeat(fake_services *services, rr_encoder *out) {
    struct fake_worker *worker = &services->worker;
    char address[40];
    g_snprintf(address, sizeof address, "127.0.0.1:%u", services->port);
    rr_encode_map(out, 9);
    rr_encode_key_text(out, "stone", FAKE_MACHINE);
    rr_encode_key_text(out, "addr", address);
    rr_encode_key_text(out, "build", FAKE_MACHINE_TYPE);
    rr_encode_key_text(out, "ward", worker->zone);
    rr_encode_key_bool(out, "loaners", false);
    rr_encode_key_u64(out, "tenure", 1);
    rr_encode_key_u64(out, "tally", ++worker->sequence);
    rr_encode_key_u64(out, "warrant", worker->fencing_token);
    rr_encode_text(out, "pieces");
    rr_encode_array(out, worker->tasks->len);
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct task *task = &g_array_index(worker->tasks, struct task, i);
        if (task->state == TASK_RUNNING && task_has_finished(task)) {
            end_task(worker, task, get_own_end(worker, task), task->ends_at);
        }
        encode_task(task, out);
    }
}

bool fake_worker_serves(const char *path) {
    return strcmp(path, "/do") == 0 || strcmp(path, "/status") == 0;
}

int fake_worker_answer(fake_services *services, const char *path, const msgpack_object *request,
                       rr_encoder *out) {
    bool is_status = strcmp(path, "/status") == 0;
    bool accepted = is_status || accept_commands(&services->worker, request);
    if (accepted && !is_status) {
        fake_late_copies_add(services->worker.late_copies, request);
    }
    encode_heartbeat(services, out);
    return accepted ? 200 : 409;
}

/* Executes the late copies that are due. */
static void execute_late_copies(struct fake_worker *worker) {
    rr_document copy;
    while (fake_late_copies_take_due(worker->late_copies, &copy)) {
        accept_commands(worker, copy.root);
        rr_document_clear(&copy);
    }
}

/* ---- worker thread ---- */

/* Directs heartbeats to the next configured controller. Takes the lock. */
static void select_next_controller(fake_services *services) {
    struct fake_worker *worker = &services->worker;
    pthread_mutex_lock(&services->lock);
    worker->current_controller_index =
        (worker->current_controller_index + 1) % worker->controllers->len;
    worker->current_controller =
        g_array_index(worker->controllers, struct rr_endpoint, worker->current_controller_index);
    pthread_mutex_unlock(&services->lock);
}

/* Sends a heartbeat and executes the commands of the answer; without an answer of status 200,
 * selects the next controller. Takes the lock. */
static void report_to_controller(fake_services *services, rr_http_client *client,
                                 const struct rr_endpoint *controller,
                                 const rr_encoder *heartbeat) {
    struct rr_http_call call = {.method = "POST",
                                .endpoint = controller,
                                .path = "/hello",
                                .body = heartbeat->buffer.data,
                                .body_bytes = heartbeat->buffer.size,
                                .timeout_s = HEARTBEAT_TIMEOUT_S};
    rr_http_reply reply;
    rr_document document;
    if (rr_http_client_call(client, &call, &reply) != 0 || reply.status != 200) {
        select_next_controller(services);
        return;
    }
    if (rr_document_parse(&document, reply.body->data, reply.body->len) == 0) {
        pthread_mutex_lock(&services->lock);
        accept_commands(&services->worker, document.root);
        pthread_mutex_unlock(&services->lock);
    }
    rr_document_clear(&document);
}

/* Expires leases of the store, stops tasks after the worker's lease, executes late copies, and
 * sends a heartbeat if the machine exists. Returns false if the services are stopping. Takes the
 * lock. */
static bool run_worker_step(fake_services *services, rr_http_client *client) {
    rr_encoder heartbeat;
    rr_encoder_init(&heartbeat);
    pthread_mutex_lock(&services->lock);
    bool stopping = services->stopping;
    bool sends_heartbeat = services->worker.rented && services->worker.current_controller.port;
    struct rr_endpoint controller = services->worker.current_controller;
    fake_store_service_expire_leases(services);
    stop_tasks_after_lease(&services->worker);
    execute_late_copies(&services->worker);
    if (sends_heartbeat) {
        encode_heartbeat(services, &heartbeat);
    }
    pthread_mutex_unlock(&services->lock);
    if (!stopping && sends_heartbeat) {
        report_to_controller(services, client, &controller, &heartbeat);
    }
    rr_encoder_clear(&heartbeat);
    return !stopping;
}

void *fake_worker_thread(void *argument) {
    rr_http_client *client = rr_http_client_create(NULL);
    while (run_worker_step(argument, client)) {
        rr_sleep(HEARTBEAT_INTERVAL_S);
    }
    rr_http_client_destroy(client);
    return NULL;
}

/* ---- functions for tests ---- */

void fake_services_remove_machine(fake_services *services) {
    struct fake_worker *worker = &services->worker;
    pthread_mutex_lock(&services->lock);
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct task *task = &g_array_index(worker->tasks, struct task, i);
        if (task->state == TASK_RUNNING) {
            end_task(worker, task, TASK_STOPPED, rr_steady_clock_s());
        }
    }
    g_array_set_size(worker->tasks, 0);
    fake_late_copies_drop(worker->late_copies);
    worker->rented = false;
    pthread_mutex_unlock(&services->lock);
}

void fake_services_repeat_starts(fake_services *services, unsigned seed, double delay_min_s,
                                 double delay_max_s) {
    pthread_mutex_lock(&services->lock);
    fake_late_copies_enable(services->worker.late_copies, seed, delay_min_s, delay_max_s);
    pthread_mutex_unlock(&services->lock);
}

unsigned fake_services_count_late_copies(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    unsigned count = fake_late_copies_count(services->worker.late_copies);
    pthread_mutex_unlock(&services->lock);
    return count;
}

void fake_services_refuse_next_start(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    services->worker.starts_to_refuse++;
    pthread_mutex_unlock(&services->lock);
}

void fake_services_set_failing_job(fake_services *services, const char *job_id) {
    struct fake_worker *worker = &services->worker;
    pthread_mutex_lock(&services->lock);
    g_snprintf(worker->failing_job, sizeof worker->failing_job, "%s/", job_id);
    pthread_mutex_unlock(&services->lock);
}

GArray *fake_services_runs(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    GArray *copy = g_array_copy(services->worker.runs);
    pthread_mutex_unlock(&services->lock);
    return copy;
}

unsigned fake_services_count_running_tasks(fake_services *services) {
    const struct fake_worker *worker = &services->worker;
    unsigned count = 0;
    pthread_mutex_lock(&services->lock);
    for (guint i = 0; i < worker->tasks->len; i++) {
        count += g_array_index(worker->tasks, struct task, i).state == TASK_RUNNING;
    }
    pthread_mutex_unlock(&services->lock);
    return count;
}

double fake_services_find_first_start(fake_services *services, const char *task_name) {
    pthread_mutex_lock(&services->lock);
    const double *found = g_hash_table_lookup(services->worker.first_starts, task_name);
    double started_at = found ? *found : 0;
    pthread_mutex_unlock(&services->lock);
    return started_at;
}

unsigned fake_services_restart_count(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    unsigned count = services->worker.restart_count;
    pthread_mutex_unlock(&services->lock);
    return count;
}

unsigned fake_services_count_rentals(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    unsigned count = services->worker.rental_count;
    pthread_mutex_unlock(&services->lock);
    return count;
}
