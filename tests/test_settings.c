/* Tests that the platform's file and the operators' tuning file are loaded, and that errors have
 * the code of the fault and name the file and the setting. */
#include "core_fixture.h"

#include "app/settings.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A platform file without errors. The loader ignores the settings that it doesn't know. */
static const char valid_platform[] =
    "node_name = \"n0\"\nzone = \"a\"\nbind = \"127.0.0.1:8080\"\n"
    "peer_listen = \"127.0.0.1:8081\"\nnew_field = 1\n"
    "[[seeds]]\nnode_name = \"n1\"\nzone = \"b\"\n"
    "endpoint = \"127.0.0.1:8082\"\n"
    "[services]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:2\"\n"
    "[deployment]\nnodes = 2\n"
    "[[deployment.teams]]\nname = \"t\"\ngpus_max = 3\n"
    "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"c\"\n"
    "within_s = 4.0\nshare = 0.5\n"
    "[deployment.workers]\nreport_s = 3.0\nlease_s = 36\ncancel_s = 66.0\n"
    "[deployment.state]\nrps = 250.0\nwrite_rps = 100.0\nvalue_kb = 8.0\n"
    "txn_ops = 32\n[deployment.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n";

/* Writes a temporary file and returns its path. The caller deletes the file and frees the path. */
static char *write_temp_file(const char *text) {
    char *path = NULL;
    int fd = g_file_open_tmp("rr-test-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
    return path;
}

/* Loads files with these texts; without a tuning file if tuning is NULL. */
static bool load_files(const char *platform, const char *tuning, struct rr_config *config,
                       GError **error) {
    char *platform_file = write_temp_file(platform),
         *tuning_file = tuning ? write_temp_file(tuning) : NULL;
    bool loaded = rr_settings_load(platform_file, tuning_file, config, error);
    unlink(platform_file);
    if (tuning_file) {
        unlink(tuning_file);
    }
    g_free(platform_file);
    g_free(tuning_file);
    return loaded;
}

static void load_valid(const char *platform, const char *tuning, struct rr_config *config) {
    GError *error = NULL;
    if (!load_files(platform, tuning, config, &error)) {
        fail_msg("%s", error->message);
    }
    assert_null(error);
}

/* Checks that loading fails with this code and a single-line message that contains this text. */
static void expect_error(const char *platform, const char *tuning, enum rr_settings_error code,
                         const char *text) {
    struct rr_config config;
    GError *error = NULL;
    assert_false(load_files(platform, tuning, &config, &error));
    assert_non_null(error);
    if (!g_error_matches(error, RR_SETTINGS_ERROR, (int)code) || !strstr(error->message, text)) {
        fail_msg("error \"%s\" with code %d instead of \"%s\" with code %d", error->message,
                 error->code, text, (int)code);
    }
    assert_null(strchr(error->message, '\n'));
    g_error_free(error);
}

/* Returns the valid settings with the first occurrence of `from`, which must exist, replaced.
 * The caller frees it. */
static char *replace_in_valid_settings(const char *from, const char *replacement) {
    GString *text = g_string_new(valid_platform);
    assert_int_equal(g_string_replace(text, from, replacement, 1), 1);
    return g_string_free(text, FALSE);
}

static void valid_settings_are_loaded(void **state) {
    (void)state;
    struct rr_config config;
    load_valid(valid_platform, NULL, &config);
    assert_string_equal(config.node_name, "n0");
    assert_int_equal(config.bind.port, 8080);
    assert_int_equal(config.peer_count, 1);
    assert_true(config.teams[0].gpus_max == 3);
    assert_true(config.lease_s == 36);
    assert_true(rr_session_lease_s(&config) + config.lease_s < config.cancel_s);
}

static void next_limits_default_to_the_present_ones(void **state) {
    (void)state;
    struct rr_config config;
    load_valid(valid_platform, NULL, &config);
    assert_true(rr_value_kb_max(&config) == 8 && rr_transaction_changes_max(&config) == 32 &&
                config.next_store_write_rps == 100);
}

static void smaller_next_limits_apply_at_once(void **state) {
    (void)state;
    struct rr_config config;
    char *text = replace_in_valid_settings("txn_ops = 32\n",
                                           "txn_ops = 32\n[deployment.state.next]\n"
                                           "value_kb = 2.0\ntxn_ops = 64\nwrite_rps = 24\n");
    load_valid(text, NULL, &config);
    assert_true(rr_value_kb_max(&config) == 2 && rr_transaction_changes_max(&config) == 32);
    assert_true(config.next_store_write_rps == 24 && config.next_store_rps == config.store_rps);
    g_free(text);
}

static void platform_file_errors_name_the_setting(void **state) {
    (void)state;
    static const struct {
        const char *from, *replacement;
        enum rr_settings_error code;
        const char *field;
    } cases[] = {
        {"node_name = \"n0\"\n", "", RR_SETTINGS_ERROR_MISSING, "node_name"},
        {"node_name = \"n0\"", "node_name = 5", RR_SETTINGS_ERROR_WRONG_TYPE, "node_name"},
        {"bind = \"127.0.0.1:8080\"", "bind = \"localhost:8080\"", RR_SETTINGS_ERROR_WRONG_TYPE,
         "bind"},
        {"bind = \"127.0.0.1:8080\"", "bind = \"127.0.0.1:99999\"", RR_SETTINGS_ERROR_WRONG_TYPE,
         "bind"},
        {"endpoint = \"127.0.0.1:8082\"", "endpoint = \"x\"", RR_SETTINGS_ERROR_WRONG_TYPE,
         "seeds[0].endpoint"},
        {"report_s = 3.0", "report_s = \"3\"", RR_SETTINGS_ERROR_WRONG_TYPE,
         "deployment.workers.report_s"},
        {"report_s = 3.0", "report_s = -3.0", RR_SETTINGS_ERROR_OUT_OF_RANGE,
         "deployment.workers.report_s"},
        {"report_s = 3.0", "report_s = nan", RR_SETTINGS_ERROR_WRONG_TYPE,
         "deployment.workers.report_s"},
        {"cancel_s = 66.0", "cancel_s = 30.0", RR_SETTINGS_ERROR_CONFLICT,
         "deployment.workers.cancel_s"},
        {"txn_ops = 32", "", RR_SETTINGS_ERROR_MISSING, "deployment.state.txn_ops"},
        {"txn_ops = 32\n", "txn_ops = 32\nnext = 5\n", RR_SETTINGS_ERROR_WRONG_TYPE,
         "deployment.state.next"},
        {"txn_ops = 32\n", "txn_ops = 32\nnext = [2]\n", RR_SETTINGS_ERROR_WRONG_TYPE,
         "deployment.state.next"},
        {"txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\nvalue_kb = \"2\"\n",
         RR_SETTINGS_ERROR_WRONG_TYPE, "deployment.state.next.value_kb"},
        {"txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\ntxn_ops = 1\n",
         RR_SETTINGS_ERROR_OUT_OF_RANGE, "deployment.state.next.txn_ops"},
        {"txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\nwrite_rps = -3\n",
         RR_SETTINGS_ERROR_OUT_OF_RANGE, "deployment.state.next.write_rps"},
        {"name = \"t\"", "name = \"\"", RR_SETTINGS_ERROR_OUT_OF_RANGE, "deployment.teams[0].name"},
        {"gpus_max = 3", "gpus_max = []", RR_SETTINGS_ERROR_WRONG_TYPE,
         "deployment.teams[0].gpus_max"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = replace_in_valid_settings(cases[i].from, cases[i].replacement);
        expect_error(text, NULL, cases[i].code, cases[i].field);
        g_free(text);
    }
}

static void a_value_error_names_its_line(void **state) {
    (void)state;
    char *text = replace_in_valid_settings("zone = \"a\"", "zone = 7");
    expect_error(text, NULL, RR_SETTINGS_ERROR_WRONG_TYPE,
                 ":2: zone: must be a string and not too long");
    g_free(text);
}

static void a_syntax_error_names_its_line(void **state) {
    (void)state;
    expect_error("node_name = ", NULL, RR_SETTINGS_ERROR_SYNTAX, ":1:");
}

static void a_missing_file_is_named_in_the_error(void **state) {
    (void)state;
    struct rr_config config;
    GError *error = NULL;
    assert_false(rr_settings_load("/nonexistent/x.toml", NULL, &config, &error));
    assert_true(g_error_matches(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_UNREADABLE));
    assert_non_null(strstr(error->message, "/nonexistent/x.toml"));
    g_clear_error(&error);
    char *platform_file = write_temp_file(valid_platform);
    assert_false(rr_settings_load(platform_file, "/nonexistent/x.hcl", &config, &error));
    assert_true(g_error_matches(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_UNREADABLE));
    assert_non_null(strstr(error->message, "/nonexistent/x.hcl"));
    g_error_free(error);
    unlink(platform_file);
    g_free(platform_file);
}

static void an_error_does_not_affect_the_next_load(void **state) {
    (void)state;
    struct rr_config config;
    expect_error("node_name = ", NULL, RR_SETTINGS_ERROR_SYNTAX, ":1:");
    expect_error(valid_platform, "no_such = 1\n", RR_SETTINGS_ERROR_UNKNOWN_NAME, "no_such");
    load_valid(valid_platform, NULL, &config);
    load_valid(valid_platform, "round_moves = 2\n", &config);
}

static void tuning_replaces_defaults(void **state) {
    (void)state;
    struct rr_config config;
    load_valid(valid_platform, "round_period_s = 12.5\nround_moves = 2\nrounds = false\n", &config);
    assert_true(config.tuning.rebalance_period_s == 12.5);
    assert_int_equal(config.tuning.rebalance_moves, 2);
    assert_false(config.tuning.rebalance);
    assert_true(config.tuning.recent_heartbeat_intervals > 1); /* a default */
}

static void tuning_file_errors_name_the_setting(void **state) {
    (void)state;
    static const struct {
        const char *text;
        enum rr_settings_error code;
        const char *field;
    } cases[] = {
        {"no_such = 1\n", RR_SETTINGS_ERROR_UNKNOWN_NAME, "no_such"},
        {"round_moves = 0\n", RR_SETTINGS_ERROR_OUT_OF_RANGE, "round_moves"},
        {"session_share = 0.95\n", RR_SETTINGS_ERROR_OUT_OF_RANGE, "session_share"},
        {"round_period_s = \"x\"\n", RR_SETTINGS_ERROR_WRONG_TYPE, "round_period_s"},
        {"round_moves = \n", RR_SETTINGS_ERROR_SYNTAX, ":"},
        {"session_share = 0.5\nanswer_share = 0.4\n", RR_SETTINGS_ERROR_CONFLICT, "answer_share"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        expect_error(valid_platform, cases[i].text, cases[i].code, cases[i].field);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_settings_are_loaded),
        cmocka_unit_test(next_limits_default_to_the_present_ones),
        cmocka_unit_test(smaller_next_limits_apply_at_once),
        cmocka_unit_test(platform_file_errors_name_the_setting),
        cmocka_unit_test(a_value_error_names_its_line),
        cmocka_unit_test(a_syntax_error_names_its_line),
        cmocka_unit_test(a_missing_file_is_named_in_the_error),
        cmocka_unit_test(an_error_does_not_affect_the_next_load),
        cmocka_unit_test(tuning_replaces_defaults),
        cmocka_unit_test(tuning_file_errors_name_the_setting),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
