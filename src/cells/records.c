#include "cells/records.h"
#include "core/state/transaction.h"
#include "wire/wire_words.h"

#include <errno.h>
#include <string.h>

#define SHA256_BYTES 32

/* Names of the stored fields. */
#define FIELD_GUEST "guest"
#define FIELD_HOME "home"
#define FIELD_STATE "state"
#define FIELD_CLAIM "claim"
#define FIELD_WITHDRAWN_AT "withdrawn"
#define FIELD_ANSWER "answer"

/* Stored values, in the order of enum rr_home_state, rr_guest_state and rr_job_answer. */
static const char *const home_state_names[] = {"local", "offered", "final"};
static const char *const guest_state_names[] = {"none", "held", "ended"};
static const char *const answer_names[] = {"none", "done", "cancelled"};

/* Returns the index among `names` of the text under this key, or -1. */
static int get_name_index(const msgpack_object *value, const char *key, const char *const *names,
                          int count) {
    return rr_object_find_name(rr_map_get(value, key), names, count);
}

void rr_cells_outgoing_key(const char *job_id, char *out, size_t size) {
    g_snprintf(out, size, RR_CELLS_KEY_PREFIX RR_CELLS_OUTGOING_PREFIX "%s", job_id);
}

void rr_cells_incoming_key(const char *local_id, char *out, size_t size) {
    g_snprintf(out, size, RR_CELLS_KEY_PREFIX RR_CELLS_INCOMING_PREFIX "%s", local_id);
}

void rr_cells_outgoing_encode(const rr_outgoing_record *record, rr_encoder *out) {
    rr_encode_map(out, 5);
    rr_encode_key_text(out, RR_WORD_TEAM, record->team);
    rr_encode_key_text(out, FIELD_GUEST, record->guest);
    rr_encode_key_text(out, FIELD_STATE, home_state_names[record->state]);
    rr_encode_key_u64(out, FIELD_CLAIM, record->claim);
    rr_encode_key_number(out, FIELD_WITHDRAWN_AT, record->withdrawn_at);
}

void rr_cells_incoming_encode(const rr_incoming_record *record, rr_encoder *out) {
    rr_encode_map(out, 6);
    rr_encode_key_text(out, RR_WORD_TEAM, record->team);
    rr_encode_key_text(out, FIELD_HOME, record->home);
    rr_encode_key_text(out, RR_WORD_JOB_ID, record->job_id);
    rr_encode_key_text(out, FIELD_STATE, guest_state_names[record->state]);
    rr_encode_key_u64(out, FIELD_CLAIM, record->claim);
    rr_encode_key_text(out, FIELD_ANSWER, answer_names[record->answer]);
}

void rr_cells_outgoing_add_write(rr_transaction *transaction, const char *job_id, uint64_t version,
                                 const rr_outgoing_record *record) {
    char key[RR_CELLS_KEY_SIZE];
    rr_cells_outgoing_key(job_id, key, sizeof key);
    rr_transaction_guard(transaction, key, version);
    if (!record) {
        rr_transaction_delete(transaction, key);
        return;
    }
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_cells_outgoing_encode(record, &encoder);
    rr_transaction_put(transaction, key, &encoder, 0);
}

rr_outgoing_record rr_cells_outgoing_withdraw(const rr_outgoing_record *record, double wall) {
    rr_outgoing_record withdrawn = *record;
    withdrawn.state = RR_HOME_LOCAL;
    withdrawn.withdrawn_at = wall;
    return withdrawn;
}

int rr_cells_outgoing_decode(const msgpack_object *value, rr_outgoing_record *out) {
    uint64_t claim = 0;
    int state =
        get_name_index(value, FIELD_STATE, home_state_names, G_N_ELEMENTS(home_state_names));
    memset(out, 0, sizeof *out);
    bool readable = state >= 0 && rr_map_get_u64(value, FIELD_CLAIM, &claim) &&
                    claim <= UINT32_MAX &&
                    rr_map_get_text(value, RR_WORD_TEAM, out->team, sizeof out->team) &&
                    rr_map_get_text(value, FIELD_GUEST, out->guest, sizeof out->guest) &&
                    rr_map_get_number(value, FIELD_WITHDRAWN_AT, &out->withdrawn_at);
    out->state = state >= 0 ? (enum rr_home_state)state : RR_HOME_LOCAL;
    out->claim = (uint32_t)claim;
    return readable ? 0 : -EBADMSG;
}

int rr_cells_incoming_decode(const msgpack_object *value, rr_incoming_record *out) {
    uint64_t claim = 0;
    int state =
        get_name_index(value, FIELD_STATE, guest_state_names, G_N_ELEMENTS(guest_state_names));
    int answer = get_name_index(value, FIELD_ANSWER, answer_names, G_N_ELEMENTS(answer_names));
    memset(out, 0, sizeof *out);
    bool readable = state >= 0 && answer >= 0 && rr_map_get_u64(value, FIELD_CLAIM, &claim) &&
                    claim <= UINT32_MAX &&
                    rr_map_get_text(value, RR_WORD_TEAM, out->team, sizeof out->team) &&
                    rr_map_get_text(value, FIELD_HOME, out->home, sizeof out->home) &&
                    rr_map_get_text(value, RR_WORD_JOB_ID, out->job_id, sizeof out->job_id) &&
                    rr_job_id_valid(out->job_id);
    out->state = state >= 0 ? (enum rr_guest_state)state : RR_GUEST_NONE;
    out->answer = answer >= 0 ? (enum rr_job_answer)answer : RR_ANSWER_NONE;
    out->claim = (uint32_t)claim;
    return readable ? 0 : -EBADMSG;
}

void rr_cells_make_local_id(const char *home, const char *job_id, uint32_t claim, char *out,
                            size_t size) {
    char *claim_name = g_strdup_printf("%s/%s/%u", home, job_id, claim);
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 digest[SHA256_BYTES];
    gsize length = sizeof digest;
    uint64_t digest_prefix = 0;
    g_checksum_update(checksum, (const guchar *)claim_name, -1);
    g_checksum_get_digest(checksum, digest, &length);
    memcpy(&digest_prefix, digest, sizeof digest_prefix);
    /* The form of every job id, with the 20 digits that a 64-bit number may have. */
    g_snprintf(out, size, "req-8%020" G_GUINT64_FORMAT, GUINT64_FROM_BE(digest_prefix));
    g_checksum_free(checksum);
    g_free(claim_name);
}
