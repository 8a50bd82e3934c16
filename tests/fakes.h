/* Stand-ins for the core's tests: a scripted state service whose changes reach any number of cores,
 * and short ways to make jobs, machines and reports. Time is a number that the test sets. */
#ifndef RR_TESTS_FAKES_H
#define RR_TESTS_FAKES_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/core.h"

typedef struct {
    GHashTable *kv; /* key -> struct fx_value* */
    GPtrArray *log; /* struct fx_change* */
    uint64_t epoch;
    size_t value_max; /* bytes of JSON, 0: no limit */
    guint ops_max;    /* changes in a transaction, 0: no limit */
} fx_store;

fx_store *fx_store_create(void);
void fx_store_destroy(fx_store *s);
/* 0, -EAGAIN if a guard fails, -EINVAL beyond a limit (nothing is changed then). */
int fx_commit(fx_store *s, const rr_transaction *t);
/* Brings the core's mirror up to now. */
void fx_sync(fx_store *s, rr_core *c, double now);
/* A full read in key order, as a controller makes that has just started. */
void fx_reread(fx_store *s, rr_core *c, double now);
/* Every record, in key order: its key and its bytes in hexadecimal digits, a line each. */
GString *fx_dump(const fx_store *s);
size_t fx_value_size(const fx_store *s, const char *key); /* as JSON; 0: no such key */
uint64_t fx_mark(const fx_store *s, const char *key);     /* 0: no such key */
uint64_t fx_log_mark(const fx_store *s, guint i); /* revision of the i-th change ever made */
/* Every record, in no order, as a reader gets them. */
typedef void (*fx_record_fn)(void *user, const char *key, const msgpack_object *value,
                             uint64_t mark);
void fx_each(const fx_store *s, fx_record_fn fn, void *user);
unsigned fx_count(const fx_store *s, const char *prefix);
void fx_put(fx_store *s, const char *key, rr_encoder *o); /* writes, whatever is there */
unsigned fx_placed(const fx_store *s, const char *ref);   /* bookings of a job in the ledger */

typedef struct {
    struct rr_config config;
    fx_store *store;
    rr_core *core;
    double now;
    double spot_notice_s; /* the notice that the next reports show, <0: none */
} fx_node;

/* Settings with the given teams' gpus_max (0: none), zones a and b. */
void fx_config(struct rr_config *c, const char *name);
void fx_node_init(fx_node *n, fx_store *s, const char *name);
void fx_node_clear(fx_node *n);
/* The fixture of the core's tests: one controller in its first term, one machine type. */
typedef struct {
    fx_store *store;
    fx_node n;
} fx_world;
int fx_world_setup(void **state);
int fx_world_teardown(void **state);
/* Registers a session with this lease and lets the node make the next term. */
void fx_join(fx_node *n, uint64_t tether);
void fx_leave(fx_node *n);
void fx_term(fx_node *n); /* commits the next term if there is one; syncs */

/* Another controller, n1, in a version that knows only what the first ones did: it joins, and
 * leaves. */
void fx_join_old_version(fx_node *n);
void fx_leave_old_version(fx_node *n);

void fx_build(fx_store *s, const char *sku, double cpu, double gpu, double mem, double price,
              double spot);
struct fx_job {
    const char *job_id, *team, *job_class, *image, *zone, *rank;
    bool service, gang, one_zone, spread, spot;
    uint32_t pieces;
    double cpus, gpus, mem_gb, checkpoint_interval_s, save_s, deadline_s;
};
void fx_submission(rr_submission *out, const struct fx_job *j);
void fx_submit(fx_store *s, const struct fx_job *j, double at);
void fx_cancel(fx_node *n, const char *ref);
void fx_machine(fx_store *s, const char *id, const char *zone, bool spot, bool own);
void fx_machine_gone(fx_store *s, const char *id);
bool fx_recorded(const fx_store *s, const char *id);

/* Report builder: tasks as "ref task attempt standing[:cause]", NULL-ended. */
void fx_report(fx_node *n, const char *id, const char *zone, bool spot, uint64_t worker_epoch,
               uint64_t sequence, uint64_t fencing_token, ...);
/* The state in which a machine shows a task, the `shown`-th of its report. */
typedef const char *(*fx_task_state)(int machine, const char *ref, uint32_t task, int shown,
                                     uint64_t sequence);
/* What a number of machines report: of these jobs, what the ledger has there. */
struct fx_show {
    int first, last, last_in_a; /* vm-<first> to vm-<last>; those after last_in_a are in zone b */
    const char *const *refs;
    int jobs;
    uint32_t tasks; /* looked for, of each job */
    int most;       /* in a report, FX_SHOWN_MAX at most */
    uint64_t worker_epoch, sequence;
    fx_task_state state;
};
#define FX_SHOWN_MAX 16
void fx_show_jobs(fx_node *n, const struct fx_show *show);
/* One step of the provisioner: records are committed, a list is answered with `machines`
 * (rr_listed_machine); what else it asks for is the caller's. rr_autoscaler_step_clear() after. */
void fx_provisioner_step(fx_node *n, const GArray *machines, rr_autoscaler_step *out);
/* Adds a machine of type m1 to a list of the cloud's. */
void fx_listed(GArray *list, const char *id, const char *zone, enum rr_listed_state state,
               double age_s);
/* Many machines in few records, all of which have reported empty. */
void fx_fleet(fx_node *n, int first, int many, const char *zone);
/* Plans, commits and syncs once; the commands are in *p until rr_plan_clear(). 1: committed. */
int fx_plan(fx_node *n, rr_plan *p);
/* The attempt booked for ref/task on machine id, 0: none. */
uint64_t fx_booked(const fx_store *s, const char *id, const char *ref, uint32_t task);
/* The first order of this verb for the task in the plan, or NULL. */
const rr_command *fx_order(const rr_plan *p, const char *id, enum rr_command_kind verb,
                           const char *ref, uint32_t task);
rr_command_batch *fx_do(const rr_plan *p, const char *id);

#endif
