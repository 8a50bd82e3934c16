/* Renting and returning: nothing rented twice, nothing lost, nobody judged by silence alone. */
#include "core_fixture.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"

#include <string.h>

/* Runs steps until one of this kind comes; transactions are committed, lists and the catalogue
 * answered with what is given. */
static bool step_until(core_fixture *fixture, enum rr_autoscaler_step_kind kind,
                       const GArray *machines, rr_autoscaler_step *out) {
    test_controller *node = &fixture->n;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(rr_machine_type));
    bool found = false;
    rr_autoscaler_step_init(out);
    for (int i = 0; i < 60 && !found; i++) {
        rr_core_autoscaler_step(node->core, node->now, node->now, out);
        found = out->kind == kind;
        if (found) {
            break;
        }
        if (out->kind == RR_AUTOSCALER_COMMIT) {
            fake_store_commit(fixture->store, &out->transaction);
            fake_store_sync(fixture->store, node->core, node->now);
        } else if (out->kind == RR_AUTOSCALER_LIST) {
            rr_core_machines_listed(node->core, node->now, node->now, node->now,
                                    machines ? machines : none);
        } else if (out->kind == RR_AUTOSCALER_CATALOG) {
            rr_core_catalog_read(node->core, node->now, machine_types);
        } else if (out->kind == RR_AUTOSCALER_NONE && kind == RR_AUTOSCALER_SCALE_IN) {
            break; /* nothing more to do at this time */
        } else if (out->kind == RR_AUTOSCALER_NONE) {
            node->now += 1;
        }
        rr_autoscaler_step_clear(out);
        rr_autoscaler_step_init(out);
    }
    g_array_free(none, TRUE);
    g_array_free(machine_types, TRUE);
    return found;
}

/* Plans; every probe and command fails before it is sent. */
static unsigned plan_reaching(test_controller *node, const char *id) {
    rr_plan plan;
    unsigned probes = 0;
    test_controller_plan(node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        probes += batch->commands->len == 0;
        bool is_up = id && strcmp(batch->machine, id) == 0;
        rr_core_command_result(node->core, node->now, batch,
                               is_up ? RR_COMMAND_ANSWERED : RR_COMMAND_NOT_SENT, is_up);
    }
    rr_plan_clear(&plan);
    return probes;
}

static unsigned plan_unreachable(test_controller *node) {
    return plan_reaching(node, NULL);
}

/* The intent is written before the cloud is called, and a new autoscaler repeats it under the same
 * name: the cloud then answers as before and rents nothing. */
