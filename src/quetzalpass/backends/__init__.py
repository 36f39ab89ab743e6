"""Adapters for the protocols of backend servers."""
