/* The decision trace of the packages beside the core: admission and transfers between cells. */
#include "core/extensions.h"
#include "core/state/transaction.h"
#include "trace_world.h"

#include "admission_model.h"
#include "cell_pair.h"

#include <string.h>

static void checkpoint(GString *out, const char *what, unsigned seed, unsigned step,
                       const trace_hash *hash) {
    g_string_append_printf(out, "%s seed %u step %u %016" G_GINT64_MODIFIER "x\n", what, seed, step,
                           hash->value);
}

/* ---- admission ---- */

#define ADMISSION_S 240
#define ADMISSION_CHECKPOINT_S 60

static const char *const four_teams[] = {"red", "blue", "green", "gold", NULL};

static const struct model_stream streams[] = {
    {"red", "flood", 12, 10, 1, 0, 0, 1, 0},      {"red", "large", 0.02, 10, 1, 0, 0, 80, 0},
    {"blue", "small", 1, 10, 0.5, 0, 0, 1, -1},   {"blue", "large", 0.02, 10, 1, 0, 0, 60, -1},
    {"green", "mid", 0.3, 10, 2, 20, 200, 10, 1}, {"gold", "small", 3, 10, 1, 60, 0, 1, 2},
};

/* The model's callback gets the model alone. */
static struct {
    trace_hash hash;
    GString *out;
    GRand *random;
    unsigned asked;
} admission_trace;

static void hash_table_of(const struct model *model, int controller) {
    const rr_admission *admission = model->controllers[controller];
    const rr_admission_table *table = rr_admission_get_newest_table(admission);
    trace_hash *hash = &admission_trace.hash;
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    trace_int(hash, table ? table->sequence : UINT64_MAX);
    if (!table || table->sequence == 0) {
        return;
    }
    guint count = rr_admission_table_encode(table, 4096, RR_ADMISSION_PARTS_MAX, records);
    for (guint i = 0; i < count; i++) {
        trace_bytes(hash, records[i].buffer.data, records[i].buffer.size);
        rr_encoder_clear(&records[i]);
    }
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    trace_int(hash, rr_admission_add_table_writes(admission, table, &transaction));
    trace_txn(hash, &transaction);
    rr_transaction_clear(&transaction);
}

static void hash_demand_of(const struct model *model, int controller, double now) {
    const rr_admission *admission = model->controllers[controller];
    trace_hash *hash = &admission_trace.hash;
    GByteArray *view = g_byte_array_new();
    GArray *demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_admission_stats stats;
    trace_int(hash, rr_admission_encode_demand_view(admission, 1, view));
    trace_bytes(hash, view->data, view->len);
    rr_admission_append_total_demand(admission, now, demand);
    trace_int(hash, demand->len);
    for (guint i = 0; i < demand->len; i++) {
        const rr_demand_total *total = &g_array_index(demand, rr_demand_total, i);
        trace_decimal(hash, total->job_count);
        trace_decimal(hash, total->mean_work.cpu_s);
    }
    rr_admission_get_stats(admission, &stats);
    trace_int(hash, stats.admitted);
    trace_int(hash, stats.refused);
    trace_int(hash, stats.refused_without_table);
    trace_int(hash, stats.frames_dropped);
    trace_int(hash, stats.unreadable_records);
    g_array_free(demand, TRUE);
    g_byte_array_free(view, TRUE);
}

/* Verdicts on jobs that nobody else asks for. */
static void hash_verdicts_of(const struct model *model, int controller, double now) {
    for (int i = 0; i < 4; i++) {
        GRand *random = admission_trace.random;
        const struct model_stream *stream =
            &model->streams[g_rand_int_range(random, 0, (gint)model->stream_count)];
        rr_submission submission = {.task_count = stream->tasks,
                                    .cpus = 1,
                                    .mem_gb = 1,
                                    .kind = (enum rr_job_kind)g_rand_int_range(random, 0, 3),
                                    .runtime_estimate_s = stream->runtime_s};
        rr_admission_context state = {.lease_valid = g_rand_int_range(random, 0, 20) > 0,
                                      .all_support_admission = g_rand_int_range(random, 0, 20) > 0,
                                      .cache_age_s = g_rand_double_range(random, 0, 3),
                                      .controllers = MODEL_CONTROLLERS};
        g_snprintf(submission.job_id, sizeof submission.job_id, "req-9%07u",
                   ++admission_trace.asked);
        g_strlcpy(submission.team, stream->team, sizeof submission.team);
        g_strlcpy(submission.job_class, stream->job_class, sizeof submission.job_class);
        char machine_types[2][RR_ID_SIZE] = {"m2", "m1"};
        submission.machine_types = machine_types;
        submission.machine_type_count = g_rand_int_range(random, 0, 3);
        if (model->settings[0].solver_s <= 0) { /* more keys than a table takes */
            g_snprintf(submission.job_class, sizeof submission.job_class, "class-%d",
                       g_rand_int_range(random, 0, 300));
        }
        rr_admission_verdict verdict = rr_admission_check(
            model->controllers[controller], &submission, &state, TRACE_WALL + now, now);
        trace_int(&admission_trace.hash, verdict.kind);
        trace_int(&admission_trace.hash, (uint64_t)verdict.retry_after_s);
    }
}

