/* Whole controllers against the stand-in services on loopback, with threads and sockets. Waits are
 * for conditions, with bounds well above what they take. */
#include "core_fixture.h"

#include "common/clock.h"
#include "common/log.h"
#include "fake_services.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct service {
    fake_services *services;
    struct rr_app *app;
};

static struct rr_app *start_app(fake_services *services, const char *name) {
    struct rr_app *app = g_new0(struct rr_app, 1);
    fake_services_init_config(services, &app->config, name);
    assert_int_equal(rr_app_start(app), 0);
    return app;
}

static void stop_app(struct rr_app *app) {
    rr_app_stop(app);
    g_free(app);
}

static void wait_ready(const struct rr_app *app) {
    double until = rr_steady_clock_s() + 30;
    while (fake_services_request(&app->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.02);
    }
}

static int setup(void **state) {
    struct service *service = g_new0(struct service, 1);
    service->services = fake_services_start();
    service->app = start_app(service->services, "n0");
    wait_ready(service->app);
    *state = service;
    return 0;
}

static int teardown(void **state) {
    struct service *service = *state;
    stop_app(service->app);
    fake_services_stop(service->services);
    g_free(service);
    return 0;
}

static int submit(const struct rr_app *app, const char *job_id, uint32_t task_count, bool service) {
    rr_submission sub;
    test_submission_init(
        &sub, &(struct test_job){
                  .job_id = job_id, .task_count = task_count, .cpus = 1, .service = service});
    return fake_services_submit(&app->config, &sub);
}

/* The state that a poll answers; "" with any other status than 200. */
static const char *poll_state(const struct rr_app *app, const char *job_id, char *out,
                              size_t size) {
    char path[96];
    rr_document document;
    g_snprintf(path, sizeof path, "/submissions/%s", job_id);
    out[0] = 0;
    int status = fake_services_request(&app->config, "GET", path, NULL, 0, &document);
    if (status > 0) {
        if (status == 200) {
            rr_map_get_text(document.root, "standing", out, size);
        }
        rr_document_clear(&document);
    }
    return out;
}

