#include "world.h"

#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

/* ======== the record ======== */

static FILE *record_file;
static double record_started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

void record_open(const char *path) {
    record_file = fopen(path, "w");
    record_started_at = rr_steady_clock_s();
}

void record_close(void) {
    pthread_mutex_lock(&record_lock);
    if (record_file) {
        fclose(record_file);
    }
    record_file = NULL;
    pthread_mutex_unlock(&record_lock);
}

double record_now(void) {
    return rr_steady_clock_s() - record_started_at;
}

void record(const char *format, ...) {
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    if (record_file) {
        fprintf(record_file, "%8.3f ", record_now());
        va_start(arguments, format);
        vfprintf(record_file, format, arguments);
        va_end(arguments);
        fputc('\n', record_file);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

/* ======== state ======== */

struct row {
    void *data;
    size_t length;
    guint64 version, lease;
};

struct change {
    char *key;
    void *data; /* NULL: deleted */
    size_t length;
    guint64 version;
};

struct hold {
    double life_s, expires_at;
};

struct late_commit {
    double at;
    guint8 *body;
    size_t length;
};

enum task_state { FETCHING, RUNNING, FLUSHING, ENDED };
static const char *const task_state_names[] = {"fetching", "running", "flushing", "ended"};

struct task {
    char name[96];
    guint64 attempt;
    struct job *job;
    int piece;
    enum task_state state;
    const char *cause;
    bool saved;
    double since;    /* of the state */
    double ready_at; /* image */
    double ends_at;  /* of running (INFINITY: service) or flushing */
    int run;         /* index in world->runs, -1: not on the machine yet */
};

struct late_command {
    double at;
    guint8 *body;
    size_t length;
};

struct machine {
    struct world *world;
    int index;
    char name[32], address[40], zone[32];
    bool spot;
    int port;
    double created_at, up_at, gone_at;
    bool up, gone, hung, mute, deaf;
    guint64 tenure, tally, token;
    double session_began_at, answered_sent_at;
    double token_change_at;
    GArray *tasks, *images; /* struct task; char* */
    GArray *late;           /* struct late_command */
    GArray *carried_out;    /* struct late_command: direct commands that have been executed */
    struct http_server *server;
    pthread_t thread;
    bool thread_started;
    double next_report_at, last_report_at;
    bool changed;
    int controller; /* that it reports to */
};

struct rental {
    char name[64];
    GPtrArray *machines;
};

struct world {
    struct world_settings settings;
    char folder[200];
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping;
    /* state service */
    GTree *rows;
    GPtrArray *log;
    guint64 epoch, last_lease;
    GHashTable *holds;
    bool state_down;
    double request_tokens, write_tokens, tokens_at;
    GArray *late_commits;
    const char *lose_prefix; /* of a key in the transaction from which answers are lost; or NULL */
    double lose_s, lost_until;
    struct controller *lost_at;
    /* cloud */
    bool cloud_down;
    double cloud_tokens, cloud_tokens_at;
    GPtrArray *rentals;
    struct machine *machines[WORLD_MACHINES_MAX];
    int machine_count, next_machine;
    /* workers */
    GHashTable *jobs;      /* id -> struct job *, not owned */
    GHashTable *progress;  /* task name -> double *: saved progress */
    GHashTable *completed; /* job id of its user, "/", piece */
    GArray *runs;
    double late_command_share, late_command_min_s, late_command_max_s;
    world_start_fn on_start;
    void *on_start_user;
    /* controllers */
    struct controller controllers[WORLD_CONTROLLERS_MAX];
    struct http_server *state_servers[WORLD_CONTROLLERS_MAX], *cloud_servers[WORLD_CONTROLLERS_MAX];
    pthread_t clock_thread;
    GRand *random;
};

/* The ports lie below those that the system gives to outgoing connections, so that none of these
 * takes one before its listener starts. No port is returned twice. */
int find_free_port(const char *address) {
    static bool given[65536];
    struct sockaddr_in to = {.sin_family = AF_INET};
    inet_pton(AF_INET, address, &to.sin_addr);
    for (int i = 0; i < 1000; i++) {
        int port = g_random_int_range(12000, 30000), one = 1;
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        to.sin_port = htons((uint16_t)port);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        bool is_free = bind(fd, (struct sockaddr *)&to, sizeof to) == 0 && listen(fd, 1) == 0;
        close(fd);
        if (is_free && !given[port]) {
            given[port] = true;
            return port;
        }
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

/* ======== the state service ======== */

/* Returns the size of a value as JSON. */
static size_t json_size(const msgpack_object *value) {
    char text[40];
    size_t size = 2;
    switch (value->type) {
    case MSGPACK_OBJECT_NIL:
    case MSGPACK_OBJECT_BOOLEAN:
        return 5;
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)value->via.u64);
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
        return (size_t)snprintf(text, sizeof text, "%lld", (long long)value->via.i64);
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        return (size_t)snprintf(text, sizeof text, "%.12g", value->via.f64) + 2;
    case MSGPACK_OBJECT_STR:
        return value->via.str.size + 2;
    case MSGPACK_OBJECT_ARRAY:
        for (uint32_t i = 0; i < value->via.array.size; i++) {
            size += json_size(&value->via.array.ptr[i]) + 1;
        }
        return size;
    case MSGPACK_OBJECT_MAP:
        for (uint32_t i = 0; i < value->via.map.size; i++) {
            size +=
                json_size(&value->via.map.ptr[i].key) + json_size(&value->via.map.ptr[i].val) + 2;
        }
        return size;
    default:
        return 10;
    }
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer user) {
    (void)user;
    return strcmp(left, right);
}

static void row_free(gpointer data) {
    struct row *row = data;
    g_free(row->data);
    g_free(row);
}

static void change_free(gpointer data) {
    struct change *change = data;
    g_free(change->key);
    g_free(change->data);
    g_free(change);
}

static void write_row(struct world *world, const char *key, const msgpack_object *value,
                      guint64 lease) {
    struct change *change = g_new0(struct change, 1);
    change->key = g_strdup(key);
    change->version = world->epoch;
    if (value) {
        msgpack_sbuffer buffer;
        msgpack_packer packer;
        msgpack_sbuffer_init(&buffer);
        msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
        msgpack_pack_object(&packer, *value);
        struct row *row = g_new0(struct row, 1);
        row->data = g_memdup2(buffer.data, buffer.size);
        row->length = change->length = buffer.size;
        row->version = world->epoch;
        row->lease = lease;
        change->data = g_memdup2(buffer.data, buffer.size);
        g_tree_replace(world->rows, g_strdup(key), row);
        msgpack_sbuffer_destroy(&buffer);
    } else {
        g_tree_remove(world->rows, key);
    }
    g_ptr_array_add(world->log, change);
}

static int answer_text_error(rr_encoder *out, int status, const char *text) {
    rr_encode_map(out, 1);
    rr_encode_key_text(out, "error", text);
    return status;
}

static uint32_t count_items(const msgpack_object *list) {
    return list && list->type == MSGPACK_OBJECT_ARRAY ? list->via.array.size : 0;
}

/* Carries out a transaction. out may be NULL. Caller holds the lock. */
static int commit(struct world *world, const msgpack_object *request, rr_encoder *out) {
    const msgpack_object *guards = rr_map_get(request, "guards"),
                         *apply = rr_map_get(request, "apply");
    char key[256];
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < count_items(apply); i++) {
        uint64_t lease = 0;
        rr_map_get_u64(&apply->via.array.ptr[i], "tether", &lease);
        if (lease && !g_hash_table_contains(world->holds, &lease)) {
            g_ptr_array_free(failed, TRUE);
            return out ? answer_text_error(out, 400, "no such lease") : 400;
        }
    }
    for (uint32_t i = 0; i < count_items(guards); i++) {
        uint64_t version = 0;
        rr_map_get_text(&guards->via.array.ptr[i], "path", key, sizeof key);
        rr_map_get_u64(&guards->via.array.ptr[i], "mark", &version);
        const struct row *row = g_tree_lookup(world->rows, key);
        if ((row ? row->version : 0) != version) {
            g_ptr_array_add(failed, g_strdup(key));
        }
    }
    bool holds = failed->len == 0;
    if (holds && count_items(apply) > 0) {
        world->epoch++;
        for (uint32_t i = 0; i < count_items(apply); i++) {
            const msgpack_object *change = &apply->via.array.ptr[i];
            uint64_t lease = 0;
            rr_map_get_u64(change, "tether", &lease);
            if (rr_map_get_text(change, "put", key, sizeof key)) {
                write_row(world, key, rr_map_get(change, "v"), lease);
            } else if (rr_map_get_text(change, "delete", key, sizeof key)) {
                write_row(world, key, NULL, 0);
            }
        }
        pthread_cond_broadcast(&world->changed);
    }
    if (out) {
        rr_encode_map(out, holds ? 1 : 2);
        rr_encode_key_u64(out, "epoch", world->epoch);
        if (!holds) {
            rr_encode_text(out, "failed");
            rr_encode_array(out, failed->len);
            for (guint i = 0; i < failed->len; i++) {
                rr_encode_text(out, failed->pdata[i]);
            }
        }
    }
    g_ptr_array_free(failed, TRUE);
    return holds ? 200 : 409;
}

static bool exceeds_limits(const struct world *world, const msgpack_object *request) {
    const msgpack_object *guards = rr_map_get(request, "guards"),
                         *apply = rr_map_get(request, "apply");
    if ((int)count_items(apply) > world->settings.txn_ops ||
        (int)count_items(guards) > 4 * world->settings.txn_ops || json_size(request) > 64 * 1024) {
        return true;
    }
    for (uint32_t i = 0; i < count_items(apply); i++) {
        const msgpack_object *value = rr_map_get(&apply->via.array.ptr[i], "v");
        if (value && (double)json_size(value) > world->settings.value_kb * 1024) {
            return true;
        }
    }
    return false;
}

struct key_search {
    guint64 lease;
    const char *key;
};

static gboolean find_key_of_lease(gpointer key, gpointer value, gpointer user) {
    struct key_search *search = user;
    if (((struct row *)value)->lease == search->lease) {
        search->key = key;
        return TRUE;
    }
    return FALSE;
}

static void end_hold(struct world *world, guint64 lease) {
    struct key_search search = {.lease = lease};
    g_hash_table_remove(world->holds, &lease);
    for (;;) {
        search.key = NULL;
        g_tree_foreach(world->rows, find_key_of_lease, &search);
        if (!search.key) {
            break;
        }
        char *key = g_strdup(search.key);
        world->epoch++;
        write_row(world, key, NULL, 0);
        g_free(key);
    }
    pthread_cond_broadcast(&world->changed);
}

static void expire_holds(struct world *world, double now) {
    GHashTableIter iter;
    gpointer key, value;
    guint64 ended[64];
    int count = 0;
    g_hash_table_iter_init(&iter, world->holds);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct hold *hold = value;
        if (world->state_down) {
            hold->expires_at = now + hold->life_s;
        } else if (hold->expires_at < now && count < 64) {
            ended[count++] = *(guint64 *)key;
        }
    }
    for (int i = 0; i < count; i++) {
        record("state: lease %" G_GUINT64_FORMAT " of %s has ended", ended[i],
               world->settings.name);
        end_hold(world, ended[i]);
    }
}

