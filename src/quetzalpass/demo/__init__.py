"""The demonstration that make demo runs."""
