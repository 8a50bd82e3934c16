#include "two_cells.h"

#include "cells/records.h"
#include "proxy.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#define CLAIMS_MAX 8

const char *const cell_names[2] = {"alba", "brook"};
static const char *const zones[2] = {"alba-east", "brook-west"};
struct world *cells[2];
static struct proxy *proxies[2][CELLS_CONTROLLERS];
static char files[2][256];
static int ports[2][CELLS_CONTROLLERS];

void cells_fail(const char *what) {
    record("CAN'T RUN: %s", what);
    fprintf(stderr, "can't run: %s\n", what);
    cells_stop();
    exit(2);
}

void cells_stop(void) {
    for (int cell = 0; cell < 2; cell++) {
        if (cells[cell]) {
            world_stop(cells[cell]);
        }
        cells[cell] = NULL;
    }
}

/* Writes the settings of the cell's transfers. The neighbour's controllers are reached through
 * proxies, its state service directly. */
static void write_file(const struct cells_settings *settings, int own) {
    int other = 1 - own;
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "cell = \"%s\"\nlease_s = %.1f\nstop_s = 0.5\nbegin_wait_s = %.1f\n"
                           "end_wait_s = 0.5\ngive_back_s = 20\nguest_share = 0.9\n",
                           cell_names[own], settings->lease_s, settings->begin_wait_s);
    for (int i = 0; i < CELLS_CONTROLLERS; i++) {
        g_string_append_printf(text, "controller \"%s-%d\" { endpoint = \"127.0.%d.%d:%d\" }\n",
                               cell_names[own], i, 1 + own, 1 + i, ports[own][i]);
    }
    g_string_append_printf(text, "neighbour \"%s\" {\n  networks = {\"127.0.%d.0/24\"}\n",
                           cell_names[other], 1 + other);
    if (settings->claims) {
        g_string_append_printf(text, "  state = \"127.0.0.1:%d\"\n",
                               world_controller(cells[other], 0)->state_port);
    }
    for (int i = 0; i < CELLS_CONTROLLERS; i++) {
        g_string_append_printf(text, "  controller \"%s-%d\" { endpoint = \"127.0.%d.%d:%d\" }\n",
                               cell_names[other], i, 3 + other, 1 + i, ports[other][i]);
    }
    g_string_append(text, "}\n");
    g_file_set_contents(files[own], text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

static void start_proxies(int cell) {
    char host[32], target[32], source[32];
    for (int i = 0; i < CELLS_CONTROLLERS; i++) {
        g_snprintf(target, sizeof target, "127.0.%d.%d", 1 + cell, 1 + i);
        g_snprintf(host, sizeof host, "127.0.%d.%d", 3 + cell, 1 + i);
        g_snprintf(source, sizeof source, "127.0.%d.99", 1 + (1 - cell));
        ports[cell][i] = find_free_port(target);
        proxies[cell][i] = proxy_start(host, ports[cell][i], target, ports[cell][i], source);
    }
}

/* The state service and the cloud have the limits of derwent-simlib. */
static void start_world(const struct cells_settings *settings, const char *folder, int cell) {
    char cell_folder[256];
    g_snprintf(files[cell], sizeof files[cell], "%s/%s.conf", folder, cell_names[cell]);
    g_snprintf(cell_folder, sizeof cell_folder, "%s/%s", folder, cell_names[cell]);
    mkdir(cell_folder, 0700);
    struct world_settings world_settings = {.name = cell_names[cell],
                                            .controllers = CELLS_CONTROLLERS,
                                            .zones = {zones[cell]},
                                            .teams = {"library-crew"},
                                            .cpus = {16},
                                            .cpus_max = {64},
                                            .report_s = 0.5,
                                            .lease_s = settings->worker_lease_s,
                                            .cancel_s = settings->cancel_s,
                                            .gang_wait_s = 6,
                                            .gang_peer_s = 2,
                                            .state_rps = 250,
                                            .state_write_rps = 100,
                                            .value_kb = 8,
                                            .txn_ops = 32,
                                            .cloud_rps = 10,
                                            .list_lag_s = 2,
                                            .vcpus = 16,
                                            .cards = 2,
                                            .mem_gb = 128,
                                            .price = 5.7,
                                            .spot_price = 2.21,
                                            .startup_s = 2,
                                            .pull_gb_per_s = 1,
                                            .sku = "bench-16g",
                                            .machines_max = 1,
                                            .machines_up = 1,
                                            .cells_file = files[cell]};
    cells[cell] = world_start(&world_settings, cell_folder);
}

void cells_start(const struct cells_settings *settings, const char *folder) {
    for (int cell = 0; cell < 2; cell++) {
        start_proxies(cell);
        start_world(settings, folder, cell);
    }
    for (int cell = 0; cell < 2; cell++) {
        write_file(settings, cell);
    }
    for (int cell = 0; cell < 2; cell++) {
        for (int i = 0; i < CELLS_CONTROLLERS; i++) {
            controller_start(world_controller(cells[cell], i));
        }
    }
    for (int cell = 0; cell < 2; cell++) {
        for (int i = 0; i < CELLS_CONTROLLERS; i++) {
            if (!controller_wait_ready(world_controller(cells[cell], i), 15)) {
                cells_fail("a controller is not ready");
            }
        }
    }
}

void cells_cut_link(bool cut) {
    for (int cell = 0; cell < 2; cell++) {
        for (int i = 0; i < CELLS_CONTROLLERS; i++) {
            proxy_set_cut(proxies[cell][i], cut);
        }
    }
    record(cut ? "the cells can't reach each other" : "the cells can reach each other");
}

struct job *cells_new_job(const char *id, double vcpus, double run_s) {
    struct job *job = g_new0(struct job, 1);
    g_strlcpy(job->id, id, sizeof job->id);
    g_strlcpy(job->crew, "library-crew", sizeof job->crew);
    g_strlcpy(job->lane, run_s > 0 ? "archive-rerun" : "replay-serve", sizeof job->lane);
    g_strlcpy(job->cast, "rerun-1", sizeof job->cast);
    g_strlcpy(job->shape, run_s > 0 ? "batch" : "service", sizeof job->shape);
    g_strlcpy(job->rank, "standard", sizeof job->rank);
    job->pieces = 1;
    job->vcpus = vcpus;
    job->mem_gb = 8;
    job->pull_gb = 0.5;
    job->run_s = run_s;
    return job;
}

void cells_upload_job(int home, struct job *job) {
    world_upload_job(cells[home], job);
    world_upload_job(cells[1 - home], job);
    for (unsigned claim = 1; claim <= CLAIMS_MAX; claim++) {
        char id[RR_ID_SIZE];
        rr_cells_make_local_id(cell_names[home], job->id, claim, id, sizeof id);
        world_alias_job(cells[1 - home], job, id);
    }
}

void cells_submit(int cell, struct job *job) {
    cells_upload_job(cell, job);
    for (int i = 0; i < 20; i++) {
        int status = user_submit(world_controller(cells[cell], i % CELLS_CONTROLLERS), job);
        if (status == 200 || status == 201) {
            return;
        }
        rr_sleep(0.5);
    }
    cells_fail("a job is not accepted");
}

bool cells_is_present(int cell, const struct job *job) {
    bool present = false;
    GArray *runs = world_runs(cells[cell]);
    for (guint i = 0; i < runs->len; i++) {
        const struct run *run = &g_array_index(runs, struct run, i);
        present = present || (run->job == job && run->until == 0);
    }
    g_array_unref(runs);
    return present;
}

bool cells_wait_present(int cell, const struct job *job, double seconds) {
    double until = rr_steady_clock_s() + seconds;
    while (!cells_is_present(cell, job) && rr_steady_clock_s() < until) {
        rr_sleep(0.05);
    }
    return cells_is_present(cell, job);
}
