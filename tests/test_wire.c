/* Messages from outside: limits, validation, and a bounded run of random bytes. */
#include "fakes.h"

#include <errno.h>
#include <math.h>
#include <string.h>

static int parse(const void *data, size_t len) {
    rr_document d;
    int rc = rr_document_parse(&d, data, len);
    rr_document_clear(&d);
    return rc;
}

/* Five bytes that declare four billion elements must not make libmsgpack allocate them. */
static void huge_lengths_cost_nothing(void **state) {
    (void)state;
    static const uint8_t heads[][5] = {{0xdd, 0xff, 0xff, 0xff, 0xff},
                                       {0xdf, 0xff, 0xff, 0xff, 0xff},
                                       {0xdb, 0xff, 0xff, 0xff, 0xff},
                                       {0xc6, 0xff, 0xff, 0xff, 0xff},
                                       {0xc9, 0xff, 0xff, 0xff, 0xff}};
    for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++) {
        assert_int_equal(parse(heads[i], 5), -EBADMSG);
    }
}

static void deep_nesting_is_refused(void **state) {
    (void)state;
    uint8_t deep[RR_BODY_BYTES_MAX];
    memset(deep, 0x91, sizeof deep);
    assert_int_equal(parse(deep, sizeof deep), -EBADMSG);
    uint8_t fine[] = {0x91, 0x91, 0x91, 0x01};
    assert_int_equal(parse(fine, sizeof fine), 0);
}

/* A document outlives the buffer it was read from: a mirror read in pages kept the documents of all
 * pages while the client's buffer was used for the next one. */
static void a_document_keeps_its_text(void **state) {
    (void)state;
    char buf[] = "\x81\xa1k\xa3"
                 "abc",
         out[8];
    rr_document d;
    assert_int_equal(rr_document_parse(&d, buf, sizeof buf - 1), 0);
    memset(buf, 'x', sizeof buf);
    assert_true(rr_map_get_text(d.root, "k", out, sizeof out));
    assert_string_equal(out, "abc");
    rr_document_clear(&d);
}

static void one_whole_value_only(void **state) {
    (void)state;
    uint8_t two[] = {0x01, 0x02}, cut[] = {0x92, 0x01};
    assert_int_equal(parse(two, 2), -EBADMSG);
    assert_int_equal(parse(cut, 2), -EBADMSG);
    assert_int_equal(parse("", 0), -EBADMSG);
}

static void encode_job(rr_encoder *o) {
    rr_submission s;
    fx_submission(&s, &(struct fx_job){.job_id = "req-000001", .deadline_s = 90, .zone = "a"});
    rr_encoder_init(o);
    rr_encode_map(o, rr_submission_field_count(&s));
    rr_submission_encode_fields(o, &s);
}

static void submission_round_trip(void **state) {
    (void)state;
    rr_encoder o;
    rr_document d;
    rr_submission s;
    const char *field = NULL;
    encode_job(&o);
    assert_int_equal(rr_document_parse(&d, o.buffer.data, o.buffer.size), 0);
    assert_int_equal(rr_submission_decode(d.root, &s, &field), 0);
    assert_string_equal(s.job_id, "req-000001");
    assert_true(s.deadline_s == 90);
    assert_string_equal(s.zone, "a");
    rr_document_clear(&d);
    rr_encoder_clear(&o);
}

/* Encodes a submission by hand with one field replaced, and expects it to be refused there. */
enum kind { MISSING, NIL, TEXT, NEGATIVE, NOT_FINITE, INTEGER, TOO_MANY };

static void put_odd(rr_encoder *o, enum kind kind) {
    switch (kind) {
    case NIL:
        msgpack_pack_nil(&o->packer);
        break;
    case TEXT:
        rr_encode_text(o, "what");
        break;
    case NEGATIVE:
        rr_encode_number(o, -1);
        break;
    case NOT_FINITE:
        rr_encode_number(o, INFINITY);
        break;
    case INTEGER:
        rr_encode_u64(o, 4);
        break;
    default:
        rr_encode_u64(o, 100001);
    }
}

