/* Users', workers' and cloud messages. */
#include "wire/wire.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define AMOUNT_MAX 1e9

static const char *const shapes[] = {"batch", "service", "group"};
static const char *const ranks[] = {"low", "standard", "high", "prod"};
static const char *const verbs[] = {"start", "stop", "reap"};

static int index_of(const msgpack_object *object, const char *const *names, int count) {
    for (int i = 0; i < count; i++) {
        if (rr_object_text_equals(object, names[i])) {
            return i;
        }
    }
    return -1;
}

bool rr_job_id_valid(const char *job_id) {
    if (strncmp(job_id, "req-", 4) != 0 || strlen(job_id) < 5 || strlen(job_id) > 40) {
        return false;
    }
    for (const char *text = job_id + 4; *text; text++) {
        if (!isdigit((unsigned char)*text)) {
            return false;
        }
    }
    return true;
}

/* A name is text without spaces or control characters and not empty. */
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

static bool get_amount(const msgpack_object *object, const char *key, double least, double *out) {
    return rr_map_get_number(object, key, out) && *out >= least && *out <= AMOUNT_MAX;
}

static bool get_machine_types(const msgpack_object *object, rr_submission *submission) {
    const msgpack_object *listed = rr_map_get(object, "builds");
    submission->machine_type_count = 0;
    if (!listed) {
        return true;
    }
    if (listed->type != MSGPACK_OBJECT_ARRAY || listed->via.array.size == 0 ||
        listed->via.array.size > RR_MACHINE_TYPES_MAX) {
        return false;
    }
    submission->machine_types =
        g_malloc0(listed->via.array.size * sizeof *submission->machine_types);
    for (uint32_t i = 0; i < listed->via.array.size; i++) {
        if (!rr_object_text(&listed->via.array.ptr[i],
                            submission->machine_types[submission->machine_type_count],
                            RR_ID_SIZE)) {
            rr_submission_clear(submission);
            return false;
        }
        submission->machine_type_count++;
    }
    return true;
}

void rr_submission_clear(rr_submission *submission) {
    g_free(submission->machine_types);
    submission->machine_types = NULL;
    submission->machine_type_count = 0;
}

static bool get_tasks(const msgpack_object *object, uint32_t *out) {
    uint64_t number;
    if (!rr_map_get_u64(object, "pieces", &number) || number == 0 || number > RR_TASKS_MAX) {
        return false;
    }
    *out = (uint32_t)number;
    return true;
}

#define NEED(cond, name)                                                                           \
    do {                                                                                           \
        if (!(cond)) {                                                                             \
            *field = name;                                                                         \
            return -EINVAL;                                                                        \
        }                                                                                          \
    } while (0)

/* What the job is and whose. */
static int decode_identity(const msgpack_object *object, rr_submission *submission,
                           const char **field) {
    NEED(get_name(object, "ref", submission->job_id, sizeof submission->job_id) &&
             rr_job_id_valid(submission->job_id),
         "ref");
    NEED(get_name(object, "lane", submission->job_class, sizeof submission->job_class), "lane");
    NEED(get_name(object, "crew", submission->team, sizeof submission->team), "crew");
    NEED(get_name(object, "cast", submission->image, sizeof submission->image), "cast");
    int kind = index_of(rr_map_get(object, "shape"), shapes, G_N_ELEMENTS(shapes));
    NEED(kind >= 0, "shape");
    int priority = index_of(rr_map_get(object, "rank"), ranks, 4);
    NEED(priority >= 0, "rank");
    submission->kind = (enum rr_job_kind)kind;
    submission->priority = (enum rr_priority)priority;
    NEED(get_tasks(object, &submission->task_count), "pieces");
    return 0;
}

/* What its tasks take, of machines and of time. */
static int decode_amounts(const msgpack_object *object, rr_submission *submission,
                          const char **field) {
    const struct {
        const char *name;
        double *amount;
    } amounts[] = {{"vcpus", &submission->cpus},
                   {"cards", &submission->gpus},
                   {"mem_gb", &submission->mem_gb},
                   {"pull_gb", &submission->image_size_gb},
                   {"guess_s", &submission->runtime_estimate_s},
                   {"cairn_s", &submission->checkpoint_interval_s},
                   {"stash_s", &submission->save_s}};
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        NEED(get_amount(object, amounts[i].name, 0, amounts[i].amount), amounts[i].name);
    }
    submission->deadline_s = -1;
    NEED(!rr_map_get(object, "due_s") || get_amount(object, "due_s", 0, &submission->deadline_s),
         "due_s");
    return 0;
}

