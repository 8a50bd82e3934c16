/* Load tests of one controller over loopback: user threads submit many small jobs and poll each
 * until it is done, and more workers than the controller has connections for send heartbeats. For
 * profiling, `test_load JOBS [WORKERS]` raises both numbers; the test prints rates and memory. */
#include "core/stats.h"
#include "core_fixture.h"

#include "common/clock.h"
#include "common/log.h"
#include "fake_services.h"
#include "net/client.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define USER_COUNT 4
#define JOBS_MAX 20000
#define WORKERS_MIN 30
#define WORKERS_MAX 6000
#define PROFILING_REQUEST_ROUNDS 60
#define REQUEST_CONNECTIONS_MAX 300

/* request_rounds: requests of each kind over each connection. */
static unsigned job_count = 120, worker_count = 150, request_rounds = 3;

struct user {
    pthread_t thread;
    const struct rr_config *config;
    unsigned first_job;     /* index; the user has each USER_COUNT-th job from here on */
    unsigned refusal_count; /* submissions that were answered neither 200 nor 201 */
    bool failed;            /* whether a job was not done in time */
};

/* Submits a job of one task. Returns the HTTP status, or -1 without an answer. */
static int post_job(const struct rr_config *config, const char *job_id) {
    rr_submission submission;
    test_submission_init(&submission, &(struct test_job){.job_id = job_id, .cpus = 1, .mem_gb = 1});
    return fake_services_submit(config, &submission);
}

/* Polls the job and returns whether it is done; false also without an answer. */
static bool is_job_done(const struct rr_config *config, const char *job_id) {
    char path[64], state[32] = "";
    rr_document document;
    g_snprintf(path, sizeof path, "/submissions/%s", job_id);
    int status = fake_services_request(config, "GET", path, NULL, 0, &document);
    if (status > 0) {
        if (status == 200) {
            rr_map_get_text(document.root, "standing", state, sizeof state);
        }
        rr_document_clear(&document);
    }
    return strcmp(state, "done") == 0;
}

static void format_job_id(unsigned index, char *job_id, size_t size) {
    g_snprintf(job_id, size, "req-%06u", 200000 + index);
}

/* Main function of a user's thread: submits the user's jobs, retrying each refused submission, then
 * polls each job until it is done. Gives up after 120 s. */
static void *run_user(void *arg) {
    struct user *user = arg;
    double deadline = rr_steady_clock_s() + 120;
    char job_id[32];
    for (unsigned i = user->first_job; i < job_count; i += USER_COUNT) {
        format_job_id(i, job_id, sizeof job_id);
        int status;
        while ((status = post_job(user->config, job_id)) != 201 && status != 200 &&
               rr_steady_clock_s() < deadline) {
            user->refusal_count++;
            rr_sleep(0.05);
        }
    }
    for (unsigned i = user->first_job; i < job_count; i += USER_COUNT) {
        format_job_id(i, job_id, sizeof job_id);
        while (!is_job_done(user->config, job_id) && rr_steady_clock_s() < deadline) {
            rr_sleep(0.05);
        }
        user->failed = user->failed || !is_job_done(user->config, job_id);
    }
    return NULL;
}

/* Returns the resident memory of the process in KB; 0 if it can't be read. */
static long read_resident_kb(void) {
    long resident_pages = 0, total_pages;
    FILE *file = fopen("/proc/self/statm", "r");
    if (file) {
        if (fscanf(file, "%ld %ld", &total_pages, &resident_pages) != 2) {
            resident_pages = 0;
        }
        fclose(file);
    }
    return resident_pages * (sysconf(_SC_PAGESIZE) / 1024);
}

/* Starts the controller and waits until its health check returns 200; fails after 60 s. */
static void start_ready_app(struct rr_app *app) {
    double deadline = rr_steady_clock_s() + 60;
    assert_int_equal(rr_app_start(app), 0);
    while (fake_services_request(&app->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.02);
    }
}

