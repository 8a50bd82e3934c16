/* Field names of the core's own records in the key-value store, each once, beside the code's term.
 * Records that have the form of a message use the words of wire/wire_words.h. Changing one changes
 * what is stored. */
#ifndef RR_CORE_STATE_RECORD_WORDS_H
#define RR_CORE_STATE_RECORD_WORDS_H

/* ---- jobs, and batches of them ---- */
#define RR_RECORD_ACCEPTED_AT "at"
#define RR_RECORD_CANCELLED "cancelled"
#define RR_RECORD_FINAL "final"
#define RR_RECORD_FINAL_DONE "done" /* value of RR_RECORD_FINAL */
#define RR_RECORD_JOBS "jobs"

/* ---- ledger ---- */
#define RR_RECORD_DONE_BITS "bits" /* hexadecimal, a bit for each task of the chunk */
#define RR_RECORD_ZONE "zone"
#define RR_RECORD_PLACEMENTS "tasks"

/* ---- sessions and the term ---- */
#define RR_RECORD_CAPABILITIES "able"
#define RR_RECORD_KEEPS_HOLDS "holds"
#define RR_RECORD_FENCING_TOKEN "token"
#define RR_RECORD_FIRST_TERM_AT "born"
#define RR_RECORD_MEMBERS "nodes"

/* ---- rentals ---- */
#define RR_RECORD_RENTAL_COUNT "n"

#endif