/* Where they may run. */
static int decode_constraints(const msgpack_object *object, rr_submission *submission,
                              const char **field) {
    NEED(!rr_map_get(object, "ward") ||
             get_name(object, "ward", submission->zone, sizeof submission->zone),
         "ward");
    NEED(rr_map_get_bool(object, "one_zone", &submission->one_zone), "one_zone");
    NEED(rr_map_get_bool(object, "apart", &submission->spread), "apart");
    NEED(rr_map_get_bool(object, "loaners", &submission->spot), "loaners");
    NEED(get_machine_types(object, submission), "builds"); /* last: it allocates */
    return 0;
}

int rr_submission_decode(const msgpack_object *object, rr_submission *submission,
                         const char **field) {
    memset(submission, 0, sizeof *submission);
    NEED(rr_object_is_map(object), "body");
    int rc = decode_identity(object, submission, field);
    if (rc == 0) {
        rc = decode_amounts(object, submission, field);
    }
    return rc == 0 ? decode_constraints(object, submission, field) : rc;
}

size_t rr_submission_field_count(const rr_submission *submission) {
    return 17 + (submission->deadline_s >= 0) + (submission->zone[0] != 0) +
           (submission->machine_type_count > 0);
}

void rr_submission_encode_fields(rr_encoder *encoder, const rr_submission *submission) {
    rr_encode_key_text(encoder, "ref", submission->job_id);
    rr_encode_key_text(encoder, "lane", submission->job_class);
    rr_encode_key_text(encoder, "crew", submission->team);
    rr_encode_key_text(encoder, "cast", submission->image);
    rr_encode_key_text(encoder, "shape", shapes[submission->kind]);
    rr_encode_key_text(encoder, "rank", ranks[submission->priority]);
    rr_encode_key_u64(encoder, "pieces", submission->task_count);
    rr_encode_key_number(encoder, "vcpus", submission->cpus);
    rr_encode_key_number(encoder, "cards", submission->gpus);
    rr_encode_key_number(encoder, "mem_gb", submission->mem_gb);
    rr_encode_key_number(encoder, "pull_gb", submission->image_size_gb);
    rr_encode_key_number(encoder, "guess_s", submission->runtime_estimate_s);
    rr_encode_key_number(encoder, "cairn_s", submission->checkpoint_interval_s);
    rr_encode_key_number(encoder, "stash_s", submission->save_s);
    if (submission->deadline_s >= 0) {
        rr_encode_key_number(encoder, "due_s", submission->deadline_s);
    }
    if (submission->zone[0]) {
        rr_encode_key_text(encoder, "ward", submission->zone);
    }
    if (submission->machine_type_count) {
        rr_encode_text(encoder, "builds");
        rr_encode_array(encoder, (size_t)submission->machine_type_count);
        for (int i = 0; i < submission->machine_type_count; i++) {
            rr_encode_text(encoder, submission->machine_types[i]);
        }
    }
    rr_encode_key_bool(encoder, "one_zone", submission->one_zone);
    rr_encode_key_bool(encoder, "apart", submission->spread);
    rr_encode_key_bool(encoder, "loaners", submission->spot);
}

bool rr_task_name_parse(const char *text, char *job_id, size_t size, uint32_t *task) {
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || (size_t)(slash - text) >= size) {
        return false;
    }
    char *end;
    unsigned long number = strtoul(slash + 1, &end, 10);
    if (!isdigit((unsigned char)slash[1]) || *end || number >= RR_TASKS_MAX) {
        return false;
    }
    memcpy(job_id, text, (size_t)(slash - text));
    job_id[slash - text] = 0;
    *task = (uint32_t)number;
    return true;
}

static enum rr_exit_reason exit_reason_of(const msgpack_object *object) {
    static const char *const names[] = {"done",   "halted",  "error", "full",
                                        "in_use", "no_such", "peers", "incomplete"};
    int i = index_of(object, names, G_N_ELEMENTS(names));
    return i < 0 ? RR_EXIT_OTHER : (enum rr_exit_reason)(RR_EXIT_DONE + i);
}

