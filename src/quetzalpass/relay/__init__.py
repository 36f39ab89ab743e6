"""Relays callers' requests on declared routes to discovered backend servers."""
