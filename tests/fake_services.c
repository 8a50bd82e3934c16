#include "fake_services.h"

#include "common/clock.h"
#include "app/settings.h"
#include "worker/worker.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct value {
    void *data;
    size_t len;
    uint64_t version, lease_id;
};

struct change {
    char *key;
    void *data;
    size_t len;
    uint64_t version;
};

/* A way in of its own, so that one controller can be treated differently from the others. */
struct door {
    fake_services *w;
    struct MHD_Daemon *daemon;
    bool refused, frozen;
};

struct lease {
    double life_s, ends_at;
};

struct task {
    char piece[80];
    uint64_t attempt;
    double ends_at; /* 0: runs until stopped */
    int standing;   /* 1 running, 2 done, 3 halted */
    guint run;      /* index of its world_run */
};

struct fake_services {
    GPtrArray *doors; /* struct door*; the first is everybody's */
    uint16_t port;
    pthread_mutex_t lock;
    pthread_cond_t moved;
    GTree *kv; /* sorted keys -> struct value */
    GPtrArray *log;
    uint64_t epoch, holds;
    GHashTable *leases; /* number -> struct lease */
    bool stopping, drop_next, frozen, down;
    unsigned rented;
    /* the worker */
    pthread_t worker;
    bool up;
    GArray *tasks;
    uint64_t fencing_token, sequence;
    double task_s;       /* how long a task runs */
    GHashTable *started; /* piece -> double*: when its first attempt started */
    unsigned restarted;  /* starts of pieces that had run or ran */
    GArray *runs;        /* world_run */
    char zone[RR_NAME_SIZE];
    double lease_s;     /* without an answer for so long the worker ends its tasks; 0: never */
    double answered_at; /* a report was last answered, or a command taken */
    struct rr_endpoint reports_to;
    GArray *controllers; /* struct rr_endpoint: all that were ever configured */
    guint next;          /* of them the worker tries next */
};

static void value_free(gpointer data) {
    struct value *value = data;
    g_free(value->data);
    g_free(value);
}

static void change_free(gpointer data) {
    struct change *change = data;
    g_free(change->key);
    g_free(change->data);
    g_free(change);
}

static gint by_key(gconstpointer left, gconstpointer right, gpointer user) {
    (void)user;
    return strcmp(left, right);
}

/* ---- key-value store ---- */

static void set_key(fake_services *cluster, const char *key, const msgpack_object *value,
                    uint64_t lease_id) {
    struct change *change = g_new0(struct change, 1);
    change->key = g_strdup(key);
    change->version = cluster->epoch;
    if (value) {
        msgpack_sbuffer buffer;
        msgpack_packer packer;
        msgpack_sbuffer_init(&buffer);
        msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
        msgpack_pack_object(&packer, *value);
        struct value *new_value = g_new0(struct value, 1);
        new_value->data = g_memdup2(buffer.data, buffer.size);
        new_value->len = change->len = buffer.size;
        new_value->version = cluster->epoch;
        new_value->lease_id = lease_id;
        change->data = g_memdup2(buffer.data, buffer.size);
        g_tree_replace(cluster->kv, g_strdup(key), new_value);
        msgpack_sbuffer_destroy(&buffer);
    } else {
        g_tree_remove(cluster->kv, key);
    }
    g_ptr_array_add(cluster->log, change);
}

