/* Settings of cells: the operators' file that switches spilling over on, and names the neighbours.
 */
#ifndef RR_CELLS_SETTINGS_H
#define RR_CELLS_SETTINGS_H

#include "cells/networks.h"
#include "cells/transfer.h"
#include "conf/config.h"

#include <glib.h>

#define RR_CELLS_MAX 16
#define RR_CELL_NAME 64

typedef struct {
    char name[RR_NAME_SIZE]; /* node name of the controller */
    struct rr_endpoint endpoint;
} rr_cell_controller;

typedef struct {
    char name[RR_CELL_NAME];
    rr_cell_controller controllers[RR_CONTROLLERS_MAX];
    size_t controller_count;
    rr_networks *networks;    /* its controllers connect from there */
    GPtrArray *zones;         /* char*: where it has machines */
    GPtrArray *teams;         /* char*: whose jobs may go there; empty: any */
    bool claimable;           /* while it has no controllers its jobs may be claimed, */
    struct rr_endpoint state; /* by its key-value store */
} rr_cell;

typedef struct {
    bool on;
    char name[RR_CELL_NAME];
    struct rr_endpoint listen; /* this controller's, for the neighbours */
    double lease_s;            /* of a grant */
    double stop_s;             /* for a new owner to begin, and a stop to be carried out */
    double drift;              /* part by which steady clocks may differ */
    double begin_wait_s;       /* spilling begins: a job that could run elsewhere has waited so */
    double end_wait_s;         /* and ends: none has waited longer */
    double give_back_s;        /* a job of another cell that has not begun by then goes back */
    double guest_share;        /* of the free room that one neighbour's offers may take at a time */
    rr_cell neighbours[RR_CELLS_MAX];
    size_t neighbour_count;
    rr_transfer_times times; /* worked out from these and the platform's */
} rr_cells_settings;

/* Reads the file for this controller and these teams. 0, or -EINVAL with one line (file, line,
 * reason). */
int rr_cells_settings_load(const char *file, const struct rr_config *config, rr_cells_settings *out,
                           char *error, size_t size);
void rr_cells_settings_clear(rr_cells_settings *settings);
/* Index of a neighbour, -1: there is none of this name. */
int rr_cells_neighbour(const rr_cells_settings *settings, const char *name);
/* Whether a job of this team, bound to this zone (empty: to none), may go there. */
bool rr_cell_takes(const rr_cell *cell, const char *team, const char *zone);

#endif