static bool task_status_decode(const msgpack_object *object, rr_task_status *task) {
    static const char *const names[] = {"fetching", "running", "flushing", "ended", "waiting"};
    char text[2 * RR_ID_SIZE];
    int state = index_of(rr_map_get(object, "standing"), names, G_N_ELEMENTS(names));
    if (!rr_map_get_text(object, "piece", text, sizeof text) ||
        !rr_task_name_parse(text, task->job_id, sizeof task->job_id, &task->task) ||
        !rr_map_get_u64(object, "try", &task->attempt)) {
        return false;
    }
    /* An unknown standing (a state this version does not know) counts as on the machine. */
    task->state = state < 0 ? RR_TASK_FETCHING : (enum rr_task_state)state;
    task->exit_reason =
        task->state == RR_TASK_ENDED ? exit_reason_of(rr_map_get(object, "cause")) : RR_EXIT_NONE;
    return true;
}

int rr_heartbeat_decode(const msgpack_object *object, rr_heartbeat *heartbeat) {
    memset(heartbeat, 0, sizeof *heartbeat);
    heartbeat->tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    heartbeat->spot_notice_s = -1;
    const msgpack_object *list = rr_map_get(object, "pieces");
    if (!rr_map_get_text(object, "stone", heartbeat->machine, sizeof heartbeat->machine) ||
        !heartbeat->machine[0] ||
        !rr_map_get_text(object, "addr", heartbeat->address, sizeof heartbeat->address) ||
        !rr_map_get_text(object, "build", heartbeat->machine_type,
                         sizeof heartbeat->machine_type) ||
        !rr_map_get_text(object, "ward", heartbeat->zone, sizeof heartbeat->zone) ||
        !rr_map_get_bool(object, "loaners", &heartbeat->spot) ||
        !rr_map_get_u64(object, "tenure", &heartbeat->worker_epoch) ||
        !rr_map_get_u64(object, "tally", &heartbeat->sequence) ||
        !rr_map_get_u64(object, "warrant", &heartbeat->fencing_token) ||
        (list && list->type != MSGPACK_OBJECT_ARRAY) ||
        (rr_map_get(object, "recall_s") &&
         !rr_map_get_number(object, "recall_s", &heartbeat->spot_notice_s))) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; list && i < list->via.array.size; i++) {
        rr_task_status task;
        /* A task list that can't be read whole proves nothing about what is absent. */
        if (!task_status_decode(&list->via.array.ptr[i], &task)) {
            return -EBADMSG;
        }
        g_array_append_val(heartbeat->tasks, task);
    }
    return 0;
}

void rr_heartbeat_clear(rr_heartbeat *heartbeat) {
    if (heartbeat->tasks) {
        g_array_free(heartbeat->tasks, TRUE);
        heartbeat->tasks = NULL;
    }
}

void rr_commands_encode(rr_encoder *encoder, uint64_t fencing_token, uint64_t worker_epoch,
                        const GArray *commands) {
    rr_encode_map(encoder, worker_epoch ? 3 : 2);
    rr_encode_key_u64(encoder, "warrant", fencing_token);
    if (worker_epoch) {
        rr_encode_key_u64(encoder, "tenure", worker_epoch);
    }
    rr_encode_text(encoder, "orders");
    rr_encode_array(encoder, commands ? commands->len : 0);
    for (guint i = 0; commands && i < commands->len; i++) {
        const rr_command *command = &g_array_index(commands, rr_command, i);
        char task_name[2 * RR_ID_SIZE];
        g_snprintf(task_name, sizeof task_name, "%s/%u", command->job_id, command->task);
        rr_encode_map(encoder, command->kind == RR_COMMAND_STOP ? 4 : 3);
        rr_encode_key_text(encoder, "verb", verbs[command->kind]);
        rr_encode_key_text(encoder, "piece", task_name);
        rr_encode_key_u64(encoder, "try", command->attempt);
        if (command->kind == RR_COMMAND_STOP) {
            rr_encode_key_number(encoder, "leave_s", command->grace_s);
        }
    }
}

