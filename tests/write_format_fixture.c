/* Prints the records and frames of run_format_scenario() as this version writes them. When a
 * version goes into production, its output becomes the fixture that later versions must read:
 *
 *   target/tests/write_format_fixture > tests/fixtures/production.txt
 */
#include "format_scenario.h"

#include <stdio.h>

int main(void) {
    GString *out = run_format_scenario();
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    return 0;
}
