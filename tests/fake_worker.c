/* The stand-in worker: runs tasks for a fixed time, sends heartbeats to one controller and takes
 * commands from any. */
#include "fake_services_internal.h"

#include "common/clock.h"
#include "net/client.h"

#include <string.h>

#define TASK_S 0.1
#define HEARTBEAT_PERIOD_S 0.05
#define HEARTBEAT_TIMEOUT_S 2

enum task_state { TASK_RUNNING = 1, TASK_DONE, TASK_STOPPED };

struct task {
    char name[80];
    uint64_t attempt;
    double ends_at; /* steady; 0: runs until stopped */
    enum task_state state;
    guint run; /* index of its fake_services_run */
};

void fake_worker_init(struct fake_worker *worker) {
    worker->tasks = g_array_new(FALSE, TRUE, sizeof(struct task));
    worker->runs = g_array_new(FALSE, TRUE, sizeof(fake_services_run));
    worker->controllers = g_array_new(FALSE, TRUE, sizeof(struct rr_endpoint));
    worker->first_start = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker->task_s = TASK_S;
    worker->answered_at = rr_steady_clock_s();
    g_strlcpy(worker->zone, "a", sizeof worker->zone);
}

void fake_worker_clear(struct fake_worker *worker) {
    g_array_free(worker->tasks, TRUE);
    g_array_free(worker->runs, TRUE);
    g_array_free(worker->controllers, TRUE);
    g_hash_table_destroy(worker->first_start);
}

/* ---- tasks ---- */

static void record_start(struct fake_worker *worker, const char *task_name) {
    if (g_hash_table_contains(worker->first_start, task_name)) {
        worker->restart_count++;
        return;
    }
    double *started_at = g_new(double, 1);
    *started_at = rr_steady_clock_s();
    g_hash_table_insert(worker->first_start, g_strdup(task_name), started_at);
}

static void start_task(struct fake_worker *worker, const char *name, uint64_t attempt) {
    struct task task = {.attempt = attempt, .state = TASK_RUNNING};
    fake_services_run run = {.started_at = rr_steady_clock_s()};
    /* Jobs whose number begins with 5 are services. */
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
    fake_services_run *run = &g_array_index(worker->runs, fake_services_run, task->run);
    task->state = state;
    run->ended_at = ended_at;
    run->done = state == TASK_DONE;
}

static bool is_over(const struct task *task) {
    return task->ends_at > 0 && rr_steady_clock_s() > task->ends_at;
}

/* As a real worker without an answer: its own lease ends what runs. */
static void end_tasks_without_lease(struct fake_worker *worker) {
    if (worker->lease_s <= 0 || rr_steady_clock_s() - worker->answered_at <= worker->lease_s) {
        return;
    }
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct task *task = &g_array_index(worker->tasks, struct task, i);
        if (task->state == TASK_RUNNING) {
            bool over = is_over(task);
            end_task(worker, task, over ? TASK_DONE : TASK_STOPPED,
                     over ? task->ends_at : rr_steady_clock_s());
        }
    }
}

/* ---- commands and heartbeats ---- */

/* The index of an attempt; the number of tasks: unknown. */
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

static void carry_out(struct fake_worker *worker, const msgpack_object *command) {
    const msgpack_object *kind = rr_map_get(command, "verb");
    char name[80];
    uint64_t attempt = 0;
    rr_map_get_text(command, "piece", name, sizeof name);
    rr_map_get_u64(command, "try", &attempt);
    guint index = find_task(worker, name, attempt);
    struct task *task =
        index < worker->tasks->len ? &g_array_index(worker->tasks, struct task, index) : NULL;
    if (rr_object_text_equals(kind, "start") && !task) {
        start_task(worker, name, attempt);
    } else if (rr_object_text_equals(kind, "stop") && task && task->state == TASK_RUNNING) {
        end_task(worker, task, TASK_STOPPED, rr_steady_clock_s());
    } else if (rr_object_text_equals(kind, "reap") && task && task->state != TASK_RUNNING) {
        g_array_remove_index(worker->tasks, index);
    }
}

/* False: the commands are of an older fencing token. */
static bool take_commands(struct fake_worker *worker, const msgpack_object *request) {
    uint64_t fencing_token = 0;
    const msgpack_object *commands = rr_map_get(request, "orders");
    if (!rr_map_get_u64(request, "warrant", &fencing_token) ||
        fencing_token < worker->fencing_token) {
        return false;
    }
    worker->fencing_token = fencing_token;
    worker->answered_at = rr_steady_clock_s();
    for (uint32_t i = 0; commands && i < commands->via.array.size; i++) {
        carry_out(worker, &commands->via.array.ptr[i]);
    }
    return true;
}

