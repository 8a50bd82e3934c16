/* Both settings files: what is wrong is named with file and field. */
#include "core_fixture.h"

#include "app/settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const char base[] = "node_name = \"n0\"\nzone = \"a\"\nbind = \"127.0.0.1:8080\"\n"
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

static char *write_temp(const char *text) {
    char *path = NULL;
    int fd = g_file_open_tmp("rr-test-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
    return path;
}

static int load(const char *platform, const char *own, struct rr_config *config, char *err,
                size_t size) {
    char *cursor = write_temp(platform), *text = own ? write_temp(own) : NULL;
    int rc = rr_settings_load(cursor, text, config, err, size);
    unlink(cursor);
    if (text) {
        unlink(text);
    }
    g_free(cursor);
    g_free(text);
    return rc;
}

static char *replaced(const char *from, const char *target) {
    GString *text = g_string_new(base);
    assert_int_equal(g_string_replace(text, from, target, 1), 1);
    return g_string_free(text, FALSE);
}

static void good_settings(void **state) {
    (void)state;
    struct rr_config config;
    char err[256] = "";
    assert_int_equal(load(base, NULL, &config, err, sizeof err), 0);
    assert_string_equal(config.node_name, "n0");
    assert_int_equal(config.bind.port, 8080);
    assert_int_equal(config.peer_count, 1);
    assert_true(config.teams[0].gpus_max == 3);
    assert_true(config.lease_s == 36);
    assert_true(rr_session_lease_s(&config) + config.lease_s < config.cancel_s);
}

/* The limits that are to come: what is not named stays as it is, and a larger one changes nothing.
 */
static void limits_to_come(void **state) {
    (void)state;
    struct rr_config config;
    char err[256] = "";
    assert_int_equal(load(base, NULL, &config, err, sizeof err), 0);
    assert_true(rr_value_kb_max(&config) == 8 && rr_transaction_changes_max(&config) == 32 &&
                config.next_write_rps == 100);
    char *text = replaced("txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\n"
                                            "value_kb = 2.0\ntxn_ops = 64\nwrite_rps = 24\n");
    assert_int_equal(load(text, NULL, &config, err, sizeof err), 0);
    assert_true(rr_value_kb_max(&config) == 2 && rr_transaction_changes_max(&config) == 32);
    assert_true(config.next_write_rps == 24 && config.next_rps == config.state_rps);
    g_free(text);
}

static void bad_platform_settings(void **state) {
    (void)state;
    static const char *const cases[][3] = {
        {"node_name = \"n0\"\n", "", "node_name"},
        {"node_name = \"n0\"", "node_name = 5", "node_name"},
        {"bind = \"127.0.0.1:8080\"", "bind = \"localhost:8080\"", "bind"},
        {"bind = \"127.0.0.1:8080\"", "bind = \"127.0.0.1:99999\"", "bind"},
        {"endpoint = \"127.0.0.1:8082\"", "endpoint = \"x\"", "seeds[0].endpoint"},
        {"report_s = 3.0", "report_s = \"3\"", "deployment.workers.report_s"},
        {"report_s = 3.0", "report_s = -3.0", "deployment.workers.report_s"},
        {"report_s = 3.0", "report_s = nan", "deployment.workers.report_s"},
        {"cancel_s = 66.0", "cancel_s = 30.0", "deployment.workers.cancel_s"},
        {"txn_ops = 32", "", "deployment.state.txn_ops"},
        {"txn_ops = 32\n", "txn_ops = 32\nnext = 5\n", "deployment.state.next"},
        {"txn_ops = 32\n", "txn_ops = 32\nnext = [2]\n", "deployment.state.next"},
        {"txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\nvalue_kb = \"2\"\n",
         "deployment.state.next.value_kb"},
        {"txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\ntxn_ops = 1\n",
         "deployment.state.next.txn_ops"},
        {"txn_ops = 32\n", "txn_ops = 32\n[deployment.state.next]\nwrite_rps = -3\n",
         "deployment.state.next.write_rps"},
        {"name = \"t\"", "name = \"\"", "deployment.teams[0].name"},
        {"gpus_max = 3", "gpus_max = []", "deployment.teams[0].gpus_max"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rr_config config;
        char err[256] = "";
        char *text = replaced(cases[i][0], cases[i][1]);
        assert_int_equal(load(text, NULL, &config, err, sizeof err), -EINVAL);
        assert_non_null(strstr(err, cases[i][2]));
        assert_null(strchr(err, '\n'));
        g_free(text);
    }
}

static void syntax_error_and_missing_file(void **state) {
    (void)state;
    struct rr_config config;
    char err[256] = "";
    assert_int_equal(load("node_name = ", NULL, &config, err, sizeof err), -EINVAL);
    assert_non_null(strstr(err, ":1:"));
    assert_int_equal(rr_settings_load("/nonexistent/x.toml", NULL, &config, err, sizeof err),
                     -EINVAL);
    assert_non_null(strstr(err, "/nonexistent/x.toml"));
    assert_int_equal(load(base, NULL, &config, err, sizeof err), 0);
}

static void operators_settings(void **state) {
    (void)state;
    struct rr_config config;
    char err[256] = "";
    assert_int_equal(load(base, "round_period_s = 12.5\nround_moves = 2\nrounds = false\n", &config,
                          err, sizeof err),
                     0);
    assert_true(config.tuning.rebalance_period_s == 12.5);
    assert_int_equal(config.tuning.rebalance_moves, 2);
    assert_false(config.tuning.rebalance);
    assert_true(config.tuning.silent_reports > 1); /* a default */
    static const char *const bad[][2] = {{"no_such = 1\n", "no_such"},
                                         {"round_moves = 0\n", "round_moves"},
                                         {"session_share = 0.95\n", "session_share"},
                                         {"round_period_s = \"x\"\n", "round_period_s"},
                                         {"round_moves = \n", ":"}};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        err[0] = 0;
        assert_int_equal(load(base, bad[i][0], &config, err, sizeof err), -EINVAL);
        assert_non_null(strstr(err, bad[i][1]));
        assert_null(strchr(err, '\n'));
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(good_settings), cmocka_unit_test(limits_to_come),
        cmocka_unit_test(bad_platform_settings), cmocka_unit_test(syntax_error_and_missing_file),
        cmocka_unit_test(operators_settings)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
