"""Lifecycle of a request, from its arrival to its outcome."""
