/* The whole process against the stand-in world on loopback: threads, sockets and all. Waits are for
 * conditions, bounded well above what they take. */
#include "fakes.h"

#include "app/clock.h"
#include "app/log.h"
#include "world.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct service {
    world *w;
    struct rr_app *app;
};

static struct rr_app *start_app(world *w, const char *name) {
    struct rr_app *a = g_new0(struct rr_app, 1);
    world_config(w, &a->config, name);
    assert_int_equal(rr_app_start(a), 0);
    return a;
}

static void stop_app(struct rr_app *a) {
    rr_app_stop(a);
    g_free(a);
}

static void wait_ready(const struct rr_app *a) {
    double until = rr_steady_clock_s() + 30;
    while (world_call(&a->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.02);
    }
}

static int setup(void **state) {
    struct service *s = g_new0(struct service, 1);
    s->w = world_start();
    s->app = start_app(s->w, "n0");
    wait_ready(s->app);
    *state = s;
    return 0;
}

static int teardown(void **state) {
    struct service *s = *state;
    stop_app(s->app);
    world_stop(s->w);
    g_free(s);
    return 0;
}

static int submit(const struct rr_app *a, const char *ref, uint32_t pieces, bool service) {
    rr_submission sub;
    fx_submission(&sub,
                  &(struct fx_job){.job_id = ref, .pieces = pieces, .cpus = 1, .service = service});
    return world_submit(&a->config, &sub);
}

/* The standing that a poll tells, or "" with any other answer than 200. */
static const char *poll_standing(const struct rr_app *a, const char *ref, char *out, size_t size) {
    char path[96];
    rr_document d;
    g_snprintf(path, sizeof path, "/submissions/%s", ref);
    out[0] = 0;
    int status = world_call(&a->config, "GET", path, NULL, 0, &d);
    if (status > 0) {
        if (status == 200) {
            rr_map_get_text(d.root, "standing", out, size);
        }
        rr_document_clear(&d);
    }
    return out;
}

