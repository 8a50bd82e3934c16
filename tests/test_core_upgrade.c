/* Two versions side by side, and the state service's limits lowered while records of before are
 * stored: what each writes the other reads, and what was stored larger is still worked on. */
#include "scene.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static char *fixture(void) {
    char *text = NULL;
    assert_true(g_file_get_contents(RR_FIXTURES "/production.txt", &text, NULL, NULL));
    return text;
}

/* The line of the session's record goes out of `text` and comes back. */
static char *take_session(GString *text) {
    const char *line = strstr(text->str, RR_KEY_ROOT "node/n0 ");
    gssize at = line - text->str, len = strchr(line, '\n') - line;
    char *out = g_strndup(line, (gsize)len);
    g_string_erase(text, at, len + 1);
    return out;
}

static guint8 *from_hex(const char *hex, size_t *len);

/* As long as no gang is asked for, this version writes the very bytes that the one in production
 * writes, but for its session's record: that names what it is able to do, in a field that
 * production passes over, beside the one that it reads. */
static void writes_what_production_writes(void **state) {
    (void)state;
    char *text = fixture();
    GString *is = scene_play(), *was = g_string_new(text);
    char *old = take_session(was), *new = take_session(is);
    uint64_t tether = 0, able = 0;
    size_t len;
    rr_document d;
    assert_string_equal(is->str, was->str);
    assert_string_not_equal(old, new);
    guint8 *data = from_hex(strchr(new, ' ') + 1, &len);
    assert_int_equal(rr_document_parse(&d, data, len), 0);
    assert_true(rr_map_get_u64(d.root, "tether", &tether) && tether == 7);
    assert_true(rr_map_get_u64(d.root, "able", &able) && able == 1);
    rr_document_clear(&d);
    g_free(data);
    g_free(old);
    g_free(new);
    g_string_free(is, TRUE);
    g_string_free(was, TRUE);
    g_free(text);
}

static guint8 *from_hex(const char *hex, size_t *len) {
    *len = strlen(hex) / 2;
    guint8 *out = g_malloc(*len + 1);
    for (size_t i = 0; i < *len; i++) {
        out[i] =
            (guint8)(g_ascii_xdigit_value(hex[2 * i]) << 4 | g_ascii_xdigit_value(hex[2 * i + 1]));
    }
    return out;
}

static void read_frames(const guint8 *data, size_t len) {
    static const uint8_t types[] = {RR_FRAME_HELLO, RR_FRAME_SENT_AT, RR_FRAME_HEARTBEAT_DIGESTS,
                                    RR_FRAME_SUSPECT};
    size_t at = 0;
    for (int i = 0; i < 4; i++) {
        uint8_t type;
        uint32_t n;
        assert_true(at + RR_FRAME_HEADER_BYTES <= len);
        assert_int_equal(rr_frame_head(data + at, &type, &n), 0);
        assert_int_equal(type, types[i]);
        at += RR_FRAME_HEADER_BYTES + n;
    }
    assert_int_equal(at, len);
}

/* A controller that starts on production's records knows its jobs, machines and bookings. */
static void reads_production(void **state) {
    (void)state;
    char *was = fixture(), **lines = g_strsplit(was, "\n", 0);
    fx_store *s = fx_store_create();
    fx_node n;
    rr_job_view v;
    rr_core_stats st;
    fx_node_init(&n, s, "n0");
    rr_core_cache_begin_reload(n.core);
    for (int i = 0; lines[i] && lines[i][0]; i++) {
        char *hex = strchr(lines[i], ' ');
        size_t len;
        *hex++ = 0;
        guint8 *data = from_hex(hex, &len);
        if (strcmp(lines[i], "frames") == 0) {
            read_frames(data, len);
        } else {
            rr_document d;
            assert_int_equal(rr_document_parse(&d, data, len), 0);
            rr_core_cache_put(n.core, lines[i], d.root, (uint64_t)i + 1, n.now);
            rr_document_clear(&d);
        }
        g_free(data);
    }
    rr_core_cache_end_reload(n.core, 50, 50, n.now);
    rr_core_set_revision(n.core, 50);
    rr_core_set_session(n.core, 7, n.now + 100);
    assert_true(rr_core_lease_valid(n.core, n.now));
    rr_core_job_view(n.core, "req-1", n.now, &v);
    assert_true(v.known && !v.done && v.done_count == 1);
    rr_core_job_view(n.core, "req-4", n.now, &v);
    assert_true(v.cancelled);
    rr_core_get_stats(n.core, &st);
    assert_int_equal(st.machines, 3);
    assert_int_equal(st.tasks_placed, 6);
    fx_node_clear(&n);
    fx_store_destroy(s);
    g_strfreev(lines);
    g_free(was);
}