/* Faults begin and end at given times of the run. */
static void admission_faults(struct model *model, double now) {
    unsigned second = (unsigned)now;
    model->cache_frozen[1] = model->seed % 2 && second >= 70 && second < 110;
    model->commit_replies_lost = second >= 120 && second < 140;
    model->demand_views_lost = model->seed % 3 == 0 && second >= 90 && second < 130;
    model->clock_offset_s[2] = model->seed % 2 ? 0 : 0.05;
    model->autoscaler = second >= 150 && second < 160 ? -1 : (int)(second / 80) % 3;
    if (second == 170) {
        model_restart(model, (int)(model->seed % MODEL_CONTROLLERS));
    }
}

static void each_second(struct model *model, double now) {
    unsigned second = (unsigned)(now + 0.5);
    admission_faults(model, now);
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        hash_table_of(model, i);
        hash_demand_of(model, i, now);
        hash_verdicts_of(model, i, now);
    }
    if (second % ADMISSION_CHECKPOINT_S == 0) {
        checkpoint(admission_trace.out, "admission", model->seed, second, &admission_trace.hash);
    }
}

static void hash_results(const struct model *model) {
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        trace_int(&admission_trace.hash, result->accepted);
        trace_int(&admission_trace.hash, result->abandoned);
        trace_int(&admission_trace.hash, result->started);
        trace_decimal(&admission_trace.hash, result->wait_s);
    }
    trace_int(&admission_trace.hash, model->tables_written);
    trace_int(&admission_trace.hash, model->conflicts);
}

void trace_admission_play(unsigned seed, GString *out) {
    struct model model;
    model_init(&model, four_teams);
    memcpy(model.streams, streams, sizeof streams);
    model.stream_count = G_N_ELEMENTS(streams);
    model.seed = seed;
    model.duration_s = ADMISSION_S;
    model.each_second = each_second;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        /* Never cut short by a slow machine, or at once. */
        model.settings[i].solver_s = seed % 3 == 0 ? 0 : 60;
        model.settings[i].teams[seed % 4].weight = 3;
        model.settings[i].teams[1].least_share = seed % 2 ? 0.3 : 0;
    }
    trace_hash_init(&admission_trace.hash);
    admission_trace.out = out;
    admission_trace.asked = 0;
    admission_trace.random = g_rand_new_with_seed(seed);
    model_run(&model);
    hash_results(&model);
    checkpoint(out, "admission", seed, ADMISSION_S, &admission_trace.hash);
    g_rand_free(admission_trace.random);
    model_clear(&model);
}

/* ---- transfers between cells ---- */

#define CELLS_STEPS 300
#define CELLS_CHECKPOINT 100
#define CELLS_JOBS 40

struct cells_trace {
    cell_pair *pair;
    rr_absent_cell *absent;
    GRand *random;
    trace_hash hash;
    unsigned jobs;
};

static void on_write(void *watcher, const rr_transfer_write *write) {
    trace_hash *hash = watcher;
    trace_int(hash, write->outgoing);
    trace_text(hash, write->id);
    trace_int(hash, write->cancels_copy);
    trace_int(hash, write->ends_claim);
    trace_txn(hash, &write->transaction);
}

static void on_request(void *watcher, const GByteArray *frame) {
    trace_bytes(watcher, frame->data, frame->len);
}

