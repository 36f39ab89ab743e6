"""Durable storage in a data folder: segmented logs and snapshots."""
