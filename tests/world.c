#include "world.h"

#include "app/clock.h"
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
    world *w;
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

struct world {
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

static void value_free(gpointer p) {
    struct value *v = p;
    g_free(v->data);
    g_free(v);
}

static void change_free(gpointer p) {
    struct change *c = p;
    g_free(c->key);
    g_free(c->data);
    g_free(c);
}

static gint by_key(gconstpointer a, gconstpointer b, gpointer user) {
    (void)user;
    return strcmp(a, b);
}

/* ---- state service ---- */

static void set_key(world *w, const char *key, const msgpack_object *v, uint64_t tether) {
    struct change *c = g_new0(struct change, 1);
    c->key = g_strdup(key);
    c->version = w->epoch;
    if (v) {
        msgpack_sbuffer b;
        msgpack_packer pk;
        msgpack_sbuffer_init(&b);
        msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
        msgpack_pack_object(&pk, *v);
        struct value *nv = g_new0(struct value, 1);
        nv->data = g_memdup2(b.data, b.size);
        nv->len = c->len = b.size;
        nv->version = w->epoch;
        nv->lease_id = tether;
        c->data = g_memdup2(b.data, b.size);
        g_tree_replace(w->kv, g_strdup(key), nv);
        msgpack_sbuffer_destroy(&b);
    } else {
        g_tree_remove(w->kv, key);
    }
    g_ptr_array_add(w->log, c);
}

static int commit(world *w, const msgpack_object *o, rr_encoder *out) {
    const msgpack_object *guards = rr_map_get(o, "guards"), *apply = rr_map_get(o, "apply");
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    char key[256];
    uint64_t mark, tether;
    for (uint32_t i = 0; guards && i < guards->via.array.size; i++) {
        const msgpack_object *g = &guards->via.array.ptr[i];
        rr_map_get_text(g, "path", key, sizeof key);
        rr_map_get_u64(g, "mark", &mark);
        const struct value *v = g_tree_lookup(w->kv, key);
        if ((v ? v->version : 0) != mark) {
            g_ptr_array_add(failed, g_strdup(key));
        }
    }
    bool ok = failed->len == 0;
    if (ok) {
        w->epoch++;
        for (uint32_t i = 0; apply && i < apply->via.array.size; i++) {
            const msgpack_object *c = &apply->via.array.ptr[i];
            tether = 0;
            rr_map_get_u64(c, "tether", &tether);
            if (rr_map_get_text(c, "put", key, sizeof key)) {
                set_key(w, key, rr_map_get(c, "v"), tether);
            } else if (rr_map_get_text(c, "delete", key, sizeof key)) {
                set_key(w, key, NULL, 0);
            }
        }
        pthread_cond_broadcast(&w->moved);
    }
    rr_encode_map(out, ok ? 1 : 2);
    rr_encode_key_u64(out, "epoch", w->epoch);
    if (!ok) {
        rr_encode_text(out, "failed");
        rr_encode_array(out, failed->len);
        for (guint i = 0; i < failed->len; i++) {
            rr_encode_text(out, failed->pdata[i]);
        }
    }
    g_ptr_array_free(failed, TRUE);
    return ok ? 200 : 409;
}

static int get_key(world *w, const char *key, rr_encoder *out) {
    const struct value *v = g_tree_lookup(w->kv, key);
    if (!v) {
        rr_encode_map(out, 1);
        rr_encode_key_u64(out, "epoch", w->epoch);
        return 404;
    }
    rr_encode_map(out, 4);
    rr_encode_key_text(out, "path", key);
    rr_encode_text(out, "v");
    msgpack_sbuffer_write(&out->buffer, v->data, v->len);
    rr_encode_key_u64(out, "mark", v->version);
    rr_encode_key_u64(out, "tether", v->lease_id);
    return 200;
}

struct listing {
    rr_encoder *out;
};

static gboolean list_one(gpointer k, gpointer v, gpointer user) {
    struct listing *l = user;
    const struct value *val = v;
    rr_encode_map(l->out, 3);
    rr_encode_key_text(l->out, "path", k);
    rr_encode_text(l->out, "v");
    msgpack_sbuffer_write(&l->out->buffer, val->data, val->len);
    rr_encode_key_u64(l->out, "mark", val->version);
    return FALSE;
}

static int list_keys(world *w, rr_encoder *out) {
    struct listing l = {out};
    rr_encode_map(out, 3);
    rr_encode_key_bool(out, "more", false);
    rr_encode_key_u64(out, "epoch", w->epoch);
    rr_encode_text(out, "rows");
    rr_encode_array(out, (size_t)g_tree_nnodes(w->kv));
    g_tree_foreach(w->kv, list_one, &l);
    return 200;
}

static void wait_moved(world *w, double seconds) {
    double until = rr_steady_clock_s() + seconds;
    struct timespec ts = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(&w->moved, &w->lock, &ts);
}

static bool shows_nothing(const struct door *door) {
    return door->w->frozen || door->w->down || door->frozen || door->refused;
}

static int watch(const struct door *door, uint64_t from, double hold_s, rr_encoder *out) {
    world *w = door->w;
    double until = rr_steady_clock_s() + hold_s;
    while (!w->stopping && (shows_nothing(door) || w->epoch <= from) &&
           rr_steady_clock_s() < until) {
        wait_moved(w, until - rr_steady_clock_s());
    }
    guint n = 0;
    bool show = !shows_nothing(door);
    for (guint i = w->log->len; show && i > 0; i--) {
        if (((struct change *)w->log->pdata[i - 1])->version <= from) {
            break; /* the log is in the order of revisions */
        }
        n++;
    }
    rr_encode_map(out, 2);
    rr_encode_key_u64(out, "epoch", show ? w->epoch : from);
    rr_encode_text(out, "log");
    rr_encode_array(out, n);
    /* Newest first: the order is not promised. */
    for (guint i = w->log->len; show && i > 0; i--) {
        const struct change *c = w->log->pdata[i - 1];
        if (c->version <= from) {
            break;
        }
        rr_encode_map(out, c->data ? 3 : 2);
        rr_encode_key_text(out, c->data ? "put" : "delete", c->key);
        rr_encode_key_u64(out, "mark", c->version);
        if (c->data) {
            rr_encode_text(out, "v");
            msgpack_sbuffer_write(&out->buffer, c->data, c->len);
        }
    }
    return 200;
}

static gboolean find_tethered(gpointer k, gpointer v, gpointer user) {
    uint64_t *want = ((void **)user)[0];
    if (((struct value *)v)->lease_id == *want) {
        ((void **)user)[1] = k;
        return TRUE;
    }
    return FALSE;
}

static int end_lease(world *w, uint64_t tether) {
    void *user[2] = {&tether, NULL};
    w->epoch++;
    do {
        user[1] = NULL;
        g_tree_foreach(w->kv, find_tethered, user);
        if (user[1]) {
            char *key = g_strdup(user[1]);
            set_key(w, key, NULL, 0);
            g_free(key);
        }
    } while (user[1]);
    pthread_cond_broadcast(&w->moved);
    return 200;
}

static gboolean lease_over(gpointer key, gpointer value, gpointer user) {
    (void)key;
    return ((struct lease *)value)->ends_at < *(double *)user;
}

/* A controller that is gone loses its session. In an outage no lease ends, and after it all have
 * their full time again. */
static void expire_leases(world *w) {
    GHashTableIter iterator;
    gpointer key, value;
    double now = rr_steady_clock_s();
    g_hash_table_iter_init(&iterator, w->leases);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct lease *lease = value;
        lease->ends_at = w->down ? now + lease->life_s : lease->ends_at;
        if (lease->ends_at < now) {
            end_lease(w, *(uint64_t *)key);
        }
    }
    g_hash_table_foreach_remove(w->leases, lease_over, &now);
}

