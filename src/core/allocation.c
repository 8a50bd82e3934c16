/* The paper's Allocation phase as DESIGN cuts it down, used for new tasks and rounds alike: zone
 * groups first, to the zone with most free room on the scarcest resource, there the fitting machine
 * with least free room; other tasks to the fitting machine of least price x free room. */
#include "core/model.h"

#include <math.h>
#include <string.h>

double rr_res_room(rr_res room, rr_res cap) {
    double r = 1;
    if (cap.cpu > 0) {
        r = fmin(r, room.cpu / cap.cpu);
    }
    if (cap.gpu > 0) {
        r = fmin(r, room.gpu / cap.gpu);
    }
    if (cap.mem > 0) {
        r = fmin(r, room.mem / cap.mem);
    }
    return r < 0 ? 0 : r;
}

bool rr_zone_bound(const rr_job *j) {
    return j->s.one_zone || j->s.ward[0];
}

void rr_sim_reset(rr_core *c) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->sim = rr_res_add(rr_machine_cap(c, m), m->used, -1);
        m->booked_cast = -1;
    }
}

bool rr_job_allows(const rr_core *c, const rr_job *j, int build, int ward, bool loaners) {
    if (loaners && !j->s.loaners) {
        return false;
    }
    if (j->s.ward[0] && strcmp(j->s.ward, rr_names_at(&c->wards, ward)) != 0) {
        return false;
    }
    if (j->s.nbuilds == 0) {
        return true;
    }
    for (int i = 0; i < j->s.nbuilds; i++) {
        if (strcmp(j->s.builds[i], rr_names_at(&c->builds, build)) == 0) {
            return true;
        }
    }
    return false;
}

/* Placements of the job by zone; a task being moved counts where it is and where it goes. */
static uint32_t count_by_ward(const rr_core *c, const rr_job *j, const rr_place *except,
                              uint32_t *by_ward) {
    uint32_t all = 0;
    if (j->nplaced == 0) {
        return 0;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->places->len; k++) {
            const rr_place *p = &g_array_index(m->places, rr_place, k);
            if (p->job == j && p != except) {
                by_ward[m->ward]++;
                all++;
            }
        }
    }
    return all;
}

void rr_job_wards(const rr_core *c, const rr_job *j, bool *allowed, const rr_place *except) {
    guint n = c->wards.names->len;
    uint32_t by_ward[n + 1];
    memset(by_ward, 0, sizeof by_ward);
    uint32_t all = j->s.one_zone || j->s.apart ? count_by_ward(c, j, except, by_ward) : 0;
    uint32_t half = (j->s.pieces + 1) / 2;
    for (guint w = 0; w < n; w++) {
        allowed[w] = true;
        if (j->s.ward[0] && strcmp(j->s.ward, rr_names_at(&c->wards, (int)w)) != 0) {
            allowed[w] = false;
        }
        if (j->s.apart && by_ward[w] >= half) {
            allowed[w] = false;
        }
        if (j->s.one_zone &&
            ((all && !by_ward[w]) || (!all && j->zone >= 0 && j->zone != (int)w))) {
            allowed[w] = false;
        }
    }
}

static bool has_task_of(const rr_machine *m, const rr_job *j) {
    for (guint k = 0; k < m->places->len; k++) {
        if (g_array_index(m->places, rr_place, k).job == j) {
            return true;
        }
    }
    return false;
}

static bool failed_here(const rr_machine *m, const rr_job *j) {
    for (guint k = 0; j->failed_on && k < j->failed_on->len; k++) {
        if (g_array_index(j->failed_on, int, k) == m->id) {
            return true;
        }
    }
    return false;
}

static bool may_go(rr_core *c, const rr_job *j, const rr_machine *m, const struct rr_choice *how,
                   double now) {
    return m->ward >= 0 && how->wards[m->ward] &&
           rr_job_allows(c, j, m->build, m->ward, m->loaners) && rr_res_fits(j->need, m->sim) &&
           !(how->separate && m != how->home && has_task_of(m, j)) && how->filter(c, m, now) &&
           !(how->need_cast && !rr_machine_has_cast(m, j->cast));
}

