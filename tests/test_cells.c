/* Transfers between two cells, with the package's own code, a fake clock and scripted key-value
 * stores: what each side may place and when, whatever is lost, cut or begun anew. */
#include "cell_pair.h"
#include "core/extensions.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include "cells/spill.h"

#include <math.h>
#include <string.h>

#define JOB "req-1"
static const struct test_job waiting = {.job_id = JOB, .pieces = 2, .cpus = 4};

static int setup(void **state) {
    *state = cell_pair_create();
    return 0;
}

static int teardown(void **state) {
    cell_pair_destroy(*state);
    return 0;
}

/* The home has no machine and the guest two; the job waits for longer than begin_wait_s. */
static void wait_at_home(cell_pair *pair, const struct test_job *job) {
    cell_fleet(&pair->guest, 2);
    cell_submit(&pair->home, job);
    cell_pair_advance(pair, 31);
}

static unsigned placed(const struct test_cell *cell, const char *job_id) {
    return fake_store_placed_count(cell->store, job_id);
}

/* Offered, taken and granted. */
static const char *spill(cell_pair *pair) {
    wait_at_home(pair, &waiting);
    cell_pair_play(pair, 3);
    cell_plan(&pair->guest, cell_pair_local(pair, JOB, 1));
    const char *local = cell_pair_local(pair, JOB, 1);
    assert_int_equal(placed(&pair->guest, local), 2);
    return local;
}

static void end_at_guest(cell_pair *pair, const char *local) {
    for (int i = 0; i < 3; i++) {
        cell_plan_with(&pair->guest, local, "ended:done");
    }
}

static void spilled_job_gets_its_answer_at_home(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    end_at_guest(pair, local);
    cell_pair_play(pair, 5);
    assert_true(cell_job(&pair->home, JOB, &job) && job.done);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* The home gets a machine while the job is away: it stays away. */
static void home_places_nothing_that_is_away(void **state) {
    cell_pair *pair = *state;
    spill(pair);
    cell_fleet(&pair->home, 2);
    for (int i = 0; i < 10; i++) {
        cell_pair_play(pair, 5);
        cell_plan(&pair->home, JOB);
        assert_int_equal(placed(&pair->home, JOB), 0);
    }
}

/* The claim's record alone lets the guest run nothing. */
static void guest_places_nothing_before_a_grant(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &waiting);
    cell_pair_play(pair, 1); /* asks for room, then offers */
    pair->lose_replies = true;
    for (int i = 0; i < 4; i++) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->guest, cell_pair_local(pair, JOB, 1));
    }
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    assert_int_equal(placed(&pair->guest, cell_pair_local(pair, JOB, 1)), 0);
    pair->lose_replies = false;
    cell_pair_play(pair, 2);
    cell_plan(&pair->guest, cell_pair_local(pair, JOB, 1));
    assert_int_equal(placed(&pair->guest, cell_pair_local(pair, JOB, 1)), 2);
}

/* The link is cut for good: the guest's copy ends with its grant, and the home runs the job only
 * when nothing of it can be left there. */
static void cut_for_good(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    pair->cut = true;
    double cut_at = pair->home.node.now;
    cell_fleet(&pair->home, 2);
    while (placed(&pair->home, JOB) == 0) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->home, JOB);
        double passed = pair->home.node.now - cut_at;
        assert_true(cell_job(&pair->guest, local, &job));
        assert_true(job.cancelled || passed <= 10.5);
        assert_true(!job.cancelled || passed >= 5);
        assert_true(passed < 120);
    }
    /* The last grant was given up to 2.5 s before the cut; a lease and the rest follow. */
    assert_true(pair->home.node.now - cut_at >= 87);
}

/* A cut that is shorter than the grant changes nothing. */
static void cut_for_a_moment(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    pair->cut = true;
    cell_pair_play(pair, 6);
    pair->cut = false;
    cell_pair_play(pair, 30);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(placed(&pair->guest, local), 2);
}

