/* Group commit: which users' changes may share a transaction, and what it guards and writes. */
#include "core/state/transaction.h"
#include "core/submissions.h"
#include "core_fixture.h"

#include "app/user_batch.h"

#include <string.h>

/* Makes a submission, or with is_submission false a cancellation. bytes: approximate size of its
 * record. */
static void make_commit(struct rr_user_commit *commit, const char *job_id, bool is_submission,
                        uint64_t version, size_t bytes) {
    char *body = g_strnfill(bytes, 'x');
    memset(commit, 0, sizeof *commit);
    rr_core_job_key(job_id, commit->key, sizeof commit->key);
    rr_encoder_init(&commit->value);
    rr_encode_map(&commit->value, 1);
    rr_encode_key_text(&commit->value, "ref", body);
    commit->is_submission = is_submission;
    commit->version = version;
    g_free(body);
}

/* Guards against a cancellation that is confirmed and then lost. A submission is retried because
 * its commit got no answer, while a user who has seen the job through another controller cancels
 * it; both are guarded by the same version of the same key. In one transaction both guards would
 * hold, and the later change would win. So the second change, in either order, must wait for a
 * later transaction, whose guard then fails. */
static void changes_of_one_key_never_share_a_transaction(void **state) {
    (void)state;
    struct rr_config config;
    test_config_init(&config, "n0");
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        struct rr_user_commit commits[3];
        struct rr_user_batch batch;
        uint64_t batch_count = 0;
        rr_transaction transaction;
        memset(&batch, 0, sizeof batch);
        make_commit(&commits[0], "req-1", !cancel_first, 0, 100);
        make_commit(&commits[1], "req-1", cancel_first, 0, 100);
        make_commit(&commits[2], "req-2", true, 0, 100);
        assert_true(rr_user_batch_add(&config, &batch, &commits[0]));
        assert_false(rr_user_batch_add(&config, &batch, &commits[1]));
        assert_true(rr_user_batch_add(&config, &batch, &commits[2]));
        rr_transaction_init(&transaction);
        rr_user_batch_build_transaction(&batch, 7, &batch_count, &transaction);
        unsigned puts = 0;
        for (guint i = 0; i < transaction.changes->len; i++) {
            puts +=
                strcmp(g_array_index(transaction.changes, rr_change, i).key, commits[0].key) == 0;
        }
        assert_true(puts <= 1);
        rr_transaction_clear(&transaction);
        for (int i = 0; i < 3; i++) {
            rr_encoder_clear(&commits[i].value);
        }
    }
}

/* with_next_limits: whether lower limits are announced that will replace the present ones. */
static void transactions_respect_present_and_announced_limits(void **state) {
    (void)state;
    struct rr_config config;
    test_config_init(&config, "n0");
    for (int with_next_limits = 0; with_next_limits < 2; with_next_limits++) {
        static struct rr_user_commit commits[64];
        struct rr_user_batch batch;
        uint64_t batch_count = 0;
        char job_id[32];
        rr_transaction transaction;
        guint count = 0;
        config.next_value_kb = with_next_limits ? 2 : 0;
        config.next_transaction_changes_max = with_next_limits ? 4 : 0;
        memset(&batch, 0, sizeof batch);
        for (int i = 0; i < 64; i++) {
            g_snprintf(job_id, sizeof job_id, "req-%d", i + 1);
            make_commit(&commits[i], job_id, i % 4 != 0, 0, 400);
            if (i % 4 == 0) {
                g_snprintf(commits[i].extra_guard_key, sizeof commits[i].extra_guard_key,
                           "rr/cells/out/%s", job_id);
            }
        }
        while (count < 64 && rr_user_batch_add(&config, &batch, &commits[count])) {
            count++;
        }
        rr_transaction_init(&transaction);
        rr_user_batch_build_transaction(&batch, 7, &batch_count, &transaction);
        assert_true(count > 2 && count < 64);
        assert_true(transaction.changes->len <= (guint)rr_transaction_changes_max(&config));
        assert_true(transaction.guards->len <= 4 * (guint)rr_transaction_changes_max(&config));
        for (guint i = 0; i < transaction.changes->len; i++) {
            size_t length = g_array_index(transaction.changes, rr_change, i).length;
            assert_true((double)length <= rr_value_kb_max(&config) * 1024);
        }
        rr_transaction_clear(&transaction);
        for (int i = 0; i < 64; i++) {
            rr_encoder_clear(&commits[i].value);
        }
    }
}

/* The guard makes a cancellation fail if the job was offered to another cell meanwhile. */
static void a_commit_may_guard_a_second_record(void **state) {
    struct rr_user_commit commit = {0};
    struct rr_user_batch batch;
    struct rr_config config;
    uint64_t batch_count = 0;
    rr_transaction transaction;
    (void)state;
    test_config_init(&config, "n0");
    memset(&batch, 0, sizeof batch);
    make_commit(&commit, "req-1", false, 4, 100);
    g_strlcpy(commit.extra_guard_key, "rr/cells/out/req-1", sizeof commit.extra_guard_key);
    commit.extra_guard_version = 9;
    assert_true(rr_user_batch_add(&config, &batch, &commit));
    rr_transaction_init(&transaction);
    rr_user_batch_build_transaction(&batch, 7, &batch_count, &transaction);
    assert_int_equal(transaction.guards->len, 2);
    assert_string_equal(g_array_index(transaction.guards, rr_guard, 1).key, "rr/cells/out/req-1");
    assert_int_equal(g_array_index(transaction.guards, rr_guard, 1).version, 9);
    rr_transaction_clear(&transaction);
    rr_encoder_clear(&commit.value);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(changes_of_one_key_never_share_a_transaction),
        cmocka_unit_test(transactions_respect_present_and_announced_limits),
        cmocka_unit_test(a_commit_may_guard_a_second_record)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
