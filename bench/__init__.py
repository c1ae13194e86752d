"""Scaffolding, demo and benchmarks; nothing of the product imports it."""
