"""Load generation, benchmarks, soaks and experiments with real processes."""
