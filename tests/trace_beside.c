/* The decision trace of admission and of the transfers between cells. */
#include "core/extensions.h"
#include "core/state/transaction.h"
#include "trace_world.h"

#include "admission_model.h"
#include "cell_pair.h"

#include <string.h>

/* Appends a line with the hash so far. step: of the run, in admission a second. */
static void append_checkpoint(GString *out, const char *package, unsigned seed, unsigned step,
                              const trace_hash *hash) {
    g_string_append_printf(out, "%s seed %u step %u %016" G_GINT64_MODIFIER "x\n", package, seed,
                           step, hash->value);
}

/* ---- admission ---- */

#define ADMISSION_DURATION_S 240
#define ADMISSION_CHECKPOINT_S 60

static const char *const admission_teams[] = {"red", "blue", "green", "gold", NULL};

static const struct model_stream streams[] = {
    {"red", "flood", 12, 10, 1, 0, 0, 1, 0},      {"red", "large", 0.02, 10, 1, 0, 0, 80, 0},
    {"blue", "small", 1, 10, 0.5, 0, 0, 1, -1},   {"blue", "large", 0.02, 10, 1, 0, 0, 60, -1},
    {"green", "mid", 0.3, 10, 2, 20, 200, 10, 1}, {"gold", "small", 3, 10, 1, 60, 0, 1, 2},
};

/* State of the run under way. It is global since the model's callback gets the model alone. */
static struct {
    trace_hash hash;
    GString *out;
    GRand *random;
    unsigned check_count;
} admission_trace;

/* Hashes the controller's newest table, as it is encoded and written. */
static void hash_admission_table(const struct model *model, int controller) {
    const rr_admission *admission = model->controllers[controller];
    const rr_admission_table *table = rr_admission_get_newest_table(admission);
    trace_hash *hash = &admission_trace.hash;
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    trace_hash_uint64(hash, table ? table->sequence : UINT64_MAX);
    if (!table || table->sequence == 0) {
        return;
    }
    guint count = rr_admission_table_encode(table, 4096, RR_ADMISSION_PARTS_MAX, records);
    for (guint i = 0; i < count; i++) {
        trace_hash_bytes(hash, records[i].buffer.data, records[i].buffer.size);
        rr_encoder_clear(&records[i]);
    }
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    trace_hash_uint64(hash, rr_admission_add_table_writes(admission, table, &transaction));
    trace_hash_transaction(hash, &transaction);
    rr_transaction_clear(&transaction);
}

/* Hashes the view that the controller sends to its peers, the demand it knows, and its counters. */
static void hash_demand(const struct model *model, int controller, double now) {
    const rr_admission *admission = model->controllers[controller];
    trace_hash *hash = &admission_trace.hash;
    GByteArray *view = g_byte_array_new();
    GArray *demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_admission_stats stats;
    trace_hash_uint64(hash, rr_admission_encode_demand_view(admission, 1, view));
    trace_hash_bytes(hash, view->data, view->len);
    rr_admission_append_total_demand(admission, now, demand);
    trace_hash_uint64(hash, demand->len);
    for (guint i = 0; i < demand->len; i++) {
        const rr_demand_total *total = &g_array_index(demand, rr_demand_total, i);
        trace_hash_double(hash, total->job_count);
        trace_hash_double(hash, total->mean_work.cpu_s);
    }
    rr_admission_get_stats(admission, &stats);
    trace_hash_uint64(hash, stats.admitted);
    trace_hash_uint64(hash, stats.refused);
    trace_hash_uint64(hash, stats.refused_without_table);
    trace_hash_uint64(hash, stats.frames_dropped);
    trace_hash_uint64(hash, stats.unreadable_records);
    g_array_free(demand, TRUE);
    g_byte_array_free(view, TRUE);
}

