/* Shared parts of the loaders of the operators' files (tuning, admission, cells). The files are
 * parsed by libconfuse, whose syntax is the closest to HCL among the packaged parsers.
 *
 * libconfuse passes no user pointer to its callbacks, so this module keeps its state in static
 * variables. Files must therefore be loaded one after the other, before any other thread starts. */
#ifndef RR_CONF_SETTINGS_FILE_H
#define RR_CONF_SETTINGS_FILE_H

#include "conf/settings_error.h"

#include <confuse.h>
#include <stdbool.h>
#include <stddef.h>

/* The name of a marker option that detects unclosed sections. libconfuse accepts the end of the
 * file as the end of any section. rr_settings_parse_with_sections() appends this option, which only
 * the top level knows, so that it is an unknown option within a section that is not closed. Loaders
 * of files with sections must list it among their top-level options. */
#define RR_SETTINGS_END_MARK "end_of_settings"

enum rr_number_type { RR_NUMBER_REAL, RR_NUMBER_INTEGER };

/* A numeric setting at the top level of a file. */
typedef struct {
    const char *name;
    enum rr_number_type type;
    double default_value;
    double min, max; /* the allowed range, both included */
    size_t offset;   /* of the double (RR_NUMBER_REAL) or int (RR_NUMBER_INTEGER) in the loader's
                        struct */
} rr_number_setting;

/* Fills options[0] to options[count - 1] with libconfuse options for the numbers. */
void rr_settings_fill_number_options(const rr_number_setting *numbers, size_t count,
                                     cfg_opt_t *options);
/* Sets the numbers in *out, the loader's struct, to their defaults. */
void rr_settings_set_defaults(const rr_number_setting *numbers, size_t count, void *out);
/* Copies the parsed numbers to *out, the loader's struct. */
void rr_settings_copy_numbers(cfg_t *config, const rr_number_setting *numbers, size_t count,
                              void *out);
/* Returns the first number whose parsed value is out of range; NULL: none. */
const rr_number_setting *rr_settings_find_out_of_range(cfg_t *config,
                                                       const rr_number_setting *numbers,
                                                       size_t count);

/* Prepares the parser for a file, whose name must outlive the parsing. Discards the errors of the
 * previous file; from here on the parser's errors are kept for the functions below. */
void rr_settings_prepare_parser(cfg_t *config, const char *file);
/* Makes the parser check the ranges of these numbers, all RR_NUMBER_REAL, while it reads them, so
 * that errors name the line. The array must outlive the parsing. To be called after
 * rr_settings_prepare_parser(). */
void rr_settings_check_ranges(cfg_t *config, const rr_number_setting *numbers, size_t count);
/* Parses the file. Returns false and sets *error on failure. */
bool rr_settings_parse(cfg_t *config, GError **error);
/* Parses a file with sections. In addition to rr_settings_parse(), it rejects unclosed sections,
 * and the line numbers of errors that follow comments are correct. */
bool rr_settings_parse_with_sections(cfg_t *config, GError **error);
/* Makes the parser fail with this error at its current line. Returns -1, which libconfuse's
 * validation callbacks return for an invalid value. */
int rr_settings_reject(cfg_t *config, enum rr_settings_error code, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#endif
