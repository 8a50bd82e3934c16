#include "fakes.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct fx_value {
    void *data;
    size_t len;
    uint64_t version;
};

struct fx_change {
    char *key;
    void *data; /* NULL: deleted */
    size_t len;
    uint64_t version;
};

static void value_free(gpointer p) {
    struct fx_value *v = p;
    g_free(v->data);
    g_free(v);
}

static void change_free(gpointer p) {
    struct fx_change *c = p;
    g_free(c->key);
    g_free(c->data);
    g_free(c);
}

fx_store *fx_store_create(void) {
    fx_store *s = g_new0(fx_store, 1);
    s->kv = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_free);
    s->log = g_ptr_array_new_with_free_func(change_free);
    return s;
}

void fx_store_destroy(fx_store *s) {
    g_hash_table_destroy(s->kv);
    g_ptr_array_free(s->log, TRUE);
    g_free(s);
}

uint64_t fx_mark(const fx_store *s, const char *key) {
    const struct fx_value *v = g_hash_table_lookup(s->kv, key);
    return v ? v->version : 0;
}

uint64_t fx_log_mark(const fx_store *s, guint i) {
    return ((const struct fx_change *)g_ptr_array_index(s->log, i))->version;
}

void fx_each(const fx_store *s, fx_record_fn fn, void *user) {
    GHashTableIter it;
    gpointer key, value;
    g_hash_table_iter_init(&it, s->kv);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const struct fx_value *record = value;
        rr_document doc;
        assert_int_equal(rr_document_parse(&doc, record->data, record->len), 0);
        fn(user, key, doc.root, record->version);
        rr_document_clear(&doc);
    }
}

unsigned fx_count(const fx_store *s, const char *prefix) {
    GHashTableIter it;
    gpointer k;
    unsigned n = 0;
    g_hash_table_iter_init(&it, s->kv);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        n += g_str_has_prefix(k, prefix);
    }
    return n;
}

/* As the state service counts it. */
static size_t json_size(const void *data, size_t len) {
    static char text[256 * 1024];
    rr_document d;
    assert_int_equal(rr_document_parse(&d, data, len), 0);
    int n = msgpack_object_print_buffer(text, sizeof text, *d.root);
    rr_document_clear(&d);
    return (size_t)n;
}

size_t fx_value_size(const fx_store *s, const char *key) {
    const struct fx_value *v = g_hash_table_lookup(s->kv, key);
    return v ? json_size(v->data, v->len) : 0;
}

static bool within_limits(const fx_store *s, const rr_transaction *t) {
    if (s->ops_max && (t->changes->len > s->ops_max || t->guards->len > 4 * s->ops_max)) {
        return false;
    }
    for (guint i = 0; s->value_max && i < t->changes->len; i++) {
        const rr_change *c = &g_array_index(t->changes, rr_change, i);
        if (c->value && json_size(c->value, c->length) > s->value_max) {
            return false;
        }
    }
    return true;
}

int fx_commit(fx_store *s, const rr_transaction *t) {
    if (!within_limits(s, t)) {
        return -EINVAL;
    }
    for (guint i = 0; i < t->guards->len; i++) {
        const rr_guard *g = &g_array_index(t->guards, rr_guard, i);
        if (fx_mark(s, g->key) != g->version) {
            return -EAGAIN;
        }
    }
    s->epoch++;
    for (guint i = 0; i < t->changes->len; i++) {
        const rr_change *c = &g_array_index(t->changes, rr_change, i);
        struct fx_change *log = g_new0(struct fx_change, 1);
        log->key = g_strdup(c->key);
        log->version = s->epoch;
        if (c->value) {
            struct fx_value *v = g_new0(struct fx_value, 1);
            v->data = g_memdup2(c->value, c->length);
            v->len = log->len = c->length;
            v->version = s->epoch;
            log->data = g_memdup2(c->value, c->length);
            g_hash_table_replace(s->kv, g_strdup(c->key), v);
        } else {
            g_hash_table_remove(s->kv, c->key);
        }
        g_ptr_array_add(s->log, log);
    }
    return 0;
}

