#include "app/http_responses.h"

void rr_app_answer_error(struct rr_http_response *response, int status, const char *reason,
                         int retry_after_s) {
    response->status = status;
    response->retry_after_s = retry_after_s;
    rr_encode_map(&response->body, 1);
    rr_encode_key_text(&response->body, "error", reason);
}

void rr_app_answer_job_state(struct rr_http_response *response, int status, const char *job_id,
                             const char *state) {
    response->status = status;
    rr_encode_map(&response->body, 2);
    rr_encode_key_text(&response->body, "ref", job_id);
    rr_encode_key_text(&response->body, "standing", state);
}

void rr_app_answer_job_view(struct rr_http_response *response, const char *job_id,
                            const char *state, uint64_t done_count, uint64_t running_count) {
    response->status = 200;
    rr_encode_map(&response->body, 4);
    rr_encode_key_text(&response->body, "ref", job_id);
    rr_encode_key_text(&response->body, "standing", state);
    rr_encode_key_u64(&response->body, "done", done_count);
    rr_encode_key_u64(&response->body, "running", running_count);
}
