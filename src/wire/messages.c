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

static int index_of(const msgpack_object *o, const char *const *names, int n) {
    for (int i = 0; i < n; i++) {
        if (rr_object_text_equals(o, names[i])) {
            return i;
        }
    }
    return -1;
}

bool rr_job_id_valid(const char *ref) {
    if (strncmp(ref, "req-", 4) != 0 || strlen(ref) < 5 || strlen(ref) > 40) {
        return false;
    }
    for (const char *c = ref + 4; *c; c++) {
        if (!isdigit((unsigned char)*c)) {
            return false;
        }
    }
    return true;
}

/* A name is text without spaces or control characters and not empty. */
static bool get_name(const msgpack_object *o, const char *key, char *out, size_t size) {
    if (!rr_map_get_text(o, key, out, size) || !out[0]) {
        return false;
    }
    for (const char *c = out; *c; c++) {
        if ((unsigned char)*c <= ' ') {
            return false;
        }
    }
    return true;
}

static bool get_amount(const msgpack_object *o, const char *key, double least, double *out) {
    return rr_map_get_number(o, key, out) && *out >= least && *out <= AMOUNT_MAX;
}

static bool get_machine_types(const msgpack_object *o, rr_submission *s) {
    const msgpack_object *b = rr_map_get(o, "builds");
    s->machine_type_count = 0;
    if (!b) {
        return true;
    }
    if (b->type != MSGPACK_OBJECT_ARRAY || b->via.array.size == 0 ||
        b->via.array.size > RR_MACHINE_TYPES_MAX) {
        return false;
    }
    s->machine_types = g_malloc0(b->via.array.size * sizeof *s->machine_types);
    for (uint32_t i = 0; i < b->via.array.size; i++) {
        if (!rr_object_text(&b->via.array.ptr[i], s->machine_types[s->machine_type_count],
                            RR_ID_SIZE)) {
            rr_submission_clear(s);
            return false;
        }
        s->machine_type_count++;
    }
    return true;
}

void rr_submission_clear(rr_submission *s) {
    g_free(s->machine_types);
    s->machine_types = NULL;
    s->machine_type_count = 0;
}

static bool get_tasks(const msgpack_object *o, uint32_t *out) {
    uint64_t n;
    if (!rr_map_get_u64(o, "pieces", &n) || n == 0 || n > RR_TASKS_MAX) {
        return false;
    }
    *out = (uint32_t)n;
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
static int decode_identity(const msgpack_object *o, rr_submission *s, const char **field) {
    NEED(get_name(o, "ref", s->job_id, sizeof s->job_id) && rr_job_id_valid(s->job_id), "ref");
    NEED(get_name(o, "lane", s->job_class, sizeof s->job_class), "lane");
    NEED(get_name(o, "crew", s->team, sizeof s->team), "crew");
    NEED(get_name(o, "cast", s->image, sizeof s->image), "cast");
    int shape = index_of(rr_map_get(o, "shape"), shapes, G_N_ELEMENTS(shapes));
    NEED(shape >= 0, "shape");
    int rank = index_of(rr_map_get(o, "rank"), ranks, 4);
    NEED(rank >= 0, "rank");
    s->kind = (enum rr_job_kind)shape;
    s->priority = (enum rr_priority)rank;
    NEED(get_tasks(o, &s->task_count), "pieces");
    return 0;
}

/* What its tasks take, of machines and of time. */
static int decode_amounts(const msgpack_object *o, rr_submission *s, const char **field) {
    const struct {
        const char *name;
        double *amount;
    } amounts[] = {{"vcpus", &s->cpus},
                   {"cards", &s->gpus},
                   {"mem_gb", &s->mem_gb},
                   {"pull_gb", &s->image_size_gb},
                   {"guess_s", &s->runtime_estimate_s},
                   {"cairn_s", &s->checkpoint_interval_s},
                   {"stash_s", &s->save_s}};
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        NEED(get_amount(o, amounts[i].name, 0, amounts[i].amount), amounts[i].name);
    }
    s->deadline_s = -1;
    NEED(!rr_map_get(o, "due_s") || get_amount(o, "due_s", 0, &s->deadline_s), "due_s");
    return 0;
}

