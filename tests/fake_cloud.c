/* The fake cloud: one machine type, offered in the worker's zone, and at most one machine. */
#include "fake_services_internal.h"

#include <string.h>

static int answer_catalog(const struct fake_worker *worker, rr_encoder *out) {
    rr_machine_type type = {.name = FAKE_MACHINE_TYPE,
                            .cpus = 16,
                            .gpus = 4,
                            .mem_gb = 64,
                            .image_cache_gb = 50,
                            .image_pull_gb_per_s = 1,
                            .price = 3,
                            .spot_price = 1,
                            .startup_s = 1};
    type.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(type.zones, g_strdup(worker->zone));
    rr_encode_map(out, 1);
    rr_encode_text(out, "builds");
    rr_encode_array(out, 1);
    rr_machine_type_encode(out, &type);
    rr_machine_type_clear(&type);
    return 200;
}

static int answer_machine_list(const fake_services *services, rr_encoder *out) {
    const struct fake_worker *worker = &services->worker;
    char address[40];
    g_snprintf(address, sizeof address, "127.0.0.1:%u", services->port);
    rr_encode_map(out, 2);
    rr_encode_key_bool(out, "more", false);
    rr_encode_text(out, "stones");
    rr_encode_array(out, worker->rented ? 1 : 0);
    if (worker->rented) {
        rr_encode_map(out, 7);
        rr_encode_key_text(out, "ref", FAKE_MACHINE);
        rr_encode_key_text(out, "addr", address);
        rr_encode_key_text(out, "build", FAKE_MACHINE_TYPE);
        rr_encode_key_text(out, "ward", worker->zone);
        rr_encode_key_bool(out, "loaners", false);
        rr_encode_key_text(out, "standing", "running");
        rr_encode_key_number(out, "age_s", 1);
    }
    return 200;
}

static int answer_rental(struct fake_worker *worker, rr_encoder *out) {
    if (worker->rented) {
        rr_encode_map(out, 1);
        rr_encode_key_text(out, "error", "no capacity");
        return 503;
    }
    worker->rented = true;
    worker->rental_count++;
    rr_encode_map(out, 1);
    rr_encode_text(out, "stones");
    rr_encode_array(out, 1);
    rr_encode_text(out, FAKE_MACHINE);
    return 200;
}

static int answer_release(struct fake_worker *worker) {
    worker->rented = false;
    g_array_set_size(worker->tasks, 0);
    fake_late_copies_drop(worker->late_copies);
    return 200;
}

bool fake_cloud_serves(const char *path) {
    return strcmp(path, "/catalog") == 0 || strcmp(path, "/machines") == 0 ||
           strcmp(path, "/machines/release") == 0;
}

int fake_cloud_answer(fake_services *services, const char *path, const char *method,
                      rr_encoder *out) {
    if (strcmp(path, "/catalog") == 0) {
        return answer_catalog(&services->worker, out);
    }
    if (strcmp(path, "/machines/release") == 0) {
        return answer_release(&services->worker);
    }
    return strcmp(method, "GET") == 0 ? answer_machine_list(services, out)
                                      : answer_rental(&services->worker, out);
}
