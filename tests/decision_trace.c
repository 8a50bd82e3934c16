/* A regression test that a change leaves every decision as it was.
 *
 * The core, admission and the transfers between cells are deterministic: the same events at the
 * same times give the same output. This program runs seeded sequences of events through them and
 * hashes all output: each transaction with its keys, guards and value bytes, each command, reply,
 * job state, rental and release. At checkpoints the hash is written to a line, and the lines are
 * compared with tests/fixtures/decision_trace.txt. A change that is not meant to alter behaviour
 * leaves every line as it is.
 *
 * `decision_trace FIXTURE` compares and prints the first line that differs: the cause lies in the
 * steps since the previous checkpoint of that seed.
 *
 * After an intended change of behaviour the fixture is rewritten, and the commit says why:
 *     target/tests/decision_trace --write tests/fixtures/decision_trace.txt
 * It is written only if two runs agree, since an order that depends on pointers differs from run to
 * run.
 *
 * Some records hold decimals in binary, so the fixture is valid for machines that compute in IEEE
 * doubles, such as x86-64 and arm64; the build switches fused operations off. */
#include "trace_world.h"

#include <stdio.h>
#include <string.h>

#define ADMISSION_SEEDS 3
#define CELLS_SEEDS 4

/* Returns the lines of all seeds, which the caller frees. */
static GString *run_all_seeds(void) {
    GString *out = g_string_new(NULL);
    for (unsigned seed = 1; seed <= TRACE_SEEDS; seed++) {
        trace_run_core(seed, out);
    }
    for (unsigned seed = 1; seed <= ADMISSION_SEEDS; seed++) {
        trace_run_admission(seed, out);
    }
    for (unsigned seed = 1; seed <= CELLS_SEEDS; seed++) {
        trace_run_cells(seed, out);
    }
    return out;
}

/* Returns whether the texts are equal, and prints the first line that differs. source: name of the
 * texts in that message. */
static bool compare_lines(const char *expected, const char *found, const char *source) {
    char **expected_lines = g_strsplit(expected, "\n", -1),
         **found_lines = g_strsplit(found, "\n", -1);
    guint line = 0;
    while (expected_lines[line] && found_lines[line] &&
           strcmp(expected_lines[line], found_lines[line]) == 0) {
        line++;
    }
    bool equal = !expected_lines[line] && !found_lines[line];
    if (!equal) {
        printf("%s, line %u:\n  expected %s\n  found    %s\n", source, line + 1,
               expected_lines[line] ? expected_lines[line] : "(end)",
               found_lines[line] ? found_lines[line] : "(end)");
    }
    g_strfreev(expected_lines);
    g_strfreev(found_lines);
    return equal;
}

static bool compare_with_file(const char *file, const char *found) {
    char *expected = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(file, &expected, NULL, &error)) {
        printf("%s\n", error->message);
        g_error_free(error);
        return false;
    }
    bool equal = compare_lines(expected, found, file);
    g_free(expected);
    return equal;
}

static bool write_file(const char *file, const char *found) {
    GError *error = NULL;
    if (!g_file_set_contents(file, found, -1, &error)) {
        printf("%s\n", error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

/* Runs all seeds again, now with different addresses in memory, and compares the lines. */
static bool compare_with_second_run(const char *found) {
    GString *again = run_all_seeds();
    bool success = compare_lines(found, again->str, "two runs of this program");
    g_string_free(again, TRUE);
    return success;
}

int main(int argc, char **argv) {
    bool write_mode = argc == 3 && strcmp(argv[1], "--write") == 0;
    if (argc != 2 && !write_mode) {
        fprintf(stderr, "usage: decision_trace FIXTURE | decision_trace --write FILE\n");
        return 2;
    }
    GString *found = run_all_seeds();
    bool success = write_mode
                       ? compare_with_second_run(found->str) && write_file(argv[2], found->str)
                       : compare_with_file(argv[1], found->str);
    g_string_free(found, TRUE);
    return success ? 0 : 1;
}
