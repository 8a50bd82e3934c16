/* The autoscaler's loop: one step at a time, which the shell carries out and answers with a result.
 * Recorded facts come first, then demand, then the calls to the cloud. */
#include "core/autoscaling/autoscaling_state.h"
#include "core/autoscaling/capacity_demand.h"
#include "core/autoscaling/catalog.h"
#include "core/autoscaling/machine_records.h"
#include "core/autoscaling/rentals.h"
#include "core/autoscaling/scale_in.h"
#include "core/cache_feed.h"
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/scaling.h"

#include <string.h>

void rr_autoscaler_step_init(rr_autoscaler_step *step) {
    memset(step, 0, sizeof *step);
    rr_transaction_init(&step->transaction);
    step->machines = g_ptr_array_new_with_free_func(g_free);
}

void rr_autoscaler_step_clear(rr_autoscaler_step *step) {
    rr_transaction_clear(&step->transaction);
    g_ptr_array_free(step->machines, TRUE);
}

/* Starts over in a term in which this controller is the autoscaler: nothing concluded in an earlier
 * one counts, but what is recorded does. */
static void begin_term(rr_core *core, double now) {
    core->autoscaling.term_token = core->membership.term.token;
    core->autoscaling.began_at = now;
    core->autoscaling.list_at = core->autoscaling.demand_at = 0;
    core->autoscaling.list_read = false;
    rr_restart_scale_in(core, now);
    rr_restart_rentals(core);
    rr_log_at(core, RR_LOG_INFO, "autoscaler of term %" G_GUINT64_FORMAT,
              core->membership.term.token);
}

static bool step_list(rr_core *core, double now, rr_autoscaler_step *out) {
    if (core->autoscaling.list_at != 0 &&
        now - core->autoscaling.list_at <= core->config->tuning.cloud_list_s) {
        return false;
    }
    core->autoscaling.list_at = now;
    out->kind = RR_AUTOSCALER_LIST;
    return true;
}

void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    out->kind = RR_AUTOSCALER_NONE;
    if (!rr_core_is_autoscaler(core, now) || !rr_core_cache_consistent(core) ||
        core->membership.new_term_wanted) {
        return;
    }
    if (core->autoscaling.term_token != core->membership.term.token) {
        begin_term(core, now);
    }
    bool found = rr_step_machine_records(core, now, wall, out) ||
                 rr_step_finished_rentals(core, now, out) || rr_step_catalog(core, now, out) ||
                 rr_step_demand(core, now, wall, out) || rr_step_scale_out(core, now, wall, out) ||
                 rr_step_scale_in(core, now, out) || step_list(core, now, out);
    if (found && out->kind == RR_AUTOSCALER_COMMIT) {
        rr_transaction_guard(&out->transaction, RR_KEY_ROOT "term", core->membership.term.version);
    }
}
