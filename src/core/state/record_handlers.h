/* Inside the core only: how the store cache (store_cache.c) hands records to the files that keep
 * them, and what those (jobs.c, machines.c, ledger.c) ask of each other. */
#ifndef RR_CORE_STATE_RECORD_HANDLERS_H
#define RR_CORE_STATE_RECORD_HANDLERS_H

#include "core/core_internal.h"

/* Records of jobs, alone or in batches. */
void rr_job_put(rr_core *core, const char *job_id, const msgpack_object *value, uint64_t version,
                double now);
void rr_job_batch_put(rr_core *core, const char *key, const msgpack_object *value, uint64_t version,
                      double now);
/* The job of this name, made if need be. */
rr_job *rr_job_get(rr_core *core, const char *job_id, double now);
/* The job is not final: it goes to the open ones. */
void rr_job_open(rr_core *core, rr_job *job);
/* Final, and no placement of it is left: it leaves the open ones. */
void rr_job_close_if_final(rr_core *core, rr_job *job);
/* A final job whose ledger is gone keeps no list of records. */
void rr_job_trim(const rr_core *core, rr_job *job);
/* A placement comes (sign 1) or goes (-1): the sums follow. */
void rr_placement_count(rr_core *core, rr_machine *machine, rr_placement *placement, int sign);
/* Records of the ledger; rest: their keys after the prefix. */
void rr_ledger_record_put(rr_core *core, const char *rest, const msgpack_object *value,
                          uint64_t version, double now);
void rr_ledger_record_delete(rr_core *core, const char *rest, uint64_t version, double now);
/* The record is no more, and its placements with it. */
void rr_ledger_record_remove(rr_core *core, rr_job *job, rr_ledger_record *record, uint64_t version,
                             double now);
/* Frees one record of the ledger; takes gpointer, for containers. */
void rr_ledger_record_free(gpointer data);

#endif