/* Another controller takes the guest's claim over: what runs goes on while it asks anew. */
static void guest_changes_owners(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    cell_restart(&pair->guest, true);
    for (int i = 0; i < 20; i++) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->guest, local);
        assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
        assert_int_equal(placed(&pair->guest, local), 2);
    }
}

/* And if it gets no grant, the copy ends within a lease. */
static void guest_changes_owners_in_a_cut(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    pair->cut = true;
    cell_restart(&pair->guest, true);
    cell_pair_play(pair, 9);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    cell_pair_play(pair, 2);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
}

/* A home that begins anew does not know what it granted: it waits for all that may have been. */
static void home_begins_anew(void **state) {
    cell_pair *pair = *state;
    spill(pair);
    pair->cut = true;
    cell_restart(&pair->home, true);
    cell_fleet(&pair->home, 2);
    double began = pair->home.node.now;
    while (placed(&pair->home, JOB) == 0) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->home, JOB);
        assert_true(pair->home.node.now - began < 150);
    }
    assert_true(pair->home.node.now - began >= 90);
}

/* Taken back, and a new owner reads that: it does not know when the last grant was. */
static void taken_back_and_owners_change(void **state) {
    cell_pair *pair = *state;
    spill(pair);
    pair->cut = true;
    cell_pair_play(pair, 25); /* two leases without a word */
    cell_fleet(&pair->home, 2);
    cell_restart(&pair->home, false);
    double began = pair->home.node.now;
    while (placed(&pair->home, JOB) == 0) {
        cell_plan(&pair->home, JOB);
        cell_pair_play(pair, 1);
        assert_true(pair->home.node.now - began < 150);
    }
    assert_true(pair->home.node.now - began >= 90);
}

/* The guest's key-value store takes no changes: the owner stops the tasks of a lapsed copy all the
 * same. */
static void lapsed_copy_is_stopped_without_a_record(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    cell_plan(&pair->guest, local);
    pair->cut = pair->refuse_commit = true;
    cell_pair_play(pair, 12);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(cell_plan_with(&pair->guest, local, "running"), 2);
}

/* What one term's owner knew to be over, the next one's does not. */
static void release_ends_with_its_term(void **state) {
    cell_pair *pair = *state;
    rr_cells_room plenty = {100, 10, 1000};
    wait_at_home(pair, &(struct test_job){.job_id = JOB, .pieces = 9, .cpus = 4});
    rr_transfers_room_announced(pair->home.transfers, 0, &plenty, pair->home.node.now);
    for (int i = 0; i < 3; i++) {
        cell_pair_step(pair); /* offered, refused, released */
    }
    cell_restart(&pair->home, false);
    cell_fleet(&pair->home, 2);
    cell_plan(&pair->home, JOB);
    assert_int_equal(placed(&pair->home, JOB), 0);
}

static void no_room_no_offer(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &(struct test_job){.job_id = JOB, .pieces = 9, .cpus = 4});
    cell_pair_play(pair, 20);
    assert_int_equal(pair->offers, 0);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

/* It fills up after telling its room: the offer is refused, and the job free at home at once. */
static void refused_offer_is_back_at_once(void **state) {
    cell_pair *pair = *state;
    cell_fleet(&pair->home, 1);
    rr_cells_room plenty = {100, 10, 1000};
    wait_at_home(pair, &(struct test_job){.job_id = JOB, .pieces = 9, .cpus = 4});
    rr_transfers_room_announced(pair->home.transfers, 0, &plenty, pair->home.node.now);
    cell_pair_step(pair); /* writes it down */
    cell_pair_step(pair);
    cell_pair_step(pair);
    assert_int_equal(pair->offers, 1);
    cell_plan(&pair->home, JOB);
    assert_int_equal(placed(&pair->home, JOB), 4);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* It takes the job and can't begin it: another took the room. Then it goes back. */
static void not_begun_goes_back(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    wait_at_home(pair, &waiting);
    cell_pair_play(pair, 3);
    const char *local = cell_pair_local(pair, JOB, 1);
    assert_true(cell_job(&pair->guest, local, &job));
    cell_pair_play(pair, 65); /* the guest never plans */
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    rr_transfers_stats stats;
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.withdrawn, 1);
}

