"""Tracks peers and backend servers, and propagates declarations."""
