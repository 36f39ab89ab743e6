"""Benchmarks of the decisions, on a virtual clock."""