static int commit(fake_services *cluster, const msgpack_object *object, rr_encoder *out) {
    const msgpack_object *guards = rr_map_get(object, "guards"),
                         *apply = rr_map_get(object, "apply");
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    char key[256];
    uint64_t version, lease_id;
    for (uint32_t i = 0; guards && i < guards->via.array.size; i++) {
        const msgpack_object *guard = &guards->via.array.ptr[i];
        rr_map_get_text(guard, "path", key, sizeof key);
        rr_map_get_u64(guard, "mark", &version);
        const struct value *value = g_tree_lookup(cluster->kv, key);
        if ((value ? value->version : 0) != version) {
            g_ptr_array_add(failed, g_strdup(key));
        }
    }
    bool succeeded = failed->len == 0;
    if (succeeded) {
        cluster->epoch++;
        for (uint32_t i = 0; apply && i < apply->via.array.size; i++) {
            const msgpack_object *change = &apply->via.array.ptr[i];
            lease_id = 0;
            rr_map_get_u64(change, "tether", &lease_id);
            if (rr_map_get_text(change, "put", key, sizeof key)) {
                set_key(cluster, key, rr_map_get(change, "v"), lease_id);
            } else if (rr_map_get_text(change, "delete", key, sizeof key)) {
                set_key(cluster, key, NULL, 0);
            }
        }
        pthread_cond_broadcast(&cluster->moved);
    }
    rr_encode_map(out, succeeded ? 1 : 2);
    rr_encode_key_u64(out, "epoch", cluster->epoch);
    if (!succeeded) {
        rr_encode_text(out, "failed");
        rr_encode_array(out, failed->len);
        for (guint i = 0; i < failed->len; i++) {
            rr_encode_text(out, failed->pdata[i]);
        }
    }
    g_ptr_array_free(failed, TRUE);
    return succeeded ? 200 : 409;
}

static int get_key(fake_services *cluster, const char *key, rr_encoder *out) {
    const struct value *value = g_tree_lookup(cluster->kv, key);
    if (!value) {
        rr_encode_map(out, 1);
        rr_encode_key_u64(out, "epoch", cluster->epoch);
        return 404;
    }
    rr_encode_map(out, 4);
    rr_encode_key_text(out, "path", key);
    rr_encode_text(out, "v");
    msgpack_sbuffer_write(&out->buffer, value->data, value->len);
    rr_encode_key_u64(out, "mark", value->version);
    rr_encode_key_u64(out, "tether", value->lease_id);
    return 200;
}

struct listing {
    rr_encoder *out;
};

static gboolean list_one(gpointer key, gpointer value, gpointer user) {
    struct listing *listing = user;
    const struct value *val = value;
    rr_encode_map(listing->out, 3);
    rr_encode_key_text(listing->out, "path", key);
    rr_encode_text(listing->out, "v");
    msgpack_sbuffer_write(&listing->out->buffer, val->data, val->len);
    rr_encode_key_u64(listing->out, "mark", val->version);
    return FALSE;
}

static int list_keys(fake_services *cluster, rr_encoder *out) {
    struct listing listing = {out};
    rr_encode_map(out, 3);
    rr_encode_key_bool(out, "more", false);
    rr_encode_key_u64(out, "epoch", cluster->epoch);
    rr_encode_text(out, "rows");
    rr_encode_array(out, (size_t)g_tree_nnodes(cluster->kv));
    g_tree_foreach(cluster->kv, list_one, &listing);
    return 200;
}

static void wait_moved(fake_services *cluster, double seconds) {
    double until = rr_steady_clock_s() + seconds;
    struct timespec time = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(&cluster->moved, &cluster->lock, &time);
}

static bool shows_nothing(const struct door *door) {
    return door->w->frozen || door->w->down || door->frozen || door->refused;
}

static int watch(const struct door *door, uint64_t from, double hold_s, rr_encoder *out) {
    fake_services *cluster = door->w;
    double until = rr_steady_clock_s() + hold_s;
    while (!cluster->stopping && (shows_nothing(door) || cluster->epoch <= from) &&
           rr_steady_clock_s() < until) {
        wait_moved(cluster, until - rr_steady_clock_s());
    }
    guint count = 0;
    bool show = !shows_nothing(door);
    for (guint i = cluster->log->len; show && i > 0; i--) {
        if (((struct change *)cluster->log->pdata[i - 1])->version <= from) {
            break; /* the log is in the order of revisions */
        }
        count++;
    }
    rr_encode_map(out, 2);
    rr_encode_key_u64(out, "epoch", show ? cluster->epoch : from);
    rr_encode_text(out, "log");
    rr_encode_array(out, count);
    /* Newest first: the order is not promised. */
    for (guint i = cluster->log->len; show && i > 0; i--) {
        const struct change *change = cluster->log->pdata[i - 1];
        if (change->version <= from) {
            break;
        }
        rr_encode_map(out, change->data ? 3 : 2);
        rr_encode_key_text(out, change->data ? "put" : "delete", change->key);
        rr_encode_key_u64(out, "mark", change->version);
        if (change->data) {
            rr_encode_text(out, "v");
            msgpack_sbuffer_write(&out->buffer, change->data, change->len);
        }
    }
    return 200;
}

