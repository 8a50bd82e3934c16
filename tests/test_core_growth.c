/* With many times the machines and jobs, work must follow what happens and not the fleet. Counts,
 * not times: machines looked at, records changed, commands sent. A walk over all machines for each
 * event fails these on any machine. Then that no one's work waits for ever behind another's. */
#include "fakes.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define FLEET 4500

static unsigned visits(const fx_node *n) {
    rr_core_stats st;
    rr_core_get_stats(n->core, &st);
    return st.visits;
}

static guint changes_of(const rr_plan *p) {
    return p->has_transaction ? p->transaction.changes->len : 0;
}

/* Plans until nothing changes; every command is answered. Returns the changes made. */
static unsigned settle(fx_node *n) {
    unsigned changes = 0;
    for (int i = 0; i < 400; i++) {
        rr_plan p;
        n->now += 0.01;
        fx_plan(n, &p);
        guint now = changes_of(&p);
        for (guint k = 0; k < p.command_batches->len; k++) {
            rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, k),
                                   RR_COMMAND_ANSWERED, true);
        }
        bool idle = now == 0 && p.command_batches->len == 0;
        rr_plan_clear(&p);
        changes += now;
        if (idle) {
            return changes;
        }
    }
    return changes;
}

static void submit_many(fx_node *n, int first, int many, const struct fx_job *like) {
    for (int i = first; i < first + many; i++) {
        char ref[32];
        struct fx_job j = *like;
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        j.job_id = ref;
        fx_submit(n->store, &j, n->now);
    }
    fx_sync(n->store, n->core, n->now);
}

/* What a machine would report of one job's tasks: all of them in one standing. */
static void report_job(fx_node *n, const char *ref, uint32_t pieces, const char *standing,
                       uint64_t sequence) {
    for (int m = 1; m <= FLEET; m++) {
        char id[32], *show[8] = {NULL};
        int k = 0;
        g_snprintf(id, sizeof id, "vm-%d", m);
        for (uint32_t t = 0; t < pieces && k < 4; t++) {
            uint64_t at = fx_booked(n->store, id, ref, t);
            if (at) {
                show[k++] = g_strdup_printf("%s %u %" G_GUINT64_FORMAT " %s", ref, t, at, standing);
            }
        }
        if (k > 0) {
            fx_report(n, id, "a", false, 1, sequence, rr_core_fencing_token(n->core), show[0],
                      show[1], show[2], show[3], NULL);
        }
        for (int i = 0; i < k; i++) {
            g_free(show[i]);
        }
    }
}

/* Empty reports of vm-`from` to vm-`to`. */
static void report_all(fx_node *n, int from, int to, const char *zone, uint64_t worker_epoch,
                       uint64_t sequence) {
    char id[32];
    for (int m = from; m <= to; m++) {
        g_snprintf(id, sizeof id, "vm-%d", m);
        fx_report(n, id, zone, false, worker_epoch, sequence, rr_core_fencing_token(n->core), NULL);
    }
}

/* A fleet that has reported and of which nothing is left to plan. */
static void settled_fleet(fx_node *n) {
    fx_fleet(n, 1, FLEET, "a");
    settle(n);
}

/* Machines that one plan looks at. */
static unsigned visits_of_a_plan(fx_node *n) {
    rr_plan p;
    unsigned before = visits(n);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    return visits(n) - before;
}

/* One report that says something new, in a fleet of thousands: its machine is looked at. */
static void a_plan_costs_what_changed(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    settled_fleet(n);
    fx_report(n, "vm-77", "a", false, 1, 2, rr_core_fencing_token(n->core),
              "req-000001 0 3 running", NULL);
    assert_true(visits_of_a_plan(n) <= 4);
}

/* The most frequent event of all, a report that says what the one before said, is followed by no
 * look at any machine, no change and no command. */
static void a_sign_of_life_costs_nothing(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    settled_fleet(n);
    unsigned before = visits(n);
    for (uint64_t sequence = 2; sequence < 6; sequence++) {
        report_all(n, 1, FLEET, "a", 1, sequence);
        fx_plan(n, &p);
        assert_false(p.has_transaction);
        assert_int_equal(p.command_batches->len, 0);
        rr_plan_clear(&p);
    }
    assert_int_equal(visits(n), before);
}

/* A new term looks at each machine once, and the plan after it at none. */
static void a_term_looks_at_each_machine_once(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    settled_fleet(n);
    fx_join(n, 9);
    unsigned first = visits_of_a_plan(n);
    assert_true(first >= FLEET);
    assert_true(first <= FLEET + 4);
    assert_true(visits_of_a_plan(n) <= 4);
}

