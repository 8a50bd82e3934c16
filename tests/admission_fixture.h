/* Builders for admission tests: submissions, admission keys and an rr_admission instance. */
#ifndef RR_TESTS_ADMISSION_FIXTURE_H
#define RR_TESTS_ADMISSION_FIXTURE_H

#include "core_fixture.h"

#include "admission/admission.h"

/* Task counts at which the second and the third size band of jobs begin. */
extern const uint32_t test_band_limits[2];

/* Returns a submission, or the admission key of one, whose tasks each need 1 CPU, 1 GB of memory
 * and an estimated runtime of 10 s. */
rr_submission make_submission(const char *team, const char *job_class, const char *job_id,
                              uint32_t tasks);
rr_admission_key make_key(const char *team, const char *job_class, uint32_t tasks);

/* An rr_admission with default settings and the configuration of test_config_init(). Tests may
 * change both after admission_fixture_init(); admission_fixture_clear() frees what the fixture
 * owns. */
struct admission_fixture {
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission *admission;
};
void admission_fixture_init(struct admission_fixture *fixture);
void admission_fixture_clear(struct admission_fixture *fixture);

#endif
