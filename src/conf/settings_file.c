#include "conf/settings_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define MESSAGE_SIZE 200 /* buffer size in bytes, with the NUL */

/* The state of the file that is being read. */
static const char *file_name;
static GError *first_error; /* NULL: none so far */
/* Whether rr_settings_reject() is reporting an error, and that error's code. */
static bool rejecting;
static enum rr_settings_error reject_code;
/* The numbers whose ranges are checked during parsing. */
static const rr_number_setting *checked_numbers;
static size_t checked_count;

/* ---- parser errors ---- */

/* Derives the error code from the message, because libconfuse reports nothing else. */
static enum rr_settings_error classify_parser_message(const char *message) {
    if (strstr(message, RR_SETTINGS_END_MARK)) {
        return RR_SETTINGS_ERROR_SYNTAX;
    }
    if (g_str_has_prefix(message, "no such option")) {
        return RR_SETTINGS_ERROR_UNKNOWN_NAME;
    }
    if (g_str_has_prefix(message, "invalid ")) {
        return RR_SETTINGS_ERROR_WRONG_TYPE;
    }
    return RR_SETTINGS_ERROR_SYNTAX;
}

/* Keeps the first error of a file; libconfuse calls this for each. */
static void on_parser_error(cfg_t *config, const char *format, va_list arguments) {
    char message[MESSAGE_SIZE];
    vsnprintf(message, sizeof message, format, arguments);
    if (!first_error) {
        const char *reason =
            strstr(message, RR_SETTINGS_END_MARK) ? "a section is not closed" : message;
        g_set_error(&first_error, RR_SETTINGS_ERROR,
                    (int)(rejecting ? reject_code : classify_parser_message(message)), "%s:%d: %s",
                    file_name, config ? config->line : 0, reason);
    }
}

int rr_settings_reject(cfg_t *config, enum rr_settings_error code, const char *format, ...) {
    char message[MESSAGE_SIZE];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(message, sizeof message, format, arguments);
    va_end(arguments);
    rejecting = true;
    reject_code = code;
    cfg_error(config, "%s", message);
    rejecting = false;
    return -1;
}

/* ---- numeric settings ---- */

static bool is_in_range(const rr_number_setting *number, double value) {
    return value >= number->min && value <= number->max;
}

/* Validation callback of libconfuse: checks the range of the number just read. */
static int check_number(cfg_t *config, cfg_opt_t *option) {
    double value = cfg_opt_getnfloat(option, cfg_opt_size(option) - 1);
    for (size_t i = 0; i < checked_count; i++) {
        const rr_number_setting *number = &checked_numbers[i];
        if (strcmp(number->name, cfg_opt_name(option)) == 0 && !is_in_range(number, value)) {
            return rr_settings_reject(config, RR_SETTINGS_ERROR_OUT_OF_RANGE,
                                      "%s: must be between %g and %g", number->name, number->min,
                                      number->max);
        }
    }
    return 0;
}

void rr_settings_fill_number_options(const rr_number_setting *numbers, size_t count,
                                     cfg_opt_t *options) {
    for (size_t i = 0; i < count; i++) {
        cfg_opt_t real = CFG_FLOAT(NULL, 0, CFGF_NONE), integer = CFG_INT(NULL, 0, CFGF_NONE);
        bool is_integer = numbers[i].type == RR_NUMBER_INTEGER;
        options[i] = is_integer ? integer : real;
        options[i].name = numbers[i].name;
        options[i].def.fpnumber = is_integer ? 0 : numbers[i].default_value;
        options[i].def.number = is_integer ? (long)numbers[i].default_value : 0;
    }
}

static void set_number(const rr_number_setting *number, void *out, double value) {
    void *target = (char *)out + number->offset;
    if (number->type == RR_NUMBER_INTEGER) {
        *(int *)target = (int)value;
    } else {
        *(double *)target = value;
    }
}

static double get_parsed_number(cfg_t *config, const rr_number_setting *number) {
    return number->type == RR_NUMBER_INTEGER ? (double)cfg_getint(config, number->name)
                                             : cfg_getfloat(config, number->name);
}

void rr_settings_set_defaults(const rr_number_setting *numbers, size_t count, void *out) {
    for (size_t i = 0; i < count; i++) {
        set_number(&numbers[i], out, numbers[i].default_value);
    }
}

void rr_settings_copy_numbers(cfg_t *config, const rr_number_setting *numbers, size_t count,
                              void *out) {
    for (size_t i = 0; i < count; i++) {
        set_number(&numbers[i], out, get_parsed_number(config, &numbers[i]));
    }
}

const rr_number_setting *rr_settings_find_out_of_range(cfg_t *config,
                                                       const rr_number_setting *numbers,
                                                       size_t count) {
    for (size_t i = 0; i < count; i++) {
        if (!is_in_range(&numbers[i], get_parsed_number(config, &numbers[i]))) {
            return &numbers[i];
        }
    }
    return NULL;
}

/* ---- parsing ---- */

void rr_settings_prepare_parser(cfg_t *config, const char *file) {
    file_name = file;
    checked_count = 0;
    g_clear_error(&first_error);
    cfg_set_error_function(config, on_parser_error);
}

void rr_settings_check_ranges(cfg_t *config, const rr_number_setting *numbers, size_t count) {
    checked_numbers = numbers;
    checked_count = count;
    for (size_t i = 0; i < count; i++) {
        cfg_set_validate_func(config, numbers[i].name, check_number);
    }
}

/* Moves the kept error to *error if parsing has failed. Returns whether it succeeded. */
static bool finish_parse(int result, GError **error) {
    if (result != CFG_SUCCESS && !first_error) {
        g_set_error(&first_error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_SYNTAX, "%s: syntax error",
                    file_name);
    }
    if (result != CFG_SUCCESS) {
        g_propagate_error(error, first_error);
        first_error = NULL;
    }
    return result == CFG_SUCCESS;
}

bool rr_settings_parse(cfg_t *config, GError **error) {
    int result = cfg_parse(config, file_name);
    if (result == CFG_FILE_ERROR) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_UNREADABLE,
                    "%s: cannot be read: %s", file_name, strerror(errno));
        return false;
    }
    return finish_parse(result, error);
}

/* Overwrites comments that extend from "#" or "//" to the end of the line with spaces, because
 * libconfuse miscounts lines after them. Leaves quoted strings unchanged. */
static void blank_comments(char *text) {
    char quote = 0;
    bool in_comment = false;
    for (char *cursor = text; *cursor; cursor++) {
        if (*cursor == '\n') {
            in_comment = false;
        } else if (in_comment) {
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
            in_comment = true;
            *cursor = ' ';
        }
    }
}

bool rr_settings_parse_with_sections(cfg_t *config, GError **error) {
    char *text = NULL;
    GError *read_error = NULL;
    if (!g_file_get_contents(file_name, &text, NULL, &read_error)) {
        g_set_error(error, RR_SETTINGS_ERROR, RR_SETTINGS_ERROR_UNREADABLE,
                    "%s: cannot be read: %s", file_name, read_error->message);
        g_error_free(read_error);
        return false;
    }
    blank_comments(text);
    char *text_with_marker = g_strconcat(text, "\n" RR_SETTINGS_END_MARK " = true\n", NULL);
    int result = cfg_parse_buf(config, text_with_marker);
    g_free(text_with_marker);
    g_free(text);
    return finish_parse(result, error);
}