/* ---- lower limits ---- */

#define NEXT_KB 2.0
#define NEXT_OPS 4

static int setup(void **state) {
    fx_world_setup(state);
    fx_world *w = *state;
    w->n.config.next_value_kb = NEXT_KB;
    w->n.config.next_transaction_changes_max = NEXT_OPS;
    return 0;
}

static void lower(fx_store *s) {
    s->value_max = (size_t)(NEXT_KB * 1024);
    s->ops_max = NEXT_OPS;
}

/* Plans; a transaction that the store calls invalid is told of, as the shell does. */
static int plan(fx_node *n) {
    rr_plan p;
    int rc = 0;
    rr_plan_init(&p);
    rr_core_plan(n->core, n->now, n->now, &p);
    if (p.has_transaction) {
        rc = fx_commit(n->store, &p.transaction);
        if (rc == -EINVAL) {
            rr_core_lower_limits(n->core, false);
        }
    }
    fx_sync(n->store, n->core, n->now);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&p);
    return rc;
}

static void assert_small(const fx_store *s, const char *ref) {
    for (int chunk = 0; chunk < 8; chunk++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", ref, chunk);
        assert_true(fx_value_size(s, key) <= s->value_max);
    }
}

/* From the first write on everything keeps to the smaller limits: an array that would fill a record
 * of the old size, the fleet, and what ends and is cancelled. All its tasks run at once all the
 * same, in overflow records, as soon as no controller is left that does not read them. (A
 * deployment ran 41 tasks of an array at a time, on half of its machines.) */
static void the_first_write_is_small(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    fx_join_old_version(n);
    fx_fleet(n, 1, 20, "a"); /* written by an old version: 40 machines a page */
    lower(w->store);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, n->now);
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 12; i++) {
        n->now += 0.5;
        assert_int_not_equal(plan(n), -EINVAL);
    }
    unsigned placed = fx_placed(w->store, "req-1");
    assert_true(placed >= 30 && placed < 60); /* the rest of the record's tasks wait for others */
    assert_int_equal(fx_count(w->store, RR_KEY_ROOT "run/req-1/"), 1);
    fx_leave_old_version(n);
    for (int m = 1; m <= 20; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        fx_report(n, id, "a", false, 1, 8, rr_core_fencing_token(n->core), NULL);
    }
    for (int i = 0; i < 4; i++) {
        n->now += 0.5;
        assert_int_not_equal(plan(n), -EINVAL);
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 60);
    assert_true(fx_count(w->store, RR_KEY_ROOT "run/req-1/") > 1);
    assert_small(w->store, "req-1");
    fx_cancel(n, "req-1");
    for (int m = 1; m <= 20; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        fx_report(n, id, "a", false, 1, 9, rr_core_fencing_token(n->core), NULL);
    }
    for (int i = 0; i < 4; i++) {
        n->now += 0.5;
        assert_int_not_equal(plan(n), -EINVAL);
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
}

static int shown_done; /* tasks below it are shown as done */

static const char *done_or_running(int machine, const char *ref, uint32_t task, int shown,
                                   uint64_t sequence) {
    (void)machine;
    (void)ref;
    (void)shown;
    (void)sequence;
    return (int)task < shown_done ? "ended:done" : "running";
}

/* All machines show the job's tasks: those below `over` as done, the others running. */
static void show_tasks(fx_node *n, const char *ref, int tasks, int over, uint64_t worker_epoch,
                       uint64_t sequence) {
    struct fx_show show = {.first = 1,
                           .last = 20,
                           .last_in_a = 20,
                           .refs = &ref,
                           .jobs = 1,
                           .tasks = (uint32_t)tasks,
                           .most = FX_SHOWN_MAX,
                           .worker_epoch = worker_epoch,
                           .sequence = sequence,
                           .state = done_or_running};
    shown_done = over;
    fx_show_jobs(n, &show);
}

/* No machine has a task any more: all of them lost their leases. */
static void lose_all_leases(fx_node *n) {
    for (int m = 1; m <= 20; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        fx_report(n, id, "a", false, 2, 1, rr_core_fencing_token(n->core), NULL);
    }
}

/* The task has one placement, under an attempt after this one. */
static void assert_one_place(const fx_store *s, uint32_t task, uint64_t after) {
    unsigned places = 0;
    for (int m = 1; m <= 20; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        uint64_t at = fx_booked(s, id, "req-1", task);
        places += at > 0;
        assert_true(at == 0 || at > after);
    }
    assert_int_equal(places, 1);
}