static void many_small_jobs_complete(void **state) {
    (void)state;
    fake_services *services = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    struct user users[USER_COUNT];
    fake_services_init_config(services, &app->config, "n0");
    app->config.store_rps = app->config.store_write_rps = 1000;
    start_ready_app(app);
    double started_at = rr_steady_clock_s();
    long resident_before_kb = read_resident_kb();
    for (unsigned i = 0; i < USER_COUNT; i++) {
        users[i] = (struct user){.config = &app->config, .first_job = i};
        assert_int_equal(pthread_create(&users[i].thread, NULL, run_user, &users[i]), 0);
    }
    unsigned refusal_count = 0;
    bool failed = false;
    for (unsigned i = 0; i < USER_COUNT; i++) {
        pthread_join(users[i].thread, NULL);
        refusal_count += users[i].refusal_count;
        failed = failed || users[i].failed;
    }
    double took_s = rr_steady_clock_s() - started_at;
    printf("%u jobs in %.1f s, %.0f per second, %u refusals, %.1f KB per job\n", job_count, took_s,
           job_count / took_s, refusal_count,
           (double)(read_resident_kb() - resident_before_kb) / job_count);
    assert_false(failed);
    /* Jobs that are done must leave no open job and no placed task behind. */
    rr_core_stats stats;
    pthread_mutex_lock(&app->lock);
    rr_core_get_stats(app->core, &stats);
    pthread_mutex_unlock(&app->lock);
    assert_int_equal(stats.jobs_open, 0);
    assert_int_equal(stats.tasks_placed, 0);
    rr_app_stop(app);
    g_free(app);
    fake_services_stop(services);
}

/* Sends one request over an open connection and reads the response. Returns the HTTP status; 0: the
 * connection was closed. body may be NULL. */
static int send_http_request(int fd, const char *method, const char *path, const rr_encoder *body) {
    char buffer[4096];
    size_t body_size = body ? body->buffer.size : 0, received_size = 0, response_size = 0;
    int request_size = g_snprintf(buffer, sizeof buffer,
                                  "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
                                  method, path, body_size);
    if (body_size && (size_t)request_size + body_size <= sizeof buffer) {
        memcpy(buffer + request_size, body->buffer.data, body_size);
        request_size += (int)body_size;
    }
    if (send(fd, buffer, (size_t)request_size, MSG_NOSIGNAL) != request_size) {
        return 0;
    }
    while (received_size < sizeof buffer - 1 &&
           (response_size == 0 || received_size < response_size)) {
        ssize_t chunk_size = recv(fd, buffer + received_size, sizeof buffer - 1 - received_size, 0);
        if (chunk_size <= 0) {
            return 0;
        }
        received_size += (size_t)chunk_size;
        buffer[received_size] = 0;
        const char *header_end = strstr(buffer, "\r\n\r\n");
        const char *content_length =
            header_end ? g_strstr_len(buffer, header_end - buffer, "Content-Length: ") : NULL;
        response_size =
            header_end ? (size_t)(header_end + 4 - buffer) +
                             (content_length
                                  ? strtoul(content_length + strlen("Content-Length: "), NULL, 10)
                                  : 0)
                       : 0;
    }
    return atoi(buffer + strlen("HTTP/1.1 "));
}

/* Sends a heartbeat of a worker with task_count tasks. The first task is in first_task_state, the
 * others are running. Returns as send_http_request(). */