static int grant_lease(world *w, const msgpack_object *o, rr_encoder *out) {
    double life_ms = 1000;
    struct lease *lease = g_new0(struct lease, 1);
    uint64_t *key = g_new(uint64_t, 1);
    rr_map_get_number(o, "life_ms", &life_ms);
    *key = ++w->holds;
    *lease = (struct lease){life_ms / 1000, rr_steady_clock_s() + life_ms / 1000};
    g_hash_table_insert(w->leases, key, lease);
    rr_encode_map(out, 1);
    rr_encode_key_u64(out, "tether", *key);
    return 200;
}

static int renew_lease(world *w, uint64_t number) {
    struct lease *lease = g_hash_table_lookup(w->leases, &number);
    if (lease) {
        lease->ends_at = rr_steady_clock_s() + lease->life_s;
    }
    return lease ? 200 : 404;
}

/* ---- cloud and worker ---- */

static int catalog(const world *w, rr_encoder *out) {
    rr_machine_type b = {.name = "m1",
                         .cpus = 16,
                         .gpus = 4,
                         .mem_gb = 64,
                         .cache_gb = 50,
                         .pull_rate = 1,
                         .price = 3,
                         .spot_price = 1,
                         .startup_s = 1};
    b.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(b.zones, g_strdup(w->zone));
    rr_encode_map(out, 1);
    rr_encode_text(out, "builds");
    rr_encode_array(out, 1);
    rr_machine_type_encode(out, &b);
    rr_machine_type_clear(&b);
    return 200;
}

