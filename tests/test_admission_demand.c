/* The demand for admission: refused jobs that wait at one controller, views of the demand and the
 * frames that carry them, and the merged demand of all controllers. */
#include "admission_fixture.h"

#include <errno.h>
#include <string.h>

/* Records jobs number `first` to `first + count - 1` of the key as refused. */
static void record_refused_jobs(rr_demand *demand, const rr_admission_key *key, unsigned first,
                                unsigned count) {
    for (unsigned i = first; i < first + count; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "%s-%u", key->job_class, i);
        rr_demand_record_refusal(demand, key, id, (rr_work){10, 0, 20}, 1000);
    }
}

/* Packs and unpacks a view of each demand, merges the views, and returns the number of the key's
 * jobs; 0 if the merged demand lacks the key. ages: of each view, in intervals overdue. */
static double count_merged_jobs(const rr_demand *const *demands, const unsigned *ages,
                                guint view_count, const rr_admission_key *key) {
    rr_demand_view views[4];
    const rr_demand_view *pointers[4];
    GArray *totals = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    double count = 0;
    for (guint i = 0; i < view_count; i++) {
        GByteArray *packed = g_byte_array_new();
        rr_demand_view view;
        rr_demand_view_build(demands[i], 3, &view);
        rr_demand_view_encode(&view, packed, 200000);
        rr_demand_view_clear(&view);
        assert_int_equal(rr_demand_view_decode(packed->data, packed->len, &views[i]), 0);
        pointers[i] = &views[i];
        g_byte_array_free(packed, TRUE);
    }
    rr_demand_merge_views(pointers, ages, view_count, totals);
    for (guint i = 0; i < totals->len; i++) {
        const rr_demand_total *total = &g_array_index(totals, rr_demand_total, i);
        count = total->key.id == key->id ? total->job_count : count;
    }
    for (guint i = 0; i < view_count; i++) {
        rr_demand_view_clear(&views[i]);
    }
    g_array_free(totals, TRUE);
    return count;
}

/* A job refused at two controllers counts once, and a single large job is counted beside a flood.
 * An overdue view counts half as much for each interval that it is late. */
static void job_refused_at_two_controllers_counts_once(void **state) {
    (void)state;
    rr_admission_key flood = make_key("red", "flood", 1), large = make_key("blue", "large", 99);
    rr_demand *first = rr_demand_create(60), *second = rr_demand_create(60);
    const rr_demand *demands[] = {first, second};
    unsigned current_ages[] = {0, 0}, overdue_ages[] = {0, 2};
    record_refused_jobs(first, &flood, 0, 6000);
    record_refused_jobs(second, &flood, 3000, 6000);
    record_refused_jobs(second, &large, 0, 1);
    double count = count_merged_jobs(demands, current_ages, 2, &flood);
    assert_true(count > 7000 && count < 11000);
    assert_true(count_merged_jobs(demands, current_ages, 2, &large) == 1);
    assert_true(count_merged_jobs(demands, overdue_ages, 2, &large) == 0.25);
    count = count_merged_jobs(demands, overdue_ages, 2, &flood);
    assert_true(count > 5000 && count < 8500);
    rr_demand_destroy(first);
    rr_demand_destroy(second);
}

/* A refused job counts as waiting until its user's patience (60 s) ends. */
static void refused_job_waits_until_patience_ends(void **state) {
    (void)state;
    rr_demand *demand = rr_demand_create(60);
    rr_admission_key flood = make_key("red", "flood", 1), large = make_key("blue", "large", 99);
    record_refused_jobs(demand, &flood, 3000, 6000);
    record_refused_jobs(demand, &large, 0, 1);
    rr_demand_start_interval(demand, 1059);
    assert_int_equal(rr_demand_count_waiting_jobs(demand), 6001);
    rr_demand_start_interval(demand, 1061);
    assert_int_equal(rr_demand_count_waiting_jobs(demand), 0);
    rr_demand_destroy(demand);
}

static bool is_even_numbered(void *user, const char *job_id) {
    (void)user;
    return (job_id[strlen(job_id) - 1] - '0') % 2 == 0;
}

