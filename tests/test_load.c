/* A bounded load generator over loopback. Users' threads submit many small jobs to one controller
 * in the stand-in world, poll each to its end and ask again; then many more workers than it has
 * connections for report to it. For profiling, `test_load JOBS [WORKERS]` takes more of both than
 * the test does, and prints rates and memory. */
#include "core_fixture.h"
#include "core/stats.h"

#include "common/clock.h"
#include "common/log.h"
#include "net/client.h"
#include "fake_services.h"

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

static unsigned jobs = 120, workers = 150, rounds_of_mix = 3;

struct user {
    pthread_t thread;
    const struct rr_config *config;
    unsigned first, refused, asked;
    bool failed;
};

static int submit(const struct rr_config *config, const char *job_id) {
    rr_submission submission;
    test_submission(&submission, &(struct test_job){.job_id = job_id, .cpus = 1, .mem_gb = 1});
    return fake_services_submit(config, &submission);
}

static bool is_done(const struct rr_config *config, const char *job_id) {
    char path[64], state[32] = "";
    rr_document document;
    g_snprintf(path, sizeof path, "/submissions/%s", job_id);
    int status = fake_services_call(config, "GET", path, NULL, 0, &document);
    if (status > 0) {
        if (status == 200) {
            rr_map_get_text(document.root, "standing", state, sizeof state);
        }
        rr_document_clear(&document);
    }
    return strcmp(state, "done") == 0;
}

static void ref_of(unsigned count, char *out, size_t size) {
    g_snprintf(out, size, "req-%06u", 200000 + count);
}