double rr_fetch_time(const rr_core *c, const rr_job *j, const rr_machine *m) {
    const rr_build *b = rr_build_at(c, m->build);
    if (rr_machine_has_cast(m, j->cast)) {
        return 0;
    }
    return b && b->pull_rate > 0 ? j->s.pull_gb / b->pull_rate : 5;
}

/* Sort key, least first. An image that is already there comes before price where the class has an
 * aim on its start, since a fetch can take longer than the aim allows. Elsewhere a fetch makes the
 * room dearer by the time it takes, since the room is held for that long too, and between equals
 * the machine that needs none wins; if all need one, the one that is not about to have this image
 * anyway: it will be ready for two kinds of work then. A machine that failed this job comes last.
 */
struct rank {
    double trouble, image, cost, fetch, coming, room;
};

static bool image_coming(const rr_machine *m, int cast) {
    for (guint k = 0; k < m->places->len; k++) {
        if (g_array_index(m->places, rr_place, k).job->cast == cast) {
            return true;
        }
    }
    return m->booked_cast == cast;
}

static struct rank rank_of(rr_core *c, const rr_job *j, const rr_machine *m, bool zone_group,
                           double now) {
    rr_res cap = rr_machine_cap(c, m);
    double room = rr_res_room(m->sim, cap);
    bool urgent = rr_objective_for(c, "wait", j->s.lane) != NULL;
    struct rank r = {0, 0, 0, rr_fetch_time(c, j, m), 0, room};
    r.trouble = failed_here(m, j) ? 2 : rr_machine_doubtful(m, now) ? 1 : 0;
    r.image = urgent && r.fetch > 0;
    r.cost = zone_group ? room : rr_machine_price(c, m) * room;
    r.coming = r.fetch > 0 && image_coming(m, j->cast);
    if (!urgent && j->s.guess_s > 0) {
        r.cost *= 1 + r.fetch / j->s.guess_s;
    }
    return r;
}

static bool better(const struct rank *a, const struct rank *b) {
    if (a->trouble != b->trouble) {
        return a->trouble < b->trouble;
    }
    if (a->image != b->image) {
        return a->image < b->image;
    }
    if (fabs(a->cost - b->cost) > 1e-9) {
        return a->cost < b->cost;
    }
    if (fabs(a->fetch - b->fetch) > 1e-9) {
        return a->fetch < b->fetch;
    }
    if (a->coming != b->coming) {
        return a->coming < b->coming;
    }
    return a->room < b->room - 1e-9;
}

rr_machine *rr_choose(rr_core *c, const rr_job *j, const struct rr_choice *how, double now) {
    rr_machine *best = NULL;
    struct rank best_rank = {0};
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (!may_go(c, j, m, how, now)) {
            continue;
        }
        struct rank r = rank_of(c, j, m, rr_zone_bound(j), now);
        r.room -= m == how->home ? 1 : 0; /* between equals a task stays */
        if (!best || better(&r, &best_rank)) {
            best = m;
            best_rank = r;
        }
    }
    return best;
}

int rr_zone_most_room(rr_core *c, const rr_job *j, const bool *wards, double now) {
    guint n = c->wards.names->len;
    rr_res room[n + 1], cap[n + 1];
    memset(room, 0, sizeof room);
    memset(cap, 0, sizeof cap);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (wards[m->ward] && rr_job_allows(c, j, m->build, m->ward, m->loaners) &&
            rr_machine_usable(c, m, now)) {
            room[m->ward] = rr_res_add(room[m->ward], m->sim, 1);
            cap[m->ward] = rr_res_add(cap[m->ward], rr_machine_cap(c, m), 1);
        }
    }
    int best = -1;
    double most = -1;
    for (guint w = 0; w < n; w++) {
        /* The share of the zone that is free on its scarcest resource, as the paper scores
         * clusters. */
        double r = cap[w].cpu > 0 ? rr_res_room(room[w], cap[w]) : -1;
        if (r > most) {
            most = r;
            best = (int)w;
        }
    }
    return best;
}