struct listing {
    const char *starts, *from;
    int limit, count;
    size_t bytes;
    bool more;
    GPtrArray *keys;
};

static gboolean list_row(gpointer key, gpointer value, gpointer user) {
    struct listing *listing = user;
    const struct row *row = value;
    if (!g_str_has_prefix(key, listing->starts) ||
        (listing->from[0] && strcmp(key, listing->from) <= 0)) {
        return FALSE;
    }
    if (listing->count >= listing->limit || listing->bytes + row->length > 300 * 1024) {
        listing->more = true;
        return TRUE;
    }
    listing->count++;
    listing->bytes += row->length;
    g_ptr_array_add(listing->keys, key);
    return FALSE;
}

static void encode_row(rr_encoder *out, const char *key, const struct row *row) {
    rr_encode_map(out, 4);
    rr_encode_key_text(out, "path", key);
    rr_encode_text(out, "v");
    msgpack_sbuffer_write(&out->buffer, row->data, row->length);
    rr_encode_key_u64(out, "mark", row->version);
    rr_encode_key_u64(out, "tether", row->lease);
}

static int list_rows(struct world *world, const char *target, rr_encoder *out) {
    char starts[256], from[256], limit[20];
    http_argument(target, "starts", starts, sizeof starts);
    http_argument(target, "from", from, sizeof from);
    http_argument(target, "limit", limit, sizeof limit);
    struct listing listing = {.starts = starts,
                              .from = from,
                              .limit = limit[0] ? atoi(limit) : 1000,
                              .keys = g_ptr_array_new()};
    listing.limit = MIN(listing.limit, 1000);
    g_tree_foreach(world->rows, list_row, &listing);
    rr_encode_map(out, 3);
    rr_encode_text(out, "rows");
    rr_encode_array(out, listing.keys->len);
    for (guint i = 0; i < listing.keys->len; i++) {
        encode_row(out, listing.keys->pdata[i], g_tree_lookup(world->rows, listing.keys->pdata[i]));
    }
    rr_encode_key_bool(out, "more", listing.more);
    rr_encode_key_u64(out, "epoch", world->epoch);
    g_ptr_array_free(listing.keys, TRUE);
    return 200;
}

static void wait_changed(struct world *world, double until) {
    struct timespec time = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(&world->changed, &world->lock, &time);
}

static bool changed_after(const struct world *world, const char *starts, guint64 from) {
    for (guint i = world->log->len; i > 0; i--) {
        const struct change *change = world->log->pdata[i - 1];
        if (change->version <= from) {
            return false;
        }
        if (g_str_has_prefix(change->key, starts)) {
            return true;
        }
    }
    return false;
}

static int watch(const struct controller *controller, const char *target, rr_encoder *out) {
    struct world *world = controller->world;
    char starts[256], from_text[32], hold_text[32];
    http_argument(target, "starts", starts, sizeof starts);
    http_argument(target, "from", from_text, sizeof from_text);
    http_argument(target, "hold_ms", hold_text, sizeof hold_text);
    guint64 from = g_ascii_strtoull(from_text, NULL, 10);
    double until = rr_steady_clock_s() + MIN(g_ascii_strtod(hold_text, NULL), 60000) / 1000;
    for (;;) {
        bool open = world->state_down || controller->refused; /* waits as in an outage */
        if (world->stopping ||
            (!open && (changed_after(world, starts, from) || rr_steady_clock_s() >= until))) {
            break;
        }
        wait_changed(world,
                     open ? rr_steady_clock_s() + 0.1 : MIN(until, rr_steady_clock_s() + 0.5));
    }
    if (world->log->len > 10000 &&
        ((const struct change *)world->log->pdata[world->log->len - 10000])->version > from + 1) {
        return 410;
    }
    guint first = world->log->len;
    while (first > 0 && ((const struct change *)world->log->pdata[first - 1])->version > from) {
        first--;
    }
    guint count = 0;
    for (guint i = first; i < world->log->len; i++) {
        count += g_str_has_prefix(((const struct change *)world->log->pdata[i])->key, starts);
    }
    rr_encode_map(out, 2);
    rr_encode_key_u64(out, "epoch", world->epoch);
    rr_encode_text(out, "log");
    rr_encode_array(out, count);
    for (guint i = first; i < world->log->len; i++) {
        const struct change *change = world->log->pdata[i];
        if (!g_str_has_prefix(change->key, starts)) {
            continue;
        }
        rr_encode_map(out, change->data ? 3 : 2);
        rr_encode_key_text(out, change->data ? "put" : "delete", change->key);
        if (change->data) {
            rr_encode_text(out, "v");
            msgpack_sbuffer_write(&out->buffer, change->data, change->length);
        }
        rr_encode_key_u64(out, "mark", change->version);
    }
    return 200;
}

/* Takes tokens of the limits. Returns false if the request exceeds them. */
static bool take_tokens(struct world *world, double writes) {
    double now = rr_steady_clock_s(), elapsed = now - world->tokens_at;
    const struct world_settings *settings = &world->settings;
    world->tokens_at = now;
    world->request_tokens =
        MIN(world->request_tokens + elapsed * settings->state_rps, settings->state_rps);
    world->write_tokens =
        MIN(world->write_tokens + elapsed * settings->state_write_rps, settings->state_write_rps);
    if (world->request_tokens < 1 || world->write_tokens < writes) {
        return false;
    }
    world->request_tokens -= 1;
    world->write_tokens -= writes;
    return true;
}