void fx_sync(fx_store *s, rr_core *c, double now) {
    uint64_t from = rr_core_revision(c);
    if (!rr_core_cache_loaded(c)) {
        rr_core_cache_begin_reload(c);
    }
    for (guint i = 0; i < s->log->len; i++) {
        const struct fx_change *ch = g_ptr_array_index(s->log, i);
        if (ch->version <= from) {
            continue;
        }
        if (!ch->data) {
            rr_core_cache_delete(c, ch->key, ch->version, now);
            continue;
        }
        rr_document d;
        assert_int_equal(rr_document_parse(&d, ch->data, ch->len), 0);
        rr_core_cache_put(c, ch->key, d.root, ch->version, now);
        rr_document_clear(&d);
    }
    if (!rr_core_cache_loaded(c)) {
        rr_core_cache_end_reload(c, s->epoch, s->epoch, now);
    }
    rr_core_set_revision(c, s->epoch);
    rr_core_set_cache_current(c, now);
}

static gint by_text(gconstpointer a, gconstpointer b) {
    return strcmp(a, b);
}

void fx_reread(fx_store *s, rr_core *c, double now) {
    GList *keys = g_list_sort(g_hash_table_get_keys(s->kv), by_text);
    rr_core_cache_begin_reload(c);
    for (const GList *k = keys; k; k = k->next) {
        const struct fx_value *v = g_hash_table_lookup(s->kv, k->data);
        rr_document d;
        assert_int_equal(rr_document_parse(&d, v->data, v->len), 0);
        rr_core_cache_put(c, k->data, d.root, v->version, now);
        rr_document_clear(&d);
    }
    rr_core_cache_end_reload(c, s->epoch, s->epoch, now);
    rr_core_set_revision(c, s->epoch);
    rr_core_set_cache_current(c, now);
    g_list_free(keys);
}

GString *fx_dump(const fx_store *s) {
    GString *out = g_string_new(NULL);
    GList *keys = g_list_sort(g_hash_table_get_keys(s->kv), by_text);
    for (const GList *k = keys; k; k = k->next) {
        const struct fx_value *v = g_hash_table_lookup(s->kv, k->data);
        g_string_append_printf(out, "%s ", (const char *)k->data);
        for (size_t i = 0; i < v->len; i++) {
            g_string_append_printf(out, "%02x", ((const uint8_t *)v->data)[i]);
        }
        g_string_append_c(out, '\n');
    }
    g_list_free(keys);
    return out;
}

void fx_put(fx_store *s, const char *key, rr_encoder *o) {
    rr_transaction t;
    rr_transaction_init(&t);
    rr_transaction_put(&t, key, o, 0);
    assert_int_equal(fx_commit(s, &t), 0);
    rr_transaction_clear(&t);
}

void fx_config(struct rr_config *c, const char *name) {
    static const char *const names[] = {"n0", "n1", "n2"};
    memset(c, 0, sizeof *c);
    g_strlcpy(c->node_name, name, RR_NAME_SIZE);
    g_strlcpy(c->zone, "a", RR_NAME_SIZE);
    for (int i = 0; i < 3; i++) {
        if (strcmp(names[i], name) != 0) {
            g_strlcpy(c->peers[c->peer_count++].name, names[i], RR_NAME_SIZE);
        }
    }
    c->team_count = 2;
    g_strlcpy(c->teams[0].name, "red", RR_NAME_SIZE);
    g_strlcpy(c->teams[1].name, "blue", RR_NAME_SIZE);
    c->objective_count = 1;
    g_strlcpy(c->objectives[0].kind, "wait", sizeof c->objectives[0].kind);
    g_strlcpy(c->objectives[0].job_class, "live", RR_NAME_SIZE);
    c->objectives[0].within_s = 5;
    c->heartbeat_interval_s = 3;
    c->lease_s = 30;
    c->cancel_s = 60;
    c->gang_wait_s = 40;
    c->gang_peer_s = 5;
    c->state_rps = 100;
    c->state_write_rps = 50;
    c->value_kb = 4;
    c->transaction_changes_max = 8;
    c->cloud_rps = 5;
    c->list_lag_s = 5;
    c->tuning = (struct rr_tuning){.rebalance_period_s = 30,
                                   .rebalance_moves = 4,
                                   .rebalance = true,
                                   .session_share = 0.35,
                                   .answer_share = 1,
                                   .silent_reports = 2,
                                   .dead_reports = 3.5,
                                   .idle_return_s = 20,
                                   .headroom = 0,
                                   .boot_patience = 2,
                                   .cloud_list_s = 4};
}

