/* Integration tests of complete controllers, with their threads and sockets, against the fake
 * services on loopback. A test polls for the condition that it waits for; the timeouts are well
 * above the time that the condition takes. */
#include "core_fixture.h"

#include "common/clock.h"
#include "common/log.h"
#include "fake_services.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct service_fixture {
    fake_services *services;
    struct rr_app *app; /* controller n0 */
};

/* Starts a controller that uses these services. The caller ends it with stop_app(). */
static struct rr_app *start_app(fake_services *services, const char *name) {
    struct rr_app *app = g_new0(struct rr_app, 1);
    fake_services_init_config(services, &app->config, name);
    assert_int_equal(rr_app_start(app), 0);
    return app;
}

/* Stops and frees the controller. */
static void stop_app(struct rr_app *app) {
    rr_app_stop(app);
    g_free(app);
}

/* Polls the controller's health check until it returns 200; fails after 30 s. */
static void wait_until_ready(const struct rr_app *app) {
    double deadline = rr_steady_clock_s() + 30;
    while (fake_services_request(&app->config, "GET", "/ready", NULL, 0, NULL) != 200) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.02);
    }
}

/* Starts the services and controller n0, and waits until it is ready. */
static int setup(void **state) {
    struct service_fixture *fixture = g_new0(struct service_fixture, 1);
    fixture->services = fake_services_start();
    fixture->app = start_app(fixture->services, "n0");
    wait_until_ready(fixture->app);
    *state = fixture;
    return 0;
}

static int teardown(void **state) {
    struct service_fixture *fixture = *state;
    stop_app(fixture->app);
    fake_services_stop(fixture->services);
    g_free(fixture);
    return 0;
}

/* Submits a job, a service or an array, whose tasks need one CPU each. Returns the HTTP status, or
 * -1 without an answer. */
static int post_job(const struct rr_app *app, const char *job_id, uint32_t task_count,
                    bool service) {
    rr_submission submission;
    test_submission_init(&submission, &(struct test_job){.job_id = job_id,
                                                         .task_count = task_count,
                                                         .cpus = 1,
                                                         .service = service});
    return fake_services_submit(&app->config, &submission);
}

/* Polls the job. Writes its state to job_state, "" if the status is not 200, and returns
 * job_state. */
static const char *poll_job_state(const struct rr_app *app, const char *job_id, char *job_state,
                                  size_t job_state_size) {
    char path[96];
    rr_document document;
    g_snprintf(path, sizeof path, "/submissions/%s", job_id);
    job_state[0] = 0;
    int status = fake_services_request(&app->config, "GET", path, NULL, 0, &document);
    if (status > 0) {
        if (status == 200) {
            rr_map_get_text(document.root, "standing", job_state, job_state_size);
        }
        rr_document_clear(&document);
    }
    return job_state;
}

/* Polls until the job is in the expected state; fails after 40 s. */
static void wait_for_job_state(const struct rr_app *app, const char *job_id, const char *expected) {
    double deadline = rr_steady_clock_s() + 40;
    char job_state[32];
    while (strcmp(poll_job_state(app, job_id, job_state, sizeof job_state), expected) != 0) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.05);
    }
}

/* Cancels the job. Returns the HTTP status, or -1 without an answer. */
static int post_cancellation(const struct rr_app *app, const char *job_id) {
    char path[96];
    g_snprintf(path, sizeof path, "/submissions/%s/cancel", job_id);
    return fake_services_request(&app->config, "POST", path, "", 0, NULL);
}

