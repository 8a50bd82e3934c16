/* Two versions side by side, and the key-value store's limits lowered while records of before are
 * stored: what each writes the other reads, and what was stored larger is still worked on. */
#include "scene.h"
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/stats.h"
#include "core/submissions.h"

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
    gssize offset = line - text->str, length = strchr(line, '\n') - line;
    char *out = g_strndup(line, (gsize)length);
    g_string_erase(text, offset, length + 1);
    return out;
}

static guint8 *from_hex(const char *hex, size_t *length);

/* As long as no gang is asked for, this version writes the very bytes that the one in production
 * writes, but for its session's record: that names what it is able to do, in a field that
 * production passes over, beside the one that it reads. */
static void writes_what_production_writes(void **state) {
    (void)state;
    char *text = fixture();
    GString *actual = scene_play(), *was = g_string_new(text);
    char *old = take_session(was), *new = take_session(actual);
    uint64_t lease_id = 0, capable = 0;
    size_t length;
    rr_document document;
    assert_string_equal(actual->str, was->str);
    assert_string_not_equal(old, new);
    guint8 *data = from_hex(strchr(new, ' ') + 1, &length);
    assert_int_equal(rr_document_parse(&document, data, length), 0);
    assert_true(rr_map_get_u64(document.root, "tether", &lease_id) && lease_id == 7);
    assert_true(rr_map_get_u64(document.root, "able", &capable) && capable == 1);
    rr_document_clear(&document);
    g_free(data);
    g_free(old);
    g_free(new);
    g_string_free(actual, TRUE);
    g_string_free(was, TRUE);
    g_free(text);
}

static guint8 *from_hex(const char *hex, size_t *length) {
    *length = strlen(hex) / 2;
    guint8 *out = g_malloc(*length + 1);
    for (size_t i = 0; i < *length; i++) {
        out[i] =
            (guint8)(g_ascii_xdigit_value(hex[2 * i]) << 4 | g_ascii_xdigit_value(hex[2 * i + 1]));
    }
    return out;
}

static void read_frames(const guint8 *data, size_t length) {
    static const uint8_t types[] = {RR_FRAME_HELLO, RR_FRAME_SENT_AT, RR_FRAME_HEARTBEAT_DIGESTS,
                                    RR_FRAME_SUSPECT};
    size_t offset = 0;
    for (int i = 0; i < 4; i++) {
        uint8_t type;
        uint32_t count;
        assert_true(offset + RR_FRAME_HEADER_BYTES <= length);
        assert_int_equal(rr_frame_head(data + offset, &type, &count), 0);
        assert_int_equal(type, types[i]);
        offset += RR_FRAME_HEADER_BYTES + count;
    }
    assert_int_equal(offset, length);
}

/* A controller that starts on production's records knows its jobs, machines and reservations. */
static void reads_production(void **state) {
    (void)state;
    char *was = fixture(), **lines = g_strsplit(was, "\n", 0);
    fake_store *store = fake_store_create();
    test_controller node;
    rr_job_view view;
    rr_core_stats stats;
    test_controller_init(&node, store, "n0");
    rr_core_cache_begin_reload(node.core);
    for (int i = 0; lines[i] && lines[i][0]; i++) {
        char *hex = strchr(lines[i], ' ');
        size_t length;
        *hex++ = 0;
        guint8 *data = from_hex(hex, &length);
        if (strcmp(lines[i], "frames") == 0) {
            read_frames(data, length);
        } else {
            rr_document document;
            assert_int_equal(rr_document_parse(&document, data, length), 0);
            rr_core_cache_put(node.core, lines[i], document.root, (uint64_t)i + 1, node.now);
            rr_document_clear(&document);
        }
        g_free(data);
    }
    rr_core_cache_end_reload(node.core, 50, 50, node.now);
    rr_core_set_revision(node.core, 50);
    rr_core_set_session(node.core, 7, node.now + 100);
    assert_true(rr_core_lease_valid(node.core, node.now));
    rr_core_job_view(node.core, "req-1", node.now, &view);
    assert_true(view.known && !view.done && view.done_count == 1);
    rr_core_job_view(node.core, "req-4", node.now, &view);
    assert_true(view.cancelled);
    rr_core_get_stats(node.core, &stats);
    assert_int_equal(stats.machines, 3);
    assert_int_equal(stats.tasks_placed, 6);
    test_controller_clear(&node);
    fake_store_destroy(store);
    g_strfreev(lines);
    g_free(was);
}

