/* A trace of the decisions, against which a rewrite is checked.
 *
 * The core, admission and the transfers between cells decide from what they are given alone: the
 * same events and times give the same output. This program plays seeded sequences of events into
 * them and keeps a hash of all that comes out: each transaction with its keys, guards and value
 * bytes, each command, answer, job state, rental and release. At checkpoints the hash goes into a
 * line, and the lines are compared with tests/fixtures/decision_trace.txt. A change that is not
 * meant to alter what the software does leaves every line as it is. An order that follows from
 * pointers differs from run to run: the fixture is written only if two runs agree.
 *
 * After a wanted change of behaviour the fixture is written anew, and the commit says why:
 *     target/tests/decision_trace --write tests/fixtures/decision_trace.txt
 *
 * `decision_trace FIXTURE` compares and prints the first line that differs: the steps since the
 * seed's checkpoint before are where to look. Some records hold decimals in binary, so the lines
 * are those of machines that compute in IEEE doubles without fused operations, such as x86-64. */
#include "trace_world.h"

#include <stdio.h>
#include <string.h>

#define ADMISSION_SEEDS 3
#define CELLS_SEEDS 4

static GString *play_all(void) {
    GString *out = g_string_new(NULL);
    for (unsigned seed = 1; seed <= TRACE_SEEDS; seed++) {
        trace_core_play(seed, out);
    }
    for (unsigned seed = 1; seed <= ADMISSION_SEEDS; seed++) {
        trace_admission_play(seed, out);
    }
    for (unsigned seed = 1; seed <= CELLS_SEEDS; seed++) {
        trace_cells_play(seed, out);
    }
    return out;
}

/* Prints the first line in which they differ. */
static bool same(const char *expected, const char *found, const char *what) {
    char **wanted = g_strsplit(expected, "\n", -1), **got = g_strsplit(found, "\n", -1);
    guint line = 0;
    while (wanted[line] && got[line] && strcmp(wanted[line], got[line]) == 0) {
        line++;
    }
    bool equal = !wanted[line] && !got[line];
    if (!equal) {
        printf("%s, line %u:\n  expected %s\n  found    %s\n", what, line + 1,
               wanted[line] ? wanted[line] : "(end)", got[line] ? got[line] : "(end)");
    }
    g_strfreev(wanted);
    g_strfreev(got);
    return equal;
}

static bool compare(const char *file, const char *found) {
    char *expected = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(file, &expected, NULL, &error)) {
        printf("%s\n", error->message);
        g_error_free(error);
        return false;
    }
    bool equal = same(expected, found, file);
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

/* Played again, with everything elsewhere in memory. */
static bool agrees_with_itself(const char *found) {
    GString *again = play_all();
    bool good = same(found, again->str, "two runs of this program");
    g_string_free(again, TRUE);
    return good;
}

int main(int argc, char **argv) {
    bool writes = argc == 3 && strcmp(argv[1], "--write") == 0;
    if (argc != 2 && !writes) {
        fprintf(stderr, "usage: decision_trace FIXTURE | decision_trace --write FILE\n");
        return 2;
    }
    GString *found = play_all();
    bool good = writes ? agrees_with_itself(found->str) && write_file(argv[2], found->str)
                       : compare(argv[1], found->str);
    g_string_free(found, TRUE);
    return good ? 0 : 1;
}
