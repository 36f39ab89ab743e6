"""Budgets that limit retries to a fraction of the successful requests."""

import asyncio

import msgspec

from quetzalpass import ids

RETRIES_PER_SUCCESS = 0.25
# Allows some retries to organisations with little traffic.
RETRIES_PER_S = 0.5
RESERVED_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


class BudgetKey(msgspec.Struct, frozen=True):
    """Identifies a budget: one for each organisation and model or service."""

    organisation: ids.OrganisationId
    model: str


class Budget(msgspec.Struct):
    """Number of retries that remain, and the loop time of that number."""

    balance: float
    updated_s: float


class RetryBudgets:
    """Retry budgets of one gateway.

    When many servers fail at once, each failed request would be sent several times
    more, on top of the new ones. A budget bounds that load: each success deposits a
    fraction of a retry and each retry withdraws one. If the budget is empty, the
    request fails at once with a retry-after time.

    Attributes
    ----------
    budgets : dict of BudgetKey to Budget
        Budgets that were used; the declared names bound their number.
    """

    def __init__(self) -> None:
        self.budgets: dict[BudgetKey, Budget] = {}

    def budget(self, organisation: ids.OrganisationId, model: str) -> Budget:
        """Return a budget after adding the retries for the elapsed time."""
        now_s = asyncio.get_running_loop().time()
        key = BudgetKey(organisation, model)
        found = self.budgets.get(key)
        if found is None:
            found = self.budgets[key] = Budget(RESERVED_RETRIES, now_s)
        if found.balance < RESERVED_RETRIES:
            added = (now_s - found.updated_s) * RETRIES_PER_S
            found.balance = min(RESERVED_RETRIES, found.balance + added)
        found.updated_s = now_s
        return found

    def deposit(self, organisation: ids.OrganisationId, model: str) -> None:
        """Add a fraction of a retry after a success."""
        budget = self.budget(organisation, model)
        budget.balance = min(MAX_SAVED_RETRIES, budget.balance + RETRIES_PER_SUCCESS)

    def try_withdraw(self, organisation: ids.OrganisationId, model: str) -> bool:
        """Withdraw one retry; return ``False`` if none remains."""
        budget = self.budget(organisation, model)
        if budget.balance < 1.0:
            return False
        budget.balance -= 1.0
        return True
