"""Adapters that speak the protocols of backend servers."""
