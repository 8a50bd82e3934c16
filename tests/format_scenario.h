/* A fixed sequence of events that leaves every kind of record in the store, and one frame of
 * several kinds between controllers. Its output shows the formats that this version writes;
 * tests/fixtures/production.txt holds the output of the version in production. */
#ifndef RR_TESTS_FORMAT_SCENARIO_H
#define RR_TESTS_FORMAT_SCENARIO_H

#include <glib.h>

/* Runs the sequence. Returns every record of the store, one a line (fake_store_dump()), and a last
 * line with the frames in hexadecimal digits. The caller frees the string. */
GString *run_format_scenario(void);

#endif
