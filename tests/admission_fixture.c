#include "admission_fixture.h"

const uint32_t test_band_limits[2] = {8, 64};

rr_submission make_submission(const char *team, const char *job_class, const char *job_id,
                              uint32_t tasks) {
    rr_submission submission = {
        .task_count = tasks, .cpus = 1, .mem_gb = 1, .runtime_estimate_s = 10};
    g_strlcpy(submission.team, team, sizeof submission.team);
    g_strlcpy(submission.job_class, job_class, sizeof submission.job_class);
    g_strlcpy(submission.job_id, job_id, sizeof submission.job_id);
    return submission;
}

rr_admission_key make_key(const char *team, const char *job_class, uint32_t tasks) {
    rr_submission submission = make_submission(team, job_class, "req-1", tasks);
    rr_admission_key key;
    rr_admission_key_from_submission(&submission, test_band_limits, &key);
    return key;
}

void admission_fixture_init(struct admission_fixture *fixture) {
    test_config_init(&fixture->config, "n0");
    rr_admission_settings_init(&fixture->settings);
    fixture->admission = rr_admission_create(&fixture->config, &fixture->settings);
}

void admission_fixture_clear(struct admission_fixture *fixture) {
    rr_admission_destroy(fixture->admission);
    rr_admission_settings_clear(&fixture->settings);
}