/* Hashes the controller's verdicts on random jobs that are submitted here alone. */
static void hash_verdicts(const struct model *model, int controller, double now) {
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
                                      .cache_age_s = trace_random_double_from(random, 0, 3),
                                      .controllers = MODEL_CONTROLLERS};
        g_snprintf(submission.job_id, sizeof submission.job_id, "req-9%07u",
                   ++admission_trace.check_count);
        g_strlcpy(submission.team, stream->team, sizeof submission.team);
        g_strlcpy(submission.job_class, stream->job_class, sizeof submission.job_class);
        char machine_types[2][RR_ID_SIZE] = {"m2", "m1"};
        submission.machine_types = machine_types;
        submission.machine_type_count = g_rand_int_range(random, 0, 3);
        if (model->settings[0].solver_s <= 0) { /* more classes than fit into a table */
            g_snprintf(submission.job_class, sizeof submission.job_class, "class-%d",
                       g_rand_int_range(random, 0, 300));
        }
        rr_admission_verdict verdict =
            rr_admission_check(model->controllers[controller], &submission, &state,
                               TRACE_WALL_CLOCK_OFFSET_S + now, now);
        trace_hash_uint64(&admission_trace.hash, verdict.kind);
        trace_hash_uint64(&admission_trace.hash, (uint64_t)verdict.retry_after_s);
    }
}

/* Sets the faults for this time of the run. */
static void set_admission_faults(struct model *model, double now) {
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

/* Callback of the model: sets the faults and hashes every controller. */
static void on_second(struct model *model, double now) {
    unsigned second = (unsigned)(now + 0.5);
    set_admission_faults(model, now);
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        hash_admission_table(model, i);
        hash_demand(model, i, now);
        hash_verdicts(model, i, now);
    }
    if (second % ADMISSION_CHECKPOINT_S == 0) {
        append_checkpoint(admission_trace.out, "admission", model->seed, second,
                          &admission_trace.hash);
    }
}

/* Hashes what became of each stream's jobs. */
static void hash_results(const struct model *model) {
    for (unsigned i = 0; i < model->stream_count; i++) {
        const struct model_result *result = &model->results[i];
        trace_hash_uint64(&admission_trace.hash, result->accepted);
        trace_hash_uint64(&admission_trace.hash, result->abandoned);
        trace_hash_uint64(&admission_trace.hash, result->started);
        trace_hash_double(&admission_trace.hash, result->wait_s);
    }
    trace_hash_uint64(&admission_trace.hash, model->tables_written);
    trace_hash_uint64(&admission_trace.hash, model->conflicts);
}

void trace_run_admission(unsigned seed, GString *out) {
    struct model model;
    model_init(&model, admission_teams);
    memcpy(model.streams, streams, sizeof streams);
    model.stream_count = G_N_ELEMENTS(streams);
    model.seed = seed;
    model.duration_s = ADMISSION_DURATION_S;
    model.each_second = on_second;
    for (int i = 0; i < MODEL_CONTROLLERS; i++) {
        /* The solver's time bound is never reached or always, whatever the machine's speed. */
        model.settings[i].solver_s = seed % 3 == 0 ? 0 : 60;
        model.settings[i].teams[seed % 4].weight = 3;
        model.settings[i].teams[1].least_share = seed % 2 ? 0.3 : 0;
    }
    trace_hash_init(&admission_trace.hash);
    admission_trace.out = out;
    admission_trace.check_count = 0;
    admission_trace.random = g_rand_new_with_seed(seed);
    model_run(&model);
    hash_results(&model);
    append_checkpoint(out, "admission", seed, ADMISSION_DURATION_S, &admission_trace.hash);
    g_rand_free(admission_trace.random);
    model_clear(&model);
}

/* ---- transfers between cells ---- */

#define CELLS_STEPS 300
#define CELLS_CHECKPOINT_STEPS 100
#define CELLS_JOBS_MAX 40

struct cells_trace {
    cell_pair *pair;
    rr_absent_cell *absent;
    GRand *random;
    trace_hash hash;
    unsigned job_count;
};

static void hash_write(void *watcher, const rr_transfer_write *write) {
    trace_hash *hash = watcher;
    trace_hash_uint64(hash, write->outgoing);
    trace_hash_text(hash, write->id);
    trace_hash_uint64(hash, write->cancels_copy);
    trace_hash_uint64(hash, write->ends_claim);
    trace_hash_transaction(hash, &write->transaction);
}

