/* Fair admission at one controller: its tables, its verdicts and the demand it knows of. */
#include "admission/admission.h"
#include "core/state/transaction.h"
#include "peer/frame.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Leaves room in the frame for its header and the fields around the view. */
#define VIEW_BYTES_MAX (RR_FRAME_BYTES_MAX - 1024)
/* Age, in intervals, up to which a peer's view counts in full, and from which it is ignored. */
#define VIEW_FRESH_INTERVALS 1.5
#define VIEW_EXPIRY_INTERVALS 6

/* The last demand view received from a peer. */
struct peer_view {
    rr_demand_view view;
    double received_at; /* steady clock; 0: none received yet */
};

struct rr_admission {
    const struct rr_config *config;
    const rr_admission_settings *settings;
    rr_admission_slot slots[RR_ADMISSION_SLOT_COUNT];
    bool complete[RR_ADMISSION_SLOT_COUNT]; /* every record of the slot's table has been read */
    rr_admission_table empty_table;         /* stands in for the table of an incomplete slot */
    rr_demand *demand;                      /* seen by this controller */
    double interval_start;                  /* wall clock: start of the current counting interval */
    struct peer_view peers[RR_CONTROLLERS_MAX];   /* by index in config->peers */
    rr_work admitted_without_table[RR_TEAMS_MAX]; /* by team: work admitted in the current interval
                                                     while there was no valid table */
    rr_admission_stats stats;
};

rr_admission *rr_admission_create(const struct rr_config *config,
                                  const rr_admission_settings *settings) {
    rr_admission *admission = g_new0(rr_admission, 1);
    admission->config = config;
    admission->settings = settings;
    admission->demand = rr_demand_create(settings->patience_s);
    rr_admission_table_init(&admission->empty_table);
    rr_admission_table_init(&admission->slots[0].table);
    rr_admission_table_init(&admission->slots[1].table);
    return admission;
}

void rr_admission_destroy(rr_admission *admission) {
    if (!admission) {
        return;
    }
    for (size_t i = 0; i < RR_CONTROLLERS_MAX; i++) {
        rr_demand_view_clear(&admission->peers[i].view);
    }
    rr_admission_table_clear(&admission->slots[0].table);
    rr_admission_table_clear(&admission->slots[1].table);
    rr_admission_table_clear(&admission->empty_table);
    rr_demand_destroy(admission->demand);
    g_free(admission);
}

void rr_admission_get_stats(const rr_admission *admission, rr_admission_stats *out) {
    *out = admission->stats;
}

/* ---- tables ---- */

void rr_admission_apply_record(rr_admission *admission, const char *key_suffix,
                               const msgpack_object *value, uint64_t version) {
    char *end;
    unsigned long slot = strtoul(key_suffix, &end, 10);
    unsigned long part = *end == '/' ? strtoul(end + 1, &end, 10) : RR_ADMISSION_PARTS_MAX;
    int rc = -EPROTO;
    if (*end == 0 && slot < RR_ADMISSION_SLOT_COUNT && part < RR_ADMISSION_PARTS_MAX) {
        uint64_t previous_sequence = admission->slots[slot].table.sequence;
        rc = rr_admission_slot_add_part(&admission->slots[slot], (guint)part, value, version);
        bool replaced = admission->slots[slot].table.sequence != previous_sequence;
        admission->complete[slot] = rc == 1 || (admission->complete[slot] && !replaced);
    }
    admission->stats.unreadable_records += rc < 0;
}

/* Returns the slot's table, or an empty table while some of its records are missing. */
static const rr_admission_table *get_slot_table(const rr_admission *admission, int slot) {
    return admission->complete[slot] ? &admission->slots[slot].table : &admission->empty_table;
}

/* Returns the tables of both slots, ordered by sequence. */
static rr_admission_tables get_tables(const rr_admission *admission) {
    const rr_admission_table *first = get_slot_table(admission, 0);
    const rr_admission_table *second = get_slot_table(admission, 1);
    bool first_is_newest = first->sequence > second->sequence;
    return (rr_admission_tables){.newest = first_is_newest ? first : second,
                                 .previous = first_is_newest ? second : first};
}

