/* Which of the users' changes share a transaction, and what it guards and writes. */
#include "fakes.h"

#include "app/batch.h"

#include <string.h>

static void entry(struct rr_user_commit *u, const char *ref, bool accepts, uint64_t mark,
                  size_t bytes) {
    char *body = g_strnfill(bytes, 'x');
    memset(u, 0, sizeof *u);
    rr_core_job_key(ref, u->key, sizeof u->key);
    rr_encoder_init(&u->value);
    rr_encode_map(&u->value, 1);
    rr_encode_key_text(&u->value, "ref", body);
    u->is_submission = accepts;
    u->version = mark;
    g_free(body);
}

static void config(struct rr_config *c) {
    fx_config(c, "n0");
}

/* An acceptance was carried out together with others and its answer lost, so that it goes again,
 * still guarded by the mark 0 of the job's own key. Its user, who has read the job elsewhere, calls
 * it off here, guarded by the same mark. In one transaction both held, and the later put won: the
 * job was told to be cancelled and ran on (went_back 178 times, ran_cancelled). In either order the
 * second waits for the next transaction, where its guard tells what has come first. */
static void a_key_is_written_once(void **state) {
    (void)state;
    struct rr_config cfg;
    config(&cfg);
    for (int cancel_first = 0; cancel_first < 2; cancel_first++) {
        struct rr_user_commit u[3];
        struct rr_user_batch b;
        uint64_t batches = 0;
        rr_transaction t;
        memset(&b, 0, sizeof b);
        entry(&u[0], "req-1", !cancel_first, 0, 100);
        entry(&u[1], "req-1", cancel_first, 0, 100);
        entry(&u[2], "req-2", true, 0, 100);
        assert_true(rr_user_batch_add(&cfg, &b, &u[0]));
        assert_false(rr_user_batch_add(&cfg, &b, &u[1]));
        assert_true(rr_user_batch_add(&cfg, &b, &u[2]));
        rr_transaction_init(&t);
        rr_user_batch_transaction(&b, 7, &batches, &t);
        unsigned puts = 0;
        for (guint i = 0; i < t.changes->len; i++) {
            puts += strcmp(g_array_index(t.changes, rr_change, i).key, u[0].key) == 0;
        }
        assert_true(puts <= 1);
        rr_transaction_clear(&t);
        for (int i = 0; i < 3; i++) {
            rr_encoder_clear(&u[i].value);
        }
    }
}

/* Sizes and operations keep to the smaller of the present limits and those to come. */
static void within_the_limits(void **state) {
    (void)state;
    struct rr_config cfg;
    config(&cfg);
    for (int next = 0; next < 2; next++) {
        static struct rr_user_commit u[64];
        struct rr_user_batch b;
        uint64_t batches = 0;
        char ref[32];
        rr_transaction t;
        guint n = 0;
        cfg.next_value_kb = next ? 2 : 0;
        cfg.next_transaction_changes_max = next ? 4 : 0;
        memset(&b, 0, sizeof b);
        for (int i = 0; i < 64; i++) {
            g_snprintf(ref, sizeof ref, "req-%d", i + 1);
            entry(&u[i], ref, i % 4 != 0, 0, 400);
            if (i % 4 == 0) {
                g_snprintf(u[i].also_key, sizeof u[i].also_key, "rr/cells/out/%s", ref);
            }
        }
        while (n < 64 && rr_user_batch_add(&cfg, &b, &u[n])) {
            n++;
        }
        rr_transaction_init(&t);
        rr_user_batch_transaction(&b, 7, &batches, &t);
        assert_true(n > 2 && n < 64);
        assert_true(t.changes->len <= (guint)rr_transaction_changes_max(&cfg));
        assert_true(t.guards->len <= 4 * (guint)rr_transaction_changes_max(&cfg));
        for (guint i = 0; i < t.changes->len; i++) {
            size_t len = g_array_index(t.changes, rr_change, i).length;
            assert_true((double)len <= rr_value_kb_max(&cfg) * 1024);
        }
        rr_transaction_clear(&t);
        for (int i = 0; i < 64; i++) {
            rr_encoder_clear(&u[i].value);
        }
    }
}

/* A cancellation is refused if the job was offered to another cell meanwhile. */
static void a_second_guard(void **state) {
    struct rr_user_commit u = {0};
    struct rr_user_batch b;
    struct rr_config cfg;
    uint64_t batches = 0;
    rr_transaction t;
    (void)state;
    config(&cfg);
    memset(&b, 0, sizeof b);
    entry(&u, "req-1", false, 4, 100);
    g_strlcpy(u.also_key, "rr/cells/out/req-1", sizeof u.also_key);
    u.also_version = 9;
    assert_true(rr_user_batch_add(&cfg, &b, &u));
    rr_transaction_init(&t);
    rr_user_batch_transaction(&b, 7, &batches, &t);
    assert_int_equal(t.guards->len, 2);
    assert_string_equal(g_array_index(t.guards, rr_guard, 1).key, "rr/cells/out/req-1");
    assert_int_equal(g_array_index(t.guards, rr_guard, 1).version, 9);
    rr_transaction_clear(&t);
    rr_encoder_clear(&u.value);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(a_key_is_written_once),
                                       cmocka_unit_test(within_the_limits),
                                       cmocka_unit_test(a_second_guard)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