static void on_reply(void *watcher, const rr_transfer_message *reply) {
    trace_hash *hash = watcher;
    trace_int(hash, reply->kind);
    if (reply->kind != RR_TRANSFER_NOTHING) {
        trace_int(hash, reply->claim);
        trace_int(hash, reply->answer);
        trace_decimal(hash, reply->sent_at);
        trace_int(hash, reply->guest_process);
    }
}

static void watch(struct test_cell *cell, trace_hash *hash) {
    cell->on_write = on_write;
    cell->on_request = on_request;
    cell->on_reply = on_reply;
    cell->watcher = hash;
}

static int roll(struct cells_trace *trace, int below) {
    return g_rand_int_range(trace->random, 0, below);
}

static void submit_at_home(struct cells_trace *trace) {
    char id[RR_ID_SIZE];
    g_snprintf(id, sizeof id, "req-%u", ++trace->jobs);
    struct test_job job = {.job_id = id,
                           .team = roll(trace, 2) ? "red" : "blue",
                           .service = roll(trace, 4) == 0,
                           .task_count = (uint32_t)(1 + roll(trace, 4)),
                           .cpus = 2 + 2 * roll(trace, 7),
                           .priority = roll(trace, 4) == 0 ? "prod" : "standard"};
    cell_submit_job(&trace->pair->home, &job);
}

/* Every task of the job, wherever it is, is shown in this state. */
static void show_job(struct cells_trace *trace, unsigned number, const char *state) {
    char id[RR_ID_SIZE];
    g_snprintf(id, sizeof id, "req-%u", number);
    trace_int(&trace->hash, cell_plan_with_task_state(&trace->pair->home, id, state));
    for (uint32_t claim = 1; claim <= 3; claim++) {
        const char *local = cell_pair_guest_job_id(trace->pair, id, claim);
        trace_int(&trace->hash, cell_plan_with_task_state(&trace->pair->guest, local, state));
    }
}

static void cancel_at_home(struct cells_trace *trace, unsigned number) {
    struct test_cell *home = &trace->pair->home;
    char id[RR_ID_SIZE];
    rr_core_job job;
    rr_outgoing_record withdrawn;
    uint64_t version = 0;
    double wait_s = 0;
    g_snprintf(id, sizeof id, "req-%u", number);
    if (!cell_find_job(home, id, &job) || job.done || job.cancelled) {
        return;
    }
    enum rr_cancel_precondition first = rr_transfers_check_cancellation(
        home->transfers, id, home->controller.now, &wait_s, &withdrawn, &version);
    trace_int(&trace->hash, first);
    trace_decimal(&trace->hash, first == RR_CANCEL_NEEDS_WAIT ? wait_s : 0);
    trace_int(&trace->hash,
              rr_transfers_may_cancel(home->transfers, id, home->controller.now, &version));
    if (first == RR_CANCEL_ALLOWED) {
        test_controller_cancel(&home->controller, id);
    }
}

static void restart_one(struct cells_trace *trace) {
    struct test_cell *cell = roll(trace, 2) ? &trace->pair->home : &trace->pair->guest;
    cell_restart_controller(cell, roll(trace, 2) != 0);
}

static void cells_event(struct cells_trace *trace) {
    cell_pair *pair = trace->pair;
    unsigned job = (unsigned)(1 + roll(trace, (int)trace->jobs + 1));
    switch (roll(trace, 12)) {
    case 0:
    case 1:
        if (trace->jobs < CELLS_JOBS) {
            submit_at_home(trace);
        }
        break;
    case 2:
    case 3:
        show_job(trace, job, "running");
        break;
    case 4:
        show_job(trace, job, "ended:done");
        show_job(trace, job, "ended:done");
        break;
    case 5:
        cancel_at_home(trace, job);
        break;
    case 6:
        pair->drop_replies = !pair->drop_replies;
        break;
    case 7:
        pair->fail_guest_commits = roll(trace, 3) == 0;
        break;
    case 8:
        pair->link_down = roll(trace, 3) == 0;
        break;
    case 9:
        if (roll(trace, 4) == 0) {
            restart_one(trace);
        }
        break;
    case 10:
        pair->home_plan_in_progress = roll(trace, 3) == 0;
        break;
    default:
        cell_pair_advance(pair, g_rand_double_range(trace->random, 0.5, 15));
    }
}

