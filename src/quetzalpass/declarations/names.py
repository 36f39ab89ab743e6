"""Patterns that names in a declaration must match."""

import re

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
MODEL_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}\Z")
NAME_ADVICE = "use letters, digits, '.', '_' and '-'"