/* So many plans, none of which the state service calls invalid. */
static void plan_on(fx_node *n, int plans) {
    for (int i = 0; i < plans; i++) {
        n->now += 0.5;
        assert_int_not_equal(plan(n), -EINVAL);
        assert_true(fx_placed(n->store, "req-1") <= 60);
    }
}

/* Tasks in overflow records end, are lost and come back as any others do: their completions stand
 * in the record of their chunk, none has two places, and a new owner reads the same. */
static void overflow_records_are_worked_on(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, next;
    rr_job_view v;
    fx_fleet(n, 1, 20, "a");
    lower(w->store);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, n->now);
    fx_sync(w->store, n->core, n->now);
    plan_on(n, 4);
    assert_int_equal(fx_placed(w->store, "req-1"), 60);
    /* All tasks come back under new attempts, none beside its old placement. */
    uint64_t first = fx_booked(w->store, "vm-1", "req-1", 0);
    lose_all_leases(n);
    plan_on(n, 12);
    assert_int_equal(fx_placed(w->store, "req-1"), 60);
    assert_small(w->store, "req-1");
    for (uint32_t t = 0; t < 60; t++) {
        assert_one_place(w->store, t, first);
    }
    fx_node_init(&next, w->store, "n1");
    next.config.next_value_kb = NEXT_KB;
    next.config.next_transaction_changes_max = NEXT_OPS;
    next.now = n->now;
    fx_reread(w->store, next.core, next.now);
    fx_leave(n);
    fx_join(&next, 9);
    show_tasks(&next, "req-1", 60, 50, 2, 2);
    plan_on(&next, 6);
    rr_core_job_view(next.core, "req-1", next.now, &v);
    assert_int_equal(v.done_count, 50);
    assert_false(v.done);
    show_tasks(&next, "req-1", 60, 60, 2, 3);
    plan_on(&next, 6);
    rr_core_job_view(next.core, "req-1", next.now, &v);
    assert_true(v.done);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
    fx_node_clear(&next);
}

/* A ledger record as any version writes it: `count` tasks from `first` on, each on the machine of
 * its number, under attempts from `attempt` on. */
static void put_record(fx_world *w, const char *ref, int chunk, int first, int count,
                       uint64_t attempt) {
    char key[64];
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 2);
    rr_encode_key_text(&o, "bits", "0000000000000000");
    rr_encode_text(&o, "tasks");
    rr_encode_array(&o, (size_t)count);
    for (int t = first; t < first + count; t++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", t % 20 + 1);
        rr_encode_array(&o, 5);
        rr_encode_u64(&o, (uint64_t)t);
        rr_encode_text(&o, id);
        rr_encode_u64(&o, attempt + (uint64_t)t);
        rr_encode_u64(&o, 1);
        rr_encode_u64(&o, 0);
    }
    g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", ref, chunk);
    fx_put(w->store, key, &o);
    fx_sync(w->store, w->n.core, w->n.now);
}

#define OLD_ATTEMPT (((uint64_t)5000 << 32) + 500)

/* A ledger record of an old version, larger than the limit: */
static void put_old_record(fx_world *w, const char *ref, int tasks) {
    put_record(w, ref, 0, 0, tasks, OLD_ATTEMPT);
}

/* A task is lost whose record can't be written yet: it waits, and nothing else does. Its failure
 * was taken for a want of room, and arrays that asked for as much waited for minutes. */
static void a_blocked_task_blocks_nothing_else(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    fx_fleet(n, 1, 20, "a");
    fx_submit(w->store,
              &(struct fx_job){.job_id = "req-1", .pieces = 60, .cpus = 1, .deadline_s = 10},
              n->now);
    put_old_record(w, "req-1", 60);
    lower(w->store);
    rr_core_lower_limits(n->core, false);
    show_tasks(n, "req-1", 60, 0, 1, 2);
    fx_report(n, "vm-1", "a", false, 2, 1, rr_core_fencing_token(n->core), NULL);
    n->now += 1;
    assert_int_not_equal(plan(n), -EINVAL);
    for (int i = 0; i < 10; i++) {
        char ref[16];
        g_snprintf(ref, sizeof ref, "req-2%02d", i);
        fx_submit(w->store, &(struct fx_job){.job_id = ref, .cpus = 1, .deadline_s = 100}, n->now);
        fx_sync(w->store, n->core, n->now);
        n->now += 2; /* what failed is tried again in the same plan */
        show_tasks(n, "req-1", 60, 0, 1, (uint64_t)i + 3);
        assert_int_not_equal(plan(n), -EINVAL);
        assert_int_equal(fx_placed(w->store, ref), 1);
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 60);
}

