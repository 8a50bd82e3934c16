/* Writes the scene's records and frames as this version makes them, to become the fixture when it
 * goes into production: target/tests/write_scene > tests/fixtures/production.txt */
#include "scene.h"

#include <stdio.h>

int main(void) {
    GString *out = scene_play();
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    return 0;
}