static int machines(world *w, rr_encoder *out) {
    char addr[40];
    g_snprintf(addr, sizeof addr, "127.0.0.1:%u", w->port);
    rr_encode_map(out, 2);
    rr_encode_key_bool(out, "more", false);
    rr_encode_text(out, "stones");
    rr_encode_array(out, w->up ? 1 : 0);
    if (w->up) {
        rr_encode_map(out, 7);
        rr_encode_key_text(out, "ref", "vm-000001");
        rr_encode_key_text(out, "addr", addr);
        rr_encode_key_text(out, "build", "m1");
        rr_encode_key_text(out, "ward", w->zone);
        rr_encode_key_bool(out, "loaners", false);
        rr_encode_key_text(out, "standing", "running");
        rr_encode_key_number(out, "age_s", 1);
    }
    return 200;
}

static int rental(world *w, rr_encoder *out) {
    if (w->up) {
        rr_encode_map(out, 1);
        rr_encode_key_text(out, "error", "no capacity");
        return 503;
    }
    w->up = true;
    w->rented++;
    rr_encode_map(out, 1);
    rr_encode_text(out, "stones");
    rr_encode_array(out, 1);
    rr_encode_text(out, "vm-000001");
    return 200;
}

static void note_start(world *w, const char *piece) {
    if (g_hash_table_contains(w->started, piece)) {
        w->restarted++;
        return;
    }
    double *at = g_new(double, 1);
    *at = rr_steady_clock_s();
    g_hash_table_insert(w->started, g_strdup(piece), at);
}

static void end_task(world *w, struct task *t, int standing, double at) {
    world_run *run = &g_array_index(w->runs, world_run, t->run);
    t->standing = standing;
    run->ended_at = at;
    run->done = standing == 2;
}

/* As a worker that has no answer: its own lease ends what runs. */
static void end_without_lease(world *w) {
    bool lapsed = w->lease_s > 0 && rr_steady_clock_s() - w->answered_at > w->lease_s;
    for (guint i = 0; lapsed && i < w->tasks->len; i++) {
        struct task *t = &g_array_index(w->tasks, struct task, i);
        if (t->standing == 1) {
            bool over = t->ends_at > 0 && rr_steady_clock_s() > t->ends_at;
            end_task(w, t, over ? 2 : 3, over ? t->ends_at : rr_steady_clock_s());
        }
    }
}