static gboolean find_tethered(gpointer key, gpointer value, gpointer user) {
    uint64_t *want = ((void **)user)[0];
    if (((struct value *)value)->lease_id == *want) {
        ((void **)user)[1] = key;
        return TRUE;
    }
    return FALSE;
}

static int end_lease(fake_services *cluster, uint64_t lease_id) {
    void *user[2] = {&lease_id, NULL};
    cluster->epoch++;
    do {
        user[1] = NULL;
        g_tree_foreach(cluster->kv, find_tethered, user);
        if (user[1]) {
            char *key = g_strdup(user[1]);
            set_key(cluster, key, NULL, 0);
            g_free(key);
        }
    } while (user[1]);
    pthread_cond_broadcast(&cluster->moved);
    return 200;
}

static gboolean lease_over(gpointer key, gpointer value, gpointer user) {
    (void)key;
    return ((struct lease *)value)->ends_at < *(double *)user;
}

/* A controller that is gone loses its session. In an outage no lease ends, and after it all have
 * their full time again. */
static void expire_leases(fake_services *cluster) {
    GHashTableIter iterator;
    gpointer key, value;
    double now = rr_steady_clock_s();
    g_hash_table_iter_init(&iterator, cluster->leases);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct lease *lease = value;
        lease->ends_at = cluster->down ? now + lease->life_s : lease->ends_at;
        if (lease->ends_at < now) {
            end_lease(cluster, *(uint64_t *)key);
        }
    }
    g_hash_table_foreach_remove(cluster->leases, lease_over, &now);
}

static int grant_lease(fake_services *cluster, const msgpack_object *object, rr_encoder *out) {
    double life_ms = 1000;
    struct lease *lease = g_new0(struct lease, 1);
    uint64_t *key = g_new(uint64_t, 1);
    rr_map_get_number(object, "life_ms", &life_ms);
    *key = ++cluster->holds;
    *lease = (struct lease){life_ms / 1000, rr_steady_clock_s() + life_ms / 1000};
    g_hash_table_insert(cluster->leases, key, lease);
    rr_encode_map(out, 1);
    rr_encode_key_u64(out, "tether", *key);
    return 200;
}

static int renew_lease(fake_services *cluster, uint64_t number) {
    struct lease *lease = g_hash_table_lookup(cluster->leases, &number);
    if (lease) {
        lease->ends_at = rr_steady_clock_s() + lease->life_s;
    }
    return lease ? 200 : 404;
}

/* ---- cloud and worker ---- */

static int catalog(const fake_services *cluster, rr_encoder *out) {
    rr_machine_type type = {.name = "m1",
                            .cpus = 16,
                            .gpus = 4,
                            .mem_gb = 64,
                            .cache_gb = 50,
                            .pull_rate = 1,
                            .price = 3,
                            .spot_price = 1,
                            .startup_s = 1};
    type.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(type.zones, g_strdup(cluster->zone));
    rr_encode_map(out, 1);
    rr_encode_text(out, "builds");
    rr_encode_array(out, 1);
    rr_machine_type_encode(out, &type);
    rr_machine_type_clear(&type);
    return 200;
}

static int machines(fake_services *cluster, rr_encoder *out) {
    char address[40];
    g_snprintf(address, sizeof address, "127.0.0.1:%u", cluster->port);
    rr_encode_map(out, 2);
    rr_encode_key_bool(out, "more", false);
    rr_encode_text(out, "stones");
    rr_encode_array(out, cluster->up ? 1 : 0);
    if (cluster->up) {
        rr_encode_map(out, 7);
        rr_encode_key_text(out, "ref", "vm-000001");
        rr_encode_key_text(out, "addr", address);
        rr_encode_key_text(out, "build", "m1");
        rr_encode_key_text(out, "ward", cluster->zone);
        rr_encode_key_bool(out, "loaners", false);
        rr_encode_key_text(out, "standing", "running");
        rr_encode_key_number(out, "age_s", 1);
    }
    return 200;
}