static int send_heartbeat(int fd, unsigned worker, uint64_t sequence, unsigned task_count,
                          const char *first_task_state) {
    char machine_id[32], task_name[32];
    rr_encoder encoder;
    g_snprintf(machine_id, sizeof machine_id, "vm-%06u", 500000 + worker);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 9);
    rr_encode_key_text(&encoder, "stone", machine_id);
    rr_encode_key_text(&encoder, "addr", "127.0.0.1:9");
    rr_encode_key_text(&encoder, "build", "m1");
    rr_encode_key_text(&encoder, "ward", "a");
    rr_encode_key_bool(&encoder, "loaners", false);
    rr_encode_key_u64(&encoder, "tenure", 1);
    rr_encode_key_u64(&encoder, "tally", sequence);
    rr_encode_key_u64(&encoder, "warrant", 0);
    rr_encode_text(&encoder, "pieces");
    rr_encode_array(&encoder, task_count);
    for (unsigned i = 0; i < task_count; i++) {
        g_snprintf(task_name, sizeof task_name, "req-%06u/%u", 180000 + worker, i);
        rr_encode_map(&encoder, 3);
        rr_encode_key_text(&encoder, "piece", task_name);
        rr_encode_key_u64(&encoder, "try", 4294967296 + i);
        rr_encode_key_text(&encoder, "standing", i ? "running" : first_task_state);
    }
    int status = send_http_request(fd, "POST", "/hello", &encoder);
    rr_encoder_clear(&encoder);
    return status;
}

/* The controller has connections for a third of the workers. All workers must be answered, since
 * none may keep a connection that others need, and users and health checks must still get one. */
static void all_workers_are_answered_with_few_connections(void **state) {
    (void)state;
    fake_services *services = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    int *fds = g_new0(int, worker_count);
    fake_services_init_config(services, &app->config, "n0");
    app->config.max_sockets = 100000;
    app->config.tuning.max_connections = (int)worker_count / 3;
    start_ready_app(app);
    double deadline = rr_steady_clock_s() + 60;
    long resident_before_kb = read_resident_kb();
    unsigned retry_count = 0;
    for (unsigned i = 0; i < worker_count; i++) {
        while ((fds[i] = fake_services_connect(&app->config.bind)) < 0 ||
               send_heartbeat(fds[i], i, 1, 0, "") != 200) {
            assert_true(rr_steady_clock_s() < deadline);
            if (fds[i] >= 0) {
                close(fds[i]);
            }
            retry_count++;
            rr_sleep(0.01);
        }
    }
    int open_connections = rr_http_server_connection_count(app->http_server);
    printf("%u workers, %d open connections, %u retries, %.0f KB per connection\n", worker_count,
           open_connections, retry_count,
           (double)(read_resident_kb() - resident_before_kb) /
               (open_connections ? open_connections : 1));
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    /* The limit on the number of connections relies on this bound. The 2 KB per worker are for its
     * machine in the core. */
    assert_true(read_resident_kb() - resident_before_kb <=
                (long)open_connections * RR_CONNECTION_KB + (long)worker_count * 2);
#endif
    assert_true(open_connections <= app->config.tuning.max_connections);
    assert_true(open_connections >= app->config.tuning.max_connections / 2);
    assert_int_equal(fake_services_request(&app->config, "GET", "/ready", NULL, 0, NULL), 200);
    int status = 0;
    deadline = rr_steady_clock_s() + 60;
    while ((status = post_job(&app->config, "req-190001")) != 201 && status != 200) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.05);
    }
    for (unsigned i = 0; i < worker_count; i++) {
        close(fds[i]);
    }
    g_free(fds);
    rr_app_stop(app);
    g_free(app);
    fake_services_stop(services);
}

/* Returns the CPU time of the process in milliseconds, without that of the calling thread, which
 * plays the users and workers. */
static double read_server_cpu_ms(void) {
    struct rusage process_usage, thread_usage;
    getrusage(RUSAGE_SELF, &process_usage);
    getrusage(RUSAGE_THREAD, &thread_usage);
    const struct timeval times[] = {process_usage.ru_utime, process_usage.ru_stime,
                                    thread_usage.ru_utime, thread_usage.ru_stime};
    double times_ms[4];
    for (int i = 0; i < 4; i++) {
        times_ms[i] = (double)times[i].tv_sec * 1e3 + (double)times[i].tv_usec / 1e3;
    }
    return times_ms[0] + times_ms[1] - times_ms[2] - times_ms[3];
}

