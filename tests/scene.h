/* A fixed scene that leaves every kind of record in the store and every frame that controllers send
 * each other: what a version writes, as text. tests/fixtures/ has it as earlier versions wrote it.
 */
#ifndef RR_TESTS_SCENE_H
#define RR_TESTS_SCENE_H

#include "fakes.h"

#include "peer/frame.h"

static void scene_hex(GString *out, const char *name, const GByteArray *b) {
    g_string_append_printf(out, "%s ", name);
    for (guint i = 0; i < b->len; i++) {
        g_string_append_printf(out, "%02x", b->data[i]);
    }
    g_string_append_c(out, '\n');
}

static void scene_frames(GString *out) {
    GByteArray *b = g_byte_array_new();
    guint at = rr_frame_begin(b, RR_FRAME_HELLO);
    rr_frame_put_text(b, "n0");
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_SENT_AT);
    rr_frame_put_u64(b, 1000000);
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_HEARTBEAT_DIGESTS);
    rr_frame_put_u8(b, 0);
    rr_frame_put_u16(b, 1);
    rr_frame_put_text(b, "n1");
    rr_frame_put_u16(b, 1);
    rr_frame_put_text(b, "vm-1");
    for (uint64_t i = 1; i <= 3; i++) {
        rr_frame_put_u64(b, i);
    }
    rr_frame_end(b, at);
    at = rr_frame_begin(b, RR_FRAME_SUSPECT);
    rr_frame_put_u16(b, 1);
    rr_frame_put_text(b, "vm-2");
    rr_frame_end(b, at);
    scene_hex(out, "frames", b);
    g_byte_array_free(b, TRUE);
}

/* Jobs of each kind and state, two machines, bookings, a completion, an intent, a session, a term.
 */
static GString *scene_play(void) {
    fx_world *w;
    rr_plan p;
    rr_autoscaler_step s;
    GArray *none = g_array_new(FALSE, FALSE, sizeof(rr_listed_machine));
    fx_world_setup((void **)&w);
    fx_node *n = &w->n;
    fx_fleet(n, 1, 3, "a");
    fx_submit(w->store,
              &(struct fx_job){.job_id = "req-1", .pieces = 5, .cpus = 2, .deadline_s = 90},
              n->now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-2", .service = true, .spread = true},
              n->now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-3", .one_zone = true, .zone = "b"}, n->now);
    fx_submit(w->store, &(struct fx_job){.job_id = "req-4", .service = true, .rank = "prod"},
              n->now);
    fx_sync(w->store, n->core, n->now);
    for (int i = 0; i < 3; i++) {
        n->now += 1;
        fx_plan(n, &p);
        for (guint k = 0; k < p.command_batches->len; k++) {
            rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, k),
                                   RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&p);
    }
    fx_cancel(n, "req-4");
    for (int m = 1; m <= 3; m++) {
        char id[16];
        g_snprintf(id, sizeof id, "vm-%d", m);
        uint64_t at = fx_booked(w->store, id, "req-1", 0);
        if (at) {
            char *ended = g_strdup_printf("req-1 0 %" G_GUINT64_FORMAT " ended:done", at);
            fx_report(n, id, "a", false, 1, 2, rr_core_fencing_token(n->core), ended, NULL);
            g_free(ended);
        }
    }
    n->now += 50;
    fx_plan(n, &p);
    rr_plan_clear(&p);
    for (int i = 0; i < 20 && fx_count(w->store, RR_KEY_ROOT "hire/") == 0; i++) {
        fx_provisioner_step(n, none, &s);
        rr_autoscaler_step_clear(&s);
        n->now += 1;
    }
    GString *out = fx_dump(w->store);
    scene_frames(out);
    g_array_free(none, TRUE);
    fx_world_teardown((void **)&w);
    return out;
}

#endif
