#include "cell_pair.h"
#include "core/extensions.h"
#include "core/planning.h"

#include <string.h>

static void on_record(void *user, const char *rest, const msgpack_object *value, uint64_t version) {
    struct test_cell *cell = user;
    rr_transfers_apply_record(cell->transfers, rest, value, version);
}

static void neighbour_init(rr_cells_settings *settings, const char *name, const char *zone) {
    rr_neighbour_cell *cell = &settings->neighbours[settings->neighbour_count++];
    g_strlcpy(cell->name, name, sizeof cell->name);
    cell->networks = rr_networks_create();
    cell->zones = g_ptr_array_new_with_free_func(g_free);
    cell->teams = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(cell->zones, g_strdup(zone));
}

static void cell_init(struct test_cell *cell, const char *name, const char *neighbour) {
    cell->store = fake_store_create();
    fake_store_put_machine_type(cell->store, "m1", 16, 4, 64, 10, 4);
    test_controller_init(&cell->node, cell->store, "n0");
    cell->node.config.cells = true;
    cell->settings = (rr_cells_settings){.enabled = true,
                                         .lease_s = 10,
                                         .stop_s = 5,
                                         .begin_wait_s = 30,
                                         .end_wait_s = 10,
                                         .give_back_s = 60,
                                         .guest_share = 1,
                                         .times = {.lease_s = 10, .teardown_s = 80, .drift = 0}};
    g_strlcpy(cell->settings.name, name, sizeof cell->settings.name);
    neighbour_init(&cell->settings, neighbour, "far");
    cell->process = 100;
    cell->session = 7;
    cell->transfers =
        rr_transfers_create(&cell->settings, &cell->node.config, cell->node.core, cell->process);
    rr_core_watch_records(cell->node.core, RR_CELLS_KEY_PREFIX, on_record, cell);
    test_controller_join(&cell->node, cell->session);
}

static void cell_clear(struct test_cell *cell) {
    rr_transfers_destroy(cell->transfers);
    rr_cells_settings_clear(&cell->settings);
    test_controller_clear(&cell->node);
    fake_store_destroy(cell->store);
}

cell_pair *cell_pair_create(void) {
    cell_pair *pair = g_new0(cell_pair, 1);
    cell_init(&pair->home, "h", "g");
    cell_init(&pair->guest, "g", "h");
    return pair;
}

void cell_pair_destroy(cell_pair *pair) {
    cell_clear(&pair->home);
    cell_clear(&pair->guest);
    g_free(pair);
}

void cell_pair_advance(cell_pair *pair, double seconds) {
    pair->home.node.now += seconds;
    pair->guest.node.now += seconds;
}

void cell_restart(struct test_cell *cell, bool new_process) {
    test_controller_leave(&cell->node);
    if (new_process) {
        double now = cell->node.now;
        rr_transfers_destroy(cell->transfers);
        test_controller_clear(&cell->node);
        test_controller_init(&cell->node, cell->store, "n0");
        cell->node.config.cells = true;
        cell->node.now = now;
        cell->process++;
        cell->transfers = rr_transfers_create(&cell->settings, &cell->node.config, cell->node.core,
                                              cell->process);
        rr_core_watch_records(cell->node.core, RR_CELLS_KEY_PREFIX, on_record, cell);
        fake_store_reload(cell->store, cell->node.core, now);
    }
    test_controller_join(&cell->node, ++cell->session);
}

void cell_fleet(struct test_cell *cell, int machines) {
    cell->machines = machines;
    test_controller_add_machines(&cell->node, 1, machines, "a");
}

static const char *shown_state;

static const char *state_of(int machine, const char *job_id, uint32_t task, int shown,
                            uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)shown;
    (void)sequence;
    return shown_state;
}

