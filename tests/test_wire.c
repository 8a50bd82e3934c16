/* Messages from outside: limits, validation, and a bounded run of random bytes. */
#include "core_fixture.h"

#include <errno.h>
#include <math.h>
#include <string.h>

static int parse(const void *data, size_t length) {
    rr_document document;
    int rc = rr_document_parse(&document, data, length);
    rr_document_clear(&document);
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

/* A document outlives the buffer it was read from: a store cache read in pages kept the documents
 * of all pages while the client's buffer was used for the next one. */
static void a_document_keeps_its_text(void **state) {
    (void)state;
    char buffer[] = "\x81\xa1k\xa3"
                    "abc",
         out[8];
    rr_document document;
    assert_int_equal(rr_document_parse(&document, buffer, sizeof buffer - 1), 0);
    memset(buffer, 'x', sizeof buffer);
    assert_true(rr_map_get_text(document.root, "k", out, sizeof out));
    assert_string_equal(out, "abc");
    rr_document_clear(&document);
}

static void one_whole_value_only(void **state) {
    (void)state;
    uint8_t two[] = {0x01, 0x02}, cut[] = {0x92, 0x01};
    assert_int_equal(parse(two, 2), -EBADMSG);
    assert_int_equal(parse(cut, 2), -EBADMSG);
    assert_int_equal(parse("", 0), -EBADMSG);
}

static void encode_job(rr_encoder *encoder) {
    rr_submission submission;
    test_submission(&submission,
                    &(struct test_job){.job_id = "req-000001", .deadline_s = 90, .zone = "a"});
    rr_encoder_init(encoder);
    rr_encode_map(encoder, rr_submission_field_count(&submission));
    rr_submission_encode_fields(encoder, &submission);
}

static void submission_round_trip(void **state) {
    (void)state;
    rr_encoder encoder;
    rr_document document;
    rr_submission submission;
    const char *field = NULL;
    encode_job(&encoder);
    assert_int_equal(rr_document_parse(&document, encoder.buffer.data, encoder.buffer.size), 0);
    assert_int_equal(rr_submission_decode(document.root, &submission, &field), 0);
    assert_string_equal(submission.job_id, "req-000001");
    assert_true(submission.deadline_s == 90);
    assert_string_equal(submission.zone, "a");
    rr_document_clear(&document);
    rr_encoder_clear(&encoder);
}

/* Encodes a submission by hand with one field replaced, and expects it to be refused there. */
enum kind { MISSING, NIL, TEXT, NEGATIVE, NOT_FINITE, INTEGER, TOO_MANY };

static void put_odd(rr_encoder *encoder, enum kind kind) {
    switch (kind) {
    case NIL:
        msgpack_pack_nil(&encoder->packer);
        break;
    case TEXT:
        rr_encode_text(encoder, "what");
        break;
    case NEGATIVE:
        rr_encode_number(encoder, -1);
        break;
    case NOT_FINITE:
        rr_encode_number(encoder, INFINITY);
        break;
    case INTEGER:
        rr_encode_u64(encoder, 4);
        break;
    default:
        rr_encode_u64(encoder, 100001);
    }
}

static int decode_with(const char *name, enum kind kind, const char **field) {
    rr_encoder encoder, odd;
    rr_document document, whole;
    rr_submission submission;
    encode_job(&encoder);
    assert_int_equal(rr_document_parse(&whole, encoder.buffer.data, encoder.buffer.size), 0);
    const msgpack_object_map *map = &whole.root->via.map;
    rr_encoder_init(&odd);
    rr_encode_map(&odd, kind == MISSING ? map->size - 1 : map->size);
    for (uint32_t i = 0; i < map->size; i++) {
        bool hit = rr_object_text_equals(&map->ptr[i].key, name);
        if (hit && kind == MISSING) {
            continue;
        }
        msgpack_pack_object(&odd.packer, map->ptr[i].key);
        if (hit) {
            put_odd(&odd, kind);
        } else {
            msgpack_pack_object(&odd.packer, map->ptr[i].val);
        }
    }
    assert_int_equal(rr_document_parse(&document, odd.buffer.data, odd.buffer.size), 0);
    int rc = rr_submission_decode(document.root, &submission, field);
    rr_submission_clear(&submission);
    rr_document_clear(&document);
    rr_document_clear(&whole);
    rr_encoder_clear(&encoder);
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
    char job_id[RR_ID_SIZE];
    uint32_t task;
    assert_true(rr_task_name_parse("req-000412/3", job_id, sizeof job_id, &task));
    assert_int_equal(task, 3);
    assert_false(rr_task_name_parse("req-000412/", job_id, sizeof job_id, &task));
    assert_false(rr_task_name_parse("req-000412/-1", job_id, sizeof job_id, &task));
    assert_false(rr_task_name_parse("/3", job_id, sizeof job_id, &task));
}

/* A task list that can't be read whole proves nothing about what is absent from it. */
static void a_report_counts_whole_or_not_at_all(void **state) {
    (void)state;
    rr_encoder encoder;
    rr_document document;
    rr_heartbeat heartbeat;
    for (int bad = 0; bad < 2; bad++) {
        rr_encoder_init(&encoder);
        rr_encode_map(&encoder, 9);
        rr_encode_key_text(&encoder, "stone", "vm-1");
        rr_encode_key_text(&encoder, "addr", "10.0.0.1:9000");
        rr_encode_key_text(&encoder, "build", "m1");
        rr_encode_key_text(&encoder, "ward", "a");
        rr_encode_key_bool(&encoder, "loaners", false);
        rr_encode_key_u64(&encoder, "tenure", 1);
        rr_encode_key_u64(&encoder, "tally", 2);
        rr_encode_key_u64(&encoder, "warrant", 3);
        rr_encode_text(&encoder, "pieces");
        rr_encode_array(&encoder, 1);
        rr_encode_map(&encoder, 3);
        rr_encode_key_text(&encoder, "piece", bad ? "nonsense" : "req-1/0");
        rr_encode_key_u64(&encoder, "try", 2);
        rr_encode_key_text(&encoder, "standing", "running");
        assert_int_equal(rr_document_parse(&document, encoder.buffer.data, encoder.buffer.size), 0);
        assert_int_equal(rr_heartbeat_decode(document.root, &heartbeat), bad ? -EBADMSG : 0);
        rr_heartbeat_clear(&heartbeat);
        rr_document_clear(&document);
        rr_encoder_clear(&encoder);
    }
}

/* Random bytes, and valid messages with random damage, through every decoder: nothing may crash
 * (the sanitizers watch) and nothing accepted may lie outside its bounds. */
static void fuzz_decoders(void **state) {
    (void)state;
    GRand *rnd = g_rand_new_with_seed(20);
    uint8_t buffer[512] = {0};
    rr_encoder job;
    encode_job(&job);
    for (int i = 0; i < 40000; i++) {
        size_t count = (size_t)g_rand_int_range(rnd, 1, sizeof buffer);
        if (i % 2) {
            count = job.buffer.size < sizeof buffer ? job.buffer.size : sizeof buffer;
            memcpy(buffer, job.buffer.data, count);
            for (int k = g_rand_int_range(rnd, 1, 6); k > 0; k--) {
                buffer[g_rand_int_range(rnd, 0, (gint)count)] = (uint8_t)g_rand_int(rnd);
            }
        } else {
            for (size_t k = 0; k < count; k++) {
                buffer[k] = (uint8_t)g_rand_int(rnd);
            }
            buffer[0] = (uint8_t)(0x80 | (buffer[0] & 0x0f));
        }
        rr_document document;
        if (rr_document_parse(&document, buffer, count) == 0) {
            rr_submission submission;
            rr_heartbeat heartbeat;
            rr_machine_type type;
            rr_listed_machine listed;
            const char *field;
            if (rr_submission_decode(document.root, &submission, &field) == 0) {
                assert_true(submission.task_count >= 1 && submission.task_count <= RR_TASKS_MAX);
                assert_true(submission.cpus >= 0 && isfinite(submission.cpus));
                assert_true(rr_job_id_valid(submission.job_id));
            }
            rr_submission_clear(&submission);
            rr_heartbeat_decode(document.root, &heartbeat);
            rr_heartbeat_clear(&heartbeat);
            rr_machine_type_decode(document.root, &type);
            rr_machine_type_clear(&type);
            rr_listed_machine_decode(document.root, &listed);
        }
        rr_document_clear(&document);
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
