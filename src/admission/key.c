/* Admission keys and the hashes of keys and jobs. */
#include "admission/key.h"

#include <stdlib.h>
#include <string.h>

/* FNV-1a's offset basis without its last digit. All controllers must derive the same ids, so it has
 * to stay. */
#define HASH_BASIS 1469598103934665603ULL
#define FNV_PRIME 1099511628211ULL
#define SEPARATOR 0x1f /* does not occur in names */

/* Continues an FNV-1a hash with a text and a separator. */
static uint64_t hash_text(uint64_t hash, const char *text) {
    for (; *text; text++) {
        hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
    }
    return (hash ^ SEPARATOR) * FNV_PRIME;
}

/* The finalizer of MurmurHash3. FNV-1a maps similar texts to nearby values, but positions on the
 * hash ring must be spread evenly. */
static uint64_t mix_bits(uint64_t hash) {
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ hash >> 33;
}

uint64_t rr_admission_hash_job_id(const char *job_id) {
    return mix_bits(hash_text(HASH_BASIS, job_id));
}

uint64_t rr_admission_default_row_id(const char *team, unsigned band) {
    return mix_bits((hash_text(hash_text(HASH_BASIS, "rest"), team) ^ band) * FNV_PRIME);
}

void rr_admission_key_set_id(rr_admission_key *key) {
    uint64_t hash = hash_text(hash_text(HASH_BASIS, key->team), key->job_class);
    hash = hash_text(hash_text(hash, key->zone), key->types);
    key->id = mix_bits((hash ^ key->band) * FNV_PRIME);
}

static int compare_texts(const void *left, const void *right) {
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Sets the key's machine types. If they do not fit, the key allows any type. Its share is then too
 * high at first; later tables lower it as its backlog grows. */
static void set_types(const rr_submission *submission, rr_admission_key *out) {
    const char *types[RR_MACHINE_TYPES_MAX];
    int count = submission->machine_type_count;
    for (int i = 0; i < count; i++) {
        types[i] = submission->machine_types[i];
    }
    if (count > 1) {
        qsort(types, (size_t)count, sizeof types[0], compare_texts);
    }
    for (int i = 0; i < count; i++) {
        if (g_strlcat(out->types, types[i], sizeof out->types) >= sizeof out->types - 1) {
            out->types[0] = 0;
            return;
        }
        g_strlcat(out->types, ",", sizeof out->types);
    }
}

void rr_admission_key_from_submission(const rr_submission *submission,
                                      const uint32_t band_limits[2], rr_admission_key *out) {
    memset(out, 0, sizeof *out);
    g_strlcpy(out->team, submission->team, sizeof out->team);
    g_strlcpy(out->job_class, submission->job_class, sizeof out->job_class);
    g_strlcpy(out->zone, submission->zone, sizeof out->zone);
    set_types(submission, out);
    out->band = (submission->task_count >= band_limits[0]) +
                (submission->task_count >= band_limits[1] ? 1U : 0U);
    rr_admission_key_set_id(out);
}

bool rr_admission_key_allows(const rr_admission_key *key, const char *type, const char *zone) {
    if (key->zone[0] && strcmp(key->zone, zone) != 0) {
        return false;
    }
    size_t length = strlen(type);
    for (const char *cursor = key->types; *cursor; cursor = strchr(cursor, ',') + 1) {
        if (strncmp(cursor, type, length) == 0 && cursor[length] == ',') {
            return true;
        }
    }
    return !key->types[0];
}