static void an_array_job_completes_and_a_service_job_is_cancelled(void **state) {
    struct service_fixture *fixture = *state;
    assert_int_equal(post_job(fixture->app, "req-100001", 5, false), 201);
    assert_int_equal(post_job(fixture->app, "req-100001", 5, false), 200);
    assert_int_equal(post_job(fixture->app, "req-500001", 2, true), 201);
    wait_for_job_state(fixture->app, "req-100001", "done");
    wait_for_job_state(fixture->app, "req-500001", "running");
    assert_int_equal(post_cancellation(fixture->app, "req-500001"), 200);
    assert_int_equal(post_cancellation(fixture->app, "req-500001"), 200);
    double deadline = rr_steady_clock_s() + 20;
    while (fake_services_count_running_tasks(fixture->services) > 0) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.05);
    }
    wait_for_job_state(fixture->app, "req-500001", "aborted");
    /* Cancelling a job that is done does not change its state. */
    assert_int_equal(post_cancellation(fixture->app, "req-100001"), 200);
    wait_for_job_state(fixture->app, "req-100001", "done");
    assert_int_equal(fake_services_count_rentals(fixture->services), 1);
}

static void malformed_requests_get_4xx(void **state) {
    struct service_fixture *fixture = *state;
    const struct rr_config *config = &fixture->app->config;
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
    assert_int_equal(post_cancellation(fixture->app, "req-999999"), 404);
    assert_int_equal(fake_services_request(config, "POST", "/hello", "\x80", 1, NULL), 400);
    assert_int_equal(fake_services_request(config, "GET", "/ready", NULL, 0, NULL), 200);
}

/* The store applies the commit but its response is lost. The job must be accepted exactly once, and
 * the user gets 200, 201 or 503. */
static void a_job_is_accepted_once_if_the_commit_response_is_lost(void **state) {
    struct service_fixture *fixture = *state;
    fake_services_drop_next_answer(fixture->services);
    int status = post_job(fixture->app, "req-100002", 1, false);
    assert_true(status == 200 || status == 201 || status == 503);
    assert_int_equal(post_job(fixture->app, "req-100002", 1, false), 200);
    wait_for_job_state(fixture->app, "req-100002", "done");
}

/* A controller whose store cache is behind must refuse to answer, as it would return an older state
 * than another controller has returned already. */
static void a_controller_with_a_stale_cache_returns_no_older_state(void **state) {
    struct service_fixture *fixture = *state;
    char job_state[32];
    struct rr_app *second_app = start_app(fixture->services, "n1");
    wait_until_ready(second_app);
    assert_int_equal(post_job(fixture->app, "req-500002", 1, true), 201);
    wait_for_job_state(second_app, "req-500002", "queued");
    fake_services_freeze_watches(fixture->services, true);
    assert_int_equal(post_cancellation(fixture->app, "req-500002"), 200);
    assert_string_equal(poll_job_state(second_app, "req-500002", job_state, sizeof job_state), "");
    assert_int_equal(post_job(second_app, "req-500002", 1, true), 503);
    fake_services_freeze_watches(fixture->services, false);
    wait_for_job_state(second_app, "req-500002", "aborted");
    assert_int_equal(post_job(second_app, "req-500002", 1, true), 200);
    stop_app(second_app);
}

/* Returns whether a poll got the expected state or no answer: a controller may always refuse. */
static bool is_state_or_refused(const char *job_state, const char *expected) {
    return job_state[0] == 0 || strcmp(job_state, expected) == 0;
}

/* Users poll two controllers in turn, milliseconds after a job was accepted, cancelled or done, and
 * submit it again. No answer may show an older state than one that either controller gave before.
 */
