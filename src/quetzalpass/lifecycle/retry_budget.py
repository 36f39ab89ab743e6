"""Budgets that keep retries to a share of the successful requests."""

import asyncio

import msgspec

from quetzalpass import ids

EARNED_PER_SUCCESS = 0.25
# Lets organisations with little traffic retry at all.
EARNED_PER_S = 0.5
RESERVE = 10.0
MAX_SAVED = 100.0
RETRY_AFTER_MS = 2_000


class BudgetKey(msgspec.Struct, frozen=True):
    """Retries are counted for each organisation and model or service."""

    organisation: ids.OrganisationId
    model: str


class Budget(msgspec.Struct):
    """Retries that are left, and when that was worked out."""

    left: float
    updated_s: float


class RetryBudgets:
    """Retry budgets of one gateway.

    When many servers die at once, each request that fails would be sent again several
    times, on top of the new ones. A budget bounds that load: each success earns a
    part of a retry, each retry costs one, and without a budget the request gets its
    failure at once with a time to come back.

    Attributes
    ----------
    budgets : dict of BudgetKey to Budget
        Budgets that were used; the declared names bound how many there are.
    """

    def __init__(self) -> None:
        self.budgets: dict[BudgetKey, Budget] = {}

    def budget(self, organisation: ids.OrganisationId, model: str) -> Budget:
        """Return a budget with what time has earned it."""
        now_s = asyncio.get_running_loop().time()
        key = BudgetKey(organisation, model)
        found = self.budgets.get(key)
        if found is None:
            found = self.budgets[key] = Budget(RESERVE, now_s)
        if found.left < RESERVE:
            earned = (now_s - found.updated_s) * EARNED_PER_S
            found.left = min(RESERVE, found.left + earned)
        found.updated_s = now_s
        return found

    def earn(self, organisation: ids.OrganisationId, model: str) -> None:
        """Note a success."""
        budget = self.budget(organisation, model)
        budget.left = min(MAX_SAVED, budget.left + EARNED_PER_SUCCESS)

    def spend(self, organisation: ids.OrganisationId, model: str) -> bool:
        """Take one retry; return whether there was one left."""
        budget = self.budget(organisation, model)
        if budget.left < 1.0:
            return False
        budget.left -= 1.0
        return True