enum request_kind {
    UNCHANGED_HEARTBEAT,
    CHANGED_HEARTBEAT,
    FINAL_POLL,
    OPEN_POLL,
    HEALTH_CHECK,
    REQUEST_KIND_COUNT
};

/* Sends a request of this kind; `round` makes the heartbeats of a worker differ. Returns as
 * send_http_request(). */
static int send_request_of_kind(enum request_kind kind, int fd, unsigned worker, unsigned round) {
    static const char *const task_states[] = {"fetching", "running"};
    switch (kind) {
    case UNCHANGED_HEARTBEAT:
        return send_heartbeat(fd, worker, 10 + round, 4, "running");
    case CHANGED_HEARTBEAT:
        return send_heartbeat(fd, worker, 1000000 + round, 4, task_states[round % 2]);
    case FINAL_POLL:
        return send_http_request(fd, "GET", "/submissions/req-170000", NULL);
    case OPEN_POLL:
        return send_http_request(fd, "GET", "/submissions/req-170001", NULL);
    default:
        return send_http_request(fd, "GET", "/ready", NULL);
    }
}

/* Sends requests of each kind one after the other over open connections, and prints the CPU time
 * per request. That includes the time of the fake services for requests that read the store. As the
 * times vary, the test only checks that each request is answered. */
static void every_kind_of_request_is_answered(void **state) {
    static const char *const kind_names[] = {"heartbeat, unchanged", "heartbeat, changed",
                                             "poll of a final job", "poll of an open job",
                                             "health check"};
    (void)state;
    fake_services *services = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    unsigned connection_count =
        worker_count < REQUEST_CONNECTIONS_MAX ? worker_count : REQUEST_CONNECTIONS_MAX;
    unsigned rounds = request_rounds;
    int *fds = g_new(int, connection_count);
    fake_services_init_config(services, &app->config, "n0");
    app->config.max_sockets = 100000;
    start_ready_app(app);
    assert_int_equal(post_job(&app->config, "req-170000"), 201);
    assert_int_equal(post_job(&app->config, "req-170001"), 201);
    assert_int_equal(fake_services_request(&app->config, "POST", "/submissions/req-170000/cancel",
                                           NULL, 0, NULL),
                     200);
    for (unsigned i = 0; i < connection_count; i++) {
        fds[i] = fake_services_connect(&app->config.bind);
        assert_true(fds[i] >= 0);
    }
    for (int kind = 0; kind < REQUEST_KIND_COUNT; kind++) {
        double cpu_before_ms = read_server_cpu_ms();
        /* Polls of open jobs are slow, as each waits for a read barrier: one round. */
        unsigned request_count = kind == OPEN_POLL ? connection_count : connection_count * rounds;
        for (unsigned i = 0; i < request_count; i++) {
            assert_int_equal(send_request_of_kind(kind, fds[i % connection_count],
                                                  i % connection_count, 1 + i / connection_count),
                             200);
        }
        printf("%-20s %7u requests, %6.1f us each\n", kind_names[kind], request_count,
               (read_server_cpu_ms() - cpu_before_ms) * 1e3 / request_count);
    }
    for (unsigned i = 0; i < connection_count; i++) {
        close(fds[i]);
    }
    g_free(fds);
    rr_app_stop(app);
    g_free(app);
    fake_services_stop(services);
}

int main(int argc, char **argv) {
    if (argc > 2) {
        unsigned long number = strtoul(argv[2], NULL, 10);
        worker_count =
            number >= WORKERS_MIN && number <= WORKERS_MAX ? (unsigned)number : worker_count;
        request_rounds = PROFILING_REQUEST_ROUNDS;
    }
    if (argc > 1) {
        unsigned long number = strtoul(argv[1], NULL, 10);
        job_count = number > 0 && number <= JOBS_MAX ? (unsigned)number : job_count;
    }
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(many_small_jobs_complete),
        cmocka_unit_test(all_workers_are_answered_with_few_connections),
        cmocka_unit_test(every_kind_of_request_is_answered)};
    rr_app_tune_allocator();
    rr_http_client_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
