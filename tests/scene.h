/* A fixed scene that leaves every kind of record in the store and every kind of frame between
 * controllers: what this version writes, as text. tests/fixtures/ has it as the production version
 * wrote it. */
#ifndef RR_TESTS_SCENE_H
#define RR_TESTS_SCENE_H

#include <glib.h>

/* Plays the scene. Returns the store's records, a line each, and a last line with the frames; the
 * caller frees it. */
GString *scene_play(void);

#endif