/* Every refusal is answered at once and tried again; every job is polled until it is done. */
static void *user_main(void *arg) {
    struct user *user = arg;
    double until = rr_steady_clock_s() + 120;
    char job_id[32];
    for (unsigned i = user->first; i < jobs; i += USERS) {
        ref_of(i, job_id, sizeof job_id);
        int status;
        while ((status = submit(user->config, job_id)) != 201 && status != 200 &&
               rr_steady_clock_s() < until) {
            user->refused++;
            rr_sleep(0.05);
        }
    }
    for (unsigned i = user->first; i < jobs; i += USERS) {
        ref_of(i, job_id, sizeof job_id);
        while (!is_done(user->config, job_id) && rr_steady_clock_s() < until) {
            user->asked++;
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
    while (fake_services_call(&app->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.02);
    }
}

static void many_jobs_to_their_end(void **state) {
    (void)state;
    fake_services *cluster = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    struct user users[USERS];
    fake_services_config(cluster, &app->config, "n0");
    app->config.state_rps = app->config.state_write_rps = 1000;
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
    /* What is over leaves nothing open behind. */
    rr_core_stats stats;
    pthread_mutex_lock(&app->lock);
    rr_core_get_stats(app->core, &stats);
    pthread_mutex_unlock(&app->lock);
    assert_int_equal(stats.jobs_open, 0);
    assert_int_equal(stats.tasks_placed, 0);
    rr_app_stop(app);
    g_free(app);
    fake_services_stop(cluster);
}

/* One request on a connection, which stays open if the controller leaves it so. Its status, 0:
 * closed instead. */
static int talk(int fd, const char *method, const char *path, const rr_encoder *body) {
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

/* A report of worker n: that many tasks, the first of them in this standing. */
static int hello(int fd, unsigned count, uint64_t sequence, unsigned tasks, const char *state) {
    char name[32], task_name[32];
    rr_encoder encoder;
    g_snprintf(name, sizeof name, "vm-%06u", 500000 + count);
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
        g_snprintf(task_name, sizeof task_name, "req-%06u/%u", 180000 + count, i);
        rr_encode_map(&encoder, 3);
        rr_encode_key_text(&encoder, "piece", task_name);
        rr_encode_key_u64(&encoder, "try", 4294967296 + i);
        rr_encode_key_text(&encoder, "standing", i ? "running" : state);
    }
    int status = talk(fd, "POST", "/hello", &encoder);
    rr_encoder_clear(&encoder);
    return status;
}

/* Every worker of a fleet at one controller that has connections for a third of them: all are
 * answered, as nobody keeps a place that others need, and users and health checks get in. */
static void more_workers_than_connections(void **state) {
    (void)state;
    fake_services *cluster = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    int *fds = g_new0(int, workers);
    fake_services_config(cluster, &app->config, "n0");
    app->config.max_sockets = 100000;
    app->config.tuning.max_connections = (int)workers / 3;
    start_ready(app);
    double until = rr_steady_clock_s() + 60;
    long before = resident_kb();
    unsigned again = 0;
    for (unsigned i = 0; i < workers; i++) {
        while ((fds[i] = fake_services_dial(&app->config.bind)) < 0 ||
               hello(fds[i], i, 1, 0, "") != 200) {
            assert_true(rr_steady_clock_s() < until);
            if (fds[i] >= 0) {
                close(fds[i]);
            }
            again++;
            rr_sleep(0.01);
        }
    }
    int open = rr_http_server_connections(app->http_server);
    printf("%u workers, %d connections kept, %u tries more, %.0f KB a connection\n", workers, open,
           again, (double)(resident_kb() - before) / (open ? open : 1));
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    /* The bound of connections counts on it. Each worker's machine in the model is in here, too. */
    assert_true(resident_kb() - before <= (long)open * RR_CONNECTION_KB + (long)workers * 2);
#endif
    assert_true(open <= app->config.tuning.max_connections);
    assert_true(open >= app->config.tuning.max_connections / 2);
    assert_int_equal(fake_services_call(&app->config, "GET", "/ready", NULL, 0, NULL), 200);
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
    fake_services_stop(cluster);
}

/* Processor time of the process but for the calling thread, which plays the others. */
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

enum kind { QUIET_REPORT, NEWS_REPORT, FINAL_POLL, OPEN_POLL, READY, KINDS };

static int ask(enum kind k, int fd, unsigned worker, unsigned round) {
    static const char *const standings[] = {"fetching", "running"};
    switch (k) {
    case QUIET_REPORT:
        return hello(fd, worker, 10 + round, 4, "running");
    case NEWS_REPORT:
        return hello(fd, worker, 1000000 + round, 4, standings[round % 2]);
    case FINAL_POLL:
        return talk(fd, "GET", "/submissions/req-170000", NULL);
    case OPEN_POLL:
        return talk(fd, "GET", "/submissions/req-170001", NULL);
    default:
        return talk(fd, "GET", "/ready", NULL);
    }
}

/* What each kind of request costs the controller (for those that read the store, the stand-in's
 * part is in it), one after the other over connections that stay. For the eye: times are not
 * stable. That each is answered is what the test is about. */
static void requests_by_kind(void **state) {
    static const char *const names[] = {"report without news", "report with news",
                                        "poll of a final job", "poll of an open job",
                                        "health check"};
    (void)state;
    fake_services *cluster = fake_services_start();
    struct rr_app *app = g_new0(struct rr_app, 1);
    unsigned count = workers < 300 ? workers : 300, rounds = rounds_of_mix;
    int *fds = g_new(int, count);
    fake_services_config(cluster, &app->config, "n0");
    app->config.max_sockets = 100000;
    start_ready(app);
    assert_int_equal(submit(&app->config, "req-170000"), 201);
    assert_int_equal(submit(&app->config, "req-170001"), 201);
    assert_int_equal(
        fake_services_call(&app->config, "POST", "/submissions/req-170000/cancel", NULL, 0, NULL),
        200);
    for (unsigned i = 0; i < count; i++) {
        fds[i] = fake_services_dial(&app->config.bind);
        assert_true(fds[i] >= 0);
    }
    for (int k = 0; k < KINDS; k++) {
        double before = server_ms();
        unsigned all = k == OPEN_POLL ? count : count * rounds; /* these wait for their barrier */
        for (unsigned i = 0; i < all; i++) {
            assert_int_equal(ask(k, fds[i % count], i % count, 1 + i / count), 200);
        }
        printf("%-20s %7u requests, %6.1f us each\n", names[k], all,
               (server_ms() - before) * 1e3 / all);
    }
    for (unsigned i = 0; i < count; i++) {
        close(fds[i]);
    }
    g_free(fds);
    rr_app_stop(app);
    g_free(app);
    fake_services_stop(cluster);
}

int main(int argc, char **argv) {
    if (argc > 2) {
        unsigned long number = strtoul(argv[2], NULL, 10);
        workers = number >= 30 && number <= WORKERS_MAX ? (unsigned)number : workers;
        rounds_of_mix = 60;
    }
    if (argc > 1) {
        unsigned long number = strtoul(argv[1], NULL, 10);
        jobs = number > 0 && number <= JOBS_MAX ? (unsigned)number : jobs;
    }
    const struct CMUnitTest tests[] = {cmocka_unit_test(many_jobs_to_their_end),
                                       cmocka_unit_test(more_workers_than_connections),
                                       cmocka_unit_test(requests_by_kind)};
    rr_app_tune_allocator();
    rr_net_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
