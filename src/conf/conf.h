/* The operators' switching files (admission, cells): read by libconfuse, whose form is the nearest
 * kin of HCL that is packaged. What the files' readers have in common: one error, with file and
 * line; numbers with bounds.
 *
 * libconfuse's callbacks have no user pointer, so this keeps its state in static variables: files
 * are read one after the other, before any thread starts. */
#ifndef RR_CONF_CONF_H
#define RR_CONF_CONF_H

#include <confuse.h>
#include <stdbool.h>
#include <stddef.h>

/* libconfuse takes the end of the file for the end of any section. An option that only the
 * outermost level knows, put after the text, shows a section that was not closed: each reader lists
 * it. */
#define RR_CONF_END_MARK "end_of_settings"

/* A number of the outermost level. */
typedef struct {
    const char *name;
    double standard, least, most;
    size_t offset; /* of the double in the reader's struct */
} rr_conf_number;

/* Fills the options of these numbers. */
void rr_conf_list_numbers(const rr_conf_number *numbers, size_t count, cfg_opt_t *options);
void rr_conf_set_standards(const rr_conf_number *numbers, size_t count, void *out);
void rr_conf_read_numbers(cfg_t *config, const rr_conf_number *numbers, size_t count, void *out);

/* Before parsing: errors are kept, and these numbers checked. */
void rr_conf_begin(cfg_t *config, const char *file, const rr_conf_number *numbers, size_t count);
/* False: rr_conf_error() has one line that names file, line and reason. */
bool rr_conf_parse(cfg_t *config);
const char *rr_conf_error(void);

#endif
