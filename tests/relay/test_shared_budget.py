from quetzalpass import ids
from quetzalpass.relay import shared_budget

SERVICE = ids.ServiceName("ledger")
RULES = shared_budget.BudgetRules(0.2, 56.0, 10.0)


def withdraw_all(budget, now_s):
    count = 0
    while budget.try_withdraw(SERVICE, now_s):
        count += 1
    return count


class TestSharedBudget:
    def test_all_gateways_together_stay_within_the_limit(self):
        budgets = [shared_budget.SharedBudget(RULES) for _ in range(8)]
        withdrawn = 0
        for number, budget in enumerate(budgets):
            budget.gateways = 8
            for _ in range(number * 10):
                budget.record_request(SERVICE, 1.0)
            withdrawn += withdraw_all(budget, 1.0)
        requests = sum(number * 10 for number in range(8))
        assert 0 < withdrawn <= RULES.ratio * requests + RULES.extra

    def test_any_window_stays_within_the_limit(self):
        budget = shared_budget.SharedBudget(RULES)
        times = []
        for tenth in range(400):
            now_s = tenth / 10
            budget.record_request(SERVICE, now_s)
            while budget.try_withdraw(SERVICE, now_s):
                times.append(now_s)
        for start_s in range(0, 30):
            in_window = sum(start_s <= each < start_s + 10 for each in times)
            assert in_window <= RULES.ratio * 100 + RULES.extra

    def test_withdrawn_retries_return_after_the_window(self):
        budget = shared_budget.SharedBudget(RULES)
        first = withdraw_all(budget, 0.0)
        assert first > 0
        assert withdraw_all(budget, 5.0) == 0
        assert withdraw_all(budget, 10.1) == first


class TestNumberOfGateways:
    def test_new_control_node_that_counts_too_few_gateways_allows_no_more(self):
        budgets = [shared_budget.SharedBudget(RULES) for _ in range(8)]
        withdrawn = 0
        for budget in budgets:
            budget.update_gateways(8, {}, 0.0)
        for number, budget in enumerate(budgets):
            budget.update_gateways(number + 1, {}, 1.0)
            withdrawn += withdraw_all(budget, 1.0)
        assert 0 < withdrawn <= RULES.extra

    def test_gateway_that_is_gone_is_no_longer_counted_after_a_window(self):
        budget = shared_budget.SharedBudget(RULES)
        budget.update_gateways(8, {}, 0.0)
        budget.update_gateways(4, {}, 1.0)
        assert budget.gateways == 8
        budget.update_gateways(4, {}, 10.5)
        assert budget.gateways == 4

    def test_gateway_without_a_report_uses_no_further_retries(self):
        budget = shared_budget.SharedBudget(RULES, started_s=0.0)
        assert withdraw_all(budget, 60.0) == 0
        for _ in range(50):
            budget.record_request(SERVICE, 60.0)
        assert 0 < withdraw_all(budget, 60.0) <= RULES.ratio * 50

    def test_restarted_gateways_stay_within_the_limit(self):
        withdrawn = 0
        for _ in range(8):
            before = shared_budget.SharedBudget(RULES)
            before.update_gateways(8, {}, 0.0)
            withdrawn += withdraw_all(before, 0.0)
            after = shared_budget.SharedBudget(RULES, started_s=1.0)
            for tenth in range(10, 100):
                after.update_gateways(8, {}, tenth / 10)
                withdrawn += withdraw_all(after, tenth / 10)
        assert 0 < withdrawn <= RULES.extra


class TestResumes:
    def test_resumes_use_what_all_gateways_have_left(self):
        budget = shared_budget.SharedBudget(RULES)
        budget.update_gateways(8, {SERVICE: 20}, 0.0)
        withdraw_all(budget, 0.0)
        count = 0
        while budget.try_withdraw_resume(SERVICE, 0.0):
            count += 1
        assert count > 0
        assert 20 + budget.retry_counts(0.0)[SERVICE] <= RULES.extra

    def test_without_a_recent_report_resumes_use_the_own_part(self):
        budget = shared_budget.SharedBudget(RULES)
        budget.update_gateways(8, {}, 0.0)
        count = 0
        while budget.try_withdraw_resume(SERVICE, 2.0):
            count += 1
        assert 0 < count <= RULES.extra / 8

    def test_retries_after_resumes_are_fewer(self):
        budget = shared_budget.SharedBudget(RULES)
        budget.update_gateways(8, {}, 0.0)
        for _ in range(10):
            assert budget.try_withdraw_resume(SERVICE, 0.0)
        assert withdraw_all(budget, 0.0) == 0