const rr_admission_table *rr_admission_get_newest_table(const rr_admission *admission) {
    return get_tables(admission).newest;
}

const rr_admission_table *rr_admission_get_table_at(const rr_admission *admission, double wall) {
    rr_admission_tables tables = get_tables(admission);
    return rr_admission_find_table_in_force(&tables, wall);
}

/* Guards records of both slots, so that the commit fails for an autoscaler that has not read the
 * newest table. */
bool rr_admission_add_table_writes(const rr_admission *admission, const rr_admission_table *table,
                                   rr_transaction *transaction) {
    rr_encoder records[RR_ADMISSION_PARTS_MAX];
    char key[64];
    size_t value_bytes_max = (size_t)(rr_value_kb_max(admission->config) * 1024);
    guint records_max = (guint)rr_transaction_changes_max(admission->config);
    guint parts = rr_admission_table_encode(table, value_bytes_max, records_max, records);
    const rr_admission_slot *slot = &admission->slots[table->sequence % RR_ADMISSION_SLOT_COUNT];
    const rr_admission_slot *other =
        &admission->slots[(table->sequence + 1) % RR_ADMISSION_SLOT_COUNT];
    rr_admission_format_record_key(table->sequence + 1, 0, key, sizeof key);
    rr_transaction_guard(transaction, key, other->versions[0]);
    for (guint i = 0; i < parts; i++) {
        rr_admission_format_record_key(table->sequence, i, key, sizeof key);
        rr_transaction_guard(transaction, key, slot->versions[i]);
        rr_transaction_put(transaction, key, &records[i], 0);
    }
    return parts > 0;
}

/* ---- submissions ---- */

/* Returns the work of all the job's tasks, by its runtime estimate. */
static rr_work estimate_job_work(const rr_admission *admission, const rr_submission *submission) {
    rr_work task = rr_work_estimate_task(submission, admission->settings->service_estimate_s);
    return rr_work_scale(task, submission->task_count);
}

/* Returns whether the job fits into what this controller may admit without a valid table, and if so
 * counts its work. Each of the last known term's controllers may admit an equal part of the team's
 * guarantee for the interval, so that together they stay within it. */
static bool admit_within_guarantee(rr_admission *admission, const rr_submission *submission,
                                   unsigned controllers) {
    int team = rr_config_find_team(admission->config, submission->team);
    if (team < 0) {
        return false;
    }
    const struct rr_team_config *guarantee = &admission->config->teams[team];
    double controller_share_s = admission->settings->interval_s / MAX(controllers, 1);
    rr_work admitted = rr_work_add(admission->admitted_without_table[team],
                                   estimate_job_work(admission, submission), 1);
    if (admitted.cpu_s > guarantee->cpus * controller_share_s ||
        admitted.gpu_s > guarantee->gpus * controller_share_s) {
        return false;
    }
    admission->admitted_without_table[team] = admitted;
    return true;
}

/* Admits the job if it fits into the team's guarantee; otherwise refuses it, to be retried after
 * one interval. */
static rr_admission_verdict decide_without_table(rr_admission *admission,
                                                 const rr_submission *submission,
                                                 unsigned controllers) {
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    if (!admit_within_guarantee(admission, submission, controllers)) {
        verdict.kind = RR_ADMISSION_NO_VALID_TABLE;
        verdict.retry_after_s =
            (int)fmin(RR_RETRY_AFTER_MAX_S, fmax(1, ceil(admission->settings->interval_s)));
    }
    return verdict;
}