/* Both are full: nothing moves, and what came from another cell is never offered on. */
static void guests_jobs_stay(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    rr_cells_room plenty = {100, 10, 1000};
    wait_at_home(pair, &waiting);
    cell_pair_play(pair, 3);
    for (int i = 0; i < 40; i++) {
        cell_pair_play(pair, 1);
        rr_transfers_room_announced(pair->guest.transfers, 0, &plenty, pair->guest.node.now);
    }
    rr_transfers_get_stats(pair->guest.transfers, &stats);
    assert_int_equal(stats.offered, 0);
    assert_int_equal(stats.incoming, 1);
}

static void waiting_cell_takes_nothing(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &waiting);
    cell_submit(&pair->guest, &(struct test_job){.job_id = "req-2", .cpus = 1, .zone = "far"});
    cell_pair_advance(pair, 11); /* longer than end_wait_s; there is room beside it */
    pair->cut = true;
    cell_pair_step(pair); /* it has looked at its own */
    pair->cut = false;
    cell_pair_play(pair, 10);
    assert_int_equal(pair->offers, 0);
}

static void zones_and_teams_are_kept(void **state) {
    cell_pair *pair = *state;
    cell_fleet(&pair->guest, 2);
    g_ptr_array_add(pair->home.settings.neighbours[0].teams, g_strdup("blue"));
    cell_submit(&pair->home, &(struct test_job){.job_id = "req-1", .cpus = 1, .zone = "a"});
    cell_submit(&pair->home, &(struct test_job){.job_id = "req-2", .cpus = 1});
    cell_pair_advance(pair, 31);
    cell_pair_play(pair, 10);
    assert_int_equal(pair->offers, 0);
    cell_submit(&pair->home, &(struct test_job){.job_id = "req-3", .cpus = 1, .team = "blue"});
    cell_pair_advance(pair, 31);
    cell_pair_play(pair, 3);
    assert_int_equal(pair->offers, 1);
}

/* A service goes as well, and is known by the guest's name for it while it is there. */
static void services_go(void **state) {
    cell_pair *pair = *state;
    char local[RR_ID_SIZE];
    size_t neighbour = 9;
    wait_at_home(pair, &(struct test_job){.job_id = JOB, .service = true, .cpus = 1});
    assert_false(
        rr_transfers_transferred(pair->home.transfers, JOB, &neighbour, local, sizeof local));
    cell_pair_play(pair, 3);
    cell_plan(&pair->guest, cell_pair_local(pair, JOB, 1));
    assert_true(
        rr_transfers_transferred(pair->home.transfers, JOB, &neighbour, local, sizeof local));
    assert_int_equal(neighbour, 0);
    assert_int_equal(placed(&pair->guest, local), 1);
}

/* A gang goes whole, and is placed whole. */
static void gangs_go_whole(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &(struct test_job){.job_id = JOB, .gang = true, .pieces = 3, .cpus = 8});
    cell_pair_play(pair, 3);
    cell_plan(&pair->guest, cell_pair_local(pair, JOB, 1));
    assert_int_equal(placed(&pair->guest, cell_pair_local(pair, JOB, 1)), 3);
}

/* A plan that is under way may have placed the job already. */
static void no_offer_while_a_plan_is_under_way(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &waiting);
    pair->plan_under_way = true;
    cell_pair_play(pair, 10);
    assert_int_equal(pair->offers, 0);
    pair->plan_under_way = false;
    cell_pair_play(pair, 3);
    assert_int_equal(pair->offers, 1);
}

