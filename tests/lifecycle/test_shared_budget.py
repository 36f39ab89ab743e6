from quetzalpass import ids
from quetzalpass.lifecycle import shared_budget

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
