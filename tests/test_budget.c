/* The budget of requests and changes to the key-value store. It reads the steady clock itself, so
 * time passes here only as the calls take it. */
#include "core/leadership.h"
#include "core_fixture.h"

#include "store/store.h"

#define UNLIMITED_RPS 1e6
#define WAIT_FOR_FIRST_TOKENS_S 5

/* Users have 0.4 of the changes, as of those that are used of the store's limit (0.9 of it). */
static const struct rr_budget_shares shares = {
    .requests = 1, .users = 0.4, .plans = 0.4, .autoscaler = 0.2};

/* A budget in which requests are plentiful and some are there from the start. */
static rr_budget *budget_for_writes(double write_rps) {
    rr_budget *budget = rr_budget_create(UNLIMITED_RPS, write_rps);
    rr_budget_set_shares(budget, &shares);
    return budget;
}

static void wait_for_requests(rr_budget *budget) {
    assert_int_equal(rr_budget_take(budget, RR_REQUEST_READ, 0, WAIT_FOR_FIRST_TOKENS_S), 0);
}

/* Users' changes come in bursts that reach one controller, and users wait for them. */
static void users_may_owe_a_second_of_changes_and_plans_may_not(void **state) {
    (void)state;
    rr_budget *budget = budget_for_writes(10);
    wait_for_requests(budget);
    int users = 0, plans = 0;
    for (int i = 0; i < 8; i++) {
        users += rr_budget_take(budget, RR_REQUEST_USER, 1, 0) == 0;
        plans += rr_budget_take(budget, RR_REQUEST_PLAN, 4, 0) == 0;
    }
    assert_true(users >= 3 && users < 8); /* 0.9 x 10 x 0.4 a second */
    assert_int_equal(plans, 0);
    rr_budget_destroy(budget);
}

/* How many of 40 user changes go within 0.05 s each, after so many refusals in a row under limits
 * of 1,000 changes a second with a limit of 1 announced: 0.4 of 900 a second, or of 0.9. */
static int changes_taken_after(int refusals) {
    rr_budget *budget = budget_for_writes(1000);
    rr_budget_set_next_limits(budget, UNLIMITED_RPS, 1);
    for (int i = 0; i < refusals; i++) {
        rr_budget_request_refused(budget);
    }
    rr_budget_set_shares(budget, &shares); /* a new term keeps the limits in force */
    wait_for_requests(budget);
    int taken = 0;
    for (int i = 0; i < 40; i++) {
        taken += rr_budget_take(budget, RR_REQUEST_USER, 1, 0.05) == 0;
    }
    rr_budget_destroy(budget);
    return taken;
}

static void one_refusal_leaves_the_present_limits_in_force(void **state) {
    (void)state;
    assert_int_equal(changes_taken_after(1), 40);
}

static void three_refusals_put_the_announced_limits_in_force(void **state) {
    (void)state;
    assert_true(changes_taken_after(3) < 5);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(users_may_owe_a_second_of_changes_and_plans_may_not),
        cmocka_unit_test(one_refusal_leaves_the_present_limits_in_force),
        cmocka_unit_test(three_refusals_put_the_announced_limits_in_force)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
