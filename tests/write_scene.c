/* Prints the records and frames of scene_play() as this version writes them. When a version goes
 * into production, its output becomes the fixture that later versions must read:
 *
 *   target/tests/write_scene > tests/fixtures/production.txt
 */
#include "scene.h"

#include <stdio.h>

int main(void) {
    GString *out = scene_play();
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    return 0;
}
