#include "wire/user_messages.h"
#include "wire/wire_words.h"

#include <ctype.h>
#include <errno.h>
#include <string.h>

#define AMOUNT_MAX 1e9 /* upper limit of resources, sizes and times */
#define JOB_ID_PREFIX "req-"
#define JOB_ID_LENGTH_MAX 40 /* with the prefix */

static const char *const job_kind_names[] = {[RR_JOB_ARRAY] = RR_WORD_KIND_ARRAY,
                                             [RR_JOB_SERVICE] = RR_WORD_KIND_SERVICE,
                                             [RR_JOB_GANG] = RR_WORD_KIND_GANG};
static const char *const priority_names[] = {[RR_PRIORITY_LOW] = RR_WORD_PRIORITY_LOW,
                                             [RR_PRIORITY_STANDARD] = RR_WORD_PRIORITY_STANDARD,
                                             [RR_PRIORITY_HIGH] = RR_WORD_PRIORITY_HIGH,
                                             [RR_PRIORITY_PROD] = RR_WORD_PRIORITY_PROD};

bool rr_job_id_valid(const char *job_id) {
    const size_t prefix_length = strlen(JOB_ID_PREFIX);
    size_t length = strlen(job_id);
    if (strncmp(job_id, JOB_ID_PREFIX, prefix_length) != 0 || length <= prefix_length ||
        length > JOB_ID_LENGTH_MAX) {
        return false;
    }
    for (const char *text = job_id + prefix_length; *text; text++) {
        if (!isdigit((unsigned char)*text)) {
            return false;
        }
    }
    return true;
}

/* ---- Decoding one field: false if it is invalid, or missing though required ---- */

/* Reads a name, which must not be empty and must not contain spaces or control characters. */
static bool get_name(const msgpack_object *object, const char *key, char *out, size_t size) {
    if (!rr_map_get_text(object, key, out, size) || !out[0]) {
        return false;
    }
    for (const char *text = out; *text; text++) {
        if ((unsigned char)*text <= ' ') {
            return false;
        }
    }
    return true;
}

static bool get_amount(const msgpack_object *object, const char *key, double *out) {
    return rr_map_get_number(object, key, out) && *out >= 0 && *out <= AMOUNT_MAX;
}

static bool get_job_id(const msgpack_object *object, rr_submission *submission) {
    return get_name(object, RR_WORD_JOB_ID, submission->job_id, sizeof submission->job_id) &&
           rr_job_id_valid(submission->job_id);
}

static bool get_kind(const msgpack_object *object, rr_submission *submission) {
    int kind = rr_object_find_name(rr_map_get(object, RR_WORD_JOB_KIND), job_kind_names,
                                   G_N_ELEMENTS(job_kind_names));
    submission->kind = kind >= 0 ? (enum rr_job_kind)kind : RR_JOB_ARRAY;
    return kind >= 0;
}

static bool get_priority(const msgpack_object *object, rr_submission *submission) {
    int priority = rr_object_find_name(rr_map_get(object, RR_WORD_PRIORITY), priority_names,
                                       G_N_ELEMENTS(priority_names));
    submission->priority = priority >= 0 ? (enum rr_priority)priority : RR_PRIORITY_LOW;
    return priority >= 0;
}

static bool get_task_count(const msgpack_object *object, rr_submission *submission) {
    uint64_t count;
    if (!rr_map_get_u64(object, RR_WORD_TASKS, &count) || count == 0 || count > RR_TASKS_MAX) {
        return false;
    }
    submission->task_count = (uint32_t)count;
    return true;
}

static bool get_deadline(const msgpack_object *object, rr_submission *submission) {
    if (!rr_map_get(object, RR_WORD_DEADLINE_S)) {
        submission->deadline_s = -1;
        return true;
    }
    return get_amount(object, RR_WORD_DEADLINE_S, &submission->deadline_s);
}

static bool get_zone(const msgpack_object *object, rr_submission *submission) {
    return !rr_map_get(object, RR_WORD_ZONE) ||
           get_name(object, RR_WORD_ZONE, submission->zone, sizeof submission->zone);
}

static bool get_machine_types(const msgpack_object *object, rr_submission *submission) {
    const msgpack_object *type_names = rr_map_get(object, RR_WORD_MACHINE_TYPES);
    if (!type_names) {
        return true;
    }
    if (type_names->type != MSGPACK_OBJECT_ARRAY || type_names->via.array.size == 0 ||
        type_names->via.array.size > RR_MACHINE_TYPES_MAX) {
        return false;
    }
    uint32_t count = type_names->via.array.size;
    submission->machine_types = g_malloc0(count * sizeof *submission->machine_types);
    for (uint32_t i = 0; i < count; i++) {
        if (!rr_object_get_text(&type_names->via.array.ptr[i], submission->machine_types[i],
                                RR_ID_SIZE)) {
            rr_submission_clear(submission);
            return false;
        }
    }
    submission->machine_type_count = (int)count;
    return true;
}

/* ---- Submissions: each decoder returns the name of the first invalid field, or NULL ---- */

static const char *decode_identity(const msgpack_object *object, rr_submission *submission) {
    if (!get_job_id(object, submission)) {
        return RR_WORD_JOB_ID;
    }
    const struct {
        const char *word;
        char *text;
    } names[] = {{RR_WORD_JOB_CLASS, submission->job_class},
                 {RR_WORD_TEAM, submission->team},
                 {RR_WORD_IMAGE, submission->image}};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (!get_name(object, names[i].word, names[i].text, RR_TEXT_SIZE)) {
            return names[i].word;
        }
    }
    if (!get_kind(object, submission)) {
        return RR_WORD_JOB_KIND;
    }
    if (!get_priority(object, submission)) {
        return RR_WORD_PRIORITY;
    }
    return get_task_count(object, submission) ? NULL : RR_WORD_TASKS;
}