unsigned cell_plan_with(struct test_cell *cell, const char *job_id, const char *task_state) {
    rr_plan plan;
    struct reporting_machines reporting = {.first = 1,
                                           .last = cell->machines,
                                           .last_in_zone_a = cell->machines,
                                           .job_ids = &job_id,
                                           .job_count = 1,
                                           .tasks_per_job = 9,
                                           .heartbeat_tasks_max = HEARTBEAT_TASKS_MAX,
                                           .worker_epoch = 1,
                                           .sequence = 10 + ++cell->sequence,
                                           .state = state_of};
    shown_state = task_state;
    test_controller_send_heartbeats(&cell->node, &reporting);
    unsigned stops = 0;
    test_controller_plan(&cell->node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *command = g_ptr_array_index(plan.command_batches, i);
        for (uint32_t task = 0; task < reporting.tasks_per_job; task++) {
            stops +=
                plan_find_command(&plan, command->machine, RR_COMMAND_STOP, job_id, task) != NULL;
        }
        rr_core_record_command_result(cell->node.core, cell->node.now, command, RR_COMMAND_ANSWERED,
                                      true);
    }
    rr_plan_clear(&plan);
    return stops;
}

void cell_plan(struct test_cell *cell, const char *job_id) {
    cell_plan_with(cell, job_id, "running");
}

void cell_submit(struct test_cell *cell, const struct test_job *job) {
    fake_store_submit(cell->store, job, cell->node.now);
    fake_store_sync(cell->store, cell->node.core, cell->node.now);
}

bool cell_job(const struct test_cell *cell, const char *job_id, rr_core_job *out) {
    memset(out, 0, sizeof *out);
    return rr_core_find_job(cell->node.core, job_id, out);
}

const char *cell_pair_local(const cell_pair *pair, const char *job_id, uint32_t claim) {
    static char id[RR_ID_SIZE];
    rr_cells_make_local_id(pair->home.settings.name, job_id, claim, id, sizeof id);
    return id;
}

/* ---- what a controller's threads do ---- */

static rr_transfer_message commit(struct test_cell *cell, const rr_transfer_write *write,
                                  bool refuse) {
    if (cell->on_write) {
        cell->on_write(cell->watcher, write);
    }
    bool done = !refuse && fake_store_commit(cell->store, &write->transaction) == 0;
    fake_store_sync(cell->store, cell->node.core, cell->node.now);
    return rr_transfers_complete_write(cell->transfers, write, done);
}

/* The request goes over the wire as bytes. */
static void carry(cell_pair *pair, struct test_cell *from, struct test_cell *target,
                  const rr_cells_request *sent) {
    GByteArray *frame = g_byte_array_new();
    rr_cells_request request;
    rr_cells_request_pack(sent, frame);
    if (from->on_request) {
        from->on_request(from->watcher, frame);
    }
    assert_int_equal(rr_cells_request_unpack(frame->data + 8, frame->len - 8, &request), 0);
    bool refuse = pair->refuse_commit && target == &pair->guest;
    for (guint i = 0; i < request.items->len; i++) {
        const rr_cells_item *item = &g_array_index(request.items, rr_cells_item, i);
        rr_transfer_message reply;
        rr_transfer_write write;
        double now = target->node.now;
        pair->offers += item->message.kind == RR_TRANSFER_OFFER;
        if (rr_transfers_receive_message(target->transfers, 0, &request, item, now, now, &reply,
                                         &write)) {
            reply = commit(target, &write, refuse);
            rr_transfer_write_clear(&write);
        }
        if (target->on_reply) {
            target->on_reply(target->watcher, &reply);
        }
        if (!pair->lose_replies &&
            rr_transfers_receive_reply(from->transfers, 0, item, &reply, from->node.now,
                                       from->node.now, &write)) {
            commit(from, &write, false);
            rr_transfer_write_clear(&write);
        }
    }
    rr_cells_room room = rr_transfers_get_free_room(target->transfers, target->node.now);
    if (!pair->lose_replies) {
        rr_transfers_set_neighbour_room(from->transfers, 0, &room, from->node.now);
    }
    rr_cells_request_clear(&request);
    g_byte_array_free(frame, TRUE);
}

