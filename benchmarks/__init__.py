"""Benchmarks; the docstring of each module says how to run it."""
