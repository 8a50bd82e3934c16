/* Fair admission by parts: keys, tables and their records, verdicts, the demand and its frames,
 * shares, and what bad input does to each. The whole of it: test_admission_hour.c. */
#include "core_fixture.h"
#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"

#include "admission/admission.h"
#include "admission/shares.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const uint32_t bands[2] = {8, 64};

static rr_submission job_of(const char *team, const char *job_class, const char *id,
                            uint32_t tasks) {
    rr_submission submission = {
        .task_count = tasks, .cpus = 1, .mem_gb = 1, .runtime_estimate_s = 10};
    g_strlcpy(submission.team, team, sizeof submission.team);
    g_strlcpy(submission.job_class, job_class, sizeof submission.job_class);
    g_strlcpy(submission.job_id, id, sizeof submission.job_id);
    return submission;
}

static rr_admission_key key_of(const char *team, const char *job_class, uint32_t tasks) {
    rr_submission submission = job_of(team, job_class, "req-1", tasks);
    rr_admission_key key;
    rr_admission_key_of(&submission, bands, &key);
    return key;
}

/* ---- keys ---- */

static void keys(void **state) {
    (void)state;
    char types[2][RR_ID_SIZE] = {"g8", "a4"}, swapped[2][RR_ID_SIZE] = {"a4", "g8"};
    rr_submission one = job_of("red", "x", "req-1", 7), other = job_of("red", "x", "req-2", 1);
    rr_admission_key left, right;
    one.machine_types = types;
    other.machine_types = swapped;
    one.machine_type_count = other.machine_type_count = 2;
    rr_admission_key_of(&one, bands, &left);
    rr_admission_key_of(&other, bands, &right);
    assert_true(left.id == right.id);
    assert_true(rr_admission_key_allows(&left, "g8", "z"));
    assert_false(rr_admission_key_allows(&left, "g", "z"));
    assert_int_equal(key_of("red", "x", 7).band, 0);
    assert_int_equal(key_of("red", "x", 8).band, 1);
    assert_int_equal(key_of("red", "x", 64).band, 2);
    assert_true(key_of("red", "x", 1).id != key_of("red", "x", 8).id);
    assert_true(key_of("red", "x", 1).id != key_of("redx", "", 1).id);
    g_strlcpy(other.zone, "a", sizeof other.zone);
    rr_admission_key_of(&other, bands, &right);
    assert_true(left.id != right.id);
    assert_false(rr_admission_key_allows(&right, "a4", "z"));
}

/* ---- tables ---- */

static void fill_table(rr_admission_table *table, uint64_t sequence, double starts_at, guint rows) {
    rr_admission_table_init(table);
    table->sequence = sequence;
    table->starts_at = starts_at;
    table->length_s = 10;
    table->active = true;
    table->cpus = 100;
    for (guint i = 0; i < rows; i++) {
        rr_admission_row row = {.id = UINT64_MAX - i, .phase = UINT32_MAX - i};
        row.share = RR_ADMISSION_FULL / (i + 1);
        g_array_append_val(table->rows, row);
    }
    for (int i = 0; i < 40; i++) {
        rr_admission_team team = {.room = 0.25, .correction = 1.5};
        g_snprintf(team.name, sizeof team.name, "team-%d", i);
        g_array_append_val(table->teams, team);
    }
    rr_admission_table_sort(table);
}

/* Puts the records in one by one; the slot must be whole with the last one and not before. */
static void put_records(rr_admission_slot *slot, rr_encoder *records, guint count) {
    for (guint i = 0; i < count; i++) {
        rr_document document;
        assert_int_equal(
            rr_document_parse(&document, records[i].buffer.data, records[i].buffer.size), 0);
        int rc = rr_admission_slot_put(slot, count - 1 - i, NULL, 1);
        assert_int_equal(rc, -EPROTO);
        assert_int_equal(rr_admission_slot_put(slot, i, document.root, 7), i + 1 == count);
        rr_document_clear(&document);
        rr_encoder_clear(&records[i]);
    }
}

/* A table larger than a value comes back whole from its records; one larger than a transaction
 * loses the rows of the largest shares, which their team's rest then stands for. */
