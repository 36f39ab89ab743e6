"""Serving of generations of unknown length on crowded model engines."""

__version__ = "0.1.0"
