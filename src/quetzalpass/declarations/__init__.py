"""The declared state: schema, loading from YAML, validation, diffs and deltas."""