static size_t held(void) {
    struct mallinfo2 m = mallinfo2();
    return m.uordblks + m.hblkhd;
}

/* What the sizing in docs/operations.md counts with. The sanitizers' allocators tell nothing. */
static void memory_by_machine_and_placement(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    const int jobs = 500;
    size_t before = held();
    fx_fleet(n, 1, FLEET, "a");
    size_t machine = (held() - before) / FLEET;
    settle(n);
    before = held();
    submit_many(n, 1, jobs, &(struct fx_job){.pieces = 4, .cpus = 4, .service = true});
    settle(n);
    size_t job = (held() - before) / jobs;
    assert_int_equal(fx_placed(w->store, "req-000001"), 4);
    printf("%zu bytes a machine, %zu a job of four replicas\n", machine, job);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    assert_in_range(machine, 500, 4096);
    assert_in_range(job, 500, 4096);
#else
    (void)machine;
    (void)job;
#endif
}

/* An array is booked with one change, what ends together is recorded with one, and its end with
 * two, however many machines it ran on. */
static void an_array_costs_a_few_changes(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    rr_job_view v;
    fx_fleet(n, 1, FLEET, "a");
    submit_many(n, 1, 1, &(struct fx_job){.pieces = 60, .cpus = 4, .gpus = 1});
    fx_plan(n, &p);
    assert_int_equal(changes_of(&p), 1);
    assert_int_equal(fx_placed(w->store, "req-000001"), 60);
    rr_plan_clear(&p);
    report_job(n, "req-000001", 30, "ended:done", 2);
    fx_plan(n, &p);
    assert_int_equal(changes_of(&p), 1);
    rr_plan_clear(&p);
    assert_int_equal(fx_placed(w->store, "req-000001"), 30);
    report_job(n, "req-000001", 60, "ended:done", 3);
    fx_plan(n, &p);
    assert_int_equal(changes_of(&p), 2);
    rr_plan_clear(&p);
    rr_core_job_view(n->core, "req-000001", n->now, &v);
    assert_true(v.done);
    assert_int_equal(fx_count(w->store, RR_KEY_ROOT "run/"), 0);
}

/* While changes are short completions wait for others of their job, and their room does not; a
 * job's last one waits for nothing. */
static void completions_gather_when_changes_are_short(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    fx_fleet(n, 1, 1, "a");
    submit_many(n, 1, 1, &(struct fx_job){.pieces = 2, .cpus = 8});
    settle(n);
    char *one = g_strdup_printf("req-000001 0 %" G_GUINT64_FORMAT " ended:done",
                                fx_booked(w->store, "vm-1", "req-000001", 0));
    char *two = g_strdup_printf("req-000001 1 %" G_GUINT64_FORMAT " ended:done",
                                fx_booked(w->store, "vm-1", "req-000001", 1));
    rr_core_set_pressure(n->core, 1, 8);
    fx_report(n, "vm-1", "a", false, 1, 2, rr_core_fencing_token(n->core), one, NULL);
    fx_plan(n, &p);
    assert_int_equal(changes_of(&p), 0);
    rr_plan_clear(&p);
    submit_many(n, 2, 1, &(struct fx_job){.cpus = 8});
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, "vm-1", "req-000002", 0) != 0);
    fx_report(n, "vm-1", "a", false, 1, 3, rr_core_fencing_token(n->core), one, two, NULL);
    fx_plan(n, &p);
    assert_int_equal(changes_of(&p), 2);
    rr_plan_clear(&p);
    g_free(one);
    g_free(two);
}

/* Hundreds of jobs that find no room cost one walk over the fleet, not one each. */
static void waiting_jobs_share_a_search(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    fx_fleet(n, 1, FLEET, "a");
    submit_many(n, 1, 500, &(struct fx_job){.zone = "b"});
    unsigned before = visits(n);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_true(visits(n) - before <= 4 * FLEET);
}

