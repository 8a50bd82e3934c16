/* Renting and returning: nothing rented twice, nothing lost, nobody judged by silence alone. */
#include "fakes.h"

#include <string.h>

/* Runs steps until one of this kind comes; transactions are committed, lists and the catalogue
 * answered with what is given. */
static bool step_until(fx_world *w, enum rr_autoscaler_step_kind kind, const GArray *machines,
                       rr_autoscaler_step *out) {
    fx_node *n = &w->n;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *builds = g_array_new(FALSE, FALSE, sizeof(rr_machine_type));
    bool found = false;
    rr_autoscaler_step_init(out);
    for (int i = 0; i < 60 && !found; i++) {
        rr_core_autoscaler_step(n->core, n->now, n->now, out);
        found = out->kind == kind;
        if (found) {
            break;
        }
        if (out->kind == RR_AUTOSCALER_COMMIT) {
            fx_commit(w->store, &out->transaction);
            fx_sync(w->store, n->core, n->now);
        } else if (out->kind == RR_AUTOSCALER_LIST) {
            rr_core_machines_listed(n->core, n->now, n->now, n->now, machines ? machines : none);
        } else if (out->kind == RR_AUTOSCALER_CATALOG) {
            rr_core_catalog_read(n->core, n->now, builds);
        } else if (out->kind == RR_AUTOSCALER_NONE && kind == RR_AUTOSCALER_SCALE_IN) {
            break; /* nothing more to do at this time */
        } else if (out->kind == RR_AUTOSCALER_NONE) {
            n->now += 1;
        }
        rr_autoscaler_step_clear(out);
        rr_autoscaler_step_init(out);
    }
    g_array_free(none, TRUE);
    g_array_free(builds, TRUE);
    return found;
}

/* Plans; every probe and command fails before it is sent. */
static unsigned plan_reaching(fx_node *n, const char *id) {
    rr_plan p;
    unsigned probes = 0;
    fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_command_batch *d = g_ptr_array_index(p.command_batches, i);
        probes += d->commands->len == 0;
        bool up = id && strcmp(d->machine, id) == 0;
        rr_core_command_result(n->core, n->now, d, up ? RR_COMMAND_ANSWERED : RR_COMMAND_NOT_SENT,
                               up);
    }
    rr_plan_clear(&p);
    return probes;
}

static unsigned plan_unreachable(fx_node *n) {
    return plan_reaching(n, NULL);
}

/* The intent is written before the cloud is called, and a new provisioner repeats it under the same
 * name: the cloud then answers as before and rents nothing. */
static void a_rental_is_repeated_under_its_name(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n, b;
    rr_autoscaler_step s;
    char first[RR_ID_SIZE];
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_sync(w->store, n->core, n->now);
    assert_true(step_until(w, RR_AUTOSCALER_SCALE_OUT, NULL, &s));
    assert_int_equal(fx_count(w->store, RR_KEY_ROOT "hire/"), 1);
    g_strlcpy(first, s.rental, sizeof first);
    rr_autoscaler_step_clear(&s); /* the answer never comes: this controller dies */
    fx_leave(n);
    fx_node_init(&b, w->store, "n0");
    b.now = n->now;
    fx_sync(w->store, b.core, b.now);
    fx_join(&b, 8);
    fx_world w2 = {w->store, b};
    assert_true(step_until(&w2, RR_AUTOSCALER_SCALE_OUT, NULL, &s));
    assert_string_equal(s.rental, first);
    GPtrArray *ids = g_ptr_array_new();
    g_ptr_array_add(ids, "vm-9");
    rr_core_scale_out_result(w2.n.core, w2.n.now, &s, 200, ids);
    rr_autoscaler_step_clear(&s);
    for (int i = 0; i < 4; i++) {
        step_until(&w2, RR_AUTOSCALER_NONE, NULL, &s);
        rr_autoscaler_step_clear(&s);
    }
    assert_true(fx_recorded(w->store, "vm-9"));
    assert_int_equal(fx_count(w->store, RR_KEY_ROOT "hire/"), 0);
    g_ptr_array_free(ids, TRUE);
    fx_node_clear(&w2.n);
}

