/* Bounded load over loopback: users' threads submit many small jobs to one controller and poll each
 * to its end; more workers than it has connections for send heartbeats. For profiling, `test_load
 * JOBS [WORKERS]` takes more of both than the test does, and prints rates and memory. */
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

#define USERS 4
#define JOBS_MAX 20000
#define WORKERS_MAX 6000

static unsigned jobs = 120, workers = 150, rounds_of_requests = 3;

struct user {
    pthread_t thread;
    const struct rr_config *config;
    unsigned first; /* index of its first job; it takes every USERS-th */
    unsigned refused;
    bool failed;
};

static int submit(const struct rr_config *config, const char *job_id) {
    rr_submission submission;
    test_submission_init(&submission, &(struct test_job){.job_id = job_id, .cpus = 1, .mem_gb = 1});
    return fake_services_submit(config, &submission);
}

static bool is_done(const struct rr_config *config, const char *job_id) {
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

static void make_job_id(unsigned count, char *out, size_t size) {
    g_snprintf(out, size, "req-%06u", 200000 + count);
}

/* Submits the user's jobs, again after each refusal, and polls each until it is done. */
static void *user_main(void *arg) {
    struct user *user = arg;
    double until = rr_steady_clock_s() + 120;
    char job_id[32];
    for (unsigned i = user->first; i < jobs; i += USERS) {
        make_job_id(i, job_id, sizeof job_id);
        int status;
        while ((status = submit(user->config, job_id)) != 201 && status != 200 &&
               rr_steady_clock_s() < until) {
            user->refused++;
            rr_sleep(0.05);
        }
    }
    for (unsigned i = user->first; i < jobs; i += USERS) {
        make_job_id(i, job_id, sizeof job_id);
        while (!is_done(user->config, job_id) && rr_steady_clock_s() < until) {
            rr_sleep(0.05);
        }
        user->failed = user->failed || !is_done(user->config, job_id);
    }
    return NULL;
}

static long resident_kb(void) {
    long pages = 0, all;
    FILE *file = fopen("/proc/self/statm", "r");
    if (file) {
        if (fscanf(file, "%ld %ld", &all, &pages) != 2) {
            pages = 0;
        }
        fclose(file);
    }
    return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static void start_ready(struct rr_app *app) {
    double until = rr_steady_clock_s() + 60;
    assert_int_equal(rr_app_start(app), 0);
    while (fake_services_request(&app->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.02);
    }
}

static void many_jobs_run_to_their_end(void **state) {
    (void)state;
    fake_services *services = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    struct user users[USERS];
    fake_services_init_config(services, &app->config, "n0");
    app->config.store_rps = app->config.store_write_rps = 1000;
    start_ready(app);
    double began = rr_steady_clock_s();
    long before = resident_kb();
    for (unsigned i = 0; i < USERS; i++) {
        users[i] = (struct user){.config = &app->config, .first = i};
        assert_int_equal(pthread_create(&users[i].thread, NULL, user_main, &users[i]), 0);
    }
    unsigned refused = 0;
    bool failed = false;
    for (unsigned i = 0; i < USERS; i++) {
        pthread_join(users[i].thread, NULL);
        refused += users[i].refused;
        failed = failed || users[i].failed;
    }
    double took = rr_steady_clock_s() - began;
    printf("%u jobs in %.1f s, %.0f a second, %u refusals, %.1f KB a job\n", jobs, took,
           jobs / took, refused, (double)(resident_kb() - before) / jobs);
    assert_false(failed);
    /* Jobs that are over leave nothing open. */
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

/* Sends one request on an open connection. Its status; 0: the connection was closed. */
static int request(int fd, const char *method, const char *path, const rr_encoder *body) {
    char text[4096];
    size_t size = body ? body->buffer.size : 0, got = 0, whole = 0;
    int used =
        g_snprintf(text, sizeof text, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
                   method, path, size);
    if (size && (size_t)used + size <= sizeof text) {
        memcpy(text + used, body->buffer.data, size);
        used += (int)size;
    }
    if (send(fd, text, (size_t)used, MSG_NOSIGNAL) != used) {
        return 0;
    }
    while (got < sizeof text - 1 && (whole == 0 || got < whole)) {
        ssize_t received = recv(fd, text + got, sizeof text - 1 - got, 0);
        if (received <= 0) {
            return 0;
        }
        got += (size_t)received;
        text[got] = 0;
        const char *end = strstr(text, "\r\n\r\n");
        const char *length = end ? g_strstr_len(text, end - text, "Content-Length: ") : NULL;
        whole = end ? (size_t)(end + 4 - text) + (length ? strtoul(length + 16, NULL, 10) : 0) : 0;
    }
    return atoi(text + 9);
}

/* Sends a heartbeat with so many tasks, of which the first is in this state. */
static int send_heartbeat(int fd, unsigned worker, uint64_t sequence, unsigned tasks,
                          const char *state) {
    char name[32], task_name[32];
    rr_encoder encoder;
    g_snprintf(name, sizeof name, "vm-%06u", 500000 + worker);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 9);
    rr_encode_key_text(&encoder, "stone", name);
    rr_encode_key_text(&encoder, "addr", "127.0.0.1:9");
    rr_encode_key_text(&encoder, "build", "m1");
    rr_encode_key_text(&encoder, "ward", "a");
    rr_encode_key_bool(&encoder, "loaners", false);
    rr_encode_key_u64(&encoder, "tenure", 1);
    rr_encode_key_u64(&encoder, "tally", sequence);
    rr_encode_key_u64(&encoder, "warrant", 0);
    rr_encode_text(&encoder, "pieces");
    rr_encode_array(&encoder, tasks);
    for (unsigned i = 0; i < tasks; i++) {
        g_snprintf(task_name, sizeof task_name, "req-%06u/%u", 180000 + worker, i);
        rr_encode_map(&encoder, 3);
        rr_encode_key_text(&encoder, "piece", task_name);
        rr_encode_key_u64(&encoder, "try", 4294967296 + i);
        rr_encode_key_text(&encoder, "standing", i ? "running" : state);
    }
    int status = request(fd, "POST", "/hello", &encoder);
    rr_encoder_clear(&encoder);
    return status;
}

/* One controller has connections for a third of a fleet: all workers are answered, since none keeps
 * a connection that others need, and users and health checks get in. */
static void all_workers_are_answered_with_fewer_connections(void **state) {
    (void)state;
    fake_services *services = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    int *fds = g_new0(int, workers);
    fake_services_init_config(services, &app->config, "n0");
    app->config.max_sockets = 100000;
    app->config.tuning.max_connections = (int)workers / 3;
    start_ready(app);
    double until = rr_steady_clock_s() + 60;
    long before = resident_kb();
    unsigned retries = 0;
    for (unsigned i = 0; i < workers; i++) {
        while ((fds[i] = fake_services_connect(&app->config.bind)) < 0 ||
               send_heartbeat(fds[i], i, 1, 0, "") != 200) {
            assert_true(rr_steady_clock_s() < until);
            if (fds[i] >= 0) {
                close(fds[i]);
            }
            retries++;
            rr_sleep(0.01);
        }
    }
    int open = rr_http_server_connection_count(app->http_server);
    printf("%u workers, %d connections kept, %u retries, %.0f KB a connection\n", workers, open,
           retries, (double)(resident_kb() - before) / (open ? open : 1));
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    /* The bound on connections relies on it. Each worker's machine in the core is included. */
    assert_true(resident_kb() - before <= (long)open * RR_CONNECTION_KB + (long)workers * 2);
#endif
    assert_true(open <= app->config.tuning.max_connections);
    assert_true(open >= app->config.tuning.max_connections / 2);
    assert_int_equal(fake_services_request(&app->config, "GET", "/ready", NULL, 0, NULL), 200);
    int status = 0;
    until = rr_steady_clock_s() + 60;
    while ((status = submit(&app->config, "req-190001")) != 201 && status != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    for (unsigned i = 0; i < workers; i++) {
        close(fds[i]);
    }
    g_free(fds);
    rr_app_stop(app);
    g_free(app);
    fake_services_stop(services);
}

/* Processor time of the process without the calling thread, which plays users and workers. */
static double server_ms(void) {
    struct rusage all, own;
    getrusage(RUSAGE_SELF, &all);
    getrusage(RUSAGE_THREAD, &own);
    const struct timeval timeouts[] = {all.ru_utime, all.ru_stime, own.ru_utime, own.ru_stime};
    double milliseconds[4];
    for (int i = 0; i < 4; i++) {
        milliseconds[i] = (double)timeouts[i].tv_sec * 1e3 + (double)timeouts[i].tv_usec / 1e3;
    }
    return milliseconds[0] + milliseconds[1] - milliseconds[2] - milliseconds[3];
}

enum request_kind { UNCHANGED_HEARTBEAT, CHANGED_HEARTBEAT, FINAL_POLL, OPEN_POLL, READY, KINDS };

static int send_request(enum request_kind kind, int fd, unsigned worker, unsigned round) {
    static const char *const standings[] = {"fetching", "running"};
    switch (kind) {
    case UNCHANGED_HEARTBEAT:
        return send_heartbeat(fd, worker, 10 + round, 4, "running");
    case CHANGED_HEARTBEAT:
        return send_heartbeat(fd, worker, 1000000 + round, 4, standings[round % 2]);
    case FINAL_POLL:
        return request(fd, "GET", "/submissions/req-170000", NULL);
    case OPEN_POLL:
        return request(fd, "GET", "/submissions/req-170001", NULL);
    default:
        return request(fd, "GET", "/ready", NULL);
    }
}

/* Prints what each kind of request costs the controller (with the stand-in's part, for those that
 * read the store), one after the other over kept connections. Times are not stable; the test only
 * checks that each request is answered. */
static void every_kind_of_request_is_answered(void **state) {
    static const char *const names[] = {"heartbeat, unchanged", "heartbeat, changed",
                                        "poll of a final job", "poll of an open job",
                                        "health check"};
    (void)state;
    fake_services *services = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    unsigned count = workers < 300 ? workers : 300, rounds = rounds_of_requests;
    int *fds = g_new(int, count);
    fake_services_init_config(services, &app->config, "n0");
    app->config.max_sockets = 100000;
    start_ready(app);
    assert_int_equal(submit(&app->config, "req-170000"), 201);
    assert_int_equal(submit(&app->config, "req-170001"), 201);
    assert_int_equal(fake_services_request(&app->config, "POST", "/submissions/req-170000/cancel",
                                           NULL, 0, NULL),
                     200);
    for (unsigned i = 0; i < count; i++) {
        fds[i] = fake_services_connect(&app->config.bind);
        assert_true(fds[i] >= 0);
    }
    for (int k = 0; k < KINDS; k++) {
        double before = server_ms();
        unsigned total =
            k == OPEN_POLL ? count : count * rounds; /* these wait for their read barrier */
        for (unsigned i = 0; i < total; i++) {
            assert_int_equal(send_request(k, fds[i % count], i % count, 1 + i / count), 200);
        }
        printf("%-20s %7u requests, %6.1f us each\n", names[k], total,
               (server_ms() - before) * 1e3 / total);
    }
    for (unsigned i = 0; i < count; i++) {
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
        workers = number >= 30 && number <= WORKERS_MAX ? (unsigned)number : workers;
        rounds_of_requests = 60;
    }
    if (argc > 1) {
        unsigned long number = strtoul(argv[1], NULL, 10);
        jobs = number > 0 && number <= JOBS_MAX ? (unsigned)number : jobs;
    }
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(many_jobs_run_to_their_end),
        cmocka_unit_test(all_workers_are_answered_with_fewer_connections),
        cmocka_unit_test(every_kind_of_request_is_answered)};
    rr_app_tune_allocator();
    rr_http_client_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
