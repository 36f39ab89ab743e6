"""Stand-in backend servers for tests, the demo and benchmarks."""