/* No two requests ever share a name. */
static void names_are_not_reused(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    char first[RR_ID_SIZE];
    GPtrArray *none = g_ptr_array_new();
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_sync(w->store, n->core, n->now);
    assert_true(step_until(w, RR_AUTOSCALER_SCALE_OUT, NULL, &s));
    g_strlcpy(first, s.rental, sizeof first);
    rr_core_scale_out_result(n->core, n->now, &s, 503, none);
    rr_autoscaler_step_clear(&s);
    assert_true(step_until(w, RR_AUTOSCALER_SCALE_OUT, NULL, &s));
    assert_string_not_equal(s.rental, first);
    /* And the refused zone is left alone for a while. */
    assert_string_equal(s.zone, "b");
    rr_autoscaler_step_clear(&s);
    g_ptr_array_free(none, TRUE);
}

/* Machines up before the first term, or before anything was ever rented, are the operators' own and
 * stay: a list once gave all that were up at the start no age, and 1,190 of them went back. Others
 * are adopted as rented and go back when idle. */
static void adoption_and_idle_return(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fx_listed(machines, "vm-1", "a", RR_LISTED_RUNNING, 500);
    fx_listed(machines, "vm-4", "a", RR_LISTED_RUNNING, 0);
    assert_true(step_until(w, RR_AUTOSCALER_NONE, machines, &s));
    rr_autoscaler_step_clear(&s);
    assert_true(fx_recorded(w->store, "vm-4"));
    fx_machine(w->store, "vm-3", "b", false, false); /* the first one rented */
    fx_sync(w->store, n->core, n->now);
    n->now += 30;
    fx_listed(machines, "vm-2", "a", RR_LISTED_RUNNING, 10);
    fx_listed(machines, "vm-3", "a", RR_LISTED_RUNNING, 10);
    assert_true(step_until(w, RR_AUTOSCALER_NONE, machines, &s));
    rr_autoscaler_step_clear(&s);
    assert_true(fx_recorded(w->store, "vm-1"));
    assert_true(fx_recorded(w->store, "vm-2"));
    bool asked = false;
    for (uint64_t i = 0; i < 60 && !asked; i++) {
        n->now += 2;
        fx_report(n, "vm-1", "a", false, 1, i + 1, 1, NULL);
        fx_report(n, "vm-2", "a", false, 1, i + 1, 1, NULL);
        fx_report(n, "vm-4", "a", false, 1, i + 1, 1, NULL);
        asked = step_until(w, RR_AUTOSCALER_SCALE_IN, machines, &s);
        for (guint k = 0; asked && k < s.machines->len; k++) {
            assert_string_not_equal(s.machines->pdata[k], "vm-1");
            assert_string_not_equal(s.machines->pdata[k], "vm-4");
        }
        asked = asked && g_ptr_array_find_with_equal_func(s.machines, "vm-2", g_str_equal, NULL);
        rr_autoscaler_step_clear(&s);
    }
    assert_true(asked);
    g_array_free(machines, TRUE);
}

/* vm-1 to vm-3 of zone a, listed, recorded and heard once. */
static void three_machines(fx_world *w, GArray *machines) {
    fx_node *n = &w->n;
    const char *ids[] = {"vm-1", "vm-2", "vm-3"};
    for (int i = 0; i < 3; i++) {
        fx_machine(w->store, ids[i], "a", false, true);
        fx_listed(machines, ids[i], "a", RR_LISTED_RUNNING, 100);
    }
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 3; i++) {
        fx_report(n, ids[i], "a", false, 1, 1, 1, NULL);
    }
}

/* While a whole zone is silent nothing in it is given up; a lone silent machine is, once probes
 * failed, and its tasks are free only after the release is answered. */
static void a_cut_zone_is_left_a_dead_machine_is_not(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    three_machines(w, machines);
    for (int i = 0; i < 20; i++) {
        n->now += 2;
        plan_unreachable(n);
        assert_false(step_until(w, RR_AUTOSCALER_SCALE_IN, machines, &s));
        rr_autoscaler_step_clear(&s);
    }
    /* The cut heals for two of three first: the third is not given up in that moment, but once it
     * alone has stayed silent for as long as any other would be given. */
    bool asked = false;
    for (uint64_t i = 2; i < 60 && !asked; i++) {
        n->now += 1;
        fx_report(n, "vm-1", "a", false, 1, i, 1, NULL);
        fx_report(n, "vm-2", "a", false, 1, i, 1, NULL);
        plan_unreachable(n);
        fx_provisioner_step(n, machines, &s);
        if (s.kind == RR_AUTOSCALER_SCALE_IN) {
            asked = true;
            assert_true(i > n->config.tuning.dead_reports * n->config.heartbeat_interval_s);
            assert_int_equal(s.machines->len, 1);
            assert_string_equal(s.machines->pdata[0], "vm-3");
            assert_true(fx_recorded(w->store, "vm-3"));
        }
        rr_autoscaler_step_clear(&s);
    }
    assert_true(asked);
    g_array_free(machines, TRUE);
}

