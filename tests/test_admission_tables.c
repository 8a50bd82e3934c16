/* Admission tables: their records in the key-value store, and the verdicts based on them. */
#include "admission_fixture.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* ---- records ---- */

/* Makes an active table of 40 teams and this many rows, row i with 1/(i + 1) of the full share. The
 * caller clears it. */
static void make_large_table(rr_admission_table *table, uint64_t sequence, double starts_at,
                             guint row_count) {
    rr_admission_table_init(table);
    table->sequence = sequence;
    table->starts_at = starts_at;
    table->length_s = 10;
    table->active = true;
    table->cpus = 100;
    for (guint i = 0; i < row_count; i++) {
        rr_admission_row row = {.id = UINT64_MAX - i, .phase = UINT32_MAX - i};
        row.share = RR_ADMISSION_SHARE_FULL / (i + 1);
        g_array_append_val(table->rows, row);
    }
    for (int i = 0; i < 40; i++) {
        rr_admission_team team = {.fair_share = 0.25, .correction = 1.5};
        g_snprintf(team.name, sizeof team.name, "team-%d", i);
        g_array_append_val(table->teams, team);
    }
    rr_admission_table_sort(table);
}

/* Puts the records into the slot one by one, and clears them. The slot must be complete with the
 * last record and not before. */
static void put_records(rr_admission_slot *slot, rr_encoder *records, guint count) {
    for (guint i = 0; i < count; i++) {
        rr_document document;
        assert_int_equal(
            rr_document_parse(&document, records[i].buffer.data, records[i].buffer.size), 0);
        int rc = rr_admission_slot_add_part(slot, count - 1 - i, NULL, 1);
        assert_int_equal(rc, -EPROTO);
        assert_int_equal(rr_admission_slot_add_part(slot, i, document.root, 7), i + 1 == count);
        rr_document_clear(&document);
        rr_encoder_clear(&records[i]);
    }
}

/* A table larger than one value of the key-value store is restored in full from its records. A
 * table larger than a transaction loses the rows with the largest shares; the rest row of their
 * team and band then applies to those keys. */
static void table_is_restored_from_its_records(void **state) {
    (void)state;
    rr_admission_table table;
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    rr_admission_slot slot = {.parts = 0};
    rr_admission_table_init(&slot.table);
    make_large_table(&table, 5, 1000, 200);
    guint count = rr_admission_table_encode(&table, 4096, 8, records);
    assert_true(count > 1 && count <= 8);
    put_records(&slot, records, count);
    assert_int_equal(slot.table.rows->len, 200);
    assert_int_equal(slot.table.teams->len, 40);
    for (guint i = 0; i < 200; i++) {
        const rr_admission_row *row = &g_array_index(table.rows, rr_admission_row, i);
        const rr_admission_row *decoded = &g_array_index(slot.table.rows, rr_admission_row, i);
        assert_true(row->id == decoded->id && row->phase == decoded->phase &&
                    row->share == decoded->share);
    }
    assert_true(fabs(rr_admission_table_find_team(&slot.table, "team-7")->correction - 1.5) < 1e-9);
    rr_admission_table_clear(&table);
    make_large_table(&table, 7, 1020, 2000);
    count = rr_admission_table_encode(&table, 4096, 8, records);
    assert_int_equal(count, 8);
    put_records(&slot, records, count);
    assert_true(slot.table.rows->len < 2000);
    assert_non_null(rr_admission_table_find_row(&slot.table, UINT64_MAX - 1999));
    assert_null(rr_admission_table_find_row(&slot.table, UINT64_MAX));
    rr_admission_table_clear(&table);
    rr_admission_table_clear(&slot.table);
}

/* No record exceeds the key-value store's limit on the size of a value, even with team names of the
 * maximum length. */
static void records_stay_within_value_size_limit(void **state) {
    (void)state;
    rr_admission_table table;
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    fake_store *store = fake_store_create();
    make_large_table(&table, 5, 1e9, 900);
    for (guint i = 0; i < table.teams->len; i++) {
        rr_admission_team *team = &g_array_index(table.teams, rr_admission_team, i);
        memset(team->name, 'x', sizeof team->name - 1);
    }
    guint count = rr_admission_table_encode(&table, 2048, 16, records);
    for (guint i = 0; i < count; i++) {
        fake_store_put(store, "rr/admission/1/0", &records[i]);
        assert_true(fake_store_value_size(store, "rr/admission/1/0") <= 2048);
    }
    rr_admission_table_clear(&table);
    fake_store_destroy(store);
}

