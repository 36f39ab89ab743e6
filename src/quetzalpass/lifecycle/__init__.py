"""One request from its arrival to its outcome."""