static int rental(fake_services *cluster, rr_encoder *out) {
    if (cluster->up) {
        rr_encode_map(out, 1);
        rr_encode_key_text(out, "error", "no capacity");
        return 503;
    }
    cluster->up = true;
    cluster->rented++;
    rr_encode_map(out, 1);
    rr_encode_text(out, "stones");
    rr_encode_array(out, 1);
    rr_encode_text(out, "vm-000001");
    return 200;
}

static void note_start(fake_services *cluster, const char *task_name) {
    if (g_hash_table_contains(cluster->started, task_name)) {
        cluster->restarted++;
        return;
    }
    double *when = g_new(double, 1);
    *when = rr_steady_clock_s();
    g_hash_table_insert(cluster->started, g_strdup(task_name), when);
}

static void end_task(fake_services *cluster, struct task *task, int state, double when) {
    fake_services_run *run = &g_array_index(cluster->runs, fake_services_run, task->run);
    task->standing = state;
    run->ended_at = when;
    run->done = state == 2;
}

/* As a worker that has no answer: its own lease ends what runs. */
static void end_without_lease(fake_services *cluster) {
    bool lapsed =
        cluster->lease_s > 0 && rr_steady_clock_s() - cluster->answered_at > cluster->lease_s;
    for (guint i = 0; lapsed && i < cluster->tasks->len; i++) {
        struct task *task = &g_array_index(cluster->tasks, struct task, i);
        if (task->standing == 1) {
            bool over = task->ends_at > 0 && rr_steady_clock_s() > task->ends_at;
            end_task(cluster, task, over ? 2 : 3, over ? task->ends_at : rr_steady_clock_s());
        }
    }
}

static void do_order(fake_services *cluster, const msgpack_object *object) {
    char task_name[80];
    uint64_t attempt = 0;
    rr_map_get_text(object, "piece", task_name, sizeof task_name);
    rr_map_get_u64(object, "try", &attempt);
    guint start = cluster->tasks->len;
    for (guint i = 0; i < cluster->tasks->len; i++) {
        const struct task *task = &g_array_index(cluster->tasks, struct task, i);
        if (task->attempt == attempt && strcmp(task->piece, task_name) == 0) {
            start = i;
        }
    }
    bool known = start < cluster->tasks->len;
    struct task *task = known ? &g_array_index(cluster->tasks, struct task, start) : NULL;
    if (rr_object_text_equals(rr_map_get(object, "verb"), "start") && !known) {
        struct task fresh = {.attempt = attempt, .standing = 1};
        g_strlcpy(fresh.piece, task_name, sizeof fresh.piece);
        /* Jobs numbered from 5 are services. */
        fresh.ends_at = task_name[4] == '5' ? 0 : rr_steady_clock_s() + cluster->task_s;
        fresh.run = cluster->runs->len;
        fake_services_run run = {.started_at = rr_steady_clock_s()};
        g_strlcpy(run.piece, task_name, sizeof run.piece);
        g_array_append_val(cluster->runs, run);
        g_array_append_val(cluster->tasks, fresh);
        note_start(cluster, task_name);
    } else if (rr_object_text_equals(rr_map_get(object, "verb"), "stop") && known &&
               task->standing == 1) {
        end_task(cluster, task, 3, rr_steady_clock_s());
    } else if (rr_object_text_equals(rr_map_get(object, "verb"), "reap") && known &&
               task->standing > 1) {
        g_array_remove_index(cluster->tasks, start);
    }
}

