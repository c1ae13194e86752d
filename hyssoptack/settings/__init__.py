"""Validated, immutable settings records, read from YAML documents."""