static void a_table_in_records(void **state) {
    (void)state;
    rr_admission_table table;
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    rr_admission_slot slot = {.parts = 0};
    rr_admission_table_init(&slot.table);
    fill_table(&table, 5, 1000, 200);
    guint count = rr_admission_table_encode(&table, 4096, 8, records);
    assert_true(count > 1 && count <= 8);
    put_records(&slot, records, count);
    assert_int_equal(slot.table.rows->len, 200);
    assert_int_equal(slot.table.teams->len, 40);
    for (guint i = 0; i < 200; i++) {
        const rr_admission_row *row = &g_array_index(table.rows, rr_admission_row, i);
        const rr_admission_row *read = &g_array_index(slot.table.rows, rr_admission_row, i);
        assert_true(row->id == read->id && row->phase == read->phase && row->share == read->share);
    }
    assert_true(fabs(rr_admission_table_team(&slot.table, "team-7")->correction - 1.5) < 1e-9);
    rr_admission_table_clear(&table);
    fill_table(&table, 7, 1020, 2000);
    count = rr_admission_table_encode(&table, 4096, 8, records);
    assert_int_equal(count, 8);
    put_records(&slot, records, count);
    assert_true(slot.table.rows->len < 2000);
    assert_non_null(rr_admission_table_row(&slot.table, UINT64_MAX - 1999));
    assert_null(rr_admission_table_row(&slot.table, UINT64_MAX));
    rr_admission_table_clear(&table);
    rr_admission_table_clear(&slot.table);
}

/* Records as the key-value store takes them: never above its limit on values, in any part. */
static void records_keep_to_the_limit(void **state) {
    (void)state;
    rr_admission_table table;
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    fake_store *store = fake_store_create();
    fill_table(&table, 5, 1e9, 900);
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

/* A record of a later version, or garbage, is counted and changes nothing. */
static void unknown_records(void **state) {
    (void)state;
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission_stats stats;
    test_config(&config, "n0");
    rr_admission_settings_init(&settings);
    rr_admission *admission = rr_admission_create(&config, &settings);
    static const char *const rests[] = {"0/0", "0/99", "7/0", "x", "0", "0/0/0", ""};
    for (guint i = 0; i < G_N_ELEMENTS(rests); i++) {
        rr_encoder out;
        rr_document document;
        rr_encoder_init(&out);
        rr_encode_map(&out, 2);
        rr_encode_key_u64(&out, "v", RR_ADMISSION_VERSION + 1);
        rr_encode_key_u64(&out, "sequence", 9);
        assert_int_equal(rr_document_parse(&document, out.buffer.data, out.buffer.size), 0);
        rr_admission_put(admission, rests[i], document.root, 3);
        rr_document_clear(&document);
        rr_encoder_clear(&out);
    }
    rr_admission_get_stats(admission, &stats);
    assert_int_equal(stats.records_unread, G_N_ELEMENTS(rests));
    assert_int_equal(rr_admission_newest(admission)->sequence, 0);
    rr_admission_destroy(admission);
    rr_admission_settings_clear(&settings);
}

/* ---- verdicts ---- */

#define START 1000.0

static void one_row(rr_admission_table *table, uint64_t sequence, double starts_at, uint64_t id,
                    uint32_t phase, double share) {
    rr_admission_row row = {.id = id, .phase = phase};
    row.share = (uint64_t)(share * (double)RR_ADMISSION_FULL);
    rr_admission_table_init(table);
    table->sequence = sequence;
    table->starts_at = starts_at;
    table->length_s = 10;
    table->active = true;
    g_array_append_val(table->rows, row);
}

/* The share of ids that a window admits is its width, and everybody's turn comes: whoever comes
 * back when told is admitted. */
static void the_window_goes_round(void **state) {
    (void)state;
    rr_admission_key key = key_of("red", "x", 1);
    rr_admission_table table, none;
    rr_admission_table_init(&none);
    one_row(&table, 1, START, key.id, 123456789, 0.2);
    rr_admission_tables tables = {&table, &none};
    unsigned admitted = 0;
    for (unsigned i = 0; i < 2000; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "req-%06u", i);
        double wall = START + 5;
        rr_admission_verdict verdict = rr_admission_decide(&tables, wall, 0.1, &key, id);
        admitted += verdict.kind == RR_ADMISSION_ADMIT;
        while (verdict.kind != RR_ADMISSION_ADMIT && wall < START + 40) {
            assert_int_equal(verdict.kind, RR_ADMISSION_WAIT);
            assert_in_range(verdict.retry_after_s, 1, RR_RETRY_AFTER_MAX_S);
            bool sure = verdict.retry_after_s < RR_RETRY_AFTER_MAX_S;
            wall += verdict.retry_after_s;
            verdict = rr_admission_decide(&tables, wall, 0.1, &key, id);
            bool same_table = wall < START + 40;
            assert_true(!sure || !same_table || verdict.kind == RR_ADMISSION_ADMIT);
        }
    }
    assert_in_range(admitted, 320, 480);
    rr_admission_table_clear(&table);
    rr_admission_table_clear(&none);
}

