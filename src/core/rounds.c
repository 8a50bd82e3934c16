/* Re-orchestration: DESIGN's rounds after the paper's two phases. Allocation takes every movable
 * replica off its machine on paper and places all of them anew; the plan counts only if it empties
 * a priced machine, and only the replicas of such machines move. Ordering makes the fitting move of
 * least request over the destination's free room first and credits the source. */
#include "core/model.h"

#include <math.h>
#include <string.h>

struct movable_task {
    rr_job *job;
    uint32_t task;
    rr_machine *home, *to;
    double size;
    double room; /* free on its machine now */
    bool taken;
};

static bool movable(const rr_core *c, const rr_machine *m, const rr_placement *p, double now) {
    const rr_job *j = p->job;
    if (j->submission.kind != RR_JOB_SERVICE || j->cancelled || j->done || p->preempt ||
        !j->placed || p->task >= j->submission.task_count || j->placed[p->task] != 1 ||
        j->team < 0 || !rr_owns_team(c, j->team) || !rr_machine_schedulable(c, m, now) ||
        rr_job_held(c, j, now)) {
        return false;
    }
    const rr_task_status *r = rr_task_status_find(m, p);
    return r && r->state == RR_TASK_RUNNING;
}

/* No replica moves while a trouble is on: recorded machines silent, notices, a young term, or this
 * controller behind with its work, of which rounds are the last in order. In a
 * large fleet one machine or another always is in trouble: up to one in fifty says nothing. */
static bool calm(rr_core *c, double now) {
    guint up = 0, bad = 0;
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (m->recorded && m->heartbeat_seen) {
            up++;
            bad += !rr_machine_heartbeat_recent(c, m, now) || m->heartbeat.spot_notice_s >= 0;
        }
    }
    bool quiet = bad * 50 <= up && !rr_core_timers_late(c, now, RR_LATE_TIMER_GRACE_S);
    if (c->round_token != c->term.token) {
        c->round_token = c->term.token;
        quiet = false;
    }
    if (!quiet) {
        c->calm_since = now;
    }
    return now - c->calm_since >= 3 * c->config->heartbeat_interval_s;
}

static double size_of(const rr_core *c, const rr_machine *m, const rr_job *j) {
    return 1 - rr_resources_free_share(rr_resources_add(rr_machine_capacity(c, m), j->request, -1),
                                       rr_machine_capacity(c, m));
}

static gint by_group_and_size(gconstpointer a, gconstpointer b) {
    const struct movable_task *x = a, *y = b;
    bool gx = rr_job_zone_bound(x->job), gy = rr_job_zone_bound(y->job);
    if (gx != gy) {
        return gx ? -1 : 1;
    }
    if (gx && x->job != y->job) {
        return strcmp(x->job->submission.job_id, y->job->submission.job_id);
    }
    if (fabs(x->size - y->size) > 1e-9) {
        return x->size > y->size ? -1 : 1;
    }
    /* Between equals, those on the fullest machines: they settle where they are, and what is left
     * on emptier ones fills up with its like. In any other order a plan shifts replicas between
     * full machines, and its moves wait for each other. */
    if (fabs(x->room - y->room) > 1e-9) {
        return x->room < y->room ? -1 : 1;
    }
    return x->home->id - y->home->id;
}

/* A machine with anything that must stay can't be emptied: its replicas stay too, and do not take
 * room on paper that real moves need. */
static bool can_be_emptied(const rr_core *c, const rr_machine *m, double now) {
    for (guint k = 0; k < m->placements->len; k++) {
        if (!movable(c, m, &g_array_index(m->placements, rr_placement, k), now)) {
            return false;
        }
    }
    return true;
}

/* A plan counts only if it empties machines, and a replica on a full one settles where it is: only
 * those on the emptiest machines are taken off on paper. A plan's cost then grows with the fleet
 * and not with its square; that many machines are more than a round's moves can empty. */
#define LOOK_AT 256

struct machine_room {
    rr_machine *machine;
    double room;
};

