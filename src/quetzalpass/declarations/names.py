"""Forms of names in a declaration."""

import re

NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
MODEL_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}\Z")
NAME_ADVICE = "use letters, digits, '.', '_' and '-'"
