/* What the loaders of the operators' files (tuning, admission, cells) share. The files are read by
 * libconfuse, whose syntax is the nearest to HCL among the packaged parsers.
 *
 * libconfuse's callbacks have no user pointer, so that this module keeps its state in static
 * variables: files are read one after the other, before any thread starts. */
#ifndef RR_CONF_SETTINGS_FILE_H
#define RR_CONF_SETTINGS_FILE_H

#include "conf/settings_error.h"

#include <confuse.h>
#include <stdbool.h>
#include <stddef.h>

/* libconfuse takes the end of the file for the end of any section. An option that only the
 * outermost level knows, appended to the text, reveals a section that is not closed. Files with
 * sections list it among their options and are parsed by rr_settings_parse_with_sections(). */
#define RR_SETTINGS_END_MARK "end_of_settings"

enum rr_number_type { RR_NUMBER_REAL, RR_NUMBER_INTEGER };

/* A number on the outermost level of a file. */
typedef struct {
    const char *name;
    enum rr_number_type type;
    double default_value, min, max;
    size_t offset; /* of the double (RR_NUMBER_REAL) or int in the loader's struct */
} rr_number_setting;

/* Fills options[0..count) for these numbers. */
void rr_settings_list_numbers(const rr_number_setting *numbers, size_t count, cfg_opt_t *options);
/* Sets the numbers in the loader's struct to their defaults. */
void rr_settings_set_defaults(const rr_number_setting *numbers, size_t count, void *out);
/* Copies the parsed numbers into the loader's struct. */
void rr_settings_copy_numbers(cfg_t *config, const rr_number_setting *numbers, size_t count,
                              void *out);
/* The first number that is out of range; NULL: none. */
const rr_number_setting *rr_settings_find_out_of_range(cfg_t *config,
                                                       const rr_number_setting *numbers,
                                                       size_t count);

/* Starts a file: errors of the parser are kept for the functions below. */
void rr_settings_begin(cfg_t *config, const char *file);
/* Has the parser check the ranges of these numbers as it reads them, so that errors name the line.
 */
void rr_settings_check_ranges(cfg_t *config, const rr_number_setting *numbers, size_t count);
/* Parses the file. False: *error is set. */
bool rr_settings_parse(cfg_t *config, GError **error);
/* The same for a file with sections: unclosed ones are an error, and errors after comments have the
 * right line. */
bool rr_settings_parse_with_sections(cfg_t *config, GError **error);
/* For libconfuse's validation callbacks: makes the parser fail with this error in the line that it
 * reads. Returns -1. */
int rr_settings_reject(cfg_t *config, enum rr_settings_error code, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#endif