/* A controller that keeps no holds would place what is away. */
static void older_version_in_the_cell(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &waiting);
    test_controller_join_old_version(&pair->home.node);
    cell_pair_play(pair, 10);
    assert_int_equal(pair->offers, 0);
    test_controller_leave_old_version(&pair->home.node);
    test_controller_join_old_version(&pair->guest.node);
    cell_pair_play(pair, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    test_controller_leave_old_version(&pair->guest.node);
    cell_pair_play(pair, 45);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 1);
}

/* The guest's workers could go on for longer than the home waits. */
static void times_must_agree(void **state) {
    cell_pair *pair = *state;
    rr_cells_room plenty = {100, 10, 1000};
    pair->guest.settings.times.rest_s = 81;
    wait_at_home(pair, &waiting);
    rr_transfers_room_announced(pair->home.transfers, 0, &plenty, pair->home.node.now);
    cell_pair_play(pair, 5);
    assert_true(pair->offers > 0);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
}

/* The claim's record is not written: nothing is taken; the repeated offer is as new. */
static void claim_is_not_written(void **state) {
    cell_pair *pair = *state;
    wait_at_home(pair, &waiting);
    pair->refuse_commit = true;
    cell_pair_play(pair, 2);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 0);
    pair->refuse_commit = false;
    cell_pair_play(pair, 2);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/"), 1);
}

/* The home's replies are lost while the answer is told: it is written once. */
static void reply_to_the_answer_is_lost(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    rr_transfers_stats stats;
    const char *local = spill(pair);
    end_at_guest(pair, local);
    pair->lose_replies = true;
    cell_pair_play(pair, 5);
    assert_true(cell_job(&pair->home, JOB, &job) && job.done);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    pair->lose_replies = false;
    cell_pair_play(pair, 5);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.finished, 1);
}

/* An answer that comes when the home has taken the job back is none. */
static void answer_that_comes_late(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    end_at_guest(pair, local);
    pair->cut = true;
    cell_pair_play(pair, 25);
    pair->cut = false;
    cell_pair_play(pair, 5);
    assert_true(cell_job(&pair->home, JOB, &job) && !job.done);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
}

static enum rr_cancel_first ask_to_cancel(cell_pair *pair, double *wait_s) {
    test_controller *home = &pair->home.node;
    rr_out_record withdrawn;
    uint64_t version;
    enum rr_cancel_first first =
        rr_transfers_cancel(pair->home.transfers, JOB, home->now, wait_s, &withdrawn, &version);
    if (first == RR_CANCEL_WITHDRAW) {
        rr_transaction transaction;
        rr_transaction_init(&transaction);
        rr_cells_out_write(&transaction, JOB, version, &withdrawn);
        assert_int_equal(fake_store_commit(home->store, &transaction), 0);
        rr_transaction_clear(&transaction);
        fake_store_sync(home->store, home->core, home->now);
    }
    return first;
}

/* In every phase: a cancellation is recorded only when the guest's copy has ended, and the guest's
 * own bound, cancel_s, follows. */