static int decode_with(const char *name, enum kind kind, const char **field) {
    rr_encoder o, odd;
    rr_document d, whole;
    rr_submission s;
    encode_job(&o);
    assert_int_equal(rr_document_parse(&whole, o.buffer.data, o.buffer.size), 0);
    const msgpack_object_map *m = &whole.root->via.map;
    rr_encoder_init(&odd);
    rr_encode_map(&odd, kind == MISSING ? m->size - 1 : m->size);
    for (uint32_t i = 0; i < m->size; i++) {
        bool hit = rr_object_text_equals(&m->ptr[i].key, name);
        if (hit && kind == MISSING) {
            continue;
        }
        msgpack_pack_object(&odd.packer, m->ptr[i].key);
        if (hit) {
            put_odd(&odd, kind);
        } else {
            msgpack_pack_object(&odd.packer, m->ptr[i].val);
        }
    }
    assert_int_equal(rr_document_parse(&d, odd.buffer.data, odd.buffer.size), 0);
    int rc = rr_submission_decode(d.root, &s, field);
    rr_submission_clear(&s);
    rr_document_clear(&d);
    rr_document_clear(&whole);
    rr_encoder_clear(&o);
    rr_encoder_clear(&odd);
    return rc;
}

static void bad_fields_are_named(void **state) {
    (void)state;
    static const char *const needed[] = {
        "ref",  "lane",    "crew",     "shape", "rank",    "pieces",  "vcpus",   "cards",  "mem_gb",
        "cast", "pull_gb", "one_zone", "apart", "loaners", "guess_s", "cairn_s", "stash_s"};
    static const char *const amounts[] = {"vcpus",   "cards",   "mem_gb",
                                          "pull_gb", "guess_s", "due_s"};
    const char *field;
    for (size_t i = 0; i < G_N_ELEMENTS(needed); i++) {
        assert_int_equal(decode_with(needed[i], MISSING, &field), -EINVAL);
        assert_string_equal(field, needed[i]);
        assert_int_equal(decode_with(needed[i], NIL, &field), -EINVAL);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        assert_int_equal(decode_with(amounts[i], TEXT, &field), -EINVAL);
        assert_int_equal(decode_with(amounts[i], NEGATIVE, &field), -EINVAL);
        assert_int_equal(decode_with(amounts[i], NOT_FINITE, &field), -EINVAL);
        assert_int_equal(decode_with(amounts[i], INTEGER, &field), 0);
    }
    assert_int_equal(decode_with("pieces", TOO_MANY, &field), -EINVAL);
    assert_int_equal(decode_with("shape", TEXT, &field), -EINVAL);
    assert_int_equal(decode_with("rank", TEXT, &field), -EINVAL);
    assert_int_equal(decode_with("ref", TEXT, &field), -EINVAL);
    /* What may be null may be missing, too. */
    assert_int_equal(decode_with("due_s", MISSING, &field), 0);
    assert_int_equal(decode_with("due_s", NIL, &field), 0);
    assert_int_equal(decode_with("ward", NIL, &field), 0);
}

static void ids_have_one_form(void **state) {
    (void)state;
    assert_true(rr_job_id_valid("req-000412"));
    assert_false(rr_job_id_valid("req-"));
    assert_false(rr_job_id_valid("req-00a"));
    assert_false(rr_job_id_valid("job-000412"));
    assert_false(rr_job_id_valid("req-1/../2"));
    char ref[RR_ID_SIZE];
    uint32_t task;
    assert_true(rr_task_name_parse("req-000412/3", ref, sizeof ref, &task));
    assert_int_equal(task, 3);
    assert_false(rr_task_name_parse("req-000412/", ref, sizeof ref, &task));
    assert_false(rr_task_name_parse("req-000412/-1", ref, sizeof ref, &task));
    assert_false(rr_task_name_parse("/3", ref, sizeof ref, &task));
}