static gint by_room(gconstpointer a, gconstpointer b) {
    const struct machine_room *x = a, *y = b;
    if (fabs(x->room - y->room) > 1e-9) {
        return x->room > y->room ? -1 : 1;
    }
    return x->machine->id - y->machine->id;
}

static GArray *collect(rr_core *c, double now) {
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct movable_task));
    GArray *lots = g_array_new(FALSE, FALSE, sizeof(struct machine_room));
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        rr_resources cap = rr_machine_capacity(c, m);
        struct machine_room l = {m,
                                 rr_resources_free_share(rr_resources_add(cap, m->used, -1), cap)};
        if (m->placements->len > 0 && can_be_emptied(c, m, now)) {
            g_array_append_val(lots, l);
        }
    }
    g_array_sort(lots, by_room);
    for (guint i = 0; i < lots->len && i < LOOK_AT; i++) {
        rr_machine *m = g_array_index(lots, struct machine_room, i).machine;
        double room = g_array_index(lots, struct machine_room, i).room;
        for (guint k = 0; k < m->placements->len; k++) {
            const rr_placement *p = &g_array_index(m->placements, rr_placement, k);
            struct movable_task it = {p->job, p->task, m, NULL, size_of(c, m, p->job), room, false};
            g_array_append_val(items, it);
        }
    }
    g_array_free(lots, TRUE);
    g_array_sort(items, by_group_and_size);
    return items;
}

static bool job_planned_on(const GArray *items, guint upto, const rr_job *j, const rr_machine *m) {
    for (guint i = 0; i < upto; i++) {
        const struct movable_task *it = &g_array_index(items, struct movable_task, i);
        if (it->job == j && it->to == m) {
            return true;
        }
    }
    return false;
}

/* A job of several replicas keeps its zones; a single one may go wherever its job allows. */
static void allowed_zones(rr_core *c, const struct movable_task *it, bool *zones, double now) {
    rr_job *j = it->job;
    guint n = c->zones.names->len;
    bool fixed = j->submission.task_count > 1 && (j->submission.spread || j->submission.one_zone);
    for (guint w = 0; w < n; w++) {
        zones[w] = fixed ? (int)w == it->home->zone
                         : !j->submission.zone[0] ||
                               strcmp(j->submission.zone, rr_name_index_at(&c->zones, (int)w)) == 0;
    }
    if (!fixed && rr_job_zone_bound(j)) {
        int z = rr_zone_with_most_room(c, j, zones, now);
        for (guint w = 0; w < n; w++) {
            zones[w] = (int)w == z;
        }
    }
}

static void allocate(rr_core *c, GArray *items, double now) {
    rr_reset_free_resources(c);
    for (guint i = 0; i < items->len; i++) {
        struct movable_task *it = &g_array_index(items, struct movable_task, i);
        it->home->free = rr_resources_add(it->home->free, it->job->request, 1);
    }
    for (guint i = 0; i < items->len; i++) {
        struct movable_task *it = &g_array_index(items, struct movable_task, i);
        bool zones[c->zones.names->len + 1];
        allowed_zones(c, it, zones, now);
        /* An image still to be fetched would keep the replica down for the fetch. */
        struct rr_placement_constraints how = {.zones = zones,
                                               .distinct_machines =
                                                   it->job->submission.task_count > 1,
                                               .current = it->home,
                                               .need_image = true,
                                               .filter = rr_machine_schedulable};
        rr_machine *to = rr_bin_pack(c, it->job, &how, now);
        if (!to || (to != it->home && job_planned_on(items, i, it->job, to))) {
            to = it->home;
        }
        it->to = to;
        to->free = rr_resources_add(to->free, it->job->request, -1);
    }
}

