#include "reservation_fixture.h"
#include "core/leadership.h"
#include "core/planning.h"

#include <string.h>

int reservation_setup(void **state) {
    core_fixture_setup(state);
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, false);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
    return 0;
}

const char *reservation_machine_zone(const char *machine) {
    return strcmp(machine, "vm-1") == 0 ? "a" : "b";
}

void submit_job(core_fixture *fixture, const struct test_job *job) {
    fake_store_submit(fixture->store, job, fixture->controller.now);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

void send_heartbeat_with_task(test_controller *controller, const char *machine,
                              uint64_t worker_epoch, uint64_t sequence, const char *task) {
    test_controller_heartbeat(controller, machine, reservation_machine_zone(machine), false,
                              worker_epoch, sequence, rr_core_fencing_token(controller->core), task,
                              NULL);
}

const char *submit_and_reserve(core_fixture *fixture, const struct test_job *job,
                               uint64_t *attempt) {
    rr_plan plan;
    send_heartbeat_with_task(&fixture->controller, "vm-1", 1, 1, NULL);
    send_heartbeat_with_task(&fixture->controller, "vm-2", 1, 1, NULL);
    submit_job(fixture, job);
    assert_int_equal(test_controller_plan(&fixture->controller, &plan), 1);
    /* No task may be started before its reservation is recorded. */
    assert_int_equal(plan.command_batches->len, 0);
    rr_plan_clear(&plan);
    *attempt = fake_store_find_attempt(fixture->store, "vm-1", job->job_id, 0);
    if (*attempt) {
        return "vm-1";
    }
    *attempt = fake_store_find_attempt(fixture->store, "vm-2", job->job_id, 0);
    assert_true(*attempt != 0);
    return "vm-2";
}

char *format_reported_task(const char *job_id, uint64_t attempt, const char *state) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " %s", job_id, attempt, state);
}

int plan_and_commit(test_controller *controller) {
    rr_plan plan;
    int committed = test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
    return committed;
}
