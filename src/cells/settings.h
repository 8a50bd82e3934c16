/* Settings of job transfers between cells, from the operators' file that enables them and lists the
 * neighbour cells. */
#ifndef RR_CELLS_SETTINGS_H
#define RR_CELLS_SETTINGS_H

#include "cells/networks.h"
#include "cells/transfer.h"
#include "conf/config.h"
#include "conf/settings_error.h"

#include <glib.h>

#define RR_CELLS_NEIGHBOURS_MAX 16 /* neighbours */
#define RR_CELL_NAME_SIZE 64       /* bytes of a cell's name, with the NUL */

/* A controller of a neighbour. */
typedef struct {
    char name[RR_NAME_SIZE]; /* its node_name */
    struct rr_endpoint endpoint;
} rr_neighbour_controller;

/* A neighbour. */
typedef struct {
    char name[RR_CELL_NAME_SIZE];
    rr_neighbour_controller controllers[RR_CONTROLLERS_MAX];
    size_t controller_count;
    rr_networks *networks; /* its controllers connect from addresses in these; owned */
    GPtrArray *zones;      /* char *: zones of its machines; owned */
    GPtrArray *teams;      /* char *: teams whose jobs may go there; empty: all; owned */
    bool claimable;        /* its jobs may be claimed while none of its controllers answers */
    struct rr_endpoint store_endpoint; /* its key-value store, if it is claimable */
} rr_neighbour_cell;

/* The settings of this cell and its neighbours. Durations are in seconds. */
typedef struct {
    bool enabled; /* transfers between cells are enabled */
    char name[RR_CELL_NAME_SIZE];
    struct rr_endpoint listen_endpoint; /* this controller listens for neighbours here */
    double lease_s;                     /* duration of a grant */
    double stop_s;                      /* time until a new owner plans and a stop takes effect */
    double drift; /* upper bound of the relative difference of steady clocks */
    /* Offers begin once a job that another cell could run has waited for begin_wait_s. They end
     * once no such job has waited for longer than end_wait_s. */
    double begin_wait_s, end_wait_s;
    double give_back_s; /* another cell's job that has not started by then is given back */
    double guest_share; /* share, 0 to 1, of the free capacity that neighbours' offers may take at
                           a time */
    rr_neighbour_cell neighbours[RR_CELLS_NEIGHBOURS_MAX];
    size_t neighbour_count;
    rr_transfer_times times; /* derived from these and the platform's settings */
} rr_cells_settings;

/* Loads the file for this controller and the teams of *config. False: *error is set, and *out is
 * cleared. */
bool rr_cells_settings_load(const char *file, const struct rr_config *config,
                            rr_cells_settings *out, GError **error);
/* Frees what the settings own and zeroes them. */
void rr_cells_settings_clear(rr_cells_settings *settings);
/* Returns the index of the neighbour of this name, or -1. */
int rr_cells_find_neighbour(const rr_cells_settings *settings, const char *name);
/* Returns whether a job of this team, restricted to this zone (empty: to none), may go to the
 * neighbour. */
bool rr_neighbour_accepts_job(const rr_neighbour_cell *cell, const char *team, const char *zone);

#endif