static const char *decode_amounts(const msgpack_object *object, rr_submission *submission) {
    const struct {
        const char *word;
        double *amount;
    } amounts[] = {{RR_WORD_CPUS, &submission->cpus},
                   {RR_WORD_GPUS, &submission->gpus},
                   {RR_WORD_MEM_GB, &submission->mem_gb},
                   {RR_WORD_IMAGE_SIZE_GB, &submission->image_size_gb},
                   {RR_WORD_RUNTIME_ESTIMATE_S, &submission->runtime_estimate_s},
                   {RR_WORD_CHECKPOINT_INTERVAL_S, &submission->checkpoint_interval_s},
                   {RR_WORD_CHECKPOINT_SAVE_S, &submission->checkpoint_save_s}};
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        if (!get_amount(object, amounts[i].word, amounts[i].amount)) {
            return amounts[i].word;
        }
    }
    return get_deadline(object, submission) ? NULL : RR_WORD_DEADLINE_S;
}

static const char *decode_constraints(const msgpack_object *object, rr_submission *submission) {
    if (!get_zone(object, submission)) {
        return RR_WORD_ZONE;
    }
    const struct {
        const char *word;
        bool *flag;
    } flags[] = {{RR_WORD_ONE_ZONE, &submission->one_zone},
                 {RR_WORD_SPREAD, &submission->spread_zones},
                 {RR_WORD_SPOT, &submission->spot_allowed}};
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        if (!rr_map_get_bool(object, flags[i].word, flags[i].flag)) {
            return flags[i].word;
        }
    }
    /* Last, because it allocates: no later field can be invalid and leave something to free. */
    return get_machine_types(object, submission) ? NULL : RR_WORD_MACHINE_TYPES;
}

int rr_submission_decode(const msgpack_object *object, rr_submission *submission,
                         const char **invalid_field) {
    memset(submission, 0, sizeof *submission);
    const char *first_invalid = rr_object_is_map(object) ? NULL : "body";
    if (!first_invalid) {
        first_invalid = decode_identity(object, submission);
    }
    if (!first_invalid) {
        first_invalid = decode_amounts(object, submission);
    }
    if (!first_invalid) {
        first_invalid = decode_constraints(object, submission);
    }
    if (first_invalid) {
        *invalid_field = first_invalid;
        return -EINVAL;
    }
    return 0;
}

void rr_submission_clear(rr_submission *submission) {
    g_free(submission->machine_types);
    submission->machine_types = NULL;
    submission->machine_type_count = 0;
}

size_t rr_submission_field_count(const rr_submission *submission) {
    const size_t required = 17;
    return required + (submission->deadline_s >= 0) + (submission->zone[0] != 0) +
           (submission->machine_type_count > 0);
}

static void encode_machine_types(rr_encoder *encoder, const rr_submission *submission) {
    rr_encode_text(encoder, RR_WORD_MACHINE_TYPES);
    rr_encode_array(encoder, (size_t)submission->machine_type_count);
    for (int i = 0; i < submission->machine_type_count; i++) {
        rr_encode_text(encoder, submission->machine_types[i]);
    }
}

void rr_submission_encode_fields(rr_encoder *encoder, const rr_submission *submission) {
    rr_encode_key_text(encoder, RR_WORD_JOB_ID, submission->job_id);
    rr_encode_key_text(encoder, RR_WORD_JOB_CLASS, submission->job_class);
    rr_encode_key_text(encoder, RR_WORD_TEAM, submission->team);
    rr_encode_key_text(encoder, RR_WORD_IMAGE, submission->image);
    rr_encode_key_text(encoder, RR_WORD_JOB_KIND, job_kind_names[submission->kind]);
    rr_encode_key_text(encoder, RR_WORD_PRIORITY, priority_names[submission->priority]);
    rr_encode_key_u64(encoder, RR_WORD_TASKS, submission->task_count);
    rr_encode_key_number(encoder, RR_WORD_CPUS, submission->cpus);
    rr_encode_key_number(encoder, RR_WORD_GPUS, submission->gpus);
    rr_encode_key_number(encoder, RR_WORD_MEM_GB, submission->mem_gb);
    rr_encode_key_number(encoder, RR_WORD_IMAGE_SIZE_GB, submission->image_size_gb);
    rr_encode_key_number(encoder, RR_WORD_RUNTIME_ESTIMATE_S, submission->runtime_estimate_s);
    rr_encode_key_number(encoder, RR_WORD_CHECKPOINT_INTERVAL_S, submission->checkpoint_interval_s);
    rr_encode_key_number(encoder, RR_WORD_CHECKPOINT_SAVE_S, submission->checkpoint_save_s);
    if (submission->deadline_s >= 0) {
        rr_encode_key_number(encoder, RR_WORD_DEADLINE_S, submission->deadline_s);
    }
    if (submission->zone[0]) {
        rr_encode_key_text(encoder, RR_WORD_ZONE, submission->zone);
    }
    if (submission->machine_type_count) {
        encode_machine_types(encoder, submission);
    }
    rr_encode_key_bool(encoder, RR_WORD_ONE_ZONE, submission->one_zone);
    rr_encode_key_bool(encoder, RR_WORD_SPREAD, submission->spread_zones);
    rr_encode_key_bool(encoder, RR_WORD_SPOT, submission->spot_allowed);
}
