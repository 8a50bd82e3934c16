/* Tests of the limits and the validation of documents and messages. The names of the wire protocol
 * are string literals here, not the constants of wire_words.h, so that a changed constant makes a
 * test fail. */
#include "core_fixture.h"

#include <errno.h>
#include <math.h>
#include <string.h>

static int try_parse_document(const void *data, size_t length) {
    rr_document document;
    int rc = rr_document_parse(&document, data, length);
    rr_document_clear(&document);
    return rc;
}

/* libmsgpack allocates the declared length of a container at once: five bytes that declare four
 * billion elements have to be rejected before it decodes them. */
static void huge_declared_lengths_are_rejected(void **state) {
    (void)state;
    static const uint8_t headers[][5] = {{0xdd, 0xff, 0xff, 0xff, 0xff},
                                         {0xdf, 0xff, 0xff, 0xff, 0xff},
                                         {0xdb, 0xff, 0xff, 0xff, 0xff},
                                         {0xc6, 0xff, 0xff, 0xff, 0xff},
                                         {0xc9, 0xff, 0xff, 0xff, 0xff}};
    for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++) {
        assert_int_equal(try_parse_document(headers[i], 5), -EBADMSG);
    }
}

static void deep_nesting_is_rejected(void **state) {
    (void)state;
    uint8_t deep[RR_BODY_BYTES_MAX];
    memset(deep, 0x91, sizeof deep);
    assert_int_equal(try_parse_document(deep, sizeof deep), -EBADMSG);
    uint8_t shallow[] = {0x91, 0x91, 0x91, 0x01};
    assert_int_equal(try_parse_document(shallow, sizeof shallow), 0);
}

/* Documents of earlier pages stay in use while the client's buffer receives the next reply, so that
 * a document must not refer to the buffer that it was parsed from. */
static void a_document_does_not_depend_on_its_buffer(void **state) {
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

static void trailing_and_missing_bytes_are_rejected(void **state) {
    (void)state;
    uint8_t two[] = {0x01, 0x02}, cut[] = {0x92, 0x01};
    assert_int_equal(try_parse_document(two, 2), -EBADMSG);
    assert_int_equal(try_parse_document(cut, 2), -EBADMSG);
    assert_int_equal(try_parse_document("", 0), -EBADMSG);
}

static void encode_job(rr_encoder *encoder) {
    rr_submission submission;
    test_submission_init(&submission,
                         &(struct test_job){.job_id = "req-000001", .deadline_s = 90, .zone = "a"});
    rr_encoder_init(encoder);
    rr_encode_map(encoder, rr_submission_field_count(&submission));
    rr_submission_encode_fields(encoder, &submission);
}

static void an_encoded_submission_decodes_to_the_same(void **state) {
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

enum replacement { MISSING, NIL, TEXT, NEGATIVE, NOT_FINITE, INTEGER, TOO_MANY };

static void encode_replacement(rr_encoder *encoder, enum replacement replacement) {
    switch (replacement) {
    case NIL:
        msgpack_pack_nil(&encoder->packer);
        break;
    case TEXT:
        rr_encode_text(encoder, "no such value");
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
        rr_encode_u64(encoder, 100001); /* RR_TASKS_MAX + 1 */
    }
}

/* Encodes a copy of the map in which the value of one key is replaced or, with MISSING, the key is
 * left out. */
static void copy_with_replacement(rr_encoder *out, const msgpack_object_map *map, const char *name,
                                  enum replacement replacement) {
    rr_encode_map(out, replacement == MISSING ? map->size - 1 : map->size);
    for (uint32_t i = 0; i < map->size; i++) {
        bool replaced = rr_object_text_equals(&map->ptr[i].key, name);
        if (replaced && replacement == MISSING) {
            continue;
        }
        msgpack_pack_object(&out->packer, map->ptr[i].key);
        if (replaced) {
            encode_replacement(out, replacement);
        } else {
            msgpack_pack_object(&out->packer, map->ptr[i].val);
        }
    }
}

/* Decodes an otherwise valid submission with one field replaced or left out. */
static int decode_with(const char *name, enum replacement replacement, const char **field) {
    rr_encoder valid, changed;
    rr_document document, original;
    rr_submission submission;
    encode_job(&valid);
    assert_int_equal(rr_document_parse(&original, valid.buffer.data, valid.buffer.size), 0);
    rr_encoder_init(&changed);
    copy_with_replacement(&changed, &original.root->via.map, name, replacement);
    assert_int_equal(rr_document_parse(&document, changed.buffer.data, changed.buffer.size), 0);
    int rc = rr_submission_decode(document.root, &submission, field);
    rr_submission_clear(&submission);
    rr_document_clear(&document);
    rr_document_clear(&original);
    rr_encoder_clear(&valid);
    rr_encoder_clear(&changed);
    return rc;
}

static void a_missing_or_null_field_is_reported(void **state) {
    (void)state;
    static const char *const required[] = {
        "ref",  "lane",    "crew",     "shape", "rank",    "pieces",  "vcpus",   "cards",  "mem_gb",
        "cast", "pull_gb", "one_zone", "apart", "loaners", "guess_s", "cairn_s", "stash_s"};
    const char *field;
    for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
        assert_int_equal(decode_with(required[i], MISSING, &field), -EINVAL);
        assert_string_equal(field, required[i]);
        assert_int_equal(decode_with(required[i], NIL, &field), -EINVAL);
    }
}

static void amounts_must_be_finite_and_not_negative(void **state) {
    (void)state;
    static const char *const amounts[] = {"vcpus",   "cards",   "mem_gb",
                                          "pull_gb", "guess_s", "due_s"};
    const char *field;
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        assert_int_equal(decode_with(amounts[i], TEXT, &field), -EINVAL);
        assert_int_equal(decode_with(amounts[i], NEGATIVE, &field), -EINVAL);
        assert_int_equal(decode_with(amounts[i], NOT_FINITE, &field), -EINVAL);
        assert_int_equal(decode_with(amounts[i], INTEGER, &field), 0);
    }
}