static void hash_request(void *watcher, const GByteArray *frame) {
    trace_hash_bytes(watcher, frame->data, frame->len);
}

static void hash_reply(void *watcher, const rr_transfer_message *reply) {
    trace_hash *hash = watcher;
    trace_hash_uint64(hash, reply->kind);
    if (reply->kind != RR_TRANSFER_NOTHING) {
        trace_hash_uint64(hash, reply->claim);
        trace_hash_uint64(hash, reply->answer);
        trace_hash_double(hash, reply->sent_at);
        trace_hash_uint64(hash, reply->guest_process);
    }
}

/* Hashes the cell's output from here on. */
static void watch_cell(struct test_cell *cell, trace_hash *hash) {
    cell->on_write = hash_write;
    cell->on_request = hash_request;
    cell->on_reply = hash_reply;
    cell->watcher = hash;
}

static int random_int_below(struct cells_trace *trace, int below) {
    return g_rand_int_range(trace->random, 0, below);
}

/* Submits a random job at the home cell. */
static void submit_at_home(struct cells_trace *trace) {
    char id[RR_ID_SIZE];
    g_snprintf(id, sizeof id, "req-%u", ++trace->job_count);
    struct test_job job = {.job_id = id,
                           .team = random_int_below(trace, 2) ? "red" : "blue",
                           .service = random_int_below(trace, 4) == 0,
                           .task_count = (uint32_t)(1 + random_int_below(trace, 4)),
                           .cpus = 2 + 2 * random_int_below(trace, 7),
                           .priority = random_int_below(trace, 4) == 0 ? "prod" : "standard"};
    cell_submit_job(&trace->pair->home, &job);
}

/* Has the machines of both cells report every task of the job in this state. */
static void report_job_state(struct cells_trace *trace, unsigned number, const char *state) {
    char id[RR_ID_SIZE];
    g_snprintf(id, sizeof id, "req-%u", number);
    trace_hash_uint64(&trace->hash, cell_plan_with_task_state(&trace->pair->home, id, state));
    for (uint32_t claim = 1; claim <= 3; claim++) {
        const char *local = cell_pair_guest_job_id(trace->pair, id, claim);
        trace_hash_uint64(&trace->hash,
                          cell_plan_with_task_state(&trace->pair->guest, local, state));
    }
}

/* Cancels the job at its home cell, if its transfers permit that now. */
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
    enum rr_cancel_precondition precondition = rr_transfers_get_cancel_precondition(
        home->transfers, id, home->controller.now, &wait_s, &withdrawn, &version);
    trace_hash_uint64(&trace->hash, precondition);
    trace_hash_double(&trace->hash, precondition == RR_CANCEL_NEEDS_WAIT ? wait_s : 0);
    trace_hash_uint64(&trace->hash,
                      rr_transfers_may_cancel(home->transfers, id, home->controller.now, &version));
    if (precondition == RR_CANCEL_ALLOWED) {
        test_controller_cancel(&home->controller, id);
    }
}

static void restart_random_cell(struct cells_trace *trace) {
    struct test_cell *cell = random_int_below(trace, 2) ? &trace->pair->home : &trace->pair->guest;
    cell_restart_controller(cell, random_int_below(trace, 2) != 0);
}

static void run_random_event(struct cells_trace *trace) {
    cell_pair *pair = trace->pair;
    unsigned job = (unsigned)(1 + random_int_below(trace, (int)trace->job_count + 1));
    switch (random_int_below(trace, 12)) {
    case 0:
    case 1:
        if (trace->job_count < CELLS_JOBS_MAX) {
            submit_at_home(trace);
        }
        break;
    case 2:
    case 3:
        report_job_state(trace, job, "running");
        break;
    case 4:
        report_job_state(trace, job, "ended:done");
        report_job_state(trace, job, "ended:done");
        break;
    case 5:
        cancel_at_home(trace, job);
        break;
    case 6:
        pair->drop_replies = !pair->drop_replies;
        break;
    case 7:
        pair->fail_guest_commits = random_int_below(trace, 3) == 0;
        break;
    case 8:
        pair->link_down = random_int_below(trace, 3) == 0;
        break;
    case 9:
        if (random_int_below(trace, 4) == 0) {
            restart_random_cell(trace);
        }
        break;
    case 10:
        pair->home_plan_in_progress = random_int_below(trace, 3) == 0;
        break;
    default:
        cell_pair_advance(pair, trace_random_double_from(trace->random, 0.5, 15));
    }
}

