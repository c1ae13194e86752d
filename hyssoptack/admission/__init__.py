"""Admission control: which requests run now."""
