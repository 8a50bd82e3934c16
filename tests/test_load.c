/* A bounded load generator over loopback: users' threads submit many small jobs to one controller
 * in the stand-in world, poll each to its end and ask again. For profiling, `test_load JOBS` takes
 * more jobs than the test does, and prints rates and memory. */
#include "fakes.h"

#include "app/clock.h"
#include "app/log.h"
#include "net/client.h"
#include "world.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define USERS 4
#define JOBS_MAX 20000

static unsigned jobs = 120;

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

int main(int argc, char **argv) {
    if (argc > 1) {
        unsigned long n = strtoul(argv[1], NULL, 10);
        jobs = n > 0 && n <= JOBS_MAX ? (unsigned)n : jobs;
    }
    const struct CMUnitTest tests[] = {cmocka_unit_test(many_jobs_to_their_end)};
    rr_net_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