static void values_outside_their_range_are_rejected(void **state) {
    (void)state;
    const char *field;
    assert_int_equal(decode_with("pieces", TOO_MANY, &field), -EINVAL);
    assert_int_equal(decode_with("shape", TEXT, &field), -EINVAL);
    assert_int_equal(decode_with("rank", TEXT, &field), -EINVAL);
    assert_int_equal(decode_with("ref", TEXT, &field), -EINVAL);
}

static void optional_fields_may_be_null_or_missing(void **state) {
    (void)state;
    const char *field;
    assert_int_equal(decode_with("due_s", MISSING, &field), 0);
    assert_int_equal(decode_with("due_s", NIL, &field), 0);
    assert_int_equal(decode_with("ward", NIL, &field), 0);
}

static void job_ids_must_be_req_and_digits(void **state) {
    (void)state;
    assert_true(rr_job_id_valid("req-000412"));
    assert_false(rr_job_id_valid("req-"));
    assert_false(rr_job_id_valid("req-00a"));
    assert_false(rr_job_id_valid("job-000412"));
    assert_false(rr_job_id_valid("req-1/../2"));
}

static void task_names_must_be_a_job_id_and_a_number(void **state) {
    (void)state;
    char job_id[RR_ID_SIZE];
    uint32_t task;
    assert_true(rr_task_name_parse("req-000412/3", job_id, sizeof job_id, &task));
    assert_int_equal(task, 3);
    assert_false(rr_task_name_parse("req-000412/", job_id, sizeof job_id, &task));
    assert_false(rr_task_name_parse("req-000412/-1", job_id, sizeof job_id, &task));
    assert_false(rr_task_name_parse("/3", job_id, sizeof job_id, &task));
}

/* Decodes an otherwise valid heartbeat with one task of this name. */
static int decode_heartbeat_with_task(const char *task_name) {
    rr_encoder encoder;
    rr_document document;
    rr_heartbeat heartbeat;
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
    rr_encode_key_text(&encoder, "piece", task_name);
    rr_encode_key_u64(&encoder, "try", 2);
    rr_encode_key_text(&encoder, "standing", "running");
    assert_int_equal(rr_document_parse(&document, encoder.buffer.data, encoder.buffer.size), 0);
    int rc = rr_heartbeat_decode(document.root, &heartbeat);
    rr_heartbeat_clear(&heartbeat);
    rr_document_clear(&document);
    rr_encoder_clear(&encoder);
    return rc;
}