static void look(cell_pair *pair, struct test_cell *own, struct test_cell *other) {
    rr_transfers_plan plan;
    bool under_way = pair->plan_under_way && own == &pair->home;
    rr_transfers_plan_init(&plan);
    rr_transfers_advance(own->transfers, 0, !under_way, own->node.now, own->node.now, &plan);
    for (guint i = 0; i < plan.writes->len; i++) {
        commit(own, g_ptr_array_index(plan.writes, i), pair->refuse_commit && own == &pair->guest);
    }
    for (guint i = 0; i < plan.requests->len; i++) {
        if (pair->cut) {
            rr_transfers_record_no_reply(own->transfers, 0, own->node.now);
        } else {
            carry(pair, own, other, g_ptr_array_index(plan.requests, i));
        }
    }
    rr_transfers_plan_clear(&plan);
}

void cell_pair_step(cell_pair *pair) {
    if (!pair->home_dead) {
        look(pair, &pair->home, &pair->guest);
    }
    look(pair, &pair->guest, &pair->home);
}

void cell_pair_home_dies(cell_pair *pair) {
    test_controller_leave(&pair->home.node);
    pair->home_dead = pair->cut = true;
}

struct reading {
    rr_absent_cell *absent;
    double now;
};

static void read_record(void *user, const char *key, const msgpack_object *value,
                        uint64_t version) {
    const struct reading *reading = user;
    rr_absent_add_record(reading->absent, key, value, version, reading->now);
}

void cell_pair_commit_there(cell_pair *pair, GPtrArray *writes, unsigned *made) {
    for (guint i = 0; i < writes->len; i++) {
        const rr_transfer_write *write = g_ptr_array_index(writes, i);
        bool done = fake_store_commit(pair->home.store, &write->transaction) == 0;
        *made += done;
        if (done) {
            rr_transfers_complete_absent_write(pair->guest.transfers, write);
        }
    }
}

void cell_pair_read_home(cell_pair *pair, rr_absent_cell *absent, GPtrArray *hold_back) {
    double now = pair->guest.node.now;
    struct reading reading = {absent, now};
    rr_transfers_plan here;
    unsigned made = 0;
    GPtrArray *there = hold_back ? hold_back : g_ptr_array_new();
    bool none = fake_store_count(pair->home.store, "rr/node/") == 0;
    rr_absent_begin_read(absent);
    fake_store_foreach(pair->home.store, read_record, &reading);
    rr_absent_end_read(absent, now);
    rr_absent_record_session_check(absent, none, now);
    rr_transfers_plan_init(&here);
    rr_transfers_advance_absent(pair->guest.transfers, 0, absent, now, now, now, &here, there);
    for (guint i = 0; i < here.writes->len; i++) {
        commit(&pair->guest, g_ptr_array_index(here.writes, i), false);
    }
    if (!hold_back) {
        cell_pair_commit_there(pair, there, &made);
        g_ptr_array_free(there, TRUE);
    }
    rr_transfers_plan_clear(&here);
}

void cell_pair_play(cell_pair *pair, double seconds) {
    for (int i = 0; i < (int)(2 * seconds); i++) {
        cell_pair_advance(pair, 0.5);
        cell_pair_step(pair);
    }
}

/* ---- for test programs ---- */

const struct test_job cell_pair_job = {.job_id = CELL_PAIR_JOB, .task_count = 2, .cpus = 4};

int cell_pair_setup(void **state) {
    *state = cell_pair_create();
    return 0;
}

int cell_pair_teardown(void **state) {
    cell_pair_destroy(*state);
    return 0;
}

void cell_pair_wait_at_home(cell_pair *pair, const struct test_job *job) {
    cell_fleet(&pair->guest, 2);
    cell_submit(&pair->home, job);
    cell_pair_advance(pair, 31);
}

unsigned cell_placed(const struct test_cell *cell, const char *job_id) {
    return fake_store_placed_count(cell->store, job_id);
}

const char *cell_pair_spill(cell_pair *pair) {
    cell_pair_wait_at_home(pair, &cell_pair_job);
    cell_pair_play(pair, 3);
    cell_plan(&pair->guest, cell_pair_local(pair, CELL_PAIR_JOB, 1));
    const char *local = cell_pair_local(pair, CELL_PAIR_JOB, 1);
    assert_int_equal(cell_placed(&pair->guest, local), 2);
    return local;
}

void cell_pair_end_at_guest(cell_pair *pair, const char *local) {
    for (int i = 0; i < 3; i++) {
        cell_plan_with(&pair->guest, local, "ended:done");
    }
}
