"""Budgets that keep retries to a share of the successful requests."""

import asyncio

import msgspec

from quetzalpass import ids

RETRIES_PER_SUCCESS = 0.25
# Lets organisations with little traffic retry at all.
RETRIES_PER_S = 0.5
RESERVED_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0
RETRY_AFTER_MS = 2_000


class BudgetKey(msgspec.Struct, frozen=True):
    """Retries are counted for each organisation and model or service."""

    organisation: ids.OrganisationId
    model: str


class Budget(msgspec.Struct):
    """Retries that are left, and when that was worked out."""

    balance: float
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
            found = self.budgets[key] = Budget(RESERVED_RETRIES, now_s)
        if found.balance < RESERVED_RETRIES:
            added = (now_s - found.updated_s) * RETRIES_PER_S
            found.balance = min(RESERVED_RETRIES, found.balance + added)
        found.updated_s = now_s
        return found

    def deposit(self, organisation: ids.OrganisationId, model: str) -> None:
        """Note a success."""
        budget = self.budget(organisation, model)
        budget.balance = min(MAX_SAVED_RETRIES, budget.balance + RETRIES_PER_SUCCESS)

    def try_withdraw(self, organisation: ids.OrganisationId, model: str) -> bool:
        """Take one retry; return whether there was one left."""
        budget = self.budget(organisation, model)
        if budget.balance < 1.0:
            return False
        budget.balance -= 1.0
        return True
