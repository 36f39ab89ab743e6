"""Declared state: its schema, loading from YAML, checks and differences."""