/* The tasks of a spread job go out in one plan: zone counts are kept while it books. */
static void a_spread_job_in_one_plan(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    fx_fleet(n, 1, 200, "a");
    fx_fleet(n, 201, 200, "b");
    submit_many(n, 1, 1,
                &(struct fx_job){.pieces = 12, .service = true, .spread = true, .gpus = 1});
    fx_plan(n, &p);
    assert_int_equal(changes_of(&p), 1);
    rr_plan_clear(&p);
    assert_int_equal(fx_placed(w->store, "req-000001"), 12);
    unsigned in_a = 0;
    for (uint32_t t = 0; t < 12; t++) {
        for (int m = 1; m <= 200; m++) {
            char id[32];
            g_snprintf(id, sizeof id, "vm-%d", m);
            in_a += fx_booked(w->store, id, "req-000001", t) != 0;
        }
    }
    assert_int_equal(in_a, 6);
}

/* Over a thousand machines that are up come into the records with a few changes, and what a
 * thousand waiting tasks need is asked for at once, fifty machines a call. */
static void the_fleet_comes_in_bulk(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned changes = 0, rentals = 0, asked = 0;
    for (int i = 1; i <= 1000; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%06d", i);
        fx_listed(machines, id, "a", RR_LISTED_RUNNING, 100);
    }
    submit_many(n, 1, 100, &(struct fx_job){.pieces = 40, .cpus = 8, .zone = "b"});
    for (int i = 0; i < 120; i++) {
        rr_autoscaler_step s;
        rr_autoscaler_step_init(&s);
        rr_core_autoscaler_step(n->core, n->now, n->now, &s);
        if (s.kind == RR_AUTOSCALER_COMMIT) {
            changes += s.transaction.changes->len;
            assert_int_equal(fx_commit(w->store, &s.transaction), 0);
            fx_sync(w->store, n->core, n->now);
        } else if (s.kind == RR_AUTOSCALER_LIST) {
            rr_core_machines_listed(n->core, n->now, n->now, n->now, machines);
        } else if (s.kind == RR_AUTOSCALER_SCALE_OUT) {
            rentals++;
            assert_true(s.count <= 50);
            asked += (unsigned)s.count;
        } else {
            n->now += 0.3;
        }
        rr_autoscaler_step_clear(&s);
    }
    assert_true(fx_recorded(w->store, "vm-000001") && fx_recorded(w->store, "vm-001000"));
    assert_true(changes <= 1000 / 20 + 40);
    assert_true(rentals >= 20 && asked >= 1000);
    g_array_free(machines, TRUE);
}

#define HUGE_JOB 1          /* its number; those of the small ones follow */
#define HUGE_LOOKED_AT 402u /* of its tasks, the first so many */

/* Adds what the machine has of job r, as ended, to what it shows. */
static int show_ended(const fx_node *n, const char *id, int r, char **show, int shown) {
    char ref[32];
    g_snprintf(ref, sizeof ref, "req-%06d", r);
    uint32_t tasks = r == HUGE_JOB ? HUGE_LOOKED_AT : 1;
    if (r == HUGE_JOB && fx_placed(n->store, ref) == 0) {
        return shown;
    }
    for (uint32_t t = 0; t < tasks && shown < 4; t++) {
        uint64_t at = fx_booked(n->store, id, ref, t);
        if (at) {
            show[shown++] = g_strdup_printf("%s %u %" G_GUINT64_FORMAT " ended:done", ref, t, at);
        }
    }
    return shown;
}

/* Everything that runs on the two machines has ended. */
static void report_all_ended(fx_node *n, int next, uint64_t sequence) {
    for (int m = 1; m <= 2; m++) {
        char id[8], *show[8] = {NULL};
        int shown = 0;
        g_snprintf(id, sizeof id, "vm-%d", m);
        for (int r = HUGE_JOB; r < next && shown < 4; r++) {
            shown = show_ended(n, id, r, show, shown);
        }
        fx_report(n, id, "a", false, 1, sequence, rr_core_fencing_token(n->core), show[0], show[1],
                  show[2], show[3], NULL);
        for (int i = 0; i < shown; i++) {
            g_free(show[i]);
        }
    }
}

/* One huge job among a stream of small ones with nearer deadlines, more than there is room for: it
 * begins, and they go on. */
