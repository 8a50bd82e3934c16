/* The parts of the key-value store's limits; times only pass here as the calls themselves take. */
#include "core_fixture.h"
#include "core/leadership.h"

#include "store/store.h"

/* Users' changes come in bursts that reach one controller, and users wait for them: a second's
 * worth goes at once and is owed. Plans and the autoscaler wait for theirs. */
static void users_may_owe_a_second(void **state) {
    (void)state;
    rr_budget *budget = rr_budget_create(1e6, 10);
    static const struct rr_budget_shares parts = {1, 0.4, 0.4, 0.2};
    rr_budget_set_shares(budget, &parts);
    assert_int_equal(rr_budget_take(budget, RR_REQUEST_READ, 0, 5),
                     0); /* requests are no matter here */
    int users = 0, plans = 0;
    for (int i = 0; i < 8; i++) {
        users += rr_budget_take(budget, RR_REQUEST_USER, 1, 0) == 0;
        plans += rr_budget_take(budget, RR_REQUEST_PLAN, 4, 0) == 0;
    }
    assert_true(users >= 3 && users < 8); /* 0.9 x 10 x 0.4 a second */
    assert_int_equal(plans, 0);
    rr_budget_destroy(budget);
}

/* The present limits are used until three refusals in a row show that the next ones hold; then the
 * parts follow those. One refusal says nothing. */
static void the_next_limits(void **state) {
    (void)state;
    static const struct rr_budget_shares parts = {1, 0.4, 0.4, 0.2};
    for (int refusals = 1; refusals <= 3; refusals += 2) {
        rr_budget *budget = rr_budget_create(1e6, 1000);
        rr_budget_set_shares(budget, &parts);
        rr_budget_set_next_limits(budget, 1e6, 1);
        for (int i = 0; i < refusals; i++) {
            rr_budget_request_refused(budget);
        }
        rr_budget_set_shares(budget, &parts); /* a new term keeps them */
        assert_int_equal(rr_budget_take(budget, RR_REQUEST_READ, 0, 5), 0);
        int taken = 0;
        for (int i = 0; i < 40; i++) { /* 0.4 of 900 a second, or of 0.9 */
            taken += rr_budget_take(budget, RR_REQUEST_USER, 1, 0.05) == 0;
        }
        assert_true(refusals == 1 ? taken == 40 : taken < 5);
        rr_budget_destroy(budget);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(users_may_owe_a_second),
                                       cmocka_unit_test(the_next_limits)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
