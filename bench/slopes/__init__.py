"""Benchmarks of costs at several sizes, with a fitted line and its error."""