/* ---- lower limits ---- */

#define NEXT_KB 2.0
#define NEXT_OPS 4

static int setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fixture->n.config.next_value_kb = NEXT_KB;
    fixture->n.config.next_transaction_changes_max = NEXT_OPS;
    return 0;
}

static void lower(fake_store *store) {
    store->value_max = (size_t)(NEXT_KB * 1024);
    store->ops_max = NEXT_OPS;
}

/* Plans; a transaction that the store calls invalid is told of, as the shell does. */
static int plan(test_controller *node) {
    rr_plan plan;
    int rc = 0;
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    if (plan.has_transaction) {
        rc = fake_store_commit(node->store, &plan.transaction);
        if (rc == -EINVAL) {
            rr_core_lower_limits(node->core, false);
        }
    }
    fake_store_sync(node->store, node->core, node->now);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_command_result(node->core, node->now, g_ptr_array_index(plan.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return rc;
}

static void assert_small(const fake_store *store, const char *job_id) {
    for (int chunk = 0; chunk < 8; chunk++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", job_id, chunk);
        assert_true(fake_store_value_size(store, key) <= store->value_max);
    }
}

/* From the first write on everything keeps to the smaller limits: an array that would fill a record
 * of the old size, the fleet, and what ends and is cancelled. All its tasks run at once all the
 * same, in overflow records, as soon as no controller is left that does not read them. (A
 * deployment ran 41 tasks of an array at a time, on half of its machines.) */
static void the_first_write_is_small(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    test_controller_join_old_version(node);
    test_controller_add_machines(node, 1, 20,
                                 "a"); /* written by an old version: 40 machines a page */
    lower(fixture->store);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 12; i++) {
        node->now += 0.5;
        assert_int_not_equal(plan(node), -EINVAL);
    }
    unsigned placed = fake_store_placed_count(fixture->store, "req-1");
    assert_true(placed >= 30 && placed < 60); /* the rest of the record's tasks wait for others */
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/"), 1);
    test_controller_leave_old_version(node);
    for (int machine = 1; machine <= 20; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, "a", false, 1, 8, rr_core_fencing_token(node->core),
                                  NULL);
    }
    for (int i = 0; i < 4; i++) {
        node->now += 0.5;
        assert_int_not_equal(plan(node), -EINVAL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "run/req-1/") > 1);
    assert_small(fixture->store, "req-1");
    test_controller_cancel(node, "req-1");
    for (int machine = 1; machine <= 20; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, "a", false, 1, 9, rr_core_fencing_token(node->core),
                                  NULL);
    }
    for (int i = 0; i < 4; i++) {
        node->now += 0.5;
        assert_int_not_equal(plan(node), -EINVAL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
}

static int shown_done; /* tasks below it are shown as done */

static const char *done_or_running(int machine, const char *job_id, uint32_t task, int shown,
                                   uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)shown;
    (void)sequence;
    return (int)task < shown_done ? "ended:done" : "running";
}

/* All machines show the job's tasks: those below `over` as done, the others running. */
static void show_tasks(test_controller *node, const char *job_id, int tasks, int over,
                       uint64_t worker_epoch, uint64_t sequence) {
    struct shown_machines show = {.first = 1,
                                  .last = 20,
                                  .last_in_a = 20,
                                  .refs = &job_id,
                                  .jobs = 1,
                                  .tasks = (uint32_t)tasks,
                                  .most = SHOWN_TASKS_MAX,
                                  .worker_epoch = worker_epoch,
                                  .sequence = sequence,
                                  .state = done_or_running};
    shown_done = over;
    test_controller_show_machines(node, &show);
}

/* No machine has a task any more: all of them lost their leases. */
static void lose_all_leases(test_controller *node) {
    for (int machine = 1; machine <= 20; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, "a", false, 2, 1, rr_core_fencing_token(node->core),
                                  NULL);
    }
}

/* The task has one placement, under an attempt after this one. */
static void assert_one_place(const fake_store *store, uint32_t task, uint64_t after) {
    unsigned places = 0;
    for (int machine = 1; machine <= 20; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        uint64_t attempt = fake_store_attempt(store, id, "req-1", task);
        places += attempt > 0;
        assert_true(attempt == 0 || attempt > after);
    }
    assert_int_equal(places, 1);
}

