/* A bounded load generator over loopback. Users' threads submit many small jobs to one controller
 * in the stand-in world, poll each to its end and ask again; then many more workers than it has
 * connections for report to it. For profiling, `test_load JOBS [WORKERS]` takes more of both than
 * the test does, and prints rates and memory. */
#include "fakes.h"

#include "app/clock.h"
#include "app/log.h"
#include "net/client.h"
#include "world.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define USERS 4
#define JOBS_MAX 20000
#define WORKERS_MAX 6000

static unsigned jobs = 120, workers = 150;

struct user {
    pthread_t thread;
    const struct rr_config *cfg;
    unsigned first, refused, asked;
    bool failed;
};

static int submit(const struct rr_config *cfg, const char *ref) {
    rr_submission s;
    rr_out o;
    fx_submission(&s, &(struct fx_job){.ref = ref, .cpu = 1, .mem = 1});
    rr_out_init(&o);
    rr_put_map(&o, rr_submission_field_count(&s));
    rr_submission_encode_fields(&o, &s);
    int status = world_call(cfg, "POST", "/submissions", o.buf.data, o.buf.size, NULL);
    rr_out_clear(&o);
    return status;
}

static bool is_done(const struct rr_config *cfg, const char *ref) {
    char path[64], standing[32] = "";
    rr_doc d;
    g_snprintf(path, sizeof path, "/submissions/%s", ref);
    int status = world_call(cfg, "GET", path, NULL, 0, &d);
    if (status > 0) {
        if (status == 200) {
            rr_get_text(d.root, "standing", standing, sizeof standing);
        }
        rr_doc_clear(&d);
    }
    return strcmp(standing, "done") == 0;
}

static void ref_of(unsigned n, char *out, size_t size) {
    g_snprintf(out, size, "req-%06u", 200000 + n);
}

/* Every refusal is answered at once and tried again; every job is polled until it is done. */
static void *user_main(void *arg) {
    struct user *u = arg;
    double until = rr_now() + 120;
    char ref[32];
    for (unsigned n = u->first; n < jobs; n += USERS) {
        ref_of(n, ref, sizeof ref);
        int status;
        while ((status = submit(u->cfg, ref)) != 201 && status != 200 && rr_now() < until) {
            u->refused++;
            rr_sleep(0.05);
        }
    }
    for (unsigned n = u->first; n < jobs; n += USERS) {
        ref_of(n, ref, sizeof ref);
        while (!is_done(u->cfg, ref) && rr_now() < until) {
            u->asked++;
            rr_sleep(0.05);
        }
        u->failed = u->failed || !is_done(u->cfg, ref);
    }
    return NULL;
}

