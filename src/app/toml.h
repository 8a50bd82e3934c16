/* The platform's TOML file, read through toml++ (no C parser is packaged). Paths are like
 * "seeds[0].endpoint". */
#ifndef RR_APP_TOML_H
#define RR_APP_TOML_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rr_toml rr_toml;

rr_toml *rr_toml_load(const char *path, char *err, size_t size); /* NULL with a line in err */
void rr_toml_destroy(rr_toml *table);
/* 0, -ENOENT or -EINVAL (wrong type, too long, not finite). */
int rr_toml_text(const rr_toml *table, const char *path, char *out, size_t size);
int rr_toml_num(const rr_toml *table, const char *path, double *out);
/* Number of tables in an array of tables; 0 if missing, -EINVAL if it is something else. */
int rr_toml_table(const rr_toml *table,
                  const char *path); /* 0, -ENOENT, or -EINVAL: something else */
int rr_toml_count(const rr_toml *table, const char *path);

#ifdef __cplusplus
}
#endif

#endif