/* The reply frame as it would carry this cell's room and one message. */
static void hash_reply_frame(trace_hash *hash, const struct test_cell *cell) {
    GByteArray *frame = g_byte_array_new();
    rr_transfer_message message = {
        .kind = RR_TRANSFER_GRANT, .claim = 2, .sent_at = 3, .guest_process = 4};
    rr_cells_reply reply, unpacked;
    rr_cells_reply_init(&reply);
    reply.room = rr_transfers_get_free_room(cell->transfers, cell->controller.now);
    reply.http_status = 200;
    g_strlcpy(reply.owner, "n0", sizeof reply.owner);
    rr_cells_add_item(reply.items, "req-1", &message);
    rr_cells_reply_pack(&reply, frame);
    trace_bytes(hash, frame->data, frame->len);
    trace_int(hash, (uint64_t)rr_cells_reply_unpack(frame->data + 8, frame->len - 8, &unpacked));
    trace_decimal(hash, unpacked.room.cpus);
    rr_cells_reply_clear(&unpacked);
    rr_cells_reply_clear(&reply);
    g_byte_array_free(frame, TRUE);
}

static void hash_where_jobs_are(struct cells_trace *trace) {
    const struct test_cell *home = &trace->pair->home;
    for (unsigned number = 1; number <= trace->jobs; number++) {
        char id[RR_ID_SIZE], local[RR_ID_SIZE] = "";
        size_t neighbour = 0;
        g_snprintf(id, sizeof id, "req-%u", number);
        trace_int(&trace->hash,
                  rr_transfers_locate_job(home->transfers, id, &neighbour, local, sizeof local));
        trace_text(&trace->hash, local);
    }
    trace_int(&trace->hash,
              rr_transfers_may_answer_for(home->transfers, "red", home->controller.now));
}

static void hash_cell(trace_hash *hash, const struct test_cell *cell) {
    GString *dump = fake_store_dump(cell->store);
    rr_transfers_stats stats;
    trace_text(hash, dump->str);
    trace_int(hash, cell->store->revision);
    rr_transfers_get_stats(cell->transfers, &stats);
    const uint64_t counts[] = {stats.outgoing,
                               stats.incoming,
                               stats.offered,
                               stats.taken,
                               stats.refused,
                               stats.finished,
                               stats.withdrawn,
                               stats.accepted,
                               stats.given_back,
                               stats.granted,
                               stats.lapsed,
                               stats.claimed,
                               stats.unreadable_records,
                               stats.spilling};
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        trace_int(hash, counts[i]);
    }
    g_string_free(dump, TRUE);
}

/* The home's controllers are gone, and the guest reads what its key-value store has. */
static void cells_home_absent(struct cells_trace *trace) {
    if (!trace->pair->home_controllers_down) {
        cell_pair_stop_home_controllers(trace->pair);
    }
    cell_pair_read_home(trace->pair, trace->absent, NULL);
    trace_decimal(&trace->hash,
                  rr_absent_duration_s(trace->absent, trace->pair->guest.controller.now));
}

void trace_cells_play(unsigned seed, GString *out) {
    struct cells_trace trace = {.pair = cell_pair_create(), .random = g_rand_new_with_seed(seed)};
    cell_pair *pair = trace.pair;
    trace.absent = rr_absent_create(&pair->guest.controller.config, "g");
    trace_hash_init(&trace.hash);
    watch(&pair->home, &trace.hash);
    watch(&pair->guest, &trace.hash);
    cell_add_machines(&pair->guest, 4);
    if (seed % 2) {
        cell_add_machines(&pair->home, 1);
    }
    for (unsigned step = 1; step <= CELLS_STEPS; step++) {
        cell_pair_advance(pair, 1);
        cells_event(&trace);
        cell_pair_step(pair);
        if (step > CELLS_STEPS * 2 / 3) {
            cells_home_absent(&trace);
        }
        if (step % 10 == 0) {
            hash_cell(&trace.hash, &pair->home);
            hash_cell(&trace.hash, &pair->guest);
            hash_reply_frame(&trace.hash, &pair->guest);
            hash_where_jobs_are(&trace);
        }
        if (step % CELLS_CHECKPOINT == 0) {
            checkpoint(out, "cells", seed, step, &trace.hash);
        }
    }
    rr_absent_destroy(trace.absent);
    g_rand_free(trace.random);
    cell_pair_destroy(pair);
}
