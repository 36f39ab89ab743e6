"""Liveness of peers and backend servers, and spread of declared state."""