/* At one true time no two clocks within the bound use windows of different intervals: one on either
 * side of an edge by a tick more than the bound, and all between, never both admit by their own. */
static void clocks_at_an_edge(void **state) {
    (void)state;
    const double off = 0.1;
    rr_admission_key key = key_of("red", "x", 1);
    rr_admission_table before, after;
    one_row(&before, 1, START, key.id, 0, 0.25);
    one_row(&after, 2, START + 10, key.id, 0x80000000U,
            0.25); /* windows that have nothing in common */
    rr_admission_tables tables = {&after, &before};
    for (unsigned i = 0; i < 400; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "req-%06u", i);
        for (int tick = 0; tick < 100; tick++) {
            double true_time = START + 9.5 + tick * 0.01;
            bool slow = rr_admission_decide(&tables, true_time - off, off, &key, id).kind ==
                        RR_ADMISSION_ADMIT;
            bool fast = rr_admission_decide(&tables, true_time + off, off, &key, id).kind ==
                        RR_ADMISSION_ADMIT;
            /* Both admit only by the same window. */
            bool by_before =
                rr_admission_decide(&tables, START + 5, off, &key, id).kind == RR_ADMISSION_ADMIT;
            bool by_after =
                rr_admission_decide(&tables, START + 15, off, &key, id).kind == RR_ADMISSION_ADMIT;
            assert_false(slow && fast && !by_before && !by_after);
            assert_false(slow && !by_before && true_time - off < START + 10 + off - 1e-9);
            assert_false(fast && !by_after && true_time + off > START + 10 - off + 1e-9);
        }
    }
    rr_admission_table_clear(&before);
    rr_admission_table_clear(&after);
}

/* A table counts on for three intervals after its own, and not for a tick longer. An inactive one
 * limits nothing, however old; a team or band without a row is not limited. */
