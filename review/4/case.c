/* Two cells that may claim each other's jobs. The home offers a job; the transaction is carried
 * out, and its controller gets no answer from the state service for a moment. Then the home loses
 * its controllers. Exit codes: 0 no task was on two machines at a time, 1 one was, 2 the case
 * couldn't run. */
#include "two_cells.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define LOST_S 1.6        /* for so long one controller gets no answers */
#define ROOM_AFTER_S 1.0  /* the home has room so long after the offer */
#define CRASH_AFTER_S 4.0 /* the home loses its controllers so long after the job has begun */
#define WATCH_S 45.0      /* watched after that */

/* Times of derwent-simlib; lease_s is the default of the cells' file. */
static const struct cells_settings settings = {
    .lease_s = 12, .begin_wait_s = 1, .worker_lease_s = 36, .cancel_s = 66, .claims = true};

/* Reports each time at which the task was on a machine of both cells. Returns their number. */
static int check_ran_twice(const struct job *job) {
    int found = 0;
    double now = rr_steady_clock_s();
    GArray *runs[2] = {world_runs(cells[0]), world_runs(cells[1])};
    for (guint i = 0; i < runs[0]->len; i++) {
        const struct run *a = &g_array_index(runs[0], struct run, i);
        for (guint k = 0; k < runs[1]->len; k++) {
            const struct run *b = &g_array_index(runs[1], struct run, k);
            double from = MAX(a->from, b->from);
            double until = MIN(a->until ? a->until : now, b->until ? b->until : now);
            if (a->job == job && b->job == job && a->piece == b->piece && until > from) {
                record("BROKEN ran_twice: task %d of %s was on %s of %s and on %s of %s for %.1f s",
                       a->piece, job->id, a->machine, cell_names[0], b->machine, cell_names[1],
                       until - from);
                found++;
            }
        }
    }
    g_array_unref(runs[0]);
    g_array_unref(runs[1]);
    return found;
}

/* Waits until the offer has been written and its answer is lost, and makes room at the home. */
static void lose_the_offer(const struct job *first) {
    for (int i = 0; i < 500 && !world_lost_at(cells[0]); i++) {
        rr_sleep(0.02);
    }
    if (!world_lost_at(cells[0])) {
        cells_fail("the job is not offered");
    }
    world_end_tasks(cells[0], first, ROOM_AFTER_S);
}

int main(int argc, char **argv) {
    const char *folder = argc > 1 ? argv[1] : ".", *record_file = argc > 2 ? argv[2] : "record.txt";
    const char *trouble = getenv("TROUBLE");
    bool both = !trouble || (strcmp(trouble, "0") != 0 && strcmp(trouble, "lost") != 0 &&
                             strcmp(trouble, "crash") != 0);
    bool lost = both || strcmp(trouble, "lost") == 0, crash = both || strcmp(trouble, "crash") == 0;
    signal(SIGPIPE, SIG_IGN);
    world_guard(112);
    rr_http_client_init();
    record_open(record_file);
    cells_start(&settings, folder);

    /* The home's only machine is full, so the second job is offered to the neighbour. */
    struct job *first = cells_new_job("req-000001", 16, 300);
    struct job *keeper = cells_new_job("req-000002", 2, 0);
    struct job *job = cells_new_job("req-000003", 6, 300);
    cells_submit(0, first);
    cells_submit(1, keeper);
    if (!cells_wait_present(0, first, 20) || !cells_wait_present(1, keeper, 20)) {
        cells_fail("the first jobs do not run");
    }
    rr_sleep(6);
    if (lost) {
        world_lose_answers(cells[0], "rr/cells/out/", LOST_S);
    }
    cells_submit(0, job);
    if (lost) {
        lose_the_offer(first);
    }
    for (int i = 0; i < 400 && !cells_is_present(0, job) && !cells_is_present(1, job); i++) {
        rr_sleep(0.05);
    }
    if (!cells_is_present(0, job) && !cells_is_present(1, job)) {
        cells_fail("the job does not run");
    }
    record("the job runs in %s", cell_names[cells_is_present(0, job) ? 0 : 1]);
    rr_sleep(CRASH_AFTER_S);
    for (int i = 0; i < CELLS_CONTROLLERS && crash; i++) {
        controller_kill(world_controller(cells[0], i));
    }
    rr_sleep(WATCH_S);
    int found = check_ran_twice(job);
    record(found ? "the rule was broken" : "the rule held");
    cells_stop();
    record_close();
    return found ? 1 : 0;
}