/* A task list that can't be read whole proves nothing about what is absent from it. */
static void a_report_counts_whole_or_not_at_all(void **state) {
    (void)state;
    rr_encoder o;
    rr_document d;
    rr_heartbeat r;
    for (int bad = 0; bad < 2; bad++) {
        rr_encoder_init(&o);
        rr_encode_map(&o, 9);
        rr_encode_key_text(&o, "stone", "vm-1");
        rr_encode_key_text(&o, "addr", "10.0.0.1:9000");
        rr_encode_key_text(&o, "build", "m1");
        rr_encode_key_text(&o, "ward", "a");
        rr_encode_key_bool(&o, "loaners", false);
        rr_encode_key_u64(&o, "tenure", 1);
        rr_encode_key_u64(&o, "tally", 2);
        rr_encode_key_u64(&o, "warrant", 3);
        rr_encode_text(&o, "pieces");
        rr_encode_array(&o, 1);
        rr_encode_map(&o, 3);
        rr_encode_key_text(&o, "piece", bad ? "nonsense" : "req-1/0");
        rr_encode_key_u64(&o, "try", 2);
        rr_encode_key_text(&o, "standing", "running");
        assert_int_equal(rr_document_parse(&d, o.buffer.data, o.buffer.size), 0);
        assert_int_equal(rr_heartbeat_decode(d.root, &r), bad ? -EBADMSG : 0);
        rr_heartbeat_clear(&r);
        rr_document_clear(&d);
        rr_encoder_clear(&o);
    }
}

/* Random bytes, and valid messages with random damage, through every decoder: nothing may crash
 * (the sanitizers watch) and nothing accepted may lie outside its bounds. */
static void fuzz_decoders(void **state) {
    (void)state;
    GRand *rnd = g_rand_new_with_seed(20);
    uint8_t buf[512] = {0};
    rr_encoder job;
    encode_job(&job);
    for (int i = 0; i < 40000; i++) {
        size_t n = (size_t)g_rand_int_range(rnd, 1, sizeof buf);
        if (i % 2) {
            n = job.buffer.size < sizeof buf ? job.buffer.size : sizeof buf;
            memcpy(buf, job.buffer.data, n);
            for (int k = g_rand_int_range(rnd, 1, 6); k > 0; k--) {
                buf[g_rand_int_range(rnd, 0, (gint)n)] = (uint8_t)g_rand_int(rnd);
            }
        } else {
            for (size_t k = 0; k < n; k++) {
                buf[k] = (uint8_t)g_rand_int(rnd);
            }
            buf[0] = (uint8_t)(0x80 | (buf[0] & 0x0f));
        }
        rr_document d;
        if (rr_document_parse(&d, buf, n) == 0) {
            rr_submission s;
            rr_heartbeat r;
            rr_machine_type b;
            rr_listed_machine st;
            const char *field;
            if (rr_submission_decode(d.root, &s, &field) == 0) {
                assert_true(s.task_count >= 1 && s.task_count <= RR_TASKS_MAX);
                assert_true(s.cpus >= 0 && isfinite(s.cpus));
                assert_true(rr_job_id_valid(s.job_id));
            }
            rr_submission_clear(&s);
            rr_heartbeat_decode(d.root, &r);
            rr_heartbeat_clear(&r);
            rr_machine_type_decode(d.root, &b);
            rr_machine_type_clear(&b);
            rr_listed_machine_decode(d.root, &st);
        }
        rr_document_clear(&d);
    }
    rr_encoder_clear(&job);
    g_rand_free(rnd);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(huge_lengths_cost_nothing),
                                       cmocka_unit_test(deep_nesting_is_refused),
                                       cmocka_unit_test(a_document_keeps_its_text),
                                       cmocka_unit_test(one_whole_value_only),
                                       cmocka_unit_test(submission_round_trip),
                                       cmocka_unit_test(bad_fields_are_named),
                                       cmocka_unit_test(ids_have_one_form),
                                       cmocka_unit_test(a_report_counts_whole_or_not_at_all),
                                       cmocka_unit_test(fuzz_decoders)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