static void job_states_never_go_backwards_between_controllers(void **state) {
    struct service_fixture *fixture = *state;
    char job_id[32], job_state[32];
    /* The worker sends heartbeats to one controller, and the two controllers are not connected. The
     * only job that has to run therefore runs before the second controller starts. */
    assert_int_equal(post_job(fixture->app, "req-600100", 1, false), 201);
    wait_for_job_state(fixture->app, "req-600100", "done");
    struct rr_app *second_app = start_app(fixture->services, "n1"),
                  *apps[2] = {fixture->app, second_app};
    wait_until_ready(second_app);
    for (int i = 0; i < 12; i++) {
        struct rr_app *submit_app = apps[i % 2], *cancel_app = apps[(i + 1) % 2];
        g_snprintf(job_id, sizeof job_id, "req-%06d", 600001 + i);
        assert_int_equal(post_job(submit_app, job_id, 2, true), 201);
        for (int k = 0; k < 4; k++) {
            poll_job_state(apps[k % 2 == 0 ? (i + 1) % 2 : i % 2], job_id, job_state,
                           sizeof job_state);
            assert_true(is_state_or_refused(job_state, "queued") ||
                        is_state_or_refused(job_state, "running"));
        }
        int resubmit_status = post_job(cancel_app, job_id, 2, true);
        assert_true(resubmit_status == 200 || resubmit_status == 201 || resubmit_status == 503);
        assert_int_equal(post_cancellation(cancel_app, job_id), 200);
        for (int k = 0; k < 4; k++) {
            assert_true(is_state_or_refused(
                poll_job_state(apps[k % 2], job_id, job_state, sizeof job_state), "aborted"));
        }
        resubmit_status = post_job(submit_app, job_id, 2, true);
        assert_true(resubmit_status == 200 || resubmit_status == 503);
        assert_true(is_state_or_refused(
            poll_job_state(submit_app, job_id, job_state, sizeof job_state), "aborted"));
    }
    for (int k = 0; k < 4; k++) {
        assert_true(is_state_or_refused(
            poll_job_state(apps[k % 2], "req-600100", job_state, sizeof job_state), "done"));
        assert_int_equal(post_cancellation(apps[k % 2], "req-600100"), 200);
    }
    stop_app(second_app);
}

/* The store applies a cancellation but its response is lost, while another controller reads the
 * record and answers its user. From then on the first controller must return the same state or
 * refuse to answer. */
static void controllers_agree_after_a_cancellation_response_is_lost(void **state) {
    struct service_fixture *fixture = *state;
    struct rr_app *second_app = start_app(fixture->services, "n1");
    char job_id[32], job_state[32];
    wait_until_ready(second_app);
    for (int i = 0; i < 4; i++) {
        g_snprintf(job_id, sizeof job_id, "req-%06d", 610001 + i);
        assert_int_equal(post_job(second_app, job_id, 1, true), 201);
        fake_services_drop_next_answer(fixture->services);
        int status = post_cancellation(i % 2 ? second_app : fixture->app, job_id);
        assert_true(status == 200 || status == 503);
        double deadline = rr_steady_clock_s() + 10;
        while (post_cancellation(second_app, job_id) != 200) {
            assert_true(rr_steady_clock_s() < deadline);
        }
        assert_true(is_state_or_refused(
            poll_job_state(fixture->app, job_id, job_state, sizeof job_state), "aborted"));
        assert_true(is_state_or_refused(
            poll_job_state(second_app, job_id, job_state, sizeof job_state), "aborted"));
    }
    stop_app(second_app);
}

#define SUBMISSION_FIELD_COUNT 17 /* the required ones */
#define MORE_GPUS_THAN_ANY_MACHINE 1e6

/* Submits a job of one task that needs this many GPUs, without missing_field (NULL: with all
 * fields). Returns the HTTP status, or -1 without an answer. */
