/* Stand-ins for the core's tests: a scripted key-value store whose changes reach any number of
 * cores, and short ways to make jobs, machines and reports. Time is a number that the test sets. */
#ifndef RR_TESTS_CORE_FIXTURE_H
#define RR_TESTS_CORE_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/core.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/state/transaction.h"

typedef struct {
    GHashTable *kv; /* key -> struct fake_value* */
    GPtrArray *log; /* struct fake_change* */
    uint64_t epoch;
    size_t value_max; /* bytes of JSON, 0: no limit */
    guint ops_max;    /* changes in a transaction, 0: no limit */
} fake_store;

fake_store *fake_store_create(void);
void fake_store_destroy(fake_store *store);
/* 0, -EAGAIN if a guard fails, -EINVAL beyond a limit (nothing is changed then). */
int fake_store_commit(fake_store *store, const rr_transaction *transaction);
/* Brings the core's store cache up to now. */
void fake_store_sync(fake_store *store, rr_core *core, double now);
/* A full read in key order, as a controller makes that has just started. */
void fake_store_reload(fake_store *store, rr_core *core, double now);
/* Every record, in key order: its key and its bytes in hexadecimal digits, a line each. */
GString *fake_store_dump(const fake_store *store);
size_t fake_store_value_size(const fake_store *store,
                             const char *key);                         /* as JSON; 0: no such key */
uint64_t fake_store_version(const fake_store *store, const char *key); /* 0: no such key */
uint64_t fake_store_change_revision(const fake_store *store,
                                    guint i); /* revision of the i-th change ever made */
/* Every record, in no order, as a reader gets them. */
typedef void (*fake_store_record_fn)(void *user, const char *key, const msgpack_object *value,
                                     uint64_t version);
void fake_store_each(const fake_store *store, fake_store_record_fn callback, void *user);
unsigned fake_store_count(const fake_store *store, const char *prefix);
void fake_store_put(fake_store *store, const char *key,
                    rr_encoder *encoder); /* writes, whatever is there */
unsigned fake_store_placed_count(const fake_store *store,
                                 const char *job_id); /* reservations of a job in the ledger */

typedef struct {
    struct rr_config config;
    fake_store *store;
    rr_core *core;
    double now;
    double spot_notice_s; /* the notice that the next reports show, <0: none */
} test_controller;

/* Settings with the given teams' gpus_max (0: none), zones a and b. */
void test_config(struct rr_config *config, const char *name);
void test_controller_init(test_controller *node, fake_store *store, const char *name);
void test_controller_clear(test_controller *node);
/* The fixture of the core's tests: one controller in its first term, one machine type. */
typedef struct {
    fake_store *store;
    test_controller n;
} core_fixture;
int core_fixture_setup(void **state);
int core_fixture_teardown(void **state);
/* Registers a session with this lease and lets the node make the next term. */
void test_controller_join(test_controller *node, uint64_t lease_id);
void test_controller_leave(test_controller *node);
void test_controller_next_term(
    test_controller *node); /* commits the next term if there is one; syncs */

/* Another controller, n1, in a version that knows only what the first ones did: it joins, and
 * leaves. */
void test_controller_join_old_version(test_controller *node);
void test_controller_leave_old_version(test_controller *node);

void fake_store_put_machine_type(fake_store *store, const char *type_name, double cpu, double gpu,
                                 double mem, double price, double spot);
struct test_job {
    const char *job_id, *team, *job_class, *image, *zone, *rank;
    bool service, gang, one_zone, spread, spot;
    uint32_t pieces;
    double cpus, gpus, mem_gb, checkpoint_interval_s, save_s, deadline_s;
};
void test_submission(rr_submission *out, const struct test_job *job);
void fake_store_submit(fake_store *store, const struct test_job *job, double when);
void test_controller_cancel(test_controller *node, const char *job_id);
void fake_store_put_machine(fake_store *store, const char *id, const char *zone, bool spot,
                            bool own);
void fake_store_delete_machine(fake_store *store, const char *id);
bool fake_store_has_machine(const fake_store *store, const char *id);

/* Report builder: tasks as "ref task attempt standing[:cause]", NULL-ended. */
void test_controller_heartbeat(test_controller *node, const char *id, const char *zone, bool spot,
                               uint64_t worker_epoch, uint64_t sequence, uint64_t fencing_token,
                               ...);
/* The state in which a machine shows a task, the `shown`-th of its report. */
typedef const char *(*shown_task_state_fn)(int machine, const char *job_id, uint32_t task,
                                           int shown, uint64_t sequence);
/* What a number of machines report: of these jobs, what the ledger has there. */
struct shown_machines {
    int first, last, last_in_a; /* vm-<first> to vm-<last>; those after last_in_a are in zone b */
    const char *const *refs;
    int jobs;
    uint32_t tasks; /* looked for, of each job */
    int most;       /* in a report, SHOWN_TASKS_MAX at most */
    uint64_t worker_epoch, sequence;
    shown_task_state_fn state;
};
#define SHOWN_TASKS_MAX 16
void test_controller_show_machines(test_controller *node, const struct shown_machines *show);
/* One step of the autoscaler: records are committed, a list is answered with `machines`
 * (rr_listed_machine); what else it asks for is the caller's. rr_autoscaler_step_clear() after. */
void test_controller_autoscaler_step(test_controller *node, const GArray *machines,
                                     rr_autoscaler_step *out);
/* Adds a machine of type m1 to a list of the cloud's. */
void list_machine(GArray *list, const char *id, const char *zone, enum rr_listed_state state,
                  double age_s);
/* Many machines in few records, all of which have reported empty. */
void test_controller_add_machines(test_controller *node, int first, int many, const char *zone);
/* Plans, commits and syncs once; the commands are in *p until rr_plan_clear(). 1: committed. */
int test_controller_plan(test_controller *node, rr_plan *plan);
/* The attempt reserved for ref/task on machine id, 0: none. */
uint64_t fake_store_attempt(const fake_store *store, const char *id, const char *job_id,
                            uint32_t task);
/* The first order of this verb for the task in the plan, or NULL. */
const rr_command *plan_find_command(const rr_plan *plan, const char *id,
                                    enum rr_command_kind command_kind, const char *job_id,
                                    uint32_t task);
rr_command_batch *plan_find_batch(const rr_plan *plan, const char *id);

#endif