/* A cut begins: its machines were heard at different times, and the probes of all fail. The first
 * of them reach the age of a dead one while most of the zone still counts as fresh. */
static void a_cut_begins_with_staggered_reports(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    char id[16];
    n->config.tuning.dead_reports = 1.9;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    for (int i = 1; i <= 12; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_machine(w->store, id, "a", false, true);
        fx_listed(machines, id, "a", RR_LISTED_RUNNING, 100);
    }
    fx_sync(w->store, n->core, n->now);
    for (uint64_t t = 1; t < 160; t++) {
        n->now += 0.25;
        for (int i = 1; i <= 12 && t < 40; i++) {
            g_snprintf(id, sizeof id, "vm-%d", i);
            if ((t + (uint64_t)i) % 12 == 0) { /* each every three seconds */
                fx_report(n, id, "a", false, 1, t, rr_core_fencing_token(n->core), NULL);
            }
        }
        if (t < 40) {
            plan_reaching(n, "vm-1");
        } else {
            plan_unreachable(n);
        }
        fx_provisioner_step(n, machines, &s);
        assert_int_not_equal(s.kind, RR_AUTOSCALER_SCALE_IN);
        rr_autoscaler_step_clear(&s);
    }
    g_array_free(machines, TRUE);
}

/* A provisioner that restarted while a zone was cut has never heard most of it. It gave up fourteen
 * healthy machines one after the other, since it compared each with the few it had heard. */
static void a_restart_into_a_cut(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    rr_plan p;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    for (int i = 0; i < 4; i++) {
        fx_machine(w->store, ids[i], "a", false, true);
        fx_listed(machines, ids[i], "a", RR_LISTED_RUNNING, 100);
    }
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1", .pieces = 4, .cpus = 16}, n->now);
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 4; i++) {
        fx_report(n, ids[i], "a", false, 1, 1, 1, NULL);
    }
    fx_plan(n, &p);
    rr_plan_clear(&p);
    fx_node again;
    fx_node_init(&again, w->store, "n0");
    g_strlcpy(again.config.zone, "b", RR_NAME_SIZE); /* it is outside of the cut */
    again.now = n->now;
    fx_sync(w->store, again.core, again.now);
    fx_join(&again, 8);
    fx_world w2 = {w->store, again};
    for (uint64_t i = 2; i < 40; i++) {
        w2.n.now += 1;
        fx_report(&w2.n, "vm-1", "a", false, 1, i, 1, NULL);
        plan_reaching(&w2.n, "vm-1");
        assert_false(step_until(&w2, RR_AUTOSCALER_SCALE_IN, machines, &s));
        rr_autoscaler_step_clear(&s);
    }
    g_array_free(machines, TRUE);
    fx_node_clear(&w2.n);
}

/* Silent machines are asked, but in a silent zone only a sample of two: a cut zone must not keep
 * the senders from the machines that can be reached. */
static void probes_are_few(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fx_machine(w->store, ids[i], "a", false, true);
    }
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 4; i++) {
        fx_report(n, ids[i], "a", false, 1, 1, 1, NULL);
    }
    assert_int_equal(plan_unreachable(n), 0);
    n->now += 7;
    fx_plan(n, &p);
    assert_int_equal(p.command_batches->len, 2);
    rr_plan_clear(&p); /* still under way */
    n->now += 0.2;
    assert_int_equal(plan_unreachable(n), 0);
}

/* A young machine missing from a lagging list is not gone; one that was listed and is missing for
 * more than twice the lag is. */
