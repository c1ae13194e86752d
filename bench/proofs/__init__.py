"""Proofs under failure: real processes, small stand-ins, counted results."""
