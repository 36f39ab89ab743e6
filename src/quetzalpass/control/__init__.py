"""Replicated control state: declared state, ledger of claims, fencing numbers."""
