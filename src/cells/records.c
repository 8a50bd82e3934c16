#include "cells/records.h"
#include "core/state/transaction.h"

#include <errno.h>
#include <string.h>

static const char *const home_states[] = {"local", "offered", "final"};
static const char *const guest_states[] = {"none", "held", "ended"};
static const char *const answers[] = {"none", "done", "cancelled"};

static int index_of(const msgpack_object *value, const char *key, const char *const *names,
                    int count) {
    const msgpack_object *text = rr_map_get(value, key);
    for (int i = 0; text && i < count; i++) {
        if (rr_object_text_equals(text, names[i])) {
            return i;
        }
    }
    return -1;
}

void rr_cells_out_key(const char *job_id, char *out, size_t size) {
    g_snprintf(out, size, RR_CELLS_PREFIX RR_CELLS_OUT "%s", job_id);
}

void rr_cells_in_key(const char *local_id, char *out, size_t size) {
    g_snprintf(out, size, RR_CELLS_PREFIX RR_CELLS_IN "%s", local_id);
}

void rr_cells_out_encode(const rr_out_record *record, rr_encoder *out) {
    rr_encode_map(out, 5);
    rr_encode_key_text(out, "crew", record->team);
    rr_encode_key_text(out, "guest", record->guest);
    rr_encode_key_text(out, "state", home_states[record->state]);
    rr_encode_key_u64(out, "claim", record->claim);
    rr_encode_key_number(out, "withdrawn", record->withdrawn_at);
}

void rr_cells_in_encode(const rr_in_record *record, rr_encoder *out) {
    rr_encode_map(out, 6);
    rr_encode_key_text(out, "crew", record->team);
    rr_encode_key_text(out, "home", record->home);
    rr_encode_key_text(out, "ref", record->job_id);
    rr_encode_key_text(out, "state", guest_states[record->state]);
    rr_encode_key_u64(out, "claim", record->claim);
    rr_encode_key_text(out, "answer", answers[record->answer]);
}

void rr_cells_out_write(rr_transaction *transaction, const char *job_id, uint64_t version,
                        const rr_out_record *record) {
    char key[RR_ID_SIZE + 64];
    rr_cells_out_key(job_id, key, sizeof key);
    rr_transaction_guard(transaction, key, version);
    if (!record) {
        rr_transaction_delete(transaction, key);
        return;
    }
    rr_encoder packed;
    rr_encoder_init(&packed);
    rr_cells_out_encode(record, &packed);
    rr_transaction_put(transaction, key, &packed, 0);
}

rr_out_record rr_cells_out_withdrawn(const rr_out_record *record, double wall) {
    rr_out_record withdrawn = *record;
    withdrawn.state = RR_HOME_LOCAL;
    withdrawn.withdrawn_at = wall;
    return withdrawn;
}

int rr_cells_out_decode(const msgpack_object *value, rr_out_record *out) {
    uint64_t claim = 0;
    int state = index_of(value, "state", home_states, G_N_ELEMENTS(home_states));
    memset(out, 0, sizeof *out);
    bool good = state >= 0 && rr_map_get_u64(value, "claim", &claim) && claim <= UINT32_MAX &&
                rr_map_get_text(value, "crew", out->team, sizeof out->team) &&
                rr_map_get_text(value, "guest", out->guest, sizeof out->guest) &&
                rr_map_get_number(value, "withdrawn", &out->withdrawn_at);
    out->state = state >= 0 ? (enum rr_home_state)state : RR_HOME_LOCAL;
    out->claim = (uint32_t)claim;
    return good ? 0 : -EBADMSG;
}

int rr_cells_in_decode(const msgpack_object *value, rr_in_record *out) {
    uint64_t claim = 0;
    int state = index_of(value, "state", guest_states, G_N_ELEMENTS(guest_states));
    int answer = index_of(value, "answer", answers, G_N_ELEMENTS(answers));
    memset(out, 0, sizeof *out);
    bool good = state >= 0 && answer >= 0 && rr_map_get_u64(value, "claim", &claim) &&
                claim <= UINT32_MAX &&
                rr_map_get_text(value, "crew", out->team, sizeof out->team) &&
                rr_map_get_text(value, "home", out->home, sizeof out->home) &&
                rr_map_get_text(value, "ref", out->job_id, sizeof out->job_id) &&
                rr_job_id_valid(out->job_id);
    out->state = state >= 0 ? (enum rr_guest_state)state : RR_GUEST_NONE;
    out->answer = answer >= 0 ? (enum rr_job_answer)answer : RR_ANSWER_NONE;
    out->claim = (uint32_t)claim;
    return good ? 0 : -EBADMSG;
}

void rr_cells_local_id(const char *home, const char *job_id, uint32_t claim, char *out,
                       size_t size) {
    char *whole = g_strdup_printf("%s/%s/%u", home, job_id, claim);
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 digest[32];
    gsize length = sizeof digest;
    uint64_t first = 0;
    g_checksum_update(sum, (const guchar *)whole, -1);
    g_checksum_get_digest(sum, digest, &length);
    memcpy(&first, digest, sizeof first);
    /* Users' names are "req-" and digits, and so is this, with as many as a number may have. */
    g_snprintf(out, size, "req-8%020" G_GUINT64_FORMAT, GUINT64_FROM_BE(first));
    g_checksum_free(sum);
    g_free(whole);
}