static int answer_hold(struct world *world, const char *method, const char *path,
                       const msgpack_object *request, rr_encoder *out) {
    if (strcmp(path, "/holds") == 0) {
        double life_ms = 0;
        struct hold *hold = g_new0(struct hold, 1);
        rr_map_get_number(request, "life_ms", &life_ms);
        *hold = (struct hold){life_ms / 1000, rr_steady_clock_s() + life_ms / 1000};
        guint64 *key = g_new(guint64, 1);
        *key = ++world->last_lease;
        g_hash_table_insert(world->holds, key, hold);
        rr_encode_map(out, 1);
        rr_encode_key_u64(out, "tether", *key);
        return 200;
    }
    guint64 lease = g_ascii_strtoull(path + strlen("/holds/"), NULL, 10);
    struct hold *hold = g_hash_table_lookup(world->holds, &lease);
    if (!hold) {
        return 404;
    }
    if (strcmp(method, "DELETE") == 0) {
        end_hold(world, lease);
    } else {
        hold->expires_at = rr_steady_clock_s() + hold->life_s;
    }
    rr_encode_map(out, 0);
    return 200;
}

static int state_request(struct controller *controller, const char *method, const char *target,
                         const msgpack_object *request, const void *body, size_t length,
                         rr_encoder *out) {
    struct world *world = controller->world;
    bool is_commit = strcmp(target, "/commit") == 0;
    double writes = is_commit ? count_items(rr_map_get(request, "apply")) : 0;
    if (!take_tokens(world, writes)) {
        return 429;
    }
    if (g_str_has_prefix(target, "/watch?")) {
        return watch(controller, target, out);
    }
    if (world->state_down || controller->refused) {
        return answer_text_error(out, 503, "refused");
    }
    if (is_commit) {
        if (!rr_object_is_map(request) || exceeds_limits(world, request)) {
            record("state: transaction of %s exceeds the limits", controller->name);
            return answer_text_error(out, 400, "limits");
        }
        if (writes > 0 && g_rand_double(world->random) < controller->late_share) {
            struct late_commit late = {rr_steady_clock_s() +
                                           g_rand_double_range(world->random, 2, 12),
                                       g_memdup2(body, length), length};
            g_array_append_val(world->late_commits, late);
            return HTTP_HOLD;
        }
        int status = commit(world, request, out);
        bool lost = writes > 0 && g_rand_double(world->random) < controller->lost_share;
        return lost ? HTTP_HOLD : status;
    }
    if (g_str_has_prefix(target, "/store?")) {
        return list_rows(world, target, out);
    }
    if (g_str_has_prefix(target, "/store/")) {
        const char *key = target + strlen("/store/");
        const struct row *row = g_tree_lookup(world->rows, key);
        if (!row) {
            rr_encode_map(out, 1);
            rr_encode_key_u64(out, "epoch", world->epoch);
            return 404;
        }
        encode_row(out, key, row);
        return 200;
    }
    if (g_str_has_prefix(target, "/holds")) {
        return answer_hold(world, method, target, request, out);
    }
    return 400;
}

/* Returns whether the transaction puts a key with the prefix. */
static bool puts_key(const msgpack_object *request, const char *prefix) {
    const msgpack_object *apply = request ? rr_map_get(request, "apply") : NULL;
    for (uint32_t i = 0; i < count_items(apply); i++) {
        char key[256] = "";
        rr_map_get_text(&apply->via.array.ptr[i], "put", key, sizeof key);
        if (g_str_has_prefix(key, prefix)) {
            return true;
        }
    }
    return false;
}

static bool answers_are_lost(const struct controller *controller) {
    const struct world *world = controller->world;
    return world->lost_at == controller && rr_steady_clock_s() < world->lost_until;
}

void world_lose_answers(struct world *world, const char *key_prefix, double seconds) {
    pthread_mutex_lock(&world->lock);
    world->lose_prefix = key_prefix;
    world->lose_s = seconds;
    pthread_mutex_unlock(&world->lock);
}

struct controller *world_lost_at(struct world *world) {
    pthread_mutex_lock(&world->lock);
    struct controller *controller = world->lost_at;
    pthread_mutex_unlock(&world->lock);
    return controller;
}

static int on_state_request(void *user, const char *method, const char *target,
                            const msgpack_object *request, const void *body, size_t length,
                            rr_encoder *out) {
    struct controller *controller = user;
    struct world *world = controller->world;
    if (controller->mute) {
        return HTTP_HOLD;
    }
    pthread_mutex_lock(&world->lock);
    if (answers_are_lost(controller)) {
        pthread_mutex_unlock(&world->lock);
        return HTTP_HOLD;
    }
    int status = state_request(controller, method, target, request, body, length, out);
    if (world->lose_prefix && status == 200 && puts_key(request, world->lose_prefix)) {
        record("state: a transaction of %s is carried out, its answer is lost", controller->name);
        world->lose_prefix = NULL;
        world->lost_at = controller;
        world->lost_until = rr_steady_clock_s() + world->lose_s;
    }
    if (answers_are_lost(controller)) {
        status = HTTP_HOLD;
    }
    pthread_mutex_unlock(&world->lock);
    if (controller->delay_s > 0 && !g_str_has_prefix(target, "/watch?")) {
        rr_sleep(controller->delay_s);
    }
    return controller->mute ? HTTP_HOLD : status;
}

/* ======== machines and workers ======== */

static double image_fetch_s(const struct machine *machine, const struct job *job) {
    for (guint i = 0; i < machine->images->len; i++) {
        if (strcmp(g_array_index(machine->images, char *, i), job->cast) == 0) {
            return 0;
        }
    }
    double rate = machine->world->settings.pull_gb_per_s;
    return rate > 0 ? job->pull_gb / rate : 0;
}

static void leave_machine(struct machine *machine, struct task *task, const char *why) {
    if (task->run >= 0) {
        struct run *run = &g_array_index(machine->world->runs, struct run, task->run);
        if (run->until == 0) {
            run->until = rr_steady_clock_s();
            record("run: %s try %" G_GUINT64_FORMAT " (job %s) leaves %s: %s", task->name,
                   task->attempt, task->job->id, machine->name, why);
        }
    }
}

static void end_task(struct machine *machine, struct task *task, const char *cause, bool saved) {
    task->state = ENDED;
    task->cause = cause;
    task->saved = saved;
    task->since = rr_steady_clock_s();
    leave_machine(machine, task, cause);
    machine->changed = true;
}

static void completed_key(const struct task *task, char *out, size_t size) {
    g_snprintf(out, size, "%s/%d", task->job->id, task->piece);
}

/* The task has its image: it is on the machine from now on. */
static void begin_running(struct machine *machine, struct task *task) {
    struct world *world = machine->world;
    char key[96];
    double now = rr_steady_clock_s();
    struct run run = {
        .job = task->job, .piece = task->piece, .attempt = task->attempt, .from = now};
    g_strlcpy(run.machine, machine->name, sizeof run.machine);
    g_strlcpy(run.zone, machine->zone, sizeof run.zone);
    g_strlcpy(run.name, task->name, sizeof run.name);
    task->run = (int)world->runs->len;
    record("run: %s try %" G_GUINT64_FORMAT " (job %s) is on %s in %s", task->name, task->attempt,
           task->job->id, machine->name, machine->zone);
    if (world->on_start) {
        world->on_start(world->on_start_user, &run, world->runs);
    }
    g_array_append_val(world->runs, run);
    char *image = g_strdup(task->job->cast);
    if (image_fetch_s(machine, task->job) > 0) {
        g_array_append_val(machine->images, image);
    }
    completed_key(task, key, sizeof key);
    if (g_hash_table_contains(world->completed, key)) {
        end_task(machine, task, "done", false);
        return;
    }
    const double *saved = g_hash_table_lookup(world->progress, key);
    task->state = RUNNING;
    task->since = now;
    const struct job *job = task->job;
    bool is_long = task->piece >= job->long_from && task->piece < job->long_to;
    double run_s = is_long ? job->long_run_s : job->run_s;
    task->ends_at = run_s > 0 ? now + run_s - (saved ? *saved : 0) : INFINITY;
    machine->changed = true;
}

static void complete_task(struct machine *machine, struct task *task) {
    char key[96];
    completed_key(task, key, sizeof key);
    g_hash_table_add(machine->world->completed, g_strdup(key));
    if (task->job->piece_done) {
        task->job->piece_done[task->piece] = 1;
    }
    end_task(machine, task, "done", false);
}