static void a_rental_is_repeated_under_its_name(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n, other;
    rr_autoscaler_step step;
    char first[RR_ID_SIZE];
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "hire/"), 1);
    g_strlcpy(first, step.rental, sizeof first);
    rr_autoscaler_step_clear(&step); /* the answer never comes: this controller dies */
    test_controller_leave(node);
    test_controller_init(&other, fixture->store, "n0");
    other.now = node->now;
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 8);
    core_fixture second_fixture = {fixture->store, other};
    assert_true(step_until(&second_fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_string_equal(step.rental, first);
    GPtrArray *ids = g_ptr_array_new();
    g_ptr_array_add(ids, "vm-9");
    rr_core_scale_out_result(second_fixture.n.core, second_fixture.n.now, &step, 200, ids);
    rr_autoscaler_step_clear(&step);
    for (int i = 0; i < 4; i++) {
        step_until(&second_fixture, RR_AUTOSCALER_NONE, NULL, &step);
        rr_autoscaler_step_clear(&step);
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-9"));
    assert_int_equal(fake_store_count(fixture->store, RR_KEY_ROOT "hire/"), 0);
    g_ptr_array_free(ids, TRUE);
    test_controller_clear(&second_fixture.n);
}

/* No two requests ever share a name. */
static void names_are_not_reused(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    char first[RR_ID_SIZE];
    GPtrArray *none = g_ptr_array_new();
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    g_strlcpy(first, step.rental, sizeof first);
    rr_core_scale_out_result(node->core, node->now, &step, 503, none);
    rr_autoscaler_step_clear(&step);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_string_not_equal(step.rental, first);
    /* And the refused zone is left alone for a while. */
    assert_string_equal(step.zone, "b");
    rr_autoscaler_step_clear(&step);
    g_ptr_array_free(none, TRUE);
}

/* Machines up before the first term, or before anything was ever rented, are the operators' own and
 * stay: a list once gave all that were up at the start no age, and 1,190 of them went back. Others
 * are adopted as rented and go back when idle. */
static void adoption_and_idle_return(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    list_machine(machines, "vm-1", "a", RR_LISTED_RUNNING, 500);
    list_machine(machines, "vm-4", "a", RR_LISTED_RUNNING, 0);
    assert_true(step_until(fixture, RR_AUTOSCALER_NONE, machines, &step));
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-4"));
    fake_store_put_machine(fixture->store, "vm-3", "b", false, false); /* the first one rented */
    fake_store_sync(fixture->store, node->core, node->now);
    node->now += 30;
    list_machine(machines, "vm-2", "a", RR_LISTED_RUNNING, 10);
    list_machine(machines, "vm-3", "a", RR_LISTED_RUNNING, 10);
    assert_true(step_until(fixture, RR_AUTOSCALER_NONE, machines, &step));
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    assert_true(fake_store_has_machine(fixture->store, "vm-2"));
    bool asked = false;
    for (uint64_t i = 0; i < 60 && !asked; i++) {
        node->now += 2;
        test_controller_heartbeat(node, "vm-1", "a", false, 1, i + 1, 1, NULL);
        test_controller_heartbeat(node, "vm-2", "a", false, 1, i + 1, 1, NULL);
        test_controller_heartbeat(node, "vm-4", "a", false, 1, i + 1, 1, NULL);
        asked = step_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step);
        for (guint k = 0; asked && k < step.machines->len; k++) {
            assert_string_not_equal(step.machines->pdata[k], "vm-1");
            assert_string_not_equal(step.machines->pdata[k], "vm-4");
        }
        asked = asked && g_ptr_array_find_with_equal_func(step.machines, "vm-2", g_str_equal, NULL);
        rr_autoscaler_step_clear(&step);
    }
    assert_true(asked);
    g_array_free(machines, TRUE);
}

/* vm-1 to vm-3 of zone a, listed, recorded and heard once. */
static void three_machines(core_fixture *fixture, GArray *machines) {
    test_controller *node = &fixture->n;
    const char *ids[] = {"vm-1", "vm-2", "vm-3"};
    for (int i = 0; i < 3; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
        list_machine(machines, ids[i], "a", RR_LISTED_RUNNING, 100);
    }
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 3; i++) {
        test_controller_heartbeat(node, ids[i], "a", false, 1, 1, 1, NULL);
    }
}

/* While a whole zone is silent nothing in it is given up; a lone silent machine is, once probes
 * failed, and its tasks are free only after the release is answered. */
static void a_cut_zone_is_left_a_dead_machine_is_not(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    three_machines(fixture, machines);
    for (int i = 0; i < 20; i++) {
        node->now += 2;
        plan_unreachable(node);
        assert_false(step_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step));
        rr_autoscaler_step_clear(&step);
    }
    /* The cut heals for two of three first: the third is not given up in that moment, but once it
     * alone has stayed silent for as long as any other would be given. */
    bool asked = false;
    for (uint64_t i = 2; i < 60 && !asked; i++) {
        node->now += 1;
        test_controller_heartbeat(node, "vm-1", "a", false, 1, i, 1, NULL);
        test_controller_heartbeat(node, "vm-2", "a", false, 1, i, 1, NULL);
        plan_unreachable(node);
        test_controller_autoscaler_step(node, machines, &step);
        if (step.kind == RR_AUTOSCALER_SCALE_IN) {
            asked = true;
            assert_true(i > node->config.tuning.dead_reports * node->config.heartbeat_interval_s);
            assert_int_equal(step.machines->len, 1);
            assert_string_equal(step.machines->pdata[0], "vm-3");
            assert_true(fake_store_has_machine(fixture->store, "vm-3"));
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(asked);
    g_array_free(machines, TRUE);
}

/* A cut begins: its machines were heard at different times, and the probes of all fail. The first
 * of them reach the age of a dead one while most of the zone still counts as fresh. */
static void a_cut_begins_with_staggered_reports(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    char id[16];
    node->config.tuning.dead_reports = 1.9;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    for (int i = 1; i <= 12; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fake_store_put_machine(fixture->store, id, "a", false, true);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 100);
    }
    fake_store_sync(fixture->store, node->core, node->now);
    for (uint64_t token = 1; token < 160; token++) {
        node->now += 0.25;
        for (int i = 1; i <= 12 && token < 40; i++) {
            g_snprintf(id, sizeof id, "vm-%d", i);
            if ((token + (uint64_t)i) % 12 == 0) { /* each every three seconds */
                test_controller_heartbeat(node, id, "a", false, 1, token,
                                          rr_core_fencing_token(node->core), NULL);
            }
        }
        if (token < 40) {
            plan_reaching(node, "vm-1");
        } else {
            plan_unreachable(node);
        }
        test_controller_autoscaler_step(node, machines, &step);
        assert_int_not_equal(step.kind, RR_AUTOSCALER_SCALE_IN);
        rr_autoscaler_step_clear(&step);
    }
    g_array_free(machines, TRUE);
}

