"""YAML documents: parsing with line numbers, and validation against typed schemas."""