static void do_order(world *w, const msgpack_object *o) {
    char piece[80];
    uint64_t attempt = 0;
    rr_map_get_text(o, "piece", piece, sizeof piece);
    rr_map_get_u64(o, "try", &attempt);
    guint at = w->tasks->len;
    for (guint i = 0; i < w->tasks->len; i++) {
        const struct task *t = &g_array_index(w->tasks, struct task, i);
        if (t->attempt == attempt && strcmp(t->piece, piece) == 0) {
            at = i;
        }
    }
    bool known = at < w->tasks->len;
    struct task *t = known ? &g_array_index(w->tasks, struct task, at) : NULL;
    if (rr_object_text_equals(rr_map_get(o, "verb"), "start") && !known) {
        struct task fresh = {.attempt = attempt, .standing = 1};
        g_strlcpy(fresh.piece, piece, sizeof fresh.piece);
        /* Jobs numbered from 5 are services. */
        fresh.ends_at = piece[4] == '5' ? 0 : rr_steady_clock_s() + w->task_s;
        fresh.run = w->runs->len;
        world_run run = {.started_at = rr_steady_clock_s()};
        g_strlcpy(run.piece, piece, sizeof run.piece);
        g_array_append_val(w->runs, run);
        g_array_append_val(w->tasks, fresh);
        note_start(w, piece);
    } else if (rr_object_text_equals(rr_map_get(o, "verb"), "stop") && known && t->standing == 1) {
        end_task(w, t, 3, rr_steady_clock_s());
    } else if (rr_object_text_equals(rr_map_get(o, "verb"), "reap") && known && t->standing > 1) {
        g_array_remove_index(w->tasks, at);
    }
}

static void report(world *w, rr_encoder *out) {
    static const char *const standings[] = {"", "running", "ended", "ended"};
    static const char *const causes[] = {"", "", "done", "halted"};
    char addr[40];
    g_snprintf(addr, sizeof addr, "127.0.0.1:%u", w->port);
    rr_encode_map(out, 9);
    rr_encode_key_text(out, "stone", "vm-000001");
    rr_encode_key_text(out, "addr", addr);
    rr_encode_key_text(out, "build", "m1");
    rr_encode_key_text(out, "ward", w->zone);
    rr_encode_key_bool(out, "loaners", false);
    rr_encode_key_u64(out, "tenure", 1);
    rr_encode_key_u64(out, "tally", ++w->sequence);
    rr_encode_key_u64(out, "warrant", w->fencing_token);
    rr_encode_text(out, "pieces");
    rr_encode_array(out, w->tasks->len);
    for (guint i = 0; i < w->tasks->len; i++) {
        struct task *t = &g_array_index(w->tasks, struct task, i);
        if (t->standing == 1 && t->ends_at > 0 && rr_steady_clock_s() > t->ends_at) {
            end_task(w, t, 2, t->ends_at);
        }
        rr_encode_map(out, t->standing > 1 ? 4 : 3);
        rr_encode_key_text(out, "piece", t->piece);
        rr_encode_key_u64(out, "try", t->attempt);
        rr_encode_key_text(out, "standing", standings[t->standing]);
        if (t->standing > 1) {
            rr_encode_key_text(out, "cause", causes[t->standing]);
        }
    }
}

static bool take_orders(world *w, const msgpack_object *o) {
    uint64_t fencing_token = 0;
    const msgpack_object *orders = rr_map_get(o, "orders");
    if (!rr_map_get_u64(o, "warrant", &fencing_token) || fencing_token < w->fencing_token) {
        return false;
    }
    w->fencing_token = fencing_token;
    w->answered_at = rr_steady_clock_s();
    for (uint32_t i = 0; orders && i < orders->via.array.size; i++) {
        do_order(w, &orders->via.array.ptr[i]);
    }
    return true;
}

static void try_next_controller(world *w) {
    pthread_mutex_lock(&w->lock);
    w->next = (w->next + 1) % w->controllers->len;
    w->reports_to = g_array_index(w->controllers, struct rr_endpoint, w->next);
    pthread_mutex_unlock(&w->lock);
}

static void *worker_main(void *arg) {
    world *w = arg;
    rr_client *c = rr_client_create(NULL);
    for (;;) {
        rr_encoder o;
        rr_reply reply;
        rr_encoder_init(&o);
        pthread_mutex_lock(&w->lock);
        bool stop = w->stopping, up = w->up && w->reports_to.port;
        struct rr_endpoint to = w->reports_to;
        expire_leases(w);
        end_without_lease(w);
        if (up) {
            report(w, &o);
        }
        pthread_mutex_unlock(&w->lock);
        if (stop) {
            rr_encoder_clear(&o);
            break;
        }
        struct rr_call call = {.method = "POST",
                               .to = &to,
                               .path = "/hello",
                               .body = o.buffer.data,
                               .len = o.buffer.size,
                               .timeout_s = 2};
        if (up && rr_client_call(c, &call, &reply) == 0 && reply.status == 200) {
            rr_document d;
            if (rr_document_parse(&d, reply.body->data, reply.body->len) == 0) {
                pthread_mutex_lock(&w->lock);
                take_orders(w, d.root);
                pthread_mutex_unlock(&w->lock);
            }
            rr_document_clear(&d);
        } else if (up) {
            try_next_controller(w);
        }
        rr_encoder_clear(&o);
        rr_sleep(0.05);
    }
    rr_client_destroy(c);
    return NULL;
}