static void old_tables_and_unknown_keys(void **state) {
    (void)state;
    rr_admission_key key = key_of("red", "x", 1), other = key_of("red", "new", 1);
    rr_admission_key larger = key_of("red", "new", 9), blue = key_of("blue", "x", 1);
    rr_admission_table table, none;
    rr_admission_table_init(&none);
    one_row(&table, 1, START, key.id, 0, 0);
    rr_admission_tables tables = {&table, &none};
    assert_int_equal(rr_admission_decide(&tables, START + 39.8, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_WAIT);
    assert_int_equal(rr_admission_decide(&tables, START + 40.1, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_STALE);
    assert_int_equal(rr_admission_decide(&tables, START - 1, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    assert_int_equal(rr_admission_decide(&tables, START + 5, 0.1, &other, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    rr_admission_row rest = {.id = rr_admission_rest_id("red", 0)};
    g_array_append_val(table.rows, rest);
    rr_admission_table_sort(&table);
    assert_int_equal(rr_admission_decide(&tables, START + 5, 0.1, &other, "req-1").kind,
                     RR_ADMISSION_WAIT);
    assert_int_equal(rr_admission_decide(&tables, START + 5, 0.1, &larger, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    assert_int_equal(rr_admission_decide(&tables, START + 5, 0.1, &blue, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    table.active = false;
    assert_int_equal(rr_admission_decide(&tables, START + 9999, 0.1, &key, "req-1").kind,
                     RR_ADMISSION_ADMIT);
    rr_admission_table_clear(&table);
    rr_admission_table_clear(&none);
}

static enum rr_admission_kind ask(rr_admission *admission, const rr_submission *job, bool entitled,
                                  bool all_able, double cache_age_s) {
    rr_admission_context state = {entitled, all_able, cache_age_s, 3};
    return rr_admission_ask(admission, job, &state, START, 50).kind;
}

/* Whether there is overload or not: a controller that can't know admits its part of the guarantees,
 * an interval at a time; unless some controller does not take part, for then nobody limits. */
static void a_controller_that_cannot_know(void **state) {
    (void)state;
    struct rr_config config;
    rr_admission_settings settings;
    rr_submission red = job_of("red", "x", "req-1", 1), blue = job_of("blue", "x", "req-2", 1);
    test_config(&config, "n0");
    config.teams[0].cpus = 6; /* a third of it for 10 s: two jobs of 10 processor seconds */
    rr_admission_settings_init(&settings);
    rr_admission *admission = rr_admission_create(&config, &settings);
    for (int stale = 0; stale < 2; stale++) {
        bool entitled = stale;
        double age = stale ? 40.1 : 0;
        rr_admission_tick(admission, START + 10 * stale, 50);
        assert_int_equal(ask(admission, &red, entitled, true, age), RR_ADMISSION_ADMIT);
        assert_int_equal(ask(admission, &red, entitled, true, age), RR_ADMISSION_ADMIT);
        assert_int_equal(ask(admission, &red, entitled, true, age), RR_ADMISSION_STALE);
        assert_int_equal(ask(admission, &blue, entitled, true, age), RR_ADMISSION_STALE);
        assert_int_equal(ask(admission, &blue, entitled, false, age), RR_ADMISSION_ADMIT);
        assert_int_equal(ask(admission, &blue, true, true, 39.9), RR_ADMISSION_ADMIT);
    }
    rr_admission_destroy(admission);
    rr_admission_settings_clear(&settings);
}

/* ---- demand ---- */

static void refuse_jobs(rr_demand *demand, const rr_admission_key *key, unsigned first,
                        unsigned many) {
    for (unsigned i = first; i < first + many; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "%s-%u", key->job_class, i);
        rr_demand_refused(demand, key, id, (rr_work){10, 0, 20}, 1000);
    }
}

static double count_of(const rr_demand *const *demands, const unsigned *ages, guint expected,
                       const rr_admission_key *key) {
    rr_demand_view views[4];
    const rr_demand_view *pointers[4];
    GArray *totals = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    double count = 0;
    for (guint i = 0; i < expected; i++) {
        GByteArray *packed = g_byte_array_new();
        rr_demand_view view;
        rr_demand_view_of(demands[i], 3, &view);
        rr_demand_view_pack(&view, packed, 200000);
        rr_demand_view_clear(&view);
        assert_int_equal(rr_demand_view_unpack(packed->data, packed->len, &views[i]), 0);
        pointers[i] = &views[i];
        g_byte_array_free(packed, TRUE);
    }
    rr_demand_merge(pointers, ages, expected, totals);
    for (guint i = 0; i < totals->len; i++) {
        const rr_demand_total *total = &g_array_index(totals, rr_demand_total, i);
        count = total->key.id == key->id ? total->count : count;
    }
    for (guint i = 0; i < expected; i++) {
        rr_demand_view_clear(&views[i]);
    }
    g_array_free(totals, TRUE);
    return count;
}

/* Users who were refused at two controllers count once; one large job is seen beside a flood; the
 * view of a controller that is silent counts for half as much each interval, not for nothing. */
static void demand_of_all(void **state) {
    (void)state;
    rr_admission_key flood = key_of("red", "flood", 1), large = key_of("blue", "large", 99);
    rr_demand *left = rr_demand_create(60), *right = rr_demand_create(60);
    const rr_demand *both[] = {left, right};
    unsigned fresh[] = {0, 0}, old[] = {0, 2};
    refuse_jobs(left, &flood, 0, 6000);
    refuse_jobs(right, &flood, 3000, 6000);
    refuse_jobs(right, &large, 0, 1);
    double count = count_of(both, fresh, 2, &flood);
    assert_true(count > 7000 && count < 11000);
    assert_true(count_of(both, fresh, 2, &large) == 1);
    assert_true(count_of(both, old, 2, &large) == 0.25);
    count = count_of(both, old, 2, &flood);
    assert_true(count > 5000 && count < 8500);
    /* Who gave up is gone after the patience. */
    rr_demand_next_interval(right, 1059);
    assert_int_equal(rr_demand_waiting(right), 6001);
    rr_demand_next_interval(right, 1061);
    assert_int_equal(rr_demand_waiting(right), 0);
    rr_demand_destroy(left);
    rr_demand_destroy(right);
}

static bool even_number(void *user, const char *job_id) {
    (void)user;
    return (job_id[strlen(job_id) - 1] - '0') % 2 == 0;
}

/* Who was refused here and accepted elsewhere asks no more. */
static void accepted_elsewhere(void **state) {
    (void)state;
    rr_demand *demand = rr_demand_create(60);
    const rr_demand *one[] = {demand};
    unsigned fresh[] = {0};
    rr_admission_key key = key_of("red", "x", 1);
    refuse_jobs(demand, &key, 0, 40);
    rr_demand_forget_accepted(demand, even_number, NULL);
    assert_int_equal(rr_demand_waiting(demand), 20);
    assert_true(count_of(one, fresh, 1, &key) == 20);
    rr_demand_destroy(demand);
}

/* A team with very many classes leaves out its own, not the single key of another team. */
static void a_view_that_is_too_large(void **state) {
    (void)state;
    rr_demand *demand = rr_demand_create(60);
    rr_admission_key single = key_of("violet", "only", 1); /* last by name and by demand */
    for (unsigned i = 0; i < 500; i++) {
        char name[32];
        g_snprintf(name, sizeof name, "class-%u", i);
        rr_admission_key key = key_of("red", name, 1);
        refuse_jobs(demand, &key, 0, 20);
    }
    refuse_jobs(demand, &single, 0, 1);
    rr_demand_view view, read;
    GByteArray *packed = g_byte_array_new();
    bool found = false;
    rr_demand_view_of(demand, 3, &view);
    rr_demand_view_pack(&view, packed, 5000);
    assert_true(packed->len <= 5000 + 16);
    assert_int_equal(rr_demand_view_unpack(packed->data, packed->len, &read), 0);
    assert_true(read.entries->len < 100);
    for (guint i = 0; i < read.entries->len; i++) {
        found = found || g_array_index(read.entries, rr_demand_entry, i).key.id == single.id;
    }
    assert_true(found);
    rr_demand_view_clear(&view);
    rr_demand_view_clear(&read);
    g_byte_array_free(packed, TRUE);
    rr_demand_destroy(demand);
}

/* Every cut of a good frame, every frame with one byte more, and one of an earlier term. */
static void bad_frames(void **state) {
    (void)state;
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission_stats stats;
    rr_demand *demand = rr_demand_create(60);
    rr_admission_key key = key_of("red", "x", 1);
    rr_demand_view view;
    GByteArray *good = g_byte_array_new();
    test_config(&config, "n0");
    rr_admission_settings_init(&settings);
    rr_admission *admission = rr_admission_create(&config, &settings);
    refuse_jobs(demand, &key, 0, 3);
    rr_demand_view_of(demand, 4, &view);
    rr_demand_view_pack(&view, good, 5000);
    for (guint length = 0; length < good->len; length++) {
        assert_int_equal(rr_admission_take_demand(admission, 0, 4, good->data, length, 1),
                         -EBADMSG);
    }
    assert_int_equal(rr_admission_take_demand(admission, 0, 5, good->data, good->len, 1), -ESTALE);
    assert_int_equal(
        rr_admission_take_demand(admission, RR_CONTROLLERS_MAX, 4, good->data, good->len, 1),
        -EBADMSG);
    assert_int_equal(rr_admission_take_demand(admission, 0, 4, good->data, good->len, 1), 0);
    guint8 more = 0;
    g_byte_array_append(good, &more, 1);
    assert_int_equal(rr_admission_take_demand(admission, 0, 4, good->data, good->len, 1), -EBADMSG);
    good->data[0]++;
    assert_int_equal(rr_admission_take_demand(admission, 0, 4, good->data, good->len - 1, 1),
                     -EBADMSG);
    rr_admission_get_stats(admission, &stats);
    assert_int_equal(stats.frames_dropped, good->len - 1 + 4);
    rr_demand_view_clear(&view);
    rr_demand_destroy(demand);
    rr_admission_destroy(admission);
    rr_admission_settings_clear(&settings);
    g_byte_array_free(good, TRUE);
}

/* ---- shares ---- */

struct shares {
    rr_share_row rows[3];
    rr_share_pool pools[2];
    rr_share_team teams[2];
    bool any[2], second[2];
};

/* Two pools; team 0 may use both and asks for more than there is, team 1 has one key tied to the
 * second pool and one that takes memory only. */
static rr_share_problem two_teams(struct shares *shares) {
    *shares = (struct shares){.any = {true, true}, .second = {false, true}};
    shares->pools[0] = (rr_share_pool){{6, 0, 6}};
    shares->pools[1] = (rr_share_pool){{4, 0, 4}};
    shares->teams[0] = shares->teams[1] = (rr_share_team){1, 0};
    shares->rows[0] = (rr_share_row){0, 1, 50, {1, 0, 0.5}, shares->any, 0};
    shares->rows[1] = (rr_share_row){1, 1, 9, {1, 0, 0.1}, shares->second, 0};
    shares->rows[2] = (rr_share_row){1, 1, 1, {0, 0, 1}, shares->any, 0};
    return (rr_share_problem){shares->rows, 3, shares->pools, 2, shares->teams, 2};
}

static void shares(void **state) {
    (void)state;
    struct shares shares;
    for (int by_filling = 0; by_filling < 2; by_filling++) {
        rr_share_problem problem = two_teams(&shares);
        double slack = by_filling ? 0.3 : 1e-3;
        if (by_filling) {
            rr_share_fill(&problem);
        } else {
            assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_BY_PROGRAM);
        }
        /* Team 1 gets all of the second pool's processors and its memory; team 0 the rest. */
        assert_true(fabs(shares.rows[0].allocation - 6) <= slack);
        assert_true(fabs(shares.rows[1].allocation - 4) <= slack);
        assert_true(fabs(shares.rows[2].allocation - 1) <= slack);
    }
    /* Weights, and a least share for a team of next to no weight. */
    rr_share_problem problem = two_teams(&shares);
    shares.rows[1].pools = shares.any;
    shares.teams[0].weight = 3;
    assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_BY_PROGRAM);
    assert_true(fabs(shares.rows[0].allocation -
                     3 * (shares.rows[1].allocation + shares.rows[2].allocation)) < 0.05);
    shares.teams[1] = (rr_share_team){1e-3, 5};
    assert_int_equal(rr_share_solve(&problem, 5), RR_SHARE_BY_PROGRAM);
    assert_true(shares.rows[1].allocation + shares.rows[2].allocation >= 5 - 1e-3);
}

/* No time for a program: the fallback is said, and its result is as good within a step. */
static void no_time_for_programs(void **state) {
    (void)state;
    struct shares shares;
    rr_share_problem problem = two_teams(&shares);
    assert_int_equal(rr_share_solve(&problem, 0), RR_SHARE_BY_FILLING);
    assert_true(fabs(shares.rows[0].allocation - 6) < 0.3 &&
                fabs(shares.rows[1].allocation - 4) < 0.3);
}

/* Many rows and pools, as a fleet of 4,500 machines of several types in several zones might have:
 * nobody gets more than asked, no pool is overrun, and programs and filling agree on the teams. */
static void many_rows(void **state) {
    (void)state;
    enum { ROWS = 60, POOLS = 12, TEAMS = 10 };
    static bool allowed[ROWS][POOLS];
    rr_share_row rows[ROWS];
    rr_share_pool pools[POOLS];
    rr_share_team teams[TEAMS];
    GRand *random = g_rand_new_with_seed(7);
    double by_team[2][TEAMS] = {{0}};
    for (int position = 0; position < POOLS; position++) {
        pools[position] = (rr_share_pool){{40.0 / POOLS, 40.0 / POOLS, 40.0 / POOLS}};
    }
    for (int team = 0; team < TEAMS; team++) {
        teams[team] = (rr_share_team){1, 0};
    }
    for (int i = 0; i < ROWS; i++) {
        bool tied = g_rand_int_range(random, 0, 4) == 0;
        for (int position = 0; position < POOLS; position++) {
            allowed[i][position] = !tied || position == i % POOLS;
        }
        rows[i] = (rr_share_row){(guint)(i % TEAMS),
                                 1,
                                 g_rand_double_range(random, 0, 3),
                                 {1, g_rand_double(random), g_rand_double(random)},
                                 allowed[i],
                                 0};
    }
    rr_share_problem problem = {rows, ROWS, pools, POOLS, teams, TEAMS};
    for (int by_filling = 0; by_filling < 2; by_filling++) {
        double sum = 0;
        if (by_filling) {
            rr_share_fill(&problem);
        } else {
            assert_int_equal(rr_share_solve(&problem, 20), RR_SHARE_BY_PROGRAM);
        }
        for (int i = 0; i < ROWS; i++) {
            assert_true(rows[i].allocation <= rows[i].demand + 1e-6);
            by_team[by_filling][i % TEAMS] += rows[i].allocation;
            sum += rows[i].allocation;
        }
        assert_true(sum <= 40 + 1e-6);
    }
    for (int team = 0; team < TEAMS; team++) {
        assert_true(fabs(by_team[0][team] - by_team[1][team]) < 0.8);
    }
    g_rand_free(random);
}

/* ---- the writer ---- */

struct writing {
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission_writer *writer;
    rr_offered_load load;
    GArray *demand;
    rr_admission_table newest, made;
};

/* 100 processors, overload, and a flood of the first team's. */
static void writing_init(struct writing *writing) {
    memset(writing, 0, sizeof *writing);
    test_config(&writing->config, "n0");
    rr_admission_settings_init(&writing->settings);
    writing->writer = rr_admission_writer_create(&writing->config, &writing->settings);
    rr_offered_load_init(&writing->load, &writing->settings);
    rr_offered_load_begin(&writing->load);
    rr_offered_load_add_machine(&writing->load, "m1", "a", (rr_amount){100, 0, 400});
    rr_submission flood = job_of("red", "flood", "req-1", 1);
    rr_offered_load_add_job(&writing->load, &flood, 0, 2000, 100, 0);
    writing->demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_demand_total total = {key_of("red", "flood", 1), 5000, {10, 0, 10}};
    g_array_append_val(writing->demand, total);
    rr_admission_table_init(&writing->newest);
    writing->newest.sequence = 1;
    writing->newest.active = true;
    writing->newest.length_s = 10;
}

static const rr_admission_table *write_table(struct writing *writing) {
    assert_true(rr_admission_writer_next(writing->writer, &writing->load, writing->demand,
                                         &writing->newest, 995, 995, &writing->made));
    assert_true(writing->made.active);
    assert_true(writing->made.starts_at == 1000);
    return &writing->made;
}

static void writing_clear(struct writing *writing) {
    rr_admission_table_clear(&writing->newest);
    rr_admission_table_clear(&writing->made);
    g_array_free(writing->demand, TRUE);
    rr_offered_load_clear(&writing->load);
    rr_admission_writer_destroy(writing->writer);
    rr_admission_settings_clear(&writing->settings);
}

/* A job larger than all that its team may have waiting is admitted where nothing of its key waits;
 * many such jobs, each in a class of its own, are not. */
static void a_job_larger_than_its_share(void **state) {
    (void)state;
    struct writing writing;
    writing_init(&writing);
    rr_demand_total large = {key_of("blue", "large", 99), 1, {50000, 0, 50000}};
    g_array_append_val(writing.demand, large);
    const rr_admission_table *table = write_table(&writing);
    assert_true(rr_admission_table_row(table, large.key.id)->share >= RR_ADMISSION_FULL - 1);
    assert_true(rr_admission_table_row(table, key_of("red", "flood", 1).id)->share <
                RR_ADMISSION_FULL / 50);
    writing_clear(&writing);
    writing_init(&writing);
    for (int i = 0; i < 30; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "c%d", i);
        large.key = key_of("blue", name, 99);
        g_array_append_val(writing.demand, large);
    }
    table = write_table(&writing);
    unsigned full = 0;
    for (guint i = 0; i < table->rows->len; i++) {
        full += g_array_index(table->rows, rr_admission_row, i).share >= RR_ADMISSION_FULL - 1;
    }
    assert_int_equal(full, 1);
    writing_clear(&writing);
}

/* A controller that was not the autoscaler for an hour does not take that hour for what its teams'
 * tasks have used since its last table: estimates that are right stay so. */
static void a_provisioner_after_a_pause(void **state) {
    (void)state;
    struct writing writing;
    rr_submission job = job_of("red", "flood", "req-1", 4000);
    writing_init(&writing);
    rr_offered_load_add_job(&writing.load, &job, 0, 0, 100, 10);
    write_table(&writing);
    rr_offered_load_begin(&writing.load);
    rr_offered_load_add_machine(&writing.load, "m1", "a", (rr_amount){100, 0, 400});
    rr_offered_load_add_job(&writing.load, &job, 0, 2000, 100, 60);
    rr_admission_table before = writing.made;
    assert_true(rr_admission_writer_next(writing.writer, &writing.load, writing.demand, &before,
                                         4595, 4595, &writing.made));
    double correction = rr_admission_table_team(&writing.made, "red")->correction;
    assert_true(correction > 0.9 && correction < 1.1);
    rr_admission_table_clear(&before);
    writing_clear(&writing);
}

/* ---- settings ---- */

static void check_settings(const char *text, const char *error) {
    char path[] = "/tmp/admission-XXXXXX", got[512] = "";
    struct rr_config config;
    rr_admission_settings settings;
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    close(fd);
    test_config(&config, "n0");
    config.clock_off_s = 0.1;
    int rc = rr_admission_settings_load(path, &config, &settings, got, sizeof got);
    unlink(path);
    rr_admission_settings_clear(&settings);
    if (rc != (error ? -EINVAL : 0) || (error && !strstr(got, error))) {
        fail_msg("%s gives %d, \"%s\", not \"%s\"", text, rc, got, error ? error : "");
    }
}

static void settings_files(void **state) {
    (void)state;
    check_settings("", NULL);
    check_settings(
        "interval_s = 5\nbands = {4, 40}\nteam \"red\" {\n weight = 2\n least_share = 0.3\n"
        " class \"live\" { weight = 3 }\n}\nteam \"blue\" { least_share = 0.7 }\n",
        NULL);
    check_settings("\nintervals = 5\n", ":2: no such option 'intervals'");
    check_settings("\n\ninterval_s = 0\n", ":3: interval_s: must be between");
    check_settings("interval_s = often\n", ":1: ");
    check_settings("team \"red\" {\n weight = 0\n}\n", ":2: weight: must be above 0");
    check_settings("team \"red\" {\n weight = -1\n}\n", ":2: weight: must be above 0");
    check_settings("team \"grey\" {\n}\n", "\"grey\": the platform's settings have no such team");
    check_settings("team \"red\" {\n}\nteam \"red\" {\n}\n", "red");
    check_settings("team \"red\" {\n class \"nope\" { }\n}\n", "\"nope\": no objective names");
    check_settings("team \"red\" {\n least_share = 1.5\n}\n", ":2: least_share: must be between");
    check_settings("team \"red\" { least_share = 0.6 }\nteam \"blue\" { least_share = 0.5 }\n",
                   "least_share: the teams' sum");
    check_settings("bands = {8}\n", "bands: must be two");
    check_settings("bands = {64, 8}\n", "bands: must rise");
    check_settings("enter_backlog_s = 10\n", "leave_backlog_s: must be below");
    check_settings("interval_s = 0.5\n", "eight times");
    check_settings("team \"red\" {\n weight = 2\n", "a section is not closed");
}

/* ---- old and new versions, and the owners' order ---- */

/* Takes part only while every controller of the term says so, and what the ones before read of its
 * session's record is as before. */
static void versions_side_by_side(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    assert_false(rr_core_all_admission_capable(node->core));
    node->config.admission = true;
    test_controller_leave(node);
    test_controller_join(node, 12);
    assert_true(rr_core_all_admission_capable(node->core));
    assert_true(rr_core_all_gang_capable(node->core));
    test_controller_join_old_version(node);
    assert_false(rr_core_all_admission_capable(node->core));
    test_controller_leave_old_version(node);
    assert_true(rr_core_all_admission_capable(node->core));
}

static guint placed_after_plan(test_controller *node, const char *id) {
    rr_plan plan;
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    return fake_store_placed_count(node->store, id);
}

/* Under overload an owner leaves what is beyond its team's fair room to others: not for its prod
 * replicas, and not for ever. */
static void fair_room(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const double rooms[] = {0.25, 1};
    test_controller_add_machines(node, 1, 4, "a");
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-1", .team = "red", .pieces = 64, .cpus = 1, .mem_gb = 1},
        node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_core_set_fair_room(node->core, rooms, 64, 16, 256);
    assert_int_equal(placed_after_plan(node, "req-1"), 16);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-2", .team = "red", .service = true, .rank = "prod"},
        node->now);
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-3", .team = "blue", .pieces = 8, .cpus = 1, .mem_gb = 1},
        node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    node->now += 3;
    assert_int_equal(placed_after_plan(node, "req-2"), 1);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3"), 8);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 16);
    /* Rooms only last while a table is in force. */
    rr_core_set_fair_room(node->core, NULL, 0, 0, 0);
    for (int machine = 1; machine <= 4; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, "a", false, 1, 9, rr_core_fencing_token(node->core),
                                  NULL);
    }
    node->now += 3;
    assert_true(placed_after_plan(node, "req-1") > 16);
}

#define W(f) cmocka_unit_test_setup_teardown(f, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keys),
        cmocka_unit_test(a_table_in_records),
        cmocka_unit_test(records_keep_to_the_limit),
        cmocka_unit_test(unknown_records),
        cmocka_unit_test(the_window_goes_round),
        cmocka_unit_test(clocks_at_an_edge),
        cmocka_unit_test(old_tables_and_unknown_keys),
        cmocka_unit_test(a_controller_that_cannot_know),
        cmocka_unit_test(demand_of_all),
        cmocka_unit_test(accepted_elsewhere),
        cmocka_unit_test(a_job_larger_than_its_share),
        cmocka_unit_test(a_provisioner_after_a_pause),
        cmocka_unit_test(a_view_that_is_too_large),
        cmocka_unit_test(bad_frames),
        cmocka_unit_test(shares),
        cmocka_unit_test(no_time_for_programs),
        cmocka_unit_test(many_rows),
        cmocka_unit_test(settings_files),
        W(versions_side_by_side),
        W(fair_room),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