static void save_progress(struct machine *machine, struct task *task, double from_running) {
    char key[96];
    double *progress = g_new0(double, 1);
    completed_key(task, key, sizeof key);
    const double *saved = g_hash_table_lookup(machine->world->progress, key);
    *progress = (saved ? *saved : 0) + from_running;
    g_hash_table_replace(machine->world->progress, g_strdup(key), progress);
}

/* Moves the machine's tasks on. Caller holds the lock. */
static void advance_machine(struct machine *machine, double now) {
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct task *task = &g_array_index(machine->tasks, struct task, i);
        if (task->state == FETCHING && now >= task->ready_at) {
            begin_running(machine, task);
        } else if (task->state == RUNNING && now >= task->ends_at) {
            complete_task(machine, task);
        } else if (task->state == FLUSHING && now >= task->ends_at) {
            end_task(machine, task, "halted", true);
        }
    }
    double base = machine->answered_sent_at;
    if (now - base > machine->world->settings.lease_s) {
        bool any = false;
        for (guint i = 0; i < machine->tasks->len; i++) {
            struct task *task = &g_array_index(machine->tasks, struct task, i);
            any = any || task->state != ENDED;
            if (task->state != ENDED) {
                leave_machine(machine, task, "lease expired");
            }
        }
        record("worker %s: lease expired, session %" G_GUINT64_FORMAT " begins%s", machine->name,
               machine->tenure + 1, any ? ", tasks killed" : "");
        g_array_set_size(machine->tasks, 0);
        machine->tenure++;
        machine->tally = 0;
        machine->answered_sent_at = now;
        machine->changed = true;
    }
}

static struct task *find_task(const struct machine *machine, const char *name, guint64 attempt) {
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct task *task = &g_array_index(machine->tasks, struct task, i);
        if (task->attempt == attempt && strcmp(task->name, name) == 0) {
            return task;
        }
    }
    return NULL;
}

static void refuse_start(struct machine *machine, struct task *task, const char *cause) {
    task->state = ENDED;
    task->cause = cause;
    g_array_append_val(machine->tasks, *task);
    record("worker %s: start of %s refused: %s", machine->name, task->name, cause);
}

static void start_task(struct machine *machine, const char *name, guint64 attempt) {
    struct world *world = machine->world;
    const struct world_settings *settings = &world->settings;
    double now = rr_steady_clock_s(), vcpus = 0, cards = 0, mem_gb = 0;
    struct task task = {.attempt = attempt, .since = now, .run = -1};
    char id[64];
    uint32_t piece;
    g_strlcpy(task.name, name, sizeof task.name);
    if (!rr_task_name_parse(name, id, sizeof id, &piece)) {
        return;
    }
    task.piece = (int)piece;
    task.job = g_hash_table_lookup(world->jobs, id);
    if (!task.job || task.piece >= task.job->pieces) {
        refuse_start(machine, &task, "no_such");
        return;
    }
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct task *other = &g_array_index(machine->tasks, struct task, i);
        if (other->state == ENDED) {
            continue;
        }
        if (strcmp(other->name, name) == 0) {
            refuse_start(machine, &task, "in_use");
            return;
        }
        vcpus += other->job->vcpus;
        cards += other->job->cards;
        mem_gb += other->job->mem_gb;
    }
    if (vcpus + task.job->vcpus > settings->vcpus + 1e-6 ||
        cards + task.job->cards > settings->cards + 1e-6 ||
        mem_gb + task.job->mem_gb > settings->mem_gb + 1e-6) {
        refuse_start(machine, &task, "full");
        return;
    }
    task.state = FETCHING;
    task.ready_at = now + image_fetch_s(machine, task.job);
    g_array_append_val(machine->tasks, task);
    record("worker %s: start of %s try %" G_GUINT64_FORMAT, machine->name, name, attempt);
}

static void stop_task(struct machine *machine, struct task *task, double leave_s) {
    double now = rr_steady_clock_s();
    if (task->state == FLUSHING) {
        if (leave_s <= 0) {
            end_task(machine, task, "halted", false);
        }
        return;
    }
    record("worker %s: stop of %s try %" G_GUINT64_FORMAT ", leave_s %.1f", machine->name,
           task->name, task->attempt, leave_s);
    if (task->state == RUNNING && task->job->cairn_s > 0) {
        double ran = now - task->since;
        bool saves = leave_s >= task->job->stash_s;
        save_progress(machine, task,
                      saves ? ran : floor(ran / task->job->cairn_s) * task->job->cairn_s);
        if (saves) {
            task->state = FLUSHING;
            task->ends_at = now + task->job->stash_s;
            machine->changed = true;
            return;
        }
    }
    end_task(machine, task, "halted", false);
}

static void execute(struct machine *machine, const msgpack_object *orders) {
    for (uint32_t i = 0; i < count_items(orders); i++) {
        const msgpack_object *order = &orders->via.array.ptr[i], *verb = rr_map_get(order, "verb");
        char name[96] = "";
        uint64_t attempt = 0;
        double leave_s = 0;
        rr_map_get_text(order, "piece", name, sizeof name);
        rr_map_get_u64(order, "try", &attempt);
        rr_map_get_number(order, "leave_s", &leave_s);
        struct task *task = find_task(machine, name, attempt);
        if (rr_object_text_equals(verb, "start") && !task) {
            start_task(machine, name, attempt);
            machine->changed = true;
        } else if (rr_object_text_equals(verb, "stop") && task && task->state != ENDED) {
            stop_task(machine, task, leave_s);
        } else if (rr_object_text_equals(verb, "reap") && task && task->state == ENDED) {
            g_array_remove_index(machine->tasks,
                                 (guint)(task - (struct task *)(void *)machine->tasks->data));
            machine->changed = true;
        }
    }
    advance_machine(machine, rr_steady_clock_s());
}

static void see_token(struct machine *machine, guint64 token) {
    double now = rr_steady_clock_s();
    if (token > machine->token) {
        machine->token = token;
        if (now - machine->token_change_at > machine->world->settings.lease_s / 2) {
            machine->token_change_at = now;
            machine->changed = true;
        }
    }
}

static void encode_report(struct machine *machine, rr_encoder *out) {
    rr_encode_map(out, 9);
    rr_encode_key_text(out, "stone", machine->name);
    rr_encode_key_text(out, "addr", machine->address);
    rr_encode_key_text(out, "build", machine->world->settings.sku);
    rr_encode_key_text(out, "ward", machine->zone);
    rr_encode_key_bool(out, "loaners", machine->spot);
    rr_encode_key_u64(out, "tenure", machine->tenure);
    rr_encode_key_u64(out, "tally", ++machine->tally);
    rr_encode_key_u64(out, "warrant", machine->token);
    rr_encode_text(out, "pieces");
    rr_encode_array(out, machine->tasks->len);
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct task *task = &g_array_index(machine->tasks, struct task, i);
        bool ended = task->state == ENDED;
        rr_encode_map(out, ended ? (task->saved ? 5 : 4) : 3);
        rr_encode_key_text(out, "piece", task->name);
        rr_encode_key_u64(out, "try", task->attempt);
        rr_encode_key_text(out, "standing", task_state_names[task->state]);
        if (ended) {
            rr_encode_key_text(out, "cause", task->cause);
            if (task->saved) {
                rr_encode_key_bool(out, "saved", true);
            }
        }
    }
}

/* Executes a direct command. Caller holds the lock. */
static int execute_direct(struct machine *machine, const msgpack_object *request, rr_encoder *out) {
    uint64_t token, tenure;
    if (!rr_map_get_u64(request, "warrant", &token) ||
        !rr_map_get_u64(request, "tenure", &tenure)) {
        return 400;
    }
    advance_machine(machine, rr_steady_clock_s());
    bool matches = token >= machine->token && tenure == machine->tenure;
    if (matches) {
        see_token(machine, token);
        execute(machine, rr_map_get(request, "orders"));
    }
    if (out) {
        encode_report(machine, out);
    }
    return matches ? 200 : 409;
}