/* Where they may run. */
static int decode_constraints(const msgpack_object *o, rr_submission *s, const char **field) {
    NEED(!rr_map_get(o, "ward") || get_name(o, "ward", s->zone, sizeof s->zone), "ward");
    NEED(rr_map_get_bool(o, "one_zone", &s->one_zone), "one_zone");
    NEED(rr_map_get_bool(o, "apart", &s->spread), "apart");
    NEED(rr_map_get_bool(o, "loaners", &s->spot), "loaners");
    NEED(get_machine_types(o, s), "builds"); /* last: it allocates */
    return 0;
}

int rr_submission_decode(const msgpack_object *o, rr_submission *s, const char **field) {
    memset(s, 0, sizeof *s);
    NEED(rr_object_is_map(o), "body");
    int rc = decode_identity(o, s, field);
    if (rc == 0) {
        rc = decode_amounts(o, s, field);
    }
    return rc == 0 ? decode_constraints(o, s, field) : rc;
}

size_t rr_submission_field_count(const rr_submission *s) {
    return 17 + (s->deadline_s >= 0) + (s->zone[0] != 0) + (s->machine_type_count > 0);
}

void rr_submission_encode_fields(rr_encoder *o, const rr_submission *s) {
    rr_encode_key_text(o, "ref", s->job_id);
    rr_encode_key_text(o, "lane", s->job_class);
    rr_encode_key_text(o, "crew", s->team);
    rr_encode_key_text(o, "cast", s->image);
    rr_encode_key_text(o, "shape", shapes[s->kind]);
    rr_encode_key_text(o, "rank", ranks[s->priority]);
    rr_encode_key_u64(o, "pieces", s->task_count);
    rr_encode_key_number(o, "vcpus", s->cpus);
    rr_encode_key_number(o, "cards", s->gpus);
    rr_encode_key_number(o, "mem_gb", s->mem_gb);
    rr_encode_key_number(o, "pull_gb", s->image_size_gb);
    rr_encode_key_number(o, "guess_s", s->runtime_estimate_s);
    rr_encode_key_number(o, "cairn_s", s->checkpoint_interval_s);
    rr_encode_key_number(o, "stash_s", s->save_s);
    if (s->deadline_s >= 0) {
        rr_encode_key_number(o, "due_s", s->deadline_s);
    }
    if (s->zone[0]) {
        rr_encode_key_text(o, "ward", s->zone);
    }
    if (s->machine_type_count) {
        rr_encode_text(o, "builds");
        rr_encode_array(o, (size_t)s->machine_type_count);
        for (int i = 0; i < s->machine_type_count; i++) {
            rr_encode_text(o, s->machine_types[i]);
        }
    }
    rr_encode_key_bool(o, "one_zone", s->one_zone);
    rr_encode_key_bool(o, "apart", s->spread);
    rr_encode_key_bool(o, "loaners", s->spot);
}

bool rr_task_name_parse(const char *text, char *ref, size_t size, uint32_t *task) {
    const char *slash = strrchr(text, '/');
    if (!slash || slash == text || (size_t)(slash - text) >= size) {
        return false;
    }
    char *end;
    unsigned long n = strtoul(slash + 1, &end, 10);
    if (!isdigit((unsigned char)slash[1]) || *end || n >= RR_TASKS_MAX) {
        return false;
    }
    memcpy(ref, text, (size_t)(slash - text));
    ref[slash - text] = 0;
    *task = (uint32_t)n;
    return true;
}

static enum rr_exit_reason exit_reason_of(const msgpack_object *o) {
    static const char *const names[] = {"done",   "halted",  "error", "full",
                                        "in_use", "no_such", "peers", "incomplete"};
    int i = index_of(o, names, G_N_ELEMENTS(names));
    return i < 0 ? RR_EXIT_OTHER : (enum rr_exit_reason)(RR_EXIT_DONE + i);
}

