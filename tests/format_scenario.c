#include "format_scenario.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core_fixture.h"

#include "peer/frame.h"

#define MACHINE_COUNT 3

/* ---- frames ---- */

/* Appends one line with a frame of each of four kinds, as hexadecimal digits. */
static void append_frames_line(GString *out) {
    GByteArray *buffer = g_byte_array_new();
    guint start = rr_frame_begin(buffer, RR_FRAME_HELLO);
    rr_frame_put_text(buffer, "n0");
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_SENT_AT);
    rr_frame_put_u64(buffer, 1000000);
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_HEARTBEAT_DIGESTS);
    rr_frame_put_u8(buffer, 0);
    rr_frame_put_u16(buffer, 1);
    rr_frame_put_text(buffer, "n1");
    rr_frame_put_u16(buffer, 1);
    rr_frame_put_text(buffer, "vm-1");
    for (uint64_t i = 1; i <= 3; i++) {
        rr_frame_put_u64(buffer, i);
    }
    rr_frame_end(buffer, start);
    start = rr_frame_begin(buffer, RR_FRAME_SUSPECTS);
    rr_frame_put_u16(buffer, 1);
    rr_frame_put_text(buffer, "vm-2");
    rr_frame_end(buffer, start);
    g_string_append(out, "frames ");
    for (guint i = 0; i < buffer->len; i++) {
        g_string_append_printf(out, "%02x", buffer->data[i]);
    }
    g_string_append_c(out, '\n');
    g_byte_array_free(buffer, TRUE);
}

/* ---- records ---- */

static void submit_jobs_of_each_kind(test_controller *controller) {
    static const struct test_job jobs[] = {
        {.job_id = "req-1", .task_count = 5, .cpus = 2, .deadline_s = 90},
        {.job_id = "req-2", .service = true, .spread = true},
        {.job_id = "req-3", .one_zone = true, .zone = "b"},
        {.job_id = "req-4", .service = true, .priority = "prod"}};
    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        fake_store_submit(controller->store, &jobs[i], controller->now);
    }
    fake_store_sync(controller->store, controller->core, controller->now);
}

/* Plans once; every command is executed. */
static void plan_and_answer(test_controller *controller) {
    rr_plan plan;
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_record_command_result(controller->core, controller->now,
                                      g_ptr_array_index(plan.command_batches, i),
                                      RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
}

/* Plans once; the outcome of the commands is not reported. */
static void plan_and_drop_commands(test_controller *controller) {
    rr_plan plan;
    test_controller_plan(controller, &plan);
    rr_plan_clear(&plan);
}

/* Sends a heartbeat of the machine of req-1's task 0, which reports the task as done. */
static void complete_first_task(test_controller *controller) {
    for (int machine = 1; machine <= MACHINE_COUNT; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        uint64_t attempt = fake_store_find_attempt(controller->store, id, "req-1", 0);
        if (attempt) {
            char *task_text = g_strdup_printf("req-1 0 %" G_GUINT64_FORMAT " ended:done", attempt);
            test_controller_heartbeat(controller, id, "a", false, 1, 2,
                                      rr_core_fencing_token(controller->core), task_text, NULL);
            g_free(task_text);
        }
    }
}

/* Steps the autoscaler, for at most 20 s, until it has recorded a rental. */
static void step_autoscaler_until_rental(test_controller *controller) {
    GArray *no_machines = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    for (int i = 0; i < 20 && fake_store_count(controller->store, RR_KEY_ROOT "hire/") == 0; i++) {
        rr_autoscaler_step step;
        test_controller_autoscaler_step(controller, no_machines, &step);
        rr_autoscaler_step_clear(&step);
        controller->now += 1;
    }
    g_array_free(no_machines, TRUE);
}

GString *run_format_scenario(void) {
    core_fixture *fixture;
    core_fixture_setup((void **)&fixture);
    test_controller *controller = &fixture->controller;
    test_controller_add_machines(controller, 1, MACHINE_COUNT, "a");
    submit_jobs_of_each_kind(controller);
    for (int i = 0; i < 3; i++) {
        controller->now += 1;
        plan_and_answer(controller);
    }
    test_controller_cancel(controller, "req-4");
    complete_first_task(controller);
    controller->now += 50;
    plan_and_drop_commands(controller);
    step_autoscaler_until_rental(controller);
    GString *out = fake_store_dump(fixture->store);
    append_frames_line(out);
    core_fixture_teardown((void **)&fixture);
    return out;
}