static int on_worker_request(void *user, const char *method, const char *target,
                             const msgpack_object *request, const void *body, size_t length,
                             rr_encoder *out) {
    struct machine *machine = user;
    struct world *world = machine->world;
    int status = 404;
    (void)method;
    pthread_mutex_lock(&world->lock);
    while (machine->hung && !machine->gone && !world->stopping) { /* goes on later */
        pthread_mutex_unlock(&world->lock);
        rr_sleep(0.02);
        pthread_mutex_lock(&world->lock);
    }
    bool is_do = strcmp(target, "/do") == 0;
    if (machine->gone || machine->deaf) {
        status = HTTP_HOLD;
    } else if (is_do && g_rand_double(world->random) < world->late_command_share) {
        struct late_command late = {
            rr_steady_clock_s() + g_rand_double_range(world->random, world->late_command_min_s,
                                                      world->late_command_max_s),
            g_memdup2(body, length), length};
        g_array_append_val(machine->late, late);
        status = HTTP_HOLD;
    } else if (is_do) {
        status = execute_direct(machine, request, out);
        struct late_command copy = {0, g_memdup2(body, length), length};
        g_array_append_val(machine->carried_out, copy);
    } else if (strcmp(target, "/status") == 0) {
        encode_report(machine, out);
        status = 200;
    }
    pthread_mutex_unlock(&world->lock);
    return status;
}

static void run_late_commands(struct machine *machine, double now) {
    for (guint i = machine->late->len; i > 0; i--) {
        struct late_command late = g_array_index(machine->late, struct late_command, i - 1);
        if (late.at > now || machine->hung) {
            continue;
        }
        g_array_remove_index(machine->late, i - 1);
        rr_document document;
        if (rr_document_parse(&document, late.body, late.length) == 0) {
            int status = execute_direct(machine, document.root, NULL);
            record("worker %s: late command arrives: %d", machine->name, status);
        }
        rr_document_clear(&document);
        g_free(late.body);
    }
}

/* Returns whether the body of a direct command starts a task of the job. */
static bool starts_task_of(const struct late_command *command, const struct job *job) {
    rr_document document;
    bool found = false;
    if (rr_document_parse(&document, command->body, command->length) == 0) {
        const msgpack_object *orders = rr_map_get(document.root, "orders");
        for (uint32_t i = 0; i < count_items(orders); i++) {
            const msgpack_object *order = &orders->via.array.ptr[i];
            char name[96] = "";
            rr_map_get_text(order, "piece", name, sizeof name);
            found = found || (rr_object_text_equals(rr_map_get(order, "verb"), "start") &&
                              g_str_has_prefix(name, job->id) && name[strlen(job->id)] == '/');
        }
    }
    rr_document_clear(&document);
    return found;
}

int world_repeat_starts(struct world *world, const struct job *job) {
    int count = 0;
    pthread_mutex_lock(&world->lock);
    for (int i = 0; i < world->machine_count; i++) {
        struct machine *machine = world->machines[i];
        for (guint k = 0; k < machine->carried_out->len && !machine->gone; k++) {
            const struct late_command *command =
                &g_array_index(machine->carried_out, struct late_command, k);
            rr_document document;
            if (!starts_task_of(command, job) ||
                rr_document_parse(&document, command->body, command->length) != 0) {
                continue;
            }
            int status = execute_direct(machine, document.root, NULL);
            record("network: a command that started a task of %s reaches %s again: %d", job->id,
                   machine->name, status);
            rr_document_clear(&document);
            count++;
        }
    }
    pthread_mutex_unlock(&world->lock);
    return count;
}

/* Sends one report and does what its answer says. Called without the lock. */
static void send_report(struct machine *machine, rr_http_client *client) {
    struct world *world = machine->world;
    rr_encoder report;
    rr_http_reply reply;
    rr_document document;
    struct rr_endpoint endpoint = {.host = "127.0.0.1"};
    rr_encoder_init(&report);
    pthread_mutex_lock(&world->lock);
    encode_report(machine, &report);
    guint64 tenure = machine->tenure;
    double sent_at = rr_steady_clock_s();
    machine->changed = false;
    machine->last_report_at = sent_at;
    int index = machine->controller;
    endpoint.port = (uint16_t)world->controllers[index].bind_port;
    pthread_mutex_unlock(&world->lock);
    struct rr_http_call call = {.method = "POST",
                                .endpoint = &endpoint,
                                .path = "/hello",
                                .body = report.buffer.data,
                                .body_bytes = report.buffer.size,
                                .timeout_s = 4};
    int rc = machine->mute ? -EIO : rr_http_client_call(client, &call, &reply);
    if (machine->mute) {
        rr_sleep(0.5);
    }
    rr_encoder_clear(&report);
    double next_s = 1;
    pthread_mutex_lock(&world->lock);
    while (machine->hung && !machine->gone && !world->stopping) {
        pthread_mutex_unlock(&world->lock);
        rr_sleep(0.02);
        pthread_mutex_lock(&world->lock);
    }
    bool in_time = rr_steady_clock_s() - sent_at < 4;
    bool usable = rc == 0 && in_time && !machine->deaf &&
                  rr_document_parse(&document, reply.body->data, reply.body->len) == 0;
    if (usable && reply.status == 200) {
        uint64_t token = 0;
        next_s = world->settings.report_s * g_rand_double_range(world->random, 0.75, 1.25);
        advance_machine(machine, rr_steady_clock_s());
        if (rr_map_get_u64(document.root, "warrant", &token) && token >= machine->token &&
            tenure == machine->tenure) {
            machine->answered_sent_at = MAX(machine->answered_sent_at, sent_at);
            see_token(machine, token);
            execute(machine, rr_map_get(document.root, "orders"));
        }
    } else {
        char name[64] = "";
        int next = (index + 1) % world->settings.controllers;
        if (usable && reply.status == 421 &&
            rr_map_get_text(document.root, "answers_to", name, sizeof name)) {
            for (int i = 0; i < world->settings.controllers; i++) {
                if (strcmp(world->controllers[i].name, name) == 0 && i != index) {
                    next = i;
                    next_s = 0.2;
                }
            }
        }
        machine->controller = next;
    }
    if (rc == 0 && in_time && !machine->deaf) {
        rr_document_clear(&document);
    }
    machine->next_report_at = rr_steady_clock_s() + next_s;
    pthread_mutex_unlock(&world->lock);
}

static void *machine_main(void *argument) {
    struct machine *machine = argument;
    struct world *world = machine->world;
    rr_http_client *client = rr_http_client_create(NULL);
    for (;;) {
        pthread_mutex_lock(&world->lock);
        bool stopping = world->stopping || machine->gone;
        double now = rr_steady_clock_s();
        bool due = false;
        if (machine->up && !machine->hung && !stopping) {
            advance_machine(machine, now);
            run_late_commands(machine, now);
            due = now >= machine->next_report_at ||
                  (machine->changed && now - machine->last_report_at >= 0.5);
        } else if (!machine->up && now >= machine->up_at && !stopping) {
            machine->up = true;
            machine->tenure = 1;
            machine->session_began_at = machine->answered_sent_at = now;
            record("machine %s in %s is up", machine->name, machine->zone);
            due = true;
        }
        pthread_mutex_unlock(&world->lock);
        if (stopping) {
            break;
        }
        if (due) {
            send_report(machine, client);
        }
        rr_sleep(0.01);
    }
    rr_http_client_destroy(client);
    return NULL;
}

static struct machine *add_machine(struct world *world, const char *zone, bool spot,
                                   double boot_s) {
    struct machine *machine = g_new0(struct machine, 1);
    machine->world = world;
    machine->index = world->machine_count;
    g_snprintf(machine->name, sizeof machine->name, "vm-%06d", ++world->next_machine);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->tasks = g_array_new(FALSE, TRUE, sizeof(struct task));
    machine->images = g_array_new(FALSE, TRUE, sizeof(char *));
    machine->late = g_array_new(FALSE, TRUE, sizeof(struct late_command));
    machine->carried_out = g_array_new(FALSE, TRUE, sizeof(struct late_command));
    machine->created_at = rr_steady_clock_s();
    machine->up_at = machine->created_at + boot_s;
    machine->controller = g_rand_int_range(world->random, 0, world->settings.controllers);
    machine->port = find_free_port("127.0.0.1");
    g_snprintf(machine->address, sizeof machine->address, "127.0.0.1:%d", machine->port);
    machine->server = http_listen("127.0.0.1", machine->port, on_worker_request, machine);
    world->machines[world->machine_count++] = machine;
    pthread_create(&machine->thread, NULL, machine_main, machine);
    machine->thread_started = true;
    return machine;
}

static void remove_machine(struct machine *machine, const char *why) {
    if (machine->gone) {
        return;
    }
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct task *task = &g_array_index(machine->tasks, struct task, i);
        if (task->state != ENDED) {
            leave_machine(machine, task, why);
        }
    }
    g_array_set_size(machine->tasks, 0);
    machine->gone = true;
    machine->gone_at = rr_steady_clock_s();
    record("machine %s is gone: %s", machine->name, why);
}

