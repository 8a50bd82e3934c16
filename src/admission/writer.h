/* Makes the admission table of each interval. Only the controller that runs the autoscaler uses it.
 * It does no I/O and takes no lock: the caller passes in the load, the demand and the time. */
#ifndef RR_ADMISSION_WRITER_H
#define RR_ADMISSION_WRITER_H

#include "admission/demand_total.h"
#include "admission/offered_load.h"
#include "admission/table.h"

typedef struct rr_admission_writer rr_admission_writer;

/* Returns a writer, which the caller destroys. Both arguments must outlive it. */
rr_admission_writer *rr_admission_writer_create(const struct rr_config *config,
                                                const rr_admission_settings *settings);
/* Frees the writer; NULL is allowed. */
void rr_admission_writer_destroy(rr_admission_writer *writer);

/* Returns whether it is time to collect the load and make the table of the next interval. newest:
 * the newest table (sequence 0: none). wall: wall-clock time in seconds. */
bool rr_admission_writer_is_due(const rr_admission_writer *writer, const rr_admission_table *newest,
                                double wall);

/* Makes the table of the next interval, which the caller clears in either case. Returns whether to
 * store it: under overload, and once when overload has ended, with an inactive table. wall and now:
 * wall-clock and monotonic time in seconds. */
bool rr_admission_writer_make_table(rr_admission_writer *writer, const rr_offered_load *load,
                                    const GArray *demand /* rr_demand_total */,
                                    const rr_admission_table *newest, double wall, double now,
                                    rr_admission_table *out);

/* Figures for the log, of the last call of rr_admission_writer_make_table. */
typedef struct {
    double backlog_s;           /* time the whole cluster would take for all waiting work */
    double requested_s;         /* the same for the jobs that request admission */
    uint64_t filling_fallbacks; /* since creation: tables made by progressive filling */
    guint row_count;            /* of the last active table */
} rr_admission_writer_stats;
/* Copies the figures to *out. */
void rr_admission_writer_get_stats(const rr_admission_writer *writer,
                                   rr_admission_writer_stats *out);

#endif