static void cancelled_while_away(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    double wait_s;
    const char *local = spill(pair);
    assert_int_equal(ask_to_cancel(pair, &wait_s), RR_CANCEL_WITHDRAW);
    pair->cut = true; /* right after */
    double asked_at = pair->home.node.now;
    while (ask_to_cancel(pair, &wait_s) == RR_CANCEL_WAIT) {
        assert_true(wait_s > 0 && wait_s <= 15.5);
        cell_pair_play(pair, 0.5);
    }
    assert_true(pair->home.node.now - asked_at <= 16);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
    test_controller_cancel(&pair->home.node, JOB);
    pair->cut = false;
    cell_pair_play(pair, 5);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

/* A cancellation that this controller's store cache has not seen yet: the offer is not made. */
static void cancelled_before_the_offer(void **state) {
    cell_pair *pair = *state;
    rr_encoder out;
    uint64_t version;
    wait_at_home(pair, &waiting);
    cell_pair_step(pair); /* asks for room */
    rr_encoder_init(&out);
    assert_true(rr_core_cancel_record(pair->home.node.core, JOB, &out, &version));
    fake_store_put(pair->home.store, "rr/job/" JOB, &out);
    cell_pair_advance(pair, 0.5);
    cell_pair_step(pair);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
    cell_pair_play(pair, 5);
    assert_int_equal(pair->offers, 0);
}

/* And the other way round: a cancellation is guarded by the transfer that its controller knows. */
static void offered_before_the_cancellation(void **state) {
    cell_pair *pair = *state;
    uint64_t before = 9, after = 9;
    wait_at_home(pair, &waiting);
    double now = pair->home.node.now;
    assert_true(rr_transfers_may_cancel(pair->home.transfers, JOB, now, &before));
    assert_int_equal(before, 0);
    cell_pair_play(pair, 3);
    assert_false(rr_transfers_may_cancel(pair->home.transfers, JOB, now, &after));
    assert_int_equal(after, fake_store_version(pair->home.store, "rr/cells/out/" JOB));
}

static void cancelled_while_here(void **state) {
    cell_pair *pair = *state;
    double wait_s;
    cell_submit(&pair->home, &waiting);
    assert_int_equal(ask_to_cancel(pair, &wait_s), RR_CANCEL_FREE);
}

/* Cancelled by a controller that does not ask (an older version, before it left): grants end. */
static void cancelled_without_asking(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    test_controller_cancel(&pair->home.node, JOB);
    cell_pair_play(pair, 4);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/"), 0);
}

/* The neighbour is in the settings no more, on either side: the job comes back. */
static void home_forgets_the_guest(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    spill(pair);
    g_strlcpy(pair->home.settings.neighbours[0].name, "other", RR_CELL_NAME);
    cell_restart(&pair->home, true);
    pair->cut = true;
    cell_pair_play(pair, 1);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.withdrawn, 1);
}

static void guest_forgets_the_home(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    const char *local = spill(pair);
    g_strlcpy(pair->guest.settings.neighbours[0].name, "other", RR_CELL_NAME);
    cell_restart(&pair->guest, true);
    cell_pair_play(pair, 2);
    assert_true(cell_job(&pair->guest, local, &job) && job.cancelled);
}

/* A late copy of an offer, after its claim is over, starts nothing. */
static void late_copy_of_an_offer(void **state) {
    cell_pair *pair = *state;
    rr_cells_request request;
    rr_transfer_message reply;
    rr_transfer_write write;
    const char *local = spill(pair);
    end_at_guest(pair, local);
    cell_pair_play(pair, 5);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, "red", sizeof request.team);
    request.lease_s = 10;
    request.rest_s = 80;
    rr_transfer_message offer = {.kind = RR_TRANSFER_OFFER, .claim = 1};
    rr_submission submission;
    test_submission(&submission, &waiting);
    rr_cells_add_offer(request.items, &offer, &submission, 1000);
    rr_submission_clear(&submission);
    double now = pair->guest.node.now;
    assert_false(rr_transfers_receive(pair->guest.transfers, 0, &request,
                                      &g_array_index(request.items, rr_cells_item, 0), now, now,
                                      &reply, &write));
    assert_int_equal(reply.kind, RR_TRANSFER_REFUSE);
    rr_cells_request_clear(&request);
}