/* ======== the cloud ======== */

static int answer_catalog(const struct world *world, rr_encoder *out) {
    const struct world_settings *settings = &world->settings;
    int zones = 0;
    while (settings->zones[zones]) {
        zones++;
    }
    rr_encode_map(out, 1);
    rr_encode_text(out, "builds");
    rr_encode_array(out, 1);
    rr_encode_map(out, 10);
    rr_encode_key_text(out, "sku", settings->sku);
    rr_encode_key_number(out, "vcpus", settings->vcpus);
    rr_encode_key_number(out, "cards", settings->cards);
    rr_encode_key_number(out, "mem_gb", settings->mem_gb);
    rr_encode_key_number(out, "cache_gb", 200);
    rr_encode_key_number(out, "pull_gb_per_s", settings->pull_gb_per_s);
    rr_encode_key_number(out, "price", settings->price);
    rr_encode_key_number(out, "spot_price", settings->spot_price);
    rr_encode_key_number(out, "startup_s", settings->startup_s);
    rr_encode_text(out, "wards");
    rr_encode_array(out, (size_t)zones);
    for (int i = 0; i < zones; i++) {
        rr_encode_text(out, settings->zones[i]);
    }
    return 200;
}

static int count_present(const struct world *world) {
    int count = 0;
    for (int i = 0; i < world->machine_count; i++) {
        count += !world->machines[i]->gone;
    }
    return count;
}

static int answer_rental(struct world *world, const msgpack_object *request, rr_encoder *out) {
    char name[64] = "", zone[64] = "";
    uint64_t count = 0;
    bool spot = false;
    rr_map_get_text(request, "hire", name, sizeof name);
    rr_map_get_text(request, "ward", zone, sizeof zone);
    rr_map_get_bool(request, "loaners", &spot);
    rr_map_get_u64(request, "how_many", &count);
    struct rental *rental = NULL;
    for (guint i = 0; i < world->rentals->len; i++) {
        struct rental *other = world->rentals->pdata[i];
        rental = strcmp(other->name, name) == 0 ? other : rental;
    }
    if (!rental) {
        if (count_present(world) >= world->settings.machines_max ||
            world->machine_count >= WORLD_MACHINES_MAX) {
            return answer_text_error(out, 503, "no capacity");
        }
        rental = g_new0(struct rental, 1);
        rental->machines = g_ptr_array_new();
        g_strlcpy(rental->name, name, sizeof rental->name);
        for (uint64_t i = 0; i < count && count_present(world) < world->settings.machines_max &&
                             world->machine_count < WORLD_MACHINES_MAX;
             i++) {
            double boot_s =
                world->settings.startup_s * g_rand_double_range(world->random, 0.6, 1.5);
            struct machine *machine = add_machine(world, zone, spot, boot_s);
            g_ptr_array_add(rental->machines, machine->name);
            record("cloud: %s rented in %s (%s)", machine->name, zone, name);
        }
        g_ptr_array_add(world->rentals, rental);
    }
    rr_encode_map(out, 1);
    rr_encode_text(out, "stones");
    rr_encode_array(out, rental->machines->len);
    for (guint i = 0; i < rental->machines->len; i++) {
        rr_encode_text(out, rental->machines->pdata[i]);
    }
    return 200;
}

static int answer_release(struct world *world, const msgpack_object *request, rr_encoder *out) {
    const msgpack_object *names = rr_map_get(request, "stones");
    for (uint32_t i = 0; i < count_items(names); i++) {
        for (int k = 0; k < world->machine_count; k++) {
            if (rr_object_text_equals(&names->via.array.ptr[i], world->machines[k]->name)) {
                remove_machine(world->machines[k], "released");
            }
        }
    }
    rr_encode_map(out, 0);
    return 200;
}

static int answer_list(struct world *world, const char *target, rr_encoder *out) {
    char from[64];
    double lag = world->settings.list_lag_s;
    double at = rr_steady_clock_s() - (g_rand_double(world->random) < 0.7
                                           ? lag
                                           : g_rand_double_range(world->random, lag, 2 * lag));
    GPtrArray *listed = g_ptr_array_new();
    http_argument(target, "from", from, sizeof from);
    for (int i = 0; i < world->machine_count; i++) {
        struct machine *machine = world->machines[i];
        if (machine->created_at <= at && (!machine->gone || machine->gone_at > at) &&
            strcmp(machine->name, from) > 0) {
            g_ptr_array_add(listed, machine);
        }
    }
    rr_encode_map(out, 2);
    rr_encode_key_bool(out, "more", false);
    rr_encode_text(out, "stones");
    rr_encode_array(out, listed->len);
    for (guint i = 0; i < listed->len; i++) {
        const struct machine *machine = listed->pdata[i];
        rr_encode_map(out, 7);
        rr_encode_key_text(out, "ref", machine->name);
        rr_encode_key_text(out, "addr", machine->address);
        rr_encode_key_text(out, "build", world->settings.sku);
        rr_encode_key_text(out, "ward", machine->zone);
        rr_encode_key_bool(out, "loaners", machine->spot);
        rr_encode_key_text(out, "standing", machine->up_at <= at ? "running" : "starting");
        rr_encode_key_number(out, "age_s", at - machine->created_at);
    }
    g_ptr_array_free(listed, TRUE);
    return 200;
}

static int on_cloud_request(void *user, const char *method, const char *target,
                            const msgpack_object *request, const void *body, size_t length,
                            rr_encoder *out) {
    struct controller *controller = user;
    struct world *world = controller->world;
    int status = 404;
    (void)body;
    (void)length;
    pthread_mutex_lock(&world->lock);
    double now = rr_steady_clock_s();
    world->cloud_tokens =
        MIN(world->cloud_tokens + (now - world->cloud_tokens_at) * world->settings.cloud_rps,
            2 * world->settings.cloud_rps);
    world->cloud_tokens_at = now;
    if (world->cloud_down) {
        status = answer_text_error(out, 503, "trouble");
    } else if (world->cloud_tokens < 1) {
        status = 429;
    } else {
        world->cloud_tokens--;
        if (strcmp(target, "/catalog") == 0) {
            status = answer_catalog(world, out);
        } else if (strcmp(target, "/machines/release") == 0) {
            status = answer_release(world, request, out);
        } else if (strcmp(method, "POST") == 0 && strcmp(target, "/machines") == 0) {
            status = answer_rental(world, request, out);
        } else if (g_str_has_prefix(target, "/machines")) {
            status = answer_list(world, target, out);
        }
    }
    pthread_mutex_unlock(&world->lock);
    return status;
}

/* ======== the clock of the state service ======== */

static void *clock_main(void *argument) {
    struct world *world = argument;
    for (;;) {
        pthread_mutex_lock(&world->lock);
        double now = rr_steady_clock_s();
        bool stopping = world->stopping;
        expire_holds(world, now);
        for (guint i = world->late_commits->len; i > 0; i--) {
            struct late_commit late = g_array_index(world->late_commits, struct late_commit, i - 1);
            if (late.at <= now && !world->state_down) {
                rr_document document;
                g_array_remove_index(world->late_commits, i - 1);
                if (rr_document_parse(&document, late.body, late.length) == 0) {
                    int status = commit(world, document.root, NULL);
                    record("state: late transaction: %d", status);
                }
                rr_document_clear(&document);
                g_free(late.body);
            }
        }
        pthread_mutex_unlock(&world->lock);
        if (stopping) {
            return NULL;
        }
        rr_sleep(0.02);
    }
}

/* ======== controllers ======== */

/* All running controllers, for the end of the program by a signal. */
static volatile pid_t running[4 * WORLD_CONTROLLERS_MAX];

static void set_running(pid_t from, pid_t to) {
    for (size_t i = 0; i < G_N_ELEMENTS(running); i++) {
        if (running[i] == from) {
            running[i] = to;
            return;
        }
    }
}

static void end_all(int signal) {
    (void)signal;
    for (size_t i = 0; i < G_N_ELEMENTS(running); i++) {
        if (running[i] > 0) {
            kill(running[i], SIGKILL);
        }
    }
    _exit(2);
}

void world_guard(unsigned seconds) {
    signal(SIGALRM, end_all);
    signal(SIGTERM, end_all);
    signal(SIGINT, end_all);
    alarm(seconds);
}

