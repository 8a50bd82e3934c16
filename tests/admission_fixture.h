/* Builders for tests of admission: submissions, keys and a package instance. */
#ifndef RR_TESTS_ADMISSION_FIXTURE_H
#define RR_TESTS_ADMISSION_FIXTURE_H

#include "core_fixture.h"

#include "admission/admission.h"

/* The tasks from which a job is of the second and of the third band. */
extern const uint32_t test_band_limits[2];

/* Tasks of 1 CPU, 1 GB and 10 s. */
rr_submission make_submission(const char *team, const char *job_class, const char *job_id,
                              uint32_t tasks);
rr_admission_key make_key(const char *team, const char *job_class, uint32_t tasks);

/* The package with default settings and the tests' configuration, which a test may change. */
struct admission_fixture {
    struct rr_config config;
    rr_admission_settings settings;
    rr_admission *admission;
};
void admission_fixture_init(struct admission_fixture *fixture);
void admission_fixture_clear(struct admission_fixture *fixture);

#endif
