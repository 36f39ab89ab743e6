"""A small backend server of our own for tests, the demo and the benchmark."""
