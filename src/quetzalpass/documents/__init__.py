"""YAML documents: reading with line numbers, and checks against typed schemas."""
