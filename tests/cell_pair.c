/* See cell_pair.h. */
#include "cell_pair.h"
#include "core/extensions.h"
#include "core/planning.h"

#include <string.h>

static void on_record(void *user, const char *rest, const msgpack_object *value, uint64_t version) {
    struct test_cell *cell = user;
    rr_transfers_apply_record(cell->transfers, rest, value, version);
}

/* Adds a neighbour with one zone, without networks, controllers or a list of teams. */
static void add_neighbour(rr_cells_settings *settings, const char *name, const char *zone) {
    rr_neighbour_cell *cell = &settings->neighbours[settings->neighbour_count++];
    g_strlcpy(cell->name, name, sizeof cell->name);
    cell->networks = rr_networks_create();
    cell->zones = g_ptr_array_new_with_free_func(g_free);
    cell->teams = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(cell->zones, g_strdup(zone));
}

/* Starts a cell with one machine type, one neighbour and a controller in its first term. */
static void cell_init(struct test_cell *cell, const char *name, const char *neighbour) {
    cell->store = fake_store_create();
    fake_store_put_machine_type(cell->store, "m1", 16, 4, 64, 10, 4);
    test_controller_init(&cell->controller, cell->store, "n0");
    cell->controller.config.cells = true;
    cell->settings = (rr_cells_settings){.enabled = true,
                                         .lease_s = 10,
                                         .stop_s = 5,
                                         .begin_wait_s = 30,
                                         .end_wait_s = 10,
                                         .give_back_s = 60,
                                         .guest_share = 1,
                                         .times = {.lease_s = 10, .teardown_s = 80, .drift = 0}};
    g_strlcpy(cell->settings.name, name, sizeof cell->settings.name);
    add_neighbour(&cell->settings, neighbour, "far");
    cell->process_id = 100;
    cell->session_id = 7;
    cell->transfers = rr_transfers_create(&cell->settings, &cell->controller.config,
                                          cell->controller.core, cell->process_id);
    rr_core_watch_records(cell->controller.core, RR_CELLS_KEY_PREFIX, on_record, cell);
    test_controller_join(&cell->controller, cell->session_id);
}

static void cell_clear(struct test_cell *cell) {
    rr_transfers_destroy(cell->transfers);
    rr_cells_settings_clear(&cell->settings);
    test_controller_clear(&cell->controller);
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
    pair->home.controller.now += seconds;
    pair->guest.controller.now += seconds;
}

void cell_restart_controller(struct test_cell *cell, bool new_process) {
    test_controller_delete_session(&cell->controller);
    if (new_process) {
        double now = cell->controller.now;
        rr_transfers_destroy(cell->transfers);
        test_controller_clear(&cell->controller);
        test_controller_init(&cell->controller, cell->store, "n0");
        cell->controller.config.cells = true;
        cell->controller.now = now;
        cell->process_id++;
        cell->transfers = rr_transfers_create(&cell->settings, &cell->controller.config,
                                              cell->controller.core, cell->process_id);
        rr_core_watch_records(cell->controller.core, RR_CELLS_KEY_PREFIX, on_record, cell);
        fake_store_reload(cell->store, cell->controller.core, now);
    }
    test_controller_join(&cell->controller, ++cell->session_id);
}

void cell_add_machines(struct test_cell *cell, int machines) {
    cell->machine_count = machines;
    test_controller_add_machines(&cell->controller, 1, machines, "a");
}

/* State of all tasks in the present heartbeats; the callback gets no user data. */
static const char *shown_task_state;

static const char *show_task_state(int machine, const char *job_id, uint32_t task, int shown,
                                   uint64_t sequence) {
    (void)machine;
    (void)job_id;
    (void)task;
    (void)shown;
    (void)sequence;
    return shown_task_state;
}