static void wait_for_state(const struct rr_app *app, const char *job_id, const char *want) {
    double until = rr_steady_clock_s() + 40;
    char got[32];
    while (strcmp(poll_state(app, job_id, got, sizeof got), want) != 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
}

static int cancel(const struct rr_app *app, const char *job_id) {
    char path[96];
    g_snprintf(path, sizeof path, "/submissions/%s/cancel", job_id);
    return fake_services_request(&app->config, "POST", path, "", 0, NULL);
}

static void runs_an_array_and_cancels_a_service(void **state) {
    struct service *service = *state;
    assert_int_equal(submit(service->app, "req-100001", 5, false), 201);
    assert_int_equal(submit(service->app, "req-100001", 5, false), 200);
    assert_int_equal(submit(service->app, "req-500001", 2, true), 201);
    wait_for_state(service->app, "req-100001", "done");
    wait_for_state(service->app, "req-500001", "running");
    assert_int_equal(cancel(service->app, "req-500001"), 200);
    assert_int_equal(cancel(service->app, "req-500001"), 200);
    double until = rr_steady_clock_s() + 20;
    while (fake_services_count_running_tasks(service->services) > 0) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    wait_for_state(service->app, "req-500001", "aborted");
    /* A done job stays done. */
    assert_int_equal(cancel(service->app, "req-100001"), 200);
    wait_for_state(service->app, "req-100001", "done");
    assert_int_equal(fake_services_count_rentals(service->services), 1);
}

static void malformed_requests_get_4xx(void **state) {
    struct service *service = *state;
    const struct rr_config *config = &service->app->config;
    static char large[RR_BODY_BYTES_MAX + 1];
    uint8_t deep[2000];
    memset(deep, 0x91, sizeof deep);
    assert_int_equal(fake_services_request(config, "POST", "/submissions", "junk!", 5, NULL), 400);
    assert_int_equal(fake_services_request(config, "POST", "/submissions", deep, sizeof deep, NULL),
                     400);
    assert_int_equal(
        fake_services_request(config, "POST", "/submissions", "\xdd\xff\xff\xff\xff", 5, NULL),
        400);
    assert_int_equal(
        fake_services_request(config, "POST", "/submissions", large, sizeof large, NULL), 413);
    assert_int_equal(fake_services_request(config, "GET", "/submissions", NULL, 0, NULL), 405);
    assert_int_equal(fake_services_request(config, "POST", "/ready", "", 0, NULL), 405);
    assert_int_equal(fake_services_request(config, "GET", "/nothing", NULL, 0, NULL), 404);
    assert_int_equal(fake_services_request(config, "GET", "/submissions/req-999999", NULL, 0, NULL),
                     404);
    assert_int_equal(fake_services_request(config, "GET", "/submissions/nonsense", NULL, 0, NULL),
                     404);
    assert_int_equal(cancel(service->app, "req-999999"), 404);
    assert_int_equal(fake_services_request(config, "POST", "/hello", "\x80", 1, NULL), 400);
    assert_int_equal(fake_services_request(config, "GET", "/ready", NULL, 0, NULL), 200);
}

/* The store carries the commit out, but its answer is lost: the job is accepted once, and its user
 * gets 200, 201 or 503. */
static void a_job_is_accepted_once_if_its_commit_goes_unanswered(void **state) {
    struct service *service = *state;
    fake_services_drop_next_answer(service->services);
    int status = submit(service->app, "req-100002", 1, false);
    assert_true(status == 200 || status == 201 || status == 503);
    assert_int_equal(submit(service->app, "req-100002", 1, false), 200);
    wait_for_state(service->app, "req-100002", "done");
}

/* A controller with a store cache that lags refuses, rather than answer an older state than another
 * controller has answered. */
static void a_lagging_controller_does_not_answer_an_older_state(void **state) {
    struct service *service = *state;
    char got[32];
    struct rr_app *app = start_app(service->services, "n1");
    wait_ready(app);
    assert_int_equal(submit(service->app, "req-500002", 1, true), 201);
    wait_for_state(app, "req-500002", "queued");
    fake_services_freeze_watches(service->services, true);
    assert_int_equal(cancel(service->app, "req-500002"), 200);
    assert_string_equal(poll_state(app, "req-500002", got, sizeof got), "");
    assert_int_equal(submit(app, "req-500002", 1, true), 503);
    fake_services_freeze_watches(service->services, false);
    wait_for_state(app, "req-500002", "aborted");
    assert_int_equal(submit(app, "req-500002", 1, true), 200);
    stop_app(app);
}

/* Refusing to answer is never wrong. */
static bool is_state_or_refused(const char *got, const char *want) {
    return got[0] == 0 || strcmp(got, want) == 0;
}

/* Users poll two controllers in turn, milliseconds after a job was accepted, cancelled or done, and
 * submit it again. */
static void answers_never_go_back_in_time_between_controllers(void **state) {
    struct service *service = *state;
    char job_id[32], got[32];
    /* The worker reports to one controller and the two have no link, so the job that is to run runs
     * before the second one starts. */
    assert_int_equal(submit(service->app, "req-600100", 1, false), 201);
    wait_for_state(service->app, "req-600100", "done");
    struct rr_app *app = start_app(service->services, "n1"), *apps[2] = {service->app, app};
    wait_ready(app);
    for (int i = 0; i < 12; i++) {
        struct rr_app *target = apps[i % 2], *elsewhere = apps[(i + 1) % 2];
        g_snprintf(job_id, sizeof job_id, "req-%06d", 600001 + i);
        assert_int_equal(submit(target, job_id, 2, true), 201);
        for (int k = 0; k < 4; k++) {
            poll_state(apps[k % 2 == 0 ? (i + 1) % 2 : i % 2], job_id, got, sizeof got);
            assert_true(is_state_or_refused(got, "queued") || is_state_or_refused(got, "running"));
        }
        int again = submit(elsewhere, job_id, 2, true);
        assert_true(again == 200 || again == 201 || again == 503);
        assert_int_equal(cancel(elsewhere, job_id), 200);
        for (int k = 0; k < 4; k++) {
            assert_true(
                is_state_or_refused(poll_state(apps[k % 2], job_id, got, sizeof got), "aborted"));
        }
        again = submit(target, job_id, 2, true);
        assert_true(again == 200 || again == 503);
        assert_true(is_state_or_refused(poll_state(target, job_id, got, sizeof got), "aborted"));
    }
    for (int k = 0; k < 4; k++) {
        assert_true(
            is_state_or_refused(poll_state(apps[k % 2], "req-600100", got, sizeof got), "done"));
        assert_int_equal(cancel(apps[k % 2], "req-600100"), 200);
    }
    stop_app(app);
}

/* The store carries a cancellation out, but its answer is lost, while another controller reads the
 * record and answers its user: from then on the first controller answers the same or refuses. */
static void controllers_agree_after_a_cancellation_goes_unanswered(void **state) {
    struct service *service = *state;
    struct rr_app *app = start_app(service->services, "n1");
    char job_id[32], got[32];
    wait_ready(app);
    for (int i = 0; i < 4; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", 610001 + i);
        assert_int_equal(submit(app, job_id, 1, true), 201);
        fake_services_drop_next_answer(service->services);
        int status = cancel(i % 2 ? app : service->app, job_id);
        assert_true(status == 200 || status == 503);
        double until = rr_steady_clock_s() + 10;
        while (cancel(app, job_id) != 200) {
            assert_true(rr_steady_clock_s() < until);
        }
        assert_true(
            is_state_or_refused(poll_state(service->app, job_id, got, sizeof got), "aborted"));
        assert_true(is_state_or_refused(poll_state(app, job_id, got, sizeof got), "aborted"));
    }
    stop_app(app);
}

/* Submits a job of one task; left_out: a field that is missing, NULL: none. */
static int submit_without(const struct rr_app *app, const char *job_id, const char *left_out,
                          double gpus) {
    static const char *const numbers[] = {"vcpus",   "cards",   "mem_gb", "pull_gb",
                                          "guess_s", "cairn_s", "stash_s"};
    static const char *const texts[][2] = {
        {"lane", "plain"}, {"crew", "red"}, {"cast", "img-1"}, {"shape", "batch"}, {"rank", "low"}};
    static const char *const flags[] = {"one_zone", "apart", "loaners"};
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 17 - (left_out != NULL));
    if (!left_out || strcmp(left_out, "ref") != 0) {
        rr_encode_key_text(&encoder, "ref", job_id);
    }
    if (!left_out || strcmp(left_out, "pieces") != 0) {
        rr_encode_key_u64(&encoder, "pieces", 1);
    }
    for (int i = 0; i < 7; i++) {
        if (!left_out || strcmp(left_out, numbers[i]) != 0) {
            rr_encode_key_number(&encoder, numbers[i], strcmp(numbers[i], "cards") == 0 ? gpus : 1);
        }
    }
    for (int i = 0; i < 5; i++) {
        if (!left_out || strcmp(left_out, texts[i][0]) != 0) {
            rr_encode_key_text(&encoder, texts[i][0], texts[i][1]);
        }
    }
    for (int i = 0; i < 3; i++) {
        if (!left_out || strcmp(left_out, flags[i]) != 0) {
            rr_encode_key_bool(&encoder, flags[i], false);
        }
    }
    int status = fake_services_request(&app->config, "POST", "/submissions", encoder.buffer.data,
                                       encoder.buffer.size, NULL);
    rr_encoder_clear(&encoder);
    return status;
}