static void missing_from_a_late_list(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *one = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fx_listed(one, "vm-1", "a", RR_LISTED_RUNNING, 3);
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_sync(w->store, n->core, n->now);
    /* The first step makes it provisioner. */
    rr_autoscaler_step_init(&s);
    rr_core_autoscaler_step(n->core, n->now, n->now, &s);
    rr_autoscaler_step_clear(&s);
    n->now += 3;
    rr_core_machines_listed(n->core, n->now, n->now, n->now, none);
    step_until(w, RR_AUTOSCALER_NONE, none, &s);
    rr_autoscaler_step_clear(&s);
    assert_true(fx_recorded(w->store, "vm-1"));
    rr_core_machines_listed(n->core, n->now, n->now, n->now, one);
    rr_core_machines_listed(n->core, n->now + 9, n->now + 9, n->now + 9, none);
    n->now += 9;
    step_until(w, RR_AUTOSCALER_NONE, one, &s);
    rr_autoscaler_step_clear(&s);
    assert_true(fx_recorded(w->store, "vm-1"));
    n->now += 5;
    rr_core_machines_listed(n->core, n->now, n->now, n->now, none);
    step_until(w, RR_AUTOSCALER_NONE, none, &s);
    rr_autoscaler_step_clear(&s);
    assert_false(fx_recorded(w->store, "vm-1"));
    g_array_free(none, TRUE);
    g_array_free(one, TRUE);
}

/* Listed as failed, off the records and released as a stray, all before the owner of its task has
 * looked: the process ended on what was left of the machine. The task is placed anew. */
static void released_before_its_task_is(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    rr_autoscaler_step s;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_sync(w->store, n->core, n->now);
    fx_report(n, "vm-1", "a", false, 1, 1, 1, NULL);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-000001"}, n->now);
    fx_sync(w->store, n->core, n->now);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_true(fx_booked(w->store, "vm-1", "req-000001", 0) != 0);
    fx_listed(machines, "vm-1", "a", RR_LISTED_FAILED, 100);
    bool asked = false;
    for (int i = 0; i < 10 && !asked; i++) {
        n->now += 5;
        asked = step_until(w, RR_AUTOSCALER_SCALE_IN, machines, &s);
        if (asked) {
            assert_false(fx_recorded(w->store, "vm-1"));
            rr_core_scale_in_result(n->core, n->now, s.machines);
        }
        rr_autoscaler_step_clear(&s);
    }
    assert_true(asked);
    fx_machine(w->store, "vm-2", "a", false, false);
    fx_sync(w->store, n->core, n->now);
    fx_report(n, "vm-2", "a", false, 1, 1, 1, NULL);
    for (int i = 0; i < 3; i++) {
        n->now += 1;
        fx_plan(n, &p);
        rr_plan_clear(&p);
    }
    assert_true(fx_booked(w->store, "vm-2", "req-000001", 0) != 0);
    assert_true(fx_booked(w->store, "vm-1", "req-000001", 0) == 0);
    g_array_free(machines, TRUE);
}

/* Work on machines that are gone is rented for before its owner, short of changes, has cleared the
 * ledger. */
static void lost_work_is_rented_for_at_once(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    rr_autoscaler_step s;
    fx_machine(w->store, "vm-1", "a", false, true);
    fx_sync(w->store, n->core, n->now);
    fx_report(n, "vm-1", "a", false, 1, 1, 1, NULL);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-000001", .pieces = 3, .cpus = 4}, n->now);
    fx_sync(w->store, n->core, n->now);
    fx_plan(n, &p);
    rr_plan_clear(&p);
    assert_int_equal(fx_placed(w->store, "req-000001"), 3);
    fx_machine_gone(w->store, "vm-1");
    fx_sync(w->store, n->core, n->now);
    assert_true(step_until(w, RR_AUTOSCALER_SCALE_OUT, NULL, &s));
    assert_int_equal(fx_placed(w->store, "req-000001"), 3);
    rr_autoscaler_step_clear(&s);
}

