"""Replicated state: the accepted declaration and the ledger of claims."""