static int post_job_without_field(const struct rr_app *app, const char *job_id,
                                  const char *missing_field, double gpus) {
    static const char *const number_fields[] = {"vcpus",   "cards",   "mem_gb", "pull_gb",
                                                "guess_s", "cairn_s", "stash_s"};
    static const char *const text_fields[][2] = {
        {"lane", "plain"}, {"crew", "red"}, {"cast", "img-1"}, {"shape", "batch"}, {"rank", "low"}};
    static const char *const flag_fields[] = {"one_zone", "apart", "loaners"};
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, SUBMISSION_FIELD_COUNT - (missing_field != NULL));
    if (!missing_field || strcmp(missing_field, "ref") != 0) {
        rr_encode_key_text(&encoder, "ref", job_id);
    }
    if (!missing_field || strcmp(missing_field, "pieces") != 0) {
        rr_encode_key_u64(&encoder, "pieces", 1);
    }
    for (int i = 0; i < 7; i++) {
        if (!missing_field || strcmp(missing_field, number_fields[i]) != 0) {
            rr_encode_key_number(&encoder, number_fields[i],
                                 strcmp(number_fields[i], "cards") == 0 ? gpus : 1);
        }
    }
    for (int i = 0; i < 5; i++) {
        if (!missing_field || strcmp(missing_field, text_fields[i][0]) != 0) {
            rr_encode_key_text(&encoder, text_fields[i][0], text_fields[i][1]);
        }
    }
    for (int i = 0; i < 3; i++) {
        if (!missing_field || strcmp(missing_field, flag_fields[i]) != 0) {
            rr_encode_key_bool(&encoder, flag_fields[i], false);
        }
    }
    int status = fake_services_request(&app->config, "POST", "/submissions", encoder.buffer.data,
                                       encoder.buffer.size, NULL);
    rr_encoder_clear(&encoder);
    return status;
}

/* A known job id gets 200 even if a field is missing or no machine type fits. */
static void a_repeated_submission_gets_200_whatever_its_content(void **state) {
    struct service_fixture *fixture = *state;
    assert_int_equal(post_job(fixture->app, "req-620001", 1, true), 201);
    assert_int_equal(post_job(fixture->app, "req-620001", 1, true), 200);
    assert_int_equal(post_job_without_field(fixture->app, "req-620001", "rank", 0), 200);
    assert_int_equal(
        post_job_without_field(fixture->app, "req-620001", NULL, MORE_GPUS_THAN_ANY_MACHINE), 200);
}

/* A job that fits no machine type gets 422, one with a missing field 400. */
static void a_refused_submission_creates_no_job(void **state) {
    struct service_fixture *fixture = *state;
    static const char *const fields[] = {"lane",    "crew",    "cast",     "shape",  "rank",
                                         "pieces",  "vcpus",   "cards",    "mem_gb", "pull_gb",
                                         "guess_s", "cairn_s", "one_zone", "apart",  "loaners",
                                         "stash_s", "ref"};
    assert_int_equal(
        post_job_without_field(fixture->app, "req-620002", NULL, MORE_GPUS_THAN_ANY_MACHINE), 422);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        assert_int_equal(post_job_without_field(fixture->app, "req-620003", fields[i], 0), 400);
    }
    assert_int_equal(post_cancellation(fixture->app, "req-620003"), 404);
}

static void cancelling_a_done_job_leaves_it_done(void **state) {
    struct service_fixture *fixture = *state;
    assert_int_equal(post_job_without_field(fixture->app, "req-620004", NULL, 0), 201);
    wait_for_job_state(fixture->app, "req-620004", "done");
    assert_int_equal(post_cancellation(fixture->app, "req-620004"), 200);
    wait_for_job_state(fixture->app, "req-620004", "done");
}

/* A submission without a valid job id gets 400 whatever the store holds. With a valid id the answer
 * depends on whether the job is known: the store cache shows that for a job that is done, any other
 * one gets 503. */
static void requests_that_need_the_store_get_503_during_an_outage(void **state) {
    struct service_fixture *fixture = *state;
    assert_int_equal(post_job_without_field(fixture->app, "req-620004", NULL, 0), 201);
    wait_for_job_state(fixture->app, "req-620004", "done");
    fake_services_set_store_down(fixture->services, true);
    assert_int_equal(post_job_without_field(fixture->app, "req-620003", "ref", 0), 400);
    assert_int_equal(post_job_without_field(fixture->app, "req-620003", "rank", 0), 503);
    assert_int_equal(post_job_without_field(fixture->app, "req-620004", "rank", 0), 200);
    assert_int_equal(post_cancellation(fixture->app, "req-620003"), 503);
    fake_services_set_store_down(fixture->services, false);
}