static void job_accepted_by_other_controller_no_longer_waits(void **state) {
    (void)state;
    rr_demand *demand = rr_demand_create(60);
    const rr_demand *demands[] = {demand};
    unsigned current_ages[] = {0};
    rr_admission_key key = make_key("red", "x", 1);
    record_refused_jobs(demand, &key, 0, 40);
    rr_demand_remove_accepted(demand, is_even_numbered, NULL);
    assert_int_equal(rr_demand_count_waiting_jobs(demand), 20);
    assert_true(count_merged_jobs(demands, current_ages, 1, &key) == 20);
    rr_demand_destroy(demand);
}

/* When a view exceeds the size limit, a team with very many classes loses entries of its own, and
 * another team keeps its single key. */
static void large_view_keeps_single_key_of_other_team(void **state) {
    (void)state;
    rr_demand *demand = rr_demand_create(60);
    rr_admission_key single = make_key("violet", "only", 1); /* last in name and demand */
    for (unsigned i = 0; i < 500; i++) {
        char name[32];
        g_snprintf(name, sizeof name, "class-%u", i);
        rr_admission_key key = make_key("red", name, 1);
        record_refused_jobs(demand, &key, 0, 20);
    }
    record_refused_jobs(demand, &single, 0, 1);
    rr_demand_view view, unpacked;
    GByteArray *packed = g_byte_array_new();
    bool found = false;
    rr_demand_view_build(demand, 3, &view);
    rr_demand_view_encode(&view, packed, 5000);
    assert_true(packed->len <= 5000 + 16);
    assert_int_equal(rr_demand_view_decode(packed->data, packed->len, &unpacked), 0);
    assert_true(unpacked.entries->len < 100);
    for (guint i = 0; i < unpacked.entries->len; i++) {
        found = found || g_array_index(unpacked.entries, rr_demand_entry, i).key.id == single.id;
    }
    assert_true(found);
    rr_demand_view_clear(&view);
    rr_demand_view_clear(&unpacked);
    g_byte_array_free(packed, TRUE);
    rr_demand_destroy(demand);
}

/* Truncated frames of every length, a frame with an extra byte, one of an unknown version, one from
 * an unknown peer and one of an earlier term are all ignored and counted. */
static void malformed_or_outdated_frame_is_ignored(void **state) {
    (void)state;
    struct admission_fixture fixture;
    rr_admission_stats stats;
    rr_demand *demand = rr_demand_create(60);
    rr_admission_key key = make_key("red", "x", 1);
    rr_demand_view view;
    GByteArray *frame = g_byte_array_new();
    admission_fixture_init(&fixture);
    rr_admission *admission = fixture.admission;
    record_refused_jobs(demand, &key, 0, 3);
    rr_demand_view_build(demand, 4, &view);
    rr_demand_view_encode(&view, frame, 5000);
    for (guint length = 0; length < frame->len; length++) {
        assert_int_equal(rr_admission_receive_demand_view(admission, 0, 4, frame->data, length, 1),
                         -EBADMSG);
    }
    assert_int_equal(rr_admission_receive_demand_view(admission, 0, 5, frame->data, frame->len, 1),
                     -ESTALE);
    assert_int_equal(rr_admission_receive_demand_view(admission, RR_CONTROLLERS_MAX, 4, frame->data,
                                                      frame->len, 1),
                     -EBADMSG);
    assert_int_equal(rr_admission_receive_demand_view(admission, 0, 4, frame->data, frame->len, 1),
                     0);
    guint8 extra_byte = 0;
    g_byte_array_append(frame, &extra_byte, 1);
    assert_int_equal(rr_admission_receive_demand_view(admission, 0, 4, frame->data, frame->len, 1),
                     -EBADMSG);
    frame->data[0]++;
    assert_int_equal(
        rr_admission_receive_demand_view(admission, 0, 4, frame->data, frame->len - 1, 1),
        -EBADMSG);
    rr_admission_get_stats(admission, &stats);
    assert_int_equal(stats.frames_dropped, frame->len - 1 + 4);
    rr_demand_view_clear(&view);
    rr_demand_destroy(demand);
    admission_fixture_clear(&fixture);
    g_byte_array_free(frame, TRUE);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(job_refused_at_two_controllers_counts_once),
        cmocka_unit_test(refused_job_waits_until_patience_ends),
        cmocka_unit_test(job_accepted_by_other_controller_no_longer_waits),
        cmocka_unit_test(large_view_keeps_single_key_of_other_team),
        cmocka_unit_test(malformed_or_outdated_frame_is_ignored),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