static void wait_standing(const struct rr_app *a, const char *ref, const char *want) {
    double until = rr_steady_clock_s() + 40;
    char got[32];
    while (strcmp(poll_standing(a, ref, got, sizeof got), want) != 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
}

static int cancel(const struct rr_app *a, const char *ref) {
    char path[96];
    g_snprintf(path, sizeof path, "/submissions/%s/cancel", ref);
    return world_call(&a->config, "POST", path, "", 0, NULL);
}

static void runs_an_array_and_cancels_a_service(void **state) {
    struct service *s = *state;
    assert_int_equal(submit(s->app, "req-100001", 5, false), 201);
    assert_int_equal(submit(s->app, "req-100001", 5, false), 200);
    assert_int_equal(submit(s->app, "req-500001", 2, true), 201);
    wait_standing(s->app, "req-100001", "done");
    wait_standing(s->app, "req-500001", "running");
    assert_int_equal(cancel(s->app, "req-500001"), 200);
    assert_int_equal(cancel(s->app, "req-500001"), 200);
    double until = rr_steady_clock_s() + 20;
    while (world_tasks(s->w) > 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    wait_standing(s->app, "req-500001", "aborted");
    /* Done stays done, whatever is asked of it. */
    assert_int_equal(cancel(s->app, "req-100001"), 200);
    wait_standing(s->app, "req-100001", "done");
    assert_int_equal(world_rented(s->w), 1);
}

static void bad_requests(void **state) {
    struct service *s = *state;
    const struct rr_config *c = &s->app->config;
    static char large[RR_BODY_BYTES_MAX + 1];
    uint8_t deep[2000];
    memset(deep, 0x91, sizeof deep);
    assert_int_equal(world_call(c, "POST", "/submissions", "junk!", 5, NULL), 400);
    assert_int_equal(world_call(c, "POST", "/submissions", deep, sizeof deep, NULL), 400);
    assert_int_equal(world_call(c, "POST", "/submissions", "\xdd\xff\xff\xff\xff", 5, NULL), 400);
    assert_int_equal(world_call(c, "POST", "/submissions", large, sizeof large, NULL), 413);
    assert_int_equal(world_call(c, "GET", "/submissions", NULL, 0, NULL), 405);
    assert_int_equal(world_call(c, "POST", "/ready", "", 0, NULL), 405);
    assert_int_equal(world_call(c, "GET", "/nothing", NULL, 0, NULL), 404);
    assert_int_equal(world_call(c, "GET", "/submissions/req-999999", NULL, 0, NULL), 404);
    assert_int_equal(world_call(c, "GET", "/submissions/nonsense", NULL, 0, NULL), 404);
    assert_int_equal(cancel(s->app, "req-999999"), 404);
    assert_int_equal(world_call(c, "POST", "/hello", "\x80", 1, NULL), 400);
    assert_int_equal(world_call(c, "GET", "/ready", NULL, 0, NULL), 200);
}

/* The store carried the acceptance out, but its answer was lost: the job is accepted once, and the
 * user is told so or asked to come back, never anything else. */
static void an_unanswered_commit(void **state) {
    struct service *s = *state;
    world_drop_next_answer(s->w);
    int status = submit(s->app, "req-100002", 1, false);
    assert_true(status == 200 || status == 201 || status == 503);
    assert_int_equal(submit(s->app, "req-100002", 1, false), 200);
    wait_standing(s->app, "req-100002", "done");
}

/* A second controller whose mirror stands still must not tell an older state than the first has
 * told: it says that it can't tell. */
static void no_older_answer_elsewhere(void **state) {
    struct service *s = *state;
    char got[32];
    struct rr_app *b = start_app(s->w, "n1");
    wait_ready(b);
    assert_int_equal(submit(s->app, "req-500002", 1, true), 201);
    wait_standing(b, "req-500002", "queued");
    world_freeze_watches(s->w, true);
    assert_int_equal(cancel(s->app, "req-500002"), 200);
    assert_string_equal(poll_standing(b, "req-500002", got, sizeof got), "");
    assert_int_equal(submit(b, "req-500002", 1, true), 503);
    world_freeze_watches(s->w, false);
    wait_standing(b, "req-500002", "aborted");
    assert_int_equal(submit(b, "req-500002", 1, true), 200);
    stop_app(b);
}

static bool told(const char *got, const char *want) {
    return got[0] == 0 || strcmp(got, want) == 0; /* "can't tell now" is no older answer */
}

/* Users ask at all nodes, again and again within milliseconds, and submit once more, right after a
 * job was accepted, cancelled or done: nobody answers something older than was told. */
static void close_looks(void **state) {
    struct service *s = *state;
    char ref[32], got[32];
    /* The worker reports to one controller, and these two have no link: what is to run, runs first.
     */
    assert_int_equal(submit(s->app, "req-600100", 1, false), 201);
    wait_standing(s->app, "req-600100", "done");
    struct rr_app *b = start_app(s->w, "n1"), *apps[2] = {s->app, b};
    wait_ready(b);
    for (int i = 0; i < 12; i++) {
        struct rr_app *to = apps[i % 2], *elsewhere = apps[(i + 1) % 2];
        g_snprintf(ref, sizeof ref, "req-%06d", 600001 + i);
        assert_int_equal(submit(to, ref, 2, true), 201);
        for (int k = 0; k < 4; k++) {
            poll_standing(apps[k % 2 == 0 ? (i + 1) % 2 : i % 2], ref, got, sizeof got);
            assert_true(told(got, "queued") || told(got, "running"));
        }
        int again = submit(elsewhere, ref, 2, true);
        assert_true(again == 200 || again == 201 || again == 503);
        assert_int_equal(cancel(elsewhere, ref), 200);
        for (int k = 0; k < 4; k++) {
            assert_true(told(poll_standing(apps[k % 2], ref, got, sizeof got), "aborted"));
        }
        again = submit(to, ref, 2, true);
        assert_true(again == 200 || again == 503);
        assert_true(told(poll_standing(to, ref, got, sizeof got), "aborted"));
    }
    for (int k = 0; k < 4; k++) {
        assert_true(told(poll_standing(apps[k % 2], "req-600100", got, sizeof got), "done"));
        assert_int_equal(cancel(apps[k % 2], "req-600100"), 200);
    }
    stop_app(b);
}

/* A cancellation is carried out at once and only its answer is lost, while the other node reads
 * what it wrote and tells its user: from then on the first one says the same, or that it can't
 * tell. */
static void a_lost_answer_while_others_read(void **state) {
    struct service *s = *state;
    struct rr_app *b = start_app(s->w, "n1");
    char ref[32], got[32];
    wait_ready(b);
    for (int i = 0; i < 4; i++) {
        g_snprintf(ref, sizeof ref, "req-%06d", 610001 + i);
        assert_int_equal(submit(b, ref, 1, true), 201);
        world_drop_next_answer(s->w);
        int status = cancel(i % 2 ? b : s->app, ref);
        assert_true(status == 200 || status == 503);
        double until = rr_steady_clock_s() + 10;
        while (cancel(b, ref) != 200) {
            assert_true(rr_steady_clock_s() < until);
        }
        assert_true(told(poll_standing(s->app, ref, got, sizeof got), "aborted"));
        assert_true(told(poll_standing(b, ref, got, sizeof got), "aborted"));
    }
    stop_app(b);
}

/* A submission with one field left out. */
static int submit_without(const struct rr_app *a, const char *ref, const char *left_out,
                          double cards) {
    static const char *const nums[] = {"vcpus",   "cards",   "mem_gb", "pull_gb",
                                       "guess_s", "cairn_s", "stash_s"};
    static const char *const texts[][2] = {
        {"lane", "plain"}, {"crew", "red"}, {"cast", "img-1"}, {"shape", "batch"}, {"rank", "low"}};
    static const char *const flags[] = {"one_zone", "apart", "loaners"};
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 17 - (left_out != NULL));
    if (!left_out || strcmp(left_out, "ref") != 0) {
        rr_encode_key_text(&o, "ref", ref);
    }
    if (!left_out || strcmp(left_out, "pieces") != 0) {
        rr_encode_key_u64(&o, "pieces", 1);
    }
    for (int i = 0; i < 7; i++) {
        if (!left_out || strcmp(left_out, nums[i]) != 0) {
            rr_encode_key_number(&o, nums[i], strcmp(nums[i], "cards") == 0 ? cards : 1);
        }
    }
    for (int i = 0; i < 5; i++) {
        if (!left_out || strcmp(left_out, texts[i][0]) != 0) {
            rr_encode_key_text(&o, texts[i][0], texts[i][1]);
        }
    }
    for (int i = 0; i < 3; i++) {
        if (!left_out || strcmp(left_out, flags[i]) != 0) {
            rr_encode_key_bool(&o, flags[i], false);
        }
    }
    int status = world_call(&a->config, "POST", "/submissions", o.buffer.data, o.buffer.size, NULL);
    rr_encoder_clear(&o);
    return status;
}

/* Odd requests: a repeat of an unfinished job, also a malformed one; cancelling what is done or
 * what nobody submitted; jobs that fit no machine or lack a field, each of them. While the state
 * service is away 400 is said where nothing depends on it, and the rest is 503. */
static void odd_requests(void **state) {
    struct service *s = *state;
    static const char *const fields[] = {"lane",    "crew",    "cast",     "shape",  "rank",
                                         "pieces",  "vcpus",   "cards",    "mem_gb", "pull_gb",
                                         "guess_s", "cairn_s", "one_zone", "apart",  "loaners",
                                         "stash_s", "ref"};
    assert_int_equal(submit(s->app, "req-620001", 1, true), 201);
    assert_int_equal(submit(s->app, "req-620001", 1, true), 200);
    assert_int_equal(submit_without(s->app, "req-620001", "rank", 0), 200);
    assert_int_equal(submit_without(s->app, "req-620001", NULL, 1e6), 200);
    assert_int_equal(submit_without(s->app, "req-620002", NULL, 1e6), 422);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        assert_int_equal(submit_without(s->app, "req-620003", fields[i], 0), 400);
    }
    assert_int_equal(cancel(s->app, "req-620003"), 404);
    assert_int_equal(submit_without(s->app, "req-620004", NULL, 0), 201);
    wait_standing(s->app, "req-620004", "done");
    assert_int_equal(cancel(s->app, "req-620004"), 200);
    wait_standing(s->app, "req-620004", "done");
    world_store_down(s->w, true);
    assert_int_equal(submit_without(s->app, "req-620003", "ref", 0), 400);
    assert_int_equal(submit_without(s->app, "req-620003", "rank", 0), 503);
    assert_int_equal(submit_without(s->app, "req-620004", "rank", 0), 200);
    assert_int_equal(cancel(s->app, "req-620003"), 503);
    world_store_down(s->w, false);
}

