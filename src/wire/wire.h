/* PROTOCOL messages to and from structs. Pure functions: no I/O, no clock, no locks. Decoded trees
 * belong to their rr_document; strings in structs are copies. */
#ifndef RR_WIRE_WIRE_H
#define RR_WIRE_WIRE_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#define RR_BODY_BYTES_MAX ((size_t)64 * 1024)
#define RR_TASKS_MAX 100000
#define RR_ID_SIZE 64
#define RR_TEXT_SIZE 128
#define RR_MACHINE_TYPES_MAX 32
#define RR_NESTING_DEPTH_MAX 16

/* ---- documents ---- */
typedef struct {
    msgpack_unpacked unpacked;
    void *copy; /* libmsgpack's text points into what it read; the document keeps its own */
    const msgpack_object *root;
} rr_document;

/* Checks declared lengths and depth before anything is allocated, then decodes one value that must
 * fill the buffer. 0, or -EBADMSG. rr_document_clear() is safe after a failure too. */
int rr_document_parse(rr_document *document, const void *data, size_t length);
void rr_document_clear(rr_document *document);

/* Map access: a missing key and null are the same: NULL. */
const msgpack_object *rr_map_get(const msgpack_object *map, const char *key);
bool rr_object_is_map(const msgpack_object *object);
bool rr_object_u64(const msgpack_object *object, uint64_t *out);
bool rr_object_number(const msgpack_object *object, double *out); /* integer or decimal, finite */
bool rr_object_text(const msgpack_object *object, char *out, size_t size);
bool rr_map_get_u64(const msgpack_object *map, const char *key, uint64_t *out);
bool rr_map_get_number(const msgpack_object *map, const char *key, double *out);
bool rr_map_get_text(const msgpack_object *map, const char *key, char *out, size_t size);
bool rr_map_get_bool(const msgpack_object *map, const char *key, bool *out);
bool rr_object_text_equals(const msgpack_object *object, const char *text);

/* ---- encoding ---- */
typedef struct {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
} rr_encoder;
void rr_encoder_init(rr_encoder *encoder);
void rr_encoder_clear(rr_encoder *encoder);
void rr_encode_map(rr_encoder *encoder, size_t count);
void rr_encode_array(rr_encoder *encoder, size_t count);
void rr_encode_text(rr_encoder *encoder, const char *text);
void rr_encode_u64(rr_encoder *encoder, uint64_t value);
void rr_encode_number(rr_encoder *encoder, double value);
void rr_encode_bool(rr_encoder *encoder, bool value);
void rr_encode_key_text(rr_encoder *encoder, const char *key, const char *value);
void rr_encode_key_u64(rr_encoder *encoder, const char *key, uint64_t value);
void rr_encode_key_number(rr_encoder *encoder, const char *key, double value);
void rr_encode_key_bool(rr_encoder *encoder, const char *key, bool value);

/* ---- users ---- */
/* Of a gang ("group" in messages) all tasks run at the same time, or none does. */
enum rr_job_kind { RR_JOB_ARRAY, RR_JOB_SERVICE, RR_JOB_GANG };
enum rr_priority { RR_PRIORITY_LOW, RR_PRIORITY_STANDARD, RR_PRIORITY_HIGH, RR_PRIORITY_PROD };

typedef struct {
    char job_id[RR_ID_SIZE], job_class[RR_TEXT_SIZE], team[RR_TEXT_SIZE], image[RR_TEXT_SIZE],
        zone[RR_TEXT_SIZE];
    char (*machine_types)[RR_ID_SIZE]; /* owned; jobs are kept for good, and few name any */
    int machine_type_count;            /* 0: any */
    enum rr_job_kind kind;
    enum rr_priority priority;
    uint32_t task_count;
    double cpus, gpus, mem_gb, image_size_gb, runtime_estimate_s, checkpoint_interval_s, save_s;
    double deadline_s; /* <0: none */
    bool one_zone, spread, spot;
} rr_submission;

/* 0, or -EINVAL with the field at fault in *field. rr_submission_clear() after success. */
int rr_submission_decode(const msgpack_object *object, rr_submission *out, const char **field);
/* Writes the fields of a submission into an open map. */
void rr_submission_encode_fields(rr_encoder *encoder, const rr_submission *submission);
size_t rr_submission_field_count(const rr_submission *submission);
void rr_submission_clear(rr_submission *submission);
bool rr_job_id_valid(const char *job_id);

/* ---- workers ---- */
enum rr_task_state {
    RR_TASK_FETCHING,
    RR_TASK_RUNNING,
    RR_TASK_SAVING,
    RR_TASK_ENDED,
    RR_TASK_WAITING
};
enum rr_exit_reason {
    RR_EXIT_NONE,
    RR_EXIT_DONE,
    RR_EXIT_STOPPED,
    RR_EXIT_ERROR,
    RR_EXIT_FULL,
    RR_EXIT_IN_USE,
    RR_EXIT_NO_SUCH,
    RR_EXIT_PEERS,      /* another task of the gang is gone */
    RR_EXIT_INCOMPLETE, /* the gang was not complete in time */
    RR_EXIT_OTHER
};

typedef struct {
    char job_id[RR_ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    enum rr_task_state state;
    enum rr_exit_reason exit_reason;
} rr_task_status;

typedef struct {
    char machine[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    uint64_t worker_epoch, sequence, fencing_token;
    double spot_notice_s; /* <0: no notice */
    GArray *tasks;        /* rr_task_status */
} rr_heartbeat;

int rr_heartbeat_decode(const msgpack_object *object, rr_heartbeat *out);
void rr_heartbeat_clear(rr_heartbeat *heartbeat);
/* Of what it says beside who and when: two reports of one worker_epoch with the same hash say the
 * same.
 */
uint64_t rr_heartbeat_hash(const rr_heartbeat *heartbeat);

/* A sign of life, for those who need no more: the report with this sequence had this hash. */
typedef struct {
    char machine[RR_ID_SIZE];
    uint64_t worker_epoch, sequence, hash;
} rr_heartbeat_digest;
bool rr_task_name_parse(const char *text, char *job_id, size_t size, uint32_t *task);

enum rr_command_kind { RR_COMMAND_START, RR_COMMAND_STOP, RR_COMMAND_REAP };
typedef struct {
    enum rr_command_kind kind;
    char job_id[RR_ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    double grace_s;
} rr_command;

/* Body of /do (worker_epoch > 0) or of an answer to /hello (worker_epoch 0). */
void rr_commands_encode(rr_encoder *encoder, uint64_t fencing_token, uint64_t worker_epoch,
                        const GArray *commands);

/* ---- cloud ---- */
typedef struct {
    char name[RR_ID_SIZE];
    double cpus, gpus, mem_gb, cache_gb, pull_rate, price, spot_price, startup_s;
    GPtrArray *zones; /* char* */
} rr_machine_type;

int rr_machine_type_decode(const msgpack_object *object, rr_machine_type *out);
void rr_machine_type_encode(rr_encoder *encoder, const rr_machine_type *type);
void rr_machine_type_clear(rr_machine_type *type);

enum rr_listed_state { RR_LISTED_STARTING, RR_LISTED_RUNNING, RR_LISTED_FAILED };
typedef struct {
    char id[RR_ID_SIZE], address[RR_ID_SIZE], machine_type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    bool spot;
    enum rr_listed_state state;
    double age_s;
} rr_listed_machine;
int rr_listed_machine_decode(const msgpack_object *object, rr_listed_machine *out);

#endif