void fx_node_init(fx_node *n, fx_store *s, const char *name) {
    memset(n, 0, sizeof *n);
    fx_config(&n->config, name);
    n->store = s;
    n->core = rr_core_create(&n->config);
    n->now = 1000;
    n->spot_notice_s = -1;
}

void fx_node_clear(fx_node *n) {
    rr_core_destroy(n->core);
}

void fx_term(fx_node *n) {
    rr_transaction t;
    rr_transaction_init(&t);
    fx_sync(n->store, n->core, n->now);
    if (rr_core_next_term(n->core, n->now, n->now, &t)) {
        assert_int_equal(fx_commit(n->store, &t), 0);
    }
    rr_transaction_clear(&t);
    fx_sync(n->store, n->core, n->now);
}

static void node_key(const fx_node *n, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "node/%s", n->config.node_name);
}

void fx_join(fx_node *n, uint64_t tether) {
    char key[RR_NAME_SIZE + 16];
    rr_encoder o;
    node_key(n, key, sizeof key);
    rr_encoder_init(&o);
    rr_core_encode_session(&n->config, &o, tether);
    fx_put(n->store, key, &o);
    rr_core_set_session(n->core, tether, n->now + 1e6);
    fx_term(n);
}

void fx_leave(fx_node *n) {
    char key[RR_NAME_SIZE + 16];
    rr_transaction t;
    node_key(n, key, sizeof key);
    rr_transaction_init(&t);
    rr_transaction_delete(&t, key);
    assert_int_equal(fx_commit(n->store, &t), 0);
    rr_transaction_clear(&t);
}

void fx_join_old_version(fx_node *n) {
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 1);
    rr_encode_key_u64(&o, "tether", 44);
    fx_put(n->store, RR_KEY_ROOT "node/n1", &o);
    fx_term(n);
}

void fx_leave_old_version(fx_node *n) {
    rr_transaction t;
    rr_transaction_init(&t);
    rr_transaction_delete(&t, RR_KEY_ROOT "node/n1");
    assert_int_equal(fx_commit(n->store, &t), 0);
    rr_transaction_clear(&t);
    fx_term(n);
}

void fx_build(fx_store *s, const char *sku, double cpu, double gpu, double mem, double price,
              double spot) {
    rr_machine_type b = {.cpus = cpu,
                         .gpus = gpu,
                         .mem_gb = mem,
                         .cache_gb = 100,
                         .pull_rate = 1,
                         .price = price,
                         .spot_price = spot,
                         .startup_s = 30};
    char key[128];
    rr_encoder o;
    g_strlcpy(b.name, sku, sizeof b.name);
    b.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(b.zones, g_strdup("a"));
    g_ptr_array_add(b.zones, g_strdup("b"));
    rr_encoder_init(&o);
    rr_machine_type_encode(&o, &b);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "build/%s", sku);
    fx_put(s, key, &o);
    rr_machine_type_clear(&b);
}

void fx_submission(rr_submission *out, const struct fx_job *j) {
    static const char *const ranks[] = {"low", "standard", "high", "prod"};
    memset(out, 0, sizeof *out);
    g_strlcpy(out->job_id, j->job_id, sizeof out->job_id);
    g_strlcpy(out->team, j->team ? j->team : "red", sizeof out->team);
    g_strlcpy(out->job_class, j->job_class ? j->job_class : "plain", sizeof out->job_class);
    g_strlcpy(out->image, j->image ? j->image : "img-1", sizeof out->image);
    g_strlcpy(out->zone, j->zone ? j->zone : "", sizeof out->zone);
    for (int i = 0; i < 4; i++) {
        if (strcmp(ranks[i], j->rank ? j->rank : "standard") == 0) {
            out->priority = (enum rr_priority)i;
        }
    }
    out->kind = j->gang ? RR_JOB_GANG : j->service ? RR_JOB_SERVICE : RR_JOB_ARRAY;
    out->task_count = j->pieces ? j->pieces : 1;
    out->cpus = j->cpus ? j->cpus : 4;
    out->gpus = j->gpus;
    out->mem_gb = j->mem_gb ? j->mem_gb : 8;
    out->one_zone = j->one_zone;
    out->spread = j->spread;
    out->spot = j->spot;
    out->checkpoint_interval_s = j->checkpoint_interval_s;
    out->save_s = j->save_s;
    out->deadline_s = j->deadline_s > 0 ? j->deadline_s : -1;
}