/* ---- one door for all ---- */

static int route(const struct door *door, struct MHD_Connection *conn, const char *url,
                 const char *method, const msgpack_object *o, rr_encoder *out) {
    world *w = door->w;
    const char *from = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "from");
    const char *hold = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "hold_ms");
    if (strcmp(url, "/catalog") == 0) {
        return catalog(w, out);
    }
    if (strcmp(url, "/machines") == 0) {
        return strcmp(method, "GET") == 0 ? machines(w, out) : rental(w, out);
    }
    if (strcmp(url, "/machines/release") == 0) {
        w->up = false;
        g_array_set_size(w->tasks, 0);
        return 200;
    }
    if (strcmp(url, "/do") == 0) {
        bool ok = take_orders(w, o);
        report(w, out);
        return ok ? 200 : 409;
    }
    if (strcmp(url, "/status") == 0) {
        report(w, out);
        return 200;
    }
    if (strcmp(url, "/watch") == 0) {
        return watch(door, g_ascii_strtoull(from, NULL, 10), g_ascii_strtod(hold, NULL) / 1000,
                     out);
    }
    if (w->down || door->refused) {
        return 503;
    }
    if (strcmp(url, "/commit") == 0) {
        return commit(w, o, out);
    }
    if (strcmp(url, "/store") == 0) {
        return list_keys(w, out);
    }
    if (strncmp(url, "/store/", 7) == 0) {
        return get_key(w, url + 7, out);
    }
    if (strcmp(url, "/holds") == 0) {
        return grant_lease(w, o, out);
    }
    uint64_t number = g_ascii_strtoull(url + 7, NULL, 10);
    if (strcmp(method, "DELETE") == 0) {
        g_hash_table_remove(w->leases, &number);
        return end_lease(w, number);
    }
    return renew_lease(w, number);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *len, void **state) {
    const struct door *door = cls;
    world *w = door->w;
    GByteArray *body = *state;
    (void)version;
    if (!body) {
        *state = g_byte_array_new();
        return MHD_YES;
    }
    if (*len) {
        g_byte_array_append(body, (const guint8 *)data, (guint)*len);
        *len = 0;
        return MHD_YES;
    }
    rr_document d;
    rr_encoder out;
    rr_document_parse(&d, body->data, body->len);
    rr_encoder_init(&out);
    pthread_mutex_lock(&w->lock);
    int status = route(door, conn, url, method, d.root, &out);
    bool drop = w->drop_next && strcmp(url, "/commit") == 0 && strstr((char *)body->data, "req-");
    w->drop_next = w->drop_next && !drop;
    pthread_mutex_unlock(&w->lock);
    rr_document_clear(&d);
    enum MHD_Result ok = MHD_NO; /* closes the connection */
    if (!drop) {
        struct MHD_Response *r = MHD_create_response_from_buffer(out.buffer.size, out.buffer.data,
                                                                 MHD_RESPMEM_MUST_COPY);
        ok = MHD_queue_response(conn, (unsigned)status, r);
        MHD_destroy_response(r);
    }
    rr_encoder_clear(&out);
    return ok;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode why) {
    (void)cls;
    (void)conn;
    (void)why;
    if (*state) {
        g_byte_array_free(*state, TRUE);
    }
}

uint16_t world_port(const world *w) {
    return w->port;
}