static void encode_task(const struct task *task, rr_encoder *out) {
    static const char *const states[] = {"", "running", "ended", "ended"};
    static const char *const reasons[] = {"", "", "done", "halted"};
    bool ended = task->state != TASK_RUNNING;
    rr_encode_map(out, ended ? 4 : 3);
    rr_encode_key_text(out, "piece", task->name);
    rr_encode_key_u64(out, "try", task->attempt);
    rr_encode_key_text(out, "standing", states[task->state]);
    if (ended) {
        rr_encode_key_text(out, "cause", reasons[task->state]);
    }
}

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
        if (task->state == TASK_RUNNING && is_over(task)) {
            end_task(worker, task, TASK_DONE, task->ends_at);
        }
        encode_task(task, out);
    }
}

bool fake_worker_serves(const char *path) {
    return strcmp(path, "/do") == 0 || strcmp(path, "/status") == 0;
}

int fake_worker_answer(fake_services *services, const char *path, const msgpack_object *request,
                       rr_encoder *out) {
    bool accepted = strcmp(path, "/status") == 0 || take_commands(&services->worker, request);
    encode_heartbeat(services, out);
    return accepted ? 200 : 409;
}

/* ---- the thread ---- */

static void switch_controller(fake_services *services) {
    struct fake_worker *worker = &services->worker;
    pthread_mutex_lock(&services->lock);
    worker->next_controller = (worker->next_controller + 1) % worker->controllers->len;
    worker->reports_to =
        g_array_index(worker->controllers, struct rr_endpoint, worker->next_controller);
    pthread_mutex_unlock(&services->lock);
}

/* Sends a heartbeat and takes the commands of its answer. */
static void send_heartbeat(fake_services *services, rr_client *client,
                           const struct rr_endpoint *controller, const rr_encoder *heartbeat) {
    struct rr_http_call call = {.method = "POST",
                                .endpoint = controller,
                                .path = "/hello",
                                .body = heartbeat->buffer.data,
                                .len = heartbeat->buffer.size,
                                .timeout_s = HEARTBEAT_TIMEOUT_S};
    rr_http_reply reply;
    rr_document document;
    if (rr_client_call(client, &call, &reply) != 0 || reply.status != 200) {
        switch_controller(services);
        return;
    }
    if (rr_document_parse(&document, reply.body->data, reply.body->len) == 0) {
        pthread_mutex_lock(&services->lock);
        take_commands(&services->worker, document.root);
        pthread_mutex_unlock(&services->lock);
    }
    rr_document_clear(&document);
}

/* Lets leases run out and tasks end, then sends a heartbeat if there is a machine. False: the
 * services are stopping. */
static bool run_once(fake_services *services, rr_client *client) {
    rr_encoder heartbeat;
    rr_encoder_init(&heartbeat);
    pthread_mutex_lock(&services->lock);
    bool stopping = services->stopping;
    bool reports = services->worker.rented && services->worker.reports_to.port;
    struct rr_endpoint controller = services->worker.reports_to;
    fake_store_expire_leases(services);
    end_tasks_without_lease(&services->worker);
    if (reports) {
        encode_heartbeat(services, &heartbeat);
    }
    pthread_mutex_unlock(&services->lock);
    if (!stopping && reports) {
        send_heartbeat(services, client, &controller, &heartbeat);
    }
    rr_encoder_clear(&heartbeat);
    return !stopping;
}

void *fake_worker_thread(void *argument) {
    rr_client *client = rr_client_create(NULL);
    while (run_once(argument, client)) {
        rr_sleep(HEARTBEAT_PERIOD_S);
    }
    rr_client_destroy(client);
    return NULL;
}

/* ---- what tests ask and switch ---- */

void fake_services_lose_worker(fake_services *services) {
    struct fake_worker *worker = &services->worker;
    pthread_mutex_lock(&services->lock);
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct task *task = &g_array_index(worker->tasks, struct task, i);
        if (task->state == TASK_RUNNING) {
            end_task(worker, task, TASK_STOPPED, rr_steady_clock_s());
        }
    }
    g_array_set_size(worker->tasks, 0);
    worker->rented = false;
    pthread_mutex_unlock(&services->lock);
}

GArray *fake_services_runs(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    GArray *copy = g_array_copy(services->worker.runs);
    pthread_mutex_unlock(&services->lock);
    return copy;
}

unsigned fake_services_running_tasks(fake_services *services) {
    const struct fake_worker *worker = &services->worker;
    unsigned count = 0;
    pthread_mutex_lock(&services->lock);
    for (guint i = 0; i < worker->tasks->len; i++) {
        count += g_array_index(worker->tasks, struct task, i).state == TASK_RUNNING;
    }
    pthread_mutex_unlock(&services->lock);
    return count;
}

double fake_services_started(fake_services *services, const char *task_name) {
    pthread_mutex_lock(&services->lock);
    const double *found = g_hash_table_lookup(services->worker.first_start, task_name);
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

unsigned fake_services_rented_count(fake_services *services) {
    pthread_mutex_lock(&services->lock);
    unsigned count = services->worker.rental_count;
    pthread_mutex_unlock(&services->lock);
    return count;
}