/* vm-1 to vm-`many` in zone a, standing and listed. */
static void standing_fleet(fx_world *w, int many, GArray *machines) {
    char id[16];
    for (int i = 1; i <= many; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_machine(w->store, id, "a", false, true);
        fx_listed(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    fx_sync(w->store, w->n.core, w->n.now);
}

static void report_each(fx_node *n, int from, int to, uint64_t sequence) {
    char id[16];
    for (int i = from; i <= to; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fx_report(n, id, "a", false, 1, sequence, rr_core_fencing_token(n->core), NULL);
    }
}

/* Stands still for so long, its clocks running on; then machines report again, one after the other
 * within an interval, while probes fail. Releases asked for. */
static unsigned released_after_standing(fx_world *w, double still) {
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    const int many = 12;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned asked = 0;
    standing_fleet(w, many, machines);
    report_each(n, 1, many, 1);
    fx_provisioner_step(n, machines, &s);
    rr_autoscaler_step_clear(&s);
    n->now += still;
    for (int t = 0; t < 60; t++) {
        n->now += n->config.heartbeat_interval_s / 12;
        if (t < many) {
            report_each(n, t + 1, t + 1, 2);
        }
        if (t % 12 == 11) { /* all report on */
            report_each(n, 1, many, 3 + (uint64_t)t);
        }
        plan_unreachable(n);
        fx_provisioner_step(n, machines, &s);
        asked += s.kind == RR_AUTOSCALER_SCALE_IN;
        rr_autoscaler_step_clear(&s);
    }
    g_array_free(machines, TRUE);
    return asked;
}

/* A provisioner that stood still finds every machine long silent on waking: none is given up
 * because it did not listen. */
static void a_standstill_gives_nobody_up(void **state) {
    fx_world *w = *state;
    assert_int_equal(released_after_standing(w, 9),
                     0); /* shorter than a lease: provisioner still */
    assert_int_equal(released_after_standing(w, 55), 0);
}

/* A controller with more work than processor time hears only two of three machines and its probes
 * go unanswered. Releases asked for in so many seconds, while its timers fire late. */
static unsigned released_while(fx_world *w, int seconds, uint64_t *sequence, const GArray *machines,
                               bool late) {
    fx_node *n = &w->n;
    unsigned asked = 0;
    rr_autoscaler_step s;
    for (int t = 0; t < seconds && !asked; t++) {
        n->now += 1;
        if (late) {
            rr_core_set_timers_late(n->core, n->now);
        }
        ++*sequence;
        fx_report(n, "vm-1", "a", false, 1, *sequence, 1, NULL);
        fx_report(n, "vm-2", "a", false, 1, *sequence, 1, NULL);
        plan_unreachable(n);
        fx_provisioner_step(n, machines, &s);
        asked += s.kind == RR_AUTOSCALER_SCALE_IN ? s.machines->len : 0;
        rr_autoscaler_step_clear(&s);
    }
    return asked;
}

/* What it has not read yet may be the report that it misses: nobody is given up while it is behind,
 * by seconds or for longer than a lease, and the probes of that time count for nothing. */
static void behind_its_share_gives_nobody_up(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    uint64_t sequence = 1;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    three_machines(w, machines);
    assert_int_equal(released_while(w, (int)(1.5 * n->config.lease_s), &sequence, machines, true),
                     0);
    assert_true(rr_core_timers_late(n->core, n->now, 1));
    /* Its report is read at last, and it stays: */
    fx_report(n, "vm-3", "a", false, 1, ++sequence, 1, NULL);
    assert_int_equal(
        released_while(w, (int)n->config.heartbeat_interval_s, &sequence, machines, false), 0);
    /* until it is silent for long enough to a controller that keeps up. */
    assert_int_equal(
        released_while(w, (int)(5 * n->config.heartbeat_interval_s), &sequence, machines, false),
        1);
    g_array_free(machines, TRUE);
}

/* Most of a zone hangs for good, and looks like a cut. Releases asked for within three leases,
 * while the zone's controller is heard or not. */
static unsigned released_of_hung_zone(fx_world *w, bool controller_heard) {
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    const int many = 10, hung = 8;
    unsigned asked = 0;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    n->config.peer_count = 1;
    g_strlcpy(n->config.zone, "b", RR_NAME_SIZE);
    g_strlcpy(n->config.peers[0].name, "n1", RR_NAME_SIZE);
    g_strlcpy(n->config.peers[0].zone, "a", RR_NAME_SIZE);
    standing_fleet(w, many, machines);
    for (int t = 0; t < 3 * n->config.lease_s; t++) {
        n->now += 1;
        report_each(n, 1, t == 0 ? many : many - hung, (uint64_t)t + 1);
        if (controller_heard) {
            rr_core_peer_contacted(n->core, n->now, 0);
        }
        plan_unreachable(n);
        for (int k = 0; k < 3; k++) {
            fx_provisioner_step(n, machines, &s);
            if (s.kind == RR_AUTOSCALER_SCALE_IN && asked == 0) {
                assert_true(t > n->config.lease_s);
                asked = s.machines->len;
            }
            rr_autoscaler_step_clear(&s);
        }
    }
    g_array_free(machines, TRUE);
    return asked;
}

static void a_hung_zone_is_told_from_a_cut(void **state) {
    assert_int_equal(released_of_hung_zone(*state, true), 8);
}

static void a_cut_zone_stays(void **state) {
    assert_int_equal(released_of_hung_zone(*state, false), 0);
}

/* The catalogue is written until the mirror shows it, whatever becomes of one transaction. */
static void catalogue_survives_a_lost_transaction(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_autoscaler_step s;
    GArray *builds = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    rr_machine_type b = {.name = "m2",
                         .cpus = 8,
                         .gpus = 1,
                         .mem_gb = 32,
                         .price = 3,
                         .spot_price = 1,
                         .startup_s = 20};
    b.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(b.zones, g_strdup("a"));
    g_array_append_val(builds, b);
    assert_true(step_until(w, RR_AUTOSCALER_CATALOG, NULL, &s));
    rr_autoscaler_step_clear(&s);
    rr_core_catalog_read(n->core, n->now, builds);
    rr_autoscaler_step_init(&s);
    rr_core_autoscaler_step(n->core, n->now, n->now, &s);
    assert_int_equal(s.kind, RR_AUTOSCALER_COMMIT);
    rr_autoscaler_step_clear(&s); /* voided by a change of term, say */
    step_until(w, RR_AUTOSCALER_NONE, NULL, &s);
    rr_autoscaler_step_clear(&s);
    assert_true(fx_mark(w->store, RR_KEY_ROOT "build/m2") != 0);
    rr_machine_type_clear(&b);
    g_array_free(builds, TRUE);
}

/* Two jobs failing on one machine: its fault. One job failing on many machines: the job's. */
static void sick_machine_or_bad_job(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fx_machine(w->store, ids[i], "a", false, true);
    }
    fx_submit(w->store, &(struct fx_job){.job_id = "req-1"}, n->now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-2"}, n->now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-3", .cpus = 16}, n->now);
    fx_sync(w->store, n->core, n->now);
    /* req-1 fails everywhere, req-2 on vm-1 only. */
    for (int i = 0; i < 4; i++) {
        fx_report(n, ids[i], "a", false, 1, 1, 1, "req-1 0 5 ended:error",
                  i == 0 ? "req-2 0 6 ended:error" : NULL, NULL);
    }
    n->now += 1;
    fx_plan(n, &p);
    rr_plan_clear(&p);
    /* req-1 is held back; req-3 finds a machine: the other three are not blamed for req-1. */
    assert_true(fx_booked(w->store, "vm-2", "req-3", 0) ||
                fx_booked(w->store, "vm-3", "req-3", 0) || fx_booked(w->store, "vm-4", "req-3", 0));
    for (int i = 0; i < 4; i++) {
        assert_true(fx_booked(w->store, ids[i], "req-1", 0) == 0);
    }
}

#define T(f) cmocka_unit_test_setup_teardown(f, fx_world_setup, fx_world_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {T(a_rental_is_repeated_under_its_name),
                                       T(names_are_not_reused),
                                       T(adoption_and_idle_return),
                                       T(a_cut_zone_is_left_a_dead_machine_is_not),
                                       T(a_cut_begins_with_staggered_reports),
                                       T(a_restart_into_a_cut),
                                       T(probes_are_few),
                                       T(missing_from_a_late_list),
                                       T(catalogue_survives_a_lost_transaction),
                                       T(sick_machine_or_bad_job),
                                       T(released_before_its_task_is),
                                       T(lost_work_is_rented_for_at_once),
                                       T(a_standstill_gives_nobody_up),
                                       T(behind_its_share_gives_nobody_up),
                                       T(a_hung_zone_is_told_from_a_cut),
                                       T(a_cut_zone_stays)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
