"""A randomized soak: real gateways as processes, faults from outside them.

Needs nothing of the users' bench. `python -m soak.main --help` runs it.
"""