/* A task list that can't be decoded completely does not prove that other tasks are absent. */
static void a_heartbeat_with_an_invalid_task_is_rejected(void **state) {
    (void)state;
    assert_int_equal(decode_heartbeat_with_task("req-1/0"), 0);
    assert_int_equal(decode_heartbeat_with_task("nonsense"), -EBADMSG);
}

/* Fills the buffer with the first byte of a small map and random bytes. Returns their count. */
static size_t fill_with_random_map(GRand *random, uint8_t *buffer, size_t size) {
    size_t count = (size_t)g_rand_int_range(random, 1, (gint)size);
    for (size_t i = 0; i < count; i++) {
        buffer[i] = (uint8_t)g_rand_int(random);
    }
    buffer[0] = (uint8_t)(0x80 | (buffer[0] & 0x0f));
    return count;
}

/* Fills the buffer with an encoded submission and replaces some of its bytes at random. Returns
 * the number of bytes written. */
static size_t fill_with_corrupted_submission(GRand *random, const rr_encoder *job, uint8_t *buffer,
                                             size_t size) {
    size_t count = job->buffer.size < size ? job->buffer.size : size;
    memcpy(buffer, job->buffer.data, count);
    for (int i = g_rand_int_range(random, 1, 6); i > 0; i--) {
        buffer[g_rand_int_range(random, 0, (gint)count)] = (uint8_t)g_rand_int(random);
    }
    return count;
}

/* Runs each decoder. Checks that a submission that is accepted is within its limits. */
static void run_all_decoders(const msgpack_object *root) {
    rr_submission submission;
    rr_heartbeat heartbeat;
    rr_machine_type type;
    rr_listed_machine listed;
    const char *field;
    if (rr_submission_decode(root, &submission, &field) == 0) {
        assert_true(submission.task_count >= 1 && submission.task_count <= RR_TASKS_MAX);
        assert_true(submission.cpus >= 0 && isfinite(submission.cpus));
        assert_true(rr_job_id_valid(submission.job_id));
    }
    rr_submission_clear(&submission);
    rr_heartbeat_decode(root, &heartbeat);
    rr_heartbeat_clear(&heartbeat);
    rr_machine_type_decode(root, &type);
    rr_machine_type_clear(&type);
    rr_listed_machine_decode(root, &listed);
}

/* No input may crash a decoder; the sanitizer builds detect accesses out of bounds, too. */
static void random_and_corrupted_documents_are_handled_safely(void **state) {
    (void)state;
    GRand *random = g_rand_new_with_seed(20);
    uint8_t buffer[512] = {0};
    rr_encoder job;
    encode_job(&job);
    for (int i = 0; i < 40000; i++) {
        size_t count = i % 2 ? fill_with_corrupted_submission(random, &job, buffer, sizeof buffer)
                             : fill_with_random_map(random, buffer, sizeof buffer);
        rr_document document;
        if (rr_document_parse(&document, buffer, count) == 0) {
            run_all_decoders(document.root);
        }
        rr_document_clear(&document);
    }
    rr_encoder_clear(&job);
    g_rand_free(random);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(huge_declared_lengths_are_rejected),
        cmocka_unit_test(deep_nesting_is_rejected),
        cmocka_unit_test(a_document_does_not_depend_on_its_buffer),
        cmocka_unit_test(trailing_and_missing_bytes_are_rejected),
        cmocka_unit_test(an_encoded_submission_decodes_to_the_same),
        cmocka_unit_test(a_missing_or_null_field_is_reported),
        cmocka_unit_test(amounts_must_be_finite_and_not_negative),
        cmocka_unit_test(values_outside_their_range_are_rejected),
        cmocka_unit_test(optional_fields_may_be_null_or_missing),
        cmocka_unit_test(job_ids_must_be_req_and_digits),
        cmocka_unit_test(task_names_must_be_a_job_id_and_a_number),
        cmocka_unit_test(a_heartbeat_with_an_invalid_task_is_rejected),
        cmocka_unit_test(random_and_corrupted_documents_are_handled_safely)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