unsigned cell_plan_with_task_state(struct test_cell *cell, const char *job_id,
                                   const char *task_state) {
    rr_plan plan;
    struct reporting_machines reporting = {.first = 1,
                                           .last = cell->machine_count,
                                           .last_in_zone_a = cell->machine_count,
                                           .job_ids = &job_id,
                                           .job_count = 1,
                                           .tasks_per_job = 9,
                                           .heartbeat_tasks_max = HEARTBEAT_TASKS_MAX,
                                           .worker_epoch = 1,
                                           .sequence = 10 + ++cell->heartbeat_sequence,
                                           .state = show_task_state};
    shown_task_state = task_state;
    test_controller_send_heartbeats(&cell->controller, &reporting);
    unsigned stopped_tasks = 0;
    test_controller_plan(&cell->controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_command_batch *command = g_ptr_array_index(plan.command_batches, i);
        for (uint32_t task = 0; task < reporting.tasks_per_job; task++) {
            stopped_tasks +=
                plan_find_command(&plan, command->machine, RR_COMMAND_STOP, job_id, task) != NULL;
        }
        rr_core_record_command_result(cell->controller.core, cell->controller.now, command,
                                      RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return stopped_tasks;
}

void cell_plan(struct test_cell *cell, const char *job_id) {
    cell_plan_with_task_state(cell, job_id, "running");
}

void cell_set_watch_stuck(struct test_cell *cell, bool stuck) {
    cell->store->watch_stuck = stuck;
    fake_store_sync(cell->store, cell->controller.core, cell->controller.now);
}

void cell_submit_job(struct test_cell *cell, const struct test_job *job) {
    fake_store_submit(cell->store, job, cell->controller.now);
    fake_store_sync(cell->store, cell->controller.core, cell->controller.now);
}

bool cell_find_job(const struct test_cell *cell, const char *job_id, rr_core_job *out) {
    memset(out, 0, sizeof *out);
    return rr_core_find_job(cell->controller.core, job_id, out);
}

const char *cell_pair_guest_job_id(const cell_pair *pair, const char *job_id, uint32_t claim) {
    static char id[RR_ID_SIZE];
    rr_cells_make_local_id(pair->home.settings.name, job_id, claim, id, sizeof id);
    return id;
}

/* ---- commits and message delivery ---- */

/* Sends the transaction until it is answered, and returns what is then known of its outcome. */
static rr_write_outcome commit_until_answered(struct test_cell *cell,
                                              const rr_transaction *transaction) {
    int rc = fake_store_commit(cell->store, transaction);
    if (cell->lose_next_answer) {
        cell->lose_next_answer = false;
        rc = fake_store_commit(cell->store, transaction);
    }
    return rc == 0 ? (rr_write_outcome){.status = RR_WRITE_COMMITTED}
                   : (rr_write_outcome){RR_WRITE_OUTCOME_UNKNOWN, cell->store->revision};
}

/* Commits a write to the cell's own store and returns the message that follows. refuse: the store
 * refuses the commit. */
static rr_transfer_message commit_write(struct test_cell *cell, const rr_transfer_write *write,
                                        bool refuse) {
    rr_write_outcome outcome = {.status = RR_WRITE_NOT_COMMITTED};
    if (cell->on_write) {
        cell->on_write(cell->watcher, write);
    }
    if (!refuse) {
        outcome = commit_until_answered(cell, &write->transaction);
    }
    fake_store_sync(cell->store, cell->controller.core, cell->controller.now);
    return rr_transfers_complete_write(cell->transfers, write, &outcome, cell->controller.now);
}

/* Delivers a request as a packed frame. The target handles its messages and commits what follows;
 * the sender takes the replies and the announced room, unless the link drops them. */
static void deliver_request(cell_pair *pair, struct test_cell *from, struct test_cell *target,
                            const rr_cells_request *sent) {
    GByteArray *frame = g_byte_array_new();
    rr_cells_request request;
    rr_cells_request_pack(sent, frame);
    if (from->on_request) {
        from->on_request(from->watcher, frame);
    }
    assert_int_equal(rr_cells_request_unpack(frame->data + 8, frame->len - 8, &request), 0);
    bool refuse = pair->fail_guest_commits && target == &pair->guest;
    for (guint i = 0; i < request.items->len; i++) {
        const rr_cells_item *item = &g_array_index(request.items, rr_cells_item, i);
        rr_transfer_message reply;
        rr_transfer_write write;
        double now = target->controller.now;
        pair->offers_delivered += item->message.kind == RR_TRANSFER_OFFER;
        if (rr_transfers_receive_message(target->transfers, 0, &request, item, now, now, &reply,
                                         &write)) {
            reply = commit_write(target, &write, refuse);
            rr_transfer_write_clear(&write);
        }
        if (target->on_reply) {
            target->on_reply(target->watcher, &reply);
        }
        if (!pair->drop_replies &&
            rr_transfers_receive_reply(from->transfers, 0, item, &reply, from->controller.now,
                                       from->controller.now, &write)) {
            commit_write(from, &write, false);
            rr_transfer_write_clear(&write);
        }
    }
    rr_cells_room room = rr_transfers_get_free_room(target->transfers, target->controller.now);
    if (!pair->drop_replies) {
        rr_transfers_set_neighbour_room(from->transfers, 0, &room, from->controller.now);
    }
    rr_cells_request_clear(&request);
    g_byte_array_free(frame, TRUE);
}

/* Commits what is due at one cell and sends its requests to the other. */
static void advance_transfers(cell_pair *pair, struct test_cell *own, struct test_cell *other) {
    rr_transfers_plan plan;
    bool plan_is_known =
        !pair->home_plan_in_progress &&
        rr_plan_outcome_is_known(&pair->home_plan_outcome, pair->home.controller.core);
    rr_transfers_plan_init(&plan);
    rr_transfers_advance(own->transfers, 0, plan_is_known || own != &pair->home,
                         own->controller.now, own->controller.now, &plan);
    for (guint i = 0; i < plan.writes->len; i++) {
        commit_write(own, g_ptr_array_index(plan.writes, i),
                     pair->fail_guest_commits && own == &pair->guest);
    }
    for (guint i = 0; i < plan.requests->len; i++) {
        if (pair->link_down) {
            rr_transfers_record_no_reply(own->transfers, 0, own->controller.now);
        } else {
            deliver_request(pair, own, other, g_ptr_array_index(plan.requests, i));
        }
    }
    rr_transfers_plan_clear(&plan);
}

void cell_pair_step(cell_pair *pair) {
    if (!pair->home_controllers_down) {
        advance_transfers(pair, &pair->home, &pair->guest);
    }
    advance_transfers(pair, &pair->guest, &pair->home);
}

void cell_pair_stop_home_controllers(cell_pair *pair) {
    test_controller_delete_session(&pair->home.controller);
    pair->home_controllers_down = pair->link_down = true;
}

/* Context of put_record(). */
struct store_reading {
    rr_absent_cell *absent;
    double now; /* of the guest's clock, in seconds */
};

static void put_record(void *user, const char *key, const msgpack_object *value, uint64_t version) {
    const struct store_reading *reading = user;
    rr_absent_add_record(reading->absent, key, value, version, reading->now);
}

void cell_pair_commit_to_home(cell_pair *pair, GPtrArray *writes, unsigned *committed) {
    for (guint i = 0; i < writes->len; i++) {
        const rr_transfer_write *write = g_ptr_array_index(writes, i);
        bool succeeded = fake_store_commit(pair->home.store, &write->transaction) == 0;
        *committed += succeeded;
        if (succeeded) {
            rr_transfers_complete_absent_write(pair->guest.transfers, write);
        }
    }
}

void cell_pair_read_home(cell_pair *pair, rr_absent_cell *absent, GPtrArray *held_back) {
    double now = pair->guest.controller.now;
    struct store_reading reading = {absent, now};
    rr_transfers_plan guest_plan;
    unsigned committed = 0;
    GPtrArray *home_writes = held_back ? held_back : g_ptr_array_new();
    bool no_sessions = fake_store_count(pair->home.store, "rr/node/") == 0;
    rr_absent_begin_read(absent);
    fake_store_foreach(pair->home.store, put_record, &reading);
    rr_absent_end_read(absent, now);
    rr_absent_record_session_check(absent, no_sessions, now);
    rr_transfers_plan_init(&guest_plan);
    rr_transfers_advance_absent(pair->guest.transfers, 0, absent, now, now, now, &guest_plan,
                                home_writes);
    for (guint i = 0; i < guest_plan.writes->len; i++) {
        commit_write(&pair->guest, g_ptr_array_index(guest_plan.writes, i), false);
    }
    if (!held_back) {
        cell_pair_commit_to_home(pair, home_writes, &committed);
        g_ptr_array_free(home_writes, TRUE);
    }
    rr_transfers_plan_clear(&guest_plan);
}

void cell_pair_run_for(cell_pair *pair, double seconds) {
    for (int i = 0; i < (int)(2 * seconds); i++) {
        cell_pair_advance(pair, 0.5);
        cell_pair_step(pair);
    }
}

/* ---- fixtures and common scenarios ---- */

const struct test_job cell_pair_job = {.job_id = CELL_PAIR_JOB_ID, .task_count = 2, .cpus = 4};

int cell_pair_setup(void **state) {
    *state = cell_pair_create();
    return 0;
}

int cell_pair_teardown(void **state) {
    cell_pair_destroy(*state);
    return 0;
}

void cell_pair_submit_overdue_job(cell_pair *pair, const struct test_job *job) {
    cell_add_machines(&pair->guest, 2);
    cell_submit_job(&pair->home, job);
    cell_pair_advance(pair, 31);
}

unsigned cell_count_placed_tasks(const struct test_cell *cell, const char *job_id) {
    return fake_store_placed_count(cell->store, job_id);
}

const char *cell_pair_transfer_job(cell_pair *pair) {
    cell_pair_submit_overdue_job(pair, &cell_pair_job);
    cell_pair_run_for(pair, 3);
    cell_plan(&pair->guest, cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1));
    const char *local = cell_pair_guest_job_id(pair, CELL_PAIR_JOB_ID, 1);
    assert_int_equal(cell_count_placed_tasks(&pair->guest, local), 2);
    return local;
}

void cell_pair_finish_at_guest(cell_pair *pair, const char *local) {
    for (int i = 0; i < 3; i++) {
        cell_plan_with_task_state(&pair->guest, local, "ended:done");
    }
}
