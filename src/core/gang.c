/* Gangs: all tasks of one run at the same time or none does. A gang is booked whole, in one record
 * and one change, under one attempt; it stops whole, and is booked anew, under a new attempt, once
 * every placement of the old one is proven over. Which of its phases it is in is derived from the
 * ledger and the reports each time: nothing of it is remembered. */
#include "core/model.h"

#include <string.h>

/* What one record of the ledger holds, now and under the limits to come. */
uint32_t rr_gang_most(const rr_core *c) {
    uint32_t n = c->chunk;
    while (n > 1 && (double)rr_run_bytes(n) > rr_value_kb(c->cfg) * 1024) {
        n--;
    }
    return n;
}

/* A machine that has not shown its task for this part of gang_wait_s will not in time. */
#define SHOWN_SHARE 0.5

enum state { ABSENT, SHOWN, RUNS, LEAVES, LOST, DONE };

/* One placement. LOST: over, or never to come in time. LEAVES: its machine goes soon. */
static enum state state_of(const rr_core *c, const rr_machine *m, const rr_place *pl, double now) {
    const rr_piece *r = rr_piece_find(m, pl);
    if (r && r->standing == RR_ENDED) {
        return r->cause == RR_DONE ? DONE : LOST;
    }
    if (m->gone || !m->recorded || (m->heard && m->rep.tenure > pl->tenure) || pl->over_at > 0) {
        return LOST;
    }
    if (!r) {
        return now - pl->seen_at > SHOWN_SHARE * c->cfg->gang_wait_s ? LOST : ABSENT;
    }
    if (m->rep.recall_s >= 0 || pl->evict || r->standing == RR_FLUSHING) {
        return LEAVES;
    }
    return r->standing == RR_RUNNING ? RUNS : SHOWN;
}

struct count {
    guint all, by[DONE + 1];
    bool told; /* every machine of it can be told now */
};

static void count_states(const rr_core *c, const rr_job *j, double now, struct count *n) {
    memset(n, 0, sizeof *n);
    n->told = true;
    const rr_run *run = j->runs && j->runs->len > 0 ? g_ptr_array_index(j->runs, 0) : NULL;
    for (guint i = 0; run && i < run->items->len; i++) {
        const rr_item *it = &g_array_index(run->items, rr_item, i);
        const rr_place *pl = rr_place_find(it->m, it->attempt, j, it->task);
        if (pl) {
            n->all++;
            n->by[state_of(c, it->m, pl, now)]++;
            n->told = n->told && rr_machine_fresh(c, it->m, now) && !rr_machine_deaf(it->m);
        }
    }
}

static enum rr_gang_phase phase_of(const rr_job *j, const struct count *n) {
    if (j->done || j->cancelled || n->by[DONE] > 0) {
        return RR_GANG_ENDING;
    }
    if (n->all == 0) {
        return RR_GANG_QUEUED;
    }
    if (n->by[LOST] + n->by[LEAVES] > 0 || n->all < j->s.pieces) {
        return RR_GANG_STOPPING;
    }
    if (n->by[ABSENT] == n->all) {
        return RR_GANG_BOOKED;
    }
    return n->by[RUNS] == n->all ? RR_GANG_RUNNING : RR_GANG_WAITING;
}

enum rr_gang_phase rr_gang_phase(const rr_core *c, const rr_job *j, double now) {
    struct count n;
    count_states(c, j, now, &n);
    return phase_of(j, &n);
}

bool rr_gang_stops(const rr_core *c, const rr_job *j, double now, bool *saving) {
    struct count n;
    count_states(c, j, now, &n);
    enum rr_gang_phase phase = phase_of(j, &n);
    /* Only a gang that has lost nothing can save, and only if all are told in time. */
    *saving = phase == RR_GANG_STOPPING && n.by[LOST] == 0 && n.by[ABSENT] == 0 &&
              n.all == j->s.pieces && n.told && j->s.cairn_s > 0;
    return phase == RR_GANG_STOPPING || phase == RR_GANG_ENDING;
}