/* A autoscaler that restarted while a zone was cut has never heard most of it. It gave up fourteen
 * healthy machines one after the other, since it compared each with the few it had heard. */
static void a_restart_into_a_cut(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    rr_plan plan;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
        list_machine(machines, ids[i], "a", RR_LISTED_RUNNING, 100);
    }
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-1", .pieces = 4, .cpus = 16}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 4; i++) {
        test_controller_heartbeat(node, ids[i], "a", false, 1, 1, 1, NULL);
    }
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    test_controller again;
    test_controller_init(&again, fixture->store, "n0");
    g_strlcpy(again.config.zone, "b", RR_NAME_SIZE); /* it is outside of the cut */
    again.now = node->now;
    fake_store_sync(fixture->store, again.core, again.now);
    test_controller_join(&again, 8);
    core_fixture second_fixture = {fixture->store, again};
    for (uint64_t i = 2; i < 40; i++) {
        second_fixture.n.now += 1;
        test_controller_heartbeat(&second_fixture.n, "vm-1", "a", false, 1, i, 1, NULL);
        plan_reaching(&second_fixture.n, "vm-1");
        assert_false(step_until(&second_fixture, RR_AUTOSCALER_SCALE_IN, machines, &step));
        rr_autoscaler_step_clear(&step);
    }
    g_array_free(machines, TRUE);
    test_controller_clear(&second_fixture.n);
}

/* Silent machines are asked, but in a silent zone only a sample of two: a cut zone must not keep
 * the senders from the machines that can be reached. */
static void probes_are_few(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
    }
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 4; i++) {
        test_controller_heartbeat(node, ids[i], "a", false, 1, 1, 1, NULL);
    }
    assert_int_equal(plan_unreachable(node), 0);
    node->now += 7;
    test_controller_plan(node, &plan);
    assert_int_equal(plan.command_batches->len, 2);
    rr_plan_clear(&plan); /* still under way */
    node->now += 0.2;
    assert_int_equal(plan_unreachable(node), 0);
}

/* A young machine missing from a lagging list is not gone; one that was listed and is missing for
 * more than twice the lag is. */
static void missing_from_a_late_list(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *one = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    list_machine(one, "vm-1", "a", RR_LISTED_RUNNING, 3);
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    /* The first step makes it autoscaler. */
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(node->core, node->now, node->now, &step);
    rr_autoscaler_step_clear(&step);
    node->now += 3;
    rr_core_machines_listed(node->core, node->now, node->now, node->now, none);
    step_until(fixture, RR_AUTOSCALER_NONE, none, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    rr_core_machines_listed(node->core, node->now, node->now, node->now, one);
    rr_core_machines_listed(node->core, node->now + 9, node->now + 9, node->now + 9, none);
    node->now += 9;
    step_until(fixture, RR_AUTOSCALER_NONE, one, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_has_machine(fixture->store, "vm-1"));
    node->now += 5;
    rr_core_machines_listed(node->core, node->now, node->now, node->now, none);
    step_until(fixture, RR_AUTOSCALER_NONE, none, &step);
    rr_autoscaler_step_clear(&step);
    assert_false(fake_store_has_machine(fixture->store, "vm-1"));
    g_array_free(none, TRUE);
    g_array_free(one, TRUE);
}

/* Listed as failed, off the records and released as a stray, all before the owner of its task has
 * looked: the process ended on what was left of the machine. The task is placed anew. */
static void released_before_its_task_is(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    rr_autoscaler_step step;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-000001"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-000001", 0) != 0);
    list_machine(machines, "vm-1", "a", RR_LISTED_FAILED, 100);
    bool asked = false;
    for (int i = 0; i < 10 && !asked; i++) {
        node->now += 5;
        asked = step_until(fixture, RR_AUTOSCALER_SCALE_IN, machines, &step);
        if (asked) {
            assert_false(fake_store_has_machine(fixture->store, "vm-1"));
            rr_core_scale_in_result(node->core, node->now, step.machines);
        }
        rr_autoscaler_step_clear(&step);
    }
    assert_true(asked);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-2", "a", false, 1, 1, 1, NULL);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        test_controller_plan(node, &plan);
        rr_plan_clear(&plan);
    }
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-000001", 0) != 0);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-000001", 0) == 0);
    g_array_free(machines, TRUE);
}

