/* Writes records to the in-memory store as controllers do: machine types, machine pages, jobs. */
#include "core/submissions.h"
#include "fake_store.h"

#include <stdlib.h>
#include <string.h>

/* Flags of a machine in its page. */
#define MACHINE_FLAG_SPOT 1
#define MACHINE_FLAG_OPERATOR_OWNED 2
#define SINGLE_PAGES_FROM 100000 /* number of the first page with one machine only */

void fake_store_put_machine_type(fake_store *store, const char *type_name, double cpus, double gpus,
                                 double mem_gb, double price, double spot_price) {
    rr_machine_type type = {.cpus = cpus,
                            .gpus = gpus,
                            .mem_gb = mem_gb,
                            .image_cache_gb = 100,
                            .image_pull_gb_per_s = 1,
                            .price = price,
                            .spot_price = spot_price,
                            .startup_s = 30};
    char key[128];
    rr_encoder encoder;
    g_strlcpy(type.name, type_name, sizeof type.name);
    type.zones = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(type.zones, g_strdup("a"));
    g_ptr_array_add(type.zones, g_strdup("b"));
    rr_encoder_init(&encoder);
    rr_machine_type_encode(&encoder, &type);
    g_snprintf(key, sizeof key, RR_KEY_ROOT "build/%s", type_name);
    fake_store_put(store, key, &encoder);
    rr_machine_type_clear(&type);
}

static void encode_machine(rr_encoder *encoder, const char *id, const char *zone, uint64_t flags) {
    char address[64];
    g_snprintf(address, sizeof address, "127.0.0.1:%d", 1000 + atoi(id + strlen("vm-")));
    rr_encode_array(encoder, 6);
    rr_encode_text(encoder, id);
    rr_encode_text(encoder, address);
    rr_encode_text(encoder, "m1");
    rr_encode_text(encoder, zone);
    rr_encode_u64(encoder, flags);
    rr_encode_number(encoder, 0);
}

static void begin_page(rr_encoder *encoder, int machine_count) {
    rr_encoder_init(encoder);
    rr_encode_map(encoder, 1);
    rr_encode_text(encoder, "stones");
    rr_encode_array(encoder, (size_t)machine_count);
}

static void put_page(fake_store *store, int page, rr_encoder *encoder) {
    char key[64];
    g_snprintf(key, sizeof key, RR_KEY_ROOT "fleet/%08d", page);
    fake_store_put(store, key, encoder);
}

/* Returns the number of the page that fake_store_put_machine() uses for this machine. */
static int page_of_machine(const char *id) {
    return atoi(id + strlen("vm-")) + SINGLE_PAGES_FROM;
}

void fake_store_put_machine(fake_store *store, const char *id, const char *zone, bool spot,
                            bool operator_owned) {
    rr_encoder encoder;
    begin_page(&encoder, 1);
    encode_machine(&encoder, id, zone,
                   (spot ? MACHINE_FLAG_SPOT : 0) |
                       (operator_owned ? MACHINE_FLAG_OPERATOR_OWNED : 0));
    put_page(store, page_of_machine(id), &encoder);
}

void fake_store_delete_machine(fake_store *store, const char *id) {
    rr_encoder encoder;
    begin_page(&encoder, 0);
    put_page(store, page_of_machine(id), &encoder);
}

void fake_store_put_machines(fake_store *store, int first, int count, const char *zone) {
    rr_encoder encoder;
    begin_page(&encoder, count);
    for (int i = first; i < first + count; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%d", i);
        encode_machine(&encoder, id, zone, MACHINE_FLAG_OPERATOR_OWNED);
    }
    put_page(store, first, &encoder);
}

void test_submission_init(rr_submission *out, const struct test_job *job) {
    static const char *const priorities[] = {"low", "standard", "high", "prod"};
    memset(out, 0, sizeof *out);
    g_strlcpy(out->job_id, job->job_id, sizeof out->job_id);
    g_strlcpy(out->team, job->team ? job->team : "red", sizeof out->team);
    g_strlcpy(out->job_class, job->job_class ? job->job_class : "plain", sizeof out->job_class);
    g_strlcpy(out->image, job->image ? job->image : "img-1", sizeof out->image);
    g_strlcpy(out->zone, job->zone ? job->zone : "", sizeof out->zone);
    for (int i = 0; i < 4; i++) {
        if (strcmp(priorities[i], job->priority ? job->priority : "standard") == 0) {
            out->priority = (enum rr_priority)i;
        }
    }
    out->kind = job->gang ? RR_JOB_GANG : job->service ? RR_JOB_SERVICE : RR_JOB_ARRAY;
    out->task_count = job->task_count ? job->task_count : 1;
    out->cpus = job->cpus ? job->cpus : 4;
    out->gpus = job->gpus;
    out->mem_gb = job->mem_gb ? job->mem_gb : 8;
    out->one_zone = job->one_zone;
    out->spread_zones = job->spread;
    out->spot_allowed = job->spot;
    out->checkpoint_interval_s = job->checkpoint_interval_s;
    out->checkpoint_save_s = job->save_s;
    out->deadline_s = job->deadline_s > 0 ? job->deadline_s : -1;
}

void fake_store_submit(fake_store *store, const struct test_job *job, double accepted_at) {
    rr_submission submission;
    char key[128];
    rr_encoder encoder;
    test_submission_init(&submission, job);
    rr_encoder_init(&encoder);
    rr_core_encode_job(&encoder, &submission, accepted_at, false);
    rr_core_job_key(job->job_id, key, sizeof key);
    fake_store_put(store, key, &encoder);
}