static void a_repeated_submission_is_answered_200_whatever_it_says(void **state) {
    struct service *service = *state;
    assert_int_equal(submit(service->app, "req-620001", 1, true), 201);
    assert_int_equal(submit(service->app, "req-620001", 1, true), 200);
    assert_int_equal(submit_without(service->app, "req-620001", "rank", 0), 200);
    assert_int_equal(submit_without(service->app, "req-620001", NULL, 1e6), 200);
}

static void unacceptable_jobs_are_refused_and_stay_unknown(void **state) {
    struct service *service = *state;
    static const char *const fields[] = {"lane",    "crew",    "cast",     "shape",  "rank",
                                         "pieces",  "vcpus",   "cards",    "mem_gb", "pull_gb",
                                         "guess_s", "cairn_s", "one_zone", "apart",  "loaners",
                                         "stash_s", "ref"};
    assert_int_equal(submit_without(service->app, "req-620002", NULL, 1e6), 422);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        assert_int_equal(submit_without(service->app, "req-620003", fields[i], 0), 400);
    }
    assert_int_equal(cancel(service->app, "req-620003"), 404);
}

static void a_done_job_stays_done_when_cancelled(void **state) {
    struct service *service = *state;
    assert_int_equal(submit_without(service->app, "req-620004", NULL, 0), 201);
    wait_for_state(service->app, "req-620004", "done");
    assert_int_equal(cancel(service->app, "req-620004"), 200);
    wait_for_state(service->app, "req-620004", "done");
}

/* Without a valid id a submission is refused whatever the store has; with one, it depends on
 * whether the job is known. */
static void without_the_store_only_certain_answers_are_given(void **state) {
    struct service *service = *state;
    assert_int_equal(submit_without(service->app, "req-620004", NULL, 0), 201);
    wait_for_state(service->app, "req-620004", "done");
    fake_services_set_store_down(service->services, true);
    assert_int_equal(submit_without(service->app, "req-620003", "ref", 0), 400);
    assert_int_equal(submit_without(service->app, "req-620003", "rank", 0), 503);
    assert_int_equal(submit_without(service->app, "req-620004", "rank", 0), 200);
    assert_int_equal(cancel(service->app, "req-620003"), 503);
    fake_services_set_store_down(service->services, false);
}

