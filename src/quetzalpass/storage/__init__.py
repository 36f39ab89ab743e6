"""Durable files under one data folder: segments of a log, and snapshots."""