static void report(fake_services *cluster, rr_encoder *out) {
    static const char *const standings[] = {"", "running", "ended", "ended"};
    static const char *const causes[] = {"", "", "done", "halted"};
    char address[40];
    g_snprintf(address, sizeof address, "127.0.0.1:%u", cluster->port);
    rr_encode_map(out, 9);
    rr_encode_key_text(out, "stone", "vm-000001");
    rr_encode_key_text(out, "addr", address);
    rr_encode_key_text(out, "build", "m1");
    rr_encode_key_text(out, "ward", cluster->zone);
    rr_encode_key_bool(out, "loaners", false);
    rr_encode_key_u64(out, "tenure", 1);
    rr_encode_key_u64(out, "tally", ++cluster->sequence);
    rr_encode_key_u64(out, "warrant", cluster->fencing_token);
    rr_encode_text(out, "pieces");
    rr_encode_array(out, cluster->tasks->len);
    for (guint i = 0; i < cluster->tasks->len; i++) {
        struct task *task = &g_array_index(cluster->tasks, struct task, i);
        if (task->standing == 1 && task->ends_at > 0 && rr_steady_clock_s() > task->ends_at) {
            end_task(cluster, task, 2, task->ends_at);
        }
        rr_encode_map(out, task->standing > 1 ? 4 : 3);
        rr_encode_key_text(out, "piece", task->piece);
        rr_encode_key_u64(out, "try", task->attempt);
        rr_encode_key_text(out, "standing", standings[task->standing]);
        if (task->standing > 1) {
            rr_encode_key_text(out, "cause", causes[task->standing]);
        }
    }
}

static bool take_orders(fake_services *cluster, const msgpack_object *object) {
    uint64_t fencing_token = 0;
    const msgpack_object *commands = rr_map_get(object, "orders");
    if (!rr_map_get_u64(object, "warrant", &fencing_token) ||
        fencing_token < cluster->fencing_token) {
        return false;
    }
    cluster->fencing_token = fencing_token;
    cluster->answered_at = rr_steady_clock_s();
    for (uint32_t i = 0; commands && i < commands->via.array.size; i++) {
        do_order(cluster, &commands->via.array.ptr[i]);
    }
    return true;
}

static void try_next_controller(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    cluster->next = (cluster->next + 1) % cluster->controllers->len;
    cluster->reports_to = g_array_index(cluster->controllers, struct rr_endpoint, cluster->next);
    pthread_mutex_unlock(&cluster->lock);
}

static void *worker_main(void *arg) {
    fake_services *cluster = arg;
    rr_client *client = rr_client_create(NULL);
    for (;;) {
        rr_encoder encoder;
        rr_reply reply;
        rr_encoder_init(&encoder);
        pthread_mutex_lock(&cluster->lock);
        bool stop = cluster->stopping, is_up = cluster->up && cluster->reports_to.port;
        struct rr_endpoint endpoint = cluster->reports_to;
        expire_leases(cluster);
        end_without_lease(cluster);
        if (is_up) {
            report(cluster, &encoder);
        }
        pthread_mutex_unlock(&cluster->lock);
        if (stop) {
            rr_encoder_clear(&encoder);
            break;
        }
        struct rr_call call = {.method = "POST",
                               .to = &endpoint,
                               .path = "/hello",
                               .body = encoder.buffer.data,
                               .len = encoder.buffer.size,
                               .timeout_s = 2};
        if (is_up && rr_client_call(client, &call, &reply) == 0 && reply.status == 200) {
            rr_document document;
            if (rr_document_parse(&document, reply.body->data, reply.body->len) == 0) {
                pthread_mutex_lock(&cluster->lock);
                take_orders(cluster, document.root);
                pthread_mutex_unlock(&cluster->lock);
            }
            rr_document_clear(&document);
        } else if (is_up) {
            try_next_controller(cluster);
        }
        rr_encoder_clear(&encoder);
        rr_sleep(0.05);
    }
    rr_client_destroy(client);
    return NULL;
}

/* ---- one door for all ---- */