/* A claim from the past, and one that was never given, are answered: over. */
static void claims_of_the_past(void **state) {
    cell_pair *pair = *state;
    rr_transfer_message reply;
    rr_transfer_write write;
    rr_cells_request request;
    spill(pair);
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, "red", sizeof request.team);
    rr_transfer_message renew = {.kind = RR_TRANSFER_RENEW, .claim = 0};
    rr_cells_add_item(request.items, JOB, &renew);
    renew.claim = 5;
    rr_cells_add_item(request.items, JOB, &renew);
    rr_cells_add_item(request.items, "req-99", &renew);
    double now = pair->home.node.now;
    for (guint i = 0; i < 3; i++) {
        assert_false(rr_transfers_receive(pair->home.transfers, 0, &request,
                                          &g_array_index(request.items, rr_cells_item, i), now, now,
                                          &reply, &write));
        assert_int_equal(reply.kind, RR_TRANSFER_VOID);
    }
    rr_cells_request_clear(&request);
}

static void sum_waiting(void *user, const rr_submission *submission, int team, uint32_t waits,
                        uint32_t at_work, uint32_t done) {
    (void)submission;
    (void)team;
    (void)done;
    *(unsigned *)user += waits + at_work;
}

/* Admission reckons with the job once: where it runs. */
static void load_counts_once(void **state) {
    cell_pair *pair = *state;
    unsigned at_home = 0, at_guest = 0;
    wait_at_home(pair, &waiting);
    rr_core_each_job(pair->home.node.core, sum_waiting, &at_home);
    assert_int_equal(at_home, 2);
    cell_pair_play(pair, 3);
    at_home = 0;
    rr_core_each_job(pair->home.node.core, sum_waiting, &at_home);
    rr_core_each_job(pair->guest.node.core, sum_waiting, &at_guest);
    assert_int_equal(at_home, 0);
    assert_int_equal(at_guest, 2);
}

/* ---- a home without controllers ---- */

struct dead_home {
    cell_pair *pair;
    rr_absent *absent;
};

/* Two jobs, one of which is at the guest already; then nobody is there. */
static struct dead_home kill_home(cell_pair *pair) {
    spill(pair);
    cell_submit(&pair->home, &(struct test_job){.job_id = "req-2", .cpus = 4});
    cell_pair_home_dies(pair);
    return (struct dead_home){pair, rr_absent_create(&pair->guest.node.config, "g")};
}

static void watch_home(const struct dead_home *dead, double seconds) {
    for (int i = 0; i < (int)(seconds / 2); i++) {
        cell_pair_play(dead->pair, 2);
        cell_plan(&dead->pair->guest, cell_pair_local(dead->pair, JOB, 1));
        cell_pair_read_home(dead->pair, dead->absent, NULL);
    }
}

/* What the guest holds goes on by the record alone. */
static void held_job_outlives_its_home(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct dead_home dead = kill_home(pair);
    char local[RR_ID_SIZE];
    g_strlcpy(local, cell_pair_local(pair, JOB, 1), sizeof local);
    watch_home(&dead, 60);
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(placed(&pair->guest, local), 2);
    end_at_guest(pair, local);
    watch_home(&dead, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 0);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 0);
    cell_restart(&pair->home, true);
    assert_true(cell_job(&pair->home, JOB, &job) && job.done);
    rr_absent_destroy(dead.absent);
}

/* The others are claimed once whatever ran there has ended, and not before. */
static void claimed_after_the_rest(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct dead_home dead = kill_home(pair);
    char local[RR_ID_SIZE];
    rr_cells_local_id("h", "req-2", 1, local, sizeof local);
    watch_home(&dead, 78);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    watch_home(&dead, 14);
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 2);
    assert_true(cell_job(&pair->guest, local, &job));
    assert_int_equal(placed(&pair->guest, local), 1);
    rr_absent_destroy(dead.absent);
}

static GPtrArray *ready_to_claim(const struct dead_home *dead) {
    GPtrArray *writes = g_ptr_array_new();
    watch_home(dead, 82);
    cell_pair_advance(dead->pair, 2);
    cell_pair_read_home(dead->pair, dead->absent, writes);
    assert_int_equal(writes->len, 1);
    return writes;
}

