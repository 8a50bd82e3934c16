/* Settings of cells, from the operators' file that switches spilling over on and names the
 * neighbours. */
#ifndef RR_CELLS_SETTINGS_H
#define RR_CELLS_SETTINGS_H

#include "cells/networks.h"
#include "cells/transfer.h"
#include "conf/config.h"
#include "conf/settings_error.h"

#include <glib.h>

#define RR_CELLS_MAX 16 /* neighbours */
#define RR_CELL_NAME 64 /* bytes, with the NUL */

typedef struct {
    char name[RR_NAME_SIZE]; /* node_name of the controller */
    struct rr_endpoint endpoint;
} rr_cell_controller;

typedef struct {
    char name[RR_CELL_NAME];
    rr_cell_controller controllers[RR_CONTROLLERS_MAX];
    size_t controller_count;
    rr_networks *networks;    /* from which its controllers connect; owned */
    GPtrArray *zones;         /* char *: zones of its machines; owned */
    GPtrArray *teams;         /* char *: teams whose jobs may go there; empty: any; owned */
    bool claimable;           /* its jobs may be claimed while none of its controllers answers */
    struct rr_endpoint state; /* its key-value store, if it is claimable */
} rr_cell;

typedef struct {
    bool on;
    char name[RR_CELL_NAME];
    struct rr_endpoint listen; /* where this controller listens for neighbours */
    double lease_s;            /* of a grant */
    double stop_s;             /* until a new owner plans and a stop is carried out */
    double drift;              /* relative difference of steady clocks, at most */
    double begin_wait_s; /* spilling begins when a job that could run elsewhere waited so long */
    double end_wait_s;   /* spilling ends when none has waited longer */
    double give_back_s;  /* a job of another cell that has not begun by then is returned */
    double guest_share;  /* part of the free room that a neighbour's offers may take at a time */
    rr_cell neighbours[RR_CELLS_MAX];
    size_t neighbour_count;
    rr_transfer_times times; /* derived from these and the platform's settings */
} rr_cells_settings;

/* Loads the file for this controller and the teams of *config. False: *error is set, and *out is
 * cleared. */
bool rr_cells_settings_load(const char *file, const struct rr_config *config,
                            rr_cells_settings *out, GError **error);
/* Frees what the settings own and zeroes them. */
void rr_cells_settings_clear(rr_cells_settings *settings);
/* The index of a neighbour; -1: there is none of this name. */
int rr_cells_neighbour(const rr_cells_settings *settings, const char *name);
/* Whether a job of this team, bound to this zone (empty: to none), may go to the cell. */
bool rr_cell_takes(const rr_cell *cell, const char *team, const char *zone);

#endif
