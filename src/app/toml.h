/* The platform's TOML file, read through toml++ (no C parser is packaged). Paths are like
 * "seeds[0].endpoint". */
#ifndef RR_APP_TOML_H
#define RR_APP_TOML_H

#include "conf/settings_error.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rr_toml rr_toml;

/* Parses the file. NULL: *error is set. The caller ends the table with rr_toml_destroy(). */
rr_toml *rr_toml_load(const char *file, GError **error);
/* NULL is allowed. */
void rr_toml_destroy(rr_toml *table);
/* Copies a text. 0, -ENOENT, or -EINVAL: another type, too long, or with a NUL byte. */
int rr_toml_text(const rr_toml *table, const char *path, char *out, size_t size);
/* Reads a number. 0, -ENOENT, or -EINVAL: another type or not finite. */
int rr_toml_number(const rr_toml *table, const char *path, double *out);
/* Whether there is a table. 0, -ENOENT, or -EINVAL: something else. */
int rr_toml_table(const rr_toml *table, const char *path);
/* The number of tables in an array of tables; 0: missing; -EINVAL: something else. */
int rr_toml_count(const rr_toml *table, const char *path);
/* The line on which the value begins; 0: there is no such value. */
unsigned rr_toml_line(const rr_toml *table, const char *path);

#ifdef __cplusplus
}
#endif

#endif
