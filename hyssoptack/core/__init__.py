"""Immutable records shared by all other packages."""
