/* A scripted key-value store whose changes reach any number of cores, and the records that tests
 * put into it. */
#ifndef RR_TESTS_FAKE_STORE_H
#define RR_TESTS_FAKE_STORE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/core.h"
#include "core/state/transaction.h"

typedef struct {
    GHashTable *records; /* key -> struct fake_value* */
    GPtrArray *log;      /* struct fake_change* */
    uint64_t revision;   /* revision of the last change */
    size_t value_max;    /* bytes of JSON, 0: no limit */
    guint ops_max;       /* changes in a transaction, 0: no limit */
} fake_store;

fake_store *fake_store_create(void);
void fake_store_destroy(fake_store *store);
/* Returns 0, -EAGAIN if a guard fails or -EINVAL beyond a limit; nothing is changed then. */
int fake_store_commit(fake_store *store, const rr_transaction *transaction);
/* Writes or deletes a record without guards; fake_store_put() clears the encoder. */
void fake_store_put(fake_store *store, const char *key, rr_encoder *encoder);
void fake_store_delete(fake_store *store, const char *key);

/* Brings the core's store cache up to date, as the watch does. */
void fake_store_sync(fake_store *store, rr_core *core, double now);
/* Reads all records in key order, as a controller does that has just started. */
void fake_store_reload(fake_store *store, rr_core *core, double now);

/* Returns every record in key order, a line each: its key and its bytes in hexadecimal digits. */
GString *fake_store_dump(const fake_store *store);
/* Size of a record's value in bytes of JSON, 0: no such key. */
size_t fake_store_value_size(const fake_store *store, const char *key);
/* Version of a record, 0: no such key. */
uint64_t fake_store_version(const fake_store *store, const char *key);
/* Revision of the i-th change since the store's creation. */
uint64_t fake_store_change_revision(const fake_store *store, guint i);
/* Calls back for every record, decoded, in no order. */
typedef void (*fake_store_record_fn)(void *user, const char *key, const msgpack_object *value,
                                     uint64_t version);
void fake_store_each(const fake_store *store, fake_store_record_fn callback, void *user);
/* Number of keys with this prefix. */
unsigned fake_store_count(const fake_store *store, const char *prefix);

/* ---- the ledger ---- */

/* Placements of a job. */
unsigned fake_store_placed_count(const fake_store *store, const char *job_id);
/* The attempt placed for this task on machine id, 0: none. */
uint64_t fake_store_attempt(const fake_store *store, const char *id, const char *job_id,
                            uint32_t task);

/* ---- machine types, machines and jobs ---- */

/* Records a machine type offered in zones a and b. spot: its price as a spot machine. */
void fake_store_put_machine_type(fake_store *store, const char *type_name, double cpu, double gpu,
                                 double mem, double price, double spot);
/* Records a machine vm-<number> of type m1 in a page of its own, and removes it. */
void fake_store_put_machine(fake_store *store, const char *id, const char *zone, bool spot,
                            bool operator_owned);
void fake_store_delete_machine(fake_store *store, const char *id);
/* Records `count` operator-owned machines from vm-<first> on in page `first`. */
void fake_store_put_machine_page(fake_store *store, int first, int count, const char *zone);
/* Whether any machine page has the machine. */
bool fake_store_has_machine(const fake_store *store, const char *id);

/* A job to submit; what is left out has the defaults of test_submission(). */
struct test_job {
    const char *job_id, *team, *job_class, *image, *zone, *priority;
    bool service, gang, one_zone, spread, spot;
    uint32_t task_count;
    double cpus, gpus, mem_gb, checkpoint_interval_s, save_s, deadline_s;
};
void test_submission(rr_submission *out, const struct test_job *job);
/* Records the job as accepted at this time of day. */
void fake_store_submit(fake_store *store, const struct test_job *job, double when);

#endif