/* Its controllers come back before the claim is written: that fails by the term. */
static void home_returns_before_the_claim(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    struct dead_home dead = kill_home(pair);
    GPtrArray *writes = ready_to_claim(&dead);
    cell_restart(&pair->home, true);
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 0);
    cell_pair_read_home(pair, dead.absent, NULL); /* there is a session: nothing more is done */
    assert_int_equal(fake_store_count(pair->home.store, "rr/cells/out/"), 1);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(dead.absent);
}

/* After it: the home finds its job away, and places it no sooner than any. */
static void home_returns_after_the_claim(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    rr_core_job job;
    char local[RR_ID_SIZE];
    struct dead_home dead = kill_home(pair);
    GPtrArray *writes = ready_to_claim(&dead);
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 1);
    cell_pair_advance(pair, 2);
    cell_pair_read_home(pair, dead.absent, NULL);
    cell_restart(&pair->home, true);
    pair->cut = pair->home_dead = false;
    cell_fleet(&pair->home, 2);
    rr_cells_local_id("h", "req-2", 1, local, sizeof local);
    for (int i = 0; i < 30; i++) {
        cell_pair_play(pair, 1);
        cell_plan(&pair->home, "req-2");
        cell_plan(&pair->guest, local);
        assert_int_equal(placed(&pair->home, "req-2"), 0);
    }
    assert_true(cell_job(&pair->guest, local, &job) && !job.cancelled);
    assert_int_equal(placed(&pair->guest, local), 1);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(dead.absent);
}

/* Two cells write their claims at the same moment: one of them is made. */
static void two_cells_claim(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    struct dead_home dead = kill_home(pair);
    GPtrArray *writes = ready_to_claim(&dead);
    rr_absent *other = rr_absent_create(&pair->guest.node.config, "other");
    rr_transfer_write theirs = {.ends_claim = false};
    rr_transaction_init(&theirs.transaction);
    cell_pair_read_home(pair, other, writes);
    assert_true(rr_absent_claim(other, "req-2", "red", &theirs.transaction));
    assert_int_equal(fake_store_commit(pair->home.store, &theirs.transaction), 0);
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 0);
    watch_home(&dead, 10);
    assert_int_equal(fake_store_count(pair->guest.store, "rr/cells/in/"), 1);
    rr_transfer_write_clear(&theirs);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(other);
    rr_absent_destroy(dead.absent);
}

/* Its user has cancelled it meanwhile, through a controller that was there for a moment. */
static void cancelled_job_is_not_claimed(void **state) {
    cell_pair *pair = *state;
    unsigned made = 0;
    struct dead_home dead = kill_home(pair);
    GPtrArray *writes = ready_to_claim(&dead);
    test_controller_cancel(&pair->home.node, "req-2");
    cell_pair_commit_there(pair, writes, &made);
    assert_int_equal(made, 0);
    g_ptr_array_free(writes, TRUE);
    rr_absent_destroy(dead.absent);
}

/* Its controllers are there, and only the link is cut: its record grants nothing. */
static void cut_home_with_controllers(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    spill(pair);
    pair->cut = true;
    struct dead_home dead = {pair, rr_absent_create(&pair->guest.node.config, "g")};
    watch_home(&dead, 12);
    assert_true(cell_job(&pair->guest, cell_pair_local(pair, JOB, 1), &job) && job.cancelled);
    rr_absent_destroy(dead.absent);
}

/* The key-value store can't be read either: the guest's copy ends, as with any cut. */
static void home_and_its_state_are_gone(void **state) {
    cell_pair *pair = *state;
    rr_core_job job;
    struct dead_home dead = kill_home(pair);
    cell_pair_play(pair, 12);
    assert_true(cell_job(&pair->guest, cell_pair_local(pair, JOB, 1), &job) && job.cancelled);
    rr_absent_destroy(dead.absent);
}

