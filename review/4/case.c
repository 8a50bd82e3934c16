/* Two cells. A job of the home runs in the guest cell. The link between the cells is cut, and the
 * guest's three controllers are restarted one after the other. Exit codes: 0 no task was on two
 * machines at a time, 1 one was, 2 the case couldn't run. */
#include "two_cells.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define CUT_S 40.0           /* length of the cut, as in the recorded days of the sites */
#define RESTART_EVERY_S 10.0 /* between two restarts, as in these days */
#define RESTART_DELAY_S 4.0  /* until a controller is back after its end */
#define AFTER_S 6.0          /* watched after the cut */

static const struct cells_settings settings = {.lease_s = 12, /* the default */
                                               .begin_wait_s = 1,
                                               .worker_lease_s = 4,
                                               .cancel_s = 17};
static volatile bool finished;

/* A user asks at the home about the job once a second. */
static void *ask_main(void *argument) {
    const struct job *job = argument;
    char standing[32];
    int done = 0;
    for (int i = 0; !finished; i++) {
        user_poll(world_controller(cells[0], i % CELLS_CONTROLLERS), job->id, standing, &done);
        rr_sleep(1);
    }
    return NULL;
}

/* Restarts the guest's controllers one after the other. */
static void *restart_main(void *argument) {
    (void)argument;
    rr_sleep(1);
    for (int i = 0; i < CELLS_CONTROLLERS && !finished; i++) {
        struct controller *controller = world_controller(cells[1], i);
        controller_kill(controller);
        rr_sleep(RESTART_DELAY_S);
        controller_start(controller);
        rr_sleep(RESTART_EVERY_S - RESTART_DELAY_S);
    }
    return NULL;
}

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

int main(int argc, char **argv) {
    const char *folder = argc > 1 ? argv[1] : ".", *record_file = argc > 2 ? argv[2] : "record.txt";
    const char *trouble = getenv("TROUBLE");
    bool cut = !trouble || strcmp(trouble, "0") != 0;
    bool restarts = cut && (!trouble || strcmp(trouble, "cut") != 0);
    pthread_t asking, restarting;
    signal(SIGPIPE, SIG_IGN);
    world_guard(112);
    rr_http_client_init();
    record_open(record_file);
    cells_start(&settings, folder);

    /* The home's only machine is full, so the second job goes to the neighbour. */
    struct job *first = cells_new_job("req-000001", 16, 32);
    struct job *keeper = cells_new_job("req-000002", 2, 0);
    struct job *job = cells_new_job("req-000003", 6, 300);
    cells_submit(0, first);
    cells_submit(1, keeper);
    if (!cells_wait_present(0, first, 20) || !cells_wait_present(1, keeper, 20)) {
        cells_fail("the first jobs do not run");
    }
    cells_submit(0, job);
    if (!cells_wait_present(1, job, 20)) {
        cells_fail("the job does not go to the neighbour");
    }
    record("the job runs in %s", cell_names[1]);
    pthread_create(&asking, NULL, ask_main, job);
    rr_sleep(3);
    if (cut) {
        cells_cut_link(true);
    }
    if (restarts) {
        pthread_create(&restarting, NULL, restart_main, NULL);
    }
    rr_sleep(CUT_S);
    if (cut) {
        cells_cut_link(false);
    }
    rr_sleep(AFTER_S);
    finished = true;
    pthread_join(asking, NULL);
    if (restarts) {
        pthread_join(restarting, NULL);
    }
    int found = check_ran_twice(job);
    record(found ? "the rule was broken" : "the rule held");
    cells_stop();
    record_close();
    return found ? 1 : 0;
}