rr_admission_verdict rr_admission_check(rr_admission *admission, const rr_submission *submission,
                                        const rr_admission_context *context, double wall,
                                        double now) {
    rr_admission_tables tables = get_tables(admission);
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    rr_admission_key key;
    rr_admission_key_from_submission(submission, admission->settings->band_limits, &key);
    if (!context->all_support_admission) {
        return verdict;
    }
    bool stale =
        !context->lease_valid ||
        context->cache_age_s > rr_admission_table_validity_s(admission->settings->interval_s);
    if (!stale) {
        verdict = rr_admission_decide(&tables, wall, admission->config->clock_skew_max_s, &key,
                                      submission->job_id);
        stale = verdict.kind == RR_ADMISSION_NO_VALID_TABLE;
    }
    if (stale) {
        verdict = decide_without_table(admission, submission, context->controllers);
        admission->stats.refused_without_table += verdict.kind != RR_ADMISSION_ADMIT;
    }
    if (verdict.kind != RR_ADMISSION_ADMIT) {
        admission->stats.refused++;
        rr_demand_record_refusal(admission->demand, &key, submission->job_id,
                                 estimate_job_work(admission, submission), now);
    }
    return verdict;
}

void rr_admission_record_accepted(rr_admission *admission, const rr_submission *submission) {
    rr_admission_key key;
    rr_admission_key_from_submission(submission, admission->settings->band_limits, &key);
    admission->stats.admitted++;
    rr_demand_record_admission(admission->demand, &key, submission->job_id,
                               estimate_job_work(admission, submission));
}

/* ---- demand at this controller and at its peers ---- */

void rr_admission_update_interval(rr_admission *admission, double wall, double now) {
    double length_s = admission->settings->interval_s;
    double current_start = floor(wall / length_s) * length_s;
    if (current_start != admission->interval_start) {
        admission->interval_start = current_start;
        memset(admission->admitted_without_table, 0, sizeof admission->admitted_without_table);
        rr_demand_start_interval(admission->demand, now);
    }
}

void rr_admission_remove_accepted(rr_admission *admission, rr_job_accepted_fn is_accepted,
                                  void *user) {
    rr_demand_remove_accepted(admission->demand, is_accepted, user);
}

bool rr_admission_encode_demand_view(const rr_admission *admission, uint64_t fencing_token,
                                     GByteArray *out) {
    rr_demand_view view;
    if (!rr_admission_get_newest_table(admission)->active) {
        return false;
    }
    rr_demand_view_build(admission->demand, fencing_token, &view);
    rr_demand_view_encode(&view, out, VIEW_BYTES_MAX);
    rr_demand_view_clear(&view);
    return true;
}

int rr_admission_receive_demand_view(rr_admission *admission, size_t peer, uint64_t fencing_token,
                                     const void *data, size_t length, double now) {
    rr_demand_view view;
    int rc = peer < RR_CONTROLLERS_MAX ? rr_demand_view_decode(data, length, &view) : -EBADMSG;
    if (rc == 0 && view.fencing_token < fencing_token) {
        rr_demand_view_clear(&view);
        rc = -ESTALE;
    }
    if (rc != 0) {
        admission->stats.frames_dropped++;
        return rc;
    }
    rr_demand_view_clear(&admission->peers[peer].view);
    admission->peers[peer].view = view;
    admission->peers[peer].received_at = now;
    return 0;
}

void rr_admission_append_total_demand(const rr_admission *admission, double now, GArray *out) {
    const rr_demand_view *views[RR_CONTROLLERS_MAX + 1];
    unsigned ages[RR_CONTROLLERS_MAX + 1];
    guint count = 0;
    rr_demand_view own;
    rr_demand_view_build(admission->demand, 0, &own);
    views[count] = &own;
    ages[count++] = 0;
    for (size_t i = 0; i < admission->config->peer_count; i++) {
        const struct peer_view *peer = &admission->peers[i];
        double age = (now - peer->received_at) / admission->settings->interval_s;
        if (peer->received_at > 0 && age < VIEW_EXPIRY_INTERVALS) {
            views[count] = &peer->view;
            ages[count++] = age < VIEW_FRESH_INTERVALS ? 0 : (unsigned)age;
        }
    }
    rr_demand_merge_views(views, ages, count, out);
    rr_demand_view_clear(&own);
}
