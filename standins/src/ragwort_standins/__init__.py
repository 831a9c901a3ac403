"""Stand-ins for the platform, the store and servers, for tests, the demo and benchmarks."""