/* Hashes a reply frame with this cell's room and one message, and the room that it decodes to. */
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
    trace_hash_bytes(hash, frame->data, frame->len);
    trace_hash_uint64(hash,
                      (uint64_t)rr_cells_reply_unpack(frame->data + 8, frame->len - 8, &unpacked));
    trace_hash_double(hash, unpacked.room.cpus);
    rr_cells_reply_clear(&unpacked);
    rr_cells_reply_clear(&reply);
    g_byte_array_free(frame, TRUE);
}

/* Hashes where each job is: at home, or at the guest under which name. */
static void hash_transferred_jobs(struct cells_trace *trace) {
    const struct test_cell *home = &trace->pair->home;
    for (unsigned number = 1; number <= trace->job_count; number++) {
        char id[RR_ID_SIZE], local[RR_ID_SIZE] = "";
        size_t neighbour = 0;
        g_snprintf(id, sizeof id, "req-%u", number);
        trace_hash_uint64(&trace->hash, rr_transfers_locate_job(home->transfers, id, &neighbour,
                                                                local, sizeof local));
        trace_hash_text(&trace->hash, local);
    }
    trace_hash_uint64(&trace->hash,
                      rr_transfers_may_answer_for(home->transfers, "red", home->controller.now));
}

/* Hashes the cell's key-value store and the counters of its transfers. */
static void hash_cell_state(trace_hash *hash, const struct test_cell *cell) {
    GString *dump = fake_store_dump(cell->store);
    rr_transfers_stats stats;
    trace_hash_text(hash, dump->str);
    trace_hash_uint64(hash, cell->store->revision);
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
        trace_hash_uint64(hash, counts[i]);
    }
    g_string_free(dump, TRUE);
}

/* Ends the home's controllers and has the guest read the home's key-value store. */
static void read_absent_home(struct cells_trace *trace) {
    if (!trace->pair->home_controllers_down) {
        cell_pair_stop_home_controllers(trace->pair);
    }
    cell_pair_read_home(trace->pair, trace->absent, NULL);
    trace_hash_double(&trace->hash,
                      rr_absent_duration_s(trace->absent, trace->pair->guest.controller.now));
}

void trace_run_cells(unsigned seed, GString *out) {
    struct cells_trace trace = {.pair = cell_pair_create(), .random = g_rand_new_with_seed(seed)};
    cell_pair *pair = trace.pair;
    trace.absent = rr_absent_create(&pair->guest.controller.config, "g");
    trace_hash_init(&trace.hash);
    watch_cell(&pair->home, &trace.hash);
    watch_cell(&pair->guest, &trace.hash);
    cell_add_machines(&pair->guest, 4);
    if (seed % 2) {
        cell_add_machines(&pair->home, 1);
    }
    for (unsigned step = 1; step <= CELLS_STEPS; step++) {
        cell_pair_advance(pair, 1);
        run_random_event(&trace);
        cell_pair_step(pair);
        if (step > CELLS_STEPS * 2 / 3) {
            read_absent_home(&trace);
        }
        if (step % 10 == 0) {
            hash_cell_state(&trace.hash, &pair->home);
            hash_cell_state(&trace.hash, &pair->guest);
            hash_reply_frame(&trace.hash, &pair->guest);
            hash_transferred_jobs(&trace);
        }
        if (step % CELLS_CHECKPOINT_STEPS == 0) {
            append_checkpoint(out, "cells", seed, step, &trace.hash);
        }
    }
    rr_absent_destroy(trace.absent);
    g_rand_free(trace.random);
    cell_pair_destroy(pair);
}
