/* A fixed scene that leaves every kind of record in the store and every frame that controllers send
 * each other: what a version writes, as text. tests/fixtures/ has it as earlier versions wrote it.
 */
#ifndef RR_TESTS_SCENE_H
#define RR_TESTS_SCENE_H

#include "core_fixture.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"

#include "peer/frame.h"

static void scene_hex(GString *out, const char *name, const GByteArray *buffer) {
    g_string_append_printf(out, "%s ", name);
    for (guint i = 0; i < buffer->len; i++) {
        g_string_append_printf(out, "%02x", buffer->data[i]);
    }
    g_string_append_c(out, '\n');
}

static void scene_frames(GString *out) {
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
    start = rr_frame_begin(buffer, RR_FRAME_SUSPECT);
    rr_frame_put_u16(buffer, 1);
    rr_frame_put_text(buffer, "vm-2");
    rr_frame_end(buffer, start);
    scene_hex(out, "frames", buffer);
    g_byte_array_free(buffer, TRUE);
}

/* Jobs of each kind and state, two machines, reservations, a completion, an intent, a session, a
 * term.
 */
static GString *scene_play(void) {
    core_fixture *fixture;
    rr_plan plan;
    rr_autoscaler_step step;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    core_fixture_setup((void **)&fixture);
    test_controller *node = &fixture->n;
    test_controller_add_machines(node, 1, 3, "a");
    fake_store_submit(
        fixture->store,
        &(struct test_job){.job_id = "req-1", .pieces = 5, .cpus = 2, .deadline_s = 90}, node->now);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-2", .service = true, .spread = true},
                      node->now);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-3", .one_zone = true, .zone = "b"},
                      node->now);
    fake_store_submit(fixture->store,
                      &(struct test_job){.job_id = "req-4", .service = true, .rank = "prod"},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    for (int i = 0; i < 3; i++) {
        node->now += 1;
        test_controller_plan(node, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_core_command_result(node->core, node->now,
                                   g_ptr_array_index(plan.command_batches, k), RR_COMMAND_ANSWERED,
                                   true);
        }
        rr_plan_clear(&plan);
    }
    test_controller_cancel(node, "req-4");
    for (int machine = 1; machine <= 3; machine++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", machine);
        uint64_t attempt = fake_store_attempt(fixture->store, id, "req-1", 0);
        if (attempt) {
            char *ended = g_strdup_printf("req-1 0 %" G_GUINT64_FORMAT " ended:done", attempt);
            test_controller_heartbeat(node, id, "a", false, 1, 2, rr_core_fencing_token(node->core),
                                      ended, NULL);
            g_free(ended);
        }
    }
    node->now += 50;
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    for (int i = 0; i < 20 && fake_store_count(fixture->store, RR_KEY_ROOT "hire/") == 0; i++) {
        test_controller_autoscaler_step(node, none, &step);
        rr_autoscaler_step_clear(&step);
        node->now += 1;
    }
    GString *out = fake_store_dump(fixture->store);
    scene_frames(out);
    g_array_free(none, TRUE);
    core_fixture_teardown((void **)&fixture);
    return out;
}

#endif