/* So many plans, none of which the key-value store calls invalid. */
static void plan_on(test_controller *node, int plans) {
    for (int i = 0; i < plans; i++) {
        node->now += 0.5;
        assert_int_not_equal(plan(node), -EINVAL);
        assert_true(fake_store_placed_count(node->store, "req-1") <= 60);
    }
}

/* Tasks in overflow records end, are lost and come back as any others do: their completions stand
 * in the record of their chunk, none has two places, and a new owner reads the same. */
static void overflow_records_are_worked_on(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, next;
    rr_job_view view;
    test_controller_add_machines(node, 1, 20, "a");
    lower(fixture->store);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_on(node, 4);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
    /* All tasks come back under new attempts, none beside its old placement. */
    uint64_t first = fake_store_attempt(fixture->store, "vm-1", "req-1", 0);
    lose_all_leases(node);
    plan_on(node, 12);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
    assert_small(fixture->store, "req-1");
    for (uint32_t task = 0; task < 60; task++) {
        assert_one_place(fixture->store, task, first);
    }
    test_controller_init(&next, fixture->store, "n1");
    next.config.next_value_kb = NEXT_KB;
    next.config.next_transaction_changes_max = NEXT_OPS;
    next.now = node->now;
    fake_store_reload(fixture->store, next.core, next.now);
    test_controller_leave(node);
    test_controller_join(&next, 9);
    show_tasks(&next, "req-1", 60, 50, 2, 2);
    plan_on(&next, 6);
    rr_core_job_view(next.core, "req-1", next.now, &view);
    assert_int_equal(view.done_count, 50);
    assert_false(view.done);
    show_tasks(&next, "req-1", 60, 60, 2, 3);
    plan_on(&next, 6);
    rr_core_job_view(next.core, "req-1", next.now, &view);
    assert_true(view.done);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    test_controller_clear(&next);
}

/* A ledger record as any version writes it: `count` tasks from `first` on, each on the machine of
 * its number, under attempts from `attempt` on. */
static void put_record(core_fixture *fixture, const char *job_id, int chunk, int first, int count,
                       uint64_t attempt) {
    char key[64];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 2);
    rr_encode_key_text(&encoder, "bits", "0000000000000000");
    rr_encode_text(&encoder, "tasks");
    rr_encode_array(&encoder, (size_t)count);
    for (int team = first; team < first + count; team++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", team % 20 + 1);
        rr_encode_array(&encoder, 5);
        rr_encode_u64(&encoder, (uint64_t)team);
        rr_encode_text(&encoder, id);
        rr_encode_u64(&encoder, attempt + (uint64_t)team);
        rr_encode_u64(&encoder, 1);
        rr_encode_u64(&encoder, 0);
    }
    g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%d", job_id, chunk);
    fake_store_put(fixture->store, key, &encoder);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
}

#define OLD_ATTEMPT (((uint64_t)5000 << 32) + 500)

/* A ledger record of an old version, larger than the limit: */
static void put_old_record(core_fixture *fixture, const char *job_id, int tasks) {
    put_record(fixture, job_id, 0, 0, tasks, OLD_ATTEMPT);
}

/* A task is lost whose record can't be written yet: it waits, and nothing else does. Its failure
 * was taken for a want of room, and arrays that asked for as much waited for minutes. */
static void a_blocked_task_blocks_nothing_else(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    test_controller_add_machines(node, 1, 20, "a");
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-1", .pieces = 60, .cpus = 1, .deadline_s = 10},
        node->now);
    put_old_record(fixture, "req-1", 60);
    lower(fixture->store);
    rr_core_lower_limits(node->core, false);
    show_tasks(node, "req-1", 60, 0, 1, 2);
    test_controller_heartbeat(node, "vm-1", "a", false, 2, 1, rr_core_fencing_token(node->core),
                              NULL);
    node->now += 1;
    assert_int_not_equal(plan(node), -EINVAL);
    for (int i = 0; i < 10; i++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-2%02d", i);
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .cpus = 1, .deadline_s = 100},
                          node->now);
        fake_store_sync(fixture->store, node->core, node->now);
        node->now += 2; /* what failed is tried again in the same plan */
        show_tasks(node, "req-1", 60, 0, 1, (uint64_t)i + 3);
        assert_int_not_equal(plan(node), -EINVAL);
        assert_int_equal(fake_store_placed_count(fixture->store, job_id), 1);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 60);
}