static void unreadable_records_are_counted(void **state) {
    cell_pair *pair = *state;
    rr_transfers_stats stats;
    static const char *const keys[] = {"rr/cells/out/req-5", "rr/cells/in/req-5", "rr/cells/x"};
    for (int i = 0; i < 3; i++) {
        rr_encoder out;
        rr_encoder_init(&out);
        rr_encode_map(&out, 1);
        rr_encode_key_text(&out, "state", "unheard of");
        fake_store_put(pair->home.store, keys[i], &out);
    }
    fake_store_sync(pair->home.store, pair->home.node.core, pair->home.node.now);
    rr_transfers_get_stats(pair->home.transfers, &stats);
    assert_int_equal(stats.records_unread, 3);
    assert_int_equal(stats.outgoing + stats.incoming, 0);
}

/* Between the two limits it goes on as it was. */
static void spilling_does_not_swing(void **state) {
    (void)state;
    rr_spill spill = {false};
    rr_cells_settings settings = {.begin_wait_s = 30, .end_wait_s = 10};
    static const double waits[] = {29, 31, 29, 11, 31, 10, 11, 29};
    static const bool expected[] = {false, true, true, true, true, false, false, false};
    for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
        assert_int_equal(rr_spill_update(&spill, &settings, waits[i]), expected[i]);
    }
}

static void refusals_are_asked_less_often(void **state) {
    (void)state;
    rr_spill_pause pause = {0};
    double now = 100;
    for (int i = 0; i < 20; i++) {
        rr_spill_refused(&pause, now);
        assert_false(rr_spill_may_ask(&pause, now + fmin(exp2(i), 30) - 0.01));
        assert_true(rr_spill_may_ask(&pause, now + 30));
        now += 30;
    }
    rr_spill_taken(&pause);
    assert_true(rr_spill_may_ask(&pause, now));
}

#define PAIR(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        PAIR(spilled_job_gets_its_answer_at_home),
        PAIR(home_places_nothing_that_is_away),
        PAIR(guest_places_nothing_before_a_grant),
        PAIR(cut_for_good),
        PAIR(cut_for_a_moment),
        PAIR(guest_changes_owners),
        PAIR(guest_changes_owners_in_a_cut),
        PAIR(home_begins_anew),
        PAIR(taken_back_and_owners_change),
        PAIR(lapsed_copy_is_stopped_without_a_record),
        PAIR(release_ends_with_its_term),
        PAIR(no_room_no_offer),
        PAIR(refused_offer_is_back_at_once),
        PAIR(not_begun_goes_back),
        PAIR(guests_jobs_stay),
        PAIR(waiting_cell_takes_nothing),
        PAIR(zones_and_teams_are_kept),
        PAIR(services_go),
        PAIR(gangs_go_whole),
        PAIR(no_offer_while_a_plan_is_under_way),
        PAIR(older_version_in_the_cell),
        PAIR(times_must_agree),
        PAIR(claim_is_not_written),
        PAIR(reply_to_the_answer_is_lost),
        PAIR(answer_that_comes_late),
        PAIR(cancelled_while_away),
        PAIR(cancelled_before_the_offer),
        PAIR(offered_before_the_cancellation),
        PAIR(cancelled_while_here),
        PAIR(cancelled_without_asking),
        PAIR(home_forgets_the_guest),
        PAIR(guest_forgets_the_home),
        PAIR(late_copy_of_an_offer),
        PAIR(claims_of_the_past),
        PAIR(load_counts_once),
        PAIR(held_job_outlives_its_home),
        PAIR(claimed_after_the_rest),
        PAIR(home_returns_before_the_claim),
        PAIR(home_returns_after_the_claim),
        PAIR(two_cells_claim),
        PAIR(cancelled_job_is_not_claimed),
        PAIR(cut_home_with_controllers),
        PAIR(home_and_its_state_are_gone),
        PAIR(unreadable_records_are_counted),
        cmocka_unit_test(spilling_does_not_swing),
        cmocka_unit_test(refusals_are_asked_less_often),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
