/* Reads TOML files through the C++ library toml++, because no C parser is packaged. A path names a
 * value in the document, such as "seeds[0].endpoint". */
#ifndef RR_APP_TOML_H
#define RR_APP_TOML_H

#include "conf/settings_error.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A parsed file. */
typedef struct rr_toml_document rr_toml_document;

/* Parses the file. Returns NULL and sets *error on failure. The caller frees the document with
 * rr_toml_destroy(). */
rr_toml_document *rr_toml_load(const char *file, GError **error);
/* Frees the document, which may be NULL. */
void rr_toml_destroy(rr_toml_document *document);

/* Copies the string to out, a buffer of size bytes. Returns 0, -ENOENT if there is no value
 * at the path, or -EINVAL if the value has another type, contains a NUL byte, or does not fit
 * together with a final NUL. */
int rr_toml_read_string(const rr_toml_document *document, const char *path, char *out, size_t size);
/* Reads an integer or floating-point number. Returns 0, -ENOENT if there is no value at the path,
 * or -EINVAL if the value has another type or is not finite. */
int rr_toml_read_number(const rr_toml_document *document, const char *path, double *out);
/* Returns 0 if the value is a table, -ENOENT if there is no value at the path, or -EINVAL if the
 * value has another type. */
int rr_toml_check_table(const rr_toml_document *document, const char *path);
/* Returns the number of tables in an array of tables; 0 if there is no value at the path; -EINVAL
 * if it has another type. */
int rr_toml_count_tables(const rr_toml_document *document, const char *path);
/* Returns the line, from 1, on which the value begins; 0 if there is no value at the path. */
unsigned rr_toml_find_line(const rr_toml_document *document, const char *path);

#ifdef __cplusplus
}
#endif

#endif
