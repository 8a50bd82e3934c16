/* Which of the users' changes share a transaction, and what it guards and writes. */
#include "core_fixture.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include "app/user_batch.h"

#include <string.h>

static void entry(struct rr_user_commit *commit, const char *job_id, bool accepts, uint64_t version,
                  size_t bytes) {
    char *body = g_strnfill(bytes, 'x');
    memset(commit, 0, sizeof *commit);
    rr_core_job_key(job_id, commit->key, sizeof commit->key);
    rr_encoder_init(&commit->value);
    rr_encode_map(&commit->value, 1);
    rr_encode_key_text(&commit->value, "ref", body);
    commit->is_submission = accepts;
    commit->version = version;
    g_free(body);
}

static void config(struct rr_config *settings) {
    test_config(settings, "n0");
}

/* An acceptance was carried out together with others and its answer lost, so that it goes again,
 * still guarded by the version 0 of the job's own key. Its user, who has read the job elsewhere,
 * calls it off here, guarded by the same mark. In one transaction both held, and the later put won:
 * the job was told to be cancelled and ran on (went_back 178 times, ran_cancelled). In either order
 * the second waits for the next transaction, where its guard tells what has come first. */
static void a_key_is_written_once(void **state) {
    (void)state;
    struct rr_config settings;
    config(&settings);
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        struct rr_user_commit commits[3];
        struct rr_user_batch batch;
        uint64_t batches = 0;
        rr_transaction transaction;
        memset(&batch, 0, sizeof batch);
        entry(&commits[0], "req-1", !cancel_first, 0, 100);
        entry(&commits[1], "req-1", cancel_first, 0, 100);
        entry(&commits[2], "req-2", true, 0, 100);
        assert_true(rr_user_batch_add(&settings, &batch, &commits[0]));
        assert_false(rr_user_batch_add(&settings, &batch, &commits[1]));
        assert_true(rr_user_batch_add(&settings, &batch, &commits[2]));
        rr_transaction_init(&transaction);
        rr_user_batch_transaction(&batch, 7, &batches, &transaction);
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

/* Sizes and operations keep to the smaller of the present limits and those to come. */
static void within_the_limits(void **state) {
    (void)state;
    struct rr_config settings;
    config(&settings);
    for (int next = 0; next < 2; next++) {
        static struct rr_user_commit commits[64];
        struct rr_user_batch batch;
        uint64_t batches = 0;
        char job_id[32];
        rr_transaction transaction;
        guint count = 0;
        settings.next_value_kb = next ? 2 : 0;
        settings.next_transaction_changes_max = next ? 4 : 0;
        memset(&batch, 0, sizeof batch);
        for (int i = 0; i < 64; i++) {
            g_snprintf(job_id, sizeof job_id, "req-%d", i + 1);
            entry(&commits[i], job_id, i % 4 != 0, 0, 400);
            if (i % 4 == 0) {
                g_snprintf(commits[i].also_key, sizeof commits[i].also_key, "rr/cells/out/%s",
                           job_id);
            }
        }
        while (count < 64 && rr_user_batch_add(&settings, &batch, &commits[count])) {
            count++;
        }
        rr_transaction_init(&transaction);
        rr_user_batch_transaction(&batch, 7, &batches, &transaction);
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

/* A cancellation is refused if the job was offered to another cell meanwhile. */
static void a_second_guard(void **state) {
    struct rr_user_commit commit = {0};
    struct rr_user_batch batch;
    struct rr_config settings;
    uint64_t batches = 0;
    rr_transaction transaction;
    (void)state;
    config(&settings);
    memset(&batch, 0, sizeof batch);
    entry(&commit, "req-1", false, 4, 100);
    g_strlcpy(commit.also_key, "rr/cells/out/req-1", sizeof commit.also_key);
    commit.also_version = 9;
    assert_true(rr_user_batch_add(&settings, &batch, &commit));
    rr_transaction_init(&transaction);
    rr_user_batch_transaction(&batch, 7, &batches, &transaction);
    assert_int_equal(transaction.guards->len, 2);
    assert_string_equal(g_array_index(transaction.guards, rr_guard, 1).key, "rr/cells/out/req-1");
    assert_int_equal(g_array_index(transaction.guards, rr_guard, 1).version, 9);
    rr_transaction_clear(&transaction);
    rr_encoder_clear(&commit.value);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(a_key_is_written_once),
                                       cmocka_unit_test(within_the_limits),
                                       cmocka_unit_test(a_second_guard)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