static void a_huge_job_among_small_ones(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    unsigned small = 0;
    fx_fleet(n, 1, 2, "a"); /* eight tasks at a time */
    submit_many(n, 1, 1, &(struct fx_job){.pieces = 3000, .cpus = 4, .deadline_s = 5000});
    int next = 2;
    for (uint64_t turn = 2; turn < 100; turn++) {
        rr_plan p;
        n->now += 1;
        submit_many(n, next, 9, &(struct fx_job){.cpus = 4, .deadline_s = 60});
        next += 9;
        for (int i = 0; i < 3; i++) {
            n->now += 0.4;
            fx_plan(n, &p);
            rr_plan_clear(&p);
        }
        report_all_ended(n, next, turn);
        fx_plan(n, &p);
        rr_plan_clear(&p);
        rr_job_view v;
        rr_core_job_view(n->core, "req-000001", n->now, &v);
        if (v.done_count > 0 && turn > 40) {
            break;
        }
    }
    rr_job_view v;
    rr_core_job_view(n->core, "req-000001", n->now, &v);
    assert_true(v.done_count > 0);
    for (int r = 2; r < next; r++) {
        char ref[32];
        g_snprintf(ref, sizeof ref, "req-%06d", r);
        rr_core_job_view(n->core, ref, n->now, &v);
        small += v.done;
    }
    assert_true(small * 2 >= (unsigned)(next - 2));
}

/* A team that floods takes no more than its limit, and one with a guarantee gets it. */
static void a_flooding_team(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    n->config.teams[0].cpus_max = 48;
    n->config.teams[1].cpus = 16;
    fx_fleet(n, 1, 4, "a");
    submit_many(n, 1, 300, &(struct fx_job){.team = "red", .cpus = 4, .deadline_s = 10});
    settle(n);
    submit_many(n, 500, 4, &(struct fx_job){.team = "blue", .cpus = 4});
    n->now += 3;
    settle(n);
    for (int r = 500; r < 504; r++) {
        char ref[32];
        g_snprintf(ref, sizeof ref, "req-%06d", r);
        assert_int_equal(fx_placed(w->store, ref), 1);
    }
}

/* Placements of the job on vm-1 to vm-`half` whose attempts are not after `mark`; the highest. */
static unsigned lost_of(fx_node *n, const char *ref, uint32_t pieces, int half, uint64_t mark,
                        uint64_t *most) {
    unsigned lost = 0;
    for (int m = 1; m <= half; m++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", m);
        for (uint32_t t = 0; t < pieces; t++) {
            uint64_t at = fx_booked(n->store, id, ref, t);
            lost += at > 0 && at <= mark;
            *most = MAX(*most, at);
        }
    }
    return lost;
}

/* Half of the fleet has lost its leases, and changes are short. Every service is back with one
 * change, in its zone, before any array's record is touched; records of arrays were once cleared
 * first and services came back 35 s later. Those that miss most replicas come first. */
static void services_come_back_first(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    const int half = 40, services = 12;
    char ref[32];
    fx_fleet(n, 1, half, "a");
    fx_fleet(n, half + 1, half, "b");
    submit_many(
        n, 1, 10,
        &(struct fx_job){.pieces = 10, .cpus = 1, .rank = "low", .checkpoint_interval_s = 30});
    submit_many(
        n, 101, services,
        &(struct fx_job){.pieces = 2, .cpus = 1, .service = true, .spread = true, .rank = "prod"});
    submit_many(
        n, 201, 1,
        &(struct fx_job){.pieces = 8, .cpus = 1, .service = true, .spread = true, .rank = "prod"});
    settle(n);
    uint64_t mark = 0, most = 0;
    for (int i = 101; i < 101 + services; i++) {
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        lost_of(n, ref, 2, half, 0, &mark);
    }
    lost_of(n, "req-000201", 8, half, 0, &mark);
    assert_int_equal(lost_of(n, "req-000201", 8, half, mark, &most), 4);
    n->now += 5;
    report_all(n, 1, half, "a", 2, 2);
    report_all(n, half + 1, 2 * half, "b", 1, 2);
    unsigned changes = 0;
    for (int i = 0; i < 5; i++) {
        rr_plan p;
        n->now += 0.3;
        rr_core_set_pressure(n->core, 0, 3);
        fx_plan(n, &p);
        changes += changes_of(&p);
        rr_plan_clear(&p);
        if (i == 1) { /* the first plan finds out that changes are short */
            assert_int_equal(lost_of(n, "req-000201", 8, half, mark, &most), 0);
        }
    }
    assert_true(changes <= 15);
    for (int i = 101; i < 101 + services; i++) {
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        assert_int_equal(lost_of(n, ref, 2, half, mark, &most), 0);
        assert_int_equal(fx_placed(n->store, ref), 2);
    }
    assert_int_equal(fx_placed(n->store, "req-000201"), 8);
}

static unsigned whole(const fx_node *n) {
    rr_core_stats st;
    rr_core_get_stats(n->core, &st);
    return st.jobs_whole;
}

