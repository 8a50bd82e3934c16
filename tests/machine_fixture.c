#include "machine_fixture.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

#include <string.h>

#define AUTOSCALER_STEPS_MAX 60 /* in step_autoscaler_until() */
#define LISTED_AGE_S 500

static int setup_two_machines(void **state, bool operator_owned) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, operator_owned);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, operator_owned);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
    return 0;
}

int two_rented_machines_setup(void **state) {
    return setup_two_machines(state, false);
}

int two_operator_owned_machines_setup(void **state) {
    return setup_two_machines(state, true);
}

const char *fixture_machine_zone(const char *id) {
    return strcmp(id, "vm-2") == 0 ? "b" : "a";
}

void send_heartbeat(test_controller *controller, const char *id, uint64_t sequence,
                    const char *task) {
    test_controller_heartbeat(controller, id, fixture_machine_zone(id), false, 1, sequence,
                              rr_core_fencing_token(controller->core), task, NULL);
}

char *format_heartbeat_task(const char *job_id, uint64_t attempt, const char *state) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " %s", job_id, attempt, state);
}

const char *find_task_machine(const fake_store *store, const char *job_id, uint64_t *attempt) {
    static const char *const ids[] = {"vm-1", "vm-2"};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        uint64_t found = fake_store_find_attempt(store, ids[i], job_id, 0);
        if (attempt) {
            *attempt = found;
        }
        if (found) {
            return ids[i];
        }
    }
    return NULL;
}

const char *submit_and_start(core_fixture *fixture, const struct test_job *job, uint64_t *attempt) {
    test_controller *controller = &fixture->controller;
    send_heartbeat(controller, "vm-1", 1, NULL);
    send_heartbeat(controller, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, job, controller->now);
    fake_store_sync(fixture->store, controller->core, controller->now);
    assert_int_equal(plan_with_outcome(controller, RR_COMMAND_ANSWERED), 1);
    plan_with_outcome(controller, RR_COMMAND_ANSWERED);
    return find_task_machine(fixture->store, job->job_id, attempt);
}

void restart_controller(core_fixture *fixture, test_controller *restarted) {
    test_controller_init(restarted, fixture->store, "n0");
    fake_store_reload(fixture->store, restarted->core, restarted->now);
    test_controller_join(restarted, 8);
}

int plan_with_outcome(test_controller *controller, enum rr_command_outcome outcome) {
    rr_plan plan;
    int committed = test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_record_command_result(controller->core, controller->now,
                                      g_ptr_array_index(plan.command_batches, i), outcome,
                                      outcome == RR_COMMAND_ANSWERED);
    }
    rr_plan_clear(&plan);
    return committed;
}

void plan_without_answer_from(test_controller *controller, const char *id) {
    rr_plan plan;
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        bool is_unanswered = id && strcmp(batch->machine, id) == 0;
        rr_core_record_command_result(
            controller->core, controller->now, batch,
            is_unanswered ? RR_COMMAND_OUTCOME_UNKNOWN : RR_COMMAND_ANSWERED, !is_unanswered);
    }
    rr_plan_clear(&plan);
}

unsigned plan_with_one_reachable(test_controller *controller, const char *id) {
    rr_plan plan;
    unsigned probes = 0;
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan.command_batches, i);
        probes += batch->commands->len == 0;
        bool is_reachable = id && strcmp(batch->machine, id) == 0;
        rr_core_record_command_result(controller->core, controller->now, batch,
                                      is_reachable ? RR_COMMAND_ANSWERED : RR_COMMAND_NOT_SENT,
                                      is_reachable);
    }
    rr_plan_clear(&plan);
    return probes;
}

unsigned plan_with_none_reachable(test_controller *controller) {
    return plan_with_one_reachable(controller, NULL);
}

void record_fleet(core_fixture *fixture, int count, GArray *listed) {
    char id[16];
    for (int i = 1; i <= count; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        fake_store_put_machine(fixture->store, id, "a", false, true);
        append_listed_machine(listed, id, "a", RR_LISTED_RUNNING, LISTED_AGE_S);
    }
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

void send_fleet_heartbeats(test_controller *controller, int first, int last, uint64_t sequence) {
    char id[16];
    for (int i = first; i <= last; i++) {
        g_snprintf(id, sizeof id, "vm-%d", i);
        test_controller_heartbeat(controller, id, "a", false, 1, sequence,
                                  rr_core_fencing_token(controller->core), NULL);
    }
}

bool step_autoscaler_until(core_fixture *fixture, enum rr_autoscaler_step_kind kind,
                           const GArray *listed, rr_autoscaler_step *out) {
    test_controller *controller = &fixture->controller;
    GArray *empty_list = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(rr_machine_type));
    bool found = false;
    rr_autoscaler_step_init(out);
    for (int i = 0; i < AUTOSCALER_STEPS_MAX && !found; i++) {
        rr_core_autoscaler_step(controller->core, controller->now, controller->now, out);
        found = out->kind == kind;
        if (found) {
            break;
        }
        if (out->kind == RR_AUTOSCALER_COMMIT) {
            fake_store_commit(fixture->store, &out->transaction);
            fake_store_sync(fixture->store, controller->core, controller->now);
        } else if (out->kind == RR_AUTOSCALER_LIST_MACHINES) {
            rr_core_apply_machine_list(controller->core, controller->now, controller->now,
                                       controller->now, listed ? listed : empty_list);
        } else if (out->kind == RR_AUTOSCALER_READ_CATALOG) {
            rr_core_apply_catalog(controller->core, controller->now, machine_types);
        } else if (out->kind == RR_AUTOSCALER_NONE && kind == RR_AUTOSCALER_SCALE_IN) {
            break; /* the autoscaler releases nothing at this time */
        } else if (out->kind == RR_AUTOSCALER_NONE) {
            controller->now += 1;
        }
        rr_autoscaler_step_clear(out);
        rr_autoscaler_step_init(out);
    }
    g_array_free(empty_list, TRUE);
    g_array_free(machine_types, TRUE);
    return found;
}

bool autoscaler_step_releases(core_fixture *fixture, const char *id) {
    test_controller *controller = &fixture->controller;
    rr_autoscaler_step step;
    GArray *listed = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    bool released = false;
    append_listed_machine(listed, "vm-1", "a", RR_LISTED_RUNNING, LISTED_AGE_S);
    append_listed_machine(listed, "vm-2", "b", RR_LISTED_RUNNING, LISTED_AGE_S);
    test_controller_autoscaler_step(controller, listed, &step);
    if (step.kind == RR_AUTOSCALER_SCALE_IN) {
        released = g_ptr_array_find_with_equal_func(step.machines, id, g_str_equal, NULL);
        if (released) {
            rr_core_record_scale_in_result(controller->core, controller->now, step.machines);
        }
    }
    rr_autoscaler_step_clear(&step);
    g_array_free(listed, TRUE);
    return released;
}