/* While the older placement of a task stands in an overflow record, not proven over, the newer one
 * in its chunk's record does not start. */
static void an_older_placement_in_an_overflow_record(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    fx_fleet(n, 1, 20, "a");
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, n->now);
    put_record(w, "req-1", 1, 50, 1, OLD_ATTEMPT);
    put_record(w, "req-1", 0, 50, 1, OLD_ATTEMPT + 100);
    n->now += 1;
    fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        const rr_command_batch *d = g_ptr_array_index(p.command_batches, i);
        for (guint k = 0; k < d->commands->len; k++) {
            const rr_command *o = &g_array_index(d->commands, rr_command, k);
            assert_false(o->kind == RR_COMMAND_START && o->task == 50 &&
                         o->attempt == OLD_ATTEMPT + 100 + 50);
        }
    }
    rr_plan_clear(&p);
}

/* A task lost in an overflow record is booked anew where there is room by then, in the record of
 * its chunk, and the same change takes its old placement out. */
static void a_task_moves_back_to_its_chunk(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    fx_fleet(n, 1, 20, "a");
    lower(w->store);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, n->now);
    put_record(w, "req-1", 0, 0, 41, OLD_ATTEMPT);
    put_record(w, "req-1", 1, 41, 19, OLD_ATTEMPT);
    show_tasks(n, "req-1", 60, 10, 1, 2);
    n->now += 1;
    assert_int_equal(plan(n), 0);
    assert_int_equal(fx_placed(w->store, "req-1"), 50);
    /* Task 50 ran on vm-11, which lost its lease; what else was there is done. Changes are short,
     * so that lost placements are not cleared for their own sake. */
    rr_core_set_pressure(n->core, 1, NEXT_OPS);
    uint64_t lost = fx_booked(w->store, "vm-11", "req-1", 50);
    assert_true(lost != 0);
    fx_report(n, "vm-11", "a", false, 2, 1, rr_core_fencing_token(n->core), NULL);
    for (int i = 0; i < 6; i++) {
        unsigned places = 0;
        n->now += 0.5;
        assert_int_not_equal(plan(n), -EINVAL);
        for (int m = 1; m <= 20; m++) {
            char id[16];
            g_snprintf(id, sizeof id, "vm-%d", m);
            places += fx_booked(w->store, id, "req-1", 50) != 0;
        }
        assert_true(places <= 1);
        assert_true(fx_placed(w->store, "req-1") <= 50);
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 50);
}

/* It stays readable and is worked on: a write that is refused shows the new limit, and from then on
 * it waits until what is over brings it below. Nothing of it is lost, and other jobs go on. */
static void an_old_record_beyond_the_limit(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    const int tasks = 60;
    rr_job_view v;
    fx_fleet(n, 1, 20, "a");
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, n->now);
    put_old_record(w, "req-1", tasks);
    assert_true(fx_value_size(w->store, RR_KEY_ROOT "run/req-1/0") > (size_t)(NEXT_KB * 1024));
    /* Not lowered yet: it may be written again while it does not grow. */
    show_tasks(n, "req-1", tasks, 2, 1, 2);
    n->now += 1;
    assert_int_equal(plan(n), 0);
    assert_int_equal(fx_placed(w->store, "req-1"), 58);
    lower(w->store);
    show_tasks(n, "req-1", tasks, 4, 1, 3);
    n->now += 1;
    assert_int_equal(plan(n), -EINVAL);
    for (int i = 0; i < 3; i++) {
        n->now += 1;
        assert_int_not_equal(plan(n), -EINVAL);
    }
    assert_int_equal(fx_placed(w->store, "req-1"), 58);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-2", .cpus = 1}, n->now);
    fx_sync(w->store, n->core, n->now);
    show_tasks(n, "req-1", tasks, 30, 1, 4);
    n->now += 1;
    assert_int_equal(plan(n), 0);
    assert_int_equal(fx_placed(w->store, "req-1"), 30);
    for (int i = 0; i < 3; i++) {
        n->now += 1;
        plan(n);
    }
    assert_int_equal(fx_placed(w->store, "req-2"), 1);
    show_tasks(n, "req-1", tasks, tasks, 1, 5);
    for (int i = 0; i < 3; i++) {
        n->now += 1;
        assert_int_not_equal(plan(n), -EINVAL);
    }
    rr_core_job_view(n->core, "req-1", n->now, &v);
    assert_true(v.done);
}

