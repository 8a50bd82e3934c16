/* Machines, their placements, and the sums that follow them. */
#include "core/records.h"

#include <string.h>

rr_machine *rr_machine_get(rr_core *c, const char *name, double now) {
    rr_machine *m = g_hash_table_lookup(c->machines, name);
    if (m) {
        return m;
    }
    m = g_new0(rr_machine, 1);
    m->id = c->next_machine_id++;
    g_strlcpy(m->name, name, sizeof m->name);
    m->machine_type = m->zone = -1;
    m->placements = g_array_new(FALSE, TRUE, sizeof(rr_placement));
    m->images = g_array_new(FALSE, FALSE, sizeof(int));
    m->failed_jobs = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    m->unanswered_starts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    m->known_at = m->idle_since = now;
    m->heard_via = -1;
    g_hash_table_insert(c->machines, m->name, m);
    g_ptr_array_add(c->machine_list, m);
    return m;
}

void rr_machine_forget(rr_core *c, rr_machine *m) {
    for (guint i = 0; i < c->plan_moves->len;) {
        rr_move *mv = &g_array_index(c->plan_moves, rr_move, i);
        if (mv->from == m || mv->to == m) {
            g_array_remove_index(c->plan_moves, i);
        } else {
            i++;
        }
    }
    if (m->dirty) {
        g_ptr_array_remove_fast(c->dirty, m);
    }
    g_ptr_array_remove_fast(c->machine_list, m);
    g_hash_table_remove(c->machines, m->name);
}

void rr_mark_dirty(rr_core *c, rr_machine *m) {
    if (!m->dirty) {
        m->dirty = true;
        g_ptr_array_add(c->dirty, m);
    }
}

rr_resources rr_team_usage(const rr_core *c, int team) {
    return team >= 0 && (guint)team < c->team_used->len
               ? g_array_index(c->team_used, rr_resources, team)
               : (rr_resources){0, 0, 0};
}

static void team_add(rr_core *c, const rr_job *j, int sign) {
    if ((guint)j->team >= c->team_used->len) {
        g_array_set_size(c->team_used, (guint)j->team + 1);
    }
    rr_resources *u = &g_array_index(c->team_used, rr_resources, j->team);
    *u = rr_resources_add(*u, j->request, sign);
}

void rr_placement_count(rr_core *c, rr_machine *m, rr_placement *p, int sign) {
    rr_job *j = p->job;
    m->used = rr_resources_add(m->used, j->request, sign);
    if (j->team >= 0) {
        team_add(c, j, sign);
    }
    rr_mark_dirty(c, m);
    if (!j->placed || p->task >= j->submission.task_count) {
        return;
    }
    if (sign > 0) {
        j->placed_count += j->placed[p->task]++ == 0;
    } else if (j->placed[p->task] > 0) {
        j->placed_count -= --j->placed[p->task] == 0;
        j->next_task_hint = p->task < j->next_task_hint ? p->task : j->next_task_hint;
        rr_job_close_if_final(c, j);
    }
}

rr_placement *rr_placement_find(const rr_machine *m, uint64_t attempt, const rr_job *j,
                                uint32_t task) {
    for (guint i = 0; i < m->placements->len; i++) {
        rr_placement *p = &g_array_index(m->placements, rr_placement, i);
        if (p->attempt == attempt && p->job == j && p->task == task) {
            return p;
        }
    }
    return NULL;
}

const rr_task_status *rr_task_status_find(const rr_machine *m, const rr_placement *p) {
    for (guint i = 0; m->heartbeat_seen && i < m->heartbeat.tasks->len; i++) {
        const rr_task_status *r = &g_array_index(m->heartbeat.tasks, rr_task_status, i);
        if (r->attempt == p->attempt && r->task == p->task &&
            strcmp(r->job_id, p->job->submission.job_id) == 0) {
            return r;
        }
    }
    return NULL;
}

bool rr_machine_has_image(const rr_machine *m, int image) {
    for (guint i = 0; i < m->images->len; i++) {
        if (g_array_index(m->images, int, i) == image) {
            return true;
        }
    }
    return false;
}

void rr_recount_team_usage(rr_core *c) {
    g_array_set_size(c->team_used, 0);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->placements->len; k++) {
            const rr_job *j = g_array_index(m->placements, rr_placement, k).job;
            if (j->team >= 0) {
                team_add(c, j, 1);
            }
        }
    }
}