void fx_submit(fx_store *s, const struct fx_job *j, double at) {
    rr_submission sub;
    char key[128];
    rr_encoder o;
    fx_submission(&sub, j);
    rr_encoder_init(&o);
    rr_core_job_encode(&o, &sub, at, false);
    rr_core_job_key(j->job_id, key, sizeof key);
    fx_put(s, key, &o);
}

void fx_cancel(fx_node *n, const char *ref) {
    char key[128];
    uint64_t mark;
    rr_encoder o;
    rr_transaction t;
    rr_encoder_init(&o);
    assert_true(rr_core_cancel_record(n->core, ref, &o, &mark));
    rr_core_job_key(ref, key, sizeof key);
    rr_transaction_init(&t);
    rr_transaction_guard(&t, key, mark);
    rr_transaction_put(&t, key, &o, 0);
    assert_int_equal(fx_commit(n->store, &t), 0);
    rr_transaction_clear(&t);
    fx_sync(n->store, n->core, n->now);
}

void fx_machine(fx_store *s, const char *id, const char *zone, bool spot, bool own) {
    char key[128], addr[64];
    rr_encoder o;
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", 1000 + atoi(id + 3));
    rr_encoder_init(&o);
    rr_encode_map(&o, 1);
    rr_encode_text(&o, "stones");
    rr_encode_array(&o, 1);
    rr_encode_array(&o, 6);
    rr_encode_text(&o, id);
    rr_encode_text(&o, addr);
    rr_encode_text(&o, "m1");
    rr_encode_text(&o, zone);
    rr_encode_u64(&o, (spot ? 1 : 0) | (own ? 2 : 0));
    rr_encode_number(&o, 0);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", atoi(id + 3) + 100000);
    fx_put(s, key, &o);
}

void fx_machine_gone(fx_store *s, const char *id) {
    char key[128];
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 1);
    rr_encode_text(&o, "stones");
    rr_encode_array(&o, 0);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", atoi(id + 3) + 100000);
    fx_put(s, key, &o);
}

/* Whether a record of the fleet names the machine. */
bool fx_recorded(const fx_store *s, const char *id) {
    GHashTableIter it;
    gpointer k, v;
    bool found = false;
    g_hash_table_iter_init(&it, s->kv);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct fx_value *val = v;
        rr_document d;
        if (!g_str_has_prefix(k, RR_KEY_ROOT "fleet/")) {
            continue;
        }
        assert_int_equal(rr_document_parse(&d, val->data, val->len), 0);
        const msgpack_object *list = rr_map_get(d.root, "stones");
        for (uint32_t i = 0; i < list->via.array.size; i++) {
            found = found || rr_object_text_equals(&list->via.array.ptr[i].via.array.ptr[0], id);
        }
        rr_document_clear(&d);
    }
    return found;
}

static void add_piece(rr_heartbeat *r, const char *text) {
    static const char *const standings[] = {"fetching", "running", "flushing", "ended", "waiting"};
    static const char *const causes[] = {"",       "done",    "halted", "error",     "full",
                                         "in_use", "no_such", "peers",  "incomplete"};
    rr_task_status p = {0};
    char **f = g_strsplit(text, " ", 4);
    char **sc = g_strsplit(f[3], ":", 2);
    g_strlcpy(p.job_id, f[0], sizeof p.job_id);
    p.task = (uint32_t)atoi(f[1]);
    p.attempt = g_ascii_strtoull(f[2], NULL, 10);
    for (int i = 0; i < 5; i++) {
        p.state = strcmp(standings[i], sc[0]) == 0 ? (enum rr_task_state)i : p.state;
    }
    for (int i = 1; sc[1] && i < 9; i++) {
        p.exit_reason = strcmp(causes[i], sc[1]) == 0 ? (enum rr_exit_reason)i : p.exit_reason;
    }
    g_array_append_val(r->tasks, p);
    g_strfreev(sc);
    g_strfreev(f);
}