static long resident_kb(void) {
    long pages = 0, all;
    FILE *f = fopen("/proc/self/statm", "r");
    if (f) {
        if (fscanf(f, "%ld %ld", &all, &pages) != 2) {
            pages = 0;
        }
        fclose(f);
    }
    return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static void many_jobs_to_their_end(void **state) {
    (void)state;
    world *w = world_start();
    struct rr_app *a = g_new0(struct rr_app, 1);
    struct user users[USERS];
    world_config(w, &a->cfg, "n0");
    a->cfg.state_rps = a->cfg.state_write_rps = 1000;
    assert_int_equal(rr_app_start(a), 0);
    double began = rr_now();
    while (world_call(&a->cfg, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_now() < began + 30);
        rr_sleep(0.02);
    }
    began = rr_now();
    long before = resident_kb();
    for (unsigned i = 0; i < USERS; i++) {
        users[i] = (struct user){.cfg = &a->cfg, .first = i};
        assert_int_equal(pthread_create(&users[i].thread, NULL, user_main, &users[i]), 0);
    }
    unsigned refused = 0;
    bool failed = false;
    for (unsigned i = 0; i < USERS; i++) {
        pthread_join(users[i].thread, NULL);
        refused += users[i].refused;
        failed = failed || users[i].failed;
    }
    double took = rr_now() - began;
    printf("%u jobs in %.1f s, %.0f a second, %u refusals, %.1f KB a job\n", jobs, took,
           jobs / took, refused, (double)(resident_kb() - before) / jobs);
    assert_false(failed);
    /* What is over leaves nothing open behind. */
    rr_core_stats st;
    pthread_mutex_lock(&a->lock);
    rr_core_get_stats(a->core, &st);
    pthread_mutex_unlock(&a->lock);
    assert_int_equal(st.jobs_open, 0);
    assert_int_equal(st.tasks_placed, 0);
    rr_app_stop(a);
    g_free(a);
    world_stop(w);
}

/* One report on a connection, which stays open if the controller leaves it so. Its status, 0:
 * closed instead. */
static int hello(int fd, unsigned n) {
    char name[32], text[512];
    rr_out o;
    g_snprintf(name, sizeof name, "vm-%06u", 500000 + n);
    rr_out_init(&o);
    rr_put_map(&o, 9);
    rr_put_key_text(&o, "stone", name);
    rr_put_key_text(&o, "addr", "127.0.0.1:9");
    rr_put_key_text(&o, "build", "m1");
    rr_put_key_text(&o, "ward", "a");
    rr_put_key_bool(&o, "loaners", false);
    rr_put_key_u64(&o, "tenure", 1);
    rr_put_key_u64(&o, "tally", 1);
    rr_put_key_u64(&o, "warrant", 0);
    rr_put_text(&o, "pieces");
    rr_put_array(&o, 0);
    int len =
        g_snprintf(text, sizeof text,
                   "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n", o.buf.size);
    bool sent = send(fd, text, (size_t)len, MSG_NOSIGNAL) == len &&
                send(fd, o.buf.data, o.buf.size, MSG_NOSIGNAL) == (ssize_t)o.buf.size;
    rr_out_clear(&o);
    ssize_t got = sent ? recv(fd, text, 15, MSG_WAITALL) : 0;
    return got == 15 ? atoi(text + 9) : 0;
}

/* Every worker of a fleet at one controller that has connections for a third of them: all are
 * answered, as nobody keeps a place that others need, and users and health checks get in. */
static void more_workers_than_connections(void **state) {
    (void)state;
    world *w = world_start();
    struct rr_app *a = g_new0(struct rr_app, 1);
    int *fds = g_new(int, workers);
    world_config(w, &a->cfg, "n0");
    a->cfg.max_sockets = 100000;
    a->cfg.tune.max_connections = (int)workers / 3;
    assert_int_equal(rr_app_start(a), 0);
    double until = rr_now() + 60;
    while (world_call(&a->cfg, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_now() < until);
        rr_sleep(0.02);
    }
    long before = resident_kb();
    unsigned again = 0;
    for (unsigned i = 0; i < workers; i++) {
        while ((fds[i] = world_dial(&a->cfg.bind)) < 0 || hello(fds[i], i) != 200) {
            assert_true(rr_now() < until);
            if (fds[i] >= 0) {
                close(fds[i]);
            }
            again++;
            rr_sleep(0.01);
        }
    }
    int open = rr_door_open(a->door);
    printf("%u workers, %d connections kept, %u tries more, %.0f KB a connection\n", workers, open,
           again, (double)(resident_kb() - before) / (open ? open : 1));
    assert_true(open <= a->cfg.tune.max_connections);
    assert_true(open >= a->cfg.tune.max_connections / 2);
    assert_int_equal(world_call(&a->cfg, "GET", "/ready", NULL, 0, NULL), 200);
    int status = 0;
    until = rr_now() + 60;
    while ((status = submit(&a->cfg, "req-190001")) != 201 && status != 200) {
        assert_true(rr_now() < until);
        rr_sleep(0.05);
    }
    for (unsigned i = 0; i < workers; i++) {
        close(fds[i]);
    }
    g_free(fds);
    rr_app_stop(a);
    g_free(a);
    world_stop(w);
}

int main(int argc, char **argv) {
    if (argc > 2) {
        unsigned long n = strtoul(argv[2], NULL, 10);
        workers = n >= 30 && n <= WORKERS_MAX ? (unsigned)n : workers;
    }
    if (argc > 1) {
        unsigned long n = strtoul(argv[1], NULL, 10);
        jobs = n > 0 && n <= JOBS_MAX ? (unsigned)n : jobs;
    }
    const struct CMUnitTest tests[] = {cmocka_unit_test(many_jobs_to_their_end),
                                       cmocka_unit_test(more_workers_than_connections)};
    rr_net_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