uint16_t world_add_door(world *w) {
    struct sockaddr_in addr = {.sin_family = AF_INET};
    struct door *door = g_new0(struct door, 1);
    inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
    door->w = w;
    door->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, on_request, door, MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_END);
    g_assert(door->daemon);
    g_ptr_array_add(w->doors, door);
    return MHD_get_daemon_info(door->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static void set_door(world *w, guint door, bool refused, bool frozen) {
    pthread_mutex_lock(&w->lock);
    struct door *at = g_ptr_array_index(w->doors, door);
    at->refused = refused;
    at->frozen = frozen;
    pthread_cond_broadcast(&w->moved);
    pthread_mutex_unlock(&w->lock);
}

void world_refuse(world *w, unsigned door, bool refused) {
    set_door(w, door, refused, false);
}

void world_freeze_door(world *w, unsigned door, bool frozen) {
    set_door(w, door, false, frozen);
}

world *world_start(void) {
    world *w = g_new0(world, 1);
    pthread_condattr_t a;
    pthread_mutex_init(&w->lock, NULL);
    pthread_condattr_init(&a);
    pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
    pthread_cond_init(&w->moved, &a);
    w->kv = g_tree_new_full(by_key, NULL, g_free, value_free);
    w->log = g_ptr_array_new_with_free_func(change_free);
    w->tasks = g_array_new(FALSE, TRUE, sizeof(struct task));
    w->task_s = 0.1;
    w->runs = g_array_new(FALSE, TRUE, sizeof(world_run));
    w->answered_at = rr_steady_clock_s();
    g_strlcpy(w->zone, "a", sizeof w->zone);
    w->started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    w->controllers = g_array_new(FALSE, TRUE, sizeof(struct rr_endpoint));
    w->doors = g_ptr_array_new();
    w->port = world_add_door(w);
    pthread_create(&w->worker, NULL, worker_main, w);
    return w;
}

void world_stop(world *w) {
    pthread_mutex_lock(&w->lock);
    w->stopping = true;
    pthread_cond_broadcast(&w->moved);
    pthread_mutex_unlock(&w->lock);
    pthread_join(w->worker, NULL);
    for (guint i = 0; i < w->doors->len; i++) {
        struct door *door = g_ptr_array_index(w->doors, i);
        MHD_stop_daemon(door->daemon);
        g_free(door);
    }
    g_ptr_array_free(w->doors, TRUE);
    g_tree_destroy(w->kv);
    g_ptr_array_free(w->log, TRUE);
    g_array_free(w->tasks, TRUE);
    g_array_free(w->runs, TRUE);
    g_array_free(w->controllers, TRUE);
    g_hash_table_destroy(w->started);
    g_hash_table_destroy(w->leases);
    g_free(w);
}

#define SWITCH(name, type, field)                                                                  \
    void name(world *w, type v) {                                                                  \
        pthread_mutex_lock(&w->lock);                                                              \
        w->field = v;                                                                              \
        pthread_cond_broadcast(&w->moved);                                                         \
        pthread_mutex_unlock(&w->lock);                                                            \
    }
SWITCH(world_freeze_watches, bool, frozen)
SWITCH(world_store_down, bool, down)
SWITCH(world_task_seconds, double, task_s)
SWITCH(world_worker_lease, double, lease_s)

void world_zone(world *w, const char *zone) {
    pthread_mutex_lock(&w->lock);
    g_strlcpy(w->zone, zone, sizeof w->zone);
    pthread_mutex_unlock(&w->lock);
}

void world_lose_worker(world *w) {
    pthread_mutex_lock(&w->lock);
    for (guint i = 0; i < w->tasks->len; i++) {
        struct task *t = &g_array_index(w->tasks, struct task, i);
        if (t->standing == 1) {
            end_task(w, t, 3, rr_steady_clock_s());
        }
    }
    g_array_set_size(w->tasks, 0);
    w->up = false;
    pthread_mutex_unlock(&w->lock);
}

GArray *world_runs(world *w) {
    pthread_mutex_lock(&w->lock);
    GArray *copy = g_array_copy(w->runs);
    pthread_mutex_unlock(&w->lock);
    return copy;
}

void world_drop_next_answer(world *w) {
    pthread_mutex_lock(&w->lock);
    w->drop_next = true;
    pthread_mutex_unlock(&w->lock);
}

unsigned world_tasks(world *w) {
    unsigned n = 0;
    pthread_mutex_lock(&w->lock);
    for (guint i = 0; i < w->tasks->len; i++) {
        n += g_array_index(w->tasks, struct task, i).standing == 1;
    }
    pthread_mutex_unlock(&w->lock);
    return n;
}

double world_started(world *w, const char *piece) {
    pthread_mutex_lock(&w->lock);
    const double *at = g_hash_table_lookup(w->started, piece);
    double started = at ? *at : 0;
    pthread_mutex_unlock(&w->lock);
    return started;
}

unsigned world_restarted(world *w) {
    pthread_mutex_lock(&w->lock);
    unsigned n = w->restarted;
    pthread_mutex_unlock(&w->lock);
    return n;
}

unsigned world_rented(world *w) {
    pthread_mutex_lock(&w->lock);
    unsigned n = w->rented;
    pthread_mutex_unlock(&w->lock);
    return n;
}

/* Below the system's own range for outgoing connections (32768 and up): one taken from there was
 * given to a connection before the controller that was to listen on it had started. */
#define PORTS_FROM 10240u
#define PORTS 20000u

static bool port_is_free(uint16_t port) {
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool is_free = bind(fd, (struct sockaddr *)&a, sizeof a) == 0;
    close(fd);
    return is_free;
}

uint16_t world_free_port(void) {
    static unsigned next; /* tests that run side by side begin at different ones */
    next = next ? next : (unsigned)getpid() * 131;
    uint16_t port;
    do {
        port = (uint16_t)(PORTS_FROM + next++ % PORTS);
    } while (!port_is_free(port));
    return port;
}

int world_dial(const struct rr_endpoint *to) {
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(to->port)};
    struct timeval tv = {20, 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    inet_pton(AF_INET, to->host, &a.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
    if (fd >= 0 && connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        close(fd);
        fd = -1;
    }
    return fd;
}

void world_config(world *w, struct rr_config *c, const char *name) {
    memset(c, 0, sizeof *c);
    struct rr_endpoint local = {.host = "127.0.0.1"};
    g_strlcpy(c->node_name, name, RR_NAME_SIZE);
    g_strlcpy(c->zone, "a", RR_NAME_SIZE);
    c->bind = c->peer_listen = c->cloud = c->state = local;
    c->bind.port = world_free_port();
    c->peer_listen.port = world_free_port();
    c->cloud.port = c->state.port = w->port;
    c->team_count = 1;
    g_strlcpy(c->teams[0].name, "red", RR_NAME_SIZE);
    c->heartbeat_interval_s = 0.5;
    c->lease_s = 10;
    c->cancel_s = 40;
    c->state_rps = 2000;
    c->state_write_rps = 1000;
    c->value_kb = 8;
    c->transaction_changes_max = 16;
    c->cloud_rps = 100;
    c->list_lag_s = 0.5;
    c->max_sockets = 500;
    c->ram_mb = 200;
    rr_settings_defaults(&c->tuning);
    c->tuning.idle_return_s = 1000;
    pthread_mutex_lock(&w->lock);
    w->reports_to = c->bind;
    w->next = w->controllers->len;
    g_array_append_val(w->controllers, c->bind);
    pthread_mutex_unlock(&w->lock);
}

int world_call(const struct rr_config *c, const char *method, const char *path, const void *body,
               size_t len, rr_document *doc) {
    rr_client *client = rr_client_create(NULL);
    rr_reply reply;
    struct rr_call call = {.method = method,
                           .to = &c->bind,
                           .path = path,
                           .body = body,
                           .len = len,
                           .timeout_s = 6,
                           .fresh = true};
    int rc = rr_client_call(client, &call, &reply);
    if (rc == 0 && doc) {
        rr_document_parse(doc, reply.body->data, reply.body->len);
    }
    rr_client_destroy(client);
    return rc == 0 ? (int)reply.status : -1;
}

int world_submit(const struct rr_config *c, const rr_submission *submission) {
    rr_encoder out;
    rr_encoder_init(&out);
    rr_encode_map(&out, rr_submission_field_count(submission));
    rr_submission_encode_fields(&out, submission);
    int status = world_call(c, "POST", "/submissions", out.buffer.data, out.buffer.size, NULL);
    rr_encoder_clear(&out);
    return status;
}