/* A record of a later version, or under a malformed key, is counted and changes nothing. */
static void unreadable_record_is_counted_and_ignored(void **state) {
    (void)state;
    struct admission_fixture fixture;
    rr_admission_stats stats;
    admission_fixture_init(&fixture);
    rr_admission *admission = fixture.admission;
    static const char *const key_suffixes[] = {"0/0", "0/99", "7/0", "x", "0", "0/0/0", ""};
    for (guint i = 0; i < G_N_ELEMENTS(key_suffixes); i++) {
        rr_encoder out;
        rr_document document;
        rr_encoder_init(&out);
        rr_encode_map(&out, 2);
        rr_encode_key_u64(&out, "v", RR_ADMISSION_RECORD_VERSION + 1);
        rr_encode_key_u64(&out, "sequence", 9);
        assert_int_equal(rr_document_parse(&document, out.buffer.data, out.buffer.size), 0);
        rr_admission_apply_record(admission, key_suffixes[i], document.root, 3);
        rr_document_clear(&document);
        rr_encoder_clear(&out);
    }
    rr_admission_get_stats(admission, &stats);
    assert_int_equal(stats.unreadable_records, G_N_ELEMENTS(key_suffixes));
    assert_int_equal(rr_admission_get_newest_table(admission)->sequence, 0);
    admission_fixture_clear(&fixture);
}

/* ---- verdicts ---- */

#define START_WALL_S 1000.0 /* start of the table's interval */

/* Makes an active table with one row. share: part of the key's jobs to admit, 0 to 1. The caller
 * clears the table. */
static void make_single_row_table(rr_admission_table *table, uint64_t sequence, double starts_at,
                                  uint64_t id, uint32_t phase, double share) {
    rr_admission_row row = {.id = id, .phase = phase};
    row.share = (uint64_t)(share * (double)RR_ADMISSION_SHARE_FULL);
    rr_admission_table_init(table);
    table->sequence = sequence;
    table->starts_at = starts_at;
    table->length_s = 10;
    table->active = true;
    g_array_append_val(table->rows, row);
}

/* A window of width 0.2 admits about a fifth of the jobs. A refused job that retries at the time it
 * was told is admitted then. */
static void window_admits_its_share_and_every_job_in_turn(void **state) {
    (void)state;
    rr_admission_key key = make_key("red", "x", 1);
    rr_admission_table table, no_table;
    rr_admission_table_init(&no_table);
    make_single_row_table(&table, 1, START_WALL_S, key.id, 123456789, 0.2);
    rr_admission_tables tables = {&table, &no_table};
    unsigned admitted = 0;
    for (unsigned i = 0; i < 2000; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "req-%06u", i);
        double wall = START_WALL_S + 5;
        rr_admission_verdict verdict = rr_admission_decide(&tables, wall, 0.1, &key, id);
        admitted += verdict.kind == RR_ADMISSION_ADMIT;
        while (verdict.kind != RR_ADMISSION_ADMIT && wall < START_WALL_S + 40) {
            assert_int_equal(verdict.kind, RR_ADMISSION_RETRY_LATER);
            assert_in_range(verdict.retry_after_s, 1, RR_RETRY_AFTER_MAX_S);
            bool has_turn = verdict.retry_after_s < RR_RETRY_AFTER_MAX_S;
            wall += verdict.retry_after_s;
            verdict = rr_admission_decide(&tables, wall, 0.1, &key, id);
            bool same_table = wall < START_WALL_S + 40;
            assert_true(!has_turn || !same_table || verdict.kind == RR_ADMISSION_ADMIT);
        }
    }
    assert_in_range(admitted, 320, 480);
    rr_admission_table_clear(&table);
    rr_admission_table_clear(&no_table);
}