static void assert_final(const fx_node *n, int i) {
    char ref[32];
    rr_job_view v;
    g_snprintf(ref, sizeof ref, "req-%06d", i);
    rr_core_job_view(n->core, ref, n->now, &v);
    assert_true(v.known);
    assert_true(i % 2 ? v.done && v.done_count == 1 : v.cancelled);
}

/* Jobs are known for good, so that memory would grow with every one: a final one that nothing needs
 * any more shrinks to a line, and is told of as before. A late record of it, and a full read of all
 * records, wake nothing; what a worker still has of it is stopped. */
static void final_jobs_shrink_to_a_line(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    const int jobs = 20;
    char ref[32];
    fx_fleet(n, 1, 10, "a");
    submit_many(n, 1, jobs, &(struct fx_job){.pieces = 1, .cpus = 1});
    settle(n);
    rr_encoder late;
    rr_encoder_init(&late);
    rr_encode_map(&late, 2);
    rr_encode_key_text(&late, "bits", "0");
    rr_encode_text(&late, "tasks");
    rr_encode_array(&late, 1);
    rr_encode_array(&late, 5);
    rr_encode_u64(&late, 0);
    rr_encode_text(&late, "vm-1");
    for (int i = 0; i < 3; i++) {
        rr_encode_u64(&late, 1);
    }
    for (int i = 1; i <= jobs; i++) {
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        if (i % 2 == 0) {
            fx_cancel(n, ref);
        }
        report_job(n, ref, 1, i % 2 ? "ended:done" : "ended:halted", (uint64_t)i + 1);
        settle(n);
    }
    assert_int_equal(whole(n), jobs);
    for (int i = 0; i < 5; i++) {
        n->now += 61;
        settle(n);
    }
    assert_int_equal(whole(n), 0);
    fx_put(w->store, RR_KEY_ROOT "run/req-000001/0", &late);
    fx_sync(w->store, n->core, n->now);
    fx_reread(w->store, n->core, n->now);
    assert_int_equal(whole(n), 0);
    for (int i = 1; i <= jobs; i++) {
        assert_final(n, i);
    }
    rr_core_stats st;
    rr_core_get_stats(n->core, &st);
    assert_int_equal(st.tasks_placed, 0);
    rr_heartbeat r = {.worker_epoch = 1,
                      .sequence = 900,
                      .fencing_token = rr_core_fencing_token(n->core),
                      .spot_notice_s = -1};
    rr_task_status piece = {.job_id = "req-000002", .attempt = 1, .state = RR_TASK_RUNNING};
    struct rr_heartbeat_reply ans;
    r.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    g_array_append_val(r.tasks, piece);
    rr_core_reply_to_heartbeat(n->core, n->now, &r, &ans);
    assert_int_equal(ans.status, 200);
    assert_int_equal(ans.commands->len, 1);
    g_array_free(ans.commands, TRUE);
    rr_heartbeat_clear(&r);
}

/* A mirror is read page by page; in between it is half a state, in which a machine may be missing
 * that a record speaks of. Nothing is decided by it, least of all that its tasks are over. */
static void nothing_is_decided_in_a_reread(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    rr_autoscaler_step s;
    rr_transaction t;
    fx_fleet(n, 1, 4, "a");
    submit_many(n, 1, 4, &(struct fx_job){.pieces = 1, .cpus = 1});
    settle(n);
    submit_many(n, 5, 4, &(struct fx_job){.pieces = 1, .cpus = 1});
    rr_core_cache_begin_reload(n->core);
    n->now += 3;
    rr_core_plan(n->core, n->now, n->now, (rr_plan_init(&p), &p));
    assert_false(p.has_transaction);
    assert_int_equal(p.command_batches->len, 0);
    rr_plan_clear(&p);
    rr_autoscaler_step_init(&s);
    rr_core_autoscaler_step(n->core, n->now, n->now, &s);
    assert_int_equal(s.kind, RR_AUTOSCALER_NONE);
    rr_autoscaler_step_clear(&s);
    rr_transaction_init(&t);
    assert_false(rr_core_next_term(n->core, n->now, n->now, &t));
    rr_transaction_clear(&t);
    assert_true(rr_core_session_seen(n->core, 7)); /* not yet come to it: no reason to end it */
    fx_reread(w->store, n->core, n->now);
    settle(n);
    assert_int_equal(fx_placed(w->store, "req-000001"), 1);
    assert_int_equal(fx_placed(w->store, "req-000005"), 1);
}