static int route(const struct door *door, struct MHD_Connection *connection, const char *url,
                 const char *method, const msgpack_object *object, rr_encoder *out) {
    fake_services *cluster = door->w;
    const char *from = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "from");
    const char *hold = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "hold_ms");
    if (strcmp(url, "/catalog") == 0) {
        return catalog(cluster, out);
    }
    if (strcmp(url, "/machines") == 0) {
        return strcmp(method, "GET") == 0 ? machines(cluster, out) : rental(cluster, out);
    }
    if (strcmp(url, "/machines/release") == 0) {
        cluster->up = false;
        g_array_set_size(cluster->tasks, 0);
        return 200;
    }
    if (strcmp(url, "/do") == 0) {
        bool succeeded = take_orders(cluster, object);
        report(cluster, out);
        return succeeded ? 200 : 409;
    }
    if (strcmp(url, "/status") == 0) {
        report(cluster, out);
        return 200;
    }
    if (strcmp(url, "/watch") == 0) {
        return watch(door, g_ascii_strtoull(from, NULL, 10), g_ascii_strtod(hold, NULL) / 1000,
                     out);
    }
    if (cluster->down || door->refused) {
        return 503;
    }
    if (strcmp(url, "/commit") == 0) {
        return commit(cluster, object, out);
    }
    if (strcmp(url, "/store") == 0) {
        return list_keys(cluster, out);
    }
    if (strncmp(url, "/store/", 7) == 0) {
        return get_key(cluster, url + 7, out);
    }
    if (strcmp(url, "/holds") == 0) {
        return grant_lease(cluster, object, out);
    }
    uint64_t number = g_ascii_strtoull(url + 7, NULL, 10);
    if (strcmp(method, "DELETE") == 0) {
        g_hash_table_remove(cluster->leases, &number);
        return end_lease(cluster, number);
    }
    return renew_lease(cluster, number);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *length, void **state) {
    const struct door *door = cls;
    fake_services *cluster = door->w;
    GByteArray *body = *state;
    (void)version;
    if (!body) {
        *state = g_byte_array_new();
        return MHD_YES;
    }
    if (*length) {
        g_byte_array_append(body, (const guint8 *)data, (guint)*length);
        *length = 0;
        return MHD_YES;
    }
    rr_document document;
    rr_encoder out;
    rr_document_parse(&document, body->data, body->len);
    rr_encoder_init(&out);
    pthread_mutex_lock(&cluster->lock);
    int status = route(door, connection, url, method, document.root, &out);
    bool drop =
        cluster->drop_next && strcmp(url, "/commit") == 0 && strstr((char *)body->data, "req-");
    cluster->drop_next = cluster->drop_next && !drop;
    pthread_mutex_unlock(&cluster->lock);
    rr_document_clear(&document);
    enum MHD_Result result = MHD_NO; /* closes the connection */
    if (!drop) {
        struct MHD_Response *reply = MHD_create_response_from_buffer(
            out.buffer.size, out.buffer.data, MHD_RESPMEM_MUST_COPY);
        result = MHD_queue_response(connection, (unsigned)status, reply);
        MHD_destroy_response(reply);
    }
    rr_encoder_clear(&out);
    return result;
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode why) {
    (void)cls;
    (void)connection;
    (void)why;
    if (*state) {
        g_byte_array_free(*state, TRUE);
    }
}

uint16_t fake_services_port(const fake_services *cluster) {
    return cluster->port;
}