/* At no moment around an interval boundary do controllers whose clocks are within the bound admit
 * jobs by the windows of different intervals. Checked are the slowest and the fastest such clock,
 * which any other lies between. */
static void clocks_within_bound_use_one_window(void **state) {
    (void)state;
    const double clock_error_s = 0.1;
    rr_admission_key key = make_key("red", "x", 1);
    rr_admission_table before, after;
    make_single_row_table(&before, 1, START_WALL_S, key.id, 0, 0.25);
    make_single_row_table(&after, 2, START_WALL_S + 10, key.id, 0x80000000U,
                          0.25); /* its window does not overlap the one before */
    rr_admission_tables tables = {&after, &before};
    for (unsigned i = 0; i < 400; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "req-%06u", i);
        for (int tick = 0; tick < 100; tick++) {
            double true_time = START_WALL_S + 9.5 + tick * 0.01;
            bool slow_clock_admits =
                rr_admission_decide(&tables, true_time - clock_error_s, clock_error_s, &key, id)
                    .kind == RR_ADMISSION_ADMIT;
            bool fast_clock_admits =
                rr_admission_decide(&tables, true_time + clock_error_s, clock_error_s, &key, id)
                    .kind == RR_ADMISSION_ADMIT;
            /* Whether each window admits the job, decided well inside its interval. */
            bool before_admits =
                rr_admission_decide(&tables, START_WALL_S + 5, clock_error_s, &key, id).kind ==
                RR_ADMISSION_ADMIT;
            bool after_admits =
                rr_admission_decide(&tables, START_WALL_S + 15, clock_error_s, &key, id).kind ==
                RR_ADMISSION_ADMIT;
            /* A clock that the bound allows to be in the interval before needs that window's
             * admission, one that may be in the interval after needs the other's. */
            assert_false(slow_clock_admits && fast_clock_admits && !before_admits && !after_admits);
            assert_false(slow_clock_admits && !before_admits &&
                         true_time - clock_error_s < START_WALL_S + 10 + clock_error_s - 1e-9);
            assert_false(fast_clock_admits && !after_admits &&
                         true_time + clock_error_s > START_WALL_S + 10 - clock_error_s + 1e-9);
        }
    }
    rr_admission_table_clear(&before);
    rr_admission_table_clear(&after);
}

/* A table is valid for three intervals after its own. A key is limited by its own row or the rest
 * row of its team and band, and not limited without either. An inactive table limits nothing,
 * however old it is. */
static void table_limits_named_keys_until_it_is_stale(void **state) {
    (void)state;
    rr_admission_key key = make_key("red", "x", 1), unlisted = make_key("red", "new", 1);
    rr_admission_key larger_band = make_key("red", "new", 9), other_team = make_key("blue", "x", 1);
    rr_admission_table table, no_table;
    rr_admission_table_init(&no_table);
    make_single_row_table(&table, 1, START_WALL_S, key.id, 0, 0);
    rr_admission_tables tables = {&table, &no_table};
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S + 39.8, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_RETRY_LATER);
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S + 40.1, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_NO_VALID_TABLE);
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S - 1, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S + 5, 0.1, &unlisted, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    rr_admission_row rest = {.id = rr_admission_default_row_id("red", 0)};
    g_array_append_val(table.rows, rest);
    rr_admission_table_sort(&table);
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S + 5, 0.1, &unlisted, "req-1").kind,
                     RR_ADMISSION_RETRY_LATER);
    assert_int_equal(
        rr_admission_decide(&tables, START_WALL_S + 5, 0.1, &larger_band, "req-1").kind,
        RR_ADMISSION_ADMIT);
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S + 5, 0.1, &other_team, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    table.active = false;
    assert_int_equal(rr_admission_decide(&tables, START_WALL_S + 9999, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    rr_admission_table_clear(&table);
    rr_admission_table_clear(&no_table);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(table_is_restored_from_its_records),
        cmocka_unit_test(records_stay_within_value_size_limit),
        cmocka_unit_test(unreadable_record_is_counted_and_ignored),
        cmocka_unit_test(window_admits_its_share_and_every_job_in_turn),
        cmocka_unit_test(clocks_within_bound_use_one_window),
        cmocka_unit_test(table_limits_named_keys_until_it_is_stale),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
