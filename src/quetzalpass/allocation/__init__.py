"""Allocation of engines to generations by one node for all gateways."""