/* During an outage of the store, submissions are refused, while polls and cancellations of a job in
 * a final state are still answered. */
static void submissions_are_accepted_again_after_an_outage(void **state) {
    struct service_fixture *fixture = *state;
    char job_state[32];
    assert_int_equal(post_job(fixture->app, "req-100003", 1, false), 201);
    wait_for_job_state(fixture->app, "req-100003", "done");
    fake_services_set_store_down(fixture->services, true);
    assert_int_equal(post_job(fixture->app, "req-100004", 1, false), 503);
    assert_int_equal(post_cancellation(fixture->app, "req-100003"), 200);
    assert_string_equal(poll_job_state(fixture->app, "req-100003", job_state, sizeof job_state),
                        "done");
    assert_string_equal(poll_job_state(fixture->app, "req-100004", job_state, sizeof job_state),
                        "");
    fake_services_set_store_down(fixture->services, false);
    double deadline = rr_steady_clock_s() + 30;
    int status;
    while ((status = post_job(fixture->app, "req-100004", 1, false)) != 201 && status != 200) {
        assert_int_equal(status, 503);
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.05);
    }
    wait_for_job_state(fixture->app, "req-100004", "done");
}

/* The restarted controller takes over from its own previous session: it neither stops the task nor
 * rents another machine. */
static void tasks_keep_running_across_a_controller_restart(void **state) {
    struct service_fixture *fixture = *state;
    assert_int_equal(post_job(fixture->app, "req-500003", 1, true), 201);
    wait_for_job_state(fixture->app, "req-500003", "running");
    stop_app(fixture->app);
    fixture->app = start_app(fixture->services, "n0");
    wait_until_ready(fixture->app);
    wait_for_job_state(fixture->app, "req-500003", "running");
    assert_int_equal(fake_services_count_running_tasks(fixture->services), 1);
    assert_int_equal(post_cancellation(fixture->app, "req-500003"), 200);
    assert_int_equal(fake_services_count_rentals(fixture->services), 1);
}

/* Writes the id of a job to job_id. Every third job is an array, which ends by itself. The fake
 * worker takes ids that start with 5 for services and runs those until they are stopped. */
static void format_job_id(int index, char *job_id, size_t size) {
    g_snprintf(job_id, size, index % 3 == 0 ? "req-17%04d" : "req-57%04d", index);
}

/* The controller is restarted during an outage of the store. Within 75 s after the outage, polls of
 * every accepted job, whether open, done or cancelled, must return its state, also while the
 * controller is still loading its store cache. */
static void every_job_is_known_after_an_outage_with_a_controller_restart(void **state) {
    struct service_fixture *fixture = *state;
    char job_id[32], job_state[32];
    for (int i = 0; i < 24; i++) {
        format_job_id(i, job_id, sizeof job_id);
        assert_int_equal(post_job(fixture->app, job_id, 1, i % 3 != 0), 201);
        if (i % 3 == 2) {
            assert_int_equal(post_cancellation(fixture->app, job_id), 200);
        }
    }
    for (int i = 0; i < 24; i += 3) {
        format_job_id(i, job_id, sizeof job_id);
        wait_for_job_state(fixture->app, job_id, "done");
    }
    fake_services_set_store_down(fixture->services, true);
    stop_app(fixture->app);
    fixture->app = start_app(fixture->services, "n0");
    /* The HTTP server listens once the store cache is loaded, or after the session's lease. */
    assert_int_equal(fake_services_request(&fixture->app->config, "GET", "/ready", NULL, 0, NULL),
                     -1);
    assert_string_equal(poll_job_state(fixture->app, "req-170000", job_state, sizeof job_state),
                        "");
    fake_services_set_store_down(fixture->services, false);
    double deadline = rr_steady_clock_s() + 75;
    for (int i = 0; i < 24; i++) {
        format_job_id(i, job_id, sizeof job_id);
        while (!*poll_job_state(fixture->app, job_id, job_state, sizeof job_state)) {
            assert_true(rr_steady_clock_s() < deadline);
            rr_sleep(0.02);
        }
        assert_true(i % 3 == 0 ? strcmp(job_state, "done") == 0
                    : i % 3 == 2
                        ? strcmp(job_state, "aborted") == 0
                        : strcmp(job_state, "running") == 0 || strcmp(job_state, "queued") == 0);
    }
}

