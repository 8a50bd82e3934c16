/* Fixture of the core's tests: one controller, n0, in its first term, on a fake store with one
 * machine type, m1. */
#ifndef RR_TESTS_CORE_FIXTURE_H
#define RR_TESTS_CORE_FIXTURE_H

#include "controller_fixture.h"
#include "fake_store.h"

typedef struct {
    fake_store *store;
    test_controller controller;
} core_fixture;
/* cmocka set-up and teardown; *state is the core_fixture. */
int core_fixture_setup(void **state);
int core_fixture_teardown(void **state);

#endif