uint16_t fake_services_add_endpoint(fake_services *cluster) {
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct door *door = g_new0(struct door, 1);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    door->w = cluster;
    door->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, on_request, door, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_END);
    g_assert(door->daemon);
    g_ptr_array_add(cluster->doors, door);
    return MHD_get_daemon_info(door->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static void set_door(fake_services *cluster, guint door, bool refused, bool frozen) {
    pthread_mutex_lock(&cluster->lock);
    struct door *entry = g_ptr_array_index(cluster->doors, door);
    entry->refused = refused;
    entry->frozen = frozen;
    pthread_cond_broadcast(&cluster->moved);
    pthread_mutex_unlock(&cluster->lock);
}

void fake_services_refuse(fake_services *cluster, unsigned door, bool refused) {
    set_door(cluster, door, refused, false);
}

void fake_services_freeze_endpoint(fake_services *cluster, unsigned door, bool frozen) {
    set_door(cluster, door, false, frozen);
}

fake_services *fake_services_start(void) {
    fake_services *cluster = g_new0(fake_services, 1);
    pthread_condattr_t attributes;
    pthread_mutex_init(&cluster->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&cluster->moved, &attributes);
    cluster->kv = g_tree_new_full(by_key, NULL, g_free, value_free);
    cluster->log = g_ptr_array_new_with_free_func(change_free);
    cluster->tasks = g_array_new(FALSE, TRUE, sizeof(struct task));
    cluster->task_s = 0.1;
    cluster->runs = g_array_new(FALSE, TRUE, sizeof(fake_services_run));
    cluster->answered_at = rr_steady_clock_s();
    g_strlcpy(cluster->zone, "a", sizeof cluster->zone);
    cluster->started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cluster->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    cluster->controllers = g_array_new(FALSE, TRUE, sizeof(struct rr_endpoint));
    cluster->doors = g_ptr_array_new();
    cluster->port = fake_services_add_endpoint(cluster);
    pthread_create(&cluster->worker, NULL, worker_main, cluster);
    return cluster;
}

void fake_services_stop(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    cluster->stopping = true;
    pthread_cond_broadcast(&cluster->moved);
    pthread_mutex_unlock(&cluster->lock);
    pthread_join(cluster->worker, NULL);
    for (guint i = 0; i < cluster->doors->len; i++) {
        struct door *door = g_ptr_array_index(cluster->doors, i);
        MHD_stop_daemon(door->daemon);
        g_free(door);
    }
    g_ptr_array_free(cluster->doors, TRUE);
    g_tree_destroy(cluster->kv);
    g_ptr_array_free(cluster->log, TRUE);
    g_array_free(cluster->tasks, TRUE);
    g_array_free(cluster->runs, TRUE);
    g_array_free(cluster->controllers, TRUE);
    g_hash_table_destroy(cluster->started);
    g_hash_table_destroy(cluster->leases);
    g_free(cluster);
}

#define SWITCH(name, type, field)                                                                  \
    void name(fake_services *cluster, type value) {                                                \
        pthread_mutex_lock(&cluster->lock);                                                        \
        cluster->field = value;                                                                    \
        pthread_cond_broadcast(&cluster->moved);                                                   \
        pthread_mutex_unlock(&cluster->lock);                                                      \
    }
SWITCH(fake_services_freeze_watches, bool, frozen)
SWITCH(fake_services_store_down, bool, down)
SWITCH(fake_services_task_seconds, double, task_s)
SWITCH(fake_services_worker_lease, double, lease_s)

void fake_services_zone(fake_services *cluster, const char *zone) {
    pthread_mutex_lock(&cluster->lock);
    g_strlcpy(cluster->zone, zone, sizeof cluster->zone);
    pthread_mutex_unlock(&cluster->lock);
}

void fake_services_lose_worker(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    for (guint i = 0; i < cluster->tasks->len; i++) {
        struct task *task = &g_array_index(cluster->tasks, struct task, i);
        if (task->standing == 1) {
            end_task(cluster, task, 3, rr_steady_clock_s());
        }
    }
    g_array_set_size(cluster->tasks, 0);
    cluster->up = false;
    pthread_mutex_unlock(&cluster->lock);
}

GArray *fake_services_runs(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    GArray *copy = g_array_copy(cluster->runs);
    pthread_mutex_unlock(&cluster->lock);
    return copy;
}

void fake_services_drop_next_answer(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    cluster->drop_next = true;
    pthread_mutex_unlock(&cluster->lock);
}

unsigned fake_services_running_tasks(fake_services *cluster) {
    unsigned count = 0;
    pthread_mutex_lock(&cluster->lock);
    for (guint i = 0; i < cluster->tasks->len; i++) {
        count += g_array_index(cluster->tasks, struct task, i).standing == 1;
    }
    pthread_mutex_unlock(&cluster->lock);
    return count;
}

double fake_services_started(fake_services *cluster, const char *task_name) {
    pthread_mutex_lock(&cluster->lock);
    const double *when = g_hash_table_lookup(cluster->started, task_name);
    double started = when ? *when : 0;
    pthread_mutex_unlock(&cluster->lock);
    return started;
}

unsigned fake_services_restart_count(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    unsigned count = cluster->restarted;
    pthread_mutex_unlock(&cluster->lock);
    return count;
}

unsigned fake_services_rented_count(fake_services *cluster) {
    pthread_mutex_lock(&cluster->lock);
    unsigned count = cluster->rented;
    pthread_mutex_unlock(&cluster->lock);
    return count;
}

/* Below the system's own range for outgoing connections (32768 and up): one taken from there was
 * given to a connection before the controller that was to listen on it had started. */
#define PORTS_FROM 10240u
#define PORTS 20000u

static bool port_is_free(uint16_t port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool is_free = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
    close(fd);
    return is_free;
}

uint16_t fake_services_free_port(void) {
    static unsigned next; /* tests that run side by side begin at different ones */
    next = next ? next : (unsigned)getpid() * 131;
    uint16_t port;
    do {
        port = (uint16_t)(PORTS_FROM + next++ % PORTS);
    } while (!port_is_free(port));
    return port;
}

int fake_services_dial(const struct rr_endpoint *endpoint) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(endpoint->port)};
    struct timeval timeout = {20, 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    inet_pton(AF_INET, endpoint->host, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (fd >= 0 && connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        close(fd);
        fd = -1;
    }
    return fd;
}

void fake_services_config(fake_services *cluster, struct rr_config *config, const char *name) {
    memset(config, 0, sizeof *config);
    struct rr_endpoint local = {.host = "127.0.0.1"};
    g_strlcpy(config->node_name, name, RR_NAME_SIZE);
    g_strlcpy(config->zone, "a", RR_NAME_SIZE);
    config->bind = config->peer_listen = config->cloud = config->state = local;
    config->bind.port = fake_services_free_port();
    config->peer_listen.port = fake_services_free_port();
    config->cloud.port = config->state.port = cluster->port;
    config->team_count = 1;
    g_strlcpy(config->teams[0].name, "red", RR_NAME_SIZE);
    config->heartbeat_interval_s = 0.5;
    config->lease_s = 10;
    config->cancel_s = 40;
    config->state_rps = 2000;
    config->state_write_rps = 1000;
    config->value_kb = 8;
    config->transaction_changes_max = 16;
    config->cloud_rps = 100;
    config->list_lag_s = 0.5;
    config->max_sockets = 500;
    config->ram_mb = 200;
    rr_tuning_set_defaults(&config->tuning);
    config->tuning.idle_return_s = 1000;
    pthread_mutex_lock(&cluster->lock);
    cluster->reports_to = config->bind;
    cluster->next = cluster->controllers->len;
    g_array_append_val(cluster->controllers, config->bind);
    pthread_mutex_unlock(&cluster->lock);
}

int fake_services_call(const struct rr_config *config, const char *method, const char *path,
                       const void *body, size_t length, rr_document *document) {
    rr_client *client = rr_client_create(NULL);
    rr_reply reply;
    struct rr_call call = {.method = method,
                           .to = &config->bind,
                           .path = path,
                           .body = body,
                           .len = length,
                           .timeout_s = 6,
                           .fresh = true};
    int rc = rr_client_call(client, &call, &reply);
    if (rc == 0 && document) {
        rr_document_parse(document, reply.body->data, reply.body->len);
    }
    rr_client_destroy(client);
    return rc == 0 ? (int)reply.status : -1;
}

int fake_services_submit(const struct rr_config *config, const rr_submission *submission) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_encode_map(&out, rr_submission_field_count(submission));
    rr_submission_encode_fields(&out, submission);
    int status =
        fake_services_call(config, "POST", "/submissions", out.buffer.data, out.buffer.size, NULL);
    rr_encoder_clear(&out);
    return status;
}