void fx_report(fx_node *n, const char *id, const char *zone, bool spot, uint64_t worker_epoch,
               uint64_t sequence, uint64_t fencing_token, ...) {
    rr_heartbeat r = {.spot = spot,
                      .worker_epoch = worker_epoch,
                      .sequence = sequence,
                      .fencing_token = fencing_token,
                      .spot_notice_s = n->spot_notice_s};
    va_list ap;
    const char *text;
    g_strlcpy(r.machine, id, sizeof r.machine);
    g_snprintf(r.address, sizeof r.address, "127.0.0.1:%d", 1000 + atoi(id + 3));
    g_strlcpy(r.machine_type, "m1", sizeof r.machine_type);
    g_strlcpy(r.zone, zone, sizeof r.zone);
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    va_start(ap, fencing_token);
    while ((text = va_arg(ap, const char *))) {
        add_piece(&r, text);
    }
    va_end(ap);
    rr_core_take_heartbeat(n->core, n->now, &r, -1);
    rr_heartbeat_clear(&r);
}

int fx_plan(fx_node *n, rr_plan *p) {
    int done = 0;
    rr_plan_init(p);
    rr_core_plan(n->core, n->now, n->now, p);
    if (p->has_transaction) {
        done = fx_commit(n->store, &p->transaction) == 0;
    }
    fx_sync(n->store, n->core, n->now);
    return done;
}

static uint64_t booked_in(const struct fx_value *v, const char *id, uint32_t task) {
    uint64_t found = 0;
    rr_document d;
    assert_int_equal(rr_document_parse(&d, v->data, v->len), 0);
    const msgpack_object *list = rr_map_get(d.root, "tasks");
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        const msgpack_object *f = list->via.array.ptr[i].via.array.ptr;
        if (rr_object_text_equals(&f[1], id) && f[0].via.u64 == task) {
            found = f[2].via.u64;
        }
    }
    rr_document_clear(&d);
    return found;
}

#define CHUNK_TASKS 64 /* of the fixture's settings */

/* In the record of the task's chunk, or in those that follow it: overflow records. */
uint64_t fx_booked(const fx_store *s, const char *id, const char *ref, uint32_t task) {
    uint64_t found = 0;
    for (uint32_t chunk = task / CHUNK_TASKS; found == 0; chunk++) {
        char key[128];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%u", ref, chunk);
        const struct fx_value *v = g_hash_table_lookup(s->kv, key);
        if (!v) {
            break;
        }
        found = booked_in(v, id, task);
    }
    return found;
}

/* What the machine shows; the texts are the caller's. */
static int shown_on(const fx_node *n, const struct fx_show *show, int machine, char **texts) {
    char id[16];
    int shown = 0;
    g_snprintf(id, sizeof id, "vm-%d", machine);
    for (int i = 0; i < show->jobs; i++) {
        for (uint32_t t = 0; t < show->tasks && shown < show->most; t++) {
            uint64_t at = fx_booked(n->store, id, show->refs[i], t);
            if (at) {
                texts[shown] =
                    g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", show->refs[i], t, at,
                                    show->state(machine, show->refs[i], t, shown, show->sequence));
                shown++;
            }
        }
    }
    return shown;
}

void fx_show_jobs(fx_node *n, const struct fx_show *show) {
    for (int m = show->first; m <= show->last; m++) {
        char id[16], *t[FX_SHOWN_MAX + 1] = {NULL};
        int shown = shown_on(n, show, m, t);
        g_snprintf(id, sizeof id, "vm-%d", m);
        fx_report(n, id, m <= show->last_in_a ? "a" : "b", false, show->worker_epoch,
                  show->sequence, rr_core_fencing_token(n->core), t[0], t[1], t[2], t[3], t[4],
                  t[5], t[6], t[7], t[8], t[9], t[10], t[11], t[12], t[13], t[14], t[15], NULL);
        for (int i = 0; i < shown; i++) {
            g_free(t[i]);
        }
    }
}

