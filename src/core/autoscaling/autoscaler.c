/* Chooses the autoscaler's next step. The caller carries out one step at a time and passes back its
 * result. Updates of records come first, then the demand for machines, then calls to the cloud. */
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

/* Resets the state at the start of a term in which this controller is the autoscaler. Conclusions
 * of earlier terms no longer count; what the store records does. */
static void begin_term(rr_core *core, double now) {
    core->autoscaling.term_token = core->membership.term.token;
    core->autoscaling.began_at = now;
    core->autoscaling.machines_listed_at = core->autoscaling.demand_simulated_at = 0;
    core->autoscaling.machines_listed = false;
    rr_reset_scale_in(core, now);
    rr_rentals_discard_cloud_answers(core);
    rr_log_at(core, RR_LOG_INFO, "this controller is the autoscaler of term %" G_GUINT64_FORMAT,
              core->membership.term.token);
}

/* Has the cloud's machines listed again once cloud_list_period_s seconds have passed. */
static bool prepare_list_step(rr_core *core, double now, rr_autoscaler_step *out) {
    if (core->autoscaling.machines_listed_at != 0 &&
        now - core->autoscaling.machines_listed_at <= core->config->tuning.cloud_list_period_s) {
        return false;
    }
    core->autoscaling.machines_listed_at = now;
    out->kind = RR_AUTOSCALER_LIST_MACHINES;
    return true;
}

void rr_core_autoscaler_step(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    out->kind = RR_AUTOSCALER_NONE;
    if (!rr_core_is_autoscaler(core, now) || !rr_core_cache_consistent(core) ||
        core->membership.new_term_due) {
        return;
    }
    if (core->autoscaling.term_token != core->membership.term.token) {
        begin_term(core, now);
    }
    bool found = rr_prepare_machine_records_step(core, now, wall, out) ||
                 rr_prepare_finished_rentals_step(core, now, out) ||
                 rr_prepare_catalog_step(core, now, out) ||
                 rr_prepare_demand_step(core, now, wall, out) ||
                 rr_prepare_scale_out_step(core, now, wall, out) ||
                 rr_prepare_scale_in_step(core, now, out) || prepare_list_step(core, now, out);
    if (found && out->kind == RR_AUTOSCALER_COMMIT) {
        rr_transaction_guard(&out->transaction, RR_KEY_ROOT "term", core->membership.term.version);
    }
}