/* An old page of machines beyond the limit is parted by changes that each fit, and at no moment
 * does a reader, one that follows or one that reads all anew, see any of its machines in no page.
 */
static void an_old_page_is_parted(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, other;
    rr_core_stats st;
    rr_autoscaler_step s;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fx_node_init(&other, w->store, "n1");
    fx_fleet(n, 1, 40, "a");
    fx_sync(w->store, other.core, other.now);
    for (int i = 1; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_listed(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    assert_true(fx_value_size(w->store, RR_KEY_ROOT "fleet/00000001") > (size_t)(NEXT_KB * 1024));
    lower(w->store);
    for (int i = 0; i < 20; i++) {
        fx_provisioner_step(n, machines, &s);
        rr_autoscaler_step_clear(&s);
        n->now += 0.6;
        fx_node fresh;
        fx_node_init(&fresh, w->store, "n2");
        fx_reread(w->store, fresh.core, fresh.now);
        fx_sync(w->store, other.core, other.now);
        rr_core_get_stats(fresh.core, &st);
        assert_int_equal(st.machines, 40);
        rr_core_get_stats(other.core, &st);
        assert_int_equal(st.machines, 40);
        rr_core_get_stats(n->core, &st);
        assert_int_equal(st.machines, 40);
        assert_int_equal(st.booting, 0); /* what was heard of them is kept */
        fx_node_clear(&fresh);
    }
    assert_true(fx_count(w->store, RR_KEY_ROOT "fleet/") >= 2);
    for (int i = 1; i <= (int)fx_count(w->store, RR_KEY_ROOT "fleet/"); i++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", i);
        assert_true(fx_value_size(w->store, key) <= w->store->value_max);
    }
    g_array_free(machines, TRUE);
    fx_node_clear(&other);
}

/* Where no lower limits are to come a page that has grown a little beyond what fills one, as
 * addresses came to be known, is written as ever: a machine of it that has gone leaves it. (Every
 * machine of a deployment stayed rented, at twice the price.) */
static void a_page_that_has_grown(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    n->config.next_value_kb = n->config.next_transaction_changes_max = 0;
    fx_fleet(n, 1, 40, "a");
    n->config.value_kb = (double)fx_value_size(w->store, RR_KEY_ROOT "fleet/00000001") / 1024;
    for (int i = 2; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_listed(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    fx_listed(machines, "vm-1", "a", RR_LISTED_FAILED, 0);
    for (int i = 0; i < 20 && fx_recorded(w->store, "vm-1"); i++) {
        fx_provisioner_step(n, machines, &s);
        rr_autoscaler_step_clear(&s);
        n->now += 0.6;
    }
    assert_false(fx_recorded(w->store, "vm-1"));
    assert_true(fx_recorded(w->store, "vm-2"));
    g_array_free(machines, TRUE);
}

/* A transaction went unanswered and its repeat is called invalid: the first copy may be carried out
 * yet, so that nothing is planned before a new term has voided it. */
static void a_doubt_ends_with_a_term(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan late;
    fx_fleet(n, 1, 4, "a");
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_sync(w->store, n->core, n->now);
    rr_plan_init(&late);
    rr_core_plan(n->core, n->now, n->now, &late);
    assert_true(late.has_transaction);
    rr_core_lower_limits(n->core, true);
    uint64_t token = rr_core_fencing_token(n->core);
    assert_int_equal(plan(n), 0);
    assert_int_equal(fx_placed(w->store, "req-1"), 0);
    fx_term(n);
    assert_true(rr_core_fencing_token(n->core) == token + 1);
    assert_int_not_equal(fx_commit(w->store, &late.transaction), 0);
    for (int m = 1; m <= 4; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        fx_report(n, id, "a", false, 1, 9, rr_core_fencing_token(n->core), NULL);
    }
    n->now += 1;
    assert_int_equal(plan(n), 0);
    assert_int_equal(fx_placed(w->store, "req-1"), 1);
    fx_term(n);
    assert_true(rr_core_fencing_token(n->core) == token + 1); /* one is enough */
    rr_plan_clear(&late);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(writes_what_production_writes),
        cmocka_unit_test(reads_production),
        cmocka_unit_test_setup_teardown(the_first_write_is_small, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(overflow_records_are_worked_on, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(an_older_placement_in_an_overflow_record, setup,
                                        fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_blocked_task_blocks_nothing_else, setup,
                                        fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_task_moves_back_to_its_chunk, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(an_old_record_beyond_the_limit, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(an_old_page_is_parted, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_page_that_has_grown, setup, fx_world_teardown),
        cmocka_unit_test_setup_teardown(a_doubt_ends_with_a_term, setup, fx_world_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
