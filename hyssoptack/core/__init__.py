"""Immutable records that all other packages import."""