int rr_machine_type_decode(const msgpack_object *object, rr_machine_type *type) {
    memset(type, 0, sizeof *type);
    type->zones = g_ptr_array_new_with_free_func(g_free);
    const msgpack_object *zones = rr_map_get(object, "wards");
    if (!rr_map_get_text(object, "sku", type->name, sizeof type->name) ||
        !rr_map_get_number(object, "vcpus", &type->cpus) ||
        !rr_map_get_number(object, "cards", &type->gpus) ||
        !rr_map_get_number(object, "mem_gb", &type->mem_gb) ||
        !rr_map_get_number(object, "price", &type->price) || !zones ||
        zones->type != MSGPACK_OBJECT_ARRAY) {
        return -EBADMSG;
    }
    type->spot_price = type->price;
    rr_map_get_number(object, "spot_price", &type->spot_price);
    rr_map_get_number(object, "cache_gb", &type->cache_gb);
    rr_map_get_number(object, "pull_gb_per_s", &type->pull_rate);
    rr_map_get_number(object, "startup_s", &type->startup_s);
    for (uint32_t i = 0; i < zones->via.array.size; i++) {
        char zone[RR_TEXT_SIZE];
        if (!rr_object_text(&zones->via.array.ptr[i], zone, sizeof zone)) {
            return -EBADMSG;
        }
        g_ptr_array_add(type->zones, g_strdup(zone));
    }
    return 0;
}

void rr_machine_type_encode(rr_encoder *encoder, const rr_machine_type *type) {
    rr_encode_map(encoder, 10);
    rr_encode_key_text(encoder, "sku", type->name);
    rr_encode_key_number(encoder, "vcpus", type->cpus);
    rr_encode_key_number(encoder, "cards", type->gpus);
    rr_encode_key_number(encoder, "mem_gb", type->mem_gb);
    rr_encode_key_number(encoder, "cache_gb", type->cache_gb);
    rr_encode_key_number(encoder, "pull_gb_per_s", type->pull_rate);
    rr_encode_key_number(encoder, "price", type->price);
    rr_encode_key_number(encoder, "spot_price", type->spot_price);
    rr_encode_key_number(encoder, "startup_s", type->startup_s);
    rr_encode_text(encoder, "wards");
    rr_encode_array(encoder, type->zones->len);
    for (guint i = 0; i < type->zones->len; i++) {
        rr_encode_text(encoder, g_ptr_array_index(type->zones, i));
    }
}

void rr_machine_type_clear(rr_machine_type *type) {
    if (type->zones) {
        g_ptr_array_free(type->zones, TRUE);
        type->zones = NULL;
    }
}

int rr_listed_machine_decode(const msgpack_object *object, rr_listed_machine *listed) {
    memset(listed, 0, sizeof *listed);
    const msgpack_object *state = rr_map_get(object, "standing");
    rr_map_get_text(object, "addr", listed->address, sizeof listed->address);
    if (!rr_map_get_text(object, "ref", listed->id, sizeof listed->id) ||
        !rr_map_get_text(object, "build", listed->machine_type, sizeof listed->machine_type) ||
        !rr_map_get_text(object, "ward", listed->zone, sizeof listed->zone) ||
        !rr_map_get_bool(object, "loaners", &listed->spot)) {
        return -EBADMSG;
    }
    rr_map_get_number(object, "age_s", &listed->age_s);
    if (rr_object_text_equals(state, "running")) {
        listed->state = RR_LISTED_RUNNING;
    } else if (rr_object_text_equals(state, "failed")) {
        listed->state = RR_LISTED_FAILED;
    } else {
        listed->state = RR_LISTED_STARTING;
    }
    return 0;
}

/* FNV-1a. */
static uint64_t mix(uint64_t hash, const void *data, size_t count) {
    const unsigned char *bytes = data;
    for (size_t i = 0; i < count; i++) {
        hash = (hash ^ bytes[i]) * 1099511628211ULL;
    }
    return hash;
}

uint64_t rr_heartbeat_hash(const rr_heartbeat *heartbeat) {
    uint64_t hash =
        mix(1469598103934665603ULL, &heartbeat->fencing_token, sizeof heartbeat->fencing_token);
    uint8_t notice = heartbeat->spot_notice_s >= 0;
    hash = mix(hash, &notice, 1);
    for (guint i = 0; heartbeat->tasks && i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        uint8_t state[2] = {(uint8_t)task->state, (uint8_t)task->exit_reason};
        hash = mix(hash, task->job_id, strlen(task->job_id) + 1);
        hash = mix(hash, &task->task, sizeof task->task);
        hash = mix(hash, &task->attempt, sizeof task->attempt);
        hash = mix(hash, state, sizeof state);
    }
    return hash;
}