/* Work on machines that are gone is rented for before its owner, short of changes, has cleared the
 * ledger. */
static void lost_work_is_rented_for_at_once(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    rr_autoscaler_step step;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 1, 1, NULL);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-000001", .pieces = 3, .cpus = 4},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 3);
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_sync(fixture->store, node->core, node->now);
    assert_true(step_until(fixture, RR_AUTOSCALER_SCALE_OUT, NULL, &step));
    assert_int_equal(fake_store_placed_count(fixture->store, "req-000001"), 3);
    rr_autoscaler_step_clear(&step);
}

/* vm-1 to vm-`many` in zone a, standing and listed. */
static void standing_fleet(core_fixture *fixture, int many, GArray *machines) {
    char id[16];
    for (int i = 1; i <= many; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fake_store_put_machine(fixture->store, id, "a", false, true);
        list_machine(machines, id, "a", RR_LISTED_RUNNING, 500);
    }
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
}

static void report_each(test_controller *node, int from, int until, uint64_t sequence) {
    char id[16];
    for (int i = from; i <= until; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(node, id, "a", false, 1, sequence,
                                  rr_core_fencing_token(node->core), NULL);
    }
}

/* Stands still for so long, its clocks running on; then machines report again, one after the other
 * within an interval, while probes fail. Releases asked for. */
static unsigned released_after_standing(core_fixture *fixture, double still) {
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    const int many = 12;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    unsigned asked = 0;
    standing_fleet(fixture, many, machines);
    report_each(node, 1, many, 1);
    test_controller_autoscaler_step(node, machines, &step);
    rr_autoscaler_step_clear(&step);
    node->now += still;
    for (int token = 0; token < 60; token++) {
        node->now += node->config.heartbeat_interval_s / 12;
        if (token < many) {
            report_each(node, token + 1, token + 1, 2);
        }
        if (token % 12 == 11) { /* all report on */
            report_each(node, 1, many, 3 + (uint64_t)token);
        }
        plan_unreachable(node);
        test_controller_autoscaler_step(node, machines, &step);
        asked += step.kind == RR_AUTOSCALER_SCALE_IN;
        rr_autoscaler_step_clear(&step);
    }
    g_array_free(machines, TRUE);
    return asked;
}

/* A autoscaler that stood still finds every machine long silent on waking: none is given up
 * because it did not listen. */
static void a_standstill_gives_nobody_up(void **state) {
    core_fixture *fixture = *state;
    assert_int_equal(released_after_standing(fixture, 9),
                     0); /* shorter than a lease: autoscaler still */
    assert_int_equal(released_after_standing(fixture, 55), 0);
}

/* A controller with more work than processor time hears only two of three machines and its probes
 * go unanswered. Releases asked for in so many seconds, while its timers fire late. */
static unsigned released_while(core_fixture *fixture, int seconds, uint64_t *sequence,
                               const GArray *machines, bool late) {
    test_controller *node = &fixture->n;
    unsigned asked = 0;
    rr_autoscaler_step step;
    for (int token = 0; token < seconds && !asked; token++) {
        node->now += 1;
        if (late) {
            rr_core_set_timers_late(node->core, node->now);
        }
        ++*sequence;
        test_controller_heartbeat(node, "vm-1", "a", false, 1, *sequence, 1, NULL);
        test_controller_heartbeat(node, "vm-2", "a", false, 1, *sequence, 1, NULL);
        plan_unreachable(node);
        test_controller_autoscaler_step(node, machines, &step);
        asked += step.kind == RR_AUTOSCALER_SCALE_IN ? step.machines->len : 0;
        rr_autoscaler_step_clear(&step);
    }
    return asked;
}

/* What it has not read yet may be the report that it misses: nobody is given up while it is behind,
 * by seconds or for longer than a lease, and the probes of that time count for nothing. */