static void write_settings(const struct world_settings *settings, const struct world *world,
                           const struct controller *controller) {
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "node_name = \"%s\"\nzone = \"%s\"\nbind = \"127.0.0.1:%d\"\n"
                           "peer_listen = \"127.0.0.1:%d\"\n",
                           controller->name, controller->zone, controller->bind_port,
                           controller->peer_port);
    for (int i = 0; i < settings->controllers; i++) {
        const struct controller *other = &world->controllers[i];
        if (other != controller) {
            g_string_append_printf(
                text, "[[seeds]]\nnode_name = \"%s\"\nzone = \"%s\"\nendpoint = \"127.0.0.1:%d\"\n",
                other->name, other->zone, other->peer_port);
        }
    }
    g_string_append_printf(text,
                           "[services]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n"
                           "[deployment]\nnodes = %d\nzones = [",
                           controller->cloud_port, controller->state_port, settings->controllers);
    for (int i = 0; settings->zones[i]; i++) {
        g_string_append_printf(text, "%s\"%s\"", i ? ", " : "", settings->zones[i]);
    }
    g_string_append(text, "]\nclock_off_ms = 100.0\n");
    for (int i = 0; settings->teams[i]; i++) {
        g_string_append_printf(text,
                               "[[deployment.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\n"
                               "gpus = %.1f\ngpus_max = %.1f\n",
                               settings->teams[i], settings->cpus[i], settings->cpus_max[i],
                               settings->gpus[i], settings->gpus_max[i]);
    }
    g_string_append(text, settings->objectives ? settings->objectives : "");
    g_string_append_printf(
        text,
        "[deployment.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = %.2f\n"
        "gang_peer_s = %.2f\ncancel_s = %.2f\n[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\n"
        "value_kb = %.1f\ntxn_ops = %d\n",
        settings->report_s, settings->lease_s, settings->gang_wait_s, settings->gang_peer_s,
        settings->cancel_s, settings->state_rps, settings->state_write_rps, settings->value_kb,
        settings->txn_ops);
    if (settings->next_value_kb > 0) {
        g_string_append_printf(
            text, "[deployment.state.next]\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
            settings->next_write_rps, settings->next_value_kb, settings->next_txn_ops);
    }
    g_string_append_printf(
        text,
        "[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.2f\n"
        "[deployment.limits]\ncore_share = 0.24\nram_mb = 200.0\nmax_sockets = 3500\n",
        settings->cloud_rps, settings->list_lag_s);
    g_file_set_contents(controller->settings_path, text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

void controller_start(struct controller *controller) {
    const struct world *world = controller->world;
    char *argv[] = {"target/ringrock", "--config", controller->settings_path, NULL};
    GPtrArray *environment = g_ptr_array_new();
    for (char **entry = environ; *entry; entry++) {
        if (!g_str_has_prefix(*entry, "RINGROCK_") && !g_str_has_prefix(*entry, "LOG_LEVEL=")) {
            g_ptr_array_add(environment, *entry);
        }
    }
    g_ptr_array_add(environment, "LOG_LEVEL=debug");
    char *cells = world->settings.cells_file
                      ? g_strdup_printf("RINGROCK_CELLS=%s", world->settings.cells_file)
                      : NULL;
    if (cells) {
        g_ptr_array_add(environment, cells);
    }
    g_ptr_array_add(environment, NULL);
    const char *program = getenv("RINGROCK_PROGRAM") ? getenv("RINGROCK_PROGRAM") : argv[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, controller->log_path,
                                     O_CREAT | O_WRONLY | O_APPEND, 0600);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    int rc =
        posix_spawn(&controller->pid, program, &actions, NULL, argv, (char **)environment->pdata);
    posix_spawn_file_actions_destroy(&actions);
    g_ptr_array_free(environment, TRUE);
    g_free(cells);
    if (rc != 0) {
        fprintf(stderr, "cannot start %s: %s\n", program, strerror(rc));
        exit(2);
    }
    set_running(0, controller->pid);
    record("controller %s: started", controller->name);
}

void controller_signal(struct controller *controller, int signal) {
    if (controller->pid > 0) {
        kill(controller->pid, signal);
        record("controller %s: signal %d", controller->name, signal);
    }
}

void controller_kill(struct controller *controller) {
    if (controller->pid > 0) {
        kill(controller->pid, SIGKILL);
        waitpid(controller->pid, NULL, 0);
        set_running(controller->pid, 0);
        controller->pid = 0;
        record("controller %s: killed", controller->name);
    }
}

bool controller_runs(struct controller *controller) {
    int status;
    if (controller->pid > 0 && waitpid(controller->pid, &status, WNOHANG) == controller->pid) {
        set_running(controller->pid, 0);
        controller->pid = 0;
        record("controller %s: ENDED BY ITSELF, status %d, signal %d", controller->name,
               WIFEXITED(status) ? WEXITSTATUS(status) : -1,
               WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    }
    return controller->pid > 0;
}

/* ======== users ======== */

/* Each calling thread keeps connections of its own. Returns the status, or -1. */
static int request(struct controller *controller, const char *method, const char *path,
                   const rr_encoder *body, double timeout_s, char *standing, int *done) {
    static __thread rr_http_client *client;
    struct rr_endpoint endpoint = {.host = "127.0.0.1", .port = (uint16_t)controller->bind_port};
    rr_http_reply reply;
    rr_document document;
    if (!client) {
        client = rr_http_client_create(NULL);
    }
    struct rr_http_call call = {.method = method,
                                .endpoint = &endpoint,
                                .path = path,
                                .body = body ? body->buffer.data : NULL,
                                .body_bytes = body ? body->buffer.size : 0,
                                .timeout_s = timeout_s};
    if (standing) {
        standing[0] = 0;
    }
    if (rr_http_client_call(client, &call, &reply) != 0) {
        return -1;
    }
    int status = (int)reply.status;
    if (standing && rr_document_parse(&document, reply.body->data, reply.body->len) == 0) {
        uint64_t count = 0;
        rr_map_get_text(document.root, "standing", standing, 32);
        if (done && rr_map_get_u64(document.root, "done", &count)) {
            *done = (int)count;
        }
    } else if (!standing) {
        return status;
    }
    rr_document_clear(&document);
    return status;
}

bool controller_wait_ready(struct controller *controller, double seconds) {
    double until = rr_steady_clock_s() + seconds;
    while (rr_steady_clock_s() < until) {
        if (request(controller, "GET", "/ready", NULL, 1, NULL, NULL) == 200) {
            return true;
        }
        rr_sleep(0.1);
    }
    return false;
}

int user_submit(struct controller *controller, const struct job *job) {
    rr_encoder body;
    char standing[32];
    rr_encoder_init(&body);
    rr_encode_map(&body, 18 + (job->ward[0] ? 1 : 0));
    rr_encode_key_text(&body, "ref", job->id);
    rr_encode_key_text(&body, "lane", job->lane);
    rr_encode_key_text(&body, "crew", job->crew);
    rr_encode_key_text(&body, "shape", job->shape);
    rr_encode_key_text(&body, "rank", job->rank);
    rr_encode_key_u64(&body, "pieces", (uint64_t)job->pieces);
    rr_encode_key_number(&body, "vcpus", job->vcpus);
    rr_encode_key_number(&body, "cards", job->cards);
    rr_encode_key_number(&body, "mem_gb", job->mem_gb);
    rr_encode_key_text(&body, "cast", job->cast);
    rr_encode_key_number(&body, "pull_gb", job->pull_gb);
    rr_encode_key_bool(&body, "one_zone", job->one_zone);
    rr_encode_key_bool(&body, "apart", job->apart);
    rr_encode_key_bool(&body, "loaners", job->loaners);
    rr_encode_key_number(&body, "guess_s", job->run_s);
    rr_encode_key_number(&body, "cairn_s", job->cairn_s);
    rr_encode_key_number(&body, "stash_s", job->stash_s);
    rr_encode_text(&body, "builds");
    msgpack_pack_nil(&body.packer);
    if (job->ward[0]) {
        rr_encode_key_text(&body, "ward", job->ward);
    }
    int status = request(controller, "POST", "/submissions", &body, 5, standing, NULL);
    rr_encoder_clear(&body);
    record("user: submit %s to %s: %d %s", job->id, controller->name, status, standing);
    return status;
}

int user_poll(struct controller *controller, const char *id, char *standing, int *done) {
    char path[128];
    g_snprintf(path, sizeof path, "/submissions/%s", id);
    int status = request(controller, "GET", path, NULL, 2, standing, done);
    record("user: poll %s at %s: %d %s", id, controller->name, status, standing);
    return status;
}

int user_cancel(struct controller *controller, const char *id, char *standing) {
    char path[128];
    rr_encoder body;
    rr_encoder_init(&body);
    rr_encode_map(&body, 0);
    g_snprintf(path, sizeof path, "/submissions/%s/cancel", id);
    int status = request(controller, "POST", path, &body, 5, standing, NULL);
    rr_encoder_clear(&body);
    record("user: cancel %s at %s: %d %s", id, controller->name, status, standing);
    return status;
}

void world_upload_job(struct world *world, struct job *job) {
    pthread_mutex_lock(&world->lock);
    job->piece_done = g_malloc0((gsize)job->pieces);
    g_hash_table_replace(world->jobs, g_strdup(job->id), job);
    pthread_mutex_unlock(&world->lock);
}

void world_end_tasks(struct world *world, const struct job *job, double seconds) {
    pthread_mutex_lock(&world->lock);
    for (int i = 0; i < world->machine_count; i++) {
        GArray *tasks = world->machines[i]->tasks;
        for (guint k = 0; k < tasks->len; k++) {
            struct task *task = &g_array_index(tasks, struct task, k);
            if (task->job == job && task->state != ENDED) {
                task->ends_at = rr_steady_clock_s() + seconds;
            }
        }
    }
    pthread_mutex_unlock(&world->lock);
}

void world_alias_job(struct world *world, struct job *job, const char *id) {
    pthread_mutex_lock(&world->lock);
    g_hash_table_replace(world->jobs, g_strdup(id), job);
    pthread_mutex_unlock(&world->lock);
}

/* ======== the cell ======== */

struct world *world_start(const struct world_settings *settings, const char *folder) {
    struct world *world = g_new0(struct world, 1);
    pthread_condattr_t attributes;
    int zones = 0;
    world->settings = *settings;
    g_strlcpy(world->folder, folder, sizeof world->folder);
    pthread_mutex_init(&world->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&world->changed, &attributes);
    world->random = g_rand_new();
    world->rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
    world->log = g_ptr_array_new_with_free_func(change_free);
    world->holds = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    world->late_commits = g_array_new(FALSE, TRUE, sizeof(struct late_commit));
    world->rentals = g_ptr_array_new();
    world->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world->completed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
    world->tokens_at = world->cloud_tokens_at = rr_steady_clock_s();
    world->epoch = 1;
    world->late_command_min_s = 2;
    world->late_command_max_s = 16;
    while (settings->zones[zones]) {
        zones++;
    }
    for (int i = 0; i < settings->controllers; i++) {
        struct controller *controller = &world->controllers[i];
        controller->world = world;
        controller->index = i;
        g_snprintf(controller->name, sizeof controller->name, "%s-%d", settings->name, i);
        g_strlcpy(controller->zone, settings->zones[i % zones], sizeof controller->zone);
        controller->bind_port = find_free_port("127.0.0.1");
        controller->peer_port = find_free_port("127.0.0.1");
        controller->state_port = find_free_port("127.0.0.1");
        world->state_servers[i] =
            http_listen("127.0.0.1", controller->state_port, on_state_request, controller);
        controller->cloud_port = find_free_port("127.0.0.1");
        world->cloud_servers[i] =
            http_listen("127.0.0.1", controller->cloud_port, on_cloud_request, controller);
        g_snprintf(controller->settings_path, sizeof controller->settings_path, "%s/%s.toml",
                   folder, controller->name);
        g_snprintf(controller->log_path, sizeof controller->log_path, "%s/%s.log", folder,
                   controller->name);
    }
    for (int i = 0; i < settings->controllers; i++) {
        write_settings(&world->settings, world, &world->controllers[i]);
    }
    pthread_create(&world->clock_thread, NULL, clock_main, world);
    pthread_mutex_lock(&world->lock);
    for (int i = 0; i < settings->machines_up; i++) {
        struct machine *machine = add_machine(world, settings->zones[i % zones], false, 0);
        machine->created_at -= 100;
    }
    pthread_mutex_unlock(&world->lock);
    return world;
}

void world_stop(struct world *world) {
    for (int i = 0; i < world->settings.controllers; i++) {
        controller_runs(&world->controllers[i]);
        controller_kill(&world->controllers[i]);
    }
    pthread_mutex_lock(&world->lock);
    world->stopping = true;
    pthread_cond_broadcast(&world->changed);
    pthread_mutex_unlock(&world->lock);
    pthread_join(world->clock_thread, NULL);
    for (int i = 0; i < world->machine_count; i++) {
        pthread_join(world->machines[i]->thread, NULL);
    }
    for (int i = 0; i < world->machine_count; i++) {
        http_stop(world->machines[i]->server);
    }
    for (int i = 0; i < world->settings.controllers; i++) {
        http_stop(world->state_servers[i]);
        http_stop(world->cloud_servers[i]);
    }
}

struct controller *world_controller(struct world *world, int index) {
    return &world->controllers[index];
}

#define SETTER(name, type, parameter, statement)                                                   \
    void name(struct world *world, type parameter) {                                               \
        pthread_mutex_lock(&world->lock);                                                          \
        statement;                                                                                 \
        record(#name ": %d", (int)parameter);                                                      \
        pthread_cond_broadcast(&world->changed);                                                   \
        pthread_mutex_unlock(&world->lock);                                                        \
    }

void world_lower_limits(struct world *world) {
    pthread_mutex_lock(&world->lock);
    world->settings.state_write_rps = world->settings.next_write_rps;
    world->settings.value_kb = world->settings.next_value_kb;
    world->settings.txn_ops = world->settings.next_txn_ops;
    record("state: limits are now value_kb %.1f, txn_ops %d, write_rps %.0f",
           world->settings.value_kb, world->settings.txn_ops, world->settings.state_write_rps);
    pthread_mutex_unlock(&world->lock);
}

void world_write_lower_settings(struct controller *controller) {
    struct world_settings settings = controller->world->settings;
    settings.state_write_rps = settings.next_write_rps;
    settings.value_kb = settings.next_value_kb;
    settings.txn_ops = settings.next_txn_ops;
    settings.next_value_kb = 0;
    write_settings(&settings, controller->world, controller);
    record("controller %s: settings name the lower limits", controller->name);
}

SETTER(world_set_state_down, bool, down, world->state_down = down)
SETTER(world_set_cloud_down, bool, down, world->cloud_down = down)

#define MACHINE_SETTER(setter, field)                                                              \
    void setter(struct world *world, int machine, bool value) {                                    \
        pthread_mutex_lock(&world->lock);                                                          \
        world->machines[machine]->field = value;                                                   \
        record(#setter ": %s %d", world->machines[machine]->name, (int)value);                     \
        pthread_mutex_unlock(&world->lock);                                                        \
    }
MACHINE_SETTER(world_set_hung, hung)
MACHINE_SETTER(world_set_mute, mute)
MACHINE_SETTER(world_set_deaf, deaf)

void world_set_late_commands(struct world *world, double share, double min_s, double max_s) {
    pthread_mutex_lock(&world->lock);
    world->late_command_share = share;
    world->late_command_min_s = min_s;
    world->late_command_max_s = max_s;
    pthread_mutex_unlock(&world->lock);
}

void world_take_machine(struct world *world, int machine) {
    pthread_mutex_lock(&world->lock);
    remove_machine(world->machines[machine], "taken");
    pthread_mutex_unlock(&world->lock);
}

int world_machine_count(struct world *world) {
    pthread_mutex_lock(&world->lock);
    int count = world->machine_count;
    pthread_mutex_unlock(&world->lock);
    return count;
}

const char *world_machine_name(struct world *world, int machine) {
    return world->machines[machine]->name;
}

GArray *world_runs(struct world *world) {
    pthread_mutex_lock(&world->lock);
    GArray *copy = g_array_copy(world->runs);
    pthread_mutex_unlock(&world->lock);
    return copy;
}

double world_team_cpus(struct world *world, const char *crew) {
    double cpus = 0;
    pthread_mutex_lock(&world->lock);
    for (guint i = 0; i < world->runs->len; i++) {
        const struct run *run = &g_array_index(world->runs, struct run, i);
        cpus += run->until == 0 && strcmp(run->job->crew, crew) == 0 ? run->job->vcpus : 0;
    }
    pthread_mutex_unlock(&world->lock);
    return cpus;
}

void world_on_start(struct world *world, world_start_fn callback, void *user) {
    pthread_mutex_lock(&world->lock);
    world->on_start = callback;
    world->on_start_user = user;
    pthread_mutex_unlock(&world->lock);
}
