#include "conf/conf.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static char first_error[320];
static const char *file_name;
static const rr_conf_number *checked;
static size_t checked_count;

static void on_error(cfg_t *config, const char *format, va_list arguments) {
    char what[200];
    vsnprintf(what, sizeof what, format, arguments);
    if (!first_error[0]) {
        snprintf(first_error, sizeof first_error, "%s:%d: %s", file_name, config ? config->line : 0,
                 strstr(what, RR_CONF_END_MARK) ? "a section is not closed" : what);
    }
}

static int check_number(cfg_t *config, cfg_opt_t *option) {
    double value = cfg_opt_getnfloat(option, cfg_opt_size(option) - 1);
    for (size_t i = 0; i < checked_count; i++) {
        const rr_conf_number *number = &checked[i];
        if (strcmp(number->name, cfg_opt_name(option)) == 0 &&
            !(value >= number->least && value <= number->most)) {
            cfg_error(config, "%s: must be between %g and %g", number->name, number->least,
                      number->most);
            return -1;
        }
    }
    return 0;
}

void rr_conf_list_numbers(const rr_conf_number *numbers, size_t count, cfg_opt_t *options) {
    for (size_t i = 0; i < count; i++) {
        cfg_opt_t number = CFG_FLOAT(NULL, 0, CFGF_NONE);
        options[i] = number;
        options[i].name = numbers[i].name;
        options[i].def.fpnumber = numbers[i].standard;
    }
}

static double *target(const rr_conf_number *number, void *out) {
    return (double *)(void *)((char *)out + number->offset);
}

void rr_conf_set_standards(const rr_conf_number *numbers, size_t count, void *out) {
    for (size_t i = 0; i < count; i++) {
        *target(&numbers[i], out) = numbers[i].standard;
    }
}

void rr_conf_read_numbers(cfg_t *config, const rr_conf_number *numbers, size_t count, void *out) {
    for (size_t i = 0; i < count; i++) {
        *target(&numbers[i], out) = cfg_getfloat(config, numbers[i].name);
    }
}

void rr_conf_begin(cfg_t *config, const char *file, const rr_conf_number *numbers, size_t count) {
    file_name = file;
    checked = numbers;
    checked_count = count;
    first_error[0] = 0;
    cfg_set_error_function(config, on_error);
    for (size_t i = 0; i < count; i++) {
        cfg_set_validate_func(config, numbers[i].name, check_number);
    }
}

/* libconfuse counts lines wrongly after comments from "#" or "//" to the end of a line, so those
 * are blanked before it sees them. */
static void blank_comments(char *text) {
    char quote = 0;
    bool comment = false;
    for (char *cursor = text; *cursor; cursor++) {
        if (*cursor == '\n') {
            comment = false;
        } else if (comment) {
            *cursor = ' ';
        } else if (quote) {
            bool escaped = *cursor == '\\' && cursor[1] && cursor[1] != '\n';
            if (*cursor == quote) {
                quote = 0;
            }
            cursor += escaped;
        } else if (*cursor == '"' || *cursor == '\'') {
            quote = *cursor;
        } else if (*cursor == '#' || (*cursor == '/' && cursor[1] == '/')) {
            comment = true;
            *cursor = ' ';
        }
    }
}

bool rr_conf_parse(cfg_t *config) {
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(file_name, &text, NULL, &error)) {
        snprintf(first_error, sizeof first_error, "%s: can't be read: %s", file_name,
                 error->message);
        g_error_free(error);
        return false;
    }
    blank_comments(text);
    char *marked = g_strconcat(text, "\n" RR_CONF_END_MARK " = true\n", NULL);
    int parsed = cfg_parse_buf(config, marked);
    g_free(marked);
    g_free(text);
    return parsed == CFG_SUCCESS;
}

const char *rr_conf_error(void) {
    return first_error;
}
