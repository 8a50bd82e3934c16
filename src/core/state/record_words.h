/* Field names and values of the records that the core defines itself, each next to the code's term
 * for it. Records with the form of a message use the names of wire/wire_words.h. The strings are
 * stored data: changing one makes existing records unreadable. */
#ifndef RR_CORE_STATE_RECORD_WORDS_H
#define RR_CORE_STATE_RECORD_WORDS_H

/* ---- jobs and job batches ---- */
#define RR_RECORD_ACCEPTED_AT "at" /* time of day, seconds */
#define RR_RECORD_CANCELLED "cancelled"
#define RR_RECORD_FINAL "final"
#define RR_RECORD_FINAL_DONE "done" /* value of RR_RECORD_FINAL */
#define RR_RECORD_JOBS "jobs"

/* ---- placement ledger ---- */
#define RR_RECORD_DONE_BITMAP "bits" /* hexadecimal digits, one bit per task of the chunk */
#define RR_RECORD_ZONE "zone"
#define RR_RECORD_PLACEMENTS "tasks"

/* ---- controller sessions and the term ---- */
#define RR_RECORD_CAPABILITIES "able"
#define RR_RECORD_KEEPS_HOLDS "holds" /* the controller supports transfer holds */
#define RR_RECORD_FENCING_TOKEN "token"
#define RR_RECORD_FIRST_TERM_AT "born" /* start of the first term */
#define RR_RECORD_MEMBERS "nodes"

/* ---- machine rentals ---- */
#define RR_RECORD_RENTAL_COUNT "n" /* machines requested */

#endif
