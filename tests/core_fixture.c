#include "core_fixture.h"

int core_fixture_setup(void **state) {
    core_fixture *fixture = g_new0(core_fixture, 1);
    fixture->store = fake_store_create();
    fake_store_put_machine_type(fixture->store, "m1", 16, 4, 64, 10, 4);
    test_controller_init(&fixture->controller, fixture->store, "n0");
    test_controller_join(&fixture->controller, 7);
    *state = fixture;
    return 0;
}

int core_fixture_teardown(void **state) {
    core_fixture *fixture = *state;
    test_controller_clear(&fixture->controller);
    fake_store_destroy(fixture->store);
    g_free(fixture);
    return 0;
}
