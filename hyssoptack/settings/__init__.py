"""YAML documents read into checked, frozen settings records."""