/* A fleet of the next size and the tasks to fill half of it: a controller starts from its full
 * mirror and takes every report anew, then half of the fleet loses its leases. Machines looked at
 * follow what was reported, and each record of the ledger that lost tasks costs one change. */
static void a_fleet_anew_and_a_zone_lost(void **state) {
    fx_world *w = *state;
    fx_node again;
    const int half = FLEET / 2;
    fx_fleet(&w->n, 1, half, "a");
    fx_fleet(&w->n, half + 1, FLEET - half, "b");
    submit_many(
        &w->n, 1, 100,
        &(struct fx_job){.pieces = 8, .cpus = 4, .service = true, .spread = true, .rank = "prod"});
    submit_many(&w->n, 201, 40, &(struct fx_job){.pieces = 60, .cpus = 4, .rank = "low"});
    settle(&w->n);
    unsigned records = fx_count(w->store, RR_KEY_ROOT "run/");
    fx_node_init(&again, w->store, "n0");
    again.now = w->n.now;
    fx_reread(w->store, again.core, again.now);
    fx_join(&again, 8);
    rr_plan p;
    report_all(&again, 1, half, "a", 2, 2); /* nothing is left there */
    unsigned before = visits(&again);
    fx_plan(&again, &p);
    unsigned changes = changes_of(&p);
    rr_plan_clear(&p);
    /* A walk for each job that this plan places, and what is compared for its tasks: 26 a machine.
     */
    assert_true(visits(&again) - before <= 32 * FLEET);
    report_all(&again, half + 1, FLEET, "b", 1, 2);
    changes += settle(&again);
    assert_true(2 * changes <= 3 * records);
    for (int i = 1; i <= 100; i++) {
        char ref[32];
        g_snprintf(ref, sizeof ref, "req-%06d", i);
        assert_int_equal(fx_placed(w->store, ref), 8);
    }
    fx_node_clear(&again);
}

/* Work for 4,500 machines and none there: no limit on intents, calls or records stops short of
 * them, and the records keep to the store's limits. */
static void a_cold_start_to_the_whole_fleet(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    int rented = 0;
    unsigned steps = 0;
    w->store->value_max = (size_t)(n->config.value_kb * 1024);
    w->store->ops_max = (guint)n->config.transaction_changes_max;
    submit_many(n, 1, FLEET / 100, &(struct fx_job){.pieces = 100, .cpus = 16});
    for (; rented < FLEET && steps < 4000; steps++) {
        rr_autoscaler_step s;
        fx_provisioner_step(n, machines, &s);
        if (s.kind == RR_AUTOSCALER_SCALE_OUT) {
            GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
            for (int i = 0; i < s.count; i++) {
                g_ptr_array_add(ids, g_strdup_printf("vm-%06d", ++rented));
                fx_listed(machines, g_ptr_array_index(ids, ids->len - 1), s.zone,
                          RR_LISTED_STARTING, 1);
            }
            rr_core_scale_out_result(n->core, n->now, &s, 200, ids);
            g_ptr_array_free(ids, TRUE);
        }
        n->now += s.kind == RR_AUTOSCALER_NONE ? 0.5 : 0.05;
        rr_autoscaler_step_clear(&s);
    }
    for (int i = 0; i < 200; i++) {
        rr_autoscaler_step s;
        fx_provisioner_step(n, machines, &s);
        n->now += 0.1;
        rr_autoscaler_step_clear(&s);
    }
    assert_int_equal(rented, FLEET);
    assert_true(fx_recorded(w->store, "vm-000001"));
    assert_true(fx_recorded(w->store, "vm-004500"));
    g_array_free(machines, TRUE);
}

#define T(f) cmocka_unit_test_setup_teardown(f, fx_world_setup, fx_world_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(a_plan_costs_what_changed),
                                       T(a_sign_of_life_costs_nothing),
                                       T(a_term_looks_at_each_machine_once),
                                       T(memory_by_machine_and_placement),
                                       T(an_array_costs_a_few_changes),
                                       T(completions_gather_when_changes_are_short),
                                       T(waiting_jobs_share_a_search),
                                       T(a_spread_job_in_one_plan),
                                       T(the_fleet_comes_in_bulk),
                                       T(a_huge_job_among_small_ones),
                                       T(a_flooding_team),
                                       T(services_come_back_first),
                                       T(final_jobs_shrink_to_a_line),
                                       T(nothing_is_decided_in_a_reread),
                                       T(a_fleet_anew_and_a_zone_lost),
                                       T(a_cold_start_to_the_whole_fleet)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