/* Far above the lag at which submissions are refused. The controller's smoothing lowers it again,
 * so the test sets it before each check. */
#define OVERLOAD_TIMER_LAG_MS 1000000

/* A controller whose timers fire late is overloaded: it refuses new jobs at once, but still answers
 * polls, cancellations and health checks. It accepts jobs again once its timers fire in time. */
static void only_submissions_are_shed_when_timers_are_late(void **state) {
    struct service_fixture *fixture = *state;
    char job_state[32];
    assert_int_equal(post_job(fixture->app, "req-500040", 1, true), 201);
    wait_for_job_state(fixture->app, "req-500040", "running");
    atomic_store(&fixture->app->timer_lag_ms, OVERLOAD_TIMER_LAG_MS);
    double started_at = rr_steady_clock_s();
    assert_int_equal(post_job(fixture->app, "req-500041", 1, true), 503);
    assert_true(rr_steady_clock_s() - started_at < 1);
    atomic_store(&fixture->app->timer_lag_ms, OVERLOAD_TIMER_LAG_MS);
    assert_string_equal(poll_job_state(fixture->app, "req-500040", job_state, sizeof job_state),
                        "running");
    assert_int_equal(fake_services_request(&fixture->app->config, "GET", "/ready", NULL, 0, NULL),
                     200);
    atomic_store(&fixture->app->timer_lag_ms, OVERLOAD_TIMER_LAG_MS);
    assert_int_equal(post_cancellation(fixture->app, "req-500040"), 200);
    double deadline = rr_steady_clock_s() + 60;
    while (post_job(fixture->app, "req-500041", 1, true) == 503) {
        assert_true(rr_steady_clock_s() < deadline);
        rr_sleep(0.05);
    }
    wait_for_job_state(fixture->app, "req-500041", "running");
}

#define WAITING_POLL_COUNT 24
#define COMMIT_COUNT 12
/* A thread that goes to sleep at least this often during the commits counts as woken by them. */
#define WOKEN_THREAD_SLEEPS_MIN 8
#define SLEEP_COUNTER "\nvoluntary_ctxt_switches:"

/* Returns how often each thread of the process has gone to sleep so far (its voluntary context
 * switches), by thread id. The caller destroys the table. */
static GHashTable *count_thread_sleeps(void) {
    GHashTable *sleeps = g_hash_table_new(NULL, NULL);
    GDir *thread_dir = g_dir_open("/proc/self/task", 0, NULL);
    const char *thread_id;
    assert_non_null(thread_dir);
    while ((thread_id = g_dir_read_name(thread_dir))) {
        char *path = g_strdup_printf("/proc/self/task/%s/status", thread_id), *status = NULL;
        if (g_file_get_contents(path, &status, NULL, NULL)) {
            const char *counter = strstr(status, SLEEP_COUNTER);
            unsigned long sleep_count =
                counter ? strtoul(counter + strlen(SLEEP_COUNTER), NULL, 10) : 0;
            g_hash_table_insert(sleeps, GSIZE_TO_POINTER(strtoul(thread_id, NULL, 10)),
                                GSIZE_TO_POINTER(sleep_count));
        }
        g_free(status);
        g_free(path);
    }
    g_dir_close(thread_dir);
    return sleeps;
}

