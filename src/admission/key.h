/* Admission keys. Jobs with the same team, job class, size band, zone and machine types share a key
 * and are admitted by the same row of the admission table. Every controller derives the same key
 * from the same submission. */
#ifndef RR_ADMISSION_KEY_H
#define RR_ADMISSION_KEY_H

#include "conf/config.h"
#include "wire/wire.h"

#define RR_ADMISSION_BAND_COUNT 3   /* size bands: small, medium and large jobs */
#define RR_ADMISSION_TYPES_SIZE 256 /* size of rr_admission_key.types, in bytes */

typedef struct {
    uint64_t id; /* hash of the other fields */
    char team[RR_NAME_SIZE], job_class[RR_TEXT_SIZE];
    char zone[RR_TEXT_SIZE];             /* empty: any zone */
    char types[RR_ADMISSION_TYPES_SIZE]; /* sorted, each followed by a comma; empty: any type */
    unsigned band;                       /* from 0 (small jobs) to RR_ADMISSION_BAND_COUNT - 1 */
} rr_admission_key;

/* Derives a submission's key. band_limits: the task counts at which the second and the third band
 * begin. */
void rr_admission_key_from_submission(const rr_submission *submission,
                                      const uint32_t band_limits[2], rr_admission_key *out);

/* Sets the id of a key whose other fields are set. */
void rr_admission_key_set_id(rr_admission_key *key);

/* Returns the id of the default row of a team's band, which applies to those of its keys that have
 * no row of their own in the table. */
uint64_t rr_admission_default_row_id(const char *team, unsigned band);

/* Returns whether jobs of the key may run on machines of this type in this zone. */
bool rr_admission_key_allows(const rr_admission_key *key, const char *type, const char *zone);

/* Returns a job's hash. It identifies the job where demand is counted, and its upper 32 bits are
 * the job's position on the hash ring (verdict.h). */
uint64_t rr_admission_hash_job_id(const char *job_id);

#endif