/* During an outage of the store, submissions are refused and final states are still answered. */
static void submissions_are_accepted_again_after_an_outage(void **state) {
    struct service *service = *state;
    char got[32];
    assert_int_equal(submit(service->app, "req-100003", 1, false), 201);
    wait_for_state(service->app, "req-100003", "done");
    fake_services_set_store_down(service->services, true);
    assert_int_equal(submit(service->app, "req-100004", 1, false), 503);
    assert_int_equal(cancel(service->app, "req-100003"), 200);
    assert_string_equal(poll_state(service->app, "req-100003", got, sizeof got), "done");
    assert_string_equal(poll_state(service->app, "req-100004", got, sizeof got), "");
    fake_services_set_store_down(service->services, false);
    double until = rr_steady_clock_s() + 30;
    int status;
    while ((status = submit(service->app, "req-100004", 1, false)) != 201 && status != 200) {
        assert_int_equal(status, 503);
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    wait_for_state(service->app, "req-100004", "done");
}

/* The restarted controller takes over from its own previous session. */
static void tasks_keep_running_across_a_restart(void **state) {
    struct service *service = *state;
    assert_int_equal(submit(service->app, "req-500003", 1, true), 201);
    wait_for_state(service->app, "req-500003", "running");
    stop_app(service->app);
    service->app = start_app(service->services, "n0");
    wait_ready(service->app);
    wait_for_state(service->app, "req-500003", "running");
    assert_int_equal(fake_services_count_running_tasks(service->services), 1);
    assert_int_equal(cancel(service->app, "req-500003"), 200);
    assert_int_equal(fake_services_count_rentals(service->services), 1);
}

/* Every third job ends by itself; the worker runs the others until they are stopped. */
static void make_job_id(int i, char *out, size_t size) {
    g_snprintf(out, size, i % 3 == 0 ? "req-17%04d" : "req-57%04d", i);
}

/* Every accepted job, open, done or cancelled, is answered for within 75 s after an outage during
 * which the controller was restarted; also while it still loads its store cache. */
static void every_job_is_known_after_an_outage_with_a_restart(void **state) {
    struct service *service = *state;
    char job_id[32], got[32];
    for (int i = 0; i < 24; i++) {
        make_job_id(i, job_id, sizeof job_id);
        assert_int_equal(submit(service->app, job_id, 1, i % 3 != 0), 201);
        if (i % 3 == 2) {
            assert_int_equal(cancel(service->app, job_id), 200);
        }
    }
    for (int i = 0; i < 24; i += 3) {
        make_job_id(i, job_id, sizeof job_id);
        wait_for_state(service->app, job_id, "done");
    }
    fake_services_set_store_down(service->services, true);
    stop_app(service->app);
    service->app = start_app(service->services, "n0");
    /* The HTTP server does not open before the store cache is loaded, for the time of a lease. */
    assert_int_equal(fake_services_request(&service->app->config, "GET", "/ready", NULL, 0, NULL),
                     -1);
    assert_string_equal(poll_state(service->app, "req-170000", got, sizeof got), "");
    fake_services_set_store_down(service->services, false);
    double until = rr_steady_clock_s() + 75;
    for (int i = 0; i < 24; i++) {
        make_job_id(i, job_id, sizeof job_id);
        while (!*poll_state(service->app, job_id, got, sizeof got)) {
            assert_true(rr_steady_clock_s() < until);
            rr_sleep(0.02);
        }
        assert_true(i % 3 == 0   ? strcmp(got, "done") == 0
                    : i % 3 == 2 ? strcmp(got, "aborted") == 0
                                 : strcmp(got, "running") == 0 || strcmp(got, "queued") == 0);
    }
}

/* With late timers a controller refuses new jobs at once, and still answers polls, cancellations
 * and health checks. It accepts jobs again once its timers are in time. */
static void late_timers_shed_submissions_only(void **state) {
    struct service *service = *state;
    char got[32];
    assert_int_equal(submit(service->app, "req-500040", 1, true), 201);
    wait_for_state(service->app, "req-500040", "running");
    atomic_store(&service->app->timer_lag_ms, 1000000);
    double began = rr_steady_clock_s();
    assert_int_equal(submit(service->app, "req-500041", 1, true), 503);
    assert_true(rr_steady_clock_s() - began < 1);
    atomic_store(&service->app->timer_lag_ms, 1000000);
    assert_string_equal(poll_state(service->app, "req-500040", got, sizeof got), "running");
    assert_int_equal(fake_services_request(&service->app->config, "GET", "/ready", NULL, 0, NULL),
                     200);
    atomic_store(&service->app->timer_lag_ms, 1000000);
    assert_int_equal(cancel(service->app, "req-500040"), 200);
    double until = rr_steady_clock_s() + 60;
    while (submit(service->app, "req-500041", 1, true) == 503) {
        assert_true(rr_steady_clock_s() < until);
        rr_sleep(0.05);
    }
    wait_for_state(service->app, "req-500041", "running");
}

#define WAITERS 24
#define SLEEPS_OF_A_WOKEN_THREAD 8

/* How often each of the process's threads has gone to sleep so far, by its number in the system. */
static GHashTable *count_sleeps(void) {
    GHashTable *sleeps = g_hash_table_new(NULL, NULL);
    GDir *dir = g_dir_open("/proc/self/task", 0, NULL);
    const char *id;
    assert_non_null(dir);
    while ((id = g_dir_read_name(dir))) {
        char *path = g_strdup_printf("/proc/self/task/%s/status", id), *text = NULL;
        if (g_file_get_contents(path, &text, NULL, NULL)) {
            const char *line = strstr(text, "\nvoluntary_ctxt_switches:");
            unsigned long count = line ? strtoul(line + 25, NULL, 10) : 0;
            g_hash_table_insert(sleeps, GSIZE_TO_POINTER(strtoul(id, NULL, 10)),
                                GSIZE_TO_POINTER(count));
        }
        g_free(text);
        g_free(path);
    }
    g_dir_close(dir);
    return sleeps;
}

static unsigned count_waiting_polls(struct rr_app *app) {
    pthread_mutex_lock(&app->user_lock);
    unsigned count = app->read_barriers[0].waiting_polls + app->read_barriers[1].waiting_polls;
    pthread_mutex_unlock(&app->user_lock);
    return count;
}

/* Guards against waking every waiting poll with each commit and each change of the store cache. */
static void waiting_polls_are_not_woken_by_commits_of_others(void **state) {
    struct service *service = *state;
    const char ask[] = "GET /submissions/req-500010 HTTP/1.1\r\nHost: x\r\n\r\n";
    int fds[WAITERS];
    char byte;
    GHashTableIter iter;
    gpointer id, before;
    /* The store cache stays behind the store, so that polls wait. */
    fake_services_freeze_watches(service->services, true);
    assert_int_equal(submit(service->app, "req-500010", 1, true), 201);
    for (int i = 0; i < WAITERS; i++) {
        fds[i] = fake_services_connect(&service->app->config.bind);
        assert_true(fds[i] >= 0);
        assert_int_equal(send(fds[i], ask, sizeof ask - 1, MSG_NOSIGNAL), sizeof ask - 1);
    }
    double until = rr_steady_clock_s() + 20;
    while (count_waiting_polls(service->app) < WAITERS && rr_steady_clock_s() < until) {
        rr_sleep(0.001);
    }
    GHashTable *first = count_sleeps();
    for (int i = 0; i < 12; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-5000%d", 20 + i);
        assert_int_equal(submit(service->app, job_id, 1, true), 201);
    }
    GHashTable *last = count_sleeps();
    unsigned woken = 0;
    g_hash_table_iter_init(&iter, first);
    while (g_hash_table_iter_next(&iter, &id, &before)) {
        gsize now = GPOINTER_TO_SIZE(g_hash_table_lookup(last, id));
        woken += now >= GPOINTER_TO_SIZE(before) + SLEEPS_OF_A_WOKEN_THREAD;
    }
    /* The controller's threads and the stand-in's are busy; two thirds of the polls' must not be.
     */
    assert_true(woken <= WAITERS / 3);
    fake_services_freeze_watches(service->services, false);
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
                                       T(malformed_requests_get_4xx),
                                       T(a_job_is_accepted_once_if_its_commit_goes_unanswered),
                                       T(a_lagging_controller_does_not_answer_an_older_state),
                                       T(answers_never_go_back_in_time_between_controllers),
                                       T(controllers_agree_after_a_cancellation_goes_unanswered),
                                       T(a_repeated_submission_is_answered_200_whatever_it_says),
                                       T(unacceptable_jobs_are_refused_and_stay_unknown),
                                       T(a_done_job_stays_done_when_cancelled),
                                       T(without_the_store_only_certain_answers_are_given),
                                       T(submissions_are_accepted_again_after_an_outage),
                                       T(tasks_keep_running_across_a_restart),
                                       T(every_job_is_known_after_an_outage_with_a_restart),
                                       T(waiting_polls_are_not_woken_by_commits_of_others),
                                       T(late_timers_shed_submissions_only)};
    rr_http_client_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
