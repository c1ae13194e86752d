"""Tests of guarantees under faults, with real processes and stand-ins."""