/* While the older placement of a task stands in an overflow record, not proven over, the newer one
 * in its chunk's record does not start. */
static void an_older_placement_in_an_overflow_record(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    test_controller_add_machines(node, 1, 20, "a");
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, node->now);
    put_record(fixture, "req-1", 1, 50, 1, OLD_ATTEMPT);
    put_record(fixture, "req-1", 0, 50, 1, OLD_ATTEMPT + 100);
    node->now += 1;
    test_controller_plan(node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        const rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        for (guint k = 0; k < batch->commands->len; k++) {
            const rr_command *command = &g_array_index(batch->commands, rr_command, k);
            assert_false(command->kind == RR_COMMAND_START && command->task == 50 &&
                         command->attempt == OLD_ATTEMPT + 100 + 50);
        }
    }
    rr_plan_clear(&plan);
}

/* A task lost in an overflow record is reserved anew where there is room by then, in the record of
 * its chunk, and the same change takes its old placement out. */
static void a_task_moves_back_to_its_chunk(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    test_controller_add_machines(node, 1, 20, "a");
    lower(fixture->store);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, node->now);
    put_record(fixture, "req-1", 0, 0, 41, OLD_ATTEMPT);
    put_record(fixture, "req-1", 1, 41, 19, OLD_ATTEMPT);
    show_tasks(node, "req-1", 60, 10, 1, 2);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 50);
    /* Task 50 ran on vm-11, which lost its lease; what else was there is done. Changes are short,
     * so that lost placements are not cleared for their own sake. */
    rr_core_set_pressure(node->core, 1, NEXT_OPS);
    uint64_t lost = fake_store_attempt(fixture->store, "vm-11", "req-1", 50);
    assert_true(lost != 0);
    test_controller_heartbeat(node, "vm-11", "a", false, 2, 1, rr_core_fencing_token(node->core),
                              NULL);
    for (int i = 0; i < 6; i++) {
        unsigned places = 0;
        node->now += 0.5;
        assert_int_not_equal(plan(node), -EINVAL);
        for (int machine = 1; machine <= 20; machine++) {
            char id[16];
            g_snprintf(id, sizeof id, "vm-%d", machine);
            places += fake_store_attempt(fixture->store, id, "req-1", 50) != 0;
        }
        assert_true(places <= 1);
        assert_true(fake_store_placed_count(fixture->store, "req-1") <= 50);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 50);
}

/* It stays readable and is worked on: a write that is refused shows the new limit, and from then on
 * it waits until what is over brings it below. Nothing of it is lost, and other jobs go on. */
static void an_old_record_beyond_the_limit(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    const int tasks = 60;
    rr_job_view view;
    test_controller_add_machines(node, 1, 20, "a");
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .pieces = 60, .cpus = 1}, node->now);
    put_old_record(fixture, "req-1", tasks);
    assert_true(fake_store_value_size(fixture->store, RR_KEY_ROOT "run/req-1/0") >
                (size_t)(NEXT_KB * 1024));
    /* Not lowered yet: it may be written again while it does not grow. */
    show_tasks(node, "req-1", tasks, 2, 1, 2);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 58);
    lower(fixture->store);
    show_tasks(node, "req-1", tasks, 4, 1, 3);
    node->now += 1;
    assert_int_equal(plan(node), -EINVAL);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        assert_int_not_equal(plan(node), -EINVAL);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 58);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .cpus = 1}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    show_tasks(node, "req-1", tasks, 30, 1, 4);
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 30);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        plan(node);
    }
    assert_int_equal(fake_store_placed_count(fixture->store, "req-2"), 1);
    show_tasks(node, "req-1", tasks, tasks, 1, 5);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        assert_int_not_equal(plan(node), -EINVAL);
    }
    rr_core_job_view(node->core, "req-1", node->now, &view);
    assert_true(view.done);
}

/* An old page of machines beyond the limit is parted by changes that each fit, and at no moment
 * does a reader, one that follows or one that reads all anew, see any of its machines in no page.
 */
