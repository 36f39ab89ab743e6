"""Generation of parts of the documentation from the code."""