/* Priced machines that the plan leaves empty. */
static guint mark_emptied(rr_core *c, const GArray *items) {
    guint n = 0;
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->leaving = m->arriving = 0;
    }
    for (guint k = 0; k < items->len; k++) {
        const struct movable_task *it = &g_array_index(items, struct movable_task, k);
        it->home->leaving += it->home != it->to;
        it->to->arriving += it->home != it->to;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->emptied = m->recorded && !m->scaling_in && rr_machine_price(c, m) > 0 &&
                     m->placements->len > 0 && m->leaving == m->placements->len && m->arriving == 0;
        n += m->emptied;
    }
    return n;
}

/* The fitting move of least request over free room at its destination, or NULL. */
static struct movable_task *next_move(rr_core *c, GArray *items) {
    struct movable_task *best = NULL;
    double least = 0;
    for (guint i = 0; i < items->len; i++) {
        struct movable_task *it = &g_array_index(items, struct movable_task, i);
        if (it->taken || !it->home->emptied || it->to == it->home || it->to->emptied ||
            !rr_resources_fit(it->job->request, it->to->free)) {
            continue;
        }
        double room = rr_resources_free_share(it->to->free, rr_machine_capacity(c, it->to));
        double score = room > 0 ? it->size / room : INFINITY;
        if (!best || score < least) {
            best = it;
            least = score;
        }
    }
    return best;
}

static void order_moves(rr_core *c, GArray *items) {
    GArray *moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    rr_reset_free_resources(c);
    struct movable_task *it;
    while ((it = next_move(c, items))) {
        rr_move mv = {it->job, it->task, it->home, it->to};
        g_array_append_val(moves, mv);
        it->taken = true;
        it->to->free = rr_resources_add(it->to->free, it->job->request, -1);
        it->home->free = rr_resources_add(it->home->free, it->job->request, 1);
    }
    /* A machine that can't be emptied whole is left alone: half-made plans only cost. */
    for (guint i = 0; i < moves->len; i++) {
        rr_move *mv = &g_array_index(moves, rr_move, i);
        guint n = 0;
        for (guint k = 0; k < moves->len; k++) {
            n += g_array_index(moves, rr_move, k).from == mv->from;
        }
        if (n == mv->from->placements->len) {
            g_array_append_val(c->plan_moves, *mv);
        }
    }
    g_array_free(moves, TRUE);
}

/* A fleet frees half-empty machines in proportion to its size: so many a round it may move. */
static int moves_allowed(const rr_core *c) {
    guint n = 0;
    for (guint i = 0; i < c->machine_list->len; i++) {
        n += ((const rr_machine *)g_ptr_array_index(c->machine_list, i))->recorded;
    }
    int share = (int)(c->config->tuning.rebalance_share * n);
    return share > c->config->tuning.rebalance_moves ? share : c->config->tuning.rebalance_moves;
}

/* Whether a round begins now. */
bool rr_rebalance_due(rr_core *c, double now) {
    const struct rr_tuning *t = &c->config->tuning;
    if (!t->rebalance || now - c->round_at < t->rebalance_period_s) {
        /* A trouble ends a plan under way at once. */
        if (c->plan_moves->len > 0 && !calm(c, now)) {
            g_array_set_size(c->plan_moves, 0);
        }
        return false;
    }
    if (!calm(c, now)) {
        g_array_set_size(c->plan_moves, 0);
        c->round_at =
            now - t->rebalance_period_s + fmin(1, t->rebalance_period_s); /* looked at again soon */
        return false;
    }
    return true;
}

void rr_rebalance(rr_core *c, double now) {
    c->round_at = now;
    c->round_left = moves_allowed(c);
    if (c->plan_moves->len > 0) {
        return; /* the plan is kept until it is done */
    }
    GArray *items = collect(c, now);
    if (items->len > 0) {
        allocate(c, items, now);
        guint n = mark_emptied(c, items);
        if (n > 0) {
            order_moves(c, items);
        }
        if (c->plan_moves->len > 0) {
            rr_log_at(c, RR_LOG_INFO, "round: %u movable replicas, %u machines to empty, %u moves",
                      items->len, n, c->plan_moves->len);
        }
        rr_reset_free_resources(c);
    }
    g_array_free(items, TRUE);
}