rr_command_batch *fx_do(const rr_plan *p, const char *id) {
    for (guint i = 0; i < p->command_batches->len; i++) {
        rr_command_batch *d = g_ptr_array_index(p->command_batches, i);
        if (strcmp(d->machine, id) == 0) {
            return d;
        }
    }
    return NULL;
}

const rr_command *fx_order(const rr_plan *p, const char *id, enum rr_command_kind verb,
                           const char *ref, uint32_t task) {
    const rr_command_batch *d = fx_do(p, id);
    for (guint i = 0; d && i < d->commands->len; i++) {
        const rr_command *o = &g_array_index(d->commands, rr_command, i);
        if (o->kind == verb && o->task == task && strcmp(o->job_id, ref) == 0) {
            return o;
        }
    }
    return NULL;
}

int fx_world_setup(void **state) {
    fx_world *w = g_new0(fx_world, 1);
    w->store = fx_store_create();
    fx_build(w->store, "m1", 16, 4, 64, 10, 4);
    fx_node_init(&w->n, w->store, "n0");
    fx_join(&w->n, 7);
    *state = w;
    return 0;
}

int fx_world_teardown(void **state) {
    fx_world *w = *state;
    fx_node_clear(&w->n);
    fx_store_destroy(w->store);
    g_free(w);
    return 0;
}

static void put_fleet(fx_store *s, int first, int n, const char *zone, bool own) {
    char key[64], id[32], addr[32];
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 1);
    rr_encode_text(&o, "stones");
    rr_encode_array(&o, (size_t)n);
    for (int i = first; i < first + n; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        g_snprintf(addr, sizeof addr, "127.0.0.1:%d", 1000 + i);
        rr_encode_array(&o, 6);
        rr_encode_text(&o, id);
        rr_encode_text(&o, addr);
        rr_encode_text(&o, "m1");
        rr_encode_text(&o, zone);
        rr_encode_u64(&o, own ? 2 : 0);
        rr_encode_number(&o, 0);
    }
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", first);
    fx_put(s, key, &o);
}

void fx_fleet(fx_node *n, int first, int many, const char *zone) {
    char id[32];
    for (int i = 0; i < many; i += 40) {
        put_fleet(n->store, first + i, many - i < 40 ? many - i : 40, zone, true);
    }
    fx_sync(n->store, n->core, n->now);
    for (int i = first; i < first + many; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_report(n, id, zone, false, 1, 1, rr_core_fencing_token(n->core), NULL);
    }
}

unsigned fx_placed(const fx_store *s, const char *ref) {
    GHashTableIter it;
    gpointer k, v;
    unsigned n = 0;
    char prefix[64];
    g_snprintf(prefix, sizeof prefix, RR_KEY_ROOT "run/%s/", ref);
    g_hash_table_iter_init(&it, s->kv);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct fx_value *val = v;
        rr_document d;
        if (g_str_has_prefix(k, prefix)) {
            assert_int_equal(rr_document_parse(&d, val->data, val->len), 0);
            n += rr_map_get(d.root, "tasks")->via.array.size;
            rr_document_clear(&d);
        }
    }
    return n;
}

void fx_listed(GArray *list, const char *id, const char *zone, enum rr_listed_state state,
               double age_s) {
    rr_listed_machine machine = {.state = state, .age_s = age_s};
    g_strlcpy(machine.id, id, sizeof machine.id);
    g_strlcpy(machine.machine_type, "m1", sizeof machine.machine_type);
    g_strlcpy(machine.zone, zone, sizeof machine.zone);
    g_strlcpy(machine.address, "127.0.0.1:1", sizeof machine.address);
    g_array_append_val(list, machine);
}

void fx_provisioner_step(fx_node *n, const GArray *machines, rr_autoscaler_step *out) {
    rr_autoscaler_step_init(out);
    rr_core_autoscaler_step(n->core, n->now, n->now, out);
    if (out->kind == RR_AUTOSCALER_COMMIT) {
        fx_commit(n->store, &out->transaction);
        fx_sync(n->store, n->core, n->now);
    } else if (out->kind == RR_AUTOSCALER_LIST) {
        rr_core_machines_listed(n->core, n->now, n->now, n->now, machines);
    }
}