static bool task_status_decode(const msgpack_object *o, rr_task_status *p) {
    static const char *const names[] = {"fetching", "running", "flushing", "ended", "waiting"};
    char text[2 * RR_ID_SIZE];
    int standing = index_of(rr_map_get(o, "standing"), names, G_N_ELEMENTS(names));
    if (!rr_map_get_text(o, "piece", text, sizeof text) ||
        !rr_task_name_parse(text, p->job_id, sizeof p->job_id, &p->task) ||
        !rr_map_get_u64(o, "try", &p->attempt)) {
        return false;
    }
    /* An unknown standing (a state this version does not know) counts as on the machine. */
    p->state = standing < 0 ? RR_TASK_FETCHING : (enum rr_task_state)standing;
    p->exit_reason =
        p->state == RR_TASK_ENDED ? exit_reason_of(rr_map_get(o, "cause")) : RR_EXIT_NONE;
    return true;
}

int rr_heartbeat_decode(const msgpack_object *o, rr_heartbeat *r) {
    memset(r, 0, sizeof *r);
    r->tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    r->spot_notice_s = -1;
    const msgpack_object *list = rr_map_get(o, "pieces");
    if (!rr_map_get_text(o, "stone", r->machine, sizeof r->machine) || !r->machine[0] ||
        !rr_map_get_text(o, "addr", r->address, sizeof r->address) ||
        !rr_map_get_text(o, "build", r->machine_type, sizeof r->machine_type) ||
        !rr_map_get_text(o, "ward", r->zone, sizeof r->zone) ||
        !rr_map_get_bool(o, "loaners", &r->spot) ||
        !rr_map_get_u64(o, "tenure", &r->worker_epoch) ||
        !rr_map_get_u64(o, "tally", &r->sequence) ||
        !rr_map_get_u64(o, "warrant", &r->fencing_token) ||
        (list && list->type != MSGPACK_OBJECT_ARRAY) ||
        (rr_map_get(o, "recall_s") && !rr_map_get_number(o, "recall_s", &r->spot_notice_s))) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; list && i < list->via.array.size; i++) {
        rr_task_status p;
        /* A task list that can't be read whole proves nothing about what is absent. */
        if (!task_status_decode(&list->via.array.ptr[i], &p)) {
            return -EBADMSG;
        }
        g_array_append_val(r->tasks, p);
    }
    return 0;
}

void rr_heartbeat_clear(rr_heartbeat *r) {
    if (r->tasks) {
        g_array_free(r->tasks, TRUE);
        r->tasks = NULL;
    }
}

void rr_commands_encode(rr_encoder *o, uint64_t fencing_token, uint64_t worker_epoch,
                        const GArray *orders) {
    rr_encode_map(o, worker_epoch ? 3 : 2);
    rr_encode_key_u64(o, "warrant", fencing_token);
    if (worker_epoch) {
        rr_encode_key_u64(o, "tenure", worker_epoch);
    }
    rr_encode_text(o, "orders");
    rr_encode_array(o, orders ? orders->len : 0);
    for (guint i = 0; orders && i < orders->len; i++) {
        const rr_command *c = &g_array_index(orders, rr_command, i);
        char piece[2 * RR_ID_SIZE];
        g_snprintf(piece, sizeof piece, "%s/%u", c->job_id, c->task);
        rr_encode_map(o, c->kind == RR_COMMAND_STOP ? 4 : 3);
        rr_encode_key_text(o, "verb", verbs[c->kind]);
        rr_encode_key_text(o, "piece", piece);
        rr_encode_key_u64(o, "try", c->attempt);
        if (c->kind == RR_COMMAND_STOP) {
            rr_encode_key_number(o, "leave_s", c->grace_s);
        }
    }
}

