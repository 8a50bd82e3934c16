/* Tests of the rate limiter for the key-value store. It reads the steady clock itself, so tokens
 * accrue here only during the time that the calls take. */
#include "core/leadership.h"
#include "core_fixture.h"

#include "store/store.h"

#define UNLIMITED_RPS 1e6
#define WAIT_FOR_FIRST_TOKENS_S 5

/* Users have 0.4 of the writes. These shares are fractions of what the limiter uses of the store's
 * limits, which is 0.9 of them. */
static const struct rr_budget_shares shares = {
    .requests = 1, .users = 0.4, .plans = 0.4, .autoscaler = 0.2};

/* Creates a budget in which writes are limited and requests practically are not. */
static rr_budget *create_write_limited_budget(double write_rps) {
    rr_budget *budget = rr_budget_create(UNLIMITED_RPS, write_rps);
    rr_budget_set_shares(budget, &shares);
    return budget;
}

static void wait_for_request_tokens(rr_budget *budget) {
    assert_int_equal(rr_budget_take(budget, RR_REQUEST_READ, 0, WAIT_FOR_FIRST_TOKENS_S), 0);
}

/* Users' writes come in bursts that reach one controller, and users wait for them: they may go into
 * debt, while plans have to wait for their tokens. */
static void users_may_go_into_debt_and_plans_may_not(void **state) {
    (void)state;
    rr_budget *budget = create_write_limited_budget(10);
    wait_for_request_tokens(budget);
    int users = 0, plans = 0;
    for (int i = 0; i < 8; i++) {
        users += rr_budget_take(budget, RR_REQUEST_USER, 1, 0) == 0;
        plans += rr_budget_take(budget, RR_REQUEST_PLAN, 4, 0) == 0;
    }
    assert_true(users >= 3 && users < 8); /* rate: 0.9 x 10 x 0.4 per second */
    assert_int_equal(plans, 0);
    rr_budget_destroy(budget);
}

/* Announces a limit of 1 write per second under a current limit of 1,000 and reports this many
 * refusals in a row. Returns how many of 40 user writes then go through within 0.05 s each: users
 * have 0.4 of 900 writes per second with the current limit, 0.4 of 0.9 with the announced one. */
static int writes_taken_after(int refusals) {
    rr_budget *budget = create_write_limited_budget(1000);
    rr_budget_set_next_limits(budget, UNLIMITED_RPS, 1);
    for (int i = 0; i < refusals; i++) {
        rr_budget_record_refusal(budget);
    }
    rr_budget_set_shares(budget, &shares); /* as in a new term, which must not change the limits */
    wait_for_request_tokens(budget);
    int taken = 0;
    for (int i = 0; i < 40; i++) {
        taken += rr_budget_take(budget, RR_REQUEST_USER, 1, 0.05) == 0;
    }
    rr_budget_destroy(budget);
    return taken;
}

static void one_refusal_keeps_the_current_limits(void **state) {
    (void)state;
    assert_int_equal(writes_taken_after(1), 40);
}

static void three_refusals_apply_the_announced_limits(void **state) {
    (void)state;
    assert_true(writes_taken_after(3) < 5);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(users_may_go_into_debt_and_plans_may_not),
                                       cmocka_unit_test(one_refusal_keeps_the_current_limits),
                                       cmocka_unit_test(three_refusals_apply_the_announced_limits)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