static void behind_its_share_gives_nobody_up(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    uint64_t sequence = 1;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    three_machines(fixture, machines);
    assert_int_equal(
        released_while(fixture, (int)(1.5 * node->config.lease_s), &sequence, machines, true), 0);
    assert_true(rr_core_timers_late(node->core, node->now, 1));
    /* Its report is read at last, and it stays: */
    test_controller_heartbeat(node, "vm-3", "a", false, 1, ++sequence, 1, NULL);
    assert_int_equal(
        released_while(fixture, (int)node->config.heartbeat_interval_s, &sequence, machines, false),
        0);
    /* until it is silent for long enough to a controller that keeps up. */
    assert_int_equal(released_while(fixture, (int)(5 * node->config.heartbeat_interval_s),
                                    &sequence, machines, false),
                     1);
    g_array_free(machines, TRUE);
}

/* Most of a zone hangs for good, and looks like a cut. Releases asked for within three leases,
 * while the zone's controller is heard or not. */
static unsigned released_of_hung_zone(core_fixture *fixture, bool controller_heard) {
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    const int many = 10, hung = 8;
    unsigned asked = 0;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    node->config.peer_count = 1;
    g_strlcpy(node->config.zone, "b", RR_NAME_SIZE);
    g_strlcpy(node->config.peers[0].name, "n1", RR_NAME_SIZE);
    g_strlcpy(node->config.peers[0].zone, "a", RR_NAME_SIZE);
    standing_fleet(fixture, many, machines);
    for (int token = 0; token < 3 * node->config.lease_s; token++) {
        node->now += 1;
        report_each(node, 1, token == 0 ? many : many - hung, (uint64_t)token + 1);
        if (controller_heard) {
            rr_core_peer_contacted(node->core, node->now, 0);
        }
        plan_unreachable(node);
        for (int k = 0; k < 3; k++) {
            test_controller_autoscaler_step(node, machines, &step);
            if (step.kind == RR_AUTOSCALER_SCALE_IN && asked == 0) {
                assert_true(token > node->config.lease_s);
                asked = step.machines->len;
            }
            rr_autoscaler_step_clear(&step);
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

/* The catalogue is written until the store cache shows it, whatever becomes of one transaction. */
static void catalogue_survives_a_lost_transaction(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_autoscaler_step step;
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    rr_machine_type type = {.name = "m2",
                            .cpus = 8,
                            .gpus = 1,
                            .mem_gb = 32,
                            .price = 3,
                            .spot_price = 1,
                            .startup_s = 20};
    type.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(type.zones, g_strdup("a"));
    g_array_append_val(machine_types, type);
    assert_true(step_until(fixture, RR_AUTOSCALER_CATALOG, NULL, &step));
    rr_autoscaler_step_clear(&step);
    rr_core_catalog_read(node->core, node->now, machine_types);
    rr_autoscaler_step_init(&step);
    rr_core_autoscaler_step(node->core, node->now, node->now, &step);
    assert_int_equal(step.kind, RR_AUTOSCALER_COMMIT);
    rr_autoscaler_step_clear(&step); /* voided by a change of term, say */
    step_until(fixture, RR_AUTOSCALER_NONE, NULL, &step);
    rr_autoscaler_step_clear(&step);
    assert_true(fake_store_version(fixture->store, RR_KEY_ROOT "build/m2") != 0);
    rr_machine_type_clear(&type);
    g_array_free(machine_types, TRUE);
}

/* Two jobs failing on one machine: its fault. One job failing on many machines: the job's. */
static void sick_machine_or_bad_job(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
    }
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2"}, node->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-3", .cpus = 16}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    /* req-1 fails everywhere, req-2 on vm-1 only. */
    for (int i = 0; i < 4; i++) {
        test_controller_heartbeat(node, ids[i], "a", false, 1, 1, 1, "req-1 0 5 ended:error",
                                  i == 0 ? "req-2 0 6 ended:error" : NULL, NULL);
    }
    node->now += 1;
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    /* req-1 is held back; req-3 finds a machine: the other three are not blamed for req-1. */
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-3", 0) ||
                fake_store_attempt(fixture->store, "vm-3", "req-3", 0) ||
                fake_store_attempt(fixture->store, "vm-4", "req-3", 0));
    for (int i = 0; i < 4; i++) {
        assert_true(fake_store_attempt(fixture->store, ids[i], "req-1", 0) == 0);
    }
}

#define T(f) cmocka_unit_test_setup_teardown(f, core_fixture_setup, core_fixture_teardown)

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