int rr_machine_type_decode(const msgpack_object *o, rr_machine_type *b) {
    memset(b, 0, sizeof *b);
    b->zones = g_ptr_array_new_with_free_func(g_free);
    const msgpack_object *w = rr_map_get(o, "wards");
    if (!rr_map_get_text(o, "sku", b->name, sizeof b->name) ||
        !rr_map_get_number(o, "vcpus", &b->cpus) || !rr_map_get_number(o, "cards", &b->gpus) ||
        !rr_map_get_number(o, "mem_gb", &b->mem_gb) || !rr_map_get_number(o, "price", &b->price) ||
        !w || w->type != MSGPACK_OBJECT_ARRAY) {
        return -EBADMSG;
    }
    b->spot_price = b->price;
    rr_map_get_number(o, "spot_price", &b->spot_price);
    rr_map_get_number(o, "cache_gb", &b->cache_gb);
    rr_map_get_number(o, "pull_gb_per_s", &b->pull_rate);
    rr_map_get_number(o, "startup_s", &b->startup_s);
    for (uint32_t i = 0; i < w->via.array.size; i++) {
        char zone[RR_TEXT_SIZE];
        if (!rr_object_text(&w->via.array.ptr[i], zone, sizeof zone)) {
            return -EBADMSG;
        }
        g_ptr_array_add(b->zones, g_strdup(zone));
    }
    return 0;
}

void rr_machine_type_encode(rr_encoder *o, const rr_machine_type *b) {
    rr_encode_map(o, 10);
    rr_encode_key_text(o, "sku", b->name);
    rr_encode_key_number(o, "vcpus", b->cpus);
    rr_encode_key_number(o, "cards", b->gpus);
    rr_encode_key_number(o, "mem_gb", b->mem_gb);
    rr_encode_key_number(o, "cache_gb", b->cache_gb);
    rr_encode_key_number(o, "pull_gb_per_s", b->pull_rate);
    rr_encode_key_number(o, "price", b->price);
    rr_encode_key_number(o, "spot_price", b->spot_price);
    rr_encode_key_number(o, "startup_s", b->startup_s);
    rr_encode_text(o, "wards");
    rr_encode_array(o, b->zones->len);
    for (guint i = 0; i < b->zones->len; i++) {
        rr_encode_text(o, g_ptr_array_index(b->zones, i));
    }
}

void rr_machine_type_clear(rr_machine_type *b) {
    if (b->zones) {
        g_ptr_array_free(b->zones, TRUE);
        b->zones = NULL;
    }
}

int rr_listed_machine_decode(const msgpack_object *o, rr_listed_machine *s) {
    memset(s, 0, sizeof *s);
    const msgpack_object *st = rr_map_get(o, "standing");
    rr_map_get_text(o, "addr", s->address, sizeof s->address);
    if (!rr_map_get_text(o, "ref", s->id, sizeof s->id) ||
        !rr_map_get_text(o, "build", s->machine_type, sizeof s->machine_type) ||
        !rr_map_get_text(o, "ward", s->zone, sizeof s->zone) ||
        !rr_map_get_bool(o, "loaners", &s->spot)) {
        return -EBADMSG;
    }
    rr_map_get_number(o, "age_s", &s->age_s);
    if (rr_object_text_equals(st, "running")) {
        s->state = RR_LISTED_RUNNING;
    } else if (rr_object_text_equals(st, "failed")) {
        s->state = RR_LISTED_FAILED;
    } else {
        s->state = RR_LISTED_STARTING;
    }
    return 0;
}

/* FNV-1a. */
static uint64_t mix(uint64_t h, const void *data, size_t n) {
    const unsigned char *p = data;
    for (size_t i = 0; i < n; i++) {
        h = (h ^ p[i]) * 1099511628211ULL;
    }
    return h;
}

uint64_t rr_heartbeat_hash(const rr_heartbeat *r) {
    uint64_t h = mix(1469598103934665603ULL, &r->fencing_token, sizeof r->fencing_token);
    uint8_t notice = r->spot_notice_s >= 0;
    h = mix(h, &notice, 1);
    for (guint i = 0; r->tasks && i < r->tasks->len; i++) {
        const rr_task_status *p = &g_array_index(r->tasks, rr_task_status, i);
        uint8_t state[2] = {(uint8_t)p->state, (uint8_t)p->exit_reason};
        h = mix(h, p->job_id, strlen(p->job_id) + 1);
        h = mix(h, &p->task, sizeof p->task);
        h = mix(h, &p->attempt, sizeof p->attempt);
        h = mix(h, state, sizeof state);
    }
    return h;
}