/* Returns the number of polls that wait for the store cache. Takes the controller's user_lock. */
static unsigned count_waiting_polls(struct rr_app *app) {
    pthread_mutex_lock(&app->user_lock);
    unsigned count = app->read_barriers[0].waiting_polls + app->read_barriers[1].waiting_polls;
    pthread_mutex_unlock(&app->user_lock);
    return count;
}

/* Guards against a wake-up of every waiting poll's thread by each commit and by each change of the
 * store cache. */
static void waiting_polls_are_not_woken_by_other_jobs_commits(void **state) {
    struct service_fixture *fixture = *state;
    const char request[] = "GET /submissions/req-500010 HTTP/1.1\r\nHost: x\r\n\r\n";
    int fds[WAITING_POLL_COUNT];
    char first_byte;
    GHashTableIter iter;
    gpointer thread_id, count_before;
    /* Keeps the store cache behind the store, so that polls wait. */
    fake_services_freeze_watches(fixture->services, true);
    assert_int_equal(post_job(fixture->app, "req-500010", 1, true), 201);
    for (int i = 0; i < WAITING_POLL_COUNT; i++) {
        fds[i] = fake_services_connect(&fixture->app->config.bind);
        assert_true(fds[i] >= 0);
        assert_int_equal(send(fds[i], request, sizeof request - 1, MSG_NOSIGNAL),
                         sizeof request - 1);
    }
    double deadline = rr_steady_clock_s() + 20;
    while (count_waiting_polls(fixture->app) < WAITING_POLL_COUNT &&
           rr_steady_clock_s() < deadline) {
        rr_sleep(0.001);
    }
    GHashTable *sleeps_before = count_thread_sleeps();
    for (int i = 0; i < COMMIT_COUNT; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-5000%d", 20 + i);
        assert_int_equal(post_job(fixture->app, job_id, 1, true), 201);
    }
    GHashTable *sleeps_after = count_thread_sleeps();
    unsigned woken_thread_count = 0;
    g_hash_table_iter_init(&iter, sleeps_before);
    while (g_hash_table_iter_next(&iter, &thread_id, &count_before)) {
        gsize count_after = GPOINTER_TO_SIZE(g_hash_table_lookup(sleeps_after, thread_id));
        woken_thread_count +=
            count_after >= GPOINTER_TO_SIZE(count_before) + WOKEN_THREAD_SLEEPS_MIN;
    }
    /* The controller's own threads and those of the fake services are busy. At least two thirds of
     * the polls' threads must have stayed asleep. */
    assert_true(woken_thread_count <= WAITING_POLL_COUNT / 3);
    fake_services_freeze_watches(fixture->services, false);
    for (int i = 0; i < WAITING_POLL_COUNT; i++) {
        assert_int_equal(recv(fds[i], &first_byte, 1, 0), 1);
        close(fds[i]);
    }
    g_hash_table_destroy(sleeps_before);
    g_hash_table_destroy(sleeps_after);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(an_array_job_completes_and_a_service_job_is_cancelled),
        TEST(malformed_requests_get_4xx),
        TEST(a_job_is_accepted_once_if_the_commit_response_is_lost),
        TEST(a_controller_with_a_stale_cache_returns_no_older_state),
        TEST(job_states_never_go_backwards_between_controllers),
        TEST(controllers_agree_after_a_cancellation_response_is_lost),
        TEST(a_repeated_submission_gets_200_whatever_its_content),
        TEST(a_refused_submission_creates_no_job),
        TEST(cancelling_a_done_job_leaves_it_done),
        TEST(requests_that_need_the_store_get_503_during_an_outage),
        TEST(submissions_are_accepted_again_after_an_outage),
        TEST(tasks_keep_running_across_a_controller_restart),
        TEST(every_job_is_known_after_an_outage_with_a_controller_restart),
        TEST(waiting_polls_are_not_woken_by_other_jobs_commits),
        TEST(only_submissions_are_shed_when_timers_are_late)};
    rr_http_client_init();
    rr_log_set_level("error");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
