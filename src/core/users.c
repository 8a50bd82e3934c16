/* What users ask: admission, states, cancelling. */
#include "core/model.h"

#include <string.h>

static bool zone_offered(const rr_machine_type *b, const char *zone) {
    for (guint i = 0; i < b->zones->len; i++) {
        if (!zone[0] || strcmp(g_ptr_array_index(b->zones, i), zone) == 0) {
            return true;
        }
    }
    return false;
}

static bool machine_type_allowed(const rr_submission *s, const rr_machine_type *b) {
    for (int i = 0; i < s->machine_type_count; i++) {
        if (strcmp(s->machine_types[i], b->name) == 0) {
            return true;
        }
    }
    return s->machine_type_count == 0;
}

static bool fits_some_machine_type(const rr_core *c, const rr_submission *s) {
    rr_resources need = {s->cpus, s->gpus, s->mem_gb};
    for (guint i = 0; i < c->build_info->len; i++) {
        const rr_machine_type *b = rr_machine_type_at(c, (int)i);
        if (b && machine_type_allowed(s, b) && zone_offered(b, s->zone) &&
            rr_resources_fit(need, (rr_resources){b->cpus, b->gpus, b->mem_gb})) {
            return true;
        }
    }
    return false;
}

enum rr_submission_check rr_core_check_submission(const rr_core *c, const rr_submission *s,
                                                  const char **why) {
    int team = rr_config_team(c->config, s->team);
    const struct rr_team_config *t = team >= 0 ? &c->config->teams[team] : NULL;
    const rr_job *known = g_hash_table_lookup(c->jobs, s->job_id);
    if ((known && known->version) || rr_job_final(c, s->job_id, NULL, NULL)) {
        return RR_SUBMISSION_KNOWN;
    }
    if (!t) {
        *why = "unknown team";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    double n = s->kind == RR_JOB_ARRAY ? 1 : s->task_count;
    if ((t->cpus_max > 0 && n * s->cpus > t->cpus_max + RR_RESOURCE_EPSILON) ||
        (t->gpus_max > 0 && n * s->gpus > t->gpus_max + RR_RESOURCE_EPSILON)) {
        *why = "over the team's limit";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (!c->catalog_known) {
        *why = "machine types not known yet";
        return RR_SUBMISSION_UNDECIDED;
    }
    if (!fits_some_machine_type(c, s)) {
        *why = "fits no allowed machine type";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (s->kind == RR_JOB_GANG && s->task_count > rr_gang_tasks_max(c)) {
        *why = "more linked tasks than one transaction books";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (s->kind == RR_JOB_GANG && !rr_all_gang_capable(c)) {
        *why = "an older version still serves";
        return RR_SUBMISSION_UNDECIDED;
    }
    return RR_SUBMISSION_NEW;
}

/* Where the machine's reports do not come to this controller whole, what the ledger has had for a
 * while counts as running: the number is for display. */
#define SURELY_S 20.0

static uint32_t count_running(const rr_core *c, const rr_job *j, double now) {
    uint32_t n = 0;
    for (guint k = 0; j->records && k < j->records->len; k++) {
        const rr_ledger_record *run = g_ptr_array_index(j->records, k);
        for (guint i = 0; run && i < run->placements->len; i++) {
            const rr_placement_record *it = &g_array_index(run->placements, rr_placement_record, i);
            const rr_placement *p = rr_placement_find(it->machine, it->attempt, j, it->task);
            const rr_task_status *r = p ? rr_task_status_find(it->machine, p) : NULL;
            n += r ? r->state == RR_TASK_RUNNING
                   : p && !it->machine->gone && !rr_owns_team(c, j->team) &&
                         now - p->seen_at > SURELY_S;
        }
    }
    return n;
}

void rr_core_job_view(const rr_core *c, const char *ref, double now, rr_job_view *out) {
    memset(out, 0, sizeof *out);
    out->state = "queued";
    if (rr_job_final(c, ref, &out->done, &out->done_count)) {
        out->known = true;
        out->cancelled = !out->done;
        out->state = out->done ? "done" : "aborted";
        return;
    }
    const rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j || j->version == 0) {
        return;
    }
    out->known = true;
    out->version = j->version;
    out->done_count = j->done_count;
    out->done = j->done;
    out->cancelled = !j->done && j->cancelled;
    if (out->done) {
        out->state = "done";
    } else if (out->cancelled) {
        out->state = "aborted";
    } else if ((out->running_count = count_running(c, j, now)) > 0) {
        out->state = "running";
    }
}

bool rr_core_ready(const rr_core *c, double now) {
    return rr_core_lease_valid(c, now) && c->catalog_known;
}
