/* The writer of admission tables: what the autoscaler of a term does once an interval. No I/O and
 * no lock: the caller passes in what it gathered, and the time. */
#ifndef RR_ADMISSION_WRITER_H
#define RR_ADMISSION_WRITER_H

#include "admission/demand_total.h"
#include "admission/offered_load.h"
#include "admission/table.h"

typedef struct rr_admission_writer rr_admission_writer;

/* Both arguments must outlive the writer. */
rr_admission_writer *rr_admission_writer_create(const struct rr_config *config,
                                                const rr_admission_settings *settings);
/* NULL is allowed. */
void rr_admission_writer_destroy(rr_admission_writer *writer);

/* True: it is time to gather for the next table. newest: the newest table (sequence 0: none). */
bool rr_admission_writer_due(const rr_admission_writer *writer, const rr_admission_table *newest,
                             double wall);

/* Makes the table of the next interval, which is the caller's to clear in either case. False: none
 * is to be written, because there is no overload. */
bool rr_admission_writer_next(rr_admission_writer *writer, const rr_offered_load *load,
                              const GArray *demand /* rr_demand_total */,
                              const rr_admission_table *newest, double wall, double now,
                              rr_admission_table *out);

/* For the log. */
typedef struct {
    double backlog_s;   /* time that the whole fleet would take for all that waits */
    double asked_s;     /* and for what asks to be admitted */
    uint64_t fallbacks; /* tables whose shares were found by progressive filling */
    guint rows;         /* of the last table */
} rr_admission_writer_stats;
/* Copies the counts. */
void rr_admission_writer_get_stats(const rr_admission_writer *writer,
                                   rr_admission_writer_stats *out);

#endif
