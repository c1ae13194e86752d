"""A randomized soak test of gateway processes with injected faults.

It does not depend on `bench`. See `python -m soak.main --help`.
"""
