/* An in-memory key-value store for tests of the core, without a network. Any number of cores follow
 * its changes, each when the test says so. Also writes the records that tests start from. */
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
    GHashTable *records;    /* key -> struct fake_value * */
    GPtrArray *log;         /* struct fake_change *: all changes, by ascending revision */
    uint64_t revision;      /* of the last change */
    size_t value_bytes_max; /* most bytes of a value as JSON; 0: no limit */
    guint change_count_max; /* most changes per transaction, 4 times as many guards; 0: no limit */
    bool watch_stuck;       /* fake_store_sync() delivers nothing */
} fake_store;

fake_store *fake_store_create(void);
void fake_store_destroy(fake_store *store);
/* Applies the transaction and returns 0. Returns -EAGAIN if a guard fails and -EINVAL if the
 * transaction exceeds a limit, and then changes nothing. */
int fake_store_commit(fake_store *store, const rr_transaction *transaction);
/* Writes or deletes a record without guards. fake_store_put() clears the encoder. */
void fake_store_put(fake_store *store, const char *key, rr_encoder *encoder);
void fake_store_delete(fake_store *store, const char *key);

/* Applies all changes that the core's store cache has not seen yet, as a watch does. A cache that
 * is still empty is loaded from the log. Does nothing while watch_stuck is set. */
void fake_store_sync(fake_store *store, rr_core *core, double now);
/* Loads all records into the core's store cache in key order, as a controller that starts does. */
void fake_store_reload(fake_store *store, rr_core *core, double now);

/* Returns every record in key order, one a line: its key and its value in hexadecimal digits. The
 * caller frees the string. */
GString *fake_store_dump(const fake_store *store);
/* Returns the size of a record's value in bytes of JSON; 0: no such key. */
size_t fake_store_value_size(const fake_store *store, const char *key);
/* Returns the version of a record, which is the revision that last wrote it; 0: no such key. */
uint64_t fake_store_version(const fake_store *store, const char *key);
/* Returns the revision of change i since the store's creation, counted from 0. */
uint64_t fake_store_change_revision(const fake_store *store, guint i);
/* Calls back for every record, decoded, in no particular order. */
typedef void (*fake_store_record_fn)(void *user, const char *key, const msgpack_object *value,
                                     uint64_t version);
void fake_store_foreach(const fake_store *store, fake_store_record_fn callback, void *user);
/* Returns the number of keys with this prefix. */
unsigned fake_store_count(const fake_store *store, const char *prefix);

/* ---- the ledger ---- */

/* Returns the number of placements of a job. */
unsigned fake_store_placed_count(const fake_store *store, const char *job_id);
/* Returns the attempt of this task that is placed on machine `id`; 0: none. */
uint64_t fake_store_find_attempt(const fake_store *store, const char *id, const char *job_id,
                                 uint32_t task);

/* ---- machine types, machines and jobs ---- */

/* Records a machine type that is offered in zones a and b. */
void fake_store_put_machine_type(fake_store *store, const char *type_name, double cpus, double gpus,
                                 double mem_gb, double price, double spot_price);
/* Records machine `id`, which is vm-<number>, of type m1 in a page of its own. */
void fake_store_put_machine(fake_store *store, const char *id, const char *zone, bool spot,
                            bool operator_owned);
/* Removes a machine that fake_store_put_machine() recorded. */
void fake_store_delete_machine(fake_store *store, const char *id);
/* Records `count` operator-owned machines from vm-<first> on in page `first`. */
void fake_store_put_machines(fake_store *store, int first, int count, const char *zone);
/* Whether any machine page contains the machine. */
bool fake_store_has_machine(const fake_store *store, const char *id);

/* A job to submit. Fields that are 0 or NULL get the defaults of test_submission_init(). */
struct test_job {
    const char *job_id, *team, *job_class, *image, *zone, *priority;
    bool service, gang, one_zone, spread, spot;
    uint32_t task_count;
    double cpus, gpus, mem_gb, checkpoint_interval_s, save_s, deadline_s;
};
/* Fills *out with the job's submission. Defaults: team red, class plain, image img-1, standard
 * priority, an array of one task, 4 CPUs and 8 GB of memory; no zone and no deadline. */
void test_submission_init(rr_submission *out, const struct test_job *job);
/* Records the job as accepted at this time of day, in seconds. */
void fake_store_submit(fake_store *store, const struct test_job *job, double accepted_at);

#endif