/* While the state service is down nothing is promised, and what was final is still told. */
static void an_outage(void **state) {
    struct service *s = *state;
    char got[32];
    assert_int_equal(submit(s->app, "req-100003", 1, false), 201);
    wait_standing(s->app, "req-100003", "done");
    world_store_down(s->w, true);
    assert_int_equal(submit(s->app, "req-100004", 1, false), 503);
    assert_int_equal(cancel(s->app, "req-100003"), 200);
    assert_string_equal(poll_standing(s->app, "req-100003", got, sizeof got), "done");
    assert_string_equal(poll_standing(s->app, "req-100004", got, sizeof got), "");
    world_store_down(s->w, false);
    double until = rr_steady_clock_s() + 30;
    int status;
    while ((status = submit(s->app, "req-100004", 1, false)) != 201 && status != 200) {
        assert_int_equal(status, 503);
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    wait_standing(s->app, "req-100004", "done");
}

/* Stopped and started again it takes its own session over and goes on. */
static void a_restart_goes_on(void **state) {
    struct service *s = *state;
    assert_int_equal(submit(s->app, "req-500003", 1, true), 201);
    wait_standing(s->app, "req-500003", "running");
    stop_app(s->app);
    s->app = start_app(s->w, "n0");
    wait_ready(s->app);
    wait_standing(s->app, "req-500003", "running");
    assert_int_equal(world_tasks(s->w), 1);
    assert_int_equal(cancel(s->app, "req-500003"), 200);
    assert_int_equal(world_rented(s->w), 1);
}

static void ref_of(int i, char *out, size_t size) {
    /* The stand-in's worker ends what is named so, and runs the rest until it is stopped. */
    g_snprintf(out, size, i % 3 == 0 ? "req-17%04d" : "req-57%04d", i);
}

/* Once all troubles are over, an outage with a restart in it here, every job that was accepted is
 * answered for, open, done or cancelled, well within the time after which it would count as
 * forgotten; also while the restarted controller still reads its mirror. */
static void every_job_is_known_after_the_troubles(void **state) {
    struct service *s = *state;
    char ref[32], got[32];
    for (int i = 0; i < 24; i++) {
        ref_of(i, ref, sizeof ref);
        assert_int_equal(submit(s->app, ref, 1, i % 3 != 0), 201);
        if (i % 3 == 2) {
            assert_int_equal(cancel(s->app, ref), 200);
        }
    }
    for (int i = 0; i < 24; i += 3) {
        ref_of(i, ref, sizeof ref);
        wait_standing(s->app, ref, "done");
    }
    world_store_down(s->w, true);
    stop_app(s->app);
    s->app = start_app(s->w, "n0");
    /* Nobody is let in before there is anything to tell, for a session's time. */
    assert_int_equal(world_call(&s->app->config, "GET", "/ready", NULL, 0, NULL), -1);
    assert_string_equal(poll_standing(s->app, "req-170000", got, sizeof got), "");
    world_store_down(s->w, false);
    double until = rr_steady_clock_s() + 75;
    for (int i = 0; i < 24; i++) {
        ref_of(i, ref, sizeof ref);
        while (!*poll_standing(s->app, ref, got, sizeof got)) {
            assert_true(rr_steady_clock_s() < until);
            rr_sleep(0.02);
        }
        assert_true(i % 3 == 0   ? strcmp(got, "done") == 0
                    : i % 3 == 2 ? strcmp(got, "aborted") == 0
                                 : strcmp(got, "running") == 0 || strcmp(got, "queued") == 0);
    }
}

/* Far behind with its work a controller refuses new jobs at once, and nothing else: what was
 * accepted is told and cancelled, and health checks are answered. Then it catches up by itself. */
static void behind_it_sheds_new_work_first(void **state) {
    struct service *s = *state;
    char got[32];
    assert_int_equal(submit(s->app, "req-500040", 1, true), 201);
    wait_standing(s->app, "req-500040", "running");
    atomic_store(&s->app->lag_ms, 1000000);
    double began = rr_steady_clock_s();
    assert_int_equal(submit(s->app, "req-500041", 1, true), 503);
    assert_true(rr_steady_clock_s() - began < 1);
    atomic_store(&s->app->lag_ms, 1000000);
    assert_string_equal(poll_standing(s->app, "req-500040", got, sizeof got), "running");
    assert_int_equal(world_call(&s->app->config, "GET", "/ready", NULL, 0, NULL), 200);
    atomic_store(&s->app->lag_ms, 1000000);
    assert_int_equal(cancel(s->app, "req-500040"), 200);
    double until = rr_steady_clock_s() + 60;
    while (submit(s->app, "req-500041", 1, true) == 503) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    wait_standing(s->app, "req-500041", "running");
}

#define WAITERS 24

/* How often each of the process's threads has gone to sleep so far, by its number in the system. */
static GHashTable *sleeps(void) {
    GHashTable *n = g_hash_table_new(NULL, NULL);
    GDir *dir = g_dir_open("/proc/self/task", 0, NULL);
    const char *id;
    assert_non_null(dir);
    while ((id = g_dir_read_name(dir))) {
        char *path = g_strdup_printf("/proc/self/task/%s/status", id), *text = NULL;
        if (g_file_get_contents(path, &text, NULL, NULL)) {
            const char *line = strstr(text, "\nvoluntary_ctxt_switches:");
            unsigned long k = line ? strtoul(line + 25, NULL, 10) : 0;
            g_hash_table_insert(n, GSIZE_TO_POINTER(strtoul(id, NULL, 10)), GSIZE_TO_POINTER(k));
        }
        g_free(text);
        g_free(path);
    }
    g_dir_close(dir);
    return n;
}

static unsigned waiting_polls(struct rr_app *a) {
    pthread_mutex_lock(&a->user_lock);
    unsigned n = a->barrier[0].waiting + a->barrier[1].waiting;
    pthread_mutex_unlock(&a->user_lock);
    return n;
}

/* Users who wait for their answer are woken for their own turn only: each commit and each change
 * once woke everybody, and took the lock for each. */
static void waiting_users_are_left_alone(void **state) {
    struct service *s = *state;
    const char ask[] = "GET /submissions/req-500010 HTTP/1.1\r\nHost: x\r\n\r\n";
    int fds[WAITERS];
    char byte;
    GHashTableIter it;
    gpointer id, before;
    /* The mirror stands still behind the store, so that polls wait. */
    world_freeze_watches(s->w, true);
    assert_int_equal(submit(s->app, "req-500010", 1, true), 201);
    for (int i = 0; i < WAITERS; i++) {
        fds[i] = world_dial(&s->app->config.bind);
        assert_true(fds[i] >= 0);
        assert_int_equal(send(fds[i], ask, sizeof ask - 1, MSG_NOSIGNAL), sizeof ask - 1);
    }
    double until = rr_steady_clock_s() + 20;
    while (waiting_polls(s->app) < WAITERS && rr_steady_clock_s() < until) {
        rr_sleep(0.001);
    }
    GHashTable *first = sleeps();
    for (int i = 0; i < 12; i++) {
        char ref[32];
        g_snprintf(ref, sizeof ref, "req-5000%d", 20 + i);
        assert_int_equal(submit(s->app, ref, 1, true), 201);
    }
    GHashTable *last = sleeps();
    unsigned woken = 0;
    g_hash_table_iter_init(&it, first);
    while (g_hash_table_iter_next(&it, &id, &before)) {
        gsize now = GPOINTER_TO_SIZE(g_hash_table_lookup(last, id));
        woken += now >= GPOINTER_TO_SIZE(before) + 8;
    }
    /* The duties and the stand-in were busy; two in three of the users were not. */
    assert_true(woken <= WAITERS / 3);
    world_freeze_watches(s->w, false);
    for (int i = 0; i < WAITERS; i++) {
        assert_int_equal(recv(fds[i], &byte, 1, 0), 1);
        close(fds[i]);
    }
    g_hash_table_destroy(first);
    g_hash_table_destroy(last);
}

#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(runs_an_array_and_cancels_a_service),
                                       T(bad_requests),
                                       T(an_unanswered_commit),
                                       T(no_older_answer_elsewhere),
                                       T(close_looks),
                                       T(a_lost_answer_while_others_read),
                                       T(odd_requests),
                                       T(an_outage),
                                       T(a_restart_goes_on),
                                       T(every_job_is_known_after_the_troubles),
                                       T(waiting_users_are_left_alone),
                                       T(behind_it_sheds_new_work_first)};
    rr_net_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
