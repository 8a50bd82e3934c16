/* Admission keys: a team, a job class, a size band, and the zone and machine types to which a job
 * is restricted. Every controller derives the same key from the same submission. */
#ifndef RR_ADMISSION_KEY_H
#define RR_ADMISSION_KEY_H

#include "conf/config.h"
#include "wire/wire.h"

#define RR_ADMISSION_BANDS 3 /* small, medium and large jobs */
#define RR_ADMISSION_TYPES 256

typedef struct {
    uint64_t id; /* hash of the rest */
    char team[RR_NAME_SIZE], job_class[RR_TEXT_SIZE];
    char zone[RR_TEXT_SIZE];        /* empty: any */
    char types[RR_ADMISSION_TYPES]; /* sorted, each followed by a comma; empty: any */
    unsigned band;
} rr_admission_key;

/* Derives a submission's key. band_limits: the numbers of tasks from which a job is of the second
 * and of the third band. */
void rr_admission_key_of(const rr_submission *submission, const uint32_t band_limits[2],
                         rr_admission_key *out);

/* Sets the id of a key whose other fields are set. */
void rr_admission_key_hash(rr_admission_key *key);

/* The id that stands for those of a team's keys in this band that a table has no row for. */
uint64_t rr_admission_rest_id(const char *team, unsigned band);

/* True: machines of this type and zone may take jobs of the key. */
bool rr_admission_key_allows(const rr_admission_key *key, const char *type, const char *zone);

/* A job's hash: by it demand is counted, and its upper half is the job's position on the circle of
 * admission (verdict.h). */
uint64_t rr_admission_job_hash(const char *job_id);

#endif
