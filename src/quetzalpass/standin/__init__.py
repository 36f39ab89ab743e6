"""Stand-in engines and services for tests, the demo and benchmarks."""
