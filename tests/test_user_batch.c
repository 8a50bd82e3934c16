/* Group commit: which of the users' changes share a transaction, and what it guards and writes. */
#include "core/state/transaction.h"
#include "core/submissions.h"
#include "core_fixture.h"

#include "app/user_batch.h"

#include <string.h>

/* is_submission: a new job; otherwise a cancellation. bytes: of its record, about. */
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

/* A submission is repeated because its commit went unanswered, and the job is cancelled by a user
 * who has seen it through another controller; both are guarded by the same version of the same key.
 * In one transaction both guards would hold, and the later change would win. In either order the
 * second waits for a later transaction, whose guard then shows what came first. */
static void changes_of_one_key_never_share_a_transaction(void **state) {
    (void)state;
    struct rr_config settings;
    test_config_init(&settings, "n0");
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        struct rr_user_commit commits[3];
        struct rr_user_batch batch;
        uint64_t batch_count = 0;
        rr_transaction transaction;
        memset(&batch, 0, sizeof batch);
        make_commit(&commits[0], "req-1", !cancel_first, 0, 100);
        make_commit(&commits[1], "req-1", cancel_first, 0, 100);
        make_commit(&commits[2], "req-2", true, 0, 100);
        assert_true(rr_user_batch_add(&settings, &batch, &commits[0]));
        assert_false(rr_user_batch_add(&settings, &batch, &commits[1]));
        assert_true(rr_user_batch_add(&settings, &batch, &commits[2]));
        rr_transaction_init(&transaction);
        rr_user_batch_transaction(&batch, 7, &batch_count, &transaction);
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

/* next: with lower limits announced. */
static void transactions_keep_to_the_smaller_of_present_and_later_limits(void **state) {
    (void)state;
    struct rr_config settings;
    test_config_init(&settings, "n0");
    for (int next = 0; next < 2; next++) {
        static struct rr_user_commit commits[64];
        struct rr_user_batch batch;
        uint64_t batch_count = 0;
        char job_id[32];
        rr_transaction transaction;
        guint count = 0;
        settings.next_value_kb = next ? 2 : 0;
        settings.next_transaction_changes_max = next ? 4 : 0;
        memset(&batch, 0, sizeof batch);
        for (int i = 0; i < 64; i++) {
            g_snprintf(job_id, sizeof job_id, "req-%d", i + 1);
            make_commit(&commits[i], job_id, i % 4 != 0, 0, 400);
            if (i % 4 == 0) {
                g_snprintf(commits[i].also_key, sizeof commits[i].also_key, "rr/cells/out/%s",
                           job_id);
            }
        }
        while (count < 64 && rr_user_batch_add(&settings, &batch, &commits[count])) {
            count++;
        }
        rr_transaction_init(&transaction);
        rr_user_batch_transaction(&batch, 7, &batch_count, &transaction);
        assert_true(count > 2 && count < 64);
        assert_true(transaction.changes->len <= (guint)rr_transaction_changes_max(&settings));
        assert_true(transaction.guards->len <= 4 * (guint)rr_transaction_changes_max(&settings));
        for (guint i = 0; i < transaction.changes->len; i++) {
            size_t length = g_array_index(transaction.changes, rr_change, i).length;
            assert_true((double)length <= rr_value_kb_max(&settings) * 1024);
        }
        rr_transaction_clear(&transaction);
        for (int i = 0; i < 64; i++) {
            rr_encoder_clear(&commits[i].value);
        }
    }
}

/* By this guard a cancellation fails if the job was offered to another cell meanwhile. */
static void a_commit_may_guard_a_second_record(void **state) {
    struct rr_user_commit commit = {0};
    struct rr_user_batch batch;
    struct rr_config settings;
    uint64_t batch_count = 0;
    rr_transaction transaction;
    (void)state;
    test_config_init(&settings, "n0");
    memset(&batch, 0, sizeof batch);
    make_commit(&commit, "req-1", false, 4, 100);
    g_strlcpy(commit.also_key, "rr/cells/out/req-1", sizeof commit.also_key);
    commit.also_version = 9;
    assert_true(rr_user_batch_add(&settings, &batch, &commit));
    rr_transaction_init(&transaction);
    rr_user_batch_transaction(&batch, 7, &batch_count, &transaction);
    assert_int_equal(transaction.guards->len, 2);
    assert_string_equal(g_array_index(transaction.guards, rr_guard, 1).key, "rr/cells/out/req-1");
    assert_int_equal(g_array_index(transaction.guards, rr_guard, 1).version, 9);
    rr_transaction_clear(&transaction);
    rr_encoder_clear(&commit.value);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(changes_of_one_key_never_share_a_transaction),
        cmocka_unit_test(transactions_keep_to_the_smaller_of_present_and_later_limits),
        cmocka_unit_test(a_commit_may_guard_a_second_record)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
