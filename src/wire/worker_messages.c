#include "wire/worker_messages.h"
#include "wire/wire_words.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const char *const task_state_names[] = {[RR_TASK_FETCHING] = RR_WORD_FETCHING,
                                               [RR_TASK_RUNNING] = RR_WORD_RUNNING,
                                               [RR_TASK_SAVING] = RR_WORD_SAVING,
                                               [RR_TASK_ENDED] = RR_WORD_ENDED,
                                               [RR_TASK_WAITING] = RR_WORD_WAITING};

/* Names of the exit reasons from RR_EXIT_DONE on; RR_EXIT_NONE has none. */
static const char *const exit_reason_names[] = {RR_WORD_DONE,
                                                RR_WORD_EXIT_STOPPED,
                                                RR_WORD_EXIT_ERROR,
                                                RR_WORD_EXIT_NO_RESOURCES,
                                                RR_WORD_EXIT_ATTEMPT_CONFLICT,
                                                RR_WORD_EXIT_UNKNOWN_TASK,
                                                RR_WORD_EXIT_GANG_PEER_LOST,
                                                RR_WORD_EXIT_GANG_INCOMPLETE};

static const char *const command_names[] = {[RR_COMMAND_START] = RR_WORD_COMMAND_START,
                                            [RR_COMMAND_STOP] = RR_WORD_COMMAND_STOP,
                                            [RR_COMMAND_REAP] = RR_WORD_COMMAND_REAP};

bool rr_task_name_parse(const char *text, char *job_id, size_t size, uint32_t *task) {
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || (size_t)(slash - text) >= size) {
        return false;
    }
    size_t id_length = (size_t)(slash - text);
    char *end;
    unsigned long number = strtoul(slash + 1, &end, 10);
    if (!isdigit((unsigned char)slash[1]) || *end || number >= RR_TASKS_MAX) {
        return false;
    }
    memcpy(job_id, text, id_length);
    job_id[id_length] = 0;
    *task = (uint32_t)number;
    return true;
}

/* ---- Heartbeats ---- */

/* An unknown state counts as RR_TASK_FETCHING, so that the task is taken to be on the machine. */
static enum rr_task_state decode_state(const msgpack_object *object) {
    int state = rr_object_find_name(object, task_state_names, G_N_ELEMENTS(task_state_names));
    return state < 0 ? RR_TASK_FETCHING : (enum rr_task_state)state;
}

static enum rr_exit_reason decode_exit_reason(const msgpack_object *object) {
    int i = rr_object_find_name(object, exit_reason_names, G_N_ELEMENTS(exit_reason_names));
    return i < 0 ? RR_EXIT_OTHER : (enum rr_exit_reason)(RR_EXIT_DONE + i);
}

static bool decode_task_status(const msgpack_object *object, rr_task_status *task) {
    char name[RR_TASK_NAME_SIZE];
    if (!rr_map_get_text(object, RR_WORD_TASK, name, sizeof name) ||
        !rr_task_name_parse(name, task->job_id, sizeof task->job_id, &task->task) ||
        !rr_map_get_u64(object, RR_WORD_ATTEMPT, &task->attempt)) {
        return false;
    }
    task->state = decode_state(rr_map_get(object, RR_WORD_STATE));
    task->exit_reason = task->state == RR_TASK_ENDED
                            ? decode_exit_reason(rr_map_get(object, RR_WORD_EXIT_REASON))
                            : RR_EXIT_NONE;
    return true;
}

static bool decode_machine(const msgpack_object *object, rr_heartbeat *heartbeat) {
    return rr_map_get_text(object, RR_WORD_MACHINE, heartbeat->machine,
                           sizeof heartbeat->machine) &&
           heartbeat->machine[0] &&
           rr_map_get_text(object, RR_WORD_ADDRESS, heartbeat->address,
                           sizeof heartbeat->address) &&
           rr_map_get_text(object, RR_WORD_MACHINE_TYPE, heartbeat->machine_type,
                           sizeof heartbeat->machine_type) &&
           rr_map_get_text(object, RR_WORD_ZONE, heartbeat->zone, sizeof heartbeat->zone) &&
           rr_map_get_bool(object, RR_WORD_SPOT, &heartbeat->spot);
}

static bool decode_counters(const msgpack_object *object, rr_heartbeat *heartbeat) {
    return rr_map_get_u64(object, RR_WORD_WORKER_EPOCH, &heartbeat->worker_epoch) &&
           rr_map_get_u64(object, RR_WORD_SEQUENCE, &heartbeat->sequence) &&
           rr_map_get_u64(object, RR_WORD_FENCING_TOKEN, &heartbeat->fencing_token);
}