static void an_old_page_is_parted(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, other;
    rr_core_stats stats;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    test_controller_init(&other, fixture->store, "n1");
    test_controller_add_machines(node, 1, 40, "a");
    fake_store_sync(fixture->store, other.core, other.now);
    for (int i = 1; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    assert_true(fake_store_value_size(fixture->store, RR_KEY_ROOT "fleet/00000001") >
                (size_t)(NEXT_KB * 1024));
    lower(fixture->store);
    for (int i = 0; i < 20; i++) {
        test_controller_autoscaler_step(node, machines, &step);
        rr_autoscaler_step_clear(&step);
        node->now += 0.6;
        test_controller fresh;
        test_controller_init(&fresh, fixture->store, "n2");
        fake_store_reload(fixture->store, fresh.core, fresh.now);
        fake_store_sync(fixture->store, other.core, other.now);
        rr_core_get_stats(fresh.core, &stats);
        assert_int_equal(stats.machines, 40);
        rr_core_get_stats(other.core, &stats);
        assert_int_equal(stats.machines, 40);
        rr_core_get_stats(node->core, &stats);
        assert_int_equal(stats.machines, 40);
        assert_int_equal(stats.booting, 0); /* what was heard of them is kept */
        test_controller_clear(&fresh);
    }
    assert_true(fake_store_count(fixture->store, RR_KEY_ROOT "fleet/") >= 2);
    for (int i = 1; i <= (int)fake_store_count(fixture->store, RR_KEY_ROOT "fleet/"); i++) {
        char key[64];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", i);
        assert_true(fake_store_value_size(fixture->store, key) <= fixture->store->value_max);
    }
    g_array_free(machines, TRUE);
    test_controller_clear(&other);
}

/* Where no lower limits are to come a page that has grown a little beyond what fills one, as
 * addresses came to be known, is written as ever: a machine of it that has gone leaves it. (Every
 * machine of a deployment stayed rented, at twice the price.) */
static void a_page_that_has_grown(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    node->config.next_value_kb = node->config.next_transaction_changes_max = 0;
    test_controller_add_machines(node, 1, 40, "a");
    node->config.value_kb =
        (double)fake_store_value_size(fixture->store, RR_KEY_ROOT "fleet/00000001") / 1024;
    for (int i = 2; i <= 40; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", i);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    list_machine(machines, "vm-1", "a", RR_LISTED_FAILED, 0);
    for (int i = 0; i < 20 && fake_store_has_machine(fixture->store, "vm-1"); i++) {
        test_controller_autoscaler_step(node, machines, &step);
        rr_autoscaler_step_clear(&step);
        node->now += 0.6;
    }
    assert_false(fake_store_has_machine(fixture->store, "vm-1"));
    assert_true(fake_store_has_machine(fixture->store, "vm-2"));
    g_array_free(machines, TRUE);
}

/* A transaction went unanswered and its repeat is called invalid: the first copy may be carried out
 * yet, so that nothing is planned before a new term has voided it. */
static void a_doubt_ends_with_a_term(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan late;
    test_controller_add_machines(node, 1, 4, "a");
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    rr_plan_init(&late);
    rr_core_plan(node->core, node->now, node->now, &late);
    assert_true(late.has_transaction);
    rr_core_lower_limits(node->core, true);
    uint64_t token = rr_core_fencing_token(node->core);
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 0);
    test_controller_next_term(node);
    assert_true(rr_core_fencing_token(node->core) == token + 1);
    assert_int_not_equal(fake_store_commit(fixture->store, &late.transaction), 0);
    for (int machine = 1; machine <= 4; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        test_controller_heartbeat(node, id, "a", false, 1, 9, rr_core_fencing_token(node->core),
                                  NULL);
    }
    node->now += 1;
    assert_int_equal(plan(node), 0);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-1"), 1);
    test_controller_next_term(node);
    assert_true(rr_core_fencing_token(node->core) == token + 1); /* one is enough */
    rr_plan_clear(&late);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(writes_what_production_writes),
        cmocka_unit_test(reads_production),
        cmocka_unit_test_setup_teardown(the_first_write_is_small, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(overflow_records_are_worked_on, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(an_older_placement_in_an_overflow_record, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_blocked_task_blocks_nothing_else, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_task_moves_back_to_its_chunk, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(an_old_record_beyond_the_limit, setup,
                                        core_fixture_teardown),
        cmocka_unit_test_setup_teardown(an_old_page_is_parted, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_page_that_has_grown, setup, core_fixture_teardown),
        cmocka_unit_test_setup_teardown(a_doubt_ends_with_a_term, setup, core_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