static bool decode_spot_notice(const msgpack_object *object, rr_heartbeat *heartbeat) {
    return !rr_map_get(object, RR_WORD_SPOT_NOTICE_S) ||
           rr_map_get_number(object, RR_WORD_SPOT_NOTICE_S, &heartbeat->spot_notice_s);
}

static bool decode_tasks(const msgpack_object *object, rr_heartbeat *heartbeat) {
    const msgpack_object *list = rr_map_get(object, RR_WORD_TASKS);
    if (!list) {
        return true;
    }
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        rr_task_status task;
        if (!decode_task_status(&list->via.array.ptr[i], &task)) {
            return false;
        }
        g_array_append_val(heartbeat->tasks, task);
    }
    return true;
}

int rr_heartbeat_decode(const msgpack_object *object, rr_heartbeat *heartbeat) {
    memset(heartbeat, 0, sizeof *heartbeat);
    heartbeat->tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    heartbeat->spot_notice_s = -1;
    bool valid = decode_machine(object, heartbeat) && decode_counters(object, heartbeat) &&
                 decode_spot_notice(object, heartbeat) && decode_tasks(object, heartbeat);
    return valid ? 0 : -EBADMSG;
}

void rr_heartbeat_clear(rr_heartbeat *heartbeat) {
    if (heartbeat->tasks) {
        g_array_free(heartbeat->tasks, TRUE);
        heartbeat->tasks = NULL;
    }
}

/* ---- Hashes of heartbeats ----
 *
 * The hash is FNV-1a. Controllers compare hashes with their peers, so all versions have to compute
 * the same ones. */

/* Not the standard offset basis, 14695981039346656037, but its first 19 digits. */
#define FNV_OFFSET_BASIS 1469598103934665603ULL
#define FNV_PRIME 1099511628211ULL

static uint64_t hash_bytes(uint64_t hash, const void *data, size_t length) {
    const unsigned char *bytes = data;
    for (size_t i = 0; i < length; i++) {
        hash = (hash ^ bytes[i]) * FNV_PRIME;
    }
    return hash;
}

static uint64_t hash_task(uint64_t hash, const rr_task_status *task) {
    uint8_t state[2] = {(uint8_t)task->state, (uint8_t)task->exit_reason};
    hash = hash_bytes(hash, task->job_id, strlen(task->job_id) + 1);
    hash = hash_bytes(hash, &task->task, sizeof task->task);
    hash = hash_bytes(hash, &task->attempt, sizeof task->attempt);
    return hash_bytes(hash, state, sizeof state);
}

uint64_t rr_heartbeat_hash(const rr_heartbeat *heartbeat) {
    uint8_t has_notice = heartbeat->spot_notice_s >= 0;
    uint64_t hash =
        hash_bytes(FNV_OFFSET_BASIS, &heartbeat->fencing_token, sizeof heartbeat->fencing_token);
    hash = hash_bytes(hash, &has_notice, sizeof has_notice);
    for (guint i = 0; heartbeat->tasks && i < heartbeat->tasks->len; i++) {
        hash = hash_task(hash, &g_array_index(heartbeat->tasks, rr_task_status, i));
    }
    return hash;
}

/* ---- Commands ---- */

static void encode_command(rr_encoder *encoder, const rr_command *command) {
    bool is_stop = command->kind == RR_COMMAND_STOP;
    char task_name[RR_TASK_NAME_SIZE];
    g_snprintf(task_name, sizeof task_name, "%s/%u", command->job_id, command->task);
    rr_encode_map(encoder, is_stop ? 4 : 3);
    rr_encode_key_text(encoder, RR_WORD_COMMAND_KIND, command_names[command->kind]);
    rr_encode_key_text(encoder, RR_WORD_TASK, task_name);
    rr_encode_key_u64(encoder, RR_WORD_ATTEMPT, command->attempt);
    if (is_stop) {
        rr_encode_key_number(encoder, RR_WORD_GRACE_S, command->grace_s);
    }
}

void rr_commands_encode(rr_encoder *encoder, uint64_t fencing_token, uint64_t worker_epoch,
                        const GArray *commands) {
    rr_encode_map(encoder, worker_epoch ? 3 : 2);
    rr_encode_key_u64(encoder, RR_WORD_FENCING_TOKEN, fencing_token);
    if (worker_epoch) {
        rr_encode_key_u64(encoder, RR_WORD_WORKER_EPOCH, worker_epoch);
    }
    rr_encode_text(encoder, RR_WORD_COMMANDS);
    rr_encode_array(encoder, commands ? commands->len : 0);
    for (guint i = 0; commands && i < commands->len; i++) {
        encode_command(encoder, &g_array_index(commands, rr_command, i));
    }
}
